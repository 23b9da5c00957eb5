package losses

import (
	"cmp"
	"slices"
	"time"
)

// Summary summarizes the losses of one class for one reason. Seconds are summed over the
// losses. Seconds, Median and P95 are indexed by step.
type Summary struct {
	Class     string         `json:"class"`
	Reason    string         `json:"why"`
	Priority  int            `json:"urgency"`
	Lost      int            `json:"lost"`
	Restarted int            `json:"back"` // number of lost tasks that ran again
	Seconds   [Steps]float64 `json:"seconds"`
	Median    [Steps]float64 `json:"median"`
	P95       [Steps]float64 `json:"p95"`
}

// Report summarizes the confirmed losses of tasks that were last heard of at or after from,
// highest priority first. For tasks that did not run again it counts the completed steps.
func (r *Reader) Report(from time.Duration) []Summary {
	type key struct{ class, reason string }
	groups := map[key][]*Loss{}
	for _, l := range r.lost {
		if l.Confirmed && l.LastHeard >= from {
			k := key{l.Class, l.Reason}
			groups[k] = append(groups[k], l)
		}
	}
	summaries := make([]Summary, 0, len(groups))
	for k, losses := range groups {
		summaries = append(summaries, summarize(k.class, k.reason, losses))
	}
	slices.SortFunc(summaries, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Reason, b.Reason))
	})
	return summaries
}

// summarize summarizes the losses of a class for a reason. There must be at least one.
func summarize(class, reason string, losses []*Loss) Summary {
	s := Summary{Class: class, Reason: reason, Priority: losses[0].Priority, Lost: len(losses)}
	for _, l := range losses {
		if l.Restarted {
			s.Restarted++
		}
	}
	for step := range Step(Steps) {
		durations := make([]time.Duration, 0, len(losses))
		for _, l := range losses {
			s.Seconds[step] += l.Took[step].Seconds()
			durations = append(durations, l.Took[step])
		}
		slices.Sort(durations)
		s.Median[step] = durations[len(durations)/2].Seconds()
		s.P95[step] = durations[min(len(durations)-1, len(durations)*95/100)].Seconds()
	}
	return s
}

// WorstWindow finds the time window of length span in which a class lost the most task-seconds,
// among the windows that start at a whole second. It returns the window's start, the task-seconds
// lost in it, and minSeconds, those that would have been lost in it with the earliest possible
// restarts (see Loss.EarliestRestart).
func (r *Reader) WorstWindow(class string, span time.Duration) (from time.Duration, seconds, minSeconds float64) {
	for at := time.Duration(0); at <= r.lastEvent; at += time.Second {
		lost, minLost := r.lostWithin(class, at, at+span)
		if lost > seconds {
			from, seconds, minSeconds = at, lost, minLost
		}
	}
	return from, seconds, minSeconds
}

// lostWithin returns how many task-seconds of a class were lost between two times, and how
// many would have been lost with the earliest possible restarts.
func (r *Reader) lostWithin(class string, from, to time.Duration) (seconds, minSeconds float64) {
	for _, l := range r.lost {
		if l.Class != class || !l.Confirmed {
			continue
		}
		until := l.End()
		if !l.Restarted {
			until = r.lastEvent
		}
		overlap := func(until time.Duration) float64 { return max(0, (min(until, to) - max(l.LastHeard, from)).Seconds()) }
		seconds += overlap(until)
		minSeconds += overlap(l.EarliestRestart())
	}
	return seconds, minSeconds
}
