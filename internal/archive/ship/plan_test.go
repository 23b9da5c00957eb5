package ship

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"silvergate/internal/archive"
	"silvergate/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// TestEachByteIsShippedOrGivenUpOnce runs random sequences of a program that writes and
// shortens its file, observations, segments with and without acknowledgement, a full spool
// and an agent that restarts with its last progress. Each segment must match the file, each
// byte of the stream must be shipped or given up once and in order, and each loss must be
// recorded as a gap.
func TestEachByteIsShippedOrGivenUpOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &streamFollower{}
		var file []byte
		wrote, now := 0, int64(1)
		var stream []byte // what was acknowledged, with 0 for what was given up
		lost := 0         // times the file was shortened after it was observed with content
		lastSize := int64(0)
		next := func(n int) (out []byte) {
			for range n {
				wrote++
				out = append(out, byte('a'+wrote%26))
			}
			return out
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) { file = append(file, next(rapid.IntRange(1, 500).Draw(t, "n"))...) },
			"look": func(*rapid.T) {
				now++
				if int64(len(file)) < lastSize {
					lost++
				}
				f.observe(int64(len(file)), now)
				lastSize = int64(len(file))
			},
			"shorten": func(t *rapid.T) {
				// The program empties its file, which is then shorter than what was
				// shipped, and continues to write.
				file = file[:0]
				now++
				if lastSize > 0 {
					lost++
				}
				f.observe(0, now)
				lastSize = 0
			},
			"ship": func(t *rapid.T) {
				n, times := f.nextSegment()
				if n == 0 {
					return
				}
				if times[len(times)-1].To != int(n) {
					t.Fatalf("a segment of %d bytes has write times %v", n, times)
				}
				at := int64(0)
				for _, m := range times {
					if m.At < at || m.At > now {
						t.Fatalf("write times are not in order: %v", times)
					}
					at = m.At
				}
				if int64(len(stream)) != f.Shipped {
					t.Fatalf("%d bytes of the stream were shipped or given up, the cursor says %d", len(stream), f.Shipped)
				}
				part := file[f.File : f.File+n]
				if rapid.Bool().Draw(t, "acknowledged") {
					stream = append(stream, part...)
					f.advance(n)
				}
			},
			"spool full": func(t *rapid.T) {
				n := rapid.Int64Range(0, f.unshipped()).Draw(t, "n")
				stream = append(stream, make([]byte, n)...)
				f.giveUp(n, now, archive.GapQuota)
			},
			"start again": func(*rapid.T) {
				f = &streamFollower{Cursor: Cursor{f.Shipped, f.File, f.Gaps}}
				lastSize = f.File
			},
			"": func(t *rapid.T) {
				cut, givenUp := 0, int64(0)
				for _, g := range f.Gaps {
					if g.Reason == archive.GapCut {
						cut++
					} else {
						givenUp += g.To - g.From
					}
				}
				if cut != lost {
					t.Fatalf("the file was shortened %d times, but %d gaps say so", lost, cut)
				}
				if n := strings.Count(string(stream), "\x00"); int64(n) != givenUp {
					t.Fatalf("%d bytes were given up, but gaps cover %d", n, givenUp)
				}
			},
		})
	})
}

// TestShippingAndDroppingOrder checks due and bytesToDrop with random backlogs. Everything
// that is due must be shipped, urgent attempts before others and older output before newer.
// A full spool must give up no more than needed, from ended attempts before running ones and
// from non-urgent attempts before urgent ones.
func TestShippingAndDroppingOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []attemptBacklog
		for i := range rapid.IntRange(0, 12).Draw(t, "attempts") {
			w := attemptBacklog{attempt: archive.Attempt{Job: fmt.Sprintf("wk-%06d", i)}, urgent: rapid.Bool().Draw(t, "urgent"), ended: rapid.Bool().Draw(t, "over"),
				unshipped: rapid.SampledFrom([]int64{0, 0, 10, 5000, archive.MaxSegment, 3 * archive.MaxSegment}).Draw(t, "left")}
			if w.unshipped > 0 {
				w.oldestAt = rapid.Int64Range(1, 1000).Draw(t, "since")
			}
			all = append(all, w)
		}
		const now, bound = 1000, 300
		out := due(all, now, bound)
		isDue := map[archive.Attempt]bool{}
		for i, w := range out {
			isDue[w.attempt] = true
			if i > 0 {
				p := out[i-1]
				if w.urgent && !p.urgent || w.urgent == p.urgent && w.oldestAt < p.oldestAt {
					t.Fatalf("due returns %+v after %+v", w, p)
				}
			}
		}
		for _, w := range all {
			must := w.ended || w.unshipped >= archive.MaxSegment || w.unshipped > 0 && now-w.oldestAt >= bound
			if must != isDue[w.attempt] {
				t.Fatalf("%+v is due: %v, want the opposite", w, isDue[w.attempt])
			}
		}
		quota := rapid.Int64Range(0, 5*archive.MaxSegment).Draw(t, "quota")
		drops := bytesToDrop(all, quota)
		total, left := int64(0), int64(0)
		for i, w := range all {
			if drops[i] < 0 || drops[i] > w.unshipped {
				t.Fatalf("gives up %d of %d bytes", drops[i], w.unshipped)
			}
			total += w.unshipped
			left += w.unshipped - drops[i]
			if drops[i] == 0 {
				continue
			}
			for k, o := range all { // attempts that are less important must have given up all their output
				lessImportant := o.ended && !w.ended || o.ended == w.ended && !o.urgent && w.urgent
				if lessImportant && drops[k] < o.unshipped {
					t.Fatalf("%+v gives up %d bytes while %+v keeps %d", w, drops[i], o, o.unshipped-drops[k])
				}
			}
		}
		if left != min(total, quota) {
			t.Fatalf("%d of %d bytes are kept with a quota of %d", left, total, quota)
		}
	})
}

// TestKeepPatterns checks which paths match a job's patterns for files to keep.
func TestKeepPatterns(t *testing.T) {
	for _, c := range []struct {
		pattern, path string
		want          bool
	}{{"out", "out/a/b", true}, {"out", "out", true}, {"out", "outer/a", false}, {"*.csv", "a.csv", true}, {"*.csv", "out/a.csv", false}, {"out/*.csv", "out/a.csv", true}, {"out/*", "out/a/b", true}, {"[", "[", false}} {
		if got := matches([]string{c.pattern}, c.path); got != c.want {
			t.Errorf("pattern %q matches %q: %v", c.pattern, c.path, got)
		}
	}
}
