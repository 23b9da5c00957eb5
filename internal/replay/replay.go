// Package replay puts recordings of controllers (internal/recorder) through cores
// again. It compares what they do with what was done, and tells the story of a task, a
// job or a machine: what each controller knew of it, what it was told, what it sent.
// Several controllers' recordings are merged into one story.
package replay

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"time"

	"silvergate/internal/coordination"
	"silvergate/internal/protocol"
	"silvergate/internal/recorder"
)

// Life is the recording of one life of one controller.
type Life struct {
	Header recorder.Header
	Files  []string
	Begin  time.Time // of the first input
}

// Open sorts recordings into lives. Folders stand for the recordings in them. A life
// whose beginning is gone can't be replayed and is named in the error.
func Open(paths []string) ([]Life, error) {
	var files []string
	for _, p := range paths {
		st, err := os.Stat(p)
		if err != nil {
			return nil, err
		}
		if !st.IsDir() {
			files = append(files, p)
			continue
		}
		in, err := recorder.Segments(p, "")
		if err != nil {
			return nil, err
		}
		if len(in) == 0 {
			return nil, fmt.Errorf("%s: no recordings there", p)
		}
		files = append(files, in...)
	}
	slices.Sort(files)
	var lives []Life
	for _, f := range files {
		h, first, err := header(f)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", f, err)
		}
		n := len(lives)
		switch {
		case h.Segment == 0:
			lives = append(lives, Life{h, []string{f}, first})
		case n > 0 && lives[n-1].Header.Node == h.Node && lives[n-1].Header.Life == h.Life && len(lives[n-1].Files) == h.Segment:
			lives[n-1].Files = append(lives[n-1].Files, f)
		default:
			return nil, fmt.Errorf("%s: segment %d of %s, life %d, but what came before it is not here: a life is replayed from its beginning (raise recorder.max_mb to keep more)",
				f, h.Segment, h.Node, h.Life)
		}
	}
	return lives, nil
}

// header reads a segment's header, and when its first input came.
func header(file string) (h recorder.Header, first time.Time, err error) {
	f, err := os.Open(file)
	if err != nil {
		return h, first, err
	}
	defer f.Close()
	r, err := recorder.NewReader(f)
	if err != nil {
		return h, first, err
	}
	var in recorder.Input
	if err := r.Next(&in); err == nil {
		first = time.Unix(0, in.Wall)
	} else if !errors.Is(err, io.EOF) && !errors.Is(err, recorder.ErrTorn) {
		return h, first, err
	}
	return r.Header, first, nil
}

// Options say what to tell.
type Options struct {
	Names []string  // tasks, jobs and machines whose story is told
	At    time.Time // when to say what is known of them; zero: not
	Until time.Time // where to stop; zero: at the end
	Log   *slog.Logger
}

// Result is what came of one life's replay.
type Result struct {
	Node      string    `json:"node"`
	Life      int64     `json:"life"`
	Build     string    `json:"build"`
	Inputs    int       `json:"inputs"`
	Different int       `json:"different"`       // inputs whose effects differ
	First     string    `json:"first,omitempty"` // of them
	Torn      bool      `json:"torn,omitempty"`  // the last frame is not whole: the process was killed
	From      time.Time `json:"from"`
	To        time.Time `json:"to"`
	Known     []string  `json:"known,omitempty"` // at the time asked for
	Story     []Line    `json:"-"`
}

// Line is one line of a story.
type Line struct {
	Wall    time.Time `json:"wall"`
	Node    string    `json:"node"`
	Ledger  uint64    `json:"ledger"`            // revision up to which the node's records were complete
	Commits uint64    `json:"commits,omitempty"` // revision that the node made, as it learnt in this step
	Text    string    `json:"text"`
}

// String is the line as people read it: the time of day, the node, its revision and the text.
func (l Line) String() string {
	return fmt.Sprintf("%s %s at %d: %s", l.Wall.UTC().Format("15:04:05.000"), l.Node, l.Ledger, l.Text)
}

// Play puts a life through a core.
func (l *Life) Play(o Options) (Result, error) {
	h := &l.Header
	res := Result{Node: h.Node, Life: h.Life, Build: h.Build}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	core, err := coordination.NewFromHeader(h, o.Log)
	if err != nil {
		return res, err
	}
	t := &teller{o: o, node: h.Node, core: core, known: make([]string, len(o.Names)), txns: map[uint64]bool{}}
	for _, file := range l.Files {
		done, err := l.segment(file, core, t, &res)
		if err != nil {
			return res, fmt.Errorf("%s: %w", file, err)
		}
		if done {
			break
		}
	}
	t.at(time.Unix(1<<40, 0), &res) // asked for after the end: what is known last
	res.Story = t.lines
	return res, nil
}

func (l *Life) segment(file string, core *coordination.Core, t *teller, res *Result) (done bool, err error) {
	f, err := os.Open(file)
	if err != nil {
		return false, err
	}
	defer f.Close()
	r, err := recorder.NewReader(f)
	if err != nil {
		return false, err
	}
	var in recorder.Input
	for {
		switch err := r.Next(&in); {
		case errors.Is(err, io.EOF):
			return false, nil
		case errors.Is(err, recorder.ErrTorn):
			res.Torn = true
			return true, nil
		case err != nil:
			return false, err
		}
		wall := time.Unix(0, in.Wall)
		if !t.o.Until.IsZero() && wall.After(t.o.Until) {
			return true, nil
		}
		if res.Inputs++; res.Inputs == 1 {
			res.From = wall
		}
		res.To = wall
		t.at(wall, res)
		e, same, err := core.Replay(&in)
		if err != nil {
			return false, err
		}
		if !same {
			if res.Different++; res.First == "" {
				res.First = fmt.Sprintf("input %d at %s, a %v %s %s", res.Inputs, wall.UTC().Format("15:04:05.000"), in.Kind, in.Method, in.Path)
			}
		}
		t.step(&in, &e)
	}
}

// teller gathers a story.
type teller struct {
	o     Options
	node  string
	core  *coordination.Core
	known []string
	txns  map[uint64]bool // calls that are transactions
	lines []Line
	told  bool // what is known at o.At
}

// at says what is known at the time asked for, when it comes.
func (t *teller) at(wall time.Time, res *Result) {
	if t.told || t.o.At.IsZero() || wall.Before(t.o.At) {
		return
	}
	t.told = true
	for _, n := range t.o.Names {
		k := t.core.Known(n)
		if k == "" {
			k = "nothing is known"
		}
		res.Known = append(res.Known, fmt.Sprintf("%s, records at %d: %s: %s", t.node, t.core.AppliedRevision(), n, k))
	}
}

// step tells of an input that concerns what the story is about: in its text, in what
// the core did, or in what it knows now.
func (t *teller) step(in *recorder.Input, e *coordination.Effects) {
	if len(t.o.Names) == 0 {
		return
	}
	line := Line{Wall: time.Unix(0, in.Wall), Node: t.node, Ledger: t.core.AppliedRevision()}
	if in.Kind == recorder.Reply && t.txns[in.ID] {
		delete(t.txns, in.ID)
		var r protocol.TxnResult
		if in.Status == 200 && json.Unmarshal(in.Body, &r) == nil {
			line.Commits = r.Revision
		}
	}
	for i := range e.Calls {
		if e.Calls[i].Path == protocol.PathTxn {
			t.txns[e.Calls[i].ID] = true
		}
	}
	var parts []string
	for i, n := range t.o.Names {
		if s := heard(in, n); s != "" {
			parts = append(parts, s)
		}
		parts = append(parts, sent(e, n)...)
		if k := t.core.Known(n); k != t.known[i] {
			t.known[i] = k
			parts = append(parts, "now knows of "+n+": "+k)
		}
	}
	if len(parts) > 0 {
		if line.Commits > 0 {
			parts = append([]string{fmt.Sprintf("its transaction made revision %d", line.Commits)}, parts...)
		}
		line.Text = strings.Join(parts, "; ")
		t.lines = append(t.lines, line)
	}
}

// heard is what an input says about a name.
func heard(in *recorder.Input, name string) string {
	if in.Kind != recorder.Request || !strings.Contains(string(in.Body), `"`+name+`"`) && !strings.Contains(in.Path, name) {
		return ""
	}
	if in.Path != protocol.PathHeartbeat {
		return "is asked " + in.Method + " " + in.Path
	}
	r, err := protocol.ParseHeartbeat(in.Body)
	if err != nil {
		return ""
	}
	out := fmt.Sprintf("hears %s, session %d, tally %d, token %d", r.Worker, r.AgentEpoch, r.Sequence, r.FencingToken)
	for _, l := range r.Tasks {
		if l.Task == name {
			out += fmt.Sprintf(": attempt %d %s %s", l.Attempt, l.Status, l.Cause)
		}
	}
	return out
}

// sent is what effects say about a name.
func sent(e *coordination.Effects, name string) (out []string) {
	quoted := `"` + name + `"`
	for i := range e.Responses {
		a := &e.Responses[i]
		var c protocol.HeartbeatResponse
		if strings.Contains(string(a.Body), quoted) && json.Unmarshal(a.Body, &c) == nil {
			out = append(out, orders("answers with", c.FencingToken, c.Commands, name))
		}
	}
	for i := range e.Calls {
		k := &e.Calls[i]
		switch {
		case k.Path == protocol.PathCommands && strings.Contains(string(k.Body), quoted):
			var d protocol.DirectCommands
			if json.Unmarshal(k.Body, &d) == nil {
				out = append(out, orders("sends to "+k.Address, d.FencingToken, d.Commands, name))
			}
		case k.Path == protocol.PathRentalsDelete && strings.Contains(string(k.Body), quoted):
			out = append(out, "asks the cloud to delete "+name)
		case k.Path == protocol.PathTxn && strings.Contains(string(k.Body), "/"+name+`"`):
			out = append(out, "sends a transaction on it")
		}
	}
	return out
}

func orders(how string, token uint64, list []protocol.Command, name string) string {
	out := fmt.Sprintf("%s token %d", how, token)
	for _, o := range list {
		if o.Task == name {
			out += fmt.Sprintf(", %s attempt %d", o.Verb, o.Attempt)
		}
	}
	return out
}

// Merge makes one story of several. Lines go by the day's clocks, which may be apart;
// where a node knows of a revision that another's transaction made, it comes after.
func Merge(stories ...[]Line) []Line {
	var out []Line
	at := make([]int, len(stories))
	// pending is the next revision that a story has yet to make; 0: none.
	pending := func(i int) uint64 {
		for _, l := range stories[i][at[i]:] {
			if l.Commits > 0 {
				return l.Commits
			}
		}
		return 0
	}
	// early tells whether a story's next line knows of a revision that is still to be
	// made in another.
	early := func(i int) bool {
		for j := range stories {
			if r := pending(j); j != i && r > 0 && stories[i][at[i]].Ledger >= r {
				return true
			}
		}
		return false
	}
	for {
		best, bestEarly := -1, false
		for i := range stories {
			if at[i] == len(stories[i]) {
				continue
			}
			e := early(i)
			if best < 0 || bestEarly && !e || bestEarly == e && stories[i][at[i]].Wall.Before(stories[best][at[best]].Wall) {
				best, bestEarly = i, e
			}
		}
		if best < 0 {
			return out
		}
		out = append(out, stories[best][at[best]])
		at[best]++
	}
}

// ParseTime reads a point in time: RFC 3339, or how long after the first input.
func ParseTime(s string, first time.Time) (time.Time, error) {
	if s == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(s); err == nil {
		return first.Add(d), nil
	}
	t, err := time.Parse(time.RFC3339Nano, s)
	if err != nil {
		return t, fmt.Errorf("%q is neither a time (2026-12-01T06:00:00Z) nor how long after the first input (90.5s)", s)
	}
	return t, nil
}
