package connectivity

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"silvergate/internal/protocol"
)

// A controller whose own link to the state service is down calls it through a peer. The peer
// makes the call as it is and sends back what came of it. Nothing else is needed for
// safety: to its maker a relayed call is one on a longer way, and what the way adds,
// the protocol has already (transactions applied late, answers lost). What
// could be worse than that is closed here:
//   - an answer that belongs to another call: it names the asker's incarnation, the call's
//     number and the call's hash;
//   - an answer after its deadline: it finds nobody who waits;
//   - a call that nobody knows to have been made: no answer counts as may have been
//     executed, and only the relaying peer's own answer says that it was not.

// RelayRequest asks a peer to call the state service.
type RelayRequest struct {
	Incarnation int64  // the asker's
	ID          uint64 // counts from 1 in each incarnation
	Method      string
	Path        string
	Body        []byte
	TimeoutMS   int64
}

// RelayResponse is what came of a relayed call.
type RelayResponse struct {
	Incarnation int64  // of the request
	ID          uint64 // of the request
	RequestHash uint64 // of the call that was relayed
	Status      int    // 0: no answer
	Sent        bool   // without an answer: the call may have been executed
	RetryAfter  int
	Body        []byte
	TooLarge    bool // the answer is too large for a message
}

// hash tells calls apart.
func (c *RelayRequest) hash() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.Method + " " + c.Path + "\n")
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

const (
	// maxRelaysPerPeer is what a peer may ask for at a time, and maxRelays what all of them may:
	// the watch, a reading, and as many calls as a controller has under way at the most.
	maxRelaysPerPeer     = 32
	maxRelays            = 96
	maxRelayRequestBytes = 64 << 10
	// maxRelayResponseBytes is the largest answer that goes into one message between controllers.
	maxRelayResponseBytes = 768 << 10
	maxRelayTimeout       = 10 * time.Second
	// relayGrace is what the way through a peer may take beside the call.
	relayGrace = 500 * time.Millisecond
	// relayBackoffTime is how long a peer whose relaying failed is left alone.
	relayBackoffTime = 3 * time.Second
	// maxRelayFailures is after how many failures in a row it is.
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

// relayTable keeps calls under way: ours with others, others' with us.
type relayTable struct {
	lastID       uint64
	pending      map[uint64]*pendingRelay
	via          string         // who relays for us; "" while our own link is used
	failures     int            // calls in a row that came back without the state service's answer
	serving      map[string]int // others' calls under way, by who asked
	servingTotal int
}

// Relay names the peer through which the state service is to be called now, "" for
// our own link.
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

// ChooseRelay names the peer through which the state service is called while our own link
// to it is down, "" if there is none: one that messages reach both ways and that
// the service answers itself. One that hears no workers has the time for it and goes first,
// then whoever follows us by name, so that not all choose the same. The peer that relays
// now (current) and works is kept.
//
// The rule that this must not break: none. A call that a peer relays is a call on a longer
// way; what may happen to it there (lost, late, its answer lost) may happen without it.
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

// StartRelay makes the message that has a peer relay a call; done gets what comes of it,
// in a later step.
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

// CompleteRelay takes what came of a call that a peer relayed. It returns nil if nobody waits for
// it, else what is to be called with the reply.
func (t *Tracker) CompleteRelay(from string, response *RelayResponse) func() {
	pending := t.relays.pending[response.ID]
	if pending == nil || !matchesRequest(t.cfg.Incarnation, pending.to, pending.requestHash, from, response) {
		return nil
	}
	delete(t.relays.pending, response.ID)
	reply := protocol.Reply{Status: response.Status, Sent: response.Sent, RetryAfter: response.RetryAfter, Body: response.Body}
	switch {
	case response.TooLarge && pending.watch:
		// More has changed than a message holds: reading the records anew brings
		// the same, page by page.
		reply = protocol.Reply{Status: http.StatusGone}
	case response.TooLarge:
		reply = protocol.Reply{Sent: true}
	}
	t.recordRelayResult(from, isServiceAnswer(response.Status))
	return func() { pending.done(reply) }
}

// matchesRequest tells whether an answer is to the call that has its number in this incarnation.
//
// Guards against a call of an earlier incarnation, whose numbers began anew: its answer would tell
// this one that a transaction was applied which was not.
func matchesRequest(incarnation int64, to string, requestHash uint64, from string, response *RelayResponse) bool {
	return response.Incarnation == incarnation && from == to && response.RequestHash == requestHash
}

// recordRelayResult leaves a relaying peer alone that brings no answer of the state service.
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

// ExpireRelays returns what is to be called for calls whose deadline has passed: the state service
// may have carried them out.
func (t *Tracker) ExpireRelays() []func() {
	var expired []uint64
	for id, pending := range t.relays.pending {
		if t.now >= pending.deadline {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired) // equal inputs have equal effects
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

// AcceptRelay decides on a peer's call. It returns the call to make, or what the peer is told
// instead, if that is not nil. Relaying takes none of our share of the service's rates, as who asks
// keeps to its own; its connections and its processor time are bounded here.
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

// mayServe tells whether a call is made for who asks.
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

// isAllowedRelay tells whether a call is one that controllers make of the state service.
func isAllowedRelay(request *RelayRequest) bool {
	if strings.ContainsFunc(request.Path, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
		return false // it would not be one line of a request
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

// FinishRelay makes the message that tells a peer what came of its call.
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
