package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// Checkers of what users expect in addition to the rules: answers to their status queries, and
// jobs that are served. The checkers see only what outsiders see: the answers that users get,
// and the tasks that start on workers.

const (
	maxTimeWithoutAnswer = 75 * time.Second // to the status queries of a job
	largestJobStartLimit = 4 * time.Minute  // from the submission of a class's largest jobs to their start
)

// answerChecks is the state of the checkers of answers to users.
type answerChecks struct {
	faultsOverAt time.Duration   // time at which all faults are over; 0: not yet
	unanswered   map[string]bool // jobs reported as unanswered
}

// checkAnswersFrom makes the users of all accepted jobs query their jobs' status regularly from the
// time now on, when all faults are over, and checks that each gets an answer.
func (s *sim) checkAnswersFrom(now time.Duration) {
	s.after(now-s.now, func() {
		s.answerChecks = answerChecks{faultsOverAt: s.now, unanswered: map[string]bool{}}
		s.queryAllJobs()
		s.checkIdleCapacity()
	})
}

func (s *sim) queryAllJobs() {
	for _, id := range sortedKeys(s.users) {
		u := s.users[id]
		if !u.accepted {
			continue
		}
		if since := s.now - max(s.answerChecks.faultsOverAt, u.lastAnsweredAt, u.submittedAt); since > maxTimeWithoutAnswer && !s.answerChecks.unanswered[id] {
			s.answerChecks.unanswered[id] = true
			s.addViolation("unanswered", "%s: no status query has been answered for %v", id, since)
		}
		if u.finalStatus == "" {
			continue // the user of an unfinished job polls anyway
		}
		u.queryOnce()
	}
	s.after(15*time.Second, s.queryAllJobs)
}

// queryOnce sends one more status query, to any controller.
func (u *simUser) queryOnce() {
	u.queryAt(u.s.anyController())
}

// queryAt sends one more status query to a controller.
func (u *simUser) queryAt(n *simController) {
	before := u.knownStatus()
	n.request("users", "GET", protocol.PathJobs+"/"+u.spec.ID, nil, func(st int, body []byte) { u.checkQueryAnswer(st, body, before) })
}

// checkQueryAnswer checks the answer to a status query.
func (u *simUser) checkQueryAnswer(st int, body []byte, before knownStatus) {
	switch st {
	case 200:
		u.lastAnsweredAt = u.s.now
		u.checkAnswer(body, before)
	case 404:
		if before.known {
			u.s.addViolation("forgotten", "%s", u.spec.ID)
		}
	}
}

// checkServed checks at the end of a day that at least half of the jobs of each class, of each
// team, and of each class's largest jobs were served. The largest jobs count as served only if
// they also began in time. Jobs that their users cancelled, that fail everywhere or that were
// submitted too late do not count.
func (s *sim) checkServed() {
	type count struct{ served, all int }
	groups := map[string]*count{}
	add := func(name string, ok bool) {
		if groups[name] == nil {
			groups[name] = &count{}
		}
		groups[name].all++
		if ok {
			groups[name].served++
		}
	}
	maxTasks := map[string]int{}
	for _, u := range s.users {
		maxTasks[u.spec.Class] = max(maxTasks[u.spec.Class], u.spec.Tasks)
	}
	for _, id := range sortedKeys(s.users) {
		u := s.users[id]
		if u.cancelRequested || u.failsEverywhere || s.now-u.submittedAt < largestJobStartLimit {
			continue
		}
		ok := u.accepted && u.tasksStarted == u.spec.Tasks
		add("class "+u.spec.Class, ok)
		add("team "+u.spec.Team, ok)
		if u.spec.Tasks*4 < maxTasks[u.spec.Class]*3 {
			continue
		}
		// The largest jobs also have to begin in time.
		add("largest of class "+u.spec.Class, ok && u.startDelay <= largestJobStartLimit)
	}
	for _, name := range sortedKeys(groups) {
		if g := groups[name]; 2*g.served < g.all {
			s.addViolation("not served", "%s: %d of %d jobs", name, g.served, g.all)
		}
	}
}

// lastStart is the worker and agent epoch in which a task was last started.
type lastStart struct {
	worker     *simWorker
	agentEpoch uint64
}

// recordStart records the start of a task. It counts a restart if the task was started before on a
// machine that still exists, in the same agent epoch.
func (u *simUser) recordStart(index int, w *simWorker) {
	if u.lastStarts == nil {
		u.lastStarts = make([]lastStart, u.spec.Tasks)
	}
	if previous := u.lastStarts[index]; previous.worker == nil {
		u.tasksStarted++
	} else if !previous.worker.dead && previous.worker.agentEpoch == previous.agentEpoch {
		u.restarts++
	}
	u.lastStarts[index] = lastStart{w, w.agentEpoch}
	if u.firstStartAt == 0 {
		u.firstStartAt = u.s.now
		u.startDelay = u.s.now - u.submittedAt - (u.s.counts.outage - u.outageAtSubmission)
	}
}

// countOutages adds up the time for which the state service was down for all controllers: no job
// can begin then, so it does not count towards the time within which jobs have to begin.
func (s *sim) countOutages() {
	if s.state.downUntil > s.now {
		s.counts.outage += 100 * time.Millisecond
	}
	s.after(100*time.Millisecond, s.countOutages)
}

// submitLargeJob submits a job that is large for the site, for the check of a class's largest jobs.
func (s *sim) submitLargeJob(n int) {
	s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", 500_000+n), Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Normal, Tasks: 40,
		CPUs: 4, GPUs: 0.5, MemoryGB: 8, Spot: true}, 8, 0)
}

// TestServiceCheckersFindViolations checks that each checker in this file finds the violation that
// it is meant to find.
func TestServiceCheckersFindViolations(t *testing.T) {
	for _, v := range []struct {
		rule  string
		spoil func(s *sim)
	}{
		{"", func(*sim) {}},
		{"unanswered", func(s *sim) { // users can't reach any controller after 100 s
			s.after(100*time.Second, func() {
				for _, n := range s.controllers {
					n.unreachableUntil["users"] = time.Hour
				}
			})
		}},
		{"not served: class arr", func(s *sim) { // no worker can reach any controller
			for _, n := range s.controllers {
				n.unreachableUntil["workers"] = time.Hour
			}
		}},
		{"not served: team blue", func(s *sim) { s.cloud.capacity = map[offering]int{} }},
		{"not served: largest of class arr", func(s *sim) { // no machine of the only type that the largest job allows
			s.cloud.capacity = map[offering]int{{"small", "a", false}: 4}
			s.after(2*time.Second, func() {
				s.submit(&job.Spec{ID: "wk-600000", Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Normal, Tasks: 60, CPUs: 4, GPUs: 1, MemoryGB: 8, MachineTypes: []string{"large"}}, 30, 0)
			})
		}},
	} {
		name := v.rule
		if name == "" {
			name = "no violation"
		}
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 42_000, 0)
			s.after(time.Second, func() {
				for i := range 6 {
					s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", i), Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Normal, Tasks: 1, CPUs: 4, GPUs: 1, MemoryGB: 8}, 30, 0)
				}
				s.submitLargeJob(1)
			})
			v.spoil(s)
			s.checkAnswersFrom(90 * time.Second)
			s.run(6 * time.Minute)
			s.checkServed()
			if got := strings.Join(s.violations, "\n"); v.rule == "" && got != "" || v.rule != "" && !strings.Contains(got, v.rule) {
				t.Errorf("want violation %q, the checkers reported %q", v.rule, got)
			}
		})
	}
}
