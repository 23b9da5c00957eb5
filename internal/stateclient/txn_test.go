package stateclient

import (
	"slices"
	"testing"
	"time"

	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
)

// noOutcome is the outcome of a transaction whose callback was not called.
const noOutcome = TxnOutcome(-1)

func TestTxnOutcomeFollowsFromTheReply(t *testing.T) {
	body := protocol.TxnResult{Revision: 11, Failed: []string{"sg/a"}}
	cases := []struct {
		name       string
		reply      protocol.Reply
		want       TxnOutcome
		failedKeys []string
		revision   uint64
	}{
		{"200 is committed", reply(200, body), Committed, nil, 11},
		{"200 with a malformed body is unknown", protocol.Reply{Status: 200, Sent: true, Body: []byte("{")}, Unknown, nil, 0},
		{"409 is a conflict", reply(409, body), Conflict, []string{"sg/a"}, 11},
		{"400 is an expired lease", reply(400, body), LeaseExpired, nil, 0},
		{"500 is not executed", reply(500, body), NotExecuted, nil, 0},
		{"no reply is unknown", reply(0, body), Unknown, nil, 0},
		{"not sent is not executed", protocol.Reply{}, NotExecuted, nil, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newLoadedHarness(t, 10, nil)
			got, gotKeys, gotRevision := noOutcome, []string(nil), uint64(0)
			h.Txn(ratelimit.UserRequests, nil, []protocol.Op{{Put: "sg/a", Value: quoted("1")}}, func(outcome TxnOutcome, failedKeys []string, revision uint64) {
				got, gotKeys, gotRevision = outcome, failedKeys, revision
			})
			h.Tick(2 * time.Second)
			h.mustTake(t, protocol.PathTxn).done(c.reply)
			if got != c.want || !slices.Equal(gotKeys, c.failedKeys) || gotRevision != c.revision {
				t.Errorf("outcome %v, failed keys %v, revision %d; want %v, %v, %d", got, gotKeys, gotRevision, c.want, c.failedKeys, c.revision)
			}
			if mirrored := len(h.mirror) == 1; mirrored != (c.want == Committed) {
				t.Errorf("after outcome %v the mirror is %v", got, h.mirror)
			}
		})
	}
}

func TestTxnOutcomeString(t *testing.T) {
	for outcome, want := range map[TxnOutcome]string{
		Committed:    "committed",
		Conflict:     "conflict",
		NotExecuted:  "not executed",
		LeaseExpired: "lease expired",
		Unknown:      "unknown",
		noOutcome:    "TxnOutcome(-1)",
		Unknown + 1:  "TxnOutcome(5)",
	} {
		t.Run(want, func(t *testing.T) {
			if got := outcome.String(); got != want {
				t.Errorf("the name is %q", got)
			}
		})
	}
}
