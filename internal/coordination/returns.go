package coordination

import (
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"silvergate/internal/bookkeeping"
	"silvergate/internal/budget"
	"silvergate/internal/evidence"
	"silvergate/internal/protocol"
)

// listIn looks at a whole list: failed machines are evidence, others that
// nobody uses are strays.
func (c *Core) listIn() {
	f := &c.fleet
	for _, id := range sortedKeys(f.listed) {
		l := f.listed[id]
		if t, ok := f.gone[id]; ok && c.now-t < seconds(4*c.cfg.Facts.Cloud.ListLag) {
			continue
		}
		t, known := c.catalogue[l.MachineType]
		m := c.machines[id]
		switch {
		case l.Status == protocol.StatusFailed:
			c.machineGone(id)
			f.deleting[id] = true
		case m != nil && m.stamp != 0:
		case known && c.sees() && l.AgeS > 4*t.StartupS+c.cfg.Facts.Workers.Lease:
			// Never came up, or came up and nobody hears it.
			f.condemned[id] = drainStray
		}
	}
}

// machineGone releases everything on a machine of which the cloud has said
// that it is no more.
func (c *Core) machineGone(id string) {
	m := c.machines[id]
	if m == nil {
		return
	}
	for _, k := range m.tasks() {
		rec := m.bound[k]
		t := rec.task(c, k.index)
		if !c.ending(rec, k.index) {
			c.propose(rec, k.index, change{machine: id, session: t.Epoch, try: t.Attempt, kind: evidence.MachineDeleted})
		}
	}
}

// deletions returns machines: drained ones once nothing is bound to them,
// silent and lost ones at once. The cloud's 200 is the evidence that
// whatever was on them is gone.
//
// The fence: no deletion is asked for but of a machine that the cloud lists as failed, or whose drain is on record. Every
// placement is conditional on the absence of a drain, and only a deletion that was answered lets the record go. So a deletion that is
// carried out late, after its sender was replaced and forgotten, hits a machine on which nothing was placed
// since it was asked for.
func (c *Core) deletions() {
	f := &c.fleet
	for id, d := range c.drains {
		m := c.machines[id]
		if m == nil || m.stamp == 0 || len(m.bound) == 0 && c.fencedOff(id) || drainSeverity[d.Why] >= drainSeverity[drainSilent] {
			f.deleting[id] = true
		}
	}
	var odd []string // most machines are looked after by a living controller
	for id, m := range c.machines {
		if _, gone := f.gone[id]; gone || m.stamp == 0 || !c.alive(m.claim.Owner) {
			odd = append(odd, id)
		} else if f.lost[id] != 0 {
			delete(f.lost, id)
		}
	}
	sort.Strings(odd)
	for _, id := range odd {
		m := c.machines[id]
		if t, ok := f.gone[id]; ok && (m.stamp != 0 || len(m.bound) > 0) && f.fenced[id] && c.now-t < seconds(2*c.cfg.Facts.Cloud.ListLag) {
			// Known to be gone: releases that failed are proposed again, and
			// the records go once nothing is bound any more.
			c.machineGone(id)
			c.forgetMachine(id)
			continue
		}
		if !c.sees() {
			continue
		}
		// Guards against tasks bound for ever: whoever deleted the machine
		// may have died before their release was committed.
		if m.stamp == 0 && len(m.bound) > 0 {
			f.condemned[id] = drainStray
			continue
		}
		// Machines of dead controllers that report to nobody else.
		if m.stamp == 0 || c.alive(m.claim.Owner) { // a living owner looks after them itself
			delete(f.lost, id)
			continue
		}
		if f.lost[id] == 0 {
			f.lost[id] = c.now
		} else if c.now-f.lost[id] > c.horizon()+seconds(3*c.cfg.Facts.Workers.Report) {
			// A controller that is only cut off sends its workers on when
			// its horizon is reached; what has not moved by then is lost.
			f.condemned[id] = drainLost
		}
	}
	c.condemn()
	if len(f.deleting) == 0 || f.calls.level < 1 {
		return
	}
	var names []string
	for id := range f.deleting {
		if t, ok := f.gone[id]; !ok || c.now-t > seconds(2*c.cfg.Facts.Cloud.ListLag) {
			names = append(names, id)
		}
	}
	sort.Strings(names)
	if len(names) > 100 {
		names = names[:100]
	}
	clear(f.deleting)
	if len(names) == 0 {
		return
	}
	for _, id := range names {
		f.gone[id] = c.now // not again while this is under way
		delete(f.fenced, id)
	}
	c.cloud(http.MethodPost, protocol.PathRentalsDelete, protocol.MachineNames{Machines: names}, func(r protocol.Reply) {
		if r.Status != http.StatusOK {
			for _, id := range names {
				f.deleting[id] = true
				delete(f.gone, id)
			}
			return
		}
		c.Stats.Deleted += uint64(len(names))
		c.log.Info("machines returned", "stokers", names)
		for _, id := range names {
			f.fenced[id] = true
			c.machineGone(id)
			c.forgetMachine(id)
		}
	})
}

// condemn writes the drains of machines that are to be returned and that nobody looks after, as many in a transaction as it
// takes: conditional on who rents, so that one that was replaced condemns nothing, and on their claims, so that what has been claimed
// since is left alone.
func (c *Core) condemn() {
	f := &c.fleet
	// Guards against a judgement that waits for the budget while the machine reports and is claimed: conditional on
	// that claim, the drain would be written all the same.
	for id, why := range f.condemned {
		m := c.machines[id]
		claimed := m != nil && m.stamp != 0
		if _, drained := c.drains[id]; drained || claimed != (why == drainLost) || claimed && c.alive(m.claim.Owner) {
			delete(f.condemned, id)
		}
	}
	if f.condemning || f.taking || len(f.condemned) == 0 {
		return
	}
	conds := []protocol.Compare{{Key: keyFleet, ModRevision: f.stamp}}
	var ops []protocol.Op
	for _, id := range sortedKeys(f.condemned) {
		held := []protocol.Compare{{Key: keyDrain + id}, {Key: keyClaim + id}}
		if m := c.machines[id]; m != nil {
			held = append(m.holding(), held[0])
		}
		held = slices.DeleteFunc(held, func(k protocol.Compare) bool { return slices.Contains(conds, k) })
		if len(ops) == c.cfg.Facts.State.TxnOps || len(conds)+len(held) > 4*c.cfg.Facts.State.TxnOps {
			break
		}
		conds = append(conds, held...)
		ops = append(ops, protocol.Op{Put: keyDrain + id, Value: encode(drain{f.condemned[id]})})
	}
	f.condemning = true
	c.store.Txn(budget.OtherWork, conds, ops, func(o bookkeeping.TxnOutcome, failed []string, _ uint64) {
		f.condemning = false
		if o == bookkeeping.Committed {
			for _, op := range ops {
				id := strings.TrimPrefix(op.Put, keyDrain)
				c.log.Info("giving a machine up", "stoker", id, "why", c.drains[id].Why)
			}
		}
		if o != bookkeeping.Conflict {
			return // what is not on record then is tried again
		}
		for _, key := range failed {
			delete(f.condemned, strings.TrimPrefix(strings.TrimPrefix(key, keyClaim), keyDrain))
		}
	})
}

// fencedOff tells whether nothing can be placed on a drained machine any more that our mirror does not show. Placements are
// conditional on the absence of the drain, so what there is was committed before it, and the mirror has reached it.
//
// Guards against a deletion that overtakes the records: our own drain is in the mirror with its answer, ahead of
// what others had placed there before it.
func (c *Core) fencedOff(id string) bool {
	return c.store.AppliedRevision() >= c.store.ModRevision(keyDrain+id)
}

// sees tells whether the records that we have can be judged by: they are whole, and new. A machine that nobody seems to hold may have
// been claimed since, and one whose claim has not been read may be anybody's.
func (c *Core) sees() bool {
	return c.store.Consistent() && c.now-c.store.FreshAt() < seconds(c.cfg.Facts.Workers.Report)
}

// forgetMachine drops the records of a machine that is gone, once nothing is
// bound to it.
func (c *Core) forgetMachine(id string) {
	if m := c.machines[id]; m != nil && (len(m.bound) > 0 || m.forgetting > c.now) {
		return
	} else if m != nil {
		m.forgetting = c.now + time.Second
	}
	var conds []protocol.Compare
	var ops []protocol.Op
	for _, key := range []string{keyClaim + id, keyDrain + id} {
		if s := c.store.ModRevision(key); s != 0 {
			conds = append(conds, protocol.Compare{Key: key, ModRevision: s})
			ops = append(ops, protocol.Op{Delete: key})
		}
	}
	if len(ops) > 0 {
		c.store.Txn(budget.OtherWork, conds, ops, func(bookkeeping.TxnOutcome, []string, uint64) {})
	}
}
