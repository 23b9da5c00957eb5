package fencing

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// latestTaskEnd returns the latest time at which a task ends, counted from its job's confirmed cancellation. It
// assumes the worst case of every term in CancelHorizon's inequality: the controller asked for the proof just before
// the confirmation; its clock and the worker's are slow; the last answer without a kill goes to a heartbeat that
// was sent just before the end of the horizon and arrives at its end; and the worker gets no further answer.
func latestTaskEnd(horizon, lease time.Duration, drift float64, sent time.Duration) time.Duration {
	arrives := time.Duration(float64(horizon) * (1 + drift))
	return arrives - sent + time.Duration(float64(lease)*(1+drift))
}

// TestCancelHorizonLeavesTimeForEveryTerm generates settings, among them the smallest allowed cancel_s, and clocks
// that drift by up to the bound in PROTOCOL. It guards against a horizon under which a cancelled task outlives cancel_s.
func TestCancelHorizonLeavesTimeForEveryTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lease := time.Duration(rapid.Int64Range(int64(time.Second), int64(10*time.Minute)).Draw(t, "lease"))
		room := time.Duration(rapid.Int64Range(1, int64(10*time.Minute)).Draw(t, "room"))
		if rapid.Bool().Draw(t, "narrow") {
			room = 1 + room%(lease/50)
		}
		drift := rapid.Float64Range(0, 0.0005).Draw(t, "drift")
		sent := time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "under way"))
		cancel := lease + room
		horizon := CancelHorizon(cancel, lease)
		if end := latestTaskEnd(horizon, lease, drift, sent); horizon > 0 && end > cancel {
			t.Fatalf("lease %v, cancel %v: with horizon %v the task ends after %v", lease, cancel, horizon, end)
		}
	})
}

// TestCancelHorizonNeedsItsTerms shows that the inequality can be violated: without the term for drift the smallest
// settings violate it, and if leases ran from an answer's arrival instead of the heartbeat's sending, most settings would.
func TestCancelHorizonNeedsItsTerms(t *testing.T) {
	const drift = 0.0005
	t.Run("no term for drift", func(t *testing.T) {
		lease, cancel := 100*time.Second, 100*time.Second+100*time.Millisecond
		horizon := time.Duration(0.9 * float64(cancel-lease))
		if latestTaskEnd(horizon, lease, drift, 0) <= cancel {
			t.Error("without the term for drift the task still ends within cancel_s")
		}
		if horizon := CancelHorizon(cancel, lease); horizon != 0 {
			t.Errorf("cancel_s slightly above lease_s gives a horizon of %v, want 0", horizon)
		}
	})
	t.Run("leases that count from the answer's arrival", func(t *testing.T) {
		lease, cancel := 18*time.Second, 48*time.Second
		if latestTaskEnd(CancelHorizon(cancel, lease), lease, drift, -4*time.Second) <= cancel {
			t.Error("with leases that run from the answer's arrival the task still ends within cancel_s")
		}
	})
}
