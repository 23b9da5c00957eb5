// Package ratelimit decides which request a controller sends to the state service next. The
// service's rates limit how fast the cluster recovers: after a mass failure, claims of workers,
// endings and placements compete for the same changes a second, and every change spent on less
// important work delays urgent work.
//
// The package manages the share of both rates (requests and changes) that this controller may
// use, and the order of the classes. It guarantees:
//   - Safety always goes first.
//   - While a request of tier 1 waits (UrgentWork, UserRequests, UrgentClaims), nothing of the
//     later tiers is sent, and likewise for each later tier. Classes of the same tier can't take
//     each other's share: each gets an equal part of what the tier gets, as long as it has any use for it.
//   - Background goes only when nothing else waits.
//   - A request is never held up by another that waits for a rate which the request doesn't use.
//
// The classes of a tier share it by start-time fair queueing: each request gets a start
// tag in its tier's virtual time, and the request with the lowest tag goes first.
//
// The package does no I/O and reads no clock: the time is passed to Limiter.Advance, and the
// waiting requests are made known by Limiter.SetDemand.
package ratelimit

import "time"

// Rates are the state service's limits as this controller sees them.
type Rates struct {
	// Requests and Changes are how many a second all controllers together may use.
	Requests, Changes float64
	// Controllers is how many controllers share the rates.
	Controllers int
	// TxnChanges is how many changes a transaction may have; the budget can save up as many.
	TxnChanges int
}

const (
	// A controller that needs more than its equal share borrows what the others leave
	// unused: its share grows by borrowRate equal shares a second while a request waits. When
	// the service refuses a request, the share halves and does not grow for borrowPause.
	borrowRate  = 0.1
	borrowPause = 5 * time.Second
	// throttledWindow is how long Throttled stays true after a request has waited for the budget.
	throttledWindow = 2 * time.Second
	// quietPeerUse is the part of its equal share that a peer is assumed to use when no
	// request waits there, and idlePeerUse when it can do no work; see SetPeerDemand.
	quietPeerUse = 0.5
	idlePeerUse  = 0.1
	// safetyMargin keeps the rates below those at which the service refuses by its own count.
	safetyMargin = 0.95
	// burstSeconds is for how long a rate can be saved up. The burst of requests is at least
	// minRequestBurst: one request to send, and one that is kept for a request that waits
	// for changes. The burst of changes is at least one transaction.
	burstSeconds    = 0.5
	minRequestBurst = 2
)

// bucket is a token bucket; rate is in tokens a second at the equal share.
type bucket struct{ rate, burst, level float64 }

func newBucket(equalShare, minBurst float64) bucket {
	burst := max(equalShare*burstSeconds, minBurst)
	return bucket{rate: equalShare * safetyMargin, burst: burst, level: burst}
}

// fill adds the tokens of the elapsed time; share is in equal shares.
func (b *bucket) fill(elapsed time.Duration, share float64) {
	b.level = min(b.burst, b.level+b.rate*share*elapsed.Seconds())
}

// Limiter is one controller's budget of requests and changes. It is not safe for
// concurrent use.
type Limiter struct {
	now       time.Duration
	requests  bucket
	changes   bucket
	share     float64       // share of the rates, in equal shares: from 1 to maxShare
	maxShare  float64       // the number of controllers, in equal shares
	peerShare float64       // the share that the peers leave, by the demand that they report
	blocked   bool          // a request has waited for the budget since the last fill
	blockedAt time.Duration // when a request last waited for the budget
	refusedAt time.Duration // when the service last refused a request because of its rates, 0 for never

	demand      [NumClasses]classDemand
	startTags   [NumClasses]float64 // start tag of each class's next request
	virtualTime [numTiers]float64
}

// classDemand describes the waiting requests of a class.
type classDemand struct {
	waiting bool
	changes float64 // number of changes of the first waiting request
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

// Advance sets the time, refills the budget, and lets the share grow or shrink. Time must not go
// back.
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

// Throttled reports whether a request has waited for the budget within throttledWindow. Peers
// that are told so leave more of the rates to this controller.
func (l *Limiter) Throttled() bool { return l.now-l.blockedAt < throttledWindow }

// SetPeerDemand sets how many of the other controllers are throttled, including those that
// are not heard and may be, and how many are idle: they hear no workers, or can't reach
// the service. The throttled controllers immediately share what the others hardly use; otherwise
// a controller that alone has to recover from a mass failure would take half a minute to
// borrow it. A false report does no harm, as the service refuses requests over its rates.
func (l *Limiter) SetPeerDemand(throttled, idle int) {
	quiet := l.maxShare - 1 - float64(throttled) - float64(idle)
	l.peerShare = max(1, (l.maxShare-quiet*quietPeerUse-float64(idle)*idlePeerUse)/(1+float64(throttled)))
	if throttled > 0 {
		l.share = min(l.share, l.peerShare)
	}
}

// RecordRefusal records that the service has refused a request because of its rates, and halves
// the share, but not below the equal one.
func (l *Limiter) RecordRefusal() {
	l.share = max(1, l.share/2)
	l.refusedAt = l.now
}

// SetDemand sets whether a class has a request to send, and how many changes its first
// request makes.
func (l *Limiter) SetDemand(class Class, waiting bool, changes float64) {
	if waiting && !l.demand[class].waiting {
		l.startTags[class] = l.startTag(class)
	}
	l.demand[class] = classDemand{waiting, changes}
}

// startTag returns the start tag of a class's next request if it arrived now. It is at least
// the tier's virtual time, so that a class with nothing to send saves up no turns.
func (l *Limiter) startTag(class Class) float64 {
	return max(l.startTags[class], l.virtualTime[tierOf[class]])
}

// Next returns the class whose request is to be sent next, or -1 if no request waits or the
// budget allows none. If the class whose turn it is lacks changes, it holds up all requests of other classes that
// make changes, as they would spend what is saved for it; requests that only read may overtake it.
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
	if l.requests.level < 2 { // one request is kept for the first class
		return none
	}
	return l.firstWaiting(func(class Class) bool { return l.demand[class].changes <= 0 })
}

// firstWaiting returns the class whose turn it is among those with a waiting request for
// which matches is true, or none.
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

// goesBefore reports whether class goes before other, by their tiers and then their start tags.
func goesBefore(class Class, startTag float64, other Class, otherStartTag float64) bool {
	tier, otherTier := tierOf[class], tierOf[other]
	return tier < otherTier || tier == otherTier && startTag < otherStartTag
}

// CanSpend reports whether a transaction of a class with this many changes could be sent now. It
// lets the caller build the transaction only then, from the latest records.
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

// Spend deducts a request of a class with this many changes from the budget.
func (l *Limiter) Spend(class Class, changes float64) {
	l.requests.level--
	l.changes.level -= changes
	start := l.startTag(class)
	l.virtualTime[tierOf[class]] = start
	l.startTags[class] = start + 1 + changes
}

// SpendRead deducts a request that belongs to no class from the budget: a watch or a page of a
// scan of the records. It returns false if the budget allows no request.
func (l *Limiter) SpendRead() bool {
	if l.requests.level < 1 {
		return false
	}
	l.requests.level--
	return true
}

// QueueDelay estimates how long it takes to send this many requests with this many changes in
// all at the present share.
func (l *Limiter) QueueDelay(requests, changes float64) time.Duration {
	requestSeconds := (requests - l.requests.level) / (l.requests.rate * l.share)
	changeSeconds := (changes - l.changes.level) / (l.changes.rate * l.share)
	return time.Duration(max(0, requestSeconds, changeSeconds) * float64(time.Second))
}

// HasSpareRequests reports whether the budget of requests is at least half full.
func (l *Limiter) HasSpareRequests() bool { return l.requests.level >= l.requests.burst/2 }
