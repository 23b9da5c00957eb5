package stagebench

import (
	"fmt"
	"math"
	"slices"
	"time"

	"silvergate/internal/staging"
)

// schedule stages announced data and places waiting tasks.
func (s *sim) schedule() {
	if s.strategy == Staging {
		s.stageAnnounced()
		if s.now >= s.nextTick {
			s.nextTick = s.now + 1
			s.planner.Tick(s.nowDuration())
		}
	}
	s.waitingUrgent = s.placeWaiting(s.waitingUrgent)
	s.waitingOther = s.placeWaiting(s.waitingOther)
}

// placeWaiting places the tasks of a queue that can be placed, the oldest first, and
// returns the rest.
func (s *sim) placeWaiting(q []*task) []*task {
	var rest []*task
	misses := 0
	for i, t := range q {
		if misses > maxCompared { // probably no machine has a free slot
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
	freeNode          *node         // has a free slot; nil: there is none
	fetch             time.Duration // expected time until freeNode holds the data
	preemptible       *node         // has a task that can be stopped; nil: there is none
	preemptibleHolder *node         // has a task that can be stopped, and holds the data; nil: there is none
	wait              time.Duration // until a task ends on a machine that holds the data
	stop              time.Duration // to stop a task on preemptibleHolder
}

// stopTime is the time that it takes to stop a task.
const stopTime = time.Duration(stopS * float64(time.Second))

// place finds a machine for a task among those that one decision compares, and assigns
// the task to it. It reports whether it did.
func (s *sim) place(t *task) bool {
	c := s.compare(t)
	if s.strategy == Blind || s.strategy == Oracle || c.freeNode != nil && c.fetch == 0 {
		return s.placeAnywhere(t, &c)
	}
	// A machine that holds the data may be better than a free one that doesn't.
	s.compareHolders(t, &c)
	if c.freeNode != nil && c.fetch == 0 {
		s.assign(t, c.freeNode, s.now)
		return true
	}
	fetch := c.fetch
	if c.freeNode == nil {
		if fetch = staging.Never; c.preemptible != nil {
			fetch = s.planner.ExpectedTime(s.nowDuration(), c.preemptible.id, []staging.ID{t.copy}) + stopTime
		}
	}
	if t.waitingSince == 0 {
		t.waitingSince = s.now
	}
	switch staging.Choose(fetch, c.wait, c.stop, time.Duration((s.now-t.waitingSince)*float64(time.Second))) {
	case staging.PreemptHolder:
		s.preempt(c.preemptibleHolder)
		s.assign(t, c.preemptibleHolder, s.now+stopS)
		return true
	case staging.WaitForHolder:
		return false
	}
	if c.freeNode == nil && fetch >= staging.Never {
		return false
	}
	return s.placeAnywhere(t, &c)
}

// compare considers maxCompared machines, beginning with a random one. It looks for a
// free slot with the shortest fetch, and for a task that can be stopped.
func (s *sim) compare(t *task) candidates {
	c := candidates{fetch: staging.Never, wait: staging.Never, stop: staging.Never}
	ids := []staging.ID{t.copy}
	start := s.random.IntN(len(s.nodes))
	for i := 0; i < len(s.nodes) && i < maxCompared; i++ {
		n := s.nodes[(start+i)%len(s.nodes)]
		if len(n.tasks) < slots {
			cost := time.Duration(0)
			if s.strategy == Locality || s.strategy == Staging {
				cost = s.planner.ExpectedTime(s.nowDuration(), n.id, ids)
			}
			if c.freeNode == nil || cost < c.fetch {
				c.freeNode, c.fetch = n, cost
			}
			if cost == 0 {
				break
			}
		} else if t.urgent && c.preemptible == nil && cheapestVictim(n) >= 0 {
			c.preemptible = n
		}
	}
	return c
}

// compareHolders considers machines that hold a task's data.
func (s *sim) compareHolders(t *task, c *candidates) {
	s.planner.ForEachHolder(t.copy, func(id string) bool {
		n := s.byName[id]
		if len(n.tasks) < slots {
			c.freeNode, c.fetch, c.wait = n, 0, 0
			return false
		}
		if t.urgent && c.preemptibleHolder == nil && cheapestVictim(n) >= 0 {
			c.preemptibleHolder, c.stop = n, stopTime
		}
		for _, o := range n.tasks {
			c.wait = min(c.wait, time.Duration(o.remainingS*float64(time.Second)))
		}
		return true
	})
}

// placeAnywhere assigns a task to a free slot, or stops another task to free one. It
// reports whether it did.
func (s *sim) placeAnywhere(t *task, c *candidates) bool {
	switch {
	case c.freeNode != nil:
		s.assign(t, c.freeNode, s.now)
	case c.preemptible != nil:
		s.preempt(c.preemptible)
		s.assign(t, c.preemptible, s.now+stopS)
	default:
		return false
	}
	return true
}

// cheapestVictim returns the index of the non-urgent task on a machine that loses the
// least run time if it is stopped, or -1 if there is none.
func cheapestVictim(n *node) int {
	at := -1
	for i, t := range n.tasks {
		if !t.urgent && (at < 0 || t.runS-t.remainingS < n.tasks[at].runS-n.tasks[at].remainingS) {
			at = i
		}
	}
	return at
}

func (s *sim) preempt(n *node) {
	i := cheapestVictim(n)
	t := n.tasks[i]
	n.tasks = slices.Delete(n.tasks, i, i+1)
	s.waitingOther = append([]*task{t}, s.waitingOther...)
}

// stageAnnounced stages the newest announced version on stagedPerNeeded times as many
// machines as its tasks will keep busy.
func (s *sim) stageAnnounced() {
	id := staging.ID(fmt.Sprintf("new-%d", s.data.version))
	neededBy := s.data.published[id] + announceLeadS
	want := int(math.Ceil(stagedPerNeeded * 0.1 * float64(s.options.Machines)))
	a := staging.Announcement{Copy: id, NeededBy: time.Duration(neededBy * float64(time.Second)), Machines: want}
	if s.now > neededBy+publishPeriodS/2 || s.nowDuration() < a.FetchStart(copyBytes, machineBps, 2) {
		return
	}
	held, coming := s.planner.HolderCounts(id)
	if held+coming >= want {
		return
	}
	var list []staging.Candidate
	start := s.random.IntN(len(s.nodes))
	for i := 0; i < len(s.nodes) && len(list) < maxCompared; i++ {
		n := s.nodes[(start+i)%len(s.nodes)]
		if _, ok := n.copies[id]; !ok && n.fetches[id] == nil {
			list = append(list, staging.Candidate{Machine: n.id})
		}
	}
	for _, m := range staging.Place(list, want-held-coming, func(m string) time.Duration {
		return s.planner.ExpectedTime(s.nowDuration(), m, []staging.ID{id})
	}, func(string) bool { return false }) {
		s.planner.Prefetch(s.nowDuration(), m, id, staging.Urgent, "team", a.NeededBy)
		n := s.byName[m]
		n.requested[id], s.active[n] = true, true
	}
}
