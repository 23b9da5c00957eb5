package coordination

import (
	"time"

	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/protocol"
)

// taskTransition is a proposed change of one task: its placement on a machine, its release from the
// machine that it is bound to, or its completion with its gang.
type taskTransition struct {
	index      int // in the page
	placement  bool
	withGang   bool // it is pending and counts as completed, because another task of its gang has completed
	machine    string
	epoch      uint64 // of the machine's agent
	attempt    int
	done       bool          // released because it has completed
	failed     bool          // released because it has failed
	proof      fencing.Proof // why the attempt is known not to run on the machine any more
	token      uint64        // fencing token of the claim under which the proof was found
	cause      string        // why the attempt ended, as its worker reports
	proposedAt time.Duration
}

// replaces reports whether the transition replaces another one that was proposed earlier:
// both are of the same task and of the same kind.
func (t *taskTransition) replaces(other *taskTransition) bool {
	return t.index == other.index && t.placement == other.placement
}

// withoutPlacements returns the releases among the transitions.
func withoutPlacements(transitions []taskTransition) []taskTransition {
	var releases []taskTransition
	for _, transition := range transitions {
		if !transition.placement {
			releases = append(releases, transition)
		}
	}
	return releases
}

// propose queues a transition of a task, which the next transaction on the task's page writes.
// It sets the transition's index. Releases of completed tasks may go to the completion log
// instead.
func (c *Core) propose(r *jobRecord, index int, transition taskTransition) {
	if c.goesToCompletionLog(r, transition) {
		c.writer.completions.add(c.now, taskKey{job: r.spec.ID, index: index}, transition)
		return
	}
	p := c.pageOf(r, index)
	transition.index = index - p.firstTask
	if m := c.machines.byID[transition.machine]; m != nil && !transition.placement {
		transition.token = m.token
	}
	c.writer.addDirty(p)
	for i := range p.queue {
		if transition.replaces(&p.queue[i]) {
			p.queue[i] = transition
			return
		}
	}
	if len(p.queue) == 0 {
		p.queuedSince = c.now
	}
	transition.proposedAt = c.now
	p.queue = append(p.queue, transition)
	c.logRelease(r, index, transition)
	if c.verbose && !transition.placement {
		c.traceEnd(losses.Evidence, r, index, transition)
	}
}

// logRelease logs a release that rests on another proof than a heartbeat that lists the attempt as
// ended, with the token under which the proof was found.
func (c *Core) logRelease(r *jobRecord, index int, transition taskTransition) {
	if transition.placement || transition.proof == fencing.Ended {
		return
	}
	c.Stats.Releases++
	c.log.Info("releasing an attempt", "task", job.TaskName(r.spec.ID, index), "attempt", transition.attempt, "machine", transition.machine,
		"epoch", transition.epoch, "kind", transition.proof.String(), "found", transition.token, "revision", c.state.AppliedRevision())
}

// traceCommand logs a command to a worker, with the token that it carries, at debug level.
func (c *Core) traceCommand(message string, m *machine, command protocol.Command) {
	if c.verbose {
		c.log.Debug(message, "task", command.Task, "attempt", command.Attempt, "machine", m.id, "epoch", m.epoch, "token", m.commandToken)
	}
}

// traceEnd logs a step of the end of an attempt at debug level, in the form that
// internal/losses parses.
func (c *Core) traceEnd(step string, r *jobRecord, index int, transition taskTransition) {
	reason := transition.proof.String() // the names that internal/losses knows
	if transition.proof == fencing.Ended {
		reason = transition.cause
	}
	var silent time.Duration
	if m := c.machines.byID[transition.machine]; m != nil && m.heardAt > 0 {
		silent = c.now - m.heardAt
	}
	if transition.proof == fencing.LeaseExpired { // the attempt may have run until its lease expired
		silent = max(0, silent-seconds(c.cfg.Facts.Workers.Lease))
	}
	c.log.Debug(step, "task", job.TaskName(r.spec.ID, index), "attempt", transition.attempt, "machine", transition.machine,
		"class", r.spec.Class, "priority", int(r.spec.Priority), "reason", reason, "done", transition.done, "silent_ms", silent.Milliseconds())
}

// traceStart logs a step of the start of an attempt at debug level, in the form that
// internal/losses parses.
func (c *Core) traceStart(step string, jobID string, index, attempt int, machineID string) {
	if c.verbose {
		c.log.Debug(step, "task", job.TaskName(jobID, index), "attempt", attempt, "machine", machineID)
	}
}

// reservation is capacity held on a machine for a task until its placement is committed.
type reservation struct{ machine string }

// reserve reserves capacity on a machine for a task that is to be placed there.
func (c *Core) reserve(r *jobRecord, index int, m *machine) {
	if r.reservations == nil {
		r.reservations = map[int]*reservation{}
	}
	r.reservations[index] = &reservation{machine: m.id}
	m.reserved++
	m.addUsage(r.spec, 1)
	r.tasksByZone[m.claim.Zone]++
}

// unreserve cancels a task's reservation, if it has one.
func (c *Core) unreserve(r *jobRecord, index int) {
	held := r.reservations[index]
	if held == nil {
		return
	}
	delete(r.reservations, index)
	m := c.machine(held.machine)
	m.reserved--
	m.addUsage(r.spec, -1)
	r.tasksByZone[m.claim.Zone]--
	c.removeIfUnused(m)
}
