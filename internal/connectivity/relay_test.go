package connectivity

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvergate/internal/protocol"
)

// TestEachRelayedCallIsAnsweredOnce draws calls, answers that are right, wrong, duplicated or late, and
// deadlines that pass. Every call must be answered exactly once.
func TestEachRelayedCallIsAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := newTracker()
		now := time.Duration(0)
		answered := map[uint64]int{}
		var sent []*RelayRequest
		var responses []RelayResponse
		expire := func() {
			tracker.Advance(now)
			for _, done := range tracker.ExpireRelays() {
				done()
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				id := tracker.relays.lastID + 1
				call := protocol.Call{Method: "POST", Path: "/txn", Body: []byte{byte(id)}, Timeout: time.Second}
				sent = append(sent, tracker.StartRelay("n1", call, func(protocol.Reply) { answered[id]++ }))
			case 1:
				if len(sent) > 0 {
					request := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")]
					responses = append(responses, RelayResponse{Incarnation: request.Incarnation, ID: request.ID, RequestHash: request.hash(), Status: 200})
				}
			case 2:
				if len(responses) > 0 {
					deliverResponse(t, tracker, responses[rapid.IntRange(0, len(responses)-1).Draw(t, "which")])
				}
			case 3:
				now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
				expire()
			}
		}
		now += time.Minute
		expire()
		for _, request := range sent {
			if answered[request.ID] != 1 {
				t.Fatalf("call %d was answered %d times", request.ID, answered[request.ID])
			}
		}
	})
}

// deliverResponse delivers an answer unchanged, or changed into one that belongs to another call, which
// must not be accepted.
func deliverResponse(t *rapid.T, tracker *Tracker, response RelayResponse) {
	from, wrong := "n1", true
	switch rapid.IntRange(0, 4).Draw(t, "wrong") {
	case 1:
		response.Incarnation++
	case 2:
		response.RequestHash++
	case 3:
		from = "n2"
	default:
		wrong = false
	}
	done := tracker.CompleteRelay(from, &response)
	if wrong && done != nil {
		t.Fatal("an answer that belongs to another call was accepted")
	}
	if done != nil {
		done()
	}
}

// reachingTracker returns a tracker at the time of one second, whose link to the state service is up.
func reachingTracker() *Tracker {
	tracker := newTracker()
	tracker.Advance(time.Second)
	tracker.RecordStateReply(200)
	return tracker
}

// TestServedRelaysAreBounded checks that the calls relayed at a time are bounded, per peer and in all,
// and that calls over the bound are declined as not executed.
func TestServedRelaysAreBounded(t *testing.T) {
	tracker := reachingTracker()
	var served []string
	for i := range 400 {
		from := fmt.Sprintf("n%d", 1+i%4)
		if _, declined := tracker.AcceptRelay(from, &RelayRequest{ID: uint64(i), Method: "POST", Path: "/txn", TimeoutMS: 1500}); declined == nil {
			served = append(served, from)
		} else if declined.Status != 503 || declined.Sent {
			t.Fatalf("call declined with %+v, want status 503 and not sent", declined)
		}
	}
	if len(served) != maxRelays {
		t.Errorf("accepted %d calls, want %d", len(served), maxRelays)
	}
	for _, from := range served {
		tracker.FinishRelay(from, &RelayRequest{}, protocol.Reply{Status: 200})
	}
	for i := range 2 * maxRelaysPerPeer {
		if _, declined := tracker.AcceptRelay("n1", &RelayRequest{Method: "GET", Path: "/keys/sg/fleet", TimeoutMS: 1500}); (declined == nil) != (i < maxRelaysPerPeer) {
			t.Fatalf("call %d of one peer: declined with %v", i, declined)
		}
	}
}

// TestAcceptRelayDeclinesOtherCalls checks that calls from unknown controllers, and requests that are no
// calls to the state service, are declined.
func TestAcceptRelayDeclinesOtherCalls(t *testing.T) {
	for _, c := range []struct {
		name    string
		from    string
		request RelayRequest
	}{
		{"no timeout", "n2", RelayRequest{Method: "GET", Path: "/keys/a", TimeoutMS: 0}},
		{"timeout too long", "n2", RelayRequest{Method: "GET", Path: "/keys/a", TimeoutMS: 1 << 40}},
		{"method", "n2", RelayRequest{Method: "DELETE", Path: "/grants/3", TimeoutMS: 9}},
		{"more than a path", "n2", RelayRequest{Method: "GET", Path: "/keys/a HTTP/1.1\r\nx: y", TimeoutMS: 9}},
		{"path of another service", "n2", RelayRequest{Method: "POST", Path: "/rentals", TimeoutMS: 9}},
		{"body too large", "n2", RelayRequest{Method: "POST", Path: "/txn", TimeoutMS: 9, Body: make([]byte, maxRelayRequestBytes+1)}},
		{"stranger", "stranger", RelayRequest{Method: "GET", Path: "/keys/a", TimeoutMS: 9}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, declined := reachingTracker().AcceptRelay(c.from, &c.request); declined == nil {
				t.Errorf("%s %.40q was accepted", c.request.Method, c.request.Path)
			}
		})
	}
}

// TestAcceptRelayNeedsOwnLink checks that a controller that does not reach the state service directly
// relays nothing.
func TestAcceptRelayNeedsOwnLink(t *testing.T) {
	tracker := reachingTracker()
	request := RelayRequest{Method: "GET", Path: "/keys/a", TimeoutMS: 9}
	if _, declined := tracker.AcceptRelay("n3", &request); declined != nil {
		t.Error("a call was declined although the state service is reached directly")
	}
	for now := time.Second; now < 5*time.Second; now += 500 * time.Millisecond {
		tracker.Advance(now) // the state service does not answer
	}
	if _, declined := tracker.AcceptRelay("n3", &request); declined == nil {
		t.Error("a call was accepted although the state service is not reached directly")
	}
}

// TestTooLargeAnswers checks that a watch whose changes don't fit into a message gets status 410, after
// which all records are scanned again, and that a read gets no answer.
func TestTooLargeAnswers(t *testing.T) {
	for _, c := range []struct {
		name, path string
		want       int
	}{
		{"watch", "/watch?under=sg/&from=3&blockMs=9", http.StatusGone},
		{"read", "/keys?under=sg/", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker, got := newTracker(), -1
			request := tracker.StartRelay("n1", protocol.Call{Method: "GET", Path: c.path, Timeout: time.Second}, func(reply protocol.Reply) { got = reply.Status })
			tracker.relays.serving = map[string]int{"n1": 1}
			response := tracker.FinishRelay("n1", request, protocol.Reply{Status: 200, Body: make([]byte, maxRelayResponseBytes+1)})
			done := tracker.CompleteRelay("n1", response)
			if done == nil {
				t.Fatal("the answer was not accepted")
			}
			if done(); got != c.want {
				t.Errorf("status %d, want %d", got, c.want)
			}
		})
	}
}

// FuzzAcceptRelay passes arbitrary calls of peers to AcceptRelay: an accepted call has a known method, a
// path that can't break the request line, and a bounded timeout and body.
func FuzzAcceptRelay(f *testing.F) {
	f.Add("GET", "/keys?under=sg/", []byte(nil), int64(1500))
	f.Add("POST", "/grants/7/touch", []byte("{}"), int64(1500))
	f.Add("POST", "/txn?\r\n", []byte("x"), int64(-1))
	f.Fuzz(func(t *testing.T, method, path string, body []byte, timeoutMS int64) {
		call, declined := reachingTracker().AcceptRelay("n1", &RelayRequest{Method: method, Path: path, Body: body, TimeoutMS: timeoutMS})
		if declined != nil {
			return
		}
		oneLine := !strings.ContainsAny(call.Path, " \r\n\t\x00") && strings.HasPrefix(call.Path, "/")
		known := call.Method == "GET" || call.Method == "POST"
		bounded := call.Timeout > 0 && call.Timeout <= maxRelayTimeout && len(call.Body) <= maxRelayRequestBytes
		if !oneLine || !known || !bounded {
			t.Errorf("accepted %q %q with timeout %v", call.Method, call.Path, call.Timeout)
		}
	})
}
