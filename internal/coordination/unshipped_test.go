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
		s := newSim(t, 5, 0)
		for _, n := range s.controllers {
			n.archive = &config.Archive{GrantKey: "x", HoldS: c.hold, Key: make([]byte, archive.KeySize)}
			n.crash(0)
		}
		u := s.submit(&job.Spec{ID: "wk-000001", Class: "one", Team: s.facts.Teams[0].Name, Shape: job.Array, Priority: job.High, Tasks: 1, CPUs: 1, MemoryGB: 1}, 20, 0)
		for i := 0; u.finalStatus != "done" && i < 200; i++ {
			s.run(s.now + time.Second)
		}
		done := s.now
		if u.finalStatus != "done" {
			t.Fatalf("%s: the job is not done", c.name)
		}
		for _, w := range s.cloud.sortedMachines() {
			w.unshippedUntil = done + c.until
		}
		for len(s.cloud.sortedMachines()) > 0 && s.now < done+300*time.Second {
			s.run(s.now + time.Second)
		}
		if took := s.now - done; took < c.lo || took > c.hi {
			t.Errorf("%s: returned after %v, not within %v and %v", c.name, took, c.lo, c.hi)
		}
		s.reportViolations(t)
	}
}

// TestLaunchesAreSealed guards against a launch without the controller's word for the
// archive, or with a word for another attempt or machine; and against one for a job
// whose owner is not the one that was accepted.
func TestLaunchesAreSealed(t *testing.T) {
	s := newSim(t, 6, 0)
	key := archive.GrantKey(make([]byte, archive.KeySize))
	seals := 0
	s.hooks.onLaunch = func(w *simWorker, o protocol.Command) {
		id, index, _ := job.ParseTaskName(o.Task)
		if o.Grant != key.SealLaunch(archive.Attempt{Job: id, Task: index, Try: o.Attempt, Machine: w.name}) {
			s.violation("seal", "%s try %d on %s: %q", o.Task, o.Attempt, w.name, o.Grant)
		}
		seals++
	}
	for _, n := range s.controllers {
		n.archive = &config.Archive{GrantKey: "x", Key: key}
		n.crash(0)
	}
	s.submit(&job.Spec{ID: "wk-000001", Class: "one", Team: s.facts.Teams[0].Name, Shape: job.Array, Priority: job.High, Tasks: 5, CPUs: 1, MemoryGB: 1}, 20, 0)
	s.run(150 * time.Second)
	var d protocol.JobDescription
	s.controllers[0].request("workers", "GET", protocol.PathJobs+"/wk-000001/"+protocol.PathDescription, nil, func(st int, b []byte) { _ = protocol.Decode(b, &d) })
	s.run(s.now + 10*time.Second)
	if seals < 5 || d.Grant != key.SealTerms("wk-000001", archive.TermsOf(&d)) || d.Team != s.facts.Teams[0].Name {
		t.Errorf("%d launches, description %+v", seals, d)
	}
	s.reportViolations(t)
}
