package fencing

// Proof is a kind of proof that an attempt is no longer on its worker and can't be started
// there again. Nothing but the proofs below counts: missing heartbeats, an attempt's absence
// from a list alone, or a peer that is down prove nothing. The zero value is no proof.
type Proof uint8

// Proofs of termination.
const (
	// Ended means that a heartbeat under our token shows the attempt as ended. The proof
	// remains valid under any claim: an attempt that has ended does not start again before
	// the worker forgets it, and the worker is told to forget it only after its release, by an
	// answer that makes every direct launch of it void.
	Ended Proof = iota + 1
	// NewerEpoch means that a heartbeat, under any token, belongs to a later epoch than the
	// attempt. The proof remains valid under any claim: epochs are never reused.
	NewerEpoch
	// NotListed means that a heartbeat under our token does not list the attempt, which is
	// no longer wanted and of which every direct launch is void. The proof is valid only
	// under this claim.
	NotListed
	// LeaseExpired means that the lease has certainly ended since the last heartbeat that we
	// answered, and no other controller can have answered one. The proof is valid only under
	// this claim.
	LeaseExpired
	// MachineDeleted means that the cloud has answered that the machine is deleted, or lists
	// it as failed. The proof remains valid: a machine's name is never reused.
	MachineDeleted
)

// proofNames are the names in logs and recordings. Earlier versions wrote the same names.
var proofNames = [...]string{"none", "ended", "session", "absent", "lease", "cloud"}

// String returns the proof's name in logs and recordings, "unknown" for an undefined value.
func (p Proof) String() string { return nameOf(proofNames[:], uint8(p)) }

// Evidence is a proof and the fencing token under which it was found.
type Evidence struct {
	Proof Proof
	Token uint64
}

// MayRelease reports whether a release on that evidence may be written now, and whether
// the transaction must be conditional on the claim. The transaction is always conditional
// on the task's record as well, so that it ends the attempt that the proof is about and no
// other.
//
// Evidence that is valid only under one claim is void under the next one, even if that one
// is ours again: a peer may have answered the worker in between.
func (s WorkerState) MayRelease(found Evidence) (ok, conditionalOnClaim bool) {
	switch found.Proof {
	case Ended, NewerEpoch, MachineDeleted:
		return true, false
	case NotListed, LeaseExpired:
		return s.Held && s.Token == found.Token, true
	}
	return false, false // an unknown kind of evidence proves nothing
}
