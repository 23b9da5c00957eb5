package coordination

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// goldenFolder holds files written by an earlier build. What is read from them, and
// written again, must not change: other controllers, records and recordings hold it.
const goldenFolder = "testdata"

// goldenUpdate tells whether golden files are to be written anew, by GOLDEN_UPDATE=1. That
// is for a new format only: files in service were written by the builds before.
func goldenUpdate() bool { return os.Getenv("GOLDEN_UPDATE") == "1" }

// golden returns a golden file's content, after writing it with content() if asked to.
func golden(t *testing.T, name string, content func() []byte) []byte {
	t.Helper()
	path := filepath.Join(goldenFolder, filepath.FromSlash(name))
	if goldenUpdate() {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, content(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// zeroFields lists the exported fields and the elements below v that have no value, so
// that a field which a golden file lacks is noticed.
func zeroFields(path string, v reflect.Value) []string {
	var zero []string
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return []string{path}
		}
		return zeroFields(path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				zero = append(zero, zeroFields(path+"."+field.Name, v.Field(i))...)
			}
		}
		return zero
	case reflect.Slice, reflect.Map:
		if v.Len() == 0 {
			return []string{path}
		}
	default:
		if v.IsZero() {
			return []string{path}
		}
	}
	if v.Kind() == reflect.Slice {
		for i := range v.Len() {
			zero = append(zero, zeroFields(fmt.Sprintf("%s[%d]", path, i), v.Index(i))...)
		}
	}
	return zero
}

// requireNoZeroFields fails if an exported field of v has no value.
func requireNoZeroFields(t *testing.T, what string, v any) {
	t.Helper()
	if zero := zeroFields(what, reflect.ValueOf(v)); len(zero) > 0 {
		t.Errorf("without a value: %v", zero)
	}
}
