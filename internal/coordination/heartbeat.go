package coordination

import (
	"net/http"

	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/protocol"
)

// This file answers the heartbeats of workers, either at once or after the worker's machine
// has been claimed.

// handleHeartbeat handles a worker's heartbeat, which arrived in request id.
func (c *Core) handleHeartbeat(id uint64, body []byte) {
	c.Stats.Heartbeats++
	heartbeat, err := protocol.ParseHeartbeat(body)
	if err != nil {
		c.refuse(id, http.StatusBadRequest, err.Error())
		return
	}
	if c.refuseWhileLoading(id) {
		return
	}
	c.links.RecordWorkerContact(heartbeat.Zone)
	c.answerHeartbeat(id, heartbeat, false)
}

// answerHeartbeat answers a heartbeat, either at once or after a claim or the failover of its
// worker's group. If alone is set and the worker needs a claim, it is claimed individually
// instead of waiting for a failover of its group.
func (c *Core) answerHeartbeat(id uint64, heartbeat *protocol.Heartbeat, alone bool) {
	if peer := c.redirectTargetWhileCutOff(heartbeat); peer != "" {
		c.redirect(id, peer)
		return
	}
	if c.now-c.cancellationProof() > c.cancelHorizon() {
		// A peer may have acknowledged a cancellation that we have not heard of.
		c.refuse(id, http.StatusServiceUnavailable, "cut off from the state service")
		return
	}
	m := c.machine(heartbeat.Worker)
	if peer := c.lessLoadedPeer(m, heartbeat.Zone); peer != "" {
		c.redirect(id, peer)
		return
	}
	c.adoptClaim(m, heartbeat)
	c.fenceLaunchesOfFinalJobs(m, heartbeat)
	if !c.needsClaim(m, heartbeat) {
		c.acceptHeartbeat(id, m, heartbeat)
		return
	}
	c.answerUnclaimed(id, m, heartbeat, alone)
}

// needsClaim reports whether a claim must be written before a heartbeat can be answered.
func (c *Core) needsClaim(m *machine, heartbeat *protocol.Heartbeat) bool {
	if c.workerState(m).JudgeHeartbeat(heartbeatHead(heartbeat)) == fencing.NeedsClaim {
		return true
	}
	// A machine that failed over with its group is claimed individually while a peer runs a
	// version that does not read failover records and so can't tell who owns the machine.
	return m.failedOver() && c.hasPeerBelowFormat(failoverFormat)
}

// answerUnclaimed answers the heartbeat of a worker that needs a claim. The worker is redirected
// or refused if another controller is expected to serve it, and claimed otherwise.
func (c *Core) answerUnclaimed(id uint64, m *machine, heartbeat *protocol.Heartbeat, alone bool) {
	if m.claiming {
		c.refuse(id, http.StatusServiceUnavailable, "being claimed")
		return
	}
	if c.awaitsOwner(m, heartbeat) {
		c.refuse(id, http.StatusServiceUnavailable, "its own controller may be back soon")
		return
	}
	if c.shouldRedirectToOwner(m, heartbeat) {
		c.redirect(id, m.claim.Owner)
		return
	}
	if c.cutOff() && c.isolated() {
		// Other controllers may be able to serve the worker, so it must not wait here for a claim
		// that can't be written. (In an outage that affects all controllers the wait costs nothing,
		// and it keeps workers from trying one controller after another in quick succession.)
		c.refuse(id, http.StatusServiceUnavailable, "cut off from the state service")
		return
	}
	if !alone && c.awaitGroupFailover(id, m, heartbeat) {
		return
	}
	c.claimMachine(m, heartbeat, 0, func(m *machine, ok bool) {
		if !ok {
			c.refuse(id, http.StatusServiceUnavailable, "the claim failed")
			return
		}
		c.acceptHeartbeat(id, m, heartbeat)
	})
}

// acceptHeartbeat answers a heartbeat of a worker whose machine we own.
func (c *Core) acceptHeartbeat(id uint64, m *machine, heartbeat *protocol.Heartbeat) {
	if !c.isOwn(m) {
		c.refuse(id, http.StatusServiceUnavailable, "the claim was lost")
		return
	}
	verdict := c.workerState(m).JudgeHeartbeat(heartbeatHead(heartbeat))
	if verdict == fencing.Stale {
		// The heartbeat's task list is old, and the worker no longer waits for the answer.
		c.refuse(id, http.StatusServiceUnavailable, "an older report")
		return
	}
	c.recordHeartbeat(m, heartbeat)
	response := protocol.HeartbeatResponse{Commands: []protocol.Command{}}
	if verdict == fencing.Trust {
		response.Commands = c.reconcile(m, heartbeat)
		m.unforgotten = countForgets(response.Commands)
		m.leaseExpired = false
		if m.preempted {
			c.drainMachine(m, drainPreempted)
		}
		c.offerMachine(m)
	} else {
		response.Commands = c.killTasksOfFinalJobs(m, heartbeat)
		c.releaseEarlierEpochs(m, heartbeat)
	}
	c.scaler.unshipped.handleWorkerHeartbeat(m, heartbeat)
	response.DataStore = c.staging.handleHeartbeat(m, heartbeat.DataStore)
	m.answeredAt = c.now
	response.FencingToken = m.commandToken
	c.effects.Responses = append(c.effects.Responses, Response{ID: id, Status: http.StatusOK, Body: encode(response), Urgent: m.urgent()})
}

// countForgets counts the commands that remove ended tasks from the worker's heartbeats.
func countForgets(commands []protocol.Command) (count int) {
	for i := range commands {
		if commands[i].Verb == protocol.VerbForget {
			count++
		}
	}
	return count
}

// recordHeartbeat updates the machine's state from a heartbeat that arrives while we own the
// machine.
func (c *Core) recordHeartbeat(m *machine, heartbeat *protocol.Heartbeat) {
	m.epoch = heartbeat.AgentEpoch
	m.sequence = heartbeat.Sequence
	m.heardAt = c.now
	m.failedProbes = 0
	m.preempted = heartbeat.PreemptionNoticeS != nil
	if heartbeat.FencingToken >= m.token && !m.tokenSeen {
		m.tokenSeen = true
		m.tokenSeenAt = c.now
	}
}

// releaseEarlierEpochs releases the tasks that were bound in an earlier agent epoch than that of
// an untrusted heartbeat.
func (c *Core) releaseEarlierEpochs(m *machine, heartbeat *protocol.Heartbeat) {
	for _, key := range m.boundTasks() {
		record := m.bound[key]
		attempt, ok := c.boundAttempt(m, key)
		if !ok || c.releasePending(record, key.index) {
			continue
		}
		action, proof := fencing.JudgeEarlierEpoch(heartbeatHead(heartbeat), attempt)
		if action == fencing.Release {
			c.propose(record, key.index, taskTransition{machine: m.id, epoch: attempt.Epoch, attempt: attempt.Number, proof: proof})
		}
	}
}

// killTasksOfFinalJobs returns the commands that stop the tasks of jobs in a final state. This is
// safe even if our mirror is incomplete, because final states never change.
//
// Guards against cancelled tasks that kept running: the answer to an untrusted heartbeat renews
// the worker's lease, and the cancel horizon relies on the answer carrying a stop for every
// cancellation that we know of. A controller whose watch was late answered without stops for
// twenty seconds, and so did the controller that owned the machine after it.
//
// Tasks that are bound to the machine but not listed are stopped too: a heartbeat that a direct
// launch has overtaken does not list the launched task, which may be running by now, and its
// answer renews the lease. (The model in internal/fencing found this. Stopping a task that is
// not on the worker has no effect.)
func (c *Core) killTasksOfFinalJobs(m *machine, heartbeat *protocol.Heartbeat) []protocol.Command {
	commands := []protocol.Command{}
	listed := map[string]bool{}
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		listed[status.Task] = true
		id, _, err := job.ParseTaskName(status.Task)
		if err == nil && status.Status != protocol.TaskEnded && c.knownFinal(id) {
			commands = append(commands, killCommand(status, 0))
		}
	}
	for _, key := range m.boundTasks() {
		name := job.TaskName(key.job, key.index)
		attempt, ok := c.boundAttempt(m, key)
		if ok && m.bound[key].final() && attempt.Epoch == heartbeat.AgentEpoch && !listed[name] {
			commands = append(commands, killCommand(&protocol.TaskStatus{Task: name, Attempt: attempt.Number}, 0))
		}
	}
	return commands
}

// knownFinal reports whether a job is known to be in a final state, either from its record or
// because a peer has reported it as cancelled.
func (c *Core) knownFinal(id string) bool {
	record := c.jobs.byID[id]
	return record != nil && record.final() || c.links.KnownCancelled(id)
}

// killCommand returns the command that stops a listed attempt, with a grace period in seconds.
func killCommand(status *protocol.TaskStatus, gracePeriod float64) protocol.Command {
	return protocol.Command{Verb: protocol.VerbKill, Task: status.Task, Attempt: status.Attempt, GracePeriodS: &gracePeriod}
}

// launchCommand returns the command that starts an attempt whose launch the fencing rules have
// allowed.
func (c *Core) launchCommand(m *machine, attempt taskAttempt) protocol.Command {
	c.traceStart(losses.Launch, attempt.job, attempt.index, attempt.number, m.id)
	return protocol.Command{
		Verb:    protocol.VerbLaunch,
		Task:    job.TaskName(attempt.job, attempt.index),
		Attempt: attempt.number,
		Grant:   c.queries.sealLaunchGrant(m, attempt.taskKey, attempt.number),
	}
}

// heartbeatHead returns the fields of a heartbeat that the fencing rules judge: all but the task
// list.
func heartbeatHead(heartbeat *protocol.Heartbeat) fencing.Heartbeat {
	return fencing.Heartbeat{Token: heartbeat.FencingToken, Epoch: heartbeat.AgentEpoch, Sequence: heartbeat.Sequence}
}
