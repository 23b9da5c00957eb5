package coordination

import (
	"fmt"
	"strings"

	"silvergate/internal/job"
)

// AppliedRevision is the revision up to which the core's records are complete.
func (c *Core) AppliedRevision() uint64 { return c.state.AppliedRevision() }

// Known says in a line what this controller knows of a task ("wk-000412/3"), a job or a
// machine, "" if nothing. It is for the stories that replays tell.
func (c *Core) Known(name string) string {
	if id, index, err := job.ParseTaskName(name); err == nil {
		return c.knownTask(id, index)
	}
	if r := c.jobs.byID[name]; r != nil {
		return fmt.Sprintf("job %s at revision %d, of %s, %d of %d bound, %d finished", r.status, r.revision, r.owner, r.bound, r.spec.Tasks, r.finished)
	}
	if m := c.machines.byID[name]; m != nil {
		return c.knownMachine(m)
	}
	return ""
}

func (c *Core) knownTask(id string, index int) string {
	r := c.jobs.byID[id]
	if r == nil {
		return ""
	}
	out := fmt.Sprintf("job %s at %d", r.status, r.revision)
	t := r.task(c, index)
	if t == nil {
		return out
	}
	p := r.pages[index/c.tasksPerPage()]
	switch t.Phase {
	case job.Pending:
		out += fmt.Sprintf("; pending after %d attempts, %d failed", t.Attempt, t.Failures)
	case job.Finished:
		out += fmt.Sprintf("; finished by attempt %d", t.Attempt)
	case job.Bound:
		out += fmt.Sprintf("; attempt %d bound to %s in session %d", t.Attempt, t.Machine, t.Epoch)
		if m := c.machines.byID[t.Machine]; m != nil {
			a := taskAttempt{taskKey{id, index}, t.Attempt}
			out += fmt.Sprintf(" since %d", m.boundAt[a.taskKey].revision)
			if m.inFlight[a] {
				out += ", a direct launch unanswered"
			}
			if s, ok := m.stops[a.taskKey]; ok {
				out += ", to be stopped: " + s.reason
			}
			out += "; " + c.knownMachine(m)
		}
	}
	for i := range p.queue {
		if ch := &p.queue[i]; ch.index == index%c.tasksPerPage() && ch.placement {
			out += "; proposed: a place on " + ch.machine
		} else if ch.index == index%c.tasksPerPage() {
			out += fmt.Sprintf("; proposed: release of attempt %d on %s, %v under token %d", ch.attempt, ch.machine, ch.proof, ch.token)
		}
	}
	if p.inFlight {
		out += "; its page is being written"
	}
	if r.queuedByIndex[index] != nil {
		out += "; in a line here"
	}
	return out
}

func (c *Core) knownMachine(m *machine) string {
	if m.token == 0 {
		return m.id + " is claimed by nobody"
	}
	if !c.isOwn(m) {
		return fmt.Sprintf("%s is claimed by %s, token %d", m.id, m.claim.Owner, m.token)
	}
	out := []string{fmt.Sprintf("%s is ours, token %d, session %d", m.id, m.token, m.epoch)}
	for _, f := range []struct {
		on   bool
		text string
	}{{m.adopted, "adopted"}, {!m.tokenSeen, "token not shown"}, {m.tokenSeen && !c.mirrorComplete(m), "records not proved since it was shown"}, {m.launchInDoubt, "tainted"},
		{m.leaseExpired, "lease over"}, {m.preempted, "recalled"}, {c.now-m.heardAt > seconds(2*c.cfg.Facts.Workers.Report), "not heard"}} {
		if f.on {
			out = append(out, f.text)
		}
	}
	if d, ok := c.machines.drains[m.id]; ok {
		out = append(out, "drained: "+d.Reason)
	}
	return strings.Join(out, ", ")
}
