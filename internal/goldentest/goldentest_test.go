package goldentest

import (
	"path/filepath"
	"reflect"
	"slices"
	"testing"
)

func TestFileIsWrittenOnlyWhenUpdating(t *testing.T) {
	path := filepath.Join(t.TempDir(), "new", "file.txt")
	t.Setenv(UpdateVariable, "1")
	if got := File(t, path, func() []byte { return []byte("first") }); string(got) != "first" {
		t.Errorf("read %q after an update", got)
	}
	t.Setenv(UpdateVariable, "")
	content := func() []byte {
		t.Error("File calls content without an update")
		return nil
	}
	if got := File(t, path, content); string(got) != "first" {
		t.Errorf("read %q without an update", got)
	}
}

func TestZeroFields(t *testing.T) {
	type inner struct{ Number int }
	type outer struct {
		Text    string
		Pointer *inner
		List    []inner
		Table   map[string]int
		Any     any
		hidden  int
	}
	full := func() outer {
		return outer{Text: "x", Pointer: &inner{1}, List: []inner{{1}, {2}}, Table: map[string]int{"a": 0}, Any: inner{1}}
	}
	tests := []struct {
		name   string
		change func(o *outer)
		want   []string
	}{
		{"none", func(o *outer) { o.hidden = 0 }, nil},
		{"text", func(o *outer) { o.Text = "" }, []string{"o.Text"}},
		{"nil pointer", func(o *outer) { o.Pointer = nil }, []string{"o.Pointer"}},
		{"behind a pointer", func(o *outer) { o.Pointer.Number = 0 }, []string{"o.Pointer.Number"}},
		{"empty list", func(o *outer) { o.List = []inner{} }, []string{"o.List"}},
		{"element", func(o *outer) { o.List[1].Number = 0 }, []string{"o.List[1].Number"}},
		{"empty map", func(o *outer) { o.Table = nil }, []string{"o.Table"}},
		{"nil interface", func(o *outer) { o.Any = nil }, []string{"o.Any"}},
		{"within an interface", func(o *outer) { o.Any = inner{} }, []string{"o.Any.Number"}},
		{"two", func(o *outer) { o.Text, o.Table = "", nil }, []string{"o.Text", "o.Table"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			value := full()
			test.change(&value)
			if got := ZeroFields("o", reflect.ValueOf(value)); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
