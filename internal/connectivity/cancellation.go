package connectivity

import "time"

// ConfirmCancellations records a peer's reply to a cancellation query that we sent at the given
// time: up to then the peer had acknowledged to users no cancellations other than those that the
// core already knows or that the reply names. A time in the future is ignored.
func (t *Tracker) ConfirmCancellations(from string, at time.Duration) {
	if at <= t.now && at > t.confirmedAt[from] {
		t.confirmedAt[from] = at
	}
}

// RecordCancelled records a job that a peer named as cancelled and that no record shows yet.
func (t *Tracker) RecordCancelled(job string) { t.cancelled[job] = true }

// ForgetCancelled undoes RecordCancelled once a record shows the job.
func (t *Tracker) ForgetCancelled(job string) { delete(t.cancelled, job) }

// KnownCancelled reports whether a peer has named the job as cancelled and no record shows it yet.
func (t *Tracker) KnownCancelled(job string) bool { return t.cancelled[job] }

// CancellationProof returns the latest time up to which we know of every cancellation that was
// acknowledged to users. The proof is either our own complete records, as of mirrorAt, or a reply
// from every peer, as of the oldest of them. Only controllers acknowledge cancellations to users.
func (t *Tracker) CancellationProof(mirrorAt time.Duration) time.Duration {
	oldest := t.now
	for _, p := range t.cfg.Peers {
		oldest = min(oldest, t.confirmedAt[p.Node])
	}
	return max(mirrorAt, oldest)
}
