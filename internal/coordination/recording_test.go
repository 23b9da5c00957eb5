package coordination

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"silvergate/internal/config"
	"silvergate/internal/peer"
	"silvergate/internal/protocol"
	"silvergate/internal/recorder"
)

// simRecording is the recording of one incarnation of a controller, in memory.
type simRecording struct {
	name   string
	buffer bytes.Buffer
	writer *recorder.Writer
}

// startRecording begins a recording. The recording of a controller with an archive is not complete:
// it does not contain the archive's key.
func (s *sim) startRecording(cfg *config.Settings, incarnation int64, seed uint64) *recorder.Writer {
	recording := &simRecording{name: fmt.Sprintf("%s-%020d-000000.rec", cfg.Node, incarnation)}
	h, err := RecordingHeader(cfg, "simulation", incarnation, [2]uint64{seed, 1})
	if err != nil {
		panic(err)
	}
	recording.writer = recorder.NewStreamWriter(&recording.buffer, h)
	s.output.recordings = append(s.output.recordings, recording)
	return recording.writer
}

// saveRecordings writes the recordings of a day to files if the test failed, for silvergate replay.
func (s *sim) saveRecordings(t *testing.T) {
	t.Helper()
	for _, x := range s.output.recordings {
		if err := x.writer.Close(); err != nil {
			t.Error(err)
		}
	}
	if !t.Failed() {
		return
	}
	dir, err := os.MkdirTemp("", "silvergate-day-")
	if err != nil {
		t.Error(err)
		return
	}
	for _, x := range s.output.recordings {
		if err := os.WriteFile(filepath.Join(dir, x.name), x.buffer.Bytes(), 0o600); err != nil {
			t.Error(err)
		}
	}
	t.Logf("the day's recordings are in %s", dir)
}

// replayRecording replays a recording and returns the number of its inputs, and a description of
// the first input whose effects differ, "" if there is none.
func replayRecording(t *testing.T, raw []byte) (inputs int, different string) {
	t.Helper()
	r, err := recorder.NewReader(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	c, err := NewFromHeader(&r.Header, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	var in recorder.Input
	for {
		switch err := r.Next(&in); {
		case errors.Is(err, io.EOF):
			return inputs, different
		case err != nil:
			t.Fatal(err)
		}
		inputs++
		if _, same, err := c.Replay(&in); err != nil {
			t.Fatal(err)
		} else if !same && different == "" {
			different = fmt.Sprintf("input %d, a %v at %v: %s %s", inputs, in.Kind, in.Steady, in.Method, in.Path)
		}
	}
}

// TestRecordedDaysReplay simulates random days with all kinds of faults, and replays the inputs of
// each incarnation of a controller in a new core: no effect may differ. SIM_DAYS sets the number
// of days; 60 days have a million inputs.
func TestRecordedDaysReplay(t *testing.T) {
	days, err := strconv.Atoi(os.Getenv("SIM_DAYS"))
	if err != nil {
		days = 6
	}
	counts := make(chan [2]int, days)
	t.Run("days", func(t *testing.T) {
		for seed := range uint64(days) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				s := newSim(t, 7000+seed, 0.004)
				s.submitMixedJobs(3 * time.Minute)
				s.after(20*time.Second, func() { s.injectFaults(3 * time.Minute) })
				s.run(4 * time.Minute)
				inputs, incarnations := 0, 0
				for _, x := range s.output.recordings {
					if err := x.writer.Close(); err != nil {
						t.Fatal(err)
					}
					if x.buffer.Len() == 0 {
						continue
					}
					n, different := replayRecording(t, x.buffer.Bytes())
					if different != "" {
						t.Errorf("%s: %s", x.name, different)
					}
					inputs, incarnations = inputs+n, incarnations+1
				}
				counts <- [2]int{inputs, incarnations}
			})
		}
	})
	close(counts)
	inputs, incarnations := 0, 0
	for n := range counts {
		inputs, incarnations = inputs+n[0], incarnations+n[1]
	}
	t.Logf("%d inputs of %d incarnations on %d days", inputs, incarnations, days)
	if inputs < days*1000 {
		t.Errorf("%d inputs are too few, want 1000 per day", inputs)
	}
}

// TestReplayDetectsAnotherSeed checks that a replay detects different effects: it replays a
// recording with another seed.
func TestReplayDetectsAnotherSeed(t *testing.T) {
	s := newSim(t, 3, 0)
	s.submitMixedJobs(30 * time.Second)
	s.run(time.Minute)
	x := s.output.recordings[0]
	if err := x.writer.Close(); err != nil {
		t.Fatal(err)
	}
	raw := x.buffer.Bytes()
	if n, different := replayRecording(t, raw); n < 100 || different != "" {
		t.Fatalf("a replay with the same seed: %d inputs, first difference %q", n, different)
	}
	r, err := recorder.NewReader(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Seed[0]++ // another seed leads to other random choices
	c, err := NewFromHeader(&r.Header, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	different := 0
	for in := (recorder.Input{}); r.Next(&in) == nil; {
		if _, same, err := c.Replay(&in); err != nil || !same {
			different++
		}
	}
	if different == 0 {
		t.Error("the replay did not detect that another seed led to other choices")
	}
}

// BenchmarkRecorded replays a day of a site with hundreds of machines, with and without a
// recorder, and reports the time per input and the bytes that an input adds to the recording.
func BenchmarkRecorded(b *testing.B) {
	s := newLargeDeploymentSim(b, 41)
	s.submitLargeLoad(100 * time.Second)
	s.run(120 * time.Second)
	var raw []byte
	for _, x := range s.output.recordings {
		if err := x.writer.Close(); err != nil {
			b.Fatal(err)
		}
		if x.buffer.Len() > len(raw) {
			raw = x.buffer.Bytes()
		}
	}
	r, err := recorder.NewReader(bytes.NewReader(raw))
	if err != nil {
		b.Fatal(err)
	}
	var inputs []recorder.Input
	for in := (recorder.Input{}); r.Next(&in) == nil; {
		inputs = append(inputs, in)
	}
	for _, recorded := range []bool{false, true} {
		b.Run(fmt.Sprintf("recorded=%v", recorded), func(b *testing.B) {
			var stored, plain int64
			for b.Loop() {
				c, err := NewFromHeader(&r.Header, slog.New(slog.DiscardHandler))
				if err != nil {
					b.Fatal(err)
				}
				w := recorder.NewStreamWriter(io.Discard, r.Header)
				core := NewRecordedCore(c, w)
				for i := range inputs {
					in := &inputs[i]
					if !recorded {
						in.Effects = 0
						if _, _, err := c.Replay(in); err != nil {
							b.Fatal(err)
						}
						continue
					}
					at := Timestamp{in.Steady, time.Unix(0, in.Wall)}
					switch in.Kind {
					case recorder.Tick:
						core.Tick(at)
					case recorder.Request:
						core.Request(at, in.ID, in.Method, in.Path, in.Body)
					case recorder.Reply:
						core.Reply(at, protocol.Reply{ID: in.ID, Status: in.Status, Sent: in.Sent, RetryAfter: in.Retry, Body: in.Body})
					case recorder.Peer:
						var m peer.Message
						if err := cbor.Unmarshal(in.Body, &m); err != nil {
							b.Fatal(err)
						}
						core.Peer(at, in.From, m)
					}
				}
				if err := w.Close(); err != nil {
					b.Fatal(err)
				}
				plain, stored = w.Size()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(inputs)), "ns/input")
			b.ReportMetric(float64(plain)/float64(len(inputs)), "raw-B/input")
			b.ReportMetric(float64(stored)/float64(len(inputs)), "B/input")
			b.ReportMetric(float64(stored)/120, "B/s")
			b.ReportMetric(float64(len(inputs)), "inputs")
		})
	}
}
