package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// queues holds, for each class, the numbers of changes of its waiting requests in order.
type queues [NumClasses][]float64

// add appends count requests with the same number of changes to a class.
func (q *queues) add(l *Limiter, class Class, count int, changes float64) {
	for range count {
		q[class] = append(q[class], changes)
	}
	q.updateDemand(l, class)
}

// updateDemand tells the limiter the demand of a class.
func (q *queues) updateDemand(l *Limiter, class Class) {
	if len(q[class]) > 0 {
		l.SetDemand(class, true, q[class][0])
	} else {
		l.SetDemand(class, false, 0)
	}
}

// send removes the requests that the limiter allows to be sent, and calls sent after each.
func (q *queues) send(l *Limiter, sent func(class Class, changes float64)) {
	for class := l.Next(); class != none; class = l.Next() {
		changes := q[class][0]
		q[class] = q[class][1:]
		l.Spend(class, changes)
		q.updateDemand(l, class)
		sent(class, changes)
	}
}

// TestLowerTiersGoFirstAndNothingWaitsForEver draws arrivals over time and checks that no request
// is sent while a request of an earlier tier waits for what it uses, that no budget is
// overspent, and that every request is sent in the end.
func TestLowerTiersGoFirstAndNothingWaitsForEver(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := New(Rates{
			Requests:    rapid.Float64Range(4, 400).Draw(rt, "requests"),
			Changes:     rapid.Float64Range(4, 150).Draw(rt, "changes"),
			Controllers: rapid.IntRange(1, 9).Draw(rt, "controllers"),
			TxnChanges:  rapid.IntRange(4, 24).Draw(rt, "txn"),
		})
		var waiting queues
		requireOrder := func(sent Class, changes float64) {
			for other := range waiting {
				if tierOf[other] < tierOf[sent] && len(waiting[other]) > 0 && (changes > 0 || waiting[other][0] == 0) {
					rt.Fatalf("%v with %v changes was sent while %v with %v waited", sent, changes, Class(other), waiting[other][0])
				}
			}
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond
			l.Advance(now)
			for range rapid.IntRange(0, 6).Draw(rt, "arrivals") {
				class := Class(rapid.IntRange(0, NumClasses-1).Draw(rt, "class"))
				waiting.add(l, class, 1, float64(rapid.IntRange(0, 4).Draw(rt, "changes")))
			}
			if rapid.IntRange(0, 20).Draw(rt, "refused") == 0 {
				l.RecordRefusal()
			}
			waiting.send(l, requireOrder)
			if l.requests.level < 0 || l.changes.level < 0 {
				rt.Fatalf("the budget is overspent: %+v", l)
			}
		}
		// Every waiting request is sent in the end: none holds up the rest for ever.
		for range 400 {
			now += time.Second
			l.Advance(now)
			waiting.send(l, func(Class, float64) {})
		}
		for class := range waiting {
			if len(waiting[class]) > 0 {
				rt.Fatalf("requests of class %v still wait: %v", Class(class), waiting[class])
			}
		}
	})
}

// drawClassesOfATier draws some classes of one tier.
func drawClassesOfATier(rt *rapid.T) []Class {
	var drawn []Class
	for class := range Class(NumClasses) {
		if tierOf[class] == rapid.SampledFrom([]int{1, 3}).Draw(rt, "tier") && rapid.Bool().Draw(rt, "in") {
			drawn = append(drawn, class)
		}
	}
	for i := range drawn {
		if tierOf[drawn[i]] != tierOf[drawn[0]] {
			return drawn[:i]
		}
	}
	return drawn
}

// TestClassesOfATierShareItEqually guards against a class that starves others of its tier: the
// placements after a mass failure that keep claims waiting until leases expire, the claims of
// thousands of new workers that keep placements waiting, and either that keeps users waiting.
func TestClassesOfATierShareItEqually(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := New(Rates{Requests: 1000, Changes: rapid.Float64Range(20, 150).Draw(rt, "changes"), Controllers: 1, TxnChanges: 12})
		classes := drawClassesOfATier(rt)
		var waiting queues
		changesOf, spent := map[Class]float64{}, map[Class]float64{}
		for _, class := range classes {
			changesOf[class] = float64(rapid.IntRange(1, 4).Draw(rt, "changes of each"))
			waiting.add(l, class, 2000, changesOf[class])
		}
		for now := time.Duration(0); now < 10*time.Second; now += 20 * time.Millisecond {
			l.Advance(now)
			waiting.send(l, func(class Class, changes float64) { spent[class] += 1 + changes })
		}
		for _, a := range classes {
			for _, b := range classes {
				if spent[a] > spent[b]+2*(1+max(changesOf[a], changesOf[b])) {
					rt.Fatalf("class %v spent %v, class %v spent %v", a, spent[a], b, spent[b])
				}
			}
		}
	})
}

// TestChangesAreSavedForATransactionThatGoesFirst guards against requests with a single change that
// use up the budget before enough is saved for a transaction of three changes that goes first.
func TestChangesAreSavedForATransactionThatGoesFirst(t *testing.T) {
	l := New(Rates{Requests: 100, Changes: 10, Controllers: 1, TxnChanges: 4})
	var waiting queues
	waiting.add(l, BusyClaims, 100, 1)
	l.SetDemand(UrgentWork, true, 3) // there is always another one
	urgent, claims := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += 20 * time.Millisecond {
		l.Advance(now)
		for class := l.Next(); class != none; class = l.Next() {
			if class == UrgentWork {
				l.Spend(class, 3)
				urgent++
				continue
			}
			l.Spend(class, 1)
			claims++
		}
	}
	if claims > 0 || urgent < 30 {
		t.Errorf("sent %d transactions, want about 32, and %d claims ahead of them, want 0", urgent, claims)
	}
	// Requests that only read are not held up by the transaction.
	waiting.add(l, UserRequests, 3, 0)
	reads := 0
	for class := l.Next(); class == UserRequests; class = l.Next() {
		waiting[class] = waiting[class][1:]
		l.Spend(class, 0)
		waiting.updateDemand(l, class)
		reads++
	}
	if reads != 3 {
		t.Errorf("sent %d reads while changes were saved for a transaction, want 3", reads)
	}
}

// TestQueueDelayIsNotExceeded compares the estimated delay, which refused users are told, with the
// time that sending actually takes.
func TestQueueDelayIsNotExceeded(t *testing.T) {
	const step, tolerance = 10 * time.Millisecond, 200 * time.Millisecond
	rapid.Check(t, func(rt *rapid.T) {
		l := New(Rates{Requests: 300, Changes: rapid.Float64Range(30, 150).Draw(rt, "changes"), Controllers: 1, TxnChanges: 4})
		var waiting queues
		count := rapid.IntRange(0, 600).Draw(rt, "n")
		waiting.add(l, UserRequests, count, 1)
		estimate, elapsed := l.QueueDelay(float64(count), float64(count)), time.Duration(0)
		for now := time.Duration(0); len(waiting[UserRequests]) > 0; now += step {
			l.Advance(now)
			waiting.send(l, func(Class, float64) { elapsed = now })
		}
		if elapsed > estimate+tolerance {
			rt.Fatalf("estimated %v for %d changes, which took %v", estimate, count, elapsed)
		}
	})
}

// TestShareIsBorrowedFromPeers checks the share, in equal shares, of one of five controllers that
// always has requests waiting.
func TestShareIsBorrowedFromPeers(t *testing.T) {
	cases := []struct {
		name            string
		throttled, idle int // peers
		refused         bool
		want            float64
	}{
		{"all peers are throttled", 4, 0, false, 1},
		{"all peers are quiet", 0, 0, false, 3},
		{"all peers are idle", 0, 4, false, 4.6},
		{"one peer is throttled, the others are quiet", 1, 0, false, 1.75},
		{"all peers are quiet and the service refuses", 0, 0, true, 1.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New(Rates{Requests: 50, Changes: 50, Controllers: 5, TxnChanges: 4})
			var waiting queues
			waiting.add(l, OtherWork, 100, 1)
			l.Advance(time.Millisecond)
			waiting.send(l, func(Class, float64) {})
			l.SetPeerDemand(c.throttled, c.idle)
			l.Advance(2 * time.Millisecond) // borrows 0.1 a second on top of the wanted share
			if c.refused {
				l.RecordRefusal()
			}
			if l.share < c.want || l.share > c.want+0.001 || !l.Throttled() {
				t.Errorf("share %v, throttled %v; want share %v, throttled", l.share, l.Throttled(), c.want)
			}
		})
	}
}

func TestClassString(t *testing.T) {
	seen := map[string]bool{}
	for class := range Class(NumClasses) {
		name := class.String()
		if name == "" || seen[name] {
			t.Errorf("the name of class %d is %q", int(class), name)
		}
		seen[name] = true
	}
	for class, want := range map[Class]string{Safety: "safety", Background: "background", none: "Class(-1)", NumClasses: "Class(8)"} {
		t.Run(want, func(t *testing.T) {
			if got := fmt.Sprint(class); got != want {
				t.Errorf("the name is %q", got)
			}
		})
	}
}

func BenchmarkNext(b *testing.B) {
	l := New(Rates{Requests: 1e9, Changes: 1e9, Controllers: 1, TxnChanges: 12})
	for class := range Class(NumClasses) {
		l.SetDemand(class, true, 1)
	}
	for i := range b.N {
		l.Advance(time.Duration(i))
		if class := l.Next(); class != none {
			l.Spend(class, 1)
		}
	}
}
