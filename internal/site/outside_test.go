package site

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestResultsOfFinishedJobsAreRemoved: those alone that are over and old enough,
// and what a removal left that was cut short; what can't be told stays.
func TestResultsOfFinishedJobsAreRemoved(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	make := func(name string, age time.Duration) {
		file := filepath.Join(dir, name, "0", "done")
		if err := os.MkdirAll(filepath.Dir(file), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		for p := file; p != dir; p = filepath.Dir(p) {
			if err := os.Chtimes(p, now, now.Add(-age)); err != nil {
				t.Fatal(err)
			}
		}
	}
	make("wk-000001", 2*time.Hour)     // over
	make("wk-000002", 2*time.Hour)     // runs
	make("wk-000003", 5*time.Minute)   // over, but not for long
	make("wk-000004", 2*time.Hour)     // nobody can tell
	make(removalPrefix+"wk-000005", 0) // a removal was cut short
	make("notes", 2*time.Hour)         // no job's
	asked := map[string]bool{}
	removed, err := sweepOutside(dir, time.Hour, now, func(jobID string) bool {
		asked[jobID] = true
		return jobID == "wk-000001" || jobID == "wk-000003"
	})
	if err != nil || strings.Join(removed, " ") != "wk-000001" || asked["wk-000003"] || asked["notes"] {
		t.Errorf("removed %v, asked %v: %v", removed, asked, err)
	}
	left, _ := os.ReadDir(dir)
	var names []string
	for _, e := range left {
		names = append(names, e.Name())
	}
	if got := strings.Join(names, " "); got != "notes wk-000002 wk-000003 wk-000004" {
		t.Errorf("left: %s", got)
	}
}
