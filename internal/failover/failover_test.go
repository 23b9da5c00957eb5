package failover

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestParseKeyReadsWhatKeyWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder := Holder{rapid.String().Draw(t, "node"), rapid.Int64().Draw(t, "incarnation"), rapid.IntRange(1, 1000).Draw(t, "epoch")}
		g := Group{holder, rapid.String().Draw(t, "zone"), rapid.IntRange(0, GroupsPerZone-1).Draw(t, "number")}
		if got, ok := ParseKey(g.Key()); !ok || got != g {
			t.Fatalf("ParseKey(%q) = %+v, %v, want %+v", g.Key(), got, ok, g)
		}
	})
}

func TestParseKeyRefusesOtherKeys(t *testing.T) {
	for _, c := range []struct{ name, key string }{
		{"empty", ""},
		{"no epoch", "n/1/z/0"},
		{"epoch 0", "n/1.0/z/0"},
		{"incarnation is no number", "n/x.1/z/0"},
		{"number too high", "n/1.1/z/4"},
		{"negative number", "n/1.1/z/-1"},
		{"no number", "n/1.1/z"},
		{"a part too many", "n/1.1/z/0/0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if g, ok := ParseKey(c.key); ok {
				t.Errorf("ParseKey accepts %q as %+v", c.key, g)
			}
		})
	}
}

const zone = "z"

// history is a random sequence of claims and failovers, each with the next revision, in an order in
// which the state service could commit them: claims at any time, failovers only of groups without a record.
type history struct {
	workers  []string
	claims   map[string]Claim // the workers' own claims
	owners   map[string]Claim // the expected owners, updated worker by worker at each step
	records  map[Group]record
	revision uint64
}

func randomHistory(t *rapid.T, steps int) (*history, *Table) {
	h := &history{claims: map[string]Claim{}, owners: map[string]Claim{}, records: map[Group]record{}}
	for i := range 6 {
		h.workers = append(h.workers, fmt.Sprintf("i-%d", i))
	}
	table := NewTable()
	holders := rapid.Custom(func(t *rapid.T) Holder {
		return Holder{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"), rapid.Int64Range(1, 2).Draw(t, "incarnation"), rapid.IntRange(1, 2).Draw(t, "epoch")}
	})
	for range steps {
		h.revision++
		by := holders.Draw(t, "by")
		worker := rapid.SampledFrom(h.workers).Draw(t, "worker")
		if rapid.Bool().Draw(t, "alone") || h.owners[worker].Token == 0 {
			h.claims[worker], h.owners[worker] = Claim{by, h.revision}, Claim{by, h.revision}
			continue
		}
		g := GroupOf(h.owners[worker].Holder, worker, zone)
		if h.records[g].revision != 0 {
			continue
		}
		h.failOver(g, by)
		table.Put(g, by, h.revision)
	}
	return h, table
}

// failOver makes the successor the owner of the workers of a group, and of no others.
func (h *history) failOver(g Group, successor Holder) {
	h.records[g] = record{successor, h.revision}
	for _, worker := range h.workers {
		if owner := h.owners[worker]; owner.Token != 0 && GroupOf(owner.Holder, worker, zone) == g {
			h.owners[worker] = Claim{successor, h.revision}
		}
	}
}

// TestResolveFollowsTheHistory checks that Resolve, which follows the links of a worker's records, finds the
// same owner as applying every claim and failover of a history one after the other.
func TestResolveFollowsTheHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, table := randomHistory(t, rapid.IntRange(1, 40).Draw(t, "steps"))
		table.Advance(h.revision)
		for _, worker := range h.workers {
			if own := h.claims[worker]; own.Token != 0 {
				if got := table.Resolve(worker, zone, own); got.Claim != h.owners[worker] {
					t.Fatalf("the owner of %s is %+v, want %+v", worker, got, h.owners[worker])
				}
			}
		}
	})
}

// TestChangeOfOwnerChangesALink checks that a failover that changes a worker's owner changes one of the links that
// the ownership depends on, and raises the token. Any other change of owner changes the worker's own claim, so
// conditions on the links and the claim are sufficient; without this property they would miss a change of owner.
func TestChangeOfOwnerChangesALink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, table := randomHistory(t, rapid.IntRange(1, 20).Draw(t, "steps"))
		table.Advance(h.revision)
		worker := rapid.SampledFrom(h.workers).Draw(t, "worker")
		own := h.claims[worker]
		if own.Token == 0 {
			return
		}
		before := table.Resolve(worker, zone, own)
		holder := rapid.SampledFrom([]Holder{before.Holder, {"a", 1, 1}, {"b", 2, 2}}).Draw(t, "holder")
		g := GroupOf(holder, rapid.SampledFrom(h.workers).Draw(t, "of"), zone)
		if h.records[g].revision != 0 {
			return
		}
		table.Put(g, Holder{"c", 9, 1}, h.revision+1)
		if got := table.Resolve(worker, zone, own); got.Claim != before.Claim {
			t.Fatal("a record is applied before the mirror is complete up to it")
		}
		table.Advance(h.revision + 1)
		after := table.Resolve(worker, zone, own)
		if after.Claim == before.Claim {
			return
		}
		next, ok := before.NextGroup()
		if !ok || next != g || after.Token <= before.Token || !after.FailedOver() {
			t.Fatalf("ownership %+v became %+v by the failover of %+v", before, after, g)
		}
	})
}

// TestDeletingUnusedRecordsChangesNoOwner guards against deleting a record that a worker's ownership still
// depends on: the worker would fall back to an earlier holder.
func TestDeletingUnusedRecordsChangesNoOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, table := randomHistory(t, rapid.IntRange(1, 40).Draw(t, "steps"))
		table.Advance(h.revision)
		inUse := map[Group]bool{}
		for _, worker := range h.workers {
			if own := h.claims[worker]; own.Token != 0 {
				for _, link := range table.Resolve(worker, zone, own).Links {
					inUse[link.Group] = true
				}
			}
		}
		for _, g := range table.Unused(inUse) {
			table.Delete(g)
		}
		for _, worker := range h.workers {
			if own := h.claims[worker]; own.Token != 0 && table.Resolve(worker, zone, own).Claim != h.owners[worker] {
				t.Fatalf("the owner of %s changed when unused records were deleted", worker)
			}
		}
	})
}

// TestClaimsOfEarlierVersionsNeverFailOver checks that a record does not affect workers whose claim is of a
// version without groups (epoch 0).
func TestClaimsOfEarlierVersionsNeverFailOver(t *testing.T) {
	table := NewTable()
	table.Advance(10)
	table.Put(GroupOf(Holder{"a", 1, 1}, "i-1", zone), Holder{"b", 1, 1}, 7)
	owner := table.Resolve("i-1", zone, Claim{Holder{"a", 1, 0}, 3})
	if _, ok := owner.NextGroup(); ok || owner.Token != 3 || len(owner.Links) > 0 {
		t.Errorf("a claim of epoch 0 resolves to %+v", owner)
	}
}

func TestNextEpochIsAboveThoseThatFailedOver(t *testing.T) {
	table := NewTable()
	if table.NextEpoch("a", 1) != 1 {
		t.Error("the first epoch is not 1")
	}
	pending := Group{Holder{"a", 1, 3}, zone, 0}
	table.Put(pending, Holder{"b", 1, 1}, 9)
	if !table.Pending(pending) {
		t.Error("a record newer than the mirror is not pending")
	}
	for _, c := range []struct {
		name        string
		node        string
		incarnation int64
		want        int
	}{
		{"the incarnation whose group failed over", "a", 1, 4},
		{"its next incarnation", "a", 2, 1},
		{"the successor", "b", 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := table.NextEpoch(c.node, c.incarnation); got != c.want {
				t.Errorf("epoch %d, want %d", got, c.want)
			}
		})
	}
}
