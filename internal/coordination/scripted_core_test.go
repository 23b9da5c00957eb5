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
	t    *testing.T
	c    *Core
	at   time.Duration   // the monotonic clock
	todo []protocol.Call // open calls: sent and without a reply yet
	ans  []Response
	next uint64 // the ID of the last request

	recall float64 // the preemption notice in heartbeats, in seconds; 0: none
}

// newScript returns a script for a core, n1, that has one peer, n0, and has not loaded any records.
func newScript(t *testing.T) *script {
	t.Helper()
	facts := newSim(t, 1, 0).facts
	facts.Teams = []config.Team{{Name: "blue"}}
	cfg := &config.Settings{Node: "n1", Zone: "a", Peers: []config.Peer{{Node: "n0", Zone: "b"}}, Facts: facts, Operator: config.DefaultOperator()}
	return &script{t: t, c: New(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)), rand.New(rand.NewPCG(1, 2)), 7), next: 1 << 40}
}

// clock returns the time of the next input.
func (s *script) clock() Timestamp {
	return Timestamp{s.at, time.UnixMilli(1_700_000_000_000 + s.at.Milliseconds())}
}

// take collects the calls and responses of a step.
func (s *script) take(e Effects) {
	s.todo = append(s.todo, e.Calls...)
	s.ans = append(s.ans, e.Responses...)
}

// pass advances the clock, with a tick every TickInterval.
func (s *script) pass(d time.Duration) {
	for end := s.at + d; s.at < end; {
		s.at += TickInterval
		s.take(s.c.Tick(s.clock()))
	}
}

// reply answers the first open call whose path starts with path and whose body contains body.
func (s *script) reply(path, body string, status int, v any) {
	s.t.Helper()
	for i, k := range s.todo {
		if strings.HasPrefix(k.Path, path) && strings.Contains(string(k.Body), body) {
			s.todo = append(s.todo[:i:i], s.todo[i+1:]...)
			s.take(s.c.Reply(s.clock(), protocol.Reply{ID: k.ID, Status: status, Sent: true, Body: encode(v)}))
			return
		}
	}
	s.t.Fatalf("no open call to %s has a body with %q; open calls: %v", path, body, s.todo)
}

// launches counts the open direct calls that launch a task.
func (s *script) launches() (n int) {
	for _, k := range s.todo {
		if k.Path == protocol.PathCommands {
			n += strings.Count(string(k.Body), protocol.VerbLaunch)
		}
	}
	return n
}

// report sends a heartbeat of machine i-000001 and returns the answer.
func (s *script) report(token, sequence uint64, statuses ...protocol.TaskStatus) protocol.HeartbeatResponse {
	s.t.Helper()
	s.next++
	s.ans = nil
	heartbeat := protocol.Heartbeat{Worker: "i-000001", Address: "10.1.0.1:9000", MachineType: "small", Zone: "a",
		AgentEpoch: 1, Sequence: sequence, FencingToken: token, Tasks: append([]protocol.TaskStatus{}, statuses...)}
	if s.recall > 0 {
		heartbeat.PreemptionNoticeS = &s.recall
	}
	s.take(s.c.Request(s.clock(), s.next, "POST", protocol.PathHeartbeat, encode(heartbeat)))
	return s.answer()
}

// answer returns the answer to the last heartbeat, or the zero value if there is none.
func (s *script) answer() protocol.HeartbeatResponse {
	var a protocol.HeartbeatResponse
	for _, x := range s.ans {
		if x.ID == s.next && x.Status == 200 {
			_ = protocol.Decode(x.Body, &a)
		}
	}
	return a
}

// held drives the core to a state in which it owns machine i-000001, which has shown its fencing
// token, 120, and in which a watch has been answered with the given events.
func (s *script) held(news ...protocol.WatchEvent) {
	s.t.Helper()
	s.pass(100 * time.Millisecond)
	s.reply(protocol.PathKeys+"?", "", 200, protocol.KeyValuePage{Revision: 100, KeyValues: []protocol.KeyValue{
		{Key: keyJob + "wk-700000", Value: encode(storedJob{lateSpec(), job.Open, 1, "n0"}), ModRevision: 90}}})
	s.pass(200 * time.Millisecond)
	s.report(0, 1)
	s.reply(protocol.PathTxn, keyClaim, 200, protocol.TxnResult{Revision: 120})
	s.at += 500 * time.Millisecond
	s.report(120, 2)
	s.reply(protocol.PathWatch, "", 200, protocol.WatchResult{Revision: 130, Events: news})
}

// releases counts the open transactions that write the job's page, and so record the end of its task.
func (s *script) releases() (n int) {
	for _, k := range s.todo {
		if k.Path == protocol.PathTxn && strings.Contains(string(k.Body), `"write":"`+pageKey("wk-700000", 0)) {
			n++
		}
	}
	return n
}
