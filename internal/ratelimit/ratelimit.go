// Package ratelimit decides whose request goes to the state service next. The
// service's rates are what recovery is made of: after a mass failure, claims of
// workers, endings and placements wait for the same changes a second, and a
// change spent on lesser work is one that urgent work waits for.
//
// It owns the share of both rates that this controller may use, and the order of
// the classes, and promises:
//   - Rules go first, always;
//   - while something of the first tier waits (Rescue, Users, Claims), nothing of
//     the later ones is sent, and so on; what is meant for one class of a tier is not
//     taken by another: each gets an equal part of what the tier gets, as long as it
//     has any use for it;
//   - Rest goes when nothing else waits;
//   - a request is never held up by one that waits for a rate it doesn't use.
//
// There is no I/O or clock in it: time comes with Advance, what waits with Waits.
package ratelimit

import "time"

// Class orders requests when the budget is short.
type Class int

// NumClasses, in their tiers.
const (
	Safety       Class = iota // leases and cancellations
	UrgentWork                // first tier: placements and endings of work of the highest priority
	UserRequests              // answers that users wait for
	UrgentClaims              // workers on whose machines such work runs
	BusyClaims                // second tier: workers on whose machines other work runs
	OtherWork                 // third: placements and endings of other work, and the fleet
	IdleClaims                // workers without any work
	Background                // publications and what can wait
	NumClasses   = 8
)

// tier of each class: a lower one goes first; within one, classes take turns by
// what they cost. A claim that keeps several tasks running goes before what starts
// or ends as many, which costs more changes and loses their work.
var tier = [NumClasses]int{0, 1, 1, 1, 2, 3, 3, 4}

const tiers = 5

// Rates are the state service's limits as this controller sees them.
type Rates struct {
	// Requests and Changes a second that all controllers together may use.
	Requests, Changes float64
	// Controllers is how many share them.
	Controllers int
	// Txn is how many changes a transaction may have: so many are saved up.
	TxnChanges int
}

const (
	// A controller that has more to do than its equal share allows borrows
	// what the others leave: its share grows by this much a second while
	// something waits, and halves on a refusal, after which it stays for a while.
	borrowPerS  = 0.1
	borrowPause = 5 * time.Second
	// throttledFor is how long a wait counts, and quietPeerUse the part of its equal share
	// that a controller is taken to use when nothing waits there, idlePeerUse when there is
	// nothing that it could do.
	throttledFor = 2 * time.Second
	quietPeerUse = 0.5
	idlePeerUse  = 0.1
	// safetyMargin keeps clear of the service's own count.
	safetyMargin = 0.95
)

type bucket struct{ rate, burst, level float64 }

func (b *bucket) fill(d time.Duration, share float64) {
	b.level = min(b.burst, b.level+b.rate*share*d.Seconds())
}

// Limiter is one controller's.
type Limiter struct {
	now       time.Duration
	requests  bucket
	changes   bucket
	share     float64
	maxShare  float64
	blocked   bool          // something waited for it since the last fill
	refusedAt time.Duration // when the service last refused for its rate
	blockedAt time.Duration // when something last waited for it
	peerShare float64       // share that the peers leave, by their word

	demand      [NumClasses]classDemand
	startTags   [NumClasses]float64 // when a class's next turn begins, in its tier's virtual time
	virtualTime [tiers]float64      // each tier's virtual time
}

type classDemand struct {
	waiting bool
	changes float64
}

// New makes a budget of an equal share.
func New(r Rates) *Limiter {
	n := float64(max(1, r.Controllers))
	b := &Limiter{share: 1, maxShare: n, peerShare: 1, blockedAt: -throttledFor}
	b.requests = bucket{rate: r.Requests / n * safetyMargin, burst: max(r.Requests/n*0.5, 2)} // a request, and one that waits for changes
	b.changes = bucket{rate: r.Changes / n * safetyMargin, burst: max(r.Changes/n*0.5, float64(r.TxnChanges))}
	b.requests.level, b.changes.level = b.requests.burst, b.changes.burst
	return b
}

// Advance lets time pass.
func (b *Limiter) Advance(now time.Duration) {
	d := now - b.now
	b.now = now
	b.requests.fill(d, b.share)
	b.changes.fill(d, b.share)
	switch {
	case !b.blocked:
		b.share = max(1, b.share-borrowPerS*d.Seconds())
	case now-b.refusedAt > borrowPause || b.refusedAt == 0:
		b.share = min(b.maxShare, max(b.share+borrowPerS*d.Seconds(), b.peerShare))
	}
	if b.blocked {
		b.blockedAt = now
	}
	b.blocked = b.blocked && d == 0
}

// Throttled tells whether something has waited for the budget of late. Peers that
// know it leave more.
func (b *Limiter) Throttled() bool { return b.now-b.blockedAt < throttledFor }

// SetPeerDemand takes how many of the others are hungry, those that have not been heard
// included, and how many are idle: they hear no workers, or can't reach the service. The hungry ones share what the others hardly use, at once: a controller
// that alone has a mass failure to work off would else take half a minute to borrow
// it. Nothing depends on the word being true, as the service refuses what is over.
func (b *Limiter) SetPeerDemand(others, idle int) {
	calm := b.maxShare - 1 - float64(others) - float64(idle)
	b.peerShare = max(1, (b.maxShare-calm*quietPeerUse-float64(idle)*idlePeerUse)/(1+float64(others)))
	if others > 0 {
		b.share = min(b.share, b.peerShare)
	}
}

// Refused tells that the service said it was asked too often.
func (b *Limiter) Refused() { b.share, b.refusedAt = max(1, b.share/2), b.now }

// SetDemand tells whether a class has something to send, and how many changes the
// first of it makes.
func (b *Limiter) SetDemand(c Class, waiting bool, changes float64) {
	if waiting && !b.demand[c].waiting {
		b.startTags[c] = max(b.startTags[c], b.virtualTime[tier[c]])
	}
	b.demand[c] = classDemand{waiting, changes}
}

// Next is the class whose turn it is and that can be paid for, or -1. A class
// whose turn it is and that lacks changes holds up all others that make some, as
// they would take what it saves for; what only reads goes by.
func (b *Limiter) Next() Class {
	if b.requests.level < 1 {
		b.blocked = b.blocked || b.first(false, NumClasses) >= 0
		return -1
	}
	c := b.first(false, NumClasses)
	if c < 0 || b.changes.level >= b.demand[c].changes {
		return c
	}
	b.blocked = true
	if b.requests.level < 2 { // one is kept for it
		return -1
	}
	return b.first(true, NumClasses)
}

// first is the class whose turn it is among those that wait, or of them those
// that make no changes, leaving out one.
func (b *Limiter) first(reads bool, but Class) Class {
	best := Class(-1)
	for c := range b.demand {
		w := &b.demand[c]
		if !w.waiting || reads && w.changes > 0 || Class(c) == but {
			continue
		}
		if best < 0 || tier[c] < tier[best] || tier[c] == tier[best] && b.startTags[c] < b.startTags[best] {
			best = Class(c)
		}
	}
	return best
}

// CanSpend tells whether a transaction of a class with so many changes could be sent
// now. Whoever asks first builds it from the latest records.
func (b *Limiter) CanSpend(c Class, changes float64) bool {
	if other := b.first(false, c); other >= 0 &&
		(tier[other] < tier[c] || tier[other] == tier[c] && b.startTags[other] < max(b.startTags[c], b.virtualTime[tier[c]])) {
		return false
	}
	if b.requests.level < 1 || b.changes.level < changes {
		b.blocked = true
		return false
	}
	return true
}

// Spend takes a request of a class with so many changes out of the budget.
func (b *Limiter) Spend(c Class, changes float64) {
	b.requests.level--
	b.changes.level -= changes
	t := &b.virtualTime[tier[c]]
	start := max(b.startTags[c], *t)
	*t, b.startTags[c] = start, start+1+changes
}

// SpendRead takes a request out of the budget that belongs to no class: the watch and
// the first reading of the records. It is false when there is none.
func (b *Limiter) SpendRead() bool {
	if b.requests.level < 1 {
		return false
	}
	b.requests.level--
	return true
}

// QueueDelay is about how long so many requests with so many changes take at the
// present share.
func (b *Limiter) QueueDelay(requests, changes float64) time.Duration {
	s := max((requests-b.requests.level)/(b.requests.rate*b.share), (changes-b.changes.level)/(b.changes.rate*b.share))
	return time.Duration(max(0, s) * float64(time.Second))
}

// HasSpareRequests tells whether the budget of requests is at least half full.
func (b *Limiter) HasSpareRequests() bool { return b.requests.level >= b.requests.burst/2 }
