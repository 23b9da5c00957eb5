package coordination

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvergate/internal/job"
)

func drawTasks(t *rapid.T, n int) []job.Task {
	tasks := make([]job.Task, n)
	for i := range tasks {
		switch x := &tasks[i]; rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
		case 1:
			*x = job.Task{Attempt: rapid.IntRange(0, 9).Draw(t, "try"), Failures: rapid.IntRange(0, 2).Draw(t, "fails")}
		case 2:
			*x = job.Task{Phase: job.Finished, Attempt: rapid.IntRange(1, 1000).Draw(t, "try")}
		case 3:
			if i > 0 {
				*x = tasks[i-1]
			}
		default:
			*x = job.Task{Phase: job.Bound, Attempt: 1, Machine: rapid.StringMatching(`[A-Za-z0-9._-]{1,12}`).Draw(t, "machine"),
				Epoch: rapid.Uint64Range(1, 1<<60).Draw(t, "session"), Failures: rapid.IntRange(0, 2).Draw(t, "fails")}
		}
	}
	return tasks
}

func changed(old []job.Task, changes []taskChange) []job.Task {
	out := slices.Clone(old)
	for _, ch := range changes {
		out[ch.index] = ch.task
	}
	return out
}

// TestPagesAgreeWithLists checks the compact pages against the plain lists of
// earlier versions: from any earlier state both lead to the same tasks, and
// both are JSON.
func TestPagesAgreeWithLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "tasks")
		old, tasks := drawTasks(t, n), drawTasks(t, n)
		for i := range tasks {
			if rapid.Bool().Draw(t, "same") {
				tasks[i] = old[i]
			}
		}
		page := writePage(tasks)
		if !json.Valid(page) {
			t.Fatalf("%s is no JSON", page)
		}
		compact, err := readPage(page, old, nil)
		if err != nil {
			t.Fatalf("%s: %v", page, err)
		}
		list, err := readPage(encode(tasks), old, nil)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(compact, list) || !slices.Equal(changed(old, compact), tasks) {
			t.Fatalf("%s: %v, the list says %v", page, compact, list)
		}
		for _, ch := range compact {
			if old[ch.index] == tasks[ch.index] {
				t.Fatalf("task %d did not change", ch.index)
			}
		}
	})
}

// TestBrokenPagesAreRefused checks that a page is read whole or not at all, and
// that no bytes make its reader fail otherwise.
func TestBrokenPagesAreRefused(t *testing.T) {
	for _, s := range []string{``, `"`, `{}`, `"x1"`, `"b1"`, `"b1/"`, `"b1/m"`, `"b1//1"`, `"b1/m/"`, `"p"`, `"p1*"`, `"p1!"`, `"d1 "" "`, `"p0  p0"`,
		`"p1x"`, `"p99999999999999999999"`, `"p0\n"`} {
		if got, err := readPage([]byte(s), make([]job.Task, 3), nil); err == nil {
			t.Errorf("%s was read as %v", s, got)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		b := []byte(writePage(drawTasks(t, 4)))
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.SampledFrom([]byte(`pbd/!*09 "[`)).Draw(t, "byte")
		}
		for _, ch := range must(readPage(b, make([]job.Task, 4), nil)) {
			if ch.index < 0 || ch.index > 3 {
				t.Fatalf("%s: task %d", b, ch.index)
			}
		}
	})
}

func must(c []taskChange, _ error) []taskChange { return c }

// TestPagesAreListsAmongEarlierVersions guards a rolling upgrade: as long as a
// peer has not published that it reads the compact form, none is written.
func TestPagesAreListsAmongEarlierVersions(t *testing.T) {
	s := newSim(t, 3, 0)
	s.run(time.Second)
	c := s.controllers[0].core
	clear(c.membership.formats)
	tasks := []job.Task{{Phase: job.Bound, Attempt: 1, Machine: "m", Epoch: 1}}
	if b := c.encodePage(tasks); b[0] != '[' {
		t.Errorf("peers are not known, and %s was written", b)
	}
	for i, p := range c.cfg.Peers {
		c.applyMember(p.Node, json.RawMessage(`{"l":1,"i":0,"m":0,"f":1}`))
		if b := c.encodePage(tasks); (b[0] == '[') != (i < len(c.cfg.Peers)-1) {
			t.Errorf("with %d of %d peers known, %s was written", i+1, len(c.cfg.Peers), b)
		}
	}
	c.applyMember(c.cfg.Peers[0].Node, json.RawMessage(`{"l":2,"i":0,"m":0}`))
	if b := c.encodePage(tasks); b[0] != '[' {
		t.Errorf("a peer went back to an earlier version, and %s was written", b)
	}
}

func BenchmarkReadPage(b *testing.B) {
	tasks := make([]job.Task, 128)
	for i := range tasks {
		tasks[i] = job.Task{Phase: job.Bound, Attempt: 1, Machine: "i-000231", Epoch: uint64(1 + i%2)}
	}
	old := slices.Clone(tasks)
	old[77] = job.Task{}
	for _, f := range []struct {
		name string
		page []byte
	}{{"compact", writePage(tasks)}, {"list", encode(tasks)}} {
		b.Run(f.name, func(b *testing.B) {
			b.ReportAllocs()
			var buf []taskChange
			for b.Loop() {
				buf, _ = readPage(f.page, old, buf[:0])
			}
		})
	}
}
