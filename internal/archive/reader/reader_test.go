package reader

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/archive/node"
)

func data(from int64, at int64, text string) *node.Piece {
	return &node.Piece{Piece: archive.Piece{From: from, To: from + int64(len(text))}, At: at, Data: []byte(text)}
}

// TestLines guards against lines that are split where segments meet, lost before a gap, or
// buffered without a limit.
func TestLines(t *testing.T) {
	u := &Cursor{Stream: archive.Stdout}
	u.addPiece(data(0, 1000, "one\ntw"))
	u.addPiece(data(6, 2000, "o\nhalf"))
	u.addPiece(&node.Piece{Piece: archive.Piece{From: 12, To: 20, State: archive.PieceGap, Reason: archive.GapQuota}})
	u.addPiece(data(20, 3000, "rest\n\nend"))
	u.endLine(true)
	var got []string
	for _, l := range u.lines {
		got = append(got, fmt.Sprintf("%d@%d %q %s %v", l.From, l.At.UnixMilli(), l.Text, l.Note, l.Cut))
	}
	want := []string{`0@1000 "one"  false`, `4@1000 "two"  false`, `8@2000 "half"  true`, `12@2000 "" 8 bytes gap: the machine's spool was full false`,
		`20@3000 "rest"  false`, `25@3000 ""  false`, `26@3000 "end"  true`}
	if !slices.Equal(got, want) {
		t.Errorf("%s", strings.Join(got, "\n"))
	}
	u = &Cursor{Stream: archive.Stdout}
	for i := range 5 {
		u.addPiece(data(int64(i)*40_000, 1, strings.Repeat("x", 40_000)))
	}
	if len(u.lines) == 0 || len(u.partial) > 2*maxLine {
		t.Errorf("a stream without newlines: %d lines, %d bytes buffered", len(u.lines), len(u.partial))
	}
}

// TestMergeKeepsOrder guards against reordering the lines of a stream when a machine's clock
// steps back, and checks the order between streams.
func TestMergeKeepsOrder(t *testing.T) {
	at := func(ms int64) time.Time { return time.UnixMilli(ms) }
	stream := func(task int, times ...int64) *Cursor {
		u := &Cursor{Attempt: archive.Attempt{Job: "wk-000001", Task: task, Try: 1, Machine: "m"}, Stream: archive.Stdout, exhausted: true}
		for i, ms := range times {
			u.lines = append(u.lines, Line{Attempt: u.Attempt, At: at(ms), Text: fmt.Sprintf("%d.%d", task, i)})
		}
		return u
	}
	var got []string
	err := Merge(context.Background(), []*Cursor{stream(0, 10, 30, 5, 40), stream(1, 20, 35), stream(2)}, func(l *Line) error {
		got = append(got, l.Text)
		return nil
	})
	if want := []string{"0.0", "1.0", "0.1", "0.2", "1.1", "0.3"}; err != nil || !slices.Equal(got, want) {
		t.Errorf("%v, %v", got, err)
	}
}
