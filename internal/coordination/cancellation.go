package coordination

import (
	"net/http"
	"time"

	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/peer"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
	"silvergate/internal/stateclient"
)

// maxCancelRetries is how many times a cancellation is retried after the job's record was reread,
// because the mirror lacked it or a transaction had a conflict or an unknown outcome.
const maxCancelRetries = 4

// cancel handles a request to cancel a job; retries counts the earlier attempts.
func (c *Core) cancel(id uint64, jobID string, retries int) {
	if !c.state.Loaded() || retries > maxCancelRetries {
		c.refuse(id, http.StatusServiceUnavailable, "can't cancel now")
		return
	}
	r := c.jobs.byID[jobID]
	switch {
	case r == nil:
		c.rereadAndCancel(id, jobID, retries+1)
	case r.final():
		c.respond(id, http.StatusOK, protocol.JobState{ID: jobID, Status: string(r.status)}, 0)
	default:
		c.commitCancellation(id, jobID, r, retries)
	}
}

// rereadAndCancel reads the job's record from the state service and retries the cancellation.
func (c *Core) rereadAndCancel(id uint64, jobID string, retries int) {
	c.state.Refresh(ratelimit.Safety, keyJob+jobID, func(ok bool) {
		switch {
		case !ok:
			c.refuse(id, http.StatusServiceUnavailable, "can't cancel now")
		case c.jobs.byID[jobID] == nil:
			c.respondUnknownJob(id, jobID, http.StatusNotFound, "no such job")
		default:
			c.cancel(id, jobID, retries)
		}
	})
}

// commitCancellation writes the job's record as cancelled, on condition that the record has not
// changed since the mirror's revision.
func (c *Core) commitCancellation(id uint64, jobID string, r *jobRecord, retries int) {
	key := keyJob + jobID
	compares := []protocol.Compare{{Key: key, ModRevision: r.revision}}
	ops := []protocol.Op{{Put: key, Value: encode(r.storedWith(job.Cancelled))}}
	c.state.Txn(ratelimit.Safety, compares, ops, func(outcome stateclient.TxnOutcome, _ []string, _ uint64) {
		switch outcome {
		case stateclient.Committed:
			c.Stats.Cancelled++
			c.respond(id, http.StatusOK, protocol.JobState{ID: jobID, Status: string(job.Cancelled)}, 0)
			c.broadcastCancellation(jobID)
		case stateclient.Conflict, stateclient.Unknown:
			c.rereadAndCancel(id, jobID, retries+1)
		default:
			c.refuse(id, http.StatusServiceUnavailable, "can't cancel now")
		}
	})
}

// broadcastCancellation informs the peers of a committed cancellation before their watches do:
// PROTOCOL allows no task of the job to start after the response, and an owner whose watch is
// late or throttled might start some. The message proves nothing about other cancellations. It
// carries noIncarnation instead of a querying controller's incarnation, so that no peer treats it
// as the reply to a cancellation query.
func (c *Core) broadcastCancellation(jobID string) {
	for _, p := range c.cfg.Peers {
		reply := &peer.CancellationReply{Cancelled: []string{jobID}, Incarnation: noIncarnation}
		c.send(p.Node, peer.Message{CancellationReply: reply})
	}
}

// cancelHorizon returns the cancel horizon: once the latest proof that this controller knows of all
// cancellations is older than that, it no longer answers workers.
func (c *Core) cancelHorizon() time.Duration {
	w := &c.cfg.Facts.Workers
	return fencing.CancelHorizon(seconds(w.Cancel), seconds(w.Lease))
}
