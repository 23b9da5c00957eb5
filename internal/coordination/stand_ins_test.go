package coordination

import (
	"testing"
	"time"

	"silvergate/internal/conformance"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// standIn adapts a simulated service to the conformance tests, in simulated time.
type standIn struct {
	s     *sim
	serve func(k protocol.Call, reply func(int, []byte))
}

// Send sends a request and returns a function that waits for the answer, at most 30 simulated seconds.
func (x standIn) Send(method, path, body string) func() (int, string) {
	status, answer, answered := 0, "", false
	x.serve(protocol.Call{Method: method, Path: path, Body: []byte(body)}, func(st int, b []byte) {
		status, answer, answered = st, string(b), true
	})
	return func() (int, string) {
		for until := x.s.now + 30*time.Second; !answered && x.s.now < until; {
			x.s.run(x.s.now + time.Millisecond)
		}
		return status, answer
	}
}

// Sleep advances simulated time by d.
func (x standIn) Sleep(d time.Duration) { x.s.run(x.s.now + d) }

// TestStandInsConformToProtocol checks the simulated state service, cloud and worker against the same
// conformance statements as the real state service, cloud and agents.
func TestStandInsConformToProtocol(t *testing.T) {
	quietSim := func() *sim {
		s := newSim(t, 1, 0)
		s.controllers, s.pending = nil, nil // no controllers and no other pending events
		var expire func()
		expire = func() { s.state.expireLeases(); s.after(100*time.Millisecond, expire) }
		expire()
		s.cloud.listHistory = nil
		s.cloud.snapshot()
		s.run(2 * time.Second) // the burst allowances of the rate limits fill up
		return s
	}
	t.Run("state", func(t *testing.T) {
		conformance.Run(t, conformance.State, false, func(t *testing.T) conformance.Target {
			s := quietSim()
			n := &simController{s: s}
			return standIn{s, func(k protocol.Call, reply func(int, []byte)) { s.state.serve(n, k, reply) }}
		})
	})
	t.Run("cloud", func(t *testing.T) {
		conformance.Run(t, conformance.Cloud, false, func(t *testing.T) conformance.Target {
			s := quietSim()
			s.facts.Cloud.ListLag = 1
			s.cloud.pageSize = 500
			s.cloud.machineTypes = map[string]protocol.MachineType{"small": {Name: "small", StartupS: 1000, Zones: []string{"a", "b"}}}
			s.cloud.capacity = map[offering]int{{"small", "a", false}: 2, {"small", "b", false}: 1}
			return standIn{s, s.cloud.serve}
		})
	})
	t.Run("worker", func(t *testing.T) {
		conformance.Run(t, conformance.Worker, false, func(t *testing.T) conformance.Target {
			s := quietSim()
			s.users["wk-000001"] = &simUser{s: s, spec: &job.Spec{ID: "wk-000001", Shape: job.Service, Tasks: 9, CPUs: 8}, done: make([]bool, 9)}
			w := &simWorker{s: s, name: "i-1", address: "w:i-1", machineType: "small", zone: "a", up: true, agentEpoch: 1, tasks: map[string]*simTask{}}
			return standIn{s, w.serveDirect}
		})
	})
}
