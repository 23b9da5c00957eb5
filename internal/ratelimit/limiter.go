// Package ratelimit decides whose request goes to the state service next. The
// service's rates are what recovery is made of: after a mass failure, claims of
// workers, endings and placements wait for the same changes a second, and a
// change spent on lesser work is one that urgent work waits for.
//
// It owns the share of both rates that this controller may use, and the order of
// the classes, and promises:
//   - Safety goes first, always;
//   - while something of the first tier waits (UrgentWork, UserRequests, UrgentClaims),
//     nothing of the later ones is sent, and so on; what is meant for one class of a tier
//     is not taken by another: each gets an equal part of what the tier gets, as long as
//     it has any use for it;
//   - Background goes when nothing else waits;
//   - a request is never held up by one that waits for a rate it doesn't use.
//
// The classes of a tier share it by start-time fair queueing: each request gets a start
// tag in its tier's virtual time, and the lowest one goes first.
//
// There is no I/O or clock in the package: time comes with Limiter.Advance, and what waits
// with Limiter.SetDemand.
package ratelimit

import "time"

// Rates are the state service's limits as this controller sees them.
type Rates struct {
	// Requests and Changes a second that all controllers together may use.
	Requests, Changes float64
	// Controllers is how many share them.
	Controllers int
	// TxnChanges is how many changes a transaction may have: so many are saved up.
	TxnChanges int
}

const (
	// A controller that has more to do than its equal share allows borrows
	// what the others leave: its share grows by borrowRate a second while
	// something waits, and halves on a refusal, after which it stays for borrowPause.
	borrowRate  = 0.1
	borrowPause = 5 * time.Second
	// throttledWindow is how long a wait for the budget counts.
	throttledWindow = 2 * time.Second
	// quietPeerUse is the part of its equal share that a controller is taken to use when
	// nothing waits there, and idlePeerUse when there is nothing that it could do.
	quietPeerUse = 0.5
	idlePeerUse  = 0.1
	// safetyMargin keeps clear of the service's own count.
	safetyMargin = 0.95
	// burstSeconds is how long a rate may be saved up, but never for less than
	// minRequestBurst, a request and one that waits for changes, or one transaction.
	burstSeconds    = 0.5
	minRequestBurst = 2
)

// bucket is a token bucket; rate is a second's at the equal share.
type bucket struct{ rate, burst, level float64 }

func newBucket(equalShare, minBurst float64) bucket {
	burst := max(equalShare*burstSeconds, minBurst)
	return bucket{rate: equalShare * safetyMargin, burst: burst, level: burst}
}

// fill lets time pass at a share of so many equal ones.
func (b *bucket) fill(elapsed time.Duration, share float64) {
	b.level = min(b.burst, b.level+b.rate*share*elapsed.Seconds())
}

// Limiter is one controller's budget of requests and changes. It is not safe for
// concurrent use.
type Limiter struct {
	now       time.Duration
	requests  bucket
	changes   bucket
	share     float64       // of the rates, in equal shares: from 1 to maxShare
	maxShare  float64       // the number of controllers
	peerShare float64       // what the peers leave, by what they say
	blocked   bool          // something waited for the budget since the last fill
	blockedAt time.Duration // when something last did
	refusedAt time.Duration // when the service last refused for its rates, 0 for never

	demand      [NumClasses]classDemand
	startTags   [NumClasses]float64 // of each class's next request
	virtualTime [numTiers]float64
}

// classDemand is what waits in a class.
type classDemand struct {
	waiting bool
	changes float64 // of the first request that waits
}

// New returns a limiter with an equal share and a full budget.
func New(r Rates) *Limiter {
	controllers := float64(max(1, r.Controllers))
	return &Limiter{
		requests:  newBucket(r.Requests/controllers, minRequestBurst),
		changes:   newBucket(r.Changes/controllers, float64(r.TxnChanges)),
		share:     1,
		maxShare:  controllers,
		peerShare: 1,
		blockedAt: -throttledWindow,
	}
}

// Advance sets the time: the budget fills up, and the share grows or shrinks. Time must
// not go back.
func (l *Limiter) Advance(now time.Duration) {
	elapsed := now - l.now
	l.now = now
	l.requests.fill(elapsed, l.share)
	l.changes.fill(elapsed, l.share)
	borrowed := borrowRate * elapsed.Seconds()
	switch {
	case !l.blocked:
		l.share = max(1, l.share-borrowed)
	case now-l.refusedAt > borrowPause || l.refusedAt == 0:
		l.share = min(l.maxShare, max(l.share+borrowed, l.peerShare))
	}
	if l.blocked {
		l.blockedAt = now
	}
	l.blocked = l.blocked && elapsed == 0
}

// Throttled reports whether something has waited for the budget of late. Peers that
// know it leave more.
func (l *Limiter) Throttled() bool { return l.now-l.blockedAt < throttledWindow }

// SetPeerDemand sets how many of the other controllers are throttled, those that have not
// been heard from included, and how many are idle: they hear no workers, or can't reach
// the service. The throttled ones share what the others hardly use, at once: a controller
// that alone has a mass failure to work off would else take half a minute to borrow
// it. Nothing depends on what peers say being true, as the service refuses what is over.
func (l *Limiter) SetPeerDemand(throttled, idle int) {
	quiet := l.maxShare - 1 - float64(throttled) - float64(idle)
	l.peerShare = max(1, (l.maxShare-quiet*quietPeerUse-float64(idle)*idlePeerUse)/(1+float64(throttled)))
	if throttled > 0 {
		l.share = min(l.share, l.peerShare)
	}
}

// RecordRefusal tells that the service has refused a request for its rates.
func (l *Limiter) RecordRefusal() {
	l.share = max(1, l.share/2)
	l.refusedAt = l.now
}

// SetDemand sets whether a class has something to send, and how many changes the
// first request of it makes.
func (l *Limiter) SetDemand(class Class, waiting bool, changes float64) {
	if waiting && !l.demand[class].waiting {
		l.startTags[class] = l.startTag(class)
	}
	l.demand[class] = classDemand{waiting, changes}
}

// startTag returns the start tag of a class's next request if it came now: a class that
// had nothing to send has not saved up turns.
func (l *Limiter) startTag(class Class) float64 {
	return max(l.startTags[class], l.virtualTime[tierOf[class]])
}

// Next returns the class whose turn it is and that the budget allows a request, or -1. A
// class whose turn it is and that lacks changes holds up all others that make some, as
// they would take what it saves for; what only reads passes it.
func (l *Limiter) Next() Class {
	first := l.firstWaiting(func(Class) bool { return true })
	if l.requests.level < 1 {
		l.blocked = l.blocked || first != none
		return none
	}
	if first == none || l.changes.level >= l.demand[first].changes {
		return first
	}
	l.blocked = true
	if l.requests.level < 2 { // one is kept for it
		return none
	}
	return l.firstWaiting(func(class Class) bool { return l.demand[class].changes <= 0 })
}

// firstWaiting returns the class whose turn it is among those that wait and that match.
func (l *Limiter) firstWaiting(matches func(Class) bool) Class {
	first := none
	for i := range l.demand {
		class := Class(i)
		if !l.demand[class].waiting || !matches(class) {
			continue
		}
		if first == none || goesBefore(class, l.startTags[class], first, l.startTags[first]) {
			first = class
		}
	}
	return first
}

// goesBefore reports whether a class with a start tag goes before another.
func goesBefore(class Class, startTag float64, other Class, otherStartTag float64) bool {
	tier, otherTier := tierOf[class], tierOf[other]
	return tier < otherTier || tier == otherTier && startTag < otherStartTag
}

// CanSpend reports whether a transaction of a class with so many changes could be sent
// now, so that the caller can build it from the latest records.
func (l *Limiter) CanSpend(class Class, changes float64) bool {
	other := l.firstWaiting(func(c Class) bool { return c != class })
	if other != none && goesBefore(other, l.startTags[other], class, l.startTag(class)) {
		return false
	}
	if l.requests.level < 1 || l.changes.level < changes {
		l.blocked = true
		return false
	}
	return true
}

// Spend takes a request of a class with so many changes out of the budget.
func (l *Limiter) Spend(class Class, changes float64) {
	l.requests.level--
	l.changes.level -= changes
	start := l.startTag(class)
	l.virtualTime[tierOf[class]] = start
	l.startTags[class] = start + 1 + changes
}

// SpendRead takes a request out of the budget that belongs to no class: the watch and
// the first reading of the records. It returns false when there is none.
func (l *Limiter) SpendRead() bool {
	if l.requests.level < 1 {
		return false
	}
	l.requests.level--
	return true
}

// QueueDelay estimates how long so many requests with so many changes take at the
// present share.
func (l *Limiter) QueueDelay(requests, changes float64) time.Duration {
	requestSeconds := (requests - l.requests.level) / (l.requests.rate * l.share)
	changeSeconds := (changes - l.changes.level) / (l.changes.rate * l.share)
	return time.Duration(max(0, requestSeconds, changeSeconds) * float64(time.Second))
}

// HasSpareRequests reports whether the budget of requests is at least half full.
func (l *Limiter) HasSpareRequests() bool { return l.requests.level >= l.requests.burst/2 }
