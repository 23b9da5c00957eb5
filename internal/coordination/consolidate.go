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
			c.removeFromIdleList(m)
			c.log.Debug("consolidating services", "from", m.id, "services", len(m.bound))
		}
	}
}

// isSparse tells whether a machine holds services alone, and few of them.
func (c *Core) isSparse(m *machine) bool {
	f := c.machineTypeOf(m)
	if c.unschedulable(m) || len(m.bound) == 0 || len(m.stops) > 0 || m.serviceShare > f.GPUs/2 {
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
	for _, t := range c.machines.own {
		if t == m || c.unschedulable(t) || t.serviceShare < tolerance || t.serviceShare < m.serviceShare || (t.serviceShare == m.serviceShare && t.id > m.id) ||
			c.fetchTime(r.spec, t) > 0 || !c.couldHold(r, t) || isPinned(r) && t.claim.Zone != m.claim.Zone {
			continue
		}
		f := c.machineTypeOf(t)
		u := used[t]
		if t.cpus+u.CPUs+r.spec.CPUs <= f.CPUs+tolerance && t.gpus+u.GPUs+r.spec.GPUs <= f.GPUs+tolerance &&
			t.ram+r.spec.MemoryGB <= f.MemoryGB+tolerance {
			return t
		}
	}
	return nil
}

// hasRoomFor tells whether all services on m have a place elsewhere.
func (c *Core) hasRoomFor(m *machine) bool {
	used := map[*machine]usage{}
	for _, k := range m.tasks() {
		r := m.bound[k]
		t := c.consolidationTarget(r, m, used)
		if t == nil {
			return false
		}
		used[t] = used[t].plus(r.spec, 1)
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
			left := max(c.fetchTime(r.spec, m), r.spec.ImageGB/c.machineTypeOf(m).ImagePullGBPerS-(c.now-m.boundAt[k].boundAt).Seconds())
			t := c.pickIdleMachine(r)
			if t == nil || t == m || c.fetchTime(r.spec, t)+c.cfg.Facts.Workers.Report/2 > left/2 {
				continue
			}
			c.scheduler.nextServiceMoveAt = c.now + seconds(c.cfg.Facts.Workers.Report/2)
			t.reserveRoom(r.spec.ID, c.scheduler.nextServiceMoveAt, "")
			c.log.Debug("task is being started again", "task", job.TaskName(k.job, k.index), "from", m.id, "to", t.id, "leftS", left)
			c.stopTask(m, k, "slow image")
			return
		}
	}
}
