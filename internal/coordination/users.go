package coordination

import (
	"encoding/json"
	"fmt"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/peer"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// statusQuery is a user's question that waits for a fresh look at the state service.
type statusQuery struct {
	requestID uint64
	job       string
	since     time.Duration
}

const maxStatusQueries = 512

func (c *Core) healthCheck(id uint64) {
	switch {
	case !c.state.Loaded() || len(c.catalogue.types) == 0:
		c.refuse(id, 503, "starting")
	case c.isolated():
		c.refuse(id, 503, "cut off from the state service")
	default:
		c.respond(id, 200, struct{}{}, 0)
	}
}

// isolated tells whether the state service is out of reach for this
// controller but not for its peers. In an outage that all see, leaving the
// load balancer's list would only delay the return.
func (c *Core) isolated() bool {
	limit := c.state.StaleAfter()
	if c.now-c.state.FreshAt() < limit {
		return false
	}
	// Guards against a controller that users reach and that can do nothing for them: cut off from
	// the state service and all others it has no word of who serves, and answers so fast that the
	// balancer prefers it.
	if c.links.PeersServe(limit) || c.links.Isolated() {
		return true
	}
	return c.now-c.cancellationProof() > c.cancelHorizon()
}

func (c *Core) jobState(r *jobRecord) protocol.JobState {
	s := protocol.JobState{ID: r.spec.ID, Status: string(r.status)}
	done, running := r.finished, r.bound
	switch r.status {
	case job.Done:
		done, running = r.spec.Tasks, 0
	case job.Open:
		s.Status = protocol.JobQueued
		if running > 0 {
			s.Status = protocol.JobRunning
		}
	}
	s.Done, s.Running = &done, &running
	return s
}

func (c *Core) queryJob(id uint64, ref string) {
	if r := c.jobs.byID[ref]; r != nil && r.final() {
		c.respond(id, 200, c.jobState(r), 0) // final states never change
		return
	}
	c.refreshJob(statusQuery{requestID: id, job: ref, since: c.now})
}

// cutOff tells whether the state service has not answered for so long that a
// user's question would be in vain. Guards against users who give up while we
// still wait for it: they are told to come again at once.
func (c *Core) cutOff() bool { return c.now-c.state.FreshAt() > c.state.StaleAfter() }

func (c *Core) refreshJob(p statusQuery) {
	if !c.state.Loaded() || c.cutOff() || len(c.queries.statusQueries) >= maxStatusQueries {
		c.refuse(p.requestID, 503, "the job's state can't be read now")
		return
	}
	c.queries.statusQueries = append(c.queries.statusQueries, p)
}

// sendStatusQueries answers the questions for which the mirror is proved fresh. A
// watch that was opened after a question came proves it when it is answered,
// at no cost; that is waited for when requests are short, for as long as two
// watches take to open. Otherwise one comparing transaction proves it for a
// batch, and whatever does not match is read.
func (c *Core) sendStatusQueries() {
	if len(c.queries.statusQueries) == 0 {
		return
	}
	rest := c.queries.statusQueries[:0]
	for _, p := range c.queries.statusQueries {
		if p.since <= c.state.FreshAt() {
			c.respondJobState(p)
		} else {
			rest = append(rest, p)
		}
	}
	if c.queries.statusQueries = rest; c.queries.statusQueryInFlight || len(rest) == 0 {
		return
	}
	if !c.state.HasSpareRequests() && c.now-rest[0].since < 3*c.state.WatchSpacing() {
		return
	}
	c.queries.statusQueryInFlight = true
	batch := c.queries.statusQueries
	limit := 4 * c.cfg.Facts.State.TxnOps
	if len(batch) > limit {
		batch, c.queries.statusQueries = batch[:limit:limit], append([]statusQuery(nil), batch[limit:]...)
	} else {
		c.queries.statusQueries = nil
	}
	seen := map[string]bool{}
	var compares []protocol.Compare
	for _, p := range batch {
		if !seen[p.job] {
			seen[p.job] = true
			compares = append(compares, protocol.Compare{Key: keyJob + p.job, ModRevision: c.state.ModRevision(keyJob + p.job)})
		}
	}
	c.state.Txn(ratelimit.UserRequests, compares, nil, func(o stateclient.TxnOutcome, failed []string, _ uint64) {
		c.queries.statusQueryInFlight = false
		stale := map[string]bool{}
		for _, k := range failed {
			stale[k] = true
		}
		for _, p := range batch {
			switch {
			case o == stateclient.Committed:
				c.respondJobState(p)
			case o == stateclient.Conflict && stale[keyJob+p.job]:
				c.state.Refresh(ratelimit.UserRequests, keyJob+p.job, func(ok bool) {
					if ok {
						c.respondJobState(p)
					} else {
						c.refuse(p.requestID, 503, "the job's state can't be read now")
					}
				})
			case o == stateclient.Conflict:
				c.queries.statusQueries = append(c.queries.statusQueries, p)
			default:
				c.refuse(p.requestID, 503, "the job's state can't be read now")
			}
		}
	})
	c.state.Tick(c.now)
}

func (c *Core) respondJobState(p statusQuery) {
	r := c.jobs.byID[p.job]
	switch {
	case r != nil:
		c.respond(p.requestID, 200, c.jobState(r), 0)
	default:
		c.respondUnknownJob(p.requestID, p.job, 404, "no such job")
	}
}

// respondUnknownJob refuses what needs a job that we don't know, once that has been proved. A job whose record can't be read, as a
// later version may have written it, is not unknown.
func (c *Core) respondUnknownJob(id uint64, ref string, status int, why string) {
	if c.state.ModRevision(keyJob+ref) != 0 {
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
	if !c.state.Loaded() {
		c.refuse(id, 503, "starting")
		return
	}
	if r := c.jobs.byID[ref]; r != nil {
		c.queryJob(id, ref)
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
		extra, err = c.queries.extra(spec, body)
	}
	if err == nil {
		if len(c.catalogue.types) == 0 {
			c.refuse(id, 503, "the machine types are not known yet")
			return
		}
		status, err = 422, c.checkFeasible(spec)
	}
	if err != nil {
		// A known job is never refused, whatever its repetition says: the
		// mirror may lag, so the record itself decides.
		c.state.Refresh(ratelimit.UserRequests, keyJob+ref, func(ok bool) {
			switch r := c.jobs.byID[ref]; {
			case !ok:
				c.refuse(id, 503, "can't tell now")
			case r != nil:
				c.respond(id, 200, c.jobState(r), 0)
			default:
				c.respondUnknownJob(id, ref, status, err.Error())
			}
		})
		return
	}
	key := keyJob + ref
	rec := storedJob{spec, job.Open, c.wallTime.UnixMilli(), c.cfg.Node}
	ops := []protocol.Op{{Put: key, Value: encode(rec)}}
	if extra != nil {
		ops = append(ops, protocol.Op{Put: keyExtra + ref, Value: extra})
	}
	c.state.Txn(ratelimit.UserRequests, []protocol.Compare{{Key: key}}, ops,
		func(o stateclient.TxnOutcome, _ []string, _ uint64) {
			switch o {
			case stateclient.Committed:
				c.Stats.Submitted++
				c.log.Debug("accepted", "job", ref, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks)
				c.respond(id, 201, protocol.JobState{ID: ref, Status: protocol.JobQueued}, 0)
				c.dispatchJob(c.jobs.byID[ref])
			case stateclient.Conflict, stateclient.Unknown:
				// Known already, or the answer was lost: the record tells.
				c.state.Refresh(ratelimit.UserRequests, key, func(ok bool) {
					if r := c.jobs.byID[ref]; ok && r != nil {
						c.respond(id, 200, c.jobState(r), 0)
					} else {
						c.refuse(id, 503, "the outcome is not known yet")
					}
				})
			default:
				c.refuse(id, 503, "the state service can't be written now")
			}
		})
}

// broadcastCancellation tells the peers of a cancellation that is committed, ahead of the watch: PROTOCOL wants no task of the job started
// from the answer on, and a watch that is late or waits for its turn lets its holder start some. The word proves
// nothing about other cancellations, and carries no asker's life so that nobody takes it for a proof.
func (c *Core) broadcastCancellation(ref string) {
	for _, p := range c.cfg.Peers {
		c.send(p.Node, peer.Message{CancellationReply: &peer.CancellationReply{Cancelled: []string{ref}, Incarnation: noIncarnation}})
	}
}

// checkFeasible tells why a job can never run.
func (c *Core) checkFeasible(s *job.Spec) error {
	t := c.jobs.teams[s.Team]
	if t == nil {
		return fmt.Errorf("crew: unknown team %q", s.Team)
	}
	zones := map[string]bool{} // in which a machine can hold a task
	for name, f := range c.catalogue.types {
		if !s.AllowsMachineType(name) || !typeHolds(f, s) {
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
	if !t.withinLimit(usage{}.plus(s, n)) {
		return fmt.Errorf("the job needs more than the limit of team %q", s.Team)
	}
	return nil
}

func typeHolds(f *protocol.MachineType, s *job.Spec) bool {
	return s.CPUs <= f.CPUs && s.GPUs <= f.GPUs && s.MemoryGB <= f.MemoryGB
}

func (c *Core) cancel(id uint64, ref string, tries int) {
	if !c.state.Loaded() || tries > 4 {
		c.refuse(id, 503, "can't cancel now")
		return
	}
	r := c.jobs.byID[ref]
	if r != nil && r.final() {
		c.respond(id, 200, protocol.JobState{ID: ref, Status: string(r.status)}, 0)
		return
	}
	key := keyJob + ref
	reread := func() {
		c.state.Refresh(ratelimit.Safety, key, func(ok bool) {
			switch {
			case !ok:
				c.refuse(id, 503, "can't cancel now")
			case c.jobs.byID[ref] == nil:
				c.respondUnknownJob(id, ref, 404, "no such job")
			default:
				c.cancel(id, ref, tries+1)
			}
		})
	}
	if r == nil {
		reread()
		return
	}
	rec := r.storedWith(job.Cancelled)
	c.state.Txn(ratelimit.Safety, []protocol.Compare{{Key: key, ModRevision: r.revision}}, []protocol.Op{{Put: key, Value: encode(rec)}},
		func(o stateclient.TxnOutcome, _ []string, _ uint64) {
			switch o {
			case stateclient.Committed:
				c.Stats.Cancelled++
				c.respond(id, 200, protocol.JobState{ID: ref, Status: string(job.Cancelled)}, 0)
				c.broadcastCancellation(ref)
			case stateclient.Conflict, stateclient.Unknown:
				reread()
			default:
				c.refuse(id, 503, "can't cancel now")
			}
		})
}
