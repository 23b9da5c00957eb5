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

// RecordedCore is a core whose inputs are recorded. It has the input methods of Core.
// It is not safe for concurrent use.
type RecordedCore struct {
	core   *Core
	writer *recorder.Writer
}

// NewRecordedCore returns a core that records the inputs of c with w. Both c and w must be new: a
// recording can only be replayed from the first input of an incarnation. The caller closes w after
// the last input.
func NewRecordedCore(c *Core, w *recorder.Writer) *RecordedCore {
	return &RecordedCore{core: c, writer: w}
}

// RecordingHeader returns the header of a recording. From it, NewFromHeader makes the same core
// as New does from these settings, incarnation and seed. The header holds no secrets: it names
// the file with the archive's key, but does not contain the key.
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

// NewFromHeader returns the core of a recording, as it was before its first input. It reads the
// keys that the settings name from their files.
func NewFromHeader(h *recorder.Header, log *slog.Logger) (*Core, error) {
	cfg := &config.Settings{}
	if err := json.Unmarshal(h.Settings, cfg); err != nil {
		return nil, fmt.Errorf("decoding the recording's settings: %w", err)
	}
	var err error
	if cfg.Operator, err = config.ParseOperator(h.Operator); err != nil {
		return nil, fmt.Errorf("parsing the recording's operator settings: %w", err)
	}
	if err := cfg.LoadKeys(); err != nil {
		return nil, fmt.Errorf("loading the keys of the recording's operator settings: %w", err)
	}
	return New(cfg, log, rand.New(rand.NewPCG(h.Seed[0], h.Seed[1])), h.Life), nil
}

// Request calls Core.Request and records the input.
func (t *RecordedCore) Request(at Timestamp, id uint64, method, path string, body []byte) Effects {
	return t.step(&recorder.Input{Kind: recorder.Request, ID: id, Method: method, Path: path, Body: body}, at,
		func() Effects { return t.core.Request(at, id, method, path, body) })
}

// Reply calls Core.Reply and records the input.
func (t *RecordedCore) Reply(at Timestamp, r protocol.Reply) Effects {
	return t.step(&recorder.Input{Kind: recorder.Reply, ID: r.ID, Status: r.Status, Sent: r.Sent, Retry: r.RetryAfter, Body: r.Body}, at,
		func() Effects { return t.core.Reply(at, r) })
}

// Peer calls Core.Peer and records the input.
func (t *RecordedCore) Peer(at Timestamp, from string, m peer.Message) Effects {
	body, _ := cbor.Marshal(&m) // never fails: a message holds plain values only
	return t.step(&recorder.Input{Kind: recorder.Peer, From: from, Body: body}, at, func() Effects { return t.core.Peer(at, from, m) })
}

// Tick calls Core.Tick and records the input.
func (t *RecordedCore) Tick(at Timestamp) Effects {
	return t.step(&recorder.Input{Kind: recorder.Tick}, at, func() Effects { return t.core.Tick(at) })
}

// step calls do, which passes an input to the core, and records the input with the digest of its
// effects.
func (t *RecordedCore) step(in *recorder.Input, at Timestamp, do func() Effects) Effects {
	in.Steady, in.Wall = at.Steady, at.Wall.UnixNano()
	returned := false
	defer func() {
		if !returned { // do panicked: the input that caused it matters most
			t.writer.Put(in)
			_ = t.writer.Close()
		}
	}()
	effects := do()
	returned = true
	if in.Path != PathStats { // this response depends on the process as well as on the core
		in.Effects = effects.digest()
	}
	t.writer.Put(in)
	return effects
}

// Replay passes a recorded input to a core. same reports whether the effects match the recorded
// digest; it is also true if the input has no digest. An input that can't be decoded is an error.
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
			return e, false, fmt.Errorf("decoding a peer's message: %w", err)
		}
		e = c.Peer(at, in.From, m)
	default:
		return e, false, fmt.Errorf("recorded input has unknown kind %d", in.Kind)
	}
	return e, in.Effects == 0 || in.Effects == e.digest(), nil
}

// digest returns a hash of the effects in order. It is never 0, which stands for no digest.
// Digests are stored in recordings, so the data that they cover must not change.
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
		body, _ := cbor.Marshal(&e.Sends[i].Message) // never fails: a message holds plain values only
		bytes(body)
	}
	return max(h.Sum64(), 1)
}

// These numbers separate the lists of effects in a digest.
const (
	digestCalls = 1
	digestSends = 2
)
