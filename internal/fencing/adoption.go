package fencing

// Adoptable reports whether an attempt bound to the worker lets this controller adopt the
// claim of its earlier incarnation: the worker lists the attempt, or the worker is in a later epoch,
// in which no attempt of an earlier epoch exists or can be started. listed reports whether
// the heartbeat's list has the attempt.
//
// The earlier incarnation neither released an attempt as missing nor had it forgotten without the
// direct launches of it being void. So only launches of attempts that are bound or listed may still be
// executed, and a launch of an attempt that the worker has does nothing. These launches have tokens
// that the earlier incarnation may have raised, up to the revision at which our mirror was loaded.
//
// An earlier incarnation of a version that counted answered launches as spent may have had others
// forgotten. Copies of their launches are refused once the worker has seen a token of ours.
func Adoptable(hb Heartbeat, bound Attempt, listed bool) bool {
	return bound.Epoch < hb.Epoch || bound.Epoch == hb.Epoch && listed
}

// ShowsOwnersToken reports whether a heartbeat shows a token of the worker's owner: the owner's own, or
// one to which it has raised that. A token above the revision that our mirror has reached may be that of
// a later owner.
func (s WorkerState) ShowsOwnersToken(hb Heartbeat) bool {
	return hb.Token == s.Token || hb.Token > s.Token && hb.Token <= s.AppliedRevision
}

// AdoptedTokens returns the tokens with which this controller goes on when it adopts the claim of its
// earlier incarnation: that of its commands, and the launch that every attempt on the heartbeat's list
// counts as. The launch's token is an upper bound of those that the earlier incarnation can have used:
// our mirror was loaded after that incarnation had ended.
//
// Guards against an earlier incarnation of a version that never raised tokens, and counted answered
// launches as spent. Where the worker shows a token that was never raised, it is raised at once, so that
// copies of launches of attempts that were forgotten are refused from now on.
func (s WorkerState) AdoptedTokens(hb Heartbeat) (commandToken uint64, listed DirectLaunch) {
	listed = DirectLaunch{Token: max(s.Token, s.AppliedRevision), Epoch: hb.Epoch}
	if hb.Token == s.Token {
		return listed.Token, listed
	}
	return hb.Token, listed
}
