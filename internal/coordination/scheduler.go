package coordination

import (
	"slices"
	"time"
)

// scheduler owns the idle list, the queues of waiting tasks, and the budget for moving
// services.
type scheduler struct {
	idle                []*machine   // machines with room
	queuedJobs          []*jobRecord // jobs with queued tasks, most urgent first
	queuedTasks         int
	inDispatch          int                       // tasks in dispatch of the jobs that were dispatched since the last sweep began
	earlyHandoffs       map[string][]earlyHandoff // by job: handoffs that arrived before the job's record
	capacity            usage                     // of all machines
	capacityAt          time.Duration             // when capacity was last summed
	serviceMoveCredit   float64                   // services that may be moved now, see consolidate
	serviceMoveCreditAt time.Duration
	nextServiceMoveAt   time.Duration // see moveService
}

func newScheduler() scheduler {
	return scheduler{earlyHandoffs: map[string][]earlyHandoff{}}
}

// schedule removes tasks that are placed or over from the queues, places queued tasks on idle
// machines, and dispatches the pending tasks of the jobs that this controller is responsible for.
func (c *Core) schedule() {
	c.pruneQueues()
	if len(c.scheduler.queuedJobs) > 0 {
		for _, m := range slices.Clone(c.scheduler.idle) {
			if !c.unschedulable(m) {
				c.placeQueuedTasks(m)
			}
		}
	}
	c.updateGangReservation(c.jobs.openByUrgency)
	c.scheduler.inDispatch = 0
	for _, r := range c.jobs.openByUrgency {
		switch {
		case r.finished == r.spec.Tasks:
			c.completeJob(r)
		case r.gangCompleted():
			if c.isResponsibleFor(r) {
				c.completeGang(r)
			}
		case r.unplacedTasks() > len(r.reservations) && c.isResponsibleFor(r):
			c.dispatchJob(r)
		}
	}
	c.retryQueuedTasks()
}

// offerMachine first places queued tasks on a machine with room, and puts the machine into the
// idle list if it still has room then.
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
	c.scheduler.addToIdleList(m, c.now)
	c.offerHeldRoom(m)
}

// addToIdleList adds a machine to the idle list, or renews its entry there.
func (s *scheduler) addToIdleList(m *machine, now time.Duration) {
	m.listedAt = now
	if m.idleListIndex == 0 {
		s.idle = append(s.idle, m)
		m.idleListIndex = len(s.idle)
	}
}

// removeFromIdleList removes a machine from the idle list, if it is listed. The last machine
// of the list moves into its position.
func (s *scheduler) removeFromIdleList(m *machine) {
	if m.idleListIndex == 0 {
		return
	}
	last := s.idle[len(s.idle)-1]
	s.idle[m.idleListIndex-1] = last
	last.idleListIndex = m.idleListIndex
	s.idle = s.idle[:len(s.idle)-1]
	m.idleListIndex = 0
}

// offerFreedMachine offers one of our machines on which room has become free, if its last heartbeat
// is recent enough for an entry in the idle list.
func (c *Core) offerFreedMachine(id string) {
	m := c.machines.byID[id]
	if m == nil || !c.isOwn(m) || !m.tokenSeen {
		return
	}
	if c.now-m.heardAt < seconds(c.cfg.Facts.Workers.Heartbeat*c.cfg.Operator.EntryAge) {
		c.offerMachine(m)
	}
}

// hasRoom reports whether any task could use the free resources of a machine.
func (c *Core) hasRoom(m *machine) bool {
	if c.taskCount(m) >= maxTasksPerMachine {
		return false
	}
	machineType := c.machineTypeOf(m)
	if machineType.GPUs > 0 && c.jobs.openCPUOnly == 0 && machineType.GPUs-m.gpus < tolerance {
		return false
	}
	return machineType.CPUs-m.cpus > tolerance && machineType.MemoryGB-m.memoryGB > tolerance
}

// requeueTask is called when a task was stopped or lost, and at once places the task on an idle
// machine of this controller. If none fits, the controller responsible for the task's job
// dispatches the task.
func (c *Core) requeueTask(r *jobRecord, index int) {
	if isGang(r) || !c.placeable(r, index) {
		return
	}
	if m := c.pickIdleMachine(r); m != nil && !c.preemptOnWarmMachine(r, index, m) {
		c.placeTask(r, index, m)
	}
}
