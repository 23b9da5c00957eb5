package stagecheck

import (
	"testing"
	"time"

	"silvergate/internal/agent"
)

// TestCheckersCatchWhatTheyAreFor guards against checkers that miss a violation, or report
// one where there is none: it gives both checkers correct input, and input with one fault.
func TestCheckersCatchWhatTheyAreFor(t *testing.T) {
	t0 := time.Unix(1000, 0)
	e := func(ms int, machine, kind, copy string, urgent bool) agent.Event {
		return agent.Event{At: t0.Add(time.Duration(ms) * time.Millisecond), Machine: machine, Kind: kind, Copy: copy, Load: "l", Urgent: urgent}
	}
	good := []agent.Event{
		e(0, "a", "begin", "x", false), e(10, "a", "chunk", "x", false),
		e(20, "a", "needed", "y", true), e(21, "a", "begin", "y", true), e(30, "a", "chunk", "y", true), e(40, "b", "chunk", "x", false),
		e(50, "a", "visible", "y", true), e(60, "a", "chunk", "x", false), e(70, "a", "needed", "x", true), e(80, "a", "begin", "x", true),
		e(90, "a", "visible", "x", true), e(95, "a", "needed", "x", true), e(99, "a", "needed", "z", false),
		// The urgent task is stopped and its fetch cancelled, so other fetches go on.
		e(100, "a", "needed", "q", true), e(101, "a", "begin", "q", true), e(110, "a", "quit", "q", false), e(111, "a", "chunk", "z", false),
	}
	if wrong, n, latest := CheckStarts(good, time.Second); len(wrong) > 0 || n != 4 || latest != 10*time.Millisecond {
		t.Fatalf("%v, %d checked", wrong, n)
	}
	for name, bad := range map[string][]agent.Event{
		"late":          {e(0, "a", "needed", "y", true), e(1500, "a", "begin", "y", true)},
		"never":         {e(0, "a", "needed", "y", true)},
		"not urgent":    {e(0, "a", "needed", "y", true), e(1, "a", "begin", "y", false), e(5000, "a", "visible", "y", false)},
		"displaced not": {e(0, "a", "begin", "y", true), e(1, "a", "chunk", "x", false)},
		"evicted":       {e(0, "a", "visible", "y", true), e(1, "a", "evict", "y", false), e(2, "a", "needed", "y", true)},
		"other machine": {e(0, "a", "needed", "y", true), e(1, "b", "begin", "y", true)},
	} {
		if wrong, _, _ := CheckStarts(bad, time.Second); len(wrong) == 0 {
			t.Errorf("%s: no violation was found", name)
		}
	}
	want := map[string]string{"1 a": "h1", "2 a": "h2"}
	if wrong, n := CheckReads([]string{"1 a h1", "2 a h2", "1 a h1"}, want); len(wrong) > 0 || n != 3 {
		t.Fatalf("%v, %d checked", wrong, n)
	}
	for _, bad := range []string{"1 a h2", "1 a e3b0", "3 a h1", "1 b h1", "1 a"} {
		if wrong, _ := CheckReads([]string{bad}, want); len(wrong) != 1 {
			t.Errorf("%q: expected one violation, got %v", bad, wrong)
		}
	}
}
