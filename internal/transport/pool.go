package transport

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// Pool keeps connections to one address and sends one request at a time on
// each.
type Pool struct {
	addr string
	mu   sync.Mutex
	idle []*outConn
}

type outConn struct {
	c    net.Conn
	br   *bufio.Reader
	buf  []byte
	used time.Time
}

const (
	keepIdle = 30 * time.Second
	maxIdle  = 8
)

// NewPool makes a pool for addr.
func NewPool(addr string) *Pool { return &Pool{addr: addr} }

// Do sends a request and waits for its response. sent is false when the
// request certainly never left, true when it may have been executed.
func (p *Pool) Do(method, target string, body []byte, timeout time.Duration) (r *Response, sent bool, err error) {
	deadline := time.Now().Add(timeout)
	k := p.take()
	if k == nil {
		c, err := net.DialTimeout("tcp4", p.addr, timeout)
		if err != nil {
			return nil, false, err
		}
		k = &outConn{c: c, br: bufio.NewReaderSize(c, 4096)}
	}
	_ = k.c.SetDeadline(deadline)
	k.buf = AppendRequest(k.buf[:0], method, target, p.addr, body)
	if _, err = k.c.Write(k.buf); err != nil {
		k.c.Close()
		return nil, true, err
	}
	r, err = ReadResponse(k.br)
	if err != nil {
		k.c.Close()
		return nil, true, err
	}
	if r.Close {
		k.c.Close()
		return r, true, nil
	}
	p.put(k)
	return r, true, nil
}

func (p *Pool) take() *outConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.idle) > 0 {
		k := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Sub(k.used) < keepIdle {
			return k
		}
		k.c.Close()
	}
	return nil
}

func (p *Pool) put(k *outConn) {
	if cap(k.buf) > 16<<10 {
		k.buf = nil
	}
	k.used = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdle {
		p.idle[0].c.Close()
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	p.idle = append(p.idle, k)
}
