package modelcheck

import (
	"fmt"
	"testing"
)

// jugs is the state of the water jug puzzle: one jug holds 3 units and one 5, and the goal is an
// exact amount in the larger one. An exploration has to find the shortest solution.
type jugs struct{ three, five int }

func puzzle(goal int) Model[jugs] {
	return Model[jugs]{
		Next: func(s *jugs, emit func(jugs)) {
			emit(jugs{3, s.five})
			emit(jugs{s.three, 5})
			emit(jugs{0, s.five})
			emit(jugs{s.three, 0})
			poured := min(s.three, 5-s.five)
			emit(jugs{s.three - poured, s.five + poured})
			poured = min(s.five, 3-s.three)
			emit(jugs{s.three + poured, s.five - poured})
		},
		Violation: func(s *jugs) string {
			if s.five == goal {
				return "the goal"
			}
			return ""
		},
		Label: func(from, to *jugs) string { return fmt.Sprintf("%v to %v", *from, *to) },
	}
}

func TestRunFindsTheShortestTrace(t *testing.T) {
	r := Run(puzzle(4), 1000)
	if r.Violation != "the goal" || len(r.Trace) != 6 {
		t.Fatalf("no solution in six steps for an amount of four: %v", r)
	}
	if last := r.Trace[5]; last != "{2 5} to {3 4}" {
		t.Errorf("the last step is %s, want {2 5} to {3 4}", last)
	}
}

func TestRunSeesEveryState(t *testing.T) {
	if r := Run(puzzle(6), 1000); r.Violation != "" || !r.Complete || r.States != 16 {
		t.Errorf("want all sixteen states and no solution for an amount of six: %v", r)
	}
}

func TestRunKeepsItsLimit(t *testing.T) {
	if r := Run(puzzle(6), 10); r.Complete || r.States != 10 {
		t.Errorf("want ten states and a result that is not whole: %v", r)
	}
}
