package configurer

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Role is a function of a daemon process; a process may have several.
type Role string

// The roles of a daemon process.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
)

// Settings holds the validated settings of a daemon process.
type Settings struct {
	Roles             []Role
	Name              string
	Zone              string
	DataDir           string
	ControlAddress    string
	ControlSeats      []string
	EntryAddress      string
	HTTPAddress       string
	AgentAddress      string
	Entries           []string
	TokenFile         string
	DrainTimeout      time.Duration
	BalancerInterval  time.Duration
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	SnapshotEvery     uint64
	LogFile           string
}

// Has reports whether the process has role r.
func (s Settings) Has(r Role) bool { return slices.Contains(s.Roles, r) }

// Setting is one row of the table.
type Setting struct {
	Name       string // of the flag; Env derives the environment variable from it
	Default    string
	RequiredBy []Role // the roles that need a value; empty for all
	Accepts    string // the accepted values
	Help       string
	set        func(*Settings, string) error
}

// Env returns the name of the setting's environment variable.
func (s Setting) Env() string {
	return "LAGOONMILL_" + strings.ToUpper(strings.ReplaceAll(s.Name, "-", "_"))
}

const (
	addressSyntax     = "IP:PORT, such as 127.0.0.1:7001"
	addressListSyntax = "IP:PORT, several separated by commas"
	durationSyntax    = "a duration such as 500ms, 5s or 1m"
	nameSyntax        = "at most 64 letters, digits, dots and hyphens"
)

// Table returns every setting of the daemon. The setting roles comes first, since it decides which others are required.
func Table() []Setting {
	controlAndEntry := []Role{RoleControl, RoleEntry}
	return []Setting{
		{"roles", "", nil, "control, entry, agent, several separated by commas", "The roles of the process.", setRoles},
		{"name", "", nil, nameSyntax, "The name of the host, unique among entries and among agents.", setName(func(s *Settings) *string { return &s.Name })},
		{"availability-zone", "", nil, nameSyntax, "The availability zone that the process runs in.", setName(func(s *Settings) *string { return &s.Zone })},
		{"data-dir", "", []Role{RoleControl}, "a directory that exists or can be created, on persistent storage", "The directory in which a control replica stores its log and snapshots.", setDataDir},
		{"control-address", "", []Role{RoleControl}, addressSyntax, "The address at which this control replica listens for other replicas and entries.", setAddress(func(s *Settings) *string { return &s.ControlAddress })},
		{"control-seats", "", controlAndEntry, addressListSyntax, "The control addresses of all control replicas.", setAddresses(func(s *Settings) *[]string { return &s.ControlSeats })},
		{"entry-address", "", []Role{RoleEntry}, addressSyntax, "The address at which this entry listens for agents.", setAddress(func(s *Settings) *string { return &s.EntryAddress })},
		{"http-address", "", []Role{RoleEntry}, addressSyntax, "The address at which this entry listens for callers, operators and the load balancer.", setAddress(func(s *Settings) *string { return &s.HTTPAddress })},
		{"agent-address", "", []Role{RoleAgent}, addressSyntax, "The address at which this agent listens for entries and for other processes on its host.", setAddress(func(s *Settings) *string { return &s.AgentAddress })},
		{"entries", "", []Role{RoleAgent}, addressListSyntax, "The entry addresses that this agent may attach to.", setAddresses(func(s *Settings) *[]string { return &s.Entries })},
		{"token-file", "", []Role{RoleEntry}, "a readable file of lines 'operator NAME TOKEN' or 'workspace NAME TOKEN'", "The tokens of the operators and workspaces that may call.", setTokenFile},
		{"drain-time", "30s", nil, durationSyntax, "The longest time that a planned stop waits for work in flight.", setDuration(func(s *Settings) *time.Duration { return &s.DrainTimeout })},
		{"balancer-interval", "2s", []Role{RoleEntry}, durationSyntax, "How long a stopping entry still accepts requests, so that the load balancer can notice the stop.", setDuration(func(s *Settings) *time.Duration { return &s.BalancerInterval })},
		{"election-time", "500ms", []Role{RoleControl}, durationSyntax, "The shortest time without a message from the leader before an election.", setDuration(func(s *Settings) *time.Duration { return &s.ElectionTimeout })},
		{"heartbeat-time", "120ms", []Role{RoleControl}, durationSyntax, "The time between the leader's heartbeats; at most a third of election-time.", setDuration(func(s *Settings) *time.Duration { return &s.HeartbeatInterval })},
		{"snapshot-every", "20000", []Role{RoleControl}, "a whole number from 100 to 10000000", "The number of log entries between two snapshots.", setSnapshotEvery},
		{"log-file", "-", nil, "a file that can be appended to, or - for standard error", "The file to which events are logged.", setLogFile},
	}
}

// A SettingError reports an invalid setting.
type SettingError struct {
	Setting Setting
	Value   string
	Cause   error
}

// Error names the flag, the environment variable, the cause and the accepted values.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting --%s (%s): %v; want %s", e.Setting.Name, e.Setting.Env(), e.Cause, e.Setting.Accepts)
}

// Unwrap returns the cause.
func (e *SettingError) Unwrap() error { return e.Cause }

// Parse parses and validates the settings that value returns by flag name; a setting whose value is empty takes its
// default. It returns a SettingError for the first invalid setting in the table's order.
func Parse(value func(name string) string) (Settings, error) {
	var s Settings
	for _, row := range Table() {
		v := value(row.Name)
		if v == "" {
			v = row.Default
		}
		if v == "" && !s.requires(row) {
			continue
		}
		if v == "" {
			return s, &SettingError{row, v, errors.New("missing")}
		}
		if err := row.set(&s, v); err != nil {
			return s, &SettingError{row, v, err}
		}
	}
	return s, s.validate()
}

func (s Settings) requires(row Setting) bool {
	return len(row.RequiredBy) == 0 || slices.ContainsFunc(row.RequiredBy, s.Has)
}

func (s Settings) validate() error {
	const minHeartbeats = 3
	if s.HeartbeatInterval*minHeartbeats > s.ElectionTimeout {
		return &SettingError{findSetting("heartbeat-time"), s.HeartbeatInterval.String(), fmt.Errorf("got %v with election-time %v", s.HeartbeatInterval, s.ElectionTimeout)}
	}
	if s.Has(RoleControl) && !slices.Contains(s.ControlSeats, s.ControlAddress) {
		return &SettingError{findSetting("control-seats"), strings.Join(s.ControlSeats, ","), fmt.Errorf("control-address %s is not among them", s.ControlAddress)}
	}
	return nil
}

func findSetting(name string) Setting {
	table := Table()
	return table[slices.IndexFunc(table, func(s Setting) bool { return s.Name == name })]
}

func setRoles(s *Settings, v string) error {
	for _, part := range strings.Split(v, ",") {
		r := Role(strings.TrimSpace(part))
		if r != RoleControl && r != RoleEntry && r != RoleAgent {
			return fmt.Errorf("unknown role %q", part)
		}
		if s.Has(r) {
			return fmt.Errorf("duplicate role %q", part)
		}
		s.Roles = append(s.Roles, r)
	}
	return nil
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9.-]{1,64}$`)

func setName(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if !namePattern.MatchString(v) {
			return fmt.Errorf("got %q", v)
		}
		*field(s) = v
		return nil
	}
}

func checkAddress(v string) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		return fmt.Errorf("got %q", v)
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return fmt.Errorf("got %q, whose host is not an IP address", v)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return fmt.Errorf("got %q, whose port is not from 1 to 65535", v)
	}
	return nil
}

func setAddress(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if err := checkAddress(v); err != nil {
			return err
		}
		*field(s) = v
		return nil
	}
}

func setAddresses(field func(*Settings) *[]string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		for _, part := range strings.Split(v, ",") {
			part = strings.TrimSpace(part)
			if err := checkAddress(part); err != nil {
				return err
			}
			*field(s) = append(*field(s), part)
		}
		return nil
	}
}

func setDuration(field func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < time.Millisecond {
			return fmt.Errorf("got %q", v)
		}
		*field(s) = d
		return nil
	}
}

func setDataDir(s *Settings, v string) error {
	info, err := os.Stat(v)
	switch {
	case errors.Is(err, os.ErrNotExist):
		if parent, err := os.Stat(filepath.Dir(v)); err != nil || !parent.IsDir() {
			return fmt.Errorf("%s does not exist and cannot be created", v)
		}
	case err != nil:
		return fmt.Errorf("check %s: %w", v, err)
	case !info.IsDir():
		return fmt.Errorf("%s is not a directory", v)
	}
	s.DataDir = v
	return nil
}

func setTokenFile(s *Settings, v string) error {
	file, err := os.Open(v)
	if err != nil {
		return fmt.Errorf("open file: %w", err)
	}
	s.TokenFile = v
	return file.Close()
}

func setSnapshotEvery(s *Settings, v string) error {
	const minEntries, maxEntries = 100, 10_000_000
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil || n < minEntries || n > maxEntries {
		return fmt.Errorf("got %q", v)
	}
	s.SnapshotEvery = n
	return nil
}

func setLogFile(s *Settings, v string) error {
	if v != "-" {
		if info, err := os.Stat(filepath.Dir(v)); err != nil || !info.IsDir() {
			return fmt.Errorf("the directory of %s does not exist", v)
		}
	}
	s.LogFile = v
	return nil
}
