package coordination

import (
	"fmt"
	"strings"

	"silvergate/internal/job"
)

// AppliedRevision returns the revision of the state service up to which the core's mirror is
// complete.
func (c *Core) AppliedRevision() uint64 { return c.state.AppliedRevision() }

// Describe returns a one-line description of what this controller knows about a task
// ("wk-000412/3"), a job or a machine, or "" if it knows nothing. Replays use it to explain
// decisions. Its texts are part of their output, so they must not change.
func (c *Core) Describe(name string) string {
	if id, index, err := job.ParseTaskName(name); err == nil {
		return c.describeTask(id, index)
	}
	if r := c.jobs.byID[name]; r != nil {
		return fmt.Sprintf("job %s at revision %d, of %s, %d of %d bound, %d finished", r.status, r.revision, r.owner, r.bound, r.spec.Tasks, r.finished)
	}
	if m := c.machines.byID[name]; m != nil {
		return c.describeMachine(m)
	}
	return ""
}

func (c *Core) describeTask(id string, index int) string {
	r := c.jobs.byID[id]
	if r == nil {
		return ""
	}
	out := fmt.Sprintf("job %s at %d", r.status, r.revision)
	t := r.task(c, index)
	if t == nil {
		return out
	}
	out += c.describePhase(taskKey{id, index}, t)
	out += c.describeProposals(r, index)
	if r.queuedByIndex[index] != nil {
		out += "; in a line here"
	}
	return out
}

// describePhase describes a task's record and, for a bound task, what is known about its machine.
func (c *Core) describePhase(key taskKey, t *job.Task) string {
	switch t.Phase {
	case job.Pending:
		return fmt.Sprintf("; pending after %d attempts, %d failed", t.Attempt, t.Failures)
	case job.Finished:
		return fmt.Sprintf("; finished by attempt %d", t.Attempt)
	case job.Bound:
		out := fmt.Sprintf("; attempt %d bound to %s in session %d", t.Attempt, t.Machine, t.Epoch)
		if m := c.machines.byID[t.Machine]; m != nil {
			out += c.describeBinding(m, taskAttempt{key, t.Attempt})
		}
		return out
	}
	return ""
}

// describeBinding describes what is known about an attempt on the machine that it is bound to.
func (c *Core) describeBinding(m *machine, attempt taskAttempt) string {
	out := fmt.Sprintf(" since %d", m.boundAt[attempt.taskKey].revision)
	if _, launching := m.inFlight[attempt]; launching {
		out += ", a direct launch unanswered"
	}
	if stop, ok := m.stops[attempt.taskKey]; ok {
		out += ", to be stopped: " + stop.reason
	}
	return out + "; " + c.describeMachine(m)
}

// describeProposals describes the changes of a task that this controller has yet to commit.
func (c *Core) describeProposals(r *jobRecord, index int) string {
	p := c.findPageOf(r, index)
	if p == nil {
		return ""
	}
	out := ""
	for i := range p.queue {
		change := &p.queue[i]
		switch {
		case change.index != index-p.firstTask:
		case change.placement:
			out += "; proposed: a place on " + change.machine
		default:
			out += fmt.Sprintf("; proposed: release of attempt %d on %s, %v under token %d", change.attempt, change.machine, change.proof, change.token)
		}
	}
	if p.inFlight {
		out += "; its page is being written"
	}
	return out
}

func (c *Core) describeMachine(m *machine) string {
	if m.token == 0 {
		return m.id + " is claimed by nobody"
	}
	if !c.isOwn(m) {
		return fmt.Sprintf("%s is claimed by %s, token %d", m.id, m.claim.Owner, m.token)
	}
	out := []string{fmt.Sprintf("%s is ours, token %d, session %d", m.id, m.token, m.epoch)}
	if m.commandToken > m.token {
		out = append(out, fmt.Sprintf("token raised to %d", m.commandToken))
	}
	for _, condition := range []struct {
		holds bool
		text  string
	}{
		{m.adopted, "adopted"},
		{!m.tokenSeen, "token not shown"},
		{m.tokenSeen && !c.mirrorComplete(m), "records not proved since it was shown"},
		{m.launchInDoubt, "tainted"},
		{m.leaseExpired, "lease over"},
		{m.preempted, "recalled"},
		{c.now-m.heardAt > seconds(2*c.cfg.Facts.Workers.Heartbeat), "not heard"},
	} {
		if condition.holds {
			out = append(out, condition.text)
		}
	}
	if d, ok := c.machines.drains[m.id]; ok {
		out = append(out, "drained: "+d.Reason)
	}
	return strings.Join(out, ", ")
}
