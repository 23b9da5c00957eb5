package coordination

import (
	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/protocol"
	"slices"
)

// This file compares a believed report with the records.

// reconcile compares a report with the records: what should be on the machine is
// launched, what should not be is stopped, and endings are proposed for commit
// and forgotten once committed.
func (c *Core) reconcile(m *machine, r *protocol.Heartbeat) []protocol.Command {
	orders := []protocol.Command{}
	st := c.workerState(m)
	m.deferredLaunches = nil // what it lacks is judged again
	listed := c.machines.listedBuffer
	clear(listed)
	for i := range r.Tasks {
		orders = c.reconcileListed(orders, m, st, r, &r.Tasks[i], listed)
	}
	for _, k := range m.unlisted(listed) {
		orders = c.reconcileMissing(orders, m, st, r, k)
	}
	for k := range m.stops {
		if m.bound[k] == nil {
			delete(m.stops, k)
		}
	}
	return orders
}

// reconcileListed judges an attempt that a believed report lists, and adds what the worker is to be told.
// What is bound here as it is listed is noted in listed.
func (c *Core) reconcileListed(orders []protocol.Command, m *machine, st fencing.WorkerState, r *protocol.Heartbeat, l *protocol.TaskStatus, listed map[taskKey]bool) []protocol.Command {
	id, index, err := job.ParseTaskName(l.Task)
	if err != nil {
		return orders
	}
	k := taskKey{id, index}
	a, bound := c.boundHere(m, k)
	act, _ := st.JudgeListed(heartbeatHead(r), fencing.ListedAttempt{Number: l.Attempt, Ended: l.Status == protocol.TaskEnded}, a, bound, m.inFlight[taskAttempt{k, l.Attempt}])
	switch act {
	case fencing.RenewToken:
		m.launchInDoubt = true
		return orders
	case fencing.Forget:
		return append(orders, protocol.Command{Verb: protocol.VerbForget, Task: l.Task, Attempt: l.Attempt})
	case fencing.Kill:
		return append(orders, killCommand(l, 0))
	case fencing.Defer:
		return orders // to be forgotten later
	}
	rec := c.jobs.byID[id]
	listed[k] = true
	if c.verbose {
		c.log.Debug("task status", "task", l.Task, "attempt", l.Attempt, "status", l.Status, "cause", l.Cause, "machine", m.id)
	}
	if act == fencing.Release {
		c.proposeEnding(m, rec, k, rec.task(c, index), l)
		return orders
	}
	c.noteProgress(m, rec, k, l)
	if rec.final() {
		return append(orders, killCommand(l, 0))
	}
	if s, ok := m.stops[k]; ok && l.Status != protocol.TaskCheckpointing {
		return append(orders, killCommand(l, s.gracePeriod))
	}
	return orders
}

// noteProgress takes from a report how far an attempt is: running, or waiting for its image.
func (c *Core) noteProgress(m *machine, rec *jobRecord, k taskKey, l *protocol.TaskStatus) {
	switch l.Status {
	case protocol.TaskRunning:
		if m.recordRunning(k, c.now) {
			c.traceStart(losses.Began, k.job, k.index, l.Attempt, m.id)
		}
		m.imageReadyAt[rec.spec.Image] = min(m.imageReadyAt[rec.spec.Image], c.now)
		delete(m.pulling, k)
	case protocol.TaskPulling:
		m.pulling[k] = true
		if at := c.now + seconds(c.cfg.Facts.Workers.Report); m.imageReadyAt[rec.spec.Image] < at {
			m.imageReadyAt[rec.spec.Image] = at // it takes longer than expected
		}
	}
}

// reconcileMissing judges what is bound to the machine and not on a believed report's list.
func (c *Core) reconcileMissing(orders []protocol.Command, m *machine, st fencing.WorkerState, r *protocol.Heartbeat, k taskKey) []protocol.Command {
	rec := m.bound[k]
	t := rec.task(c, k.index)
	_, stopping := m.stops[k]
	wanted := !rec.final() && !stopping && !m.preempted
	a := taskAttempt{k, t.Attempt}
	b, _ := c.boundHere(m, k)
	act, kind := st.JudgeMissing(heartbeatHead(r), b, m.inFlight[a], wanted, c.releasePending(rec, k.index))
	switch act {
	case fencing.RenewToken:
		m.launchInDoubt = true
	case fencing.Release:
		m.vacate(k, rec)
		c.propose(rec, k.index, taskTransition{machine: m.id, epoch: t.Epoch, attempt: t.Attempt, proof: kind})
		if kind == fencing.NotListed {
			delete(m.stops, k)
		}
	case fencing.Launch:
		return append(orders, c.launchCommand(m, a))
	case fencing.Keep:
		if wanted && t.Epoch == r.AgentEpoch {
			m.deferLaunch(a)
		}
	}
	return orders
}

// unlisted is what is bound to the machine and not listed, in order.
func (m *machine) unlisted(listed map[taskKey]bool) []taskKey {
	if len(listed) == len(m.bound) { // what is listed is bound
		return nil
	}
	var out []taskKey
	for k := range m.bound {
		if !listed[k] {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, taskKey.compare)
	return out
}

// releasePending tells whether an ending of the task is queued or under way.
func (c *Core) releasePending(r *jobRecord, index int) bool {
	if c.writer.logQueued[taskKey{r.spec.ID, index}] {
		return true
	}
	n := c.tasksPerPage()
	p := r.pages[index/n]
	for i := range p.queue {
		if p.queue[i].index == index%n && !p.queue[i].placement {
			return true
		}
	}
	return p.inFlight
}

func (c *Core) proposeEnding(m *machine, rec *jobRecord, k taskKey, t *job.Task, l *protocol.TaskStatus) {
	ch := taskTransition{machine: m.id, epoch: t.Epoch, attempt: t.Attempt, proof: fencing.Ended, done: l.Cause == protocol.CauseDone, failed: l.Cause == protocol.CauseError, cause: l.Cause}
	if ch.failed {
		c.log.Info("task failed", "task", l.Task, "machine", m.id, "failures", t.Failures+1)
	}
	m.vacate(k, rec)
	c.propose(rec, k.index, ch)
}

// vacate frees the room of a task that a report under our token shows to have left,
// though its ending is not committed yet: that is a fact about the machine, whatever
// becomes of the record, and under load the commit takes seconds that urgent work
// would wait for. The team's charge stays until then.
func (m *machine) vacate(k taskKey, r *jobRecord) {
	if m.vacated[k] == nil && m.bound[k] == r {
		m.vacated[k] = r
		m.addUsage(r.spec, -1)
	}
}

// reoccupy takes that back: with the claim goes what was known under it.
func (m *machine) reoccupy() {
	for _, r := range m.vacated {
		m.addUsage(r.spec, 1)
	}
	clear(m.vacated)
}
