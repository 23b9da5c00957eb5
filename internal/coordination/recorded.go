package coordination

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.yaml.in/yaml/v3"

	"silvergate/internal/config"
	"silvergate/internal/peer"
	"silvergate/internal/protocol"
	"silvergate/internal/recorder"
)

// RecordedCore is a core whose inputs are recorded. It takes what a core takes.
type RecordedCore struct {
	core   *Core
	writer *recorder.Writer
}

// NewRecordedCore records what goes into a core from now on, which must be from its beginning.
func NewRecordedCore(c *Core, w *recorder.Writer) *RecordedCore { return &RecordedCore{c, w} }

// RecordingHeader is what a recording of such a core begins with. Secrets are not in
// it: the archive's key is named, not kept.
func RecordingHeader(cfg *config.Settings, build string, incarnation int64, seed [2]uint64) (recorder.Header, error) {
	settings, err := json.Marshal(cfg)
	if err != nil {
		return recorder.Header{}, err
	}
	operator, err := yaml.Marshal(&cfg.Operator)
	return recorder.Header{Build: build, Node: cfg.Node, Life: incarnation, Seed: seed, Settings: settings, Operator: operator}, err
}

// NewFromHeader makes the core that a recording began with.
func NewFromHeader(h *recorder.Header, log *slog.Logger) (*Core, error) {
	cfg := &config.Settings{}
	if err := json.Unmarshal(h.Settings, cfg); err != nil {
		return nil, fmt.Errorf("the recording's settings: %w", err)
	}
	var err error
	if cfg.Operator, err = config.ParseOperator(h.Operator); err != nil {
		return nil, fmt.Errorf("the recording's operator settings: %w", err)
	}
	if err := cfg.LoadKeys(); err != nil {
		return nil, fmt.Errorf("the recording's operator settings: %w", err)
	}
	return New(cfg, log, rand.New(rand.NewPCG(h.Seed[0], h.Seed[1])), h.Life), nil
}

// Request is Core.Request, recorded.
func (t *RecordedCore) Request(at Timestamp, id uint64, method, path string, body []byte) Effects {
	return t.step(&recorder.Input{Kind: recorder.Request, ID: id, Method: method, Path: path, Body: body}, at,
		func() Effects { return t.core.Request(at, id, method, path, body) })
}

// Reply is Core.Reply, recorded.
func (t *RecordedCore) Reply(at Timestamp, r protocol.Reply) Effects {
	return t.step(&recorder.Input{Kind: recorder.Reply, ID: r.ID, Status: r.Status, Sent: r.Sent, Retry: r.RetryAfter, Body: r.Body}, at,
		func() Effects { return t.core.Reply(at, r) })
}

// Peer is Core.Peer, recorded.
func (t *RecordedCore) Peer(at Timestamp, from string, m peer.Message) Effects {
	body, _ := cbor.Marshal(&m) // a message of values: it always can be
	return t.step(&recorder.Input{Kind: recorder.Peer, From: from, Body: body}, at, func() Effects { return t.core.Peer(at, from, m) })
}

// Tick is Core.Tick, recorded.
func (t *RecordedCore) Tick(at Timestamp) Effects {
	return t.step(&recorder.Input{Kind: recorder.Tick}, at, func() Effects { return t.core.Tick(at) })
}

func (t *RecordedCore) step(in *recorder.Input, at Timestamp, do func() Effects) Effects {
	in.Steady, in.Wall = at.Steady, at.Wall.UnixNano()
	whole := false
	defer func() {
		if !whole { // a panic: the input that led to it matters most
			t.writer.Put(in)
			_ = t.writer.Close()
		}
	}()
	e := do()
	whole = true
	if in.Path != PathStats { // which tells of the process too, not of the core alone
		in.Effects = e.digest()
	}
	t.writer.Put(in)
	return e
}

// Replay puts a recorded input through a core. same tells whether the core did what
// it did when the input was recorded.
func (c *Core) Replay(in *recorder.Input) (e Effects, same bool, err error) {
	at := Timestamp{in.Steady, time.Unix(0, in.Wall)}
	switch in.Kind {
	case recorder.Tick:
		e = c.Tick(at)
	case recorder.Request:
		e = c.Request(at, in.ID, in.Method, in.Path, in.Body)
	case recorder.Reply:
		e = c.Reply(at, protocol.Reply{ID: in.ID, Status: in.Status, Sent: in.Sent, RetryAfter: in.Retry, Body: in.Body})
	case recorder.Peer:
		var m peer.Message
		if err := cbor.Unmarshal(in.Body, &m); err != nil {
			return e, false, fmt.Errorf("a peer's message: %w", err)
		}
		e = c.Peer(at, in.From, m)
	default:
		return e, false, fmt.Errorf("an input of unknown kind %d", in.Kind)
	}
	return e, in.Effects == 0 || in.Effects == e.digest(), nil
}

// digest is the same for the same effects in the same order, and never 0.
func (e *Effects) digest() uint64 {
	h := xxhash.New()
	var n [8]byte
	number := func(v uint64) {
		binary.LittleEndian.PutUint64(n[:], v)
		_, _ = h.Write(n[:])
	}
	bytes := func(b []byte) {
		number(uint64(len(b)))
		_, _ = h.Write(b)
	}
	text := func(s string) {
		number(uint64(len(s)))
		_, _ = h.WriteString(s)
	}
	for i := range e.Responses {
		a := &e.Responses[i]
		number(a.ID)
		number(uint64(a.Status)<<32 | uint64(a.RetryAfter)<<1)
		bytes(a.Body)
	}
	number(1)
	for i := range e.Calls {
		k := &e.Calls[i]
		number(k.ID)
		number(uint64(k.Timeout))
		text(k.Address)
		text(k.Method)
		text(k.Path)
		bytes(k.Body)
	}
	number(2)
	for i := range e.Sends {
		text(e.Sends[i].To)
		b, _ := cbor.Marshal(&e.Sends[i].Message)
		bytes(b)
	}
	return max(h.Sum64(), 1)
}
