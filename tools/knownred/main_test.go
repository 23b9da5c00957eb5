package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a pattern that skips other tests than the list names, or none, and against an
// invalid entry that is accepted.
func TestSkippedEntries(t *testing.T) {
	const good = "TestOne | go test -run TestOne ./a, seed 7 | it hangs | issue 12"
	for name, c := range map[string]struct {
		list    string
		pattern string
		err     error
	}{
		"no entry":            {"\n", "^$", nil},
		"one entry":           {good + "\n", "^(TestOne)$", nil},
		"two entries":         {good + "\n\n" + strings.ReplaceAll(good, "TestOne", "TestTwo"), "^(TestOne|TestTwo)$", nil},
		"the earlier form":    {"TestOne, internal/a: once, issue 12", "", errFieldCount},
		"a pattern":           {strings.Replace(good, "TestOne", "Test.*", 1), "", errTestName},
		"a subtest":           {strings.Replace(good, "TestOne", "TestOne/sub", 1), "", errTestName},
		"nothing seen":        {strings.Replace(good, "it hangs", " ", 1), "", errEmptyField},
		"no issue":            {strings.Replace(good, "issue 12", "soon", 1), "", errIssueFormat},
		"no such test":        {strings.Replace(good, "TestOne", "TestNone", 1), "", errNoSuchTest},
		"in several packages": {strings.Replace(good, "TestOne", "TestMain", 1), "", errAmbiguousTest},
	} {
		t.Run(name, func(t *testing.T) {
			root := t.TempDir()
			for path, text := range map[string]string{
				listFile: c.list, "a_test.go": "func TestOne(t *testing.T) {\nfunc TestMain(m *testing.M) {\n",
				"b_test.go": "func TestTwo(t *testing.T) {\nfunc TestMain(m *testing.M) {\n",
			} {
				if err := os.WriteFile(filepath.Join(root, path), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			var notices strings.Builder
			pattern, err := run(root, &notices)
			if pattern != c.pattern || !errors.Is(err, c.err) {
				t.Errorf("run returned %q, %v, want %q, %v", pattern, err, c.pattern, c.err)
			}
			if err == nil && pattern != matchesNothing && !strings.Contains(notices.String(), "TestOne (issue 12): it hangs") {
				t.Errorf("the notices don't name the test: %q", notices.String())
			}
		})
	}
}

// Guards against an invalid entry in the list of this project, and against an error when a project
// has no list.
func TestProjectListIsValid(t *testing.T) {
	if _, err := run("../..", &strings.Builder{}); err != nil {
		t.Error(err)
	}
	if pattern, err := run(t.TempDir(), &strings.Builder{}); pattern != matchesNothing || err != nil {
		t.Errorf("without a list: %q, %v", pattern, err)
	}
}
