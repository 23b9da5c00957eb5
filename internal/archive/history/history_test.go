package history

import (
	"testing"

	"silvergate/internal/archive"
	"silvergate/internal/archive/node"
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
