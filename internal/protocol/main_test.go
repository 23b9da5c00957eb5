package protocol

import (
	"testing"

	"silvergate/internal/proptest"
)

// Generated inputs come from a fixed seed, so that a verdict repeats.
func TestMain(m *testing.M) { proptest.Main(m) }
