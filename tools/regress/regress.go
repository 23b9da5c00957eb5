package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
)

// Entry has the fields of a journal entry that this tool reads. The bench writes
// one entry, a file of its own, for each site of a run.
type Entry struct {
	ID    string    `json:"id"`
	At    [2]string `json:"at"` // start and end of the run
	Cmd   string    `json:"cmd"`
	Mode  string    `json:"mode"` // "quick", or empty for a full score
	Site  string    `json:"site"`
	Panel string    `json:"panel"` // the set of days
	OK    bool      `json:"ok"`
	Error string    `json:"error"`
	Score float64   `json:"score"`
	Days  []Day     `json:"days"`
}

// Day is the result of one day of a site: its score from 0 to 1 and the worth of each aim.
type Day struct {
	Name     string         `json:"name"`
	Score    float64        `json:"G"`
	Rules    map[string]int `json:"rules"` // broken rules
	Fault    string         `json:"fault"` // why the day failed, if it did
	Restarts float64        `json:"restarts"`
	Aims     []Aim          `json:"aims"`
}

// Aim is one aim of a day: a text with its name, the value reached and the target, and what that value is worth.
type Aim struct {
	Text  string
	Worth float64
}

// UnmarshalJSON reads the pair of text and worth that the bench writes.
func (a *Aim) UnmarshalJSON(b []byte) error {
	return json.Unmarshal(b, &[]any{&a.Text, &a.Worth})
}

// name returns the aim's text without the value reached, which follows a colon.
func (a Aim) name() string {
	n, _, _ := strings.Cut(a.Text, ":")
	return n
}

// readJournal reads the score entries in a folder and returns them by file name.
func readJournal(dir string) (map[string]Entry, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	out := map[string]Entry{}
	for _, f := range files {
		raw, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		e, err := parseEntry(raw)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", f, err)
		}
		if e.Cmd == "score" {
			out[filepath.Base(f)] = e
		}
	}
	return out, nil
}

func parseEntry(raw []byte) (e Entry, err error) {
	err = json.Unmarshal(raw, &e)
	return e, err
}

// Run is a score run that a change requires. Sites are patterns of site files below the kit's folder.
type Run struct {
	Reason string
	Sites  []string
}

// The runs that a change can require.
var (
	baseRun  = Run{"any change of what is built", []string{"more/*-ops.toml", "lean/*.toml"}}
	fleetRun = Run{"storage, membership, timers or what machines say to each other", []string{"more/fleet/*.toml", "more/hunt/*.toml"}}
)

// unbuiltPaths lists the prefixes of paths that aren't built into a controller. A change of them requires no run.
var unbuiltPaths = []string{"docs/", "journal/", "tools/", ".ci/", "examples/", "README.md", "LICENSE", ".gitignore", "deploy/up.yaml",
	"internal/stagebench/", "internal/stagecheck/", "internal/fakeserver/", "internal/soak/", "internal/conformance/"}

// fleetPaths lists the prefixes of paths with the code for storage, membership, timers and
// the messages between machines. A change of them also requires fleetRun.
var fleetPaths = []string{"cmd/silvergate/serve.go", "internal/stateclient/", "internal/ratelimit/", "internal/protocol/",
	"internal/transport/", "internal/connlimit/",
	"internal/config/", "internal/coordination/", "go.mod"}

// requiredRuns returns the runs that a change of these paths requires. Test files require none.
func requiredRuns(paths []string) []Run {
	built, needsFleet := false, false
	for _, p := range paths {
		if strings.HasSuffix(p, "_test.go") || hasPrefix(p, unbuiltPaths) {
			continue
		}
		built = true
		needsFleet = needsFleet || hasPrefix(p, fleetPaths)
	}
	var out []Run
	if built {
		out = append(out, baseRun)
	}
	if needsFleet {
		out = append(out, fleetRun)
	}
	return out
}

func hasPrefix(p string, list []string) bool {
	return slices.ContainsFunc(list, func(prefix string) bool { return strings.HasPrefix(p, prefix) })
}

// baseline returns the entry to compare e with: the last committed one with the same site,
// mode and set of days. Its run must have ended without an error and must not have started
// after e. It returns false if there is none. It sorts committed by start.
func baseline(committed []Entry, e Entry) (Entry, bool) {
	sort.Slice(committed, func(i, j int) bool { return committed[i].At[0] < committed[j].At[0] })
	for i := len(committed) - 1; i >= 0; i-- {
		b := committed[i]
		if b.OK && b.ID != e.ID && b.Site == e.Site && b.Mode == e.Mode && b.Panel == e.Panel && b.At[0] <= e.At[0] {
			return b, true
		}
	}
	return Entry{}, false
}

// Finding is one result of a comparison. A failure is a broken rule, a failed day, a
// controller that ended by itself or an unfinished run. A regression is a fall of the site's score.
// A finding that is neither is only printed and doesn't affect the exit status.
type Finding struct {
	Failure, Regression bool
	Text                string
}

// compare returns the failures of e and, if e has a baseline b (known), the scores that
// fell from b to e by more than noise. A single day varies more than the site's score, which
// is a mean of several days, so the fall of a day is reported only above three times the
// noise. Its finding names the aims that lost most.
func compare(b, e Entry, known bool, noise float64) []Finding {
	var out []Finding
	add := func(failure, regression bool, format string, args ...any) {
		out = append(out, Finding{failure, regression, e.Site + ": " + fmt.Sprintf(format, args...)})
	}
	if !e.OK {
		add(true, false, "the run did not end: %s", e.Error)
	}
	for _, d := range e.Days {
		if len(d.Rules) > 0 {
			add(true, false, "%s: rules broken: %v", d.Name, d.Rules)
		}
		if d.Fault != "" {
			add(true, false, "%s: the day failed: %s", d.Name, d.Fault)
		}
		if d.Restarts > 0 {
			add(true, false, "%s: %v controllers ended by themselves", d.Name, d.Restarts)
		}
	}
	if !known {
		add(false, false, "nothing to compare with yet: %.3f", e.Score)
		return out
	}
	if fell := b.Score - e.Score; fell > noise {
		add(false, true, "score %.3f -> %.3f", b.Score, e.Score)
	}
	for _, d := range e.Days {
		at := slices.IndexFunc(b.Days, func(o Day) bool { return o.Name == d.Name })
		if at < 0 || b.Days[at].Score-d.Score <= 3*noise {
			continue
		}
		add(false, false, "%s %.2f -> %.2f; most lost: %s", d.Name, b.Days[at].Score, d.Score, largestLosses(b.Days[at], d))
	}
	return out
}

// largestLosses names the three aims whose worth fell most from day b to day d.
func largestLosses(b, d Day) string {
	type loss struct {
		text   string
		amount float64
	}
	var losses []loss
	for _, a := range d.Aims {
		at := slices.IndexFunc(b.Aims, func(o Aim) bool { return o.name() == a.name() })
		if at >= 0 && b.Aims[at].Worth > a.Worth {
			losses = append(losses, loss{fmt.Sprintf("%s [%.2f -> %.2f]", a.Text, b.Aims[at].Worth, a.Worth), b.Aims[at].Worth - a.Worth})
		}
	}
	sort.SliceStable(losses, func(i, j int) bool { return losses[i].amount > losses[j].amount })
	var out []string
	for _, f := range losses[:min(3, len(losses))] {
		out = append(out, f.text)
	}
	return strings.Join(out, "; ")
}
