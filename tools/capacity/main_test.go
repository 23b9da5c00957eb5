package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a committed page whose tables differ from those computed from the committed slopes.
func TestPageMatchesSlopes(t *testing.T) {
	if err := run("../../docs", false); err != nil {
		t.Error(err)
	}
}

// Guards against a check that passes although the page lacks the tables or an assumption has
// changed since they were written, and against accepting an invalid slope or an unknown key.
func TestChangesAreDetected(t *testing.T) {
	slopes, err := os.ReadFile("../../docs/" + slopesFile)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	writeFile := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeFile(slopesFile, string(slopes))
	writeFile(pageFile, "head\n"+beginMarker+endMarker+"foot\n")
	if run(dir, false) == nil {
		t.Error("a page without tables passes the check")
	}
	if err := run(dir, true); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(dir, pageFile))
	if err != nil || !strings.HasPrefix(string(page), "head\n") || !strings.HasSuffix(string(page), "foot\n") || run(dir, false) != nil {
		t.Errorf("after --write: error %v, page %s", err, page)
	}
	writeFile(slopesFile, strings.Replace(string(slopes), "changes_a_start:            {median: 0.", "changes_a_start:            {median: 9.", 1))
	if err := run(dir, false); err == nil {
		t.Error("a median above the largest value passes the check")
	}
	writeFile(slopesFile, strings.Replace(string(slopes), "report_s: 5", "report_s: 8", 1))
	if run(dir, false) == nil {
		t.Error("a changed assumption passes the check")
	}
	writeFile(slopesFile, string(slopes)+"odd: 1\n")
	if err := run(dir, false); err == nil || !strings.Contains(err.Error(), "odd") {
		t.Error(err)
	}
}
