//go:build proof

package prover

import (
	"encoding/json"
	"syscall"
)

// suspend stops a process with SIGSTOP; resume continues it.
func (c *cluster) suspend(name string) { _ = c.process(name).cmd.Process.Signal(syscall.SIGSTOP) }

func (c *cluster) resume(name string) { _ = c.process(name).cmd.Process.Signal(syscall.SIGCONT) }

// attachedAgents counts the agents attached according to an entry.
func (c *cluster) attachedAgents(entry int) int {
	var list []json.RawMessage
	if c.get(entry, "/v1/agents", &list) != nil {
		return 0
	}
	return len(list)
}

// voters counts the voting replicas as reported by the leader, through the first entry that responds.
func (c *cluster) voters() int {
	for i := range c.entries {
		var s clusterStatus
		if c.get(i, "/v1/cluster", &s) != nil {
			continue
		}
		n := 0
		for _, m := range s.Members {
			if m.Voter {
				n++
			}
		}
		return n
	}
	return 0
}
