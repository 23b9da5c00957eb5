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

// TestHistories plays a few drawn histories; silvergate archive soak plays more.
func TestHistories(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		d, err := Draw(t.TempDir(), seed, 40)
		t.Logf("seed %d: %+v", seed, d)
		if err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// TestTheJudgeSees checks the judge on histories that break the promise.
func TestTheJudgeSees(t *testing.T) {
	a := archive.Attempt{Job: "wk-000001", Task: 0, Try: 1, Machine: "m"}
	w := func() *Written {
		return &Written{Attempt: a, Out: "hello world", Promised: 11, Ended: true, Files: map[string]string{"out/a": "x"}}
	}
	piece := func(from, to int64, what, data string) node.Piece {
		return node.Piece{Piece: archive.Piece{From: from, To: to, What: what}, Data: []byte(data)}
	}
	files := map[string]string{"out/a": "x"}
	for _, c := range []struct {
		name string
		w    func(*Written)
		r    *Read
		ok   bool
	}{
		{"whole", nil, &Read{true, []node.Piece{piece(0, 6, "", "hello "), piece(6, 11, "", "world")}, true, files}, true},
		{"not found", nil, &Read{}, false},
		{"not found, nothing promised", func(w *Written) { w.Promised, w.Ended = 0, false }, &Read{}, true},
		{"cut off", nil, &Read{true, []node.Piece{piece(0, 6, "", "hello ")}, true, files}, false},
		{"twice", nil, &Read{true, []node.Piece{piece(0, 6, "", "hello "), piece(0, 6, "", "hello "), piece(6, 11, "", "world")}, true, files}, false},
		{"out of order", nil, &Read{true, []node.Piece{piece(6, 11, "", "world"), piece(0, 6, "", "hello ")}, true, files}, false},
		{"changed", nil, &Read{true, []node.Piece{piece(0, 11, "", "hello World")}, true, files}, false},
		{"another's", nil, &Read{true, []node.Piece{piece(0, 11, "", "hello world"), piece(11, 13, "", "!!")}, true, files}, false},
		{"a hole without a word", nil, &Read{true, []node.Piece{piece(0, 6, "", "hello "), piece(6, 11, archive.PieceMissing, "")}, true, files}, false},
		{"a hole behind what is promised", func(w *Written) { w.Promised, w.Ended = 6, false }, &Read{true, []node.Piece{piece(0, 6, "", "hello "), piece(6, 11, archive.PieceMissing, "")}, false, nil}, true},
		{"a gap that is told", nil, &Read{true, []node.Piece{piece(0, 6, "", "hello "), piece(6, 11, archive.PieceGap, "")}, true, files}, true},
		{"no end", nil, &Read{true, []node.Piece{piece(0, 11, "", "hello world")}, false, files}, false},
		{"a file is not there", nil, &Read{true, []node.Piece{piece(0, 11, "", "hello world")}, true, nil}, false},
		{"a file is half", nil, &Read{true, []node.Piece{piece(0, 11, "", "hello world")}, true, map[string]string{"out/a": ""}}, false},
	} {
		x := w()
		if c.w != nil {
			c.w(x)
		}
		if err := Judge(x, c.r); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// TestArchiveAway guards against output that is lost without a word when nodes are
// away for longer than a machine's spool lasts, and against a full spool that takes
// more than it must.
func TestArchiveAway(t *testing.T) {
	s, err := New(t.TempDir(), 3, slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	m, err := s.Machine("m-1", func(string) archive.Owner { return archive.Owner{Team: "office", Customer: "baker"} }, func(c *ship.Config) { c.SpoolMB = 0.1 })
	if err != nil {
		t.Fatal(err)
	}
	defer m.Stop()
	w := &Written{Attempt: archive.Attempt{Job: "wk-000001", Task: 0, Try: 1, Machine: "m-1"}, Ended: true, Files: map[string]string{}}
	write := func(n int) {
		t.Helper()
		text := strings.Repeat(fmt.Sprintf("%09d\n", len(w.Out)), n/10)
		if err := m.Write(w.Attempt, archive.Stdout, text); err != nil {
			t.Fatal(err)
		}
		w.Out += text
	}
	if err := m.Run(w.Attempt); err != nil {
		t.Fatal(err)
	}
	write(20_000)
	if err := settle(m, false); err != nil {
		t.Fatal(err)
	}
	for _, n := range s.Members[:2] { // one of three is no quorum
		s.Stop(n.Name)
	}
	write(50_000)
	write(250_000)
	for until := time.Now().Add(settleFor); m.Stats().GivenUp == 0 && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
	if st := m.Stats(); st.GivenUp != 200_000 || st.Left != 100_000 {
		t.Errorf("%+v", st)
	}
	for _, n := range s.Members[:2] {
		if err := s.Start(n.Name); err != nil {
			t.Fatal(err)
		}
	}
	m.Ended(w.Attempt, "done", 0)
	if err := settle(m, true); err != nil {
		t.Fatal(err)
	}
	w.Promised = len(w.Out)
	r, err := s.Reader("customer/office/baker")
	if err != nil {
		t.Fatal(err)
	}
	got, err := Collect(context.Background(), r, w.Attempt)
	if err != nil {
		t.Fatal(err)
	}
	if err := Judge(w, got); err != nil {
		t.Error(err)
	}
	lost := int64(0)
	for _, p := range got.Out {
		if p.What == archive.PieceGap && p.Reason == archive.GapQuota {
			lost += p.To - p.From
		}
	}
	if lost != 200_000 {
		t.Errorf("%d bytes are told as given up", lost)
	}
}
