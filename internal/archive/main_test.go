package archive

import (
	"flag"
	"os"
	"testing"
)

// Generated inputs come from a fixed seed, so that a verdict repeats.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261201")
	os.Exit(m.Run())
}
