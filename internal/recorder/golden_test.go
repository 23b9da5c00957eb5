package recorder

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"silvergate/internal/goldentest"
)

// frozenHeader and frozenInput are copies of the types that existing recordings were written
// with. They change only with the format's version, never with the code.

type frozenHeader struct {
	Version  int
	Build    string
	Node     string
	Life     int64
	Seed     [2]uint64
	Settings []byte
	Operator []byte
	Segment  int
}

type frozenInput struct {
	_       struct{} `cbor:",toarray"`
	Kind    uint8
	Steady  time.Duration
	Wall    int64
	ID      uint64
	Method  string
	Path    string
	Status  int
	Sent    bool
	Retry   int
	From    string
	Body    []byte
	Effects uint64
}

// The golden segment is the second of its incarnation, so that its number is not 0.
const (
	goldenSegment = "north-0-00000000000000000007-000001.rec"
	goldenPath    = "testdata/" + goldenSegment
)

func goldenHeader() Header {
	return Header{Version: 1, Build: "v1.2.3", Node: "north-0", Life: 7, Seed: [2]uint64{8, 9}, Settings: []byte(`{"Node":"north-0"}`), Operator: []byte("pace: 1s\n"), Segment: 1}
}

func goldenInput() Input {
	return Input{Kind: Reply, Steady: 10 * time.Second, Wall: 1767225600000000011, ID: 12, Method: "POST", Path: "/txn", Status: 200, Sent: true,
		Retry: 13, From: "north-1", Body: []byte(`{"ledger":14}`), Effects: 1 << 63}
}

// writeSegments records the golden input twice, each time in a segment of its own, and
// returns the second segment.
func writeSegments(t *testing.T) []byte {
	dir := t.TempDir()
	w, err := NewWriter(Options{Dir: dir, Max: 1 << 20, Segment: 1, Flush: time.Second}, goldenHeader())
	if err != nil {
		t.Fatal(err)
	}
	first, second := goldenInput(), goldenInput()
	first.Steady = 0
	for _, in := range []Input{first, second, second} { // the second one ends the first frame
		w.Put(&in)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(dir, goldenSegment))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// decodeFrames returns the contents of a segment's frames. It does not use the package's
// reader.
func decodeFrames(t *testing.T, data []byte) (out [][]byte) {
	t.Helper()
	const magic = "silvergate recording\n"
	rest, found := bytes.CutPrefix(data, []byte(magic))
	if !found {
		t.Fatalf("the segment begins with %q", data[:min(len(data), len(magic))])
	}
	z, err := zstd.NewReader(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer z.Close()
	for len(rest) >= 8 {
		size := binary.BigEndian.Uint32(rest)
		content, err := z.DecodeAll(rest[8:8+size], nil)
		if err != nil {
			t.Fatal(err)
		}
		out, rest = append(out, content), rest[8+size:]
	}
	return out
}

// TestGoldenSegment guards against builds that can't read the segments of earlier builds, or
// that write other contents. It compares decompressed frames because the compressed bytes
// may change with the version of zstd.
func TestGoldenSegment(t *testing.T) {
	data := goldentest.File(t, goldenPath, func() []byte { return writeSegments(t) })
	r, err := NewReader(bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(r.Header, goldenHeader()) {
		t.Errorf("the header is %+v, want %+v", r.Header, goldenHeader())
	}
	var in Input
	if err := r.Next(&in); err != nil || !reflect.DeepEqual(in, goldenInput()) {
		t.Errorf("the input is %+v, want %+v: %v", in, goldenInput(), err)
	}
	if err := r.Next(&in); err != io.EOF {
		t.Errorf("reading after the last input returned %v, want io.EOF", err)
	}
	if kinds := []Kind{Tick, Request, Reply, Peer}; !reflect.DeepEqual(kinds, []Kind{1, 2, 3, 4}) {
		t.Errorf("the kinds' numbers are %d", kinds)
	}
	if want, got := decodeFrames(t, data), decodeFrames(t, writeSegments(t)); !reflect.DeepEqual(got, want) {
		t.Errorf("the frames are written as\n%q\nwant\n%q", got, want)
	}
}

// TestFrozenSegment guards against fields that are renamed, added or removed without a new
// format version. It reads the golden segment with the frozen types, which must get a value
// for every field, and the current types must have the same number of fields.
func TestFrozenSegment(t *testing.T) {
	contents := decodeFrames(t, goldentest.Read(t, goldenPath))
	if len(contents) != 2 {
		t.Fatalf("the segment has %d frames, want 2", len(contents))
	}
	var h frozenHeader
	var in frozenInput
	if err := cbor.Unmarshal(contents[0], &h); err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(contents[1], &in); err != nil {
		t.Fatal(err)
	}
	for _, v := range []any{h, in, goldenHeader(), goldenInput()} {
		goldentest.RequireNoZeroFields(t, fmt.Sprintf("%T", v), v)
	}
	if n, m := reflect.TypeFor[Header]().NumField(), reflect.TypeFor[frozenHeader]().NumField(); n != m {
		t.Errorf("Header has %d fields, want %d", n, m)
	}
	if n, m := reflect.TypeFor[Input]().NumField(), reflect.TypeFor[frozenInput]().NumField(); n != m {
		t.Errorf("Input has %d fields, want %d", n, m)
	}
}
