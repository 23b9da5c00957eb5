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

	"silvergate/internal/bookkeeping"
	"silvergate/internal/budget"
	"silvergate/internal/config"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// record is a mirrored job.
type record struct {
	spec     *job.Spec
	status   job.Status
	at       int64 // submission, milliseconds of the day's clock
	home     string
	stamp    uint64
	pages    []*page
	bound    int
	finished int
	last     int // the highest attempt
	backoff  time.Duration
	turn     float64       // see updateTurns
	due      float64       // see Core.within
	entitled bool          // fits into its team's guarantee with the team's earlier jobs
	tired    int           // how often it was marked in vain, as a gang
	unmarked time.Duration // and is not to be marked before
	failedOn map[string]bool
	zones    map[string]int        // bound and reserved tasks by zone
	held     map[int]*reservation  // tasks being placed by this controller
	line     []*waiter             // tasks in our machines' lines, by number
	waiting  map[int]*waiter       // the same
	placed   map[int]time.Duration // dispatched elsewhere, not before
	block    []string              // machines chosen for this gang
	blockAt  time.Duration
	offers   map[string]offer // machines that peers hold back for this gang
}

type reservation struct{ machine string }

type storedJob struct {
	Spec   *job.Spec  `json:"spec"`
	Status job.Status `json:"st"`
	At     int64      `json:"at"`
	Home   string     `json:"home"`
}

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
	if r == nil {
		r = &record{spec: s.Spec, due: c.within(s.Spec), zones: map[string]int{}}
		n := c.pageTasks()
		for k := 0; k*n < s.Spec.Tasks; k++ {
			tasks := make([]job.Task, min(n, s.Spec.Tasks-k*n))
			r.pages = append(r.pages, &page{rec: r, id: id, num: k, tasks: tasks, pending: len(tasks)})
		}
		c.jobs[id] = r
	}
	r.status, r.at, r.home, r.stamp = s.Status, s.At, s.Home, stamp
	switch _, was := c.open[id]; {
	case was && r.final():
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

// shed forgets the tasks of a page of a job that is over, unless one is bound:
// memory must not grow with all the tasks there ever were. What users are told
// needs the counts alone.
func (c *Core) shed(p *page) {
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
	c.changes = changes
	p.stamp = stamp
	base := k * c.pageTasks()
	for i := range changes {
		at, t := changes[i].index, &changes[i].task
		if t.Phase == job.Bound {
			t.Machine = c.machine(t.Machine).id // one string for each machine
		}
		old := p.tasks[at]
		c.unindex(r, taskKey{id, base + at}, &old)
		p.tasks[at] = *t
		c.index(r, taskKey{id, base + at}, t)
		if old.Phase == job.Pending {
			p.pending--
		}
		if t.Phase == job.Pending {
			p.pending++
		}
	}
}

func (c *Core) index(r *record, k taskKey, t *job.Task) {
	r.last = max(r.last, t.Try)
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
		m.boundAt[k] = c.now
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
		if t.Session == m.session {
			c.launchSoon(m.id, k, t.Try) // also when a peer's gang was bound to our machine
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
		delete(m.sent, k)
		delete(m.begun, k)
		delete(m.pulling, k)
		delete(m.boundAt, k)
		delete(m.stops, k)
		m.use(r.spec, -1)
		r.zones[m.claim.Zone]--
	case job.Finished:
		r.finished--
	}
}

// team is a team's mirrored use.
type team struct {
	cfg   *config.Team
	need  usage // of its unfinished jobs so far, for updateTurns alone
	use   usage // as charged; only limited teams have a record
	runs  usage // bound tasks, from the mirror
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
	guard   bool   // the evidence holds only under our claim
	token   uint64 // of the claim under which it was found
}

// propose queues a change of a task; the page's next transaction carries it.
func (c *Core) propose(r *record, index int, ch change) {
	n := c.pageTasks()
	p := r.pages[index/n]
	ch.index = index % n
	if m := c.machines[ch.machine]; m != nil && ch.guard {
		ch.token = m.stamp
	}
	for i := range p.queue {
		if p.queue[i].index == ch.index && p.queue[i].place == ch.place {
			p.queue[i] = ch
			c.dirty[p] = true
			return
		}
	}
	if len(p.queue) == 0 {
		p.since = c.now
	}
	p.queue = append(p.queue, ch)
	c.dirty[p] = true
}

// flush sends transactions for pages that have changes and none under way, as
// long as the budget lasts. A transaction is built when it can be sent and not
// before: what comes up meanwhile goes with it, and it is conditional on the
// latest mirror. A team's record is in one transaction of ours at a time.
func (c *Core) flush() {
	c.delayed = len(c.dirty) > 0 && c.now < c.flushAt
	if c.delayed {
		return
	}
	c.store.Forgo()
	if len(c.dirty) == 0 || !c.store.Ready() {
		return
	}
	var denied [budget.Classes]bool
	for _, p := range c.ripe() {
		class := p.class()
		if denied[class] {
			continue
		}
		if !c.store.CanSend(class, 3) { // page, team and job
			denied[class], c.delayed = true, true
			// About when the share of the rate allows the next request.
			c.flushAt = c.now + seconds(float64(1+len(c.cfg.Peers))/c.cfg.Facts.State.RPS)
			continue
		}
		c.flushPage(p)
		c.store.Tick(c.now)
	}
}

// class is what a page's changes are for.
func (p *page) class() budget.Class {
	if p.rec.spec.Priority == job.Production {
		return budget.Rescue
	}
	return budget.Work
}

// ripe lists the pages that could be written now: production first, then
// those that have waited longest, so that under pressure each write carries as
// many changes as any.
func (c *Core) ripe() []*page {
	var out []*page
	for p := range c.dirty {
		switch {
		case p.busy: // its answer is awaited
		case c.now < p.retry:
			c.delayed = true
		default:
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *page) int {
		switch x, y := a.class(), b.class(); {
		case x != y:
			return cmp.Compare(x, y)
		case a.since != b.since:
			return cmp.Compare(a.since, b.since)
		case a.rec != b.rec:
			return turnOrder(a.rec, b.rec)
		}
		return cmp.Compare(a.num, b.num)
	})
	return out
}

func (c *Core) flushPage(p *page) {
	r := p.rec
	if p.tasks == nil { // nothing of it is bound or can be placed
		for _, ch := range p.queue {
			if ch.place {
				c.unreserve(r, p.num*c.pageTasks()+ch.index)
			}
		}
		p.queue = nil
		delete(c.dirty, p)
		return
	}
	tm := c.teams[r.spec.Team]
	charge := tm != nil && limited(tm)
	if charge && tm.busy {
		return
	}
	tasks := append([]job.Task(nil), p.tasks...)
	base := p.num * c.pageTasks()
	conds := []protocol.Cond{{Key: keyJob + p.id, Stamp: r.stamp}, {Key: pageKey(p.id, p.num), Stamp: p.stamp}}
	room := 4*c.cfg.Facts.State.TxnOps - 4
	machines := map[string]bool{}
	var use usage
	if tm != nil {
		use = tm.use
	}
	var taken, rest []change
	spoilt := false // a gang starts whole or not at all
	for _, ch := range p.queue {
		t := &tasks[ch.index]
		k := taskKey{p.id, base + ch.index}
		if ch.place {
			m := c.machines[ch.machine]
			ok := t.Phase == job.Pending && !r.final() && m != nil && c.usable(r, m, ch.session)
			u := use.plus(r.spec, 1)
			if ok && charge && !tm.within(u) {
				ok = false
			}
			// Guards against a peer's placement that came into the mirror
			// after this one was proposed: zones are judged again with what
			// the transaction is conditional on.
			ok = ok && c.zoneStillOK(r, p, tasks, m.claim.Zone)
			if !ok {
				c.unreserve(r, k.index)
				spoilt = multi(r)
				continue
			}
			if !machines[m.id] {
				if len(conds)+2 > room {
					rest = append(rest, ch)
					continue
				}
				machines[m.id] = true
				conds = append(conds, protocol.Cond{Key: keyClaim + m.id, Stamp: m.stamp}, protocol.Cond{Key: keyDrain + m.id})
			}
			use = u
			*t = job.Task{Phase: job.Bound, Try: t.Try + 1, Machine: m.id, Session: ch.session, Fails: t.Fails}
			if r.spec.Shape == job.Gang {
				t.Try = max(t.Try, ch.try)
			}
			taken = append(taken, ch)
			continue
		}
		if t.Phase != job.Bound || t.Machine != ch.machine || t.Session != ch.session || t.Try != ch.try {
			continue // overtaken
		}
		if ch.guard {
			m := c.machines[ch.machine]
			// Guards against evidence that outlives its claim: a controller
			// cut off from the state service held the end of a lease to be
			// over, while a peer answered the worker. When the worker came
			// back, the release was committed under the new claim, and the
			// task ran twice.
			if m == nil || !c.mine(m) || m.stamp != ch.token {
				continue
			}
			if !machines[m.id] {
				if len(conds)+2 > room {
					rest = append(rest, ch)
					continue
				}
				machines[m.id] = true
				conds = append(conds, protocol.Cond{Key: keyClaim + m.id, Stamp: m.stamp})
			}
		}
		use = use.plus(r.spec, -1)
		nt := job.Task{Try: t.Try, Fails: t.Fails}
		if ch.done {
			nt.Phase = job.Finished
		} else if ch.failed {
			nt.Fails++
		}
		*t = nt
		taken = append(taken, ch)
	}
	if spoilt {
		for _, ch := range append(taken, rest...) {
			if ch.place {
				c.unreserve(r, base+ch.index)
			}
		}
		// Only endings remain; the next flush takes them.
		p.queue = withoutPlaces(append(taken, rest...))
		if len(p.queue) == 0 {
			delete(c.dirty, p)
		}
		return
	}
	p.queue, p.since = rest, c.now
	if len(rest) == 0 {
		delete(c.dirty, p)
	}
	if len(taken) == 0 {
		return
	}
	ops := []protocol.Op{{Write: pageKey(p.id, p.num), Data: c.encodePage(tasks)}}
	if charge {
		conds = append(conds, protocol.Cond{Key: keyTeam + r.spec.Team, Stamp: tm.stamp})
		ops = append(ops, protocol.Op{Write: keyTeam + r.spec.Team, Data: encode(use)})
		tm.busy = true
	}
	finished := r.finished
	for i := range tasks {
		if tasks[i].Phase == job.Finished && p.tasks[i].Phase != job.Finished {
			finished++
		}
	}
	spansPages := len(r.pages) > 1 && (r.spec.OneZone || r.spec.Spread)
	switch {
	case finished == r.spec.Tasks && r.status == job.Open:
		// Finished tasks stay finished, so the other pages need no condition.
		ops = append(ops, protocol.Op{Write: keyJob + p.id, Data: encode(storedJob{r.spec, job.Done, r.at, r.home})})
	case spansPages:
		// Zones are judged over all pages; rewriting the job record makes
		// placements of different pages exclude one another.
		ops = append(ops, protocol.Op{Write: keyJob + p.id, Data: encode(storedJob{r.spec, r.status, r.at, r.home})})
	}
	p.busy = true
	c.store.Txn(p.class(), conds, ops, func(o bookkeeping.Outcome, failed []string, _ uint64) {
		p.busy = false
		if charge {
			tm.busy = false
		}
		for _, ch := range taken {
			if ch.place {
				c.unreserve(r, base+ch.index)
			}
		}
		if o == bookkeeping.OK {
			for _, ch := range taken {
				if ch.place {
					c.Stats.Placements++
				} else {
					c.Stats.Endings++
					c.freed(ch.machine)
					if !ch.done {
						c.again(r, base+ch.index)
					}
				}
			}
			return
		}
		if o == bookkeeping.Conflict {
			c.Stats.Conflicts++
		}
		c.log.Debug("transaction failed", "job", p.id, "page", p.num, "outcome", int(o), "failed", failed)
		// Endings are proposed again; placements look for a place again. The
		// mirror needs a moment to catch up with whoever was faster, and an
		// unknown outcome shows in it.
		p.retry = c.now + seconds(0.05+0.1*c.rnd.Float64())
		for _, ch := range taken {
			if !ch.place {
				p.queue = append(p.queue, ch)
				c.dirty[p] = true
			}
		}
	})
}

func (c *Core) reserve(r *record, index int, m *machine) {
	if r.held == nil {
		r.held = map[int]*reservation{}
	}
	r.held[index] = &reservation{m.id}
	m.use(r.spec, 1)
	r.zones[m.claim.Zone]++
}

func (c *Core) unreserve(r *record, index int) {
	if h := r.held[index]; h != nil {
		delete(r.held, index)
		m := c.machine(h.machine)
		m.use(r.spec, -1)
		r.zones[m.claim.Zone]--
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
