package site

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestResultsOfFinishedJobsAreRemoved checks that a sweep removes the folders of jobs that
// finished long enough ago, and what an interrupted removal has left. All other folders stay,
// including those of jobs whose state is not known.
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
	make("wk-000001", 2*time.Hour)     // finished
	make("wk-000002", 2*time.Hour)     // running
	make("wk-000003", 5*time.Minute)   // finished, but not long ago
	make("wk-000004", 2*time.Hour)     // state not known
	make(removalPrefix+"wk-000005", 0) // left by an interrupted removal
	make("notes", 2*time.Hour)         // not a job's folder
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
