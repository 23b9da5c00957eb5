package fencing

import (
	"fmt"
	"testing"
)

// TestNames: the proofs' names are in logs and recordings, and stay as earlier versions wrote them.
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
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}
