// Package goldentest helps tests to compare with golden files: files that an earlier
// build wrote, in the forms that other controllers, records and recordings hold. Only
// tests import it.
package goldentest

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// UpdateVariable is the environment variable that, set to 1, has golden files written
// anew. That is for a new format only: files in service were written by the builds before.
const UpdateVariable = "GOLDEN_UPDATE"

// Updating tells whether golden files are to be written anew.
func Updating() bool { return os.Getenv(UpdateVariable) == "1" }

// File returns the golden file at a path, relative to the test's package and with
// slashes, after writing it with content() if Updating. It does not call content
// otherwise.
func File(t testing.TB, path string, content func() []byte) []byte {
	t.Helper()
	if Updating() {
		Write(t, path, content())
	}
	return Read(t, path)
}

// Read returns the golden file at a path.
func Read(t testing.TB, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.FromSlash(path))
	if err != nil {
		t.Fatalf("%v (%s=1 writes it)", err, UpdateVariable)
	}
	return data
}

// Write writes the golden file at a path, and makes its directory. Tests call it only
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

// RequireNoZeroFields fails the test if an exported field of v, or of what v holds, has
// no value: a golden file made of v would not show it.
func RequireNoZeroFields(t testing.TB, what string, v any) {
	t.Helper()
	if zero := ZeroFields(what, reflect.ValueOf(v)); len(zero) > 0 {
		t.Errorf("without a value: %v", zero)
	}
}

// ZeroFields lists the exported fields and the elements of slices below v that have no
// value, each with the way to it, which begins with path.
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
