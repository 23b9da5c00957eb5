package scale

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
)

// ResultFile is the name of the result's file in a run's folder.
const ResultFile = "result.json"

// WriteResult writes a run's result into its folder.
func WriteResult(dir string, r *Result) error {
	return WriteJSON(filepath.Join(dir, ResultFile), r)
}

// PeakStarts returns the highest rate of task starts of all cells together, in starts a
// second, as the mean over span consecutive seconds.
func (r *Result) PeakStarts(span int) float64 {
	bySecond := map[int]int{}
	for _, c := range r.Cells {
		previous := 0
		for _, s := range c.Samples {
			bySecond[int(s.AtS)] += s.Starts - previous
			previous = s.Starts
		}
	}
	best := 0
	for at := range bySecond {
		sum := 0
		for i := range span {
			sum += bySecond[at+i]
		}
		best = max(best, sum)
	}
	return float64(best) / float64(span)
}

// peakSpanS is the span of the peak rate of starts, in seconds.
const peakSpanS = 10

// Summary returns a run's result as a few lines of text.
func Summary(r *Result) string {
	var b strings.Builder
	s := r.Scenario
	kind := "whole"
	if !r.Completed {
		kind = "broken off"
	}
	fmt.Fprintf(&b, "%s: %d cells of %d hollow workers, %d controllers and %d real agents, %.0f s (%s), %.1f GB of memory at the most\n",
		s.Name, s.Cells, s.Workers, s.Controllers, s.RealAgents, r.TookS, kind, r.PeakGB)
	fmt.Fprintf(&b, "starts: %.0f a second over the best %d s\n", r.PeakStarts(peakSpanS), peakSpanS)
	for _, c := range r.Cells {
		writeCell(&b, c)
	}
	for i := range r.States {
		writeState(&b, r, &r.States[i])
	}
	for _, p := range r.Processes {
		if strings.HasPrefix(p.Name, "controller-") {
			fmt.Fprintf(&b, "%s: %.0f ms of a core each second, %.0f MB, killed %d times, ended by itself %d times\n",
				p.Name, p.CoreMs, p.PeakMB, p.Killed, p.UnexpectedExits)
		}
	}
	fmt.Fprintf(&b, "rules broken: %d", r.Violations)
	return b.String()
}

func writeCell(b *strings.Builder, c *CellResult) {
	peak := Sample{}
	for _, s := range c.Samples {
		peak.Running, peak.Workers, peak.Answered = max(peak.Running, s.Running), max(peak.Workers, s.Workers), max(peak.Answered, s.Answered)
	}
	fmt.Fprintf(b, "cell %d: %d jobs accepted, %d given up, %d over; %d starts, %d killed by leases; at the most %d tasks on %d workers, %d answered\n",
		c.Number, c.Accepted, c.GivenUp, c.Finished, c.Starts, c.LeaseKilled, peak.Running, peak.Workers, peak.Answered)
	fmt.Fprintf(b, "  submissions p50/p95/p99: %.0f/%.0f/%.0f ms; reports answered after %.1f ms; %.0f bytes a second for each worker\n",
		c.Submit.P50, c.Submit.P95, c.Submit.P99, c.AnswerMs, c.BytesPerS)
	for _, urgency := range slices.Sorted(maps.Keys(c.FirstStart)) {
		first, all := c.FirstStart[urgency], c.TaskStart[urgency]
		fmt.Fprintf(b, "  %s: first task after p50/p95/p99 %.1f/%.1f/%.1f s (%d jobs), any task %.1f/%.1f/%.1f s (%d tasks)\n", urgency,
			first.P50/1000, first.P95/1000, first.P99/1000, first.Count, all.P50/1000, all.P95/1000, all.P99/1000, all.Count)
	}
	if c.Agents.Count > 0 {
		fmt.Fprintf(b, "  %d real agents: %.1f ms of a core each second on average, %.0f MB at the most\n", c.Agents.Count, c.Agents.CoreMs, c.Agents.PeakMB)
	}
	for _, violation := range c.FirstViolations {
		fmt.Fprintf(b, "  BROKEN %s\n", violation)
	}
}

func writeState(b *strings.Builder, r *Result, s *StateResult) {
	starts := 0
	for _, c := range r.Cells {
		if c.Number == s.Cell {
			starts = c.Starts
		}
	}
	fmt.Fprintf(b, "state service %d: %.0f requests (%.0f refused), %.0f changes; for each start %.2f requests, %.2f changes\n",
		s.Cell, s.Requests, s.Refused, s.Changes, s.Requests/float64(max(1, starts)), s.Changes/float64(max(1, starts)))
}
