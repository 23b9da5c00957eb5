// Package ship is a machine's side of the archive. It follows the files to which the
// machine's tasks write their output, cuts the output into segments and sends these to
// archive nodes, which store them. It also ships the files that a job wants kept.
//
// plan.go decides, without I/O, where a stream is cut into segments, what is shipped
// next, and what is given up when the spool is full. ship.go follows attempts; rounds.go
// has the loop that carries the decisions out; files.go ships files and the attempt's
// end; progress.go saves the progress on disk; put.go sends records to a quorum of nodes.
//
// A task's output is in its files before this package reads it. If the saved progress is
// lost or old, some output is shipped again and nothing else is lost: a segment's key
// holds its place in the stream, and readers merge segments that overlap.
package ship

import (
	"cmp"
	"slices"

	"silvergate/internal/archive"
)

// Cursor is how far a stream was shipped, in bytes. A program can shorten its own file; its
// further output then continues the stream after what was shipped before.
type Cursor struct {
	// Shipped is the offset in the stream up to which output was acknowledged by nodes or
	// given up; File is the corresponding offset in the file.
	Shipped int64 `json:"shipped"`
	File    int64 `json:"file"`
	// Gaps are losses that nodes have not stored yet.
	Gaps []archive.Gap `json:"gaps,omitempty"`
}

// observedSize is the size of a file at the time when it was observed.
type observedSize struct {
	size int64 // of the file, in bytes
	at   int64 // Unix time in milliseconds
}

// streamFollower follows a stream's file and decides where the stream is cut into
// segments.
type streamFollower struct {
	Cursor
	sizes []observedSize // in rising order, all above File
}

// maxObservedSizes bounds the observations that are held of a stream while it can't be
// shipped.
const maxObservedSizes = 200

// observe records the present size of the file.
func (f *streamFollower) observe(size, now int64) {
	last := f.File
	if n := len(f.sizes); n > 0 {
		last = f.sizes[n-1].size
	}
	switch {
	case size < last:
		// The program has shortened the file. Output beyond the new end that was not
		// shipped is lost, and its amount is unknown; further output continues the
		// stream at Shipped.
		f.Gaps = append(f.Gaps, archive.Gap{From: f.Shipped, To: f.Shipped, At: now, Reason: archive.GapCut})
		f.sizes = nil
		f.File = 0
		if size > 0 {
			f.sizes = append(f.sizes, observedSize{size, now})
		}
	case size > last:
		if len(f.sizes) == maxObservedSizes { // keep fewer times instead of using more memory
			f.sizes[maxObservedSizes-1] = observedSize{size, now}
		} else {
			f.sizes = append(f.sizes, observedSize{size, now})
		}
	}
}

// unshipped returns how many bytes wait to be shipped.
func (f *streamFollower) unshipped() int64 {
	if n := len(f.sizes); n > 0 {
		return f.sizes[n-1].size - f.File
	}
	return 0
}

// oldestUnshipped returns when the oldest unshipped byte was observed, or 0 if there is
// none.
func (f *streamFollower) oldestUnshipped() int64 {
	if len(f.sizes) == 0 {
		return 0
	}
	return f.sizes[0].at
}

// nextSegment returns the next segment's size n and write times. The segment starts at
// File in the file.
func (f *streamFollower) nextSegment() (n int64, times []archive.WriteTime) {
	n = min(f.unshipped(), archive.MaxSegment)
	for _, s := range f.sizes {
		to := min(s.size-f.File, n)
		times = append(times, archive.WriteTime{To: int(to), At: s.at})
		if to == n {
			break
		}
	}
	return n, times
}

// advance moves past the next n bytes, which were stored or given up.
func (f *streamFollower) advance(n int64) {
	f.Shipped += n
	f.File += n
	f.sizes = slices.DeleteFunc(f.sizes, func(s observedSize) bool { return s.size <= f.File })
}

// giveUp drops the next n bytes and records the loss as a gap.
func (f *streamFollower) giveUp(n, now int64, reason string) {
	if n > 0 {
		f.Gaps = append(f.Gaps, archive.Gap{From: f.Shipped, To: f.Shipped + n, At: now, Reason: reason})
		f.advance(n)
	}
}

// attemptBacklog is how much of an attempt waits to be shipped, for due and bytesToDrop.
type attemptBacklog struct {
	attempt   archive.Attempt
	urgent    bool
	ended     bool
	oldestAt  int64 // when the oldest unshipped byte was observed; 0 if there is none
	unshipped int64
}

// due returns the attempts that are shipped now: those with enough output for a full
// segment, with output that is at least bound milliseconds old, or that have ended.
// Urgent attempts come first, then those with the oldest output.
func due(all []attemptBacklog, now, bound int64) (out []attemptBacklog) {
	for _, backlog := range all {
		if backlog.unshipped >= archive.MaxSegment || backlog.oldestAt > 0 && now-backlog.oldestAt >= bound || backlog.ended {
			out = append(out, backlog)
		}
	}
	slices.SortStableFunc(out, func(a, b attemptBacklog) int {
		if c := cmp.Or(compareUrgency(a.urgent, b.urgent), cmp.Compare(a.oldestAt, b.oldestAt)); c != 0 {
			return c
		}
		return cmp.Compare(a.attempt.String(), b.attempt.String())
	})
	return out
}

// compareUrgency orders urgent attempts before others.
func compareUrgency(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// bytesToDrop returns how many bytes of each attempt are given up, in the order of all,
// when the backlog exceeds quota bytes. Ended attempts lose output before running ones. In
// each of these two groups, non-urgent attempts lose output before urgent ones, and
// attempts of the same urgency in the order of their oldest output.
func bytesToDrop(all []attemptBacklog, quota int64) []int64 {
	out := make([]int64, len(all))
	over := -quota
	for _, backlog := range all {
		over += backlog.unshipped
	}
	order := make([]int, len(all))
	for i := range order {
		order[i] = i
	}
	rank := func(backlog attemptBacklog) int {
		r := 0
		if !backlog.ended {
			r += 2
		}
		if backlog.urgent {
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
