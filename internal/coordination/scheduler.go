package coordination

import (
	"slices"
	"time"

	"silvergate/internal/job"
)

// scheduler owns the idle list, the queues of waiting tasks, and the credit for moving
// services.
type scheduler struct {
	idle                []*machine   // machines with room
	queuedJobs          []*jobRecord // jobs with queued tasks, most urgent first
	queuedTasks         int
	earlyHandoffs       map[string][]earlyHandoff // by job: handed off before the job's record came
	capacity            usage                     // of all machines
	capacityAt          time.Duration             // when it was last summed
	serviceMoveCredit   float64                   // services that may be moved now, see consolidate
	serviceMoveCreditAt time.Duration
	nextServiceMoveAt   time.Duration
}

func newScheduler() scheduler {
	return scheduler{earlyHandoffs: map[string][]earlyHandoff{}}
}

// schedule sends every pending task that is ours to look after on its way
// again, and clears the lines of what has been placed or is over.
func (c *Core) schedule() {
	slices.SortStableFunc(c.scheduler.queuedJobs, compareUrgency)
	for _, r := range slices.Clone(c.scheduler.queuedJobs) {
		for _, w := range slices.Clone(r.queue) {
			if r.final() || r.task(c, w.key.index).Phase != job.Pending || (w.expiresAt > 0 && c.now > w.expiresAt) {
				c.scheduler.dequeueTask(r, w.key.index)
			}
		}
	}
	if len(c.scheduler.queuedJobs) > 0 {
		for _, m := range slices.Clone(c.scheduler.idle) {
			if !c.unschedulable(m) {
				c.placeQueuedTasks(m)
			}
		}
	}
	c.updateGangReservation(c.jobs.openByUrgency)
	for _, r := range c.jobs.openByUrgency {
		switch {
		case r.finished == r.spec.Tasks:
			c.completeJob(r)
		case r.bound+r.finished+len(r.reservations) < r.spec.Tasks && c.responsibleController(r.owner) == c.cfg.Node:
			c.dispatchJob(r)
		}
	}
	// Our own line's tasks look elsewhere again after a while: machines may
	// have become free at other controllers.
	for _, r := range slices.Clone(c.scheduler.queuedJobs) {
		var retry []int
		for _, w := range r.queue {
			if w.expiresAt == 0 && c.now >= w.nextPreemptionAt && c.now >= r.dispatchAfter[w.key.index]+c.cfg.Operator.PublishInterval {
				retry = append(retry, w.key.index)
			}
		}
		for _, i := range retry {
			r.deferDispatch(i, c.now)
			c.scheduler.dequeueTask(r, i)
		}
		c.probe(r, retry)
	}
}

// offerMachine puts a machine with room into the idle list, after it has taken the
// oldest tasks that it can hold from any line.
func (c *Core) offerMachine(m *machine) {
	if c.unschedulable(m) {
		c.scheduler.removeFromIdleList(m)
		return
	}
	c.placeQueuedTasks(m)
	if !c.hasRoom(m) {
		c.scheduler.removeFromIdleList(m)
		return
	}
	m.listedAt = c.now
	if m.idleListIndex == 0 {
		c.scheduler.idle = append(c.scheduler.idle, m)
		m.idleListIndex = len(c.scheduler.idle)
	}
	c.offerHeldRoom(m)
}

func (s *scheduler) removeFromIdleList(m *machine) {
	if m.idleListIndex == 0 {
		return
	}
	last := s.idle[len(s.idle)-1]
	s.idle[m.idleListIndex-1], last.idleListIndex = last, m.idleListIndex
	s.idle = s.idle[:len(s.idle)-1]
	m.idleListIndex = 0
}

func (c *Core) machineFreed(id string) {
	if m := c.machines.byID[id]; m != nil && c.isOwn(m) && m.tokenSeen && c.now-m.heardAt < seconds(c.cfg.Facts.Workers.Report*c.cfg.Operator.EntryAge) {
		c.offerMachine(m)
	}
}

// hasRoom tells whether any task could use what is left.
func (c *Core) hasRoom(m *machine) bool {
	machineType := c.machineTypeOf(m)
	if machineType.GPUs > 0 && c.jobs.openCPUOnly == 0 && machineType.GPUs-m.gpus < tolerance {
		return false
	}
	return machineType.CPUs-m.cpus > tolerance && machineType.MemoryGB-m.ram > tolerance
}

// requeueTask looks for a new place for a task that was stopped or lost, at once
// and here; failing that, its job's keeper sends it on its way.
func (c *Core) requeueTask(r *jobRecord, index int) {
	if isGang(r) || !c.placeable(r, index) {
		return
	}
	if m := c.pickIdleMachine(r); m != nil && !c.preemptOnWarmMachine(r, index, m) {
		c.placeTask(r, index, m)
	}
}
