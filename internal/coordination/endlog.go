package coordination

import (
	"encoding/json"
	"strconv"
	"time"

	"silvergate/internal/completionlog"
	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// This file is the seam to internal/completionlog: tasks of arrays that have completed are written
// to a log, many in one record, and their pages take them in later.

// pageWriter is what is to be written of tasks: pages with changes, and completed tasks for
// the log of endings.
type pageWriter struct {
	dirtyPages  map[*page]bool
	nextFlushAt time.Duration // dirty pages are not looked at before
	needsTick   bool          // the last flush left something to the clock

	completions      *completionlog.Log
	unlogged         []completionlog.Completion // to be written
	unloggedSince    time.Duration              // of the first of them
	logQueued        map[taskKey]bool           // to be written, or being written
	logWriteInFlight bool
	logSequence      int
	changeBuffer     []taskChange // reused by applyPage alone
	nextFoldAt       time.Duration
}

func newPageWriter() pageWriter {
	return pageWriter{dirtyPages: map[*page]bool{}, completions: completionlog.NewLog(), logQueued: map[taskKey]bool{}}
}

// Ratios of the log to the workers' report period.
const (
	completionBatchDelay = 0.1 // how long endings wait for others
	foldAfter            = 6   // after how long pages take in what is in the log
)

// entryBytes is about what an entry takes beside its names; recordShare is the share of a
// value's limit that a record fills.
const (
	entryBytes  = 4
	recordShare = 0.9
)

// goesToCompletionLog tells whether an ending goes to the log: of a task that has completed, in an array of a
// team without limits. A limited team's charge is released with the page.
func (c *Core) goesToCompletionLog(r *jobRecord, ch taskTransition) bool {
	return c.cfg.Operator.EndingLog && !ch.placement && ch.proof == fencing.Ended && ch.done && !r.final() && c.usesCompletionLog(r) && c.allPeersRead(completionLogFormat)
}

// usesCompletionLog tells whether a job's tasks may be in the log.
func (c *Core) usesCompletionLog(r *jobRecord) bool {
	tm := c.jobs.teams[r.spec.Team]
	return r.spec.Shape == job.Array && tm != nil && !hasQuota(tm)
}

// allTasksCompleted tells whether a job's tasks have all completed, whatever its pages bind: they were
// in the log when it was called done.
func (c *Core) allTasksCompleted(r *jobRecord) bool {
	return r.status == job.Done && c.usesCompletionLog(r)
}

// logCompletion has an ending written with the next record of the log.
func (c *Core) logCompletion(r *jobRecord, index int, ch taskTransition) {
	w := &c.writer
	k := taskKey{r.spec.ID, index}
	if w.logQueued[k] {
		return
	}
	w.logQueued[k] = true
	if len(w.unlogged) == 0 {
		w.unloggedSince = c.now
	}
	w.unlogged = append(w.unlogged, completionlog.Completion{Task: completionlog.Task{Job: k.job, Index: k.index}, Attempt: ch.attempt, Machine: ch.machine, Epoch: ch.epoch})
}

// flushCompletions writes a record of the log when endings have waited for long enough.
func (c *Core) flushCompletions() {
	w := &c.writer
	if len(w.unlogged) == 0 || w.logWriteInFlight || !c.state.Loaded() || c.now-w.unloggedSince < seconds(completionBatchDelay*c.cfg.Facts.Workers.Report) || !c.state.CanSend(ratelimit.OtherWork, 1) {
		return
	}
	taken, record := c.fillCompletionRecord()
	w.unlogged, w.unloggedSince, w.logWriteInFlight = w.unlogged[len(taken):], c.now, true
	w.logSequence++
	key := keyEndings + c.cfg.Node + "/" + strconv.FormatInt(c.incarnation, 10) + "-" + strconv.Itoa(w.logSequence)
	c.state.Txn(ratelimit.OtherWork, []protocol.Compare{{Key: key}}, []protocol.Op{{Put: key, Value: record}}, func(o stateclient.TxnOutcome, _ []string, _ uint64) {
		w.logWriteInFlight = false
		if o != stateclient.Committed { // again, under another key: an entry that is there twice is the same entry
			w.unlogged = append(taken, w.unlogged...)
			return
		}
		for _, e := range taken {
			delete(w.logQueued, taskKey{e.Job, e.Index})
			c.Stats.Completions++
		}
	})
}

// fillCompletionRecord takes as many endings as a value may hold.
func (c *Core) fillCompletionRecord() (taken []completionlog.Completion, record json.RawMessage) {
	var r completionlog.Record
	room := int(recordShare * c.cfg.Facts.State.ValueKB * 1024)
	for _, e := range c.writer.unlogged {
		s := e.String()
		if room -= len(s) + entryBytes; room < 0 && len(taken) > 0 {
			break
		}
		taken = append(taken, e)
		r.Completions = append(r.Completions, s)
	}
	return taken, encode(r)
}

// applyCompletionRecord takes a record of the log.
func (c *Core) applyCompletionRecord(name string, data json.RawMessage) {
	if data == nil {
		c.writer.completions.Remove(name)
		return
	}
	var r completionlog.Record
	if !decode(c.log, name, data, &r) {
		return
	}
	for _, e := range c.writer.completions.Add(name, r, c.now) {
		c.applyCompletion(e)
	}
}

// applyCompletion takes that an attempt has completed, if its page binds it.
func (c *Core) applyCompletion(e completionlog.Completion) {
	r := c.jobs.byID[e.Job]
	if r == nil {
		return // its records come later
	}
	n := c.tasksPerPage()
	if e.Index >= r.spec.Tasks || r.status == job.Done || r.pages[e.Index/n].tasks == nil {
		c.writer.completions.Settle(e.Task)
		return
	}
	p, k := r.pages[e.Index/n], taskKey{e.Job, e.Index}
	t := &p.tasks[e.Index%n]
	switch {
	case bindsAttempt(t, e):
		c.completeTask(p, k, t)
	case t.Phase == job.Finished || t.Attempt > e.Attempt || t.Phase == job.Pending && t.Attempt == e.Attempt:
		c.writer.completions.Settle(e.Task) // taken in, or another change was ahead of it
	}
}

// completeTask has the mirror show that a bound task has completed.
func (c *Core) completeTask(p *page, k taskKey, t *job.Task) {
	old := *t
	c.unindexTask(p.job, k, &old)
	*t = completedTask(&old)
	c.indexTask(p.job, k, t, 0)
	c.machineFreed(old.Machine)
}

// completeAll is completeTask for all that a page of a job binds that was called done. A record of
// the log may have come and gone while the records were read anew.
func (c *Core) completeAll(p *page) {
	for i := range p.tasks {
		if t := &p.tasks[i]; t.Phase == job.Bound {
			c.completeTask(p, taskKey{p.jobID, p.number*c.tasksPerPage() + i}, t)
		}
	}
}

// bindsAttempt tells whether a task is bound as an ending names it.
func bindsAttempt(t *job.Task, e completionlog.Completion) bool {
	return t.Phase == job.Bound && t.Attempt == e.Attempt && t.Epoch == e.Epoch && t.Machine == e.Machine
}

// completedTask is a bound task that has completed.
func completedTask(t *job.Task) job.Task {
	return job.Task{Phase: job.Finished, Attempt: t.Attempt, Failures: t.Failures}
}

// mergeCompletions looks at what has changed in a page beside the log: what the page binds, and the log
// says has completed, has; and what the page shows otherwise, it has taken in.
func (c *Core) mergeCompletions(p *page, base int, changes []taskChange) []taskChange {
	logged, over := c.writer.completions.TasksOf(p.jobID), c.allTasksCompleted(p.job)
	if len(logged) == 0 && !over {
		return changes
	}
	binds := map[int]bool{}
	kept := changes[:0]
	for _, ch := range changes {
		t := &ch.task
		if t.Phase == job.Bound && (over || c.writer.completions.Has(completionlog.Completion{Task: completionlog.Task{Job: p.jobID, Index: base + ch.index}, Attempt: t.Attempt, Machine: t.Machine, Epoch: t.Epoch})) {
			binds[base+ch.index] = true
			if ch.task = completedTask(t); p.tasks[ch.index] == ch.task {
				continue
			}
		}
		kept = append(kept, ch)
	}
	for _, index := range logged {
		if at := index - base; at >= 0 && at < len(p.tasks) && !binds[index] && !c.pageBehindLog(p, at, kept) {
			c.writer.completions.Settle(completionlog.Task{Job: p.jobID, Index: index})
		}
	}
	return kept
}

// pageBehindLog tells whether the page is behind the log: it will bind the attempt that the log names.
func (c *Core) pageBehindLog(p *page, at int, changes []taskChange) bool {
	t := p.tasks[at]
	for i := range changes {
		if changes[i].index == at {
			t = changes[i].task
		}
	}
	return t.Phase != job.Finished && c.writer.completions.HasLaterAttempt(completionlog.Task{Job: p.jobID, Index: p.number*c.tasksPerPage() + at}, t.Attempt)
}

// hasUnfoldedCompletions tells whether the log holds an ending that a page has not taken in.
func (c *Core) hasUnfoldedCompletions(p *page) bool {
	base := p.number * c.tasksPerPage()
	for _, index := range c.writer.completions.TasksOf(p.jobID) {
		if index >= base && index < base+len(p.tasks) {
			return true
		}
	}
	return false
}

// foldCompletions has pages written that have not taken in for a while what the log holds, by who
// keeps their jobs, and drops the records that are spent.
func (c *Core) foldCompletions() {
	w := &c.writer
	if w.completions.Len() == 0 || c.now < w.nextFoldAt || !c.mirrorFresh() {
		return
	}
	w.nextFoldAt = c.now + seconds(c.cfg.Facts.Workers.Report/2)
	before := c.now - seconds(foldAfter*c.cfg.Facts.Workers.Report)
	if c.hasPeerBelowFormat(completionLogFormat) {
		before = c.now // it sees the pages alone
	}
	for _, task := range w.completions.OpenBefore(before) {
		r := c.jobs.byID[task.Job]
		if r == nil || r.status == job.Done || c.responsibleController(r.owner) != c.cfg.Node {
			continue
		}
		if p := r.pages[task.Index/c.tasksPerPage()]; !p.foldRequested && p.tasks != nil {
			p.foldRequested = true
			if len(p.queue) == 0 {
				p.queuedSince = c.now
			}
			w.dirtyPages[p] = true
		}
	}
	if c.isLeader() {
		c.dropSettledRecords()
	}
}

// dropSettledRecords drops records of the log that no page needs any more.
func (c *Core) dropSettledRecords() {
	var compares []protocol.Compare
	var ops []protocol.Op
	for _, name := range c.writer.completions.Settled() {
		key := keyEndings + name
		if revision := c.state.ModRevision(key); revision != 0 && len(ops) < c.cfg.Facts.State.TxnOps {
			compares = append(compares, protocol.Compare{Key: key, ModRevision: revision})
			ops = append(ops, protocol.Op{Delete: key})
		}
	}
	if len(ops) > 0 {
		c.state.Txn(ratelimit.Background, compares, ops, func(stateclient.TxnOutcome, []string, uint64) {})
	}
}
