package coordination

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"silvergate/internal/connectivity"
	"silvergate/internal/peer"
	"silvergate/internal/protocol"
)

// redirectCase is a case in which a worker sends its heartbeat to n1 while its machine is owned by
// n0, under a claim of revision 110.
type redirectCase struct {
	name                string
	fencingToken        uint64        // the token that the worker shows
	claimAge            time.Duration // time since n1 learned of the claim
	ownerHeard          bool          // n1 has received a heartbeat of the owner
	ownerHearsNoWorkers bool          // the owner's heartbeat says that it hears no workers
	outage              bool          // the state service does not answer
	redirected          bool          // the worker should be redirected in the end
	repeats             bool          // the worker sends a second heartbeat
	busy                bool          // the worker has a task
	pause               time.Duration // time before the second heartbeat
}

// start makes n1 read the records and then lets claimAge pass.
func (v *redirectCase) start(t *testing.T) *script {
	t.Helper()
	s := newScript(t)
	s.advance(100 * time.Millisecond)
	claim := claimRecord{Owner: "n0", Incarnation: 3, Address: "10.1.0.1:9000", MachineType: "small", Zone: "b", Epoch: 1}
	s.reply(protocol.PathKeys+"?", "", 200, protocol.KeyValuePage{Revision: 120, KeyValues: []protocol.KeyValue{{Key: keyClaim + "i-000001", Value: encode(claim), ModRevision: 110}}})
	for end := s.now + v.claimAge; s.now < end; {
		s.advance(200 * time.Millisecond)
		if !v.outage {
			s.answerWatch(120)
		}
	}
	return s
}

// answerWatch answers the pending watch request, if there is one, without events.
func (s *script) answerWatch(revision uint64) {
	for _, call := range s.openCalls {
		if strings.HasPrefix(call.Path, protocol.PathWatch) {
			s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Revision: revision})
			return
		}
	}
}

// sendOwnerHeartbeat delivers a heartbeat of the owner to n1.
func (v *redirectCase) sendOwnerHeartbeat(s *script) {
	ageMS := v.claimAge.Milliseconds()
	report := connectivity.LinkReport{Node: "n0", HearsNoWorkers: v.ownerHearsNoWorkers, MirrorAgeMS: ageMS, StateServiceMS: ageMS, HearsPeers: []string{"n1"}}
	heartbeat := &peer.Heartbeat{MirrorAgeMS: ageMS, Links: []connectivity.LinkReport{report}}
	s.collect(s.core.Peer(s.clock(), "n0", peer.Message{Heartbeat: heartbeat}))
}

// sendWorkerHeartbeat delivers a heartbeat of the worker to n1 and returns the status of the
// answer, or 0 if there is none.
func (v *redirectCase) sendWorkerHeartbeat(s *script) int {
	tasks := []protocol.TaskStatus{}
	if v.busy {
		tasks = append(tasks, protocol.TaskStatus{Task: "wk-700000/0", Attempt: 1, Status: protocol.TaskRunning})
	}
	s.lastRequestID++
	s.responses = nil
	heartbeat := protocol.Heartbeat{Worker: "i-000001", Address: "10.1.0.1:9000", MachineType: "small", Zone: "b", AgentEpoch: 1, Sequence: 9, FencingToken: v.fencingToken, Tasks: tasks}
	s.collect(s.core.Request(s.clock(), s.lastRequestID, "POST", protocol.PathHeartbeat, encode(heartbeat)))
	status := 0
	for _, answer := range s.responses {
		if answer.ID == s.lastRequestID {
			status = answer.Status
		}
	}
	return status
}

// TestWorkersAreRedirectedToTheirOwner guards against two faults: a worker that lost one answer in
// an outage let its lease expire while it tried the other controllers, and each controller wrote a
// claim for each machine that received no answers.
func TestWorkersAreRedirectedToTheirOwner(t *testing.T) {
	for _, v := range []redirectCase{
		{name: "an outage",
			fencingToken: 110, claimAge: 6 * time.Second, ownerHeard: true, outage: true, redirected: true, busy: true},
		{name: "an outage, and it comes back at once",
			fencingToken: 110, claimAge: 6 * time.Second, ownerHeard: true, outage: true, repeats: true, busy: true},
		{name: "an outage, and it comes back when its owner did not answer",
			fencingToken: 110, claimAge: 6 * time.Second, ownerHeard: true, outage: true, repeats: true, busy: true, pause: 5 * time.Second},
		{name: "an outage, and its owner has not been heard",
			fencingToken: 110, claimAge: 6 * time.Second, outage: true, busy: true},
		{name: "an outage, and its owner hears no workers",
			fencingToken: 110, claimAge: 6 * time.Second, ownerHeard: true, ownerHearsNoWorkers: true, outage: true, busy: true},
		{name: "no outage: the owner did not answer it",
			fencingToken: 110, claimAge: time.Second, ownerHeard: true, busy: true},
		{name: "it does not know its new owner",
			fencingToken: 50, claimAge: time.Second, ownerHeard: true, redirected: true},
		{name: "it does not know its new owner, and its lease may run out",
			fencingToken: 50, claimAge: time.Second, ownerHeard: true, busy: true},
		{name: "it has not known its new owner for a third of its lease",
			fencingToken: 50, claimAge: 7 * time.Second, ownerHeard: true},
	} {
		t.Run(v.name, func(t *testing.T) {
			s := v.start(t)
			if v.ownerHeard {
				v.sendOwnerHeartbeat(s)
			}
			status := v.sendWorkerHeartbeat(s)
			if v.repeats {
				if v.pause > 0 {
					s.advance(v.pause)
					v.sendOwnerHeartbeat(s)
				}
				status = v.sendWorkerHeartbeat(s)
			}
			if (status == http.StatusMisdirectedRequest) != v.redirected {
				t.Errorf("answered with status %d, want a redirect: %v", status, v.redirected)
			}
		})
	}
}

// TestAControllerThatIsCutOffFromAllLeavesTheBalancer checks the health check. A controller that
// reaches neither the state service nor its peers can't serve users and must fail the check. In an
// outage of the state service that affects all controllers it must pass.
func TestAControllerThatIsCutOffFromAllLeavesTheBalancer(t *testing.T) {
	for _, v := range []struct {
		name   string
		fail   func(s *sim, n *simController)
		status int
	}{
		{"healthy", func(*sim, *simController) {}, 200},
		{"no state service and no peers", func(s *sim, n *simController) {
			n.unreachableUntil["state"], n.unreachableUntil["peers"] = time.Hour, time.Hour
		}, 503},
		{"no peers", func(s *sim, n *simController) { n.unreachableUntil["peers"] = time.Hour }, 200},
		{"an outage", func(s *sim, n *simController) { s.state.downUntil = time.Hour }, 200},
		{"an outage, and no peers", func(s *sim, n *simController) { s.state.downUntil, n.unreachableUntil["peers"] = time.Hour, time.Hour }, 200},
	} {
		t.Run(v.name, func(t *testing.T) {
			s := newSim(t, 41_100, 0)
			s.run(20 * time.Second)
			n := s.controllers[0]
			v.fail(s, n)
			s.run(28 * time.Second)
			got := 0
			n.request("users", "GET", protocol.PathHealth, nil, func(status int, _ []byte) { got = status })
			s.run(29 * time.Second)
			if got != v.status {
				t.Errorf("the health check was answered with status %d, want %d", got, v.status)
			}
		})
	}
}
