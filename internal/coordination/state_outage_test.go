package coordination

import (
	"strings"
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// TestLongOutageKeepsTasksRunning guards against tasks that are killed in a long outage of the state
// service for all controllers. No cancellation can be confirmed meanwhile, and the controllers'
// cancellation replies prove it, so workers must be answered however long the outage lasts.
func TestLongOutageKeepsTasksRunning(t *testing.T) {
	s := newSim(t, 11, 0)
	s.submitServices(6, 1)
	s.run(60 * time.Second)
	countActive := func() (n int) {
		for _, w := range s.cloud.sortedMachines() {
			for _, task := range w.tasks {
				if task.isActive() {
					n++
				}
			}
		}
		return n
	}
	if countActive() != 6 {
		t.Fatalf("%d of 6 services run before the outage", countActive())
	}
	starts := s.counts.taskStarts
	s.state.downUntil = s.now + 3*time.Minute
	s.run(s.now + 2*time.Minute)
	if countActive() != 6 || s.counts.taskStarts != starts {
		t.Errorf("%d of 6 services run two minutes into the outage, %d were restarted", countActive(), s.counts.taskStarts-starts)
	}
	// While one controller is down, the others do not know which cancellations it has confirmed.
	s.controllers[2].crash(time.Hour)
	s.run(s.now + 55*time.Second)
	if countActive() != 0 {
		t.Errorf("%d tasks still run although a controller can't be asked", countActive())
	}
	s.reportViolations(t)
}

// TestUsersAreToldAtOnceThatTheStateServiceIsAway guards against users who give up before their
// request is refused: during an outage of the state service every request must get a 503 at
// once, except queries about jobs that have ended.
func TestUsersAreToldAtOnceThatTheStateServiceIsAway(t *testing.T) {
	s := newSim(t, 43, 0)
	u := s.submit(&job.Spec{ID: "wk-700000", Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Normal, Tasks: 1, CPUs: 1, GPUs: 1, MemoryGB: 1}, 2, 0)
	open := s.submit(&job.Spec{ID: "wk-700001", Class: "svc", Team: "blue", Shape: job.Service, Priority: job.Normal, Tasks: 1, CPUs: 1, GPUs: 1, MemoryGB: 1}, 0, 0)
	s.run(60 * time.Second)
	if u.finalStatus != "done" {
		t.Fatalf("the array's final status is %q, want done", u.finalStatus)
	}
	s.state.downUntil = s.now + time.Minute
	s.run(s.now + 5*time.Second)
	for _, c := range []struct {
		method, path string
		body         []byte
		want         int
	}{
		{"GET", protocol.PathJobs + "/wk-700000", nil, 200},
		{"GET", protocol.PathJobs + "/wk-700001", nil, 503},
		{"GET", protocol.PathJobs + "/wk-999999", nil, 503},
		{"POST", protocol.PathJobs, []byte(strings.Replace(string(open.body), "wk-700001", "wk-700002", 1)), 503},
	} {
		e := s.controllers[0].core.Request(s.controllers[0].clock(), 1<<40, c.method, c.path, c.body)
		if len(e.Responses) != 1 || e.Responses[0].Status != c.want || (c.want == 503) != (e.Responses[0].RetryAfter > 0) {
			t.Errorf("%s %s: %+v, want %d at once", c.method, c.path, e.Responses, c.want)
		}
	}
}
