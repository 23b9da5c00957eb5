package coordination

import (
	"net/http"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// statusQuery is a user's query of a job's status. It waits until the mirror is known to be
// complete as of the query's arrival.
type statusQuery struct {
	requestID  uint64
	job        string
	receivedAt time.Duration
}

// maxStatusQueries is the maximum number of waiting status queries.
const maxStatusQueries = 512

// maxQueriesPerOp is the number of status queries that a batch may have for each operation that
// the state service allows in a transaction. Many queries are about the same job.
const maxQueriesPerOp = 4

// textUnreadable is the answer to a status query if the state service can't be read.
const textUnreadable = "the job's state can't be read now"

// jobState returns a job's state as users see it.
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

// queueStatusQuery queues a query until the mirror is known to be fresh, or refuses it if the
// state service can't be reached or too many queries wait.
func (c *Core) queueStatusQuery(q statusQuery) {
	if !c.state.Loaded() || c.cutOff() || len(c.queries.statusQueries) >= maxStatusQueries {
		c.refuse(q.requestID, http.StatusServiceUnavailable, textUnreadable)
		return
	}
	c.queries.statusQueries = append(c.queries.statusQueries, q)
}

// sendStatusQueries answers the queries for which the mirror is known to be fresh. The answer to
// a watch that was opened after a query arrived proves that at no cost. When the request budget
// is short, queries wait for such a watch, for up to three times the least time between the
// openings of two watches. Otherwise one transaction compares the records of a batch of queries
// with the mirror, and the records that do not match are read.
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

// answerFreshQueries answers the queries that arrived before the time as of which the mirror is
// known to be fresh. The others stay queued.
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

// takeBatch removes the oldest queries, at most limit of them, from the queue and returns them.
// The remaining queries are copied, so that later queries don't overwrite the batch.
func (v *queryHandler) takeBatch(limit int) []statusQuery {
	batch := v.statusQueries
	if len(batch) <= limit {
		v.statusQueries = nil
		return batch
	}
	v.statusQueries = append([]statusQuery(nil), batch[limit:]...)
	return batch[:limit:limit]
}

// comparesFor returns compares of the record of each job in a batch with its mirrored revision.
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

// answerBatch answers a batch's queries after the transaction that compared their records;
// failed holds the keys of the records that have changed. Queries of other jobs in a batch with
// a conflict are queued again.
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

// rereadJobState rereads a job's record and answers a query from it.
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

// respondUnknownJob refuses a request about a job that the mirror lacks, once the mirror is
// known to be fresh. A job whose record exists but can't be decoded, as a later version may have
// written it, does not count as unknown.
func (c *Core) respondUnknownJob(id uint64, jobID string, status int, reason string) {
	if c.state.ModRevision(keyJob+jobID) != 0 {
		status, reason = http.StatusServiceUnavailable, "the job's record can't be read"
	}
	c.refuse(id, status, reason)
}
