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

// RecordedCore is a core whose inputs are recorded. It takes the inputs that a Core takes.
// It is not safe for concurrent use.
type RecordedCore struct {
	core   *Core
	writer *recorder.Writer
}

// NewRecordedCore records the inputs of c with w, which must be new: a recording can only
// be replayed from the first input of an incarnation. The caller closes w after the last.
func NewRecordedCore(c *Core, w *recorder.Writer) *RecordedCore {
	return &RecordedCore{core: c, writer: w}
}

// RecordingHeader is the header of a recording, from which NewFromHeader makes the core
// that New makes of the same settings, incarnation and seed. Secrets are not in it: the
// file of the archive's key is named, but its content is not kept.
func RecordingHeader(cfg *config.Settings, build string, incarnation int64, seed [2]uint64) (recorder.Header, error) {
	settings, err := json.Marshal(cfg)
	if err != nil {
		return recorder.Header{}, fmt.Errorf("encoding the settings: %w", err)
	}
	operator, err := yaml.Marshal(&cfg.Operator)
	if err != nil {
		return recorder.Header{}, fmt.Errorf("encoding the operator settings: %w", err)
	}
	return recorder.Header{
		Build:    build,
		Node:     cfg.Node,
		Life:     incarnation,
		Seed:     seed,
		Settings: settings,
		Operator: operator,
	}, nil
}

// NewFromHeader makes the core that was recorded, as it was before its first input. The
// keys that the settings name are read from their files.
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

// step records an input with the digest of the effects that do has.
func (t *RecordedCore) step(in *recorder.Input, at Timestamp, do func() Effects) Effects {
	in.Steady, in.Wall = at.Steady, at.Wall.UnixNano()
	returned := false
	defer func() {
		if !returned { // a panic: the input that led to it matters most
			t.writer.Put(in)
			_ = t.writer.Close()
		}
	}()
	effects := do()
	returned = true
	if in.Path != PathStats { // its response depends on the process, not on the core alone
		in.Effects = effects.digest()
	}
	t.writer.Put(in)
	return effects
}

// Replay puts a recorded input through a core. same tells whether the effects are those
// that were recorded. An input that can't be read is an error.
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

// digest is a hash of the effects in their order, and never 0, which stands for none. It
// is stored in recordings: what it covers must not change.
func (e *Effects) digest() uint64 {
	h := xxhash.New()
	var buffer [8]byte
	number := func(v uint64) {
		binary.LittleEndian.PutUint64(buffer[:], v)
		_, _ = h.Write(buffer[:])
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
		response := &e.Responses[i]
		number(response.ID)
		number(uint64(response.Status)<<32 | uint64(response.RetryAfter)<<1)
		bytes(response.Body)
	}
	number(digestCalls)
	for i := range e.Calls {
		call := &e.Calls[i]
		number(call.ID)
		number(uint64(call.Timeout))
		text(call.Address)
		text(call.Method)
		text(call.Path)
		bytes(call.Body)
	}
	number(digestSends)
	for i := range e.Sends {
		text(e.Sends[i].To)
		body, _ := cbor.Marshal(&e.Sends[i].Message) // a message of values: it always can be
		bytes(body)
	}
	return max(h.Sum64(), 1)
}

// Numbers that separate the lists of effects in a digest.
const (
	digestCalls = 1
	digestSends = 2
)
