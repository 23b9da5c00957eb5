package coordination

import (
	"iter"
	"slices"

	"silvergate/internal/job"
)

// A job has as many pages as its tasks need, but only the pages that have a record or queued
// transitions are in memory: jobRecord.pages holds these, ordered by number. All tasks of the other
// pages were never started. So the memory that a job takes follows what was placed of it, and not
// the number of its tasks.

// neverStarted is the state of the tasks of pages that are not in memory. It is shared and must not
// be changed.
var neverStarted job.Task

// finishedTask is the state of the tasks of an open job's page whose tasks were dropped, as all of
// them have finished. It is shared and must not be changed.
var finishedTask = job.Task{Phase: job.Finished}

// comparePageNumber orders a page relative to a page number.
func comparePageNumber(p *page, number int) int { return p.number - number }

// findPage returns a page of the job, or nil if it is not in memory.
func (r *jobRecord) findPage(number int) *page {
	at, found := slices.BinarySearchFunc(r.pages, number, comparePageNumber)
	if !found {
		return nil
	}
	return r.pages[at]
}

// ensurePage returns a page of the job, and creates it if it is not in memory. The list of pages is
// replaced, not changed, so that a loop over the pages may create some.
func (r *jobRecord) ensurePage(number, tasksPerPage int) *page {
	at, found := slices.BinarySearchFunc(r.pages, number, comparePageNumber)
	if found {
		return r.pages[at]
	}
	p := newPage(r, number, tasksPerPage)
	pages := make([]*page, 0, len(r.pages)+1)
	pages = append(pages, r.pages[:at]...)
	pages = append(pages, p)
	r.pages = append(pages, r.pages[at:]...)
	return p
}

// pageCount returns the number of the job's pages, in memory or not.
func (r *jobRecord) pageCount(tasksPerPage int) int {
	return (r.spec.Tasks + tasksPerPage - 1) / tasksPerPage
}

// pageOf returns the page that holds a task of the job, and creates it if it is not in memory.
func (c *Core) pageOf(r *jobRecord, index int) *page {
	tasksPerPage := c.tasksPerPage()
	return r.ensurePage(index/tasksPerPage, tasksPerPage)
}

// findPageOf returns the page that holds a task of the job, or nil if it is not in memory.
func (c *Core) findPageOf(r *jobRecord, index int) *page {
	return r.findPage(index / c.tasksPerPage())
}

// task returns the job's task of an index, which callers must not change. It returns nil if the job
// has no such task, or if the job is final and the task is not in memory.
func (r *jobRecord) task(c *Core, index int) *job.Task {
	if index < 0 || index >= r.spec.Tasks {
		return nil
	}
	p := c.findPageOf(r, index)
	switch {
	case p != nil && p.tasks != nil:
		return &p.tasks[index-p.firstTask]
	case r.final():
		return nil
	case p != nil:
		return &finishedTask
	}
	return &neverStarted
}

// unplacedTasks returns how many tasks of a job are neither bound nor finished.
func (r *jobRecord) unplacedTasks() int { return r.spec.Tasks - r.bound - r.finished }

// pendingTasks yields the indexes of the job's pending tasks in ascending order. Pages may be
// created while it runs.
func (r *jobRecord) pendingTasks() iter.Seq[int] {
	return func(yield func(int) bool) {
		next := 0 // the first task that has not been looked at
		for _, p := range r.pages {
			if !yieldRange(next, p.firstTask, yield) || !p.yieldPending(yield) {
				return
			}
			next = p.firstTask + p.size
		}
		yieldRange(next, r.spec.Tasks, yield)
	}
}

// yieldRange yields the numbers from first up to end, and reports whether yield accepted all.
func yieldRange(first, end int, yield func(int) bool) bool {
	for i := first; i < end; i++ {
		if !yield(i) {
			return false
		}
	}
	return true
}

// yieldPending yields the indexes in the job of the page's pending tasks, and reports whether yield
// accepted all.
func (p *page) yieldPending(yield func(int) bool) bool {
	if p.pending == 0 {
		return true
	}
	for i := range p.tasks {
		if p.tasks[i].Phase == job.Pending && !yield(p.firstTask+i) {
			return false
		}
	}
	return true
}
