package coordination

import (
	"iter"

	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/protocol"
)

// tolerance is what sums of resources may be off by: far less than any task requests.
const tolerance = 1e-6

// maxCandidates is how many machines that would do a decision compares, from a
// random one on, so that its cost does not grow with the fleet.
const maxCandidates = 64

// fits tells whether a machine may and can hold a task now.
func (c *Core) fits(r *jobRecord, m *machine) bool {
	machineType := c.machineTypeOf(m)
	if machineType == &unknownMachineType || !allowsMachine(r.spec, m) {
		return false
	}
	if m.reservedFor != r.spec.ID && c.now < m.reservedUntil {
		return false
	}
	return hasCapacity(machineType, m.cpus, m.gpus, m.ram, r.spec) && c.zoneAllowed(r, m.claim.Zone)
}

// allowsMachine tells whether a job may run on a machine of its type, zone and price.
func allowsMachine(s *job.Spec, m *machine) bool {
	if !s.AllowsMachineType(m.claim.MachineType) {
		return false
	}
	return (s.Zone == "" || s.Zone == m.claim.Zone) && (!m.claim.Spot || s.Spot)
}

// hasCapacity tells whether a machine of a type, of which so much is taken, has room for a
// task.
func hasCapacity(t *protocol.MachineType, cpus, gpus, memoryGB float64, s *job.Spec) bool {
	return cpus+s.CPUs <= t.CPUs+tolerance &&
		gpus+s.GPUs <= t.GPUs+tolerance &&
		memoryGB+s.MemoryGB <= t.MemoryGB+tolerance
}

// zoneAllowed tells whether a task may go to a zone in view of where the job's others are.
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

// couldHold tells whether a machine could hold the task if it were empty.
func (c *Core) couldHold(r *jobRecord, m *machine) bool {
	machineType := c.machineTypeOf(m)
	return machineType != &unknownMachineType && allowsMachine(r.spec, m) && typeHolds(machineType, r.spec)
}

// fromRandomStart yields each of the machines once, in their order from a random one on, so
// that bounded searches do not always look at the same ones. It draws once, also if there
// are no machines.
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

// machineThatCouldHold is a random machine of ours that could hold a job's task: the first
// such from a random one on.
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

// pickIdleMachine takes an entry of the idle list whose remaining room holds the task: a
// random one of those with the best rank among the first that hold it, from a
// random entry on.
func (c *Core) pickIdleMachine(r *jobRecord) *machine {
	var pick *machine
	var bestRank placementRank
	n, seen := 0, 0
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
		case n == 0 || rank.before(bestRank):
			bestRank, n = rank, 0
		case bestRank.before(rank):
			continue
		}
		n++
		if c.random.IntN(n) == 0 {
			pick = m
		}
	}
	return pick
}

// placementRank orders machines for a task. The thesis picks at random among servers
// that are all alike; ours differ, hence three exceptions:
// "soonest start": a machine that has the image, or fetches it faster;
// "spot first": what may use cheap machines leaves the ordinary ones;
// "best fit": the fullest machine, so that whole blocks stay for gangs, or
// for services the one with the least that services do not hold.
type placementRank struct {
	fetchPeriods   int  // until the image and the inputs are there, in heartbeat periods
	wastesOnDemand bool // the job may use a spot machine and this is none
	freeTenths     int  // tenths of the machine, or of a unit that services do not hold
}

// before tells whether a machine of this rank is the better one.
func (a placementRank) before(b placementRank) bool {
	if a.fetchPeriods != b.fetchPeriods {
		return a.fetchPeriods < b.fetchPeriods
	}
	if a.wastesOnDemand != b.wastesOnDemand {
		return b.wastesOnDemand
	}
	return a.freeTenths < b.freeTenths
}

// rankMachine ranks a machine for a task of a job.
func (c *Core) rankMachine(r *jobRecord, m *machine) placementRank {
	machineType := c.machineTypeOf(m)
	rank := placementRank{fetchPeriods: int(c.fetchTime(r.spec, m)/c.cfg.Facts.Workers.Report + 0.99)}
	if r.spec.Shape == job.Service {
		// Services outlive everything else: they gather on the machines
		// that services hold already, so that the others can be deleted.
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

// placeable tells whether a task is pending, not being placed already, and within its team's
// limit.
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

// placeTask reserves room for a task on a machine of ours and proposes its placement.
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

// nextAttempt is the attempt number of a gang's next start, 0 for other jobs. The tasks of
// one attempt find one another by it, so all of them get the same.
func (c *Core) nextAttempt(r *jobRecord) int {
	if r.spec.Shape != job.Gang {
		return 0
	}
	if r.bound > 0 {
		return r.lastAttempt
	}
	return r.lastAttempt + 1
}
