package coordination

import (
	"fmt"
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// newStaggeredCompletionsSim returns a site without faults. Its jobs have two or three tasks each, which end far apart.
func newStaggeredCompletionsSim(t testing.TB, seed uint64) *sim {
	s := newSim(t, seed, 0)
	s.after(time.Second, func() {
		for i := range 8 {
			u := s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", i), Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Normal, Tasks: 2 + i%2,
				CPUs: 2, GPUs: 0.5, MemoryGB: 8}, 8, 0)
			u.runtimeStepS = 40
		}
	})
	return s
}

// TestEndingsFarApart makes controllers fail in various ways between the completions of a job's
// tasks. No completion may be forgotten before it is committed, and none may be counted twice: every
// job becomes done, but not too early (the rules checker verifies that), and no task is started a
// second time while its machine exists.
func TestEndingsFarApart(t *testing.T) {
	for name, change := range map[string]func(s *sim){
		"the leader ends for good": func(s *sim) { s.busiestController().crash(5 * time.Minute) },
		"it is back within a second": func(s *sim) {
			for at := time.Duration(0); at < 70*time.Second; at += s.randomMillis(2000, 12_000) {
				s.after(at, func() { s.busiestController().crash(s.randomMillis(50, 900)) })
			}
		},
		"hand-over and back": func(s *sim) {
			for i, n := range s.controllers {
				s.after(time.Duration(15*i)*time.Second, func() { n.unreachableUntil["workers"] = s.now + 14*time.Second })
			}
		},
		"all end, one returns": func(s *sim) {
			for i, n := range s.controllers {
				n.crash(700*time.Millisecond + time.Duration(i)*40*time.Second)
			}
		},
		"refused, then down for all": func(s *sim) {
			s.busiestController().refusedUntil = s.now + 20*time.Second
			s.after(20*time.Second, func() { s.state.downUntil = s.now + 30*time.Second })
		},
		"late transactions": func(s *sim) {
			s.setShareFor(time.Minute, &s.faults.lateTransactions, 0.3)
		},
		"late reports": func(s *sim) {
			s.setShareFor(time.Minute, &s.faults.duplicateHeartbeats, 0.5)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(43_000); seed < 43_004; seed++ {
				s := newStaggeredCompletionsSim(t, seed)
				s.after(36*time.Second, func() { change(s) })
				s.finish(t, 150*time.Second)
				s.reportViolations(t)
				for _, u := range s.users {
					if u.restarts > 0 || u.tasksStarted != u.spec.Tasks {
						t.Errorf("seed %d: %s: %d of %d tasks were started, %d of them again although their machines existed", seed, u.spec.ID, u.tasksStarted, u.spec.Tasks, u.restarts)
					}
				}
			}
		})
	}
}

// TestMachinesThatHearNobodyWhenTheirLeaderEnds crashes the controller with the most machines for
// good while its machines are unresponsive, for longer than their leases. The tasks bound there
// count as bound until there is proof that they have ended, so that no team exceeds its limit and no
// task runs twice (the rules checker verifies that). Then they are released without the cloud's help
// while the machines are still unresponsive, and they run in the end.
func TestMachinesThatHearNobodyWhenTheirLeaderEnds(t *testing.T) {
	for seed := uint64(43_100); seed < 43_106; seed++ {
		s := newSim(t, seed, 0)
		s.after(time.Second, func() {
			for i := range 10 {
				s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", i), Class: "svc", Team: []string{"red", "blue"}[i%2], Shape: job.Service, Priority: job.Production, Tasks: 2,
					CPUs: 2, GPUs: 1, MemoryGB: 8}, 0, 0)
			}
		})
		s.run(50 * time.Second)
		leader := s.busiestController()
		unresponsive := map[string]bool{}
		for _, w := range s.cloud.sortedMachines() {
			if m := leader.core.machines.byID[w.name]; m != nil && leader.core.isOwn(m) {
				w.unresponsiveUntil, unresponsive[w.name] = s.now+70*time.Second, true
			}
		}
		bound := func() (n int) {
			for _, o := range s.controllers {
				if o.core == nil {
					continue
				}
				n = 0
				for _, m := range o.core.machines.byID {
					if unresponsive[m.id] {
						n += len(m.bound)
					}
				}
			}
			return n
		}
		before := bound()
		leader.crash(5 * time.Minute)
		s.run(50*time.Second + 36*time.Second) // the lease, a heartbeat period and a claim
		if n := bound(); before == 0 || n > 0 {
			t.Errorf("seed %d: %d tasks were bound to machines that became unresponsive, %d still are after twice their lease", seed, before, n)
		}
		s.run(4 * time.Minute)
		for _, id := range sortedKeys(s.users) {
			running := 0
			for _, w := range s.workers {
				for _, l := range w.tasks {
					if l.jobID == id && l.isActive() {
						running++
					}
				}
			}
			if running != 2 {
				t.Errorf("seed %d: %s: %d of 2 tasks run in the end", seed, id, running)
			}
		}
		s.reportViolations(t)
	}
}

// TestOldReportsChangeNothing delivers copies of old heartbeats (of an earlier agent epoch, attempt or
// owner, or from after an attempt was forgotten) at each later stage of a machine's history. None may
// cause a write or a launch.
func TestOldReportsChangeNothing(t *testing.T) {
	running := protocol.TaskStatus{Task: "wk-700000/0", Attempt: 1, Status: protocol.TaskRunning}
	over := protocol.TaskStatus{Task: "wk-700000/0", Attempt: 1, Status: protocol.TaskEnded, Cause: protocol.CauseDone}
	type heartbeat struct {
		token, epoch, sequence uint64
		statuses               []protocol.TaskStatus
	}
	copies := []heartbeat{
		{0, 1, 1, nil},                              // before the claim
		{50, 1, 1, []protocol.TaskStatus{over}},     // under an earlier owner
		{120, 1, 2, nil},                            // before the launch
		{120, 1, 4, []protocol.TaskStatus{running}}, // while it ran
		{120, 1, 4, []protocol.TaskStatus{over}},    // a sequence number that is not newer
		{120, 1, 4, []protocol.TaskStatus{{Task: "wk-700000/0", Attempt: 0, Status: protocol.TaskEnded}}},
	}
	for i, k := range copies {
		for _, later := range []string{"it runs", "in the next agent epoch", "under a new token"} {
			s := newScriptWithLaunch(t)
			s.reply(protocol.PathCommands, protocol.VerbLaunch, 200, protocol.Heartbeat{Worker: "i-000001", AgentEpoch: 1, Sequence: 4, FencingToken: 120, Tasks: []protocol.TaskStatus{running}})
			s.now += time.Second
			s.sendHeartbeat(120, 5, running)
			switch later {
			case "in the next agent epoch":
				s.lastRequestID++
				s.collect(s.core.Request(s.clock(), s.lastRequestID, "POST", protocol.PathHeartbeat, encode(protocol.Heartbeat{Worker: "i-000001", Address: "10.1.0.1:9000",
					MachineType: "small", Zone: "a", AgentEpoch: 2, Sequence: 9, FencingToken: 120, Tasks: []protocol.TaskStatus{}})))
				s.advance(time.Second) // the release of the task is under way
			case "under a new token":
				s.sendHeartbeat(130, 6, running) // as if a peer had answered it: a claim is needed
				s.reply(protocol.PathTxn, keyClaim, 200, protocol.TxnResult{Revision: 140})
			}
			callsBefore := len(s.openCalls)
			s.lastRequestID++
			s.responses = nil
			s.collect(s.core.Request(s.clock(), s.lastRequestID, "POST", protocol.PathHeartbeat, encode(protocol.Heartbeat{Worker: "i-000001", Address: "10.1.0.1:9000",
				MachineType: "small", Zone: "a", AgentEpoch: k.epoch, Sequence: k.sequence, FencingToken: k.token, Tasks: append([]protocol.TaskStatus{}, k.statuses...)})))
			for _, c := range s.openCalls[callsBefore:] {
				if c.Path == protocol.PathTxn || c.Path == protocol.PathCommands {
					t.Errorf("copy %d when %s: caused the call %s %s", i, later, c.Path, c.Body)
				}
			}
			for _, o := range s.answer().Commands {
				if o.Verb != protocol.VerbKill {
					t.Errorf("copy %d when %s: the answer commands %+v", i, later, o)
				}
			}
		}
	}
}

// TestASiteThatCantBeReachedAfterARestartIsKept guards against the deletion of a whole site. All
// controllers crashed, and their machines could not be reached for a while. The new incarnations
// owned no machine yet, so the condition that most of their own machines are heard was trivially
// true, and after two and a half heartbeat periods all machines were drained.
func TestASiteThatCantBeReachedAfterARestartIsKept(t *testing.T) {
	for _, v := range []struct {
		name  string
		share int  // how many of every four machines can't be reached
		kept  bool // no machine may be drained
	}{{"all of them", 4, true}, {"a few of them", 1, false}} {
		s := newSim(t, 43_200, 0)
		for k := range s.cloud.capacity {
			s.cloud.capacity[k] = map[string]int{"small": 6}[k.machineType]
		}
		s.after(time.Second, func() {
			for i := range 16 {
				s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", i), Class: "svc", Team: "blue", Shape: job.Service, Priority: job.Production, Tasks: 2,
					CPUs: 2, GPUs: 1, MemoryGB: 8, MachineTypes: []string{"small"}}, 0, 0)
			}
		})
		s.run(60 * time.Second)
		unreachable := 0
		for i, w := range s.cloud.sortedMachines() {
			if w.up && i%4 < v.share {
				w.hungUntil = s.now + 15*time.Second
				unreachable++
			}
		}
		for _, c := range s.controllers {
			c.crash(time.Second)
		}
		s.run(75 * time.Second)
		drained := 0
		for _, reason := range s.state.drainReasons {
			if reason == drainSilent {
				drained++
			}
		}
		if unreachable == 0 || (drained == 0) != v.kept {
			t.Errorf("%s: %d of %d unreachable machines were drained as silent", v.name, drained, unreachable)
		}
		s.run(2 * time.Minute)
		s.reportViolations(t)
	}
}
