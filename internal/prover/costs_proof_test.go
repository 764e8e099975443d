//go:build proof

package prover

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// resourceUsage is the total resource usage of a process.
type resourceUsage struct {
	cpu      time.Duration
	resident int // in KiB
	written  int // bytes to files and sockets, from /proc/PID/io
	read     int // bytes from files and sockets
}

// resourceUsageOf reads the usage of a process from /proc; what cannot be read is zero.
func resourceUsageOf(pid int) resourceUsage {
	const ticksPerSecond = 100
	var c resourceUsage
	if data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		fields := strings.Fields(string(data[strings.LastIndex(string(data), ")")+1:]))
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		c.cpu = time.Duration(user+system) * time.Second / ticksPerSecond
	}
	if data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		c.resident = numberAfter(string(data), "VmRSS:")
	}
	if data, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid)); err == nil {
		c.written, c.read = numberAfter(string(data), "wchar:"), numberAfter(string(data), "rchar:")
	}
	return c
}

func numberAfter(text, label string) int {
	_, rest, ok := strings.Cut(text, label)
	if !ok {
		return 0
	}
	n, _ := strconv.Atoi(strings.Fields(rest)[0])
	return n
}

// logIdleUsage logs the resource usage of some processes of each role over 20 s without load.
func (c *cluster) logIdleUsage(agents int) {
	const span = 20 * time.Second
	names := []string{"w0", "w1", "entry0", "entry1", "entry2"}
	leader := fmt.Sprint("entry", c.leader())
	before := map[string]resourceUsage{}
	for _, name := range names {
		before[name] = resourceUsageOf(c.process(name).cmd.Process.Pid)
	}
	time.Sleep(span)
	for _, name := range names {
		after, b := resourceUsageOf(c.process(name).cmd.Process.Pid), before[name]
		role := name
		if name == leader {
			role += " (leader)"
		}
		c.t.Logf("%d agents, idle: %s %.2f%% of a core, %.1f MB resident, %.1f KB/s written, %.1f KB/s read", agents, role,
			100*float64(after.cpu-b.cpu)/float64(span), float64(after.resident)/1024,
			float64(after.written-b.written)/1024/span.Seconds(), float64(after.read-b.read)/1024/span.Seconds())
	}
}
