package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	serviceName = "app"
	routeHost   = "jobs.example"
	routePrefix = "/plans/"
	tenantKey   = "d4a3hwrr6x73d3zji9n7"
	program     = "target/lagoonmilld"
	startWait   = 30 * time.Second
)

// front is a machine with a disk, an entry and a control process.
type front struct {
	name, ip, zone, callers, ready, control, dir string
	entry, replica                               *exec.Cmd
}

// side is the machine of a runner, with an agent.
type side struct {
	name, ip, zone, control, app string
	agent                        *exec.Cmd
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	record   *record
	dir      string
	net      string
	port     int
	fronts   []*front
	sides    []*side
	world    *world
	version  int
	spares   int // the last runners, which do not start with the others
	commands []*exec.Cmd
	client   *http.Client
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// newCluster lays out a deployment of three fronts and the given number of runners.
func newCluster(r *record, runners int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: r, dir: dir, client: &http.Client{Timeout: 4 * time.Second}, world: &world{record: r, specs: map[string]string{}}}
	if err := c.findNet(); err != nil {
		return nil, err
	}
	for i := range 3 {
		ip := fmt.Sprintf("%s.1.%d", c.net, i+1)
		c.fronts = append(c.fronts, &front{
			name: fmt.Sprintf("front-%d", i+1), ip: ip, zone: zones[i],
			callers: c.address(ip, 20), ready: c.address(ip, 21), control: c.address(ip, 22), dir: filepath.Join(dir, fmt.Sprintf("data-%d", i+1)),
		})
	}
	for i := range runners {
		ip := fmt.Sprintf("%s.2.%d", c.net, i+1)
		s := &side{name: fmt.Sprintf("side-%d", i+1), ip: ip, zone: zones[i%3], control: c.address(ip, 22), app: c.address(ip, 23)}
		c.sides = append(c.sides, s)
		c.world.runners = append(c.world.runners, &runner{
			world: c.world, name: s.name, machine: s, capacity: capacity{32000, 65536, 8}, labels: []string{"a", fmt.Sprintf("r1-%d", i/3+1)},
		})
	}
	return c, nil
}

func (c *cluster) address(ip string, offset int) string {
	return fmt.Sprintf("%s:%d", ip, c.port+offset)
}

// findNet picks loopback addresses and ports that nothing uses.
func (c *cluster) findNet() error {
	for range 50 {
		c.net = fmt.Sprintf("127.%d", 20+rand.IntN(200))
		c.port = 21000 + 100*rand.IntN(80)
		free := true
		for offset := range 30 {
			l, err := net.Listen("tcp", c.address(c.net+".1.1", offset))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

// settings returns the settings file of a machine.
func (c *cluster) settings(name, ip, zone, class, listen, more string, bootstrap bool) string {
	var seeds strings.Builder
	for _, f := range c.fronts {
		fmt.Fprintf(&seeds, "  - %q\n", f.control)
	}
	return fmt.Sprintf(`nodeId: %q
role: "role"
machineClass: %q
ip: %q
zone: %q
region: "region"
zones: {zone-a: "region", zone-b: "region", zone-c: "region"}
listen:
%sinternalPorts: [%d, %d]
seeds:
%sbootstrap: %v
isCounted: %v
limits: {cpuShare: 0.8, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 128}
discovery: "local"
entry: "vip"
heartbeatMs: %d
faultTolerance: {machines: 1, zones: 0, regionCount: 0}
bounds: {maxHoldMs: %d, drainMs: 2000, graceS: 6, stopTimeoutMs: 400, gangWaitMs: %d, configApplyMs: 2000, connectivityWindowMs: 3000}
config_mode: "highest"
controlMode: "invoke"
%s`, name, class, ip, zone, listen, c.port, c.port+15, seeds.String(), bootstrap, class == "frontend", heartbeatInterval.Milliseconds(),
		maxHold.Milliseconds(), gangWait.Milliseconds(), more)
}

// command starts one process of the system with a command of the deploy file.
func (c *cluster) command(name, settings string, args ...string) (*exec.Cmd, error) {
	path := filepath.Join(c.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	out, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, append([]string{"platform"}, args...)...)
	cmd.Env = append(os.Environ(), "LAGOONMILL_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	c.commands = append(c.commands, cmd)
	c.record.line("process %s: starts as %d: %s", name, cmd.Process.Pid, strings.Join(cmd.Args, " "))
	return cmd, nil
}

func (c *cluster) startReplica(f *front, bootstrap bool) (err error) {
	listen := fmt.Sprintf("  frontend: %q\n  ready: %q\n  control: %q\n", f.callers, f.ready, f.control)
	s := c.settings(f.name, f.ip, f.zone, "frontend", listen, fmt.Sprintf("dataDir: %q\n", f.dir), bootstrap)
	f.replica, err = c.command(f.name+"-control", s, "control", "--metrics-port", "9101")
	return err
}

func (c *cluster) startEntry(f *front) (err error) {
	listen := fmt.Sprintf("  frontend: %q\n  ready: %q\n  control: %q\n", f.callers, f.ready, f.control)
	f.entry, err = c.command(f.name+"-entry", c.settings(f.name, f.ip, f.zone, "frontend", listen, "", true), "entry", "--metrics-port", "9102")
	return err
}

func (c *cluster) startAgent(s *side) (err error) {
	listen := fmt.Sprintf("  control: %q\n", s.control)
	more := fmt.Sprintf("app: %q\nservice: %q\n", s.app, serviceName)
	s.agent, err = c.command(s.name+"-agent", c.settings(s.name, s.ip, s.zone, "side", listen, more, true), "agent", "--metrics-port", "9103")
	return err
}

// start starts the whole deployment and returns once it has a manifest and takes jobs.
func (c *cluster) start(ctx context.Context) error {
	for _, f := range c.fronts {
		if err := c.startReplica(f, true); err != nil {
			return err
		}
		if err := c.startEntry(f); err != nil {
			return err
		}
	}
	for _, s := range c.sides {
		if err := c.startAgent(s); err != nil {
			return err
		}
	}
	go c.world.play(ctx)
	for i, r := range c.world.runners[:len(c.world.runners)-c.spares] {
		if err := r.boot(fmt.Sprintf("i-%08x", 0x3df70000+i)); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startWait)
	for !c.configure(ctx, tenantKey) {
		if time.Now().After(deadline) {
			return fmt.Errorf("no manifest was acknowledged")
		}
		time.Sleep(300 * time.Millisecond)
	}
	return nil
}

// configure sends a manifest with a higher version and one tenant with the given key.
func (c *cluster) configure(ctx context.Context, key string) bool {
	c.version += 3
	manifest := map[string]any{
		"version": c.version,
		"routes": []any{
			map[string]any{
				"name": "r-plans", "host": routeHost, "pathPrefix": routePrefix, "kind": "non_idempotent", "timeoutMs": 3000, "completionTargetMs": 1000,
				"priority": 1, "service": serviceName, "maxAttempts": 4, "stretch": 3.0, "public": false,
			},
		},
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "rejectsOverload": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "kaje80", "apiKeys": []string{key}, "priority": 1, "guaranteed": map[string]any{"gpu": 16}}},
	}
	status, _ := c.call(ctx, http.MethodPost, "http://"+c.fronts[0].control+"/v1/Config.Replace", "", manifest)
	return status == http.StatusOK
}

// call sends one call and returns its status, or zero without an answer.
func (c *cluster) call(ctx context.Context, method, url, host string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return 0, ""
	}
	q.Header.Set("Content-Type", "application/json")
	if host != "" {
		q.Host = host
		q.Header.Set("X-Credential", tenantKey)
		q.Header.Set("X-Deadline-Ms", "3000")
	}
	response, err := c.client.Do(q)
	if err != nil {
		c.record.line("call %s %s %s -> no answer: %v", method, url, data, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	c.record.line("call %s %s %s -> %d %s", method, url, data, response.StatusCode, answer)
	return response.StatusCode, string(answer)
}

// submit hands in a job until it has a final answer, as a client does.
func (c *cluster) submit(ctx context.Context, id string, work workload, phases []map[string]any) bool {
	spec, _ := json.Marshal(work)
	for try := range 20 {
		f := c.fronts[try%len(c.fronts)]
		status, _ := c.call(ctx, http.MethodPost, "http://"+f.callers+routePrefix+id, routeHost, map[string]any{"spec": string(spec), "phases": phases})
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state returns the state of a job, or "" without an answer.
func (c *cluster) state(ctx context.Context, id string) string {
	for _, f := range c.fronts {
		status, answer := c.call(ctx, http.MethodGet, "http://"+f.callers+routePrefix+id, routeHost, nil)
		var d struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(answer), &d) == nil {
			return d.State
		}
	}
	return ""
}

// await waits until the condition holds, and reports whether it did in time.
func await(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// stop ends all processes that the case has started.
func (c *cluster) stop() {
	for _, cmd := range c.commands {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
	for _, cmd := range c.commands {
		_ = cmd.Wait()
	}
	for _, r := range c.world.runners {
		if r.server != nil {
			r.cancel()
			_ = r.server.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}
