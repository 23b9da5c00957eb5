package transport

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Pool keeps outgoing connections and sends one request at a time on each. It never has
// more connections open than its limit, over all addresses: an idle connection must not
// use up a socket that the process needs to accept a connection.
//
// Each connection has a goroutine that reads. The caller of Start writes the request, as
// far as the socket accepts it without blocking: writing it in another goroutine would
// cost another thread switch for each request.
//
// A pool has no timers: its owner calls Expire regularly. A timer for each request would
// wake the process for requests that were answered long before.
type Pool struct {
	mu        sync.Mutex
	limit     int
	conns     map[*outConn]bool          // all connections that are open or being opened
	idle      map[string][]*list.Element // by address, most recently used last
	idleByUse *list.List                 // idle *outConn of all addresses, most recently used first
}

// Call is a request. Another goroutine calls Done once with the outcome, a response or an
// error. sent is false if the request was certainly not sent, and true if it may have been
// executed. A request is never sent twice. A request that timed out may still be executed
// much later, which its caller must allow for.
type Call struct {
	Addr, Method, Target string
	Body                 []byte
	Timeout              time.Duration
	Done                 func(r *Response, sent bool, err error)
}

// outConn is a connection that is open or being opened.
type outConn struct {
	addr          string
	conn          net.Conn           // nil while it is being opened
	cancel        context.CancelFunc // cancels the opening
	reader        *bufio.Reader
	requestBuffer []byte
	usedAt        time.Time
	call          *Call       // in progress; nil if idle
	deadline      time.Time   // of the call
	timedOut      bool        // Expire ended the call after its deadline
	writing       atomic.Bool // a goroutine is still writing the rest of the request
	idleElement   *list.Element
}

// maxIdle is how long a connection is kept without requests.
const maxIdle = 30 * time.Second

// NewPool returns a pool of at most limit connections.
func NewPool(limit int) *Pool {
	return &Pool{limit: max(1, limit), conns: map[*outConn]bool{}, idle: map[string][]*list.Element{}, idleByUse: list.New()}
}

var (
	errFull    = errors.New("too many connections are open")
	errTimeout = errors.New("no answer in time")
)

// dialer sends no keep-alive probes: broken connections are noticed when they are used.
var dialer = net.Dialer{KeepAlive: -1}

// Start sends a request. It does not block.
func (p *Pool) Start(call Call) {
	now := time.Now()
	p.mu.Lock()
	k, ok := p.acquire(call.Addr, now)
	switch {
	case !ok:
		p.mu.Unlock()
		go call.Done(nil, false, errFull)
	case k != nil:
		k.call, k.deadline = &call, now.Add(call.Timeout)
		p.mu.Unlock()
		k.send(&call)
	default:
		ctx, cancel := context.WithCancel(context.Background())
		k = &outConn{addr: call.Addr, cancel: cancel, call: &call, deadline: now.Add(call.Timeout)}
		p.conns[k] = true
		p.mu.Unlock()
		go p.open(ctx, k)
	}
}

// Do sends a request and waits for its outcome.
func (p *Pool) Do(addr, method, target string, body []byte, timeout time.Duration) (r *Response, sent bool, err error) {
	done := make(chan struct{})
	p.Start(Call{addr, method, target, body, timeout, func(res *Response, s bool, e error) {
		r, sent, err = res, s, e
		close(done)
	}})
	<-done
	return r, sent, err
}

// open connects, sends the first request and then reads responses until the connection is
// closed. Its goroutine ends with the connection: after an error, after a response that
// does not allow the connection to be reused, or when the pool drops the connection.
func (p *Pool) open(ctx context.Context, k *outConn) {
	c, err := dialer.DialContext(ctx, "tcp4", k.addr)
	k.cancel()
	p.mu.Lock()
	call := k.call
	if err == nil && !p.conns[k] { // Expire dropped it while the dial succeeded
		c.Close()
		err = context.Canceled
	}
	if err != nil {
		if k.timedOut {
			err = errTimeout
		}
		delete(p.conns, k)
		p.mu.Unlock()
		call.Done(nil, false, err)
		return
	}
	k.conn, k.reader = c, bufio.NewReaderSize(c, 4096)
	p.mu.Unlock()
	k.send(call)
	for {
		r, err := ReadResponse(k.reader)
		p.mu.Lock()
		call := k.call
		k.call = nil
		open := p.conns[k]
		// A connection can't be reused if the response came before the whole request
		// was written.
		if err != nil || r.Close || call == nil || !open || k.writing.Load() {
			if err != nil && k.timedOut {
				err = errTimeout
			}
			p.drop(k)
			p.mu.Unlock()
			if call != nil {
				call.Done(r, true, err)
			}
			return
		}
		p.release(k)
		p.mu.Unlock()
		call.Done(r, true, nil)
	}
}

// maxKeptBuffer is the size in bytes of the largest request buffer that a connection reuses.
const maxKeptBuffer = 16 << 10

// send writes a request. If the socket does not accept all of it without blocking, another
// goroutine writes the rest. That goroutine ends when all is written or the connection is
// closed, at the latest by Expire. After an error send closes the connection, which the
// reading goroutine notices.
func (k *outConn) send(call *Call) {
	k.requestBuffer = AppendRequest(k.requestBuffer[:0], call.Method, call.Target, call.Addr, call.Body)
	rest, err := writeNonblocking(k.conn, k.requestBuffer)
	switch {
	case err != nil:
		k.conn.Close()
	case len(rest) > 0:
		rest = append([]byte(nil), rest...)
		k.writing.Store(true)
		go func() {
			defer k.writing.Store(false)
			if _, err := k.conn.Write(rest); err != nil {
				k.conn.Close()
			}
		}()
	}
	if cap(k.requestBuffer) > maxKeptBuffer {
		k.requestBuffer = nil
	}
}

// writeNonblocking writes as much of b as the socket accepts without blocking and returns
// the rest.
func writeNonblocking(c net.Conn, b []byte) (rest []byte, err error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		_, err = c.Write(b)
		return nil, err
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return b, err
	}
	var n int
	var failed error
	err = raw.Write(func(fd uintptr) bool {
		n, failed = syscall.Write(int(fd), b)
		return true
	})
	switch {
	case err != nil:
		return b, err
	case errors.Is(failed, syscall.EAGAIN) || errors.Is(failed, syscall.EINTR):
		return b, nil
	case failed != nil:
		return b, failed
	}
	return b[n:], nil
}

// Expire ends the calls whose deadline has passed. It returns the earliest deadline of the
// other calls, or the zero time if there are none.
func (p *Pool) Expire(now time.Time) (next time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k := range p.conns {
		switch {
		case k.call == nil:
		case now.After(k.deadline):
			k.timedOut = true
			p.drop(k) // the connection's goroutine then ends the call
		case next.IsZero() || k.deadline.Before(next):
			next = k.deadline
		}
	}
	return next
}

// drop closes a connection, even one that is being opened or has a call in progress.
func (p *Pool) drop(k *outConn) {
	p.removeIdle(k)
	delete(p.conns, k)
	if k.conn != nil {
		k.conn.Close()
	} else {
		k.cancel()
	}
}

// acquire returns an idle connection to addr, or nil and true if a new one may be opened.
// At the limit it first drops the connection that has been idle longest, of any address. ok
// is false if the limit is reached and no connection is idle.
func (p *Pool) acquire(addr string, now time.Time) (k *outConn, ok bool) {
	for q := p.idle[addr]; len(q) > 0; q = p.idle[addr] {
		k := q[len(q)-1].Value.(*outConn)
		if now.Sub(k.usedAt) < maxIdle {
			p.removeIdle(k)
			return k, true
		}
		p.drop(k)
	}
	if e := p.idleByUse.Back(); e != nil && len(p.conns) >= p.limit {
		p.drop(e.Value.(*outConn))
	}
	return nil, len(p.conns) < p.limit
}

// removeIdle removes a connection from the idle lists.
func (p *Pool) removeIdle(k *outConn) {
	if k.idleElement == nil {
		return
	}
	p.idleByUse.Remove(k.idleElement)
	q := p.idle[k.addr]
	for i := range q {
		if q[i] == k.idleElement {
			q = append(q[:i], q[i+1:]...)
			break
		}
	}
	if len(q) == 0 {
		delete(p.idle, k.addr)
	} else {
		p.idle[k.addr] = q
	}
	k.idleElement = nil
}

// release makes a connection available for other requests, and drops connections that have
// been idle for longer than maxIdle.
func (p *Pool) release(k *outConn) {
	k.usedAt = time.Now()
	k.idleElement = p.idleByUse.PushFront(k)
	p.idle[k.addr] = append(p.idle[k.addr], k.idleElement)
	for e := p.idleByUse.Back(); k.usedAt.Sub(e.Value.(*outConn).usedAt) > maxIdle; e = p.idleByUse.Back() {
		p.drop(e.Value.(*outConn))
	}
}
