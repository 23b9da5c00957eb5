package replay

// Merge makes one story of several, each of one incarnation and in its order. Events go
// by the wall clocks, which may differ; where a node knows of a revision that another
// node's transaction made, its event comes after that transaction's.
func Merge(timelines ...[]Event) []Event {
	m := merger{timelines: timelines, next: make([]int, len(timelines))}
	var merged []Event
	for {
		timeline := m.chooseTimeline()
		if timeline < 0 {
			return merged
		}
		merged = append(merged, *m.nextEvent(timeline))
		m.next[timeline]++
	}
}

// merger is a merge under way.
type merger struct {
	timelines [][]Event
	next      []int // each story's first event that is not merged yet
}

// nextEvent is a story's next event.
func (m *merger) nextEvent(timeline int) *Event { return &m.timelines[timeline][m.next[timeline]] }

// chooseTimeline is the story whose next event comes first, -1 if all have ended. Among those
// that do not come too early it is the one with the earliest wall clock. If the clocks or
// lost recordings leave only events that do, their wall clocks decide.
func (m *merger) chooseTimeline() int {
	best, bestTooEarly := -1, false
	for i := range m.timelines {
		if m.next[i] == len(m.timelines[i]) {
			continue
		}
		tooEarly := m.tooEarly(i)
		switch {
		case best < 0, bestTooEarly && !tooEarly:
		case bestTooEarly == tooEarly && m.nextEvent(i).Wall.Before(m.nextEvent(best).Wall):
		default:
			continue
		}
		best, bestTooEarly = i, tooEarly
	}
	return best
}

// tooEarly tells whether a story's next event knows of a revision whose transaction is
// still to come in another story.
func (m *merger) tooEarly(timeline int) bool {
	known := m.nextEvent(timeline).AppliedRevision
	for other := range m.timelines {
		if other == timeline {
			continue
		}
		if revision := m.pendingRevision(other); revision > 0 && known >= revision {
			return true
		}
	}
	return false
}

// pendingRevision is the next revision that a story's transactions make, 0 if none.
func (m *merger) pendingRevision(timeline int) uint64 {
	for _, event := range m.timelines[timeline][m.next[timeline]:] {
		if event.CommittedRevision > 0 {
			return event.CommittedRevision
		}
	}
	return 0
}
