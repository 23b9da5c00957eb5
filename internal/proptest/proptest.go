// Package proptest runs a package's tests with generated inputs from a fixed seed, so
// that a verdict repeats. -rapid.seed on the command line chooses another.
package proptest

import (
	"flag"
	"os"
	"testing"
)

// Main is what a package's TestMain calls.
func Main(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261201")
	os.Exit(m.Run())
}
