package fencing

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// goneBy is when a task is gone at the latest, counted from its job's confirmed cancellation: the worst
// of everything that Horizon's inequality names. The proof was asked for just before the
// confirmation; our clock is slow and so is the worker's; the last answer without a stop goes to a report that
// arrives at the end of the horizon and was sent just before; the worker hears nothing more.
func goneBy(horizon, lease time.Duration, drift float64, sent time.Duration) time.Duration {
	arrives := time.Duration(float64(horizon) * (1 + drift))
	return arrives - sent + time.Duration(float64(lease)*(1+drift))
}

// TestHorizonLeavesTimeForEveryTerm draws settings, the smallest allowed cancel_s included, and clocks apart by
// what PROTOCOL allows.
func TestHorizonLeavesTimeForEveryTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lease := time.Duration(rapid.Int64Range(int64(time.Second), int64(10*time.Minute)).Draw(t, "lease"))
		room := time.Duration(rapid.Int64Range(1, int64(10*time.Minute)).Draw(t, "room"))
		if rapid.Bool().Draw(t, "narrow") {
			room = 1 + room%(lease/50)
		}
		drift := rapid.Float64Range(0, 0.0005).Draw(t, "drift")
		sent := time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "under way"))
		h := CancelHorizon(lease+room, lease)
		if h > 0 && goneBy(h, lease, drift, sent) > lease+room {
			t.Fatalf("lease %v, cancel %v: horizon %v, gone after %v", lease, lease+room, h, goneBy(h, lease, drift, sent))
		}
	})
}

// TestHorizonNeedsItsTerms shows that the inequality can fail: without the term for drift the smallest settings break it,
// and a horizon that counts from an answer's arrival in place of the report's sending breaks most.
func TestHorizonNeedsItsTerms(t *testing.T) {
	lease, cancel := 100*time.Second, 100*time.Second+100*time.Millisecond
	if h := time.Duration(0.9 * float64(cancel-lease)); goneBy(h, lease, 0.0005, 0) <= cancel {
		t.Error("no term for drift, and nothing breaks")
	}
	if h := CancelHorizon(cancel, lease); h != 0 {
		t.Errorf("cancel_s hardly above lease_s leaves a horizon of %v", h)
	}
	if h := CancelHorizon(48*time.Second, 18*time.Second); goneBy(h, 18*time.Second, 0.0005, -4*time.Second) <= 48*time.Second {
		t.Error("leases that count from the answer's arrival, and nothing breaks")
	}
}
