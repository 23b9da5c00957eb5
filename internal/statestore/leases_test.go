package statestore

import (
	"slices"
	"testing"
	"time"
)

// TestLeasesExpireOnTimeButNotDuringServicePause drives admission's clock.
func TestLeasesExpireOnTimeButNotDuringServicePause(t *testing.T) {
	a := newAdmission(unlimited, map[uint64]time.Duration{1: time.Second})
	advanceTo := func(until time.Duration) (expired []uint64) {
		for a.now < until {
			expired = append(expired, a.advance(min(until, a.nextDeadline()))...)
		}
		return expired
	}
	keepAlive := func() int { return a.admit(0, "POST", "/grants/1/touch", "", nil).status }
	if e := advanceTo(999 * time.Millisecond); len(e) != 0 {
		t.Fatalf("expired early: %v", e)
	}
	if status := keepAlive(); status != 200 {
		t.Fatalf("renewal: %d", status)
	}
	if e := advanceTo(1998 * time.Millisecond); len(e) != 0 {
		t.Fatalf("expired early after a renewal: %v", e)
	}
	// The process stands still for longer than the lease.
	if e := a.advance(a.now + 5*time.Second); len(e) != 0 {
		t.Fatalf("expired for our own pause: %v", e)
	}
	resumed := a.now
	if e := advanceTo(resumed + 999*time.Millisecond); len(e) != 0 {
		t.Fatalf("not the full time after a pause: %v", e)
	}
	if e := advanceTo(resumed + 1000*time.Millisecond); !slices.Equal(e, []uint64{1}) {
		t.Fatalf("did not expire in time: %v", e)
	}
	if status := keepAlive(); status != 404 {
		t.Fatalf("renewal after the end: %d", status)
	}
	put := []byte(`{"then":[{"write":"a","data":1,"permit":1}]}`)
	if v := a.admit(0, "POST", "/txn", "", put); v.status != 400 {
		t.Fatalf("put with an expired lease: %d", v.status)
	}
}
