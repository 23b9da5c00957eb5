package coordination

import (
	"container/heap"
	"time"
)

// event is something that happens at a simulated time.
type event struct {
	at       time.Duration
	sequence int // of its creation: events of the same time run in this order
	run      func()
}

// eventHeap is a heap of events for container/heap, the earliest first.
type eventHeap []*event

func (e eventHeap) Len() int { return len(e) }

func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}

func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventHeap) Push(x any) { *e = append(*e, x.(*event)) }

func (e *eventHeap) Pop() any { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

// eventQueue is the simulated clock and what is to happen later.
type eventQueue struct {
	now          time.Duration // since the start of the day
	nextSequence int
	pending      eventHeap
}

// after runs do when that much time has passed.
func (q *eventQueue) after(d time.Duration, do func()) {
	q.nextSequence++
	heap.Push(&q.pending, &event{q.now + d, q.nextSequence, do})
}
