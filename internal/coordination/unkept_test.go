package coordination

import (
	"testing"
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/config"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// TestMachineIsKeptForItsOutput guards against a machine that is returned for want of
// work while output of its tasks waits to be shipped, and against one that is kept
// for ever for it: the archive's word, its silence and the deadline each release it.
// The machine's own controller need not be the one that returns machines.
func TestMachineIsKeptForItsOutput(t *testing.T) {
	for _, c := range []struct {
		name   string
		until  time.Duration // how long the machine says that output waits
		hold   float64
		lo, hi time.Duration // when it is returned, after its work
	}{
		{"nothing waits", 0, 200, 0, 70 * time.Second},
		{"until the archive's word", 120 * time.Second, 200, 115 * time.Second, 160 * time.Second},
		{"until the deadline", 400 * time.Second, 100, 95 * time.Second, 180 * time.Second},
	} {
		s := newSim(5, 0)
		for _, n := range s.nodes {
			n.archive = &config.Archive{GrantKey: "x", HoldS: c.hold, Key: make([]byte, archive.KeySize)}
			n.crash(0)
		}
		u := s.submit(&job.Spec{ID: "wk-000001", Class: "one", Team: s.facts.Teams[0].Name, Shape: job.Array, Priority: job.High, Tasks: 1, CPUs: 1, MemoryGB: 1}, 20, 0)
		for i := 0; u.final != "done" && i < 200; i++ {
			s.run(s.now + time.Second)
		}
		done := s.now
		if u.final != "done" {
			t.Fatalf("%s: the job is not done", c.name)
		}
		for _, w := range s.cloud.sorted() {
			w.unkept = done + c.until
		}
		for len(s.cloud.sorted()) > 0 && s.now < done+300*time.Second {
			s.run(s.now + time.Second)
		}
		if took := s.now - done; took < c.lo || took > c.hi {
			t.Errorf("%s: returned after %v, not within %v and %v", c.name, took, c.lo, c.hi)
		}
		s.report(t)
	}
}

// TestGrantsAreForWhatIsBound guards against a word for an attempt that the records
// do not show bound to that machine.
func TestGrantsAreForWhatIsBound(t *testing.T) {
	s := newSim(6, 0)
	key := archive.GrantKey(make([]byte, archive.KeySize))
	for _, n := range s.nodes {
		n.archive = &config.Archive{GrantKey: "x", Key: key}
		n.crash(0)
	}
	s.submit(&job.Spec{ID: "wk-000001", Class: "one", Team: s.facts.Teams[0].Name, Shape: job.Array, Priority: job.High, Tasks: 1, CPUs: 1, MemoryGB: 1}, 600, 0)
	s.run(100 * time.Second)
	var where *simWorker
	for _, w := range s.cloud.sorted() {
		if len(w.loads) > 0 {
			where = w
		}
	}
	if where == nil {
		t.Fatal("the task does not run")
	}
	n := s.nodes[0]
	ask := func(path string) (status int, body []byte) {
		n.request("workers", "GET", protocol.PathRuns+"/"+path, nil, func(st int, b []byte) { status, body = st, b })
		s.run(s.now + 10*time.Second)
		return status, body
	}
	st, body := ask("wk-000001/grant/0/1/" + where.name)
	g, err := key.Open(body)
	if st != 200 || err != nil || g.Team != s.facts.Teams[0].Name || g.Machine != where.name || g.Try != 1 {
		t.Errorf("status %d, %+v, %v", st, g, err)
	}
	for path, want := range map[string]int{"wk-000001/grant/0/1/another": 404, "wk-000001/grant/0/0/" + where.name: 404, "wk-000001/grant/1/1/" + where.name: 404, "wk-000002/grant/0/1/" + where.name: 404,
		"wk-000001/grant/0/2/" + where.name: 503, "wk-000001/grant/0/1": 400, "wk-000001/grant/x/1/" + where.name: 400, "wk-000001/grant/0/1/..": 400} {
		if st, body := ask(path); st != want {
			t.Errorf("%s: status %d, %s", path, st, body)
		}
	}
}
