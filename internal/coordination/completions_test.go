package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"silvergate/internal/completionlog"
	"silvergate/internal/job"
)

// TestRulesHoldWithTheEndingLog simulates days with random faults and the completion log enabled.
func TestRulesHoldWithTheEndingLog(t *testing.T) {
	runSeeds(t, 12_500, 12, func(t *testing.T, seed uint64) {
		s := newSim(t, seed, 0.01)
		s.options.completionLog = true
		s.traceDay(t, seed)
		s.submitMixedJobs(2 * time.Minute)
		s.injectFaults(2 * time.Minute)
		s.finish(t, 2*time.Minute)
		s.reportViolations(t)
	})
}

// TestCompletionLogSavesRevisions checks that a day of arrays takes fewer revisions with the log
// than without it, and that at most a few records of the log remain once all jobs are done.
func TestCompletionLogSavesRevisions(t *testing.T) {
	run := func(logged bool) (revisions uint64, remaining int) {
		s := newLargeDeploymentSim(t, 91)
		s.options.completionLog = logged
		for i := range s.facts.Teams {
			s.facts.Teams[i].GPUsMax = 0 // completions of limited teams are written with their pages
		}
		s.advertised = s.facts
		for i := range 30 {
			s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", i+1), Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Normal, Tasks: 100, CPUs: 1, GPUs: 0.1, MemoryGB: 1, Spot: true}, 30, 0)
		}
		s.finish(t, 4*time.Minute)
		s.reportViolations(t)
		for key := range s.state.keys {
			if strings.HasPrefix(key, keyCompletions) {
				remaining++
			}
		}
		return s.state.revision, remaining
	}
	without, _ := run(false)
	with, remaining := run(true)
	t.Logf("%d revisions without the log, %d with it, %d of its records remain", without, with, remaining)
	if with*4 > without*3 || remaining > 3 {
		t.Errorf("%d revisions without the log, %d with it, %d of its records remain", without, with, remaining)
	}
}

// TestALoggedEndingIsOfOneAttempt guards against a completion in the log that completes a different
// attempt: a late record of an earlier attempt, or of an attempt with the same number in another
// agent epoch.
func TestALoggedEndingIsOfOneAttempt(t *testing.T) {
	for _, test := range []struct {
		name       string
		completion string
		ends       bool
	}{
		{"the bound attempt", "wk-700000/0.1 i-000001 1", true},
		{"another agent epoch", "wk-700000/0.1 i-000001 2", false},
		{"another machine", "wk-700000/0.1 i-000002 1", false},
		{"another attempt", "wk-700000/0.2 i-000001 1", false},
		{"a task that the job lacks", "wk-700000/9.1 i-000001 1", false},
		{"not a completion", "nonsense", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newScript(t)
			s.driveToOwnedMachine(pageEvent(125, boundTask(1)))
			s.core.applyCompletionRecord("n9/1-1", encode(completionlog.Record{Completions: []string{test.completion}}))
			if ended := s.core.jobs.byID["wk-700000"].pages[0].tasks[0].Phase == job.Finished; ended != test.ends {
				t.Errorf("%s: task finished %v, want %v", test.completion, ended, test.ends)
			}
		})
	}
}

// TestAPageBehindTheLog checks pages that are read after the log: a task that the page shows as
// bound, but that has completed according to the log, is finished in the mirror, and a page that
// shows a later attempt removes the task from the log.
func TestAPageBehindTheLog(t *testing.T) {
	s := newScript(t)
	s.driveToOwnedMachine()
	c := s.core
	c.applyCompletionRecord("n9/1-1", encode(completionlog.Record{Completions: []string{"wk-700000/0.1 i-000001 1"}}))
	page := func(attempt int) []byte {
		return writePage([]job.Task{boundTask(attempt)})
	}
	c.applyPage("wk-700000/0", page(1), 130)
	task := &c.jobs.byID["wk-700000"].pages[0].tasks[0]
	if task.Phase != job.Finished || c.jobs.byID["wk-700000"].bound != 0 {
		t.Errorf("%+v", *task)
	}
	c.applyPage("wk-700000/0", page(1), 131) // written again by a controller that has not read the log
	if task.Phase != job.Finished {
		t.Errorf("%+v", *task)
	}
	c.applyPage("wk-700000/0", page(2), 132)
	if task.Phase != job.Bound || task.Attempt != 2 || len(c.writer.completions.log.EmptyRecords()) != 1 {
		t.Errorf("after a page with a later attempt: task %+v, empty records %v, want attempt 2 bound and one record", *task, c.writer.completions.log.EmptyRecords())
	}
}

// TestCompletionLogWithEarlierVersions checks that no completion is written to the log while any
// peer can't read it.
func TestCompletionLogWithEarlierVersions(t *testing.T) {
	s := newSim(t, 3, 0)
	s.options.completionLog = true
	s.run(2 * time.Second)
	c := s.controllers[0].core
	r := &jobRecord{mirroredJob: mirroredJob{spec: &job.Spec{ID: "wk-000001", Team: "blue", Shape: job.Array, Tasks: 1}, status: job.Open}}
	done := taskTransition{proof: 1, done: true}
	c.membership.formats["n1"], c.membership.formats["n2"] = completionLogFormat, completionLogFormat
	if !c.goesToCompletionLog(r, done) {
		t.Error("the log is not used although all peers read it")
	}
	c.membership.formats["n2"] = failoverFormat
	if c.goesToCompletionLog(r, done) {
		t.Error("the log is used although one peer does not read it")
	}
}

// TestCompletionRecordsRespectSizeLimit checks that a record holds the completions that fit, in
// order and at least one, and that the others remain queued for the next record.
func TestCompletionRecordsRespectSizeLimit(t *testing.T) {
	entry := len("wk-000001/0.1 i-000001 1") + completionOverhead
	for _, test := range []struct {
		name     string
		maxBytes int
		taken    int
	}{
		{"room for all", 3 * entry, 3},
		{"one byte too few", 3*entry - 1, 2},
		{"room for one", entry, 1},
		{"room for none", 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newCompletionWriter()
			for index := range 3 {
				k := taskKey{job: "wk-000001", index: index}
				w.add(time.Second, k, taskTransition{machine: "i-000001", epoch: 1, attempt: 1})
				w.add(2*time.Second, k, taskTransition{machine: "i-000001", epoch: 1, attempt: 1}) // a duplicate is ignored
			}
			if w.due(2*time.Second, 2*time.Second) || !w.due(3*time.Second, 2*time.Second) {
				t.Error("the delay is not measured from the first completion")
			}
			taken, record := w.takeBatch(4*time.Second, test.maxBytes)
			if len(taken) != test.taken || len(record.Completions) != test.taken || len(w.unlogged) != 3-test.taken {
				t.Fatalf("%d taken, %d in the record, %d left, want %d taken", len(taken), len(record.Completions), len(w.unlogged), test.taken)
			}
			for i, text := range record.Completions {
				if want := fmt.Sprintf("wk-000001/%d.1 i-000001 1", i); text != want {
					t.Errorf("%q in the record, want %q", text, want)
				}
			}
			if w.due(time.Minute, 0) || !w.pending() {
				t.Error("a second record is due while the first is in flight, or nothing is pending")
			}
		})
	}
}
