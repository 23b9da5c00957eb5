package coordination

import (
	"encoding/json"

	"silvergate/internal/protocol"
	"silvergate/internal/stateclient"
)

// drainRecord is the record that excludes a machine from new work: placements are conditional on
// its absence.
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
	drainStray     = "stray" // no controller owns it: it never sent a heartbeat, or its claim was deleted
	drainLost      = "lost"  // it was lost together with its controller
)

// drainSeverity orders the reasons by severity. Machines that are drained for a reason at least as
// severe as drainSilent are deleted even while tasks are bound to them.
var drainSeverity = map[string]int{
	drainIdle:      0,
	drainPreempted: 1,
	drainFaulty:    2,
	drainSilent:    3,
	drainStray:     3,
	drainLost:      3,
	drainFailed:    4,
}

// unschedulable reports whether the machine is excluded from new work.
func (c *Core) unschedulable(m *machine) bool {
	_, drained := c.machines.drains[m.id]
	return drained || m.draining || m.preempted || m.leaseExpired || m.consolidating || m.claiming || !m.tokenSeen
}

// applyDrain applies a change of a machine's drain record in the mirror.
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

// drainMachine writes a machine's drain record, on the additional conditions in compares.
func (c *Core) drainMachine(m *machine, reason string, compares ...protocol.Compare) {
	if m.draining || !c.machines.drainWanted(m, reason) {
		return
	}
	m.draining = true
	c.scheduler.removeFromIdleList(m)
	c.log.Debug("draining a machine", "machine", m.id, "reason", reason)
	key := keyDrain + m.id
	compares = append(compares, protocol.Compare{Key: key, ModRevision: c.state.ModRevision(key)})
	// The write is also conditional on the claim: a controller that was cut off must not drain
	// machines that another controller has taken over in the meantime.
	compares = append(compares, m.ownershipCompares()...)
	ops := []protocol.Op{{Put: key, Value: encode(drainRecord{Reason: reason})}}
	c.state.Txn(m.rateClass(), compares, ops, func(stateclient.TxnOutcome, []string, uint64) {
		m.draining = false
	})
}

// drainWanted reports whether a drain record with the given reason should be written.
//
// Guards against two reasons that keep replacing each other on one machine and use up the state
// service's rate: a reason only replaces a less severe one, and only while tasks are bound to the
// machine, because without them the reason makes no difference.
func (t *machineTable) drainWanted(m *machine, reason string) bool {
	earlier, drained := t.drains[m.id]
	if !drained {
		return true
	}
	return drainSeverity[earlier.Reason] < drainSeverity[reason] && len(m.bound) > 0
}
