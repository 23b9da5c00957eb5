package coordination

import (
	"slices"

	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// pageDraft is what a page adds to a batch.
type pageDraft struct {
	core           *Core
	batch          *txnBatch
	page           *page
	tasks          []job.Task // as they will be
	usage          usage      // of the team
	compares       []protocol.Compare
	compareBudget  int      // the most compares that the page may add
	newKeys        []string // keys that the batch did not compare before
	included       []taskTransition
	deferred       []taskTransition // left for another transaction
	gangIncomplete bool             // a gang starts whole or not at all
}

// compareReserve is how many compares are kept free: for the team's record, with a margin.
const compareReserve = 4

func (c *Core) newPageDraft(b *txnBatch, p *page) *pageDraft {
	return &pageDraft{
		core:  c,
		batch: b,
		page:  p,
		tasks: slices.Clone(p.tasks),
		usage: b.usage,
		compares: []protocol.Compare{
			{Key: keyJob + p.jobID, ModRevision: p.job.revision},
			{Key: p.key(), ModRevision: p.revision},
		},
		compareBudget: comparesPerOp*c.cfg.Facts.State.TxnOps - compareReserve - len(b.compares),
	}
}

// addPage takes what can be done of a page's queue into a batch.
func (c *Core) addPage(b *txnBatch, p *page) {
	if p.tasks == nil { // nothing of it is bound or can be placed
		c.dropQueue(p)
		return
	}
	d := c.newPageDraft(b, p)
	for _, transition := range p.queue {
		if transition.placement {
			d.applyPlacement(transition)
		} else {
			d.applyRelease(transition)
		}
	}
	if d.gangIncomplete {
		d.abandonGang()
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

// addCompares adds conditions; false: there is no room for them.
//
// Guards against a placement that was not conditional on the absence of a
// drain, since a release on the same machine had named its claim before.
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

// dropCompares has the batch not know of the draft's conditions.
func (d *pageDraft) dropCompares() {
	for _, key := range d.newKeys {
		delete(d.batch.comparedKeys, key)
	}
}

// applyPlacement takes a placement into the draft, if it still holds.
func (d *pageDraft) applyPlacement(transition taskTransition) {
	c := d.core
	r := d.page.job
	m := c.machines.byID[transition.machine]
	if !d.placementHolds(transition, m) {
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
	d.included = append(d.included, transition)
}

// placementHolds reports whether a placement on m still holds. A machine that is to yield its
// room to urgent work is noted in the batch.
func (d *pageDraft) placementHolds(transition taskTransition, m *machine) bool {
	c := d.core
	r := d.page.job
	if d.tasks[transition.index].Phase != job.Pending || r.final() || m == nil || !c.usable(r, m, transition.epoch) {
		return false
	}
	if d.batch.chargesQuota && !d.batch.team.leavesQuotaFor(r, d.usage.plus(r.spec, 1)) {
		return false
	}
	// Guards against a peer's placement that came into the mirror
	// after this one was proposed: zones are judged again with what
	// the transaction is conditional on.
	if !d.zoneStillAllowed(m.claim.Zone) {
		return false
	}
	if c.yieldsToUrgentWork(r, m) {
		d.batch.yieldedMachines = append(d.batch.yieldedMachines, m.id)
		return false
	}
	return true
}

// zoneStillAllowed reports whether one more task of the job may be in a zone. It judges by the
// job's records alone, with the draft's page as the transaction will write it.
func (d *pageDraft) zoneStillAllowed(zone string) bool {
	spec := d.page.job.spec
	if !spec.OneZone && !spec.Spread {
		return true
	}
	inZone := 0
	for _, p := range d.page.job.pages {
		tasks := p.tasks
		if p == d.page {
			tasks = d.tasks
		}
		for i := range tasks {
			if tasks[i].Phase != job.Bound {
				continue
			}
			if d.core.machine(tasks[i].Machine).claim.Zone == zone {
				inZone++
			} else if spec.OneZone {
				return false
			}
		}
	}
	return !spec.Spread || inZone < spec.SpreadLimit()
}

// yieldsToUrgentWork reports whether a placement gives its room to production work that has
// come to wait here since it was chosen.
//
// Guards against lesser work that starts first because its place was chosen
// before: in a storm its commit may wait for seconds, and room that is only
// reserved is none that urgent work could have cleared.
func (c *Core) yieldsToUrgentWork(r *jobRecord, m *machine) bool {
	if r.spec.Priority == job.Production || !c.isOwn(m) || isGang(r) {
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

// applyRelease takes a release into the draft, unless another change was ahead of it or its
// evidence is void.
func (d *pageDraft) applyRelease(transition taskTransition) {
	c := d.core
	task := &d.tasks[transition.index]
	if !releases(transition, task) {
		return
	}
	m := c.machine(transition.machine)
	// Guards against evidence that outlives its claim: a controller
	// cut off from the state service held the end of a lease to be
	// over, while a peer answered the worker. When the worker came
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
	d.included = append(d.included, transition)
}

// releases reports whether a release is of the attempt that the task is bound with. If not,
// another change has overtaken it.
func releases(transition taskTransition, task *job.Task) bool {
	return task.Phase == job.Bound && task.Machine == transition.machine && task.Epoch == transition.epoch && task.Attempt == transition.attempt
}

// releasedTask returns a task as it is after a release.
func releasedTask(transition taskTransition, task *job.Task) job.Task {
	released := job.Task{Attempt: task.Attempt, Failures: task.Failures}
	if transition.done {
		released.Phase = job.Finished
	} else if transition.failed {
		released.Failures++
	}
	return released
}

// abandonGang leaves the page's releases for the next flush, and gives its placements up.
func (d *pageDraft) abandonGang() {
	all := append(d.included, d.deferred...)
	for _, transition := range all {
		if transition.placement {
			d.core.unreserve(d.page.job, d.page.firstTask+transition.index)
		}
	}
	d.page.queue = withoutPlacements(all)
	if len(d.page.queue) == 0 {
		d.core.writer.removeDirty(d.page)
	}
	d.dropCompares()
}

// write adds the page, and its job where that changes, to the batch.
func (d *pageDraft) write() {
	batch := d.batch
	p := d.page
	r := p.job
	batch.ops = append(batch.ops, protocol.Op{Put: p.key(), Value: d.core.encodePage(d.tasks)})
	spansPages := len(r.pages) > 1 && (r.spec.OneZone || r.spec.Spread)
	switch {
	case d.finishedTasks() == r.spec.Tasks && r.status == job.Open:
		// Finished tasks stay finished, so the other pages need no condition.
		batch.ops = append(batch.ops, protocol.Op{Put: keyJob + p.jobID, Value: encode(r.storedWith(job.Done))})
	case spansPages:
		// Zones are judged over all pages; rewriting the job record makes
		// placements of different pages exclude one another.
		batch.ops = append(batch.ops, protocol.Op{Put: keyJob + p.jobID, Value: encode(r.storedWith(r.status))})
	}
	batch.compares = append(batch.compares, d.compares...)
	batch.size += len(d.tasks)*taskBytes + jobBytes + len(d.compares)*compareBytes
	batch.usage = d.usage
	batch.pages = append(batch.pages, pageChanges{page: p, included: d.included})
	p.foldRequested = false
}

// finishedTasks returns how many tasks of the job will have finished.
func (d *pageDraft) finishedTasks() int {
	finished := d.page.job.finished
	for i := range d.tasks {
		if d.tasks[i].Phase == job.Finished && d.page.tasks[i].Phase != job.Finished {
			finished++
		}
	}
	return finished
}
