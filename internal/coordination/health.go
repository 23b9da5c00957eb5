package coordination

import "net/http"

// healthCheck answers the load balancer.
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

// isolated tells whether the state service is out of reach for this
// controller but not for its peers. In an outage that all see, leaving the
// load balancer's list would only delay the return.
func (c *Core) isolated() bool {
	limit := c.state.StaleAfter()
	if c.now-c.state.FreshAt() < limit {
		return false
	}
	// Guards against a controller that users reach and that can do nothing for them: cut off from
	// the state service and from all peers, it does not know whether they serve, and it answers so
	// fast that the load balancer prefers it.
	if c.links.PeersServe(limit) || c.links.Isolated() {
		return true
	}
	return c.now-c.cancellationProof() > c.cancelHorizon()
}

// cutOff tells whether the state service has not answered for so long that a
// status query would be in vain. Guards against users who give up while we still
// wait for it: they get a 503 at once and try again.
func (c *Core) cutOff() bool { return c.now-c.state.FreshAt() > c.state.StaleAfter() }
