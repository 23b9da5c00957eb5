package transport

import (
	"bufio"
	"container/list"
	"errors"
	"net"
	"sync"
	"time"
)

// Pool keeps outgoing connections and sends one request at a time on each. It
// never has more than its limit open, over all addresses: a socket that the
// process needs to accept a connection must not be spent on an idle one.
type Pool struct {
	mu    sync.Mutex
	limit int
	open  int
	idle  map[string][]*list.Element // by address, the latest used last
	order *list.List                 // of idle *outConn, the latest used first
}

type outConn struct {
	addr string
	c    net.Conn
	br   *bufio.Reader
	buf  []byte
	used time.Time
}

const keepIdle = 30 * time.Second

// NewPool makes a pool of at most limit connections.
func NewPool(limit int) *Pool {
	return &Pool{limit: max(1, limit), idle: map[string][]*list.Element{}, order: list.New()}
}

var errFull = errors.New("too many connections are open")

// Do sends a request to addr and waits for its response. sent is false when
// the request certainly never left, true when it may have been executed. A
// request is never sent twice: what was given up on may still be executed
// much later, and whoever asked has to know that.
func (p *Pool) Do(addr, method, target string, body []byte, timeout time.Duration) (r *Response, sent bool, err error) {
	deadline := time.Now().Add(timeout)
	k, ok := p.take(addr)
	if !ok {
		return nil, false, errFull
	}
	if k == nil {
		c, err := net.DialTimeout("tcp4", addr, timeout)
		if err != nil {
			p.mu.Lock()
			p.open--
			p.mu.Unlock()
			return nil, false, err
		}
		k = &outConn{addr: addr, c: c, br: bufio.NewReaderSize(c, 4096)}
	}
	_ = k.c.SetDeadline(deadline)
	k.buf = AppendRequest(k.buf[:0], method, target, addr, body)
	if _, err = k.c.Write(k.buf); err == nil {
		r, err = ReadResponse(k.br)
	}
	if err != nil || r.Close {
		k.c.Close()
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return r, true, err
	}
	p.put(k)
	return r, true, nil
}

// take gives a kept connection, or room for a new one (nil, true); when the
// limit is reached, the one that has been idle longest makes room.
func (p *Pool) take(addr string) (k *outConn, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for q := p.idle[addr]; len(q) > 0; q = p.idle[addr] {
		k := p.remove(q[len(q)-1])
		if now.Sub(k.used) < keepIdle {
			return k, true
		}
		k.c.Close()
		p.open--
	}
	if p.open >= p.limit {
		p.closeOldest()
	}
	if p.open >= p.limit {
		return nil, false
	}
	p.open++
	return nil, true
}

// remove takes an idle connection out of the lists.
func (p *Pool) remove(e *list.Element) *outConn {
	k := p.order.Remove(e).(*outConn)
	q := p.idle[k.addr]
	for i := range q {
		if q[i] == e {
			q = append(q[:i], q[i+1:]...)
			break
		}
	}
	if len(q) == 0 {
		delete(p.idle, k.addr)
	} else {
		p.idle[k.addr] = q
	}
	return k
}

func (p *Pool) closeOldest() {
	if e := p.order.Back(); e != nil {
		p.remove(e).c.Close()
		p.open--
	}
}

func (p *Pool) put(k *outConn) {
	if cap(k.buf) > 16<<10 {
		k.buf = nil
	}
	k.used = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[k.addr] = append(p.idle[k.addr], p.order.PushFront(k))
	for e := p.order.Back(); e != nil && k.used.Sub(e.Value.(*outConn).used) > keepIdle; e = p.order.Back() {
		p.closeOldest()
	}
}
