package coordination

import "net/http"

// healthCheck answers the load balancer's health check.
func (c *Core) healthCheck(id uint64) {
	switch {
	case !c.state.Loaded() || len(c.catalogue.types) == 0:
		c.refuse(id, http.StatusServiceUnavailable, "starting")
	case c.isolated():
		c.refuse(id, http.StatusServiceUnavailable, "cut off from the state service")
	default:
		c.respond(id, http.StatusOK, struct{}{}, 0)
	}
}

// isolated reports whether this controller can't reach the state service and one of these holds: a
// peer can reach it, this controller is cut off from all peers too, or its proof that it knows of
// all cancellations is older than the cancel horizon. In an outage that affects all controllers, a
// controller with a recent proof thus stays in the load balancer's list: leaving the list would
// only delay the recovery.
func (c *Core) isolated() bool {
	limit := c.state.StaleAfter()
	if c.now-c.state.FreshAt() < limit {
		return false
	}
	// Guards against a controller that users can reach but that can't serve them: cut off from
	// the state service and from all peers, it does not know whether the peers serve users, and
	// it fails requests so fast that the load balancer prefers it.
	if c.links.PeersServe(limit) || c.links.Isolated() {
		return true
	}
	return c.now-c.cancellationProof() > c.cancelHorizon()
}

// cutOff reports whether the state service has not answered for so long that a status query would
// fail. Guards against users who time out while we still wait for the state service: they get a 503
// at once and can retry.
func (c *Core) cutOff() bool { return c.now-c.state.FreshAt() > c.state.StaleAfter() }
