// Package evidence decides what a controller may believe of a machine that it
// holds: which reports count, which attempts may be launched, and what proves that
// one has left. Every launch and every release of the core passes through it, and
// nothing else may cause one.
//
// It is decisions alone: values in, a verdict out, no state, no clock. The core
// calls it with what it knows, and the model in this package's tests calls the same
// functions through all interleavings of a small world. docs/design.md, "Safety",
// gives the argument; each function names its part of it.
package evidence

import "time"

// Kind is what proves that an attempt is not on its machine any more and can't
// come back. These are all there are: silence, a list's absence alone, or a dead
// peer prove nothing.
type Kind uint8

// Kinds of evidence.
const (
	// Ended: a report under our token shows the attempt as ended. It stays true
	// under any claim, as an attempt that has ended does not start again before it
	// is forgotten, and it is forgotten only after its release.
	Ended Kind = iota + 1
	// Session: a report, under whatever token, is of a later session than the attempt's.
	// It stays true under any claim: a session never comes back.
	Session
	// Absent: a report under our token lacks an attempt that is not wanted any
	// more, and no launch of it can be under way. True under this claim alone.
	Absent
	// Lease: the lease has certainly ended since the last report that we answered,
	// and nobody else can have answered one. True under this claim alone.
	Lease
	// Cloud: the cloud has answered that the machine is deleted, or lists it as
	// failed. It stays true: a machine's name never comes back.
	Cloud
)

// Names of the kinds, in logs and recordings.
var names = [...]string{"none", "ended", "session", "absent", "lease", "cloud"}

func (k Kind) String() string {
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Standing is what a controller knows of a machine at the moment of a decision.
type Standing struct {
	Ours    bool   // the claim names us, in this life or as adopted from an earlier one
	Adopted bool   // the latter
	Token   uint64 // the claim's stamp, by which the worker knows its holder
	Ledger  uint64 // the revision up to which our mirror of the records is complete
	Shown   bool   // the worker has shown the token: it drops what earlier holders say
	Proved  bool   // the mirror is known to be complete as of a moment after that
	Tainted bool   // a direct launch of ours may be carried out until a new token is seen
	Session uint64 // of the newest report taken
	Tally   uint64 // the same
	Newest  Mark   // the newest answer to a direct launch
}

// Mark is a place in the order of what a worker says: reports and answers.
type Mark struct{ Shift, Tally uint64 }

// Before tells whether m was said before o.
func (m Mark) Before(o Mark) bool {
	return m.Shift < o.Shift || m.Shift == o.Shift && m.Tally < o.Tally
}

// Report is the head of a worker's report.
type Report struct {
	Baton uint64 // the highest token that the worker has seen
	Shift uint64 // its session
	Tally uint64
}

func (r Report) mark() Mark { return Mark{r.Shift, r.Tally} }

// Hearing is what to do with a report.
type Hearing uint8

// Hearings.
const (
	Claim   Hearing = iota // it needs a claim, or a new one, before it can be answered
	Stale                  // it was held back: a newer one has been taken; it is refused
	Welcome                // it is answered with our token, and nothing in it is believed
	Believe                // it is answered, and its list is compared with the records
)

// Hear judges a report.
//
// It is believed only if it shows our token, so that no earlier holder's command
// can still be carried out, and if the mirror has reached the claim's revision, so
// that everything that was conditional on an earlier claim is in it.
//
// Guards against a report that a direct launch has overtaken: sent before the launch
// was carried out, it arrives after the launch's answer, and lacks an attempt that
// runs. Was that not wanted any more, by a notice in that same report, it was released
// for being absent. Such a report is answered, and its list is not believed.
func (s Standing) Hear(r Report) Hearing {
	switch {
	case !s.Ours || r.Baton > s.Token || s.Tainted && r.Baton == s.Token:
		return Claim
	case !Mark{s.Session, s.Tally}.Before(r.mark()):
		return Stale
	case r.Baton == s.Token && s.Ledger >= s.Token && !r.mark().Before(s.Newest):
		return Believe
	}
	return Welcome
}

// Attempt is a task's attempt as the records bind it to the machine.
type Attempt struct {
	Try     int
	Session uint64 // in which it is bound
	Since   uint64 // the revision that bound it, or an earlier one that is known
}

// Load is an attempt on a report's list.
type Load struct {
	Try   int
	Ended bool
}

// Act is what to do about one attempt.
type Act uint8

// Acts.
const (
	Keep    Act = iota // it is as it should be, or it is to be waited for
	Hold               // nothing can be said to the worker yet: a launch of it may still come
	Launch             // tell the worker to start it
	Kill               // tell the worker to stop it at once
	Forget             // tell the worker that its ending is known
	Release            // propose its release, on the evidence returned with it
	Renew              // it can't be settled under this token: take a new one
)

// Listed judges an attempt that a believed report lists. a is what the records bind
// to this machine of the same task, if bound. direct tells whether a direct launch of
// the listed attempt is unanswered.
//
// What the records do not bind here is stopped, and forgotten once it has ended.
// A launch that may still come would start a forgotten attempt again, so it is
// forgotten only after the launch's answer; under an adopted claim that answer went
// to an earlier life, and a new token settles it.
func (s Standing) Listed(r Report, l Load, a Attempt, bound, direct bool) (Act, Kind) {
	if !bound || a.Session != r.Shift || a.Try != l.Try {
		switch {
		case !l.Ended:
			return Kill, 0
		case direct && s.Adopted:
			return Renew, 0
		case direct:
			return Hold, 0
		}
		return Forget, 0
	}
	if l.Ended {
		return Release, Ended
	}
	return Keep, 0
}

// Lacking judges an attempt that is bound to the machine and that a believed report
// does not list. wanted is whether it should run here; ending whether its release
// is proposed or under way already.
//
// A worker has one report in flight, so the answer to an earlier report has been
// carried out or dropped when this one was sent. With no direct launch of the attempt
// unanswered (direct), nothing can bring what it lacks; it is released if not wanted.
// One that is wanted is launched, if it may be (see launchable).
func (s Standing) Lacking(r Report, a Attempt, direct, wanted, ending bool) (Act, Kind) {
	switch {
	case a.Session < r.Shift:
		return Outlived(r, a)
	case a.Session > r.Shift:
		return Keep, 0
	case wanted && !ending && s.launchable(a):
		return Launch, 0
	case wanted:
		return Keep, 0
	case direct && s.Adopted:
		return Renew, 0
	case direct:
		return Hold, 0
	}
	return Release, Absent
}

// Outlived judges an attempt that is bound to the machine when a report comes that is
// answered and not believed. It needs no token: whoever launched the attempt named its session or answered a
// report of it, which the worker refuses and drops in every later one, and sessions
// never come back.
//
// Guards against tasks that stay bound to a machine that hears nobody, for as long as it is deaf:
// it shows no token, so nothing in its reports is believed, while its lease has ended all they ran.
func Outlived(r Report, a Attempt) (Act, Kind) {
	if a.Session < r.Shift {
		return Release, Session
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
func (s Standing) launchable(a Attempt) bool { return a.Since > s.Token || s.Proved }

// Direct tells whether an attempt that the records bind to the machine may be
// launched by a direct command now. The worker refuses one that names another
// session or a lower token.
//
// The mirror must have reached the claim, as for reports. Guards against the task
// that ran twice: the watch of a controller was answered late, and brought as news
// that an attempt was bound to a machine that it had taken over since; its ending
// had been committed and forgotten before the claim.
func (s Standing) Direct(a Attempt) bool {
	return s.Ours && s.Shown && !s.Tainted && s.Ledger >= s.Token && a.Session == s.Session && s.launchable(a)
}

// LeaseOver tells whether a worker has killed everything of the sessions up to
// Session, since its lease has ended. answered is the arrival of the last report
// that we answered under this claim, 0 if none; over is lease_s and the most that
// two clocks drift apart (leaseOver).
//
// The worker counts from the sending of that report, which came before its arrival,
// and once it has shown our token it drops everybody else's answers. Whether another
// controller has taken it over meanwhile, the claim's condition tells at the commit.
func (s Standing) LeaseOver(now, answered, over time.Duration) bool {
	return s.Ours && s.Shown && answered > 0 && now-answered > over
}

// Found is evidence as it was found: of which kind, and under which token.
type Found struct {
	Kind  Kind
	Token uint64
}

// Commit tells whether a release on that evidence may be written now, and whether
// the transaction must be conditional on the claim. Whatever transaction carries it
// is also conditional on the task's record, so that it ends the attempt that was
// judged and no other.
//
// Evidence that is true under one claim alone is void under the next one, also if
// that is ours again: a peer may have answered the worker in between.
func (s Standing) Commit(f Found) (ok, onClaim bool) {
	switch f.Kind {
	case Ended, Session, Cloud:
		return true, false
	case Absent, Lease:
		return s.Ours && s.Token == f.Token, true
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
func Adoptable(r Report, a Attempt, listed bool) bool {
	return a.Session < r.Shift || a.Session == r.Shift && listed
}
