package coordination

import (
	"sort"

	"silvergate/internal/job"
)

// consolidationShare is the share of our services that may be moved in a report
// period. A moved one is away for about a second.
const consolidationShare = 0.025

// Exception "gathering": the thesis's tasks end by themselves, services do
// not. Left alone, a few of them keep many machines half empty. When nothing
// waits, the services of our sparsest machines move to machines of ours that
// hold more of them, have their images and have room, in the same zone where
// zones matter. A few at a time: one a report period, or consolidationShare of them
// where there are many.
func (c *Core) consolidate() {
	if c.scheduler.queuedTasks > 0 {
		for _, m := range c.machines.own {
			m.consolidating = false // the room is wanted
		}
		c.scheduler.serviceMoveCreditAt = c.now
		return
	}
	services, emptying := 0, 0
	for _, m := range c.machines.own {
		services += m.services
	}
	most := max(1, consolidationShare*float64(services))
	c.scheduler.serviceMoveCredit = min(max(1, most/4), c.scheduler.serviceMoveCredit+most*(c.now-c.scheduler.serviceMoveCreditAt).Seconds()/c.cfg.Facts.Workers.Report)
	c.scheduler.serviceMoveCreditAt = c.now
	var from []*machine
	for _, m := range c.machines.own {
		if m.consolidating {
			switch {
			case len(m.bound) == 0 && c.scaler.unshipped.holds(m.id):
				emptying++
			case len(m.bound) == 0:
				// Guards against a machine that is out of use here while the
				// plan counts on it for a waiting gang: it goes back at once.
				c.drainMachine(m, drainIdle)
			case len(m.stops) > 0:
				emptying++
			case !c.hasRoomFor(m):
				m.consolidating = false
			default:
				emptying++
				if c.scheduler.serviceMoveCredit >= 1 {
					c.scheduler.serviceMoveCredit--
					c.stopTask(m, m.tasks()[0], "moved")
				}
			}
			continue
		}
		if !c.isSparse(m) {
			m.sparseSince = 0
			continue
		}
		if m.sparseSince == 0 {
			m.sparseSince = c.now
		}
		// As long as the return of an idle machine is awaited.
		if c.now-m.sparseSince > seconds(idleTimeShare*c.machineTypeOf(m).StartupS) {
			from = append(from, m)
		}
	}
	// Those with the fewest first, and no more than will be empty soon.
	sort.SliceStable(from, func(i, j int) bool { return from[i].serviceShare < from[j].serviceShare })
	for _, m := range from {
		if float64(emptying) >= max(1, most/4) {
			return
		}
		if c.hasRoomFor(m) {
			m.consolidating = true
			emptying++
			c.scheduler.removeFromIdleList(m)
			c.log.Debug("consolidating services", "from", m.id, "services", len(m.bound))
		}
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

// isPinned tells whether the zones of a job's tasks matter to one another.
func isPinned(r *jobRecord) bool { return r.spec.Tasks > 1 && (r.spec.OneZone || r.spec.Spread) }

// consolidationTarget finds a better machine of ours for a service on m.
func (c *Core) consolidationTarget(r *jobRecord, m *machine, used map[*machine]usage) *machine {
	for _, target := range c.machines.own {
		if target == m || c.unschedulable(target) || target.serviceShare < tolerance || target.serviceShare < m.serviceShare || (target.serviceShare == m.serviceShare && target.id > m.id) ||
			c.fetchTime(r.spec, target) > 0 || !c.couldHold(r, target) || isPinned(r) && target.claim.Zone != m.claim.Zone {
			continue
		}
		machineType := c.machineTypeOf(target)
		reserved := used[target]
		if target.cpus+reserved.CPUs+r.spec.CPUs <= machineType.CPUs+tolerance && target.gpus+reserved.GPUs+r.spec.GPUs <= machineType.GPUs+tolerance &&
			target.ram+r.spec.MemoryGB <= machineType.MemoryGB+tolerance {
			return target
		}
	}
	return nil
}

// hasRoomFor tells whether all services on m have a place elsewhere.
func (c *Core) hasRoomFor(m *machine) bool {
	used := map[*machine]usage{}
	for _, k := range m.tasks() {
		r := m.bound[k]
		target := c.consolidationTarget(r, m, used)
		if target == nil {
			return false
		}
		used[target] = used[target].plus(r.spec, 1)
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
		if len(m.pulling) == 0 {
			continue
		}
		if len(m.stops) > 0 || m.services == 0 {
			continue
		}
		for _, k := range m.tasks() {
			r := m.bound[k]
			if !m.pulling[k] || r.spec.Shape != job.Service || r.final() {
				continue
			}
			remaining := max(c.fetchTime(r.spec, m), r.spec.ImageGB/c.machineTypeOf(m).ImagePullGBPerS-(c.now-m.boundAt[k].boundAt).Seconds())
			target := c.pickIdleMachine(r)
			if target == nil || target == m || c.fetchTime(r.spec, target)+c.cfg.Facts.Workers.Report/2 > remaining/2 {
				continue
			}
			c.scheduler.nextServiceMoveAt = c.now + seconds(c.cfg.Facts.Workers.Report/2)
			target.reserveRoom(r.spec.ID, c.scheduler.nextServiceMoveAt, "")
			c.log.Debug("task is being started again", "task", job.TaskName(k.job, k.index), "from", m.id, "to", target.id, "leftS", remaining)
			c.stopTask(m, k, "slow image")
			return
		}
	}
}
