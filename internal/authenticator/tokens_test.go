package authenticator

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestIdentify checks the identities of tokens, that errors of Parse give the line but no token, and MayUse.
func TestIdentify(t *testing.T) {
	tokens, err := Parse("# comment\noperator anna secret-a\n\nworkspace planner secret-p\n")
	if err != nil {
		t.Fatal(err)
	}
	for header, want := range map[string]Identity{
		"Bearer secret-a": {KindOperator, "anna"}, "Bearer secret-p": {KindWorkspace, "planner"},
		"Bearer secret": {}, "Basic secret-a": {}, "": {},
	} {
		r := httptest.NewRequest("GET", "/", nil)
		r.Header.Set("Authorization", header)
		got, err := tokens.Identify(r)
		if diff := cmp.Diff(want, got); diff != "" || (err == nil) != (want.Kind != 0) {
			t.Errorf("%q: %v (-want +got):\n%s", header, err, diff)
		}
	}
	if _, err := Parse("workspace secret-x"); err == nil || strings.Contains(err.Error(), "secret-x") || !strings.Contains(err.Error(), "line 1") {
		t.Errorf("a malformed line gave %v, want an error with its number and without its token", err)
	}
	planner := Identity{KindWorkspace, "planner"}
	if planner.MayUse("tickets") || !planner.MayUse("planner") || !(Identity{KindOperator, "a"}).MayUse("tickets") {
		t.Error("a workspace may use another one, or may not use its own, or an operator may not use any")
	}
}
