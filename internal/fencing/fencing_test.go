package fencing

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
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
		{RaiseToken, "raise token"},
		{RaiseToken + 1, "unknown"},
	} {
		t.Run(fmt.Sprintf("%T %d", c.value, c.value), func(t *testing.T) {
			if got := c.value.String(); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// TestRaisedTokenStaysBelowLaterOwners draws the knowledge of an owner and the revision of a later owner's claim, which its
// mirror does not show yet. It guards against a raised token that a worker would take for a later owner's, or prefer to it.
func TestRaisedTokenStaysBelowLaterOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := WorkerState{Held: rapid.Bool().Draw(t, "held"), LaunchInDoubt: rapid.Bool().Draw(t, "in doubt")}
		state.Token = rapid.Uint64Range(1, 20).Draw(t, "claim")
		state.CommandToken = state.Token + rapid.Uint64Range(0, 5).Draw(t, "raised by")
		state.AppliedRevision = rapid.Uint64Range(1, 30).Draw(t, "mirror")
		laterOwner := max(state.AppliedRevision, state.Token) + rapid.Uint64Range(1, 3).Draw(t, "later owner")
		launch := DirectLaunch{Token: rapid.Uint64Range(0, 30).Draw(t, "launch")}
		token, ok := state.RaisedToken(launch)
		switch {
		case !ok && state.Held && !state.LaunchInDoubt && state.AppliedRevision > max(state.CommandToken, launch.Token):
			t.Fatalf("%+v: the token could be raised and is not", state)
		case ok && (!state.Held || state.LaunchInDoubt):
			t.Fatalf("%+v: the token is raised to %d by a controller that must not", state, token)
		case ok && (token <= max(state.CommandToken, launch.Token) || token >= laterOwner):
			t.Fatalf("%+v: raised to %d, the launch has %d, a later owner %d", state, token, launch.Token, laterOwner)
		}
	})
}
