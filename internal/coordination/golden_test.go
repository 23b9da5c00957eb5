package coordination

import (
	"testing"

	"silvergate/internal/goldentest"
)

// goldenFolder holds files written by an earlier build. What is read from them, and
// written again, must not change: other controllers, records and recordings hold it.
const goldenFolder = "testdata"

// goldenUpdate tells whether golden files are to be written anew.
func goldenUpdate() bool { return goldentest.Updating() }

// golden returns the golden file of a name in goldenFolder, after writing it with
// content() if asked to.
func golden(t *testing.T, name string, content func() []byte) []byte {
	t.Helper()
	return goldentest.File(t, goldenFolder+"/"+name, content)
}

// requireNoZeroFields fails if an exported field of v has no value.
func requireNoZeroFields(t *testing.T, what string, v any) {
	t.Helper()
	goldentest.RequireNoZeroFields(t, what, v)
}
