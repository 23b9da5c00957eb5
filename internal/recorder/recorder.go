// Package recorder keeps what went into a controller's core, so that it can be put
// through a core again: every input with its time, and a digest of what the core did.
//
// A recording is a row of segments, one file each, of frames. A frame is a length, a
// checksum, and zstd-compressed CBOR items; the first frame of a segment is its
// header. A frame is written whole or not at all, so after kill -9 a recording is
// readable up to the last whole frame, and what is missing is less than flush of
// inputs. Recordings are for finding causes; nothing is read from them in service.
package recorder

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Kind is what an input is.
type Kind uint8

// Kinds of inputs, as the core takes them.
const (
	Tick Kind = iota + 1
	Request
	Reply
	Peer
)

var kinds = [...]string{"?", "tick", "request", "reply", "peer"}

// String is the kind's name, "?" of an unknown kind.
func (k Kind) String() string {
	if int(k) < len(kinds) {
		return kinds[k]
	}
	return kinds[0]
}

// Input is one input of a core. Which fields are used goes by its kind; the rest are
// empty and cost a byte each.
type Input struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Steady  time.Duration // since the process began
	Wall    int64         // nanoseconds of the day's clock
	ID      uint64        // of the request, or of the call that is answered
	Method  string
	Path    string
	Status  int
	Sent    bool
	Retry   int
	From    string
	Body    []byte // of the request or the answer; a peer's message
	Effects uint64 // digest of what the core did
}

// Header is a segment's first item: what a core is made of.
type Header struct {
	Version  int
	Build    string // of the program
	Node     string
	Life     int64     // of the process, nanoseconds of its start
	Seed     [2]uint64 // of the core's generator
	Settings []byte    // the platform's settings, JSON
	Operator []byte    // the operators' settings, YAML
	Segment  int       // counted from 0 in each life
}

// version is of the format.
const version = 1

// Magic begins a segment.
const Magic = "silvergate recording\n"

// maxFrame bounds what a frame may hold, raw and compressed: damaged lengths must not
// take the memory.
const maxFrame = 8 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var modes = struct {
	enc cbor.UserBufferEncMode
	dec cbor.DecMode
}{must(cbor.EncOptions{}.UserBufferEncMode()), must(cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 12}.DecMode())}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // constant options
	}
	return v
}

// appendFrame adds a frame with the items to out.
func appendFrame(enc *zstd.Encoder, out, items []byte) []byte {
	at := len(out)
	out = append(out, make([]byte, 8)...)
	out = enc.EncodeAll(items, out)
	binary.BigEndian.PutUint32(out[at:], uint32(len(out)-at-8))
	binary.BigEndian.PutUint32(out[at+4:], crc32.Checksum(out[at+8:], castagnoli))
	return out
}

// ErrTorn tells that a segment ends in the middle of a frame: its process was killed.
var ErrTorn = errors.New("the last frame is not whole")

// Reader reads one segment.
type Reader struct {
	Header Header
	r      io.Reader
	zstd   *zstd.Decoder
	dec    *cbor.Decoder
	at     int64
}

// NewReader reads a segment's header.
func NewReader(r io.Reader) (*Reader, error) {
	magic := make([]byte, len(Magic))
	if _, err := io.ReadFull(r, magic); err != nil || string(magic) != Magic {
		return nil, errors.New("not a recording: it does not begin as one")
	}
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxFrame))
	if err != nil {
		return nil, err
	}
	s := &Reader{r: r, zstd: z, at: int64(len(Magic))}
	raw, err := s.frame()
	if err != nil {
		return nil, fmt.Errorf("header: %w", err)
	}
	if err := modes.dec.Unmarshal(raw, &s.Header); err != nil {
		return nil, fmt.Errorf("header: %w", err)
	}
	if s.Header.Version != version {
		return nil, fmt.Errorf("header: version %d; this program reads %d", s.Header.Version, version)
	}
	return s, nil
}

// frame reads the next one; io.EOF when there is none, ErrTorn when it is cut off.
func (s *Reader) frame() ([]byte, error) {
	var head [8]byte
	switch n, err := io.ReadFull(s.r, head[:]); {
	case n == 0 && errors.Is(err, io.EOF):
		return nil, io.EOF
	case err != nil:
		return nil, ErrTorn
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxFrame {
		return nil, fmt.Errorf("byte %d: a frame of %d bytes; at most %d are possible", s.at, size, maxFrame)
	}
	raw := make([]byte, size)
	if _, err := io.ReadFull(s.r, raw); err != nil {
		return nil, ErrTorn
	}
	if crc32.Checksum(raw, castagnoli) != binary.BigEndian.Uint32(head[4:]) {
		return nil, fmt.Errorf("byte %d: the frame's checksum is wrong", s.at)
	}
	out, err := s.zstd.DecodeAll(raw, nil)
	if err != nil {
		return nil, fmt.Errorf("byte %d: %w", s.at, err)
	}
	s.at += 8 + int64(size)
	return out, nil
}

// Next reads the next input; io.EOF after the last, ErrTorn if what follows the last
// whole frame is cut off.
func (s *Reader) Next(in *Input) error {
	for {
		if s.dec != nil {
			*in = Input{}
			switch err := s.dec.Decode(in); {
			case err == nil:
				return nil
			case !errors.Is(err, io.EOF):
				return fmt.Errorf("before byte %d: %w", s.at, err)
			}
			s.dec = nil
		}
		raw, err := s.frame()
		if err != nil {
			return err
		}
		s.dec = modes.dec.NewDecoder(&bytesReader{raw})
	}
}

// bytesReader is bytes.Reader without the rest, which a decoder would probe for.
type bytesReader struct{ b []byte }

func (r *bytesReader) Read(p []byte) (int, error) {
	if len(r.b) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.b)
	r.b = r.b[n:]
	return n, nil
}
