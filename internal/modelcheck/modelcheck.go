// Package modelcheck explores all states that a small model can reach, breadth first,
// and returns a shortest sequence of steps to a state that violates the model's invariant.
//
// It is an explicit-state checker for protocols: the model holds processes, messages in
// flight and the faults of their environment, and calls the product's own functions for
// decisions. Visited states are stored as 64-bit hashes, so that tens of millions fit in
// memory. With ten million states the probability that two have the same hash, and that one
// of them is therefore skipped, is about 3 in a million.
package modelcheck

import (
	"fmt"
	"hash/maphash"
	"strings"
)

// Model describes the system to explore. S holds a complete state in values, without pointers.
type Model[S comparable] struct {
	Start S
	// Next calls emit with each successor of a state, in an order that depends on the
	// state alone. A state has at most 65,535 successors.
	Next func(s *S, emit func(S))
	// Violation describes the invariant that a state violates, "" if none.
	Violation func(s *S) string
	// Label describes in a few words the step from one state to the next, for traces.
	Label func(from, to *S) string
}

// Result is what an exploration found.
type Result struct {
	States    int      // number of states visited
	Steps     int      // number of steps tried
	Depth     int      // number of levels that were expanded
	Complete  bool     // no state was skipped because of the limit
	Violation string   // the first violation of an invariant, "" if none
	Trace     []string // the labels of the steps that lead to the violation
}

// String returns the result in one line, followed by the steps that lead to the violation, if any.
func (r Result) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%d states, %d steps, depth %d, complete %v", r.States, r.Steps, r.Depth, r.Complete)
	if r.Violation == "" {
		return out.String()
	}
	out.WriteString(": " + r.Violation)
	for i, label := range r.Trace {
		fmt.Fprintf(&out, "\n  %2d %s", i+1, label)
	}
	return out.String()
}

// origin records how a state was first reached: from which state and by which of its steps.
type origin struct {
	from uint32 // the number of the state, in the order of visits
	step uint16 // the step's number, counted from 1
}

// node is a state on the frontier.
type node[S comparable] struct {
	state S
	id    uint32
}

// explorer holds the progress of an exploration.
type explorer[S comparable] struct {
	model   Model[S]
	limit   int
	seed    maphash.Seed
	seen    map[uint64]struct{}
	origins []origin // indexed by the states' numbers
	result  Result
}

// Run explores up to limit states, and stops at the first state that violates an invariant.
func Run[S comparable](m Model[S], limit int) Result {
	seed := maphash.MakeSeed()
	e := explorer[S]{
		model:   m,
		limit:   limit,
		seed:    seed,
		seen:    map[uint64]struct{}{maphash.Comparable(seed, m.Start): {}},
		origins: []origin{{}},
		result:  Result{States: 1, Complete: true, Violation: m.Violation(&m.Start)},
	}
	level := []node[S]{{m.Start, 0}}
	for ; len(level) > 0 && e.result.Violation == ""; e.result.Depth++ {
		level = e.expand(level)
	}
	return e.result
}

// expand tries all steps from the states of one depth and returns the new states of the next depth.
func (e *explorer[S]) expand(level []node[S]) (next []node[S]) {
	for i := range level {
		n, step := &level[i], uint16(0)
		e.model.Next(&n.state, func(to S) {
			step++
			if id, ok := e.visit(to, origin{n.id, step}); ok {
				next = append(next, node[S]{to, id})
			}
		})
		if e.result.Violation != "" {
			break
		}
	}
	return next
}

// visit records a state that a step leads to. ok is false if the state is known or exceeds the
// limit, or if a violation has been found already.
func (e *explorer[S]) visit(state S, from origin) (id uint32, ok bool) {
	r := &e.result
	r.Steps++
	hash := maphash.Comparable(e.seed, state)
	if _, known := e.seen[hash]; known || r.Violation != "" {
		return 0, false
	}
	if r.States >= e.limit {
		r.Complete = false
		return 0, false
	}
	e.seen[hash] = struct{}{}
	r.States++
	id = uint32(len(e.origins))
	e.origins = append(e.origins, from)
	if r.Violation = e.model.Violation(&state); r.Violation != "" {
		r.Trace = e.trace(id)
	}
	return id, true
}

// trace replays the recorded steps to a state and returns their labels.
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
