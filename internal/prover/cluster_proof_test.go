//go:build proof

package prover

import (
	"encoding/json"
	"syscall"
)

// freeze stops a process as it is; thaw lets it go on.
func (c *cluster) freeze(name string) { _ = c.process(name).cmd.Process.Signal(syscall.SIGSTOP) }

func (c *cluster) thaw(name string) { _ = c.process(name).cmd.Process.Signal(syscall.SIGCONT) }

func (c *cluster) agents(entry int) int {
	var list []json.RawMessage
	if c.get(entry, "/v1/agents", &list) != nil {
		return 0
	}
	return len(list)
}

// voters counts the voting replicas as the leader has them.
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
