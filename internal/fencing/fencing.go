// Package fencing decides what a controller may believe of a worker that it owns: which
// heartbeats count, which attempts may be launched, and what proves that an attempt has
// terminated. Every launch and every release of the core passes through it, and nothing
// else may cause one.
//
// It holds decisions alone: values in, a verdict out, no state, no clock. The core
// calls it with what it knows, and the model in this package's tests calls the same
// functions through all interleavings of a small world. docs/design.md, "Safety",
// gives the argument; each function names its part of it.
//
// A worker's owner is the controller that its claim names. The claim's revision is the
// fencing token: workers remember the highest token that they have been shown and refuse
// commands under a lower one. A worker whose lease ends kills everything that it runs and
// begins a new epoch; epochs never come back.
package fencing

import "time"

// WorkerState is what a controller knows of a worker at the moment of a decision.
type WorkerState struct {
	Held            bool     // the claim names us, in this incarnation or as adopted from an earlier one
	Adopted         bool     // it is adopted from an earlier incarnation
	Token           uint64   // the claim's revision: the fencing token by which the worker knows its owner
	AppliedRevision uint64   // the revision up to which our mirror of the records is complete
	TokenSeen       bool     // the worker has shown the token: it drops what earlier owners say
	MirrorComplete  bool     // the mirror is known to be complete as of a moment after that
	LaunchInDoubt   bool     // a direct launch of ours may be carried out until a new token is seen
	Epoch           uint64   // of the newest heartbeat taken
	Sequence        uint64   // of the newest heartbeat taken
	LastLaunch      Position // the newest answer to a direct launch
}

// Position is a place in the order of what a worker says: heartbeats and answers.
type Position struct {
	Epoch    uint64
	Sequence uint64 // in the order of what is said in the epoch
}

// Before tells whether p was said before other.
func (p Position) Before(other Position) bool {
	return p.Epoch < other.Epoch || p.Epoch == other.Epoch && p.Sequence < other.Sequence
}

// Heartbeat is the head of a worker's heartbeat.
type Heartbeat struct {
	Token    uint64 // the highest token that the worker has seen
	Epoch    uint64 // the agent's epoch
	Sequence uint64 // the heartbeat's sequence number
}

func (hb Heartbeat) position() Position { return Position{hb.Epoch, hb.Sequence} }

// Verdict is what to do with a heartbeat.
type Verdict uint8

// Verdicts on a heartbeat.
const (
	NeedsClaim  Verdict = iota // it needs a claim, or a new one, before it can be answered
	Stale                      // it was delayed: a newer one has been taken; it is refused
	Acknowledge                // it is answered with our token, and nothing in it is believed
	Trust                      // it is answered, and its list is compared with the records
)

var verdictNames = [...]string{"needs claim", "stale", "acknowledge", "trust"}

// String is the verdict's name, "unknown" for a value that is none.
func (v Verdict) String() string { return nameOf(verdictNames[:], uint8(v)) }

func nameOf(names []string, value uint8) string {
	if int(value) < len(names) {
		return names[value]
	}
	return "unknown"
}

// JudgeHeartbeat judges a heartbeat.
//
// It is trusted only if it shows our token, so that no earlier owner's command can
// still be carried out, and if the mirror has reached the claim's revision, so that
// everything that was conditional on an earlier claim is in it.
//
// Guards against a heartbeat that a direct launch has overtaken: sent before the launch
// was carried out, it arrives after the launch's answer, and lacks an attempt that runs.
// If that attempt was not wanted any more, by a notice in that same heartbeat, it was
// released for not being listed. Such a heartbeat is answered, and its list is not
// believed.
func (s WorkerState) JudgeHeartbeat(hb Heartbeat) Verdict {
	newest := Position{s.Epoch, s.Sequence}
	switch {
	case !s.Held || hb.Token > s.Token || s.LaunchInDoubt && hb.Token == s.Token:
		return NeedsClaim
	case !newest.Before(hb.position()):
		return Stale
	case hb.Token == s.Token && s.AppliedRevision >= s.Token && !hb.position().Before(s.LastLaunch):
		return Trust
	}
	return Acknowledge
}

// Attempt is a task's attempt as the records bind it to the worker.
type Attempt struct {
	Number  int
	Epoch   uint64 // the agent's epoch in which it is bound
	BoundAt uint64 // the revision that bound it, or an earlier one that is known
}

// ListedAttempt is an attempt on a heartbeat's list.
type ListedAttempt struct {
	Number int
	Ended  bool // it has terminated, and the worker has not been told to forget it yet
}

// Action is what to do about one attempt.
type Action uint8

// Actions on an attempt.
const (
	Keep       Action = iota // it is as it should be, or it is to be waited for
	Defer                    // nothing can be said to the worker yet: a launch of it may still come
	Launch                   // tell the worker to start it
	Kill                     // tell the worker to stop it at once
	Forget                   // tell the worker that its end is known
	Release                  // propose its release, on the proof returned with it
	RenewToken               // it can't be settled under this token: take a new one
)

var actionNames = [...]string{"keep", "defer", "launch", "kill", "forget", "release", "renew token"}

// String is the action's name, "unknown" for a value that is none.
func (a Action) String() string { return nameOf(actionNames[:], uint8(a)) }

// JudgeListed judges an attempt that a trusted heartbeat lists. bound is what the records
// bind to this worker of the same task, if isBound. launching tells whether a direct
// launch of the listed attempt is unanswered. The proof is given with Release alone.
//
// What the records do not bind here is stopped, and forgotten once it has ended.
// A launch that may still come would start a forgotten attempt again, so it is
// forgotten only after the launch's answer; under an adopted claim that answer went
// to an earlier incarnation, and a new token settles it.
func (s WorkerState) JudgeListed(hb Heartbeat, listed ListedAttempt, bound Attempt, isBound, launching bool) (Action, Proof) {
	if isBound && bound.Epoch == hb.Epoch && bound.Number == listed.Number {
		if listed.Ended {
			return Release, Ended
		}
		return Keep, 0
	}
	switch {
	case !listed.Ended:
		return Kill, 0
	case launching && s.Adopted:
		return RenewToken, 0
	case launching:
		return Defer, 0
	}
	return Forget, 0
}

// JudgeMissing judges an attempt that is bound to the worker and that a trusted heartbeat
// does not list. launching tells whether a direct launch of it is unanswered, wanted
// whether it should run here, and ending whether its release is proposed or under way
// already. The proof is given with Release alone.
//
// A worker has one heartbeat in flight, so the answer to an earlier heartbeat has been
// carried out or dropped when this one was sent. With no direct launch of the attempt
// unanswered, nothing can bring what it lacks; it is released if not wanted. One that is
// wanted is launched, if it may be (see launchable).
func (s WorkerState) JudgeMissing(hb Heartbeat, bound Attempt, launching, wanted, ending bool) (Action, Proof) {
	switch {
	case bound.Epoch < hb.Epoch:
		return JudgeEarlierEpoch(hb, bound)
	case bound.Epoch > hb.Epoch:
		return Keep, 0
	case wanted && !ending && s.launchable(bound):
		return Launch, 0
	case wanted:
		return Keep, 0
	case launching && s.Adopted:
		return RenewToken, 0
	case launching:
		return Defer, 0
	}
	return Release, NotListed
}

// JudgeEarlierEpoch judges an attempt that is bound to the worker when a heartbeat comes
// that is answered and not trusted. It needs no token: whoever launched the attempt named
// its epoch or answered a heartbeat of it, which the worker refuses and drops in every
// later one, and epochs never come back.
//
// Guards against tasks that stay bound to a machine that hears nobody, for as long as it
// does not: it shows no token, so nothing in its heartbeats is believed, while its lease
// has ended all they ran.
func JudgeEarlierEpoch(hb Heartbeat, bound Attempt) (Action, Proof) {
	if bound.Epoch < hb.Epoch {
		return Release, NewerEpoch
	}
	return Keep, 0
}

// launchable tells whether the records that bind an attempt can be relied on to be
// the newest.
//
// Guards against launches from the past. An earlier owner may have released an
// attempt, and had it forgotten, after our claim was written and before the worker
// showed our token: proof of an end needs no claim. A mirror that is behind
// shows the attempt bound here. It is not launched unless it was bound under our
// claim, which only we can have ended, or the mirror is known to be complete as of a
// moment after the token was shown, when all that the earlier owner did was done.
func (s WorkerState) launchable(bound Attempt) bool {
	return bound.BoundAt > s.Token || s.MirrorComplete
}

// MayLaunchDirectly tells whether an attempt that the records bind to the worker may be
// launched by a direct command now. The worker refuses a command that names another
// epoch or a lower token.
//
// The mirror must have reached the claim, as for heartbeats. Guards against the task
// that ran twice: the watch of a controller was answered late, and brought as news
// that an attempt was bound to a worker that the controller had taken over since; its
// end had been committed and forgotten before the claim.
func (s WorkerState) MayLaunchDirectly(bound Attempt) bool {
	return s.Held && s.TokenSeen && !s.LaunchInDoubt && s.AppliedRevision >= s.Token && bound.Epoch == s.Epoch && s.launchable(bound)
}

// LeaseExpired tells whether a worker has killed everything of the epochs up to
// Epoch, since its lease has ended. now and answered are times of our clock; answered is
// the arrival of the last heartbeat that we answered under this claim, 0 if none. limit
// is lease_s and the most that two clocks drift apart (the core's leaseExpiry).
//
// The worker counts from the sending of that heartbeat, which came before its arrival,
// and once it has shown our token it drops everybody else's answers. Whether another
// controller has taken it over meanwhile, the claim's condition tells at the commit.
func (s WorkerState) LeaseExpired(now, answered, limit time.Duration) bool {
	return s.Held && s.TokenSeen && answered > 0 && now-answered > limit
}

// Adoptable tells whether a claim of an earlier incarnation of ours can be gone on with,
// for one attempt that it binds: the worker lists it, or is in a later epoch, in
// which nothing of an earlier one is there or can come. listed is whether the heartbeat's
// list has this attempt.
//
// The earlier incarnation forgot and released nothing while a direct launch of it was
// unanswered. So what may still be carried out late are launches of attempts that
// are bound; of what the worker has, a launch does nothing.
func Adoptable(hb Heartbeat, bound Attempt, listed bool) bool {
	return bound.Epoch < hb.Epoch || bound.Epoch == hb.Epoch && listed
}
