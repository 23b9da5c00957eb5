package protocol

import (
	"testing"

	"silvergate/internal/proptest"
)

// TestMain generates inputs from a fixed seed, so that results are reproducible.
func TestMain(m *testing.M) { proptest.Main(m) }
