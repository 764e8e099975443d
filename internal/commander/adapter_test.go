package commander

import (
	"errors"
	"testing"
)

// TestAdapterReceivesRoleAndOptions checks that Run gets the role and its options, and that an invalid command line
// gives the exit code for usage errors.
func TestAdapterReceivesRoleAndOptions(t *testing.T) {
	var role string
	var port int
	adapter := PlatformCommand{Name: "platform", Run: func(r string, o PlatformOptions) (int, error) {
		role, port = r, o.MetricsPort
		if r != "agent" {
			return 0, errors.New("no such role")
		}
		return ExitOK, nil
	}}
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"good", []string{"lagoonmilld", "platform", "--metrics-port", "9103", "agent"}, ExitOK},
		{"error from the adapter", []string{"lagoonmilld", "platform", "waiter"}, ExitUsage},
		{"no role", []string{"lagoonmilld", "platform"}, ExitUsage},
		{"two roles", []string{"lagoonmilld", "platform", "agent", "entry"}, ExitUsage},
		{"port not a number", []string{"lagoonmilld", "platform", "--metrics-port", "x", "agent"}, ExitUsage},
	}
	for _, test := range tests {
		if got := Daemon(test.args, adapter); got != test.want {
			t.Errorf("%s: exit code %d, want %d", test.name, got, test.want)
		}
	}
	role, port = "", 0
	Daemon(tests[0].args, adapter)
	if role != "agent" || port != 9103 {
		t.Errorf("the adapter got role %q and port %d", role, port)
	}
}
