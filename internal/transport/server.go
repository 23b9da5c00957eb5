package transport

import (
	"encoding/gob"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/tidwall/evio"

	"silvergate/internal/connlimit"
)

// Handler is what the server calls, always with the server's lock held.
type Handler interface {
	// Serve takes a request; its answer goes to Server.Answer under id, at
	// once or later.
	Serve(id uint64, r *Request)
}

// PeerHandler is a Handler that also takes peer links.
type PeerHandler interface {
	Handler
	// Decode reads one message from a peer link's gob stream.
	Decode(dec *gob.Decoder) (any, error)
	// Message takes a message from a peer link.
	Message(from string, m any)
}

// Server is one evio loop with two addresses: HTTP and peer links. Everything
// it calls runs under one lock, shared with whoever steps the core.
type Server struct {
	mu             *sync.Mutex
	handler        Handler
	peers          PeerHandler // the handler, if it takes peer links
	requestTimeout time.Duration
	open           map[*conn]bool
	conns          map[uint64]*conn
	lastID         uint64
	stopping       bool
	addrs          []net.Addr
	startedAt      time.Time // when the loop was started
	// ConnLimiter decides which HTTP connections may be open. It may be replaced
	// before Run.
	ConnLimiter *connlimit.Limiter
	// Classify tells the class of a connection from a request on it. It may be
	// replaced before Run.
	Classify func(*Request) connlimit.Class
	// Idle is how long a connection of each class may stay open without requests. It
	// may be changed before Run.
	Idle [connlimit.Classes]time.Duration
	// Ready, if set before Run, is called once with the addresses that the
	// server listens at; a port of 0 in them was chosen by the system.
	Ready func(addrs []net.Addr)
}

// conn is an open connection.
type conn struct {
	ev               evio.Conn
	id               uint64 // the id of the request being served, or 0
	in               []byte
	out              []byte
	peer             *inLink
	inData           bool // the loop is in this connection's Data call
	busy             bool
	closeAfter       bool // close after the answer
	closing          bool
	counted          bool // the limiter counts it
	class            connlimit.Class
	lastRequestStart time.Time // when the pending or the last request began to arrive
}

// idleFactor is how many times longer than a slow request a connection may
// stay open without any, if Server.Idle does not say otherwise.
const idleFactor = 60

// NewServer makes a server. Requests that have not arrived whole after
// requestTimeout are refused, and HTTP connections beyond maxConns are closed on arrival.
func NewServer(mu *sync.Mutex, h Handler, requestTimeout time.Duration, maxConns int) *Server {
	peers, _ := h.(PeerHandler)
	s := &Server{mu: mu, handler: h, peers: peers, requestTimeout: requestTimeout, ConnLimiter: connlimit.New(connlimit.Limits{Total: maxConns}),
		Classify: func(*Request) connlimit.Class { return connlimit.User }, open: map[*conn]bool{}, conns: map[uint64]*conn{}}
	for c := range s.Idle {
		s.Idle[c] = idleFactor * requestTimeout
	}
	return s
}

// Run serves until the loop fails or Stop is called. Without a peerAddr there
// are no peer links; with one the handler must be a PeerHandler.
func (s *Server) Run(httpAddr, peerAddr string) error {
	if peerAddr != "" && s.peers == nil {
		return errors.New("the handler takes no peer links")
	}
	addrs := []string{"tcp4://" + httpAddr}
	if peerAddr != "" {
		addrs = append(addrs, "tcp4://"+peerAddr)
	}
	events := evio.Events{
		NumLoops: 1,
		Serving:  s.onServing,
		Opened:   s.onOpened,
		Closed:   s.onClosed,
		Data:     s.onData,
	}
	err := evio.Serve(events, addrs...)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopping:
		return nil
	case err != nil:
		return err
	}
	return errors.New("event loop ended")
}

// peerAddrIndex is the index of the address for peer links among those of Run.
const peerAddrIndex = 1

// onServing is called by the loop when it listens.
func (s *Server) onServing(e evio.Server) evio.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addrs, s.startedAt = e.Addrs, time.Now()
	if s.Ready != nil {
		s.Ready(e.Addrs)
	}
	return evio.None
}

// onOpened is called by the loop for each new connection.
func (s *Server) onOpened(c evio.Conn) ([]byte, evio.Options, evio.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil, evio.Options{}, evio.Shutdown
	}
	k := &conn{ev: c, lastRequestStart: time.Now()}
	c.SetContext(k)
	s.open[k] = true
	if c.AddrIndex() == peerAddrIndex {
		k.peer = newInLink()
	} else if k.counted = s.ConnLimiter.Open(); !k.counted {
		refusal := AppendResponse(nil, http.StatusServiceUnavailable, []byte(`{"error":"too many connections"}`), 1, true)
		return refusal, evio.Options{}, evio.Close
	}
	return nil, evio.Options{ReuseInputBuffer: true}, evio.None
}

// onClosed is called by the loop when a connection has been closed.
func (s *Server) onClosed(c evio.Conn, _ error) evio.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := c.Context().(*conn)
	if !ok {
		return evio.None
	}
	if k.counted {
		s.ConnLimiter.Close(k.class)
	}
	delete(s.conns, k.id)
	delete(s.open, k)
	k.closing = true
	return evio.None
}

// onData is called by the loop when a connection has data, or was woken.
func (s *Server) onData(c evio.Conn, in []byte) ([]byte, evio.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := c.Context().(*conn)
	if k.peer == nil {
		return s.handleData(k, in)
	}
	if err := k.peer.receive(in, s.peers); err != nil {
		return nil, evio.Close
	}
	return nil, evio.None
}

// Stop ends Run. evio's loop wakes only when something arrives, so Stop opens a connection
// to it.
func (s *Server) Stop() {
	s.mu.Lock()
	s.stopping = true
	addrs, startedAt := s.addrs, s.startedAt
	s.mu.Unlock()
	if len(addrs) > 0 {
		time.Sleep(minServeTime - time.Since(startedAt))
		if c, err := net.DialTimeout("tcp4", addrs[0].String(), time.Second); err == nil {
			c.Close()
		}
	}
}

// minServeTime is how long a server has served at least when it is stopped.
//
// Guards against a Run that never returns: evio v1.0.8 starts its loop and then waits for
// the loop's signal that it has ended. A loop that ends before the wait has begun, on a
// very busy machine, is waited for for ever. (A test run of ten minutes, docs/incidents.)
const minServeTime = 100 * time.Millisecond

// Sweep cuts off slow senders and connections that nobody uses. It is to be
// called about once a second, with the lock held.
func (s *Server) Sweep(now time.Time) {
	for k := range s.open {
		switch {
		case k.peer != nil || k.busy || k.closing:
		case len(k.in) > 0 && now.Sub(k.lastRequestStart) > s.requestTimeout:
			k.out = AppendResponse(k.out, http.StatusRequestTimeout, []byte(`{"error":"request too slow"}`), 0, true)
			k.closing = true
			k.ev.Wake()
		case now.Sub(k.lastRequestStart) > s.Idle[k.class]:
			// Guards against connections whose other end failed without closing
			// them: they would fill the limit in time.
			k.closing = true
			k.ev.Wake()
		}
	}
}

// handleData takes what arrived on an HTTP connection and serves the requests in it. It returns
// the responses that are ready. The loop calls it without data after a Wake.
func (s *Server) handleData(k *conn, in []byte) ([]byte, evio.Action) {
	k.inData = true
	if len(in) > 0 && !k.closing {
		if len(k.in) == 0 {
			k.lastRequestStart = time.Now()
		}
		k.in = append(k.in, in...)
	}
	for !k.busy && !k.closing && len(k.in) > 0 {
		r, n, err := ParseRequest(k.in)
		if err != nil {
			k.out = AppendResponse(k.out, err.Status, []byte(`{"error":"`+err.Reason+`"}`), 0, true)
			k.closing = true
			break
		}
		if n == 0 {
			break
		}
		s.lastID++
		k.id, k.busy = s.lastID, true
		s.conns[k.id] = k
		k.closeAfter = r.Close
		if class := s.Classify(r); class != k.class {
			s.ConnLimiter.Use(k.class, class)
			k.class = class
		}
		s.handler.Serve(k.id, r)
		k.in = append(k.in[:0], k.in[n:]...)
		if cap(k.in) > 8<<10 && len(k.in) == 0 {
			k.in = nil
		}
	}
	if k.busy && len(k.in) > maxHead+maxBody {
		k.closing = true // floods while a request is being served
	}
	k.inData = false
	out := k.out
	k.out = nil
	if k.closing {
		return out, evio.Close
	}
	return out, evio.None
}

// Answer sends the response to request id. The server's lock must be held.
func (s *Server) Answer(id uint64, status int, body []byte, retryAfter int) {
	s.AnswerFor(id, status, body, retryAfter, false)
}

// AnswerFor is Answer for one whose connection is given up after others: urgent
// work depends on it.
func (s *Server) AnswerFor(id uint64, status int, body []byte, retryAfter int, urgent bool) {
	s.answer(id, status == http.StatusOK, urgent, func(dst []byte, closing bool) []byte {
		return AppendResponse(dst, status, body, retryAfter, closing)
	})
}

// AnswerAs answers request id with status 200 and a body that is not JSON. The
// server's lock must be held.
func (s *Server) AnswerAs(id uint64, contentType string, body []byte) {
	s.answer(id, true, false, func(dst []byte, closing bool) []byte {
		return appendResponse(dst, http.StatusOK, contentType, body, 0, closing)
	})
}

func (s *Server) answer(id uint64, served, urgent bool, write func(dst []byte, closing bool) []byte) {
	k := s.conns[id]
	if k == nil {
		return
	}
	delete(s.conns, id)
	k.busy = false
	k.closeAfter = k.closeAfter || !s.ConnLimiter.KeepAlive(k.class, served, urgent)
	k.out = write(k.out, k.closeAfter)
	k.closing = k.closing || k.closeAfter
	if !k.inData {
		k.ev.Wake()
	}
}
