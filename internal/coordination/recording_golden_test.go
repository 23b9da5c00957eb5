package coordination

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"silvergate/internal/peer"
	"silvergate/internal/recorder"
)

// goldenRecordings are the recordings of three controllers, one of which restarts, in a
// simulation of 40 s with all kinds of faults. Together they hold inputs and peer messages of all
// kinds. A change of the core's decisions makes its effects differ; only then may the recordings
// be rewritten.
var goldenRecordings = []string{
	"n0-00000000000000001208-000000.rec", // before its restart
	"n0-00000000000000010133-000000.rec",
	"n1-00000000000000001139-000000.rec",
	"n2-00000000000000001227-000000.rec",
}

// recordDay runs the simulation and returns its recordings by file name.
func recordDay(t *testing.T) map[string][]byte {
	const day = 40 * time.Second
	s := newSim(t, 3, 0.004)
	s.options.completionLog = true
	s.submitMixedJobs(day / 2)
	s.after(5*time.Second, func() { s.injectFaults(day * 2 / 3) })
	s.run(day)
	recordings := map[string][]byte{}
	for _, recording := range s.output.recordings {
		if err := recording.writer.Close(); err != nil {
			t.Fatal(err)
		}
		recordings[recording.name] = recording.buffer.Bytes()
	}
	return recordings
}

// TestGoldenRecordingsReplay replays recordings of an earlier build: no effect may differ, and no
// kind of input or peer message may be missing from the recordings.
func TestGoldenRecordingsReplay(t *testing.T) {
	var day map[string][]byte
	if goldenUpdate() {
		day = recordDay(t)
	}
	kinds := map[recorder.Kind]bool{}
	messages := map[string]bool{}
	for _, name := range goldenRecordings {
		data := golden(t, "recordings/"+name, func() []byte { return day[name] })
		inputs, different := replayRecording(t, data)
		if inputs < 50 || different != "" {
			t.Errorf("%s: %d inputs, first difference: %s", name, inputs, different)
		}
		collectKinds(t, data, kinds, messages)
	}
	if len(kinds) != 4 {
		t.Errorf("the recordings hold only inputs of the kinds %v", kinds)
	}
	if n := reflect.TypeFor[peer.Message]().NumField(); len(messages) != n {
		t.Errorf("the recordings hold peer messages of only %d of %d kinds: %v", len(messages), n, messages)
	}
	files, err := filepath.Glob(filepath.Join(goldenFolder, "recordings", "*.rec"))
	if err != nil || len(files) != len(goldenRecordings) {
		t.Errorf("golden recordings %v, error %v", files, err)
	}
}

// collectKinds adds the kinds of a recording's inputs and peer messages to the two sets. Each input
// must have a digest of its effects, except requests at PathStats, whose responses depend on the
// process.
func collectKinds(t *testing.T, data []byte, kinds map[recorder.Kind]bool, messages map[string]bool) {
	t.Helper()
	r, err := recorder.NewReader(bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	for {
		var in recorder.Input
		if err := r.Next(&in); err != nil {
			if !errors.Is(err, io.EOF) {
				t.Error(err)
			}
			return
		}
		kinds[in.Kind] = true
		if in.Effects == 0 && in.Path != PathStats {
			t.Errorf("a %v at %v has no digest of its effects", in.Kind, in.Steady)
		}
		if in.Kind == recorder.Peer {
			collectMessageKind(t, in.Body, messages)
		}
	}
}

func collectMessageKind(t *testing.T, body []byte, messages map[string]bool) {
	t.Helper()
	var m peer.WireMessage // tests of internal/peer check that its fields do not change
	if err := cbor.Unmarshal(body, &m); err != nil {
		t.Fatal(err)
	}
	v := reflect.ValueOf(m)
	for i := range v.NumField() {
		if !v.Field(i).IsNil() {
			messages[v.Type().Field(i).Name] = true
		}
	}
}

// TestGoldenRecordingsKeepTheirHeaders makes the core of each golden recording and a new header from
// that core's settings: it must have the same bytes as the recorded header.
func TestGoldenRecordingsKeepTheirHeaders(t *testing.T) {
	incarnations := map[string]int64{goldenRecordings[0]: 1208, goldenRecordings[1]: 10133, goldenRecordings[2]: 1139, goldenRecordings[3]: 1227}
	for _, name := range goldenRecordings {
		data, err := os.ReadFile(filepath.Join(goldenFolder, "recordings", name))
		if err != nil {
			t.Fatal(err)
		}
		r, err := recorder.NewReader(bytes.NewReader(data))
		if err != nil {
			t.Fatal(err)
		}
		h := r.Header
		if h.Version != 1 || h.Build != "simulation" || h.Node != name[:2] || h.Life != incarnations[name] || h.Seed[0] == 0 || h.Seed[1] != 1 || h.Segment != 0 {
			t.Errorf("%s: header %+v", name, h)
		}
		c, err := NewFromHeader(&h, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		again, err := RecordingHeader(c.cfg, h.Build, h.Life, h.Seed)
		if err != nil {
			t.Fatal(err)
		}
		again.Version = h.Version // set by the writer
		requireSameBytes(t, again.Settings, h.Settings)
		requireSameBytes(t, again.Operator, h.Operator)
		if !reflect.DeepEqual(again, h) {
			t.Errorf("%s: new header %+v, want %+v", name, again, h)
		}
	}
}
