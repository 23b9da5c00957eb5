package coordination

import (
	"encoding/json"
	"strconv"
	"time"

	"silvergate/internal/completionlog"
	"silvergate/internal/coordination/pagecodec"
	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// This file connects the core to internal/completionlog: completed tasks of arrays are written
// to a log, many in one record, and their pages take them in later.

// completionWriter owns the mirrored completion log and what is to be written to it.
type completionWriter struct {
	log           *completionlog.Log
	unlogged      []completionlog.Completion // to be written
	unloggedSince time.Duration              // when the first of them was added
	queued        map[taskKey]bool           // to be written, or being written
	writeInFlight bool
	sequence      int           // number of the last record written
	nextFoldAt    time.Duration // pages are not made to take in the log before
}

func newCompletionWriter() completionWriter {
	return completionWriter{log: completionlog.NewLog(), queued: map[taskKey]bool{}}
}

// Ratios of the log's periods to the workers' heartbeat period.
const (
	completionBatchDelay = 0.1 // how long completions wait for others
	foldAfter            = 6   // after how long pages take in what is in the log
	foldPeriod           = 0.5 // time between two looks at what pages have not taken in
)

// completionOverhead is about what a completion takes in a record beside its text, in bytes;
// recordShare is the share of a value's limit that a record fills.
const (
	completionOverhead = 4
	recordShare        = 0.9
)

// completionOf names the attempt of a task as the log does.
func completionOf(k taskKey, t *job.Task) completionlog.Completion {
	return completionlog.Completion{
		Task:    completionlog.Task{Job: k.job, Index: k.index},
		Attempt: t.Attempt,
		Machine: t.Machine,
		Epoch:   t.Epoch,
	}
}

// add has a completion written with the next record.
func (w *completionWriter) add(now time.Duration, k taskKey, transition taskTransition) {
	if w.queued[k] {
		return
	}
	w.queued[k] = true
	if len(w.unlogged) == 0 {
		w.unloggedSince = now
	}
	w.unlogged = append(w.unlogged, completionlog.Completion{
		Task:    completionlog.Task{Job: k.job, Index: k.index},
		Attempt: transition.attempt,
		Machine: transition.machine,
		Epoch:   transition.epoch,
	})
}

// pending reports whether completions are to be written, or being written.
func (w *completionWriter) pending() bool { return len(w.queued) > 0 }

// due reports whether completions have waited for delay, and none are being written.
func (w *completionWriter) due(now, delay time.Duration) bool {
	return len(w.unlogged) > 0 && !w.writeInFlight && now-w.unloggedSince >= delay
}

// takeBatch takes as many completions as a record of at most maxBytes may hold, and at least one.
func (w *completionWriter) takeBatch(now time.Duration, maxBytes int) ([]completionlog.Completion, completionlog.Record) {
	var batch []completionlog.Completion
	var record completionlog.Record
	for _, completion := range w.unlogged {
		text := completion.String()
		maxBytes -= len(text) + completionOverhead
		if maxBytes < 0 && len(batch) > 0 {
			break
		}
		batch = append(batch, completion)
		record.Completions = append(record.Completions, text)
	}
	w.unlogged = w.unlogged[len(batch):]
	w.unloggedSince = now
	w.writeInFlight = true
	w.sequence++
	return batch, record
}

// hasCompletionFor reports whether the log holds a completion that the page has not taken in.
func (w *completionWriter) hasCompletionFor(p *page) bool {
	for _, index := range w.log.TasksOf(p.jobID) {
		if index >= p.firstTask && index < p.firstTask+len(p.tasks) {
			return true
		}
	}
	return false
}

// pageBehind reports whether a page is behind the log with a task: with the changes, it will
// still bind the attempt that the log names, or an earlier one.
func (w *completionWriter) pageBehind(p *page, index int, changes []pagecodec.Change) bool {
	task := p.tasks[index]
	for i := range changes {
		if changes[i].Index == index {
			task = changes[i].Task
		}
	}
	if task.Phase == job.Finished {
		return false
	}
	return w.log.HasLaterAttempt(completionlog.Task{Job: p.jobID, Index: p.firstTask + index}, task.Attempt)
}

// usesCompletionLog reports whether completed tasks of a job may be in the log: of arrays of
// teams without limits. A limited team's charge is released with the page.
func (t *jobTable) usesCompletionLog(r *jobRecord) bool {
	team := t.teamOf(r)
	return r.spec.Shape == job.Array && team != nil && !team.hasLimit()
}

// allTasksCompleted reports whether a job's tasks have all completed, whatever its pages bind:
// they were in the log when it was called done.
func (t *jobTable) allTasksCompleted(r *jobRecord) bool {
	return r.status == job.Done && t.usesCompletionLog(r)
}

// goesToCompletionLog reports whether a transition is written to the log, not with its page.
func (c *Core) goesToCompletionLog(r *jobRecord, transition taskTransition) bool {
	if !c.cfg.Operator.EndingLog || transition.placement {
		return false
	}
	if transition.proof != fencing.Ended || !transition.done || r.final() {
		return false
	}
	return c.jobs.usesCompletionLog(r) && c.allPeersRead(completionLogFormat)
}

// flushCompletions writes a record of the log when completions have waited for long enough.
func (c *Core) flushCompletions() {
	w := &c.writer.completions
	delay := seconds(completionBatchDelay * c.cfg.Facts.Workers.Report)
	if !w.due(c.now, delay) || !c.state.Loaded() || !c.state.CanSend(ratelimit.OtherWork, 1) {
		return
	}
	maxBytes := int(recordShare * c.cfg.Facts.State.ValueKB * 1024)
	batch, record := w.takeBatch(c.now, maxBytes)
	key := c.completionRecordKey(w.sequence)
	compares := []protocol.Compare{{Key: key}}
	ops := []protocol.Op{{Put: key, Value: encode(record)}}
	c.state.Txn(ratelimit.OtherWork, compares, ops, func(outcome stateclient.TxnOutcome, _ []string, _ uint64) {
		c.handleRecordOutcome(batch, outcome)
	})
}

// completionRecordKey returns the key of a record of the log: controllers, and processes of
// the same controller, never write the same.
func (c *Core) completionRecordKey(sequence int) string {
	return keyCompletions + c.cfg.Node + "/" + strconv.FormatInt(c.incarnation, 10) + "-" + strconv.Itoa(sequence)
}

// handleRecordOutcome takes the outcome of writing a record. What may not have been written is
// written again, under another key: a completion that is there twice is the same completion.
func (c *Core) handleRecordOutcome(batch []completionlog.Completion, outcome stateclient.TxnOutcome) {
	w := &c.writer.completions
	w.writeInFlight = false
	if outcome != stateclient.Committed {
		w.unlogged = append(batch, w.unlogged...)
		return
	}
	for _, completion := range batch {
		delete(w.queued, taskKey{job: completion.Job, index: completion.Index})
		c.Stats.Completions++
	}
}

// applyCompletionRecord applies a change of a record of the log.
func (c *Core) applyCompletionRecord(name string, data json.RawMessage) {
	log := c.writer.completions.log
	if data == nil {
		log.Remove(name)
		return
	}
	var record completionlog.Record
	if !decode(c.log, name, data, &record) {
		return
	}
	for _, completion := range log.Add(name, record, c.now) {
		c.applyCompletion(completion)
	}
}

// applyCompletion has the mirror show that an attempt has completed, if its page binds it.
func (c *Core) applyCompletion(completion completionlog.Completion) {
	r := c.jobs.byID[completion.Job]
	if r == nil {
		return // its records come later
	}
	log := c.writer.completions.log
	if completion.Index >= r.spec.Tasks || r.status == job.Done || c.pageOf(r, completion.Index).tasks == nil {
		log.Settle(completion.Task)
		return
	}
	p := c.pageOf(r, completion.Index)
	index := completion.Index - p.firstTask
	task := &p.tasks[index]
	switch {
	case bindsAttempt(task, completion):
		c.completeTask(p, index)
	case supersedes(task, completion):
		log.Settle(completion.Task)
	}
}

// bindsAttempt reports whether a task is bound with the attempt that a completion names.
func bindsAttempt(t *job.Task, completion completionlog.Completion) bool {
	return t.Phase == job.Bound && t.Attempt == completion.Attempt && t.Epoch == completion.Epoch && t.Machine == completion.Machine
}

// supersedes reports whether a task shows that its page has taken a completion in, or that
// another change was ahead of it.
func supersedes(t *job.Task, completion completionlog.Completion) bool {
	if t.Phase == job.Finished || t.Attempt > completion.Attempt {
		return true
	}
	return t.Phase == job.Pending && t.Attempt == completion.Attempt
}

// completeTask has the mirror show that a bound task of a page has completed.
func (c *Core) completeTask(p *page, index int) {
	k := p.taskKey(index)
	task := &p.tasks[index]
	old := *task
	c.unindexTask(p.job, k, &old)
	*task = completedTask(&old)
	c.indexTask(p.job, k, task, 0)
	c.machineFreed(old.Machine)
}

// completeBoundTasks is completeTask for all that a page binds of a job that was called done.
// A record of the log may have been added and removed while the records were reread.
func (c *Core) completeBoundTasks(p *page) {
	for i := range p.tasks {
		if p.tasks[i].Phase == job.Bound {
			c.completeTask(p, i)
		}
	}
}

// completedTask returns a bound task as it is once it has completed.
func completedTask(t *job.Task) job.Task {
	return job.Task{Phase: job.Finished, Attempt: t.Attempt, Failures: t.Failures}
}

// mergeCompletions merges the log into the changes of a page: what the page binds, and the log
// says has completed, has; and what the page shows otherwise, it has taken in. It returns
// the changes that remain, in the same memory.
func (c *Core) mergeCompletions(p *page, changes []pagecodec.Change) []pagecodec.Change {
	w := &c.writer.completions
	logged := w.log.TasksOf(p.jobID)
	jobCompleted := c.jobs.allTasksCompleted(p.job)
	if len(logged) == 0 && !jobCompleted {
		return changes
	}
	completed := map[int]bool{} // by the log, and bound by the page
	kept := changes[:0]
	for _, change := range changes {
		k := p.taskKey(change.Index)
		if change.Task.Phase == job.Bound && (jobCompleted || w.log.Has(completionOf(k, &change.Task))) {
			completed[k.index] = true
			change.Task = completedTask(&change.Task)
			if p.tasks[change.Index] == change.Task {
				continue
			}
		}
		kept = append(kept, change)
	}
	for _, taskIndex := range logged {
		index := taskIndex - p.firstTask
		if index < 0 || index >= len(p.tasks) || completed[taskIndex] {
			continue
		}
		if !w.pageBehind(p, index, kept) {
			w.log.Settle(completionlog.Task{Job: p.jobID, Index: taskIndex})
		}
	}
	return kept
}

// foldCompletions has pages written that have not taken in for a while what the log holds, by
// the owners of their jobs, and drops the records that are settled.
func (c *Core) foldCompletions() {
	w := &c.writer.completions
	if w.log.Len() == 0 || c.now < w.nextFoldAt || !c.mirrorFresh() {
		return
	}
	heartbeatPeriod := c.cfg.Facts.Workers.Report
	w.nextFoldAt = c.now + seconds(heartbeatPeriod*foldPeriod)
	cutoff := c.now - seconds(foldAfter*heartbeatPeriod)
	if c.hasPeerBelowFormat(completionLogFormat) {
		cutoff = c.now // it sees the pages alone
	}
	for _, task := range w.log.OpenBefore(cutoff) {
		r := c.jobs.byID[task.Job]
		if r == nil || r.status == job.Done || c.responsibleController(r.owner) != c.cfg.Node {
			continue
		}
		c.requestFold(c.pageOf(r, task.Index))
	}
	if c.isLeader() {
		c.dropSettledRecords()
	}
}

// requestFold has a page written by the next flush, even if none of its tasks changes.
func (c *Core) requestFold(p *page) {
	if p.foldRequested || p.tasks == nil {
		return
	}
	p.foldRequested = true
	if len(p.queue) == 0 {
		p.queuedSince = c.now
	}
	c.writer.addDirty(p)
}

// dropSettledRecords drops records of the log that no page needs any more.
func (c *Core) dropSettledRecords() {
	var compares []protocol.Compare
	var ops []protocol.Op
	for _, name := range c.writer.completions.log.Settled() {
		key := keyCompletions + name
		revision := c.state.ModRevision(key)
		if revision == 0 || len(ops) >= c.cfg.Facts.State.TxnOps {
			continue
		}
		compares = append(compares, protocol.Compare{Key: key, ModRevision: revision})
		ops = append(ops, protocol.Op{Delete: key})
	}
	if len(ops) > 0 {
		c.state.Txn(ratelimit.Background, compares, ops, ignoreOutcome)
	}
}
