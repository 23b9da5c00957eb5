// Package fencing decides what a controller may believe of a machine that it
// holds: which reports count, which attempts may be launched, and what proves that
// one has left. Every launch and every release of the core passes through it, and
// nothing else may cause one.
//
// It is decisions alone: values in, a verdict out, no state, no clock. The core
// calls it with what it knows, and the model in this package's tests calls the same
// functions through all interleavings of a small world. docs/design.md, "Safety",
// gives the argument; each function names its part of it.
package fencing

import "time"

// Proof is what proves that an attempt is not on its machine any more and can't
// come back. These are all there are: silence, a list's absence alone, or a dead
// peer prove nothing.
type Proof uint8

// Kinds of evidence.
const (
	// Ended: a report under our token shows the attempt as ended. It stays true
	// under any claim, as an attempt that has ended does not start again before it
	// is forgotten, and it is forgotten only after its release.
	Ended Proof = iota + 1
	// NewerEpoch: a report, under whatever token, is of a later session than the attempt's.
	// It stays true under any claim: a session never comes back.
	NewerEpoch
	// NotListed: a report under our token lacks an attempt that is not wanted any
	// more, and no launch of it can be under way. True under this claim alone.
	NotListed
	// LeaseExpired: the lease has certainly ended since the last report that we answered,
	// and nobody else can have answered one. True under this claim alone.
	LeaseExpired
	// MachineDeleted: the cloud has answered that the machine is deleted, or lists it as
	// failed. It stays true: a machine's name never comes back.
	MachineDeleted
)

// Names of the kinds, in logs and recordings.
var proofNames = [...]string{"none", "ended", "session", "absent", "lease", "cloud"}

func (k Proof) String() string {
	if int(k) < len(proofNames) {
		return proofNames[k]
	}
	return "unknown"
}

// WorkerState is what a controller knows of a machine at the moment of a decision.
type WorkerState struct {
	Held            bool     // the claim names us, in this life or as adopted from an earlier one
	Adopted         bool     // the latter
	Token           uint64   // the claim's stamp, by which the worker knows its holder
	AppliedRevision uint64   // the revision up to which our mirror of the records is complete
	TokenSeen       bool     // the worker has shown the token: it drops what earlier holders say
	MirrorComplete  bool     // the mirror is known to be complete as of a moment after that
	LaunchInDoubt   bool     // a direct launch of ours may be carried out until a new token is seen
	Epoch           uint64   // of the newest report taken
	Sequence        uint64   // the same
	LastLaunch      Position // the newest answer to a direct launch
}

// Position is a place in the order of what a worker says: reports and answers.
type Position struct{ Epoch, Sequence uint64 }

// Before tells whether m was said before o.
func (m Position) Before(o Position) bool {
	return m.Epoch < o.Epoch || m.Epoch == o.Epoch && m.Sequence < o.Sequence
}

// Heartbeat is the head of a worker's report.
type Heartbeat struct {
	Token    uint64 // the highest token that the worker has seen
	Epoch    uint64 // its session
	Sequence uint64
}

func (r Heartbeat) position() Position { return Position{r.Epoch, r.Sequence} }

// Verdict is what to do with a report.
type Verdict uint8

// Hearings.
const (
	NeedsClaim  Verdict = iota // it needs a claim, or a new one, before it can be answered
	Stale                      // it was held back: a newer one has been taken; it is refused
	Acknowledge                // it is answered with our token, and nothing in it is believed
	Trust                      // it is answered, and its list is compared with the records
)

// JudgeHeartbeat judges a report.
//
// It is believed only if it shows our token, so that no earlier holder's command
// can still be carried out, and if the mirror has reached the claim's revision, so
// that everything that was conditional on an earlier claim is in it.
//
// Guards against a report that a direct launch has overtaken: sent before the launch
// was carried out, it arrives after the launch's answer, and lacks an attempt that
// runs. Was that not wanted any more, by a notice in that same report, it was released
// for being absent. Such a report is answered, and its list is not believed.
func (s WorkerState) JudgeHeartbeat(r Heartbeat) Verdict {
	switch {
	case !s.Held || r.Token > s.Token || s.LaunchInDoubt && r.Token == s.Token:
		return NeedsClaim
	case !Position{s.Epoch, s.Sequence}.Before(r.position()):
		return Stale
	case r.Token == s.Token && s.AppliedRevision >= s.Token && !r.position().Before(s.LastLaunch):
		return Trust
	}
	return Acknowledge
}

// Attempt is a task's attempt as the records bind it to the machine.
type Attempt struct {
	Number  int
	Epoch   uint64 // in which it is bound
	BoundAt uint64 // the revision that bound it, or an earlier one that is known
}

// ListedAttempt is an attempt on a report's list.
type ListedAttempt struct {
	Number int
	Ended  bool
}

// Action is what to do about one attempt.
type Action uint8

// Acts.
const (
	Keep       Action = iota // it is as it should be, or it is to be waited for
	Defer                    // nothing can be said to the worker yet: a launch of it may still come
	Launch                   // tell the worker to start it
	Kill                     // tell the worker to stop it at once
	Forget                   // tell the worker that its ending is known
	Release                  // propose its release, on the evidence returned with it
	RenewToken               // it can't be settled under this token: take a new one
)

// JudgeListed judges an attempt that a believed report lists. a is what the records bind
// to this machine of the same task, if bound. direct tells whether a direct launch of
// the listed attempt is unanswered.
//
// What the records do not bind here is stopped, and forgotten once it has ended.
// A launch that may still come would start a forgotten attempt again, so it is
// forgotten only after the launch's answer; under an adopted claim that answer went
// to an earlier life, and a new token settles it.
func (s WorkerState) JudgeListed(r Heartbeat, l ListedAttempt, a Attempt, bound, direct bool) (Action, Proof) {
	if !bound || a.Epoch != r.Epoch || a.Number != l.Number {
		switch {
		case !l.Ended:
			return Kill, 0
		case direct && s.Adopted:
			return RenewToken, 0
		case direct:
			return Defer, 0
		}
		return Forget, 0
	}
	if l.Ended {
		return Release, Ended
	}
	return Keep, 0
}

// JudgeMissing judges an attempt that is bound to the machine and that a believed report
// does not list. wanted is whether it should run here; ending whether its release
// is proposed or under way already.
//
// A worker has one report in flight, so the answer to an earlier report has been
// carried out or dropped when this one was sent. With no direct launch of the attempt
// unanswered (direct), nothing can bring what it lacks; it is released if not wanted.
// One that is wanted is launched, if it may be (see launchable).
func (s WorkerState) JudgeMissing(r Heartbeat, a Attempt, direct, wanted, ending bool) (Action, Proof) {
	switch {
	case a.Epoch < r.Epoch:
		return JudgeEarlierEpoch(r, a)
	case a.Epoch > r.Epoch:
		return Keep, 0
	case wanted && !ending && s.launchable(a):
		return Launch, 0
	case wanted:
		return Keep, 0
	case direct && s.Adopted:
		return RenewToken, 0
	case direct:
		return Defer, 0
	}
	return Release, NotListed
}

// JudgeEarlierEpoch judges an attempt that is bound to the machine when a report comes that is
// answered and not believed. It needs no token: whoever launched the attempt named its session or answered a
// report of it, which the worker refuses and drops in every later one, and sessions
// never come back.
//
// Guards against tasks that stay bound to a machine that hears nobody, for as long as it is deaf:
// it shows no token, so nothing in its reports is believed, while its lease has ended all they ran.
func JudgeEarlierEpoch(r Heartbeat, a Attempt) (Action, Proof) {
	if a.Epoch < r.Epoch {
		return Release, NewerEpoch
	}
	return Keep, 0
}

// launchable tells whether the records that bind an attempt can be relied on to be
// the newest.
//
// Guards against launches from the past. An earlier holder may have released an
// attempt, and had it forgotten, after our claim was written and before the worker
// showed our token: evidence of an ending needs no claim. A mirror that is behind
// shows the attempt bound here. It is not launched unless it was bound under our
// claim, which only we can have ended, or the mirror is known to be complete as of a
// moment after the token was shown, when all that the earlier holder did was done.
func (s WorkerState) launchable(a Attempt) bool { return a.BoundAt > s.Token || s.MirrorComplete }

// MayLaunchDirectly tells whether an attempt that the records bind to the machine may be
// launched by a direct command now. The worker refuses one that names another
// session or a lower token.
//
// The mirror must have reached the claim, as for reports. Guards against the task
// that ran twice: the watch of a controller was answered late, and brought as news
// that an attempt was bound to a machine that it had taken over since; its ending
// had been committed and forgotten before the claim.
func (s WorkerState) MayLaunchDirectly(a Attempt) bool {
	return s.Held && s.TokenSeen && !s.LaunchInDoubt && s.AppliedRevision >= s.Token && a.Epoch == s.Epoch && s.launchable(a)
}

// LeaseExpired tells whether a worker has killed everything of the sessions up to
// Session, since its lease has ended. answered is the arrival of the last report
// that we answered under this claim, 0 if none; over is lease_s and the most that
// two clocks drift apart (leaseOver).
//
// The worker counts from the sending of that report, which came before its arrival,
// and once it has shown our token it drops everybody else's answers. Whether another
// controller has taken it over meanwhile, the claim's condition tells at the commit.
func (s WorkerState) LeaseExpired(now, answered, over time.Duration) bool {
	return s.Held && s.TokenSeen && answered > 0 && now-answered > over
}

// Evidence is evidence as it was found: of which kind, and under which token.
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
func (s WorkerState) MayRelease(f Evidence) (ok, onClaim bool) {
	switch f.Proof {
	case Ended, NewerEpoch, MachineDeleted:
		return true, false
	case NotListed, LeaseExpired:
		return s.Held && s.Token == f.Token, true
	}
	return false, false // evidence of no known kind proves nothing
}

// Adoptable tells whether a claim of an earlier life of ours can be gone on with,
// for one attempt that it binds: the worker lists it, or is in a later session, in
// which nothing of an earlier one is there or can come. listed is whether the worker's list
// has this attempt.
//
// The earlier life forgot and released nothing while a direct launch of it was
// unanswered. So what may still be carried out late are launches of attempts that
// are bound; of what the worker has, a launch does nothing.
func Adoptable(r Heartbeat, a Attempt, listed bool) bool {
	return a.Epoch < r.Epoch || a.Epoch == r.Epoch && listed
}
