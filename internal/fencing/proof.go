package fencing

// Proof is what proves that an attempt is not on its worker any more and can't
// come back. These are all there are: silence, a list's absence alone, or a peer that
// is down prove nothing. The zero value is no proof.
type Proof uint8

// Proofs of termination.
const (
	// Ended means that a heartbeat under our token shows the attempt as ended. It stays
	// true under any claim, as an attempt that has ended does not start again before it
	// is forgotten, and it is forgotten only after its release.
	Ended Proof = iota + 1
	// NewerEpoch means that a heartbeat, under whatever token, is of a later epoch than the
	// attempt's. It stays true under any claim: an epoch never comes back.
	NewerEpoch
	// NotListed means that a heartbeat under our token lacks an attempt that is not wanted
	// any more, and no launch of it can be under way. It is true under this claim alone.
	NotListed
	// LeaseExpired means that the lease has certainly ended since the last heartbeat that we
	// answered, and nobody else can have answered one. It is true under this claim alone.
	LeaseExpired
	// MachineDeleted means that the cloud has answered that the machine is deleted, or lists
	// it as failed. It stays true: a machine's name never comes back.
	MachineDeleted
)

// proofNames are the names in logs and recordings, which earlier versions wrote, too.
var proofNames = [...]string{"none", "ended", "session", "absent", "lease", "cloud"}

// String is the proof's name in logs and recordings, "unknown" for a value that is none.
func (p Proof) String() string { return nameOf(proofNames[:], uint8(p)) }

// Evidence is a proof as it was found, and the token under which it was.
type Evidence struct {
	Proof Proof
	Token uint64
}

// MayRelease tells whether a release on that evidence may be written now, and whether
// the transaction must be conditional on the claim. Whatever transaction carries it
// is also conditional on the task's record, so that it ends the attempt that was
// judged and no other.
//
// Evidence that is true under one claim alone is void under the next one, also if
// that is ours again: a peer may have answered the worker in between.
func (s WorkerState) MayRelease(found Evidence) (ok, conditionalOnClaim bool) {
	switch found.Proof {
	case Ended, NewerEpoch, MachineDeleted:
		return true, false
	case NotListed, LeaseExpired:
		return s.Held && s.Token == found.Token, true
	}
	return false, false // evidence of no known kind proves nothing
}
