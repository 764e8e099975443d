package commander

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/urfave/cli/v3"

	"github.com/lagoonmill/lagoonmill/internal/configurer"
	"github.com/lagoonmill/lagoonmill/internal/logger"
)

var update = flag.Bool("update", false, "write the generated pages of docs/")

// TestPagesMatchTheCode checks that the generated pages of docs/ match the settings, events and commands in the code.
func TestPagesMatchTheCode(t *testing.T) {
	for name, want := range Pages() {
		path := filepath.Join("..", "..", "docs", name)
		if *update {
			if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		got, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, string(got)); diff != "" {
			t.Errorf("docs/%s is out of date, run make docs (-code +page):\n%s", name, diff)
		}
	}
}

// TestEventNumbersAreUnique checks that every event of the catalogue has a number of its own, a text and a help.
func TestEventNumbersAreUnique(t *testing.T) {
	seen := map[int]string{}
	for _, e := range logger.Catalogue() {
		if seen[e.Number] != "" || e.Text == "" || e.Help == "" {
			t.Errorf("event %d: %q and %q", e.Number, seen[e.Number], e.Text)
		}
		seen[e.Number] = e.Text
	}
}

// TestEveryEventIsLogged checks that the code uses each event of the catalogue, so that the page lists no event that is
// never logged.
func TestEveryEventIsLogged(t *testing.T) {
	catalogue, err := os.ReadFile("../logger/catalogue.go")
	if err != nil {
		t.Fatal(err)
	}
	var code strings.Builder
	for _, pattern := range []string{"../*/*.go", "../../platform/*.go"} {
		paths, _ := filepath.Glob(pattern)
		for _, path := range paths {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			code.Write(data)
		}
	}
	for _, line := range strings.Split(string(catalogue), "\n") {
		name, _, ok := strings.Cut(strings.TrimSpace(line), " ")
		if ok && strings.Contains(line, "= declare(") && !strings.Contains(code.String(), "logger."+name) {
			t.Errorf("%s is declared and never logged", name)
		}
	}
}

// TestEveryCommandHasUsageAndExample checks that every command has a usage text, and an example unless it has
// subcommands.
func TestEveryCommandHasUsageAndExample(t *testing.T) {
	var check func(name string, c *cli.Command)
	check = func(name string, c *cli.Command) {
		if c.Usage == "" || len(c.Commands) == 0 && !strings.HasPrefix(c.Description, "Example:") {
			t.Errorf("%s has no usage or example", name)
		}
		for _, sub := range c.Commands {
			check(name+" "+sub.Name, sub)
		}
	}
	for _, c := range toolCommand().Commands {
		check("lagoonmill "+c.Name, c)
	}
}

// validSettings returns valid flag values by name for a process with every role.
func validSettings(t *testing.T) map[string]string {
	tokens := filepath.Join(t.TempDir(), "tokens")
	if err := os.WriteFile(tokens, []byte("operator a b\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return map[string]string{
		"roles": "control,entry,agent", "name": "e1", "availability-zone": "z", "data-dir": t.TempDir(),
		"control-address": "127.0.0.1:7001", "control-seats": "127.0.0.1:7001", "entry-address": "127.0.0.1:7002",
		"http-address": "127.0.0.1:7003", "agent-address": "127.0.0.1:7004", "entries": "127.0.0.1:7002", "token-file": tokens,
		"drain-time": "1s", "balancer-interval": "1s", "election-time": "500ms", "heartbeat-time": "100ms",
		"snapshot-every": "1000", "log-file": "-",
	}
}

// TestInvalidSettingIsNamed sets one setting at a time to an invalid value, and omits each one without a default. The
// error must name the setting and the accepted values, and the daemon must exit with ExitUsage.
func TestInvalidSettingIsNamed(t *testing.T) {
	valid := validSettings(t)
	if _, err := configurer.Parse(func(name string) string { return valid[name] }); err != nil {
		t.Fatalf("valid settings: %v", err)
	}
	for _, s := range configurer.Table() {
		invalid := []string{"/no such place/at all"}
		if s.Default == "" {
			invalid = append(invalid, "")
		}
		for _, value := range invalid {
			t.Run(s.Name+"="+value, func(t *testing.T) {
				get := func(name string) string {
					if name == s.Name {
						return value
					}
					return valid[name]
				}
				_, err := configurer.Parse(get)
				if err == nil || !strings.Contains(err.Error(), "--"+s.Name) || !strings.Contains(err.Error(), s.Accepts) {
					t.Errorf("got %v, want an error with --%s and the accepted values", err, s.Name)
				}
				args := []string{"lagoonmilld"}
				for name := range valid {
					if v := get(name); v != "" {
						args = append(args, "--"+name, v)
					}
				}
				if code := Daemon(args); code != ExitUsage {
					t.Errorf("exit code %d, want %d", code, ExitUsage)
				}
			})
		}
	}
}

// TestInvalidFlagWithEnvironment checks that an invalid flag is a usage error when another setting comes from the
// environment.
func TestInvalidFlagWithEnvironment(t *testing.T) {
	for _, s := range configurer.Table() {
		if s.Name == "roles" {
			t.Setenv(s.Env(), "agent")
		}
	}
	if code := Daemon([]string{"lagoonmilld", "--name", "no spaces allowed"}); code != ExitUsage {
		t.Errorf("exit code %d, want %d", code, ExitUsage)
	}
}
