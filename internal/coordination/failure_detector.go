package coordination

import (
	"net/http"
	"time"

	"silvergate/internal/fencing"
	"silvergate/internal/protocol"
)

// This file detects machines that have failed by their missing heartbeats.

// Times without a heartbeat, in heartbeat periods of the workers.
const (
	overduePeriods       = 1.25 // the heartbeat is overdue
	probePeriods         = 1.35 // the machine is probed
	unansweredPeriods    = 1.75 // the machine has failed if two probes had no reply
	silentPeriods        = 3    // with answerTimeout added, the machine is silent
	inheritedPeriods     = 2.5  // a machine of an earlier incarnation has failed if two probes had no reply
	inheritedLostPeriods = 3    // beyond the cancel horizon, a machine of an earlier incarnation has failed
)

// unresponsivePeriods is how many heartbeat periods a machine may take to show our fencing
// token before it is unresponsive.
const unresponsivePeriods = 2

const (
	// answerTimeout is how long a worker waits for the answer to a heartbeat, in seconds.
	answerTimeout = 4

	// maxUnresponsiveMachines is how many machines a peer heartbeat names as unresponsive at
	// the most.
	maxUnresponsiveMachines = 256

	// minUnreachableMachines is how many machines must be silent together before it counts as
	// a failure of their zone or site, and not of each.
	minUnreachableMachines = 4
)

// zoneHeartbeats counts our machines in a zone, and those of them whose heartbeat is
// overdue.
type zoneHeartbeats struct {
	machines, overdue int
	lastHeartbeat     time.Duration // when the last heartbeat of any of them came
}

// unreachable tells whether it is the zone that can't be heard, and not single machines
// of it: several are silent, and more than three quarters of all; or no heartbeat
// came in a time in which eight should have.
//
// Guards against a zone that is cut off, has no controller in it, and has all
// its machines deleted. Their tasks run on for the lease, and may outlast the
// cut; after that they are free without a deletion, and the machines go on when
// the zone is back, while new ones would have to boot first, in the same zone
// where the others are full. The second condition is for the first seconds, in
// which those that sent their heartbeats longest ago are overdue and the others are not.
//
// They are deleted when they have been of no use for as long as another takes to
// boot: that at most doubles what the wrong guess costs, whichever it was.
func (z *zoneHeartbeats) unreachable(now, period time.Duration) bool {
	if z.overdue >= minUnreachableMachines && 4*z.overdue > 3*z.machines {
		return true
	}
	return z.machines >= minUnreachableMachines && (now-z.lastHeartbeat)*time.Duration(z.machines) > 8*period
}

// heartbeatCounts counts our machines by how long ago their last heartbeats came.
type heartbeatCounts struct {
	machines     int
	heard        int                        // not silent
	recent       int                        // not overdue
	unresponsive []string                   // machines that send heartbeats and do not hear our answers
	zones        map[string]*zoneHeartbeats // by zone
}

// enoughRecent tells whether at least a quarter of our machines were heard within one heartbeat
// period, so that it is not we who are cut off.
func (h *heartbeatCounts) enoughRecent() bool { return h.recent*4 >= h.machines }

// enoughHeard tells whether at least a quarter of our machines are not silent.
func (h *heartbeatCounts) enoughHeard() bool { return h.heard*4 >= h.machines }

// silenceTimeout is how long after its last heartbeat a machine is silent. A worker gives up
// on an answer after answerTimeout; three heartbeat periods and one such wait without a
// heartbeat, while others are heard, is a machine in trouble.
func (c *Core) silenceTimeout() time.Duration {
	return seconds(silentPeriods*c.cfg.Facts.Workers.Report + answerTimeout)
}

// checkSilentMachines looks for machines of ours that have fallen silent.
func (c *Core) checkSilentMachines() {
	period := c.cfg.Facts.Workers.Report
	mirrorStale := c.now-c.state.FreshAt() > seconds(period)
	counts := c.countHeartbeats()
	c.scaler.updateZoneView(c.cfg.Node, c.now, counts.zones, counts.unresponsive, seconds(overduePeriods*period))
	c.updateWorkerCounts(counts.zones)
	idleEntryLifetime := seconds(period * c.cfg.Operator.EntryAge)
	for _, m := range c.machines.own {
		if c.now-m.heardAt > idleEntryLifetime {
			c.scheduler.removeFromIdleList(m)
		}
		c.sendDeferred(m)
		c.checkLease(m)
		c.checkSilentMachine(m, &counts, mirrorStale)
	}
	if c.hasUnadoptedMachines() && !mirrorStale {
		c.checkInheritedMachines(counts.enoughRecent())
	}
}

// countHeartbeats counts our machines by how long ago their last heartbeats came.
func (c *Core) countHeartbeats() heartbeatCounts {
	counts := heartbeatCounts{zones: map[string]*zoneHeartbeats{}}
	overdueAfter := seconds(overduePeriods * c.cfg.Facts.Workers.Report)
	for _, m := range c.machines.own {
		counts.machines++
		zone := counts.zones[m.claim.Zone]
		if zone == nil {
			zone = &zoneHeartbeats{}
			counts.zones[m.claim.Zone] = zone
		}
		zone.machines++
		zone.lastHeartbeat = max(zone.lastHeartbeat, m.heardAt)
		if c.now-m.heardAt < overdueAfter {
			counts.recent++
		} else {
			zone.overdue++
		}
		if c.now-m.heardAt < c.silenceTimeout() {
			counts.heard++
		}
		if c.unresponsive(m) && len(counts.unresponsive) < maxUnresponsiveMachines {
			counts.unresponsive = append(counts.unresponsive, m.id)
		}
	}
	return counts
}

// unresponsive tells whether a machine sends heartbeats and does not hear our answers.
//
// Guards against work that waits for room on a machine that hears no controller: its heartbeats
// come, so it is not silent, and it never shows the token under which it could be given any.
func (c *Core) unresponsive(m *machine) bool {
	if m.tokenSeen || m.sequence == 0 {
		return false
	}
	ownedFor := c.now - m.claimedAt
	return ownedFor > seconds(unresponsivePeriods*c.cfg.Facts.Workers.Report) && c.now-m.heardAt < c.silenceTimeout()
}

// hasUnadoptedMachines tells whether an earlier incarnation of ours has claimed machines that we
// have not adopted yet.
func (c *Core) hasUnadoptedMachines() bool {
	return c.machines.ownership.machinesByOwner[c.cfg.Node] > len(c.machines.own)
}

// updateWorkerCounts tells the link tracker how many workers should be heard in each zone.
func (c *Core) updateWorkerCounts(zones map[string]*zoneHeartbeats) {
	owned := map[string]int{}
	for name, zone := range zones {
		owned[name] = zone.machines
	}
	unadopted := map[string]int{}
	if c.hasUnadoptedMachines() {
		for _, m := range c.machines.byID {
			if c.ownedByEarlierIncarnation(m) {
				unadopted[m.claim.Zone]++
			}
		}
	}
	c.links.SetWorkers(owned, unadopted)
}

// checkLease gives up the tasks of a machine whose lease is over.
func (c *Core) checkLease(m *machine) {
	if !c.workerState(m).LeaseExpired(c.now, m.answeredAt, c.leaseExpiry()) {
		return
	}
	m.leaseExpired = true
	for _, key := range m.tasks() {
		record := m.bound[key]
		task := record.task(c, key.index)
		if task.Epoch <= m.epoch && !c.releasePending(record, key.index) {
			c.propose(record, key.index, taskTransition{machine: m.id, epoch: task.Epoch, attempt: task.Attempt, proof: fencing.LeaseExpired})
		}
	}
}

// checkSilentMachine probes a machine of ours whose heartbeat is overdue, and drains one that
// has failed.
func (c *Core) checkSilentMachine(m *machine, counts *heartbeatCounts, mirrorStale bool) {
	period := c.cfg.Facts.Workers.Report
	silence := c.now - m.heardAt
	if silence > seconds(probePeriods*period) && !m.probing && c.now >= m.nextProbeAt {
		c.probeWorker(m)
	}
	if mirrorStale || !c.machineFailed(m, counts) {
		return
	}
	// A machine of a zone that is unreachable is kept for as long as another takes to boot.
	zoneUnreachable := counts.zones[m.claim.Zone].unreachable(c.now, seconds(period))
	if zoneUnreachable && silence <= c.leaseExpiry()+c.silenceTimeout()+seconds(c.machineTypeOf(m).StartupS) {
		return
	}
	c.drainMachine(m, drainSilent)
}

// machineFailed tells whether a machine of ours has failed, by its silence and that of others.
//
// Its heartbeat is overdue, it did not reply to two probes either, and
// a quarter of all were heard within one heartbeat period, so it is not we
// who are cut off: that is enough. (Cut off from all workers, none
// would have been heard for so long.) Guards against a controller that
// takes itself for cut off when more than half of its machines hang.
func (c *Core) machineFailed(m *machine, counts *heartbeatCounts) bool {
	silence := c.now - m.heardAt
	if silence > seconds(unansweredPeriods*c.cfg.Facts.Workers.Report) && m.failedProbes > 1 && counts.enoughRecent() {
		return true
	}
	return silence > c.silenceTimeout() && (counts.enoughHeard() || silence > c.leaseExpiry())
}

// checkInheritedMachines looks for machines that an earlier incarnation of ours owned and that
// have found no controller since: a worker that is up needs a heartbeat period and a few
// seconds for it. One that does not reply to a probe either, while most of ours are
// heard (othersHeard), is in trouble; after the cancel horizon, when no controller can have
// answered it any more, so is any.
//
// Guards against the deletion of all machines of a site: where more than three quarters of all that
// the earlier incarnation owned, and at least four, are silent, it is not single machines that
// are in trouble. They can't be reached for a while, and go on with their tasks when they can;
// the heartbeats of machines that have just started tell nothing about them.
func (c *Core) checkInheritedMachines(othersHeard bool) {
	missing := c.countInheritedMachines()
	c.scaler.inherited = max(c.scaler.inherited, missing)
	singleFailures := othersHeard && (missing < minUnreachableMachines || 4*missing <= 3*c.scaler.inherited)
	for _, id := range sortedKeys(c.machines.byID) {
		m := c.machines.byID[id]
		if c.ownedByEarlierIncarnation(m) && !m.claiming {
			c.checkInheritedMachine(m, singleFailures)
		}
	}
}

// countInheritedMachines counts the machines that an earlier incarnation of ours has claimed
// and that no controller is claiming now.
func (c *Core) countInheritedMachines() int {
	count := 0
	for _, m := range c.machines.byID {
		if c.ownedByEarlierIncarnation(m) && !m.claiming {
			count++
		}
	}
	return count
}

// checkInheritedMachine probes a machine that an earlier incarnation of ours owned and that is
// silent, and drains it if it has failed.
func (c *Core) checkInheritedMachine(m *machine, singleFailures bool) {
	period := c.cfg.Facts.Workers.Report
	silence := c.now - max(c.sweep.loadedAt, m.heardAt)
	if silence > seconds(unansweredPeriods*period) && !m.probing && c.now >= m.nextProbeAt {
		c.probeWorker(m)
	}
	// In a zone that no controller hears, only the machines of production work are
	// deleted that early: their tasks are known to be lost by it.
	failed := singleFailures && m.failedProbes > 1 && silence > seconds(inheritedPeriods*period) &&
		(m.urgent() || !c.zoneUnreachable(m.claim.Zone))
	if failed || silence > c.cancelHorizon()+seconds(inheritedLostPeriods*period) {
		c.drainMachine(m, drainSilent)
	}
}

// maxProbes is how many workers may be probed at a time: probes of a zone that is cut off
// hang, and must not take the connections that launches need.
func (c *Core) maxProbes() int { return max(2, c.cfg.Facts.Limits.MaxSockets/40) }

// probeWorker asks the worker of an overdue machine for its status. A reply shows that it is
// up, none that it probably is not.
func (c *Core) probeWorker(m *machine) {
	if c.machines.probesInFlight >= c.maxProbes() {
		return
	}
	timeout := seconds(c.cfg.Facts.Workers.Report / 4)
	c.machines.probesInFlight++
	m.probing = true
	m.nextProbeAt = c.now + timeout
	heardBefore := m.heardAt
	call := protocol.Call{Target: protocol.ToWorker, Address: m.claim.Address, Method: http.MethodGet, Path: protocol.PathStatus, Timeout: timeout}
	c.call(call, func(reply protocol.Reply) {
		m.probing = false
		c.machines.probesInFlight--
		if reply.Status != 0 {
			c.links.WorkerHeard(m.claim.Zone)
		}
		if reply.Status != 0 || m.heardAt != heardBefore {
			m.failedProbes = 0
			return
		}
		m.failedProbes++
	})
}

// maxZoneProbes is how many probes may be under way when a zone is probed in which we own no
// machine.
const maxZoneProbes = 2

// probeZone probes a worker of a zone, a different one each time, when other controllers own
// all machines that we had there: no heartbeat would ever show that we hear the zone again.
func (c *Core) probeZone(zone string) {
	if c.machines.probesInFlight >= maxZoneProbes {
		return
	}
	if m := c.machines.nextToProbe(zone, c.now); m != nil {
		c.probeWorker(m)
	}
}

// nextToProbe is the machine of a zone that was probed longest ago, nil if none may be probed.
func (t *machineTable) nextToProbe(zone string, now time.Duration) *machine {
	var next *machine
	for _, m := range t.byID {
		if m.claim.Address == "" || m.claim.Zone != zone || m.token == 0 || m.probing || now < m.nextProbeAt {
			continue
		}
		if next == nil || m.nextProbeAt < next.nextProbeAt || m.nextProbeAt == next.nextProbeAt && m.id < next.id {
			next = m
		}
	}
	return next
}
