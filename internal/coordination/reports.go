package coordination

import (
	"silvergate/internal/evidence"
	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/protocol"
	"slices"
)

// This file compares a believed report with the records.

// orders compares a report with the records: what should be on the machine is
// launched, what should not be is stopped, and endings are proposed for commit
// and forgotten once committed.
func (c *Core) orders(m *machine, r *protocol.Heartbeat) []protocol.Command {
	orders := []protocol.Command{}
	st := c.standing(m)
	m.deferredLaunches = nil // what it lacks is judged again
	listed := c.listed
	clear(listed)
	for i := range r.Tasks {
		orders = c.judgeListed(orders, m, st, r, &r.Tasks[i], listed)
	}
	for _, k := range m.unlisted(listed) {
		orders = c.judgeLacking(orders, m, st, r, k)
	}
	for k := range m.stops {
		if m.bound[k] == nil {
			delete(m.stops, k)
		}
	}
	return orders
}

// judgeListed judges an attempt that a believed report lists, and adds what the worker is to be told.
// What is bound here as it is listed is noted in listed.
func (c *Core) judgeListed(orders []protocol.Command, m *machine, st evidence.WorkerState, r *protocol.Heartbeat, l *protocol.TaskStatus, listed map[taskKey]bool) []protocol.Command {
	id, index, err := job.ParseTaskName(l.Task)
	if err != nil {
		return orders
	}
	k := taskKey{id, index}
	a, bound := c.boundHere(m, k)
	act, _ := st.JudgeListed(head(r), evidence.ListedAttempt{Number: l.Attempt, Ended: l.Status == protocol.TaskEnded}, a, bound, m.direct[attempt{k, l.Attempt}])
	switch act {
	case evidence.RenewToken:
		m.tainted = true
		return orders
	case evidence.Forget:
		return append(orders, protocol.Command{Verb: protocol.VerbForget, Task: l.Task, Attempt: l.Attempt})
	case evidence.Kill:
		return append(orders, kill(l, 0))
	case evidence.Defer:
		return orders // to be forgotten later
	}
	rec := c.jobs[id]
	listed[k] = true
	if c.verbose {
		c.log.Debug("reported", "load", l.Task, "try", l.Attempt, "status", l.Status, "cause", l.Cause, "stoker", m.id)
	}
	if act == evidence.Release {
		c.ended(m, rec, k, rec.task(c, index), l)
		return orders
	}
	c.noteProgress(m, rec, k, l)
	if rec.final() {
		return append(orders, kill(l, 0))
	}
	if s, ok := m.stops[k]; ok && l.Status != protocol.TaskCheckpointing {
		return append(orders, kill(l, s.grace))
	}
	return orders
}

// noteProgress takes from a report how far an attempt is: running, or waiting for its image.
func (c *Core) noteProgress(m *machine, rec *record, k taskKey, l *protocol.TaskStatus) {
	switch l.Status {
	case protocol.TaskRunning:
		if m.began(k, c.now) {
			c.traceStart(losses.Began, k.id, k.index, l.Attempt, m.id)
		}
		m.images[rec.spec.Image] = min(m.images[rec.spec.Image], c.now)
		delete(m.pulling, k)
	case protocol.TaskPulling:
		m.pulling[k] = true
		if at := c.now + seconds(c.cfg.Facts.Workers.Report); m.images[rec.spec.Image] < at {
			m.images[rec.spec.Image] = at // it takes longer than expected
		}
	}
}

// judgeLacking judges what is bound to the machine and not on a believed report's list.
func (c *Core) judgeLacking(orders []protocol.Command, m *machine, st evidence.WorkerState, r *protocol.Heartbeat, k taskKey) []protocol.Command {
	rec := m.bound[k]
	t := rec.task(c, k.index)
	_, stopping := m.stops[k]
	wanted := !rec.final() && !stopping && !m.recalled
	a := attempt{k, t.Attempt}
	b, _ := c.boundHere(m, k)
	act, kind := st.JudgeMissing(head(r), b, m.direct[a], wanted, c.ending(rec, k.index))
	switch act {
	case evidence.RenewToken:
		m.tainted = true
	case evidence.Release:
		m.vacate(k, rec)
		c.propose(rec, k.index, change{machine: m.id, session: t.Epoch, try: t.Attempt, kind: kind})
		if kind == evidence.NotListed {
			delete(m.stops, k)
		}
	case evidence.Launch:
		return append(orders, c.launch(m, a))
	case evidence.Keep:
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

// ending tells whether an ending of the task is queued or under way.
func (c *Core) ending(r *record, index int) bool {
	if c.writes.queued[taskKey{r.spec.ID, index}] {
		return true
	}
	n := c.pageTasks()
	p := r.pages[index/n]
	for i := range p.queue {
		if p.queue[i].index == index%n && !p.queue[i].place {
			return true
		}
	}
	return p.busy
}

func (c *Core) ended(m *machine, rec *record, k taskKey, t *job.Task, l *protocol.TaskStatus) {
	ch := change{machine: m.id, session: t.Epoch, try: t.Attempt, kind: evidence.Ended, done: l.Cause == protocol.CauseDone, failed: l.Cause == protocol.CauseError, cause: l.Cause}
	if ch.failed {
		c.log.Info("task failed", "load", l.Task, "stoker", m.id, "fails", t.Failures+1)
	}
	m.vacate(k, rec)
	c.propose(rec, k.index, ch)
}

// vacate frees the room of a task that a report under our token shows to have left,
// though its ending is not committed yet: that is a fact about the machine, whatever
// becomes of the record, and under load the commit takes seconds that urgent work
// would wait for. The team's charge stays until then.
func (m *machine) vacate(k taskKey, r *record) {
	if m.gone[k] == nil && m.bound[k] == r {
		m.gone[k] = r
		m.use(r.spec, -1)
	}
}

// reoccupy takes that back: with the claim goes what was known under it.
func (m *machine) reoccupy() {
	for _, r := range m.gone {
		m.use(r.spec, 1)
	}
	clear(m.gone)
}
