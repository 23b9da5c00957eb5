package coordination

import (
	"encoding/json"
	"fmt"
	"time"

	"silvergate/internal/bookkeeping"
	"silvergate/internal/budget"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// poll is a user's question that waits for a fresh look at the state service.
type poll struct {
	id    uint64
	ref   string
	since time.Duration
}

const maxPolls = 512

func (c *Core) up(id uint64) {
	switch {
	case !c.store.Loaded() || len(c.catalogue) == 0:
		c.refuse(id, 503, "starting")
	case c.isolated():
		c.refuse(id, 503, "cut off from the state service")
	default:
		c.answer(id, 200, struct{}{}, 0)
	}
}

// isolated tells whether the state service is out of reach for this
// controller but not for its peers. In an outage that all see, leaving the
// load balancer's list would only delay the return.
func (c *Core) isolated() bool {
	limit := c.store.StaleAfter()
	if c.now-c.store.FreshAt() < limit {
		return false
	}
	// Guards against a controller that users reach and that can do nothing for them: cut off from
	// the state service and all others it has no word of who serves, and answers so fast that the
	// balancer prefers it.
	if c.reach.OthersServe(limit) || c.reach.Alone() {
		return true
	}
	return c.now-c.proof() > c.horizon()
}

func (c *Core) state(r *record) protocol.JobState {
	s := protocol.JobState{ID: r.spec.ID, Status: string(r.status)}
	done, running := r.finished, r.bound
	switch r.status {
	case job.Done:
		done, running = r.spec.Tasks, 0
	case job.Open:
		s.Status = "queued"
		if running > 0 {
			s.Status = "running"
		}
	}
	s.Done, s.Running = &done, &running
	return s
}

func (c *Core) poll(id uint64, ref string) {
	if r := c.jobs[ref]; r != nil && r.final() {
		c.answer(id, 200, c.state(r), 0) // final states never change
		return
	}
	c.ask(poll{id: id, ref: ref, since: c.now})
}

// cutOff tells whether the state service has not answered for so long that a
// user's question would be in vain. Guards against users who give up while we
// still wait for it: they are told to come again at once.
func (c *Core) cutOff() bool { return c.now-c.store.FreshAt() > c.store.StaleAfter() }

func (c *Core) ask(p poll) {
	if !c.store.Loaded() || c.cutOff() || len(c.polls) >= maxPolls {
		c.refuse(p.id, 503, "the job's state can't be read now")
		return
	}
	c.polls = append(c.polls, p)
}

// sendPolls answers the questions for which the mirror is proved fresh. A
// watch that was opened after a question came proves it when it is answered,
// at no cost; that is waited for when requests are short, for as long as two
// watches take to open. Otherwise one comparing transaction proves it for a
// batch, and whatever does not match is read.
func (c *Core) sendPolls() {
	if len(c.polls) == 0 {
		return
	}
	rest := c.polls[:0]
	for _, p := range c.polls {
		if p.since <= c.store.FreshAt() {
			c.tell(p)
		} else {
			rest = append(rest, p)
		}
	}
	if c.polls = rest; c.polling || len(rest) == 0 {
		return
	}
	if !c.store.HasSpareRequests() && c.now-rest[0].since < 3*c.store.WatchSpacing() {
		return
	}
	c.polling = true
	batch := c.polls
	limit := 4 * c.cfg.Facts.State.TxnOps
	if len(batch) > limit {
		batch, c.polls = batch[:limit:limit], append([]poll(nil), batch[limit:]...)
	} else {
		c.polls = nil
	}
	seen := map[string]bool{}
	var conds []protocol.Compare
	for _, p := range batch {
		if !seen[p.ref] {
			seen[p.ref] = true
			conds = append(conds, protocol.Compare{Key: keyJob + p.ref, ModRevision: c.store.ModRevision(keyJob + p.ref)})
		}
	}
	c.store.Txn(budget.UserRequests, conds, nil, func(o bookkeeping.TxnOutcome, failed []string, _ uint64) {
		c.polling = false
		stale := map[string]bool{}
		for _, k := range failed {
			stale[k] = true
		}
		for _, p := range batch {
			switch {
			case o == bookkeeping.Committed:
				c.tell(p)
			case o == bookkeeping.Conflict && stale[keyJob+p.ref]:
				c.store.Refresh(budget.UserRequests, keyJob+p.ref, func(ok bool) {
					if ok {
						c.tell(p)
					} else {
						c.refuse(p.id, 503, "the job's state can't be read now")
					}
				})
			case o == bookkeeping.Conflict:
				c.polls = append(c.polls, p)
			default:
				c.refuse(p.id, 503, "the job's state can't be read now")
			}
		}
	})
	c.store.Tick(c.now)
}

func (c *Core) tell(p poll) {
	r := c.jobs[p.ref]
	switch {
	case r != nil:
		c.answer(p.id, 200, c.state(r), 0)
	default:
		c.unknown(p.id, p.ref, 404, "no such job")
	}
}

// unknown refuses what needs a job that we don't know, once that has been proved. A job whose record can't be read, as a
// later version may have written it, is not unknown.
func (c *Core) unknown(id uint64, ref string, status int, why string) {
	if c.store.ModRevision(keyJob+ref) != 0 {
		status, why = 503, "the job's record can't be read"
	}
	c.refuse(id, status, why)
}

func (c *Core) submit(id uint64, body []byte) {
	ref, err := protocol.SubmissionID(body)
	if err != nil {
		c.refuse(id, 400, err.Error())
		return
	}
	if !c.store.Loaded() {
		c.refuse(id, 503, "starting")
		return
	}
	if r := c.jobs[ref]; r != nil {
		c.poll(id, ref)
		return
	}
	if c.cutOff() {
		c.refuse(id, 503, "the state service can't be reached now")
		return
	}
	spec, err := protocol.ParseSubmission(body)
	status := 400
	var extra json.RawMessage
	if err == nil {
		extra, err = c.view.extra(spec, body)
	}
	if err == nil {
		if len(c.catalogue) == 0 {
			c.refuse(id, 503, "the machine types are not known yet")
			return
		}
		status, err = 422, c.feasible(spec)
	}
	if err != nil {
		// A known job is never refused, whatever its repetition says: the
		// mirror may lag, so the record itself decides.
		c.store.Refresh(budget.UserRequests, keyJob+ref, func(ok bool) {
			switch r := c.jobs[ref]; {
			case !ok:
				c.refuse(id, 503, "can't tell now")
			case r != nil:
				c.answer(id, 200, c.state(r), 0)
			default:
				c.unknown(id, ref, status, err.Error())
			}
		})
		return
	}
	key := keyJob + ref
	rec := storedJob{spec, job.Open, c.wall.UnixMilli(), c.cfg.Node}
	ops := []protocol.Op{{Put: key, Value: encode(rec)}}
	if extra != nil {
		ops = append(ops, protocol.Op{Put: keyExtra + ref, Value: extra})
	}
	c.store.Txn(budget.UserRequests, []protocol.Compare{{Key: key}}, ops,
		func(o bookkeeping.TxnOutcome, _ []string, _ uint64) {
			switch o {
			case bookkeeping.Committed:
				c.Stats.Submitted++
				c.log.Debug("accepted", "job", ref, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks)
				c.answer(id, 201, protocol.JobState{ID: ref, Status: "queued"}, 0)
				c.dispatchJob(c.jobs[ref])
			case bookkeeping.Conflict, bookkeeping.Unknown:
				// Known already, or the answer was lost: the record tells.
				c.store.Refresh(budget.UserRequests, key, func(ok bool) {
					if r := c.jobs[ref]; ok && r != nil {
						c.answer(id, 200, c.state(r), 0)
					} else {
						c.refuse(id, 503, "the outcome is not known yet")
					}
				})
			default:
				c.refuse(id, 503, "the state service can't be written now")
			}
		})
}

// spread tells the peers of a cancellation that is committed, ahead of the watch: PROTOCOL wants no task of the job started
// from the answer on, and a watch that is late or waits for its turn lets its holder start some. The word proves
// nothing about other cancellations, and carries no asker's life so that nobody takes it for a proof.
func (c *Core) spread(ref string) {
	for _, p := range c.cfg.Peers {
		c.send(p.Node, Message{Vouch: &Vouch{Cancelled: []string{ref}, Life: nobody}})
	}
}

// feasible tells why a job can never run.
func (c *Core) feasible(s *job.Spec) error {
	t := c.teams[s.Team]
	if t == nil {
		return fmt.Errorf("crew: unknown team %q", s.Team)
	}
	zones := map[string]bool{} // in which a machine can hold a task
	for name, f := range c.catalogue {
		if !s.AllowsMachineType(name) || !holds(f, s) {
			continue
		}
		for _, z := range f.Zones {
			if s.Zone == "" || s.Zone == z {
				zones[z] = true
			}
		}
	}
	if len(zones) == 0 {
		return fmt.Errorf("no allowed machine type holds a task")
	}
	// The tasks of a gang and of a service are there at the same time; an array's may come one after another.
	if s.Spread && s.Shape != job.Array && s.Tasks > s.SpreadLimit() && (s.OneZone || len(zones) < 2) {
		return fmt.Errorf("apart: at most %d of %d tasks may be in one zone, and only one is allowed that holds them", s.SpreadLimit(), s.Tasks)
	}
	n := 1.0
	if s.Shape != job.Array {
		n = float64(s.Tasks)
	}
	if !t.within(usage{}.plus(s, n)) {
		return fmt.Errorf("the job needs more than the limit of team %q", s.Team)
	}
	return nil
}

func holds(f *protocol.MachineType, s *job.Spec) bool {
	return s.CPUs <= f.CPUs && s.GPUs <= f.GPUs && s.MemoryGB <= f.MemoryGB
}

func (c *Core) cancel(id uint64, ref string, tries int) {
	if !c.store.Loaded() || tries > 4 {
		c.refuse(id, 503, "can't cancel now")
		return
	}
	r := c.jobs[ref]
	if r != nil && r.final() {
		c.answer(id, 200, protocol.JobState{ID: ref, Status: string(r.status)}, 0)
		return
	}
	key := keyJob + ref
	reread := func() {
		c.store.Refresh(budget.Safety, key, func(ok bool) {
			switch {
			case !ok:
				c.refuse(id, 503, "can't cancel now")
			case c.jobs[ref] == nil:
				c.unknown(id, ref, 404, "no such job")
			default:
				c.cancel(id, ref, tries+1)
			}
		})
	}
	if r == nil {
		reread()
		return
	}
	rec := r.stored(job.Cancelled)
	c.store.Txn(budget.Safety, []protocol.Compare{{Key: key, ModRevision: r.stamp}}, []protocol.Op{{Put: key, Value: encode(rec)}},
		func(o bookkeeping.TxnOutcome, _ []string, _ uint64) {
			switch o {
			case bookkeeping.Committed:
				c.Stats.Cancelled++
				c.answer(id, 200, protocol.JobState{ID: ref, Status: string(job.Cancelled)}, 0)
				c.spread(ref)
			case bookkeeping.Conflict, bookkeeping.Unknown:
				reread()
			default:
				c.refuse(id, 503, "can't cancel now")
			}
		})
}
