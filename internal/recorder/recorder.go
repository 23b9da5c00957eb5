// Package recorder records the inputs of a controller's core, each with its time and a
// digest of its effects, so that they can be replayed through a core.
//
// A recording is a sequence of segments. A segment is a file of frames. A frame consists of
// a length, a checksum, and zstd-compressed CBOR items; the first frame of a segment holds
// its header. After kill -9 a recording is readable up to the last complete frame, and the
// inputs of less than the flush interval are missing. Recordings are for finding the causes
// of faults; a running controller never reads them.
//
// The names of the header's fields and the order of an input's fields are part of the
// stored format: they change only with the format's version.
package recorder

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Kind is the kind of an input.
type Kind uint8

// Kinds of inputs, one for each method of the core that handles inputs.
const (
	Tick Kind = iota + 1
	Request
	Reply
	Peer
)

var kindNames = [...]string{"?", "tick", "request", "reply", "peer"}

// String returns the kind's name, or "?" for an unknown kind.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return kindNames[0]
}

// Input is one input of a core. Its kind decides which fields are used; the others are
// empty and take one byte each. It is stored as an array, in the order of the fields.
type Input struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Steady  time.Duration // since the process began
	Wall    int64         // wall clock, Unix nanoseconds
	ID      uint64        // of the request, or of the call that the reply answers
	Method  string        // of a request
	Path    string        // of a request
	Status  int           // of a reply
	Sent    bool          // of a reply: whether its call was sent
	Retry   int           // of a reply: its Retry-After in seconds
	From    string        // node name of the peer
	Body    []byte        // of the request or the reply, or a peer's message
	Effects uint64        // digest of the effects; 0: none
}

// Header is the first item of a segment. It holds all that is needed to construct the
// recorded core. It is stored as a map, under the names of its fields.
type Header struct {
	Version  int       // of the format
	Build    string    // of the program
	Node     string    // the controller's name
	Life     int64     // the incarnation: the process's start in Unix nanoseconds
	Seed     [2]uint64 // of the core's random generator
	Settings []byte    // the platform's settings, JSON
	Operator []byte    // the operators' settings, YAML
	Segment  int       // number of the segment, from 0 in each incarnation
}

// version is the version of the format.
const version = 1

// Magic is the text at the beginning of each segment.
const Magic = "silvergate recording\n"

// frameHead is the number of bytes before a frame's items: their compressed length and their
// checksum, four bytes each.
const frameHead = 8

// maxFrame is the largest length of a frame in bytes, both decompressed and compressed. It
// keeps a damaged length from exhausting memory.
const maxFrame = 8 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// modes holds the CBOR modes that encode and decode items.
var modes = struct {
	enc cbor.UserBufferEncMode
	dec cbor.DecMode
}{
	enc: must(cbor.EncOptions{}.UserBufferEncMode()),
	dec: must(cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 12}.DecMode()),
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // can't happen: the options are constant
	}
	return v
}

// appendFrame appends a frame with the items to out.
func appendFrame(enc *zstd.Encoder, out, items []byte) []byte {
	head := len(out)
	body := head + frameHead
	out = append(out, make([]byte, frameHead)...)
	out = enc.EncodeAll(items, out)
	binary.BigEndian.PutUint32(out[head:], uint32(len(out)-body))
	binary.BigEndian.PutUint32(out[head+4:], crc32.Checksum(out[body:], castagnoli))
	return out
}

// ErrTorn is returned when a segment ends in the middle of a frame because the recording
// process was killed.
var ErrTorn = errors.New("the last frame is not whole")
