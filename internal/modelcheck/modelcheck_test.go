package modelcheck

import "testing"

// jugs is the puzzle of two jugs of 3 and 5: a walk that has to find the shortest way.
type jugs struct{ three, five int }

func puzzle(goal int) Model[jugs] {
	return Model[jugs]{
		Next: func(s *jugs, to func(jugs)) {
			to(jugs{3, s.five})
			to(jugs{s.three, 5})
			to(jugs{0, s.five})
			to(jugs{s.three, 0})
			n := min(s.three, 5-s.five)
			to(jugs{s.three - n, s.five + n})
			n = min(s.five, 3-s.three)
			to(jugs{s.three + n, s.five - n})
		},
		Broken: func(s *jugs) string {
			if s.five == goal {
				return "the goal"
			}
			return ""
		},
		Label: func(from, to *jugs) string { return "" },
	}
}

func TestTheShortestWayIsFound(t *testing.T) {
	if r := Run(puzzle(4), 1000); r.Broken == "" || len(r.Trace) != 6 {
		t.Errorf("four are measured in six steps: %v", r)
	}
}

func TestEveryStateIsSeen(t *testing.T) {
	if r := Run(puzzle(6), 1000); r.Broken != "" || !r.Whole || r.States != 16 {
		t.Errorf("sixteen states can be reached and six can't be measured: %v", r)
	}
	if r := Run(puzzle(6), 10); r.Whole || r.States != 10 {
		t.Errorf("a limit of ten is kept and told: %v", r)
	}
}
