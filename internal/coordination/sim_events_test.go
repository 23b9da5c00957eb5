package coordination

import (
	"container/heap"
	"time"
)

// event is a function that runs at a simulated time.
type event struct {
	at       time.Duration
	sequence int // order of creation, in which events of the same time run
	run      func()
}

// eventHeap implements heap.Interface, with the earliest event first.
type eventHeap []*event

func (e eventHeap) Len() int { return len(e) }

func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}

func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventHeap) Push(x any) { *e = append(*e, x.(*event)) }

func (e *eventHeap) Pop() any { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

// eventQueue is the simulated clock and the queue of future events.
type eventQueue struct {
	now          time.Duration // since the start of the day
	nextSequence int
	pending      eventHeap
}

// after schedules do to run after a duration.
func (q *eventQueue) after(d time.Duration, do func()) {
	q.nextSequence++
	heap.Push(&q.pending, &event{q.now + d, q.nextSequence, do})
}
