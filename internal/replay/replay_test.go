package replay

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvergate/internal/config"
	"silvergate/internal/coordination"
	"silvergate/internal/protocol"
	"silvergate/internal/recorder"
)

// TestMergeOrdersEventsByRevision guards against merged timelines in which effects precede
// their causes because the nodes' clocks differ. With random events of several nodes, the
// merged timeline must keep each node's order, and no event may know of a revision before
// the event that committed it.
func TestMergeOrdersEventsByRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 4).Draw(t, "nodes")
		timelines := make([][]Event, nodes)
		applied, clockOffsets := make([]uint64, nodes), make([]time.Duration, nodes)
		for i := range clockOffsets {
			clockOffsets[i] = time.Duration(rapid.IntRange(-20, 20).Draw(t, "off")) * time.Millisecond
		}
		rev := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "lines") {
			n := rapid.IntRange(0, nodes-1).Draw(t, "node")
			event := Event{Wall: time.Unix(0, 0).Add(time.Duration(i)*time.Millisecond + clockOffsets[n]), Node: fmt.Sprint(n), Text: fmt.Sprint(i)}
			if rapid.Bool().Draw(t, "commits") {
				rev++
				event.CommittedRevision = rev
			}
			applied[n] = max(applied[n], uint64(rapid.IntRange(0, int(rev)).Draw(t, "applied")))
			if event.AppliedRevision = applied[n]; event.CommittedRevision > 0 && event.AppliedRevision >= event.CommittedRevision {
				event.AppliedRevision, applied[n] = event.CommittedRevision-1, event.CommittedRevision-1
			}
			timelines[n] = append(timelines[n], event)
		}
		merged := Merge(timelines...)
		next := make([]int, nodes)
		made := uint64(0)
		for _, event := range merged {
			n := int(event.Node[0] - '0')
			if timelines[n][next[n]] != event {
				t.Fatalf("node %d's event %d is %v", n, next[n], event)
			}
			next[n]++
			if event.AppliedRevision > made {
				t.Fatalf("%v comes before revision %d is committed", event, made+1)
			}
			made = max(made, event.CommittedRevision)
		}
		for n := range timelines {
			if next[n] != len(timelines[n]) {
				t.Fatalf("%d of node %d's %d events are merged", next[n], n, len(timelines[n]))
			}
		}
	})
}

// writeRecording records a controller that claims a machine and tells it to kill a task that
// has no record. The replies to the controller's calls are made up here.
func writeRecording(t *testing.T, o recorder.Options) {
	t.Helper()
	cfg := &config.Settings{Node: "n0", Zone: "a", Operator: config.DefaultOperator()}
	cfg.Facts = config.Facts{Count: 1, Zones: []string{"a"}, Teams: []config.Team{{Name: "blue"}},
		Workers: config.Workers{Heartbeat: 3, Lease: 18, GangWait: 30, GangPeer: 4, Cancel: 48},
		State:   config.State{RPS: 300, WriteRPS: 120, ValueKB: 16, TxnOps: 12}, Cloud: config.Cloud{RPS: 10, ListLag: 4}, Limits: config.Limits{CPU: 1, RAMMB: 100, MaxSockets: 100}}
	seed := [2]uint64{1, 2}
	h, err := coordination.RecordingHeader(cfg, "test", 7, seed)
	if err != nil {
		t.Fatal(err)
	}
	w, err := recorder.NewWriter(o, h)
	if err != nil {
		t.Fatal(err)
	}
	core, err := coordination.NewFromHeader(&h, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	recordedCore := coordination.NewRecordedCore(core, w)
	rnd := rand.New(rand.NewPCG(3, 4))
	at, rev := time.Duration(0), uint64(100)
	clock := func() coordination.Timestamp {
		return coordination.Timestamp{Steady: at, Wall: time.Unix(1000, 0).Add(at)}
	}
	var pending []protocol.Call
	var sequence, token uint64
	for i := range 600 {
		at += 50 * time.Millisecond
		pending = append(pending, recordedCore.Tick(clock()).Calls...)
		if i%20 == 10 {
			sequence++
			r := protocol.Heartbeat{Worker: "i-000001", Address: "10.1.0.1:9000", MachineType: "small", Zone: "a", AgentEpoch: 1, Sequence: sequence, FencingToken: token,
				Tasks: []protocol.TaskStatus{{Task: "wk-700000/0", Attempt: 1, Status: protocol.TaskRunning}}}
			pending = append(pending,
				recordedCore.Request(clock(), sequence, http.MethodPost, protocol.PathHeartbeat, protocol.Encode(r)).Calls...)
		}
		for len(pending) > 0 && rnd.IntN(3) > 0 {
			k := pending[0]
			pending = pending[1:]
			reply := protocol.Reply{ID: k.ID, Status: http.StatusOK, Sent: true, Body: []byte(`{}`)}
			switch {
			case strings.HasPrefix(k.Path, protocol.PathKeys+"?"):
				reply.Body = protocol.Encode(protocol.KeyValuePage{Revision: rev})
			case strings.HasPrefix(k.Path, protocol.PathWatch):
				reply.Body = protocol.Encode(protocol.WatchResult{Revision: rev})
			case k.Path == protocol.PathTxn:
				rev++
				reply.Body = protocol.Encode(protocol.TxnResult{Revision: rev})
				if strings.Contains(string(k.Body), "i-000001") {
					token = rev
				}
			case k.Path == protocol.PathLeases:
				reply.Body = protocol.Encode(protocol.LeaseResponse{Lease: 1})
			default:
				reply.Status = http.StatusServiceUnavailable
			}
			pending = append(pending, recordedCore.Reply(clock(), reply).Calls...)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestExplainMachineAndTask replays a recording of several segments. The explanation must
// cover a machine and a task that has no record. The replay must also work without the end
// of the recording, and Open must refuse a recording without its beginning.
func TestExplainMachineAndTask(t *testing.T) {
	dir := t.TempDir()
	writeRecording(t, recorder.Options{Dir: dir, Max: 1 << 20, Segment: 2 << 10, Flush: 2 * time.Second})
	incarnations, err := Open([]string{dir})
	if err != nil || len(incarnations) != 1 || len(incarnations[0].Files) < 2 {
		t.Fatalf("%v: %v", incarnations, err)
	}
	at, err := ParseTime("1s", incarnations[0].Begin)
	if err != nil {
		t.Fatal(err)
	}
	r, err := incarnations[0].Replay(Options{Names: []string{"i-000001", "wk-700000/0"}, At: at})
	if err != nil {
		t.Fatal(err)
	}
	if r.Inputs < 600 || r.Different > 0 || r.Torn {
		t.Errorf("the replay returned %+v", r)
	}
	var text string
	for _, event := range r.Events {
		text += event.String() + "\n"
	}
	for _, want := range []string{"hears i-000001, session 1, tally 1, token 0: attempt 1 running", "sends a transaction on it", "i-000001 is ours, token",
		"its transaction made revision", "kill attempt 1"} {
		if !strings.Contains(text, want) {
			t.Errorf("the timeline lacks %q:\n%s", want, text)
		}
	}
	if len(r.Known) != 2 || !strings.Contains(r.Known[1], "nothing is known") {
		t.Errorf("known at 1s: %q", r.Known)
	}

	// First the last frame is cut off, as if the process was killed while it wrote the frame.
	// Then the first segment is lost.
	last := incarnations[0].Files[len(incarnations[0].Files)-1]
	raw, err := os.ReadFile(last)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(last, raw[:len(raw)-3], 0o600); err != nil {
		t.Fatal(err)
	}
	torn, err := incarnations[0].Replay(Options{})
	if err != nil || !torn.Torn || torn.Inputs >= r.Inputs || torn.Different > 0 {
		t.Errorf("with the last frame cut off: %+v, %v", torn, err)
	}
	if err := os.Remove(incarnations[0].Files[0]); err != nil {
		t.Fatal(err)
	}
	if _, err := Open([]string{dir}); err == nil || !strings.Contains(err.Error(), "from its beginning") {
		t.Errorf("without the first segment Open returned %v", err)
	}
}

// TestParseTime parses the times that operators may write.
func TestParseTime(t *testing.T) {
	first := time.Unix(1000, 0)
	for in, want := range map[string]time.Time{"": {}, "90.5s": first.Add(90500 * time.Millisecond), "2026-12-01T06:00:00Z": time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)} {
		if got, err := ParseTime(in, first); err != nil || !got.Equal(want) {
			t.Errorf("%q is parsed as %v, %v", in, got, err)
		}
	}
	if _, err := ParseTime("yesterday", first); err == nil {
		t.Error("\"yesterday\" was accepted as a time")
	}
}

// TestOpenNamesInvalidFile guards against an error that does not name the file that is not a
// recording.
func TestOpenNamesInvalidFile(t *testing.T) {
	f := filepath.Join(t.TempDir(), "x.rec")
	if err := os.WriteFile(f, []byte("something else, and long enough for a header"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open([]string{f}); err == nil || !strings.Contains(err.Error(), f) {
		t.Errorf("Open returned %v", err)
	}
}
