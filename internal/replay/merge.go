package replay

// Merge merges several timelines, each of one incarnation and in its order, into one. It
// orders events by their wall clocks, which may differ between nodes. An event whose node
// knows of a revision that another node's transaction made comes after the event of that
// transaction.
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

// merger is the state of a merge.
type merger struct {
	timelines [][]Event
	next      []int // for each timeline, the index of its first event that is not merged yet
}

// nextEvent returns the next event of a timeline.
func (m *merger) nextEvent(timeline int) *Event { return &m.timelines[timeline][m.next[timeline]] }

// chooseTimeline returns the index of the timeline whose next event comes first, or -1 if
// all have ended. It chooses the event with the earliest wall clock among those that are not
// too early. If all are too early, because clocks differ or recordings are lost, it chooses
// the one with the earliest wall clock.
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

// tooEarly reports whether the next event of a timeline knows of a revision whose
// transaction is still to come in another timeline.
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

// pendingRevision returns the next revision that the remaining events of a timeline commit,
// or 0 if there is none.
func (m *merger) pendingRevision(timeline int) uint64 {
	for _, event := range m.timelines[timeline][m.next[timeline]:] {
		if event.CommittedRevision > 0 {
			return event.CommittedRevision
		}
	}
	return 0
}
