// Package replay puts recordings of controllers (internal/recorder) through cores again.
// It compares the effects with those that were recorded, and explains what happened to a
// task, a job or a machine: what each controller knew of it, which inputs concerned it,
// and what was sent. The events of several controllers are merged into one story.
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

// Incarnation is the recording of one incarnation of one controller: of one process, from
// its start to its end.
type Incarnation struct {
	Header recorder.Header // of its first segment
	Files  []string        // its segments in order
	Begin  time.Time       // of the first input
}

// Open groups recordings by incarnation. Folders stand for the recordings in them. An
// incarnation whose first segment is missing can't be replayed: it is named in the error.
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
		// The names of segments sort by node, incarnation and number.
		last := len(incarnations) - 1
		if last < 0 || !incarnations[last].continuedBy(&h) {
			return nil, fmt.Errorf("%s: segment %d of %s, life %d, but what came before it is not here: a life is replayed from its beginning (raise recorder.max_mb to keep more)",
				file, h.Segment, h.Node, h.Life)
		}
		incarnations[last].Files = append(incarnations[last].Files, file)
	}
	return incarnations, nil
}

// listSegments lists the files that paths name, with those in folders, by name.
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
			return nil, fmt.Errorf("%s: no recordings there", path)
		}
		files = append(files, segments...)
	}
	slices.Sort(files)
	return files, nil
}

// continuedBy tells whether h is the header of the incarnation's next segment.
func (i *Incarnation) continuedBy(h *recorder.Header) bool {
	return i.Header.Node == h.Node && i.Header.Life == h.Life && len(i.Files) == h.Segment
}

// readHeader reads a segment's header, and the time of its first input.
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

// Options say what a replay explains, and where it stops.
type Options struct {
	Names []string     // tasks, jobs and machines that are explained
	At    time.Time    // when to say what is known of them; zero: not
	Until time.Time    // where to stop; zero: at the end
	Log   *slog.Logger // of the core; nil: none
}

// Result is the result of an incarnation's replay. Its JSON is what silvergate replay
// prints: the names in it stay.
type Result struct {
	Node        string    `json:"node"`
	Incarnation int64     `json:"life"`
	Build       string    `json:"build"`
	Inputs      int       `json:"inputs"`
	Different   int       `json:"different"`       // inputs whose effects differ
	First       string    `json:"first,omitempty"` // of them
	Torn        bool      `json:"torn,omitempty"`  // the last frame is not whole: the process was killed
	From        time.Time `json:"from"`
	To          time.Time `json:"to"`
	Known       []string  `json:"known,omitempty"` // at the time asked for
	Story       []Event   `json:"-"`
}

// Play puts an incarnation's inputs through a core. What was read until an error is in
// the result.
func (i *Incarnation) Play(o Options) (Result, error) {
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
	p.explainer.describeAt(maxTime, &result) // a time after the last input: what is known last
	result.Story = p.explainer.events
	return result, nil
}

// maxTime is after every input.
var maxTime = time.Unix(1<<40, 0)

// player is a replay under way.
type player struct {
	options   Options
	core      *coordination.Core
	explainer *explainer
	result    *Result
}

// playSegment plays one file; ended tells that nothing after it is to be played.
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

// playInput puts one input through the core and compares its effects.
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
		if result.First == "" {
			result.First = fmt.Sprintf("input %d at %s, a %v %s %s", result.Inputs, wall.UTC().Format(clockFormat), in.Kind, in.Method, in.Path)
		}
	}
	p.explainer.observe(in, &effects)
	return nil
}

// ParseTime reads a point in time: RFC 3339, or a duration after the first input, which
// came at first. "" is the zero time.
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
