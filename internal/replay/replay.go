// Package replay replays recordings of controllers (internal/recorder) through cores. It
// compares the effects with the recorded ones, and explains what happened to a task, a job
// or a machine: what each controller knew of it, which inputs concerned it, and what was
// sent. It merges the events of several controllers into one timeline.
package replay

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"time"

	"silvergate/internal/coordination"
	"silvergate/internal/recorder"
)

// Incarnation is the recording of one incarnation of a controller: one process, from its
// start to its end.
type Incarnation struct {
	Header recorder.Header // of the first segment
	Files  []string        // the segments in order
	Begin  time.Time       // wall time of the first input
}

// Open groups the segments in paths by incarnation. A path is a segment or a folder of
// segments. An incarnation whose first segment is missing can't be replayed: Open then
// returns an error that names it.
func Open(paths []string) ([]Incarnation, error) {
	files, err := listSegments(paths)
	if err != nil {
		return nil, err
	}
	var incarnations []Incarnation
	for _, file := range files {
		h, begin, err := readHeader(file)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		if h.Segment == 0 {
			incarnations = append(incarnations, Incarnation{Header: h, Files: []string{file}, Begin: begin})
			continue
		}
		// Sorted by name, segments are in the order of node, incarnation and number.
		last := len(incarnations) - 1
		if last < 0 || !incarnations[last].continuedBy(&h) {
			return nil, fmt.Errorf("%s: segment %d of %s, life %d, but what came before it is not here: a life is replayed from its beginning (raise recorder.max_mb to keep more)",
				file, h.Segment, h.Node, h.Life)
		}
		incarnations[last].Files = append(incarnations[last].Files, file)
	}
	return incarnations, nil
}

// listSegments returns the files among paths and the segments in the folders among them,
// sorted by path.
func listSegments(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		segments, err := recorder.Segments(path, "")
		if err != nil {
			return nil, err
		}
		if len(segments) == 0 {
			return nil, fmt.Errorf("%s: the folder has no recordings", path)
		}
		files = append(files, segments...)
	}
	slices.Sort(files)
	return files, nil
}

// continuedBy reports whether h is the header of the incarnation's next segment.
func (i *Incarnation) continuedBy(h *recorder.Header) bool {
	return i.Header.Node == h.Node && i.Header.Life == h.Life && len(i.Files) == h.Segment
}

// readHeader reads a segment's header and the wall time of its first input, which is zero if
// the segment has no complete input.
func readHeader(file string) (h recorder.Header, begin time.Time, err error) {
	f, err := os.Open(file)
	if err != nil {
		return h, begin, err
	}
	defer f.Close()
	r, err := recorder.NewReader(f)
	if err != nil {
		return h, begin, err
	}
	var in recorder.Input
	if err := r.Next(&in); err == nil {
		begin = time.Unix(0, in.Wall)
	} else if !errors.Is(err, io.EOF) && !errors.Is(err, recorder.ErrTorn) {
		return h, begin, err
	}
	return r.Header, begin, nil
}

// Options say what a replay explains and where it stops.
type Options struct {
	Names []string     // tasks, jobs and machines to explain
	At    time.Time    // time at which to describe what is known of the names; zero: never
	Until time.Time    // time of the last input to replay; zero: replay all
	Log   *slog.Logger // of the core; nil: none
}

// Result is the result of an incarnation's replay. silvergate replay prints it as JSON, so
// its JSON names must not change.
type Result struct {
	Node            string    `json:"node"`
	Incarnation     int64     `json:"life"`
	Build           string    `json:"build"`
	Inputs          int       `json:"inputs"`
	Different       int       `json:"different"`       // number of inputs whose effects differ
	FirstDifference string    `json:"first,omitempty"` // the first input whose effects differ
	Torn            bool      `json:"torn,omitempty"`  // the last frame is incomplete: the process was killed
	From            time.Time `json:"from"`
	To              time.Time `json:"to"`
	Known           []string  `json:"known,omitempty"` // what is known of each name at Options.At
	Events          []Event   `json:"-"`
}

// Replay replays an incarnation's inputs through a new core. After an error the result covers
// the inputs that were read before it.
func (i *Incarnation) Replay(o Options) (Result, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	h := &i.Header
	result := Result{Node: h.Node, Incarnation: h.Life, Build: h.Build}
	core, err := coordination.NewFromHeader(h, o.Log)
	if err != nil {
		return result, err
	}
	p := &player{options: o, core: core, explainer: newExplainer(o, h.Node, core), result: &result}
	for _, file := range i.Files {
		ended, err := p.playSegment(file)
		if err != nil {
			return result, fmt.Errorf("%s: %w", file, err)
		}
		if ended {
			break
		}
	}
	p.explainer.describeAt(maxTime, &result) // if options.At is after the last input: describes the end
	result.Events = p.explainer.events
	return result, nil
}

// maxTime is a time after every input.
var maxTime = time.Unix(1<<40, 0)

// player is the state of a replay.
type player struct {
	options   Options
	core      *coordination.Core
	explainer *explainer
	result    *Result
}

// playSegment replays one file. ended reports whether the replay ends here, without the
// files after it.
func (p *player) playSegment(file string) (ended bool, err error) {
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
			p.result.Torn = true
			return true, nil
		case err != nil:
			return false, err
		}
		wall := time.Unix(0, in.Wall)
		if !p.options.Until.IsZero() && wall.After(p.options.Until) {
			return true, nil
		}
		if err := p.playInput(&in, wall); err != nil {
			return false, err
		}
	}
}

// playInput replays one input through the core and compares its effects with the recorded
// digest.
func (p *player) playInput(in *recorder.Input, wall time.Time) error {
	result := p.result
	result.Inputs++
	if result.Inputs == 1 {
		result.From = wall
	}
	result.To = wall
	p.explainer.describeAt(wall, result)
	effects, same, err := p.core.Replay(in)
	if err != nil {
		return err
	}
	if !same {
		result.Different++
		if result.FirstDifference == "" {
			result.FirstDifference = fmt.Sprintf("input %d at %s, a %v %s %s", result.Inputs, wall.UTC().Format(clockFormat), in.Kind, in.Method, in.Path)
		}
	}
	p.explainer.observe(in, &effects)
	return nil
}

// ParseTime parses a point in time: a time in RFC 3339, or a duration after first, the time
// of the first input. "" is the zero time.
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
