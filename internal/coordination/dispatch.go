package coordination

import (
	"maps"
	"sort"
	"time"

	"silvergate/internal/peer"
)

// maxPagesInFlight is how many pages' worth of a job's tasks may be in dispatch at a time. A
// page is in only one transaction at a time, and a page of the largest jobs names more machines
// than one transaction holds: in a simulation of shiftbook-akl-ops, 25,000 small tasks took
// 269 s with one page in dispatch and 162 s with four.
const maxPagesInFlight = 4

// Bounds on the tasks in dispatch of all jobs together, so that the memory of a controller does not
// follow the number of waiting tasks.
const (
	dispatchMemoryShare = 0.04 // of the memory limit, for the tasks in dispatch
	dispatchedTaskBytes = 256  // that a task in dispatch takes: its queue entry and the maps that hold it
)

// maxTasksInDispatch returns how many tasks of all jobs together may be in dispatch. Beyond that, each
// further job has one.
func (c *Core) maxTasksInDispatch() int {
	return int(c.cfg.Facts.Limits.RAMMB * (1 << 20) * dispatchMemoryShare / dispatchedTaskBytes)
}

// updateDispatchWindow sets how many tasks of a job may be in dispatch: a few pages' worth, but at
// most what the more urgent jobs leave.
func (c *Core) updateDispatchWindow(r *jobRecord) {
	largest := maxPagesInFlight * c.tasksPerPage()
	left := c.maxTasksInDispatch() - c.scheduler.inDispatch
	r.dispatchWindow = min(largest, max(1, left))
	if r.dispatchWindow == largest {
		return
	}
	maps.DeleteFunc(r.dispatchAfter, func(index int, at time.Duration) bool {
		return at <= c.now && r.queuedByIndex[index] == nil
	})
}

// dispatchJob places a job's pending tasks on this controller's idle machines as far as they
// fit, and probes peers for the rest.
func (c *Core) dispatchJob(r *jobRecord) {
	if r == nil || r.final() {
		return
	}
	if isGang(r) {
		c.startGang(r)
		return
	}
	var unplaced []int
	// The limit guards against the largest jobs, whose tasks would fill queues and messages.
	c.updateDispatchWindow(r)
	pending, noneFits := 0, false
	for i := range r.pendingTasks() {
		if pending == r.dispatchWindow {
			break
		}
		pending++
		if r.queuedByIndex[i] != nil || c.now < r.dispatchAfter[i] || !c.placeable(r, i) {
			continue
		}
		if noneFits { // a job's tasks are alike: if one does not fit, none does
			unplaced = append(unplaced, i)
			continue
		}
		if !c.placeOnIdleMachine(r, i) { // step 2 of the thesis
			noneFits = true
			unplaced = append(unplaced, i)
		}
	}
	c.scheduler.inDispatch += pending
	c.probe(r, unplaced)
}

// placeOnIdleMachine places a task on a machine of the idle list, or lets it wait for a machine
// that has its image or inputs, and reports whether any idle machine fits the task.
func (c *Core) placeOnIdleMachine(r *jobRecord, index int) bool {
	m := c.pickIdleMachine(r)
	if m == nil {
		return false
	}
	if !c.preemptOnWarmMachine(r, index, m) && !c.staging.waitsForWarmMachine(r, index, m) {
		c.placeTask(r, index, m)
	}
	return true
}

// probe implements steps 3 and 4 of the thesis, whose parameter d is the setting Probes: it checks
// the published length of the idle lists of up to d-2 random peers; if all are empty, one more
// random peer gets the tasks whatever the length of its idle list. The tasks of a job are not
// probed for one by one, but split into parts, at most one more than there are members.
func (c *Core) probe(r *jobRecord, tasks []int) {
	for parts := 1 + len(c.membership.members); len(tasks) > 0; parts-- {
		n := (len(tasks) + parts - 1) / max(1, parts)
		c.handOffOrEnqueue(r, tasks[:n])
		tasks = tasks[n:]
	}
}

// maxHandoffTasks is the largest number of tasks in one handoff message.
const maxHandoffTasks = 1024

// handOffOrEnqueue hands tasks off to the peer that pickPeer picks, or enqueues them here if
// there is none.
func (c *Core) handOffOrEnqueue(r *jobRecord, tasks []int) {
	target := c.pickPeer()
	if target == "" {
		c.enqueue(r, tasks, 0)
		return
	}
	retryAt := c.now + 2*c.cfg.Operator.PublishInterval
	for _, i := range tasks {
		r.deferDispatch(i, retryAt)
	}
	c.Stats.Handoffs += uint64(len(tasks))
	for len(tasks) > 0 {
		n := min(len(tasks), maxHandoffTasks)
		handoff := &peer.TaskHandoff{Job: r.spec.ID, Tasks: tasks[:n]}
		c.send(target, peer.Message{Handoff: handoff})
		tasks = tasks[n:]
	}
}

// pickPeer picks a peer to hand tasks off to, in random order: the first probed peer with idle
// machines, or else the next peer if it has any machines. It returns "" if there is none.
func (c *Core) pickPeer() string {
	var peers []string
	for _, p := range c.cfg.Peers {
		if c.membership.members[p.Node] != nil {
			peers = append(peers, p.Node)
		}
	}
	sort.Strings(peers)
	c.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	probed := 0
	for probed < len(peers) && probed < c.cfg.Operator.Probes-2 {
		if c.membership.members[peers[probed]].IdleMachines > 0 {
			return peers[probed]
		}
		probed++
	}
	// A queued task waits for a machine, so a controller without any machines
	// can't take it.
	if probed < len(peers) && c.membership.members[peers[probed]].Machines > 0 {
		return peers[probed]
	}
	return ""
}

// deferDispatch records that a task is not to be dispatched before a time, because it was handed
// off to another controller.
func (r *jobRecord) deferDispatch(i int, until time.Duration) {
	if r.dispatchAfter == nil {
		r.dispatchAfter = map[int]time.Duration{}
	}
	r.dispatchAfter[i] = until
}

// receiveHandoff places tasks handed off by a peer on idle machines, or else queues them. It
// returns them to the peer if no machine here could hold them.
func (c *Core) receiveHandoff(from string, handoff *peer.TaskHandoff) {
	r := c.jobs.byID[handoff.Job]
	if r == nil {
		// Guards against a lagging mirror: a peer's message often arrives before
		// the watch delivers the new job. Without this the tasks were dropped and
		// waited until their sender tried again.
		if len(c.scheduler.earlyHandoffs) < maxEarlyHandoffs {
			c.scheduler.earlyHandoffs[handoff.Job] = append(c.scheduler.earlyHandoffs[handoff.Job], earlyHandoff{from, handoff, c.now})
		}
		return
	}
	if r.final() {
		return
	}
	var unplaced []int
	for _, i := range handoff.Tasks {
		if !c.placeable(r, i) {
			continue
		}
		// Once one task did not fit, no idle machine fits the others.
		if len(unplaced) > 0 || !c.placeOnIdleMachine(r, i) {
			unplaced = append(unplaced, i)
		}
	}
	if len(unplaced) > 0 && c.machineThatCouldHold(r) == nil {
		returned := &peer.TaskHandoff{Job: handoff.Job, Tasks: unplaced}
		c.send(from, peer.Message{HandoffReturn: returned})
		return
	}
	c.enqueue(r, unplaced, c.now+3*c.cfg.Operator.PublishInterval)
}

// handleHandoffReturn schedules a new dispatch of tasks that a peer has returned because it has
// no machine for them.
func (c *Core) handleHandoffReturn(handoff *peer.TaskHandoff) {
	r := c.jobs.byID[handoff.Job]
	if r == nil || r.final() {
		return
	}
	for _, i := range handoff.Tasks {
		if _, deferred := r.dispatchAfter[i]; deferred {
			r.deferDispatch(i, c.now+seconds(c.cfg.Facts.Workers.Heartbeat/4))
		}
	}
}

// earlyHandoff is a handoff of tasks whose job is not in the mirror yet.
type earlyHandoff struct {
	from    string
	handoff *peer.TaskHandoff
	at      time.Duration
}

// maxEarlyHandoffs is the largest number of jobs for which early handoffs are kept.
const maxEarlyHandoffs = 256

// expireEarlyHandoffs deletes all handoffs of each job whose first handoff is older than maxAge.
func (s *scheduler) expireEarlyHandoffs(now, maxAge time.Duration) {
	for id, handoffs := range s.earlyHandoffs {
		if now-handoffs[0].at > maxAge {
			delete(s.earlyHandoffs, id)
		}
	}
}

// replayEarlyHandoffs handles the handoffs that arrived before the job's record, except those
// so old that the sender has handed the tasks to another controller by now.
func (c *Core) replayEarlyHandoffs(id string) {
	waiting := c.scheduler.earlyHandoffs[id]
	delete(c.scheduler.earlyHandoffs, id)
	for _, e := range waiting {
		if c.now-e.at < c.cfg.Operator.PublishInterval && c.state.Loaded() {
			c.receiveHandoff(e.from, e.handoff)
		}
	}
}
