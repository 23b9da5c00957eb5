package identity

import (
	"testing"

	"silvergate/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }
