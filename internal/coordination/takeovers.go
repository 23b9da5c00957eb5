package coordination

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"silvergate/internal/bookkeeping"
	"silvergate/internal/budget"
	"silvergate/internal/protocol"
	"silvergate/internal/reach"
	"silvergate/internal/takeover"
)

// This file is the seam to internal/takeover: workers whose controller is gone, or does not
// hear their zone any more, pass to another by the group, by one record for all of them.

// holders is who holds which machines: how many each controller does, by which groups they
// have passed from one to another, and the take-overs that reports of workers wait for.
type holders struct {
	count map[string]int
	book  *takeover.Table
	// awaited are the groups whose take-over is under way here, with the reports that it is
	// to answer.
	awaited map[takeover.Group]*awaitedTakeover
}

// awaitedTakeover is a take-over that is being written, or that is not heeded yet.
type awaitedTakeover struct {
	since   time.Duration
	reports []heldReport
}

// heldReport is a worker's report that is not answered yet.
type heldReport struct {
	id     uint64
	report *protocol.Heartbeat
}

func newHolders() holders {
	return holders{count: map[string]int{}, book: takeover.NewTable(), awaited: map[takeover.Group]*awaitedTakeover{}}
}

// takeoverPatience is how long a report waits for the take-over of its worker's group: the
// worker gives up on the answer after 4 s.
const takeoverPatience = 3 * time.Second

// leastGroup is how many workers a group must have left for a take-over to save changes.
const leastGroup = 2

// ownEpoch is the epoch of the claims that we write now.
func (c *Core) ownEpoch() int { return c.holders.book.NextEpoch(c.cfg.Node, c.life) }

// resolve finds who holds a machine by its own claim and the take-overs of groups, and takes
// the machine up or gives it up where that has changed.
func (c *Core) resolve(m *machine) {
	held := c.holders.book.Resolve(m.id, m.claim.Zone, m.own)
	m.links = held.Links
	if held.Token == m.stamp {
		return
	}
	if m.stamp != 0 {
		c.holders.count[m.claim.Owner]--
	}
	m.claim.Owner, m.claim.Life, m.stamp, m.claimedAt = held.Node, held.Incarnation, held.Token, c.now
	m.shown, m.proved, m.released, m.adopted, m.awaitingHolderSince = false, false, false, false, 0
	m.queuedLaunches, m.deferredLaunches = nil, nil
	m.reoccupy()
	switch {
	case !c.mine(m):
		c.unlist(m)
		clear(m.stops)
	case m.passed():
		m.renewed(c.now)
	}
	c.hold(m)
}

// renewed takes that a machine is held under a new token: whatever was sent under an earlier
// one is void once the new one is seen, and nothing is believed before that.
func (m *machine) renewed(now time.Duration) {
	m.tainted = false
	clear(m.direct)
	m.session, m.tally, m.heard, m.answered = 0, 0, now, 0
}

// applyTakeover takes a record of a group that has passed to another controller.
func (c *Core) applyTakeover(name string, data json.RawMessage, stamp uint64) {
	g, ok := takeover.ParseKey(name)
	if !ok {
		c.log.Error("unreadable record", "key", keyTakeover+name)
		return
	}
	if data == nil {
		if c.holders.book.Delete(g) {
			c.regroup(g)
		}
		return
	}
	var heir takeover.Holder
	if decode(c.log, name, data, &heir) && c.holders.book.Put(g, heir, stamp) {
		c.regroup(g)
	}
}

// heedTakeovers heeds the records up to which the mirror has become complete, and answers the
// reports that have waited for them.
func (c *Core) heedTakeovers() {
	heeded := c.holders.book.Advance(c.store.AppliedRevision())
	sortGroups(heeded)
	for _, g := range heeded {
		c.regroup(g)
		c.rehear(g, false)
	}
}

func sortGroups(groups []takeover.Group) {
	sort.Slice(groups, func(i, k int) bool { return groups[i].Key() < groups[k].Key() })
}

// regroup finds anew who holds the machines of a group.
func (c *Core) regroup(g takeover.Group) {
	for _, id := range sortedKeys(c.machines) {
		m := c.machines[id]
		if slices.ContainsFunc(m.links, func(l takeover.Link) bool { return l.Group == g }) {
			c.resolve(m)
		}
	}
}

// rehear takes the reports up again that have waited for a group; alone has their workers
// claimed one by one.
func (c *Core) rehear(g takeover.Group, alone bool) {
	w := c.holders.awaited[g]
	if w == nil {
		return
	}
	delete(c.holders.awaited, g)
	for _, r := range w.reports {
		c.hear(r.id, r.report, alone)
	}
}

// earlierVersion tells whether a peer is there that does not read a format.
func (c *Core) earlierVersion(format int) bool {
	for _, p := range c.cfg.Peers {
		if m := c.members[p.Node]; m != nil && m.Format < format {
			return true
		}
	}
	return false
}

// takeGroup has a report wait for the take-over of its worker's whole group, if that is the
// way; false: the worker is to be claimed alone.
//
// Guards against a controller that has lost the zone itself, and takes a group over by a report that
// was held back on its way: all the group's workers were sent to where nobody heard them.
func (c *Core) takeGroup(id uint64, m *machine, r *protocol.Heartbeat) bool {
	g, ok := m.nextGroup()
	if !ok || !c.cfg.Operator.GroupTakeover || m.own.Token == 0 || !c.allRead(takeoverFormat) {
		return false
	}
	w := c.holders.awaited[g]
	if w == nil {
		if !c.holders.book.Pending(g) && (c.reach.LostZone(r.Zone) || !c.abandoned(m) || c.groupSize(g) < leastGroup) {
			return false
		}
		w = &awaitedTakeover{since: c.now}
		c.holders.awaited[g] = w
		if !c.holders.book.Pending(g) {
			c.writeTakeover(g)
		}
	}
	w.reports = append(w.reports, heldReport{id, r})
	return true
}

// abandoned tells whether a machine's holder is a peer that can't answer its workers any
// more: it is gone, or it says that it does not hear the machine's zone. One that has
// restarted is neither: it goes on with its workers without a change.
func (c *Core) abandoned(m *machine) bool {
	owner := m.claim.Owner
	if owner == c.cfg.Node {
		return false
	}
	member := c.members[owner]
	if member == nil {
		return true
	}
	now := c.reach.Picture()
	return member.Life == m.claim.Life && reach.Lost(&now, owner, m.claim.Zone)
}

// groupSize counts the machines of a group.
func (c *Core) groupSize(g takeover.Group) (n int) {
	for _, m := range c.machines {
		if len(m.links) > 0 && m.links[len(m.links)-1].Group == g {
			n++
		}
	}
	return n
}

// writeTakeover makes us the holder of a group. Whatever happens to the transaction, the mirror
// tells what came of it. Where the holder is gone the record is conditional on that: a
// controller that is back goes on with its workers itself.
func (c *Core) writeTakeover(g takeover.Group) {
	conds := []protocol.Compare{{Key: keyTakeover + g.Key()}}
	if !c.alive(g.Node) {
		conds = append(conds, protocol.Compare{Key: keyMember + g.Node})
	}
	heir := takeover.Holder{Node: c.cfg.Node, Incarnation: c.life, Epoch: c.ownEpoch()}
	c.store.Txn(budget.UrgentClaims, conds, []protocol.Op{{Put: keyTakeover + g.Key(), Value: encode(heir)}}, func(o bookkeeping.TxnOutcome, failed []string, _ uint64) {
		switch {
		case o == bookkeeping.Committed:
			c.Stats.Takeovers++
			c.log.Info("taking workers over", "from", g.Node, "zone", g.Zone, "workers", c.groupSize(g))
		case o == bookkeeping.Conflict && !slices.Contains(failed, keyMember+g.Node), o == bookkeeping.Unknown:
			// Another was first, or it may have been written: the mirror tells.
		default:
			c.rehear(g, true)
		}
	})
}

// expireTakeovers refuses reports that have waited for too long.
func (c *Core) expireTakeovers() {
	var late []takeover.Group
	for g, w := range c.holders.awaited {
		if c.now-w.since > takeoverPatience {
			late = append(late, g)
		}
	}
	sortGroups(late)
	for _, g := range late {
		w := c.holders.awaited[g]
		delete(c.holders.awaited, g)
		for _, r := range w.reports {
			c.refuse(r.id, 503, "its group is being taken over")
		}
	}
}

// dropTakeovers drops the records that no machine's holder stands on any more.
func (c *Core) dropTakeovers() {
	if c.holders.book.Len() == 0 || !c.sees() {
		return
	}
	inUse := map[takeover.Group]bool{}
	for _, m := range c.machines {
		for _, l := range m.links {
			inUse[l.Group] = true
		}
	}
	unused := c.holders.book.Unused(inUse)
	sortGroups(unused)
	var conds []protocol.Compare
	var ops []protocol.Op
	for _, g := range unused[:min(len(unused), c.cfg.Facts.State.TxnOps)] {
		key := keyTakeover + g.Key()
		conds = append(conds, protocol.Compare{Key: key, ModRevision: c.holders.book.Revision(g)})
		ops = append(ops, protocol.Op{Delete: key})
	}
	if len(ops) > 0 {
		c.store.Txn(budget.Background, conds, ops, func(bookkeeping.TxnOutcome, []string, uint64) {})
	}
}
