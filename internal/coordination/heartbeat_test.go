package coordination

import (
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/peer"
	"silvergate/internal/protocol"
)

// TestEveryAnswerStopsWhatIsCancelled guards against cancelled tasks that lived on
// (found on a drawn day, 5515 of TestRulesHoldWhenAZoneIsCutOff): a report that is not
// believed, as the mirror has not reached the claim, was answered without orders, its
// lease renewed, for as long as the watch was late.
func TestEveryAnswerStopsWhatIsCancelled(t *testing.T) {
	load := protocol.TaskStatus{Task: "wk-700000/0", Attempt: 1, Status: protocol.TaskRunning}
	for _, v := range []struct {
		name   string
		status job.Status
		vouch  *peer.CancellationReply
		kills  int
	}{
		{"cancelled by the records", job.Cancelled, nil, 1},
		{"done by the records", job.Done, nil, 1},
		{"open", job.Open, nil, 0},
		{"cancelled by a peer's word", job.Open, &peer.CancellationReply{Cancelled: []string{"wk-700000"}}, 1},
		{"not on record, cancelled by a peer's word", "", &peer.CancellationReply{Cancelled: []string{"wk-700000"}}, 1},
	} {
		s := newScript(t)
		s.pass(100 * time.Millisecond)
		p := protocol.KeyValuePage{Revision: 100}
		if v.status != "" {
			p.KeyValues = []protocol.KeyValue{{Key: keyJob + "wk-700000", Value: encode(storedJob{lateSpec(), v.status, 1, "n0"}), ModRevision: 90}}
		}
		s.reply(protocol.PathKeys+"?", "", 200, p)
		if v.vouch != nil {
			s.take(s.c.Peer(s.clock(), "n0", peer.Message{CancellationReply: v.vouch}))
		}
		s.report(0, 1, load)
		s.reply(protocol.PathTxn, keyClaim, 200, protocol.TxnResult{Revision: 120}) // which the watch does not reach
		s.at += 500 * time.Millisecond
		a := s.report(120, 2, load)
		if a.FencingToken != 120 || len(a.Commands) != v.kills || v.kills > 0 && a.Commands[0].Verb != protocol.VerbKill {
			t.Errorf("%s: answered with %+v, want %d kills", v.name, a, v.kills)
		}
	}
}
