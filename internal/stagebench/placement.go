package stagebench

import (
	"fmt"
	"math"
	"slices"
	"time"

	"silvergate/internal/staging"
)

// schedule stages ahead and places the tasks that wait.
func (s *sim) schedule() {
	if s.way == Staging {
		s.ahead()
		if s.now >= s.tickAt {
			s.tickAt = s.now + 1
			s.planner.Tick(s.clock())
		}
	}
	s.urgent = s.drain(s.urgent)
	s.other = s.drain(s.other)
}

// drain places what can be placed, the oldest first.
func (s *sim) drain(q []*task) []*task {
	var rest []*task
	misses := 0
	for i, t := range q {
		if misses > look { // nothing is free
			return append(rest, q[i:]...)
		}
		if !s.place(t) {
			rest = append(rest, t)
			misses++
		}
	}
	return rest
}

// candidates are the machines that one decision compares for a task.
type candidates struct {
	free      *node         // has a free slot; nil: none
	fetch     time.Duration // expected until the data is on it
	lower     *node         // has a task that can be stopped; nil: none
	lowerHere *node         // the same, and holds the data
	wait      time.Duration // until a task ends on a machine that holds the data
	stop      time.Duration // to stop a task on lowerHere
}

// stopTime is how long it takes to stop a task.
const stopTime = time.Duration(stopS * float64(time.Second))

// place finds a machine for a task among those that one decision compares.
func (s *sim) place(t *task) bool {
	c := s.compare(t)
	if s.way == Blind || s.way == Oracle || c.free != nil && c.fetch == 0 {
		return s.placeAnywhere(t, &c)
	}
	// Machines that hold the data may be better than a free one.
	s.compareHolders(t, &c)
	if c.free != nil && c.fetch == 0 {
		s.begin(t, c.free, s.now)
		return true
	}
	fetch := c.fetch
	if c.free == nil {
		if fetch = staging.Never; c.lower != nil {
			fetch = s.planner.Expect(s.clock(), c.lower.id, []staging.ID{t.copy}) + stopTime
		}
	}
	if t.since == 0 {
		t.since = s.now
	}
	switch staging.Choose(fetch, c.wait, c.stop, time.Duration((s.now-t.since)*float64(time.Second))) {
	case staging.ClearThere:
		s.evict(c.lowerHere)
		s.begin(t, c.lowerHere, s.now+stopS)
		return true
	case staging.WaitThere:
		return false
	}
	if c.free == nil && fetch >= staging.Never {
		return false
	}
	return s.placeAnywhere(t, &c)
}

// compare looks at machines from a random one on: for a free slot with the
// shortest fetch, and for a task that can be stopped.
func (s *sim) compare(t *task) candidates {
	c := candidates{fetch: staging.Never, wait: staging.Never, stop: staging.Never}
	ids := []staging.ID{t.copy}
	start := s.random.IntN(len(s.nodes))
	for i := 0; i < len(s.nodes) && i < look; i++ {
		n := s.nodes[(start+i)%len(s.nodes)]
		if len(n.tasks) < slots {
			cost := time.Duration(0)
			if s.way == Locality || s.way == Staging {
				cost = s.planner.Expect(s.clock(), n.id, ids)
			}
			if c.free == nil || cost < c.fetch {
				c.free, c.fetch = n, cost
			}
			if cost == 0 {
				break
			}
		} else if t.urgent && c.lower == nil && victim(n) >= 0 {
			c.lower = n
		}
	}
	return c
}

// compareHolders looks at the machines that hold a task's data.
func (s *sim) compareHolders(t *task, c *candidates) {
	s.planner.Some(t.copy, func(id string) bool {
		n := s.byName[id]
		if len(n.tasks) < slots {
			c.free, c.fetch, c.wait = n, 0, 0
			return false
		}
		if t.urgent && c.lowerHere == nil && victim(n) >= 0 {
			c.lowerHere, c.stop = n, stopTime
		}
		for _, o := range n.tasks {
			c.wait = min(c.wait, time.Duration(o.left*float64(time.Second)))
		}
		return true
	})
}

// placeAnywhere takes a free slot, or stops a task for one.
func (s *sim) placeAnywhere(t *task, c *candidates) bool {
	switch {
	case c.free != nil:
		s.begin(t, c.free, s.now)
	case c.lower != nil:
		s.evict(c.lower)
		s.begin(t, c.lower, s.now+stopS)
	default:
		return false
	}
	return true
}

// victim is the task on a machine that loses least by being stopped, -1 if there
// is none to stop.
func victim(n *node) int {
	at := -1
	for i, t := range n.tasks {
		if !t.urgent && (at < 0 || t.run-t.left < n.tasks[at].run-n.tasks[at].left) {
			at = i
		}
	}
	return at
}

func (s *sim) evict(n *node) {
	i := victim(n)
	t := n.tasks[i]
	n.tasks = slices.Delete(n.tasks, i, i+1)
	s.other = append([]*task{t}, s.other...)
}

// ahead stages for what was announced: the newest version, for as many machines
// as its tasks will keep busy.
func (s *sim) ahead() {
	id := staging.ID(fmt.Sprintf("new-%d", s.data.version))
	by := s.data.published[id] + lead
	want := int(math.Ceil(spare * 0.1 * float64(s.options.Machines)))
	a := staging.Announcement{Copy: id, By: time.Duration(by * float64(time.Second)), Machines: want}
	if s.now > by+every/2 || s.clock() < a.Begin(copyBytes, machineBps, 2) {
		return
	}
	held, coming := s.planner.Holders(id)
	if held+coming >= want {
		return
	}
	var list []staging.Candidate
	start := s.random.IntN(len(s.nodes))
	for i := 0; i < len(s.nodes) && len(list) < look; i++ {
		n := s.nodes[(start+i)%len(s.nodes)]
		if _, ok := n.held[id]; !ok && n.pulls[id] == nil {
			list = append(list, staging.Candidate{Machine: n.id})
		}
	}
	for _, m := range staging.Place(list, want-held-coming, func(m string) time.Duration { return s.planner.Expect(s.clock(), m, []staging.ID{id}) }, func(string) bool { return false }) {
		s.planner.Promise(s.clock(), m, id, staging.Urgent, "team", a.By)
		n := s.byName[m]
		n.wants[id], s.active[n] = true, true
	}
}
