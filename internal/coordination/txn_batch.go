package coordination

import (
	"slices"
	"strings"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// txnBatch is one transaction that writes pages of tasks. Every placement and release of a
// team with a limit also changes the team's record, which only one transaction at a time may
// write. So pages of one team and class are written together, and a mass failure costs the
// state service about one change per page instead of two.
type txnBatch struct {
	team            *team
	chargesQuota    bool            // the transaction also writes the team's record
	usage           usage           // of the team, after the changes
	comparedKeys    map[string]bool // the keys in compares
	compares        []protocol.Compare
	ops             []protocol.Op
	size            int // upper bound of the transaction's size, in bytes
	pages           []pageChanges
	yieldedMachines []string // machines whose capacity is left to urgent work
	class           ratelimit.Class
}

// pageChanges is the part of a page's queue that a batch includes.
type pageChanges struct {
	page     *page
	included []taskTransition
	tasks    []job.Task // of the page, after the changes
}

// hasJob reports whether the batch has a page of a job.
func (b *txnBatch) hasJob(r *jobRecord) bool {
	return slices.ContainsFunc(b.pages, func(part pageChanges) bool { return part.page.job == r })
}

// tasksOf returns the tasks of a page after the batch's changes.
func (b *txnBatch) tasksOf(p *page) []job.Task {
	for _, part := range b.pages {
		if part.page == p {
			return part.tasks
		}
	}
	return p.tasks
}

// Approximate upper bounds of the sizes of a transaction and its parts, in bytes.
const (
	taskBytes    = 64
	jobBytes     = 1 << 10
	compareBytes = 64
	txnBytes     = 60 << 10 // of 64 KiB; the rest is left for framing
)

// comparesPerOp is the number of compares that a transaction may have for each operation that
// the state service allows in it.
const comparesPerOp = 4

// flushPages sends a page's changes, with those of further pages in the same transaction: for a gang,
// the placements on its other pages, and if the team's record changes too, pages of the same team and
// class.
func (c *Core) flushPages(first *page, more []*page) {
	b := c.newTxnBatch(first)
	if first.tasks != nil && b.chargesQuota && b.team.inFlight {
		return
	}
	c.addPage(b, first)
	if isGang(first.job) {
		c.addGangPages(b, first, more)
	}
	if b.chargesQuota && len(b.pages) > 0 {
		c.addFurtherPages(b, first, more)
	}
	if len(b.pages) > 0 {
		c.commit(b)
	}
	for _, id := range b.yieldedMachines {
		c.offerFreedMachine(id)
	}
}

// newTxnBatch returns an empty batch for pages of the team and class of first.
func (c *Core) newTxnBatch(first *page) *txnBatch {
	b := &txnBatch{
		team:         c.jobs.teamOf(first.job),
		comparedKeys: map[string]bool{},
		class:        first.class(),
	}
	if b.team != nil {
		b.chargesQuota = b.team.hasLimit()
		b.usage = b.team.charged
	}
	return b
}

// emptyBatch removes all pages from a batch, and leaves their changes in the pages' queues.
func (c *Core) emptyBatch(b *txnBatch) {
	for _, part := range b.pages {
		part.page.queue = append(part.included, part.page.queue...)
	}
	yielded := b.yieldedMachines
	*b = *c.newTxnBatch(b.pages[0].page)
	b.yieldedMachines = yielded
}

// addGangPages adds the other pages of a gang that is being placed to the batch that has its first
// page, as far as they fit: the gang is placed by as few transactions as possible.
func (c *Core) addGangPages(b *txnBatch, first *page, more []*page) {
	for _, p := range more {
		if p.job != first.job || p.inFlight || !p.queuesOnlyPlacements() {
			continue
		}
		if len(b.pages) == 0 { // the gang was abandoned, or nothing was left of its first page
			return
		}
		if !c.fitsBatch(b, p, minGangPageCompares) || !c.state.CanSend(b.class, len(b.ops)+maxOpsPerPage) {
			return
		}
		c.addPage(b, p)
	}
}

// minGangPageCompares is the number of compares that must be left in a transaction for a page of a gang:
// the page's own, and the claim and the drain of a machine. The placements on further machines may
// follow in another transaction.
const minGangPageCompares = 3

// queuesOnlyPlacements reports whether a page has queued transitions, all of which are placements.
func (p *page) queuesOnlyPlacements() bool {
	isRelease := func(transition taskTransition) bool { return !transition.placement }
	return len(p.queue) > 0 && !slices.ContainsFunc(p.queue, isRelease)
}

// addFurtherPages adds pages of the same team and class as first to a batch, until one does
// not fit.
func (c *Core) addFurtherPages(b *txnBatch, first *page, more []*page) {
	for _, p := range more {
		if p.class() != b.class || p.job.spec.Team != first.job.spec.Team || p.tasks == nil || p.inFlight {
			continue
		}
		// One page of a job at a time: the job's zones and its completion
		// are checked against the mirrored state of its other pages.
		if p.job == first.job || b.hasJob(p.job) || c.writeBlocksOthers(p.job) {
			continue
		}
		if isGang(p.job) && p.job.spec.Tasks > c.tasksPerPage() { // it is written with its other pages
			continue
		}
		compares := 2 + 2*len(p.queue) // job and page, and a claim and a drain for each task
		if !c.fitsBatch(b, p, compares) || !c.state.CanSend(b.class, len(b.ops)+maxOpsPerPage) {
			return
		}
		c.addPage(b, p)
	}
}

// fitsBatch reports whether a page's changes, with a number of compares, fit into the batch's
// transaction.
func (c *Core) fitsBatch(b *txnBatch, p *page, compares int) bool {
	maxOps := c.cfg.Facts.State.TxnOps
	if len(b.ops)+maxOpsPerPage > maxOps || len(b.compares)+compares+1 > comparesPerOp*maxOps {
		return false
	}
	return b.size+len(p.tasks)*taskBytes+jobBytes+compares*compareBytes <= txnBytes
}

// commit sends a batch's transaction.
func (c *Core) commit(b *txnBatch) {
	if b.chargesQuota {
		key := keyTeam + b.team.cfg.Name
		b.compares = append(b.compares, protocol.Compare{Key: key, ModRevision: b.team.revision})
		b.ops = append(b.ops, protocol.Op{Put: key, Value: encode(b.usage)})
		b.team.inFlight = true
	}
	for _, part := range b.pages {
		part.page.inFlight = true
		part.page.job.pagesInFlight++
	}
	c.state.Txn(b.class, b.compares, b.ops, func(outcome stateclient.TxnOutcome, failed []string, _ uint64) {
		c.handleBatchOutcome(b, outcome, failed)
	})
}

// handleBatchOutcome handles the outcome of a batch; failed holds the keys whose compares
// failed.
func (c *Core) handleBatchOutcome(b *txnBatch, outcome stateclient.TxnOutcome, failed []string) {
	if b.chargesQuota {
		b.team.inFlight = false
	}
	if outcome == stateclient.Conflict {
		c.Stats.Conflicts++
	}
	for _, part := range b.pages {
		part.page.inFlight = false
		part.page.job.pagesInFlight--
		if outcome == stateclient.Committed {
			c.batchCommitted(part)
		} else {
			c.batchFailed(part, outcome, failed)
		}
	}
}

// batchCommitted handles a page's transitions that were committed: it cancels the reservations
// of placed tasks, offers freed machines to queued tasks, and queues released tasks again.
func (c *Core) batchCommitted(part pageChanges) {
	r := part.page.job
	first := part.page.firstTask
	for _, transition := range part.included {
		if transition.placement {
			c.unreserve(r, first+transition.index)
		}
	}
	for _, transition := range part.included {
		if transition.placement {
			c.Stats.Placements++
			continue
		}
		c.Stats.Completions++
		c.offerFreedMachine(transition.machine)
		if c.verbose {
			c.traceEnd(losses.Ended, r, first+transition.index, transition)
		}
		if !transition.done {
			c.requeueTask(r, first+transition.index)
		}
	}
}

// Backoff before a page is written again after its transaction failed: a delay plus random
// jitter, in seconds. It is divided by quotaRetryDivisor if only the team's record conflicted.
const (
	pageRetryDelay      = 0.05
	pageRetryJitter     = 0.1
	quotaRetryDivisor   = 3
	minPageRetryBackoff = time.Millisecond
)

// batchFailed handles a page's transitions whose transaction failed. It queues releases again.
// It gives up placements, so that their tasks are placed anew, unless only the team's record
// conflicted: such a transaction was certainly not executed, and the chosen machines are as
// good as before, so its placements are queued again. The page is written again after a
// backoff, in which the mirror catches up with the conflicting write, or shows whether a
// transaction with unknown outcome was executed.
func (c *Core) batchFailed(part pageChanges, outcome stateclient.TxnOutcome, keys []string) {
	p := part.page
	c.log.Debug("transaction failed", "job", p.jobID, "page", p.number, "outcome", int(outcome), "failed", keys)
	onlyQuota := outcome == stateclient.Conflict && len(keys) == 1 && strings.HasPrefix(keys[0], keyTeam)
	backoff := seconds(pageRetryDelay + pageRetryJitter*c.random.Float64())
	if onlyQuota {
		backoff /= quotaRetryDivisor
	}
	p.retryAt = c.now + max(backoff, minPageRetryBackoff)
	var retried []taskTransition
	for _, transition := range part.included {
		if transition.placement && !onlyQuota {
			c.unreserve(p.job, p.firstTask+transition.index)
			continue
		}
		retried = append(retried, transition)
	}
	if len(retried) > 0 {
		p.queue = append(retried, p.queue...)
		c.writer.addDirty(p)
	}
	if isGang(p.job) && !onlyQuota {
		c.dropGangPlacements(p.job)
	}
}

// ignoreOutcome is the callback of transactions whose outcome needs no handling: the mirror
// shows a committed change, and a failed one is proposed again when it is next due.
func ignoreOutcome(stateclient.TxnOutcome, []string, uint64) {}
