package fencing

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// latestTaskEnd is when a task is gone at the latest, counted from its job's confirmed cancellation: the worst
// of everything that the inequality of CancelHorizon names. The proof was asked for just before the
// confirmation; our clock is slow and so is the worker's; the last answer without a kill goes to a heartbeat
// that arrives at the end of the horizon and was sent just before; the worker hears nothing more.
func latestTaskEnd(horizon, lease time.Duration, drift float64, sent time.Duration) time.Duration {
	arrives := time.Duration(float64(horizon) * (1 + drift))
	return arrives - sent + time.Duration(float64(lease)*(1+drift))
}

// TestCancelHorizonLeavesTimeForEveryTerm draws settings, the smallest allowed cancel_s included, and clocks
// apart by what PROTOCOL allows.
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
		if gone := latestTaskEnd(horizon, lease, drift, sent); horizon > 0 && gone > cancel {
			t.Fatalf("lease %v, cancel %v: horizon %v, gone after %v", lease, cancel, horizon, gone)
		}
	})
}

// TestCancelHorizonNeedsItsTerms shows that the inequality can fail: without the term for drift the smallest settings
// break it, and a horizon that counts from an answer's arrival in place of the heartbeat's sending breaks most.
func TestCancelHorizonNeedsItsTerms(t *testing.T) {
	const drift = 0.0005
	t.Run("no term for drift", func(t *testing.T) {
		lease, cancel := 100*time.Second, 100*time.Second+100*time.Millisecond
		horizon := time.Duration(0.9 * float64(cancel-lease))
		if latestTaskEnd(horizon, lease, drift, 0) <= cancel {
			t.Error("no term for drift, and nothing breaks")
		}
		if horizon := CancelHorizon(cancel, lease); horizon != 0 {
			t.Errorf("cancel_s hardly above lease_s leaves a horizon of %v", horizon)
		}
	})
	t.Run("leases that count from the answer's arrival", func(t *testing.T) {
		lease, cancel := 18*time.Second, 48*time.Second
		if latestTaskEnd(CancelHorizon(cancel, lease), lease, drift, -4*time.Second) <= cancel {
			t.Error("leases that count from the answer's arrival, and nothing breaks")
		}
	})
}
