package coordination

import (
	"testing"
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/config"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// withArchive restarts all controllers with an archive.
func (s *sim) withArchive(settings config.Archive) {
	for _, n := range s.controllers {
		own := settings
		n.archive = &own
		n.crash(0)
	}
}

// TestMachineIsKeptForItsOutput guards against two faults: an idle machine is deleted while output
// of its tasks waits to be shipped, and a machine is kept for ever for its output. The machine is
// released by the archive's acknowledgement, when it stops announcing output, or at the deadline.
// The machine's own controller need not be the one that deletes machines.
func TestMachineIsKeptForItsOutput(t *testing.T) {
	for _, v := range []struct {
		name             string
		waits            time.Duration // how long the machine announces that output waits
		deadlineS        float64
		earliest, latest time.Duration // bounds of when it is deleted, from the end of its work
	}{
		{"nothing waits", 0, 200, 0, 70 * time.Second},
		{"until the archive's acknowledgement", 120 * time.Second, 200, 115 * time.Second, 160 * time.Second},
		{"until the deadline", 400 * time.Second, 100, 95 * time.Second, 180 * time.Second},
	} {
		t.Run(v.name, func(t *testing.T) {
			s := newSim(t, 5, 0)
			s.withArchive(config.Archive{GrantKey: "x", HoldS: v.deadlineS, Key: make([]byte, archive.KeySize)})
			user := s.submit(&job.Spec{ID: "wk-000001", Class: "one", Team: s.facts.Teams[0].Name, Shape: job.Array, Priority: job.High, Tasks: 1, CPUs: 1, MemoryGB: 1}, 20, 0)
			for i := 0; user.finalStatus != "done" && i < 200; i++ {
				s.run(s.now + time.Second)
			}
			if user.finalStatus != "done" {
				t.Fatal("the job is not done")
			}
			doneAt := s.now
			for _, w := range s.cloud.sortedMachines() {
				w.unshippedUntil = doneAt + v.waits
			}
			for len(s.cloud.sortedMachines()) > 0 && s.now < doneAt+300*time.Second {
				s.run(s.now + time.Second)
			}
			if took := s.now - doneAt; took < v.earliest || took > v.latest {
				t.Errorf("the machines were deleted after %v, want between %v and %v", took, v.earliest, v.latest)
			}
			s.reportViolations(t)
		})
	}
}

// TestLaunchesCarryGrants guards against launches without the controller's grant for the archive or
// with a grant for another attempt or machine, and against a job description without its grant or
// with another owner than the team with which the job was accepted.
func TestLaunchesCarryGrants(t *testing.T) {
	s := newSim(t, 6, 0)
	key := archive.GrantKey(make([]byte, archive.KeySize))
	launches := 0
	s.hooks.onLaunch = func(w *simWorker, command protocol.Command) {
		id, index, _ := job.ParseTaskName(command.Task)
		attempt := archive.Attempt{Job: id, Task: index, Try: command.Attempt, Machine: w.name}
		if command.Grant != key.SealLaunch(attempt) {
			s.addViolation("seal", "%s attempt %d on %s: %q", command.Task, command.Attempt, w.name, command.Grant)
		}
		launches++
	}
	s.withArchive(config.Archive{GrantKey: "x", Key: key})
	s.submit(&job.Spec{ID: "wk-000001", Class: "one", Team: s.facts.Teams[0].Name, Shape: job.Array, Priority: job.High, Tasks: 5, CPUs: 1, MemoryGB: 1}, 20, 0)
	s.run(150 * time.Second)
	var description protocol.JobDescription
	s.controllers[0].request("workers", "GET", protocol.PathJobs+"/wk-000001/"+protocol.PathDescription, nil, func(_ int, body []byte) { _ = protocol.Decode(body, &description) })
	s.run(s.now + 10*time.Second)
	if launches < 5 || description.Grant != key.SealTerms("wk-000001", archive.TermsOf(&description)) || description.Team != s.facts.Teams[0].Name {
		t.Errorf("%d launches, description %+v", launches, description)
	}
	s.reportViolations(t)
}
