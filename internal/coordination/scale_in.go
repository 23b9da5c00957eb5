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

// idleTimeShare is how long a machine may stand idle, as a share of the time it
// took to boot.
const idleTimeShare = 0.75

// scaleIn drains the machines that have stood idle for long enough.
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
		if c.now-m.unboundSince > seconds(idleTimeShare*c.machineTypeOf(m).StartupS) && !c.scaler.unshipped.holds(m.id) {
			c.drainMachine(m, drainIdle, protocol.Compare{Key: keyFleet, ModRevision: c.scaler.leaderRevision}) // one that was replaced returns nothing
		}
	}
}

// deleteMachines returns machines: drained ones once nothing is bound to them,
// silent and lost ones at once. The cloud's 200 is the evidence that
// whatever was on them is gone.
//
// The fence: no deletion is asked for but of a machine that the cloud lists as failed, or whose drain is on record. Every
// placement is conditional on the absence of a drain, and only a deletion that was answered lets the record go. So a deletion that is
// carried out late, after its sender was replaced and forgotten, hits a machine on which nothing was placed
// since it was asked for.
func (c *Core) deleteMachines() {
	f := &c.scaler
	for id, d := range c.machines.drains {
		m := c.machines.byID[id]
		if m == nil || m.token == 0 || len(m.bound) == 0 && c.drainSettled(id) || drainSeverity[d.Reason] >= drainSeverity[drainSilent] {
			f.toDelete[id] = true
		}
	}
	var unattended []string // most machines are looked after by a living controller
	for id, m := range c.machines.byID {
		if _, gone := f.deletedAt[id]; gone || m.token == 0 || !c.alive(m.claim.Owner) {
			unattended = append(unattended, id)
		} else if f.orphanedSince[id] != 0 {
			delete(f.orphanedSince, id)
		}
	}
	sort.Strings(unattended)
	for _, id := range unattended {
		m := c.machines.byID[id]
		if t, ok := f.deletedAt[id]; ok && (m.token != 0 || len(m.bound) > 0) && f.deletionConfirmed[id] && c.now-t < seconds(2*c.cfg.Facts.Cloud.ListLag) {
			// Known to be gone: releases that failed are proposed again, and
			// the records go once nothing is bound any more.
			c.releaseMachineTasks(id)
			c.dropMachineRecords(id)
			continue
		}
		if !c.mirrorFresh() {
			continue
		}
		// Guards against tasks bound for ever: whoever deleted the machine
		// may have died before their release was committed.
		if m.token == 0 && len(m.bound) > 0 {
			f.toDrain[id] = drainStray
			continue
		}
		// Machines of dead controllers that report to nobody else.
		if m.token == 0 || c.alive(m.claim.Owner) { // a living owner looks after them itself
			delete(f.orphanedSince, id)
			continue
		}
		if f.orphanedSince[id] == 0 {
			f.orphanedSince[id] = c.now
		} else if c.now-f.orphanedSince[id] > c.cancelHorizon()+seconds(3*c.cfg.Facts.Workers.Report) {
			// A controller that is only cut off sends its workers on when
			// its horizon is reached; what has not moved by then is lost.
			f.toDrain[id] = drainLost
		}
	}
	c.drainUnheldMachines()
	if len(f.toDelete) == 0 || f.cloudCalls.level < 1 {
		return
	}
	var names []string
	for id := range f.toDelete {
		if t, ok := f.deletedAt[id]; !ok || c.now-t > seconds(2*c.cfg.Facts.Cloud.ListLag) {
			names = append(names, id)
		}
	}
	sort.Strings(names)
	if len(names) > 100 {
		names = names[:100]
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
	})
}

// drainUnheldMachines writes the drains of machines that are to be returned and that nobody looks after, as many in a transaction as it
// takes: conditional on who rents, so that one that was replaced condemns nothing, and on their claims, so that what has been claimed
// since is left alone.
func (c *Core) drainUnheldMachines() {
	f := &c.scaler
	// Guards against a judgement that waits for the budget while the machine reports and is claimed: conditional on
	// that claim, the drain would be written all the same.
	for id, why := range f.toDrain {
		m := c.machines.byID[id]
		claimed := m != nil && m.token != 0
		if _, drained := c.machines.drains[id]; drained || claimed != (why == drainLost) || claimed && c.alive(m.claim.Owner) {
			delete(f.toDrain, id)
		}
	}
	if f.drainInFlight || f.leadershipInFlight || len(f.toDrain) == 0 {
		return
	}
	compares := []protocol.Compare{{Key: keyFleet, ModRevision: f.leaderRevision}}
	var ops []protocol.Op
	for _, id := range sortedKeys(f.toDrain) {
		held := []protocol.Compare{{Key: keyDrain + id}, {Key: keyClaim + id}}
		if m := c.machines.byID[id]; m != nil {
			held = append(m.ownershipCompares(), held[0])
		}
		held = slices.DeleteFunc(held, func(k protocol.Compare) bool { return slices.Contains(compares, k) })
		if len(ops) == c.cfg.Facts.State.TxnOps || len(compares)+len(held) > 4*c.cfg.Facts.State.TxnOps {
			break
		}
		compares = append(compares, held...)
		ops = append(ops, protocol.Op{Put: keyDrain + id, Value: encode(drainRecord{f.toDrain[id]})})
	}
	f.drainInFlight = true
	c.state.Txn(ratelimit.OtherWork, compares, ops, func(o stateclient.TxnOutcome, failed []string, _ uint64) {
		f.drainInFlight = false
		if o == stateclient.Committed {
			for _, op := range ops {
				id := strings.TrimPrefix(op.Put, keyDrain)
				c.log.Info("draining a machine that nobody holds", "machine", id, "reason", c.machines.drains[id].Reason)
			}
		}
		if o != stateclient.Conflict {
			return // what is not on record then is tried again
		}
		for _, key := range failed {
			delete(f.toDrain, strings.TrimPrefix(strings.TrimPrefix(key, keyClaim), keyDrain))
		}
	})
}

// drainSettled tells whether nothing can be placed on a drained machine any more that our mirror does not show. Placements are
// conditional on the absence of the drain, so what there is was committed before it, and the mirror has reached it.
//
// Guards against a deletion that overtakes the records: our own drain is in the mirror with its answer, ahead of
// what others had placed there before it.
func (c *Core) drainSettled(id string) bool {
	return c.state.AppliedRevision() >= c.state.ModRevision(keyDrain+id)
}

// releaseMachineTasks releases everything on a machine of which the cloud has said
// that it is no more.
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

// dropMachineRecords drops the records of a machine that is gone, once nothing is
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
		c.state.Txn(ratelimit.OtherWork, compares, ops, func(stateclient.TxnOutcome, []string, uint64) {})
	}
}
