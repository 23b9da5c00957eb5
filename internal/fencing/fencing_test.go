package fencing

import (
	"fmt"
	"testing"
)

// TestNames checks the names of proofs, verdicts and actions. Logs and recordings of earlier versions hold the
// proofs' names, so these must not change.
func TestNames(t *testing.T) {
	for _, c := range []struct {
		value fmt.Stringer
		want  string
	}{
		{Proof(0), "none"},
		{Ended, "ended"},
		{NewerEpoch, "session"},
		{NotListed, "absent"},
		{LeaseExpired, "lease"},
		{MachineDeleted, "cloud"},
		{MachineDeleted + 1, "unknown"},
		{NeedsClaim, "needs claim"},
		{Trust, "trust"},
		{Trust + 1, "unknown"},
		{Keep, "keep"},
		{RenewToken, "renew token"},
		{RenewToken + 1, "unknown"},
	} {
		t.Run(fmt.Sprintf("%T %d", c.value, c.value), func(t *testing.T) {
			if got := c.value.String(); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
