package coordination

import (
	"iter"

	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/protocol"
)

// tolerance is the rounding error allowed in sums of resources: far less than any task requests.
const tolerance = 1e-6

// Sizes of a heartbeat, in bytes.
const (
	taskStatusBytes    = 96   // more than a task takes
	heartbeatHeadBytes = 4096 // left for everything else
)

// maxTasksPerMachine is the most tasks that a heartbeat has room for, and so the most that a machine may
// have. It also bounds the commands in an answer, and the memory that the tasks of a machine take.
const maxTasksPerMachine = (protocol.MaxBody - heartbeatHeadBytes) / taskStatusBytes

// taskCount returns how many tasks a machine has, as far as they may be in its heartbeats: those that are
// bound to it, have room reserved there or, if it is ours, have ended and have not been removed from the
// heartbeats.
func (c *Core) taskCount(m *machine) int {
	tasks := len(m.bound) + m.reserved
	if c.isOwn(m) {
		tasks += m.unforgotten
	}
	return tasks
}

// maxCandidates is how many suitable machines a decision compares, starting at a random
// machine, so that its cost does not grow with the fleet.
const maxCandidates = 64

// fits reports whether a machine is allowed for a job and has room for one of its tasks now.
func (c *Core) fits(r *jobRecord, m *machine) bool {
	machineType := c.machineTypeOf(m)
	if machineType == &unknownMachineType || !allowsMachine(r.spec, m) {
		return false
	}
	if m.reservedFor != r.spec.ID && c.now < m.reservedUntil {
		return false
	}
	room := c.freeRoom(m)
	return room.hasRoomFor(r.spec) && c.zoneAllowed(r, m.claim.Zone)
}

// allowsMachine reports whether a job may run on a machine, by its type, its zone, and whether
// it is a spot machine.
func allowsMachine(s *job.Spec, m *machine) bool {
	if !s.AllowsMachineType(m.claim.MachineType) {
		return false
	}
	return (s.Zone == "" || s.Zone == m.claim.Zone) && (!m.claim.Spot || s.Spot)
}

// freeRoom returns the resources of a machine that are neither in use nor reserved, as a slot without
// a name and an offering.
func (c *Core) freeRoom(m *machine) slot {
	t := c.machineTypeOf(m)
	return slot{tasks: c.taskCount(m), cpus: t.CPUs - m.cpus, gpus: t.GPUs - m.gpus, memoryGB: t.MemoryGB - m.memoryGB}
}

// zoneAllowed reports whether a task may go to a zone, given the zones of the job's other tasks.
func (c *Core) zoneAllowed(r *jobRecord, zone string) bool {
	if r.spec.OneZone {
		for z, n := range r.tasksByZone {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !r.spec.Spread || r.tasksByZone[zone] < r.spec.SpreadLimit()
}

// couldHold reports whether a machine could hold a task of a job if it were empty.
func (c *Core) couldHold(r *jobRecord, m *machine) bool {
	machineType := c.machineTypeOf(m)
	return machineType != &unknownMachineType && allowsMachine(r.spec, m) && typeHolds(machineType, r.spec)
}

// fromRandomStart yields each of the machines once, in order and starting at a random one, so
// that bounded searches do not always look at the same machines. It draws one random number,
// even if there are no machines.
func (c *Core) fromRandomStart(machines []*machine) iter.Seq[*machine] {
	return func(yield func(*machine) bool) {
		start := c.random.IntN(max(1, len(machines)))
		for i := range machines {
			if !yield(machines[(start+i)%len(machines)]) {
				return
			}
		}
	}
}

// machineThatCouldHold returns the first of our machines, starting at a random one, that could
// hold a job's task, or nil.
func (c *Core) machineThatCouldHold(r *jobRecord) *machine {
	if len(c.machines.own) == 0 {
		return nil
	}
	for m := range c.fromRandomStart(c.machines.own) {
		if !c.unschedulable(m) && c.couldHold(r, m) {
			return m
		}
	}
	return nil
}

// pickIdleMachine returns a machine of the idle list that has room for a task of a job, or nil.
// It compares the first maxCandidates such machines, starting at a random entry, and picks at
// random among those with the best rank.
func (c *Core) pickIdleMachine(r *jobRecord) *machine {
	var pick *machine
	var bestRank placementRank
	ties, seen := 0, 0
	if len(c.scheduler.idle) == 0 {
		return nil
	}
	for m := range c.fromRandomStart(c.scheduler.idle) {
		if seen == maxCandidates {
			break
		}
		if c.unschedulable(m) || !c.fits(r, m) {
			continue
		}
		seen++
		rank := c.rankMachine(r, m)
		switch {
		case ties == 0 || rank.before(bestRank):
			bestRank, ties = rank, 0
		case bestRank.before(rank):
			continue
		}
		ties++
		if c.random.IntN(ties) == 0 {
			pick = m
		}
	}
	return pick
}

// placementRank orders machines for a task. The thesis picks at random among servers
// that are all alike; ours differ, hence three exceptions:
// "soonest start": prefer a machine that has the image, or fetches it faster;
// "spot first": jobs that may use the cheaper spot machines leave the on-demand ones free;
// "best fit": prefer the fullest machine, so that whole machines stay free for gangs; for a
// service, the machine with the smallest share that services do not use.
type placementRank struct {
	fetchPeriods   int  // until the image and the inputs are on the machine, in heartbeat periods
	wastesOnDemand bool // the job may use a spot machine, and this is an on-demand one
	freeTenths     int  // free tenths of the machine; for a service, tenths of an accelerator not used by services
}

// before reports whether a is a better rank than b.
func (a placementRank) before(b placementRank) bool {
	if a.fetchPeriods != b.fetchPeriods {
		return a.fetchPeriods < b.fetchPeriods
	}
	if a.wastesOnDemand != b.wastesOnDemand {
		return b.wastesOnDemand
	}
	return a.freeTenths < b.freeTenths
}

// rankMachine returns the rank of a machine for a task of a job.
func (c *Core) rankMachine(r *jobRecord, m *machine) placementRank {
	machineType := c.machineTypeOf(m)
	rank := placementRank{fetchPeriods: int(c.fetchTime(r.spec, m)/c.cfg.Facts.Workers.Heartbeat + 0.99)}
	if r.spec.Shape == job.Service {
		// Services outlive everything else: they are placed on machines
		// that already run services, so that the others can be deleted.
		rank.freeTenths = int(10 * (machineType.GPUs - m.serviceShare))
		return rank
	}
	rank.wastesOnDemand = r.spec.Spot && !m.claim.Spot
	if machineType.GPUs > 0 {
		rank.freeTenths = int(10 * (machineType.GPUs - m.gpus) / machineType.GPUs)
	} else if machineType.CPUs > 0 {
		rank.freeTenths = int(10 * (machineType.CPUs - m.cpus) / machineType.CPUs)
	}
	return rank
}

// placeable reports whether a task may be placed: it is pending and not being placed already,
// its job is neither over nor paused, and its team's limit allows it.
func (c *Core) placeable(r *jobRecord, index int) bool {
	if r == nil || r.final() || c.paused(r) {
		return false
	}
	t := r.task(c, index)
	if t == nil || t.Phase != job.Pending || r.reservations[index] != nil {
		return false
	}
	team := c.jobs.teamOf(r)
	return team != nil && team.leavesQuotaFor(r, team.charged.plus(r.spec, 1))
}

// placeTask reserves room for a task on one of our machines and proposes its placement.
func (c *Core) placeTask(r *jobRecord, index int, m *machine) {
	c.reserve(r, index, m)
	c.propose(r, index, taskTransition{placement: true, machine: m.id, epoch: m.epoch, attempt: c.nextAttempt(r)})
	c.scheduler.dequeueTask(r, index)
	if m.reservedFor == r.spec.ID {
		m.reservedUntil = 0
	}
	if !c.hasRoom(m) {
		c.scheduler.removeFromIdleList(m)
	}
	c.traceStart(losses.Placing, r.spec.ID, index, 0, m.id)
}

// nextAttempt returns the attempt number of a gang's next start, and 0 for other jobs. All tasks
// of one attempt get the same number, by which they find one another.
func (c *Core) nextAttempt(r *jobRecord) int {
	if r.spec.Shape != job.Gang {
		return 0
	}
	if r.bound > 0 {
		return r.lastAttempt
	}
	return r.lastAttempt + 1
}
