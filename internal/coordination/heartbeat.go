package coordination

import (
	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/protocol"
	"silvergate/internal/stateclient"
)

// This file answers the reports of workers: at once, or after a claim.

// handleHeartbeat takes a worker's report.
func (c *Core) handleHeartbeat(id uint64, body []byte) {
	c.Stats.Heartbeats++
	r, err := protocol.ParseHeartbeat(body)
	if err != nil {
		c.refuse(id, 400, err.Error())
		return
	}
	if !c.state.Loaded() {
		c.refuse(id, 503, "starting")
		return
	}
	c.links.WorkerHeard(r.Zone)
	c.answerHeartbeat(id, r, false)
}

// answerHeartbeat answers a report, at once or after a claim or the take-over of its worker's group.
// alone has the worker claimed alone where it needs a claim.
func (c *Core) answerHeartbeat(id uint64, r *protocol.Heartbeat, alone bool) {
	if peer := c.receiverWhileCutOff(r); peer != "" {
		c.respond(id, 421, protocol.Redirect{Controller: peer}, 0)
		return
	}
	if c.now-c.cancellationProof() > c.cancelHorizon() {
		// A cancellation may have been acknowledged that we can't see.
		c.refuse(id, 503, "cut off from the state service")
		return
	}
	m := c.machine(r.Worker)
	if peer := c.lessLoadedPeer(m, r.Zone); peer != "" {
		c.respond(id, 421, protocol.Redirect{Controller: peer}, 0)
		return
	}
	c.adoptClaim(m, r)
	c.fenceLaunchesOfFinalJobs(m, r)
	// What has passed by a group is claimed alone where a peer could not see who holds it.
	if c.workerState(m).JudgeHeartbeat(heartbeatHead(r)) != fencing.NeedsClaim && !(m.failedOver() && c.hasPeerBelowFormat(failoverFormat)) {
		c.acceptHeartbeat(id, m, r)
		return
	}
	if m.claiming {
		c.refuse(id, 503, "being claimed")
		return
	}
	if c.awaitsHolder(m, r) {
		c.refuse(id, 503, "its own controller may be back soon")
		return
	}
	if c.shouldRedirectToHolder(m, r) {
		c.respond(id, 421, protocol.Redirect{Controller: m.claim.Owner}, 0)
		return
	}
	if c.cutOff() && c.isolated() {
		// Others may serve it: it must not wait here for a claim that can't be written. (In an outage
		// that all see the wait costs nothing, and keeps workers from going round in haste.)
		c.refuse(id, 503, "cut off from the state service")
		return
	}
	if !alone && c.awaitGroupFailover(id, m, r) {
		return
	}
	c.claimMachine(m, r, 0, func(m *machine, ok bool) {
		if !ok {
			c.refuse(id, 503, "the claim failed")
			return
		}
		c.acceptHeartbeat(id, m, r)
	})
}

// claimMachine writes the claim for a new token.
func (c *Core) claimMachine(m *machine, r *protocol.Heartbeat, tries int, done func(*machine, bool)) {
	m.claiming = true
	c.machines.claimsInFlight++
	again := c.isOwn(m) && c.mirrorComplete(m) // nobody else can have held it since
	k := claimRecord{c.cfg.Node, c.incarnation, r.Address, r.MachineType, r.Zone, r.Spot, c.claimEpoch()}
	class := m.class()
	c.state.Txn(class, m.ownershipCompares(),
		[]protocol.Op{{Put: keyClaim + m.id, Value: encode(k)}}, func(o stateclient.TxnOutcome, _ []string, _ uint64) {
			m.claiming = false
			c.machines.claimsInFlight--
			// The machine may have been forgotten and met again meanwhile.
			m = c.machine(m.id)
			switch {
			case o == stateclient.Committed:
				m.resetForNewToken(c.now)
				m.mirrorComplete = again && tries == 0
				c.Stats.Claims++
				done(m, true)
			case (o == stateclient.Conflict || o == stateclient.Unknown) && tries < 1:
				m.claiming = true
				c.state.Refresh(class, keyClaim+m.id, func(ok bool) {
					m.claiming = false
					switch {
					case !ok:
						done(m, false)
					default:
						c.claimMachine(m, r, tries+1, done)
					}
				})
			default:
				done(m, false)
			}
		})
}

// acceptHeartbeat answers a report under our claim.
func (c *Core) acceptHeartbeat(id uint64, m *machine, r *protocol.Heartbeat) {
	if !c.isOwn(m) {
		c.refuse(id, 503, "the claim was lost")
		return
	}
	hearing := c.workerState(m).JudgeHeartbeat(heartbeatHead(r))
	if hearing == fencing.Stale {
		// Its list is old and its sender has given up on it.
		c.refuse(id, 503, "an older report")
		return
	}
	m.epoch, m.sequence, m.heardAt, m.failedProbes = r.AgentEpoch, r.Sequence, c.now, 0
	m.preempted = r.PreemptionNoticeS != nil
	if r.FencingToken == m.token && !m.tokenSeen {
		m.tokenSeen, m.tokenSeenAt = true, c.now
	}
	ans := protocol.HeartbeatResponse{FencingToken: m.token, Commands: []protocol.Command{}}
	if hearing != fencing.Trust {
		ans.Commands = c.killTasksOfFinalJobs(m, r)
		c.releaseEarlierEpochs(m, r)
	} else {
		ans.Commands = c.reconcile(m, r)
		m.leaseExpired = false
		if m.preempted {
			c.drainMachine(m, drainPreempted)
		}
		c.offerMachine(m)
	}
	c.scaler.unshipped.handleWorkerHeartbeat(m, r)
	ans.DataStore = c.staging.handleHeartbeat(m, r.DataStore)
	m.answeredAt = c.now
	c.effects.Responses = append(c.effects.Responses, Response{ID: id, Status: 200, Body: encode(ans), Urgent: m.urgent()})
}

// releaseEarlierEpochs releases what a report that is not believed shows to be of an earlier session.
func (c *Core) releaseEarlierEpochs(m *machine, r *protocol.Heartbeat) {
	for _, k := range m.tasks() {
		rec := m.bound[k]
		a, ok := c.boundHere(m, k)
		if !ok || c.releasePending(rec, k.index) {
			continue
		}
		if act, kind := fencing.JudgeEarlierEpoch(heartbeatHead(r), a); act == fencing.Release {
			c.propose(rec, k.index, taskTransition{machine: m.id, epoch: a.Epoch, attempt: a.Number, proof: kind})
		}
	}
}

// killTasksOfFinalJobs stops what belongs to jobs that are over. It is safe whatever the records
// lack, as final states never change.
//
// Guards against cancelled tasks that lived on: the answer to a report that is not
// believed renews the lease, and the horizon stands on every cancellation that we know
// of being told with the answer. A controller whose watch was late answered so for
// twenty seconds, and the next one after it.
//
// Also what is bound to the machine and not listed: a report that a direct launch has overtaken lacks what
// runs by now, and its answer renews the lease. (The model found it; a stop of what is not there does nothing.)
func (c *Core) killTasksOfFinalJobs(m *machine, r *protocol.Heartbeat) []protocol.Command {
	orders := []protocol.Command{}
	listed := map[string]bool{}
	for i := range r.Tasks {
		l := &r.Tasks[i]
		listed[l.Task] = true
		id, _, err := job.ParseTaskName(l.Task)
		if err == nil && l.Status != protocol.TaskEnded && c.knownFinal(id) {
			orders = append(orders, killCommand(l, 0))
		}
	}
	for _, k := range m.tasks() {
		name := job.TaskName(k.job, k.index)
		if a, ok := c.boundHere(m, k); ok && m.bound[k].final() && a.Epoch == r.AgentEpoch && !listed[name] {
			orders = append(orders, killCommand(&protocol.TaskStatus{Task: name, Attempt: a.Number}, 0))
		}
	}
	return orders
}

// knownFinal tells whether a job is known to be over, by its record or by a peer's word.
func (c *Core) knownFinal(id string) bool {
	rec := c.jobs.byID[id]
	return rec != nil && rec.final() || c.links.KnownCancelled(id)
}

// killCommand stops what a worker lists, within a time in seconds.
func killCommand(l *protocol.TaskStatus, grace float64) protocol.Command {
	return protocol.Command{Verb: protocol.VerbKill, Task: l.Task, Attempt: l.Attempt, GracePeriodS: &grace}
}

// launchCommand starts an attempt that evidence has let pass.
func (c *Core) launchCommand(m *machine, a taskAttempt) protocol.Command {
	c.traceStart(losses.Launch, a.job, a.index, a.number, m.id)
	return protocol.Command{Verb: protocol.VerbLaunch, Task: job.TaskName(a.job, a.index), Attempt: a.number, Grant: c.queries.grantLaunch(m, a.taskKey, a.number)}
}
