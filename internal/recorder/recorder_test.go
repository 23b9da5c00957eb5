package recorder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// genInput returns a random input.
func genInput(t *rapid.T) Input {
	return Input{Kind: Kind(rapid.IntRange(1, 4).Draw(t, "kind")), Steady: time.Duration(rapid.Int64Range(0, 1<<50).Draw(t, "steady")),
		Wall: rapid.Int64().Draw(t, "wall"), ID: rapid.Uint64().Draw(t, "id"), Method: rapid.SampledFrom([]string{"", http.MethodGet, http.MethodPost}).Draw(t, "method"),
		Path: rapid.String().Draw(t, "path"), Status: rapid.IntRange(0, 599).Draw(t, "status"), Sent: rapid.Bool().Draw(t, "sent"),
		From: rapid.StringN(0, 8, 16).Draw(t, "from"), Body: rapid.SliceOf(rapid.Byte()).Draw(t, "body"), Effects: rapid.Uint64().Draw(t, "effects")}
}

func equalInputs(a, b Input) bool {
	x, y := a, b
	x.Body, y.Body = nil, nil
	return bytes.Equal(a.Body, b.Body) && x.Kind == y.Kind && x.Steady == y.Steady && x.Wall == y.Wall && x.ID == y.ID && x.Method == y.Method &&
		x.Path == y.Path && x.Status == y.Status && x.Sent == y.Sent && x.From == y.From && x.Effects == y.Effects
}

// readAll returns the inputs of a recording up to its end or an error.
func readAll(raw []byte) (out []Input, err error) {
	r, err := NewReader(bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	for {
		var in Input
		if err := r.Next(&in); err != nil {
			return out, err
		}
		out = append(out, in)
	}
}

// TestARecordingIsReadUpToItsLastWholeFrame guards against inputs that are read but were
// never recorded, after a kill that cuts off a recording or after damage to it. It cuts a
// recording at every byte and damages every seventh one: the inputs that are read must be a
// prefix of the recorded ones.
func TestARecordingIsReadUpToItsLastWholeFrame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inputs := rapid.SliceOfN(rapid.Custom(genInput), 1, 12).Draw(t, "inputs")
		var out bytes.Buffer
		w := NewStreamWriter(&out, Header{Node: "n0", Life: 7})
		for i := range inputs {
			w.Put(&inputs[i])
			if rapid.Bool().Draw(t, "cut") {
				w.endFrame()
			}
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		raw := out.Bytes()
		checkPrefix := func(got []Input, what string, n int) {
			for i := range got {
				if i >= len(inputs) || !equalInputs(got[i], inputs[i]) {
					t.Fatalf("%s at byte %d: input %d differs from the recorded one", what, n, i)
				}
			}
		}
		got, err := readAll(raw)
		if checkPrefix(got, "whole", 0); !errors.Is(err, io.EOF) || len(got) != len(inputs) {
			t.Fatalf("read %d of %d inputs: %v", len(got), len(inputs), err)
		}
		for n := range raw {
			got, err := readAll(raw[:n])
			if checkPrefix(got, "cut", n); err == nil {
				t.Fatalf("cut at byte %d: no error", n)
			}
			if n%7 == 0 {
				damaged := bytes.Clone(raw)
				damaged[n] ^= 0x20
				got, err = readAll(damaged)
				if checkPrefix(got, "damaged", n); errors.Is(err, io.EOF) {
					t.Fatalf("damaged at byte %d: the damage was not detected", n)
				}
			}
		}
	})
}

// TestSegmentsStayWithinSizeLimit guards against recordings that fill the disk: old segments
// must be removed, also those of earlier incarnations.
func TestSegmentsStayWithinSizeLimit(t *testing.T) {
	dir := t.TempDir()
	o := Options{Dir: dir, Max: 40 << 10, Segment: 8 << 10, Flush: time.Nanosecond}
	for incarnation := int64(1); incarnation <= 2; incarnation++ {
		w, err := NewWriter(o, Header{Node: "north-0", Life: incarnation})
		if err != nil {
			t.Fatal(err)
		}
		x := uint64(incarnation)
		for i := range 3000 {
			body := make([]byte, 64)
			for j := range body { // pseudorandom bytes, which can't be compressed
				x = x*6364136223846793005 + 1442695040888963407
				body[j] = byte(x >> 56)
			}
			w.Put(&Input{Kind: Tick, Steady: time.Duration(i), Body: body})
			for len(w.frames) > maxWaitingFrames/2 {
				time.Sleep(time.Millisecond)
			}
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
	}
	files, err := Segments(dir, "north-0")
	if err != nil || len(files) < 3 {
		t.Fatalf("found %d segments, want at least 3: %v", len(files), err)
	}
	total := int64(0)
	for _, f := range files {
		st, err := os.Stat(f)
		if err != nil {
			t.Fatal(err)
		}
		total += st.Size()
	}
	if total > o.Max+2*o.Segment {
		t.Errorf("the segments take %d bytes, with a limit of %d", total, o.Max)
	}
	if !strings.Contains(filepath.Base(files[0]), "-00000000000000000002-") {
		t.Errorf("the oldest remaining segment is %s, of the earlier incarnation", files[0])
	}
}

// TestASlowDiskEndsTheRecording guards against a core that waits for a slow disk, and against
// a recording in which inputs are missing between others.
func TestASlowDiskEndsTheRecording(t *testing.T) {
	in, out := io.Pipe()
	w := NewStreamWriter(out, Header{Node: "n0"})
	for i := range maxWaitingFrames + 4 {
		w.Put(&Input{Kind: Tick, Steady: time.Duration(i), ID: uint64(i)})
		w.endFrame()
	}
	if err := w.Err(); err == nil || !strings.Contains(err.Error(), "too slow") {
		t.Errorf("the recording did not end because of the slow disk: %v", err)
	}
	var raw bytes.Buffer
	copied := make(chan struct{})
	go func() { _, _ = io.Copy(&raw, in); close(copied) }()
	if w.Close() == nil {
		t.Error("Close returned no error")
	}
	out.Close()
	<-copied
	got, _ := readAll(raw.Bytes())
	for i := range got {
		if got[i].ID != uint64(i) {
			t.Fatalf("input %d is followed by input %d", i-1, got[i].ID)
		}
	}
}

// FuzzReader guards against panics and endless reads on arbitrary files.
func FuzzReader(f *testing.F) {
	var out bytes.Buffer
	w := NewStreamWriter(&out, Header{Node: "n0", Life: 7})
	w.Put(&Input{Kind: Request, Method: http.MethodGet, Path: "/up"})
	_ = w.Close()
	f.Add(out.Bytes())
	f.Add([]byte(Magic))
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := readAll(raw)
		if err == nil || len(got) > 1<<20 {
			t.Errorf("read %d inputs without reaching an end", len(got))
		}
	})
}
