package pagecodec

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"silvergate/internal/job"
)

// randomTasks returns count random tasks of all phases, some of them equal to the one before.
func randomTasks(t *rapid.T, count int) []job.Task {
	tasks := make([]job.Task, count)
	for i := range tasks {
		switch task := &tasks[i]; rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
		case 1:
			*task = job.Task{Attempt: rapid.IntRange(0, 9).Draw(t, "attempt"), Failures: rapid.IntRange(0, 2).Draw(t, "failures")}
		case 2:
			*task = job.Task{Phase: job.Finished, Attempt: rapid.IntRange(1, 1000).Draw(t, "attempt")}
		case 3:
			if i > 0 {
				*task = tasks[i-1]
			}
		default:
			*task = job.Task{Phase: job.Bound, Attempt: 1, Machine: rapid.StringMatching(`[A-Za-z0-9._-]{1,12}`).Draw(t, "machine"),
				Epoch: rapid.Uint64Range(1, 1<<60).Draw(t, "epoch"), Failures: rapid.IntRange(0, 2).Draw(t, "failures")}
		}
	}
	return tasks
}

// applyChanges returns a copy of old with the changes applied.
func applyChanges(old []job.Task, changes []Change) []job.Task {
	out := slices.Clone(old)
	for _, change := range changes {
		out[change.Index] = change.Task
	}
	return out
}

// TestPagesAgreeWithLists checks the compact form against the JSON lists of earlier versions:
// decoded against the same random old tasks, both give the same changes, and applying these gives
// the encoded tasks. A compact page is valid JSON.
func TestPagesAgreeWithLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 20).Draw(t, "tasks")
		old := randomTasks(t, count)
		tasks := randomTasks(t, count)
		for i := range tasks {
			if rapid.Bool().Draw(t, "same") {
				tasks[i] = old[i]
			}
		}
		page := EncodeCompact(tasks)
		if !json.Valid(page) {
			t.Fatalf("%s is not valid JSON", page)
		}
		compact, err := Decode(page, old, nil)
		if err != nil {
			t.Fatalf("%s: %v", page, err)
		}
		list, err := Decode(EncodeList(tasks), old, nil)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(compact, list) || !slices.Equal(applyChanges(old, compact), tasks) {
			t.Fatalf("%s: decoded as %v, the JSON list as %v", page, compact, list)
		}
		for _, change := range compact {
			if old[change.Index] == tasks[change.Index] {
				t.Fatalf("task %d is reported as changed but did not change", change.Index)
			}
		}
	})
}

// TestEncodeCompact pins the compact form of each kind of entry.
func TestEncodeCompact(t *testing.T) {
	bound := job.Task{Phase: job.Bound, Attempt: 2, Machine: "i-000231", Epoch: 7}
	for _, test := range []struct {
		name  string
		tasks []job.Task
		want  string
	}{
		{"no tasks", nil, `""`},
		{"never started", []job.Task{{}}, `"p0"`},
		{"pending after an attempt", []job.Task{{Attempt: 3}}, `"p3"`},
		{"bound", []job.Task{bound}, `"b2/i-000231/7"`},
		{"finished", []job.Task{{Phase: job.Finished, Attempt: 1}}, `"d1"`},
		{"failed", []job.Task{{Attempt: 2, Failures: 1}}, `"p2!1"`},
		{"equal tasks", []job.Task{bound, bound, {}}, `"b2/i-000231/7*2 p0"`},
		{"equal tasks that failed", []job.Task{{Attempt: 2, Failures: 2}, {Attempt: 2, Failures: 2}}, `"p2!2*2"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := string(EncodeCompact(test.tasks)); got != test.want {
				t.Errorf("encoded as %s, want %s", got, test.want)
			}
		})
	}
}

// TestDecodeOfOtherLengths decodes pages with fewer or more tasks than expected: tasks missing from
// the page count as never started, and surplus tasks are ignored.
func TestDecodeOfOtherLengths(t *testing.T) {
	finished := job.Task{Phase: job.Finished, Attempt: 1}
	old := []job.Task{finished, finished, {}}
	for _, test := range []struct {
		name string
		page string
		want []Change
	}{
		{"compact, shorter", `"d1"`, []Change{{Index: 1}}},
		{"compact, longer", `"d1*9 p0"`, []Change{{Index: 2, Task: finished}}},
		{"compact, empty", `""`, []Change{{Index: 0}, {Index: 1}}},
		{"list, shorter", `[{"s":"d","t":1}]`, []Change{{Index: 1}}},
		{"list, empty", `[]`, []Change{{Index: 0}, {Index: 1}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := Decode([]byte(test.page), old, nil)
			if err != nil || !slices.Equal(got, test.want) {
				t.Errorf("%s: decoded as %v, want %v (error: %v)", test.page, got, test.want, err)
			}
		})
	}
}

// TestBrokenPagesAreRefused checks that Decode returns either all changes of a page or an error, and
// that no input makes it panic or return an index out of range.
func TestBrokenPagesAreRefused(t *testing.T) {
	for _, page := range []string{``, `"`, `{}`, `"x1"`, `"b1"`, `"b1/"`, `"b1/m"`, `"b1//1"`, `"b1/m/"`, `"p"`, `"p1*"`, `"p1!"`, `"d1 "" "`, `"p0  p0"`,
		`"p1x"`, `"p99999999999999999999"`, `"p0\n"`} {
		t.Run(page, func(t *testing.T) {
			if got, err := Decode([]byte(page), make([]job.Task, 3), nil); !errors.Is(err, ErrMalformed) {
				t.Errorf("%s: decoded as %v (error: %v), want ErrMalformed", page, got, err)
			}
		})
	}
	rapid.Check(t, func(t *rapid.T) {
		page := []byte(EncodeCompact(randomTasks(t, 4)))
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			at := rapid.IntRange(0, len(page)-1).Draw(t, "at")
			page[at] = rapid.SampledFrom([]byte(`pbd/!*09 "[`)).Draw(t, "byte")
		}
		changes, err := Decode(page, make([]job.Task, 4), nil)
		if err != nil && changes != nil {
			t.Fatalf("%s: error %v, but decoded as %v", page, err, changes)
		}
		for _, change := range changes {
			if change.Index < 0 || change.Index > 3 {
				t.Fatalf("%s: change of task %d, which is out of range", page, change.Index)
			}
		}
	})
}

func BenchmarkReadPage(b *testing.B) {
	tasks := make([]job.Task, 128)
	for i := range tasks {
		tasks[i] = job.Task{Phase: job.Bound, Attempt: 1, Machine: "i-000231", Epoch: uint64(1 + i%2)}
	}
	old := slices.Clone(tasks)
	old[77] = job.Task{}
	for _, form := range []struct {
		name string
		page []byte
	}{{"compact", EncodeCompact(tasks)}, {"list", EncodeList(tasks)}} {
		b.Run(form.name, func(b *testing.B) {
			b.ReportAllocs()
			var buf []Change
			for b.Loop() {
				buf, _ = Decode(form.page, old, buf[:0])
			}
		})
	}
}
