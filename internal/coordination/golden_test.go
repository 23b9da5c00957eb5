package coordination

import (
	"testing"

	"silvergate/internal/goldentest"
)

// goldenFolder holds files written by an earlier build. Their meaning and their encoding must not
// change: other controllers, stored records and recordings use the same forms.
const goldenFolder = "testdata"

// goldenUpdate reports whether golden files are to be rewritten.
func goldenUpdate() bool { return goldentest.Updating() }

// golden returns the content of a file in goldenFolder. If goldenUpdate, it first writes
// content() to the file.
func golden(t *testing.T, name string, content func() []byte) []byte {
	t.Helper()
	return goldentest.File(t, goldenFolder+"/"+name, content)
}

// requireNoZeroFields fails the test if an exported field of v has its zero value.
func requireNoZeroFields(t *testing.T, what string, v any) {
	t.Helper()
	goldentest.RequireNoZeroFields(t, what, v)
}
