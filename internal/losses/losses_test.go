package losses

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// log writes a line as a controller does, at so many milliseconds, with the mark
// of a bench in front if wanted.
func log(ms int, marked bool, rest string) string {
	at := time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond).Format(time.RFC3339Nano)
	line := fmt.Sprintf("time=%s level=DEBUG node=n1 %s\n", at, rest)
	if marked {
		return fmt.Sprintf("%10.4f n1 %s", float64(ms)/1000, line)
	}
	return line
}

func TestStepsOfALoss(t *testing.T) {
	for _, marked := range []bool{false, true} {
		in := log(0, marked, "msg=serving") +
			log(10_000, marked, `msg=evidence load=wk-000001/2 try=1 stoker=i-1 class=svc urgency=3 why=cloud done=false silentMs=4000`) +
			log(10_100, marked, `msg=evidence load=wk-000001/2 try=1 stoker=i-1 class=svc urgency=3 why=cloud done=false silentMs=4100`) +
			log(11_000, marked, `msg=ended load=wk-000001/2 try=1 stoker=i-1 class=svc urgency=3 why=cloud done=false silentMs=0`) +
			"not a line of ours\n" +
			log(13_000, marked, `msg=placing load=wk-000001/2 try=0 stoker=i-2`) +
			log(13_500, marked, `msg=bound load=wk-000001/2 try=2 stoker=i-2`) +
			log(13_600, marked, `msg=launch load=wk-000001/2 try=2 stoker=i-2`) +
			log(20_000, marked, `msg=evidence load=wk-000009/0 try=1 stoker=i-3 class=arr urgency=0 why=done done=true silentMs=0`) +
			log(20_000, marked, `msg=evidence load=wk-000009/1 try=1 stoker=i-3 class=arr urgency=0 why=stopped done=false silentMs=0`) +
			log(21_000, marked, `msg=evidence load=wk-000009/2 try=1 stoker=i-3 class=arr urgency=0 why=lease done=false silentMs=500`) +
			log(21_500, marked, `msg=ended load=wk-000009/2 try=1 stoker=i-3 class=arr urgency=0 why=lease done=false silentMs=500`) +
			log(22_000, marked, `msg=evidence load=wk-000009/3 try=1 stoker=i-3 class=arr urgency=0 why=lease done=false silentMs=500`) + // by one that is cut off
			log(23_600, marked, `msg=began load=wk-000001/2 try=2 stoker=i-2`)
		r := NewReader()
		if err := r.Read(strings.NewReader(in)); err != nil {
			t.Fatal(err)
		}
		got := r.Report(0)
		if len(got) != 2 || got[0].Class != "svc" || got[0].Lost != 1 || got[0].Back != 1 || got[1].Why != Lease || got[1].Back != 0 {
			t.Fatalf("%+v", got)
		}
		want := [Steps]float64{Detect: 4, Commit: 1, Room: 2, Bind: 0.5, Tell: 0.1, Image: 10}
		if fmt.Sprintf("%.3f", got[0].Seconds) != fmt.Sprintf("%.3f", want) {
			t.Errorf("steps %v, not %v", got[0].Seconds, want)
		}
		// Lost from 6 s on, back at 23.6: the worst ten seconds are lost whole.
		if _, sum, _ := r.Worst("svc", 10*time.Second); sum < 9.9 || sum > 10.1 {
			t.Errorf("worst 10 s: %v task-seconds", sum)
		}
		if _, sum, least := r.Worst("svc", 30*time.Second); sum < 17.5 || sum > 17.7 || least < 13.9 || least > 14.1 {
			t.Errorf("worst 30 s: %v task-seconds, %v at the least", sum, least)
		}
		if later := r.Report(15 * time.Second); len(later) != 1 || later[0].Class != "arr" {
			t.Errorf("from 15 s on: %+v", later)
		}
	}
}

// TestStepsAddUp draws histories: however many steps a log shows, and which it
// lacks, a loss that came back took as long as from its last word to its start.
func TestStepsAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := NewReader()
		type history struct{ from, to time.Duration }
		var want []history
		for i := range rapid.IntRange(1, 20).Draw(rt, "tasks") {
			load := fmt.Sprintf("wk-%06d/%d", i, i)
			at := time.Duration(rapid.IntRange(30, 500).Draw(rt, "at")) * time.Second
			silent := time.Duration(rapid.IntRange(0, 30).Draw(rt, "silent")) * time.Second
			h := history{from: at - silent}
			r.Add(Event{At: at, Msg: Evidence, Load: load, Class: "svc", Why: Cloud, Silent: silent})
			for _, msg := range []string{Ended, Placing, Bound, Launch} {
				at += time.Duration(rapid.IntRange(0, 5000).Draw(rt, "ms")) * time.Millisecond
				if rapid.Bool().Draw(rt, "logged") {
					r.Add(Event{At: at, Msg: msg, Load: load})
				}
			}
			at += time.Second
			r.Add(Event{At: at, Msg: Began, Load: load})
			h.to = at
			want = append(want, h)
		}
		for i, l := range r.lost {
			if !l.Back || l.At != want[i].from || l.Until() != want[i].to {
				rt.Fatalf("%+v, not %+v", l, want[i])
			}
		}
	})
}

func FuzzRead(f *testing.F) {
	f.Add(log(1000, true, `msg=evidence load=wk-000001/2 try=1 class=svc urgency=3 why=cloud silentMs=4000`))
	f.Add(log(2000, false, `msg="began" load=wk-000001/2`))
	f.Add("time=x msg=\"")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewReader()
		if err := r.Read(strings.NewReader(in)); err != nil {
			t.Fatal(err)
		}
		for _, l := range r.lost {
			if l.Until() < l.At {
				t.Fatalf("%+v", l)
			}
		}
		r.Report(0)
	})
}
