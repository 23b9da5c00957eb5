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

// Handler handles the requests of a server. The server calls it with its lock held.
type Handler interface {
	// Serve handles a request. The handler passes the response to Server.Answer with the
	// same id, during this call or later.
	Serve(id uint64, r *Request)
}

// PeerHandler is a Handler that also handles messages from peer links.
type PeerHandler interface {
	Handler
	// Decode reads one message from a peer link's gob stream.
	Decode(dec *gob.Decoder) (any, error)
	// Message handles a message from the peer named from.
	Message(from string, m any)
}

// Server is an evio loop that listens at two addresses, one for HTTP and one for peer
// links. It calls its handler and its hooks with one lock held, which it shares with the
// code that drives the controller's core.
type Server struct {
	mu             *sync.Mutex
	handler        Handler
	peers          PeerHandler // the handler, if it is a PeerHandler
	requestTimeout time.Duration
	open           map[*conn]bool   // all open connections
	conns          map[uint64]*conn // connections whose request has no answer yet, by request id
	lastID         uint64
	stopping       bool
	addrs          []net.Addr
	startedAt      time.Time // when the loop was started
	// ConnLimiter decides which HTTP connections may be open. It may be replaced
	// before Run.
	ConnLimiter *connlimit.Limiter
	// Classify returns the class of a connection, given a request on it. It may be
	// replaced before Run.
	Classify func(*Request) connlimit.Class
	// Idle is how long a connection of each class may stay open without requests. It
	// may be changed before Run.
	Idle [connlimit.NumClasses]time.Duration
	// Ready, if set before Run, is called once with the addresses that the server
	// listens at. They hold the actual port where port 0 was asked for.
	Ready func(addrs []net.Addr)
}

// conn is an open connection.
type conn struct {
	ev               evio.Conn
	id               uint64 // of the last request, or 0 if there was none
	in               []byte
	out              []byte
	peer             *inLink
	inData           bool // handleData is running for this connection
	busy             bool // a request is being served
	closeAfter       bool // close after the response
	closing          bool // the loop closes it, or has closed it
	counted          bool // the limiter counts it
	class            connlimit.Class
	lastRequestStart time.Time // when the pending or the last request began to arrive; before the first, when it was opened
}

// idleFactor times the request timeout is how long a connection may stay open without
// requests, unless Server.Idle is changed.
const idleFactor = 60

// NewServer returns a server that calls h with mu held. It refuses requests that have not
// arrived completely after requestTimeout, and closes new HTTP connections beyond maxConns
// at once.
func NewServer(mu *sync.Mutex, h Handler, requestTimeout time.Duration, maxConns int) *Server {
	peers, _ := h.(PeerHandler)
	s := &Server{mu: mu, handler: h, peers: peers, requestTimeout: requestTimeout, ConnLimiter: connlimit.New(connlimit.Limits{Total: maxConns}),
		Classify: func(*Request) connlimit.Class { return connlimit.User }, open: map[*conn]bool{}, conns: map[uint64]*conn{}}
	for c := range s.Idle {
		s.Idle[c] = idleFactor * requestTimeout
	}
	return s
}

// Run serves until the loop fails or Stop is called. If peerAddr is empty, the server has
// no peer links; otherwise its handler must be a PeerHandler.
func (s *Server) Run(httpAddr, peerAddr string) error {
	if peerAddr != "" && s.peers == nil {
		return errors.New("the handler does not support peer links")
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
	return errors.New("the event loop ended without an error")
}

// peerAddrIndex is the index of the peer links' address among the addresses that Run
// listens at.
const peerAddrIndex = 1

// onServing is called by the loop once it listens.
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

// onData is called by the loop when a connection has data, or after a call of its Wake.
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

// Stop ends Run. evio's loop wakes up only when something arrives, so Stop opens a
// connection to it.
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

// minServeTime is the shortest time that a server runs before Stop ends it.
//
// It guards against a Run that never returns. evio v1.0.8 starts its loop and then waits
// for the loop's signal that it has ended. On a very busy machine the loop can end before
// this wait has begun, and then evio waits forever. (A test run of ten minutes,
// docs/incidents.)
const minServeTime = 100 * time.Millisecond

// Sweep closes connections whose request arrives too slowly, and idle connections. It must
// be called about once a second, with the lock held.
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
			// them: over time they would use up the connection limit.
			k.closing = true
			k.ev.Wake()
		}
	}
}

// handleData buffers bytes that arrived on an HTTP connection and serves the complete
// requests among them. It returns the responses that are ready. After a Wake the loop calls
// it without data.
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
			s.ConnLimiter.Reclassify(k.class, class)
			k.class = class
		}
		s.handler.Serve(k.id, r)
		k.in = append(k.in[:0], k.in[n:]...)
		if cap(k.in) > 8<<10 && len(k.in) == 0 {
			k.in = nil
		}
	}
	if k.busy && len(k.in) > maxHead+maxBody {
		k.closing = true // the client sends too much while its request is being served
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
	s.AnswerWithUrgency(id, status, body, retryAfter, false)
}

// AnswerWithUrgency is Answer with urgent, which tells the connection limiter that urgent work
// depends on the connection: it is kept in preference to others.
func (s *Server) AnswerWithUrgency(id uint64, status int, body []byte, retryAfter int, urgent bool) {
	s.answer(id, status == http.StatusOK, urgent, func(dst []byte, closing bool) []byte {
		return AppendResponse(dst, status, body, retryAfter, closing)
	})
}

// AnswerWithType answers request id with status 200 and a body of the given content type. The
// server's lock must be held.
func (s *Server) AnswerWithType(id uint64, contentType string, body []byte) {
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
