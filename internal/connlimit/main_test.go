package connlimit

import (
	"testing"

	"silvergate/internal/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }
