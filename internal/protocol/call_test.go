package protocol

import "testing"

// TestTargetNames checks the names that appear in metrics.
func TestTargetNames(t *testing.T) {
	for target, want := range map[Target]string{ToStateService: "state", ToCloud: "cloud", ToWorker: "worker"} {
		if got := target.String(); got != want {
			t.Errorf("target %d is %q, not %q", int(target), got, want)
		}
	}
}
