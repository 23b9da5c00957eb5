package coordination

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"silvergate/internal/blame"
	"silvergate/internal/bookkeeping"
	"silvergate/internal/budget"
	"silvergate/internal/config"
	"silvergate/internal/evidence"
	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/protocol"
)

// record is a mirrored job.
type record struct {
	spec       *job.Spec
	status     job.Status
	at         int64 // submission, milliseconds of the day's clock
	home       string
	stamp      uint64
	pages      []*page
	bound      int
	finished   int
	last       int // the highest attempt
	backoff    time.Duration
	turn       float64               // see updateTurns
	due        float64               // see Core.within
	entitled   bool                  // fits into its team's guarantee with the team's earlier jobs
	tired      int                   // how often it was marked in vain, as a gang
	unmarked   time.Duration         // and is not to be marked before
	failedOn   map[string]bool       // machines on which a task of it failed, as the records came to show
	concluding bool                  // being called done
	rounds     int                   // the most failures of one of its tasks
	failed     time.Duration         // when the first was seen
	zones      map[string]int        // bound and reserved tasks by zone
	held       map[int]*reservation  // tasks being placed by this controller
	line       []*waiter             // tasks in our machines' lines, by number
	waiting    map[int]*waiter       // the same
	placed     map[int]time.Duration // dispatched elsewhere, not before
	block      []string              // machines chosen for this gang
	blockAt    time.Duration
	offers     map[string]offer // machines that peers hold back for this gang
}

type reservation struct{ machine string }

type storedJob struct {
	Spec   *job.Spec  `json:"spec"`
	Status job.Status `json:"st"`
	At     int64      `json:"at"`
	Home   string     `json:"home"`
}

// stored is the job's record, with a status.
func (r *record) stored(s job.Status) storedJob { return storedJob{r.spec, s, r.at, r.home} }

// page is a run of a job's tasks, kept under one key. A page that does not
// exist holds pending tasks only.
type page struct {
	rec     *record
	id      string
	num     int
	stamp   uint64
	tasks   []job.Task // nil once shed
	pending int        // tasks
	done    int        // finished tasks of a shed page
	queue   []change
	since   time.Duration // when the first change of the queue was proposed
	busy    bool
	retry   time.Duration
	fold    bool // to be written to take in what the log of endings holds
}

type orphan struct {
	data  json.RawMessage
	stamp uint64
}

func pageKey(id string, num int) string { return keyPage + id + "/" + strconv.Itoa(num) }

func (r *record) final() bool { return r.status != job.Open }

func (r *record) task(c *Core, i int) *job.Task {
	if i < 0 || i >= r.spec.Tasks {
		return nil
	}
	n := c.pageTasks()
	if p := r.pages[i/n]; p.tasks != nil {
		return &p.tasks[i%n]
	}
	return nil // the job is over, and nothing of it is bound
}

func (c *Core) applyJob(id string, data json.RawMessage, stamp uint64) {
	if data == nil {
		return // job records are kept for ever
	}
	var s storedJob
	if !decode(c.log, id, data, &s) || s.Spec == nil {
		return
	}
	r := c.jobs[id]
	// Guards against reads that overtake one another: a peer names a cancelled job, and then comes an answer that
	// the state service gave before the cancellation. The peer's word goes on being a proof that
	// no cancellation is unknown here, so the job must not count as open again.
	over := c.over(id)
	if r == nil {
		r = &record{spec: s.Spec, due: c.within(s.Spec), zones: map[string]int{}}
		n := c.pageTasks()
		for k := 0; k*n < s.Spec.Tasks; k++ {
			tasks := make([]job.Task, min(n, s.Spec.Tasks-k*n))
			r.pages = append(r.pages, &page{rec: r, id: id, num: k, tasks: tasks, pending: len(tasks)})
		}
		c.jobs[id] = r
		c.reach.Known(id)
	}
	r.status, r.at, r.home, r.stamp = s.Status, s.At, s.Home, stamp
	if over && s.Status == job.Open {
		r.status = job.Cancelled
	}
	switch _, was := c.open[id]; {
	case was && r.final():
		c.forestall(r)
		c.close(r)
	case !was && !r.final():
		c.opens(r)
	}
	for k := range r.pages {
		key := id + "/" + strconv.Itoa(k)
		if o, ok := c.orphans[key]; ok {
			delete(c.orphans, key)
			c.applyPage(key, o.data, o.stamp)
		}
	}
	if len(c.early[id]) > 0 {
		c.receiveEarly(id)
	}
	if r.final() {
		for _, p := range r.pages {
			c.shed(p)
		}
	}
}

// conclude calls a job done whose tasks have all finished, by the records.
//
// Guards against a job that is never called done: usually the transaction with its last
// ending says so, but when the last endings of two of its pages are committed at once,
// by two controllers or in two transactions, each is without the other's.
func (c *Core) conclude(r *record) {
	if r.final() || r.concluding || c.successor(r.home) != c.cfg.Node {
		return
	}
	r.concluding = true
	// Finished tasks stay finished, so the pages need no condition.
	c.store.Txn(budget.UserRequests, []protocol.Compare{{Key: keyJob + r.spec.ID, ModRevision: r.stamp}},
		[]protocol.Op{{Put: keyJob + r.spec.ID, Value: encode(r.stored(job.Done))}},
		func(bookkeeping.TxnOutcome, []string, uint64) { r.concluding = false })
}

// shed forgets the tasks of a page of a job that is over, unless one is bound:
// memory must not grow with all the tasks there ever were. What users are told
// needs the counts alone.
func (c *Core) shed(p *page) {
	switch {
	case c.concluded(p.rec):
		c.completeAll(p)
		c.writes.log.SettleJob(p.id)
	case c.unfolded(p):
		return
	}
	done := 0
	for i := range p.tasks {
		switch p.tasks[i].Phase {
		case job.Bound:
			return
		case job.Finished:
			done++
		}
	}
	if p.tasks != nil {
		p.tasks, p.pending, p.done = nil, 0, done
	}
}

// unshed makes a page ready to be read again. Guards against a job's end that is
// read ahead of the watch: placements of before are then still to come.
func (c *Core) unshed(p *page) {
	if p.tasks != nil {
		return
	}
	n := c.pageTasks()
	p.tasks = make([]job.Task, min(n, p.rec.spec.Tasks-p.num*n))
	p.pending = len(p.tasks)
	p.rec.finished -= p.done
	p.done = 0
}

// failedAt takes up that a task has failed where it was bound. The records show it to
// every controller, so that whoever keeps the job, rents for it or holds the machine
// comes to the same judgement.
func (c *Core) failedAt(r *record, was job.Task, fails int) {
	r.rounds = max(r.rounds, fails)
	m := c.machines[was.Machine]
	if was.Phase != job.Bound || m == nil {
		return // read anew: where it failed is not known
	}
	if r.failedOn == nil {
		r.failedOn, r.failed = map[string]bool{}, c.now
	}
	r.failedOn[m.id] = true
	if pause := c.blame(r).Pause(seconds(c.cfg.Facts.Workers.Report)); pause > 0 {
		r.backoff = max(r.backoff, c.now+pause)
	}
	if !c.mine(m) {
		return
	}
	m.errors[r.spec.ID] = true
	var jobs []blame.Job
	for id := range m.errors {
		if o := c.jobs[id]; o != nil {
			jobs = append(jobs, c.blame(o))
		}
	}
	if blame.Faulty(jobs) {
		c.drain(m, drainFaulty)
	}
}

// blame is what is known of a job's failures.
func (c *Core) blame(r *record) blame.Job {
	return blame.Job{Machines: len(r.failedOn), Rounds: r.rounds, Finished: r.finished,
		Settled: c.now-r.failed > seconds(blame.Settles*c.cfg.Facts.Workers.Report)}
}

// paused tells whether a job that fails everywhere is not to be tried now, or is being
// tried. Production work is only made to wait.
func (c *Core) paused(r *record) bool {
	return c.now < r.backoff || r.spec.Priority != job.Production && !multi(r) && c.blame(r).Suspect() && (r.bound > 0 || len(r.held) > 0)
}

// opens and close keep the indexes of unfinished jobs.
func (c *Core) opens(r *record) {
	c.open[r.spec.ID] = r
	at, _ := slices.BinarySearchFunc(c.byAge, r, older)
	c.byAge = slices.Insert(c.byAge, at, r)
	c.opened = append(c.opened, r)
	if r.spec.GPUs == 0 {
		c.plain++
	}
}

func (c *Core) close(r *record) {
	delete(c.open, r.spec.ID)
	if at, there := slices.BinarySearchFunc(c.byAge, r, older); there {
		c.byAge = slices.Delete(c.byAge, at, at+1)
	}
	r.placed = nil
	if r.spec.GPUs == 0 {
		c.plain--
	}
}

func older(a, b *record) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.spec.ID, b.spec.ID))
}

func (c *Core) applyPage(name string, data json.RawMessage, stamp uint64) {
	id, num, _ := strings.Cut(name, "/")
	k, err := strconv.Atoi(num)
	r := c.jobs[id]
	if r == nil {
		c.orphans[name] = orphan{bytes.Clone(data), stamp} // not the whole response
		return
	}
	if err != nil || k < 0 || k >= len(r.pages) || data == nil {
		return
	}
	p := r.pages[k]
	c.unshed(p)
	if r.final() {
		defer c.shed(p)
	}
	changes, err := readPage(data, p.tasks, c.changes[:0])
	if err != nil {
		c.log.Error("unreadable record", "key", name, "err", err)
		return
	}
	base := k * c.pageTasks()
	changes = c.withEndings(p, base, changes)
	c.changes = changes
	p.stamp = stamp
	since := stamp // each change of a page comes, but while the records are read anew
	if c.store.Rescanning() {
		since = 0
	}
	for i := range changes {
		at, t := changes[i].index, &changes[i].task
		if t.Phase == job.Bound {
			t.Machine = c.machine(t.Machine).id // one string for each machine
		}
		old := p.tasks[at]
		if t.Failures > old.Failures {
			defer c.failedAt(r, old, t.Failures)
		}
		c.unindex(r, taskKey{id, base + at}, &old)
		p.tasks[at] = *t
		c.index(r, taskKey{id, base + at}, t, since)
		if old.Phase == job.Pending {
			p.pending--
		}
		if t.Phase == job.Pending {
			p.pending++
		}
	}
}

func (c *Core) index(r *record, k taskKey, t *job.Task, since uint64) {
	r.last = max(r.last, t.Attempt)
	switch t.Phase {
	case job.Bound:
		r.bound++
		if tm := c.teams[r.spec.Team]; tm != nil {
			tm.runs = tm.runs.plus(r.spec, 1)
		}
		m := c.machine(t.Machine)
		m.bound[k] = r
		m.use(r.spec, 1)
		r.zones[m.claim.Zone]++
		m.boundAt[k] = binding{c.now, since}
		c.fetching(m, r.spec)
		c.data.bound(m, r.spec)
		if !multi(r) {
			m.levels[r.spec.Priority]++
		}
		if r.spec.Shape == job.Service {
			m.services++
		}
		delete(r.placed, k.index)
		c.unline(r, k.index)
		if c.mine(m) {
			c.traceStart(losses.Bound, k.id, k.index, t.Attempt, m.id)
		}
		if t.Epoch == m.session {
			c.queueLaunch(m.id, k, t.Attempt) // also when a peer's gang was bound to our machine
		}
	case job.Finished:
		r.finished++
	}
}

func (c *Core) unindex(r *record, k taskKey, t *job.Task) {
	switch t.Phase {
	case job.Bound:
		r.bound--
		if tm := c.teams[r.spec.Team]; tm != nil {
			tm.runs = tm.runs.plus(r.spec, -1)
		}
		m := c.machine(t.Machine)
		if !multi(r) {
			m.levels[r.spec.Priority]--
		}
		if r.spec.Shape == job.Service {
			m.services--
		}
		delete(m.bound, k)
		delete(m.begun, k)
		delete(m.pulling, k)
		delete(m.boundAt, k)
		delete(m.stops, k)
		if m.gone[k] == nil {
			m.use(r.spec, -1)
		}
		delete(m.gone, k)
		r.zones[m.claim.Zone]--
	case job.Finished:
		r.finished--
	}
}

// team is a team's mirrored use.
type team struct {
	cfg   *config.Team
	need  usage   // of its unfinished jobs so far, for updateTurns alone
	saves *record // the gang that its limit is saved for, see saveForGangs
	use   usage   // as charged; only limited teams have a record
	runs  usage   // bound tasks, from the mirror
	stamp uint64
	busy  bool
}

type usage struct {
	CPUs float64 `json:"c"`
	GPUs float64 `json:"g"`
}

func (u usage) plus(s *job.Spec, n float64) usage {
	return usage{u.CPUs + n*s.CPUs, u.GPUs + n*s.GPUs}
}

// within tells whether u keeps to the limit; sums of decimal amounts get a
// tolerance far below any amount that a user would give.
func (t *team) within(u usage) bool {
	const eps = 1e-6
	return (t.cfg.CPUsMax == 0 || u.CPUs <= t.cfg.CPUsMax+eps) && (t.cfg.GPUsMax == 0 || u.GPUs <= t.cfg.GPUsMax+eps)
}

// guarantees tells whether u is within the team's guarantee; what a team uses
// of a kind that it has no guarantee for does not count against it.
func (t *team) guarantees(u usage) bool {
	const eps = 1e-6
	if t.cfg.CPUs == 0 && t.cfg.GPUs == 0 {
		return false
	}
	return (t.cfg.CPUs == 0 || u.CPUs <= t.cfg.CPUs+eps) && (t.cfg.GPUs == 0 || u.GPUs <= t.cfg.GPUs+eps)
}

func (c *Core) applyTeam(name string, data json.RawMessage, stamp uint64) {
	t := c.teams[name]
	if t == nil || data == nil {
		return
	}
	if decode(c.log, name, data, &t.use) {
		t.stamp = stamp
	}
}

// change is a wanted change of one task.
type change struct {
	index   int // in the page
	place   bool
	machine string
	session uint64
	try     int
	done    bool
	failed  bool
	kind    evidence.Proof // what proves that it has left, and of which claim
	token   uint64         // under which that was found
	cause   string         // of an attempt that ended, as its worker tells
	at      time.Duration
}

// propose queues a change of a task; the page's next transaction carries it.
func (c *Core) propose(r *record, index int, ch change) {
	if c.logs(r, ch) {
		c.logEnding(r, index, ch)
		return
	}
	n := c.pageTasks()
	p := r.pages[index/n]
	ch.index = index % n
	if m := c.machines[ch.machine]; m != nil && !ch.place {
		ch.token = m.stamp
	}
	for i := range p.queue {
		if p.queue[i].index == ch.index && p.queue[i].place == ch.place {
			p.queue[i] = ch
			c.writes.dirty[p] = true
			return
		}
	}
	if len(p.queue) == 0 {
		p.since = c.now
	}
	ch.at = c.now
	p.queue = append(p.queue, ch)
	c.writes.dirty[p] = true
	if c.verbose && !ch.place {
		c.traceEnding(losses.Evidence, r, index, ch)
	}
}

// traceEnding and traceStart write the steps of an attempt to the debug log, as
// internal/losses reads them.
func (c *Core) traceEnding(step string, r *record, index int, ch change) {
	why := ch.kind.String() // as internal/losses names them
	if ch.kind == evidence.Ended {
		why = ch.cause
	}
	var silent time.Duration
	if m := c.machines[ch.machine]; m != nil && m.heard > 0 {
		silent = c.now - m.heard
	}
	if ch.kind == evidence.LeaseExpired { // as far as anybody can know, it ran on until then
		silent = max(0, silent-seconds(c.cfg.Facts.Workers.Lease))
	}
	c.log.Debug(step, "load", job.TaskName(r.spec.ID, index), "try", ch.try, "stoker", ch.machine, "class", r.spec.Class,
		"urgency", int(r.spec.Priority), "why", why, "done", ch.done, "silentMs", silent.Milliseconds())
}

func (c *Core) traceStart(step string, id string, index, try int, stoker string) {
	if c.verbose {
		c.log.Debug(step, "load", job.TaskName(id, index), "try", try, "stoker", stoker)
	}
}

func (c *Core) reserve(r *record, index int, m *machine) {
	if r.held == nil {
		r.held = map[int]*reservation{}
	}
	r.held[index] = &reservation{m.id}
	m.reserved++
	m.use(r.spec, 1)
	r.zones[m.claim.Zone]++
}

func (c *Core) unreserve(r *record, index int) {
	if h := r.held[index]; h != nil {
		delete(r.held, index)
		m := c.machine(h.machine)
		m.reserved--
		m.use(r.spec, -1)
		r.zones[m.claim.Zone]--
		c.forgetGone(m)
	}
}

// zoneStillOK judges a job's zones by its records alone, with page p replaced
// by the tasks that the transaction will write.
func (c *Core) zoneStillOK(r *record, p *page, tasks []job.Task, zone string) bool {
	if !r.spec.OneZone && !r.spec.Spread {
		return true
	}
	here := 0
	for _, q := range r.pages {
		list := q.tasks
		if q == p {
			list = tasks
		}
		for i := range list {
			if list[i].Phase != job.Bound {
				continue
			}
			z := c.machine(list[i].Machine).claim.Zone
			if z == zone {
				here++
			} else if r.spec.OneZone {
				return false
			}
		}
	}
	return !r.spec.Spread || here < r.spec.SpreadLimit()
}

func withoutPlaces(q []change) []change {
	var out []change
	for _, ch := range q {
		if !ch.place {
			out = append(out, ch)
		}
	}
	return out
}

// The order of what a step does must not depend on map order: the same inputs
// give the same outputs.

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func (k taskKey) compare(o taskKey) int {
	return cmp.Or(cmp.Compare(k.id, o.id), cmp.Compare(k.index, o.index))
}

func (m *machine) tasks() []taskKey {
	out := make([]taskKey, 0, len(m.bound))
	for k := range m.bound {
		out = append(out, k)
	}
	slices.SortFunc(out, taskKey.compare)
	return out
}
