package coordination

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"time"

	"silvergate/internal/connectivity"
	"silvergate/internal/failover"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// This file applies the rules of internal/failover: workers whose controller has failed, or
// does not hear their zone any more, fail over to another by the group, by one record for
// all of them.

const (
	// pendingFailoverTimeout is how long a heartbeat waits for the failover of its worker's
	// group: the worker gives up on the answer after answerTimeout.
	pendingFailoverTimeout = 3 * time.Second

	// minFailoverGroupSize is how many workers a group must have left for a failover to save
	// changes.
	minFailoverGroupSize = 2
)

// ownershipTable is who owns which machines: how many each controller does, by which groups
// they have failed over from one to another, and the failovers that heartbeats wait for.
type ownershipTable struct {
	machinesByOwner map[string]int
	failovers       *failover.Table
	// pending are the groups whose failover is under way here, with the heartbeats that wait
	// for it.
	pending map[failover.Group]*pendingFailover
}

// pendingFailover is a failover that is being written, or that the mirror has not reached yet.
type pendingFailover struct {
	since      time.Duration
	heartbeats []pendingHeartbeat
}

// pendingHeartbeat is a worker's heartbeat that is not answered yet.
type pendingHeartbeat struct {
	id        uint64 // of the request
	heartbeat *protocol.Heartbeat
}

// newOwnershipTable makes an empty table.
func newOwnershipTable() ownershipTable {
	return ownershipTable{
		machinesByOwner: map[string]int{},
		failovers:       failover.NewTable(),
		pending:         map[failover.Group]*pendingFailover{},
	}
}

// claimEpoch is the epoch of the claims that we write now.
func (c *Core) claimEpoch() int {
	return c.machines.ownership.failovers.NextEpoch(c.cfg.Node, c.incarnation)
}

// applyFailover takes a change of the record of a group's failover from the mirror.
func (c *Core) applyFailover(name string, data json.RawMessage, revision uint64) {
	failovers := c.machines.ownership.failovers
	group, ok := failover.ParseKey(name)
	if !ok {
		c.log.Error("unreadable record", "key", keyFailover+name)
		return
	}
	if data == nil {
		if failovers.Delete(group) {
			c.resolveGroup(group)
		}
		return
	}
	var successor failover.Holder
	if !decode(c.log, name, data, &successor) {
		return
	}
	if failovers.Put(group, successor, revision) {
		c.resolveGroup(group)
	}
}

// advanceFailovers applies the records up to which the mirror has become complete, and answers
// the heartbeats that have waited for them.
func (c *Core) advanceFailovers() {
	applied := c.machines.ownership.failovers.Advance(c.state.AppliedRevision())
	sortGroups(applied)
	for _, group := range applied {
		c.resolveGroup(group)
		c.retryPendingHeartbeats(group, false)
	}
}

// sortGroups sorts groups by their keys.
func sortGroups(groups []failover.Group) {
	sort.Slice(groups, func(i, k int) bool { return groups[i].Key() < groups[k].Key() })
}

// resolveGroup finds the owner of each machine of a group again.
func (c *Core) resolveGroup(group failover.Group) {
	for _, id := range sortedKeys(c.machines.byID) {
		m := c.machines.byID[id]
		if slices.ContainsFunc(m.links, func(link failover.Link) bool { return link.Group == group }) {
			c.resolveOwner(m)
		}
	}
}

// retryPendingHeartbeats answers the heartbeats that have waited for a group's failover; with
// alone their workers are claimed one by one.
func (c *Core) retryPendingHeartbeats(group failover.Group, alone bool) {
	for _, pending := range c.machines.ownership.takePending(group) {
		c.answerHeartbeat(pending.id, pending.heartbeat, alone)
	}
}

// takePending removes a group's pending failover, if any, and returns the heartbeats that wait
// for it.
func (t *ownershipTable) takePending(group failover.Group) []pendingHeartbeat {
	pending := t.pending[group]
	if pending == nil {
		return nil
	}
	delete(t.pending, group)
	return pending.heartbeats
}

// awaitGroupFailover has a heartbeat wait for the failover of its worker's whole group, and
// tells whether it does; else the worker is to be claimed alone.
func (c *Core) awaitGroupFailover(id uint64, m *machine, heartbeat *protocol.Heartbeat) bool {
	group, ok := m.nextGroup()
	if !ok || !c.cfg.Operator.GroupTakeover || m.ownClaim.Token == 0 || !c.allPeersRead(failoverFormat) {
		return false
	}
	ownership := &c.machines.ownership
	pending := ownership.pending[group]
	if pending == nil {
		written := ownership.failovers.Pending(group)
		if !written && !c.shouldFailOver(group, m, heartbeat.Zone) {
			return false
		}
		pending = &pendingFailover{since: c.now}
		ownership.pending[group] = pending
		if !written {
			c.writeFailover(group)
		}
	}
	pending.heartbeats = append(pending.heartbeats, pendingHeartbeat{id, heartbeat})
	return true
}

// shouldFailOver tells whether we should become the owner of the whole group of a machine
// whose worker has sent us a heartbeat from a zone.
//
// Guards against a controller that can't hear the zone any more itself, and fails a group over
// by a heartbeat that was delayed on its way: all the group's workers were redirected to where
// they were not heard.
func (c *Core) shouldFailOver(group failover.Group, m *machine, zone string) bool {
	if c.links.LostZone(zone) {
		return false
	}
	return c.ownerCannotServe(m) && c.machines.groupSize(group) >= minFailoverGroupSize
}

// ownerCannotServe tells whether a machine's owner is a peer that can't answer its workers any
// more: it has failed, or it says that it does not hear the machine's zone. One that has
// restarted is neither: it goes on with its workers without a change.
func (c *Core) ownerCannotServe(m *machine) bool {
	owner := m.claim.Owner
	if owner == c.cfg.Node {
		return false
	}
	member := c.membership.members[owner]
	if member == nil {
		return true
	}
	snapshot := c.links.Snapshot()
	return member.Incarnation == m.claim.Incarnation && connectivity.ZoneLost(&snapshot, owner, m.claim.Zone)
}

// groupSize counts the machines of a group.
func (t *machineTable) groupSize(group failover.Group) int {
	size := 0
	for _, m := range t.byID {
		if len(m.links) > 0 && m.links[len(m.links)-1].Group == group {
			size++
		}
	}
	return size
}

// writeFailover makes us the owner of a group. Whatever happens to the transaction, the mirror
// shows its outcome. Where the owner has failed the record is conditional on that: a
// controller that is back goes on with its workers itself.
func (c *Core) writeFailover(group failover.Group) {
	compares := []protocol.Compare{{Key: keyFailover + group.Key()}}
	if !c.alive(group.Node) {
		compares = append(compares, protocol.Compare{Key: keyMember + group.Node})
	}
	successor := failover.Holder{Node: c.cfg.Node, Incarnation: c.incarnation, Epoch: c.claimEpoch()}
	ops := []protocol.Op{{Put: keyFailover + group.Key(), Value: encode(successor)}}
	c.state.Txn(ratelimit.UrgentClaims, compares, ops, func(outcome stateclient.TxnOutcome, failed []string, _ uint64) {
		ownerIsBack := slices.Contains(failed, keyMember+group.Node)
		switch {
		case outcome == stateclient.Committed:
			c.Stats.Failovers++
			c.log.Info("failing workers over", "from", group.Node, "zone", group.Zone, "workers", c.machines.groupSize(group))
		case outcome == stateclient.Conflict && !ownerIsBack:
			// Another controller was first: the mirror will show it.
		case outcome == stateclient.Unknown:
			// It may have been written: the mirror will show it.
		default:
			c.retryPendingHeartbeats(group, true)
		}
	})
}

// expirePendingFailovers refuses heartbeats that have waited for too long.
func (c *Core) expirePendingFailovers() {
	ownership := &c.machines.ownership
	var expired []failover.Group
	for group, pending := range ownership.pending {
		if c.now-pending.since > pendingFailoverTimeout {
			expired = append(expired, group)
		}
	}
	sortGroups(expired)
	for _, group := range expired {
		for _, pending := range ownership.takePending(group) {
			c.refuse(pending.id, http.StatusServiceUnavailable, "its group is being taken over")
		}
	}
}

// dropUnusedFailovers drops the records that no machine's ownership depends on any more.
func (c *Core) dropUnusedFailovers() {
	failovers := c.machines.ownership.failovers
	if failovers.Len() == 0 || !c.mirrorFresh() {
		return
	}
	unused := failovers.Unused(c.machines.groupsInUse())
	sortGroups(unused)
	var compares []protocol.Compare
	var ops []protocol.Op
	for _, group := range unused[:min(len(unused), c.cfg.Facts.State.TxnOps)] {
		key := keyFailover + group.Key()
		compares = append(compares, protocol.Compare{Key: key, ModRevision: failovers.Revision(group)})
		ops = append(ops, protocol.Op{Delete: key})
	}
	if len(ops) > 0 {
		c.state.Txn(ratelimit.Background, compares, ops, ignoreOutcome)
	}
}

// groupsInUse returns the groups that the ownership of any machine depends on.
func (t *machineTable) groupsInUse() map[failover.Group]bool {
	inUse := map[failover.Group]bool{}
	for _, m := range t.byID {
		for _, link := range m.links {
			inUse[link.Group] = true
		}
	}
	return inUse
}
