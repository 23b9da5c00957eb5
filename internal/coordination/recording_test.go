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

// simTape is the recording of one controller's life, in memory.
type simTape struct {
	name string
	out  bytes.Buffer
	w    *recorder.Writer
}

// record begins a recording. A controller with an archive is not recorded whole: the
// archive's key is in no recording.
func (s *sim) record(cfg *config.Settings, incarnation int64, seed uint64) *recorder.Writer {
	t := &simTape{name: fmt.Sprintf("%s-%020d-000000.rec", cfg.Node, incarnation)}
	h, err := RecordingHeader(cfg, "simulation", incarnation, [2]uint64{seed, 1})
	if err != nil {
		panic(err)
	}
	t.w = recorder.NewMemory(&t.out, h)
	s.tapes = append(s.tapes, t)
	return t.w
}

// saveTapes writes the recordings of a day that failed: silvergate replay reads them.
func (s *sim) saveTapes(t *testing.T) {
	t.Helper()
	for _, x := range s.tapes {
		if err := x.w.Close(); err != nil {
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
	for _, x := range s.tapes {
		if err := os.WriteFile(filepath.Join(dir, x.name), x.out.Bytes(), 0o600); err != nil {
			t.Error(err)
		}
	}
	t.Logf("the day's recordings are in %s", dir)
}

// replayTape puts a recording through a core and tells how many inputs it had, and the
// first whose effects differ.
func replayTape(t *testing.T, raw []byte) (inputs int, different string) {
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

// TestRecordedDaysReplay plays drawn days with every fault and puts what each
// controller's life was given through a core again: not one effect may differ. With
// SIM_DAYS it plays more; 60 are a million inputs.
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
				s.load(3 * time.Minute)
				s.after(20*time.Second, func() { s.trouble(3 * time.Minute) })
				s.run(4 * time.Minute)
				inputs, lives := 0, 0
				for _, x := range s.tapes {
					if err := x.w.Close(); err != nil {
						t.Fatal(err)
					}
					if x.out.Len() == 0 {
						continue
					}
					n, different := replayTape(t, x.out.Bytes())
					if different != "" {
						t.Errorf("%s: %s", x.name, different)
					}
					inputs, lives = inputs+n, lives+1
				}
				counts <- [2]int{inputs, lives}
			})
		}
	})
	close(counts)
	inputs, lives := 0, 0
	for n := range counts {
		inputs, lives = inputs+n[0], lives+n[1]
	}
	t.Logf("%d inputs of %d lives on %d days", inputs, lives, days)
	if inputs < days*1000 {
		t.Errorf("%d inputs are too few", inputs)
	}
}

// TestReplaysNoticeAnotherCore shows that the comparison can fail.
func TestReplaysNoticeAnotherCore(t *testing.T) {
	s := newSim(t, 3, 0)
	s.load(30 * time.Second)
	s.run(time.Minute)
	x := s.tapes[0]
	if err := x.w.Close(); err != nil {
		t.Fatal(err)
	}
	raw := x.out.Bytes()
	if n, different := replayTape(t, raw); n < 100 || different != "" {
		t.Fatalf("%d inputs, %q", n, different)
	}
	r, err := recorder.NewReader(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Seed[0]++ // another generator: other choices
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
		t.Error("another generator's choices are not noticed")
	}
}

// BenchmarkRecorded puts a day of a site with some hundred machines through a core, as
// it is and with a recorder in front, and tells what an input takes and how many bytes
// it leaves.
func BenchmarkRecorded(b *testing.B) {
	s := grownSim(b, 41)
	s.loadGrown(100 * time.Second)
	s.run(120 * time.Second)
	var raw []byte
	for _, x := range s.tapes {
		if err := x.w.Close(); err != nil {
			b.Fatal(err)
		}
		if x.out.Len() > len(raw) {
			raw = x.out.Bytes()
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
				w := recorder.NewMemory(io.Discard, r.Header)
				tape := NewRecordedCore(c, w)
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
						tape.Tick(at)
					case recorder.Request:
						tape.Request(at, in.ID, in.Method, in.Path, in.Body)
					case recorder.Reply:
						tape.Reply(at, protocol.Reply{ID: in.ID, Status: in.Status, Sent: in.Sent, RetryAfter: in.Retry, Body: in.Body})
					case recorder.Peer:
						var m peer.Message
						if err := cbor.Unmarshal(in.Body, &m); err != nil {
							b.Fatal(err)
						}
						tape.Peer(at, in.From, m)
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
