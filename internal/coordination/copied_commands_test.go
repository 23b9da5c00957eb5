package coordination

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// copiedCommandsDay is the day on which copies of direct commands that were executed and answered arrive seconds later,
// while attempts end, move, are cancelled and preempted, controllers and machines are back within a second, and workers
// change hands alone and by the group.
func copiedCommandsDay() faultDay {
	return faultDay{
		name:     "copies of commands that were executed and answered arrive while their attempts end and move",
		duration: 90 * time.Second,
		setup:    func(s *sim) { s.faults.copiedCommands = 0.3 },
		inject: func(s *sim) {
			for i, at := range []time.Duration{0, 30, 60} {
				s.after(at*time.Second, func() {
					n := s.busiestController()
					n.crash(s.randomMillis(50, 900)) // its claims are adopted
					s.forSomeWorkers(0.1, (*simWorker).restart)
					for j := range 6 { // lower work is preempted for these
						s.submit(&job.Spec{ID: fmt.Sprintf("wk-72%02d%02d", i, j), Class: "svc", Team: "blue", Shape: job.Service, Priority: job.Production, Tasks: 1, CPUs: 4, GPUs: 2, MemoryGB: 8}, 0, 25*time.Second)
					}
					s.cancelShare(0.2, 10*time.Second, nil)
					s.after(8*time.Second, func() { s.anyController().unreachableUntil["workers"] = s.now + 12*time.Second }) // its workers change hands
					s.after(22*time.Second, func() { s.busiestController().crash(6 * time.Second) })                          // its group fails over
				})
			}
		},
		occurrences: func(s *sim) int { return s.faultCounts.copiedCommands / 20 },
		check: func(t *testing.T, s *sim) {
			if s.faultCounts.revivedAttempts > 0 {
				t.Errorf("copies of commands started %d attempts again", s.faultCounts.revivedAttempts)
			}
		},
		defect:    func(s *sim) { s.defects.copiesIgnoreTokens = true },
		violation: "ran_twice",
	}
}

// copiedRequestsDay is the day on which copies of users' requests, of calls to the state service and the cloud, of reports
// and of messages between controllers arrive seconds later, while controllers crash and users cancel.
func copiedRequestsDay() faultDay {
	return faultDay{
		name:     "copies of requests that were carried out arrive, and of messages between controllers",
		duration: 90 * time.Second,
		setup:    func(s *sim) { s.faults.copiedRequests, s.faults.duplicateHeartbeats = 0.3, 0.2 },
		inject: func(s *sim) {
			for _, at := range []time.Duration{0, 30, 60} {
				s.after(at*time.Second, func() {
					s.busiestController().crash(s.randomMillis(50, 900))
					s.cancelShare(0.2, 10*time.Second, nil)
					s.after(15*time.Second, func() { s.anyController().crash(7 * time.Second) })
				})
			}
			s.after(80*time.Second, func() { s.faults.duplicateHeartbeats = 0 })
		},
		occurrences: func(s *sim) int { return s.faultCounts.copiedRequests / 200 },
		defect:      func(s *sim) { s.state.ignoresCompares = true },
		violation:   "",
	}
}

// TestCopiedCommandsStartNothing guards against tasks that ran twice, and tasks of cancelled jobs that ran, because a copy
// of an answered launch started an attempt again that its worker had been told to forget.
func TestCopiedCommandsStartNothing(t *testing.T) { simulateCopyDay(t, copiedCommandsDay()) }

// TestCopiedRequestsBreakNothing guards against rules that break when requests other than commands, or messages between
// controllers, arrive once more after they were handled.
func TestCopiedRequestsBreakNothing(t *testing.T) { simulateCopyDay(t, copiedRequestsDay()) }

// simulateCopyDay simulates a day with copies, with 3 and 5 controllers and several seeds.
func simulateCopyDay(t *testing.T, day faultDay) {
	runSeeds(t, 0, 8, func(t *testing.T, seed uint64) {
		day.simulate(t, 3+2*int(seed%2), 48_000+seed)
	})
}

// TestAnAttemptIsForgottenAfterItsLaunchIsVoid guards against a forget under the token under which the attempt was launched
// directly: the launch was answered, and a copy of it that arrives after the forget starts the attempt again.
func TestAnAttemptIsForgottenAfterItsLaunchIsVoid(t *testing.T) {
	for _, v := range []struct {
		name  string
		cause string
		after protocol.WatchEvent // what becomes of the attempt's record
	}{
		{"ended", protocol.CauseError, pageEvent(140, job.Task{Attempt: 1, Failures: 1})},
		{"moved", protocol.CauseStopped, pageEvent(140, job.Task{Phase: job.Bound, Attempt: 2, Machine: "i-000002", Epoch: 1})},
		{"cancelled", protocol.CauseStopped, protocol.WatchEvent{Put: keyJob + "wk-700000",
			Value: encode(storedJob{singleServiceSpec(), job.Cancelled, 1, "n0"}), ModRevision: 140}},
	} {
		t.Run(v.name, func(t *testing.T) {
			s := newScript(t)
			s.driveToOwnedMachine(pageEvent(125, boundTask(1)))
			launch := s.launchCall()
			s.reply(protocol.PathCommands, "", 200, protocol.Heartbeat{Worker: "i-000001", AgentEpoch: 1, Sequence: 3, FencingToken: launch.FencingToken,
				Tasks: []protocol.TaskStatus{{Task: "wk-700000/0", Attempt: 1, Status: protocol.TaskRunning}}})
			events := []protocol.WatchEvent{v.after}
			if v.after.Put != pageKey("wk-700000", 0) { // the release follows the cancellation
				events = append(events, pageEvent(141, job.Task{Attempt: 1}))
			}
			s.advance(time.Second)
			s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Revision: 145, Events: events})
			shown := launch.FencingToken
			for sequence := uint64(4); sequence < 8; sequence++ {
				s.now += 500 * time.Millisecond
				answer := s.sendHeartbeat(shown, sequence, protocol.TaskStatus{Task: "wk-700000/0", Attempt: 1, Status: protocol.TaskEnded, Cause: v.cause})
				if answer.FencingToken < shown {
					t.Fatalf("a heartbeat that shows token %d was answered with %+v", shown, answer)
				}
				for _, command := range answer.Commands {
					if command.Verb != protocol.VerbForget {
						continue
					}
					if answer.FencingToken <= launch.FencingToken {
						t.Errorf("the attempt is forgotten although its worker still accepts token %d of its launch", launch.FencingToken)
					}
					return
				}
				shown = answer.FencingToken
			}
			t.Error("the attempt is never forgotten")
		})
	}
}

// TestARestartForgetsUnderANewerTokenThanItsPredecessors guards against copies of the launches of an earlier incarnation, also
// one of a version that counted answered launches as spent and never raised a token. The new incarnation adopts the claim,
// and the attempt that has ended meanwhile is forgotten under a token that the earlier one can't have used.
func TestARestartForgetsUnderANewerTokenThanItsPredecessors(t *testing.T) {
	const (
		claimToken = 80
		loadedAt   = 100 // the revision that the new incarnation reads: no earlier token is above it
	)
	ended := protocol.TaskStatus{Task: "wk-700000/0", Attempt: 1, Status: protocol.TaskEnded, Cause: protocol.CauseError}
	for _, v := range []struct {
		name       string
		shown      uint64 // the token that the worker shows
		firstToken uint64 // of the first answer
	}{
		{"the token was never raised", claimToken, loadedAt},
		{"the earlier incarnation raised it", 90, 90},
	} {
		t.Run(v.name, func(t *testing.T) {
			s := newScript(t)
			s.advance(100 * time.Millisecond)
			s.reply(protocol.PathKeys+"?", "", 200, protocol.KeyValuePage{Revision: loadedAt, KeyValues: []protocol.KeyValue{
				{Key: keyClaim + "i-000001", Value: encode(claimRecord{"n1", 3, "10.1.0.1:9000", "small", "a", false, 1}), ModRevision: claimToken},
				{Key: keyJob + "wk-700000", Value: encode(storedJob{singleServiceSpec(), job.Open, 1, "n0"}), ModRevision: 70}}})
			s.advance(200 * time.Millisecond)
			first := s.sendHeartbeat(v.shown, 5, ended)
			if first.FencingToken != v.firstToken || len(first.Commands) > 0 || s.core.Stats.Adopted != 1 {
				t.Fatalf("the first heartbeat was answered with %+v, %d claims adopted", first, s.core.Stats.Adopted)
			}
			s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Revision: 130})
			second := s.sendHeartbeat(first.FencingToken, 6, ended)
			if second.FencingToken <= loadedAt || len(second.Commands) != 1 || second.Commands[0].Verb != protocol.VerbForget {
				t.Errorf("the second heartbeat was answered with %+v, want a forget under a token above %d", second, loadedAt)
			}
		})
	}
}

// TestAPeerTellsARaisedTokenFromALaterOwners guards against a controller that takes the workers of a peer for those of a later
// owner because the peer has raised their token, and claims them while the peer restarts.
func TestAPeerTellsARaisedTokenFromALaterOwners(t *testing.T) {
	s := newScript(t)
	s.driveToOwnedMachine()
	m := s.core.machine("i-000001") // its claim has token 120, and the mirror has reached 130
	for _, v := range []struct {
		shown uint64
		want  bool
	}{{119, false}, {120, true}, {125, true}, {130, true}, {131, false}} {
		if got := s.core.showsOwnersToken(m, &protocol.Heartbeat{FencingToken: v.shown}); got != v.want {
			t.Errorf("token %d: counts as the owner's: %v, want %v", v.shown, got, v.want)
		}
	}
}

// launchCall returns the body of the open direct call that launches a task.
func (s *script) launchCall() protocol.DirectCommands {
	s.t.Helper()
	if s.countLaunches() != 1 {
		s.t.Fatal("the attempt was not launched directly")
	}
	var direct protocol.DirectCommands
	for _, call := range s.openCalls {
		if call.Path == protocol.PathCommands {
			if err := json.Unmarshal(call.Body, &direct); err != nil {
				s.t.Fatal(err)
			}
		}
	}
	return direct
}
