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
// to a log, many in one record, and folded into their pages later.

// completionWriter holds the mirrored completion log and the completions to be written to it.
type completionWriter struct {
	log           *completionlog.Log
	unlogged      []completionlog.Completion // completions to be written
	unloggedSince time.Duration              // when the first of them was added
	queued        map[taskKey]bool           // tasks whose completion is to be written or being written
	writeInFlight bool
	sequence      int           // number of the last record that was sent
	nextFoldAt    time.Duration // completions are not folded into pages before this time
}

func newCompletionWriter() completionWriter {
	return completionWriter{log: completionlog.NewLog(), queued: map[taskKey]bool{}}
}

// Ratios of the log's periods to the workers' heartbeat period.
const (
	completionBatchDelay = 0.1 // how long a completion waits for further ones to share its record
	foldAfter            = 6   // age at which a completion in the log is folded into its page
	foldPeriod           = 0.5 // time between two searches for completions to fold
)

// completionOverhead is about how many bytes a completion takes in a record in addition to its
// text. recordShare is the share of the size limit of a value that a record may fill.
const (
	completionOverhead = 4
	recordShare        = 0.9
)

// completionOf returns the completion of a task's current attempt.
func completionOf(k taskKey, t *job.Task) completionlog.Completion {
	return completionlog.Completion{
		Task:    completionlog.Task{Job: k.job, Index: k.index},
		Attempt: t.Attempt,
		Machine: t.Machine,
		Epoch:   t.Epoch,
	}
}

// add queues a completion for the next record, unless the task's completion is queued already.
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

// pending reports whether any completions are to be written or being written.
func (w *completionWriter) pending() bool { return len(w.queued) > 0 }

// due reports whether the oldest queued completion has waited for delay, and no record is being
// written.
func (w *completionWriter) due(now, delay time.Duration) bool {
	return len(w.unlogged) > 0 && !w.writeInFlight && now-w.unloggedSince >= delay
}

// takeBatch removes as many completions from the queue as fit into a record of maxBytes, but at
// least one, and returns them with their record.
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

// hasCompletionFor reports whether the log holds a completion that the page does not include yet.
func (w *completionWriter) hasCompletionFor(p *page) bool {
	for _, index := range w.log.OpenTasks(p.jobID) {
		if index >= p.firstTask && index < p.firstTask+len(p.tasks) {
			return true
		}
	}
	return false
}

// pageBehind reports whether a page is behind the log for a task: after the changes, the page
// shows the task as not finished and with an earlier attempt than one that has completed
// according to the log.
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

// usesCompletionLog reports whether completed tasks of a job may be in the log. That holds for
// arrays of teams without limits: the usage charged to a team with a limit is released in the
// transaction that writes the page.
func (t *jobTable) usesCompletionLog(r *jobRecord) bool {
	team := t.teamOf(r)
	return r.spec.Shape == job.Array && team != nil && !team.hasLimit()
}

// allTasksCompleted reports whether a job's tasks have all completed, even if its pages still
// show some as bound: their completions were in the log when the job was marked as done.
func (t *jobTable) allTasksCompleted(r *jobRecord) bool {
	return r.status == job.Done && t.usesCompletionLog(r)
}

// goesToCompletionLog reports whether a transition is written to the log instead of its page.
func (c *Core) goesToCompletionLog(r *jobRecord, transition taskTransition) bool {
	if !c.cfg.Operator.CompletionLog || transition.placement {
		return false
	}
	if transition.proof != fencing.Ended || !transition.done || r.final() {
		return false
	}
	return c.jobs.usesCompletionLog(r) && c.allPeersRead(completionLogFormat)
}

// flushCompletions writes a record of the log if completions have waited for
// completionBatchDelay.
func (c *Core) flushCompletions() {
	w := &c.writer.completions
	delay := seconds(completionBatchDelay * c.cfg.Facts.Workers.Heartbeat)
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

// completionRecordKey returns the key of a record of the log. It is unique across controllers
// and across processes of the same controller.
func (c *Core) completionRecordKey(sequence int) string {
	return keyCompletions + c.cfg.Node + "/" + strconv.FormatInt(c.incarnation, 10) + "-" + strconv.Itoa(sequence)
}

// handleRecordOutcome handles the outcome of writing a record. Completions that may not have
// been written are written again under another key: a duplicate completion does no harm.
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

// applyCompletionRecord applies a change of a record of the log; data is nil if it was deleted.
func (c *Core) applyCompletionRecord(name string, data json.RawMessage) {
	log := c.writer.completions.log
	if data == nil {
		log.RemoveRecord(name)
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

// applyCompletion marks an attempt as completed in the mirror, if its page shows it as bound.
func (c *Core) applyCompletion(completion completionlog.Completion) {
	r := c.jobs.byID[completion.Job]
	if r == nil {
		return // applied later, with the job's pages
	}
	log := c.writer.completions.log
	if completion.Index >= r.spec.Tasks || r.status == job.Done {
		log.RemoveTask(completion.Task)
		return
	}
	p := c.findPageOf(r, completion.Index)
	switch {
	case p == nil && !r.final():
		return // applied later, with the page
	case p == nil || p.tasks == nil:
		log.RemoveTask(completion.Task)
		return
	}
	index := completion.Index - p.firstTask
	task := &p.tasks[index]
	switch {
	case bindsAttempt(task, completion):
		c.completeTask(p, index)
	case supersedes(task, completion):
		log.RemoveTask(completion.Task)
	}
}

// bindsAttempt reports whether a task is bound to the attempt that a completion names.
func bindsAttempt(t *job.Task, completion completionlog.Completion) bool {
	return t.Phase == job.Bound && t.Attempt == completion.Attempt && t.Epoch == completion.Epoch && t.Machine == completion.Machine
}

// supersedes reports whether a task's state shows that its page includes a completion already,
// or that another change of the task overtook the completion.
func supersedes(t *job.Task, completion completionlog.Completion) bool {
	if t.Phase == job.Finished || t.Attempt > completion.Attempt {
		return true
	}
	return t.Phase == job.Pending && t.Attempt == completion.Attempt
}

// completeTask marks a bound task of a page as completed in the mirror.
func (c *Core) completeTask(p *page, index int) {
	k := p.taskKey(index)
	task := &p.tasks[index]
	old := *task
	c.unindexTask(p.job, k, &old)
	*task = completedTask(&old)
	c.indexTask(p.job, k, task, 0)
	c.offerFreedMachine(old.Machine)
}

// completeBoundTasks marks all bound tasks of a page as completed in the mirror, for a job that
// is done. The log may not show their completions: a record may have been added and removed
// while the records were reread.
func (c *Core) completeBoundTasks(p *page) {
	for i := range p.tasks {
		if p.tasks[i].Phase == job.Bound {
			c.completeTask(p, i)
		}
	}
}

// completedTask returns the state of a bound task after its completion.
func completedTask(t *job.Task) job.Task {
	return job.Task{Phase: job.Finished, Attempt: t.Attempt, Failures: t.Failures}
}

// mergeCompletions merges the log into the changes of a page that was read. A task that the
// page shows as bound, to an attempt that has completed according to the log, becomes finished.
// Where the page is not behind the log, the task is removed from the log. It returns the
// remaining changes, reusing the memory of changes.
func (c *Core) mergeCompletions(p *page, changes []pagecodec.Change) []pagecodec.Change {
	w := &c.writer.completions
	logged := w.log.OpenTasks(p.jobID)
	jobCompleted := c.jobs.allTasksCompleted(p.job)
	if len(logged) == 0 && !jobCompleted {
		return changes
	}
	completed := map[int]bool{} // indexes of tasks that the log shows as completed and the page as bound
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
			w.log.RemoveTask(completionlog.Task{Job: p.jobID, Index: taskIndex})
		}
	}
	return kept
}

// foldCompletions requests a write of each page that still lacks a completion that was added to
// the log foldAfter heartbeat periods ago or earlier. Each controller does so for the jobs that it
// is responsible for. While a peer does not read the log, completions are folded without that
// delay. The leader also deletes the log's empty records.
func (c *Core) foldCompletions() {
	w := &c.writer.completions
	if w.log.Len() == 0 || c.now < w.nextFoldAt || !c.mirrorFresh() {
		return
	}
	heartbeatPeriod := c.cfg.Facts.Workers.Heartbeat
	w.nextFoldAt = c.now + seconds(heartbeatPeriod*foldPeriod)
	cutoff := c.now - seconds(foldAfter*heartbeatPeriod)
	if c.hasPeerBelowFormat(completionLogFormat) {
		cutoff = c.now // that peer reads only the pages
	}
	for _, task := range w.log.OpenTasksBefore(cutoff) {
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

// requestFold marks a page to be written by the next flush, even if none of its tasks changes.
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

// dropSettledRecords deletes records of the log that no page needs any more.
func (c *Core) dropSettledRecords() {
	var compares []protocol.Compare
	var ops []protocol.Op
	for _, name := range c.writer.completions.log.EmptyRecords() {
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
