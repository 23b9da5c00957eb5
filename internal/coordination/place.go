package coordination

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/peer"
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

// queuedTask is a task in a machine's line. The lines of our machines are kept by
// job, in the order of the jobs' turns: a job's tasks are alike, so what one of
// them can't use none of them can. Each entry names its machine.
type queuedTask struct {
	key              taskKey
	machine          string
	expiresAt        time.Duration // handed over by a peer: kept until then
	nextPreemptionAt time.Duration // stops were ordered for it: no others before
}

// maxCandidates is how many entries that would do a decision compares, from a
// random one on, so that its cost does not grow with the fleet.
const maxCandidates = 64

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

const tolerance = 1e-6

// fits tells whether a machine may and can hold a task now.
func (c *Core) fits(r *jobRecord, m *machine) bool {
	s := r.spec
	machineType := c.machineTypeOf(m)
	if machineType == &unknownMachineType || !s.AllowsMachineType(m.claim.MachineType) || (s.Zone != "" && s.Zone != m.claim.Zone) || (m.claim.Spot && !s.Spot) {
		return false
	}
	if m.holdFor != s.ID && c.now < m.holdTill {
		return false
	}
	if m.cpus+s.CPUs > machineType.CPUs+tolerance || m.gpus+s.GPUs > machineType.GPUs+tolerance || m.ram+s.MemoryGB > machineType.MemoryGB+tolerance {
		return false
	}
	return c.zoneAllowed(r, m.claim.Zone)
}

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
	s := r.spec
	machineType := c.machineTypeOf(m)
	return machineType != &unknownMachineType && s.AllowsMachineType(m.claim.MachineType) && (s.Zone == "" || s.Zone == m.claim.Zone) && (!m.claim.Spot || s.Spot) && typeHolds(machineType, s)
}

// pickIdleMachine takes an entry of the idle list whose remaining room holds the task: a
// random one of those that suit it best among the first that hold it, from a
// random entry on.
func (c *Core) pickIdleMachine(r *jobRecord) *machine {
	var pick *machine
	var bestRank placementRank
	n, seen := 0, 0
	if len(c.scheduler.idle) == 0 {
		return nil
	}
	start := c.random.IntN(len(c.scheduler.idle))
	for i := 0; i < len(c.scheduler.idle) && seen < maxCandidates; i++ {
		m := c.scheduler.idle[(start+i)%len(c.scheduler.idle)]
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

// placementRank orders entries for a task. The thesis pops at random among servers
// that are all alike; ours differ, hence three exceptions:
// "soonest start": a machine that has the image, or fetches it faster;
// "spot first": what may use cheap machines leaves the ordinary ones;
// "best fit": the fullest machine, so that whole blocks stay for gangs, or
// for services the one with the least that services do not hold.
type placementRank struct {
	fetchPeriods   int  // in report periods
	wastesOnDemand bool // the job may use a spot machine and this is none
	freeTenths     int  // tenths of the machine, or of a unit that services do not hold
}

func (a placementRank) before(b placementRank) bool {
	if a.fetchPeriods != b.fetchPeriods {
		return a.fetchPeriods < b.fetchPeriods
	}
	if a.wastesOnDemand != b.wastesOnDemand {
		return b.wastesOnDemand
	}
	return a.freeTenths < b.freeTenths
}

func (c *Core) rankMachine(r *jobRecord, m *machine) placementRank {
	machineType := c.machineTypeOf(m)
	if r.spec.Shape == job.Service {
		// Services outlive everything else: they gather on the machines
		// that services hold already, so that the others can be returned.
		return placementRank{fetchPeriods: int(c.fetchTime(r.spec, m)/c.cfg.Facts.Workers.Report + 0.99), freeTenths: int(10 * (machineType.GPUs - m.serviceShare))}
	}
	rank := placementRank{fetchPeriods: int(c.fetchTime(r.spec, m)/c.cfg.Facts.Workers.Report + 0.99), wastesOnDemand: r.spec.Spot && !m.claim.Spot}
	if machineType.GPUs > 0 {
		rank.freeTenths = int(10 * (machineType.GPUs - m.gpus) / machineType.GPUs)
	} else if machineType.CPUs > 0 {
		rank.freeTenths = int(10 * (machineType.CPUs - m.cpus) / machineType.CPUs)
	}
	return rank
}

// placeTask binds a task to a machine of ours.
func (c *Core) placeTask(r *jobRecord, index int, m *machine) {
	c.reserve(r, index, m)
	c.propose(r, index, taskTransition{placement: true, machine: m.id, epoch: m.epoch, attempt: c.nextAttempt(r)})
	c.scheduler.dequeueTask(r, index)
	if m.holdFor == r.spec.ID {
		m.holdTill = 0
	}
	if !c.hasRoom(m) {
		c.scheduler.removeFromIdleList(m)
	}
	c.traceStart(losses.Placing, r.spec.ID, index, 0, m.id)
}

// nextAttempt is the attempt of a gang's next start. The tasks of one attempt
// find one another by it, so all of them get the same.
func (c *Core) nextAttempt(r *jobRecord) int {
	if r.spec.Shape != job.Gang {
		return 0
	}
	if r.bound > 0 {
		return r.lastAttempt
	}
	return r.lastAttempt + 1
}

// placeable tells whether a task may be placed now at all.
func (c *Core) placeable(r *jobRecord, index int) bool {
	if r == nil || r.final() || c.paused(r) {
		return false
	}
	t := r.task(c, index)
	if t == nil || t.Phase != job.Pending || r.reservations[index] != nil {
		return false
	}
	tm := c.jobs.teams[r.spec.Team]
	return tm != nil && tm.leavesQuotaFor(r, tm.charged.plus(r.spec, 1))
}

// isGang tells whether a job must start several tasks at once.
func isGang(r *jobRecord) bool { return r.spec.Shape == job.Gang && r.spec.Tasks > 1 }

// maxPagesInFlight is how many pages' worth of a job's tasks may be on their way. A page is
// in one transaction at a time, and those of the largest jobs name so many machines that
// one does not hold them: with one page 25,000 small tasks took 269 s on
// shiftbook-akl-ops, with four 162 s (simulated).
const maxPagesInFlight = 4

// dispatchJob sends a job's pending tasks on their way.
func (c *Core) dispatchJob(r *jobRecord) {
	if r == nil || r.final() {
		return
	}
	if isGang(r) {
		c.startGang(r)
		return
	}
	var unplaced []int
	// Guards against the largest jobs: some pages' worth of tasks on their way
	// at a time is plenty, and 100,000 would fill lines and messages.
	pending, noneFits := 0, false
	for _, p := range r.pages {
		base := p.number * c.tasksPerPage()
		for j := 0; j < len(p.tasks) && p.pending > 0 && pending < maxPagesInFlight*c.tasksPerPage(); j++ {
			if p.tasks[j].Phase != job.Pending {
				continue
			}
			pending++
			i := base + j
			if r.queuedByIndex[i] != nil || c.now < r.dispatchAfter[i] || !c.placeable(r, i) {
				continue
			}
			if !noneFits { // the job's tasks are alike: what does not fit one fits none
				m := c.pickIdleMachine(r) // step 2
				if m != nil && (c.preemptOnWarmMachine(r, i, m) || c.staging.waitsForWarmMachine(r, i, m)) {
					continue
				}
				if m != nil {
					c.placeTask(r, i, m)
					continue
				}
				noneFits = true
			}
			unplaced = append(unplaced, i)
		}
	}
	c.probe(r, unplaced)
}

// probe is steps 3 and 4: up to d-2 random peers are checked by their
// published list length; if none has entries, one more random controller
// takes the task unchecked. Many tasks of one job are drawn for in as many
// parts as there are controllers, not one by one.
func (c *Core) probe(r *jobRecord, tasks []int) {
	for parts := 1 + len(c.membership.members); len(tasks) > 0; parts-- {
		n := (len(tasks) + parts - 1) / max(1, parts)
		c.probeFor(r, tasks[:n])
		tasks = tasks[n:]
	}
}

func (c *Core) probeFor(r *jobRecord, tasks []int) {
	var peers []string
	for _, p := range c.cfg.Peers {
		if c.membership.members[p.Node] != nil {
			peers = append(peers, p.Node)
		}
	}
	sort.Strings(peers)
	c.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	target := ""
	checked := 0
	for checked < len(peers) && checked < c.cfg.Operator.Probes-2 {
		if m := c.membership.members[peers[checked]]; m.IdleMachines > 0 {
			target = peers[checked]
			break
		}
		checked++
	}
	if target == "" && checked < len(peers) {
		target = peers[checked]
		// A line needs a machine to be bound to: a controller without any
		// that fits can't take the task.
		if c.membership.members[target].Machines == 0 {
			target = ""
		}
	}
	if target == "" {
		c.enqueue(r, tasks, 0)
		return
	}
	retryAt := c.now + 2*c.cfg.Operator.PublishInterval
	for _, i := range tasks {
		r.deferDispatch(i, retryAt)
	}
	c.Stats.Handoffs += uint64(len(tasks))
	for len(tasks) > 0 {
		n := min(len(tasks), 1024)
		c.effects.Sends = append(c.effects.Sends, Outgoing{target, peer.Message{Handoff: &peer.TaskHandoff{Job: r.spec.ID, Tasks: tasks[:n]}}})
		tasks = tasks[n:]
	}
}

// deferDispatch notes that a task is on its way and not to be dispatched before.
func (r *jobRecord) deferDispatch(i int, until time.Duration) {
	if r.dispatchAfter == nil {
		r.dispatchAfter = map[int]time.Duration{}
	}
	r.dispatchAfter[i] = until
}

// receiveHandoff takes tasks from a peer: pop, or else a line. What no machine here
// could hold goes back.
func (c *Core) receiveHandoff(from string, handoff *peer.TaskHandoff) {
	r := c.jobs.byID[handoff.Job]
	if r == nil {
		// Guards against a mirror that lags: a peer's message is often faster
		// than the watch that brings a new job. Tasks that were dropped here
		// waited until their sender tried again.
		if len(c.scheduler.earlyHandoffs) < maxEarlyHandoffs {
			c.scheduler.earlyHandoffs[handoff.Job] = append(c.scheduler.earlyHandoffs[handoff.Job], earlyHandoff{from, handoff, c.now})
		}
		return
	}
	if r.final() {
		return
	}
	var unplaced []int
	for _, i := range handoff.Tasks {
		if !c.placeable(r, i) {
			continue
		}
		if len(unplaced) == 0 { // else nothing here fits the job
			m := c.pickIdleMachine(r)
			if m != nil && (c.preemptOnWarmMachine(r, i, m) || c.staging.waitsForWarmMachine(r, i, m)) {
				continue
			}
			if m != nil {
				c.placeTask(r, i, m)
				continue
			}
		}
		unplaced = append(unplaced, i)
	}
	if len(unplaced) > 0 && c.machineThatCouldHold(r) == nil {
		c.effects.Sends = append(c.effects.Sends, Outgoing{from, peer.Message{HandoffReturn: &peer.TaskHandoff{Job: handoff.Job, Tasks: unplaced}}})
		return
	}
	c.enqueue(r, unplaced, c.now+3*c.cfg.Operator.PublishInterval)
}

// earlyHandoff is a hand-over of a job that the mirror does not hold yet.
type earlyHandoff struct {
	from    string
	handoff *peer.TaskHandoff
	at      time.Duration
}

// maxEarlyHandoffs bounds the jobs of which such hand-overs are kept.
const maxEarlyHandoffs = 256

// expireEarlyHandoffs forgets the handoffs of each job whose first one is older than maxAge.
func (s *scheduler) expireEarlyHandoffs(now, maxAge time.Duration) {
	for id, handoffs := range s.earlyHandoffs {
		if now-handoffs[0].at > maxAge {
			delete(s.earlyHandoffs, id)
		}
	}
}

// replayEarlyHandoffs takes what was handed over before the job's record came, unless
// the sender has given it to somebody else by now.
func (c *Core) replayEarlyHandoffs(id string) {
	waiting := c.scheduler.earlyHandoffs[id]
	delete(c.scheduler.earlyHandoffs, id)
	for _, e := range waiting {
		if c.now-e.at < c.cfg.Operator.PublishInterval && c.state.Loaded() {
			c.receiveHandoff(e.from, e.handoff)
		}
	}
}

// handoffReturned takes back tasks that a peer has no machine for.
func (c *Core) handoffReturned(handoff *peer.TaskHandoff) {
	r := c.jobs.byID[handoff.Job]
	if r == nil || r.final() {
		return
	}
	for _, i := range handoff.Tasks {
		if _, away := r.dispatchAfter[i]; away {
			r.deferDispatch(i, c.now+seconds(c.cfg.Facts.Workers.Report/4))
		}
	}
}

// enqueue binds tasks to the line of a random machine of ours that could hold
// them.
func (c *Core) enqueue(r *jobRecord, tasks []int, until time.Duration) {
	if len(tasks) == 0 {
		return
	}
	for _, i := range tasks {
		if queued := r.queuedByIndex[i]; queued != nil {
			queued.expiresAt = max(queued.expiresAt, until)
			continue
		}
		queued := &queuedTask{key: taskKey{r.spec.ID, i}, expiresAt: until}
		if m := c.machineThatCouldHold(r); m != nil {
			queued.machine = m.id
		} else if until > 0 {
			return // nothing here could hold it
		}
		c.scheduler.enqueueTask(r, queued)
	}
}

// enqueueTask puts a task into a line.
func (s *scheduler) enqueueTask(r *jobRecord, queued *queuedTask) {
	i := queued.key.index
	if r.queuedByIndex == nil {
		r.queuedByIndex = map[int]*queuedTask{}
	}
	r.queuedByIndex[i] = queued
	s.queuedTasks++
	at := sort.Search(len(r.queue), func(j int) bool { return r.queue[j].key.index > i })
	r.queue = slices.Insert(r.queue, at, queued)
	if len(r.queue) == 1 {
		at := sort.Search(len(s.queuedJobs), func(j int) bool { return runsBefore(r, s.queuedJobs[j]) })
		s.queuedJobs = slices.Insert(s.queuedJobs, at, r)
	}
}

// machineThatCouldHold is a random machine of ours that could hold a job's task: the first
// such from a random one on.
func (c *Core) machineThatCouldHold(r *jobRecord) *machine {
	if len(c.machines.own) == 0 {
		return nil
	}
	start := c.random.IntN(len(c.machines.own))
	for i := range c.machines.own {
		if m := c.machines.own[(start+i)%len(c.machines.own)]; !c.unschedulable(m) && c.couldHold(r, m) {
			return m
		}
	}
	return nil
}

// runsBefore orders the lines. Exception "urgency": the design's line is first-in
// first-out; here a higher priority goes first, and within it the job whose
// turn comes earlier.
func runsBefore(x, y *jobRecord) bool { return compareUrgency(x, y) < 0 }

func compareUrgency(x, y *jobRecord) int {
	switch {
	case x.spec.Priority != y.spec.Priority:
		return cmp.Compare(y.spec.Priority, x.spec.Priority)
	case x.withinGuarantee != y.withinGuarantee && x.withinGuarantee:
		return -1
	case x.withinGuarantee != y.withinGuarantee:
		return 1
	case x.latestStart != y.latestStart:
		return cmp.Compare(x.latestStart, y.latestStart)
	}
	return older(x, y)
}

// updateJobOrder computes when each job's turn comes among jobs of its priority:
// the latest time at which it can start and still meet its deadline or its
// class's aim at finishing, put back by a multiple of the time the fleet would
// need for what is left of it, so that large jobs do not hold up many small
// ones. A job that is late already lets those go first that can still be in
// time. Time passes for all alike, so no job waits for ever.
// The unfinished jobs are then in c.turns, most urgent first.
func (c *Core) updateJobOrder() {
	if c.scheduler.capacityAt == 0 || c.now-c.scheduler.capacityAt > seconds(c.cfg.Facts.Workers.Report) {
		c.scheduler.capacity, c.scheduler.capacityAt = usage{}, c.now
		for _, m := range c.machines.byID {
			if m.token != 0 {
				f := c.machineTypeOf(m)
				c.scheduler.capacity = usage{c.scheduler.capacity.CPUs + f.CPUs, c.scheduler.capacity.GPUs + f.GPUs}
			}
		}
	}
	for _, tm := range c.jobs.teams {
		tm.demand = usage{}
	}
	now := float64(c.wallTime.UnixMilli()) / 1000
	for _, r := range c.jobs.openByAge {
		if r.final() {
			continue // by a peer's word, see vouched
		}
		// What a team asks for within its guarantee goes before what others
		// borrow, at the same priority.
		s := r.spec
		if tm := c.jobs.teams[s.Team]; tm != nil {
			tm.demand = tm.demand.plus(s, float64(s.Tasks-r.finished))
			r.withinGuarantee = tm.withinGuarantee(tm.demand)
		}
		workLeft := float64(s.Tasks-r.finished-r.bound) * s.EstimateS
		share := 0.0
		if s.GPUs > 0 && c.scheduler.capacity.GPUs > 0 {
			share = workLeft * s.GPUs / c.scheduler.capacity.GPUs
		} else if c.scheduler.capacity.CPUs > 0 {
			share = workLeft * s.CPUs / c.scheduler.capacity.CPUs
		}
		latest := float64(r.submittedAtMS)/1000 + r.targetDuration - s.EstimateS
		r.latestStart = latest + jobSizeWeight*share
		if now > latest {
			r.latestStart += r.targetDuration
		}
		// Guards against the largest jobs, which wait for smaller ones, and jobs that are late, which let those go
		// first that can still be in time: where work keeps coming, neither would begin. One
		// task is what this takes ahead of its turn, as a job that has begun has its usual turn again.
		if r.lastAttempt == 0 && now-float64(r.submittedAtMS)/1000 > c.cfg.Operator.BeginWithin.Seconds() {
			r.latestStart = float64(r.submittedAtMS)/1000 - overdue
		}
	}
	// Few jobs change places from one time to the next, which the sort makes
	// use of.
	c.jobs.openByUrgency = append(c.jobs.openByUrgency, c.jobs.added...)
	clear(c.jobs.added)
	c.jobs.added = c.jobs.added[:0]
	c.jobs.openByUrgency = slices.DeleteFunc(c.jobs.openByUrgency, (*jobRecord).final)
	slices.SortFunc(c.jobs.openByUrgency, compareUrgency)
	c.saveQuotaForGangs()
}

// overdue is how far ahead of all others a job goes that has not begun for too long, in seconds: further than any turn is
// from that of a job that has none yet, 0.
const overdue = 1e10

// saveQuotaForGangs picks for each limited team the first gang that its limit keeps from starting. What comes after
// it in the order of turns leaves what it needs of the limit alone. Exception "saving for a gang": thesis 2.1,
// tasks are independent; here whatever one task leaves of a limit was taken by the next small one, and a
// gang of the same team never began.
//
// Nobody shall wait beside room for long, and it may be machines that the gang lacks: so the limit is saved for a share of the time
// in which jobs are to begin, then not for as long, and after that twice, four times as long.
func (c *Core) saveQuotaForGangs() {
	wasSavedFor, byServices := map[*jobRecord]bool{}, map[*team]usage{}
	for _, tm := range c.jobs.teams {
		wasSavedFor[tm.savingFor], tm.savingFor = true, nil
	}
	for _, r := range c.jobs.openByUrgency {
		if tm := c.jobs.teams[r.spec.Team]; tm != nil && r.spec.Shape == job.Service {
			byServices[tm] = byServices[tm].plus(r.spec, float64(r.bound))
		}
	}
	now, within := float64(c.wallTime.UnixMilli())/1000, c.cfg.Operator.BeginWithin.Seconds()
	for _, r := range c.jobs.openByUrgency {
		tm := c.jobs.teams[r.spec.Team]
		if tm == nil || tm.savingFor != nil || !hasQuota(tm) || !isGang(r) || r.bound > 0 || len(r.reservations) > 0 || c.paused(r) {
			continue
		}
		periods := (now-float64(r.submittedAtMS)/1000-within)/(quotaSavingShare*within) + 2 // its turn comes first from 2 on
		if periods < 2 || periods-math.Exp2(math.Floor(math.Log2(periods))) > 1 {
			continue
		}
		n := float64(r.spec.Tasks)
		// Once it has been saved for, until it has begun: others were placed in the moment in which it could begin.
		if (wasSavedFor[r] || !tm.withinLimit(tm.charged.plus(r.spec, n))) && tm.withinLimit(byServices[tm].plus(r.spec, n)) {
			tm.savingFor = r
		}
	}
}

// quotaSavingShare is how long the limit is saved for a gang, as a share of the time in which jobs are to begin.
const quotaSavingShare = 0.4

// leavesQuotaFor tells whether a use that comes of placing a task of a job is within the team's limit, beside what is saved for a gang that
// goes before it.
func (t *team) leavesQuotaFor(r *jobRecord, u usage) bool {
	if s := t.savingFor; s != nil && s != r && compareUrgency(s, r) < 0 {
		u = u.plus(s.spec, float64(s.spec.Tasks))
	}
	return t.withinLimit(u)
}

// jobSizeWeight is how much longer than its share of the fleet's time a job
// waits for smaller ones.
const jobSizeWeight = 8

// targetDuration is the time a job has to finish: its deadline, or the tightest aim of
// its class, or the loosest of all.
func (c *Core) targetDuration(spec *job.Spec) float64 {
	if spec.DeadlineS != nil {
		return *spec.DeadlineS
	}
	tightest, loosest := 0.0, 0.0
	for _, o := range c.cfg.Facts.Objectives {
		loosest = max(loosest, o.Within)
		if o.Class == spec.Class && (o.Kind == "finished" || o.Kind == "wait") && (tightest == 0 || o.Within < tightest) {
			tightest = o.Within
		}
	}
	if tightest > 0 {
		return tightest
	}
	return loosest
}

func (s *scheduler) dequeueTask(r *jobRecord, index int) {
	if r.queuedByIndex[index] == nil {
		return
	}
	delete(r.queuedByIndex, index)
	s.queuedTasks--
	at := sort.Search(len(r.queue), func(j int) bool { return r.queue[j].key.index >= index })
	r.queue = slices.Delete(r.queue, at, at+1)
	if len(r.queue) > 0 {
		return
	}
	r.queue, r.queuedByIndex = nil, nil
	if at := slices.Index(s.queuedJobs, r); at >= 0 {
		s.queuedJobs = slices.Delete(s.queuedJobs, at, at+1)
	}
}

// placeQueuedTasks is step 5: a joining machine takes the oldest tasks it can hold,
// from its own line or another's.
func (c *Core) placeQueuedTasks(m *machine) {
	for i := 0; i < len(c.scheduler.queuedJobs) && c.hasRoom(m); {
		r := c.scheduler.queuedJobs[i]
		for c.fits(r, m) {
			at := slices.IndexFunc(r.queue, func(w *queuedTask) bool { return c.placeable(r, w.key.index) })
			if at < 0 || c.staging.waitsForWarmMachine(r, r.queue[at].key.index, m) {
				break
			}
			c.placeTask(r, r.queue[at].key.index, m) // takes it out of the line
		}
		if i < len(c.scheduler.queuedJobs) && c.scheduler.queuedJobs[i] == r {
			i++
		}
	}
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
