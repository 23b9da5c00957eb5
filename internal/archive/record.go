// Package archive decides which of a task's output and files are archived, on which nodes,
// for whom and how long. It holds only decisions and formats and uses no clock; apart from
// LoadGrantKey it does no I/O:
//
//   - record.go: records, their keys and their frames on the wire and on disk;
//   - grant.go: a controller's sealed statement that an attempt runs on a machine and
//     belongs to an owner;
//   - access.go: authorization, in one function;
//   - place.go: which nodes store a task's records, and how many must before a record is
//     acknowledged;
//   - tree.go: digests by which two nodes find the records that one of them lacks;
//   - stream.go: assembly of a stream from its segments, gaps and end;
//   - retain.go: retention, which decides what to drop and when.
//
// Records are immutable. A record's key names its attempt and holds a digest of its payload. So
// the archive is a set that only grows until records expire: two nodes agree as soon as each has
// the other's records, in whatever order they arrived.
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

// Attempt is one execution of a task on a machine.
type Attempt struct {
	Job     string `json:"job"`
	Task    int    `json:"task"`
	Try     int    `json:"try"`
	Machine string `json:"machine"`
}

// Limits on the contents of records.
const (
	maxNumber = 99_999_999 // largest task and try: names have 8 digits for each
	// MaxSegment is the maximum length of a segment's output, in bytes.
	MaxSegment = 256 << 10
	// ChunkSize is the length in bytes of the chunks that files are cut into; a file's last
	// chunk may be shorter.
	ChunkSize = 1 << 20
	// MaxPayload is the maximum length of a record's payload, in bytes: that of a chunk that
	// does not compress.
	MaxPayload = ChunkSize + 64<<10
	maxKey     = 400 // maximum length of a stored key, in bytes
)

// FilesAttempt returns the pseudo-attempt under which the chunks of a job's files are stored.
// Chunks are not stored under the attempts that wrote them, so that equal chunks are stored once
// for all tasks of the job. They are not shared between jobs: whether a chunk had to be sent would
// reveal that another job already has it.
func FilesAttempt(job string) Attempt { return Attempt{job, maxNumber, 0, "files"} }

// String returns the attempt's name. It pads the numbers with zeros, so that the names of a
// job's attempts sort by task and then by try.
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

// ParseAttempt parses a name made by Attempt.String. It accepts no other form.
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

// Kind is the type of a record.
type Kind byte

// Kinds of records, as they appear in stored keys.
const (
	KindGrant    Kind = 'a' // who owns the attempt: a Grant
	KindSegment  Kind = 's' // output: a Segment
	KindGap      Kind = 'g' // a range of output that is lost, and why: a Gap
	KindEnd      Kind = 'e' // how the attempt ended: an End
	KindFile     Kind = 'm' // an archived file: a File
	KindChunk    Kind = 'c' // a chunk of one or more files
	KindExpired  Kind = 'x' // which records were dropped, and why: an Expired
	kindsInOrder      = "acegmsx"
)

// Key names a record.
type Key struct {
	Attempt Attempt
	Kind    Kind
	// Name is the position of a segment or a gap in its stream, as FormatPosition formats it; it is
	// empty for other kinds.
	Name string
	// Digest is the digest of the payload, as DigestOf returns it.
	Digest string
}

// digestLen is the number of hexadecimal digits of a payload's BLAKE3 digest in a record's
// key. A chunk's key holds the whole digest.
const digestLen = 32

// DigestOf returns the digest of a payload for the key of a record of the given kind.
func DigestOf(kind Kind, payload []byte) string {
	sum := blake3.Sum256(payload)
	d := hex.EncodeToString(sum[:])
	if kind == KindChunk {
		return d
	}
	return d[:digestLen]
}

// String returns the key as it is stored. All keys of an attempt sort together.
func (k Key) String() string {
	return k.Attempt.String() + "/" + string(rune(k.Kind)) + "/" + k.Name + "/" + k.Digest
}

// ParseKey parses a key made by Key.String. It accepts no other form.
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
	// Chunks are stored only under FilesAttempt, along with the grants that they were sent with
	// and their expiry records.
	if shared := k.Attempt == FilesAttempt(k.Attempt.Job); shared != (k.Kind == KindChunk) && !(shared && (k.Kind == KindGrant || k.Kind == KindExpired)) {
		return bad()
	}
	return k, nil
}

// Names of a task's output streams.
const (
	Stdout = "stdout"
	Stderr = "stderr"
)

// Streams lists the names of the streams. It must not be modified.
var Streams = []string{Stdout, Stderr}

// FormatPosition returns the Key.Name of a segment that begins at an offset of a stream and has
// length n, both in bytes. For a gap, n is 0, because its length is in its payload.
func FormatPosition(stream string, offset int64, n int) string {
	return fmt.Sprintf("%s.%016x.%05x", stream, offset, n)
}

// StreamPosition returns the stream, and the offset and the length in bytes, from the key of
// a segment or a gap. Other keys are an error.
func (k Key) StreamPosition() (stream string, from int64, n int, err error) {
	f := strings.Split(k.Name, ".")
	if len(f) == 3 && (f[0] == Stdout || f[0] == Stderr) {
		at, err1 := strconv.ParseUint(f[1], 16, 62)
		size, err2 := strconv.ParseUint(f[2], 16, 32)
		if err1 == nil && err2 == nil && size <= MaxSegment && FormatPosition(f[0], int64(at), int(size)) == k.Name {
			return f[0], int64(at), int(size), nil
		}
	}
	return "", 0, 0, fmt.Errorf("no place in a stream: %.40q", k.Name)
}

// Record is a key and its payload. Records are immutable.
type Record struct {
	Key     Key
	Payload []byte
}

// NewRecord returns a record with the given payload, which it does not copy.
func NewRecord(a Attempt, kind Kind, name string, payload []byte) Record {
	return Record{Key{a, kind, name, DigestOf(kind, payload)}, payload}
}

// Check returns an error unless the key is valid, the payload matches the key's digest, and
// the payload can be decoded as the key's kind.
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
		if err = decode(r.Payload, &g); err == nil && g.Attempt != r.Key.Attempt && r.Key.Attempt != FilesAttempt(g.Job) {
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

// On the wire and in a node's volumes, a record is encoded as a frame of big-endian fields:
//
//	magic (4 bytes), length of the key (2), length of the payload (4), key, payload, xxHash64 of all preceding bytes (8)
const (
	magic         = 0x53474131 // "SGA1"
	headerSize    = 10
	frameOverhead = headerSize + 8
)

// FrameSize returns the length of a record's frame, in bytes.
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

// Errors of ReadFrame.
var (
	// ErrTruncated means that the input ends within a frame.
	ErrTruncated = errors.New("a frame is cut off")
	// ErrCorrupt means that a frame is damaged, or that the input is not a frame.
	ErrCorrupt = errors.New("not a frame, or a damaged one")
)

// ReadFrame reads the next record. At the end of r it returns io.EOF; otherwise its
// errors wrap ErrTruncated or ErrCorrupt, or are those of r. It never holds more than one
// frame of the maximum size, whatever lengths the header claims. The caller owns the
// result. ReadFrame does not compare the payload with the digest in the key: see
// Record.Check.
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

// Segment is a contiguous part of a stream: its bytes and when they were written.
type Segment struct {
	// WriteTimes tells when the agent saw each part of Data. It is sorted by offset and its
	// last entry ends at the end of Data.
	WriteTimes []WriteTime
	Data       []byte
}

// WriteTime is the time at which a range of a segment's bytes was written. The range begins
// where that of the previous WriteTime ends.
type WriteTime struct {
	To int   // end of the range: its offset in the segment, in bytes
	At int64 // Unix time in milliseconds, by the machine's clock
}

// maxWriteTimes is the maximum number of write times of a segment.
const maxWriteTimes = 256

var (
	zstdEncoder, _ = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	zstdDecoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxSegment+1<<16))
)

// Encode returns the payload of the segment's record: the write times and the compressed
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

// DecodeSegment decodes a payload made by Segment.Encode. The memory that it uses is bounded,
// whatever lengths the payload claims.
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

// Gap is a range of a stream that is lost. Offsets are in bytes.
type Gap struct {
	From   int64  `json:"from"`
	To     int64  `json:"to"` // equal to From: the length is unknown; -1: everything after From, if there was any
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

// End records how an attempt ended and how much it wrote. Times are Unix times in
// milliseconds, by the machine's clock.
type End struct {
	Cause string           `json:"cause"`
	Code  int              `json:"code"`
	Sizes map[string]int64 `json:"sizes"` // bytes, by stream
	Began int64            `json:"beganMs,omitempty"`
	At    int64            `json:"atMs"`
	Files int              `json:"files"` // how many of its files are archived
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
