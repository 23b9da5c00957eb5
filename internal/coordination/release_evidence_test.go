package coordination

import (
	"strings"
	"testing"
	"time"

	"silvergate/internal/fencing"
	"silvergate/internal/job"
)

// TestEvidenceDoesNotOutliveItsClaim guards against a task that ran twice, found by a search on
// carbura-iasi: its release was proposed under one claim and committed under the next claim of the
// same controller, although a peer had answered the worker between the two claims.
func TestEvidenceDoesNotOutliveItsClaim(t *testing.T) {
	for _, claimRenewed := range []bool{false, true} {
		s := newSim(t, 53, 0)
		s.submit(&job.Spec{ID: "wk-700000", Class: "svc", Team: "blue", Shape: job.Service, Tasks: 1, Priority: job.Production,
			CPUs: 1, GPUs: 1, MemoryGB: 1}, 0, 0)
		s.run(40 * time.Second)
		tried := false
		for _, n := range s.controllers {
			c := n.core
			for _, m := range c.machines.own {
				for _, k := range m.boundTasks() {
					tried = true
					r := m.bound[k]
					task := *r.task(c, k.index)
					c.beginStep(n.clock())
					c.propose(r, k.index, taskTransition{machine: m.id, epoch: task.Epoch, attempt: task.Attempt, proof: fencing.LeaseExpired})
					if claimRenewed {
						c.applyChange(keyClaim+m.id, encode(m.claim), c.state.AppliedRevision()+1)
					}
					c.flush()
					sent := 0
					for _, k := range c.effects.Calls {
						if strings.Contains(string(k.Body), pageKey("wk-700000", 0)) {
							sent++
						}
					}
					if (sent == 0) != claimRenewed {
						t.Errorf("claim renewed: %v, %d releases were sent", claimRenewed, sent)
					}
				}
			}
		}
		if !tried {
			t.Fatal("no task is bound to any machine")
		}
	}
}
