package coordination

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// A batch is one transaction on pages of tasks. Every placement and ending of a
// limited team also changes the team's record, which is in one transaction at a
// time; so pages of one team and class go together, and a mass failure costs the
// state service about one change for each page in place of two.
type txnBatch struct {
	team            *team
	chargesQuota    bool // the team's record is changed too
	usage           usage
	comparedKeys    map[string]bool // keys that conds names already
	compares        []protocol.Compare
	ops             []protocol.Op
	size            int // of the transaction at the most, in bytes
	pages           []pageChanges
	yieldedMachines []string // machines whose room urgent work is to have
	class           ratelimit.Class
}

// pageChanges is what a batch takes of a page's queue.
type pageChanges struct {
	page  *page
	taken []taskTransition
}

// Sizes of what a transaction carries, at the most and about.
const (
	taskBytes    = 64
	jobBytes     = 1 << 10
	compareBytes = 64
	txnBytes     = 60 << 10 // of 64 KiB, the rest for the frame
)

// flush sends transactions for pages that have changes and none under way, as
// long as the budget lasts. A transaction is built when it can be sent and not
// before: what comes up meanwhile goes with it, and it is conditional on the
// latest mirror. A team's record is in one transaction of ours at a time.
func (c *Core) flush() {
	c.flushCompletions()
	c.writer.needsTick = len(c.writer.logQueued) > 0 || len(c.writer.dirtyPages) > 0 && c.now < c.writer.nextFlushAt
	if len(c.writer.dirtyPages) > 0 && c.now < c.writer.nextFlushAt {
		return
	}
	c.state.ReleaseReservations()
	if len(c.writer.dirtyPages) == 0 || !c.state.Loaded() {
		return
	}
	var denied [ratelimit.NumClasses]bool
	ripe := c.writablePages()
	for i, p := range ripe {
		class := p.class()
		if denied[class] || p.inFlight || !c.writer.dirtyPages[p] { // it went with another
			continue
		}
		if !c.state.Reserve(class, maxOpsPerPage) {
			denied[class], c.writer.needsTick = true, true
			// About when the share of the rate allows the next request.
			c.writer.nextFlushAt = c.now + seconds(float64(1+len(c.cfg.Peers))/c.cfg.Facts.State.RPS)
			continue
		}
		c.flushPages(p, ripe[i+1:])
		c.state.Tick(c.now)
	}
}

// maxOpsPerPage is what a page alone may change: itself, its team and its job.
const maxOpsPerPage = 3

// class is what a page's changes are for.
func (p *page) class() ratelimit.Class {
	if p.job.spec.Priority == job.Production {
		return ratelimit.UrgentWork
	}
	return ratelimit.OtherWork
}

// writablePages lists the pages that could be written now: production first, then
// those that have waited longest, so that under pressure each write carries as
// many changes as any.
func (c *Core) writablePages() []*page {
	var out []*page
	for p := range c.writer.dirtyPages {
		switch {
		case p.inFlight: // its answer is awaited
		case c.now < p.retryAt:
			c.writer.needsTick = true
		default:
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *page) int {
		switch x, y := a.class(), b.class(); {
		case x != y:
			return cmp.Compare(x, y)
		case a.queuedSince != b.queuedSince:
			return cmp.Compare(a.queuedSince, b.queuedSince)
		case a.job != b.job:
			return compareUrgency(a.job, b.job)
		}
		return cmp.Compare(a.number, b.number)
	})
	return out
}

// flushPages sends a page's changes and, where that saves changes, those of
// further pages of the same team and class.
func (c *Core) flushPages(first *page, more []*page) {
	tm := c.jobs.teams[first.job.spec.Team]
	b := &txnBatch{team: tm, chargesQuota: tm != nil && hasQuota(tm), comparedKeys: map[string]bool{}, class: first.class()}
	if first.tasks != nil && b.chargesQuota && tm.inFlight {
		return
	}
	if tm != nil {
		b.usage = tm.charged
	}
	c.addPage(b, first)
	if b.chargesQuota && len(b.pages) > 0 {
		jobs := map[*jobRecord]bool{first.job: true}
		for _, p := range more {
			// One page of a job at a time: its zones and its end are judged
			// with the other pages as the mirror has them.
			if p.class() != b.class || p.job.spec.Team != first.job.spec.Team || p.tasks == nil || jobs[p.job] || p.inFlight {
				continue
			}
			if !c.fitsBatch(b, p) || !c.state.CanSend(b.class, len(b.ops)+maxOpsPerPage) {
				break
			}
			jobs[p.job] = true
			c.addPage(b, p)
		}
	}
	if len(b.pages) > 0 {
		c.commit(b)
	}
	for _, id := range b.yieldedMachines {
		c.machineFreed(id)
	}
}

// yieldsToUrgentWork tells whether a placement gives its room to production work that has
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
	for _, u := range c.scheduler.queuedJobs {
		if u.spec.Priority == job.Production && c.fits(u, m) &&
			slices.ContainsFunc(u.queue, func(w *queuedTask) bool { return c.placeable(u, w.key.index) }) {
			return true
		}
	}
	return false
}

// fitsBatch tells whether a page's changes fit into the transaction.
func (c *Core) fitsBatch(b *txnBatch, p *page) bool {
	compares := 2 + 2*len(p.queue)
	return len(b.ops)+maxOpsPerPage <= c.cfg.Facts.State.TxnOps && len(b.compares)+compares+1 <= 4*c.cfg.Facts.State.TxnOps &&
		b.size+len(p.tasks)*taskBytes+jobBytes+compares*compareBytes <= txnBytes
}

// addPage takes what can be done of a page's queue into a batch.
func (c *Core) addPage(b *txnBatch, p *page) {
	r := p.job
	if p.tasks == nil { // nothing of it is bound or can be placed
		c.dropQueue(p)
		return
	}
	d := &pageDraft{core: c, batch: b, page: p, tasks: append([]job.Task(nil), p.tasks...), firstTask: p.number * c.tasksPerPage(), usage: b.usage,
		compares:      []protocol.Compare{{Key: keyJob + p.jobID, ModRevision: r.revision}, {Key: pageKey(p.jobID, p.number), ModRevision: p.revision}},
		compareBudget: 4*c.cfg.Facts.State.TxnOps - 4 - len(b.compares)}
	for _, ch := range p.queue {
		if ch.placement {
			d.applyPlacement(ch)
		} else {
			d.applyRelease(ch)
		}
	}
	if d.gangIncomplete {
		d.abandonGang()
		return
	}
	p.queue, p.queuedSince = d.deferred, c.now
	if len(d.deferred) == 0 {
		delete(c.writer.dirtyPages, p)
	}
	if len(d.taken) == 0 && !p.foldRequested {
		d.dropCompares()
		return
	}
	d.write()
}

// dropQueue gives up the changes of a page of a job that is over.
func (c *Core) dropQueue(p *page) {
	for _, ch := range p.queue {
		if ch.placement {
			c.unreserve(p.job, p.number*c.tasksPerPage()+ch.index)
		}
	}
	p.queue = nil
	delete(c.writer.dirtyPages, p)
}

// pageDraft is what a page adds to a batch.
type pageDraft struct {
	core           *Core
	batch          *txnBatch
	page           *page
	tasks          []job.Task // as they will be
	firstTask      int        // number of the page's first task
	usage          usage      // of the team
	compares       []protocol.Compare
	compareBudget  int      // for conditions
	newKeys        []string // keys that the batch did not name before
	taken          []taskTransition
	deferred       []taskTransition // for another transaction
	gangIncomplete bool             // a gang starts whole or not at all
}

// addCompares adds conditions; false: there is no room for them.
//
// Guards against a placement that was not conditional on the absence of a
// drain, since an ending on the same machine had named its claim before.
func (d *pageDraft) addCompares(conditions ...protocol.Compare) bool {
	conditions = slices.DeleteFunc(conditions, func(k protocol.Compare) bool { return d.batch.comparedKeys[k.Key] })
	if len(d.compares)+len(conditions) > d.compareBudget {
		return false
	}
	for _, k := range conditions {
		d.batch.comparedKeys[k.Key] = true
		d.newKeys = append(d.newKeys, k.Key)
		d.compares = append(d.compares, k)
	}
	return true
}

// dropCompares has the batch not know of the draft's conditions.
func (d *pageDraft) dropCompares() {
	for _, key := range d.newKeys {
		delete(d.batch.comparedKeys, key)
	}
}

// applyPlacement takes a placement in, if it still holds.
func (d *pageDraft) applyPlacement(ch taskTransition) {
	c, r, t := d.core, d.page.job, &d.tasks[ch.index]
	m := c.machines.byID[ch.machine]
	u := d.usage.plus(r.spec, 1)
	ok := t.Phase == job.Pending && !r.final() && m != nil && c.usable(r, m, ch.epoch) && (!d.batch.chargesQuota || d.batch.team.leavesQuotaFor(r, u))
	// Guards against a peer's placement that came into the mirror
	// after this one was proposed: zones are judged again with what
	// the transaction is conditional on.
	ok = ok && c.zoneStillAllowed(r, d.page, d.tasks, m.claim.Zone)
	if ok && c.yieldsToUrgentWork(r, m) {
		d.batch.yieldedMachines = append(d.batch.yieldedMachines, m.id)
		ok = false
	}
	if !ok {
		c.unreserve(r, d.firstTask+ch.index)
		d.gangIncomplete = isGang(r)
		return
	}
	if !d.addCompares(append(m.ownershipCompares(), protocol.Compare{Key: keyDrain + m.id})...) {
		d.deferred = append(d.deferred, ch)
		return
	}
	d.usage = u
	*t = job.Task{Phase: job.Bound, Attempt: t.Attempt + 1, Machine: m.id, Epoch: ch.epoch, Failures: t.Failures}
	if r.spec.Shape == job.Gang {
		t.Attempt = max(t.Attempt, ch.attempt)
	}
	d.taken = append(d.taken, ch)
}

// applyRelease takes an ending in, unless another change was ahead of it or its evidence is void.
func (d *pageDraft) applyRelease(ch taskTransition) {
	c, t := d.core, &d.tasks[ch.index]
	if t.Phase != job.Bound || t.Machine != ch.machine || t.Epoch != ch.epoch || t.Attempt != ch.attempt {
		return // overtaken
	}
	m := c.machine(ch.machine)
	// Guards against evidence that outlives its claim: a controller
	// cut off from the state service held the end of a lease to be
	// over, while a peer answered the worker. When the worker came
	// back, the release was committed under the new claim, and the
	// task ran twice.
	ok, onClaim := c.workerState(m).MayRelease(fencing.Evidence{Proof: ch.proof, Token: ch.token})
	if !ok {
		c.log.Debug("release refused: the evidence is no longer valid", "task", job.TaskName(d.page.jobID, d.firstTask+ch.index), "attempt", ch.attempt, "machine", m.id, "kind", ch.proof.String(),
			"found", ch.token, "token", m.token)
		return
	}
	if onClaim && !d.addCompares(m.ownershipCompares()...) {
		d.deferred = append(d.deferred, ch)
		return
	}
	d.usage = d.usage.plus(d.page.job.spec, -1)
	next := job.Task{Attempt: t.Attempt, Failures: t.Failures}
	if ch.done {
		next.Phase = job.Finished
	} else if ch.failed {
		next.Failures++
	}
	*t = next
	d.taken = append(d.taken, ch)
}

// abandonGang leaves the page's endings for the next flush, and gives its placements up.
func (d *pageDraft) abandonGang() {
	all := append(d.taken, d.deferred...)
	for _, ch := range all {
		if ch.placement {
			d.core.unreserve(d.page.job, d.firstTask+ch.index)
		}
	}
	d.page.queue = withoutPlacements(all)
	if len(d.page.queue) == 0 {
		delete(d.core.writer.dirtyPages, d.page)
	}
	d.dropCompares()
}

// write adds the page, and its job where that changes, to the batch.
func (d *pageDraft) write() {
	c, b, p, r := d.core, d.batch, d.page, d.page.job
	b.ops = append(b.ops, protocol.Op{Put: pageKey(p.jobID, p.number), Value: c.encodePage(d.tasks)})
	finished := r.finished
	for i := range d.tasks {
		if d.tasks[i].Phase == job.Finished && p.tasks[i].Phase != job.Finished {
			finished++
		}
	}
	spansPages := len(r.pages) > 1 && (r.spec.OneZone || r.spec.Spread)
	switch {
	case finished == r.spec.Tasks && r.status == job.Open:
		// Finished tasks stay finished, so the other pages need no condition.
		b.ops = append(b.ops, protocol.Op{Put: keyJob + p.jobID, Value: encode(r.storedWith(job.Done))})
	case spansPages:
		// Zones are judged over all pages; rewriting the job record makes
		// placements of different pages exclude one another.
		b.ops = append(b.ops, protocol.Op{Put: keyJob + p.jobID, Value: encode(r.storedWith(r.status))})
	}
	b.compares = append(b.compares, d.compares...)
	b.size += len(d.tasks)*taskBytes + jobBytes + len(d.compares)*compareBytes
	b.usage = d.usage
	b.pages = append(b.pages, pageChanges{p, d.taken})
	p.foldRequested = false
}

// commit sends a batch.
func (c *Core) commit(b *txnBatch) {
	tm := b.team
	if b.chargesQuota {
		key := keyTeam + tm.cfg.Name
		b.compares = append(b.compares, protocol.Compare{Key: key, ModRevision: tm.revision})
		b.ops = append(b.ops, protocol.Op{Put: key, Value: encode(b.usage)})
		tm.inFlight = true
	}
	for _, part := range b.pages {
		part.page.inFlight = true
	}
	c.state.Txn(b.class, b.compares, b.ops, func(o stateclient.TxnOutcome, failed []string, _ uint64) {
		if b.chargesQuota {
			tm.inFlight = false
		}
		if o == stateclient.Conflict {
			c.Stats.Conflicts++
		}
		for _, part := range b.pages {
			part.page.inFlight = false
			if o == stateclient.Committed {
				c.batchCommitted(part)
			} else {
				c.batchFailed(part, o, failed)
			}
		}
	})
}

// batchCommitted takes up what a transaction has changed.
func (c *Core) batchCommitted(part pageChanges) {
	r, base := part.page.job, part.page.number*c.tasksPerPage()
	for _, ch := range part.taken {
		if ch.placement {
			c.unreserve(r, base+ch.index)
		}
	}
	for _, ch := range part.taken {
		if ch.placement {
			c.Stats.Placements++
			continue
		}
		c.Stats.Completions++
		c.machineFreed(ch.machine)
		if c.verbose {
			c.traceEnding(losses.Ended, r, base+ch.index, ch)
		}
		if !ch.done {
			c.requeueTask(r, base+ch.index)
		}
	}
}

// batchFailed has endings proposed again. Placements look for a place again, unless it
// was only the team's record that another was ahead with: what was refused for
// that was certainly not done, and the place is as good as before. The mirror needs
// a moment to catch up with whoever was faster, and an unknown outcome shows in it.
func (c *Core) batchFailed(part pageChanges, o stateclient.TxnOutcome, keys []string) {
	p := part.page
	c.log.Debug("transaction failed", "job", p.jobID, "page", p.number, "outcome", int(o), "failed", keys)
	crowded := o == stateclient.Conflict && len(keys) == 1 && strings.HasPrefix(keys[0], keyTeam)
	wait := seconds(0.05 + 0.1*c.random.Float64())
	if crowded {
		wait /= 3
	}
	p.retryAt = c.now + max(wait, time.Millisecond)
	var again []taskTransition
	for _, ch := range part.taken {
		if ch.placement && !crowded {
			c.unreserve(p.job, p.number*c.tasksPerPage()+ch.index)
			continue
		}
		again = append(again, ch)
	}
	if len(again) > 0 {
		p.queue = append(again, p.queue...)
		c.writer.dirtyPages[p] = true
	}
}
