package archive

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"unicode/utf8"

	"silvergate/internal/protocol"
)

// Part is a segment as its key tells it, with its length.
type Part struct {
	From int64
	To   int64
	// Ref is the caller's own.
	Ref int
}

// What a piece of a stream is.
const (
	PieceData    = ""        // bytes of a segment
	PieceGap     = "gap"     // lost, with the reason
	PieceExpired = "expired" // was here, and was dropped
	PieceMissing = "missing" // not here, and nobody said why: on its way, or lost with its machine
)

// Piece is a range of a stream and what became of it.
type Piece struct {
	From   int64  `json:"from"`
	To     int64  `json:"to"` // -1: nobody knows
	What   string `json:"what,omitempty"`
	Reason string `json:"reason,omitempty"`
	Ref    int    `json:"-"` // data: the part
}

// Assemble puts a stream together: each byte once, in order, and each that is not
// there with what is known of it. Parts may overlap, as an agent that was killed
// cuts anew, and may come in any order. upto is what expired at the stream's
// start; size is the stream's length, or -1 if the attempt's end is not known.
func Assemble(parts []Part, gaps []Gap, upto int64, expired string, size int64) (out []Piece) {
	parts = slices.Clone(parts)
	slices.SortFunc(parts, func(a, b Part) int {
		switch {
		case a.From != b.From:
			return cmp.Compare(a.From, b.From)
		case a.To != b.To:
			return cmp.Compare(b.To, a.To)
		}
		return a.Ref - b.Ref
	})
	gaps = slices.Clone(gaps)
	slices.SortFunc(gaps, func(a, b Gap) int { return cmp.Compare(a.From, b.From) })
	pos := int64(0)
	if expired != "" && upto > 0 {
		out, pos = append(out, Piece{From: 0, To: upto, What: PieceExpired, Reason: expired}), upto
	}
	// hole tells what is known of a range without data.
	hole := func(to int64) {
		for _, g := range gaps {
			if g.To >= 0 && g.To <= pos || g.From >= to || pos >= to {
				continue
			}
			if g.From > pos {
				out, pos = append(out, Piece{From: pos, To: g.From, What: PieceMissing}), g.From
			}
			end := to
			if g.To >= 0 {
				end = min(to, g.To)
			}
			out, pos = append(out, Piece{From: pos, To: end, What: PieceGap, Reason: g.Reason}), end
		}
		if pos < to {
			out, pos = append(out, Piece{From: pos, To: to, What: PieceMissing}), to
		}
	}
	told := 0 // gaps of unknown length that were told
	marks := func() {
		for ; told < len(gaps) && gaps[told].From <= pos; told++ {
			if g := gaps[told]; g.To == g.From && g.From == pos {
				out = append(out, Piece{From: pos, To: pos, What: PieceGap, Reason: g.Reason})
			}
		}
	}
	for _, p := range parts {
		if p.To <= pos {
			continue
		}
		marks()
		if p.From > pos {
			hole(p.From)
			marks()
		}
		out, pos = append(out, Piece{From: pos, To: p.To, Ref: p.Ref}), p.To
	}
	marks()
	if size > pos {
		hole(size)
	}
	for _, g := range gaps { // open ones: all after them that is not there
		if g.To < 0 && g.From >= pos && size < 0 {
			out = append(out, Piece{From: pos, To: -1, What: PieceGap, Reason: g.Reason})
			break
		}
	}
	return out
}

// File is a file that an attempt left behind. It is there whole or not at all: its
// record comes after all its chunks are kept.
type File struct {
	// Path is relative to the task's working directory, with slashes. It is
	// whatever the program chose, and nothing but data.
	Path   string   `json:"path"`
	Size   int64    `json:"size"`
	Digest string   `json:"digest"` // BLAKE3 of the whole, in hexadecimal
	Chunks []string `json:"chunks"` // digests of its chunks, in order
	Mode   uint32   `json:"mode"`
	At     int64    `json:"atMs"` // when it was last changed
}

// MaxFile is how large a file may be that is kept, in bytes: its list of chunks
// must fit into a record.
const MaxFile = 8 << 30

// Check names what can't be.
func (f *File) Check() error {
	if !SafePath(f.Path) {
		return errors.New("path: not a path inside the working directory")
	}
	if f.Size < 0 || f.Size > MaxFile || int64(len(f.Chunks)) != (f.Size+ChunkSize-1)/ChunkSize || len(f.Digest) != 64 {
		return errors.New("size, digest and chunks don't fit each other")
	}
	for _, c := range f.Chunks {
		if len(c) != 64 || strings.Trim(c, "0123456789abcdef") != "" {
			return errors.New("chunks: not a digest")
		}
	}
	return nil
}

// SafePath tells whether a file's name leads nowhere but below the folder that it
// is relative to, on any machine that it may be written to later.
func SafePath(p string) bool {
	return protocol.ValidRelativePath(p) && !slices.ContainsFunc(strings.Split(p, "/"), func(e string) bool { return len(e) > 255 })
}

// Visible makes output safe to print on a terminal: control characters but the
// line's end and the tab are written out, so that no line moves a cursor, sets a
// title or hides another.
func Visible(line string) string {
	ok := true
	for i := 0; i < len(line); i++ {
		if c := line[i]; c < 0x20 && c != '\t' && c != '\n' || c >= 0x7f {
			ok = false
			break
		}
	}
	if ok {
		return line
	}
	const hex = "0123456789abcdef"
	var b strings.Builder
	for i := 0; i < len(line); {
		r, n := utf8.DecodeRuneInString(line[i:])
		switch {
		case r == '\t' || r == '\n':
			b.WriteRune(r)
		case r == utf8.RuneError && n == 1, r < 0x20, r >= 0x7f && r < 0xa0, hidden(r):
			for _, c := range []byte(line[i : i+n]) {
				b.WriteString(`\x`)
				b.WriteByte(hex[c>>4])
				b.WriteByte(hex[c&15])
			}
		default:
			b.WriteString(line[i : i+n])
		}
		i += n
	}
	return b.String()
}

// hidden tells of characters that turn the direction of what follows, or show
// nothing: a line can look like another with them.
func hidden(r rune) bool {
	return r >= 0x200b && r <= 0x200f || r >= 0x202a && r <= 0x202e || r >= 0x2060 && r <= 0x206f || r == 0xfeff || r >= 0xe0000 && r <= 0xe0fff
}

// Range is a part of a stream.
type Range struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
}

// Join adds a range to ranges that are in order and apart, and keeps them so.
func Join(all []Range, r Range) []Range {
	i, _ := slices.BinarySearchFunc(all, r.From, func(x Range, from int64) int { return cmp.Compare(x.To, from) })
	k := i
	for k < len(all) && all[k].From <= r.To {
		r.From, r.To = min(r.From, all[k].From), max(r.To, all[k].To)
		k++
	}
	return slices.Replace(all, i, k, r)
}

// MergeExpired says what expired when two records say so.
func MergeExpired(a, b Expired) Expired {
	if b.At > a.At || a.Reason == "" {
		a.At, a.Reason = b.At, b.Reason
	}
	a.All = a.All || b.All
	upto := map[string]int64{}
	for _, m := range []map[string]int64{a.Upto, b.Upto} {
		for s, n := range m {
			upto[s] = max(upto[s], n)
		}
	}
	a.Upto = upto
	return a
}

// Covers tells whether a record is among what expired. Grants and the marks of
// expiry themselves stay: they tell whose it was.
func (e Expired) Covers(k Key) bool {
	if e.Reason == "" || k.Kind == KindExpired || k.Kind == KindGrant {
		return false
	}
	if e.All {
		return k.Kind != KindEnd
	}
	stream, from, n, err := k.Place()
	return (k.Kind == KindSegment || k.Kind == KindGap) && err == nil && from+int64(n) <= e.Upto[stream] && from < e.Upto[stream]
}
