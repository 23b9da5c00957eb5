package connectivity

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"silvergate/internal/protocol"
)

// A controller whose own link to the state service is down calls the service through a peer. The
// peer makes the call unchanged and sends back the result. Safety needs nothing more: to the
// caller a relayed call is a call over a longer path, and the faults that the path adds
// (transactions applied late, lost answers) already occur without relaying. This file excludes the
// faults that would be new:
//   - An answer to another call is ignored: each answer carries the caller's incarnation, the
//     call's number and the call's hash.
//   - An answer after the deadline is ignored: its call is no longer pending.
//   - A call that was executed is never reported as not executed: a call without an answer counts
//     as possibly executed unless the relaying peer itself answers that it was not.

// RelayRequest asks a peer to call the state service.
type RelayRequest struct {
	Incarnation int64  // the caller's
	ID          uint64 // counts from 1 in each incarnation
	Method      string
	Path        string
	Body        []byte
	TimeoutMS   int64
}

// RelayResponse is the result of a relayed call.
type RelayResponse struct {
	Incarnation int64  // of the request
	ID          uint64 // of the request
	RequestHash uint64 // of the call that was relayed
	Status      int    // of the state service's answer; 0: no answer
	Sent        bool   // if there was no answer: the call may have been executed
	RetryAfter  int
	Body        []byte
	TooLarge    bool // the answer was too large for a message, so Body is empty
}

// hash returns a hash of the call, which distinguishes it from other calls.
func (c *RelayRequest) hash() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.Method + " " + c.Path + "\n")
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

const (
	// maxRelaysPerPeer is how many calls of one peer are relayed at a time: its watch, a scan,
	// and as many queued calls as a controller has in flight at most. maxRelays is the same
	// for all peers together.
	maxRelaysPerPeer     = 32
	maxRelays            = 96
	maxRelayRequestBytes = 64 << 10
	// maxRelayResponseBytes is the largest answer that fits into one message between controllers.
	maxRelayResponseBytes = 768 << 10
	maxRelayTimeout       = 10 * time.Second
	// relayGrace is the time allowed for the path through a peer, beyond the call's own timeout.
	relayGrace = 500 * time.Millisecond
	// relayBackoffTime is how long a peer whose relaying failed is not used.
	relayBackoffTime = 3 * time.Second
	// maxRelayFailures is the number of failures in a row that starts the backoff.
	maxRelayFailures = 3
)

// pendingRelay is a call of ours that a peer relays.
type pendingRelay struct {
	to          string
	requestHash uint64
	deadline    time.Duration
	watch       bool
	done        func(protocol.Reply)
}

// relayTable holds the relayed calls in flight: ours through a peer, and peers' through us.
type relayTable struct {
	lastID       uint64 // of the last call that we sent through a peer
	pending      map[uint64]*pendingRelay
	via          string         // the peer that relays for us; "" while our own link is used
	failures     int            // calls in a row through that peer without the state service's answer
	serving      map[string]int // peers' calls in flight here, by peer
	servingTotal int
}

// Relay returns the name of the peer through which to call the state service now, or "" for our own
// link.
func (t *Tracker) Relay() string {
	if !t.StateServiceLost() {
		return ""
	}
	snapshot := t.Snapshot()
	via := ChooseRelay(&snapshot, t.relays.via)
	if via != t.relays.via {
		t.relays.failures = 0
	}
	t.relays.via = via
	return via
}

// ChooseRelay returns the name of the peer through which to call the state service while our own
// link to it is down, or "" if there is none. The peer must be able to relay, exchange messages with
// us both ways, and be answered directly by the service. The peer that relays now (current) is kept
// while it qualifies. Otherwise a peer that hears no workers comes first, as it has time to
// relay, then one whose name sorts after ours, so that controllers don't all choose the same peer.
//
// No safety rule depends on the choice. A relayed call is a call over a longer path, and the
// faults of that path (the call lost or late, its answer lost) occur without a relay, too.
func ChooseRelay(s *Snapshot, current string) string {
	best, bestRank := "", 0
	for i := range s.Peers {
		peer := &s.Peers[i]
		if !peer.Relays || peer.RelayBackoff || !s.Connected(peer) || milliseconds(peer.StateServiceMS) > s.StaleAfter {
			continue
		}
		rank := 0
		if peer.Controller.Node == current {
			rank += 4
		}
		if peer.HearsNoWorkers {
			rank += 2
		}
		if peer.Controller.Node > s.Self {
			rank++
		}
		if best == "" || rank > bestRank {
			best, bestRank = peer.Controller.Node, rank
		}
	}
	return best
}

// StartRelay returns the message that asks a peer to relay a call. done gets the call's reply, in a
// later step.
func (t *Tracker) StartRelay(to string, call protocol.Call, done func(protocol.Reply)) *RelayRequest {
	t.relays.lastID++
	request := &RelayRequest{
		Incarnation: t.cfg.Incarnation,
		ID:          t.relays.lastID,
		Method:      call.Method,
		Path:        call.Path,
		Body:        call.Body,
		TimeoutMS:   call.Timeout.Milliseconds(),
	}
	t.relays.pending[request.ID] = &pendingRelay{
		to:          to,
		requestHash: request.hash(),
		deadline:    t.now + call.Timeout + relayGrace,
		watch:       strings.HasPrefix(call.Path, protocol.PathWatch),
		done:        done,
	}
	t.Stats.RelaysSent++
	return request
}

// CompleteRelay handles the result of a call that a peer relayed. It returns a function that passes
// the reply to the caller, or nil if the result matches no pending call.
func (t *Tracker) CompleteRelay(from string, response *RelayResponse) func() {
	pending := t.relays.pending[response.ID]
	if pending == nil || !matchesRequest(t.cfg.Incarnation, pending.to, pending.requestHash, from, response) {
		return nil
	}
	delete(t.relays.pending, response.ID)
	reply := protocol.Reply{Status: response.Status, Sent: response.Sent, RetryAfter: response.RetryAfter, Body: response.Body}
	switch {
	case response.TooLarge && pending.watch:
		// The changes don't fit into one message. This status makes the caller scan all
		// records again, which brings the same changes page by page.
		reply = protocol.Reply{Status: http.StatusGone}
	case response.TooLarge:
		reply = protocol.Reply{Sent: true}
	}
	t.recordRelayResult(from, isServiceAnswer(response.Status))
	return func() { pending.done(reply) }
}

// matchesRequest reports whether a response answers the pending call that has the response's number.
//
// Guards against the answer to a call of an earlier incarnation: numbers begin anew in each
// incarnation, so that answer could report a transaction of this incarnation as applied when it
// was not.
func matchesRequest(incarnation int64, to string, requestHash uint64, from string, response *RelayResponse) bool {
	return response.Incarnation == incarnation && from == to && response.RequestHash == requestHash
}

// recordRelayResult records whether a call through the relaying peer brought an answer of the state
// service. After maxRelayFailures calls in a row without one, the peer's backoff starts.
func (t *Tracker) recordRelayResult(from string, answered bool) {
	if from != t.relays.via {
		return
	}
	t.relays.failures++
	if answered {
		t.relays.failures = 0
	}
	if t.relays.failures >= maxRelayFailures {
		t.relays.failures, t.relayBackoff[from] = 0, t.now+relayBackoffTime
	}
}

// ExpireRelays removes the relayed calls whose deadline has passed and returns, for each, a function
// that reports to its caller that the state service may have executed it.
func (t *Tracker) ExpireRelays() []func() {
	var expired []uint64
	for id, pending := range t.relays.pending {
		if t.now >= pending.deadline {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired) // map order is random, and equal inputs must have equal effects
	var calls []func()
	for _, id := range expired {
		pending := t.relays.pending[id]
		delete(t.relays.pending, id)
		t.Stats.RelaysLost++
		t.recordRelayResult(pending.to, false)
		calls = append(calls, func() { pending.done(protocol.Reply{Sent: true}) })
	}
	return calls
}

// AcceptRelay decides whether to relay a peer's call. It returns the call to make, or a non-nil
// response that declines it. Relaying uses none of our share of the service's rates, as the
// calling peer keeps to its own share; the connections and processor time that relaying takes are
// bounded here.
func (t *Tracker) AcceptRelay(from string, request *RelayRequest) (protocol.Call, *RelayResponse) {
	if !t.mayServe(from, request) {
		t.Stats.RelaysDeclined++
		return protocol.Call{}, &RelayResponse{Incarnation: request.Incarnation, ID: request.ID, RequestHash: request.hash(), Status: http.StatusServiceUnavailable}
	}
	if t.relays.serving == nil {
		t.relays.serving = map[string]int{}
	}
	t.relays.serving[from]++
	t.relays.servingTotal++
	t.Stats.RelaysServed++
	return protocol.Call{
		Target:  protocol.ToStateService,
		Method:  request.Method,
		Path:    request.Path,
		Body:    request.Body,
		Timeout: time.Duration(request.TimeoutMS) * time.Millisecond,
	}, nil
}

// mayServe reports whether to make a call for the peer that asks for it.
func (t *Tracker) mayServe(from string, request *RelayRequest) bool {
	switch {
	case t.peer(from) == nil,
		len(request.Body) > maxRelayRequestBytes,
		request.TimeoutMS <= 0,
		request.TimeoutMS > maxRelayTimeout.Milliseconds(),
		!isAllowedRelay(request),
		t.StateServiceLost(),
		t.relays.servingTotal >= maxRelays,
		t.relays.serving[from] >= maxRelaysPerPeer:
		return false
	}
	return true
}

// isAllowedRelay reports whether a call is one that controllers make to the state service.
func isAllowedRelay(request *RelayRequest) bool {
	if strings.ContainsFunc(request.Path, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
		return false // the path would break the request line
	}
	path, _, _ := strings.Cut(request.Path, "?")
	switch request.Method {
	case http.MethodGet:
		return path == protocol.PathKeys || strings.HasPrefix(path, protocol.PathKeys+"/") || path == protocol.PathWatch
	case http.MethodPost:
		return path == protocol.PathTxn || path == protocol.PathLeases || strings.HasPrefix(path, protocol.PathLeases+"/")
	}
	return false
}

// FinishRelay returns the message that carries a relayed call's reply back to the peer.
func (t *Tracker) FinishRelay(from string, request *RelayRequest, reply protocol.Reply) *RelayResponse {
	t.relays.serving[from]--
	t.relays.servingTotal--
	response := &RelayResponse{
		Incarnation: request.Incarnation,
		ID:          request.ID,
		RequestHash: request.hash(),
		Status:      reply.Status,
		Sent:        reply.Sent,
		RetryAfter:  reply.RetryAfter,
		Body:        reply.Body,
	}
	if len(response.Body) > maxRelayResponseBytes {
		response.Body, response.TooLarge = nil, true
	}
	return response
}
