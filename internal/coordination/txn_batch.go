package coordination

import (
	"strings"
	"time"

	"silvergate/internal/losses"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// txnBatch is one transaction on pages of tasks. Every placement and release of a
// limited team also changes the team's record, which is in one transaction at a
// time; so pages of one team and class go together, and a mass failure costs the
// state service about one change for each page instead of two.
type txnBatch struct {
	team            *team
	chargesQuota    bool // the team's record is changed too
	usage           usage
	comparedKeys    map[string]bool // keys that compares has already
	compares        []protocol.Compare
	ops             []protocol.Op
	size            int // of the transaction at the most, in bytes
	pages           []pageChanges
	yieldedMachines []string // machines whose room urgent work is to have
	class           ratelimit.Class
}

// pageChanges is what a batch takes of a page's queue.
type pageChanges struct {
	page     *page
	included []taskTransition
}

// Sizes of the parts of a transaction, at the most and about, and of the whole.
const (
	taskBytes    = 64
	jobBytes     = 1 << 10
	compareBytes = 64
	txnBytes     = 60 << 10 // of 64 KiB, the rest for the frame
)

// comparesPerOp is how many compares a transaction may have for each operation allowed.
const comparesPerOp = 4

// flushPages sends a page's changes and, where that saves changes, those of
// further pages of the same team and class.
func (c *Core) flushPages(first *page, more []*page) {
	b := c.newTxnBatch(first)
	if first.tasks != nil && b.chargesQuota && b.team.inFlight {
		return
	}
	c.addPage(b, first)
	if b.chargesQuota && len(b.pages) > 0 {
		c.addFurtherPages(b, first, more)
	}
	if len(b.pages) > 0 {
		c.commit(b)
	}
	for _, id := range b.yieldedMachines {
		c.machineFreed(id)
	}
}

// newTxnBatch returns an empty batch for pages that go with the one given.
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

// addFurtherPages adds pages of the same team and class to a batch, until one does not fit.
func (c *Core) addFurtherPages(b *txnBatch, first *page, more []*page) {
	jobs := map[*jobRecord]bool{first.job: true}
	for _, p := range more {
		if p.class() != b.class || p.job.spec.Team != first.job.spec.Team || p.tasks == nil || p.inFlight {
			continue
		}
		// One page of a job at a time: its zones and its end are judged
		// with the other pages as the mirror has them.
		if jobs[p.job] {
			continue
		}
		if !c.fitsBatch(b, p) || !c.state.CanSend(b.class, len(b.ops)+maxOpsPerPage) {
			return
		}
		jobs[p.job] = true
		c.addPage(b, p)
	}
}

// fitsBatch reports whether a page's changes fit into the transaction.
func (c *Core) fitsBatch(b *txnBatch, p *page) bool {
	maxOps := c.cfg.Facts.State.TxnOps
	compares := 2 + 2*len(p.queue) // its job and itself, a claim and a drain for each task
	if len(b.ops)+maxOpsPerPage > maxOps || len(b.compares)+compares+1 > comparesPerOp*maxOps {
		return false
	}
	return b.size+len(p.tasks)*taskBytes+jobBytes+compares*compareBytes <= txnBytes
}

// commit sends a batch.
func (c *Core) commit(b *txnBatch) {
	if b.chargesQuota {
		key := keyTeam + b.team.cfg.Name
		b.compares = append(b.compares, protocol.Compare{Key: key, ModRevision: b.team.revision})
		b.ops = append(b.ops, protocol.Op{Put: key, Value: encode(b.usage)})
		b.team.inFlight = true
	}
	for _, part := range b.pages {
		part.page.inFlight = true
	}
	c.state.Txn(b.class, b.compares, b.ops, func(outcome stateclient.TxnOutcome, failed []string, _ uint64) {
		c.handleBatchOutcome(b, outcome, failed)
	})
}

// handleBatchOutcome takes the outcome of a batch, with the keys whose compares failed.
func (c *Core) handleBatchOutcome(b *txnBatch, outcome stateclient.TxnOutcome, failed []string) {
	if b.chargesQuota {
		b.team.inFlight = false
	}
	if outcome == stateclient.Conflict {
		c.Stats.Conflicts++
	}
	for _, part := range b.pages {
		part.page.inFlight = false
		if outcome == stateclient.Committed {
			c.batchCommitted(part)
		} else {
			c.batchFailed(part, outcome, failed)
		}
	}
}

// batchCommitted takes up what a transaction has changed.
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
		c.machineFreed(transition.machine)
		if c.verbose {
			c.traceEnding(losses.Ended, r, first+transition.index, transition)
		}
		if !transition.done {
			c.requeueTask(r, first+transition.index)
		}
	}
}

// The wait before a page is written again after its transaction failed: a delay with random
// jitter, in seconds. After a conflict on the team's record alone it is divided.
const (
	pageRetryDelay      = 0.05
	pageRetryJitter     = 0.1
	quotaRetryDivisor   = 3
	minPageRetryBackoff = time.Millisecond
)

// batchFailed has releases proposed again. Placements look for a place again, unless it
// was only the team's record that another was ahead with: what was refused for
// that was certainly not done, and the place is as good as before. The mirror needs
// a moment to catch up with whoever was faster, and an unknown outcome shows in it.
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
}

// ignoreOutcome is for transactions whose outcome changes nothing here: the mirror shows what
// was committed, and what was not is proposed again when it is next due.
func ignoreOutcome(stateclient.TxnOutcome, []string, uint64) {}
