package archive

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"unicode/utf8"

	"silvergate/internal/protocol"
)

// Part is the range of a stream that a segment covers, in bytes, as given by its key.
type Part struct {
	From int64
	To   int64
	// Ref is the caller's reference to the segment.
	Ref int
}

// Values of Piece.State.
const (
	PieceData    = ""        // bytes of a segment
	PieceGap     = "gap"     // lost, for a known reason
	PieceExpired = "expired" // was stored, and was dropped by retention
	PieceMissing = "missing" // not stored, with no gap record: still to be shipped, or lost with its machine
)

// Piece is a range of a stream, in bytes, and its state.
type Piece struct {
	From   int64  `json:"from"`
	To     int64  `json:"to"` // -1: unknown
	State  string `json:"what,omitempty"`
	Reason string `json:"reason,omitempty"`
	Ref    int    `json:"-"` // for PieceData: the Ref of its part
}

// Assemble returns the pieces of a stream in order. They cover each byte once; pieces without
// data say what is known of their range. Parts may come in any order, and may overlap, because
// an agent that restarts after being killed can cut the stream into segments at other offsets.
// upto is the offset up to which the start of the stream expired, and expired the
// reason; size is the stream's length, or -1 if the attempt's end is not known. Offsets
// and lengths are in bytes. Assemble does not modify parts and gaps.
func Assemble(parts []Part, gaps []Gap, upto int64, expired string, size int64) []Piece {
	a := assembly{gaps: sortedGaps(gaps)}
	if expired != "" && upto > 0 {
		a.add(upto, PieceExpired, expired)
	}
	for _, p := range sortedParts(parts) {
		if p.To <= a.offset {
			continue
		}
		a.addPointGaps()
		if p.From > a.offset {
			a.addHole(p.From)
			a.addPointGaps()
		}
		a.pieces = append(a.pieces, Piece{From: a.offset, To: p.To, Ref: p.Ref})
		a.offset = p.To
	}
	a.addPointGaps()
	if size > a.offset {
		a.addHole(size)
	}
	if size < 0 {
		a.addOpenGap()
	}
	return a.pieces
}

// assembly is the state of Assemble: the pieces of a stream up to an offset.
type assembly struct {
	gaps      []Gap // sorted by their start
	pieces    []Piece
	offset    int64 // end of the pieces so far
	pointGaps int   // how many of the gaps addPointGaps has processed
}

// sortedParts returns a copy of parts, sorted by their start; of parts that begin at the
// same offset, the longest comes first.
func sortedParts(parts []Part) []Part {
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
	return parts
}

// sortedGaps returns a copy of gaps, sorted by their start.
func sortedGaps(gaps []Gap) []Gap {
	gaps = slices.Clone(gaps)
	slices.SortFunc(gaps, func(a, b Gap) int { return cmp.Compare(a.From, b.From) })
	return gaps
}

// add appends a piece without data that extends to an offset.
func (a *assembly) add(to int64, state, reason string) {
	a.pieces = append(a.pieces, Piece{From: a.offset, To: to, State: state, Reason: reason})
	a.offset = to
}

// addHole appends gaps and missing pieces for the range up to an offset, which has no data.
func (a *assembly) addHole(to int64) {
	for _, g := range a.gaps {
		if g.To >= 0 && g.To <= a.offset || g.From >= to || a.offset >= to {
			continue
		}
		if g.From > a.offset {
			a.add(g.From, PieceMissing, "")
		}
		end := to
		if g.To >= 0 {
			end = min(to, g.To)
		}
		a.add(end, PieceGap, g.Reason)
	}
	if a.offset < to {
		a.add(to, PieceMissing, "")
	}
}

// addPointGaps appends the gaps of unknown length at the current offset.
func (a *assembly) addPointGaps() {
	for ; a.pointGaps < len(a.gaps) && a.gaps[a.pointGaps].From <= a.offset; a.pointGaps++ {
		if g := a.gaps[a.pointGaps]; g.To == g.From && g.From == a.offset {
			a.add(a.offset, PieceGap, g.Reason)
		}
	}
}

// addOpenGap appends the first gap with an unknown end, after which everything is lost.
func (a *assembly) addOpenGap() {
	for _, g := range a.gaps {
		if g.To < 0 && g.From >= a.offset {
			a.pieces = append(a.pieces, Piece{From: a.offset, To: -1, State: PieceGap, Reason: g.Reason})
			return
		}
	}
}

// File describes an archived file of an attempt. A file is archived whole or not at all: its
// record is stored after all of its chunks.
type File struct {
	// Path is relative to the task's working directory, with slashes. It is untrusted
	// input: the program chose it.
	Path   string   `json:"path"`
	Size   int64    `json:"size"`
	Digest string   `json:"digest"` // BLAKE3 of the whole file, in hexadecimal
	Chunks []string `json:"chunks"` // digests of its chunks, in order
	Mode   uint32   `json:"mode"`
	At     int64    `json:"atMs"` // when the file was last modified, Unix time in milliseconds
}

// MaxFile is the maximum size of an archived file, in bytes: its list of chunks must fit
// into a record.
const MaxFile = 8 << 30

// Check returns an error that says what is wrong with the file, or nil.
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

// SafePath reports whether a relative path stays inside the directory that it is relative to,
// on any machine that the file may be written to later.
func SafePath(p string) bool {
	return protocol.ValidRelativePath(p) && !slices.ContainsFunc(strings.Split(p, "/"), func(e string) bool { return len(e) > 255 })
}

// EscapeForTerminal makes output safe to print on a terminal. It escapes control characters, except
// newline and tab, invisible characters and invalid UTF-8, so that no line can move the cursor, set
// the title or hide another line.
func EscapeForTerminal(text string) string {
	ok := true
	for i := 0; i < len(text); i++ {
		if c := text[i]; c < 0x20 && c != '\t' && c != '\n' || c >= 0x7f {
			ok = false
			break
		}
	}
	if ok {
		return text
	}
	const hex = "0123456789abcdef"
	var b strings.Builder
	for i := 0; i < len(text); {
		r, n := utf8.DecodeRuneInString(text[i:])
		switch {
		case r == '\t' || r == '\n':
			b.WriteRune(r)
		case r == utf8.RuneError && n == 1, r < 0x20, r >= 0x7f && r < 0xa0, isInvisible(r):
			for _, c := range []byte(text[i : i+n]) {
				b.WriteString(`\x`)
				b.WriteByte(hex[c>>4])
				b.WriteByte(hex[c&15])
			}
		default:
			b.WriteString(text[i : i+n])
		}
		i += n
	}
	return b.String()
}

// isInvisible reports whether a character has no visible form or changes the direction of the text
// after it. Such characters can make a line look like another one.
func isInvisible(r rune) bool {
	return r >= 0x200b && r <= 0x200f || r >= 0x202a && r <= 0x202e || r >= 0x2060 && r <= 0x206f || r == 0xfeff || r >= 0xe0000 && r <= 0xe0fff
}

// Range is the part of a stream from offset From up to offset To, in bytes.
type Range struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
}

// AddRange adds a range to a sorted list of disjoint ranges, merges it with those that it
// overlaps or touches, and returns the list. It may modify all in place, so the caller must
// use only the result.
func AddRange(all []Range, r Range) []Range {
	i, _ := slices.BinarySearchFunc(all, r.From, func(x Range, from int64) int { return cmp.Compare(x.To, from) })
	k := i
	for k < len(all) && all[k].From <= r.To {
		r.From, r.To = min(r.From, all[k].From), max(r.To, all[k].To)
		k++
	}
	return slices.Replace(all, i, k, r)
}

// MergeExpired returns the union of two expiry records, with the time and the reason of the
// later one.
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

// Covers reports whether a record of the attempt has expired. If All is set, all records but the
// end are covered; otherwise segments that end at or before Upto, and gaps that begin before it.
// Grants and expiry records are never covered: they are kept because they tell whose attempt it
// was.
func (e Expired) Covers(k Key) bool {
	if e.Reason == "" || k.Kind == KindExpired || k.Kind == KindGrant {
		return false
	}
	if e.All {
		return k.Kind != KindEnd
	}
	stream, from, n, err := k.StreamPosition()
	return (k.Kind == KindSegment || k.Kind == KindGap) && err == nil && from+int64(n) <= e.Upto[stream] && from < e.Upto[stream]
}
