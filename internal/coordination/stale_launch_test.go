package coordination

import (
	"strings"
	"testing"
	"time"

	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// TestNothingIsLaunchedFromThePast guards against a task that ran twice in a random run of
// shiftbook-akl-grown. A controller whose watch was answered late had claimed a worker, and the
// worker showed the fencing token. Then the watch delivered an old event that bound a task to that
// machine. The binding was from before the claim: the attempt's end had since been committed and
// forgotten, and the task ran elsewhere. The controller sent a launch at once, which started the
// task again.
func TestNothingIsLaunchedFromThePast(t *testing.T) {
	here := boundTask(1)
	there := job.Task{Phase: job.Bound, Attempt: 2, Machine: "i-000002", Epoch: 1}
	for _, v := range []struct {
		name     string
		revision uint64 // the revision that the watch reaches
		events   []protocol.WatchEvent
		launches int // launches that should be sent
	}{
		{"a watch answered late", 110, []protocol.WatchEvent{pageEvent(105, here)}, 0},
		{"all since in one answer", 130, []protocol.WatchEvent{pageEvent(105, here), pageEvent(115, there)}, 0},
		{"bound under our claim", 130, []protocol.WatchEvent{pageEvent(125, here)}, 1},
		{"bound under our claim and gone", 130, []protocol.WatchEvent{pageEvent(125, here), pageEvent(128, there)}, 0},
		{"cancelled since", 130, []protocol.WatchEvent{pageEvent(125, here),
			{Put: keyJob + "wk-700000", Value: encode(storedJob{singleServiceSpec(), job.Cancelled, 1, "n0"}), ModRevision: 129}}, 0},
	} {
		t.Run(v.name, func(t *testing.T) {
			s := newScript(t)
			s.advance(100 * time.Millisecond)
			s.reply(protocol.PathKeys+"?", "", 200, protocol.KeyValuePage{Revision: 100, KeyValues: []protocol.KeyValue{
				{Key: keyJob + "wk-700000", Value: encode(storedJob{singleServiceSpec(), job.Open, 1, "n0"}), ModRevision: 90}}})
			s.advance(200 * time.Millisecond) // the watch is opened, and gets no answer yet
			s.sendHeartbeat(50, 1)
			s.reply(protocol.PathTxn, keyClaim, 409, protocol.TxnResult{Failed: []string{keyClaim + "i-000001"}, Revision: 119})
			s.reply(protocol.PathKeys+"/", "", 200, protocol.KeyValue{Key: keyClaim + "i-000001", ModRevision: 101,
				Value: encode(claimRecord{"n0", 3, "10.1.0.1:9000", "small", "a", false, 1})})
			s.reply(protocol.PathTxn, keyClaim, 200, protocol.TxnResult{Revision: 120})
			if a := s.answer(); a.FencingToken != 120 {
				t.Fatalf("the claim was answered with token %d", a.FencingToken)
			}
			s.now += 500 * time.Millisecond
			if a := s.sendHeartbeat(120, 2); a.FencingToken != 120 || len(a.Commands) > 0 {
				t.Fatalf("the heartbeat that shows the token was answered with %+v", a)
			}
			s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Revision: v.revision, Events: v.events})
			if n := s.countLaunches(); n != v.launches {
				t.Errorf("%d launches were sent, want %d", n, v.launches)
			}
		})
	}
}

// singleServiceSpec returns the spec of wk-700000, a production service with one task.
func singleServiceSpec() *job.Spec {
	return &job.Spec{ID: "wk-700000", Class: "svc", Team: "blue", Shape: job.Service, Tasks: 1, Priority: job.Production, CPUs: 1, GPUs: 1, MemoryGB: 1}
}

// TestAReportThatALaunchOvertookProvesNoAbsence guards against a fault found by the model in
// internal/fencing. A heartbeat was in flight while a direct launch was executed and answered, so it
// does not list the attempt. It carried a preemption notice, which made the attempt unwanted, and
// the attempt was released as not listed while it ran. The answer to the launch proves nothing either,
// as a copy of the launch may still be executed: only a newer token does.
func TestAReportThatALaunchOvertookProvesNoAbsence(t *testing.T) {
	here := pageEvent(125, boundTask(1))
	for _, v := range []struct {
		name       string
		heartbeats []heartbeatHeader // those that arrive after the launch's reply, which has sequence number 4
		releases   int
	}{
		{"a heartbeat from before the launch", []heartbeatHeader{{120, 3}}, 0},
		{"a heartbeat from after the launch, of which a copy may come", []heartbeatHeader{{120, 5}}, 0},
		{"another one, under the launch's token", []heartbeatHeader{{120, 5}, {120, 6}}, 0},
		{"a heartbeat that shows a newer token than the launch's", []heartbeatHeader{{120, 5}, {130, 6}}, 1},
	} {
		t.Run(v.name, func(t *testing.T) {
			s := newScript(t)
			s.driveToOwnedMachine(here)
			if s.countLaunches() != 1 {
				t.Fatal("the attempt was not launched directly")
			}
			s.reply(protocol.PathCommands, "", 200, protocol.Heartbeat{Worker: "i-000001", AgentEpoch: 1, Sequence: 4, FencingToken: 120,
				Tasks: []protocol.TaskStatus{{Task: "wk-700000/0", Attempt: 1, Status: protocol.TaskPulling}}})
			s.preemptionNoticeS = 10
			for _, heartbeat := range v.heartbeats {
				if a := s.sendHeartbeat(heartbeat.token, heartbeat.sequence); a.FencingToken != 120 && a.FencingToken != 130 {
					t.Errorf("the heartbeat was not answered under our token or the raised one: %+v", a)
				}
			}
			s.advance(200 * time.Millisecond)
			if n := s.countPageWrites(); n != v.releases {
				t.Errorf("the heartbeats %v led to %d releases, want %d", v.heartbeats, n, v.releases)
			}
		})
	}
}

// heartbeatHeader is the token that a heartbeat shows, and its sequence number.
type heartbeatHeader struct{ token, sequence uint64 }

// TestAnEndedAttemptIsNotForgottenForTheNextOnesLaunch guards against tracking only one unanswered
// launch per task. The next attempt's launch replaced that of the earlier attempt, which was then
// forgotten, and whose launch, executed late, started it again.
func TestAnEndedAttemptIsNotForgottenForTheNextOnesLaunch(t *testing.T) {
	s := newScript(t)
	s.driveToOwnedMachine(pageEvent(125, boundTask(1))) // its launch is not answered
	s.advance(200 * time.Millisecond)
	s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Revision: 140, Events: []protocol.WatchEvent{pageEvent(135, boundTask(2))}})
	a := s.sendHeartbeat(120, 3, protocol.TaskStatus{Task: "wk-700000/0", Attempt: 1, Status: protocol.TaskEnded, Cause: protocol.CauseError},
		protocol.TaskStatus{Task: "wk-700000/0", Attempt: 2, Status: protocol.TaskPulling})
	if a.FencingToken != 120 || len(a.Commands) > 0 {
		t.Errorf("while a launch of the first attempt has no reply, the heartbeat was answered with %+v", a)
	}
}

// TestAPlacementBesideAnEndingHeedsTheDrain guards against a placement whose transaction was not
// conditional on the absence of the machine's drain, because a release on the same machine in that
// transaction had already added the machine's claim to its conditions.
func TestAPlacementBesideAnEndingHeedsTheDrain(t *testing.T) {
	s := newSim(t, 67, 0)
	sp := &job.Spec{ID: "wk-700000", Class: "arr", Team: "blue", Shape: job.Array, Tasks: 2, Priority: job.Normal, CPUs: 1, GPUs: 1, MemoryGB: 1, MachineTypes: []string{"large"}}
	s.submit(sp, 500, 0)
	s.run(40 * time.Second)
	for _, n := range s.controllers {
		c := n.core
		for _, m := range c.machines.own {
			if !m.tokenSeen || len(m.bound) != 2 {
				continue
			}
			c.beginStep(n.clock())
			r := c.jobs.byID[sp.ID]
			first, second := r.task(c, 0), r.task(c, 1)
			c.unindexTask(r, taskKey{sp.ID, 1}, second)
			*second = job.Task{Attempt: 1}
			r.pages[0].pending++
			c.propose(r, 0, taskTransition{machine: m.id, epoch: first.Epoch, attempt: first.Attempt, proof: fencing.LeaseExpired})
			c.placeTask(r, 1, m)
			c.flush()
			for _, k := range c.effects.Calls {
				if strings.Contains(string(k.Body), pageKey(sp.ID, 0)) {
					if body := string(k.Body); !strings.Contains(body, keyDrain+m.id) || strings.Count(body, `"key":"`+keyClaim+m.id) != 1 {
						t.Errorf("the transaction's conditions lack the drain, or repeat the claim: %s", body)
					}
					return
				}
			}
		}
	}
	t.Fatal("no transaction was sent")
}

// TestALaunchUnderWayIsNotRepeated guards against answers that repeat a launch while its direct command is on its way: after
// a restart of all controllers, workers were sent launches of attempts that they already had. A launch whose reply does
// not come is repeated.
func TestALaunchUnderWayIsNotRepeated(t *testing.T) {
	here := pageEvent(125, boundTask(1))
	for _, v := range []struct {
		name     string
		after    time.Duration // between the direct launch and the heartbeat
		launches int           // in the heartbeat's answer
	}{
		{"a heartbeat crosses the launch", 5 * time.Millisecond, 0},
		{"no reply has come for a second", time.Second, 1},
	} {
		t.Run(v.name, func(t *testing.T) {
			s := newScript(t)
			s.driveToOwnedMachine(here)
			s.launchCall()
			s.now += v.after
			if a := s.sendHeartbeat(120, 3); len(a.Commands) != v.launches {
				t.Errorf("the heartbeat was answered with %+v, want %d launches", a, v.launches)
			}
		})
	}
}
