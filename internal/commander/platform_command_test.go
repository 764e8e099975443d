package commander

import (
	"errors"
	"testing"
)

// TestPlatformCommandReceivesRoleAndOptions checks that Run gets the role and its options, and that an invalid command
// line gives the exit code for usage errors.
func TestPlatformCommandReceivesRoleAndOptions(t *testing.T) {
	var role string
	var port int
	command := PlatformCommand{Name: "platform", Run: func(r string, o PlatformOptions) (int, error) {
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
		{"error from Run", []string{"lagoonmilld", "platform", "waiter"}, ExitUsage},
		{"no role", []string{"lagoonmilld", "platform"}, ExitUsage},
		{"two roles", []string{"lagoonmilld", "platform", "agent", "entry"}, ExitUsage},
		{"port not a number", []string{"lagoonmilld", "platform", "--metrics-port", "x", "agent"}, ExitUsage},
	}
	for _, test := range tests {
		if got := Daemon(test.args, command); got != test.want {
			t.Errorf("%s: exit code %d, want %d", test.name, got, test.want)
		}
	}
	role, port = "", 0
	Daemon(tests[0].args, command)
	if role != "agent" || port != 9103 {
		t.Errorf("Run got role %q and port %d", role, port)
	}
}
