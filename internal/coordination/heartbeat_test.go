package coordination

import (
	"strings"
	"testing"
	"time"

	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/peer"
	"silvergate/internal/protocol"
)

// boundTaskChange returns a watch event that binds wk-700000/0 to i-000001 in agent epoch 1.
func boundTaskChange() protocol.WatchEvent {
	tasks := []job.Task{{Phase: job.Bound, Attempt: 1, Machine: "i-000001", Epoch: 1}}
	return protocol.WatchEvent{Put: pageKey("wk-700000", 0), Value: writePage(tasks), ModRevision: 125}
}

// firstAttemptStatus returns an entry of a heartbeat's task list for the first attempt of
// wk-700000/0.
func firstAttemptStatus(status protocol.TaskState) protocol.TaskStatus {
	return protocol.TaskStatus{Task: "wk-700000/0", Attempt: 1, Status: status}
}

// launchReply returns a reply to the direct launch of newScriptWithLaunch.
func launchReply(sequence uint64, status protocol.TaskState) protocol.Heartbeat {
	return protocol.Heartbeat{Worker: "i-000001", AgentEpoch: 1, Sequence: sequence, FencingToken: 120, Tasks: []protocol.TaskStatus{firstAttemptStatus(status)}}
}

// cancellationReply returns the message with which a peer reports wk-700000 as cancelled.
func cancellationReply() peer.Message {
	return peer.Message{CancellationReply: &peer.CancellationReply{Cancelled: []string{"wk-700000"}}}
}

// newScriptWithLaunch returns a script whose controller, n1, owns i-000001 and has directly launched
// a task that is bound there in agent epoch 1. The launch has no reply yet.
func newScriptWithLaunch(t *testing.T) *script {
	t.Helper()
	s := newScript(t)
	s.driveToOwnedMachine(boundTaskChange())
	if s.countLaunches() != 1 {
		t.Fatalf("%d direct launches were sent, want 1", s.countLaunches())
	}
	return s
}

// TestNoAnswerWhileACancelledLaunchMayCome guards the cancel horizon. A heartbeat arrived between a
// direct launch and the timeout of that call, after the job had been cancelled. It was answered
// under the old token, so the launch could still be executed for another lease.
func TestNoAnswerWhileACancelledLaunchMayCome(t *testing.T) {
	for _, v := range []struct {
		name      string
		cancelled []string
		tasks     []protocol.TaskStatus
		answered  bool // the heartbeat is answered under the old token
	}{
		{"not cancelled", nil, nil, true},
		{"cancelled, and the launch has not come", []string{"wk-700000"}, nil, false},
		{"cancelled, and the launch has come", []string{"wk-700000"}, []protocol.TaskStatus{firstAttemptStatus(protocol.TaskPulling)}, true},
	} {
		t.Run(v.name, func(t *testing.T) {
			s := newScriptWithLaunch(t)
			s.collect(s.core.Peer(s.clock(), "n0", peer.Message{CancellationReply: &peer.CancellationReply{Cancelled: v.cancelled}}))
			s.now += 300 * time.Millisecond
			answer := s.sendHeartbeat(120, 3, v.tasks...)
			if (answer.FencingToken == 120) != v.answered {
				t.Errorf("the heartbeat was answered with %+v", answer)
			}
			if v.answered {
				return
			}
			// Under a new token the worker refuses the late launch, and is answered.
			s.reply(protocol.PathTxn, keyClaim, 200, protocol.TxnResult{Revision: 130})
			if answer := s.answer(); answer.FencingToken != 130 {
				t.Errorf("after the claim the heartbeat was answered with %+v", answer)
			}
		})
	}
}

// TestALaterEpochReleasesTasksOfAnUnresponsiveMachine guards against tasks that stay bound to a
// machine that receives no answers. Its heartbeats show an old token, so they are not trusted,
// although the worker killed all its tasks when its lease expired.
func TestALaterEpochReleasesTasksOfAnUnresponsiveMachine(t *testing.T) {
	for _, v := range []struct {
		name     string
		epoch    uint64
		released bool
	}{
		{"the epoch of the task", 1, false},
		{"a later epoch", 2, true},
	} {
		t.Run(v.name, func(t *testing.T) {
			s := newScriptWithLaunch(t)
			s.reply(protocol.PathCommands, protocol.VerbLaunch, 200, launchReply(3, protocol.TaskRunning))
			// Another controller claims the machine, the worker does not learn of that, and sends
			// its next heartbeat here.
			s.advance(time.Second)
			claim := claimRecord{Owner: "n0", Incarnation: 3, Address: "10.1.0.1:9000", MachineType: "small", Zone: "a", Epoch: 1}
			s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Revision: 140, Events: []protocol.WatchEvent{{Put: keyClaim + "i-000001", Value: encode(claim), ModRevision: 140}}})
			s.lastRequestID++
			s.responses = nil
			heartbeat := protocol.Heartbeat{Worker: "i-000001", Address: "10.1.0.1:9000", MachineType: "small", Zone: "a",
				AgentEpoch: v.epoch, Sequence: 9, FencingToken: 120, Tasks: []protocol.TaskStatus{}}
			s.collect(s.core.Request(s.clock(), s.lastRequestID, "POST", protocol.PathHeartbeat, encode(heartbeat)))
			s.reply(protocol.PathTxn, keyClaim, 200, protocol.TxnResult{Revision: 150})
			if answer := s.answer(); answer.FencingToken != 150 {
				t.Fatalf("the heartbeat was answered with %+v", answer)
			}
			s.advance(time.Second)
			released := false
			for _, call := range s.openCalls {
				released = released || call.Path == protocol.PathTxn && strings.Contains(string(call.Body), pageKey("wk-700000", 0))
			}
			if released != v.released {
				t.Errorf("released %v on a heartbeat that shows an old token, want %v", released, v.released)
			}
		})
	}
}

// TestReleaseNeedsALaterEpoch judges heartbeats of several epochs against a task of epoch 2.
func TestReleaseNeedsALaterEpoch(t *testing.T) {
	for epoch := uint64(1); epoch <= 3; epoch++ {
		action, proof := fencing.JudgeEarlierEpoch(fencing.Heartbeat{Epoch: epoch}, fencing.Attempt{Epoch: 2})
		released := action == fencing.Release && proof == fencing.NewerEpoch
		if released != (epoch == 3) {
			t.Errorf("epoch %d: action %v, proof %v", epoch, action, proof)
		}
	}
}

// TestAnOvertakenHeartbeatIsAnsweredWithStops guards the cancel horizon. A heartbeat that a direct
// launch had overtaken did not list the launched task. Its answer renewed the lease, but stopped
// only the tasks that the heartbeat listed.
func TestAnOvertakenHeartbeatIsAnsweredWithStops(t *testing.T) {
	for _, v := range []struct {
		name      string
		cancelled bool
	}{{"not cancelled", false}, {"cancelled", true}} {
		t.Run(v.name, func(t *testing.T) {
			s := newScriptWithLaunch(t)
			s.reply(protocol.PathCommands, protocol.VerbLaunch, 200, launchReply(4, protocol.TaskPulling))
			if v.cancelled {
				s.collect(s.core.Peer(s.clock(), "n0", cancellationReply()))
			}
			answer := s.sendHeartbeat(120, 3) // sent before the launch arrived
			if answer.FencingToken != 120 || len(answer.Commands) > 0 != v.cancelled {
				t.Fatalf("the heartbeat was answered with %+v", answer)
			}
			if !v.cancelled {
				return
			}
			stop := answer.Commands[0]
			if stop.Verb != protocol.VerbKill || stop.Task != "wk-700000/0" || stop.Attempt != 1 {
				t.Errorf("the heartbeat was answered with %+v", answer)
			}
		})
	}
}

// TestEveryAnswerStopsWhatIsCancelled guards against cancelled tasks that kept running (found with
// seed 5515 of TestRulesHoldWhenAZoneIsCutOff). A heartbeat was not trusted because the mirror had
// not reached the claim. It was answered without commands, which renewed the lease, for as long
// as the watch was late.
func TestEveryAnswerStopsWhatIsCancelled(t *testing.T) {
	for _, v := range []struct {
		name      string
		status    job.Status // in the job's record; "": there is no record
		cancelled bool       // reported as cancelled by a peer
		kills     int        // kill commands in the answer
	}{
		{"cancelled by the records", job.Cancelled, false, 1},
		{"done by the records", job.Done, false, 1},
		{"open", job.Open, false, 0},
		{"cancelled by a peer's reply", job.Open, true, 1},
		{"not on record, cancelled by a peer's reply", "", true, 1},
	} {
		t.Run(v.name, func(t *testing.T) {
			s := newScript(t)
			s.advance(100 * time.Millisecond)
			page := protocol.KeyValuePage{Revision: 100}
			if v.status != "" {
				page.KeyValues = []protocol.KeyValue{{Key: keyJob + "wk-700000", Value: encode(storedJob{singleServiceSpec(), v.status, 1, "n0"}), ModRevision: 90}}
			}
			s.reply(protocol.PathKeys+"?", "", 200, page)
			if v.cancelled {
				s.collect(s.core.Peer(s.clock(), "n0", cancellationReply()))
			}
			running := firstAttemptStatus(protocol.TaskRunning)
			s.sendHeartbeat(0, 1, running)
			s.reply(protocol.PathTxn, keyClaim, 200, protocol.TxnResult{Revision: 120}) // the watch does not reach this revision
			s.now += 500 * time.Millisecond
			answer := s.sendHeartbeat(120, 2, running)
			if answer.FencingToken != 120 || len(answer.Commands) != v.kills || v.kills > 0 && answer.Commands[0].Verb != protocol.VerbKill {
				t.Errorf("answered with %+v, want %d kills", answer, v.kills)
			}
		})
	}
}

// TestACancellationOnceKnownStays guards against reads that arrive out of order. A peer reported a
// job as cancelled, and afterwards an answer of the state service arrived that was older than the
// cancellation. The job counted as open again, while the peer's reply still counted as proof that
// no cancellation was unknown, so the worker was answered without a stop.
func TestACancellationOnceKnownStays(t *testing.T) {
	older := protocol.WatchEvent{Put: keyJob + "wk-700000", Value: encode(storedJob{singleServiceSpec(), job.Open, 1, "n0"}), ModRevision: 135}
	running := firstAttemptStatus(protocol.TaskRunning)
	for _, v := range []struct {
		name    string
		unknown bool // the job's record had not been read when the peer reported the job
		named   bool // the peer reports the job as cancelled
	}{
		{"known, and not cancelled", false, false},
		{"known", false, true},
		{"not known", true, true},
	} {
		t.Run(v.name, func(t *testing.T) {
			s := newScript(t)
			if v.unknown {
				s.claimBeforeJob()
			} else {
				s.driveToOwnedMachine(boundTaskChange())
				s.reply(protocol.PathCommands, "", 200, launchReply(3, protocol.TaskRunning))
			}
			s.advance(1200 * time.Millisecond) // the next watch is opened, and its answer is delayed
			if v.named {
				message := cancellationReply()
				message.CancellationReply.AskedAt = s.now
				message.CancellationReply.Incarnation = 7
				s.collect(s.core.Peer(s.clock(), "n0", message))
			}
			s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Revision: 136, Events: []protocol.WatchEvent{boundTaskChange(), older}})
			s.now += 500 * time.Millisecond
			stopped := false
			for _, command := range s.sendHeartbeat(120, 9, running).Commands {
				stopped = stopped || command.Verb == protocol.VerbKill && command.Task == "wk-700000/0"
			}
			if stopped != v.named {
				t.Errorf("the task was stopped by the next answer: %v, want %v", stopped, v.named)
			}
		})
	}
}

// claimBeforeJob makes the controller claim i-000001 when its mirror contains no job yet.
func (s *script) claimBeforeJob() {
	s.advance(100 * time.Millisecond)
	s.reply(protocol.PathKeys+"?", "", 200, protocol.KeyValuePage{Revision: 100})
	s.advance(200 * time.Millisecond)
	s.sendHeartbeat(0, 1)
	s.reply(protocol.PathTxn, keyClaim, 200, protocol.TxnResult{Revision: 120})
	s.now += 500 * time.Millisecond
	s.sendHeartbeat(120, 2)
	s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Revision: 120})
}
