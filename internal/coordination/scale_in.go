package coordination

import (
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"silvergate/internal/fencing"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// deletionState holds the machines to be drained or deleted, and the state of their deletion.
type deletionState struct {
	toDelete          map[string]bool
	deletedAt         map[string]time.Duration // when the deletion was last requested
	deletionConfirmed map[string]bool          // whether the cloud has confirmed that deletion
	toDrain           map[string]string        // drain reasons of machines without a controller that is up
	drainInFlight     bool
	orphanedSince     map[string]time.Duration // since when the machine's owner has been down
}

func newDeletionState() deletionState {
	return deletionState{
		toDelete:          map[string]bool{},
		deletedAt:         map[string]time.Duration{},
		deletionConfirmed: map[string]bool{},
		toDrain:           map[string]string{},
		orphanedSince:     map[string]time.Duration{},
	}
}

// idleTimeShare is how long a machine may be idle, as a share of the startup time of its type.
const idleTimeShare = 0.75

// scaleIn drains the machines that have been idle beyond their limit, except those that are known to have
// unshipped output: until they are to be deleted they can take new work.
func (c *Core) scaleIn(slots []*slot) {
	for _, s := range slots {
		m := c.machines.byID[s.id]
		if m == nil || s.planned {
			continue
		}
		if s.used || s.bound || m.gpus > 0 || m.cpus > 0 {
			m.idleSince = c.now
			continue
		}
		idleLimit := seconds(idleTimeShare * c.machineTypeOf(m).StartupS)
		if c.now-m.idleSince > idleLimit && !c.awaitsOutput(m) {
			// The condition on the leader record keeps a replaced leader from draining machines.
			c.drainMachine(m, drainIdle, protocol.Compare{Key: keyFleet, ModRevision: c.scaler.leaderRevision})
		}
	}
}

// deleteMachines deletes drained machines and those that the cloud lists as failed. Machines drained
// as silent, stray, lost or failed are deleted at once if tasks are bound to them, and the others
// once nothing is bound to them and their output is shipped, see judgeDeletion.
// The cloud's 200 response is the evidence that whatever ran on them has ended.
//
// Deletions are fenced: the leader requests the deletion only of machines that the cloud lists as
// failed or that have a drain record. Every placement is conditional on the absence of a drain
// record, and only a confirmed deletion removes that record. So if the cloud carries out a deletion
// late, after its sender was replaced, nothing has been placed on the machine since the request.
func (c *Core) deleteMachines() {
	c.collectDrained()
	for _, id := range c.unattendedMachines() {
		c.checkUnattended(id)
	}
	c.drainUnownedMachines()
	if len(c.scaler.toDelete) == 0 || c.scaler.cloudCalls.tokens < 1 {
		return
	}
	c.requestDeletions()
}

// collectDrained marks for deletion the drained machines that may be deleted, and asks those for their
// output of which only that is not known.
func (c *Core) collectDrained() {
	var undecided []*machine
	for id, drain := range c.machines.drains {
		switch c.judgeDeletion(id, drain) {
		case deletionAllowed:
			c.scaler.toDelete[id] = true
		case deletionAwaitsOutput:
			undecided = append(undecided, c.machines.byID[id])
		}
	}
	c.askForOutput(undecided)
}

// unattendedMachines returns, sorted by name, the machines without an owner that is up and those
// whose deletion was requested. There are usually few.
func (c *Core) unattendedMachines() (ids []string) {
	f := &c.scaler
	for id, m := range c.machines.byID {
		_, deleted := f.deletedAt[id]
		if deleted || m.token == 0 || !c.alive(m.claim.Owner) {
			ids = append(ids, id)
		} else if f.orphanedSince[id] != 0 {
			delete(f.orphanedSince, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// checkUnattended deletes the records of a deleted machine, and marks for draining a machine that
// has no owner but bound tasks, or whose owner has been down for too long.
func (c *Core) checkUnattended(id string) {
	f := &c.scaler
	m := c.machines.byID[id]
	if f.deletedSince(id, c.now-c.deletionRetryAfter()) && (m.token != 0 || len(m.bound) > 0) {
		// Propose releases that failed again, and delete the records once nothing is bound.
		c.releaseMachineTasks(id)
		c.dropMachineRecords(id)
		return
	}
	if !c.mirrorFresh() {
		return
	}
	// Guards against tasks that stay bound forever: the controller that deleted the machine may
	// have crashed before it committed their release.
	if m.token == 0 && len(m.bound) > 0 {
		f.toDrain[id] = drainStray
		return
	}
	if m.token == 0 || c.alive(m.claim.Owner) { // an owner that is up handles its own machines
		delete(f.orphanedSince, id)
		return
	}
	if f.orphanedSince[id] == 0 {
		f.orphanedSince[id] = c.now
		return
	}
	// A controller that is only cut off redirects its workers once its cancel horizon is
	// reached. A machine that no other controller has claimed by then is lost.
	if c.now-f.orphanedSince[id] > c.cancelHorizon()+seconds(3*c.cfg.Facts.Workers.Heartbeat) {
		f.toDrain[id] = drainLost
	}
}

// deletedSince reports whether the machine's deletion was requested after the time since and the
// cloud has confirmed it.
func (d *deletionState) deletedSince(id string, since time.Duration) bool {
	at, deleted := d.deletedAt[id]
	return deleted && d.deletionConfirmed[id] && at > since
}

// deletionRetryAfter returns the time after which a deletion may be requested again: twice the
// lag of the cloud's list.
func (c *Core) deletionRetryAfter() time.Duration { return seconds(2 * c.cfg.Facts.Cloud.ListLag) }

// maxDeletionCount is the maximum number of machines in one deletion request.
const maxDeletionCount = 100

// requestDeletions asks the cloud to delete the machines in toDelete, except those whose deletion
// was requested only recently.
func (c *Core) requestDeletions() {
	f := &c.scaler
	var names []string
	for id := range f.toDelete {
		if at, ok := f.deletedAt[id]; !ok || c.now-at > c.deletionRetryAfter() {
			names = append(names, id)
		}
	}
	sort.Strings(names)
	if len(names) > maxDeletionCount {
		names = names[:maxDeletionCount]
	}
	clear(f.toDelete)
	if len(names) == 0 {
		return
	}
	for _, id := range names {
		c.recordDeletion(id)
		f.deletedAt[id] = c.now // prevents another request while this one is in flight
		delete(f.deletionConfirmed, id)
	}
	c.callCloud(http.MethodPost, protocol.PathRentalsDelete, protocol.MachineNames{Machines: names}, func(r protocol.Reply) {
		c.handleDeletionReply(names, r)
	})
}

// recordDeletion logs why a machine is deleted. If output may be lost with it, it warns and counts that.
func (c *Core) recordDeletion(id string) {
	m := c.machines.byID[id]
	_, repeated := c.scaler.deletedAt[id] // a deletion is repeated until the records of the machine are gone
	if m == nil || repeated {
		return
	}
	reason := c.machines.drains[id].Reason
	emptyFor := c.now - m.emptySince
	if c.verbose {
		c.log.Debug("requesting a deletion", "machine", id, "reason", reason, "bound", len(m.bound), "owner", m.claim.Owner,
			"empty_for", emptyFor, "output_shipped", m.output.shipped)
	}
	if c.cfg.Operator.Archive != nil && m.token != 0 && len(m.bound) == 0 && !m.output.shipped {
		c.Stats.UnshippedDeletions++
		c.log.Warn("a machine is returned with output that the archive has not acknowledged", "machine", id, "reason", reason, "waited", emptyFor)
	}
}

// handleDeletionReply handles the cloud's reply to a deletion request. A failed request is repeated;
// a confirmed one releases the tasks of the machines and deletes their records.
func (c *Core) handleDeletionReply(names []string, r protocol.Reply) {
	f := &c.scaler
	if r.Status != http.StatusOK {
		for _, id := range names {
			f.toDelete[id] = true
			delete(f.deletedAt, id)
		}
		return
	}
	c.Stats.MachinesDeleted += uint64(len(names))
	c.log.Info("deleted machines", "machines", names)
	for _, id := range names {
		f.deletionConfirmed[id] = true
		c.releaseMachineTasks(id)
		c.dropMachineRecords(id)
	}
}

// drainUnownedMachines writes drain records for the machines in toDrain, which no controller that is
// up owns, as many as fit in one transaction. The transaction is conditional on the leader record,
// so that a replaced leader drains nothing, and on the machines' claims, so that a machine that has
// been claimed in the meantime is not drained.
func (c *Core) drainUnownedMachines() {
	f := &c.scaler
	c.dropObsoleteDrains()
	if f.drainInFlight || f.leadershipInFlight || len(f.toDrain) == 0 {
		return
	}
	compares := []protocol.Compare{{Key: keyFleet, ModRevision: f.leaderRevision}}
	var ops []protocol.Op
	maxOps := c.cfg.Facts.State.TxnOps
	for _, id := range sortedKeys(f.toDrain) {
		conditions := []protocol.Compare{{Key: keyDrain + id}, {Key: keyClaim + id}}
		if m := c.machines.byID[id]; m != nil {
			conditions = append(m.ownershipCompares(), conditions[0])
		}
		conditions = slices.DeleteFunc(conditions, func(k protocol.Compare) bool { return slices.Contains(compares, k) })
		if len(ops) == maxOps || len(compares)+len(conditions) > maxComparesPerOp*maxOps {
			break
		}
		compares = append(compares, conditions...)
		ops = append(ops, protocol.Op{Put: keyDrain + id, Value: encode(drainRecord{f.toDrain[id]})})
	}
	f.drainInFlight = true
	c.state.Txn(ratelimit.OtherWork, compares, ops, func(o stateclient.TxnOutcome, failed []string, _ uint64) {
		c.handleDrainOutcome(ops, o, failed)
	})
}

// maxComparesPerOp is the maximum number of conditions in a transaction per change that it may hold.
const maxComparesPerOp = 4

// dropObsoleteDrains removes from toDrain the machines that already have a drain record, or whose
// reason for the drain no longer holds.
//
// It guards against a drain that waits for the rate limit while the machine sends a heartbeat and
// is claimed: the drain would then be conditional on the new claim and would be written anyway.
func (c *Core) dropObsoleteDrains() {
	toDrain := c.scaler.toDrain
	for id, reason := range toDrain {
		m := c.machines.byID[id]
		claimed := m != nil && m.token != 0
		_, drained := c.machines.drains[id]
		if drained || claimed != (reason == drainLost) || claimed && c.alive(m.claim.Owner) {
			delete(toDrain, id)
		}
	}
}

// handleDrainOutcome handles the outcome of a transaction that writes drain records. Drains that
// were not written are retried, except those for which a condition failed.
func (c *Core) handleDrainOutcome(ops []protocol.Op, outcome stateclient.TxnOutcome, failed []string) {
	c.scaler.drainInFlight = false
	switch outcome {
	case stateclient.Committed:
		for _, op := range ops {
			id := strings.TrimPrefix(op.Put, keyDrain)
			c.log.Info("draining a machine that no live controller owns", "machine", id, "reason", c.machines.drains[id].Reason)
		}
	case stateclient.Conflict:
		for _, key := range failed {
			delete(c.scaler.toDrain, strings.TrimPrefix(strings.TrimPrefix(key, keyClaim), keyDrain))
		}
	}
}

// drainSettled reports whether the mirror shows every task placed on a drained machine. Placements
// are conditional on the absence of a drain record, so all of them were committed before the drain,
// and the mirror shows them once it has applied all changes up to the drain's revision.
//
// It guards against deleting a machine too early: the mirror shows this controller's own drain as
// soon as the transaction is answered, before the watch has delivered earlier placements by others.
func (c *Core) drainSettled(id string) bool {
	return c.state.AppliedRevision() >= c.state.ModRevision(keyDrain+id)
}

// releaseMachineTasks proposes the release of every task on a machine that the cloud has confirmed
// as deleted or lists as failed.
func (c *Core) releaseMachineTasks(id string) {
	m := c.machines.byID[id]
	if m == nil {
		return
	}
	for _, k := range m.boundTasks() {
		rec := m.bound[k]
		t := rec.task(c, k.index)
		if !c.releasePending(rec, k.index) {
			c.propose(rec, k.index, taskTransition{machine: id, epoch: t.Epoch, attempt: t.Attempt, proof: fencing.MachineDeleted})
		}
	}
}

// dropMachineRecords deletes the claim and the drain record of a deleted machine once no task is
// bound to it.
func (c *Core) dropMachineRecords(id string) {
	if m := c.machines.byID[id]; m != nil && (len(m.bound) > 0 || m.dropRetryAt > c.now) {
		return
	} else if m != nil {
		m.dropRetryAt = c.now + time.Second
	}
	var compares []protocol.Compare
	var ops []protocol.Op
	for _, key := range []string{keyClaim + id, keyDrain + id} {
		if s := c.state.ModRevision(key); s != 0 {
			compares = append(compares, protocol.Compare{Key: key, ModRevision: s})
			ops = append(ops, protocol.Op{Delete: key})
		}
	}
	if len(ops) > 0 {
		c.state.Txn(ratelimit.OtherWork, compares, ops, ignoreOutcome)
	}
}
