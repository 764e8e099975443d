package prover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	operatorToken = "operator-token"
	waitTimeout   = 60 * time.Second
)

// binDir is the folder of the programs under test, which TestMain builds once.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lagoonmill-proof")
	if err == nil {
		binDir = dir
		build := exec.Command("go", "build", "-o", dir, "github.com/lagoonmill/lagoonmill/cmd/...")
		build.Stderr = os.Stderr
		err = build.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a program started by a test.
type process struct {
	name      string
	args      []string
	cmd       *exec.Cmd
	ended     chan error
	suspended bool
}

// cluster is a set of processes on loopback. mu guards ports and processes.
type cluster struct {
	t       *testing.T
	dir     string // logs, journals and data
	entries int
	ports   map[string]string // address by use
	service string
	latency time.Duration     // of backend servers
	faults  float64           // fault rate of backend servers
	proxied map[string]string // entry address to that of the proxy through which agents started later reach it

	mu        sync.Mutex
	processes map[string]*process
}

func newCluster(t *testing.T, entries int, workspaces ...string) *cluster {
	c := &cluster{
		t: t, dir: workDir(t), entries: entries, ports: map[string]string{}, service: "app", latency: 5 * time.Millisecond,
		processes: map[string]*process{}, proxied: map[string]string{},
	}
	tokens := "operator admin " + operatorToken + "\n"
	for _, w := range workspaces {
		tokens += "workspace " + w + " " + w + "-token\n"
	}
	if err := os.WriteFile(c.path("tokens"), []byte(tokens), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.killAll)
	return c
}

func (c *cluster) path(name string) string { return filepath.Join(c.dir, name) }

// address returns the loopback address for the given use, with a free port that is chosen at the first call.
func (c *cluster) address(use string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, ok := c.ports[use]; ok {
		return a
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c.ports[use] = l.Addr().String()
	return c.ports[use]
}

// allAddresses returns the addresses of the given use of all entries, separated by commas and with proxies applied.
func (c *cluster) allAddresses(use string) string {
	var list []string
	for i := range c.entries {
		a := c.address(fmt.Sprint(use, i))
		if proxy, ok := c.proxied[a]; ok {
			a = proxy
		}
		list = append(list, a)
	}
	return strings.Join(list, ",")
}

func (c *cluster) start(name, program string, args ...string) *process {
	p := &process{name: name, args: append([]string{program}, args...)}
	c.launch(p)
	return p
}

func (c *cluster) launch(p *process) {
	out, err := os.OpenFile(c.path(p.name+".out"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	p.cmd = exec.Command(filepath.Join(binDir, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	ended := make(chan error, 1)
	p.ended, p.suspended = ended, false
	go func() {
		ended <- p.cmd.Wait()
		_ = out.Close()
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[p.name] = p
}

func (c *cluster) startEntry(i int, flags ...string) {
	name := fmt.Sprint("entry", i)
	c.start(name, "lagoonmilld", append([]string{
		"--roles", "entry,control", "--name", name, "--availability-zone", fmt.Sprint("zone", i),
		"--data-dir", c.path(fmt.Sprint("data", i)), "--control-address", c.address(fmt.Sprint("control", i)),
		"--control-seats", c.allAddresses("control"), "--entry-address", c.address(fmt.Sprint("agents", i)),
		"--http-address", c.address(fmt.Sprint("http", i)), "--token-file", c.path("tokens"),
		"--balancer-interval", "300ms", "--drain-time", "20s", "--log-file", c.path(name + ".log"),
	}, flags...)...)
}

func (c *cluster) startAgent(i int) {
	name := fmt.Sprint("w", i)
	c.start(name, "lagoonmilld", "--roles", "agent", "--name", name, "--availability-zone", fmt.Sprint("zone", i%3),
		"--agent-address", c.address(name), "--entries", c.allAddresses("agents"), "--drain-time", "20s", "--log-file", c.path(name+".log"))
}

func (c *cluster) startRunner(i int) {
	name := fmt.Sprint("runner", i)
	c.start(name, "lagoonmill-standin", "runner", "--address", c.address(name), "--agent", c.address(fmt.Sprint("w", i)),
		"--service", c.service, "--latency", c.latency.String(), "--journal", c.path(name+".journal"),
		"--fault-rate", fmt.Sprint(c.faults), "--seed", fmt.Sprint(i))
}

func (c *cluster) startWorker(i int) {
	name := fmt.Sprint("worker", i)
	c.start(name, "lagoonmill-standin", "worker", "--address", c.address(name), "--agent", c.address(fmt.Sprint("w", i)),
		"--id", fmt.Sprint("w", i), "--rack", "rack", "--availability-zone", "zone", "--journal", c.path(name+".journal"))
}

func (c *cluster) process(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// kill ends a process with SIGKILL.
func (c *cluster) kill(name string) {
	p := c.process(name)
	_ = p.cmd.Process.Kill()
	<-p.ended
}

func (c *cluster) restart(name string) { c.launch(c.process(name)) }

// stop ends a process with SIGTERM. The test fails if the process does not exit with code 0 within waitTimeout.
func (c *cluster) stop(name string) {
	p := c.process(name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		if err != nil {
			c.t.Errorf("graceful stop of %s: %v\n%s", name, err, c.tail(name))
		}
	case <-time.After(waitTimeout):
		c.t.Errorf("%s did not stop", name)
		_ = p.cmd.Process.Kill()
	}
}

// tail returns the last lines of a process's log.
func (c *cluster) tail(name string) string {
	data, _ := os.ReadFile(c.path(name + ".log"))
	lines := strings.Split(string(data), "\n")
	return strings.Join(lines[max(0, len(lines)-8):], "\n")
}

func (c *cluster) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
}

// eventually polls until ok returns true. The test fails after waitTimeout.
func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *cluster) ready(i int) bool {
	resp, err := http.Get("http://" + c.address(fmt.Sprint("http", i)) + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cluster) startEntries(flags ...string) {
	for i := range c.entries {
		c.startEntry(i, flags...)
	}
	for i := range c.entries {
		c.eventually(fmt.Sprint("entry ", i, " ready"), func() bool { return c.ready(i) })
	}
}

// reply is an HTTP response.
type reply struct {
	status  int
	outcome string
	body    string
	header  http.Header
}

var client = &http.Client{Timeout: 30 * time.Second}

// call sends one HTTP request to an entry. body is sent as is if it is a string, else as JSON.
func (c *cluster) call(entry int, method, path, token string, header map[string]string, body any) (reply, error) {
	var data []byte
	switch b := body.(type) {
	case nil:
	case string:
		data = []byte(b)
	default:
		var err error
		if data, err = json.Marshal(b); err != nil {
			return reply{}, err
		}
	}
	req, err := http.NewRequest(method, "http://"+c.address(fmt.Sprint("http", entry))+path, bytes.NewReader(data))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header.Get("Lagoonmill-Outcome"), string(text), resp.Header}, err
}

// get sends a GET request with the operator's token to an entry and decodes the JSON response into out.
func (c *cluster) get(entry int, path string, out any) error {
	r, err := c.call(entry, http.MethodGet, path, operatorToken, nil, nil)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return errors.New(r.body)
	}
	return json.Unmarshal([]byte(r.body), out)
}

// activeRunners counts the backend servers that an entry knows and that are not draining.
func (c *cluster) activeRunners(entry int) int {
	var list []struct {
		Runner *struct{ Leaving bool }
	}
	if c.get(entry, "/v1/agents", &list) != nil {
		return 0
	}
	n := 0
	for _, a := range list {
		if a.Runner != nil && !a.Runner.Leaving {
			n++
		}
	}
	return n
}

type clusterStatus struct {
	Self    string `json:"self"`
	Members []struct {
		ID      uint64
		Address string
		Voter   bool
	} `json:"members"`
}

// leader returns the index of the entry whose control replica is the leader, or -1 if none is known.
func (c *cluster) leader() int {
	for i := range c.entries {
		var s clusterStatus
		if c.get(i, "/v1/cluster", &s) != nil {
			continue
		}
		for k := range c.entries {
			if c.address(fmt.Sprint("control", k)) == s.Self {
				return k
			}
		}
	}
	return -1
}

// runsByID counts the runs in the journals of the backend servers, by the caller's idempotency key.
func (c *cluster) runsByID(runners int) map[string]int {
	runs := map[string]int{}
	for i := range runners {
		data, _ := os.ReadFile(c.path(fmt.Sprint("runner", i, ".journal")))
		for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
			var run struct{ ID string }
			if json.Unmarshal([]byte(line), &run) != nil {
				continue
			}
			parts := strings.Split(run.ID, "/") // workspace/key/attempt
			if len(parts) == 3 {
				runs[parts[1]]++
			}
		}
	}
	return runs
}

// workDir returns the folder for logs and state. The environment variable LAGOONMILL_KEEP names one that is kept after
// the test.
func workDir(t *testing.T) string {
	if dir := os.Getenv("LAGOONMILL_KEEP"); dir != "" {
		return dir
	}
	return t.TempDir()
}
