// Package goldentest helps tests to compare data with golden files. An earlier build wrote these
// files, in the formats of messages between controllers, of stored records and of recordings.
// Only tests import the package.
package goldentest

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// UpdateVariable is the environment variable that, set to 1, makes tests rewrite golden files.
// It is only for new formats: the data in service was written by earlier builds, and the
// existing golden files stand for it.
const UpdateVariable = "GOLDEN_UPDATE"

// Updating reports whether tests rewrite golden files.
func Updating() bool { return os.Getenv(UpdateVariable) == "1" }

// File returns the contents of the golden file at a path, relative to the test's package and
// with slashes. If Updating, it first writes the file with the result of content; otherwise it
// does not call content.
func File(t testing.TB, path string, content func() []byte) []byte {
	t.Helper()
	if Updating() {
		Write(t, path, content())
	}
	return Read(t, path)
}

// Read returns the contents of the golden file at a path.
func Read(t testing.TB, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.FromSlash(path))
	if err != nil {
		t.Fatalf("%v (set %s=1 to write the file)", err, UpdateVariable)
	}
	return data
}

// Write writes the golden file at a path and creates its directory. Tests call it only
// when Updating.
func Write(t testing.TB, path string, data []byte) {
	t.Helper()
	path = filepath.FromSlash(path)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// RequireNoZeroFields fails the test if an exported field of v, or of a value within v, is
// zero: a golden file made from v would not cover that field.
func RequireNoZeroFields(t testing.TB, what string, v any) {
	t.Helper()
	if zero := ZeroFields(what, reflect.ValueOf(v)); len(zero) > 0 {
		t.Errorf("fields without a value: %v", zero)
	}
}

// ZeroFields returns the paths of the exported fields and slice elements within v that have
// no value. Each path begins with path.
func ZeroFields(path string, v reflect.Value) []string {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return []string{path}
		}
		return ZeroFields(path, v.Elem())
	case reflect.Struct:
		return zeroStructFields(path, v)
	case reflect.Slice:
		return zeroElements(path, v)
	case reflect.Map:
		if v.Len() == 0 {
			return []string{path}
		}
	default:
		if v.IsZero() {
			return []string{path}
		}
	}
	return nil
}

func zeroStructFields(path string, v reflect.Value) []string {
	var zero []string
	for i := range v.NumField() {
		if field := v.Type().Field(i); field.IsExported() {
			zero = append(zero, ZeroFields(path+"."+field.Name, v.Field(i))...)
		}
	}
	return zero
}

func zeroElements(path string, v reflect.Value) []string {
	if v.Len() == 0 {
		return []string{path}
	}
	var zero []string
	for i := range v.Len() {
		zero = append(zero, ZeroFields(fmt.Sprintf("%s[%d]", path, i), v.Index(i))...)
	}
	return zero
}
