package coordination

import (
	"time"

	"silvergate/internal/fencing"
	"silvergate/internal/protocol"
)

// checkSilentMachines looks for machines of ours that have gone silent.
func (c *Core) checkSilentMachines() {
	w := &c.cfg.Facts.Workers
	entryAge := seconds(w.Report * c.cfg.Operator.EntryAge)
	// A worker gives up on an answer after 4 s; three reports and one such
	// wait without a word, while others are heard, is a machine in trouble.
	silent := seconds(3*w.Report + 4)
	blind := c.now-c.state.FreshAt() > seconds(w.Report)
	heard, recent, mine := 0, 0, 0
	var unresponsive []string
	zones := map[string]*zoneHeartbeats{}
	for _, m := range c.machines.own {
		mine++
		z := zones[m.claim.Zone]
		if z == nil {
			z = &zoneHeartbeats{}
			zones[m.claim.Zone] = z
		}
		if c.now-m.heardAt < silent {
			heard++
		}
		if c.now-m.heardAt < seconds(1.25*w.Report) {
			recent++
		} else {
			z.overdue++
		}
		z.machines++
		z.lastHeartbeat = max(z.lastHeartbeat, m.heardAt)
		// Guards against work that waits for room on a machine that hears nobody: its reports come, so it is not silent,
		// and it never shows the token under which it could be given any.
		if !m.tokenSeen && m.sequence > 0 && c.now-m.claimedAt > seconds(2*w.Report) && c.now-m.heardAt < silent && len(unresponsive) < maxUnresponsive {
			unresponsive = append(unresponsive, m.id)
		}
	}
	c.scaler.updateZoneView(c.cfg.Node, c.now, zones, unresponsive, seconds(1.25*w.Report))
	held, awaited := map[string]int{}, map[string]int{}
	for name, z := range zones {
		held[name] = z.machines
	}
	if c.machines.ownership.machinesByOwner[c.cfg.Node] > len(c.machines.own) {
		for _, m := range c.machines.byID {
			if c.heldByEarlierIncarnation(m) {
				awaited[m.claim.Zone]++
			}
		}
	}
	c.links.SetWorkers(held, awaited)
	for _, m := range c.machines.own {
		if c.now-m.heardAt > entryAge {
			c.scheduler.removeFromIdleList(m)
		}
		c.sendDeferred(m)
		if c.workerState(m).LeaseExpired(c.now, m.answeredAt, c.leaseExpiry()) {
			m.leaseExpired = true
			for _, k := range m.tasks() {
				rec := m.bound[k]
				t := rec.task(c, k.index)
				if t.Epoch <= m.epoch && !c.releasePending(rec, k.index) {
					c.propose(rec, k.index, taskTransition{machine: m.id, epoch: t.Epoch, attempt: t.Attempt, proof: fencing.LeaseExpired})
				}
			}
		}
		// A report is overdue, the machine did not answer us twice either, and
		// a quarter of all were heard within one report period, so it is not we
		// who are cut off: that is enough. (Cut off from all workers, nobody
		// would have been heard for so long.) Guards against a controller that
		// takes itself for cut off when more than half of its machines hang.
		quiet := c.now - m.heardAt
		if quiet > seconds(1.35*w.Report) && !m.probing && c.now >= m.nextProbeAt {
			c.probeWorker(m)
		}
		fast := quiet > seconds(1.75*w.Report) && m.failedProbes > 1 && recent*4 >= mine
		if !blind && (fast || quiet > silent && (heard*4 >= mine || quiet > c.leaseExpiry())) &&
			(!zones[m.claim.Zone].unreachable(c.now, seconds(w.Report)) || quiet > c.leaseExpiry()+silent+seconds(c.machineTypeOf(m).StartupS)) {
			c.drainMachine(m, drainSilent)
		}
	}
	if c.machines.ownership.machinesByOwner[c.cfg.Node] > len(c.machines.own) && !blind {
		c.checkInheritedMachines(recent*4 >= mine)
	}
}

// maxUnresponsive bounds how many machines a beat names as deaf.
const maxUnresponsive = 256

// zoneHeartbeats counts machines of ours in a zone, and those of them whose report
// is overdue.
type zoneHeartbeats struct {
	machines, overdue int
	lastHeartbeat     time.Duration // when the last report of any came
}

// unreachable tells whether it is the zone that can't be heard, and not single machines
// of it: several are quiet, and more than three quarters of all; or no report
// came in a time in which eight should have.
//
// Guards against a zone that is cut off, has no controller in it, and has all
// its machines returned. Their tasks run on for the lease, and may outlast the
// cut; after that they are free without a deletion, and the machines go on when
// the zone is back, while rented ones would have to boot first, in the same zone
// where the others are full. The second condition is for the first seconds, in
// which those that reported longest ago are overdue and the others are not.
//
// They are returned when they have been of no use for as long as another takes to
// boot: that at most doubles what the wrong guess costs, whichever it was.
func (z *zoneHeartbeats) unreachable(now, report time.Duration) bool {
	return z.overdue >= 4 && 4*z.overdue > 3*z.machines || z.machines >= 4 && (now-z.lastHeartbeat)*time.Duration(z.machines) > 8*report
}

// maxProbes is how many workers may be asked for their status at a time:
// questions to a zone that is cut off hang, and must not take the connections
// that launches need.
func (c *Core) maxProbes() int { return max(2, c.cfg.Facts.Limits.MaxSockets/40) }

// checkInheritedMachines looks for machines that an earlier life of ours held and that
// have found nobody since: a worker that is up needs a report period and a few
// seconds for it. One that does not answer us either, while most of ours are
// heard, is in trouble; after the horizon, when no controller can have answered
// it any more, so is any.
//
// Guards against a site that is returned whole: where more than three quarters of all that the earlier life
// held, and at least four, are silent, it is not single machines that are in trouble. They can't be reached for
// a while, and go on with their tasks when they can; what has just come up, and is heard, proves nothing about them.
func (c *Core) checkInheritedMachines(well bool) {
	w := &c.cfg.Facts.Workers
	missing, late := 0, seconds(1.75*w.Report)
	for _, m := range c.machines.byID {
		if c.heldByEarlierIncarnation(m) && !m.claiming {
			missing++
		}
	}
	c.scaler.inherited = max(c.scaler.inherited, missing)
	well = well && (missing < 4 || 4*missing <= 3*c.scaler.inherited)
	for _, id := range sortedKeys(c.machines.byID) {
		m := c.machines.byID[id]
		if !c.heldByEarlierIncarnation(m) || m.claiming {
			continue
		}
		quiet := c.now - max(c.sweep.loadedAt, m.heardAt)
		if quiet > late && !m.probing && c.now >= m.nextProbeAt {
			c.probeWorker(m)
		}
		// In a zone that nobody hears, only the machines of production work are
		// returned that soon: their tasks are known to be gone by it.
		if well && m.failedProbes > 1 && quiet > seconds(2.5*w.Report) && (m.urgent() || !c.zoneUnreachable(m.claim.Zone)) || quiet > c.cancelHorizon()+seconds(3*w.Report) {
			c.drainMachine(m, drainSilent)
		}
	}
}

// probeWorker asks an overdue worker for its state. An answer shows that it is
// up, silence that it probably is not.
func (c *Core) probeWorker(m *machine) {
	if c.machines.probesInFlight >= c.maxProbes() {
		return
	}
	c.machines.probesInFlight++
	m.probing, m.nextProbeAt = true, c.now+seconds(c.cfg.Facts.Workers.Report/4)
	at := m.heardAt
	c.call(protocol.Call{Target: protocol.ToWorker, Address: m.claim.Address, Method: "GET", Path: protocol.PathStatus,
		Timeout: seconds(c.cfg.Facts.Workers.Report / 4)}, func(r protocol.Reply) {
		m.probing = false
		c.machines.probesInFlight--
		if r.Status != 0 {
			c.links.WorkerHeard(m.claim.Zone)
		}
		if m.failedProbes++; r.Status != 0 || m.heardAt != at {
			m.failedProbes = 0
		}
	})
}
