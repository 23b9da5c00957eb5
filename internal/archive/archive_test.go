package archive

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silvergate/internal/identity"
)

var testAttempt = Attempt{"wk-000001", 3, 1, "m-1"}

func drawAttempt(t *rapid.T) Attempt {
	return Attempt{fmt.Sprintf("wk-%06d", rapid.IntRange(0, 9).Draw(t, "job")), rapid.IntRange(0, 3).Draw(t, "task"), rapid.IntRange(0, 2).Draw(t, "try"),
		rapid.SampledFrom([]string{"m-1", "m-2", "x.y_z"}).Draw(t, "machine")}
}

func drawRecord(t *rapid.T) Record {
	a := drawAttempt(t)
	data := rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "data")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return NewRecord(a, KindGrant, "", Encode(Grant{Attempt: a, Terms: Terms{Owner: Owner{Team: "office"}}}))
	case 1:
		s := Segment{WriteTimes: []WriteTime{{len(data), rapid.Int64Range(0, 1<<45).Draw(t, "at")}}, Data: data}
		return NewRecord(a, KindSegment, FormatPosition(Stdout, rapid.Int64Range(0, 1<<40).Draw(t, "from"), len(data)), s.Encode())
	case 2:
		from := rapid.Int64Range(0, 1<<40).Draw(t, "from")
		return NewRecord(a, KindGap, FormatPosition(Stderr, from, 0), Encode(Gap{From: from, To: from + 5, Reason: GapQuota}))
	case 3:
		return NewRecord(a, KindEnd, "", Encode(End{Cause: "done", Sizes: map[string]int64{Stdout: 3}}))
	}
	return NewRecord(FilesAttempt(a.Job), KindChunk, "", data)
}

// TestFrameRoundTrip encodes random records and checks that they are decoded unchanged, that
// truncation and any changed byte are detected, and that keys sort in the order of tasks.
func TestFrameRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, next := drawRecord(t), drawRecord(t)
		if err := r.Check(); err != nil {
			t.Fatal(err)
		}
		raw := AppendFrame(AppendFrame(nil, &r), &next)
		if len(raw) != FrameSize(&r)+FrameSize(&next) {
			t.Fatal("FrameSize differs from the length of the encoded frames")
		}
		in := bytes.NewReader(raw)
		for _, want := range []Record{r, next} {
			if got, err := ReadFrame(in); err != nil || got.Key != want.Key || !bytes.Equal(got.Payload, want.Payload) {
				t.Fatalf("%v is read as %v: %v", want.Key, got.Key, err)
			}
		}
		if _, err := ReadFrame(in); err != io.EOF {
			t.Fatal(err)
		}
		cut := rapid.IntRange(1, FrameSize(&r)-1).Draw(t, "cut")
		if _, err := ReadFrame(bytes.NewReader(raw[:cut])); !errors.Is(err, ErrTruncated) {
			t.Fatalf("truncated at byte %d: %v, want ErrTruncated", cut, err)
		}
		bad := bytes.Clone(raw[:FrameSize(&r)])
		bad[rapid.IntRange(0, len(bad)-1).Draw(t, "byte")] ^= byte(rapid.IntRange(1, 255).Draw(t, "change"))
		if _, err := ReadFrame(bytes.NewReader(bad)); err == nil {
			t.Fatal("a changed frame is accepted")
		}
		b := drawAttempt(t)
		if (r.Key.Attempt.String() < b.String()) && r.Key.Attempt.Job == b.Job && r.Key.Attempt.Task > b.Task && r.Key.Kind != KindChunk {
			t.Fatal("keys do not sort in the order of tasks")
		}
		r.Payload = append(bytes.Clone(r.Payload), 'x')
		if r.Check() == nil {
			t.Fatal("a payload that does not match the digest in its key is accepted")
		}
	})
}

// TestSegmentsAreBounded guards against segments that decompress to more bytes than their header
// claims or than MaxSegment.
func TestSegmentsAreBounded(t *testing.T) {
	s := Segment{WriteTimes: []WriteTime{{1 << 10, 5}, {MaxSegment, 9}}, Data: make([]byte, MaxSegment)}
	got, err := DecodeSegment(s.Encode())
	if err != nil || !bytes.Equal(got.Data, s.Data) || !slices.Equal(got.WriteTimes, s.WriteTimes) {
		t.Fatal(err)
	}
	bomb := Segment{WriteTimes: []WriteTime{{10, 1}}, Data: make([]byte, 64<<20)}
	raw := bomb.Encode()
	if _, err := DecodeSegment(raw); err == nil {
		t.Error("a segment of 64 MiB is accepted")
	}
	// A payload that claims 10 bytes and decompresses to 100,000.
	lie := zstdEncoder.EncodeAll(make([]byte, 100_000), []byte{1, 10, 2, 10})
	if _, err := DecodeSegment(lie); err == nil {
		t.Error("a segment that is longer than it claims is accepted")
	}
}

// TestAssembleStreams draws the segments that an agent cuts a stream into. Each time the agent is
// killed, it cuts the stream again, at other offsets. The test also draws which segments arrive,
// which gaps are recorded and how much expired. Each byte must be covered by one piece: data
// from the right segment, or the right reason why it is absent.
func TestAssembleStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Int64Range(0, 200).Draw(t, "size")
		state := make([]string, size) // expected Piece.State of each byte
		for i := range state {
			state[i] = PieceMissing
		}
		var parts []Part
		var gaps []Gap
		for range rapid.IntRange(0, 3).Draw(t, "lives") {
			for from := int64(0); from < size; {
				to := min(size, from+rapid.Int64Range(1, 60).Draw(t, "len"))
				if rapid.Bool().Draw(t, "arrives") {
					parts = append(parts, Part{from, to, len(parts)})
					for i := from; i < to; i++ {
						state[i] = PieceData
					}
				}
				from = to
			}
		}
		for range rapid.IntRange(0, 3).Draw(t, "gaps") {
			if size == 0 {
				break
			}
			from := rapid.Int64Range(0, size-1).Draw(t, "from")
			to := rapid.Int64Range(from+1, size).Draw(t, "to")
			gaps = append(gaps, Gap{From: from, To: to, Reason: GapQuota})
			for i := from; i < to; i++ {
				if state[i] == PieceMissing {
					state[i] = PieceGap
				}
			}
		}
		upto := rapid.Int64Range(0, size).Draw(t, "upto")
		for i := range upto {
			state[i] = PieceExpired
		}
		rapid.Permutation(parts).Draw(t, "order")
		known := rapid.Bool().Draw(t, "ended")
		end := int64(-1)
		if known {
			end = size
		}
		pos := int64(0)
		for _, p := range Assemble(parts, gaps, upto, ExpiredAge, end) {
			if p.From != pos || p.To <= p.From {
				t.Fatalf("%+v begins at %d, want %d", p, p.From, pos)
			}
			for i := p.From; i < p.To; i++ {
				if state[i] != p.State {
					t.Fatalf("byte %d is %q, but its piece is %q", i, state[i], p.State)
				}
			}
			if p.State == PieceData && (parts[p.Ref].From > p.From || parts[p.Ref].To < p.To) {
				t.Fatalf("%+v is not within the part that it refers to", p)
			}
			pos = p.To
		}
		if known && pos != size {
			t.Fatalf("the pieces end at %d, the stream at %d", pos, size)
		}
		if !known && slices.Contains(state[pos:], PieceData) {
			t.Fatal("there is data after the last piece")
		}
	})
}

// TestGapsOfUnknownLength guards against assembled streams that omit gaps of unknown
// length.
func TestGapsOfUnknownLength(t *testing.T) {
	got := Assemble([]Part{{0, 5, 0}, {5, 9, 1}}, []Gap{{From: 5, To: 5, Reason: GapCut}, {From: 9, To: -1, Reason: GapUnread}}, 0, "", -1)
	want := []Piece{{From: 0, To: 5}, {From: 5, To: 5, State: PieceGap, Reason: GapCut}, {From: 5, To: 9, Ref: 1},
		{From: 9, To: -1, State: PieceGap, Reason: GapUnread}}
	if !slices.Equal(got, want) {
		t.Errorf("assembled %+v", got)
	}
}

// TestPlacementMovesLittle draws members and checks that each unit has its replicas, that
// when a node joins, units move only to that node, and that it takes about its fair
// share of them.
func TestPlacementMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Members{Replicas: rapid.IntRange(1, 4).Draw(t, "replicas")}
		for i := range rapid.IntRange(1, 8).Draw(t, "nodes") {
			m.Names = append(m.Names, fmt.Sprintf("node-%d", i))
		}
		more := Members{Names: append(slices.Clone(m.Names), "new"), Replicas: m.Replicas}
		const units = 400
		moved, own := 0, 0
		for i := range units {
			unit := PlacementUnit(Attempt{Job: fmt.Sprintf("wk-%06d", i), Task: i % 7})
			was, is := m.NodesFor(unit), more.NodesFor(unit)
			slices.Sort(was)
			if len(slices.Compact(slices.Clone(was))) != m.copies() || !m.IsReplica(was[0], unit) {
				t.Fatal(was)
			}
			for _, n := range is {
				if n == "new" {
					own++
				} else if !slices.Contains(was, n) {
					moved++
				}
			}
		}
		if moved > 0 {
			t.Fatalf("%d replicas moved between nodes that were already members", moved)
		}
		if share := units * more.copies() / len(more.Names); own < share/2-20 || own > 2*share+20 {
			t.Fatalf("the new node has %d replicas, its fair share is %d", own, share)
		}
		// Two quorums must overlap, and fewer silent nodes than a quorum must be tolerated.
		if q := m.Quorum(); 2*q <= m.copies() || q > m.copies() || m.Complete(len(m.Names)-q) || !m.Complete(len(m.Names)-q+1) {
			t.Fatalf("quorum is %d of %d replicas", m.Quorum(), m.copies())
		}
	})
}

// TestTreesDiffer draws two sets of records and checks that their trees differ in exactly the
// leaves in which the sets differ.
func TestTreesDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a, b Tree
		differ := map[int]int{}
		for i := range rapid.IntRange(0, 60).Draw(t, "records") {
			key := fmt.Sprint("k", i)
			leaf := Leaf(fmt.Sprint("u", rapid.IntRange(0, 9).Draw(t, "unit")))
			where := rapid.IntRange(0, 2).Draw(t, "where")
			if where != 1 {
				a.Add(leaf, key)
			}
			if where != 2 {
				b.Add(leaf, key)
			}
			if where != 0 {
				differ[leaf]++
			}
			if rapid.IntRange(0, 5).Draw(t, "gone") == 0 && where == 0 {
				a.Remove(leaf, key)
				b.Remove(leaf, key)
			}
		}
		found := 0
		for _, i := range Differ(a.Branches(), b.Branches()) {
			for _, k := range Differ(a.Branch(i), b.Branch(i)) {
				if differ[i*Fanout+k] == 0 {
					t.Fatal("two leaves differ although their records are the same")
				}
				found++
			}
		}
		if found != len(differ) {
			t.Fatalf("found %d of %d differing leaves", found, len(differ))
		}
	})
}

// TestAccessMatrix checks each kind of identity against each verb, for its own records and
// for those of others.
func TestAccessMatrix(t *testing.T) {
	own := Owner{"office", "baker"}
	for _, c := range []struct {
		who   identity.Identity
		verbs string // those allowed on own's records of machine m-1
	}{
		{identity.Identity{Kind: identity.Node, Name: "n"}, "read sync"},
		{identity.Identity{Kind: identity.Operator, Name: "ann"}, "read admin"},
		{identity.Identity{Kind: identity.Agent, Name: "m-1"}, "write"},
		{identity.Identity{Kind: identity.Agent, Name: "m-2"}, ""},
		{identity.Identity{Kind: identity.Agent, Name: "office"}, ""},
		{identity.Identity{Kind: identity.Team, Name: "office"}, "read"},
		{identity.Identity{Kind: identity.Team, Name: "guests"}, ""},
		{identity.Identity{Kind: identity.Customer, Name: "office", Customer: "baker"}, "read"},
		{identity.Identity{Kind: identity.Customer, Name: "office", Customer: "miller"}, ""},
		{identity.Identity{Kind: identity.Customer, Name: "guests", Customer: "baker"}, ""},
		{identity.Identity{Kind: identity.Customer, Name: "office"}, ""},
		{identity.Identity{}, ""},
	} {
		for _, v := range []Verb{Read, Write, Sync, Admin, "other"} {
			if got, want := Access(c.who, v, own, "m-1"), slices.Contains(strings.Fields(c.verbs), string(v)); got != want {
				t.Errorf("Access: %s may %s: %v, want the opposite", c.who, v, got)
			}
		}
	}
	// A team's own work must not be readable by its customers.
	if Access(identity.Identity{Kind: identity.Customer, Name: "office"}, Read, Owner{Team: "office"}, "") {
		t.Error("a customer without a name may read the team's own records")
	}
}

// TestForgedGrantsAreRejected guards against accepting grants that an agent made or changed.
func TestForgedGrantsAreRejected(t *testing.T) {
	key, other := GrantKey(bytes.Repeat([]byte{1}, KeySize)), GrantKey(bytes.Repeat([]byte{2}, KeySize))
	g := key.Sign(Grant{Attempt: testAttempt, Terms: Terms{Owner: Owner{"office", "baker"}, Class: "quoter", Keep: []string{"out/*.csv"}}})
	if got, err := key.Verify(Encode(g)); err != nil || got.Owner != g.Owner {
		t.Fatal(err)
	}
	change := []func(g *Grant){
		func(g *Grant) { g.Job = "wk-000002" }, func(g *Grant) { g.Try++ }, func(g *Grant) { g.Machine = "m-2" }, func(g *Grant) { g.Team = "guests" },
		func(g *Grant) { g.Customer = "" }, func(g *Grant) { g.Class = "x" }, func(g *Grant) { g.Keep = nil }, func(g *Grant) { g.LaunchSeal = "" }, func(g *Grant) { g.TermsSeal = g.LaunchSeal }, func(g *Grant) { g.LaunchSeal = g.TermsSeal },
		func(g *Grant) { *g = other.Sign(*g) }, func(g *Grant) { g.Job = "../x"; *g = key.Sign(*g) }, func(g *Grant) { g.Team = ""; *g = key.Sign(*g) },
	}
	for i, f := range change {
		x := g
		f(&x)
		if _, err := key.Verify(Encode(x)); err == nil {
			t.Errorf("a grant with change %d is accepted", i)
		}
	}
}

// TestRetention checks which attempts are dropped: those that are too old and, if a team is
// above its quota, the oldest attempts of the customers above an equal share. The team's usage
// is random. One customer's output must never displace another's.
func TestRetention(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	r := Retention{Rules: []Rule{{Class: "chatty", KeepS: 60}, {Team: "office", KeepS: 3600, MaxMB: 1}}}
	at := func(ago time.Duration) time.Time { return now.Add(-ago) }
	got := r.Decide(now, []Usage{
		{Attempt{"wk-000001", 0, 1, "m"}, Owner{"office", "a"}, "x", 10, at(2 * time.Hour), true},
		{Attempt{"wk-000002", 0, 1, "m"}, Owner{"office", "a"}, "chatty", 10, at(2 * time.Minute), true},
		{Attempt{"wk-000003", 0, 1, "m"}, Owner{"office", "a"}, "x", 10, at(2 * time.Minute), true},
		{Attempt{"wk-000004", 0, 1, "m"}, Owner{"guests", ""}, "x", 10, at(200 * time.Hour), true},
		{Attempt{"wk-000005", 0, 1, "m"}, Owner{"office", ""}, "chatty", 10, at(2 * time.Minute), false},
	})
	want := []Drop{{Attempt{"wk-000001", 0, 1, "m"}, 0, ExpiredAge}, {Attempt{"wk-000002", 0, 1, "m"}, 0, ExpiredAge}, {Attempt{"wk-000005", 0, 1, "m"}, 10, ExpiredAge}}
	if !slices.Equal(got, want) {
		t.Errorf("%+v", got)
	}
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		r := Retention{Rules: []Rule{{Team: "office", MaxMB: 0.001}}} // 1,000 bytes
		var all []Usage
		sums := map[Owner]int64{}
		for i := range rapid.IntRange(0, 30).Draw(t, "attempts") {
			u := Usage{Attempt{"wk-000001", i, 1, "m"}, Owner{"office", fmt.Sprint("c", rnd.IntN(4))}, "x", 1 + rnd.Int64N(400), at(time.Duration(rnd.IntN(1000)) * time.Second), rnd.IntN(2) == 0}
			all, sums[u.Owner] = append(all, u), sums[u.Owner]+u.Bytes
		}
		left := map[Owner]int64{}
		for o, n := range sums {
			left[o] = n
		}
		drops := r.Decide(now, all)
		for _, d := range drops {
			u := all[d.Attempt.Task]
			n := u.Bytes
			if d.HeadBytes > 0 {
				n = d.HeadBytes
			}
			left[u.Owner] -= n
			for _, v := range all {
				if v.Owner == u.Owner && v.LastStored.Before(u.LastStored) && !slices.ContainsFunc(drops, func(x Drop) bool { return x.Attempt == v.Attempt }) {
					t.Fatal("an older attempt of the same customer is kept")
				}
			}
		}
		total, fair := int64(0), int64(1000/max(1, len(sums)))
		for o, n := range left {
			total += n
			if sums[o] <= fair && n < sums[o] {
				t.Fatalf("%v keeps %d of its %d bytes, although it was within its share of %d", o, n, sums[o], fair)
			}
		}
		if total > 1000 {
			t.Fatalf("%d bytes are left, the quota is 1000", total)
		}
	})
}

// TestUnsafePathsAndOutput guards against file names that lead out of their directory and
// output that controls a terminal.
func TestUnsafePathsAndOutput(t *testing.T) {
	for _, p := range []string{"", ".", "..", "../x", "a/../../x", "/etc/passwd", "a//b", "a/", "a\\b", "a\x00b", "\xff", strings.Repeat("x", 256), strings.Repeat("x/", 600) + "x", "./a"} {
		if SafePath(p) {
			t.Errorf("%.40q is accepted as a safe path", p)
		}
	}
	for _, p := range []string{"a", "a/b.csv", "..a", "ünï/…", "-rf"} {
		if !SafePath(p) {
			t.Errorf("%q is rejected as an unsafe path", p)
		}
	}
	for in, want := range map[string]string{"plain\ttext": "plain\ttext", "\x1b[2Jx": `\x1b[2Jx`, "a\rb": `a\x0db`, "ü": "ü", "\xff": `\xff`, "\u202egnp.exe": `\xe2\x80\xaegnp.exe`, "\u009b1m": `\xc2\x9b1m`} {
		if got := EscapeForTerminal(in); got != want {
			t.Errorf("%q is escaped as %q", in, got)
		}
	}
}

// FuzzFrame reads frames from arbitrary input. A frame that is accepted must encode to the same
// bytes, and its payload, if valid, must decode within its limits.
func FuzzFrame(f *testing.F) {
	s := Segment{WriteTimes: []WriteTime{{5, 1}}, Data: []byte("hello")}
	for _, r := range []Record{NewRecord(testAttempt, KindSegment, FormatPosition(Stdout, 0, 5), s.Encode()), NewRecord(testAttempt, KindGrant, "", Encode(Grant{Attempt: testAttempt})),
		NewRecord(FilesAttempt(testAttempt.Job), KindChunk, "", []byte("x")),
		NewRecord(testAttempt, KindGap, FormatPosition(Stderr, 7, 0), Encode(Gap{From: 7, To: 9, Reason: GapCut})),
		NewRecord(testAttempt, KindFile, "", Encode(File{Path: "a"}))} {
		f.Add(AppendFrame(nil, &r))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := ReadFrame(bytes.NewReader(raw))
		if err != nil {
			return
		}
		if again := AppendFrame(nil, &r); !bytes.Equal(again, raw[:len(again)]) {
			t.Error("a record is encoded differently from the frame that it was read from")
		}
		if r.Check() == nil && r.Key.Kind == KindSegment {
			if s, err := DecodeSegment(r.Payload); err != nil || len(s.Data) > MaxSegment {
				t.Error("a segment that passed Check can't be decoded, or exceeds MaxSegment")
			}
		}
	})
}

// FuzzSegment decodes segments from arbitrary input. One that is accepted must be within its limits.
func FuzzSegment(f *testing.F) {
	s := Segment{WriteTimes: []WriteTime{{2, 1}, {5, 9}}, Data: []byte("hello")}
	f.Add(s.Encode())
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := DecodeSegment(raw); err == nil && (len(s.Data) > MaxSegment || len(s.Data) != s.WriteTimes[len(s.WriteTimes)-1].To) {
			t.Error("a segment that exceeds its limits is accepted")
		}
	})
}
