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

	"silvergate/internal/config"
	"silvergate/internal/faultattribution"
	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// jobTable owns the mirrored jobs, their pages and the teams that they belong to.
type jobTable struct {
	byID        map[string]*jobRecord
	open        map[string]*jobRecord // jobs that are not over
	openCPUOnly int                   // open jobs without accelerators
	openByAge   []*jobRecord          // the open jobs, oldest first
	// openByUrgency are the open jobs, most urgent first, as of the last sweep, and
	// added those that were opened since then.
	openByUrgency []*jobRecord
	added         []*jobRecord
	orphanPages   map[string]orphanPage // pages that were read before their jobs
	teams         map[string]*team
}

func newJobTable() jobTable {
	return jobTable{
		byID:        map[string]*jobRecord{},
		open:        map[string]*jobRecord{},
		orphanPages: map[string]orphanPage{},
		teams:       map[string]*team{},
	}
}

// jobRecord is a mirrored job.
type jobRecord struct {
	spec               *job.Spec
	status             job.Status
	submittedAtMS      int64 // submission, milliseconds of the day's clock
	owner              string
	revision           uint64
	pages              []*page
	bound              int
	finished           int
	lastAttempt        int // the highest attempt
	retryAt            time.Duration
	latestStart        float64               // see updateJobOrder
	targetDuration     float64               // see Core.within
	withinGuarantee    bool                  // fits into its team's guarantee with the team's earlier jobs
	failedReservations int                   // how often it was marked in vain, as a gang
	nextReservationAt  time.Duration         // and is not to be marked before
	failedOn           map[string]bool       // machines on which a task of it failed, as the records came to show
	completing         bool                  // being called done
	maxFailures        int                   // the most failures of one of its tasks
	firstFailureAt     time.Duration         // when the first was seen
	tasksByZone        map[string]int        // bound and reserved tasks by zone
	reservations       map[int]*reservation  // tasks being placed by this controller
	queue              []*queuedTask         // tasks in our machines' lines, by number
	queuedByIndex      map[int]*queuedTask   // the same
	dispatchAfter      map[int]time.Duration // dispatched elsewhere, not before
	blockMachines      []string              // machines chosen for this gang
	blockChosenAt      time.Duration
	offers             map[string]peerOffer // machines that peers hold back for this gang
}

type reservation struct{ machine string }

type storedJob struct {
	Spec          *job.Spec  `json:"spec"`
	Status        job.Status `json:"st"`
	SubmittedAtMS int64      `json:"at"`
	Owner         string     `json:"home"`
}

// storedWith is the job's record, with a status.
func (r *jobRecord) storedWith(s job.Status) storedJob {
	return storedJob{r.spec, s, r.submittedAtMS, r.owner}
}

// page is a run of a job's tasks, kept under one key. A page that does not
// exist holds pending tasks only.
type page struct {
	job           *jobRecord
	jobID         string
	number        int
	revision      uint64
	tasks         []job.Task // nil once shed
	pending       int        // tasks
	done          int        // finished tasks of a shed page
	queue         []taskTransition
	queuedSince   time.Duration // when the first change of the queue was proposed
	inFlight      bool
	retryAt       time.Duration
	foldRequested bool // to be written to take in what the log of endings holds
}

type orphanPage struct {
	data     json.RawMessage
	revision uint64
}

func pageKey(id string, num int) string { return keyPage + id + "/" + strconv.Itoa(num) }

func (r *jobRecord) final() bool { return r.status != job.Open }

func (r *jobRecord) task(c *Core, i int) *job.Task {
	if i < 0 || i >= r.spec.Tasks {
		return nil
	}
	n := c.tasksPerPage()
	if p := r.pages[i/n]; p.tasks != nil {
		return &p.tasks[i%n]
	}
	return nil // the job is over, and nothing of it is bound
}

func (c *Core) applyJob(id string, data json.RawMessage, revision uint64) {
	if data == nil {
		return // job records are kept for ever
	}
	var s storedJob
	if !decode(c.log, id, data, &s) || s.Spec == nil {
		return
	}
	r := c.jobs.byID[id]
	// Guards against reads that overtake one another: a peer names a cancelled job, and then comes an answer that
	// the state service gave before the cancellation. The peer's word goes on being a proof that
	// no cancellation is unknown here, so the job must not count as open again.
	over := c.knownFinal(id)
	if r == nil {
		r = &jobRecord{spec: s.Spec, targetDuration: c.targetDuration(s.Spec), tasksByZone: map[string]int{}}
		n := c.tasksPerPage()
		for k := 0; k*n < s.Spec.Tasks; k++ {
			tasks := make([]job.Task, min(n, s.Spec.Tasks-k*n))
			r.pages = append(r.pages, &page{job: r, jobID: id, number: k, tasks: tasks, pending: len(tasks)})
		}
		c.jobs.byID[id] = r
		c.links.ForgetCancelled(id)
	}
	r.status, r.submittedAtMS, r.owner, r.revision = s.Status, s.SubmittedAtMS, s.Owner, revision
	if over && s.Status == job.Open {
		r.status = job.Cancelled
	}
	switch _, was := c.jobs.open[id]; {
	case was && r.final():
		c.stopTasksOf(r)
		c.removeOpenJob(r)
	case !was && !r.final():
		c.addOpenJob(r)
	}
	for k := range r.pages {
		key := id + "/" + strconv.Itoa(k)
		if o, ok := c.jobs.orphanPages[key]; ok {
			delete(c.jobs.orphanPages, key)
			c.applyPage(key, o.data, o.revision)
		}
	}
	if len(c.scheduler.earlyHandoffs[id]) > 0 {
		c.replayEarlyHandoffs(id)
	}
	if r.final() {
		for _, p := range r.pages {
			c.releaseTasks(p)
		}
	}
}

// completeJob calls a job done whose tasks have all finished, by the records.
//
// Guards against a job that is never called done: usually the transaction with its last
// ending says so, but when the last endings of two of its pages are committed at once,
// by two controllers or in two transactions, each is without the other's.
func (c *Core) completeJob(r *jobRecord) {
	if r.final() || r.completing || c.responsibleController(r.owner) != c.cfg.Node {
		return
	}
	r.completing = true
	// Finished tasks stay finished, so the pages need no condition.
	c.state.Txn(ratelimit.UserRequests, []protocol.Compare{{Key: keyJob + r.spec.ID, ModRevision: r.revision}},
		[]protocol.Op{{Put: keyJob + r.spec.ID, Value: encode(r.storedWith(job.Done))}},
		func(stateclient.TxnOutcome, []string, uint64) { r.completing = false })
}

// releaseTasks forgets the tasks of a page of a job that is over, unless one is bound:
// memory must not grow with all the tasks there ever were. What users are told
// needs the counts alone.
func (c *Core) releaseTasks(p *page) {
	switch {
	case c.allTasksCompleted(p.job):
		c.completeAll(p)
		c.writer.completions.SettleJob(p.jobID)
	case c.hasUnfoldedCompletions(p):
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

// restoreTasks makes a page ready to be read again. Guards against a job's end that is
// read ahead of the watch: placements of before are then still to come.
func (c *Core) restoreTasks(p *page) {
	if p.tasks != nil {
		return
	}
	n := c.tasksPerPage()
	p.tasks = make([]job.Task, min(n, p.job.spec.Tasks-p.number*n))
	p.pending = len(p.tasks)
	p.job.finished -= p.done
	p.done = 0
}

// noteFailure takes up that a task has failed where it was bound. The records show it to
// every controller, so that whoever keeps the job, rents for it or holds the machine
// comes to the same judgement.
func (c *Core) noteFailure(r *jobRecord, was job.Task, fails int) {
	r.maxFailures = max(r.maxFailures, fails)
	m := c.machines.byID[was.Machine]
	if was.Phase != job.Bound || m == nil {
		return // read anew: where it failed is not known
	}
	if r.failedOn == nil {
		r.failedOn, r.firstFailureAt = map[string]bool{}, c.now
	}
	r.failedOn[m.id] = true
	if pause := c.failureHistory(r).Pause(seconds(c.cfg.Facts.Workers.Report)); pause > 0 {
		r.retryAt = max(r.retryAt, c.now+pause)
	}
	if !c.isOwn(m) {
		return
	}
	m.failedJobs[r.spec.ID] = true
	var jobs []faultattribution.Job
	for id := range m.failedJobs {
		if o := c.jobs.byID[id]; o != nil {
			jobs = append(jobs, c.failureHistory(o))
		}
	}
	if faultattribution.Faulty(jobs) {
		c.drainMachine(m, drainFaulty)
	}
}

// failureHistory is what is known of a job's failures.
func (c *Core) failureHistory(r *jobRecord) faultattribution.Job {
	return faultattribution.Job{Machines: len(r.failedOn), Rounds: r.maxFailures, Finished: r.finished,
		Settled: c.now-r.firstFailureAt > seconds(faultattribution.Settles*c.cfg.Facts.Workers.Report)}
}

// paused tells whether a job that fails everywhere is not to be tried now, or is being
// tried. Production work is only made to wait.
func (c *Core) paused(r *jobRecord) bool {
	return c.now < r.retryAt || r.spec.Priority != job.Production && !isGang(r) && c.failureHistory(r).Suspect() && (r.bound > 0 || len(r.reservations) > 0)
}

// addOpenJob and close keep the indexes of unfinished jobs.
func (c *Core) addOpenJob(r *jobRecord) {
	c.jobs.open[r.spec.ID] = r
	at, _ := slices.BinarySearchFunc(c.jobs.openByAge, r, older)
	c.jobs.openByAge = slices.Insert(c.jobs.openByAge, at, r)
	c.jobs.added = append(c.jobs.added, r)
	if r.spec.GPUs == 0 {
		c.jobs.openCPUOnly++
	}
}

func (c *Core) removeOpenJob(r *jobRecord) {
	delete(c.jobs.open, r.spec.ID)
	if at, there := slices.BinarySearchFunc(c.jobs.openByAge, r, older); there {
		c.jobs.openByAge = slices.Delete(c.jobs.openByAge, at, at+1)
	}
	r.dispatchAfter = nil
	if r.spec.GPUs == 0 {
		c.jobs.openCPUOnly--
	}
}

func older(a, b *jobRecord) int {
	return cmp.Or(cmp.Compare(a.submittedAtMS, b.submittedAtMS), cmp.Compare(a.spec.ID, b.spec.ID))
}

func (c *Core) applyPage(name string, data json.RawMessage, revision uint64) {
	id, num, _ := strings.Cut(name, "/")
	k, err := strconv.Atoi(num)
	r := c.jobs.byID[id]
	if r == nil {
		c.jobs.orphanPages[name] = orphanPage{bytes.Clone(data), revision} // not the whole response
		return
	}
	if err != nil || k < 0 || k >= len(r.pages) || data == nil {
		return
	}
	p := r.pages[k]
	c.restoreTasks(p)
	if r.final() {
		defer c.releaseTasks(p)
	}
	changes, err := readPage(data, p.tasks, c.writer.changeBuffer[:0])
	if err != nil {
		c.log.Error("unreadable record", "key", name, "error", err)
		return
	}
	base := k * c.tasksPerPage()
	changes = c.mergeCompletions(p, base, changes)
	c.writer.changeBuffer = changes
	p.revision = revision
	since := revision // each change of a page comes, but while the records are read anew
	if c.state.Rescanning() {
		since = 0
	}
	for i := range changes {
		at, t := changes[i].index, &changes[i].task
		if t.Phase == job.Bound {
			t.Machine = c.machine(t.Machine).id // one string for each machine
		}
		old := p.tasks[at]
		if t.Failures > old.Failures {
			defer c.noteFailure(r, old, t.Failures)
		}
		c.unindexTask(r, taskKey{id, base + at}, &old)
		p.tasks[at] = *t
		c.indexTask(r, taskKey{id, base + at}, t, since)
		if old.Phase == job.Pending {
			p.pending--
		}
		if t.Phase == job.Pending {
			p.pending++
		}
	}
}

func (c *Core) indexTask(r *jobRecord, k taskKey, t *job.Task, since uint64) {
	r.lastAttempt = max(r.lastAttempt, t.Attempt)
	switch t.Phase {
	case job.Bound:
		r.bound++
		if tm := c.jobs.teams[r.spec.Team]; tm != nil {
			tm.running = tm.running.plus(r.spec, 1)
		}
		m := c.machine(t.Machine)
		m.bound[k] = r
		m.addUsage(r.spec, 1)
		r.tasksByZone[m.claim.Zone]++
		m.boundAt[k] = binding{c.now, since}
		c.recordImagePull(m, r.spec)
		c.staging.taskBound(m, r.spec)
		if !isGang(r) {
			m.boundByPriority[r.spec.Priority]++
		}
		if r.spec.Shape == job.Service {
			m.services++
		}
		delete(r.dispatchAfter, k.index)
		c.scheduler.dequeueTask(r, k.index)
		if c.isOwn(m) {
			c.traceStart(losses.Bound, k.job, k.index, t.Attempt, m.id)
		}
		if t.Epoch == m.epoch {
			c.queueLaunch(m.id, k, t.Attempt) // also when a peer's gang was bound to our machine
		}
	case job.Finished:
		r.finished++
	}
}

func (c *Core) unindexTask(r *jobRecord, k taskKey, t *job.Task) {
	switch t.Phase {
	case job.Bound:
		r.bound--
		if tm := c.jobs.teams[r.spec.Team]; tm != nil {
			tm.running = tm.running.plus(r.spec, -1)
		}
		m := c.machine(t.Machine)
		if !isGang(r) {
			m.boundByPriority[r.spec.Priority]--
		}
		if r.spec.Shape == job.Service {
			m.services--
		}
		delete(m.bound, k)
		delete(m.runningSince, k)
		delete(m.pulling, k)
		delete(m.boundAt, k)
		delete(m.stops, k)
		if m.vacated[k] == nil {
			m.addUsage(r.spec, -1)
		}
		delete(m.vacated, k)
		r.tasksByZone[m.claim.Zone]--
	case job.Finished:
		r.finished--
	}
}

// team is a team's mirrored use.
type team struct {
	cfg       *config.Team
	demand    usage      // of its unfinished jobs so far, for updateJobOrder alone
	savingFor *jobRecord // the gang that its limit is saved for, see saveQuotaForGangs
	charged   usage      // as charged; only limited teams have a record
	running   usage      // bound tasks, from the mirror
	revision  uint64
	inFlight  bool
}

type usage struct {
	CPUs float64 `json:"c"`
	GPUs float64 `json:"g"`
}

func (u usage) plus(s *job.Spec, n float64) usage {
	return usage{u.CPUs + n*s.CPUs, u.GPUs + n*s.GPUs}
}

// withinLimit tells whether u keeps to the limit; sums of decimal amounts get a
// tolerance far below any amount that a user would give.
func (t *team) withinLimit(u usage) bool {
	const eps = 1e-6
	return (t.cfg.CPUsMax == 0 || u.CPUs <= t.cfg.CPUsMax+eps) && (t.cfg.GPUsMax == 0 || u.GPUs <= t.cfg.GPUsMax+eps)
}

// withinGuarantee tells whether u is within the team's guarantee; what a team uses
// of a kind that it has no guarantee for does not count against it.
func (t *team) withinGuarantee(u usage) bool {
	const eps = 1e-6
	if t.cfg.CPUs == 0 && t.cfg.GPUs == 0 {
		return false
	}
	return (t.cfg.CPUs == 0 || u.CPUs <= t.cfg.CPUs+eps) && (t.cfg.GPUs == 0 || u.GPUs <= t.cfg.GPUs+eps)
}

func (c *Core) applyTeam(name string, data json.RawMessage, revision uint64) {
	t := c.jobs.teams[name]
	if t == nil || data == nil {
		return
	}
	if decode(c.log, name, data, &t.charged) {
		t.revision = revision
	}
}

// taskTransition is a wanted change of one task.
type taskTransition struct {
	index      int // in the page
	placement  bool
	machine    string
	epoch      uint64
	attempt    int
	done       bool
	failed     bool
	proof      fencing.Proof // what proves that it has left, and of which claim
	token      uint64        // under which that was found
	cause      string        // of an attempt that ended, as its worker tells
	proposedAt time.Duration
}

// propose queues a change of a task; the page's next transaction carries it.
func (c *Core) propose(r *jobRecord, index int, ch taskTransition) {
	if c.goesToCompletionLog(r, ch) {
		c.logCompletion(r, index, ch)
		return
	}
	n := c.tasksPerPage()
	p := r.pages[index/n]
	ch.index = index % n
	if m := c.machines.byID[ch.machine]; m != nil && !ch.placement {
		ch.token = m.token
	}
	for i := range p.queue {
		if p.queue[i].index == ch.index && p.queue[i].placement == ch.placement {
			p.queue[i] = ch
			c.writer.dirtyPages[p] = true
			return
		}
	}
	if len(p.queue) == 0 {
		p.queuedSince = c.now
	}
	ch.proposedAt = c.now
	p.queue = append(p.queue, ch)
	c.writer.dirtyPages[p] = true
	if c.verbose && !ch.placement {
		c.traceEnding(losses.Evidence, r, index, ch)
	}
}

// traceEnding and traceStart write the steps of an attempt to the debug log, as
// internal/losses reads them.
func (c *Core) traceEnding(step string, r *jobRecord, index int, ch taskTransition) {
	why := ch.proof.String() // as internal/losses names them
	if ch.proof == fencing.Ended {
		why = ch.cause
	}
	var silent time.Duration
	if m := c.machines.byID[ch.machine]; m != nil && m.heardAt > 0 {
		silent = c.now - m.heardAt
	}
	if ch.proof == fencing.LeaseExpired { // as far as anybody can know, it ran on until then
		silent = max(0, silent-seconds(c.cfg.Facts.Workers.Lease))
	}
	c.log.Debug(step, "task", job.TaskName(r.spec.ID, index), "attempt", ch.attempt, "machine", ch.machine, "class", r.spec.Class,
		"priority", int(r.spec.Priority), "reason", why, "done", ch.done, "silent_ms", silent.Milliseconds())
}

func (c *Core) traceStart(step string, id string, index, attempt int, stoker string) {
	if c.verbose {
		c.log.Debug(step, "task", job.TaskName(id, index), "attempt", attempt, "machine", stoker)
	}
}

func (c *Core) reserve(r *jobRecord, index int, m *machine) {
	if r.reservations == nil {
		r.reservations = map[int]*reservation{}
	}
	r.reservations[index] = &reservation{m.id}
	m.reserved++
	m.addUsage(r.spec, 1)
	r.tasksByZone[m.claim.Zone]++
}

func (c *Core) unreserve(r *jobRecord, index int) {
	if h := r.reservations[index]; h != nil {
		delete(r.reservations, index)
		m := c.machine(h.machine)
		m.reserved--
		m.addUsage(r.spec, -1)
		r.tasksByZone[m.claim.Zone]--
		c.forgetUnclaimed(m)
	}
}

// zoneStillAllowed judges a job's zones by its records alone, with page p replaced
// by the tasks that the transaction will write.
func (c *Core) zoneStillAllowed(r *jobRecord, p *page, tasks []job.Task, zone string) bool {
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

func withoutPlacements(q []taskTransition) []taskTransition {
	var out []taskTransition
	for _, ch := range q {
		if !ch.placement {
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
	return cmp.Or(cmp.Compare(k.job, o.job), cmp.Compare(k.index, o.index))
}

func (m *machine) tasks() []taskKey {
	out := make([]taskKey, 0, len(m.bound))
	for k := range m.bound {
		out = append(out, k)
	}
	slices.SortFunc(out, taskKey.compare)
	return out
}
