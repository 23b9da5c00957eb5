package main

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// functionSource returns the source of a documented function with the given number of lines.
func functionSource(name string, lines int) string {
	return "// " + name + " is documented.\nfunc " + name + "() {" + strings.Repeat("\n", lines-1) + "}\n"
}

// structSource returns the source of a struct with the given number of fields.
func structSource(fields int) string {
	var source strings.Builder
	source.WriteString("type wide struct {\n")
	for i := range fields {
		fmt.Fprintf(&source, "\tfield%d int\n", i)
	}
	return source.String() + "}\n"
}

func writeSource(t *testing.T, root, path, source string) {
	t.Helper()
	full := filepath.Join(root, path)
	if err := os.MkdirAll(filepath.Dir(full), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(full, []byte(source), 0o644); err != nil {
		t.Fatal(err)
	}
}

func TestCounts(t *testing.T) {
	for _, test := range []struct {
		name, source string
		want         [kindCount]int
	}{
		{"function at the limit", functionSource("Short", maxFunctionLines), [kindCount]int{}},
		{"long function", functionSource("Long", maxFunctionLines+1), [kindCount]int{longFunction: 1}},
		{"file at the limit", strings.Repeat("\n", maxFileLines-1), [kindCount]int{}},
		{"long file", strings.Repeat("\n", maxFileLines), [kindCount]int{longFile: 1}},
		{"struct at the limit", structSource(maxStructFields), [kindCount]int{}},
		{"large struct", structSource(maxStructFields + 1), [kindCount]int{largeStruct: 1}},
		{"fields of one type", "type t struct { a, b, c, d, e, f, g, h, i, j, k, l, m, n, o, p, q, r, s, u, v int }", [kindCount]int{largeStruct: 1}},
		{"undocumented names", "func F() {}\ntype T int\nfunc (T) M() {}\nconst C = 1\nvar A, B int", [kindCount]int{undocumented: 6}},
		{"generic receiver", "// T is documented.\ntype T[K any] struct{}\nfunc (*T[K]) M() {}", [kindCount]int{undocumented: 1}},
		{"unexported names", "func f() {}\ntype t int\nfunc (t) M() {}\nconst c = 1", [kindCount]int{}},
		{"documented group", "// Names.\nconst (\n\tA = 1\n\tB = 2\n)", [kindCount]int{}},
		{"documented by line", "const (\n\tA = 1 // first\n\t// B is second.\n\tB = 2\n\tC = 3\n)", [kindCount]int{undocumented: 1}},
		{"withdrawn words", "func leaseSession() { sessionCount, Heartbeat := 1, 2; _, _ = sessionCount, Heartbeat }", [kindCount]int{withdrawnWord: 3}},
		{"two words, one identifier", "var sessionLedger int", [kindCount]int{withdrawnWord: 1}},
		{"words in comments and strings", "// session\nvar text = \"session\"", [kindCount]int{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			root := t.TempDir()
			writeSource(t, root, "a.go", "package a\n"+test.source)
			packages, err := countModule(root, defaultWords)
			if err != nil {
				t.Fatal(err)
			}
			if len(packages) != 1 || packages[0].counts != test.want {
				t.Errorf("counted %+v, want %v", packages, test.want)
			}
		})
	}
}

func TestSplitWords(t *testing.T) {
	for identifier, want := range map[string][]string{
		"line":          {"line"},
		"newLineReader": {"new", "line", "reader"},
		"HTTPLineURL":   {"http", "line", "url"},
		"SESSION_MARK2": {"session", "mark"},
		"deadline":      {"deadline"},
		"_":             nil,
	} {
		if got := splitWords(identifier); !reflect.DeepEqual(got, want) {
			t.Errorf("splitWords(%q) = %q, want %q", identifier, got, want)
		}
	}
}

// smallTree writes a module of two packages, with files that must not be counted, and returns its folder.
func smallTree(t *testing.T) string {
	root := t.TempDir()
	writeSource(t, root, "main.go", "package main\n\nvar ledger int\n")
	writeSource(t, root, "sub/sub.go", "package sub\n\nfunc Leave() {}\n")
	for _, ignored := range []string{"sub/sub_test.go", "testdata/a.go", ".hidden/a.go", "_old/a.go", "vendor/x/a.go"} {
		writeSource(t, root, ignored, "package ignored\n\nvar ledger int\n")
	}
	return root
}

func TestOutput(t *testing.T) {
	for _, test := range []struct {
		name string
		args []string
		want string
	}{
		{"plain", nil, `package  functions > 60 lines  files > 500 lines  structs > 20 fields  undocumented  withdrawn words
.        0                     0                  0                    0             1
sub      0                     0                  0                    1             0
total    0                     0                  0                    1             1
`},
		{"markdown, other words, list", []string{"--format", "markdown", "--words", "Leave,main", "--list"},
			`| package | functions > 60 lines | files > 500 lines | structs > 20 fields | undocumented | withdrawn words |
| --- | ---: | ---: | ---: | ---: | ---: |
| . | 0 | 0 | 0 | 0 | 1 |
| sub | 0 | 0 | 0 | 1 | 1 |
| total | 0 | 0 | 0 | 1 | 2 |
main.go:1: withdrawn word: main
sub/sub.go:3: undocumented: Leave
sub/sub.go:3: withdrawn word: Leave
`},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out strings.Builder
			cmd := newCommand()
			cmd.SetOut(&out)
			cmd.SetArgs(append(test.args, smallTree(t)))
			if err := cmd.Execute(); err != nil {
				t.Fatal(err)
			}
			if out.String() != test.want {
				t.Errorf("printed\n%swant\n%s", out.String(), test.want)
			}
		})
	}
}

func TestErrors(t *testing.T) {
	broken := t.TempDir()
	writeSource(t, broken, "a.go", "not Go\n")
	for _, args := range [][]string{
		{"--format", "html", t.TempDir()},
		{filepath.Join(broken, "missing")},
		{broken},
	} {
		cmd := newCommand()
		cmd.SetArgs(args)
		if err := cmd.Execute(); err == nil {
			t.Errorf("%q: no error", args)
		}
	}
}
