package connectivity

// RateDemand counts the peers that may want more than their share of the state service's rates
// (throttled) and those that have little use for theirs (idle). Throttled are the peers that say so, and
// those that we don't hear although they may be using the service. Idle are the peers that hear no
// workers, and of those that we don't hear, the ones without a member record and the ones that
// did not reach the service directly when last heard. alive reports whether a controller has a member record.
//
// The rule that this must not break: none. The service refuses requests over its rates.
func RateDemand(s *Snapshot, alive func(node string) bool) (throttled, idle int) {
	for i := range s.Peers {
		peer := &s.Peers[i]
		if s.heard(peer) {
			switch {
			case peer.Throttled:
				throttled++
			case peer.HearsNoWorkers:
				idle++
			}
			continue
		}
		if !alive(peer.Controller.Node) || milliseconds(peer.StateServiceMS) > s.StaleAfter {
			idle++
		} else {
			throttled++
		}
	}
	return throttled, idle
}
