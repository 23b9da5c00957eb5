package completionlog

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// plainLog is the open completions of each record, as a list.
type plainLog map[string][]Completion

// add takes a record, of whose completions of one task the first is meant.
func (p plainLog) add(name string, drawn []Completion) Record {
	var r Record
	var kept []Completion
	for _, c := range drawn {
		if !slices.ContainsFunc(kept, func(k Completion) bool { return k.Task == c.Task }) {
			kept = append(kept, c)
			r.Completions = append(r.Completions, c.String())
		}
	}
	if _, known := p[name]; !known {
		p[name] = kept
	}
	return r
}

func (p plainLog) drop(settled func(Completion) bool) {
	for name := range p {
		p[name] = slices.DeleteFunc(p[name], settled)
	}
}

func (p plainLog) settled() (names []string) {
	for name, open := range p {
		if len(open) == 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (p plainLog) has(c Completion) bool {
	for _, open := range p {
		if slices.Contains(open, c) {
			return true
		}
	}
	return false
}

func drawCompletion(t *rapid.T) Completion {
	task := Task{rapid.SampledFrom([]string{"wk-000001", "wk-000002"}).Draw(t, "job"), rapid.IntRange(0, 3).Draw(t, "index")}
	return Completion{task, rapid.IntRange(1, 2).Draw(t, "attempt"), "m", 1}
}

// TestLogAgreesWithAPlainList takes both through drawn additions, settlements and removals.
func TestLogAgreesWithAPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, plain := NewLog(), plainLog{}
		completions := rapid.Custom(drawCompletion)
		names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				name := names.Draw(t, "name")
				l.Add(name, plain.add(name, rapid.SliceOfN(completions, 0, 4).Draw(t, "completions")), 0)
			case 1:
				name := names.Draw(t, "name")
				l.Remove(name)
				delete(plain, name)
			case 2:
				task := completions.Draw(t, "task").Task
				l.Settle(task)
				plain.drop(func(c Completion) bool { return c.Task == task })
			case 3:
				job := completions.Draw(t, "task").Job
				l.SettleJob(job)
				plain.drop(func(c Completion) bool { return c.Job == job })
			}
			if got, want := l.Settled(), plain.settled(); !slices.Equal(got, want) {
				t.Fatalf("settled: %v, want %v", got, want)
			}
			if c := completions.Draw(t, "asked"); l.Has(c) != plain.has(c) || l.Len() != len(plain) {
				t.Fatalf("%s: %v, want %v; %d records, want %d", c, l.Has(c), plain.has(c), l.Len(), len(plain))
			}
		}
	})
}

// TestOpenBeforeListsTasksOfOldRecords: entries that are no completions are passed over.
func TestOpenBeforeListsTasksOfOldRecords(t *testing.T) {
	l := NewLog()
	l.Add("a", Record{[]string{"wk-000002/1.1 m 1", "odd", "wk-000001/3.1 m 1"}}, time.Second)
	l.Add("b", Record{[]string{"wk-000001/0.1 m 1"}}, time.Minute)
	if got := l.OpenBefore(2 * time.Second); !slices.Equal(got, []Task{{"wk-000001", 3}, {"wk-000002", 1}}) {
		t.Errorf("%v", got)
	}
}
