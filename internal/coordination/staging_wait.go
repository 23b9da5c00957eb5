package coordination

import (
	"time"

	"silvergate/internal/job"
	"silvergate/internal/staging"
)

// timeUntilRoom returns how long until the machine has room for a task of the job, according to the
// users' estimates for the tasks bound to it, or staging.Never if the estimates give no time.
func (c *Core) timeUntilRoom(r *jobRecord, m *machine) time.Duration {
	if c.fits(r, m) {
		return 0
	}
	soonest := staging.Never
	for _, k := range m.boundTasks() {
		s := m.bound[k].spec
		if s.Shape == job.Service || s.CPUs < r.spec.CPUs || s.GPUs < r.spec.GPUs {
			continue
		}
		left := seconds(s.EstimateS)
		if startedAt, ok := m.runningSince[k]; ok {
			left = max(0, left-(c.now-startedAt))
		}
		soonest = min(soonest, left)
	}
	return soonest
}

// waitsForWarmMachine reports whether a task should not be placed on machine m, which lacks its
// inputs, because it will start sooner on a warm machine, one that holds them: either when that
// machine has room, or after tasks of lower priority on it are preempted. In the second case
// waitsForWarmMachine starts the preemption. This departs from the thesis (docs/design.md), in
// which all servers are alike: servers that hold the data differ from the others. The candidates
// are still compared only among the machines that a placement would look at, and the wait is
// bounded by the time of the fetch.
func (d *stagingCoordinator) waitsForWarmMachine(r *jobRecord, index int, m *machine) bool {
	if d == nil || len(r.spec.Inputs) == 0 || isGang(r) {
		return false
	}
	c, key := d.core, taskKey{r.spec.ID, index}
	copies := d.copies(r.spec)
	fetch := d.planner.ExpectedTime(c.now, m.id, copies)
	if fetch < c.sweepPeriod() {
		delete(d.waitingSince, key)
		return false
	}
	free, holder := d.soonestFreeHolder(r, copies)
	queued := r.queuedByIndex[index]
	if queued != nil && c.now < queued.nextPreemptionAt {
		return true // tasks on a warm machine are already being stopped for this task
	}
	preemption := d.cheapestPreemption(r)
	switch staging.Choose(fetch, free, preemption.duration, d.waited(key)) {
	case staging.WaitForHolder:
		if _, ok := d.waitingSince[key]; !ok {
			d.waitingSince[key] = c.now
		}
		if queued == nil {
			c.scheduler.enqueueTask(r, &queuedTask{key: key, machine: holder})
		}
		return true
	case staging.PreemptHolder:
		if queued == nil {
			queued = &queuedTask{key: key, machine: preemption.machine.id}
			c.scheduler.enqueueTask(r, queued)
		}
		c.preemptOn(r, queued, preemption.machine, preemption.victims)
		return true
	}
	delete(d.waitingSince, key)
	return false
}

// waited returns how long a task has waited for a machine that holds its inputs.
func (d *stagingCoordinator) waited(key taskKey) time.Duration {
	if since, ok := d.waitingSince[key]; ok {
		return d.core.now - since
	}
	return 0
}

// soonestFreeHolder returns the machine that holds the copies and will have room for a task of the
// job soonest, and how long until then; the time is staging.Never if there is no such machine. It
// looks at only a few holders.
func (d *stagingCoordinator) soonestFreeHolder(r *jobRecord, copies []staging.ID) (free time.Duration, holder string) {
	free = staging.Never
	if len(copies) == 0 {
		return free, holder
	}
	d.planner.ForEachHolder(copies[0], func(id string) bool {
		if m := d.core.machines.byID[id]; m != nil && d.mayPlaceOn(r, m) && d.planner.Holds(id, copies) {
			if at := d.core.timeUntilRoom(r, m); at < free {
				free, holder = at, id
			}
		}
		return free > 0
	})
	return free, holder
}

// mayPlaceOn reports whether this controller may place a task of the job on the machine once the
// machine has room.
func (d *stagingCoordinator) mayPlaceOn(r *jobRecord, m *machine) bool {
	c := d.core
	return c.isOwn(m) && !c.unschedulable(m) && c.couldHold(r, m) && c.zoneAllowed(r, m.claim.Zone)
}

// warmPreemption describes the preemption that would make room on a machine that holds a job's inputs.
type warmPreemption struct {
	duration time.Duration // until there is room; staging.Never if there is no such machine
	machine  *machine
	victims  []taskKey
}

// cheapestPreemption returns the cheapest preemption of lower-priority tasks on a machine that holds
// the job's inputs. Its duration allows for the worker to receive the stops in a heartbeat response,
// and for the tasks to save a checkpoint.
func (d *stagingCoordinator) cheapestPreemption(r *jobRecord) warmPreemption {
	c := d.core
	none := warmPreemption{duration: staging.Never}
	if r.spec.Priority <= job.Low {
		return none
	}
	m, victims := c.cheapestVictims(r, true)
	if m == nil {
		return none
	}
	duration := seconds(c.cfg.Facts.Workers.Heartbeat / 4)
	for _, victim := range victims {
		duration = max(duration, seconds(2*m.bound[victim].spec.CheckpointSaveS))
	}
	return warmPreemption{duration: duration, machine: m, victims: victims}
}
