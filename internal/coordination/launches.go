package coordination

import (
	"net/http"
	"slices"

	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// queueLaunch sends a committed launch straight to its worker with the step's
// other launches, which saves the wait for the next report.
func (c *Core) queueLaunch(id string, k taskKey, attempt int) {
	m := c.machines.byID[id]
	if m == nil || !c.isOwn(m) || !m.tokenSeen || m.launchInDoubt || m.claim.Address == "" {
		return // the answer to its next report launches it
	}
	if len(m.queuedLaunches) == 0 {
		c.machines.launchTargets = append(c.machines.launchTargets, m)
	}
	m.queuedLaunches = append(m.queuedLaunches, taskAttempt{k, attempt})
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
	for _, m := range c.machines.launchTargets {
		queued, st := m.queuedLaunches, c.workerState(m)
		m.queuedLaunches = nil
		var orders []protocol.Command
		var sent []taskAttempt
		for _, a := range queued {
			b, ok := c.boundHere(m, a.taskKey)
			if !ok || b.Number != a.number || m.bound[a.taskKey].final() {
				c.log.Debug("launch withheld: the attempt is over", "task", job.TaskName(a.job, a.index), "attempt", a.number, "machine", m.id)
				continue
			}
			if !st.MayLaunchDirectly(b) {
				if b.Epoch == m.epoch {
					c.log.Debug("launch withheld: the records are behind", "task", job.TaskName(a.job, a.index), "attempt", a.number, "machine", m.id,
						"revision", c.state.AppliedRevision(), "token", m.token, "since", b.BoundAt)
					m.deferLaunch(a)
				}
				continue
			}
			m.inFlight[a] = true
			sent = append(sent, a)
			orders = append(orders, c.launchCommand(m, a))
		}
		if len(orders) == 0 {
			continue
		}
		token := m.token
		body := encode(protocol.DirectCommands{FencingToken: token, AgentEpoch: m.epoch, Commands: orders})
		c.call(protocol.Call{Target: protocol.ToWorker, Address: m.claim.Address, Method: "POST", Path: protocol.PathCommands,
			Body: body, Timeout: seconds(c.cfg.Facts.Workers.Report / 2)}, func(r protocol.Reply) {
			if m.token != token {
				return // a newer token was taken meanwhile
			}
			var reply protocol.Heartbeat
			carried := r.Status == http.StatusOK && protocol.Decode(r.Body, &reply) == nil
			if !carried && (r.Status == 0 && r.Sent || r.Status == http.StatusOK || r.Status >= 500) {
				m.launchInDoubt = true // it may have been carried out, or may yet be
				return
			}
			if at := (fencing.Position{Epoch: reply.AgentEpoch, Sequence: reply.Sequence}); carried && m.lastLaunch.Before(at) {
				m.lastLaunch = at
			}
			c.handleCommandReply(m, token, r)
			for _, a := range sent {
				delete(m.inFlight, a)
			}
		})
	}
	c.machines.launchTargets = c.machines.launchTargets[:0]
}

// deferLaunch notes a launch that has to wait until the records are known to be complete.
func (m *machine) deferLaunch(a taskAttempt) {
	if !slices.Contains(m.deferredLaunches, a) {
		m.deferredLaunches = append(m.deferredLaunches, a)
	}
}

// sendDeferred sends launches that had to wait, once they need not any more. Without
// it they would wait for the worker's next report.
func (c *Core) sendDeferred(m *machine) {
	if len(m.deferredLaunches) == 0 || !c.mirrorComplete(m) {
		return
	}
	deferred := m.deferredLaunches
	m.deferredLaunches = nil
	for _, a := range deferred {
		_, stopping := m.stops[a.taskKey]
		b, ok := c.boundHere(m, a.taskKey)
		if !ok || b.Number != a.number || stopping || m.preempted || m.inFlight[a] || c.releasePending(m.bound[a.taskKey], a.index) {
			continue
		}
		c.queueLaunch(m.id, a.taskKey, a.number)
	}
}

// workerState is what this controller knows of a machine, for a decision.
func (c *Core) workerState(m *machine) fencing.WorkerState {
	return fencing.WorkerState{Held: c.isOwn(m), Adopted: m.adopted, Token: m.token, AppliedRevision: c.state.AppliedRevision(), TokenSeen: m.tokenSeen, MirrorComplete: c.mirrorComplete(m),
		LaunchInDoubt: m.launchInDoubt, Epoch: m.epoch, Sequence: m.sequence, LastLaunch: m.lastLaunch}
}

// mirrorComplete tells whether the mirror was complete at a moment when the worker had
// shown our token.
func (c *Core) mirrorComplete(m *machine) bool {
	if !m.mirrorComplete && m.tokenSeen && c.state.FreshAt() >= m.tokenSeenAt {
		m.mirrorComplete = true
	}
	return m.mirrorComplete
}

// boundHere is what the records bind to a machine of a task, if anything.
func (c *Core) boundHere(m *machine, k taskKey) (fencing.Attempt, bool) {
	rec := m.bound[k]
	if rec == nil {
		return fencing.Attempt{}, false
	}
	t := rec.task(c, k.index)
	if t == nil || t.Phase != job.Bound || t.Machine != m.id {
		return fencing.Attempt{}, false
	}
	return fencing.Attempt{Number: t.Attempt, Epoch: t.Epoch, BoundAt: m.boundAt[k].revision}, true
}

// heartbeatHead is a report without its list.
func heartbeatHead(r *protocol.Heartbeat) fencing.Heartbeat {
	return fencing.Heartbeat{Token: r.FencingToken, Epoch: r.AgentEpoch, Sequence: r.Sequence}
}
