package coordination

import (
	"net/http"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// stopTask commands a worker to stop a task, with a direct call and with every heartbeat answer
// until the task has stopped. A stop that is executed late does no harm, because it names the
// attempt.
func (c *Core) stopTask(m *machine, k taskKey, reason string) {
	record := m.bound[k]
	if record == nil || !c.isOwn(m) {
		return
	}
	t := record.task(c, k.index)
	grace := 0.0
	if record.spec.CheckpointIntervalS > 0 && !isGang(record) { // a gang only saves a checkpoint if all its tasks get notice in time
		grace = record.spec.CheckpointSaveS * 2
	}
	m.stops[k] = taskStop{grace, reason, c.now}
	c.sendCommands(m, killCommand(&protocol.TaskStatus{Task: job.TaskName(k.job, k.index), Attempt: t.Attempt}, grace))
}

// sendCommands sends commands to a worker in a direct call, before its next heartbeat.
// handleCommandReply handles the reply.
func (c *Core) sendCommands(m *machine, commands ...protocol.Command) {
	if m.claim.Address == "" || !m.tokenSeen {
		return
	}
	token := m.token
	c.call(c.directCall(m, commands), func(r protocol.Reply) { c.handleCommandReply(m, token, r) })
}

// directCall returns the call that sends commands to a machine's worker directly.
func (c *Core) directCall(m *machine, commands []protocol.Command) protocol.Call {
	return protocol.Call{
		Target:  protocol.ToWorker,
		Address: m.claim.Address,
		Method:  http.MethodPost,
		Path:    protocol.PathCommands,
		Body:    encode(protocol.DirectCommands{FencingToken: m.commandToken, AgentEpoch: m.epoch, Commands: commands}),
		Timeout: seconds(c.cfg.Facts.Workers.Heartbeat / 2),
	}
}

// stopUnstartedTasks stops those tasks of a cancelled job on machines of ours that are not known to
// have started, because no task may start once the user's request is answered. Tasks that are
// running are stopped with the answers to the next heartbeats.
func (c *Core) stopUnstartedTasks(r *jobRecord) {
	if r.status != job.Cancelled || r.bound == 0 {
		return
	}
	commands := map[string][]protocol.Command{}
	for _, p := range r.pages {
		for i := range p.tasks {
			t := &p.tasks[i]
			if t.Phase != job.Bound {
				continue
			}
			k := p.taskKey(i)
			m := c.machines.byID[t.Machine]
			if m != nil && c.isOwn(m) && t.Epoch == m.epoch && m.runningSince[k] == 0 {
				commands[m.id] = append(commands[m.id], killCommand(&protocol.TaskStatus{Task: job.TaskName(k.job, k.index), Attempt: t.Attempt}, 0))
			}
		}
	}
	for _, id := range sortedKeys(commands) {
		c.sendCommands(c.machines.byID[id], commands[id]...)
	}
}

// handleCommandReply handles the heartbeat in the reply to direct commands. It only uses the tasks
// that are listed as ended, because that stays true however late the reply arrives.
func (c *Core) handleCommandReply(m *machine, token uint64, r protocol.Reply) {
	var reply protocol.Heartbeat
	if r.Status != http.StatusOK || m.token != token || protocol.Decode(r.Body, &reply) != nil {
		return
	}
	if reply.FencingToken < token || reply.FencingToken > m.commandToken || c.state.AppliedRevision() < token {
		return
	}
	c.scaler.unshipped.handleCommandReply(m, &reply)
	vacatedBefore := len(m.vacated)
	defer func() {
		if len(m.vacated) > vacatedBefore {
			c.offerFreedMachine(m.id)
		}
	}()
	for i := range reply.Tasks {
		status := &reply.Tasks[i]
		id, index, err := job.ParseTaskName(status.Task)
		if status.Status != protocol.TaskEnded || err != nil {
			continue
		}
		k := taskKey{id, index}
		rec := m.bound[k]
		if rec == nil {
			continue
		}
		t := rec.task(c, index)
		sameAttempt := t.Phase == job.Bound && t.Machine == m.id && t.Epoch == reply.AgentEpoch && t.Attempt == status.Attempt
		if sameAttempt && !c.releasePending(rec, index) {
			c.proposeCompletion(m, rec, k, status)
		}
	}
}

// recordRunning records when a task was first seen running, and reports whether this is the first
// time.
func (m *machine) recordRunning(k taskKey, at time.Duration) bool {
	if _, known := m.runningSince[k]; known {
		return false
	}
	m.runningSince[k] = at
	return true
}
