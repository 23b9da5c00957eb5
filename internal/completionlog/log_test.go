package completionlog

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// referenceLog is a simple implementation of the log: a list of the open completions of each record.
type referenceLog map[string][]Completion

// add adds a record with the first of the given completions of each task, and returns it.
func (ref referenceLog) add(name string, completions []Completion) Record {
	var rec Record
	var unique []Completion
	for _, c := range completions {
		if !slices.ContainsFunc(unique, func(u Completion) bool { return u.Task == c.Task }) {
			unique = append(unique, c)
			rec.Completions = append(rec.Completions, c.String())
		}
	}
	if _, known := ref[name]; !known {
		ref[name] = unique
	}
	return rec
}

func (ref referenceLog) remove(matches func(Completion) bool) {
	for name := range ref {
		ref[name] = slices.DeleteFunc(ref[name], matches)
	}
}

func (ref referenceLog) emptyRecords() (names []string) {
	for name, open := range ref {
		if len(open) == 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (ref referenceLog) has(c Completion) bool {
	for _, open := range ref {
		if slices.Contains(open, c) {
			return true
		}
	}
	return false
}

func randomCompletion(t *rapid.T) Completion {
	task := Task{rapid.SampledFrom([]string{"wk-000001", "wk-000002"}).Draw(t, "job"), rapid.IntRange(0, 3).Draw(t, "index")}
	return Completion{task, rapid.IntRange(1, 2).Draw(t, "attempt"), "m", 1}
}

// TestLogMatchesReference applies the same random additions and removals to a Log and a
// referenceLog. It guards against an index by task that differs from the records.
func TestLogMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, reference := NewLog(), referenceLog{}
		completions := rapid.Custom(randomCompletion)
		names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				name := names.Draw(t, "name")
				l.Add(name, reference.add(name, rapid.SliceOfN(completions, 0, 4).Draw(t, "completions")), 0)
			case 1:
				name := names.Draw(t, "name")
				l.RemoveRecord(name)
				delete(reference, name)
			case 2:
				task := completions.Draw(t, "task").Task
				l.RemoveTask(task)
				reference.remove(func(c Completion) bool { return c.Task == task })
			case 3:
				job := completions.Draw(t, "task").Job
				l.RemoveJob(job)
				reference.remove(func(c Completion) bool { return c.Job == job })
			}
			if got, want := l.EmptyRecords(), reference.emptyRecords(); !slices.Equal(got, want) {
				t.Fatalf("empty records are %v, want %v", got, want)
			}
			if c := completions.Draw(t, "asked"); l.Has(c) != reference.has(c) || l.Len() != len(reference) {
				t.Fatalf("Has(%s) = %v, want %v; %d records, want %d", c, l.Has(c), reference.has(c), l.Len(), len(reference))
			}
		}
	})
}

// TestOpenTasksBeforeListsTasksOfOldRecords checks that OpenTasksBefore returns the tasks of old records alone, in
// order, and that Add skips a malformed entry.
func TestOpenTasksBeforeListsTasksOfOldRecords(t *testing.T) {
	l := NewLog()
	l.Add("a", Record{[]string{"wk-000002/1.1 m 1", "odd", "wk-000001/3.1 m 1"}}, time.Second)
	l.Add("b", Record{[]string{"wk-000001/0.1 m 1"}}, time.Minute)
	if got := l.OpenTasksBefore(2 * time.Second); !slices.Equal(got, []Task{{"wk-000001", 3}, {"wk-000002", 1}}) {
		t.Errorf("open tasks are %v", got)
	}
}
