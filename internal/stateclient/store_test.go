package stateclient

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
)

type sent struct {
	call protocol.Call
	done func(protocol.Reply)
}

func newStore(rps, writes float64) (*Client, *[]sent, map[string]string) {
	f := &config.Facts{State: config.State{RPS: rps, WriteRPS: writes, ValueKB: 16, TxnOps: 12}}
	s := New(f, 3)
	calls, mirror := &[]sent{}, map[string]string{}
	s.Send = func(k protocol.Call, done func(protocol.Reply)) { *calls = append(*calls, sent{k, done}) }
	s.Apply = func(key string, data json.RawMessage, _ uint64) {
		if data == nil {
			delete(mirror, key)
		} else {
			mirror[key] = string(data)
		}
	}
	return s, calls, mirror
}

func take(calls *[]sent, prefix string) *sent {
	for i, c := range *calls {
		if strings.HasPrefix(c.call.Path, prefix) {
			*calls = append((*calls)[:i:i], (*calls)[i+1:]...)
			return &c
		}
	}
	return nil
}

func reply(status int, v any) protocol.Reply {
	b, _ := json.Marshal(v)
	return protocol.Reply{Status: status, Sent: true, Body: b}
}

func raw(s string) json.RawMessage { return json.RawMessage(strconv.Quote(s)) }

// load brings a store up with the given keys.
func load(t *testing.T, s *Client, calls *[]sent, revision uint64, keys map[string]uint64) {
	t.Helper()
	c := take(calls, protocol.PathKeys+"?")
	if c == nil {
		t.Fatal("the store does not read its keys")
	}
	p := protocol.KeyValuePage{Revision: revision}
	for k, revision := range keys {
		p.KeyValues = append(p.KeyValues, protocol.KeyValue{Key: k, Value: raw(k), ModRevision: revision})
	}
	c.done(reply(200, p))
}

func TestStoreLoadsByPagesAndFollows(t *testing.T) {
	s, calls, mirror := newStore(300, 120)
	s.Tick(time.Second)
	first := take(calls, protocol.PathKeys+"?")
	first.done(reply(200, protocol.KeyValuePage{Revision: 10, Truncated: true, KeyValues: []protocol.KeyValue{{Key: "sg/a", Value: raw("1"), ModRevision: 3}}}))
	if s.Loaded() {
		t.Fatal("ready before the last page")
	}
	s.Tick(2 * time.Second)
	second := take(calls, protocol.PathKeys+"?")
	u, _ := url.Parse(second.call.Path)
	if u.Query().Get("from") != "sg/a" {
		t.Fatal(second.call.Path)
	}
	second.done(reply(200, protocol.KeyValuePage{Revision: 12, KeyValues: []protocol.KeyValue{{Key: "sg/b", Value: raw("2"), ModRevision: 12}}}))
	// The watch starts at the first page's revision: what changed between
	// the pages comes again and is not applied twice.
	s.Tick(3 * time.Second)
	w := take(calls, protocol.PathWatch)
	if u, _ := url.Parse(w.call.Path); u.Query().Get("from") != "10" {
		t.Fatal(w.call.Path)
	}
	w.done(reply(200, protocol.WatchResult{Revision: 14, Events: []protocol.WatchEvent{{Put: "sg/b", Value: raw("old"), ModRevision: 11}, {Delete: "sg/a", ModRevision: 13}, {Put: "sg/c", Value: raw("3"), ModRevision: 14}}}))
	if fmt.Sprint(mirror) != `map[sg/b:"2" sg/c:"3"]` || s.AppliedRevision() != 14 || s.FreshAt() != 3*time.Second {
		t.Fatalf("%v at %d, fresh at %v", mirror, s.AppliedRevision(), s.FreshAt())
	}
}

func TestStoreReadsAgainAfter410AndDropsWhatVanished(t *testing.T) {
	s, calls, mirror := newStore(300, 120)
	s.Tick(time.Second)
	load(t, s, calls, 10, map[string]uint64{"sg/a": 3, "sg/b": 4})
	s.Tick(2 * time.Second)
	take(calls, protocol.PathWatch).done(reply(410, nil))
	s.Tick(3 * time.Second)
	load(t, s, calls, 99, map[string]uint64{"sg/b": 50})
	if len(mirror) != 1 || s.ModRevision("sg/b") != 50 || s.ModRevision("sg/a") != 0 || s.AppliedRevision() != 99 {
		t.Fatalf("%v at %d", mirror, s.AppliedRevision())
	}
}

// A drop of ours that the watch has not told yet must not be undone by an
// older write that it tells first.
func TestStoreKeepsOwnDropsAgainstOlderNews(t *testing.T) {
	s, calls, mirror := newStore(300, 120)
	s.Tick(time.Second)
	load(t, s, calls, 10, map[string]uint64{"sg/a": 3})
	s.Txn(ratelimit.Safety, nil, []protocol.Op{{Delete: "sg/a"}}, func(o TxnOutcome, _ []string, _ uint64) {
		if o != Committed {
			t.Error(o)
		}
	})
	s.Tick(2 * time.Second)
	take(calls, protocol.PathTxn).done(reply(200, protocol.TxnResult{Revision: 20}))
	take(calls, protocol.PathWatch).done(reply(200, protocol.WatchResult{Revision: 15, Events: []protocol.WatchEvent{{Put: "sg/a", Value: raw("x"), ModRevision: 15}}}))
	if len(mirror) != 0 {
		t.Fatal(mirror)
	}
}

func TestStoreOutcomes(t *testing.T) {
	for status, want := range map[int]TxnOutcome{200: Committed, 409: Conflict, 400: LeaseExpired, 500: NotExecuted, 0: Unknown} {
		s, calls, mirror := newStore(300, 120)
		s.Tick(time.Second)
		load(t, s, calls, 10, nil)
		got := TxnOutcome(-1)
		s.Txn(ratelimit.UserRequests, nil, []protocol.Op{{Put: "sg/a", Value: raw("1")}}, func(o TxnOutcome, _ []string, _ uint64) { got = o })
		s.Tick(2 * time.Second)
		take(calls, protocol.PathTxn).done(reply(status, protocol.TxnResult{Revision: 11, Failed: []string{"sg/a"}}))
		if got != want || (len(mirror) == 1) != (want == Committed) {
			t.Errorf("status %d: outcome %d, mirror %v", status, got, mirror)
		}
	}
}

func TestStoreTriesRefusedRequestsAgainWithinTheirTime(t *testing.T) {
	s, calls, _ := newStore(300, 120)
	s.Tick(time.Second)
	load(t, s, calls, 10, nil)
	got := TxnOutcome(-1)
	s.Txn(ratelimit.UserRequests, nil, nil, func(o TxnOutcome, _ []string, _ uint64) { got = o })
	s.Tick(2 * time.Second)
	take(calls, protocol.PathTxn).done(reply(503, nil))
	s.Tick(2*time.Second + queueTimeout/2)
	again := take(calls, protocol.PathTxn)
	if again == nil || got != -1 {
		t.Fatalf("not tried again, outcome %d", got)
	}
	s.Tick(2*time.Second + 2*queueTimeout)
	again.done(reply(503, nil))
	if got != NotExecuted {
		t.Fatalf("outcome %d after its time", got)
	}
}

// The budget is an equal share; what the rules need goes first.
func TestStoreKeepsItsShareAndOrder(t *testing.T) {
	s, calls, _ := newStore(30, 30)
	s.Tick(time.Second)
	load(t, s, calls, 10, nil)
	for i := 0; i < 40; i++ {
		s.Txn(ratelimit.Background, nil, []protocol.Op{{Put: fmt.Sprint("sg/rest", i), Value: raw("")}}, func(TxnOutcome, []string, uint64) {})
	}
	s.Txn(ratelimit.Safety, nil, []protocol.Op{{Put: "sg/rules", Value: raw("")}}, func(TxnOutcome, []string, uint64) {})
	n := 0
	for at := time.Second; at <= 2*time.Second; at += 20 * time.Millisecond {
		s.Tick(at)
		for {
			c := take(calls, protocol.PathTxn)
			if c == nil {
				break
			}
			if n == 0 && !strings.Contains(string(c.call.Body), "sg/rules") {
				t.Fatalf("first: %s", c.call.Body)
			}
			n++
			c.done(reply(200, protocol.TxnResult{Revision: uint64(20 + n)}))
		}
	}
	// A share of ten a second, and the burst of half a second's worth or one
	// whole transaction.
	if n < 8 || n > 10+12 {
		t.Fatalf("%d transactions in a second", n)
	}
}
