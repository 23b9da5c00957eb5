package coordination

import (
	"strings"
	"testing"
	"time"

	"silvergate/internal/connectivity"
	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/peer"
	"silvergate/internal/protocol"
)

// launching is a script whose controller, n1, has taken i-000001 over, with a task bound there
// in session 1, launched directly and not yet answered.
func launching(t *testing.T) *script {
	s := newScript(t)
	s.held(protocol.WatchEvent{Put: pageKey("wk-700000", 0), Value: writePage([]job.Task{{Phase: job.Bound, Attempt: 1, Machine: "i-000001", Epoch: 1}}), ModRevision: 125})
	if s.launches() != 1 {
		t.Fatalf("%d direct launches", s.launches())
	}
	return s
}

// TestNoAnswerWhileACancelledLaunchMayCome guards the cancel horizon: a report that came between a
// direct launch and its time-out was answered under the old token though the job had been
// cancelled meanwhile, which gave the launch another lease to be carried out in.
func TestNoAnswerWhileACancelledLaunchMayCome(t *testing.T) {
	load := protocol.TaskStatus{Task: "wk-700000/0", Attempt: 1, Status: protocol.TaskPulling}
	for _, v := range []struct {
		name   string
		vouch  []string
		loads  []protocol.TaskStatus
		answer bool
	}{
		{"not cancelled", nil, nil, true},
		{"cancelled, and the launch has not come", []string{"wk-700000"}, nil, false},
		{"cancelled, and the launch has come", []string{"wk-700000"}, []protocol.TaskStatus{load}, true},
	} {
		s := launching(t)
		s.take(s.c.Peer(s.clock(), "n0", peer.Message{CancellationReply: &peer.CancellationReply{Cancelled: v.vouch}}))
		s.at += 300 * time.Millisecond
		a := s.report(120, 3, v.loads...)
		if (a.FencingToken == 120) != v.answer {
			t.Errorf("%s: answered with %+v", v.name, a)
		}
		if !v.answer { // a new token settles it
			s.reply(protocol.PathTxn, keyClaim, 200, protocol.TxnResult{Revision: 130})
			if a := s.answer(); a.FencingToken != 130 {
				t.Errorf("%s: after the claim answered with %+v", v.name, a)
			}
		}
	}
}

// TestALaterSessionEndsWhatADeafMachineRan guards against tasks that stayed bound to a machine that hears
// nobody: its reports came with an old token, nothing in them was believed, and its lease had
// ended everything long ago.
func TestALaterSessionEndsWhatADeafMachineRan(t *testing.T) {
	for _, epoch := range []uint64{1, 2} {
		s := launching(t)
		s.reply(protocol.PathCommands, protocol.VerbLaunch, 200, protocol.Heartbeat{Worker: "i-000001", AgentEpoch: 1, Sequence: 3, FencingToken: 120,
			Tasks: []protocol.TaskStatus{{Task: "wk-700000/0", Attempt: 1, Status: protocol.TaskRunning}}})
		// Another controller claims it and the worker does not hear of it; it comes back here.
		s.pass(time.Second)
		s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Revision: 140, Events: []protocol.WatchEvent{{Put: keyClaim + "i-000001",
			Value: encode(claimRecord{"n0", 3, "10.1.0.1:9000", "small", "a", false, 1}), ModRevision: 140}}})
		s.next++
		s.ans = nil
		s.take(s.c.Request(s.clock(), s.next, "POST", protocol.PathHeartbeat, encode(protocol.Heartbeat{Worker: "i-000001", Address: "10.1.0.1:9000",
			MachineType: "small", Zone: "a", AgentEpoch: epoch, Sequence: 9, FencingToken: 120, Tasks: []protocol.TaskStatus{}})))
		s.reply(protocol.PathTxn, keyClaim, 200, protocol.TxnResult{Revision: 150})
		if a := s.answer(); a.FencingToken != 150 {
			t.Fatalf("session %d: answered with %+v", epoch, a)
		}
		s.pass(time.Second)
		released := false
		for _, k := range s.todo {
			released = released || k.Path == protocol.PathTxn && strings.Contains(string(k.Body), pageKey("wk-700000", 0))
		}
		if released != (epoch == 2) {
			t.Errorf("session %d: released %v on a report that shows an old token", epoch, released)
		}
	}
}

// TestWorkersAreSentToTheirHolder guards against workers that lost one answer in an outage and their lease on
// the way round, and against a claim by each controller for each machine that is deaf.
func TestWorkersAreSentToTheirHolder(t *testing.T) {
	for _, v := range []struct {
		name    string
		baton   uint64        // what the worker shows; its claim is 110
		after   time.Duration // since the claim came to be known
		beat    bool          // of the holder
		deaf    bool          // it says that it hears no workers
		outage  bool
		home    bool
		repeats bool          // it comes once more
		busy    bool          // it has a task
		pause   time.Duration // before that
	}{
		{"an outage", 110, 6 * time.Second, true, false, true, true, false, true, 0},
		{"an outage, and it comes back at once", 110, 6 * time.Second, true, false, true, false, true, true, 0},
		{"an outage, and it comes back when its holder did not answer", 110, 6 * time.Second, true, false, true, false, true, true, 5 * time.Second},
		{"an outage, and nobody has heard of its holder", 110, 6 * time.Second, false, false, true, false, false, true, 0},
		{"an outage, and its holder hears no workers", 110, 6 * time.Second, true, true, true, false, false, true, 0},
		{"no outage: the holder did not answer it", 110, time.Second, true, false, false, false, false, true, 0},
		{"it has not heard of its new holder", 50, time.Second, true, false, false, true, false, false, 0},
		{"nor has it, and its lease may run out", 50, time.Second, true, false, false, false, false, true, 0},
		{"nor for a third of its lease", 50, 7 * time.Second, true, false, false, false, false, false, 0},
	} {
		s := newScript(t)
		s.pass(100 * time.Millisecond)
		s.reply(protocol.PathKeys+"?", "", 200, protocol.KeyValuePage{Revision: 120, KeyValues: []protocol.KeyValue{{Key: keyClaim + "i-000001",
			Value: encode(claimRecord{"n0", 3, "10.1.0.1:9000", "small", "b", false, 1}), ModRevision: 110}}})
		for end := s.at + v.after; s.at < end; {
			s.pass(200 * time.Millisecond)
			if !v.outage {
				for _, k := range s.todo {
					if strings.HasPrefix(k.Path, protocol.PathWatch) {
						s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Revision: 120})
						break
					}
				}
			}
		}
		beat := func() {
			s.take(s.c.Peer(s.clock(), "n0", peer.Message{Heartbeat: &peer.Heartbeat{MirrorAgeMS: v.after.Milliseconds(), Links: []connectivity.LinkReport{{Node: "n0", HearsNoWorkers: v.deaf,
				MirrorAgeMS: v.after.Milliseconds(), StateServiceMS: v.after.Milliseconds(), HearsPeers: []string{"n1"}}}}}))
		}
		if v.beat {
			beat()
		}
		n := 1
		if v.repeats {
			n = 2
		}
		status, loads := 0, []protocol.TaskStatus{}
		if v.busy {
			loads = append(loads, protocol.TaskStatus{Task: "wk-700000/0", Attempt: 1, Status: protocol.TaskRunning})
		}
		for i := range n {
			if i > 0 && v.pause > 0 {
				s.pass(v.pause)
				beat()
			}
			s.next++
			s.ans = nil
			s.take(s.c.Request(s.clock(), s.next, "POST", protocol.PathHeartbeat, encode(protocol.Heartbeat{Worker: "i-000001", Address: "10.1.0.1:9000",
				MachineType: "small", Zone: "b", AgentEpoch: 1, Sequence: 9, FencingToken: v.baton, Tasks: loads})))
			status = 0
			for _, a := range s.ans {
				if a.ID == s.next {
					status = a.Status
				}
			}
		}
		if (status == 421) != v.home {
			t.Errorf("%s: answered with status %d", v.name, status)
		}
	}
}

// TestAnOlderPublicationIsWrittenOver guards against a publication without an answer that is carried out
// after newer ones: it has no condition, and would stay until the list's length changes.
func TestAnOlderPublicationIsWrittenOver(t *testing.T) {
	s := newSim(t, 41_000, 0)
	s.run(30 * time.Second)
	n := s.controllers[0]
	old := encode(member{n.core.incarnation - 1, 99, 0, latestFormat})
	s.state.revision++
	s.state.apply(keyMember+n.name, old, n.core.membership.lease, s.state.revision)
	s.run(40 * time.Second)
	if got := s.state.keys[keyMember+n.name].value; string(got) == string(old) {
		t.Errorf("ten seconds later the record is still %s", got)
	}
}

// TestAControllerThatIsCutOffFromAllLeavesTheBalancer judges /up: without the state service and without the
// others a controller is of no use to users, and an outage that all see is no such case.
func TestAControllerThatIsCutOffFromAllLeavesTheBalancer(t *testing.T) {
	for _, v := range []struct {
		name   string
		spoil  func(s *sim, n *simController)
		status int
	}{
		{"well", func(*sim, *simController) {}, 200},
		{"no state service and no peers", func(s *sim, n *simController) {
			n.unreachableUntil["state"], n.unreachableUntil["peers"] = time.Hour, time.Hour
		}, 503},
		{"no peers", func(s *sim, n *simController) { n.unreachableUntil["peers"] = time.Hour }, 200},
		{"an outage", func(s *sim, n *simController) { s.state.downUntil = time.Hour }, 200},
		{"an outage, and no peers", func(s *sim, n *simController) { s.state.downUntil, n.unreachableUntil["peers"] = time.Hour, time.Hour }, 200},
	} {
		s := newSim(t, 41_100, 0)
		s.run(20 * time.Second)
		n := s.controllers[0]
		v.spoil(s, n)
		s.run(28 * time.Second)
		got := 0
		n.request("users", "GET", protocol.PathHealth, nil, func(st int, _ []byte) { got = st })
		s.run(29 * time.Second)
		if got != v.status {
			t.Errorf("%s: /up says %d, want %d", v.name, got, v.status)
		}
	}
}

// TestOutlivedNeedsALaterSession is the table of fencing.Outlived.
func TestOutlivedNeedsALaterSession(t *testing.T) {
	for shift := uint64(1); shift <= 3; shift++ {
		act, kind := fencing.JudgeEarlierEpoch(fencing.Heartbeat{Epoch: shift}, fencing.Attempt{Epoch: 2})
		if (act == fencing.Release && kind == fencing.NewerEpoch) != (shift == 3) {
			t.Errorf("session %d: %v %v", shift, act, kind)
		}
	}
}

// TestAnOvertakenReportIsAnsweredWithStops guards the cancel horizon: the answer to a report that a direct launch
// had overtaken renewed the lease and stopped only what the report listed, which was before the launch.
func TestAnOvertakenReportIsAnsweredWithStops(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		s := launching(t)
		s.reply(protocol.PathCommands, protocol.VerbLaunch, 200, protocol.Heartbeat{Worker: "i-000001", AgentEpoch: 1, Sequence: 4, FencingToken: 120,
			Tasks: []protocol.TaskStatus{{Task: "wk-700000/0", Attempt: 1, Status: protocol.TaskPulling}}})
		if cancelled {
			s.take(s.c.Peer(s.clock(), "n0", peer.Message{CancellationReply: &peer.CancellationReply{Cancelled: []string{"wk-700000"}}}))
		}
		a := s.report(120, 3) // sent before the launch came
		if a.FencingToken != 120 || len(a.Commands) > 0 != cancelled || cancelled && (a.Commands[0].Verb != protocol.VerbKill || a.Commands[0].Task != "wk-700000/0" || a.Commands[0].Attempt != 1) {
			t.Errorf("cancelled %v: answered with %+v", cancelled, a)
		}
	}
}

// TestACancellationOnceKnownStays guards against reads that overtake one another: a peer named a cancelled job, and
// then an answer of the state service came that had been given before the cancellation. The job counted as open
// again, the peer's word went on being a proof that no cancellation is unknown, and the worker was answered without a stop.
func TestACancellationOnceKnownStays(t *testing.T) {
	older := protocol.WatchEvent{Put: keyJob + "wk-700000", Value: encode(storedJob{lateSpec(), job.Open, 1, "n0"}), ModRevision: 135}
	load := protocol.TaskStatus{Task: "wk-700000/0", Attempt: 1, Status: protocol.TaskRunning}
	for _, v := range []struct {
		name    string
		unknown bool // the job's record had not been read when the peer named it
		named   bool
	}{{"known, and not cancelled", false, false}, {"known", false, true}, {"not known", true, true}} {
		s := newScript(t)
		here := protocol.WatchEvent{Put: pageKey("wk-700000", 0), Value: writePage([]job.Task{{Phase: job.Bound, Attempt: 1, Machine: "i-000001", Epoch: 1}}), ModRevision: 125}
		if v.unknown { // the machine is ours, and the records are those of before the job
			s.pass(100 * time.Millisecond)
			s.reply(protocol.PathKeys+"?", "", 200, protocol.KeyValuePage{Revision: 100})
			s.pass(200 * time.Millisecond)
			s.report(0, 1)
			s.reply(protocol.PathTxn, keyClaim, 200, protocol.TxnResult{Revision: 120})
			s.at += 500 * time.Millisecond
			s.report(120, 2)
			s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Revision: 120})
		} else {
			s.held(here)
			s.reply(protocol.PathCommands, "", 200, protocol.Heartbeat{Worker: "i-000001", AgentEpoch: 1, Sequence: 3, FencingToken: 120, Tasks: []protocol.TaskStatus{load}})
		}
		s.pass(1200 * time.Millisecond) // the next watch is opened, and its answer is held up
		if v.named {
			s.take(s.c.Peer(s.clock(), "n0", peer.Message{CancellationReply: &peer.CancellationReply{Cancelled: []string{"wk-700000"}, AskedAt: s.at, Incarnation: 7}}))
		}
		s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Revision: 136, Events: []protocol.WatchEvent{here, older}})
		s.at += 500 * time.Millisecond
		stopped := false
		for _, o := range s.report(120, 9, load).Commands {
			stopped = stopped || o.Verb == protocol.VerbKill && o.Task == "wk-700000/0"
		}
		if stopped != v.named {
			t.Errorf("%s: stopped %v by the next answer", v.name, stopped)
		}
	}
}
