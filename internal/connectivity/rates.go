package connectivity

// RateDemand counts the peers that may want more than their share of the state service's
// rates: those that say so, and those that are not heard and may use it; and those that have
// nothing to use theirs for: who hears no workers, and who reached the service through
// others alone when it was last heard. alive tells who holds a member record.
//
// The rule that this must not break: none. The service refuses what is over its rates.
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
