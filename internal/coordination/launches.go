package coordination

import (
	"net/http"
	"slices"

	"silvergate/internal/evidence"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// queueLaunch sends a committed launch straight to its worker with the step's
// other launches, which saves the wait for the next report.
func (c *Core) queueLaunch(id string, k taskKey, try int) {
	m := c.machines[id]
	if m == nil || !c.mine(m) || !m.shown || m.tainted || m.claim.Address == "" {
		return // the answer to its next report launches it
	}
	if len(m.queuedLaunches) == 0 {
		c.launching = append(c.launching, m)
	}
	m.queuedLaunches = append(m.queuedLaunches, attempt{k, try})
}

// sendLaunches makes one direct call for every machine with launches.
//
// A launch is judged here, at the end of the step, and not when the record that
// binds it comes: the same answer of the watch may bring that it has ended since.
//
// Guards against late execution: a direct command may be carried out minutes
// after we gave up on it, as long as token and session match. Until its answer
// the attempt is neither forgotten nor released for being absent; without an
// answer the machine is tainted, and its next report gets a new token.
func (c *Core) sendLaunches() {
	for _, m := range c.launching {
		queued, st := m.queuedLaunches, c.standing(m)
		m.queuedLaunches = nil
		var orders []protocol.Command
		var sent []attempt
		for _, a := range queued {
			b, ok := c.boundHere(m, a.taskKey)
			if !ok || b.Number != a.try || m.bound[a.taskKey].final() {
				c.log.Debug("launch withheld: the attempt is over", "load", job.TaskName(a.id, a.index), "try", a.try, "stoker", m.id)
				continue
			}
			if !st.MayLaunchDirectly(b) {
				if b.Epoch == m.session {
					c.log.Debug("launch withheld: the records are behind", "load", job.TaskName(a.id, a.index), "try", a.try, "stoker", m.id,
						"ledger", c.store.AppliedRevision(), "token", m.stamp, "since", b.BoundAt)
					m.deferLaunch(a)
				}
				continue
			}
			m.direct[a] = true
			sent = append(sent, a)
			orders = append(orders, c.launch(m, a))
		}
		if len(orders) == 0 {
			continue
		}
		token := m.stamp
		body := encode(protocol.DirectCommands{FencingToken: token, AgentEpoch: m.session, Commands: orders})
		c.call(protocol.Call{Target: protocol.ToWorker, Address: m.claim.Address, Method: "POST", Path: protocol.PathCommands,
			Body: body, Timeout: seconds(c.cfg.Facts.Workers.Report / 2)}, func(r protocol.Reply) {
			if m.stamp != token {
				return // a newer token was taken meanwhile
			}
			var rep protocol.Heartbeat
			carried := r.Status == http.StatusOK && protocol.Decode(r.Body, &rep) == nil
			if !carried && (r.Status == 0 && r.Sent || r.Status == http.StatusOK || r.Status >= 500) {
				m.tainted = true // it may have been carried out, or may yet be
				return
			}
			if at := (evidence.Position{Epoch: rep.AgentEpoch, Sequence: rep.Sequence}); carried && m.launchedAt.Before(at) {
				m.launchedAt = at
			}
			c.observe(m, token, r)
			for _, a := range sent {
				delete(m.direct, a)
			}
		})
	}
	c.launching = c.launching[:0]
}

// deferLaunch notes a launch that has to wait until the records are known to be complete.
func (m *machine) deferLaunch(a attempt) {
	if !slices.Contains(m.deferredLaunches, a) {
		m.deferredLaunches = append(m.deferredLaunches, a)
	}
}

// sendDeferred sends launches that had to wait, once they need not any more. Without
// it they would wait for the worker's next report.
func (c *Core) sendDeferred(m *machine) {
	if len(m.deferredLaunches) == 0 || !c.proved(m) {
		return
	}
	deferred := m.deferredLaunches
	m.deferredLaunches = nil
	for _, a := range deferred {
		_, stopping := m.stops[a.taskKey]
		b, ok := c.boundHere(m, a.taskKey)
		if !ok || b.Number != a.try || stopping || m.recalled || m.direct[a] || c.ending(m.bound[a.taskKey], a.index) {
			continue
		}
		c.queueLaunch(m.id, a.taskKey, a.try)
	}
}

// standing is what this controller knows of a machine, for a decision.
func (c *Core) standing(m *machine) evidence.WorkerState {
	return evidence.WorkerState{Held: c.mine(m), Adopted: m.adopted, Token: m.stamp, AppliedRevision: c.store.AppliedRevision(), TokenSeen: m.shown, MirrorComplete: c.proved(m),
		LaunchInDoubt: m.tainted, Epoch: m.session, Sequence: m.tally, LastLaunch: m.launchedAt}
}

// proved tells whether the mirror was complete at a moment when the worker had
// shown our token.
func (c *Core) proved(m *machine) bool {
	if !m.proved && m.shown && c.store.FreshAt() >= m.shownAt {
		m.proved = true
	}
	return m.proved
}

// boundHere is what the records bind to a machine of a task, if anything.
func (c *Core) boundHere(m *machine, k taskKey) (evidence.Attempt, bool) {
	rec := m.bound[k]
	if rec == nil {
		return evidence.Attempt{}, false
	}
	t := rec.task(c, k.index)
	if t == nil || t.Phase != job.Bound || t.Machine != m.id {
		return evidence.Attempt{}, false
	}
	return evidence.Attempt{Number: t.Attempt, Epoch: t.Epoch, BoundAt: m.boundAt[k].since}, true
}

// head is a report without its list.
func head(r *protocol.Heartbeat) evidence.Heartbeat {
	return evidence.Heartbeat{Token: r.FencingToken, Epoch: r.AgentEpoch, Sequence: r.Sequence}
}
