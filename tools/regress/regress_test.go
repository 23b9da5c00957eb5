package main

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func joinSites(runs []Run) string {
	var out []string
	for _, r := range runs {
		out = append(out, r.Sites...)
	}
	return strings.Join(out, " ")
}

func TestChangedPathsRequireRuns(t *testing.T) {
	for _, c := range []struct{ paths, want string }{
		{"docs/design.md journal/x.json tools/regress/main.go internal/coordination/sim_test.go", ""},
		{"internal/job/job.go", "more/*-ops.toml lean/*.toml"},
		{"docs/design.md internal/stateclient/store.go", "more/*-ops.toml lean/*.toml more/fleet/*.toml more/hunt/*.toml"},
		{"cmd/silvergate/serve.go", "more/*-ops.toml lean/*.toml more/fleet/*.toml more/hunt/*.toml"},
	} {
		if got := joinSites(requiredRuns(strings.Fields(c.paths))); got != c.want {
			t.Errorf("changed paths %s require %q, want %q", c.paths, got, c.want)
		}
	}
}

const entryJSON = `{"id":"a1","at":["2026-01-01T00:00:00Z",""],"cmd":"score","mode":"quick","site":"s","panel":"p","ok":true,"error":null,"score":0.7,
 "days":[{"name":"zone","G":0.7,"rules":{},"fault":null,"restarts":0,"aims":[["up x: 0.9 (aim 0.9)",0.9],["price: 2 (aim 1.9)",0.5]]}]}`

// parseWith parses entryJSON after replacing texts in it, given as pairs of old and new.
func parseWith(t testing.TB, replacements ...string) Entry {
	e, err := parseEntry([]byte(strings.NewReplacer(replacements...).Replace(entryJSON)))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func TestCompareReportsLosses(t *testing.T) {
	old := parseWith(t)
	for _, c := range []struct {
		name                string
		e                   Entry
		failure, regression bool
		says                string
	}{
		{"alike", parseWith(t, "a1", "b2"), false, false, ""},
		{"within noise", parseWith(t, `"score":0.7`, `"score":0.675`), false, false, ""},
		{"lowered score", parseWith(t, `"score":0.7`, `"score":0.66`), false, true, "0.700 -> 0.660"},
		{"lowered day", parseWith(t, `"G":0.7`, `"G":0.5`, "0.9 (aim 0.9)\",0.9", "0.4 (aim 0.9)\",0.1"), false, false, "up x: 0.4 (aim 0.9) [0.90 -> 0.10]"},
		{"broken rule", parseWith(t, `"rules":{}`, `"rules":{"ran_twice":1}`), true, false, "ran_twice"},
		{"failed day", parseWith(t, `"fault":null`, `"fault":"cpu"`), true, false, "cpu"},
		{"controllers that ended", parseWith(t, `"restarts":0`, `"restarts":2`), true, false, "ended by themselves"},
		{"unfinished run", parseWith(t, `"ok":true`, `"ok":false`, `"error":null`, `"error":"cut off"`), true, false, "cut off"},
	} {
		findings := compare(old, c.e, true, 0.03)
		failure := slices.ContainsFunc(findings, func(f Finding) bool { return f.Failure })
		regression := slices.ContainsFunc(findings, func(f Finding) bool { return f.Regression })
		says := slices.ContainsFunc(findings, func(f Finding) bool { return strings.Contains(f.Text, c.says) })
		if failure != c.failure || regression != c.regression || says != (c.says != "") && c.says != "" || c.says == "" && len(findings) > 0 {
			t.Errorf("%s: findings %+v", c.name, findings)
		}
	}
}

// TestBaselineIsTheLatestComparableEntry guards against comparing a quick score with a
// full one, one set of days with another, or an entry with itself.
func TestBaselineIsTheLatestComparableEntry(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(label string, of ...string) string { return rapid.SampledFrom(of).Draw(rt, label) }
		newEntry := func(id string) Entry {
			return Entry{ID: id, At: [2]string{draw("at", "1", "2", "3")},
				Site: draw("site", "a", "b"), Mode: draw("mode", "", "quick"), Panel: draw("panel", "p", "q"), OK: draw("ok", "y", "n") == "y"}
		}
		e := newEntry("new")
		var all []Entry
		for i := range rapid.IntRange(0, 12).Draw(rt, "n") {
			all = append(all, newEntry(string(rune('a'+i))))
		}
		matches := func(b Entry) bool {
			return b.OK && b.Site == e.Site && b.Mode == e.Mode && b.Panel == e.Panel && b.At[0] <= e.At[0]
		}
		b, known := baseline(slices.Clone(all), e)
		if known != slices.ContainsFunc(all, matches) || known && !matches(b) {
			rt.Fatalf("baseline %+v for %+v among %+v", b, e, all)
		}
		if known && slices.ContainsFunc(all, func(o Entry) bool { return matches(o) && o.At[0] > b.At[0] }) {
			rt.Fatalf("the baseline is not the last matching entry")
		}
	})
}

func FuzzEntry(f *testing.F) {
	f.Add([]byte(entryJSON))
	f.Add([]byte(`{"days":[{"aims":[[1]]}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := parseEntry(b)
		if err == nil {
			compare(e, e, true, 0.03)
			if _, err := json.Marshal(e); err != nil {
				t.Error(err)
			}
		}
	})
}
