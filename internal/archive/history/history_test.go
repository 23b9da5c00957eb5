package history

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/archive/node"
	"silvergate/internal/archive/ship"
)

// TestRandomHistories runs a few random histories; silvergate archive soak runs more.
func TestRandomHistories(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		d, err := RunRandom(t.TempDir(), seed, 40)
		t.Logf("seed %d: %+v", seed, d)
		if err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// TestCheckReadFindsViolations checks that CheckRead accepts correct reads, and rejects
// reads that violate the archive's promise.
func TestCheckReadFindsViolations(t *testing.T) {
	a := archive.Attempt{Job: "wk-000001", Task: 0, Try: 1, Machine: "m"}
	w := func() *Expected {
		return &Expected{Attempt: a, Output: "hello world", Promised: 11, Ended: true, Files: map[string]string{"out/a": "x"}}
	}
	piece := func(from, to int64, state, data string) node.Piece {
		return node.Piece{Piece: archive.Piece{From: from, To: to, State: state}, Data: []byte(data)}
	}
	files := map[string]string{"out/a": "x"}
	for _, c := range []struct {
		name string
		w    func(*Expected)
		r    *ReadResult
		ok   bool
	}{
		{"whole", nil, &ReadResult{true, []node.Piece{piece(0, 6, "", "hello "), piece(6, 11, "", "world")}, true, files}, true},
		{"not found", nil, &ReadResult{}, false},
		{"not found, nothing promised", func(w *Expected) { w.Promised, w.Ended = 0, false }, &ReadResult{}, true},
		{"cut off", nil, &ReadResult{true, []node.Piece{piece(0, 6, "", "hello ")}, true, files}, false},
		{"twice", nil, &ReadResult{true, []node.Piece{piece(0, 6, "", "hello "), piece(0, 6, "", "hello "), piece(6, 11, "", "world")}, true, files}, false},
		{"out of order", nil, &ReadResult{true, []node.Piece{piece(6, 11, "", "world"), piece(0, 6, "", "hello ")}, true, files}, false},
		{"changed", nil, &ReadResult{true, []node.Piece{piece(0, 11, "", "hello World")}, true, files}, false},
		{"another's", nil, &ReadResult{true, []node.Piece{piece(0, 11, "", "hello world"), piece(11, 13, "", "!!")}, true, files}, false},
		{"missing without a reason", nil, &ReadResult{true, []node.Piece{piece(0, 6, "", "hello "), piece(6, 11, archive.PieceMissing, "")}, true, files}, false},
		{"missing after what is promised", func(w *Expected) { w.Promised, w.Ended = 6, false }, &ReadResult{true, []node.Piece{piece(0, 6, "", "hello "), piece(6, 11, archive.PieceMissing, "")}, false, nil}, true},
		{"a recorded gap", nil, &ReadResult{true, []node.Piece{piece(0, 6, "", "hello "), piece(6, 11, archive.PieceGap, "")}, true, files}, true},
		{"no end", nil, &ReadResult{true, []node.Piece{piece(0, 11, "", "hello world")}, false, files}, false},
		{"a missing file", nil, &ReadResult{true, []node.Piece{piece(0, 11, "", "hello world")}, true, nil}, false},
		{"a truncated file", nil, &ReadResult{true, []node.Piece{piece(0, 11, "", "hello world")}, true, map[string]string{"out/a": ""}}, false},
	} {
		x := w()
		if c.w != nil {
			c.w(x)
		}
		if err := CheckRead(x, c.r); (err == nil) != c.ok {
			t.Errorf("%s: CheckRead returned %v", c.name, err)
		}
	}
}

// TestOutputDuringNodeOutage guards against losing output without a recorded gap when a
// quorum of nodes is down until a machine's spool is full, and against a full spool that
// gives up more output than needed.
func TestOutputDuringNodeOutage(t *testing.T) {
	s, err := New(t.TempDir(), 3, slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	m, err := s.StartMachine("m-1", func(string) archive.Owner { return archive.Owner{Team: "office", Customer: "baker"} },
		func(c *ship.Config) { c.SpoolMB = 0.1 })
	if err != nil {
		t.Fatal(err)
	}
	defer m.Stop()
	w := &Expected{Attempt: archive.Attempt{Job: "wk-000001", Task: 0, Try: 1, Machine: "m-1"}, Ended: true, Files: map[string]string{}}
	write := func(n int) {
		t.Helper()
		text := strings.Repeat(fmt.Sprintf("%09d\n", len(w.Output)), n/10)
		if err := m.Write(w.Attempt, archive.Stdout, text); err != nil {
			t.Fatal(err)
		}
		w.Output += text
	}
	if err := m.Run(w.Attempt); err != nil {
		t.Fatal(err)
	}
	write(20_000)
	if err := waitShipped(m, false); err != nil {
		t.Fatal(err)
	}
	for _, n := range s.Members[:2] { // the remaining node is not a quorum of three
		s.StopNode(n.Name)
	}
	write(50_000)
	write(250_000)
	for until := time.Now().Add(waitTimeout); m.Stats().GivenUp == 0 && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
	if st := m.Stats(); st.GivenUp != 200_000 || st.Left != 100_000 {
		t.Errorf("shipper stats during the outage: %+v, want 200000 bytes given up and 100000 left", st)
	}
	for _, n := range s.Members[:2] {
		if err := s.StartNode(n.Name); err != nil {
			t.Fatal(err)
		}
	}
	m.RecordEnd(w.Attempt, "done", 0)
	if err := waitShipped(m, true); err != nil {
		t.Fatal(err)
	}
	w.Promised = len(w.Output)
	r, err := s.NewReader("customer/office/baker")
	if err != nil {
		t.Fatal(err)
	}
	got, err := ReadAttempt(context.Background(), r, w.Attempt)
	if err != nil {
		t.Fatal(err)
	}
	if err := CheckRead(w, got); err != nil {
		t.Error(err)
	}
	lost := int64(0)
	for _, p := range got.Output {
		if p.State == archive.PieceGap && p.Reason == archive.GapQuota {
			lost += p.To - p.From
		}
	}
	if lost != 200_000 {
		t.Errorf("gaps record %d bytes as given up, want 200000", lost)
	}
}
