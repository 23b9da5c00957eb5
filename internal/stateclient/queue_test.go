package stateclient

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
)

func TestRefusedRequestIsSentAgainUntilItsDeadline(t *testing.T) {
	h := newLoadedHarness(t, 10, nil)
	got := noOutcome
	h.Txn(ratelimit.UserRequests, nil, nil, func(outcome TxnOutcome, _ []string, _ uint64) { got = outcome })
	h.Tick(2 * time.Second)
	h.mustTake(t, protocol.PathTxn).done(reply(503, nil))
	h.Tick(2*time.Second + queueTimeout/2)
	again := h.take(protocol.PathTxn)
	if again == nil || got != noOutcome {
		t.Fatalf("the refused request was not sent again, or failed: outcome %v", got)
	}
	h.Tick(2*time.Second + 2*queueTimeout)
	again.done(reply(503, nil))
	if got != NotExecuted {
		t.Fatalf("the outcome is %v after the deadline", got)
	}
}

// TestRatesAreAnEqualShareAndSafetyGoesFirst checks one of three clients of a service that allows
// 30 requests and 30 changes a second.
func TestRatesAreAnEqualShareAndSafetyGoesFirst(t *testing.T) {
	h := newHarness(30, 30)
	h.Tick(time.Second)
	h.answerScan(t, 10, nil)
	for i := range 40 {
		h.Txn(ratelimit.Background, nil, []protocol.Op{{Put: fmt.Sprint("sg/rest", i), Value: quoted("")}}, func(TxnOutcome, []string, uint64) {})
	}
	h.Txn(ratelimit.Safety, nil, []protocol.Op{{Put: "sg/rules", Value: quoted("")}}, func(TxnOutcome, []string, uint64) {})
	count := 0
	for now := time.Second; now <= 2*time.Second; now += 20 * time.Millisecond {
		h.Tick(now)
		for c := h.take(protocol.PathTxn); c != nil; c = h.take(protocol.PathTxn) {
			if count == 0 && !strings.Contains(string(c.call.Body), "sg/rules") {
				t.Fatalf("the first transaction is not the one of class Safety: %s", c.call.Body)
			}
			count++
			c.done(reply(200, protocol.TxnResult{Revision: uint64(20 + count)}))
		}
	}
	// The share is ten a second; the burst on top is half a second's worth or, as here, the
	// changes of one whole transaction (12).
	if count < 8 || count > 10+12 {
		t.Fatalf("%d transactions were sent in a second", count)
	}
}

func TestQueuedRequestFailsAfterItsClassesTimeout(t *testing.T) {
	cases := []struct {
		class ratelimit.Class
		want  time.Duration
	}{
		{ratelimit.Safety, queueTimeout},
		{ratelimit.UrgentWork, queueTimeout},
		{ratelimit.UserRequests, queueTimeout},
		{ratelimit.UrgentClaims, claimQueueTimeout},
		{ratelimit.BusyClaims, claimQueueTimeout},
		{ratelimit.OtherWork, queueTimeout},
		{ratelimit.IdleClaims, claimQueueTimeout},
		{ratelimit.Background, queueTimeout},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.class), func(t *testing.T) {
			const tooLarge = 1000 // changes, more than the budget ever holds
			h := newLoadedHarness(t, 10, nil)
			got := noOutcome
			h.Txn(c.class, nil, make([]protocol.Op, tooLarge), func(outcome TxnOutcome, _ []string, _ uint64) { got = outcome })
			h.Tick(time.Second + c.want)
			if got != noOutcome || h.Backlog() != 1 {
				t.Fatalf("at the deadline: outcome %v, %d requests wait", got, h.Backlog())
			}
			h.Tick(time.Second + c.want + time.Nanosecond)
			if got != NotExecuted || h.Backlog() != 0 {
				t.Fatalf("after the deadline: outcome %v, %d requests wait", got, h.Backlog())
			}
		})
	}
}
