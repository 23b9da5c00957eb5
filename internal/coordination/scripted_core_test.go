package coordination

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// script drives one core by hand: the test provides every reply to the core's calls.
type script struct {
	t             *testing.T
	core          *Core
	now           time.Duration   // the monotonic clock
	openCalls     []protocol.Call // open calls: sent and without a reply yet
	responses     []Response
	lastRequestID uint64 // the ID of the last request

	preemptionNoticeS float64 // the preemption notice in heartbeats, in seconds; 0: none
}

// newScript returns a script for a core, n1, that has one peer, n0, and has not loaded any records.
func newScript(t *testing.T) *script {
	t.Helper()
	facts := newSim(t, 1, 0).facts
	facts.Teams = []config.Team{{Name: "blue"}}
	cfg := &config.Settings{Node: "n1", Zone: "a", Peers: []config.Peer{{Node: "n0", Zone: "b"}}, Facts: facts, Operator: config.DefaultOperator()}
	return &script{t: t, core: New(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)), rand.New(rand.NewPCG(1, 2)), 7), lastRequestID: 1 << 40}
}

// clock returns the time of the next input.
func (s *script) clock() Timestamp {
	return Timestamp{s.now, time.UnixMilli(1_700_000_000_000 + s.now.Milliseconds())}
}

// collect collects the calls and responses of a step.
func (s *script) collect(e Effects) {
	s.openCalls = append(s.openCalls, e.Calls...)
	s.responses = append(s.responses, e.Responses...)
}

// advance advances the clock, with a tick every TickInterval.
func (s *script) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += TickInterval
		s.collect(s.core.Tick(s.clock()))
	}
}

// reply answers the first open call whose path starts with path and whose body contains body.
func (s *script) reply(path, body string, status int, v any) {
	s.t.Helper()
	for i, k := range s.openCalls {
		if strings.HasPrefix(k.Path, path) && strings.Contains(string(k.Body), body) {
			s.openCalls = append(s.openCalls[:i:i], s.openCalls[i+1:]...)
			s.collect(s.core.Reply(s.clock(), protocol.Reply{ID: k.ID, Status: status, Sent: true, Body: encode(v)}))
			return
		}
	}
	s.t.Fatalf("no open call to %s has a body with %q; open calls: %v", path, body, s.openCalls)
}

// countLaunches counts the open direct calls that launch a task.
func (s *script) countLaunches() (n int) {
	for _, k := range s.openCalls {
		if k.Path == protocol.PathCommands {
			n += strings.Count(string(k.Body), protocol.VerbLaunch)
		}
	}
	return n
}

// sendHeartbeat sends a heartbeat of machine i-000001 and returns the answer.
func (s *script) sendHeartbeat(token, sequence uint64, statuses ...protocol.TaskStatus) protocol.HeartbeatResponse {
	s.t.Helper()
	s.lastRequestID++
	s.responses = nil
	heartbeat := protocol.Heartbeat{Worker: "i-000001", Address: "10.1.0.1:9000", MachineType: "small", Zone: "a",
		AgentEpoch: 1, Sequence: sequence, FencingToken: token, Tasks: append([]protocol.TaskStatus{}, statuses...)}
	if s.preemptionNoticeS > 0 {
		heartbeat.PreemptionNoticeS = &s.preemptionNoticeS
	}
	s.collect(s.core.Request(s.clock(), s.lastRequestID, "POST", protocol.PathHeartbeat, encode(heartbeat)))
	return s.answer()
}

// answer returns the answer to the last heartbeat, or the zero value if there is none.
func (s *script) answer() protocol.HeartbeatResponse {
	var a protocol.HeartbeatResponse
	for _, x := range s.responses {
		if x.ID == s.lastRequestID && x.Status == 200 {
			_ = protocol.Decode(x.Body, &a)
		}
	}
	return a
}

// driveToOwnedMachine drives the core to a state in which it owns machine i-000001, which has shown
// its fencing token, 120, and in which a watch has been answered with the given events.
func (s *script) driveToOwnedMachine(events ...protocol.WatchEvent) {
	s.t.Helper()
	s.advance(100 * time.Millisecond)
	s.reply(protocol.PathKeys+"?", "", 200, protocol.KeyValuePage{Revision: 100, KeyValues: []protocol.KeyValue{
		{Key: keyJob + "wk-700000", Value: encode(storedJob{singleServiceSpec(), job.Open, 1, "n0"}), ModRevision: 90}}})
	s.advance(200 * time.Millisecond)
	s.sendHeartbeat(0, 1)
	s.reply(protocol.PathTxn, keyClaim, 200, protocol.TxnResult{Revision: 120})
	s.now += 500 * time.Millisecond
	s.sendHeartbeat(120, 2)
	s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Revision: 130, Events: events})
}

// pageEvent returns the watch event in which the first page of the job's tasks is written.
func pageEvent(revision uint64, tasks ...job.Task) protocol.WatchEvent {
	return protocol.WatchEvent{Put: pageKey("wk-700000", 0), Value: writePage(tasks), ModRevision: revision}
}

// boundTask returns a task that is bound to machine i-000001 in its first agent epoch.
func boundTask(attempt int) job.Task {
	return job.Task{Phase: job.Bound, Attempt: attempt, Machine: "i-000001", Epoch: 1}
}

// countPageWrites counts the open transactions that write the job's page, and so record the end of its task.
func (s *script) countPageWrites() (n int) {
	for _, k := range s.openCalls {
		if k.Path == protocol.PathTxn && strings.Contains(string(k.Body), `"write":"`+pageKey("wk-700000", 0)) {
			n++
		}
	}
	return n
}
