package coordination

import (
	"net/http"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// statusQuery is a user's query of a job's status that waits until the mirror is known
// to be as fresh as the query.
type statusQuery struct {
	requestID  uint64
	job        string
	receivedAt time.Duration
}

// maxStatusQueries bounds the status queries that wait.
const maxStatusQueries = 512

// maxQueriesPerOp is how many status queries a batch may have for each operation that the
// state service allows in a transaction: many are about the same job.
const maxQueriesPerOp = 4

// textUnreadable is the refusal when the state service does not show a job's record.
const textUnreadable = "the job's state can't be read now"

// jobState is a job's state as users see it.
func (c *Core) jobState(r *jobRecord) protocol.JobState {
	state := protocol.JobState{ID: r.spec.ID, Status: string(r.status)}
	done, running := r.finished, r.bound
	switch r.status {
	case job.Done:
		done, running = r.spec.Tasks, 0
	case job.Open:
		state.Status = protocol.JobQueued
		if running > 0 {
			state.Status = protocol.JobRunning
		}
	}
	state.Done, state.Running = &done, &running
	return state
}

// queryJob handles a query of a job's status.
func (c *Core) queryJob(id uint64, jobID string) {
	if r := c.jobs.byID[jobID]; r != nil && r.final() {
		c.respond(id, http.StatusOK, c.jobState(r), 0) // final states never change
		return
	}
	c.queueStatusQuery(statusQuery{requestID: id, job: jobID, receivedAt: c.now})
}

// queueStatusQuery has a query answered once the mirror is fresh.
func (c *Core) queueStatusQuery(q statusQuery) {
	if !c.state.Loaded() || c.cutOff() || len(c.queries.statusQueries) >= maxStatusQueries {
		c.refuse(q.requestID, http.StatusServiceUnavailable, textUnreadable)
		return
	}
	c.queries.statusQueries = append(c.queries.statusQueries, q)
}

// sendStatusQueries answers the queries for which the mirror is known to be fresh. A watch
// that was opened after a query arrived shows it when it is answered, at no cost; that
// is waited for when requests are short, for as long as two watches take to open.
// Otherwise one comparing transaction shows it for a batch, and whatever does not match
// is read.
func (c *Core) sendStatusQueries() {
	v := c.queries
	c.answerFreshQueries()
	if v.statusQueryInFlight || len(v.statusQueries) == 0 {
		return
	}
	oldest := v.statusQueries[0].receivedAt
	if !c.state.HasSpareRequests() && c.now-oldest < 3*c.state.WatchSpacing() {
		return
	}
	v.statusQueryInFlight = true
	batch := v.takeBatch(maxQueriesPerOp * c.cfg.Facts.State.TxnOps)
	c.state.Txn(ratelimit.UserRequests, c.comparesFor(batch), nil, func(outcome stateclient.TxnOutcome, failed []string, _ uint64) {
		v.statusQueryInFlight = false
		c.answerBatch(batch, outcome, failed)
	})
	c.state.Tick(c.now)
}

// answerFreshQueries answers the queries that arrived before the mirror was last known
// fresh, and keeps the others.
func (c *Core) answerFreshQueries() {
	waiting := c.queries.statusQueries[:0]
	for _, q := range c.queries.statusQueries {
		if q.receivedAt <= c.state.FreshAt() {
			c.respondJobState(q)
		} else {
			waiting = append(waiting, q)
		}
	}
	c.queries.statusQueries = waiting
}

// takeBatch takes the oldest queries, limit at the most. The others are copied, so that
// later queries don't overwrite the batch.
func (v *queryHandler) takeBatch(limit int) []statusQuery {
	batch := v.statusQueries
	if len(batch) <= limit {
		v.statusQueries = nil
		return batch
	}
	v.statusQueries = append([]statusQuery(nil), batch[limit:]...)
	return batch[:limit:limit]
}

// comparesFor compares each job's record with the mirror's revision.
func (c *Core) comparesFor(batch []statusQuery) []protocol.Compare {
	seen := map[string]bool{}
	var compares []protocol.Compare
	for _, q := range batch {
		if seen[q.job] {
			continue
		}
		seen[q.job] = true
		key := keyJob + q.job
		compares = append(compares, protocol.Compare{Key: key, ModRevision: c.state.ModRevision(key)})
	}
	return compares
}

// answerBatch answers a batch's queries after the transaction that compared their
// records; failed are the keys of those that have changed.
func (c *Core) answerBatch(batch []statusQuery, outcome stateclient.TxnOutcome, failed []string) {
	stale := map[string]bool{}
	for _, key := range failed {
		stale[key] = true
	}
	for _, q := range batch {
		switch {
		case outcome == stateclient.Committed:
			c.respondJobState(q)
		case outcome == stateclient.Conflict && stale[keyJob+q.job]:
			c.rereadJobState(q)
		case outcome == stateclient.Conflict:
			c.queries.statusQueries = append(c.queries.statusQueries, q)
		default:
			c.refuse(q.requestID, http.StatusServiceUnavailable, textUnreadable)
		}
	}
}

// rereadJobState reads a job's record and answers a query from it.
func (c *Core) rereadJobState(q statusQuery) {
	c.state.Refresh(ratelimit.UserRequests, keyJob+q.job, func(ok bool) {
		if !ok {
			c.refuse(q.requestID, http.StatusServiceUnavailable, textUnreadable)
			return
		}
		c.respondJobState(q)
	})
}

// respondJobState answers a query from the mirror.
func (c *Core) respondJobState(q statusQuery) {
	r := c.jobs.byID[q.job]
	if r == nil {
		c.respondUnknownJob(q.requestID, q.job, http.StatusNotFound, "no such job")
		return
	}
	c.respond(q.requestID, http.StatusOK, c.jobState(r), 0)
}

// respondUnknownJob refuses what needs a job that the mirror lacks, once the mirror has
// been shown to be fresh. A job whose record can't be read, as a later version may have
// written it, is not unknown.
func (c *Core) respondUnknownJob(id uint64, jobID string, status int, reason string) {
	if c.state.ModRevision(keyJob+jobID) != 0 {
		status, reason = http.StatusServiceUnavailable, "the job's record can't be read"
	}
	c.refuse(id, status, reason)
}
