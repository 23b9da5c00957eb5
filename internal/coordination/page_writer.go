package coordination

import (
	"cmp"
	"slices"
	"time"

	"silvergate/internal/coordination/pagecodec"
	"silvergate/internal/job"
	"silvergate/internal/ratelimit"
)

// pageWriter owns what is to be written of tasks: pages with queued transitions, and
// completed tasks for the completion log.
type pageWriter struct {
	dirtyPages   map[*page]bool
	nextFlushAt  time.Duration      // dirty pages are not looked at before
	needsTick    bool               // the last flush left something to the clock
	changeBuffer []pagecodec.Change // reused by applyPage alone
	completions  completionWriter
}

func newPageWriter() pageWriter {
	return pageWriter{dirtyPages: map[*page]bool{}, completions: newCompletionWriter()}
}

// addDirty has the next flush look at a page.
func (w *pageWriter) addDirty(p *page) { w.dirtyPages[p] = true }

// removeDirty takes a page out of those that flushes look at.
func (w *pageWriter) removeDirty(p *page) { delete(w.dirtyPages, p) }

// writablePages lists the pages that could be written now: production first, then
// those that have waited longest, so that under pressure each write carries as
// many changes as any.
func (w *pageWriter) writablePages(now time.Duration) []*page {
	var pages []*page
	for p := range w.dirtyPages {
		switch {
		case p.inFlight: // its response is awaited
		case now < p.retryAt:
			w.needsTick = true
		default:
			pages = append(pages, p)
		}
	}
	slices.SortFunc(pages, compareWriteOrder)
	return pages
}

// compareWriteOrder orders pages by who is written first.
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

// class returns the class of requests that write the page.
func (p *page) class() ratelimit.Class {
	if p.job.spec.Priority == job.Production {
		return ratelimit.UrgentWork
	}
	return ratelimit.OtherWork
}

// maxOpsPerPage is what a page alone may change: itself, its team and its job.
const maxOpsPerPage = 3

// flush sends transactions for pages that have changes and none in flight, as
// long as the rate limit allows. A transaction is built when it can be sent and not
// before: what comes up meanwhile goes with it, and it is conditional on the
// latest mirror. A team's record is in one transaction of ours at a time.
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
		if denied[class] || p.inFlight || !w.dirtyPages[p] { // it went with another
			continue
		}
		if !c.state.Reserve(class, maxOpsPerPage) {
			denied[class] = true
			w.needsTick = true
			// About when this controller's share of the rate allows the next request.
			w.nextFlushAt = c.now + seconds(float64(1+len(c.cfg.Peers))/c.cfg.Facts.State.RPS)
			continue
		}
		c.flushPages(p, pages[i+1:])
		c.state.Tick(c.now)
	}
}

// dropQueue gives up the transitions of a page of a job that is over.
func (c *Core) dropQueue(p *page) {
	for _, transition := range p.queue {
		if transition.placement {
			c.unreserve(p.job, p.firstTask+transition.index)
		}
	}
	p.queue = nil
	c.writer.removeDirty(p)
}
