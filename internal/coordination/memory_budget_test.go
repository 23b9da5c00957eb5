package coordination

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// TestJobsAreRefusedBeforeMemoryEnds guards against controllers that accept jobs until they exceed their memory and
// no job runs any more: from a share of it on, a new job gets 503, while a repeated submission and a cancellation of a
// known one get their answers.
func TestJobsAreRefusedBeforeMemoryEnds(t *testing.T) {
	s := newSim(t, 70_000, 0)
	s.facts.Limits.RAMMB = 1
	s.advertised = s.facts
	n := s.controllers[0]
	s.run(5 * time.Second)
	known := s.submit(&job.Spec{ID: "wk-700000", Class: "arr", Team: "blue", Shape: job.Array, Tasks: 100, Priority: job.Low, CPUs: 64, MemoryGB: 1}, 5, 0)
	s.run(10 * time.Second)
	for _, record := range waitingArrays(1000, 10) {
		s.state.apply(record.Key, record.Value, 0, s.state.revision+1)
		s.state.revision++
	}
	s.state.notifyWatches()
	s.run(15 * time.Second)
	statuses := map[string]int{}
	request := func(name, path string, body []byte) {
		n.request("users", http.MethodPost, path, body, func(status int, _ []byte) { statuses[name] = status })
	}
	request("new", protocol.PathJobs, bytes.Replace(known.body, []byte("wk-700000"), []byte("wk-700001"), 1))
	request("known", protocol.PathJobs, known.body)
	s.run(16 * time.Second)
	request("cancellation", protocol.PathJobs+"/wk-700000/abort", nil)
	s.run(20 * time.Second)
	for name, want := range map[string]int{"new": 503, "known": 200, "cancellation": 200} {
		if statuses[name] != want {
			t.Errorf("%s: status %d, want %d", name, statuses[name], want)
		}
	}
}
