package failover

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestKeysCanBeRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := Group{Holder{rapid.String().Draw(t, "node"), rapid.Int64().Draw(t, "life"), rapid.IntRange(1, 1000).Draw(t, "epoch")},
			rapid.String().Draw(t, "zone"), rapid.IntRange(0, Groups-1).Draw(t, "number")}
		if got, ok := ParseKey(g.Key()); !ok || got != g {
			t.Fatalf("%q: %+v %v, want %+v", g.Key(), got, ok, g)
		}
	})
	for _, key := range []string{"", "n/1/z/0", "n/1.0/z/0", "n/x.1/z/0", "n/1.1/z/4", "n/1.1/z/-1", "n/1.1/z", "n/1.1/z/0/0"} {
		if g, ok := ParseKey(key); ok {
			t.Errorf("%q: %+v", key, g)
		}
	}
}

// history is a drawn sequence of claims and take-overs, each with the next revision, as the state
// service would commit them: a claim whenever it likes, a take-over of a group that has no record.
type history struct {
	workers []string
	own     map[string]Claim
	holder  map[string]Claim // by the meaning of each step, one worker at a time
	records map[Group]record
	ledger  uint64
}

func draw(t *rapid.T, steps int) (*history, *Table) {
	h := &history{own: map[string]Claim{}, holder: map[string]Claim{}, records: map[Group]record{}}
	for i := range 6 {
		h.workers = append(h.workers, fmt.Sprintf("i-%d", i))
	}
	b := NewTable()
	holder := rapid.Custom(func(t *rapid.T) Holder {
		return Holder{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"), rapid.Int64Range(1, 2).Draw(t, "life"), rapid.IntRange(1, 2).Draw(t, "epoch")}
	})
	for range steps {
		h.ledger++
		by := holder.Draw(t, "by")
		w := rapid.SampledFrom(h.workers).Draw(t, "worker")
		if rapid.Bool().Draw(t, "alone") || h.holder[w].Token == 0 {
			h.own[w], h.holder[w] = Claim{by, h.ledger}, Claim{by, h.ledger}
			continue
		}
		g := GroupOf(h.holder[w].Holder, w, "z")
		if h.records[g].revision != 0 {
			continue
		}
		h.records[g] = record{by, h.ledger}
		b.Put(g, by, h.ledger)
		for _, other := range h.workers { // all in the group change hands, and nobody else
			if now := h.holder[other]; now.Token != 0 && GroupOf(now.Holder, other, "z") == g {
				h.holder[other] = Claim{by, h.ledger}
			}
		}
	}
	return h, b
}

// Resolve says what one step after the other comes to.
func TestResolveFollowsTheHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, b := draw(t, rapid.IntRange(1, 40).Draw(t, "steps"))
		b.Advance(h.ledger)
		for _, w := range h.workers {
			if own := h.own[w]; own.Token != 0 {
				if got := b.Resolve(w, "z", own); got.Claim != h.holder[w] {
					t.Fatalf("%s: %+v, want %+v", w, got, h.holder[w])
				}
			}
		}
	})
}

// Whoever holds a worker, a later change of hands changes a link that it stands on, or its own
// claim, and gives a higher token. This is what makes conditions on links and claim sufficient.
func TestAChangeOfHandsChangesALink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, b := draw(t, rapid.IntRange(1, 20).Draw(t, "steps"))
		b.Advance(h.ledger)
		w := rapid.SampledFrom(h.workers).Draw(t, "worker")
		own := h.own[w]
		if own.Token == 0 {
			return
		}
		before := b.Resolve(w, "z", own)
		g := GroupOf(rapid.SampledFrom([]Holder{before.Holder, {"a", 1, 1}, {"b", 2, 2}}).Draw(t, "holder"), rapid.SampledFrom(h.workers).Draw(t, "of"), "z")
		if h.records[g].revision != 0 {
			return
		}
		b.Put(g, Holder{"c", 9, 1}, h.ledger+1)
		if got := b.Resolve(w, "z", own); got.Claim != before.Claim {
			t.Fatal("a record is heeded before the mirror is complete up to it")
		}
		b.Advance(h.ledger + 1)
		after := b.Resolve(w, "z", own)
		if after.Claim == before.Claim {
			return
		}
		next, ok := before.NextGroup()
		if !ok || next != g || after.Token <= before.Token || !after.FailedOver() {
			t.Fatalf("%+v -> %+v by %+v", before, after, g)
		}
	})
}

// A record that is not in use can go without a worker's holder changing by it.
func TestUnusedRecordsCanGo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, b := draw(t, rapid.IntRange(1, 40).Draw(t, "steps"))
		b.Advance(h.ledger)
		inUse := map[Group]bool{}
		for _, w := range h.workers {
			if own := h.own[w]; own.Token != 0 {
				for _, l := range b.Resolve(w, "z", own).Links {
					inUse[l.Group] = true
				}
			}
		}
		for _, g := range b.Unused(inUse) {
			b.Delete(g)
		}
		for _, w := range h.workers {
			if own := h.own[w]; own.Token != 0 && b.Resolve(w, "z", own).Claim != h.holder[w] {
				t.Fatalf("%s changed hands as a record went", w)
			}
		}
	})
}

// Workers whose holder knows of no groups are never concerned.
func TestEarlierVersionsClaimsStay(t *testing.T) {
	b := NewTable()
	b.Advance(10)
	b.Put(GroupOf(Holder{"a", 1, 1}, "i-1", "z"), Holder{"b", 1, 1}, 7)
	h := b.Resolve("i-1", "z", Claim{Holder{"a", 1, 0}, 3})
	if _, ok := h.NextGroup(); ok || h.Token != 3 || len(h.Links) > 0 {
		t.Errorf("%+v", h)
	}
}

func TestEpochs(t *testing.T) {
	b := NewTable()
	if b.NextEpoch("a", 1) != 1 {
		t.Error("epochs count from 1")
	}
	b.Put(Group{Holder{"a", 1, 3}, "z", 0}, Holder{"b", 1, 1}, 9) // not heeded yet
	if b.NextEpoch("a", 1) != 4 || b.NextEpoch("a", 2) != 1 || b.NextEpoch("b", 1) != 1 || !b.Pending(Group{Holder{"a", 1, 3}, "z", 0}) {
		t.Error("the next epoch is above those that were taken over")
	}
}
