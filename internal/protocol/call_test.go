package protocol

import "testing"

// TestTargetNames holds the names that metrics have.
func TestTargetNames(t *testing.T) {
	for target, want := range map[Target]string{ToStateService: "state", ToCloud: "cloud", ToWorker: "worker"} {
		if got := target.String(); got != want {
			t.Errorf("target %d is %q, not %q", int(target), got, want)
		}
	}
}
