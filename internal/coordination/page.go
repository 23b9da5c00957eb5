package coordination

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"silvergate/internal/coordination/pagecodec"
	"silvergate/internal/job"
)

// page is a range of consecutive tasks of a job, stored under one key. If the state service
// has no record of a page, all of its tasks are pending.
type page struct {
	job           *jobRecord
	jobID         string
	number        int
	firstTask     int // index of its first task in the job
	size          int // in tasks
	revision      uint64
	tasks         []job.Task // nil once dropped, see dropTasks
	pending       int        // pending tasks
	done          int        // number of finished tasks, set when tasks is dropped
	queue         []taskTransition
	queuedSince   time.Duration // when its first transition was queued or, later, when addPage last took transitions from the queue
	inFlight      bool          // a transaction that writes it has not been answered
	retryAt       time.Duration // it is not written before this time
	foldRequested bool          // it is to be written in order to include completions from the log
}

// orphanPage is the record of a page that was read before its job's record.
type orphanPage struct {
	name     string
	data     json.RawMessage
	revision uint64
}

// pageName returns the name of a page: its key without the prefix keyPage.
func pageName(jobID string, number int) string { return jobID + "/" + strconv.Itoa(number) }

// pageKey returns the key of a page in the state service.
func pageKey(jobID string, number int) string { return keyPage + pageName(jobID, number) }

// newPage returns a page of a job, with all tasks pending. If the job is final, the page's tasks are
// not allocated.
func newPage(r *jobRecord, number, tasksPerPage int) *page {
	first := number * tasksPerPage
	p := &page{
		job:       r,
		jobID:     r.spec.ID,
		number:    number,
		firstTask: first,
		size:      min(tasksPerPage, r.spec.Tasks-first),
	}
	if !r.final() {
		p.reallocateTasks()
	}
	return p
}

func (p *page) key() string { return pageKey(p.jobID, p.number) }

// taskKey returns the key of a task of the page.
func (p *page) taskKey(index int) taskKey { return taskKey{job: p.jobID, index: p.firstTask + index} }

// reallocateTasks allocates the tasks of a page again if they were dropped, so that its record can
// be applied. Guards against a final job status that is read before the watch reports it: the
// watch then still has to deliver placements that were committed earlier.
func (p *page) reallocateTasks() {
	if p.tasks != nil {
		return
	}
	p.tasks = make([]job.Task, p.size)
	p.pending = p.size
	p.job.finished -= p.done
	p.done = 0
}

// dropFinishedTasks frees the memory of the tasks of an open job's page if all of them have
// finished: they never change again, and the record is read anew should it do so.
func (c *Core) dropFinishedTasks(p *page) {
	unfinished := func(t job.Task) bool { return t.Phase != job.Finished }
	if p.pending == 0 && len(p.queue) == 0 && !slices.ContainsFunc(p.tasks, unfinished) {
		c.dropTasks(p)
	}
}

// dropTasks frees the memory of the tasks of a page whose job is final or whose tasks have all
// finished, unless one of them is bound or has an open completion in the log: memory must not grow
// with the number of tasks ever submitted. Answers to users need only the counts.
func (c *Core) dropTasks(p *page) {
	switch {
	case c.jobs.allTasksCompleted(p.job):
		c.completeBoundTasks(p)
		c.writer.completions.log.RemoveJob(p.jobID)
	case c.writer.completions.hasCompletionFor(p):
		return
	}
	finished := 0
	for i := range p.tasks {
		switch p.tasks[i].Phase {
		case job.Bound:
			return
		case job.Finished:
			finished++
		}
	}
	if p.tasks != nil {
		p.tasks = nil
		p.pending = 0
		p.done = finished
	}
}

// applyPage applies a change of a page's record; name is the page's name, job/number.
func (c *Core) applyPage(name string, data json.RawMessage, revision uint64) {
	id, number, _ := strings.Cut(name, "/")
	r := c.jobs.byID[id]
	if r == nil {
		// A copy, since data is a slice of the response's buffer.
		c.jobs.addOrphanPage(id, orphanPage{name: name, data: bytes.Clone(data), revision: revision})
		return
	}
	k, err := strconv.Atoi(number)
	if err != nil || k < 0 || k >= r.pageCount(c.tasksPerPage()) || data == nil {
		return
	}
	p := r.ensurePage(k, c.tasksPerPage())
	p.reallocateTasks()
	if r.final() {
		defer c.dropTasks(p)
	}
	changes, err := pagecodec.Decode(data, p.tasks, c.writer.changeBuffer[:0])
	if err != nil {
		c.log.Error("unreadable record", "key", name, "error", err)
		return
	}
	changes = c.mergeCompletions(p, changes)
	c.writer.changeBuffer = changes
	p.revision = revision
	c.applyTaskChanges(p, changes)
	if !r.final() && len(changes) > 0 {
		c.dropFinishedTasks(p)
	}
}

// applyTaskChanges applies the changed tasks of a page to the mirror and its indexes.
func (c *Core) applyTaskChanges(p *page, changes []pagecodec.Change) {
	// The watch delivers every change of a page, so a new binding was made at this revision. A rescan
	// reads only the latest records, so the binding may be older and its revision is unknown.
	boundRevision := p.revision
	if c.state.Rescanning() {
		boundRevision = 0
	}
	var failed []taskFailure
	for i := range changes {
		index := changes[i].Index
		task := &changes[i].Task
		if task.Phase == job.Bound {
			task.Machine = c.machine(task.Machine).id // share one string per machine
		}
		old := p.tasks[index]
		if task.Failures > old.Failures {
			failed = append(failed, taskFailure{previous: old, failures: task.Failures})
		}
		c.unindexTask(p.job, p.taskKey(index), &old)
		p.tasks[index] = *task
		c.indexTask(p.job, p.taskKey(index), task, boundRevision)
		if old.Phase == job.Pending {
			p.pending--
		}
		if task.Phase == job.Pending {
			p.pending++
		}
	}
	// Failures are recorded once the whole page is in the mirror, the last task's first.
	for _, failure := range slices.Backward(failed) {
		c.recordFailure(p.job, failure)
	}
}

// encodePage encodes a page in the latest form that all controllers are known to read.
func (c *Core) encodePage(tasks []job.Task) json.RawMessage {
	if c.allPeersRead(compactPageFormat) {
		return pagecodec.EncodeCompact(tasks)
	}
	return pagecodec.EncodeList(tasks)
}
