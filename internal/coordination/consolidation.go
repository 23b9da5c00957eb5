package coordination

import (
	"sort"
	"time"

	"silvergate/internal/job"
)

// consolidationShare is the share of our services that may be moved in a heartbeat
// period. A moved one is away for about a second.
const consolidationShare = 0.025

// Exception "gathering": the thesis's tasks end by themselves, services do
// not. Left alone, a few of them keep many machines half empty. When nothing
// waits, the services of our sparsest machines move to machines of ours that
// hold more of them, have their images and have room, in the same zone where
// zones matter. A few at a time: one a heartbeat period, or consolidationShare of them
// where there are many.
func (c *Core) consolidate() {
	if c.scheduler.queuedTasks > 0 {
		for _, m := range c.machines.own {
			m.consolidating = false // the room is wanted
		}
		c.scheduler.serviceMoveCreditAt = c.now
		return
	}
	services := 0
	for _, m := range c.machines.own {
		services += m.services
	}
	movesPerPeriod := max(1, consolidationShare*float64(services))
	c.scheduler.addServiceMoveCredit(c.now, movesPerPeriod, c.cfg.Facts.Workers.Report)
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

// maxEmptying is how many machines may be emptied at a time, and how many moves may be saved
// up: a quarter of those of a period, and one at least.
func maxEmptying(movesPerPeriod float64) float64 { return max(1, movesPerPeriod/4) }

// addServiceMoveCredit adds the moves of services that the time since the last call allows;
// periodS is the heartbeat period in seconds.
func (s *scheduler) addServiceMoveCredit(now time.Duration, movesPerPeriod, periodS float64) {
	earned := movesPerPeriod * (now - s.serviceMoveCreditAt).Seconds() / periodS
	s.serviceMoveCredit = min(maxEmptying(movesPerPeriod), s.serviceMoveCredit+earned)
	s.serviceMoveCreditAt = now
}

// continueConsolidation moves the next service off a machine, or drains it once it is empty,
// and tells whether the machine is still being emptied.
func (c *Core) continueConsolidation(m *machine) bool {
	switch {
	case len(m.bound) == 0 && c.scaler.unshipped.holds(m.id):
		return true
	case len(m.bound) == 0:
		// Guards against a machine that is out of use here while the
		// plan counts on it for a waiting gang: it is drained at once.
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
		c.stopTask(m, m.tasks()[0], "moved")
	}
	return true
}

// sparseForLong tells whether a machine has been sparse for as long as an idle one waits for
// its deletion.
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

// startConsolidation has the sparsest machines emptied whose services have a place
// elsewhere, until as many are being emptied as may be.
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

// isSparse tells whether a machine holds services alone, and few of them.
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

// hasZoneConstraint tells whether the zones of a job's tasks matter to one another.
func hasZoneConstraint(r *jobRecord) bool {
	return r.spec.Tasks > 1 && (r.spec.OneZone || r.spec.Spread)
}

// consolidationTarget finds a better machine of ours for a service on m; reserved is what
// services that move with it will take on each.
func (c *Core) consolidationTarget(r *jobRecord, m *machine, reserved map[*machine]usage) *machine {
	for _, target := range c.machines.own {
		if target == m || c.unschedulable(target) || !holdsMoreServices(target, m) {
			continue
		}
		if c.fetchTime(r.spec, target) > 0 || !c.couldHold(r, target) || hasZoneConstraint(r) && target.claim.Zone != m.claim.Zone {
			continue
		}
		machineType := c.machineTypeOf(target)
		taken := reserved[target]
		if hasCapacity(machineType, target.cpus+taken.CPUs, target.gpus+taken.GPUs, target.ram, r.spec) {
			return target
		}
	}
	return nil
}

// holdsMoreServices tells whether services move to target rather than away from it; of
// machines that hold the same share, they gather on the one whose name comes first.
func holdsMoreServices(target, m *machine) bool {
	if target.serviceShare < tolerance || target.serviceShare < m.serviceShare {
		return false
	}
	return target.serviceShare != m.serviceShare || target.id <= m.id
}

// allServicesFitElsewhere tells whether all services on m have a place elsewhere.
func (c *Core) allServicesFitElsewhere(m *machine) bool {
	reserved := map[*machine]usage{}
	for _, k := range m.tasks() {
		r := m.bound[k]
		target := c.consolidationTarget(r, m, reserved)
		if target == nil {
			return false
		}
		reserved[target] = reserved[target].plus(r.spec, 1)
	}
	return true
}

// Exception "second start": the thesis binds a task once. A service that waits
// for its image on a slow machine moves to one of ours where it can start much
// sooner; it has done nothing yet, so nothing is lost.
func (c *Core) moveService() {
	if c.scheduler.nextServiceMoveAt > c.now {
		return
	}
	for _, m := range c.machines.own {
		if len(m.pulling) == 0 || len(m.stops) > 0 || m.services == 0 {
			continue
		}
		for _, k := range m.tasks() {
			r := m.bound[k]
			if !m.pulling[k] || r.spec.Shape != job.Service || r.final() {
				continue
			}
			remaining := c.remainingPull(r, k, m)
			target := c.pickIdleMachine(r)
			if target == nil || target == m || c.fetchTime(r.spec, target)+c.cfg.Facts.Workers.Report/2 > remaining/2 {
				continue
			}
			c.scheduler.nextServiceMoveAt = c.now + seconds(c.cfg.Facts.Workers.Report/2)
			target.reserveRoom(r.spec.ID, c.scheduler.nextServiceMoveAt, "")
			c.log.Debug("task is being started again", "task", job.TaskName(k.job, k.index), "from", m.id, "to", target.id, "left_s", remaining)
			c.stopTask(m, k, "slow image")
			return
		}
	}
}

// remainingPull is how long a task on a machine will still wait for its image, in seconds:
// by what the machine is known to pull, or by its rate alone if that is longer.
func (c *Core) remainingPull(r *jobRecord, k taskKey, m *machine) float64 {
	pullS := r.spec.ImageGB / c.machineTypeOf(m).ImagePullGBPerS
	waitedS := (c.now - m.boundAt[k].boundAt).Seconds()
	return max(c.fetchTime(r.spec, m), pullS-waitedS)
}
