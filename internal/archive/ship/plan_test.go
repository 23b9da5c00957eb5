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

// TestEachByteIsShippedOrGivenUpOnce draws a program that writes and shortens its file, looks at
// it, cuts, acknowledgements, a full spool and an agent that starts again with its
// last account. What is cut must be what lies in the file there, each byte of the
// stream must be cut or given up, in order, and every loss must be told.
func TestEachByteIsShippedOrGivenUpOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &streamFollower{}
		var file []byte
		wrote, now := 0, int64(1)
		var stream []byte // what was acknowledged, with 0 for what was given up
		lost := 0         // times the file was shortened with something in it that was seen
		seenSize := int64(0)
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
				if int64(len(file)) < seenSize {
					lost++
				}
				f.observe(int64(len(file)), now)
				seenSize = int64(len(file))
			},
			"shorten": func(t *rapid.T) {
				// Below what was shipped: a program that empties its file and goes on.
				file = file[:0]
				now++
				if seenSize > 0 {
					lost++
				}
				f.observe(0, now)
				seenSize = 0
			},
			"ship": func(t *rapid.T) {
				n, marks := f.nextSegment()
				if n == 0 {
					return
				}
				if marks[len(marks)-1].To != int(n) {
					t.Fatalf("%d bytes, marks %v", n, marks)
				}
				at := int64(0)
				for _, m := range marks {
					if m.At < at || m.At > now {
						t.Fatalf("times go back: %v", marks)
					}
					at = m.At
				}
				if int64(len(stream)) != f.Shipped {
					t.Fatalf("the stream has %d bytes, the account says %d", len(stream), f.Shipped)
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
				seenSize = f.File
			},
			"": func(t *rapid.T) {
				cut, given := 0, int64(0)
				for _, g := range f.Gaps {
					if g.Reason == archive.GapCut {
						cut++
					} else {
						given += g.To - g.From
					}
				}
				if cut != lost {
					t.Fatalf("the file was shortened %d times, and %d are told", lost, cut)
				}
				if n := strings.Count(string(stream), "\x00"); int64(n) != given {
					t.Fatalf("%d bytes were given up, %d are told", n, given)
				}
			},
		})
	})
}

// TestShippingAndDroppingOrder draws needs and checks the order: whatever is due goes, urgent
// ones before others, older ones before younger; and a full spool takes no more than
// it must, of finished tasks before running ones, of others before urgent ones.
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
		in := map[archive.Attempt]bool{}
		for i, w := range out {
			in[w.attempt] = true
			if i > 0 {
				p := out[i-1]
				if w.urgent && !p.urgent || w.urgent == p.urgent && w.oldestAt < p.oldestAt {
					t.Fatalf("%+v comes after %+v", w, p)
				}
			}
		}
		for _, w := range all {
			must := w.ended || w.unshipped >= archive.MaxSegment || w.unshipped > 0 && now-w.oldestAt >= bound
			if must != in[w.attempt] {
				t.Fatalf("%+v is due: %v", w, in[w.attempt])
			}
		}
		quota := rapid.Int64Range(0, 5*archive.MaxSegment).Draw(t, "quota")
		drops := bytesToDrop(all, quota)
		total, left := int64(0), int64(0)
		for i, w := range all {
			if drops[i] < 0 || drops[i] > w.unshipped {
				t.Fatalf("%d of %d bytes", drops[i], w.unshipped)
			}
			total += w.unshipped
			left += w.unshipped - drops[i]
			if drops[i] == 0 {
				continue
			}
			for k, o := range all { // nobody less important keeps anything
				worse := o.ended && !w.ended || o.ended == w.ended && !o.urgent && w.urgent
				if worse && drops[k] < o.unshipped {
					t.Fatalf("%+v loses %d, and %+v keeps %d", w, drops[i], o, o.unshipped-drops[k])
				}
			}
		}
		if left != min(total, quota) {
			t.Fatalf("%d of %d bytes stay with a quota of %d", left, total, quota)
		}
	})
}

// TestKeepPatterns checks which files are kept.
func TestKeepPatterns(t *testing.T) {
	for _, c := range []struct {
		pattern, path string
		want          bool
	}{{"out", "out/a/b", true}, {"out", "out", true}, {"out", "outer/a", false}, {"*.csv", "a.csv", true}, {"*.csv", "out/a.csv", false}, {"out/*.csv", "out/a.csv", true}, {"out/*", "out/a/b", true}, {"[", "[", false}} {
		if got := matches([]string{c.pattern}, c.path); got != c.want {
			t.Errorf("%q takes %q: %v", c.pattern, c.path, got)
		}
	}
}
