package coordination

import (
	"sort"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// waiter is a task in a machine's line. The lines of our machines live in one
// slice, ordered by priority and then age; each entry names its machine.
type waiter struct {
	key     taskKey
	rec     *record
	machine string
	until   time.Duration // handed over by a peer: kept until then
	stopped time.Duration // stops were ordered for it: no others before
}

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
	if !m.listed {
		m.listed = true
		c.idle = append(c.idle, m.id)
	}
}

func (c *Core) unlist(m *machine) {
	if !m.listed {
		return
	}
	m.listed = false
	for i, id := range c.idle {
		if id == m.id {
			c.idle = append(c.idle[:i], c.idle[i+1:]...)
			return
		}
	}
}

func (c *Core) freed(id string) {
	if m := c.machines[id]; m != nil && c.mine(m) && m.shown && c.now-m.heard < seconds(c.cfg.Facts.Workers.Report*c.cfg.Operator.EntryAge) {
		c.join(m)
	}
}

// hasRoom tells whether any task could use what is left.
func (c *Core) hasRoom(m *machine) bool {
	f, ok := c.catalogue[m.claim.Type]
	if !ok {
		return false
	}
	if f.GPUs > 0 {
		return f.GPUs-m.gpus >= 1-1e-6 || m.gpus < 1e-6
	}
	return f.CPUs-m.cpus > 1e-6
}

const tolerance = 1e-6

// fits tells whether a machine may and can hold a task now.
func (c *Core) fits(r *record, m *machine) bool {
	s := r.spec
	f, ok := c.catalogue[m.claim.Type]
	if !ok || !s.TypeAllowed(m.claim.Type) || (s.Zone != "" && s.Zone != m.claim.Zone) || (m.claim.Spot && !s.Spot) {
		return false
	}
	if m.holdFor != s.ID && c.now < m.holdTill {
		return false
	}
	if m.cpus+s.CPUs > f.CPUs+tolerance || m.gpus+s.GPUs > f.GPUs+tolerance || m.ram+s.MemoryGB > f.RAM+tolerance {
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
	f, ok := c.catalogue[m.claim.Type]
	return ok && s.TypeAllowed(m.claim.Type) && (s.Zone == "" || s.Zone == m.claim.Zone) && (!m.claim.Spot || s.Spot) && holds(&f, s)
}

// pop takes an entry of the idle list whose remaining room holds the task: a
// random one of those that suit it best.
func (c *Core) pop(r *record) *machine {
	var pick *machine
	var best rank
	n := 0
	for _, id := range c.idle {
		m := c.machines[id]
		if m == nil || c.barred(m) || !c.fits(r, m) {
			continue
		}
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
	f := c.catalogue[m.claim.Type]
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
	c.unline(taskKey{r.spec.ID, index})
	if m.holdFor == r.spec.ID {
		m.holdTill = 0
	}
	if !c.hasRoom(m) {
		c.unlist(m)
	}
	c.log.Debug("placing", "load", job.TaskName(r.spec.ID, index), "stoker", m.id)
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
	if r == nil || r.final() || c.now < r.backoff {
		return false
	}
	t := r.task(c, index)
	if t == nil || t.Phase != job.Pending || r.held[index] != nil {
		return false
	}
	tm := c.teams[r.spec.Team]
	return tm != nil && tm.within(tm.use.plus(r.spec, 1))
}

// multi tells whether a job must start several tasks at once.
func multi(r *record) bool { return r.spec.Shape == job.Gang && r.spec.Tasks > 1 }

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
	// Guards against the largest jobs: a page's worth of tasks on their way
	// at a time is plenty, and 100,000 would fill lines and messages.
	under := 0
	for i := 0; i < r.spec.Tasks && under < c.pageTasks(); i++ {
		if t := r.task(c, i); t.Phase != job.Pending {
			continue
		}
		under++
		k := taskKey{r.spec.ID, i}
		if c.waiting[k] != nil || c.now < c.placed[k] || !c.placeable(r, i) {
			continue
		}
		if m := c.pop(r); m != nil { // step 2
			c.assign(r, i, m)
			continue
		}
		left = append(left, i)
	}
	if len(left) > 0 {
		c.probe(r, left)
	}
}

// probe is steps 3 and 4: up to d-2 random peers are checked by their
// published list length; if none has entries, one more random controller
// takes the task unchecked.
func (c *Core) probe(r *record, tasks []int) {
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
		c.placed[taskKey{r.spec.ID, i}] = again
	}
	c.Stats.Forwards += uint64(len(tasks))
	for len(tasks) > 0 {
		n := min(len(tasks), 1024)
		c.out.Sends = append(c.out.Sends, Send{to, Message{Forward: &Forward{r.spec.ID, tasks[:n]}}})
		tasks = tasks[n:]
	}
}

// receive takes tasks from a peer: pop, or else a line.
func (c *Core) receive(f *Forward) {
	r := c.jobs[f.Job]
	if r == nil || r.final() {
		return // the mirror lags; the sender will try again
	}
	var left []int
	for _, i := range f.Tasks {
		if !c.placeable(r, i) {
			continue
		}
		if m := c.pop(r); m != nil {
			c.assign(r, i, m)
		} else {
			left = append(left, i)
		}
	}
	c.enqueue(r, left, c.now+3*c.cfg.Operator.PublishInterval)
}

// enqueue binds tasks to the line of a random machine of ours that could hold
// them.
func (c *Core) enqueue(r *record, tasks []int, until time.Duration) {
	if len(tasks) == 0 {
		return
	}
	var fit []string
	for _, m := range c.machines {
		if c.mine(m) && !c.barred(m) && c.couldHold(r, m) {
			fit = append(fit, m.id)
		}
	}
	sort.Strings(fit)
	for _, i := range tasks {
		k := taskKey{r.spec.ID, i}
		if w := c.waiting[k]; w != nil {
			w.until = max(w.until, until)
			continue
		}
		w := &waiter{key: k, rec: r, until: until}
		if len(fit) > 0 {
			w.machine = fit[c.rnd.IntN(len(fit))]
		} else if until > 0 {
			continue // nothing here could hold it: the sender keeps it
		}
		c.waiting[k] = w
		at := sort.Search(len(c.line), func(j int) bool { return before(w, c.line[j]) })
		c.line = append(c.line, nil)
		copy(c.line[at+1:], c.line[at:])
		c.line[at] = w
	}
}

// before orders a line. Exception "urgency": the design's line is first-in
// first-out; here a higher priority goes first, and within it the job whose
// turn comes earlier.
func before(a, b *waiter) bool {
	if a.rec != b.rec {
		return sooner(a.rec, b.rec)
	}
	return a.key.index < b.key.index
}

func sooner(x, y *record) bool {
	switch {
	case x.spec.Priority != y.spec.Priority:
		return x.spec.Priority > y.spec.Priority
	case x.entitled != y.entitled:
		return x.entitled
	case x.turn != y.turn:
		return x.turn < y.turn
	case x.at != y.at:
		return x.at < y.at
	}
	return x.spec.ID < y.spec.ID
}

// updateTurns computes when each job's turn comes among jobs of its priority:
// the latest time at which it can start and still meet its deadline or its
// class's aim at finishing, put back by a multiple of the time the fleet would
// need for what is left of it, so that large jobs do not hold up many small
// ones. A job that is late already lets those go first that can still be in
// time. Time passes for all alike, so no job waits for ever.
func (c *Core) updateTurns(open []*record) {
	gpus, cpus := 0.0, 0.0
	for _, m := range c.machines {
		if m.stamp != 0 {
			f := c.catalogue[m.claim.Type]
			gpus, cpus = gpus+f.GPUs, cpus+f.CPUs
		}
	}
	// What a team asks for within its guarantee goes before what others
	// borrow, at the same priority.
	byAge := append([]*record(nil), open...)
	sort.Slice(byAge, func(i, j int) bool {
		a, b := byAge[i], byAge[j]
		return a.at < b.at || (a.at == b.at && a.spec.ID < b.spec.ID)
	})
	need := map[string]usage{}
	for _, r := range byAge {
		u := need[r.spec.Team].plus(r.spec, float64(r.spec.Tasks-r.finished))
		need[r.spec.Team] = u
		tm := c.teams[r.spec.Team]
		r.entitled = tm != nil && tm.guarantees(u)
	}
	now := float64(c.wall.UnixMilli()) / 1000
	for _, r := range open {
		s := r.spec
		due := c.within(s)
		left := float64(s.Tasks-r.finished-r.bound) * s.Estimate
		share := 0.0
		if s.GPUs > 0 && gpus > 0 {
			share = left * s.GPUs / gpus
		} else if cpus > 0 {
			share = left * s.CPUs / cpus
		}
		last := float64(r.at)/1000 + due - s.Estimate
		r.turn = last + sizeWeight*share
		if now > last {
			r.turn += due
		}
	}
}

// sizeWeight is how much longer than its share of the fleet's time a job
// waits for smaller ones.
const sizeWeight = 8

// within is the time a job has to finish: its deadline, or the tightest aim of
// its class, or the loosest of all.
func (c *Core) within(s *job.Spec) float64 {
	if s.Deadline != nil {
		return *s.Deadline
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

func (c *Core) unline(k taskKey) {
	w := c.waiting[k]
	if w == nil {
		return
	}
	delete(c.waiting, k)
	for i := range c.line {
		if c.line[i] == w {
			c.line = append(c.line[:i], c.line[i+1:]...)
			return
		}
	}
}

// drawLine is step 5: a joining machine takes the oldest tasks it can hold,
// from its own line or another's.
func (c *Core) drawLine(m *machine) {
	for i := 0; i < len(c.line); {
		w := c.line[i]
		if !c.hasRoom(m) {
			return
		}
		if c.placeable(w.rec, w.key.index) && c.fits(w.rec, m) {
			c.assign(w.rec, w.key.index, m) // takes w out of the line
			continue
		}
		i++
	}
}

// schedule sends every pending task that is ours to look after on its way
// again, and clears the lines of what has been placed or is over.
func (c *Core) schedule() {
	open := c.openJobs()
	sort.SliceStable(c.line, func(i, j int) bool { return before(c.line[i], c.line[j]) })
	for i := 0; i < len(c.line); {
		w := c.line[i]
		t := w.rec.task(c, w.key.index)
		if w.rec.final() || t.Phase != job.Pending || (w.until > 0 && c.now > w.until) {
			c.unline(w.key)
			continue
		}
		i++
	}
	for _, id := range c.idle {
		if m := c.machines[id]; m != nil && len(c.line) > 0 && !c.barred(m) {
			c.drawLine(m)
		}
	}
	c.markGang(open)
	for _, r := range open {
		if r.bound+r.finished+len(r.held) < r.spec.Tasks && c.successor(r.home) == c.cfg.Node {
			c.dispatchJob(r)
		}
	}
	// Our own line's tasks look elsewhere again after a while: machines may
	// have become free at other controllers.
	for i := 0; i < len(c.line); {
		w := c.line[i]
		if w.until == 0 && c.now >= w.stopped && c.now >= c.placed[w.key]+c.cfg.Operator.PublishInterval {
			c.placed[w.key] = c.now
			c.unline(w.key)
			c.probe(w.rec, []int{w.key.index})
			if c.waiting[w.key] != nil {
				i++
			}
			continue
		}
		i++
	}
}

// openJobs lists the unfinished jobs, most urgent first.
func (c *Core) openJobs() []*record {
	var out []*record
	for _, r := range c.jobs {
		if !r.final() {
			out = append(out, r)
		}
	}
	c.updateTurns(out)
	sort.Slice(out, func(i, j int) bool { return sooner(out[i], out[j]) })
	return out
}

// setCatalogue takes the machine types.
func (c *Core) setCatalogue(f *protocol.Flavors) {
	for _, t := range f.Rigs {
		c.catalogue[t.SKU] = t
	}
}

// again looks for a new place for a task that was stopped or lost, at once
// and here; failing that, its job's keeper sends it on its way.
func (c *Core) again(r *record, index int) {
	if multi(r) || !c.placeable(r, index) {
		return
	}
	if m := c.pop(r); m != nil {
		c.assign(r, index, m)
	}
}
