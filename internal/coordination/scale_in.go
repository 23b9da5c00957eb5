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

// deletionState is what is known of machines that are to be drained or deleted.
type deletionState struct {
	toDelete          map[string]bool
	deletedAt         map[string]time.Duration // when the deletion was requested
	deletionConfirmed map[string]bool          // and whether the cloud has confirmed it
	toDrain           map[string]string        // machines that nobody looks after, with the reason of the drain
	drainInFlight     bool
	orphanedSince     map[string]time.Duration // since when a machine's owner is down
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

// idleTimeShare is how long a machine may be idle, as a share of the time it
// took to boot.
const idleTimeShare = 0.75

// scaleIn drains the machines that have been idle for long enough.
func (c *Core) scaleIn(slots []*slot) {
	for _, s := range slots {
		m := c.machines.byID[s.id]
		if m == nil || s.planned {
			continue
		}
		if s.used || s.bound || m.gpus > 0 || m.cpus > 0 {
			m.unboundSince = c.now
			continue
		}
		idleLimit := seconds(idleTimeShare * c.machineTypeOf(m).StartupS)
		if c.now-m.unboundSince > idleLimit && !c.scaler.unshipped.holds(m.id) {
			// A leader that was replaced drains nothing.
			c.drainMachine(m, drainIdle, protocol.Compare{Key: keyFleet, ModRevision: c.scaler.leaderRevision})
		}
	}
}

// deleteMachines deletes machines: drained ones once nothing is bound to them,
// silent and lost ones at once. The cloud's 200 is the evidence that
// whatever ran on them has ended.
//
// The fence: no deletion is requested but of a machine that the cloud lists as failed, or
// whose drain is on record. Every placement is conditional on the absence of a drain, and
// only a confirmed deletion lets the record go. So a deletion that is carried out late,
// after its sender was replaced and forgotten, hits a machine on which nothing was placed
// since it was requested.
func (c *Core) deleteMachines() {
	c.collectDrained()
	for _, id := range c.unattendedMachines() {
		c.checkUnattended(id)
	}
	c.drainUnheldMachines()
	if len(c.scaler.toDelete) == 0 || c.scaler.cloudCalls.tokens < 1 {
		return
	}
	c.requestDeletions()
}

// collectDrained has drained machines deleted that hold nothing, or that are beyond use.
func (c *Core) collectDrained() {
	for id, drain := range c.machines.drains {
		m := c.machines.byID[id]
		unclaimed := m == nil || m.token == 0
		beyondUse := drainSeverity[drain.Reason] >= drainSeverity[drainSilent]
		if unclaimed || beyondUse || len(m.bound) == 0 && c.drainSettled(id) {
			c.scaler.toDelete[id] = true
		}
	}
}

// unattendedMachines lists, by name, the machines that no controller which is up looks after
// and those whose deletion was requested: few, as a rule.
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

// checkUnattended drops the records of a machine that is deleted, and has one drained that
// nobody looks after.
func (c *Core) checkUnattended(id string) {
	f := &c.scaler
	m := c.machines.byID[id]
	if f.deletedSince(id, c.now-c.deletionRetryAfter()) && (m.token != 0 || len(m.bound) > 0) {
		// Releases that failed are proposed again, and the records go once
		// nothing is bound any more.
		c.releaseMachineTasks(id)
		c.dropMachineRecords(id)
		return
	}
	if !c.mirrorFresh() {
		return
	}
	// Guards against tasks bound for ever: whoever deleted the machine
	// may have died before their release was committed.
	if m.token == 0 && len(m.bound) > 0 {
		f.toDrain[id] = drainStray
		return
	}
	if m.token == 0 || c.alive(m.claim.Owner) { // an owner that is up looks after them itself
		delete(f.orphanedSince, id)
		return
	}
	if f.orphanedSince[id] == 0 {
		f.orphanedSince[id] = c.now
		return
	}
	// A controller that is only cut off redirects its workers when its cancellation
	// horizon is reached; what has not moved by then is lost.
	if c.now-f.orphanedSince[id] > c.cancelHorizon()+seconds(3*c.cfg.Facts.Workers.Report) {
		f.toDrain[id] = drainLost
	}
}

// deletedSince tells whether a machine's deletion was requested after a time and has been
// confirmed.
func (d *deletionState) deletedSince(id string, since time.Duration) bool {
	at, deleted := d.deletedAt[id]
	return deleted && d.deletionConfirmed[id] && at > since
}

// deletionRetryAfter is how long after a deletion was requested it may be requested again:
// twice the time by which the cloud's list may lag.
func (c *Core) deletionRetryAfter() time.Duration { return seconds(2 * c.cfg.Facts.Cloud.ListLag) }

// maxDeletionCount bounds the machines of one request.
const maxDeletionCount = 100

// requestDeletions has the cloud delete the machines that are to be deleted.
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
		f.deletedAt[id] = c.now // not again while this is under way
		delete(f.deletionConfirmed, id)
	}
	c.callCloud(http.MethodPost, protocol.PathRentalsDelete, protocol.MachineNames{Machines: names}, func(r protocol.Reply) {
		c.handleDeletionReply(names, r)
	})
}

// handleDeletionReply takes the cloud's answer to a request for deletions.
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
	c.log.Info("machines returned", "machines", names)
	for _, id := range names {
		f.deletionConfirmed[id] = true
		c.releaseMachineTasks(id)
		c.dropMachineRecords(id)
	}
}

// drainUnheldMachines writes the drains of machines that are to be deleted and that nobody
// looks after, as many in a transaction as it takes: conditional on our leadership, so that a
// leader that was replaced drains nothing, and on their claims, so that what has been
// claimed since is left alone.
func (c *Core) drainUnheldMachines() {
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

// maxComparesPerOp bounds the conditions of a transaction, as a multiple of the changes that it
// may have.
const maxComparesPerOp = 4

// dropObsoleteDrains forgets drains that are on record by now, or whose reason holds no more.
//
// Guards against a judgement that waits for the rate limit while the machine sends a
// heartbeat and is claimed: conditional on that claim, the drain would be written all the same.
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

// handleDrainOutcome takes what came of a transaction that writes drains. What is not on
// record then is tried again, unless a condition on it failed.
func (c *Core) handleDrainOutcome(ops []protocol.Op, outcome stateclient.TxnOutcome, failed []string) {
	c.scaler.drainInFlight = false
	switch outcome {
	case stateclient.Committed:
		for _, op := range ops {
			id := strings.TrimPrefix(op.Put, keyDrain)
			c.log.Info("draining a machine that nobody holds", "machine", id, "reason", c.machines.drains[id].Reason)
		}
	case stateclient.Conflict:
		for _, key := range failed {
			delete(c.scaler.toDrain, strings.TrimPrefix(strings.TrimPrefix(key, keyClaim), keyDrain))
		}
	}
}

// drainSettled tells whether the mirror shows everything that is placed on a drained machine.
// Placements are conditional on the absence of the drain, so what there is was committed
// before it, and the mirror has reached the drain's revision.
//
// Guards against a deletion that overtakes the records: our own drain is in the mirror with its answer, ahead of
// what others had placed there before it.
func (c *Core) drainSettled(id string) bool {
	return c.state.AppliedRevision() >= c.state.ModRevision(keyDrain+id)
}

// releaseMachineTasks proposes the release of everything on a machine of which the cloud
// has confirmed that it is deleted.
func (c *Core) releaseMachineTasks(id string) {
	m := c.machines.byID[id]
	if m == nil {
		return
	}
	for _, k := range m.tasks() {
		rec := m.bound[k]
		t := rec.task(c, k.index)
		if !c.releasePending(rec, k.index) {
			c.propose(rec, k.index, taskTransition{machine: id, epoch: t.Epoch, attempt: t.Attempt, proof: fencing.MachineDeleted})
		}
	}
}

// dropMachineRecords deletes the claim and the drain of a deleted machine, once nothing is
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
