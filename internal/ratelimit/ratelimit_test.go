package ratelimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// demand is what waits: for each class, the changes of its requests in order.
type demand [NumClasses][]float64

func (d *demand) tell(b *Limiter, c Class) {
	if len(d[c]) > 0 {
		b.SetDemand(c, true, d[c][0])
	} else {
		b.SetDemand(c, false, 0)
	}
}

// send takes what the budget lets go, judging each against what waited.
func (d *demand) send(b *Limiter, sent func(c Class, changes float64)) {
	for c := b.Next(); c >= 0; c = b.Next() {
		changes := d[c][0]
		d[c] = d[c][1:]
		b.Spend(c, changes)
		d.tell(b, c)
		sent(c, changes)
	}
}

// TestOrderOfClasses draws any arrivals over time: neither lesser work nor a class
// of the same tier takes what a class that goes first waits for.
func TestOrderOfClasses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := New(Rates{Requests: rapid.Float64Range(4, 400).Draw(rt, "requests"), Changes: rapid.Float64Range(4, 150).Draw(rt, "changes"),
			Controllers: rapid.IntRange(1, 9).Draw(rt, "controllers"), TxnChanges: rapid.IntRange(4, 24).Draw(rt, "txn")})
		var d demand
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond
			b.Advance(now)
			for range rapid.IntRange(0, 6).Draw(rt, "arrivals") {
				c := Class(rapid.IntRange(0, NumClasses-1).Draw(rt, "class"))
				d[c] = append(d[c], float64(rapid.IntRange(0, 4).Draw(rt, "changes")))
				d.tell(b, c)
			}
			if rapid.IntRange(0, 20).Draw(rt, "refused") == 0 {
				b.Refused()
			}
			d.send(b, func(c Class, changes float64) {
				for o := range d {
					if tier[o] < tier[c] && len(d[o]) > 0 && (changes > 0 || d[o][0] == 0) {
						rt.Fatalf("class %d with %v changes went while class %d with %v waited", c, changes, o, d[o][0])
					}
				}
			})
			if b.requests.level < 0 || b.changes.level < 0 {
				rt.Fatalf("spent more than there was: %+v", b)
			}
		}
		// Whatever waits goes in the end: nothing holds the rest up for ever.
		for range 400 {
			now += time.Second
			b.Advance(now)
			d.send(b, func(Class, float64) {})
		}
		for c := range d {
			if len(d[c]) > 0 {
				rt.Fatalf("class %d still waits: %v", c, d[c])
			}
		}
	})
}

// TestClassesOfATierShareIt guards against the placements of a mass failure that
// keep claims waiting until leases end, against claims of thousands of new workers
// that keep placements waiting, and against either that keeps users waiting.
func TestClassesOfATierShareIt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := New(Rates{Requests: 1000, Changes: rapid.Float64Range(20, 150).Draw(rt, "changes"), Controllers: 1, TxnChanges: 12})
		var in []Class
		for c := range tier {
			if tier[c] == rapid.SampledFrom([]int{1, 3}).Draw(rt, "tier") && rapid.Bool().Draw(rt, "in") {
				in = append(in, Class(c))
			}
		}
		for i := 1; i < len(in); i++ {
			if tier[in[i]] != tier[in[0]] {
				in = in[:i] // of one tier
			}
		}
		var d demand
		cost := map[Class]float64{}
		for _, c := range in {
			cost[c] = float64(rapid.IntRange(1, 4).Draw(rt, "cost"))
			for range 2000 {
				d[c] = append(d[c], cost[c])
			}
			d.tell(b, c)
		}
		got := map[Class]float64{}
		for now := time.Duration(0); now < 10*time.Second; now += 20 * time.Millisecond {
			b.Advance(now)
			d.send(b, func(c Class, changes float64) { got[c] += 1 + changes })
		}
		for _, x := range in {
			for _, y := range in {
				if got[x] > got[y]+2*(1+max(cost[x], cost[y])) {
					rt.Fatalf("class %d got %v, class %d %v", x, got[x], y, got[y])
				}
			}
		}
	})
}

// TestSavingForATransaction guards against single changes that take the budget
// away from a transaction of three that goes first.
func TestSavingForATransaction(t *testing.T) {
	b := New(Rates{Requests: 100, Changes: 10, Controllers: 1, TxnChanges: 4})
	var d demand
	for range 100 {
		d[BusyClaims] = append(d[BusyClaims], 1)
	}
	d.tell(b, BusyClaims)
	b.SetDemand(UrgentWork, true, 3)
	rescued, claimed := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += 20 * time.Millisecond {
		b.Advance(now)
		for c := b.Next(); c >= 0; c = b.Next() {
			if c == UrgentWork {
				b.Spend(c, 3)
				rescued++
				continue
			}
			b.Spend(c, 1)
			claimed++
		}
	}
	if claimed > 0 || rescued < 30 {
		t.Errorf("%d rescues of about 32, and %d claims ahead of them", rescued, claimed)
	}
	// What reads alone is not held up by it.
	d[UserRequests] = []float64{0, 0, 0}
	d.tell(b, UserRequests)
	users := 0
	for c := b.Next(); c == UserRequests; c = b.Next() {
		d[c] = d[c][1:]
		b.Spend(c, 0)
		d.tell(b, c)
		users++
	}
	if users != 3 {
		t.Errorf("%d questions of users went while changes were saved for", users)
	}
}

// TestClearsIsWhatItTakes compares the estimate that refused users are told with
// what came.
func TestClearsIsWhatItTakes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := New(Rates{Requests: 300, Changes: rapid.Float64Range(30, 150).Draw(rt, "changes"), Controllers: 1, TxnChanges: 4})
		var d demand
		n := rapid.IntRange(0, 600).Draw(rt, "n")
		for range n {
			d[UserRequests] = append(d[UserRequests], 1)
		}
		d.tell(b, UserRequests)
		told, took := b.QueueDelay(float64(n), float64(n)), time.Duration(0)
		for now := time.Duration(0); len(d[UserRequests]) > 0; now += 10 * time.Millisecond {
			b.Advance(now)
			d.send(b, func(Class, float64) { took = now })
		}
		if took > told+200*time.Millisecond {
			rt.Fatalf("%v were told for %d changes, %v came", told, n, took)
		}
	})
}

func BenchmarkNext(bm *testing.B) {
	b := New(Rates{Requests: 1e9, Changes: 1e9, Controllers: 1, TxnChanges: 12})
	for c := range Class(NumClasses) {
		b.SetDemand(c, true, 1)
	}
	for i := range bm.N {
		b.Advance(time.Duration(i))
		if c := b.Next(); c >= 0 {
			b.Spend(c, 1)
		}
	}
}
