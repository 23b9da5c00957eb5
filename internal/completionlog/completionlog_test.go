package completionlog

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestEndingsCanBeRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := Completion{Task{rapid.StringMatching(`wk-[0-9]{6,9}`).Draw(t, "job"), rapid.IntRange(0, 99_999).Draw(t, "index")}, rapid.IntRange(1, 1000).Draw(t, "try"),
			rapid.StringMatching(`[a-z0-9.-]{1,20}`).Draw(t, "machine"), rapid.Uint64().Draw(t, "session")}
		if got, err := Parse(e.String()); err != nil || got != e {
			t.Fatalf("%s: %+v %v", e, got, err)
		}
	})
	for _, s := range []string{"", "wk-1/2.3 m", "wk-1/2 m 1", "wk-1/2.0 m 1", "wk-1/-2.1 m 1", "/2.1 m 1", "wk-1/2.1  1", "wk-1/2.1 m x", "wk-1/2.1 m 1 1"} {
		if e, err := Parse(s); err == nil {
			t.Errorf("%q: %+v", s, e)
		}
	}
}

// The log agrees with a plain list of records through drawn additions, settlements and removals.
func TestLogAgreesWithAPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLog()
		plain := map[string][]Completion{}
		draw := rapid.Custom(func(t *rapid.T) Completion {
			return Completion{Task{rapid.SampledFrom([]string{"wk-000001", "wk-000002"}).Draw(t, "job"), rapid.IntRange(0, 3).Draw(t, "index")}, rapid.IntRange(1, 2).Draw(t, "try"), "m", 1}
		})
		names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				name := names.Draw(t, "name")
				var r Record
				var kept []Completion
				for _, e := range rapid.SliceOfN(draw, 0, 4).Draw(t, "endings") {
					if !slices.ContainsFunc(kept, func(k Completion) bool { return k.Task == e.Task }) {
						kept = append(kept, e)
						r.Completions = append(r.Completions, e.String())
					}
				}
				if _, there := plain[name]; !there {
					plain[name] = kept
				}
				l.Add(name, r, 0)
			case 1:
				name := names.Draw(t, "name")
				l.Remove(name)
				delete(plain, name)
			case 2:
				task := draw.Draw(t, "task").Task
				l.Settle(task)
				for name := range plain {
					plain[name] = slices.DeleteFunc(plain[name], func(e Completion) bool { return e.Task == task })
				}
			case 3:
				job := draw.Draw(t, "task").Job
				l.SettleJob(job)
				for name := range plain {
					plain[name] = slices.DeleteFunc(plain[name], func(e Completion) bool { return e.Job == job })
				}
			}
			var spent []string
			for name, list := range plain {
				if len(list) == 0 {
					spent = append(spent, name)
				}
			}
			slices.Sort(spent)
			if got := l.Settled(); !slices.Equal(got, spent) {
				t.Fatalf("spent: %v, want %v", got, spent)
			}
			e := draw.Draw(t, "asked")
			want := false
			for _, list := range plain {
				want = want || slices.Contains(list, e)
			}
			if l.Has(e) != want || l.Len() != len(plain) {
				t.Fatalf("%s: %v, want %v", e, l.Has(e), want)
			}
		}
	})
}

func TestOldEntries(t *testing.T) {
	l := NewLog()
	l.Add("a", Record{[]string{"wk-000002/1.1 m 1", "odd", "wk-000001/3.1 m 1"}}, time.Second)
	l.Add("b", Record{[]string{"wk-000001/0.1 m 1"}}, time.Minute)
	if got := l.OpenBefore(2 * time.Second); !slices.Equal(got, []Task{{"wk-000001", 3}, {"wk-000002", 1}}) {
		t.Errorf("%v", got)
	}
}
