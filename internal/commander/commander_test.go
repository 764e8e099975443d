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

var update = flag.Bool("update", false, "write the pages of docs/ that are made from the code")

// TestPagesMatchTheCode compares the made pages of docs/ with the settings, events and commands of the code.
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
			t.Errorf("docs/%s differs from the code; make docs writes it (-code +page):\n%s", name, diff)
		}
	}
}

// TestEventsAreNumberedOnce checks the catalogue.
func TestEventsAreNumberedOnce(t *testing.T) {
	seen := map[int]string{}
	for _, e := range logger.Catalogue() {
		if seen[e.Number] != "" || e.Text == "" || e.Help == "" {
			t.Errorf("event %d: %q and %q", e.Number, seen[e.Number], e.Text)
		}
		seen[e.Number] = e.Text
	}
}

// TestEveryEventIsLogged looks for each event of the catalogue in the code, so that the page names none that never come.
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

// TestEveryCommandHasAnExample checks the help texts.
func TestEveryCommandHasAnExample(t *testing.T) {
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

// goodSettings returns flags under which a control and entry process would start.
func goodSettings(t *testing.T) map[string]string {
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

// TestEachWrongSettingIsNamed gives each setting a wrong value in turn, and leaves out each that is required: the
// error names it with its form, and the daemon's exit code is 2.
func TestEachWrongSettingIsNamed(t *testing.T) {
	good := goodSettings(t)
	if _, err := configurer.Parse(func(name string) string { return good[name] }); err != nil {
		t.Fatalf("good settings: %v", err)
	}
	for _, s := range configurer.Table() {
		wrong := []string{"/no such place/at all"}
		if s.Default == "" {
			wrong = append(wrong, "")
		}
		for _, value := range wrong {
			t.Run(s.Name+"="+value, func(t *testing.T) {
				bad := func(name string) string {
					if name == s.Name {
						return value
					}
					return good[name]
				}
				_, err := configurer.Parse(bad)
				if err == nil || !strings.Contains(err.Error(), "--"+s.Name) || !strings.Contains(err.Error(), s.Accepts) {
					t.Errorf("got %v, want an error with --%s and its form", err, s.Name)
				}
				args := []string{"lagoonmilld"}
				for name := range good {
					if v := bad(name); v != "" {
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

// TestSettingsFromTheEnvironment checks that a variable counts and that a flag goes before it.
func TestSettingsFromTheEnvironment(t *testing.T) {
	for _, s := range configurer.Table() {
		if s.Name == "roles" {
			t.Setenv(s.Env(), "agent")
		}
	}
	if code := Daemon([]string{"lagoonmilld", "--name", "no spaces allowed"}); code != ExitUsage {
		t.Errorf("exit code %d, want %d", code, ExitUsage)
	}
}
