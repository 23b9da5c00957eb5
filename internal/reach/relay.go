package reach

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

// Carry asks a peer to call the state service.
type Carry struct {
	Life      int64
	ID        uint64
	Method    string
	Path      string
	Body      []byte
	TimeoutMS int64
}

// Carried is what came of it.
type Carried struct {
	Life       int64
	ID         uint64
	Sum        uint64 // of the call that was carried
	Status     int
	Sent       bool
	RetryAfter int
	Body       []byte
	Large      bool // the answer is too large for a message
}

// sum tells calls apart.
func (c *Carry) sum() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.Method + " " + c.Path + "\n")
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

const (
	// What a peer may ask for at a time, and all of them: the watch, a reading, and as
	// many calls as a controller has under way at the most.
	carryEach = 32
	carryAll  = 96
	carryBody = 64 << 10
	// carryMost is the largest answer that goes into one message between controllers.
	carryMost = 768 << 10
	carryWait = 10 * time.Second
	// grace is what the way through a peer may take beside the call.
	grace = 500 * time.Millisecond
	// cool is how long a carrier that failed is left alone.
	cool = 3 * time.Second
)

type asked struct {
	to    string
	sum   uint64
	until time.Duration
	watch bool
	done  func(protocol.Reply)
}

// desk keeps calls under way: ours with others, others' with us.
type desk struct {
	next    uint64
	asked   map[uint64]*asked
	via     string // who carries for us; "" while our own link is used
	failed  int    // calls in a row that came back without the state service's word
	carried map[string]int
	all     int
}

// Route names the peer through which the state service is to be asked now, "" for
// our own link.
func (r *Reach) Route() string {
	if !r.Lost() {
		return ""
	}
	p := r.Picture()
	via := Carrier(&p, r.desk.via)
	if via != r.desk.via {
		r.desk.failed = 0
	}
	r.desk.via = via
	return via
}

// Ask makes the message that has a peer carry a call; done gets what comes of it,
// in a later step.
func (r *Reach) Ask(to string, k protocol.Call, done func(protocol.Reply)) *Carry {
	r.desk.next++
	c := &Carry{Life: r.cfg.Life, ID: r.desk.next, Method: k.Method, Path: k.Path, Body: k.Body, TimeoutMS: k.Timeout.Milliseconds()}
	r.desk.asked[c.ID] = &asked{to, c.sum(), r.now + k.Timeout + grace, strings.HasPrefix(k.Path, protocol.PathWatch), done}
	r.Stats.Relayed++
	return c
}

// Answer takes what came of a call that a peer carried. It returns nil if nobody waits for
// it, else what is to be called with the reply.
func (r *Reach) Answer(from string, c *Carried) func() {
	a := r.desk.asked[c.ID]
	if a == nil || !fits(r.cfg.Life, a.to, a.sum, from, c) {
		return nil
	}
	delete(r.desk.asked, c.ID)
	rep := protocol.Reply{Status: c.Status, Sent: c.Sent, RetryAfter: c.RetryAfter, Body: c.Body}
	switch {
	case c.Large && a.watch:
		// More has changed than a message holds: reading the records anew brings
		// the same, page by page.
		rep = protocol.Reply{Status: http.StatusGone}
	case c.Large:
		rep = protocol.Reply{Sent: true}
	}
	r.judge(from, answers(c.Status))
	return func() { a.done(rep) }
}

// fits tells whether an answer is to the call that has its number in this life.
//
// Guards against a call of an earlier life, whose numbers began anew: its answer would tell
// this one that a transaction was applied which was not.
func fits(life int64, to string, sum uint64, from string, c *Carried) bool {
	return c.Life == life && from == to && c.Sum == sum
}

// judge leaves a carrier alone that brings no word of the state service.
func (r *Reach) judge(from string, well bool) {
	if from != r.desk.via {
		return
	}
	if r.desk.failed++; well {
		r.desk.failed = 0
	}
	if r.desk.failed >= 3 {
		r.desk.failed, r.cooling[from] = 0, r.now+cool
	}
}

// Expire returns what is to be called for calls whose time is over: the state service may
// have carried them out.
func (r *Reach) Expire() []func() {
	var late []uint64
	for id, a := range r.desk.asked {
		if r.now >= a.until {
			late = append(late, id)
		}
	}
	slices.Sort(late) // equal inputs have equal effects
	var out []func()
	for _, id := range late {
		a := r.desk.asked[id]
		delete(r.desk.asked, id)
		r.Stats.Lost++
		r.judge(a.to, false)
		out = append(out, func() { a.done(protocol.Reply{Sent: true}) })
	}
	return out
}

// Take decides on a peer's call. It returns the call to make, or what the peer is told
// instead. Carrying takes none of our share of the service's rates, as who asks
// keeps to its own; its connections and its processor time are bounded here.
func (r *Reach) Take(from string, c *Carry) (protocol.Call, *Carried) {
	refused := &Carried{Life: c.Life, ID: c.ID, Sum: c.sum(), Status: http.StatusServiceUnavailable}
	wait := time.Duration(c.TimeoutMS) * time.Millisecond
	switch {
	case r.at(from) == nil, len(c.Body) > carryBody, c.TimeoutMS <= 0, c.TimeoutMS > carryWait.Milliseconds(), !allowed(c),
		r.Lost(), r.desk.all >= carryAll, r.desk.carried[from] >= carryEach:
		r.Stats.Declined++
		return protocol.Call{}, refused
	}
	if r.desk.carried == nil {
		r.desk.carried = map[string]int{}
	}
	r.desk.carried[from]++
	r.desk.all++
	r.Stats.Carried++
	return protocol.Call{Target: protocol.ToStateService, Method: c.Method, Path: c.Path, Body: c.Body, Timeout: wait}, nil
}

// allowed tells whether a call is one that controllers make of the state service.
func allowed(c *Carry) bool {
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

// Done makes the message that tells a peer what came of its call.
func (r *Reach) Done(from string, c *Carry, rep protocol.Reply) *Carried {
	r.desk.carried[from]--
	r.desk.all--
	out := &Carried{Life: c.Life, ID: c.ID, Sum: c.sum(), Status: rep.Status, Sent: rep.Sent, RetryAfter: rep.RetryAfter, Body: rep.Body}
	if len(out.Body) > carryMost {
		out.Body, out.Large = nil, true
	}
	return out
}
