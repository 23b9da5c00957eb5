// Package modelcheck walks all states that a small model can reach, nearest first,
// and tells how one that breaks the model's promise is reached in the fewest steps.
//
// It is a checker for protocols: the model holds processes, messages under way and
// what the world may do to them, and calls the product's own decisions. States are
// remembered by a hash of 64 bits, which lets tens of millions fit; with ten million
// the chance that two share one, and that a state is passed over, is about 3 in a
// million.
package modelcheck

import (
	"fmt"
	"hash/maphash"
)

// Model is what is explored. S holds a whole state in values, without pointers.
type Model[S comparable] struct {
	Start S
	// Next calls to with each step that a state allows, in an order that depends on
	// the state alone.
	Next func(s *S, to func(S))
	// Broken says which promise a state breaks, "" if none.
	Broken func(s *S) string
	// Label says in a few words what led from one state to the next, for traces.
	Label func(from, to *S) string
}

// Result is what a walk found.
type Result struct {
	States, Steps, Depth int      // seen, tried, and of the farthest state
	Whole                bool     // every state was seen, none was left out for the limit
	Broken               string   // the first promise that was broken, "" if none
	Trace                []string // the steps that lead there
}

// String is the result in one line, followed by the steps that lead to the broken promise.
func (r Result) String() string {
	s := fmt.Sprintf("%d states, %d steps, depth %d, whole %v", r.States, r.Steps, r.Depth, r.Whole)
	if r.Broken != "" {
		s += ": " + r.Broken
		for i, t := range r.Trace {
			s += fmt.Sprintf("\n  %2d %s", i+1, t)
		}
	}
	return s
}

// origin is how a state was first reached: from which, by which of its steps.
type origin struct {
	from uint32
	step uint16
}

// Run walks up to limit states.
func Run[S comparable](m Model[S], limit int) Result {
	seed := maphash.MakeSeed()
	seen := map[uint64]struct{}{maphash.Comparable(seed, m.Start): {}}
	origins := []origin{{}}
	r := Result{States: 1, Whole: true, Broken: m.Broken(&m.Start)}
	type node struct {
		s  S
		id uint32
	}
	level := []node{{m.Start, 0}}
	for ; len(level) > 0 && r.Broken == ""; r.Depth++ {
		var next []node
		for i := range level {
			n, step := &level[i], uint16(0)
			m.Next(&n.s, func(to S) {
				r.Steps++
				step++
				h := maphash.Comparable(seed, to)
				if _, was := seen[h]; was || r.Broken != "" {
					return
				}
				if r.States >= limit {
					r.Whole = false
					return
				}
				seen[h] = struct{}{}
				r.States++
				id := uint32(len(origins))
				origins = append(origins, origin{n.id, step})
				if r.Broken = m.Broken(&to); r.Broken != "" {
					r.Trace = trace(m, origins, id)
				}
				next = append(next, node{to, id})
			})
			if r.Broken != "" {
				break
			}
		}
		level = next
	}
	return r
}

// trace walks to a state again, by the steps noted.
func trace[S comparable](m Model[S], origins []origin, id uint32) []string {
	var steps []uint16
	for ; id != 0; id = origins[id].from {
		steps = append(steps, origins[id].step)
	}
	var out []string
	s := m.Start
	for i := len(steps) - 1; i >= 0; i-- {
		at, to := uint16(0), s
		m.Next(&s, func(n S) {
			if at++; at == steps[i] {
				to = n
			}
		})
		out = append(out, m.Label(&s, &to))
		s = to
	}
	return out
}
