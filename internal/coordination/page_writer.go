package coordination

import (
	"cmp"
	"slices"
	"time"

	"silvergate/internal/coordination/pagecodec"
	"silvergate/internal/job"
	"silvergate/internal/ratelimit"
)

// pageWriter holds the pending writes of tasks: pages with queued transitions, and completed
// tasks for the completion log.
type pageWriter struct {
	dirtyPages   map[*page]bool
	nextFlushAt  time.Duration      // dirty pages are not written before this time
	needsTick    bool               // the last flush left work that has to wait
	changeBuffer []pagecodec.Change // reused between calls of applyPage, used nowhere else
	completions  completionWriter
}

func newPageWriter() pageWriter {
	return pageWriter{dirtyPages: map[*page]bool{}, completions: newCompletionWriter()}
}

// addDirty marks a page for the next flush.
func (w *pageWriter) addDirty(p *page) { w.dirtyPages[p] = true }

// removeDirty unmarks a page, so that flushes skip it.
func (w *pageWriter) removeDirty(p *page) { delete(w.dirtyPages, p) }

// writablePages returns the dirty pages that may be written now: those of production jobs
// first, then by waiting time, the longest first. A page that waits collects transitions, so
// that under load each write carries many of them.
func (w *pageWriter) writablePages(now time.Duration) []*page {
	var pages []*page
	for p := range w.dirtyPages {
		switch {
		case p.inFlight: // until its response arrives
		case now < p.retryAt:
			w.needsTick = true
		default:
			pages = append(pages, p)
		}
	}
	slices.SortFunc(pages, compareWriteOrder)
	return pages
}

// compareWriteOrder orders pages by the order in which they are written.
func compareWriteOrder(a, b *page) int {
	switch classA, classB := a.class(), b.class(); {
	case classA != classB:
		return cmp.Compare(classA, classB)
	case a.queuedSince != b.queuedSince:
		return cmp.Compare(a.queuedSince, b.queuedSince)
	case a.job != b.job:
		return compareUrgency(a.job, b.job)
	}
	return cmp.Compare(a.number, b.number)
}

// class returns the rate limit class of requests that write the page.
func (p *page) class() ratelimit.Class {
	if p.job.spec.Priority == job.Production {
		return ratelimit.UrgentWork
	}
	return ratelimit.OtherWork
}

// writeBlocksOthers reports whether a transaction in flight would conflict with one that writes another
// of the job's pages: it rewrites the job's record.
func (c *Core) writeBlocksOthers(r *jobRecord) bool {
	return r.pagesInFlight > 0 && c.zonesSpanPages(r)
}

// zonesSpanPages reports whether the zones allowed for a task depend on the job's tasks on other pages.
// Rewriting the job's record then makes concurrent placements on different pages conflict.
func (c *Core) zonesSpanPages(r *jobRecord) bool {
	return r.spec.Tasks > c.tasksPerPage() && hasZoneConstraint(r)
}

// maxOpsPerPage is the number of records that one page may write: its own, its team's and
// its job's.
const maxOpsPerPage = 3

// flush sends transactions for pages that have changes and no transaction in flight, as
// long as the rate limit allows. A transaction is built only when it can be sent: it then
// includes the changes proposed meanwhile, and is conditional on the latest mirror. For each
// team, this controller has at most one transaction in flight that writes the team's record.
func (c *Core) flush() {
	c.flushCompletions()
	w := &c.writer
	tooEarly := len(w.dirtyPages) > 0 && c.now < w.nextFlushAt
	w.needsTick = w.completions.pending() || tooEarly
	if tooEarly {
		return
	}
	c.state.ReleaseReservations()
	if len(w.dirtyPages) == 0 || !c.state.Loaded() {
		return
	}
	var denied [ratelimit.NumClasses]bool
	pages := w.writablePages(c.now)
	for i, p := range pages {
		class := p.class()
		if denied[class] || p.inFlight || !w.dirtyPages[p] { // written with another page's transaction
			continue
		}
		if c.writeBlocksOthers(p.job) {
			continue
		}
		if !c.state.Reserve(class, maxOpsPerPage) {
			denied[class] = true
			w.needsTick = true
			// About the time at which this controller's share of the rate allows the next request.
			w.nextFlushAt = c.now + seconds(float64(1+len(c.cfg.Peers))/c.cfg.Facts.State.RPS)
			continue
		}
		c.flushPages(p, pages[i+1:])
		c.state.Tick(c.now)
	}
}

// unreserveQueued cancels the reservations of the placements that are queued for a page.
func (c *Core) unreserveQueued(p *page) {
	for _, transition := range p.queue {
		if transition.placement {
			c.unreserve(p.job, p.firstTask+transition.index)
		}
	}
}

// dropQueue discards the queued transitions of a page whose tasks were dropped from memory.
func (c *Core) dropQueue(p *page) {
	c.unreserveQueued(p)
	p.queue = nil
	c.writer.removeDirty(p)
}
