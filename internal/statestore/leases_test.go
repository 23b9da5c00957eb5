package statestore

import (
	"slices"
	"testing"
	"time"
)

// TestLeasesExpireOnTimeButNotDuringServicePause drives admission's clock. It guards against
// leases that expire early or late, and against leases that are lost because the service
// itself stood still and clients could not renew.
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
		t.Fatalf("renewal was answered %d, want 200", status)
	}
	if e := advanceTo(1998 * time.Millisecond); len(e) != 0 {
		t.Fatalf("expired early after a renewal: %v", e)
	}
	// The process is paused for longer than the lease's TTL.
	if e := a.advance(a.now + 5*time.Second); len(e) != 0 {
		t.Fatalf("expired because the service was paused: %v", e)
	}
	resumed := a.now
	if e := advanceTo(resumed + 999*time.Millisecond); len(e) != 0 {
		t.Fatalf("expired before the full TTL after a pause: %v", e)
	}
	if e := advanceTo(resumed + 1000*time.Millisecond); !slices.Equal(e, []uint64{1}) {
		t.Fatalf("expired at the deadline: %v, want lease 1", e)
	}
	if status := keepAlive(); status != 404 {
		t.Fatalf("renewal of an expired lease was answered %d, want 404", status)
	}
	put := []byte(`{"then":[{"write":"a","data":1,"permit":1}]}`)
	if v := a.admit(0, "POST", "/txn", "", put); v.status != 400 {
		t.Fatalf("put with an expired lease was answered %d, want 400", v.status)
	}
}
