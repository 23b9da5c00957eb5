package coordination

import (
	"sort"
	"time"

	"silvergate/internal/job"
)

// consolidationShare is the share of our services that may be moved in a heartbeat
// period. A service that is moved is down for about a second.
const consolidationShare = 0.025

// consolidate moves services off sparse machines, so that these can be deleted.
//
// Exception "gathering": the thesis's tasks end by themselves, services do
// not, and a few of them would keep many machines half empty. While no task is
// queued, the services of our sparsest machines move to other machines of ours that
// run more services, have their images and inputs, and have room; services with a zone constraint
// stay in their zone. Only a few move at a time: one per heartbeat period, or consolidationShare
// of the services if that is more.
func (c *Core) consolidate() {
	if c.scheduler.queuedTasks > 0 {
		for _, m := range c.machines.own {
			m.consolidating = false // queued tasks need the room
		}
		c.scheduler.serviceMoveCreditAt = c.now
		return
	}
	services := 0
	for _, m := range c.machines.own {
		services += m.services
	}
	movesPerPeriod := max(1, consolidationShare*float64(services))
	c.scheduler.addServiceMoveCredit(c.now, movesPerPeriod, c.cfg.Facts.Workers.Heartbeat)
	emptying := 0
	var sparse []*machine
	for _, m := range c.machines.own {
		switch {
		case m.consolidating:
			if c.continueConsolidation(m) {
				emptying++
			}
		case c.sparseForLong(m):
			sparse = append(sparse, m)
		}
	}
	c.startConsolidation(sparse, emptying, maxEmptying(movesPerPeriod))
}

// maxEmptying returns how many machines may be emptied at a time, and how many moves may be saved
// up: a quarter of the moves of a heartbeat period, at least one.
func maxEmptying(movesPerPeriod float64) float64 { return max(1, movesPerPeriod/4) }

// addServiceMoveCredit adds the service moves that are allowed for the time since the last call.
// periodS is the heartbeat period in seconds.
func (s *scheduler) addServiceMoveCredit(now time.Duration, movesPerPeriod, periodS float64) {
	earned := movesPerPeriod * (now - s.serviceMoveCreditAt).Seconds() / periodS
	s.serviceMoveCredit = min(maxEmptying(movesPerPeriod), s.serviceMoveCredit+earned)
	s.serviceMoveCreditAt = now
}

// continueConsolidation moves the next service off a machine, or drains the machine once it is
// empty. It reports whether the machine is still
// being emptied.
func (c *Core) continueConsolidation(m *machine) bool {
	switch {
	case len(m.bound) == 0:
		// Draining the machine at once guards against a fleet plan that counts
		// on it for a waiting gang although nothing is placed on it any more.
		c.drainMachine(m, drainIdle)
		return false
	case len(m.stops) > 0:
		return true
	case !c.allServicesFitElsewhere(m):
		m.consolidating = false
		return false
	}
	if c.scheduler.serviceMoveCredit >= 1 {
		c.scheduler.serviceMoveCredit--
		c.stopTask(m, m.boundTasks()[0], "moved")
	}
	return true
}

// sparseForLong reports whether a machine has been sparse for as long as an idle machine waits
// for its deletion.
func (c *Core) sparseForLong(m *machine) bool {
	if !c.isSparse(m) {
		m.sparseSince = 0
		return false
	}
	if m.sparseSince == 0 {
		m.sparseSince = c.now
	}
	return c.now-m.sparseSince > seconds(idleTimeShare*c.machineTypeOf(m).StartupS)
}

// startConsolidation begins to empty the sparsest machines whose services all have room
// elsewhere, until limit machines are being emptied.
func (c *Core) startConsolidation(sparse []*machine, emptying int, limit float64) {
	sort.SliceStable(sparse, func(i, j int) bool { return sparse[i].serviceShare < sparse[j].serviceShare })
	for _, m := range sparse {
		if float64(emptying) >= limit {
			return
		}
		if !c.allServicesFitElsewhere(m) {
			continue
		}
		m.consolidating = true
		emptying++
		c.scheduler.removeFromIdleList(m)
		c.log.Debug("consolidating services", "from", m.id, "services", len(m.bound))
	}
}

// isSparse reports whether a machine runs only services, which use at most half of its
// accelerators.
func (c *Core) isSparse(m *machine) bool {
	machineType := c.machineTypeOf(m)
	if c.unschedulable(m) || len(m.bound) == 0 || len(m.stops) > 0 || m.serviceShare > machineType.GPUs/2 {
		return false
	}
	for _, r := range m.bound {
		if r.spec.Shape != job.Service || r.final() {
			return false
		}
	}
	return true
}

// hasZoneConstraint reports whether the zones allowed for a task depend on the zones of the job's
// other tasks.
func hasZoneConstraint(r *jobRecord) bool {
	return r.spec.Tasks > 1 && (r.spec.OneZone || r.spec.Spread)
}

// consolidationTarget returns one of our machines to which a service on m is to move, or nil.
// reserved holds, by target, the processors and accelerators that services on m for which a target
// was found before will use there.
func (c *Core) consolidationTarget(r *jobRecord, m *machine, reserved map[*machine]usage) *machine {
	for _, target := range c.machines.own {
		if target == m || c.unschedulable(target) || !holdsMoreServices(target, m) {
			continue
		}
		if c.fetchTime(r.spec, target) > 0 || !c.couldHold(r, target) || hasZoneConstraint(r) && target.claim.Zone != m.claim.Zone {
			continue
		}
		room := c.freeRoom(target)
		room.cpus -= reserved[target].CPUs
		room.gpus -= reserved[target].GPUs
		if room.hasRoomFor(r.spec) {
			return target
		}
	}
	return nil
}

// holdsMoreServices reports whether services move from m to target rather than the other way:
// target has the larger share of services or, with equal shares, the name that sorts first.
func holdsMoreServices(target, m *machine) bool {
	if target.serviceShare < tolerance || target.serviceShare < m.serviceShare {
		return false
	}
	return target.serviceShare != m.serviceShare || target.id <= m.id
}

// allServicesFitElsewhere reports whether all services on m have room on other machines of ours.
func (c *Core) allServicesFitElsewhere(m *machine) bool {
	reserved := map[*machine]usage{}
	for _, k := range m.boundTasks() {
		r := m.bound[k]
		target := c.consolidationTarget(r, m, reserved)
		if target == nil {
			return false
		}
		reserved[target] = reserved[target].plus(r.spec, 1)
	}
	return true
}

// moveService moves a service that waits for its image on a slow machine to one of our machines
// where it can start much sooner. Exception "second start": the thesis binds a task only once;
// such a service has done nothing yet, so nothing is lost.
func (c *Core) moveService() {
	if c.scheduler.nextServiceMoveAt > c.now {
		return
	}
	for _, m := range c.machines.own {
		if len(m.pulling) == 0 || len(m.stops) > 0 || m.services == 0 {
			continue
		}
		for _, k := range m.boundTasks() {
			r := m.bound[k]
			if !m.pulling[k] || r.spec.Shape != job.Service || r.final() {
				continue
			}
			remaining := c.remainingPull(r, k, m)
			target := c.pickIdleMachine(r)
			if target == nil || target == m || c.fetchTime(r.spec, target)+c.cfg.Facts.Workers.Heartbeat/2 > remaining/2 {
				continue
			}
			c.scheduler.nextServiceMoveAt = c.now + seconds(c.cfg.Facts.Workers.Heartbeat/2)
			target.reserveRoom(r.spec.ID, c.scheduler.nextServiceMoveAt, "")
			c.log.Debug("moving a service that waits for its image", "task", job.TaskName(k.job, k.index), "from", m.id, "to", target.id, "left_s", remaining)
			c.stopTask(m, k, "slow image")
			return
		}
	}
}

// remainingPull returns how long a task on a machine will still wait for its image, in seconds:
// the estimate from the fetches known to be under way on the machine, or the one from the
// machine's pull rate alone if that is longer.
func (c *Core) remainingPull(r *jobRecord, k taskKey, m *machine) float64 {
	pullS := r.spec.ImageGB / c.machineTypeOf(m).ImagePullGBPerS
	waitedS := (c.now - m.boundAt[k].boundAt).Seconds()
	return max(c.fetchTime(r.spec, m), pullS-waitedS)
}
