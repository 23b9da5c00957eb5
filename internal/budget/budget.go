// Package budget decides whose request goes to the state service next. The
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
package budget

import "time"

// Class orders requests when the budget is short.
type Class int

// Classes, in their tiers.
const (
	Rules   Class = iota // leases and cancellations
	Rescue               // first tier: placements and endings of work of the highest priority
	Users                // answers that users wait for
	Claims               // workers on whose machines such work runs
	Holders              // second tier: workers on whose machines other work runs
	Work                 // third: placements and endings of other work, and the fleet
	Spare                // workers without any work
	Rest                 // publications and what can wait
	Classes = 8
)

// tier of each class: a lower one goes first; within one, classes take turns by
// what they cost. A claim that keeps several tasks running goes before what starts
// or ends as many, which costs more changes and loses their work.
var tier = [Classes]int{0, 1, 1, 1, 2, 3, 3, 4}

const tiers = 5

// Rates are the state service's limits as this controller sees them.
type Rates struct {
	// Requests and Changes a second that all controllers together may use.
	Requests, Changes float64
	// Controllers is how many share them.
	Controllers int
	// Txn is how many changes a transaction may have: so many are saved up.
	Txn int
}

const (
	// A controller that has more to do than its equal share allows borrows
	// what the others leave: its share grows by this much a second while
	// something waits, and halves on a refusal, after which it stays for a while.
	borrowPerS = 0.1
	borrowRest = 5 * time.Second
	// hungry is how long a wait counts, and calmUse the part of its equal share
	// that a controller is taken to use when nothing waits there, idleUse when there is
	// nothing that it could do.
	hungry  = 2 * time.Second
	calmUse = 0.5
	idleUse = 0.1
	// margin keeps clear of the service's own count.
	margin = 0.95
)

type bucket struct{ rate, burst, level float64 }

func (b *bucket) fill(d time.Duration, share float64) {
	b.level = min(b.burst, b.level+b.rate*share*d.Seconds())
}

// Budget is one controller's.
type Budget struct {
	now      time.Duration
	requests bucket
	changes  bucket
	share    float64
	most     float64
	starved  bool          // something waited for it since the last fill
	limited  time.Duration // when the service last refused for its rate
	hungryAt time.Duration // when something last waited for it
	offered  float64       // share that the peers leave, by their word

	waits [Classes]wait
	tags  [Classes]float64 // when a class's next turn begins, in its tier's virtual time
	clock [tiers]float64   // each tier's virtual time
}

type wait struct {
	waiting bool
	changes float64
}

// New makes a budget of an equal share.
func New(r Rates) *Budget {
	n := float64(max(1, r.Controllers))
	b := &Budget{share: 1, most: n, offered: 1, hungryAt: -hungry}
	b.requests = bucket{rate: r.Requests / n * margin, burst: max(r.Requests/n*0.5, 2)} // a request, and one that waits for changes
	b.changes = bucket{rate: r.Changes / n * margin, burst: max(r.Changes/n*0.5, float64(r.Txn))}
	b.requests.level, b.changes.level = b.requests.burst, b.changes.burst
	return b
}

// Advance lets time pass.
func (b *Budget) Advance(now time.Duration) {
	d := now - b.now
	b.now = now
	b.requests.fill(d, b.share)
	b.changes.fill(d, b.share)
	switch {
	case !b.starved:
		b.share = max(1, b.share-borrowPerS*d.Seconds())
	case now-b.limited > borrowRest || b.limited == 0:
		b.share = min(b.most, max(b.share+borrowPerS*d.Seconds(), b.offered))
	}
	if b.starved {
		b.hungryAt = now
	}
	b.starved = b.starved && d == 0
}

// Hungry tells whether something has waited for the budget of late. Peers that
// know it leave more.
func (b *Budget) Hungry() bool { return b.now-b.hungryAt < hungry }

// Peers takes how many of the others are hungry, those that have not been heard
// included, and how many are idle: they hear no workers, or can't reach the service. The hungry ones share what the others hardly use, at once: a controller
// that alone has a mass failure to work off would else take half a minute to borrow
// it. Nothing depends on the word being true, as the service refuses what is over.
func (b *Budget) Peers(others, idle int) {
	calm := b.most - 1 - float64(others) - float64(idle)
	b.offered = max(1, (b.most-calm*calmUse-float64(idle)*idleUse)/(1+float64(others)))
	if others > 0 {
		b.share = min(b.share, b.offered)
	}
}

// Refused tells that the service said it was asked too often.
func (b *Budget) Refused() { b.share, b.limited = max(1, b.share/2), b.now }

// Waits tells whether a class has something to send, and how many changes the
// first of it makes.
func (b *Budget) Waits(c Class, waiting bool, changes float64) {
	if waiting && !b.waits[c].waiting {
		b.tags[c] = max(b.tags[c], b.clock[tier[c]])
	}
	b.waits[c] = wait{waiting, changes}
}

// Next is the class whose turn it is and that can be paid for, or -1. A class
// whose turn it is and that lacks changes holds up all others that make some, as
// they would take what it saves for; what only reads goes by.
func (b *Budget) Next() Class {
	if b.requests.level < 1 {
		b.starved = b.starved || b.first(false, Classes) >= 0
		return -1
	}
	c := b.first(false, Classes)
	if c < 0 || b.changes.level >= b.waits[c].changes {
		return c
	}
	b.starved = true
	if b.requests.level < 2 { // one is kept for it
		return -1
	}
	return b.first(true, Classes)
}

// first is the class whose turn it is among those that wait, or of them those
// that make no changes, leaving out one.
func (b *Budget) first(reads bool, but Class) Class {
	best := Class(-1)
	for c := range b.waits {
		w := &b.waits[c]
		if !w.waiting || reads && w.changes > 0 || Class(c) == but {
			continue
		}
		if best < 0 || tier[c] < tier[best] || tier[c] == tier[best] && b.tags[c] < b.tags[best] {
			best = Class(c)
		}
	}
	return best
}

// Can tells whether a transaction of a class with so many changes could be sent
// now. Whoever asks first builds it from the latest records.
func (b *Budget) Can(c Class, changes float64) bool {
	if other := b.first(false, c); other >= 0 &&
		(tier[other] < tier[c] || tier[other] == tier[c] && b.tags[other] < max(b.tags[c], b.clock[tier[c]])) {
		return false
	}
	if b.requests.level < 1 || b.changes.level < changes {
		b.starved = true
		return false
	}
	return true
}

// Spend takes a request of a class with so many changes out of the budget.
func (b *Budget) Spend(c Class, changes float64) {
	b.requests.level--
	b.changes.level -= changes
	t := &b.clock[tier[c]]
	start := max(b.tags[c], *t)
	*t, b.tags[c] = start, start+1+changes
}

// Read takes a request out of the budget that belongs to no class: the watch and
// the first reading of the records. It is false when there is none.
func (b *Budget) Read() bool {
	if b.requests.level < 1 {
		return false
	}
	b.requests.level--
	return true
}

// Clears is about how long so many requests with so many changes take at the
// present share.
func (b *Budget) Clears(requests, changes float64) time.Duration {
	s := max((requests-b.requests.level)/(b.requests.rate*b.share), (changes-b.changes.level)/(b.changes.rate*b.share))
	return time.Duration(max(0, s) * float64(time.Second))
}

// Ample tells whether the budget of requests is at least half full.
func (b *Budget) Ample() bool { return b.requests.level >= b.requests.burst/2 }
