package connectivity

import (
	"fmt"
	"testing"

	"silvergate/internal/modelcheck"
)

// The model of carried calls: an asker that crashes once and then numbers its calls anew, two
// carriers, messages that are lost, late, twice and in any order, times that run out. Its promise: an
// answer that is taken is to that very call. The judgement is the product's own, fits; origin
// is what only the model knows.

type carriedCall struct {
	out    bool // waits for its answer
	id, to uint8
	sum    uint8
	origin uint8
}

type inTheAir struct {
	answer   bool
	life, id uint8
	to, sum  uint8
	origin   uint8
}

type relayWorld struct {
	life, next, made uint8
	calls            [2]carriedCall
	air              [3]inTheAir // origin 0: none
	wrong            bool
}

const mostCalls = 4

func relayModel(fit func(incarnation int64, to string, sum uint64, from string, c *RelayResponse) bool) modelcheck.Model[relayWorld] {
	name := func(n uint8) string { return fmt.Sprint("n", n) }
	put := func(w relayWorld, m inTheAir) (relayWorld, bool) {
		for i := range w.air {
			if w.air[i].origin == 0 {
				w.air[i] = m
				return w, true
			}
		}
		return w, false
	}
	return modelcheck.Model[relayWorld]{
		Start: relayWorld{life: 1},
		Next: func(s *relayWorld, to func(relayWorld)) {
			for i := range s.calls {
				if !s.calls[i].out && s.made < mostCalls {
					for carrier := uint8(1); carrier <= 2; carrier++ {
						for sum := uint8(1); sum <= 2; sum++ { // the same transaction again, or another
							w := *s
							w.next, w.made = w.next+1, w.made+1
							w.calls[i] = carriedCall{true, w.next, carrier, sum, w.made}
							if w, ok := put(w, inTheAir{false, w.life, w.next, carrier, sum, w.made}); ok {
								to(w)
							}
						}
					}
					break
				}
				if s.calls[i].out { // its time runs out
					w := *s
					w.calls[i] = carriedCall{}
					to(w)
				}
			}
			for i := range s.air {
				m := s.air[i]
				if m.origin == 0 {
					continue
				}
				w := *s
				w.air[i] = inTheAir{} // lost
				to(w)
				if w, ok := put(*s, m); ok { // twice
					to(w)
				}
				if !m.answer {
					w.air[i] = m
					w.air[i].answer = true
					to(w)
					continue
				}
				for j := range w.calls {
					c := &w.calls[j]
					if c.out && c.id == m.id && fit(int64(w.life), name(c.to), uint64(c.sum), name(m.to), &RelayResponse{Incarnation: int64(m.life), ID: uint64(m.id), RequestHash: uint64(m.sum)}) {
						w.wrong = w.wrong || c.origin != m.origin
						*c = carriedCall{}
					}
				}
				to(w)
			}
			if s.life == 1 { // it crashes
				w := *s
				w.life, w.next, w.calls = 2, 0, [2]carriedCall{}
				to(w)
			}
		},
		Broken: func(s *relayWorld) string {
			if s.wrong {
				return "an answer to another call was taken"
			}
			return ""
		},
		Label: func(from, to *relayWorld) string {
			return fmt.Sprintf("life %d, calls %v, in the air %v", to.life, to.calls, to.air)
		},
	}
}

// TestAnswersBelongToTheirCalls walks the model whole, and finds the defect that is sown: a life
// that is not looked at.
func TestAnswersBelongToTheirCalls(t *testing.T) {
	r := modelcheck.Run(relayModel(matchesRequest), 6_000_000)
	t.Log(r.States, "states, depth", r.Depth)
	if r.Broken != "" || !r.Whole {
		t.Error(r)
	}
	sown := modelcheck.Run(relayModel(func(_ int64, to string, sum uint64, from string, c *RelayResponse) bool {
		return matchesRequest(c.Incarnation, to, sum, from, c)
	}), 1_000_000)
	if sown.Broken == "" || len(sown.Trace) > 8 {
		t.Errorf("a life that is not looked at: %v", sown)
	}
}
