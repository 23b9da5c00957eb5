// Package fencing decides how far a controller may rely on what a worker that it owns
// reports: which heartbeats are trusted, which attempts may be launched, and what proves
// that an attempt has terminated. The core launches and releases attempts only on decisions
// of this package.
//
// A direct launch is never spent: a copy of it may arrive and be executed at any time, whether or not
// it was answered, until the worker has seen a newer token or begun a later epoch (see DirectLaunch).
//
// The functions are pure: they take values and return a verdict, and use no state and no
// clock. The core calls them with its knowledge of a worker, and the model in this package's
// tests calls the same functions in all interleavings of a small system. docs/design.md,
// "Safety", gives the argument; each function documents its part of it.
//
// A worker's owner is the controller that its claim names. If the worker has failed over
// with its group (package failover), the group's failover record counts as the claim. The
// claim's revision is the fencing token: a worker remembers the highest token that it has
// seen and refuses commands under a lower one. The owner may raise the token of its commands
// above the claim's revision without a write (see RaisedToken). A worker whose lease ends kills
// everything that it runs and begins a new epoch; epochs are never reused.
package fencing

import "time"

// WorkerState is a controller's knowledge of a worker at the time of a decision.
type WorkerState struct {
	Held            bool     // the claim names this controller, in this incarnation or adopted from an earlier one
	Token           uint64   // the claim's revision: the lowest fencing token that identifies the owner to the worker
	CommandToken    uint64   // the token of commands and answers: Token, or the one that it was last raised to
	AppliedRevision uint64   // the revision up to which our mirror of the records is complete
	TokenSeen       bool     // a heartbeat has shown the token or a raised one, so the worker drops messages of earlier owners
	MirrorComplete  bool     // the mirror is known to be complete as of a time after the token was shown
	LaunchInDoubt   bool     // a direct launch of ours may still be executed until the worker shows a new token
	Epoch           uint64   // epoch of the newest accepted heartbeat
	Sequence        uint64   // sequence number of the newest accepted heartbeat
	LastLaunch      Position // position of the newest answer to a direct launch
}

// Position is the place of a message in the order in which a worker sends its heartbeats and
// its answers to direct launches.
type Position struct {
	Epoch    uint64
	Sequence uint64 // orders the messages within the epoch
}

// Before reports whether the message at p was sent before the one at other.
func (p Position) Before(other Position) bool {
	return p.Epoch < other.Epoch || p.Epoch == other.Epoch && p.Sequence < other.Sequence
}

// Heartbeat is the header of a worker's heartbeat.
type Heartbeat struct {
	Token    uint64 // the highest token that the worker has seen
	Epoch    uint64 // the agent's epoch
	Sequence uint64 // the heartbeat's sequence number
}

func (hb Heartbeat) position() Position { return Position{hb.Epoch, hb.Sequence} }

// Verdict says what to do with a heartbeat.
type Verdict uint8

// Verdicts on a heartbeat.
const (
	NeedsClaim  Verdict = iota // the worker must be claimed, or claimed anew, before the heartbeat can be answered
	Stale                      // the heartbeat was delayed and a newer one has been accepted: refuse it
	Acknowledge                // answer with our token, and rely on nothing in the heartbeat
	Trust                      // answer, and compare the heartbeat's list with the records
)

var verdictNames = [...]string{"needs claim", "stale", "acknowledge", "trust"}

// String returns the verdict's name, "unknown" for an undefined value.
func (v Verdict) String() string { return nameOf(verdictNames[:], uint8(v)) }

func nameOf(names []string, value uint8) string {
	if int(value) < len(names) {
		return names[value]
	}
	return "unknown"
}

// JudgeHeartbeat decides what to do with a heartbeat.
//
// A heartbeat is trusted only if it shows our token, or one to which we have raised it, so that no
// command of an earlier owner can still be executed, and if the mirror has reached the claim's
// revision, so that the mirror holds every write that was conditional on an earlier claim.
//
// Guards against a heartbeat that a direct launch has overtaken: the worker sends it before
// it executes the launch, the heartbeat arrives after the launch's answer, and its list
// lacks an attempt that runs. If a preemption notice in the same heartbeat made that attempt
// unwanted, it was released because it was not listed. Such a heartbeat is answered, but its
// list is not used.
func (s WorkerState) JudgeHeartbeat(hb Heartbeat) Verdict {
	newest := Position{s.Epoch, s.Sequence}
	switch {
	case !s.Held || hb.Token > s.CommandToken || s.LaunchInDoubt && hb.Token >= s.Token:
		return NeedsClaim
	case !newest.Before(hb.position()):
		return Stale
	case hb.Token >= s.Token && s.AppliedRevision >= s.Token && !hb.position().Before(s.LastLaunch):
		return Trust
	}
	return Acknowledge
}

// RaisedToken returns the token to which the owner may raise that of its commands now, so that a direct
// launch becomes void when the worker sees it; ok is false if there is none yet. It is the revision up
// to which the mirror is complete. The mirror shows us as the owner at that revision, so every other
// owner's token is the revision of a later change, which is greater: the worker obeys a later owner
// whatever we raise our token to. The claim is not written anew, so conditions on it and evidence
// under it keep their meaning.
func (s WorkerState) RaisedToken(launch DirectLaunch) (token uint64, ok bool) {
	if !s.Held || s.LaunchInDoubt || s.AppliedRevision <= max(s.CommandToken, launch.Token) {
		return 0, false
	}
	return s.AppliedRevision, true
}

// DirectLaunch is the newest direct launch of an attempt that the owner has sent, or that an earlier
// incarnation of it may have sent. The zero value is no launch.
type DirectLaunch struct {
	Token uint64 // the token of the command, or an upper bound
	Epoch uint64 // the agent's epoch that it names
}

// Void reports whether no copy of the launch can be executed any more, as a heartbeat shows: the worker
// refuses commands under a lower token than it has seen, or of an earlier epoch. Nothing else makes a
// launch void. Its answer does not: the network may deliver a request that was answered once more.
func (l DirectLaunch) Void(hb Heartbeat) bool { return hb.Token > l.Token || hb.Epoch > l.Epoch }

// voidAfterAnswer reports whether the launch is void for a worker that has received the answer, under
// that token, to a heartbeat.
func (l DirectLaunch) voidAfterAnswer(hb Heartbeat, token uint64) bool {
	return token > l.Token || l.Void(hb)
}

// Attempt is a task's attempt that the records bind to the worker.
type Attempt struct {
	Number  int
	Epoch   uint64 // the agent's epoch in which the attempt is bound
	BoundAt uint64 // the revision that bound the attempt; an earlier one, such as 0, if that is not known
}

// ListedAttempt is an attempt on a heartbeat's list.
type ListedAttempt struct {
	Number int
	Ended  bool // the attempt has terminated, and the worker has not been told to forget it yet
}

// Action says what to do about one attempt.
type Action uint8

// Actions on an attempt.
const (
	Keep       Action = iota // do nothing: the attempt is as it should be, or the controller has to wait
	Launch                   // tell the worker to start the attempt
	Kill                     // tell the worker to stop the attempt at once
	Forget                   // tell the worker to forget the attempt, as its end is known
	Release                  // propose the attempt's release, on the proof returned with the action
	RaiseToken               // raise the token of commands first: a launch of the attempt may still arrive
)

var actionNames = [...]string{"keep", "launch", "kill", "forget", "release", "raise token"}

// String returns the action's name, "unknown" for an undefined value.
func (a Action) String() string { return nameOf(actionNames[:], uint8(a)) }

// JudgeListed decides what to do about an attempt that a trusted heartbeat lists. bound is the
// attempt of the same task that the records bind to this worker, if isBound. launch is the newest
// direct launch of the listed attempt. A proof comes only with Release.
//
// An attempt that the records do not bind here is killed, and forgotten once it has ended. A launch
// that arrives later would start a forgotten attempt again, so the attempt is forgotten only by an
// answer that makes its direct launch void: one under a newer token than the launch's. While the worker
// lists the attempt, a copy of the launch has no effect.
//
// Guards against a task on two machines: the launch of a failed attempt had been answered, the attempt
// was forgotten under the launch's token, and a copy of the launch started it while the next attempt
// ran elsewhere.
func (s WorkerState) JudgeListed(hb Heartbeat, listed ListedAttempt, bound Attempt, isBound bool, launch DirectLaunch) (Action, Proof) {
	if isBound && bound.Epoch == hb.Epoch && bound.Number == listed.Number {
		if listed.Ended {
			return Release, Ended
		}
		return Keep, 0
	}
	switch {
	case !listed.Ended:
		return Kill, 0
	case !launch.voidAfterAnswer(hb, s.CommandToken):
		return RaiseToken, 0
	}
	return Forget, 0
}

// JudgeMissing decides what to do about an attempt that is bound to the worker and that a
// trusted heartbeat does not list. launch is the newest direct launch of the attempt, wanted
// reports whether the attempt should run here, and ending whether its release is already proposed
// or being written. A proof comes only with Release.
//
// A worker has one heartbeat in flight, so it had executed or dropped the answer to the
// previous heartbeat when it sent this one. If the direct launch of the attempt is void, too,
// nothing can start the attempt any more, and it is released if it is not wanted. A wanted attempt
// is launched if launchable allows it.
func (s WorkerState) JudgeMissing(hb Heartbeat, bound Attempt, launch DirectLaunch, wanted, ending bool) (Action, Proof) {
	switch {
	case bound.Epoch < hb.Epoch:
		return JudgeEarlierEpoch(hb, bound)
	case bound.Epoch > hb.Epoch:
		return Keep, 0
	case wanted && !ending && s.launchable(bound):
		return Launch, 0
	case wanted:
		return Keep, 0
	case !launch.Void(hb):
		return RaiseToken, 0
	}
	return Release, NotListed
}

// JudgeEarlierEpoch decides what to do about an attempt that is bound to the worker when a
// heartbeat arrives that is answered but not trusted. The decision needs no token: a launch
// of the attempt named the attempt's epoch or answered a heartbeat of that epoch. In any later
// epoch the worker refuses such a command and drops such an answer, and epochs are never reused.
//
// Guards against tasks that stay bound to a machine for as long as no answer reaches it: such
// a machine does not show the token, so its heartbeats are not trusted, although its lease has
// ended and with it all of these tasks.
func JudgeEarlierEpoch(hb Heartbeat, bound Attempt) (Action, Proof) {
	if bound.Epoch < hb.Epoch {
		return Release, NewerEpoch
	}
	return Keep, 0
}

// launchable reports whether the record that binds an attempt is certainly the newest, so
// that the attempt may be launched.
//
// Guards against launches on an outdated record. An earlier owner may have released an
// attempt, and had the worker forget it, after our claim was written and before the worker
// showed our token: a release on proof of the attempt's end needs no claim. A mirror that is
// behind still shows the attempt bound here. So an attempt is launched only if it was bound
// under our claim, because then only we can have released it, or if the mirror is known to be
// complete as of a time after the token was shown, when the earlier owner could do no more.
func (s WorkerState) launchable(bound Attempt) bool {
	return bound.BoundAt > s.Token || s.MirrorComplete
}

// MayLaunchDirectly reports whether an attempt that the records bind to the worker may be
// launched by a direct command now. The worker refuses a command that names another
// epoch or a lower token.
//
// The mirror must have reached the claim, as for heartbeats. Guards against a task that
// runs twice: a controller's watch was answered late and reported that an attempt was bound
// to a worker that the controller had taken over in the meantime. The attempt's end had been
// committed, and the worker had forgotten the attempt, before the claim.
func (s WorkerState) MayLaunchDirectly(bound Attempt) bool {
	return s.Held && s.TokenSeen && !s.LaunchInDoubt && s.AppliedRevision >= s.Token && bound.Epoch == s.Epoch && s.launchable(bound)
}

// LeaseExpired reports whether a worker has killed all attempts of the epochs up to Epoch
// because its lease has ended. now and answered are times of our clock; answered is the
// arrival of the last heartbeat that we answered under this claim, 0 if none. limit is
// lease_s plus the most that two clocks drift apart (the core's leaseExpiry).
//
// The worker's lease runs from the sending of that heartbeat, which was before its arrival,
// and once the worker has shown our token it drops the answers of all other controllers. If
// another controller has taken the worker over meanwhile, the transaction's condition on the
// claim fails at the commit.
func (s WorkerState) LeaseExpired(now, answered, limit time.Duration) bool {
	return s.Held && s.TokenSeen && answered > 0 && now-answered > limit
}
