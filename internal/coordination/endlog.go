package coordination

import (
	"encoding/json"
	"strconv"
	"time"

	"silvergate/internal/bookkeeping"
	"silvergate/internal/budget"
	"silvergate/internal/endings"
	"silvergate/internal/evidence"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// This file is the seam to internal/endings: tasks of arrays that have completed are written
// to a log, many in one record, and their pages take them in later.

// pageWrites is what is to be written of tasks: pages with changes, and completed tasks for
// the log of endings.
type pageWrites struct {
	dirty   map[*page]bool
	flushAt time.Duration // dirty pages are not looked at before
	delayed bool          // the last flush left something to the clock

	log     *endings.Log
	waiting []endings.Completion // to be written
	since   time.Duration        // of the first of them
	queued  map[taskKey]bool     // to be written, or being written
	writing bool
	seq     int
	foldAt  time.Duration
}

func newPageWrites() pageWrites {
	return pageWrites{dirty: map[*page]bool{}, log: endings.NewLog(), queued: map[taskKey]bool{}}
}

// Ratios of the log to the workers' report period.
const (
	endingsWait = 0.1 // how long endings wait for others
	foldAfter   = 6   // after how long pages take in what is in the log
)

// entryBytes is about what an entry takes beside its names; recordShare is the share of a
// value's limit that a record fills.
const (
	entryBytes  = 4
	recordShare = 0.9
)

// logs tells whether an ending goes to the log: of a task that has completed, in an array of a
// team without limits. A limited team's charge is released with the page.
func (c *Core) logs(r *record, ch change) bool {
	return c.cfg.Operator.EndingLog && !ch.place && ch.kind == evidence.Ended && ch.done && !r.final() && c.loggable(r) && c.allRead(endingFormat)
}

// loggable tells whether a job's tasks may be in the log.
func (c *Core) loggable(r *record) bool {
	tm := c.teams[r.spec.Team]
	return r.spec.Shape == job.Array && tm != nil && !limited(tm)
}

// concluded tells whether a job's tasks have all completed, whatever its pages bind: they were
// in the log when it was called done.
func (c *Core) concluded(r *record) bool { return r.status == job.Done && c.loggable(r) }

// logEnding has an ending written with the next record of the log.
func (c *Core) logEnding(r *record, index int, ch change) {
	w := &c.writes
	k := taskKey{r.spec.ID, index}
	if w.queued[k] {
		return
	}
	w.queued[k] = true
	if len(w.waiting) == 0 {
		w.since = c.now
	}
	w.waiting = append(w.waiting, endings.Completion{Task: endings.Task{Job: k.id, Index: k.index}, Attempt: ch.try, Machine: ch.machine, Epoch: ch.session})
}

// flushEndings writes a record of the log when endings have waited for long enough.
func (c *Core) flushEndings() {
	w := &c.writes
	if len(w.waiting) == 0 || w.writing || !c.store.Loaded() || c.now-w.since < seconds(endingsWait*c.cfg.Facts.Workers.Report) || !c.store.CanSend(budget.OtherWork, 1) {
		return
	}
	taken, record := c.fillRecord()
	w.waiting, w.since, w.writing = w.waiting[len(taken):], c.now, true
	w.seq++
	key := keyEndings + c.cfg.Node + "/" + strconv.FormatInt(c.life, 10) + "-" + strconv.Itoa(w.seq)
	c.store.Txn(budget.OtherWork, []protocol.Compare{{Key: key}}, []protocol.Op{{Put: key, Value: record}}, func(o bookkeeping.TxnOutcome, _ []string, _ uint64) {
		w.writing = false
		if o != bookkeeping.Committed { // again, under another key: an entry that is there twice is the same entry
			w.waiting = append(taken, w.waiting...)
			return
		}
		for _, e := range taken {
			delete(w.queued, taskKey{e.Job, e.Index})
			c.Stats.Endings++
		}
	})
}

// fillRecord takes as many endings as a value may hold.
func (c *Core) fillRecord() (taken []endings.Completion, record json.RawMessage) {
	var r endings.Record
	room := int(recordShare * c.cfg.Facts.State.ValueKB * 1024)
	for _, e := range c.writes.waiting {
		s := e.String()
		if room -= len(s) + entryBytes; room < 0 && len(taken) > 0 {
			break
		}
		taken = append(taken, e)
		r.Completions = append(r.Completions, s)
	}
	return taken, encode(r)
}

// applyEndings takes a record of the log.
func (c *Core) applyEndings(name string, data json.RawMessage) {
	if data == nil {
		c.writes.log.Remove(name)
		return
	}
	var r endings.Record
	if !decode(c.log, name, data, &r) {
		return
	}
	for _, e := range c.writes.log.Add(name, r, c.now) {
		c.complete(e)
	}
}

// complete takes that an attempt has completed, if its page binds it.
func (c *Core) complete(e endings.Completion) {
	r := c.jobs[e.Job]
	if r == nil {
		return // its records come later
	}
	n := c.pageTasks()
	if e.Index >= r.spec.Tasks || r.status == job.Done || r.pages[e.Index/n].tasks == nil {
		c.writes.log.Settle(e.Task)
		return
	}
	p, k := r.pages[e.Index/n], taskKey{e.Job, e.Index}
	t := &p.tasks[e.Index%n]
	switch {
	case bindsAttempt(t, e):
		c.completeTask(p, k, t)
	case t.Phase == job.Finished || t.Attempt > e.Attempt || t.Phase == job.Pending && t.Attempt == e.Attempt:
		c.writes.log.Settle(e.Task) // taken in, or another change was ahead of it
	}
}

// completeTask has the mirror show that a bound task has completed.
func (c *Core) completeTask(p *page, k taskKey, t *job.Task) {
	old := *t
	c.unindex(p.rec, k, &old)
	*t = completed(&old)
	c.index(p.rec, k, t, 0)
	c.freed(old.Machine)
}

// completeAll is completeTask for all that a page of a job binds that was called done. A record of
// the log may have come and gone while the records were read anew.
func (c *Core) completeAll(p *page) {
	for i := range p.tasks {
		if t := &p.tasks[i]; t.Phase == job.Bound {
			c.completeTask(p, taskKey{p.id, p.num*c.pageTasks() + i}, t)
		}
	}
}

// bindsAttempt tells whether a task is bound as an ending names it.
func bindsAttempt(t *job.Task, e endings.Completion) bool {
	return t.Phase == job.Bound && t.Attempt == e.Attempt && t.Epoch == e.Epoch && t.Machine == e.Machine
}

// completed is a bound task that has completed.
func completed(t *job.Task) job.Task {
	return job.Task{Phase: job.Finished, Attempt: t.Attempt, Failures: t.Failures}
}

// withEndings looks at what has changed in a page beside the log: what the page binds, and the log
// says has completed, has; and what the page shows otherwise, it has taken in.
func (c *Core) withEndings(p *page, base int, changes []taskChange) []taskChange {
	logged, over := c.writes.log.TasksOf(p.id), c.concluded(p.rec)
	if len(logged) == 0 && !over {
		return changes
	}
	binds := map[int]bool{}
	kept := changes[:0]
	for _, ch := range changes {
		t := &ch.task
		if t.Phase == job.Bound && (over || c.writes.log.Has(endings.Completion{Task: endings.Task{Job: p.id, Index: base + ch.index}, Attempt: t.Attempt, Machine: t.Machine, Epoch: t.Epoch})) {
			binds[base+ch.index] = true
			if ch.task = completed(t); p.tasks[ch.index] == ch.task {
				continue
			}
		}
		kept = append(kept, ch)
	}
	for _, index := range logged {
		if at := index - base; at >= 0 && at < len(p.tasks) && !binds[index] && !c.awaitsPage(p, at, kept) {
			c.writes.log.Settle(endings.Task{Job: p.id, Index: index})
		}
	}
	return kept
}

// awaitsPage tells whether the page is behind the log: it will bind the attempt that the log names.
func (c *Core) awaitsPage(p *page, at int, changes []taskChange) bool {
	t := p.tasks[at]
	for i := range changes {
		if changes[i].index == at {
			t = changes[i].task
		}
	}
	return t.Phase != job.Finished && c.writes.log.HasLaterAttempt(endings.Task{Job: p.id, Index: p.num*c.pageTasks() + at}, t.Attempt)
}

// unfolded tells whether the log holds an ending that a page has not taken in.
func (c *Core) unfolded(p *page) bool {
	base := p.num * c.pageTasks()
	for _, index := range c.writes.log.TasksOf(p.id) {
		if index >= base && index < base+len(p.tasks) {
			return true
		}
	}
	return false
}

// foldEndings has pages written that have not taken in for a while what the log holds, by who
// keeps their jobs, and drops the records that are spent.
func (c *Core) foldEndings() {
	w := &c.writes
	if w.log.Len() == 0 || c.now < w.foldAt || !c.sees() {
		return
	}
	w.foldAt = c.now + seconds(c.cfg.Facts.Workers.Report/2)
	before := c.now - seconds(foldAfter*c.cfg.Facts.Workers.Report)
	if c.earlierVersion(endingFormat) {
		before = c.now // it sees the pages alone
	}
	for _, task := range w.log.OpenBefore(before) {
		r := c.jobs[task.Job]
		if r == nil || r.status == job.Done || c.successor(r.home) != c.cfg.Node {
			continue
		}
		if p := r.pages[task.Index/c.pageTasks()]; !p.fold && p.tasks != nil {
			p.fold = true
			if len(p.queue) == 0 {
				p.since = c.now
			}
			w.dirty[p] = true
		}
	}
	if c.leads() {
		c.dropSpent()
	}
}

// dropSpent drops records of the log that no page needs any more.
func (c *Core) dropSpent() {
	var conds []protocol.Compare
	var ops []protocol.Op
	for _, name := range c.writes.log.Settled() {
		key := keyEndings + name
		if stamp := c.store.ModRevision(key); stamp != 0 && len(ops) < c.cfg.Facts.State.TxnOps {
			conds = append(conds, protocol.Compare{Key: key, ModRevision: stamp})
			ops = append(ops, protocol.Op{Delete: key})
		}
	}
	if len(ops) > 0 {
		c.store.Txn(budget.Background, conds, ops, func(bookkeeping.TxnOutcome, []string, uint64) {})
	}
}
