package coordination

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/protocol"
)

// waiter is a task in a machine's line. The lines of our machines are kept by
// job, in the order of the jobs' turns: a job's tasks are alike, so what one of
// them can't use none of them can. Each entry names its machine.
type waiter struct {
	key     taskKey
	machine string
	until   time.Duration // handed over by a peer: kept until then
	stopped time.Duration // stops were ordered for it: no others before
}

// compared is how many entries that would do a decision compares, from a
// random one on, so that its cost does not grow with the fleet.
const compared = 64

// join puts a machine with room into the idle list, after it has taken the
// oldest tasks that it can hold from any line.
func (c *Core) join(m *machine) {
	if c.barred(m) {
		c.unlist(m)
		return
	}
	c.drawLine(m)
	if !c.hasRoom(m) {
		c.unlist(m)
		return
	}
	m.joined = c.now
	if m.listed == 0 {
		c.idle = append(c.idle, m)
		m.listed = len(c.idle)
	}
	c.offerHeld(m)
}

func (c *Core) unlist(m *machine) {
	if m.listed == 0 {
		return
	}
	last := c.idle[len(c.idle)-1]
	c.idle[m.listed-1], last.listed = last, m.listed
	c.idle = c.idle[:len(c.idle)-1]
	m.listed = 0
}

func (c *Core) freed(id string) {
	if m := c.machines[id]; m != nil && c.mine(m) && m.shown && c.now-m.heard < seconds(c.cfg.Facts.Workers.Report*c.cfg.Operator.EntryAge) {
		c.join(m)
	}
}

// hasRoom tells whether any task could use what is left.
func (c *Core) hasRoom(m *machine) bool {
	f := c.kind(m)
	if f.GPUs > 0 && c.plain == 0 && f.GPUs-m.gpus < tolerance {
		return false
	}
	return f.CPUs-m.cpus > tolerance && f.MemoryGB-m.ram > tolerance
}

const tolerance = 1e-6

// fits tells whether a machine may and can hold a task now.
func (c *Core) fits(r *record, m *machine) bool {
	s := r.spec
	f := c.kind(m)
	if f == &unknownKind || !s.AllowsMachineType(m.claim.Type) || (s.Zone != "" && s.Zone != m.claim.Zone) || (m.claim.Spot && !s.Spot) {
		return false
	}
	if m.holdFor != s.ID && c.now < m.holdTill {
		return false
	}
	if m.cpus+s.CPUs > f.CPUs+tolerance || m.gpus+s.GPUs > f.GPUs+tolerance || m.ram+s.MemoryGB > f.MemoryGB+tolerance {
		return false
	}
	return c.zoneOK(r, m.claim.Zone)
}

func (c *Core) zoneOK(r *record, zone string) bool {
	if r.spec.OneZone {
		for z, n := range r.zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !r.spec.Spread || r.zones[zone] < r.spec.SpreadLimit()
}

// couldHold tells whether a machine could hold the task if it were empty.
func (c *Core) couldHold(r *record, m *machine) bool {
	s := r.spec
	f := c.kind(m)
	return f != &unknownKind && s.AllowsMachineType(m.claim.Type) && (s.Zone == "" || s.Zone == m.claim.Zone) && (!m.claim.Spot || s.Spot) && holds(f, s)
}

// pop takes an entry of the idle list whose remaining room holds the task: a
// random one of those that suit it best among the first that hold it, from a
// random entry on.
func (c *Core) pop(r *record) *machine {
	var pick *machine
	var best rank
	n, seen := 0, 0
	if len(c.idle) == 0 {
		return nil
	}
	start := c.rnd.IntN(len(c.idle))
	for i := 0; i < len(c.idle) && seen < compared; i++ {
		m := c.idle[(start+i)%len(c.idle)]
		if c.barred(m) || !c.fits(r, m) {
			continue
		}
		seen++
		k := c.rank(r, m)
		switch {
		case n == 0 || k.before(best):
			best, n = k, 0
		case best.before(k):
			continue
		}
		n++
		if c.rnd.IntN(n) == 0 {
			pick = m
		}
	}
	return pick
}

// rank orders entries for a task. The thesis pops at random among servers
// that are all alike; ours differ, hence three exceptions:
// "soonest start": a machine that has the image, or fetches it faster;
// "spot first": what may use cheap machines leaves the ordinary ones;
// "best fit": the fullest machine, so that whole blocks stay for gangs, or
// for services the one with the least that services do not hold.
type rank struct {
	fetch int  // in report periods
	plain bool // the job may use a spot machine and this is none
	free  int  // tenths of the machine, or of a unit that services do not hold
}

func (a rank) before(b rank) bool {
	if a.fetch != b.fetch {
		return a.fetch < b.fetch
	}
	if a.plain != b.plain {
		return b.plain
	}
	return a.free < b.free
}

func (c *Core) rank(r *record, m *machine) rank {
	f := c.kind(m)
	if r.spec.Shape == job.Service {
		// Services outlive everything else: they gather on the machines
		// that services hold already, so that the others can be returned.
		return rank{fetch: int(c.fetchTime(r.spec, m)/c.cfg.Facts.Workers.Report + 0.99), free: int(10 * (f.GPUs - m.steady))}
	}
	k := rank{fetch: int(c.fetchTime(r.spec, m)/c.cfg.Facts.Workers.Report + 0.99), plain: r.spec.Spot && !m.claim.Spot}
	if f.GPUs > 0 {
		k.free = int(10 * (f.GPUs - m.gpus) / f.GPUs)
	} else if f.CPUs > 0 {
		k.free = int(10 * (f.CPUs - m.cpus) / f.CPUs)
	}
	return k
}

// assign binds a task to a machine of ours.
func (c *Core) assign(r *record, index int, m *machine) {
	c.reserve(r, index, m)
	c.propose(r, index, change{place: true, machine: m.id, session: m.session, try: c.nextTry(r)})
	c.unline(r, index)
	if m.holdFor == r.spec.ID {
		m.holdTill = 0
	}
	if !c.hasRoom(m) {
		c.unlist(m)
	}
	c.traceStart(losses.Placing, r.spec.ID, index, 0, m.id)
}

// nextTry is the attempt of a gang's next start. The tasks of one attempt
// find one another by it, so all of them get the same.
func (c *Core) nextTry(r *record) int {
	if r.spec.Shape != job.Gang {
		return 0
	}
	if r.bound > 0 {
		return r.last
	}
	return r.last + 1
}

// placeable tells whether a task may be placed now at all.
func (c *Core) placeable(r *record, index int) bool {
	if r == nil || r.final() || c.paused(r) {
		return false
	}
	t := r.task(c, index)
	if t == nil || t.Phase != job.Pending || r.held[index] != nil {
		return false
	}
	tm := c.teams[r.spec.Team]
	return tm != nil && tm.leaves(r, tm.use.plus(r.spec, 1))
}

// multi tells whether a job must start several tasks at once.
func multi(r *record) bool { return r.spec.Shape == job.Gang && r.spec.Tasks > 1 }

// pagesAtOnce is how many pages' worth of a job's tasks may be on their way. A page is
// in one transaction at a time, and those of the largest jobs name so many machines that
// one does not hold them: with one page 25,000 small tasks took 269 s on
// shiftbook-akl-ops, with four 162 s (simulated).
const pagesAtOnce = 4

// dispatchJob sends a job's pending tasks on their way.
func (c *Core) dispatchJob(r *record) {
	if r == nil || r.final() {
		return
	}
	if multi(r) {
		c.startGang(r)
		return
	}
	var left []int
	// Guards against the largest jobs: some pages' worth of tasks on their way
	// at a time is plenty, and 100,000 would fill lines and messages.
	under, full := 0, false
	for _, p := range r.pages {
		base := p.num * c.pageTasks()
		for j := 0; j < len(p.tasks) && p.pending > 0 && under < pagesAtOnce*c.pageTasks(); j++ {
			if p.tasks[j].Phase != job.Pending {
				continue
			}
			under++
			i := base + j
			if r.waiting[i] != nil || c.now < r.placed[i] || !c.placeable(r, i) {
				continue
			}
			if !full { // the job's tasks are alike: what does not fit one fits none
				m := c.pop(r) // step 2
				if m != nil && (c.clearWarm(r, i, m) || c.data.elsewhere(r, i, m)) {
					continue
				}
				if m != nil {
					c.assign(r, i, m)
					continue
				}
				full = true
			}
			left = append(left, i)
		}
	}
	c.probe(r, left)
}

// probe is steps 3 and 4: up to d-2 random peers are checked by their
// published list length; if none has entries, one more random controller
// takes the task unchecked. Many tasks of one job are drawn for in as many
// parts as there are controllers, not one by one.
func (c *Core) probe(r *record, tasks []int) {
	for parts := 1 + len(c.members); len(tasks) > 0; parts-- {
		n := (len(tasks) + parts - 1) / max(1, parts)
		c.probeFor(r, tasks[:n])
		tasks = tasks[n:]
	}
}

func (c *Core) probeFor(r *record, tasks []int) {
	var peers []string
	for _, p := range c.cfg.Peers {
		if c.members[p.Node] != nil {
			peers = append(peers, p.Node)
		}
	}
	sort.Strings(peers)
	c.rnd.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	to := ""
	checked := 0
	for checked < len(peers) && checked < c.cfg.Operator.Probes-2 {
		if m := c.members[peers[checked]]; m.Idle > 0 {
			to = peers[checked]
			break
		}
		checked++
	}
	if to == "" && checked < len(peers) {
		to = peers[checked]
		// A line needs a machine to be bound to: a controller without any
		// that fits can't take the task.
		if c.members[to].Machines == 0 {
			to = ""
		}
	}
	if to == "" {
		c.enqueue(r, tasks, 0)
		return
	}
	again := c.now + 2*c.cfg.Operator.PublishInterval
	for _, i := range tasks {
		r.place(i, again)
	}
	c.Stats.Forwards += uint64(len(tasks))
	for len(tasks) > 0 {
		n := min(len(tasks), 1024)
		c.out.Sends = append(c.out.Sends, Send{to, Message{Forward: &Forward{r.spec.ID, tasks[:n]}}})
		tasks = tasks[n:]
	}
}

// place notes that a task is on its way and not to be dispatched before.
func (r *record) place(i int, until time.Duration) {
	if r.placed == nil {
		r.placed = map[int]time.Duration{}
	}
	r.placed[i] = until
}

// receive takes tasks from a peer: pop, or else a line. What no machine here
// could hold goes back.
func (c *Core) receive(from string, f *Forward) {
	r := c.jobs[f.Job]
	if r == nil {
		// Guards against a mirror that lags: a peer's message is often faster
		// than the watch that brings a new job. Tasks that were dropped here
		// waited until their sender tried again.
		if len(c.early) < maxEarly {
			c.early[f.Job] = append(c.early[f.Job], early{from, f, c.now})
		}
		return
	}
	if r.final() {
		return
	}
	var left []int
	for _, i := range f.Tasks {
		if !c.placeable(r, i) {
			continue
		}
		if len(left) == 0 { // else nothing here fits the job
			m := c.pop(r)
			if m != nil && (c.clearWarm(r, i, m) || c.data.elsewhere(r, i, m)) {
				continue
			}
			if m != nil {
				c.assign(r, i, m)
				continue
			}
		}
		left = append(left, i)
	}
	if len(left) > 0 && c.holder(r) == nil {
		c.out.Sends = append(c.out.Sends, Send{from, Message{Return: &Forward{f.Job, left}}})
		return
	}
	c.enqueue(r, left, c.now+3*c.cfg.Operator.PublishInterval)
}

// early is a hand-over of a job that the mirror does not hold yet.
type early struct {
	from string
	f    *Forward
	at   time.Duration
}

// maxEarly bounds the jobs of which such hand-overs are kept.
const maxEarly = 256

// receiveEarly takes what was handed over before the job's record came, unless
// the sender has given it to somebody else by now.
func (c *Core) receiveEarly(id string) {
	waiting := c.early[id]
	delete(c.early, id)
	for _, e := range waiting {
		if c.now-e.at < c.cfg.Operator.PublishInterval && c.store.Loaded() {
			c.receive(e.from, e.f)
		}
	}
}

// returned takes back tasks that a peer has no machine for.
func (c *Core) returned(f *Forward) {
	r := c.jobs[f.Job]
	if r == nil || r.final() {
		return
	}
	for _, i := range f.Tasks {
		if _, away := r.placed[i]; away {
			r.place(i, c.now+seconds(c.cfg.Facts.Workers.Report/4))
		}
	}
}

// enqueue binds tasks to the line of a random machine of ours that could hold
// them.
func (c *Core) enqueue(r *record, tasks []int, until time.Duration) {
	if len(tasks) == 0 {
		return
	}
	for _, i := range tasks {
		if w := r.waiting[i]; w != nil {
			w.until = max(w.until, until)
			continue
		}
		w := &waiter{key: taskKey{r.spec.ID, i}, until: until}
		if m := c.holder(r); m != nil {
			w.machine = m.id
		} else if until > 0 {
			return // nothing here could hold it
		}
		c.wait(r, w)
	}
}

// wait puts a task into a line.
func (c *Core) wait(r *record, w *waiter) {
	i := w.key.index
	if r.waiting == nil {
		r.waiting = map[int]*waiter{}
	}
	r.waiting[i] = w
	c.lined++
	at := sort.Search(len(r.line), func(j int) bool { return r.line[j].key.index > i })
	r.line = slices.Insert(r.line, at, w)
	if len(r.line) == 1 {
		at := sort.Search(len(c.lines), func(j int) bool { return sooner(r, c.lines[j]) })
		c.lines = slices.Insert(c.lines, at, r)
	}
}

// holder is a random machine of ours that could hold a job's task: the first
// such from a random one on.
func (c *Core) holder(r *record) *machine {
	if len(c.ours) == 0 {
		return nil
	}
	start := c.rnd.IntN(len(c.ours))
	for i := range c.ours {
		if m := c.ours[(start+i)%len(c.ours)]; !c.barred(m) && c.couldHold(r, m) {
			return m
		}
	}
	return nil
}

// sooner orders the lines. Exception "urgency": the design's line is first-in
// first-out; here a higher priority goes first, and within it the job whose
// turn comes earlier.
func sooner(x, y *record) bool { return turnOrder(x, y) < 0 }

func turnOrder(x, y *record) int {
	switch {
	case x.spec.Priority != y.spec.Priority:
		return cmp.Compare(y.spec.Priority, x.spec.Priority)
	case x.entitled != y.entitled && x.entitled:
		return -1
	case x.entitled != y.entitled:
		return 1
	case x.turn != y.turn:
		return cmp.Compare(x.turn, y.turn)
	}
	return older(x, y)
}

// updateTurns computes when each job's turn comes among jobs of its priority:
// the latest time at which it can start and still meet its deadline or its
// class's aim at finishing, put back by a multiple of the time the fleet would
// need for what is left of it, so that large jobs do not hold up many small
// ones. A job that is late already lets those go first that can still be in
// time. Time passes for all alike, so no job waits for ever.
// The unfinished jobs are then in c.turns, most urgent first.
func (c *Core) updateTurns() {
	if c.summedAt == 0 || c.now-c.summedAt > seconds(c.cfg.Facts.Workers.Report) {
		c.capacity, c.summedAt = usage{}, c.now
		for _, m := range c.machines {
			if m.stamp != 0 {
				f := c.kind(m)
				c.capacity = usage{c.capacity.CPUs + f.CPUs, c.capacity.GPUs + f.GPUs}
			}
		}
	}
	for _, tm := range c.teams {
		tm.need = usage{}
	}
	now := float64(c.wall.UnixMilli()) / 1000
	for _, r := range c.byAge {
		if r.final() {
			continue // by a peer's word, see vouched
		}
		// What a team asks for within its guarantee goes before what others
		// borrow, at the same priority.
		s := r.spec
		if tm := c.teams[s.Team]; tm != nil {
			tm.need = tm.need.plus(s, float64(s.Tasks-r.finished))
			r.entitled = tm.guarantees(tm.need)
		}
		left := float64(s.Tasks-r.finished-r.bound) * s.EstimateS
		share := 0.0
		if s.GPUs > 0 && c.capacity.GPUs > 0 {
			share = left * s.GPUs / c.capacity.GPUs
		} else if c.capacity.CPUs > 0 {
			share = left * s.CPUs / c.capacity.CPUs
		}
		last := float64(r.at)/1000 + r.due - s.EstimateS
		r.turn = last + sizeWeight*share
		if now > last {
			r.turn += r.due
		}
		// Guards against the largest jobs, which wait for smaller ones, and jobs that are late, which let those go
		// first that can still be in time: where work keeps coming, neither would begin. One
		// task is what this takes ahead of its turn, as a job that has begun has its usual turn again.
		if r.last == 0 && now-float64(r.at)/1000 > c.cfg.Operator.BeginWithin.Seconds() {
			r.turn = float64(r.at)/1000 - overdue
		}
	}
	// Few jobs change places from one time to the next, which the sort makes
	// use of.
	c.turns = append(c.turns, c.opened...)
	clear(c.opened)
	c.opened = c.opened[:0]
	c.turns = slices.DeleteFunc(c.turns, (*record).final)
	slices.SortFunc(c.turns, turnOrder)
	c.saveForGangs()
}

// overdue is how far ahead of all others a job goes that has not begun for too long, in seconds: further than any turn is
// from that of a job that has none yet, 0.
const overdue = 1e10

// saveForGangs picks for each limited team the first gang that its limit keeps from starting. What comes after
// it in the order of turns leaves what it needs of the limit alone. Exception "saving for a gang": thesis 2.1,
// tasks are independent; here whatever one task leaves of a limit was taken by the next small one, and a
// gang of the same team never began.
//
// Nobody shall wait beside room for long, and it may be machines that the gang lacks: so the limit is saved for a share of the time
// in which jobs are to begin, then not for as long, and after that twice, four times as long.
func (c *Core) saveForGangs() {
	saved, stays := map[*record]bool{}, map[*team]usage{}
	for _, tm := range c.teams {
		saved[tm.saves], tm.saves = true, nil
	}
	for _, r := range c.turns {
		if tm := c.teams[r.spec.Team]; tm != nil && r.spec.Shape == job.Service {
			stays[tm] = stays[tm].plus(r.spec, float64(r.bound))
		}
	}
	now, within := float64(c.wall.UnixMilli())/1000, c.cfg.Operator.BeginWithin.Seconds()
	for _, r := range c.turns {
		tm := c.teams[r.spec.Team]
		if tm == nil || tm.saves != nil || !limited(tm) || !multi(r) || r.bound > 0 || len(r.held) > 0 || c.paused(r) {
			continue
		}
		waits := (now-float64(r.at)/1000-within)/(savingShare*within) + 2 // its turn comes first from 2 on
		if waits < 2 || waits-math.Exp2(math.Floor(math.Log2(waits))) > 1 {
			continue
		}
		n := float64(r.spec.Tasks)
		// Once it has been saved for, until it has begun: others were placed in the moment in which it could begin.
		if (saved[r] || !tm.within(tm.use.plus(r.spec, n))) && tm.within(stays[tm].plus(r.spec, n)) {
			tm.saves = r
		}
	}
}

// savingShare is how long the limit is saved for a gang, as a share of the time in which jobs are to begin.
const savingShare = 0.4

// leaves tells whether a use that comes of placing a task of a job is within the team's limit, beside what is saved for a gang that
// goes before it.
func (t *team) leaves(r *record, u usage) bool {
	if s := t.saves; s != nil && s != r && turnOrder(s, r) < 0 {
		u = u.plus(s.spec, float64(s.spec.Tasks))
	}
	return t.within(u)
}

// sizeWeight is how much longer than its share of the fleet's time a job
// waits for smaller ones.
const sizeWeight = 8

// within is the time a job has to finish: its deadline, or the tightest aim of
// its class, or the loosest of all.
func (c *Core) within(s *job.Spec) float64 {
	if s.DeadlineS != nil {
		return *s.DeadlineS
	}
	tight, loose := 0.0, 0.0
	for _, o := range c.cfg.Facts.Objectives {
		loose = max(loose, o.Within)
		if o.Class == s.Class && (o.Kind == "finished" || o.Kind == "wait") && (tight == 0 || o.Within < tight) {
			tight = o.Within
		}
	}
	if tight > 0 {
		return tight
	}
	return loose
}

func (c *Core) unline(r *record, index int) {
	if r.waiting[index] == nil {
		return
	}
	delete(r.waiting, index)
	c.lined--
	at := sort.Search(len(r.line), func(j int) bool { return r.line[j].key.index >= index })
	r.line = slices.Delete(r.line, at, at+1)
	if len(r.line) > 0 {
		return
	}
	r.line, r.waiting = nil, nil
	if at := slices.Index(c.lines, r); at >= 0 {
		c.lines = slices.Delete(c.lines, at, at+1)
	}
}

// drawLine is step 5: a joining machine takes the oldest tasks it can hold,
// from its own line or another's.
func (c *Core) drawLine(m *machine) {
	for i := 0; i < len(c.lines) && c.hasRoom(m); {
		r := c.lines[i]
		for c.fits(r, m) {
			at := slices.IndexFunc(r.line, func(w *waiter) bool { return c.placeable(r, w.key.index) })
			if at < 0 || c.data.elsewhere(r, r.line[at].key.index, m) {
				break
			}
			c.assign(r, r.line[at].key.index, m) // takes it out of the line
		}
		if i < len(c.lines) && c.lines[i] == r {
			i++
		}
	}
}

// schedule sends every pending task that is ours to look after on its way
// again, and clears the lines of what has been placed or is over.
func (c *Core) schedule() {
	slices.SortStableFunc(c.lines, turnOrder)
	for _, r := range slices.Clone(c.lines) {
		for _, w := range slices.Clone(r.line) {
			if r.final() || r.task(c, w.key.index).Phase != job.Pending || (w.until > 0 && c.now > w.until) {
				c.unline(r, w.key.index)
			}
		}
	}
	if len(c.lines) > 0 {
		for _, m := range slices.Clone(c.idle) {
			if !c.barred(m) {
				c.drawLine(m)
			}
		}
	}
	c.markGang(c.turns)
	for _, r := range c.turns {
		switch {
		case r.finished == r.spec.Tasks:
			c.conclude(r)
		case r.bound+r.finished+len(r.held) < r.spec.Tasks && c.successor(r.home) == c.cfg.Node:
			c.dispatchJob(r)
		}
	}
	// Our own line's tasks look elsewhere again after a while: machines may
	// have become free at other controllers.
	for _, r := range slices.Clone(c.lines) {
		var again []int
		for _, w := range r.line {
			if w.until == 0 && c.now >= w.stopped && c.now >= r.placed[w.key.index]+c.cfg.Operator.PublishInterval {
				again = append(again, w.key.index)
			}
		}
		for _, i := range again {
			r.place(i, c.now)
			c.unline(r, i)
		}
		c.probe(r, again)
	}
}

// setCatalogue takes the machine types.
func (c *Core) setCatalogue(f *protocol.MachineTypes) {
	for _, t := range f.MachineTypes {
		if k := c.catalogue[t.Name]; k != nil {
			*k = t // machines point to it
		} else {
			c.catalogue[t.Name] = &t
		}
	}
}

// again looks for a new place for a task that was stopped or lost, at once
// and here; failing that, its job's keeper sends it on its way.
func (c *Core) again(r *record, index int) {
	if multi(r) || !c.placeable(r, index) {
		return
	}
	if m := c.pop(r); m != nil && !c.clearWarm(r, index, m) {
		c.assign(r, index, m)
	}
}
