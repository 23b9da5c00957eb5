// Package archive says what is kept of a task's output and files, where, for
// whom and how long. It is decisions and formats alone, without I/O or a clock:
//
//   - record.go: records, their keys and their frames on the wire and on disk;
//   - grant.go: a controller's sealed statement that an attempt runs on a machine, and
//     whose it is;
//   - access.go: who may do what, in one function;
//   - place.go: which nodes keep a task's records, and when a record counts as kept;
//   - tree.go: digests by which two nodes find what the other lacks;
//   - stream.go: a stream's segments, gaps and end put together again;
//   - retain.go: what is dropped when.
//
// All records are immutable and named by what they are of and a digest of what
// they hold. So the archive is a set that only grows until something expires: two
// nodes agree as soon as each has what the other has, in whatever order it came.
package archive

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/blake3"

	"silvergate/internal/identity"
	"silvergate/internal/protocol"
)

// Attempt is one start of a task on a machine.
type Attempt struct {
	Job     string `json:"job"`
	Task    int    `json:"task"`
	Try     int    `json:"try"`
	Machine string `json:"machine"`
}

// Bounds of what a record may hold.
const (
	maxNumber = 99_999_999
	// MaxSegment is how much output a segment holds at the most, in bytes.
	MaxSegment = 256 << 10
	// ChunkSize is the length in bytes of the chunks that files are cut into; the
	// last is shorter.
	ChunkSize = 1 << 20
	// MaxPayload is the length in bytes of a record's largest payload: a chunk that
	// does not compress.
	MaxPayload = ChunkSize + 64<<10
	maxKey     = 400
)

// Files returns the attempt under which the chunks of a job's files are kept: not with an attempt, so
// that equal ones are stored once for all tasks of the job. They are not shared
// between jobs: whether a file had to be sent would tell who else has it.
func Files(job string) Attempt { return Attempt{job, maxNumber, 0, "files"} }

// String returns the attempt's name; names order as attempts do.
func (a Attempt) String() string {
	return fmt.Sprintf("%s/%08d/%08d/%s", a.Job, a.Task, a.Try, a.Machine)
}

// Check returns an error if a field of the attempt is invalid.
func (a Attempt) Check() error {
	if !protocol.ValidJobID(a.Job) || a.Task < 0 || a.Task > maxNumber || a.Try < 0 || a.Try > maxNumber || !identity.ValidName(a.Machine) {
		return fmt.Errorf("no attempt: %.100q", a.String())
	}
	return nil
}

// ParseAttempt reads a name that Attempt.String made. It accepts no other form.
func ParseAttempt(s string) (Attempt, error) {
	f := strings.Split(s, "/")
	if len(f) != 4 {
		return Attempt{}, fmt.Errorf("no attempt: %.100q", s)
	}
	task, err1 := strconv.Atoi(f[1])
	try, err2 := strconv.Atoi(f[2])
	a := Attempt{f[0], task, try, f[3]}
	if err1 != nil || err2 != nil || a.Check() != nil || a.String() != s {
		return Attempt{}, fmt.Errorf("no attempt: %.100q", s)
	}
	return a, nil
}

// Kind is what a record holds.
type Kind byte

// Kinds of records. They are part of stored keys.
const (
	KindGrant    Kind = 'a' // whose attempt it is: a Grant
	KindSegment  Kind = 's' // output: a Segment
	KindGap      Kind = 'g' // output that is lost, and why: a Gap
	KindEnd      Kind = 'e' // how the attempt ended: an End
	KindFile     Kind = 'm' // a file that was kept: a File
	KindChunk    Kind = 'c' // a piece of files
	KindExpired  Kind = 'x' // what was dropped, and why: an Expired
	kindsInOrder      = "acegmsx"
)

// Key names a record.
type Key struct {
	Attempt Attempt
	Kind    Kind
	// Name is a segment's or a gap's place in its stream, as At writes it; other
	// kinds have none.
	Name string
	// Digest is the payload's, as DigestOf returns it.
	Digest string
}

// digestLen is how much of a payload's BLAKE3 stands in its key, in hexadecimal.
// A chunk's key has all of it.
const digestLen = 32

// DigestOf returns the digest that a record of a kind has in its key.
func DigestOf(kind Kind, payload []byte) string {
	sum := blake3.Sum256(payload)
	d := hex.EncodeToString(sum[:])
	if kind == KindChunk {
		return d
	}
	return d[:digestLen]
}

// String returns the key as it is stored: all keys of an attempt are together.
func (k Key) String() string {
	return k.Attempt.String() + "/" + string(rune(k.Kind)) + "/" + k.Name + "/" + k.Digest
}

// ParseKey reads a key that Key.String made. It accepts no other form.
func ParseKey(s string) (Key, error) {
	bad := func() (Key, error) { return Key{}, fmt.Errorf("no record's key: %.100q", s) }
	f := strings.Split(s, "/")
	if len(s) > maxKey || len(f) != 7 || len(f[4]) != 1 {
		return bad()
	}
	a, err := ParseAttempt(strings.Join(f[:4], "/"))
	if err != nil {
		return bad()
	}
	k := Key{a, Kind(f[4][0]), f[5], f[6]}
	want := digestLen
	if k.Kind == KindChunk {
		want = 64
	}
	if raw, err := hex.DecodeString(k.Digest); err != nil || len(k.Digest) != want || hex.EncodeToString(raw) != k.Digest || !strings.ContainsRune(kindsInOrder, rune(k.Kind)) {
		return bad()
	}
	switch k.Kind {
	case KindSegment, KindGap:
		if _, _, n, err := k.StreamPosition(); err != nil || (n == 0) != (k.Kind == KindGap) {
			return bad()
		}
	default:
		if k.Name != "" {
			return bad()
		}
	}
	// With the chunks stand the grants under which they came, and their expiry.
	if shared := k.Attempt == Files(k.Attempt.Job); shared != (k.Kind == KindChunk) && !(shared && (k.Kind == KindGrant || k.Kind == KindExpired)) {
		return bad()
	}
	return k, nil
}

// Streams that a task writes.
const (
	Stdout = "stdout"
	Stderr = "stderr"
)

// Streams lists the streams; it is not to be changed.
var Streams = []string{Stdout, Stderr}

// At returns the name of a segment of a stream from an offset on, with its length n,
// both in bytes; a gap's length stands in its payload, and is 0 here.
func At(stream string, offset int64, n int) string {
	return fmt.Sprintf("%s.%016x.%05x", stream, offset, n)
}

// StreamPosition reads the stream, the offset and the length, in bytes, out of a segment's or
// a gap's key. Other keys are an error.
func (k Key) StreamPosition() (stream string, from int64, n int, err error) {
	f := strings.Split(k.Name, ".")
	if len(f) == 3 && (f[0] == Stdout || f[0] == Stderr) {
		at, err1 := strconv.ParseUint(f[1], 16, 62)
		size, err2 := strconv.ParseUint(f[2], 16, 32)
		if err1 == nil && err2 == nil && size <= MaxSegment && At(f[0], int64(at), int(size)) == k.Name {
			return f[0], int64(at), int(size), nil
		}
	}
	return "", 0, 0, fmt.Errorf("no place in a stream: %.40q", k.Name)
}

// Record is a payload with its key. Records are immutable.
type Record struct {
	Key     Key
	Payload []byte
}

// NewRecord returns the record of a payload, which it does not copy.
func NewRecord(a Attempt, kind Kind, name string, payload []byte) Record {
	return Record{Key{a, kind, name, DigestOf(kind, payload)}, payload}
}

// Check returns an error unless the key is valid, the payload has the key's digest,
// and it can be read as what the kind says.
func (r *Record) Check() error {
	if _, err := ParseKey(r.Key.String()); err != nil {
		return err
	}
	if len(r.Payload) > MaxPayload {
		return fmt.Errorf("%s: larger than %d bytes", r.Key, MaxPayload)
	}
	if DigestOf(r.Key.Kind, r.Payload) != r.Key.Digest {
		return fmt.Errorf("%s: its contents are others than its key says", r.Key)
	}
	var err error
	switch r.Key.Kind {
	case KindGrant:
		var g Grant
		if err = decode(r.Payload, &g); err == nil && g.Attempt != r.Key.Attempt && r.Key.Attempt != Files(g.Job) {
			err = errors.New("a grant for another attempt")
		}
	case KindSegment:
		var s *Segment
		if s, err = DecodeSegment(r.Payload); err == nil {
			if _, _, n, _ := r.Key.StreamPosition(); n != len(s.Data) {
				err = errors.New("its length is another")
			}
		}
	case KindGap:
		var g Gap
		if err = decode(r.Payload, &g); err == nil {
			err = g.check(r.Key)
		}
	case KindEnd:
		var e End
		if err = decode(r.Payload, &e); err == nil {
			err = e.check()
		}
	case KindFile:
		var f File
		if err = decode(r.Payload, &f); err == nil {
			err = f.Check()
		}
	case KindExpired:
		var e Expired
		err = decode(r.Payload, &e)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", r.Key, err)
	}
	return nil
}

// Frames: on the wire and in a node's volumes a record is
//
//	magic, length of the key (2 bytes), of the payload (4), key, payload, xxHash64 of all before
//
// in big endian.
const (
	magic         = 0x53474131 // "SGA1"
	headerSize    = 10
	frameOverhead = headerSize + 8
)

// FrameSize returns the length of a record's frame in bytes.
func FrameSize(r *Record) int { return frameOverhead + len(r.Key.String()) + len(r.Payload) }

// AppendFrame appends a record's frame to b and returns the result.
func AppendFrame(b []byte, r *Record) []byte {
	from, key := len(b), r.Key.String()
	b = binary.BigEndian.AppendUint32(b, magic)
	b = binary.BigEndian.AppendUint16(b, uint16(len(key)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(r.Payload)))
	b = append(append(b, key...), r.Payload...)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b[from:]))
}

// Errors of frames.
var (
	// ErrTruncated says that a frame ends before it is whole.
	ErrTruncated = errors.New("a frame is cut off")
	// ErrCorrupt says that a frame is damaged, or is none at all.
	ErrCorrupt = errors.New("not a frame, or a damaged one")
)

// ReadFrame reads the next record. At the end of r it returns io.EOF; otherwise its
// errors wrap ErrCut or ErrFrame, or are those of r. It never holds more than one
// frame, whatever a length claims. The caller owns the result. The payload's digest is
// not compared: see Check.
func ReadFrame(r io.Reader) (Record, error) {
	var h [headerSize]byte
	if n, err := io.ReadFull(r, h[:]); err != nil {
		if n == 0 && err == io.EOF {
			return Record{}, io.EOF
		}
		return Record{}, asTruncated(err)
	}
	keyLen, size := int(binary.BigEndian.Uint16(h[4:])), int64(binary.BigEndian.Uint32(h[6:]))
	if binary.BigEndian.Uint32(h[:]) != magic || keyLen > maxKey || size > MaxPayload {
		return Record{}, ErrCorrupt
	}
	body := make([]byte, keyLen+int(size)+8)
	if _, err := io.ReadFull(r, body); err != nil {
		return Record{}, asTruncated(err)
	}
	sum := xxhash.New()
	_, _ = sum.Write(h[:])
	_, _ = sum.Write(body[:len(body)-8])
	if sum.Sum64() != binary.BigEndian.Uint64(body[len(body)-8:]) {
		return Record{}, ErrCorrupt
	}
	k, err := ParseKey(string(body[:keyLen]))
	if err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return Record{k, body[keyLen : len(body)-8 : len(body)-8]}, nil
}

func asTruncated(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return ErrTruncated
	}
	return err
}

// Segment is a piece of a stream: its bytes and when they were written.
type Segment struct {
	// WriteTimes tell when what was written: up to which byte of the segment, and
	// when the agent saw it.
	WriteTimes []WriteTime
	Data       []byte
}

// WriteTime is when the bytes of a segment up to an offset were written; they begin
// where those of the write time before it end.
type WriteTime struct {
	To int   // bytes of the segment, from its start
	At int64 // Unix time in milliseconds, by the machine's clock
}

// maxWriteTimes bounds the write times of a segment.
const maxWriteTimes = 256

var (
	zstdEncoder, _ = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	zstdDecoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxSegment+1<<16))
)

// Encode returns the segment's payload: the write times and the compressed
// data.
func (s *Segment) Encode() []byte {
	b := binary.AppendUvarint(nil, uint64(len(s.WriteTimes)))
	to, at := 0, int64(0)
	for _, m := range s.WriteTimes {
		b = binary.AppendUvarint(b, uint64(m.To-to))
		b = binary.AppendVarint(b, m.At-at)
		to, at = m.To, m.At
	}
	b = binary.AppendUvarint(b, uint64(len(s.Data)))
	return zstdEncoder.EncodeAll(s.Data, b)
}

var errInvalidSegment = errors.New("not a segment")

// DecodeSegment reads a payload that Segment.Encode made, or returns an error. The
// memory it takes is bounded, whatever the payload claims.
func DecodeSegment(b []byte) (*Segment, error) {
	n, b, err := uvarint(b, maxWriteTimes)
	if err != nil || n == 0 {
		return nil, errInvalidSegment
	}
	s := &Segment{WriteTimes: make([]WriteTime, n)}
	to, at := uint64(0), int64(0)
	for i := range s.WriteTimes {
		var d uint64
		if d, b, err = uvarint(b, MaxSegment); err != nil {
			return nil, err
		}
		v, k := binary.Varint(b)
		if k <= 0 {
			return nil, errInvalidSegment
		}
		b, to, at = b[k:], to+d, at+v
		s.WriteTimes[i] = WriteTime{int(min(to, MaxSegment+1)), at}
	}
	size, b, err := uvarint(b, MaxSegment)
	if err != nil || size == 0 || to != size {
		return nil, errInvalidSegment
	}
	if s.Data, err = zstdDecoder.DecodeAll(b, make([]byte, 0, size)); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidSegment, err)
	}
	if uint64(len(s.Data)) != size {
		return nil, errInvalidSegment
	}
	return s, nil
}

func uvarint(b []byte, limit uint64) (uint64, []byte, error) {
	v, k := binary.Uvarint(b)
	if k <= 0 || v > limit {
		return 0, nil, errInvalidSegment
	}
	return v, b[k:], nil
}

// Gap is a part of a stream that is lost. Offsets are in bytes.
type Gap struct {
	From   int64  `json:"from"`
	To     int64  `json:"to"` // From: nobody knows how much; -1: what else there was, if anything
	At     int64  `json:"atMs"`
	Reason string `json:"reason"`
}

// Reasons for gaps.
const (
	GapQuota  = "the machine's spool was full"
	GapCut    = "the program shortened its own output"
	GapUnread = "the file can't be read"
)

func (g *Gap) check(k Key) error {
	_, from, _, err := k.StreamPosition()
	if err != nil || g.From != from || g.To >= 0 && g.To < g.From || g.To < -1 || g.Reason == "" || len(g.Reason) > 200 {
		return errors.New("not a gap")
	}
	return nil
}

// End is how an attempt ended, and how much it wrote. Times are Unix times in
// milliseconds, by the machine's clock.
type End struct {
	Cause string           `json:"cause"`
	Code  int              `json:"code"`
	Sizes map[string]int64 `json:"sizes"` // bytes, by stream
	Began int64            `json:"beganMs,omitempty"`
	At    int64            `json:"atMs"`
	Files int              `json:"files"` // how many files of it are kept
}

func (e *End) check() error {
	if len(e.Cause) > 100 || len(e.Sizes) > len(Streams) || e.Files < 0 {
		return errors.New("not an end")
	}
	for _, n := range e.Sizes {
		if n < 0 {
			return errors.New("not an end")
		}
	}
	return nil
}

func decode(raw []byte, v any) error { return protocol.Decode(raw, v) }

// Encode returns v as the JSON that is stored.
func Encode(v any) []byte { return protocol.Encode(v) }
