// Package modelcheck explores all states that a small model can reach, breadth first,
// and tells how one that breaks the model's invariant is reached in the fewest steps.
//
// It is an explicit-state checker for protocols: the model holds processes, messages under
// way and what the environment may do to them, and calls the product's own decisions. States
// are remembered by a hash of 64 bits, which lets tens of millions fit; with ten million
// the chance that two share one, and that a state is passed over, is about 3 in a
// million.
package modelcheck

import (
	"fmt"
	"hash/maphash"
	"strings"
)

// Model is what is explored. S holds a whole state in values, without pointers.
type Model[S comparable] struct {
	Start S
	// Next calls to with each successor of a state, in an order that depends on the
	// state alone. A state has at most 65,535 successors.
	Next func(s *S, emit func(S))
	// Broken says which invariant a state breaks, "" if none.
	Broken func(s *S) string
	// Label says in a few words what led from one state to the next, for traces.
	Label func(from, to *S) string
}

// Result is what an exploration found.
type Result struct {
	States int      // states seen
	Steps  int      // steps tried
	Depth  int      // of the farthest state
	Whole  bool     // every state was seen, none was left out for the limit
	Broken string   // the first invariant that was broken, "" if none
	Trace  []string // the labels of the steps that lead there
}

// String is the result in one line, followed by the steps that lead to the broken invariant.
func (r Result) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%d states, %d steps, depth %d, whole %v", r.States, r.Steps, r.Depth, r.Whole)
	if r.Broken == "" {
		return out.String()
	}
	out.WriteString(": " + r.Broken)
	for i, label := range r.Trace {
		fmt.Fprintf(&out, "\n  %2d %s", i+1, label)
	}
	return out.String()
}

// origin is how a state was first reached: from which, by which of its steps.
type origin struct {
	from uint32 // the number of that state, in the order in which they were seen
	step uint16 // counts from 1
}

// node is a state on the frontier.
type node[S comparable] struct {
	state S
	id    uint32
}

// explorer is an exploration under way.
type explorer[S comparable] struct {
	model   Model[S]
	limit   int
	seed    maphash.Seed
	seen    map[uint64]struct{}
	origins []origin // by the states' numbers
	result  Result
}

// Run explores up to limit states, and stops at the first that breaks an invariant.
func Run[S comparable](m Model[S], limit int) Result {
	seed := maphash.MakeSeed()
	e := explorer[S]{
		model:   m,
		limit:   limit,
		seed:    seed,
		seen:    map[uint64]struct{}{maphash.Comparable(seed, m.Start): {}},
		origins: []origin{{}},
		result:  Result{States: 1, Whole: true, Broken: m.Broken(&m.Start)},
	}
	level := []node[S]{{m.Start, 0}}
	for ; len(level) > 0 && e.result.Broken == ""; e.result.Depth++ {
		level = e.expand(level)
	}
	return e.result
}

// expand takes the states of one depth and returns the new ones of the next.
func (e *explorer[S]) expand(level []node[S]) (next []node[S]) {
	for i := range level {
		n, step := &level[i], uint16(0)
		e.model.Next(&n.state, func(to S) {
			step++
			if id, ok := e.visit(to, origin{n.id, step}); ok {
				next = append(next, node[S]{to, id})
			}
		})
		if e.result.Broken != "" {
			break
		}
	}
	return next
}

// visit takes a state that a step leads to; ok is whether it is new and within the limit.
func (e *explorer[S]) visit(state S, from origin) (id uint32, ok bool) {
	r := &e.result
	r.Steps++
	hash := maphash.Comparable(e.seed, state)
	if _, known := e.seen[hash]; known || r.Broken != "" {
		return 0, false
	}
	if r.States >= e.limit {
		r.Whole = false
		return 0, false
	}
	e.seen[hash] = struct{}{}
	r.States++
	id = uint32(len(e.origins))
	e.origins = append(e.origins, from)
	if r.Broken = e.model.Broken(&state); r.Broken != "" {
		r.Trace = e.trace(id)
	}
	return id, true
}

// trace goes to a state again, by the steps noted, and labels them.
func (e *explorer[S]) trace(id uint32) []string {
	var steps []uint16
	for ; id != 0; id = e.origins[id].from {
		steps = append(steps, e.origins[id].step)
	}
	var labels []string
	state := e.model.Start
	for i := len(steps) - 1; i >= 0; i-- {
		at, next := uint16(0), state
		e.model.Next(&state, func(to S) {
			if at++; at == steps[i] {
				next = to
			}
		})
		labels = append(labels, e.model.Label(&state, &next))
		state = next
	}
	return labels
}
