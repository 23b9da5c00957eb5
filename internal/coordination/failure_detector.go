package coordination

import (
	"net/http"
	"time"

	"silvergate/internal/fencing"
	"silvergate/internal/protocol"
)

// This file detects failed machines by their missing heartbeats.

// Times since a machine's last heartbeat, in heartbeat periods of the workers.
const (
	overduePeriods       = 1.25 // the heartbeat is overdue
	probePeriods         = 1.35 // the machine is probed
	unansweredPeriods    = 1.75 // the machine has failed if two probes got no reply
	silentPeriods        = 3    // with answerTimeout added, the machine is silent
	inheritedPeriods     = 2.5  // a machine of an earlier incarnation has failed if two probes got no reply
	inheritedLostPeriods = 3    // with the cancel horizon added, a machine of an earlier incarnation has failed
)

// unresponsivePeriods is how many heartbeat periods a machine may take to show our fencing
// token before it counts as unresponsive.
const unresponsivePeriods = 2

const (
	// answerTimeout is how long a worker waits for the answer to a heartbeat, in seconds.
	answerTimeout = 4

	// maxUnresponsiveMachines is the maximum number of machines that a peer heartbeat names as
	// unresponsive.
	maxUnresponsiveMachines = 256

	// minUnreachableMachines is how many machines must be silent at the same time for this to
	// count as a failure of their zone or site instead of the single machines.
	minUnreachableMachines = 4
)

// zoneHeartbeats counts our machines in a zone, and those of them whose heartbeat is
// overdue.
type zoneHeartbeats struct {
	machines, overdue int
	lastHeartbeat     time.Duration // when the last heartbeat from any of them arrived
}

// unreachable reports whether the zone as a whole can't be heard, as opposed to single machines
// in it: at least minUnreachableMachines and more than three quarters of its machines are
// overdue, or no heartbeat arrived in a time in which eight were due.
//
// Guards against the deletion of all machines of a zone that is cut off and has no controller.
// Their tasks keep running until the lease expires and may outlast the cut. After the lease the
// tasks can be released without deleting the machines, and the machines are usable as soon as the
// zone is back, while new ones would have to boot first, in the same zone if the others are full.
// The second condition covers the first seconds of a cut, in which only those machines are overdue
// that sent their last heartbeats the longest ago.
//
// The machines are deleted once they have been unusable for as long as a new one takes to boot.
// Whether the zone or the machines have failed, this at most doubles the cost of a wrong guess.
func (z *zoneHeartbeats) unreachable(now, period time.Duration) bool {
	if z.overdue >= minUnreachableMachines && 4*z.overdue > 3*z.machines {
		return true
	}
	return z.machines >= minUnreachableMachines && (now-z.lastHeartbeat)*time.Duration(z.machines) > 8*period
}

// heartbeatCounts counts our machines by how long ago their last heartbeats came.
type heartbeatCounts struct {
	machines     int
	heard        int                        // machines that are not silent
	recent       int                        // machines whose heartbeat is not overdue
	unresponsive []string                   // machines that send heartbeats but do not receive our answers
	zones        map[string]*zoneHeartbeats // by zone
}

// enoughRecent reports whether the heartbeats of at least a quarter of our machines are not
// overdue, which shows that we are not cut off ourselves.
func (h *heartbeatCounts) enoughRecent() bool { return h.recent*4 >= h.machines }

// enoughHeard reports whether at least a quarter of our machines are not silent.
func (h *heartbeatCounts) enoughHeard() bool { return h.heard*4 >= h.machines }

// silenceTimeout is how long after its last heartbeat a machine counts as silent: three heartbeat
// periods, plus the answerTimeout for which a worker may wait for an answer. A machine that is
// silent for so long while others are heard has a fault.
func (c *Core) silenceTimeout() time.Duration {
	return seconds(silentPeriods*c.cfg.Facts.Workers.Heartbeat + answerTimeout)
}

// checkSilentMachines looks for machines of ours whose heartbeats are missing.
func (c *Core) checkSilentMachines() {
	period := c.cfg.Facts.Workers.Heartbeat
	mirrorStale := c.now-c.state.FreshAt() > seconds(period)
	counts := c.countHeartbeats()
	c.scaler.updateZoneView(c.cfg.Node, c.now, counts.zones, counts.unresponsive, seconds(overduePeriods*period))
	c.updateWorkerCounts(counts.zones)
	idleEntryLifetime := seconds(period * c.cfg.Operator.EntryAge)
	for _, m := range c.machines.own {
		if c.now-m.heardAt > idleEntryLifetime {
			c.scheduler.removeFromIdleList(m)
		}
		c.queueDeferredLaunches(m)
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
	overdueAfter := seconds(overduePeriods * c.cfg.Facts.Workers.Heartbeat)
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

// unresponsive reports whether a machine sends heartbeats but does not receive our answers.
//
// Guards against work that waits for room on such a machine: its heartbeats arrive, so it is not
// silent, but it never shows our token, without which no task may be launched there.
func (c *Core) unresponsive(m *machine) bool {
	if m.tokenSeen || m.sequence == 0 {
		return false
	}
	ownedFor := c.now - m.claimedAt
	return ownedFor > seconds(unresponsivePeriods*c.cfg.Facts.Workers.Heartbeat) && c.now-m.heardAt < c.silenceTimeout()
}

// hasUnadoptedMachines reports whether an earlier incarnation of ours has claimed machines that we
// have not adopted yet.
func (c *Core) hasUnadoptedMachines() bool {
	return c.machines.ownership.machinesByOwner[c.cfg.Node] > len(c.machines.own)
}

// updateWorkerCounts informs the link tracker how many workers should be heard in each zone.
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

// checkLease releases the tasks of a machine whose lease has expired.
func (c *Core) checkLease(m *machine) {
	if !c.workerState(m).LeaseExpired(c.now, m.answeredAt, c.leaseExpiry()) {
		return
	}
	m.leaseExpired = true
	for _, key := range m.boundTasks() {
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
	period := c.cfg.Facts.Workers.Heartbeat
	silence := c.now - m.heardAt
	if silence > seconds(probePeriods*period) && !m.probing && c.now >= m.nextProbeAt {
		c.probeWorker(m)
	}
	if mirrorStale || !c.machineFailed(m, counts) {
		return
	}
	// A machine in an unreachable zone is kept for as long as a new one takes to boot.
	zoneUnreachable := counts.zones[m.claim.Zone].unreachable(c.now, seconds(period))
	if zoneUnreachable && silence <= c.leaseExpiry()+c.silenceTimeout()+seconds(c.machineTypeOf(m).StartupS) {
		return
	}
	c.drainMachine(m, drainSilent)
}

// machineFailed reports whether a machine of ours has failed, judged by its own silence and that of
// the others.
//
// It is enough that the machine's heartbeat is overdue, that it did not reply to two probes, and
// that the heartbeats of a quarter of all machines are not overdue. The last condition shows that
// we are not cut off from all workers, as then none would have been heard for so long. Guards
// against a controller that considers itself cut off when more than half of its machines hang.
//
// Without these conditions a machine has failed once it is silent, provided that a quarter of all
// machines are not silent or that it has been silent for longer than a lease.
func (c *Core) machineFailed(m *machine, counts *heartbeatCounts) bool {
	silence := c.now - m.heardAt
	if silence > seconds(unansweredPeriods*c.cfg.Facts.Workers.Heartbeat) && m.failedProbes > 1 && counts.enoughRecent() {
		return true
	}
	return silence > c.silenceTimeout() && (counts.enoughHeard() || silence > c.leaseExpiry())
}

// checkInheritedMachines looks for machines that an earlier incarnation of ours owned and whose
// workers have found no controller since. A worker that is up finds one within a heartbeat period
// and a few seconds. A machine that does not reply to probes either has failed, if enough of our
// machines are heard (othersHeard). After the cancel horizon, when no controller can have answered
// its worker any more, any such machine has failed.
//
// Guards against the deletion of all machines of a site. If at least minUnreachableMachines and
// more than three quarters of the machines that the earlier incarnation owned are missing, the
// fault is not in single machines: they are unreachable for a while, and continue with their
// tasks when they are reachable again. othersHeard does not rule this out, because the machines
// that are heard may have just started.
func (c *Core) checkInheritedMachines(othersHeard bool) {
	missing := c.countInheritedMachines()
	c.scaler.inheritedMachines = max(c.scaler.inheritedMachines, missing)
	singleFailures := othersHeard && (missing < minUnreachableMachines || 4*missing <= 3*c.scaler.inheritedMachines)
	for _, id := range sortedKeys(c.machines.byID) {
		m := c.machines.byID[id]
		if c.ownedByEarlierIncarnation(m) && !m.claiming {
			c.checkInheritedMachine(m, singleFailures)
		}
	}
}

// countInheritedMachines counts the machines that an earlier incarnation of ours owns and that
// this controller is not claiming now.
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
	period := c.cfg.Facts.Workers.Heartbeat
	silence := c.now - max(c.sweep.loadedAt, m.heardAt)
	if silence > seconds(unansweredPeriods*period) && !m.probing && c.now >= m.nextProbeAt {
		c.probeWorker(m)
	}
	// In a zone that no controller hears, only machines with production tasks are drained that
	// early: their deletion proves that the tasks have ended, so that they can be started again.
	failed := singleFailures && m.failedProbes > 1 && silence > seconds(inheritedPeriods*period) &&
		(m.urgent() || !c.zoneUnreachable(m.claim.Zone))
	if failed || silence > c.cancelHorizon()+seconds(inheritedLostPeriods*period) {
		c.drainMachine(m, drainSilent)
	}
}

// maxProbes is how many workers may be probed at a time. Probes of a zone that is cut off hang
// until they time out, and must not use up the connections that launches need.
func (c *Core) maxProbes() int { return max(2, c.cfg.Facts.Limits.MaxSockets/40) }

// probeWorker asks the worker of an overdue machine for its status. A reply shows that the worker
// is up; no reply means that it probably is not.
func (c *Core) probeWorker(m *machine) {
	if c.machines.probesInFlight >= c.maxProbes() {
		return
	}
	c.machines.probesInFlight++
	m.probing = true
	m.nextProbeAt = c.now + c.statusTimeout()
	heardBefore := m.heardAt
	c.requestStatus(m, func(reply protocol.Reply) {
		m.probing = false
		c.machines.probesInFlight--
		if reply.Status != 0 {
			c.links.RecordWorkerContact(m.claim.Zone)
		}
		if reply.Status != 0 || m.heardAt != heardBefore {
			m.failedProbes = 0
			return
		}
		m.failedProbes++
	})
}

// statusTimeout returns how long a worker may take to answer a request for its status.
func (c *Core) statusTimeout() time.Duration { return seconds(c.cfg.Facts.Workers.Heartbeat / 4) }

// requestStatus asks a machine's worker for its status.
func (c *Core) requestStatus(m *machine, done func(protocol.Reply)) {
	c.call(protocol.Call{Target: protocol.ToWorker, Address: m.claim.Address, Method: http.MethodGet, Path: protocol.PathStatus, Timeout: c.statusTimeout()}, done)
}

// maxZoneProbes is the number of probes under way at which probeZone starts no further one.
const maxZoneProbes = 2

// probeZone probes a worker of a zone in which other controllers have taken over all machines that
// we had, a different worker each time. Without it, as no worker there sends us heartbeats,
// nothing would ever show that we hear the zone again.
func (c *Core) probeZone(zone string) {
	if c.machines.probesInFlight >= maxZoneProbes {
		return
	}
	if m := c.machines.nextToProbe(zone, c.now); m != nil {
		c.probeWorker(m)
	}
}

// nextToProbe returns the machine of a zone that was probed the longest ago, or nil if none may be
// probed now.
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
