package archive

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"silvergate/internal/goldentest"
	"silvergate/internal/protocol"
)

// The golden files were written by an earlier build, which stored the values of
// goldenPayloads. Machines and archive nodes keep such records for years. The literals here
// have no field names, so that they state which value is stored where even if the Go fields
// are renamed.

const goldenDir = "testdata/golden/"

var (
	goldenAttempt = Attempt{"wk-000042", 7, 2, "machine-9"}
	goldenKey     = bytes.Repeat([]byte{0x5a}, 32)
	goldenSegment = Segment{[]WriteTime{{6, 1_700_000_000_100}, {17, 1_700_000_000_250}}, []byte("first\nsecond line")}
)

// goldenPayload is a payload stored as JSON and the value that it encodes.
type goldenPayload struct {
	file  string
	value any
}

func goldenPayloads() []goldenPayload {
	digest := func(b string) string { return strings.Repeat(b, 32) }
	grant := GrantKey(goldenKey).Sign(Grant{goldenAttempt, Terms{Owner{"office", "baker"}, "quoter", "urgent", "cpu4", []string{"out/*.csv", "log"}}, 1_700_000_000_001, "", ""})
	return []goldenPayload{
		{"grant.json", &grant},
		{"gap.json", &Gap{23, 45, 1_700_000_000_300, "the machine's spool was full"}},
		{"gap-open.json", &Gap{45, -1, 1_700_000_000_301, "the file can't be read"}},
		{"end.json", &End{"failed", 3, map[string]int64{"stdout": 17, "stderr": 45}, 1_700_000_000_002, 1_700_000_000_400, 5}},
		{"file.json", &File{"out/a <b>.csv", 1<<20 + 21, digest("1f"), []string{digest("2e"), digest("3d")}, 0o640, 1_700_000_000_350}},
		{"expired-all.json", &Expired{true, nil, 1_700_000_000_500, "older than its team keeps"}},
		{"expired-upto.json", &Expired{false, map[string]int64{"stdout": 6, "stderr": 9}, 1_700_000_000_501, "its owner's quota was full"}},
	}
}

// goldenFrames lists the records of frames.bin: the file that holds the payload, and the
// attempt, the kind and the name in the key.
var goldenFrames = []struct {
	file    string
	attempt Attempt
	kind    Kind
	name    string
}{
	{"grant.json", goldenAttempt, 'a', ""},
	{"segment.bin", goldenAttempt, 's', "stdout.0000000000000000.00011"},
	{"gap.json", goldenAttempt, 'g', "stderr.0000000000000017.00000"},
	{"gap-open.json", goldenAttempt, 'g', "stderr.000000000000002d.00000"},
	{"end.json", goldenAttempt, 'e', ""},
	{"file.json", goldenAttempt, 'm', ""},
	{"chunk.bin", Attempt{"wk-000042", 99_999_999, 0, "files"}, 'c', ""},
	{"expired-all.json", goldenAttempt, 'x', ""},
	{"expired-upto.json", goldenAttempt, 'x', ""},
}

func TestGoldenPayloads(t *testing.T) {
	for _, test := range goldenPayloads() {
		t.Run(test.file, func(t *testing.T) {
			stored := goldentest.Read(t, goldenDir+test.file)
			got := reflect.New(reflect.TypeOf(test.value).Elem()).Interface()
			if err := protocol.Decode(stored, got); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, test.value) {
				t.Errorf("decoded\n%+v, want\n%+v", got, test.value)
			}
			if again := protocol.Encode(test.value); !bytes.Equal(again, stored) {
				t.Errorf("encoded as\n%s, want\n%s", again, stored)
			}
		})
	}
}

func TestGoldenGrantOpensWithItsKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "grant.key")
	if err := os.WriteFile(path, []byte(hex.EncodeToString(goldenKey)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	key, err := LoadGrantKey(path)
	if err != nil {
		t.Fatal(err)
	}
	stored := goldentest.Read(t, goldenDir+"grant.json")
	got, err := key.Verify(stored)
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenPayloads()[0].value; !reflect.DeepEqual(&got, want) {
		t.Errorf("verified grant is\n%+v, want\n%+v", got, want)
	}
	for _, change := range []struct{ name, from, to string }{
		{"the attempt", `"try":2`, `"try":3`},
		{"the terms", `"customer":"baker"`, `"customer":"other"`},
	} {
		changed := bytes.Replace(stored, []byte(change.from), []byte(change.to), 1)
		if bytes.Equal(changed, stored) {
			t.Fatalf("the stored grant does not contain %s", change.from)
		}
		if _, err := key.Verify(changed); err == nil {
			t.Errorf("a grant is accepted after a change of %s", change.name)
		}
	}
}

func TestGoldenSegment(t *testing.T) {
	stored := goldentest.Read(t, goldenDir+"segment.bin")
	got, err := DecodeSegment(stored)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(*got, goldenSegment) {
		t.Errorf("decoded %+v, want %+v", *got, goldenSegment)
	}
	// The compressed data may differ with the compressor's version; the bytes before it
	// may not.
	head := func(payload []byte) []byte {
		before, _, found := bytes.Cut(payload, []byte{0x28, 0xb5, 0x2f, 0xfd})
		if !found {
			t.Fatalf("found no zstd frame in %x", payload)
		}
		return before
	}
	if again := goldenSegment.Encode(); !bytes.Equal(head(again), head(stored)) {
		t.Errorf("the write times are encoded as %x, want %x", head(again), head(stored))
	}
}

func TestGoldenFrames(t *testing.T) {
	stored := goldentest.Read(t, goldenDir+"frames.bin")
	keys := strings.Fields(string(goldentest.Read(t, goldenDir+"keys.txt")))
	if len(keys) != len(goldenFrames) {
		t.Fatalf("keys.txt has %d keys, frames.bin should have %d records", len(keys), len(goldenFrames))
	}
	in := bytes.NewReader(stored)
	var again []byte
	for i, want := range goldenFrames {
		payload := goldentest.Read(t, goldenDir+want.file)
		record, err := ReadFrame(in)
		if err != nil {
			t.Fatalf("%s: %v", want.file, err)
		}
		if err := record.Check(); err != nil {
			t.Errorf("%s: %v", want.file, err)
		}
		if made := NewRecord(want.attempt, want.kind, want.name, payload); !reflect.DeepEqual(record, made) {
			t.Errorf("%s: decoded\n%+v, want\n%+v", want.file, record, made)
		}
		parsed, err := ParseKey(keys[i])
		if err != nil || parsed != record.Key || parsed.String() != keys[i] {
			t.Errorf("key %s is parsed as %s: %v", keys[i], parsed, err)
		}
		if !strings.HasPrefix(keys[i], want.attempt.String()+"/") {
			t.Errorf("key %s does not begin with the attempt %s", keys[i], want.attempt)
		}
		again = AppendFrame(again, &record)
	}
	if _, err := ReadFrame(in); !errors.Is(err, io.EOF) {
		t.Errorf("after the last frame: %v, want io.EOF", err)
	}
	if !bytes.Equal(again, stored) {
		t.Error("the frames are encoded differently from the golden file")
	}
	if !slices.IsSorted([]string{keys[0], keys[4], keys[2], keys[5], keys[1], keys[7]}) {
		t.Error("an attempt's keys do not sort by kind in the order grant, end, gap, file, segment, expired")
	}
}
