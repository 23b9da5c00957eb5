package coordination

import (
	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/protocol"
)

// This file compares a trusted heartbeat with the records.

// reconcile compares a heartbeat with the records and returns the commands for the worker.
// Missing tasks are launched, unwanted ones are stopped, and completions are proposed for commit
// and forgotten by the worker once committed.
func (c *Core) reconcile(m *machine, heartbeat *protocol.Heartbeat) []protocol.Command {
	commands := []protocol.Command{}
	state := c.workerState(m)
	m.dropVoidLaunches(heartbeatHead(heartbeat))
	m.deferredLaunches = nil // tasks that the heartbeat does not list are judged again below
	listed := c.machines.listedBuffer
	clear(listed)
	for i := range heartbeat.Tasks {
		commands = c.reconcileListed(commands, m, state, heartbeat, &heartbeat.Tasks[i], listed)
	}
	for _, key := range m.unlisted(listed) {
		commands = c.reconcileMissing(commands, m, state, heartbeat, key)
	}
	for key := range m.stops {
		if m.bound[key] == nil {
			delete(m.stops, key)
		}
	}
	return commands
}

// reconcileListed judges an attempt that a trusted heartbeat lists, and appends the command
// for it, if any. If the attempt is the one bound to this machine, its task is added to listed.
func (c *Core) reconcileListed(commands []protocol.Command, m *machine, state fencing.WorkerState, heartbeat *protocol.Heartbeat, status *protocol.TaskStatus, listed map[taskKey]bool) []protocol.Command {
	id, index, err := job.ParseTaskName(status.Task)
	if err != nil {
		return commands
	}
	key := taskKey{id, index}
	attempt, bound := c.boundAttempt(m, key)
	listedAttempt := fencing.ListedAttempt{Number: status.Attempt, Ended: status.Status == protocol.TaskEnded}
	launch := m.directLaunches[taskAttempt{key, status.Attempt}]
	action, _ := state.JudgeListed(heartbeatHead(heartbeat), listedAttempt, attempt, bound, launch)
	if action == fencing.RaiseToken && c.raiseTokenAbove(m, launch) {
		action = fencing.Forget // with the answer to this heartbeat, which carries the new token
	}
	switch action {
	case fencing.RaiseToken:
		return commands // the worker is told to forget the attempt later
	case fencing.Forget:
		c.Stats.Forgets++
		command := protocol.Command{Verb: protocol.VerbForget, Task: status.Task, Attempt: status.Attempt}
		c.traceCommand("attempt forgotten", m, command)
		return append(commands, command)
	case fencing.Kill:
		c.logUnboundAttempt(m, heartbeat, key, status)
		return append(commands, killCommand(status, 0))
	}
	record := c.jobs.byID[id]
	listed[key] = true
	if c.verbose {
		c.log.Debug("task status", "task", status.Task, "attempt", status.Attempt, "status", status.Status, "cause", status.Cause, "machine", m.id)
	}
	if action == fencing.Release {
		c.proposeCompletion(m, record, key, status)
		return commands
	}
	c.recordProgress(m, record, key, status)
	if record.final() {
		return append(commands, killCommand(status, 0))
	}
	if stop, ok := m.stops[key]; ok && status.Status != protocol.TaskCheckpointing {
		return append(commands, killCommand(status, stop.gracePeriod))
	}
	return commands
}

// logUnboundAttempt logs that a machine runs an attempt that the records don't bind there, and what
// they say of its task.
func (c *Core) logUnboundAttempt(m *machine, heartbeat *protocol.Heartbeat, key taskKey, status *protocol.TaskStatus) {
	c.Stats.UnboundAttempts++
	var recorded job.Task
	if record := c.jobs.byID[key.job]; record != nil && !record.final() {
		if task := record.task(c, key.index); task != nil {
			recorded = *task
		}
	}
	c.log.Warn("stopping an attempt that is not bound to its machine", "task", status.Task, "attempt", status.Attempt, "status", status.Status,
		"machine", m.id, "epoch", heartbeat.AgentEpoch, "shown", heartbeat.FencingToken, "token", m.token, "revision", c.state.AppliedRevision(),
		"bound_attempt", recorded.Attempt, "bound_to", recorded.Machine)
}

// recordProgress records whether a heartbeat shows an attempt as running or as waiting for its
// image.
func (c *Core) recordProgress(m *machine, record *jobRecord, key taskKey, status *protocol.TaskStatus) {
	image := record.spec.Image
	switch status.Status {
	case protocol.TaskRunning:
		if m.recordRunning(key, c.now) {
			c.traceStart(losses.Began, key.job, key.index, status.Attempt, m.id)
		}
		m.imageReadyAt[image] = min(m.imageReadyAt[image], c.now)
		delete(m.pulling, key)
	case protocol.TaskPulling:
		m.pulling[key] = true
		// The image is not expected before the next heartbeat.
		nextHeartbeatAt := c.now + seconds(c.cfg.Facts.Workers.Heartbeat)
		if m.imageReadyAt[image] < nextHeartbeatAt {
			m.imageReadyAt[image] = nextHeartbeatAt
		}
	}
}

// reconcileMissing judges a task that is bound to the machine but not listed by a trusted
// heartbeat, and appends the command for it, if any.
func (c *Core) reconcileMissing(commands []protocol.Command, m *machine, state fencing.WorkerState, heartbeat *protocol.Heartbeat, key taskKey) []protocol.Command {
	record := m.bound[key]
	task := record.task(c, key.index)
	_, stopping := m.stops[key]
	wanted := !record.final() && !stopping && !m.preempted
	attempt := taskAttempt{key, task.Attempt}
	boundAttempt, _ := c.boundAttempt(m, key)
	launch := m.directLaunches[attempt]
	action, proof := state.JudgeMissing(heartbeatHead(heartbeat), boundAttempt, launch, wanted, c.releasePending(record, key.index))
	switch action {
	case fencing.RaiseToken:
		c.raiseTokenAbove(m, launch)
	case fencing.Release:
		m.vacate(key, record)
		c.propose(record, key.index, taskTransition{machine: m.id, epoch: task.Epoch, attempt: task.Attempt, proof: proof})
		if proof == fencing.NotListed {
			delete(m.stops, key)
		}
	case fencing.Launch:
		if !c.justLaunched(m, attempt) {
			return append(commands, c.launchCommand(m, attempt))
		}
	case fencing.Keep:
		if wanted && task.Epoch == heartbeat.AgentEpoch && !c.justLaunched(m, attempt) {
			m.deferLaunch(attempt)
		}
	}
	return commands
}

// releasePending reports whether a release or completion of the task is queued or being
// written.
func (c *Core) releasePending(record *jobRecord, index int) bool {
	if c.writer.completions.queued[taskKey{record.spec.ID, index}] {
		return true
	}
	page := c.findPageOf(record, index)
	if page == nil {
		return false
	}
	for i := range page.queue {
		if page.queue[i].index == index-page.firstTask && !page.queue[i].placement {
			return true
		}
	}
	return page.inFlight
}

// proposeCompletion proposes the completion of a task that a trusted heartbeat lists as
// ended.
func (c *Core) proposeCompletion(m *machine, record *jobRecord, key taskKey, status *protocol.TaskStatus) {
	task := record.task(c, key.index)
	transition := taskTransition{
		machine: m.id,
		epoch:   task.Epoch,
		attempt: task.Attempt,
		proof:   fencing.Ended,
		done:    status.Cause == protocol.CauseDone,
		failed:  status.Cause == protocol.CauseError,
		cause:   status.Cause,
	}
	if transition.failed {
		c.log.Info("task failed", "task", status.Task, "machine", m.id, "failures", task.Failures+1)
	}
	m.vacate(key, record)
	c.propose(record, key.index, transition)
}
