package stateclient

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/protocol"
)

// sentCall is a call that the client has sent, with the callback for its reply.
type sentCall struct {
	call protocol.Call
	done func(protocol.Reply)
}

// harness is a client, the calls that it has sent and the test has yet to answer, and its mirror.
type harness struct {
	*Client
	calls  []sentCall
	mirror map[string]string
}

// newHarness returns a harness for one of three clients of a service with these rates per second.
func newHarness(requests, changes float64) *harness {
	facts := &config.Facts{State: config.State{RPS: requests, WriteRPS: changes, ValueKB: 16, TxnOps: 12}}
	h := &harness{Client: New(facts, 3), mirror: map[string]string{}}
	h.Send = func(call protocol.Call, done func(protocol.Reply)) {
		h.calls = append(h.calls, sentCall{call, done})
	}
	h.Apply = func(key string, data json.RawMessage, _ uint64) {
		if data == nil {
			delete(h.mirror, key)
		} else {
			h.mirror[key] = string(data)
		}
	}
	return h
}

// newLoadedHarness returns a harness whose first scan has read the keys at revision. keys holds
// the mod revision of each.
func newLoadedHarness(t *testing.T, revision uint64, keys map[string]uint64) *harness {
	t.Helper()
	h := newHarness(300, 120)
	h.Tick(time.Second)
	h.answerScan(t, revision, keys)
	return h
}

// take removes and returns the first unanswered call whose path begins with prefix, or
// nil.
func (h *harness) take(prefix string) *sentCall {
	for i, c := range h.calls {
		if strings.HasPrefix(c.call.Path, prefix) {
			h.calls = append(h.calls[:i:i], h.calls[i+1:]...)
			return &c
		}
	}
	return nil
}

// mustTake is like take, but fails the test if no such call was sent.
func (h *harness) mustTake(t *testing.T, prefix string) *sentCall {
	t.Helper()
	c := h.take(prefix)
	if c == nil {
		t.Fatalf("no call to %s was sent", prefix)
	}
	return c
}

// answerScan answers a scan's read with a single page that has the keys with their mod revisions.
func (h *harness) answerScan(t *testing.T, revision uint64, keys map[string]uint64) {
	t.Helper()
	page := protocol.KeyValuePage{Revision: revision}
	for key, modRevision := range keys {
		page.KeyValues = append(page.KeyValues, protocol.KeyValue{Key: key, Value: quoted(key), ModRevision: modRevision})
	}
	h.mustTake(t, protocol.PathKeys+"?").done(reply(200, page))
}

func reply(status int, body any) protocol.Reply {
	encoded, _ := json.Marshal(body)
	return protocol.Reply{Status: status, Sent: true, Body: encoded}
}

func quoted(s string) json.RawMessage { return json.RawMessage(strconv.Quote(s)) }
