package coordination

import (
	"slices"

	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// pageDraft collects the changes of one page that are to be added to a batch.
type pageDraft struct {
	core           *Core
	batch          *txnBatch
	page           *page
	tasks          []job.Task // the page's tasks after the changes
	usage          usage      // of the team, after the changes
	compares       []protocol.Compare
	compareBudget  int      // the maximum number of compares that the page may have
	newKeys        []string // keys that the batch did not compare before
	included       []taskTransition
	deferred       []taskTransition // transitions left for a later transaction
	gangIncomplete bool             // a placement of a gang failed: a gang starts all of its tasks or none
	boundByZone    map[string]int   // bound tasks of the job, nil until a placement depends on them
}

// compareReserve is the number of compares kept free for the team's record, with a margin.
const compareReserve = 4

func (c *Core) newPageDraft(b *txnBatch, p *page) *pageDraft {
	d := &pageDraft{
		core:  c,
		batch: b,
		page:  p,
		tasks: slices.Clone(p.tasks),
		usage: b.usage,

		compareBudget: comparesPerOp*c.cfg.Facts.State.TxnOps - compareReserve - len(b.compares),
	}
	if !b.hasJob(p.job) {
		d.compares = append(d.compares, protocol.Compare{Key: keyJob + p.jobID, ModRevision: p.job.revision})
	}
	d.compares = append(d.compares, protocol.Compare{Key: p.key(), ModRevision: p.revision})
	return d
}

// addPage adds the transitions of a page's queue to a batch, as far as they are valid and fit.
func (c *Core) addPage(b *txnBatch, p *page) {
	if p.tasks == nil { // no task of the page is bound or may be placed any more
		c.dropQueue(p)
		return
	}
	d := c.newPageDraft(b, p)
	for _, transition := range p.queue {
		switch {
		case transition.placement:
			d.applyPlacement(transition)
		case transition.withGang:
			d.applyGangCompletion(transition)
		default:
			d.applyRelease(transition)
		}
	}
	if d.gangIncomplete {
		d.dropCompares()
		c.abandonGang(b, p.job)
		return
	}
	p.queue = d.deferred
	p.queuedSince = c.now
	if len(d.deferred) == 0 {
		c.writer.removeDirty(p)
	}
	if len(d.included) == 0 && !p.foldRequested {
		d.dropCompares()
		return
	}
	d.write()
}

// addCompares adds conditions on keys that the batch does not compare yet. It returns false,
// and adds nothing, if the transaction has no room for them.
//
// Each key is checked on its own. Guards against a placement that was not conditional on the
// absence of a drain because a release on the same machine had compared its claim before.
func (d *pageDraft) addCompares(conditions ...protocol.Compare) bool {
	conditions = slices.DeleteFunc(conditions, func(condition protocol.Compare) bool {
		return d.batch.comparedKeys[condition.Key]
	})
	if len(d.compares)+len(conditions) > d.compareBudget {
		return false
	}
	for _, condition := range conditions {
		d.batch.comparedKeys[condition.Key] = true
		d.newKeys = append(d.newKeys, condition.Key)
		d.compares = append(d.compares, condition)
	}
	return true
}

// dropCompares removes the draft's conditions from the batch's set of compared keys.
func (d *pageDraft) dropCompares() {
	for _, key := range d.newKeys {
		delete(d.batch.comparedKeys, key)
	}
}

// applyPlacement applies a placement to the draft, if it is still valid.
func (d *pageDraft) applyPlacement(transition taskTransition) {
	c := d.core
	r := d.page.job
	m := c.machines.byID[transition.machine]
	if !d.placementValid(transition, m) {
		c.unreserve(r, d.page.firstTask+transition.index)
		d.gangIncomplete = isGang(r)
		return
	}
	conditions := append(m.ownershipCompares(), protocol.Compare{Key: keyDrain + m.id})
	if !d.addCompares(conditions...) {
		d.deferred = append(d.deferred, transition)
		return
	}
	d.usage = d.usage.plus(r.spec, 1)
	task := &d.tasks[transition.index]
	attempt := task.Attempt + 1
	if r.spec.Shape == job.Gang {
		attempt = max(attempt, transition.attempt)
	}
	*task = job.Task{Phase: job.Bound, Attempt: attempt, Machine: m.id, Epoch: transition.epoch, Failures: task.Failures}
	d.adjustBoundByZone(m, 1)
	d.included = append(d.included, transition)
}

// placementValid reports whether a placement on m is still valid. If the placement yields its
// capacity to urgent work, the machine is added to the batch's yieldedMachines.
func (d *pageDraft) placementValid(transition taskTransition, m *machine) bool {
	c := d.core
	r := d.page.job
	if d.tasks[transition.index].Phase != job.Pending || r.final() || m == nil || !c.canBindTo(r, m, transition.epoch) {
		return false
	}
	if d.batch.chargesQuota && !d.batch.team.leavesQuotaFor(r, d.usage.plus(r.spec, 1)) {
		return false
	}
	// Guards against a peer's placement that reached the mirror after
	// this one was proposed: zones are checked again against the
	// revisions that the transaction is conditional on.
	if !d.zoneStillAllowed(m.claim.Zone) {
		return false
	}
	if c.yieldsToUrgentWork(r, m) {
		d.batch.yieldedMachines = append(d.batch.yieldedMachines, m.id)
		return false
	}
	return true
}

// zoneStillAllowed reports whether one more task of the job may be placed in a zone. It counts
// bound tasks only, not reservations, with the pages of the batch as the transaction will write them.
func (d *pageDraft) zoneStillAllowed(zone string) bool {
	spec := d.page.job.spec
	if !spec.OneZone && !spec.Spread {
		return true
	}
	if d.boundByZone == nil {
		d.countBoundByZone()
	}
	if spec.OneZone {
		for other, bound := range d.boundByZone {
			if bound > 0 && other != zone {
				return false
			}
		}
	}
	return !spec.Spread || d.boundByZone[zone] < spec.SpreadLimit()
}

// countBoundByZone counts the job's bound tasks by zone.
func (d *pageDraft) countBoundByZone() {
	d.boundByZone = map[string]int{}
	for _, p := range d.page.job.pages {
		tasks := d.batch.tasksOf(p)
		if p == d.page {
			tasks = d.tasks
		}
		for i := range tasks {
			if tasks[i].Phase == job.Bound {
				d.boundByZone[d.core.machine(tasks[i].Machine).claim.Zone]++
			}
		}
	}
}

// adjustBoundByZone adds n to the number of bound tasks in the zone of a machine, if they are counted.
func (d *pageDraft) adjustBoundByZone(m *machine, n int) {
	if d.boundByZone != nil {
		d.boundByZone[m.claim.Zone] += n
	}
}

// yieldsToUrgentWork reports whether a placement has to leave its capacity to production work
// that is queued here.
//
// Guards against less urgent work that starts first because its machine was chosen earlier:
// under heavy load its commit may wait for seconds, and urgent work cannot preempt capacity
// that is only reserved.
func (c *Core) yieldsToUrgentWork(r *jobRecord, m *machine) bool {
	if r.spec.Priority == job.Production || !c.isOwn(m) {
		return false
	}
	m.addUsage(r.spec, -1)
	defer m.addUsage(r.spec, 1)
	for _, urgent := range c.scheduler.queuedJobs {
		if urgent.spec.Priority != job.Production || !c.fits(urgent, m) {
			continue
		}
		if slices.ContainsFunc(urgent.queue, func(queued *queuedTask) bool { return c.placeable(urgent, queued.key.index) }) {
			return true
		}
	}
	return false
}

// applyRelease applies a release to the draft, unless another change of the task overtook it
// or its evidence is no longer valid.
func (d *pageDraft) applyRelease(transition taskTransition) {
	c := d.core
	task := &d.tasks[transition.index]
	if !releases(transition, task) {
		return
	}
	m := c.machine(transition.machine)
	// Guards against evidence that outlives its claim: a controller
	// that was cut off from the state service considered a lease
	// expired while a peer answered the worker. When the worker came
	// back, the release was committed under the new claim, and the
	// task ran twice.
	evidence := fencing.Evidence{Proof: transition.proof, Token: transition.token}
	ok, onClaim := c.workerState(m).MayRelease(evidence)
	if !ok {
		c.log.Debug("release refused: the evidence is no longer valid",
			"task", job.TaskName(d.page.jobID, d.page.firstTask+transition.index), "attempt", transition.attempt, "machine", m.id,
			"kind", transition.proof.String(), "found", transition.token, "token", m.token)
		return
	}
	if onClaim && !d.addCompares(m.ownershipCompares()...) {
		d.deferred = append(d.deferred, transition)
		return
	}
	d.usage = d.usage.plus(d.page.job.spec, -1)
	*task = releasedTask(transition, task)
	if d.page.job.gangCompleted() {
		*task = completedTask(task)
	}
	d.adjustBoundByZone(m, -1)
	d.included = append(d.included, transition)
}

// applyGangCompletion completes a pending task of a gang, another task of which has completed.
func (d *pageDraft) applyGangCompletion(transition taskTransition) {
	task := &d.tasks[transition.index]
	if task.Phase != job.Pending || !d.page.job.gangCompleted() {
		return
	}
	*task = completedTask(task)
	d.included = append(d.included, transition)
}

// releases reports whether a release is for the attempt that the task is bound to. If not,
// another change has overtaken it.
func releases(transition taskTransition, task *job.Task) bool {
	return task.Phase == job.Bound && task.Machine == transition.machine && task.Epoch == transition.epoch && task.Attempt == transition.attempt
}

// releasedTask returns the state of a task after a release.
func releasedTask(transition taskTransition, task *job.Task) job.Task {
	released := job.Task{Attempt: task.Attempt, Failures: task.Failures}
	if transition.done {
		released.Phase = job.Finished
	} else if transition.failed {
		released.Failures++
	}
	return released
}

// abandonGang gives up the placements of a gang, one of which is not valid any more, and leaves its
// releases for the next flush: a gang starts all of its tasks or none. If the batch has other pages of
// the gang, it has no others.
func (c *Core) abandonGang(b *txnBatch, r *jobRecord) {
	if b.hasJob(r) {
		c.emptyBatch(b)
	}
	c.dropGangPlacements(r)
}

// dropGangPlacements drops the queued placements of a gang. Those in flight are not affected; if they
// are committed, the rest of the gang is placed anew.
func (c *Core) dropGangPlacements(r *jobRecord) {
	for _, p := range r.pages {
		if p.inFlight || len(p.queue) == 0 {
			continue
		}
		c.unreserveQueued(p)
		p.queue = withoutPlacements(p.queue)
		if len(p.queue) == 0 {
			c.writer.removeDirty(p)
		} else {
			c.writer.addDirty(p)
		}
	}
}

// write adds the page to the batch, and the job's record where it has to be written too.
func (d *pageDraft) write() {
	batch := d.batch
	p := d.page
	r := p.job
	batch.ops = append(batch.ops, protocol.Op{Put: p.key(), Value: d.core.encodePage(d.tasks)})
	switch {
	case batch.hasJob(r):
		// Another page of the gang is in the batch, which has the job's record already.
	case d.finishedTasks() == r.spec.Tasks && r.status == job.Open:
		// Finished tasks stay finished, so the other pages need no condition.
		batch.ops = append(batch.ops, protocol.Op{Put: keyJob + p.jobID, Value: encode(r.storedWith(job.Done))})
	case d.core.zonesSpanPages(r):
		batch.ops = append(batch.ops, protocol.Op{Put: keyJob + p.jobID, Value: encode(r.storedWith(r.status))})
	}
	batch.compares = append(batch.compares, d.compares...)
	batch.size += len(d.tasks)*taskBytes + jobBytes + len(d.compares)*compareBytes
	batch.usage = d.usage
	batch.pages = append(batch.pages, pageChanges{page: p, included: d.included, tasks: d.tasks})
	p.foldRequested = false
}

// finishedTasks returns the number of finished tasks of the job after the draft's changes.
func (d *pageDraft) finishedTasks() int {
	finished := d.page.job.finished
	for i := range d.tasks {
		if d.tasks[i].Phase == job.Finished && d.page.tasks[i].Phase != job.Finished {
			finished++
		}
	}
	return finished
}
