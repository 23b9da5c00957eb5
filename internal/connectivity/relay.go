package connectivity

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"silvergate/internal/protocol"
)

// A controller whose own link to the state service is down asks through a peer. The peer
// makes the call as it is and sends back what came of it. Nothing else is needed for
// safety: to its maker a carried call is one on a longer way, and what the way adds,
// the protocol has already (transactions applied late, answers lost). What
// could be worse than that is closed here:
//   - an answer that belongs to another question: it names the asker's life, the call
//     and the call's hash;
//   - an answer after its time: it finds nobody who waits;
//   - a call that nobody knows to have been made: no answer counts as may have been
//     executed, and only the carrier's own word says that it was not.

// RelayRequest asks a peer to call the state service.
type RelayRequest struct {
	Incarnation int64
	ID          uint64
	Method      string
	Path        string
	Body        []byte
	TimeoutMS   int64
}

// RelayResponse is what came of it.
type RelayResponse struct {
	Incarnation int64
	ID          uint64
	RequestHash uint64 // of the call that was carried
	Status      int
	Sent        bool
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
	// What a peer may ask for at a time, and all of them: the watch, a reading, and as
	// many calls as a controller has under way at the most.
	maxRelaysPerPeer     = 32
	maxRelays            = 96
	maxRelayRequestBytes = 64 << 10
	// maxRelayResponseBytes is the largest answer that goes into one message between controllers.
	maxRelayResponseBytes = 768 << 10
	maxRelayTimeout       = 10 * time.Second
	// relayGrace is what the way through a peer may take beside the call.
	relayGrace = 500 * time.Millisecond
	// relayBackoffTime is how long a carrier that failed is left alone.
	relayBackoffTime = 3 * time.Second
)

type pendingRelay struct {
	to          string
	requestHash uint64
	deadline    time.Duration
	watch       bool
	done        func(protocol.Reply)
}

// relayTable keeps calls under way: ours with others, others' with us.
type relayTable struct {
	next         uint64
	pending      map[uint64]*pendingRelay
	via          string // who carries for us; "" while our own link is used
	failures     int    // calls in a row that came back without the state service's word
	serving      map[string]int
	servingTotal int
}

// Relay names the peer through which the state service is to be asked now, "" for
// our own link.
func (r *Tracker) Relay() string {
	if !r.StateServiceLost() {
		return ""
	}
	p := r.Snapshot()
	via := ChooseRelay(&p, r.relays.via)
	if via != r.relays.via {
		r.relays.failures = 0
	}
	r.relays.via = via
	return via
}

// StartRelay makes the message that has a peer carry a call; done gets what comes of it,
// in a later step.
func (r *Tracker) StartRelay(to string, k protocol.Call, done func(protocol.Reply)) *RelayRequest {
	r.relays.next++
	c := &RelayRequest{Incarnation: r.cfg.Incarnation, ID: r.relays.next, Method: k.Method, Path: k.Path, Body: k.Body, TimeoutMS: k.Timeout.Milliseconds()}
	r.relays.pending[c.ID] = &pendingRelay{to, c.hash(), r.now + k.Timeout + relayGrace, strings.HasPrefix(k.Path, protocol.PathWatch), done}
	r.Stats.RelaysSent++
	return c
}

// CompleteRelay takes what came of a call that a peer carried. It returns nil if nobody waits for
// it, else what is to be called with the reply.
func (r *Tracker) CompleteRelay(from string, c *RelayResponse) func() {
	a := r.relays.pending[c.ID]
	if a == nil || !matchesRequest(r.cfg.Incarnation, a.to, a.requestHash, from, c) {
		return nil
	}
	delete(r.relays.pending, c.ID)
	rep := protocol.Reply{Status: c.Status, Sent: c.Sent, RetryAfter: c.RetryAfter, Body: c.Body}
	switch {
	case c.TooLarge && a.watch:
		// More has changed than a message holds: reading the records anew brings
		// the same, page by page.
		rep = protocol.Reply{Status: http.StatusGone}
	case c.TooLarge:
		rep = protocol.Reply{Sent: true}
	}
	r.trackRelayFailure(from, isServiceAnswer(c.Status))
	return func() { a.done(rep) }
}

// matchesRequest tells whether an answer is to the call that has its number in this life.
//
// Guards against a call of an earlier life, whose numbers began anew: its answer would tell
// this one that a transaction was applied which was not.
func matchesRequest(incarnation int64, to string, sum uint64, from string, c *RelayResponse) bool {
	return c.Incarnation == incarnation && from == to && c.RequestHash == sum
}

// trackRelayFailure leaves a carrier alone that brings no word of the state service.
func (r *Tracker) trackRelayFailure(from string, well bool) {
	if from != r.relays.via {
		return
	}
	if r.relays.failures++; well {
		r.relays.failures = 0
	}
	if r.relays.failures >= 3 {
		r.relays.failures, r.relayBackoff[from] = 0, r.now+relayBackoffTime
	}
}

// ExpireRelays returns what is to be called for calls whose time is over: the state service may
// have carried them out.
func (r *Tracker) ExpireRelays() []func() {
	var late []uint64
	for id, a := range r.relays.pending {
		if r.now >= a.deadline {
			late = append(late, id)
		}
	}
	slices.Sort(late) // equal inputs have equal effects
	var out []func()
	for _, id := range late {
		a := r.relays.pending[id]
		delete(r.relays.pending, id)
		r.Stats.RelaysLost++
		r.trackRelayFailure(a.to, false)
		out = append(out, func() { a.done(protocol.Reply{Sent: true}) })
	}
	return out
}

// AcceptRelay decides on a peer's call. It returns the call to make, or what the peer is told
// instead. Carrying takes none of our share of the service's rates, as who asks
// keeps to its own; its connections and its processor time are bounded here.
func (r *Tracker) AcceptRelay(from string, c *RelayRequest) (protocol.Call, *RelayResponse) {
	refused := &RelayResponse{Incarnation: c.Incarnation, ID: c.ID, RequestHash: c.hash(), Status: http.StatusServiceUnavailable}
	wait := time.Duration(c.TimeoutMS) * time.Millisecond
	switch {
	case r.peer(from) == nil, len(c.Body) > maxRelayRequestBytes, c.TimeoutMS <= 0, c.TimeoutMS > maxRelayTimeout.Milliseconds(), !isAllowedRelay(c),
		r.StateServiceLost(), r.relays.servingTotal >= maxRelays, r.relays.serving[from] >= maxRelaysPerPeer:
		r.Stats.RelaysDeclined++
		return protocol.Call{}, refused
	}
	if r.relays.serving == nil {
		r.relays.serving = map[string]int{}
	}
	r.relays.serving[from]++
	r.relays.servingTotal++
	r.Stats.RelaysServed++
	return protocol.Call{Target: protocol.ToStateService, Method: c.Method, Path: c.Path, Body: c.Body, Timeout: wait}, nil
}

// isAllowedRelay tells whether a call is one that controllers make of the state service.
func isAllowedRelay(c *RelayRequest) bool {
	if strings.ContainsFunc(c.Path, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
		return false // it would not be one line of a request
	}
	path, _, _ := strings.Cut(c.Path, "?")
	switch c.Method {
	case http.MethodGet:
		return path == protocol.PathKeys || strings.HasPrefix(path, protocol.PathKeys+"/") || path == protocol.PathWatch
	case http.MethodPost:
		return path == protocol.PathTxn || path == protocol.PathLeases || strings.HasPrefix(path, protocol.PathLeases+"/")
	}
	return false
}

// FinishRelay makes the message that tells a peer what came of its call.
func (r *Tracker) FinishRelay(from string, c *RelayRequest, rep protocol.Reply) *RelayResponse {
	r.relays.serving[from]--
	r.relays.servingTotal--
	out := &RelayResponse{Incarnation: c.Incarnation, ID: c.ID, RequestHash: c.hash(), Status: rep.Status, Sent: rep.Sent, RetryAfter: rep.RetryAfter, Body: rep.Body}
	if len(out.Body) > maxRelayResponseBytes {
		out.Body, out.TooLarge = nil, true
	}
	return out
}
