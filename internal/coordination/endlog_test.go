package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"silvergate/internal/completionlog"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// TestRulesHoldWithTheEndingLog plays days of troubles with the log of endings switched on.
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

// TestEndingLogSavesChanges compares the changes of a day of arrays with the log and without it, and
// that nothing of it is left when all is over.
func TestEndingLogSavesChanges(t *testing.T) {
	play := func(logged bool) (changes uint64, left int) {
		s := grownSim(t, 91)
		s.options.completionLog = logged
		for i := range s.facts.Teams {
			s.facts.Teams[i].GPUsMax = 0 // limited teams' endings go with their pages
		}
		s.advertised = s.facts
		for i := range 30 {
			s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", i+1), Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Normal, Tasks: 100, CPUs: 1, GPUs: 0.1, MemoryGB: 1, Spot: true}, 30, 0)
		}
		s.finish(t, 4*time.Minute)
		s.reportViolations(t)
		for key := range s.state.keys {
			if strings.HasPrefix(key, keyEndings) {
				left++
			}
		}
		return s.state.revision, left
	}
	without, _ := play(false)
	with, left := play(true)
	t.Logf("%d revisions without the log, %d with it, %d of its records are left", without, with, left)
	if with*4 > without*3 || left > 3 {
		t.Errorf("%d revisions without the log, %d with it, %d of its records are left", without, with, left)
	}
}

// TestALoggedEndingIsOfOneAttempt guards against an entry that ends another attempt than its own: a
// late record of an earlier one, or of the same number in another session.
func TestALoggedEndingIsOfOneAttempt(t *testing.T) {
	for _, c := range []struct {
		entry string
		ends  bool
	}{
		{"wk-700000/0.1 i-000001 1", true},
		{"wk-700000/0.1 i-000001 2", false},
		{"wk-700000/0.1 i-000002 1", false},
		{"wk-700000/0.2 i-000001 1", false},
		{"wk-700000/9.1 i-000001 1", false},
		{"nonsense", false},
	} {
		s := newScript(t)
		s.held(protocol.WatchEvent{Put: pageKey("wk-700000", 0), Value: writePage([]job.Task{{Phase: job.Bound, Attempt: 1, Machine: "i-000001", Epoch: 1}}), ModRevision: 125})
		s.c.applyCompletionRecord("n9/1-1", encode(completionlog.Record{Completions: []string{c.entry}}))
		if ended := s.c.jobs.byID["wk-700000"].pages[0].tasks[0].Phase == job.Finished; ended != c.ends {
			t.Errorf("%s: ended %v", c.entry, ended)
		}
	}
}

// TestAPageBehindTheLog: a page that is read after the log, and binds what the log says has
// completed, shows it completed; one that shows a later attempt settles the entry.
func TestAPageBehindTheLog(t *testing.T) {
	s := newScript(t)
	s.held()
	c := s.c
	c.applyCompletionRecord("n9/1-1", encode(completionlog.Record{Completions: []string{"wk-700000/0.1 i-000001 1"}}))
	page := func(attempt int) []byte {
		return writePage([]job.Task{{Phase: job.Bound, Attempt: attempt, Machine: "i-000001", Epoch: 1}})
	}
	c.applyPage("wk-700000/0", page(1), 130)
	task := &c.jobs.byID["wk-700000"].pages[0].tasks[0]
	if task.Phase != job.Finished || c.jobs.byID["wk-700000"].bound != 0 {
		t.Errorf("%+v", *task)
	}
	c.applyPage("wk-700000/0", page(1), 131) // written again by who has not seen the log
	if task.Phase != job.Finished {
		t.Errorf("%+v", *task)
	}
	c.applyPage("wk-700000/0", page(2), 132)
	if task.Phase != job.Bound || task.Attempt != 2 || len(c.writer.completions.Settled()) != 1 {
		t.Errorf("%+v, %v", *task, c.writer.completions.Settled())
	}
}

// TestEndingLogAmongEarlierVersions: nothing goes to the log while a peer does not read it.
func TestEndingLogAmongEarlierVersions(t *testing.T) {
	s := newSim(t, 3, 0)
	s.options.completionLog = true
	s.run(2 * time.Second)
	c := s.controllers[0].core
	r := &jobRecord{spec: &job.Spec{ID: "wk-000001", Team: "blue", Shape: job.Array, Tasks: 1}, status: job.Open}
	done := taskTransition{proof: 1, done: true}
	c.membership.formats["n1"], c.membership.formats["n2"] = completionLogFormat, completionLogFormat
	if !c.goesToCompletionLog(r, done) {
		t.Error("all read it")
	}
	c.membership.formats["n2"] = failoverFormat
	if c.goesToCompletionLog(r, done) {
		t.Error("one does not read it")
	}
}
