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

// page is a run of a job's tasks, stored under one key. A page that does not exist in the
// state service holds pending tasks only.
type page struct {
	job           *jobRecord
	jobID         string
	number        int
	firstTask     int // index of its first task in the job
	size          int // in tasks
	revision      uint64
	tasks         []job.Task // nil once released
	pending       int        // pending tasks
	done          int        // finished tasks, once released
	queue         []taskTransition
	queuedSince   time.Duration // when the first transition of the queue was proposed
	inFlight      bool          // a transaction that writes it has not been answered
	retryAt       time.Duration // not written before
	foldRequested bool          // to be written to take in what the completion log holds
}

// orphanPage is a page that was read before its job.
type orphanPage struct {
	data     json.RawMessage
	revision uint64
}

// pageName returns the name of a page: its key without the prefix of pages.
func pageName(jobID string, number int) string { return jobID + "/" + strconv.Itoa(number) }

// pageKey returns the key of a page in the state service.
func pageKey(jobID string, number int) string { return keyPage + pageName(jobID, number) }

// newPages returns the pages of a job of which nothing is stored yet.
func newPages(r *jobRecord, tasksPerPage int) []*page {
	var pages []*page
	for first := 0; first < r.spec.Tasks; first += tasksPerPage {
		size := min(tasksPerPage, r.spec.Tasks-first)
		pages = append(pages, &page{
			job:       r,
			jobID:     r.spec.ID,
			number:    len(pages),
			firstTask: first,
			size:      size,
			tasks:     make([]job.Task, size),
			pending:   size,
		})
	}
	return pages
}

func (p *page) name() string { return pageName(p.jobID, p.number) }
func (p *page) key() string  { return pageKey(p.jobID, p.number) }

// taskKey returns the key of a task of the page.
func (p *page) taskKey(index int) taskKey { return taskKey{job: p.jobID, index: p.firstTask + index} }

// reallocateTasks makes a page ready to be read again. Guards against a job's end that is
// read ahead of the watch: placements of before are then still to come.
func (p *page) reallocateTasks() {
	if p.tasks != nil {
		return
	}
	p.tasks = make([]job.Task, p.size)
	p.pending = p.size
	p.job.finished -= p.done
	p.done = 0
}

// dropTasks forgets the tasks of a page of a job that is over, unless one is bound:
// memory must not grow with all the tasks there ever were. What is reported to users
// needs the counts alone.
func (c *Core) dropTasks(p *page) {
	switch {
	case c.jobs.allTasksCompleted(p.job):
		c.completeBoundTasks(p)
		c.writer.completions.log.SettleJob(p.jobID)
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

// applyPage applies a change of a page. The name is that of the key, job/number.
func (c *Core) applyPage(name string, data json.RawMessage, revision uint64) {
	id, number, _ := strings.Cut(name, "/")
	r := c.jobs.byID[id]
	if r == nil {
		// A copy, since data is a part of the whole response.
		c.jobs.orphanPages[name] = orphanPage{data: bytes.Clone(data), revision: revision}
		return
	}
	k, err := strconv.Atoi(number)
	if err != nil || k < 0 || k >= len(r.pages) || data == nil {
		return
	}
	p := r.pages[k]
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
}

// applyTaskChanges applies what is new in a page to the mirror and its indexes.
func (c *Core) applyTaskChanges(p *page, changes []pagecodec.Change) {
	boundRevision := p.revision // each change of a page comes, but while the records are read anew
	if c.state.Rescanning() {
		boundRevision = 0
	}
	var failed []taskFailure
	for i := range changes {
		index := changes[i].Index
		task := &changes[i].Task
		if task.Phase == job.Bound {
			task.Machine = c.machine(task.Machine).id // one string for each machine
		}
		old := p.tasks[index]
		if task.Failures > old.Failures {
			failed = append(failed, taskFailure{was: old, failures: task.Failures})
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
	// Failures are judged once all of the page is in the mirror, the last task's first.
	for _, failure := range slices.Backward(failed) {
		c.recordFailure(p.job, failure)
	}
}

// encodePage encodes a page so that every controller can read it.
func (c *Core) encodePage(tasks []job.Task) json.RawMessage {
	if c.allPeersRead(compactPageFormat) {
		return pagecodec.EncodeCompact(tasks)
	}
	return pagecodec.EncodeList(tasks)
}
