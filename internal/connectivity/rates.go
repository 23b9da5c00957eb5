package connectivity

// RateDemand counts the peers that may want more than their share of the state service's rates
// (throttled) and those that have little use for theirs (idle). A peer that we hear counts as throttled
// if it reports so, and otherwise as idle if it hears no workers. A peer that we don't hear counts as
// idle if it has no member record, or did not reach the service directly according to its last report,
// and otherwise as throttled, as it may be using the service. alive reports whether a controller has
// a member record.
//
// No safety rule depends on the counts. The service refuses requests over its rates.
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
