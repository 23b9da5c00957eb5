package connectivity

import "time"

// ConfirmCancellations takes a peer's reply, as of a query of ours that was sent at a time, that it
// has told users of no cancellation but those that the core was given with it.
func (t *Tracker) ConfirmCancellations(from string, at time.Duration) {
	if at <= t.now && at > t.confirmedAt[from] {
		t.confirmedAt[from] = at
	}
}

// NoteCancelled notes a cancelled job that a peer named and no record shows yet.
func (t *Tracker) NoteCancelled(job string) { t.cancelled[job] = true }

// ForgetCancelled undoes NoteCancelled, as a record shows the job now.
func (t *Tracker) ForgetCancelled(job string) { delete(t.cancelled, job) }

// KnownCancelled tells whether a peer has named the job as cancelled and no record shows it yet.
func (t *Tracker) KnownCancelled(job string) bool { return t.cancelled[job] }

// CancellationProof is as of when no cancellation was told to users that we don't know of: our
// own complete records show it, as of mirrorAt, or the reply of every peer. Nobody else tells users
// anything.
func (t *Tracker) CancellationProof(mirrorAt time.Duration) time.Duration {
	oldest := t.now
	for _, p := range t.cfg.Peers {
		oldest = min(oldest, t.confirmedAt[p.Node])
	}
	return max(mirrorAt, oldest)
}
