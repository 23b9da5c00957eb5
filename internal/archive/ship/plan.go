// Package ship is a machine's side of the archive: it follows what the machine's
// tasks write into files, cuts it into segments and has archive nodes store them,
// and does the same with the files that a job wants kept.
//
// plan.go decides, without I/O: where a stream is cut, what is shipped next, what
// a full spool gives up. ship.go follows attempts; rounds.go has the loop that
// carries the decisions out; files.go ships files and the end; progress.go saves the
// progress on disk; put.go has records stored by a quorum.
//
// What a task wrote is in its files before anything here sees it. Progress that
// is lost or old costs nothing but shipping some of it again: segments say what
// they are, and overlaps are put together when they are read.
package ship

import (
	"cmp"
	"slices"

	"silvergate/internal/archive"
)

// Cursor is how far a stream was shipped, in bytes. A program can shorten its own file; then
// what follows goes on behind what was there before.
type Cursor struct {
	// Shipped is how much of the stream nodes acknowledged; File is where in the
	// file that is.
	Shipped int64 `json:"shipped"`
	File    int64 `json:"file"`
	// Gaps are losses that are not stored yet.
	Gaps []archive.Gap `json:"gaps,omitempty"`
}

// observedSize is a size of a file and when it was observed.
type observedSize struct {
	size int64 // of the file
	at   int64 // Unix time in milliseconds
}

// streamFollower decides where a stream is cut.
type streamFollower struct {
	Cursor
	sizes []observedSize // rising, all above File
}

// maxObservedSizes bounds the times that are kept of a stream that is not shipped.
const maxObservedSizes = 200

// observe notes the file's size as it is now.
func (f *streamFollower) observe(size, now int64) {
	last := f.File
	if n := len(f.sizes); n > 0 {
		last = f.sizes[n-1].size
	}
	switch {
	case size < last:
		// The program has shortened the file. What lay behind and was not shipped
		// is lost, nobody can say how much; what comes goes on behind.
		f.Gaps = append(f.Gaps, archive.Gap{From: f.Shipped, To: f.Shipped, At: now, Reason: archive.GapCut})
		f.sizes = nil
		f.File = 0
		if size > 0 {
			f.sizes = append(f.sizes, observedSize{size, now})
		}
	case size > last:
		if len(f.sizes) == maxObservedSizes { // coarser times rather than more memory
			f.sizes[maxObservedSizes-1] = observedSize{size, now}
		} else {
			f.sizes = append(f.sizes, observedSize{size, now})
		}
	}
}

// unshipped is how many bytes are to be shipped.
func (f *streamFollower) unshipped() int64 {
	if n := len(f.sizes); n > 0 {
		return f.sizes[n-1].size - f.File
	}
	return 0
}

// oldestUnshipped is when the oldest of them was observed; 0 if there are none.
func (f *streamFollower) oldestUnshipped() int64 {
	if len(f.sizes) == 0 {
		return 0
	}
	return f.sizes[0].at
}

// nextSegment says what the next segment is: n bytes of the file from File on, with
// their write times.
func (f *streamFollower) nextSegment() (n int64, marks []archive.WriteTime) {
	n = min(f.unshipped(), archive.MaxSegment)
	for _, s := range f.sizes {
		to := min(s.size-f.File, n)
		marks = append(marks, archive.WriteTime{To: int(to), At: s.at})
		if to == n {
			break
		}
	}
	return n, marks
}

// advance notes that the next n bytes are stored, or given up.
func (f *streamFollower) advance(n int64) {
	f.Shipped += n
	f.File += n
	f.sizes = slices.DeleteFunc(f.sizes, func(s observedSize) bool { return s.size <= f.File })
}

// giveUp drops the next n bytes, and notes it.
func (f *streamFollower) giveUp(n, now int64, reason string) {
	if n > 0 {
		f.Gaps = append(f.Gaps, archive.Gap{From: f.Shipped, To: f.Shipped + n, At: now, Reason: reason})
		f.advance(n)
	}
}

// attemptBacklog is what an attempt has to ship, as the plan sees it.
type attemptBacklog struct {
	attempt   archive.Attempt
	urgent    bool
	ended     bool
	oldestAt  int64 // when the oldest unshipped byte was observed, 0: none
	unshipped int64
}

// due decides which attempts are shipped now: those with enough for a whole
// segment, with something older than the bound, or that are over; urgent ones
// first, then the oldest.
func due(all []attemptBacklog, now, bound int64) (out []attemptBacklog) {
	for _, w := range all {
		if w.unshipped >= archive.MaxSegment || w.oldestAt > 0 && now-w.oldestAt >= bound || w.ended {
			out = append(out, w)
		}
	}
	slices.SortStableFunc(out, func(a, b attemptBacklog) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(a.oldestAt, b.oldestAt); c != 0 {
			return c
		}
		return cmp.Compare(a.attempt.String(), b.attempt.String())
	})
	return out
}

// bytesToDrop decides what a full spool gives up: of attempts that are over first, those
// that are not urgent before those that are, the oldest first; then of running
// ones. It returns how many bytes of each, in the order of all.
func bytesToDrop(all []attemptBacklog, quota int64) []int64 {
	out := make([]int64, len(all))
	over := -quota
	for _, w := range all {
		over += w.unshipped
	}
	order := make([]int, len(all))
	for i := range order {
		order[i] = i
	}
	rank := func(w attemptBacklog) int {
		r := 0
		if !w.ended {
			r += 2
		}
		if w.urgent {
			r++
		}
		return r
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if c := cmp.Compare(rank(all[a]), rank(all[b])); c != 0 {
			return c
		}
		return cmp.Compare(all[a].oldestAt, all[b].oldestAt)
	})
	for _, i := range order {
		if over <= 0 {
			break
		}
		out[i] = min(all[i].unshipped, over)
		over -= out[i]
	}
	return out
}
