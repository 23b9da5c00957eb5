package coordination

import (
	"net/http"
	"slices"
	"time"

	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// This file sends launches of committed placements directly to the workers, which saves the wait
// for the next heartbeat.

// queueLaunch queues the launch of a committed placement, to be sent directly at the end of the
// step.
func (c *Core) queueLaunch(machineID string, key taskKey, attempt int) {
	m := c.machines.byID[machineID]
	if m == nil || !c.isOwn(m) || !m.tokenSeen || m.launchInDoubt || m.claim.Address == "" {
		return // launched with the answer to the machine's next heartbeat
	}
	if len(m.queuedLaunches) == 0 {
		c.machines.launchTargets = append(c.machines.launchTargets, m)
	}
	m.queuedLaunches = append(m.queuedLaunches, taskAttempt{key, attempt})
}

// sendLaunches makes one direct call for every machine with queued launches.
//
// A launch is checked here, at the end of the step, and not when the record with its binding is
// applied: the same watch response may also report that the attempt has ended since.
func (c *Core) sendLaunches() {
	for _, m := range c.machines.launchTargets {
		attempts := c.takeSendableLaunches(m)
		if len(attempts) > 0 {
			c.sendLaunchCall(m, attempts)
		}
	}
	c.machines.launchTargets = c.machines.launchTargets[:0]
}

// takeSendableLaunches empties a machine's queue of launches and returns those that may be
// sent directly now. Launches that have to wait for the records are deferred.
func (c *Core) takeSendableLaunches(m *machine) []taskAttempt {
	queued := m.queuedLaunches
	m.queuedLaunches = nil
	state := c.workerState(m)
	var sendable []taskAttempt
	for _, attempt := range queued {
		bound, ok := c.boundAttempt(m, attempt.taskKey)
		if !ok || bound.Number != attempt.number || m.bound[attempt.taskKey].final() {
			c.log.Debug("launch withheld: the attempt is over", "task", job.TaskName(attempt.job, attempt.index), "attempt", attempt.number, "machine", m.id)
			continue
		}
		if state.MayLaunchDirectly(bound) {
			sendable = append(sendable, attempt)
			continue
		}
		if bound.Epoch == m.epoch {
			c.log.Debug("launch deferred: the records may be incomplete", "task", job.TaskName(attempt.job, attempt.index), "attempt", attempt.number, "machine", m.id,
				"revision", c.state.AppliedRevision(), "token", m.token, "since", bound.BoundAt)
			m.deferLaunch(attempt)
		}
	}
	return sendable
}

// sendLaunchCall sends launches to a machine's worker.
//
// Guards against late execution: a worker may execute a direct command, or a copy of one that it has
// answered, minutes later, as long as token and agent epoch match. Until the launch is void, the
// worker is not told to forget the attempt, and a heartbeat that does not list the attempt is
// no reason to release it. If no reply arrives, the machine's launches are in doubt, and its next
// heartbeat is answered with a new token.
func (c *Core) sendLaunchCall(m *machine, attempts []taskAttempt) {
	var commands []protocol.Command
	for _, attempt := range attempts {
		m.inFlight[attempt] = c.now
		m.directLaunches[attempt] = fencing.DirectLaunch{Token: m.commandToken, Epoch: m.epoch}
		command := c.launchCommand(m, attempt)
		commands = append(commands, command)
		c.traceCommand("launch sent directly", m, command)
	}
	c.Stats.DirectLaunches += uint64(len(attempts))
	token := m.token
	c.call(c.directCall(m, commands), func(reply protocol.Reply) { c.handleLaunchReply(m, token, attempts, reply) })
}

// handleLaunchReply handles the reply to launches that were sent while token was the claim's. A launch that
// the worker has refused for its token or epoch is void, and so are those before it.
func (c *Core) handleLaunchReply(m *machine, token uint64, attempts []taskAttempt, reply protocol.Reply) {
	if m.token != token {
		return // the machine has a newer token now
	}
	var status protocol.Heartbeat
	executed := reply.Status == http.StatusOK && protocol.Decode(reply.Body, &status) == nil
	if !executed && mayBeExecuted(reply) {
		m.launchInDoubt = true
		c.log.Info("launch without an answer", "machine", m.id, "token", token, "attempts", len(attempts), "status", reply.Status)
		return
	}
	position := fencing.Position{Epoch: status.AgentEpoch, Sequence: status.Sequence}
	if executed && m.lastLaunch.Before(position) {
		m.lastLaunch = position
	}
	c.handleCommandReply(m, token, reply)
	for _, attempt := range attempts {
		delete(m.inFlight, attempt)
		if reply.Status == http.StatusConflict {
			delete(m.directLaunches, attempt)
		}
	}
}

// dropVoidLaunches drops the direct launches of which a heartbeat shows that no copy can be executed any
// more. The machine's table of them is thus bounded by the attempts that its heartbeats list and those
// launched since the token was last raised.
func (m *machine) dropVoidLaunches(heartbeat fencing.Heartbeat) {
	for attempt, launch := range m.directLaunches {
		if launch.Void(heartbeat) {
			delete(m.directLaunches, attempt)
		}
	}
}

// raiseTokenAbove raises the token of the machine's commands above that of a direct launch, which becomes
// void when the worker sees the new one, and reports whether the token is above that of the launch. It
// does not raise the token while a direct launch is unanswered: the worker would refuse a launch that an
// answer with the new token overtakes.
func (c *Core) raiseTokenAbove(m *machine, launch fencing.DirectLaunch) bool {
	if m.commandToken > launch.Token {
		return true
	}
	token, ok := c.workerState(m).RaisedToken(launch)
	if !ok || len(m.inFlight) > 0 {
		return false
	}
	m.commandToken = token
	c.Stats.TokensRaised++
	if c.verbose {
		c.log.Debug("token raised", "machine", m.id, "epoch", m.epoch, "token", token, "since", m.token)
	}
	return true
}

// typicalReplyTime is how long the reply to a direct command usually takes at most.
const typicalReplyTime = 100 * time.Millisecond

// justLaunched reports whether a direct launch of the attempt was sent a moment ago and has no reply yet. A
// heartbeat that crosses it does not list the attempt, and its answer need not repeat the launch.
func (c *Core) justLaunched(m *machine, attempt taskAttempt) bool {
	sentAt, launching := m.inFlight[attempt]
	return launching && c.now-sentAt < typicalReplyTime
}

// mayBeExecuted reports whether a direct command without a readable reply may have been
// executed, or may still be.
func mayBeExecuted(reply protocol.Reply) bool {
	noReply := reply.Status == 0 && reply.Sent
	return noReply || reply.Status == http.StatusOK || reply.Status >= http.StatusInternalServerError
}

// deferLaunch stores a launch that has to wait until the mirror is known to be complete.
func (m *machine) deferLaunch(attempt taskAttempt) {
	if !slices.Contains(m.deferredLaunches, attempt) {
		m.deferredLaunches = append(m.deferredLaunches, attempt)
	}
}

// queueDeferredLaunches queues deferred launches once the mirror is complete, so that they need not
// wait for the worker's next heartbeat.
func (c *Core) queueDeferredLaunches(m *machine) {
	if len(m.deferredLaunches) == 0 || !c.mirrorComplete(m) {
		return
	}
	deferred := m.deferredLaunches
	m.deferredLaunches = nil
	for _, attempt := range deferred {
		if c.launchStillWanted(m, attempt) {
			c.queueLaunch(m.id, attempt.taskKey, attempt.number)
		}
	}
}

// launchStillWanted reports whether a deferred launch is still to be sent.
func (c *Core) launchStillWanted(m *machine, attempt taskAttempt) bool {
	bound, ok := c.boundAttempt(m, attempt.taskKey)
	if !ok || bound.Number != attempt.number {
		return false
	}
	_, stopping := m.stops[attempt.taskKey]
	_, launching := m.inFlight[attempt]
	if stopping || m.preempted || launching {
		return false
	}
	return !c.releasePending(m.bound[attempt.taskKey], attempt.index)
}

// workerState returns what this controller knows of a machine's worker, as input to the fencing
// rules.
func (c *Core) workerState(m *machine) fencing.WorkerState {
	return fencing.WorkerState{
		Held:            c.isOwn(m),
		Token:           m.token,
		CommandToken:    m.commandToken,
		AppliedRevision: c.state.AppliedRevision(),
		TokenSeen:       m.tokenSeen,
		MirrorComplete:  c.mirrorComplete(m),
		LaunchInDoubt:   m.launchInDoubt,
		Epoch:           m.epoch,
		Sequence:        m.sequence,
		LastLaunch:      m.lastLaunch,
	}
}

// mirrorComplete reports whether the mirror was complete at some time since the worker first
// showed our token.
func (c *Core) mirrorComplete(m *machine) bool {
	if !m.mirrorComplete && m.tokenSeen && c.state.FreshAt() >= m.tokenSeenAt {
		m.mirrorComplete = true
	}
	return m.mirrorComplete
}

// boundAttempt returns the attempt with which the records bind a task to a machine; ok is false if
// they bind none.
func (c *Core) boundAttempt(m *machine, key taskKey) (attempt fencing.Attempt, ok bool) {
	record := m.bound[key]
	if record == nil {
		return fencing.Attempt{}, false
	}
	task := record.task(c, key.index)
	if task == nil || task.Phase != job.Bound || task.Machine != m.id {
		return fencing.Attempt{}, false
	}
	return fencing.Attempt{Number: task.Attempt, Epoch: task.Epoch, BoundAt: m.boundAt[key].revision}, true
}
