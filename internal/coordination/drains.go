package coordination

import (
	"encoding/json"

	"silvergate/internal/protocol"
	"silvergate/internal/stateclient"
)

// drainRecord bars a machine from new work; placements are conditional on its absence.
type drainRecord struct {
	Reason string `json:"w"`
}

// Reasons for a drain.
const (
	drainIdle      = "idle"
	drainSilent    = "silent"
	drainPreempted = "recall"
	drainFaulty    = "faulty"
	drainFailed    = "failed"
	drainStray     = "stray" // nobody owns it: it never sent a heartbeat, or its claim was deleted
	drainLost      = "lost"  // it was lost with its controller
)

// drainSeverity orders the reasons: machines drained for the more severe ones are deleted
// without waiting until nothing is bound to them.
var drainSeverity = map[string]int{
	drainIdle:      0,
	drainPreempted: 1,
	drainFaulty:    2,
	drainSilent:    3,
	drainStray:     3,
	drainLost:      3,
	drainFailed:    4,
}

// unschedulable tells whether new work may not be placed on the machine.
func (c *Core) unschedulable(m *machine) bool {
	_, drained := c.machines.drains[m.id]
	return drained || m.draining || m.preempted || m.leaseExpired || m.consolidating || m.claiming || !m.tokenSeen
}

// applyDrain takes a change of a machine's drain record from the mirror.
func (c *Core) applyDrain(id string, data json.RawMessage) {
	if data == nil {
		delete(c.machines.drains, id)
		return
	}
	var drain drainRecord
	if !decode(c.log, id, data, &drain) {
		return
	}
	c.machines.drains[id] = drain
	if m := c.machines.byID[id]; m != nil {
		c.scheduler.removeFromIdleList(m)
	}
}

// drainMachine writes a machine's drain record, under further conditions if any.
func (c *Core) drainMachine(m *machine, reason string, compares ...protocol.Compare) {
	if m.draining || !c.machines.drainWanted(m, reason) {
		return
	}
	m.draining = true
	c.scheduler.removeFromIdleList(m)
	c.log.Debug("draining a machine", "machine", m.id, "reason", reason)
	key := keyDrain + m.id
	compares = append(compares, protocol.Compare{Key: key, ModRevision: c.state.ModRevision(key)})
	// The claim is a condition too: a controller that was cut off must not
	// drain machines that have long sent their heartbeats to another.
	compares = append(compares, m.ownershipCompares()...)
	ops := []protocol.Op{{Put: key, Value: encode(drainRecord{Reason: reason})}}
	c.state.Txn(m.class(), compares, ops, func(stateclient.TxnOutcome, []string, uint64) {
		m.draining = false
	})
}

// drainWanted tells whether a drain for a reason adds anything to the machine's drain
// record.
//
// Guards against two reasons that replace each other in turn on one machine and use up
// the state service's rate: only a more severe one replaces an earlier one, and
// only while it makes a difference to what is on the machine.
func (t *machineTable) drainWanted(m *machine, reason string) bool {
	earlier, drained := t.drains[m.id]
	if !drained {
		return true
	}
	return drainSeverity[earlier.Reason] < drainSeverity[reason] && len(m.bound) > 0
}
