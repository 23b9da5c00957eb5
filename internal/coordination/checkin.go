package coordination

import (
	"silvergate/internal/bookkeeping"
	"silvergate/internal/evidence"
	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/protocol"
)

// This file answers the reports of workers: at once, or after a claim.

// checkin takes a worker's report.
func (c *Core) checkin(id uint64, body []byte) {
	c.Stats.Checkins++
	r, err := protocol.ParseHeartbeat(body)
	if err != nil {
		c.refuse(id, 400, err.Error())
		return
	}
	if !c.store.Loaded() {
		c.refuse(id, 503, "starting")
		return
	}
	c.reach.WorkerHeard(r.Zone)
	c.hear(id, r, false)
}

// hear answers a report, at once or after a claim or the take-over of its worker's group.
// alone has the worker claimed alone where it needs a claim.
func (c *Core) hear(id uint64, r *protocol.Heartbeat, alone bool) {
	if peer := c.betterPlaced(r); peer != "" {
		c.answer(id, 421, protocol.Redirect{Controller: peer}, 0)
		return
	}
	if c.now-c.proof() > c.horizon() {
		// A cancellation may have been acknowledged that we can't see.
		c.refuse(id, 503, "cut off from the state service")
		return
	}
	m := c.machine(r.Worker)
	if peer := c.better(m, r.Zone); peer != "" {
		c.answer(id, 421, protocol.Redirect{Controller: peer}, 0)
		return
	}
	c.adopt(m, r)
	c.voidLaunches(m, r)
	// What has passed by a group is claimed alone where a peer could not see who holds it.
	if c.standing(m).JudgeHeartbeat(head(r)) != evidence.NeedsClaim && !(m.passed() && c.earlierVersion(takeoverFormat)) {
		c.accept(id, m, r)
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
	if c.hasHolder(m, r) {
		c.answer(id, 421, protocol.Redirect{Controller: m.claim.Owner}, 0)
		return
	}
	if c.cutOff() && c.isolated() {
		// Others may serve it: it must not wait here for a claim that can't be written. (In an outage
		// that all see the wait costs nothing, and keeps workers from going round in haste.)
		c.refuse(id, 503, "cut off from the state service")
		return
	}
	if !alone && c.takeGroup(id, m, r) {
		return
	}
	c.take(m, r, 0, func(m *machine, ok bool) {
		if !ok {
			c.refuse(id, 503, "the claim failed")
			return
		}
		c.accept(id, m, r)
	})
}

// take writes the claim for a new token.
func (c *Core) take(m *machine, r *protocol.Heartbeat, tries int, done func(*machine, bool)) {
	m.claiming = true
	c.claims++
	again := c.mine(m) && c.proved(m) // nobody else can have held it since
	k := claim{c.cfg.Node, c.life, r.Address, r.MachineType, r.Zone, r.Spot, c.ownEpoch()}
	class := m.class()
	c.store.Txn(class, m.holding(),
		[]protocol.Op{{Put: keyClaim + m.id, Value: encode(k)}}, func(o bookkeeping.TxnOutcome, _ []string, _ uint64) {
			m.claiming = false
			c.claims--
			// The machine may have been forgotten and met again meanwhile.
			m = c.machine(m.id)
			switch {
			case o == bookkeeping.Committed:
				m.renewed(c.now)
				m.proved = again && tries == 0
				c.Stats.Claims++
				done(m, true)
			case (o == bookkeeping.Conflict || o == bookkeeping.Unknown) && tries < 1:
				m.claiming = true
				c.store.Refresh(class, keyClaim+m.id, func(ok bool) {
					m.claiming = false
					switch {
					case !ok:
						done(m, false)
					default:
						c.take(m, r, tries+1, done)
					}
				})
			default:
				done(m, false)
			}
		})
}

// accept answers a report under our claim.
func (c *Core) accept(id uint64, m *machine, r *protocol.Heartbeat) {
	if !c.mine(m) {
		c.refuse(id, 503, "the claim was lost")
		return
	}
	hearing := c.standing(m).JudgeHeartbeat(head(r))
	if hearing == evidence.Stale {
		// Its list is old and its sender has given up on it.
		c.refuse(id, 503, "an older report")
		return
	}
	m.session, m.tally, m.heard, m.mute = r.AgentEpoch, r.Sequence, c.now, 0
	m.recalled = r.PreemptionNoticeS != nil
	if r.FencingToken == m.stamp && !m.shown {
		m.shown, m.shownAt = true, c.now
	}
	ans := protocol.HeartbeatResponse{FencingToken: m.stamp, Commands: []protocol.Command{}}
	if hearing != evidence.Trust {
		ans.Commands = c.killFinal(m, r)
		c.outlived(m, r)
	} else {
		ans.Commands = c.orders(m, r)
		m.released = false
		if m.recalled {
			c.drain(m, drainRecall)
		}
		c.join(m)
	}
	c.fleet.unshipped.report(m, r)
	ans.DataStore = c.data.report(m, r.DataStore)
	m.answered = c.now
	c.out.Answers = append(c.out.Answers, Answer{ID: id, Status: 200, Body: encode(ans), Urgent: m.urgent()})
}

// outlived releases what a report that is not believed shows to be of an earlier session.
func (c *Core) outlived(m *machine, r *protocol.Heartbeat) {
	for _, k := range m.tasks() {
		rec := m.bound[k]
		a, ok := c.boundHere(m, k)
		if !ok || c.ending(rec, k.index) {
			continue
		}
		if act, kind := evidence.JudgeEarlierEpoch(head(r), a); act == evidence.Release {
			c.propose(rec, k.index, change{machine: m.id, session: a.Epoch, try: a.Number, kind: kind})
		}
	}
}

// killFinal stops what belongs to jobs that are over. It is safe whatever the records
// lack, as final states never change.
//
// Guards against cancelled tasks that lived on: the answer to a report that is not
// believed renews the lease, and the horizon stands on every cancellation that we know
// of being told with the answer. A controller whose watch was late answered so for
// twenty seconds, and the next one after it.
//
// Also what is bound to the machine and not listed: a report that a direct launch has overtaken lacks what
// runs by now, and its answer renews the lease. (The model found it; a stop of what is not there does nothing.)
func (c *Core) killFinal(m *machine, r *protocol.Heartbeat) []protocol.Command {
	orders := []protocol.Command{}
	listed := map[string]bool{}
	for i := range r.Tasks {
		l := &r.Tasks[i]
		listed[l.Task] = true
		id, _, err := job.ParseTaskName(l.Task)
		if err == nil && l.Status != protocol.TaskEnded && c.over(id) {
			orders = append(orders, kill(l, 0))
		}
	}
	for _, k := range m.tasks() {
		name := job.TaskName(k.id, k.index)
		if a, ok := c.boundHere(m, k); ok && m.bound[k].final() && a.Epoch == r.AgentEpoch && !listed[name] {
			orders = append(orders, kill(&protocol.TaskStatus{Task: name, Attempt: a.Number}, 0))
		}
	}
	return orders
}

// over tells whether a job is known to be over, by its record or by a peer's word.
func (c *Core) over(id string) bool {
	rec := c.jobs[id]
	return rec != nil && rec.final() || c.reach.Named(id)
}

// kill stops what a worker lists, within a time in seconds.
func kill(l *protocol.TaskStatus, grace float64) protocol.Command {
	return protocol.Command{Verb: protocol.VerbKill, Task: l.Task, Attempt: l.Attempt, GracePeriodS: &grace}
}

// launch starts an attempt that evidence has let pass.
func (c *Core) launch(m *machine, a attempt) protocol.Command {
	c.traceStart(losses.Launch, a.id, a.index, a.try, m.id)
	return protocol.Command{Verb: protocol.VerbLaunch, Task: job.TaskName(a.id, a.index), Attempt: a.try, Grant: c.view.sealLaunch(m, a.taskKey, a.try)}
}
