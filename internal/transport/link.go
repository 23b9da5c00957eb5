package transport

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"net"
	"sync"
	"time"
)

// A peer link carries gob values in one direction. Each value is in a frame that begins
// with its length. A link has one encoder and one decoder for as long as it is open, so
// that type descriptions are sent once. The first frame is a greeting with the sender's
// name.

const (
	frameHead      = 4        // bytes that hold a frame's length
	maxFrame       = 1 << 20  // bytes
	maxQueued      = 256      // messages waiting to be sent on a link
	maxFrameBuffer = 64 << 10 // bytes of the largest buffer that a link reuses
	writeTimeout   = 2 * time.Second
	dialTimeout    = time.Second
)

// inLink is the receiving side of a peer link.
type inLink struct {
	buf  []byte
	data bytes.Buffer
	dec  *gob.Decoder
	from string
}

func newInLink() *inLink {
	l := &inLink{}
	l.dec = gob.NewDecoder(&l.data)
	return l
}

// receive buffers bytes that arrived on the link and passes each complete message to h.
func (l *inLink) receive(in []byte, h PeerHandler) error {
	l.buf = append(l.buf, in...)
	for len(l.buf) >= frameHead {
		n := int(binary.BigEndian.Uint32(l.buf))
		if n > maxFrame {
			return errors.New("frame too large")
		}
		if len(l.buf) < frameHead+n {
			return nil
		}
		l.data.Reset()
		l.data.Write(l.buf[frameHead : frameHead+n])
		l.buf = append(l.buf[:0], l.buf[frameHead+n:]...)
		if l.from == "" {
			if err := l.dec.Decode(&l.from); err != nil || l.from == "" {
				return errors.New("bad greeting")
			}
			continue
		}
		m, err := h.Decode(l.dec)
		if err != nil {
			return err
		}
		h.Message(l.from, m)
	}
	return nil
}

// OutLink is the sending side of a peer link. It connects when there is a message to send,
// and drops messages that it can't send: peer messages only save time.
type OutLink struct {
	self, addr string
	mu         sync.Mutex
	queue      []any
	wake       chan struct{}
}

// NewOutLink starts a link from self to the peer at addr. A link is never closed: its
// goroutine runs as long as the process.
func NewOutLink(self, addr string) *OutLink {
	l := &OutLink{self: self, addr: addr, wake: make(chan struct{}, 1)}
	go l.run()
	return l
}

// Send queues a message, or drops it if the queue is full. It does not block.
func (l *OutLink) Send(m any) {
	l.mu.Lock()
	if len(l.queue) < maxQueued {
		l.queue = append(l.queue, m)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run sends the queued messages. It never returns.
func (l *OutLink) run() {
	var c net.Conn
	var enc *gob.Encoder
	var buf bytes.Buffer
	// Each value gets a frame of its own. All queued frames are written together, so
	// that the peer wakes up once.
	encodeFrame := func(m any) error {
		head := buf.Len()
		buf.Write(make([]byte, frameHead))
		if err := enc.Encode(m); err != nil {
			return err
		}
		binary.BigEndian.PutUint32(buf.Bytes()[head:], uint32(buf.Len()-head-frameHead))
		return nil
	}
	send := func(messages []any) error {
		buf.Reset()
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp4", l.addr, dialTimeout); err != nil {
				return err
			}
			enc = gob.NewEncoder(&buf)
			messages = append([]any{l.self}, messages...)
		}
		for _, m := range messages {
			if err := encodeFrame(m); err != nil {
				return err
			}
		}
		rest, err := writeNonblocking(c, buf.Bytes())
		if err == nil && len(rest) > 0 {
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err = c.Write(rest)
			_ = c.SetWriteDeadline(time.Time{}) // stops the timer, which would wake the process
		}
		return err
	}
	for range l.wake {
		l.mu.Lock()
		messages := l.queue
		l.queue = nil
		l.mu.Unlock()
		if err := send(messages); err != nil && c != nil {
			c.Close()
			c = nil
		}
		if buf.Cap() > maxFrameBuffer {
			buf = bytes.Buffer{}
		}
	}
}
