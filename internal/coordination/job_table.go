package coordination

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// jobTable holds the mirrored jobs, their pages and the teams that they belong to.
type jobTable struct {
	byID        map[string]*jobRecord
	open        map[string]*jobRecord // jobs that are neither done nor cancelled
	openCPUOnly int                   // open jobs without accelerators
	openByAge   []*jobRecord          // the open jobs, oldest first
	// openByUrgency holds the open jobs, most urgent first, as of the last sweep;
	// addedSinceSweep holds the jobs that were added to the open jobs since then.
	openByUrgency   []*jobRecord
	addedSinceSweep []*jobRecord
	orphanPages     map[string][]orphanPage // by job: pages that were read before the job
	teams           map[string]*team
	estimatedBytes  int // that the records take in memory, as of the last sweep
}

func newJobTable() jobTable {
	return jobTable{
		byID:        map[string]*jobRecord{},
		open:        map[string]*jobRecord{},
		orphanPages: map[string][]orphanPage{},
		teams:       map[string]*team{},
	}
}

// teamOf returns a job's team, or nil if the settings have no team of that name.
func (t *jobTable) teamOf(r *jobRecord) *team { return t.teams[r.spec.Team] }

// addOpen adds a job to the indexes of open jobs.
func (t *jobTable) addOpen(r *jobRecord) {
	t.open[r.spec.ID] = r
	at, _ := slices.BinarySearchFunc(t.openByAge, r, compareAge)
	t.openByAge = slices.Insert(t.openByAge, at, r)
	t.addedSinceSweep = append(t.addedSinceSweep, r)
	if r.spec.GPUs == 0 {
		t.openCPUOnly++
	}
}

// removeOpen removes a job that is done or cancelled from the indexes of open jobs, except
// openByUrgency: the next sweep removes it there.
func (t *jobTable) removeOpen(r *jobRecord) {
	delete(t.open, r.spec.ID)
	if at, found := slices.BinarySearchFunc(t.openByAge, r, compareAge); found {
		t.openByAge = slices.Delete(t.openByAge, at, at+1)
	}
	r.dispatchAfter = nil
	if r.spec.GPUs == 0 {
		t.openCPUOnly--
	}
}

// compareAge orders jobs by time of submission, the oldest first.
func compareAge(a, b *jobRecord) int {
	return cmp.Or(cmp.Compare(a.submittedAtMS, b.submittedAtMS), cmp.Compare(a.spec.ID, b.spec.ID))
}

// jobRecord is a mirrored job, with the state that this controller derives from the records
// and its own scheduling decisions about the job.
type jobRecord struct {
	mirroredJob
	queueState
	gangState
	failureState

	pages        []*page              // those in memory, by number; see page_table.go
	bound        int                  // bound tasks
	finished     int                  // finished tasks
	lastAttempt  int                  // the highest attempt number of its tasks
	tasksByZone  map[string]int       // bound and reserved tasks by zone
	reservations map[int]*reservation // tasks that this controller is placing, by index
	completing   bool                 // a transaction that marks it as done is in flight

	pagesInFlight int // pages whose transaction has not been answered
}

// mirroredJob is the stored part of a job, as of revision.
type mirroredJob struct {
	spec          *job.Spec
	status        job.Status
	submittedAtMS int64  // time of submission, milliseconds since the Unix epoch
	owner         string // the controller that accepted the job
	revision      uint64 // mod revision of the record
}

// queueState is the position of a job and its tasks in the queues.
type queueState struct {
	queue           []*queuedTask         // tasks queued for machines of this controller, by index
	queuedByIndex   map[int]*queuedTask   // the same tasks
	dispatchAfter   map[int]time.Duration // when tasks that were sent to another controller may be dispatched again
	dispatchWindow  int                   // how many of its tasks may be in dispatch, as of the last dispatch
	latestStart     float64               // see updateJobOrder
	targetDuration  float64               // see Core.targetDuration
	withinGuarantee bool                  // fits into its team's guarantee together with the team's older jobs
}

// gangState is the state of the search for machines for a gang.
type gangState struct {
	failedReservations int           // reservations that ended without a start
	nextReservationAt  time.Duration // no reservation is made before this time
	blockMachines      []string      // machines chosen to run the gang together
	blockChosenAt      time.Duration
	offers             map[string]peerOffer // machines that peers hold back for the gang
}

// failureState is the failure history of a job's tasks, as the records show it.
type failureState struct {
	failedOn       map[string]bool // machines on which a task has failed
	maxFailures    int             // the highest number of failures of a single task
	firstFailureAt time.Duration   // when the first failure was seen
	retryAt        time.Duration   // no task is started before this time
}

// storedJob is a job's record in the state service.
type storedJob struct {
	Spec          *job.Spec  `json:"spec"`
	Status        job.Status `json:"st"`
	SubmittedAtMS int64      `json:"at"`
	Owner         string     `json:"home"`
}

// storedWith returns the job's record with the given status.
func (r *jobRecord) storedWith(status job.Status) storedJob {
	return storedJob{Spec: r.spec, Status: status, SubmittedAtMS: r.submittedAtMS, Owner: r.owner}
}

// final reports whether the job is done or cancelled.
func (r *jobRecord) final() bool { return r.status != job.Open }

// applyJob applies a change of a job's record.
func (c *Core) applyJob(id string, data json.RawMessage, revision uint64) {
	if data == nil {
		return // job records are never deleted
	}
	var stored storedJob
	if !decode(c.log, id, data, &stored) || stored.Spec == nil {
		return
	}
	// Guards against an older read that arrives after newer information: a peer reports a job
	// as cancelled, and then a response arrives that the state service gave before the
	// cancellation. The peer's reply is still used as proof that this controller knows of every
	// cancellation, so the job must not become open again.
	knownFinal := c.knownFinal(id)
	r := c.jobs.byID[id]
	if r == nil {
		r = c.newJobRecord(stored.Spec)
		c.jobs.byID[id] = r
		c.links.ForgetCancelled(id)
	}
	r.status = stored.Status
	r.submittedAtMS = stored.SubmittedAtMS
	r.owner = stored.Owner
	r.revision = revision
	if knownFinal && stored.Status == job.Open {
		r.status = job.Cancelled
	}
	c.updateOpenIndex(r)
	c.applyOrphanPages(r)
	if len(c.scheduler.earlyHandoffs[id]) > 0 {
		c.replayEarlyHandoffs(id)
	}
	if r.final() {
		for _, p := range r.pages {
			c.dropTasks(p)
		}
	}
}

// newJobRecord returns the record of a job of which no page has been read yet.
func (c *Core) newJobRecord(spec *job.Spec) *jobRecord {
	r := &jobRecord{tasksByZone: map[string]int{}}
	r.spec = spec
	r.targetDuration = c.targetDuration(spec)
	return r
}

// updateOpenIndex adds a job to the indexes of open jobs or removes it, if its status has
// changed accordingly. If the job was cancelled, its tasks that have not started are stopped.
func (c *Core) updateOpenIndex(r *jobRecord) {
	_, wasOpen := c.jobs.open[r.spec.ID]
	switch {
	case wasOpen && r.final():
		c.stopUnstartedTasks(r)
		c.jobs.removeOpen(r)
	case !wasOpen && !r.final():
		c.jobs.addOpen(r)
	}
}

// addOrphanPage keeps a page of a job that has not been read yet, in place of an older record of the
// same page.
func (t *jobTable) addOrphanPage(jobID string, orphan orphanPage) {
	orphans := t.orphanPages[jobID]
	sameName := func(other orphanPage) bool { return other.name == orphan.name }
	if at := slices.IndexFunc(orphans, sameName); at >= 0 {
		orphans[at] = orphan
		return
	}
	t.orphanPages[jobID] = append(orphans, orphan)
}

// applyOrphanPages applies the pages of a job that were read before the job's record.
func (c *Core) applyOrphanPages(r *jobRecord) {
	orphans := c.jobs.orphanPages[r.spec.ID]
	delete(c.jobs.orphanPages, r.spec.ID)
	for _, orphan := range orphans {
		c.applyPage(orphan.name, orphan.data, orphan.revision)
	}
}

// completeJob marks a job as done whose tasks have all finished according to the records.
//
// Guards against a job that is never marked as done: usually the transaction with the job's
// last completion marks it, but when the last completions of two of its pages are committed
// at once, by two controllers or in two transactions, neither transaction knows of the other's
// completion.
func (c *Core) completeJob(r *jobRecord) {
	if r.final() || r.completing || c.responsibleController(r.owner) != c.cfg.Node {
		return
	}
	r.completing = true
	// Finished tasks stay finished, so the pages need no condition.
	key := keyJob + r.spec.ID
	compares := []protocol.Compare{{Key: key, ModRevision: r.revision}}
	ops := []protocol.Op{{Put: key, Value: encode(r.storedWith(job.Done))}}
	c.state.Txn(ratelimit.UserRequests, compares, ops, func(stateclient.TxnOutcome, []string, uint64) {
		r.completing = false
	})
}
