package coordination

import (
	"sort"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/peer"
)

// maxPagesInFlight is how many pages' worth of a job's tasks may be in dispatch. A page is
// in one transaction at a time, and those of the largest jobs name so many machines that
// one does not hold them: with one page 25,000 small tasks took 269 s on
// shiftbook-akl-ops, with four 162 s (simulated).
const maxPagesInFlight = 4

// dispatchJob places a job's pending tasks here as far as there is room, and probes peers
// for the rest.
func (c *Core) dispatchJob(r *jobRecord) {
	if r == nil || r.final() {
		return
	}
	if isGang(r) {
		c.startGang(r)
		return
	}
	var unplaced []int
	// Guards against the largest jobs: some pages' worth of tasks in dispatch
	// at a time is plenty, and 100,000 would fill queues and messages.
	pending, noneFits := 0, false
	for _, p := range r.pages {
		for j := 0; j < len(p.tasks) && p.pending > 0 && pending < maxPagesInFlight*c.tasksPerPage(); j++ {
			if p.tasks[j].Phase != job.Pending {
				continue
			}
			pending++
			i := p.firstTask + j
			if r.queuedByIndex[i] != nil || c.now < r.dispatchAfter[i] || !c.placeable(r, i) {
				continue
			}
			if noneFits { // the job's tasks are alike: what does not fit one fits none
				unplaced = append(unplaced, i)
				continue
			}
			if !c.placeOnIdleMachine(r, i) { // step 2
				noneFits = true
				unplaced = append(unplaced, i)
			}
		}
	}
	c.probe(r, unplaced)
}

// placeOnIdleMachine places a task on a machine of the idle list, or has it wait for one that
// has its image or inputs, and tells whether any machine fits it.
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

// probe is steps 3 and 4: up to d-2 random peers are checked by the
// published length of their idle lists; if none has entries, one more random controller
// takes the task unchecked. Many tasks of one job are probed for in as many
// parts as there are controllers, not one by one.
func (c *Core) probe(r *jobRecord, tasks []int) {
	for parts := 1 + len(c.membership.members); len(tasks) > 0; parts-- {
		n := (len(tasks) + parts - 1) / max(1, parts)
		c.handOffOrEnqueue(r, tasks[:n])
		tasks = tasks[n:]
	}
}

// maxHandoffTasks bounds the tasks of one handoff message.
const maxHandoffTasks = 1024

// handOffOrEnqueue hands tasks off to a peer that has room, or enqueues them here if no peer is known
// that could take them.
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

// pickPeer picks a peer to hand tasks off to: the first with idle machines of those probed,
// or else the next one if it has any machines. It returns "" if there is none.
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
	// A queue needs a machine to be bound to: a controller without any
	// can't take the task.
	if probed < len(peers) && c.membership.members[peers[probed]].Machines > 0 {
		return peers[probed]
	}
	return ""
}

// deferDispatch records that a task is with another controller and not to be dispatched
// before a time.
func (r *jobRecord) deferDispatch(i int, until time.Duration) {
	if r.dispatchAfter == nil {
		r.dispatchAfter = map[int]time.Duration{}
	}
	r.dispatchAfter[i] = until
}

// receiveHandoff takes tasks from a peer: they are placed on idle machines, or else queued.
// What no machine here could hold goes back.
func (c *Core) receiveHandoff(from string, handoff *peer.TaskHandoff) {
	r := c.jobs.byID[handoff.Job]
	if r == nil {
		// Guards against a mirror that lags: a peer's message is often faster
		// than the watch that brings a new job. Tasks that were dropped here
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
		// Once a task is left, nothing here fits the job.
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

// handleHandoffReturn takes back tasks that a peer has no machine for.
func (c *Core) handleHandoffReturn(handoff *peer.TaskHandoff) {
	r := c.jobs.byID[handoff.Job]
	if r == nil || r.final() {
		return
	}
	for _, i := range handoff.Tasks {
		if _, deferred := r.dispatchAfter[i]; deferred {
			r.deferDispatch(i, c.now+seconds(c.cfg.Facts.Workers.Report/4))
		}
	}
}

// earlyHandoff is a handoff of tasks of a job that the mirror does not hold yet.
type earlyHandoff struct {
	from    string
	handoff *peer.TaskHandoff
	at      time.Duration
}

// maxEarlyHandoffs bounds the jobs of which such handoffs are kept.
const maxEarlyHandoffs = 256

// expireEarlyHandoffs forgets the handoffs of each job whose first one is older than maxAge.
func (s *scheduler) expireEarlyHandoffs(now, maxAge time.Duration) {
	for id, handoffs := range s.earlyHandoffs {
		if now-handoffs[0].at > maxAge {
			delete(s.earlyHandoffs, id)
		}
	}
}

// replayEarlyHandoffs takes what was handed off before the job's record came, unless
// the sender has given it to somebody else by now.
func (c *Core) replayEarlyHandoffs(id string) {
	waiting := c.scheduler.earlyHandoffs[id]
	delete(c.scheduler.earlyHandoffs, id)
	for _, e := range waiting {
		if c.now-e.at < c.cfg.Operator.PublishInterval && c.state.Loaded() {
			c.receiveHandoff(e.from, e.handoff)
		}
	}
}
