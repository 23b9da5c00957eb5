package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"silvergate/internal/scale"
)

// Guards against a page without one of the plots or with an unescaped name, and against a missing
// argument or result that is not an error.
func TestReport(t *testing.T) {
	dir := t.TempDir()
	r := &scale.Result{Scenario: &scale.Scenario{Name: "tiny<b>"}, Completed: true,
		Cells:  []*scale.CellResult{{Samples: []scale.Sample{{AtS: 1, Starts: 2}, {AtS: 2, Starts: 5}}}},
		States: []scale.StateResult{{PerS: []scale.Rates{{AtS: 1, Requests: 3, Changes: 1}}}}}
	if err := scale.WriteResult(dir, r); err != nil {
		t.Fatal(err)
	}
	if err := writeReport([]string{dir}); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(dir, reportFile))
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(page), "<svg"); n != 4 || strings.Contains(string(page), "tiny<b>") {
		t.Errorf("%d plots, want 4; the name must be escaped", n)
	}
	if writeReport(nil) == nil || writeReport([]string{t.TempDir()}) == nil {
		t.Error("no error without a result")
	}
}
