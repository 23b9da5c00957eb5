// Package proptest runs a package's property tests with inputs generated from a fixed seed, so
// that every run has the same result. The flag -rapid.seed selects another seed.
package proptest

import (
	"flag"
	"os"
	"testing"
)

// Main sets the seed, runs the tests and exits. A package's TestMain calls it.
func Main(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261201")
	os.Exit(m.Run())
}
