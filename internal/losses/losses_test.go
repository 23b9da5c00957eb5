package losses

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// logLine returns a log line as a controller writes it ms milliseconds after the start of the
// log. withOffset puts an offset in front, as benchmarks do.
func logLine(ms int, withOffset bool, rest string) string {
	at := time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond).Format(time.RFC3339Nano)
	line := fmt.Sprintf("time=%s level=DEBUG node=n1 %s\n", at, rest)
	if withOffset {
		return fmt.Sprintf("%10.4f n1 %s", float64(ms)/1000, line)
	}
	return line
}

// exampleLog returns a log of a service's task that is lost and runs again, and of four tasks
// of a batch job: one completes, one is stopped, one is lost and never runs again, and one is
// lost but its end is never committed.
func exampleLog(withOffset bool) string {
	var out strings.Builder
	out.WriteString(logLine(0, withOffset, "msg=serving"))
	for _, line := range []struct {
		ms   int
		rest string
	}{
		{10_000, `msg=evidence load=wk-000001/2 try=1 stoker=i-1 class=svc urgency=3 why=cloud done=false silentMs=4000`},
		{10_100, `msg=evidence load=wk-000001/2 try=1 stoker=i-1 class=svc urgency=3 why=cloud done=false silentMs=4100`},
		{11_000, `msg=ended load=wk-000001/2 try=1 stoker=i-1 class=svc urgency=3 why=cloud done=false silentMs=0`},
		{13_000, `msg=placing load=wk-000001/2 try=0 stoker=i-2`},
		{13_500, `msg=bound load=wk-000001/2 try=2 stoker=i-2`},
		{13_600, `msg=launch load=wk-000001/2 try=2 stoker=i-2`},
		{20_000, `msg=evidence load=wk-000009/0 try=1 stoker=i-3 class=arr urgency=0 why=done done=true silentMs=0`},
		{20_000, `msg=evidence load=wk-000009/1 try=1 stoker=i-3 class=arr urgency=0 why=stopped done=false silentMs=0`},
		{21_000, `msg=evidence load=wk-000009/2 try=1 stoker=i-3 class=arr urgency=0 why=lease done=false silentMs=500`},
		{21_500, `msg=ended load=wk-000009/2 try=1 stoker=i-3 class=arr urgency=0 why=lease done=false silentMs=500`},
		{22_000, `msg=evidence load=wk-000009/3 try=1 stoker=i-3 class=arr urgency=0 why=lease done=false silentMs=500`}, // by a controller that is cut off
		{23_600, `msg=began load=wk-000001/2 try=2 stoker=i-2`},
	} {
		out.WriteString(logLine(line.ms, withOffset, line.rest))
		if line.ms == 11_000 {
			out.WriteString("not a line of ours\n")
		}
	}
	return out.String()
}

func readExample(t *testing.T, withOffset bool) *Reader {
	t.Helper()
	r := NewReader()
	if err := r.Read(strings.NewReader(exampleLog(withOffset))); err != nil {
		t.Fatal(err)
	}
	return r
}

// TestReportTellsStepsOfLosses guards against a report that counts time in the wrong step, or that
// counts attempts that completed, were stopped, or whose end was never committed.
func TestReportTellsStepsOfLosses(t *testing.T) {
	for _, c := range []struct {
		name       string
		withOffset bool
	}{
		{"plain lines", false},
		{"lines with an offset", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := readExample(t, c.withOffset)
			got := r.Report(0)
			if len(got) != 2 || got[0].Class != "svc" || got[0].Lost != 1 || got[0].Restarted != 1 || got[1].Reason != LeaseExpired || got[1].Restarted != 0 {
				t.Fatalf("%+v", got)
			}
			want := [Steps]float64{Detect: 4, Commit: 1, Placement: 2, Bind: 0.5, Dispatch: 0.1, Startup: 10}
			if fmt.Sprintf("%.3f", got[0].Seconds) != fmt.Sprintf("%.3f", want) {
				t.Errorf("the steps take %v, want %v", got[0].Seconds, want)
			}
			if later := r.Report(15 * time.Second); len(later) != 1 || later[0].Class != "arr" {
				t.Errorf("the report from 15 s on is %+v", later)
			}
		})
	}
}

// TestWorstSpan looks for the worst window of the example log, in which the service's task is
// lost at 6 s and runs again at 23.6 s.
func TestWorstSpan(t *testing.T) {
	const unchecked = -1
	for _, c := range []struct {
		name                string
		span                time.Duration
		seconds, minSeconds float64
	}{
		{"shorter than the loss", 10 * time.Second, 10, unchecked},
		{"longer than the loss", 30 * time.Second, 17.6, 14},
	} {
		for _, withOffset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, offset %v", c.name, withOffset), func(t *testing.T) {
				_, seconds, minSeconds := readExample(t, withOffset).WorstWindow("svc", c.span)
				if !near(seconds, c.seconds) {
					t.Errorf("%v task-seconds lost, want %v", seconds, c.seconds)
				}
				if c.minSeconds != unchecked && !near(minSeconds, c.minSeconds) {
					t.Errorf("%v task-seconds lost with the earliest restart, want %v", minSeconds, c.minSeconds)
				}
			})
		}
	}
}

func near(got, want float64) bool { return math.Abs(got-want) < 0.1 }

// TestStepsAddUp guards against time that no step counts, or that two steps count, when a log
// lacks lines. In random histories the steps of a loss whose task ran again must add up to
// the time from when the task was last heard of to its restart.
func TestStepsAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := NewReader()
		type history struct{ from, to time.Duration }
		var want []history
		for i := range rapid.IntRange(1, 20).Draw(rt, "tasks") {
			task := fmt.Sprintf("wk-%06d/%d", i, i)
			at := time.Duration(rapid.IntRange(30, 500).Draw(rt, "at")) * time.Second
			silent := time.Duration(rapid.IntRange(0, 30).Draw(rt, "silent")) * time.Second
			h := history{from: at - silent}
			r.Add(Event{At: at, Msg: Evidence, Task: task, Class: "svc", Reason: MachineDeleted, SinceHeartbeat: silent})
			for _, msg := range []string{Ended, Placing, Bound, Launch} {
				at += time.Duration(rapid.IntRange(0, 5000).Draw(rt, "ms")) * time.Millisecond
				if rapid.Bool().Draw(rt, "logged") {
					r.Add(Event{At: at, Msg: msg, Task: task})
				}
			}
			at += time.Second
			r.Add(Event{At: at, Msg: Began, Task: task})
			h.to = at
			want = append(want, h)
		}
		for i, l := range r.lost {
			if !l.Restarted || l.LastHeard != want[i].from || l.End() != want[i].to {
				rt.Fatalf("the loss is %+v, want %+v", l, want[i])
			}
		}
	})
}

// FuzzRead guards against malformed logs that make the reader fail, and against losses that end
// before they begin.
func FuzzRead(f *testing.F) {
	f.Add(logLine(1000, true, `msg=evidence load=wk-000001/2 try=1 class=svc urgency=3 why=cloud silentMs=4000`))
	f.Add(logLine(2000, false, `msg="began" load=wk-000001/2`))
	f.Add("time=x msg=\"")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewReader()
		if err := r.Read(strings.NewReader(in)); err != nil {
			t.Fatal(err)
		}
		for _, l := range r.lost {
			if l.End() < l.LastHeard {
				t.Fatalf("the loss ends before it begins: %+v", l)
			}
		}
		r.Report(0)
	})
}
