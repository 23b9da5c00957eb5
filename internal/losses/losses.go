// Package losses tells where the time of lost tasks went: from the moment a task
// was last heard of until it runs again, step by step, out of the controllers'
// debug logs. It is for the question after a bad morning, how much of it was the
// protocol's, the machines' and the images', and how much was ours.
//
// It owns nothing: logs go in line by line, a report comes out. The steps' names
// are the messages that the core writes.
package losses

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Messages of the steps of an attempt.
const (
	Evidence = "evidence" // an ending is known; why says how
	Ended    = "ended"    // and committed
	Placing  = "placing"  // the task has a machine
	Bound    = "bound"    // and that is committed
	Launch   = "launch"   // the machine is told
	Began    = "began"    // the first report that shows it running
)

// Kinds of evidence beside the causes that workers report.
const (
	Lease   = "lease"   // it ran out after our last answer
	Session = "session" // the machine reports a later one
	Cloud   = "cloud"   // the machine is deleted, or listed as failed
	Absent  = "absent"  // a newer report lacks what is not wanted any more
)

// Step is a part of the way from a loss to the next start.
type Step int

// Steps, in their order, and whose they are.
const (
	Detect Step = iota // last heard of until evidence: the protocol's, but for a cloud's answer that was asked for late
	Commit             // evidence until committed: the state service's budget
	Room               // until there is a machine for it: room, or work that went before
	Bind               // until that is committed: the state service's budget
	Tell               // until the machine is told
	Image              // until it is seen running: image, inputs, and the wait for the report
	Steps  = 6
)

var names = [Steps]string{"evidence", "commit ending", "room", "commit start", "tell", "image"}

// String is the step's name in reports.
func (s Step) String() string { return names[s] }

// Event is a line of a log that matters here.
type Event struct {
	At     time.Duration // from the first line on, or as the line's own mark says
	Msg    string
	Load   string
	Try    int
	Class  string
	Why    string
	Done   bool
	Silent time.Duration // since the machine was last heard of
	Urgent int           // priority
}

// Loss is one lost attempt and its way back.
type Loss struct {
	Load, Class, Why string
	Urgent           int
	At               time.Duration // last heard of
	Took             [Steps]time.Duration
	Back             bool // it runs again; else the log ends, or the job, before
	// Sure: something followed from the evidence. A controller that is cut off
	// judges leases that peers keep up, and can't commit what it finds.
	Sure bool
}

// Until is when the task ran again, or when it was last heard of here.
func (l *Loss) Until() time.Duration {
	t := l.At
	for _, d := range l.Took {
		t += d
	}
	return t
}

// Reader takes lines and keeps what is under way.
type Reader struct {
	first time.Time
	under map[string]*way
	lost  []*Loss
	lines int
	last  time.Duration
}

type way struct {
	loss *Loss
	step Step // the one under way
	at   time.Duration
}

// NewReader makes an empty one.
func NewReader() *Reader { return &Reader{under: map[string]*way{}} }

// maxLine is the longest line that is looked at; longer ones are passed over.
const maxLine = 1 << 20

// Read takes a log. Lines that it does not know are passed over.
func (r *Reader) Read(in io.Reader) error {
	b := bufio.NewReaderSize(in, 64<<10)
	for {
		line, err := readLine(b)
		if e, ok := r.Parse(line); ok {
			r.Add(e)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", r.lines, err)
		}
	}
}

// readLine reads a line, or drops one that is too long.
func readLine(b *bufio.Reader) (string, error) {
	var out []byte
	long := false
	for {
		part, more, err := b.ReadLine()
		if err != nil {
			return string(out), err
		}
		if long = long || len(out)+len(part) > maxLine; !long {
			out = append(out, part...)
		}
		if !more {
			if long {
				return "", nil
			}
			return string(out), nil
		}
	}
}

// Parse reads a line: slog's text, with or without a mark of seconds and the
// controller's name in front. Earlier versions named the attributes otherwise; both
// names are read.
func (r *Reader) Parse(line string) (e Event, ok bool) {
	r.lines++
	mark, rest := time.Duration(-1), strings.TrimSpace(line)
	if f := strings.Fields(rest); len(f) > 0 {
		if s, err := strconv.ParseFloat(f[0], 64); err == nil && s >= 0 && s < 1e9 {
			mark = time.Duration(s * float64(time.Second))
			rest = strings.TrimSpace(rest[len(f[0]):])
		}
	}
	if at := strings.Index(rest, "time="); at > 0 {
		rest = rest[at:]
	}
	d := logfmt.NewDecoder(strings.NewReader(rest))
	if !d.ScanRecord() {
		return e, false
	}
	for d.ScanKeyval() {
		v := string(d.Value())
		switch string(d.Key()) {
		case "time":
			t, err := time.Parse(time.RFC3339Nano, v)
			if err != nil {
				return e, false
			}
			if r.first.IsZero() {
				r.first = t
			}
			e.At = t.Sub(r.first)
		case "msg":
			e.Msg = v
		case "task", "load":
			e.Load = v
		case "class":
			e.Class = v
		case "reason", "why":
			e.Why = v
		case "done":
			e.Done = v == "true"
		case "attempt", "try":
			e.Try, _ = strconv.Atoi(v)
		case "priority", "urgency":
			e.Urgent, _ = strconv.Atoi(v)
		case "silent_ms", "silentMs":
			ms, _ := strconv.ParseInt(v, 10, 64)
			e.Silent = time.Duration(max(0, min(ms, 1e9))) * time.Millisecond
		}
	}
	if mark >= 0 {
		e.At = mark
	}
	return e, d.Err() == nil && e.Load != "" && e.Msg != ""
}

// lost tells whether an ending was no act of ours and no end of the task's own:
// what is stopped or done is not lost.
func lost(why string) bool {
	switch why {
	case Lease, Session, Cloud, "error", "peers":
		return true
	}
	return false
}

// Add takes an event. Events of several controllers may come in any order that
// keeps each task's own.
func (r *Reader) Add(e Event) {
	r.last = max(r.last, e.At)
	w := r.under[e.Load]
	next := func(from, to Step) {
		if w != nil && w.step >= from && w.step < to {
			w.loss.Took[w.step] += max(0, e.At-w.at)
			w.step, w.at, w.loss.Sure = to, e.At, true
		}
	}
	switch e.Msg {
	case Evidence:
		if e.Done || !lost(e.Why) {
			if e.Done {
				delete(r.under, e.Load)
			}
			return
		}
		if w != nil && w.step == Commit {
			return // told again
		}
		l := &Loss{Load: e.Load, Class: e.Class, Why: e.Why, Urgent: e.Urgent, At: e.At - e.Silent}
		l.Took[Detect] = e.Silent
		r.lost = append(r.lost, l)
		r.under[e.Load] = &way{l, Commit, e.At}
	case Ended:
		next(Commit, Room)
	case Placing:
		next(Commit, Bind)
	case Bound:
		next(Commit, Tell)
	case Launch:
		next(Commit, Image)
	case Began:
		if next(Commit, Steps); w != nil && w.step == Steps {
			w.loss.Back = true
			delete(r.under, e.Load)
		}
	}
}

// Line is a class and kind of evidence in the report. Seconds are summed over
// its losses.
type Line struct {
	Class   string         `json:"class"`
	Why     string         `json:"why"`
	Urgency int            `json:"urgency"`
	Lost    int            `json:"lost"`
	Back    int            `json:"back"` // run again
	Seconds [Steps]float64 `json:"seconds"`
	Median  [Steps]float64 `json:"median"`
	P95     [Steps]float64 `json:"p95"`
}

// Report sums up, the most urgent first. Losses from the time on alone are
// counted, and only such as are sure; those that never came back count as they
// stand.
func (r *Reader) Report(from time.Duration) []Line {
	type key struct{ class, why string }
	by := map[key][]*Loss{}
	for _, l := range r.lost {
		if l.Sure && l.At >= from {
			k := key{l.Class, l.Why}
			by[k] = append(by[k], l)
		}
	}
	out := make([]Line, 0, len(by))
	for k, list := range by {
		n := Line{Class: k.class, Why: k.why, Urgency: list[0].Urgent, Lost: len(list)}
		for _, l := range list {
			if l.Back {
				n.Back++
			}
		}
		for s := range Step(Steps) {
			var took []time.Duration
			for _, l := range list {
				n.Seconds[s] += l.Took[s].Seconds()
				took = append(took, l.Took[s])
			}
			slices.Sort(took)
			n.Median[s], n.P95[s] = took[len(took)/2].Seconds(), took[min(len(took)-1, len(took)*95/100)].Seconds()
		}
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b Line) int {
		return cmp.Or(cmp.Compare(b.Urgency, a.Urgency), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Why, b.Why))
	})
	return out
}

// Least is when the task would have run again had its ending and its start been
// written, and room been there, at once: what is left is the evidence that the
// protocol asks for and the image on the machine that it got.
func (l *Loss) Least() time.Duration { return l.At + l.Took[Detect] + l.Took[Image] }

// Worst is the span of the given length in which most of a class's time was
// lost, how many task-seconds that were, and how many at the least.
func (r *Reader) Worst(class string, span time.Duration) (from time.Duration, seconds, least float64) {
	for at := time.Duration(0); at <= r.last; at += time.Second {
		sum, low := 0.0, 0.0
		for _, l := range r.lost {
			if l.Class != class || !l.Sure {
				continue
			}
			until := l.Until()
			if !l.Back {
				until = r.last
			}
			in := func(until time.Duration) float64 { return max(0, (min(until, at+span) - max(l.At, at)).Seconds()) }
			sum, low = sum+in(until), low+in(l.Least())
		}
		if sum > seconds {
			from, seconds, least = at, sum, low
		}
	}
	return from, seconds, least
}
