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

// Entry is what this tool reads of a journal entry, one file for each site of a
// run, as the bench wrote it.
type Entry struct {
	ID    string    `json:"id"`
	At    [2]string `json:"at"` // begin and end
	Cmd   string    `json:"cmd"`
	Mode  string    `json:"mode"` // "quick", or empty for a full score
	Site  string    `json:"site"`
	Panel string    `json:"panel"` // the set of days
	OK    bool      `json:"ok"`
	Error string    `json:"error"`
	Score float64   `json:"score"`
	Days  []Day     `json:"days"`
}

// Day is a played day: its mark from 0 to 1, and what each aim is worth.
type Day struct {
	Name     string         `json:"name"`
	Score    float64        `json:"G"`
	Rules    map[string]int `json:"rules"` // broken ones
	Fault    string         `json:"fault"` // why the day failed, if it did
	Restarts float64        `json:"restarts"`
	Aims     []Aim          `json:"aims"`
}

// Aim is an aim with what was reached, and what that is worth.
type Aim struct {
	Text  string
	Worth float64
}

// UnmarshalJSON reads the pair that the bench writes.
func (a *Aim) UnmarshalJSON(b []byte) error {
	return json.Unmarshal(b, &[]any{&a.Text, &a.Worth})
}

// name is an aim's text without what was reached.
func (a Aim) name() string {
	n, _, _ := strings.Cut(a.Text, ":")
	return n
}

// readJournal reads the scores in a folder, by file name.
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

// Run is a score that a change owes: sites named by their files below the kit.
type Run struct {
	Reason string
	Sites  []string
}

// The groups of sites, below the kit.
var (
	baseRun  = Run{"any change of what is built", []string{"more/*-ops.toml", "lean/*.toml"}}
	fleetRun = Run{"storage, membership, timers or what machines say to each other", []string{"more/fleet/*.toml", "more/hunt/*.toml"}}
)

// unbuiltPaths lists what no built controller contains: it owes nothing.
var unbuiltPaths = []string{"docs/", "journal/", "tools/", ".ci/", "examples/", "README.md", "LICENSE", ".gitignore", "deploy/up.yaml",
	"internal/stagebench/", "internal/stagecheck/", "internal/fakeserver/", "internal/soak/", "internal/conformance/"}

// fleetPaths lists what holds storage, membership, timers and what machines say
// to each other.
var fleetPaths = []string{"cmd/silvergate/serve.go", "internal/stateclient/", "internal/ratelimit/", "internal/protocol/", "internal/transport/", "internal/connlimit/",
	"internal/config/", "internal/coordination/", "go.mod"}

// requiredRuns tells which runs changed paths call for.
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

// baseline is the entry that a new one is compared with: the last committed
// one of its site, kind and set of days that came to an end before it.
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

// Finding is something to look at. A grave one is a broken rule or a failed
// day, a fall one of the score; what is neither is told only.
type Finding struct {
	Failure, Regression bool
	Text                string
}

// compare tells what fell from b to e by more than noise. A single day moves by
// more than the score, which is a mean of several, so a day's fall alone is told
// from three times that on; what it lost is told with it.
func compare(b, e Entry, known bool, noise float64) []Finding {
	var out []Finding
	add := func(grave, fall bool, format string, args ...any) {
		out = append(out, Finding{grave, fall, e.Site + ": " + fmt.Sprintf(format, args...)})
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

// largestLosses names the three aims whose worth fell most.
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
