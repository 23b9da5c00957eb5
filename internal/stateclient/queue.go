package stateclient

import (
	"net/http"
	"time"

	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
)

const (
	// queueTimeout is how long a request may wait for the budget.
	queueTimeout = 2 * time.Second
	// claimQueueTimeout is queueTimeout for claims. It is longer, as a worker waits 4 s for
	// its answer, and a refused worker tries the next controllers, each of which costs it
	// 5 s if it can't be reached.
	claimQueueTimeout = 3 * time.Second
	// refusalPause is how long no queued request is sent after the service has refused one
	// because of its rates or because it was unavailable.
	refusalPause = queueTimeout / 20
	// maxInFlight is the most queued requests that may be sent and not yet answered.
	maxInFlight = 24
)

// request is a request that waits for the budget or for its reply.
type request struct {
	class    ratelimit.Class
	method   string
	path     string
	body     []byte
	changes  float64       // how many keys it writes or deletes
	deadline time.Duration // the request is not sent, or sent again, after this time
	done     func(protocol.Reply)
}

// requestQueue holds the requests that wait for the budget, in order within each class.
type requestQueue struct {
	waiting [ratelimit.NumClasses][]*request
	// reservedChanges holds, per class, the number of changes of a transaction that Reserve
	// refused. The caller builds the transaction only when it can be sent; the budget is
	// saved for it until then.
	reservedChanges [ratelimit.NumClasses]float64
	inFlight        int
	pausedUntil     time.Duration
}

// Backlog returns the number of requests that wait for the budget.
func (c *Client) Backlog() int {
	count := 0
	for _, waiting := range c.queue.waiting {
		count += len(waiting)
	}
	return count
}

// QueueDelay estimates how long it takes to send all requests that wait for the budget.
func (c *Client) QueueDelay() time.Duration {
	requests, changes := 0.0, 0.0
	for _, waiting := range c.queue.waiting {
		for _, r := range waiting {
			requests++
			changes += r.changes
		}
	}
	return c.limiter.QueueDelay(requests, changes)
}

// HasSpareRequests reports whether the budget of requests is at least half full.
func (c *Client) HasSpareRequests() bool { return c.limiter.HasSpareRequests() }

// Throttled reports whether some request has recently waited for the budget. Controllers tell
// each other, and the peers count it in their SetPeerDemand.
func (c *Client) Throttled() bool { return c.limiter.Throttled() }

// SetPeerDemand sets how many other controllers are throttled, including those that are not
// heard and may be, and how many are idle; see ratelimit.Limiter.SetPeerDemand.
func (c *Client) SetPeerDemand(throttled, idle int) { c.limiter.SetPeerDemand(throttled, idle) }

// Reserve reports whether a transaction of this class with this many changes would be sent at
// once. A caller that builds the transaction only then builds it from the latest mirror, and can
// include changes that came up while it waited. When Reserve returns false, the budget is saved for
// the transaction until ReleaseReservations.
func (c *Client) Reserve(class ratelimit.Class, changes int) bool {
	c.queue.reservedChanges[class] = 0
	c.updateDemand(class)
	if c.CanSend(class, changes) {
		return true
	}
	c.queue.reservedChanges[class] = float64(changes)
	c.updateDemand(class)
	return false
}

// CanSend is like Reserve, but saves no budget when it returns false.
func (c *Client) CanSend(class ratelimit.Class, changes int) bool {
	return c.canDispatch() && len(c.queue.waiting[class]) == 0 && c.limiter.CanSpend(class, float64(changes))
}

// ReleaseReservations stops saving the budget for the transactions that Reserve has refused.
func (c *Client) ReleaseReservations() {
	for i, changes := range c.queue.reservedChanges {
		if changes > 0 {
			c.queue.reservedChanges[i] = 0
			c.updateDemand(ratelimit.Class(i))
		}
	}
}

// txnQueueTimeout returns how long a transaction of a class may wait for the budget.
func txnQueueTimeout(class ratelimit.Class) time.Duration {
	switch class {
	case ratelimit.UrgentClaims, ratelimit.BusyClaims, ratelimit.IdleClaims:
		return claimQueueTimeout
	}
	return queueTimeout
}

func (c *Client) enqueue(r *request) {
	c.queue.waiting[r.class] = append(c.queue.waiting[r.class], r)
	c.updateDemand(r.class)
}

// requeue puts a request before all others of its class.
func (c *Client) requeue(r *request) {
	c.queue.waiting[r.class] = append([]*request{r}, c.queue.waiting[r.class]...)
	c.updateDemand(r.class)
}

// dequeue removes and returns the first request of a class, which must have one.
func (c *Client) dequeue(class ratelimit.Class) *request {
	waiting := c.queue.waiting[class]
	if len(waiting) == 1 {
		c.queue.waiting[class] = nil // frees the array
	} else {
		c.queue.waiting[class] = waiting[1:]
	}
	return waiting[0]
}

// updateDemand tells the limiter whether a request of a class waits, or a transaction that
// Reserve refused, and how many changes the first one makes.
func (c *Client) updateDemand(class ratelimit.Class) {
	if waiting := c.queue.waiting[class]; len(waiting) > 0 {
		c.limiter.SetDemand(class, true, waiting[0].changes)
		return
	}
	reserved := c.queue.reservedChanges[class]
	c.limiter.SetDemand(class, reserved > 0, reserved)
}

// expireQueued fails the requests that have waited too long for the budget.
func (c *Client) expireQueued() {
	var expired []*request
	for class, waiting := range c.queue.waiting {
		before := len(waiting)
		for len(waiting) > 0 && c.now > waiting[0].deadline {
			expired = append(expired, waiting[0])
			waiting = waiting[1:]
		}
		if len(waiting) < before {
			c.queue.waiting[class] = waiting
			c.updateDemand(ratelimit.Class(class))
		}
	}
	// The callbacks come last, as they may add requests to the queue.
	for _, r := range expired {
		r.done(protocol.Reply{})
	}
}

// sendQueued sends queued requests in the limiter's order as long as the limiter allows it.
func (c *Client) sendQueued() {
	for c.canDispatch() {
		class := c.limiter.Next()
		if class < 0 || len(c.queue.waiting[class]) == 0 {
			return // nothing can be sent, or the budget is saved for a transaction that Reserve refused
		}
		r := c.dequeue(class)
		c.limiter.Spend(class, r.changes)
		c.updateDemand(class)
		c.dispatch(r)
	}
}

func (c *Client) canDispatch() bool {
	return c.now >= c.queue.pausedUntil && c.queue.inFlight < maxInFlight
}

// dispatch sends a request whose budget is spent.
func (c *Client) dispatch(r *request) {
	c.queue.inFlight++
	c.Send(protocol.Call{
		Target:  protocol.ToStateService,
		Method:  r.method,
		Path:    r.path,
		Body:    r.body,
		Timeout: callTimeout,
	}, func(reply protocol.Reply) { c.handleReply(r, reply) })
}

// handleReply passes a reply to the request's callback. But a request that the service has
// refused without executing it, because of its rates or because it was unavailable, is queued
// again if its deadline has not passed.
func (c *Client) handleReply(r *request, reply protocol.Reply) {
	c.queue.inFlight--
	c.recordContact(reply)
	overRate := reply.Status == http.StatusTooManyRequests
	if overRate {
		c.limiter.RecordRefusal()
	}
	if (overRate || reply.Status == http.StatusServiceUnavailable) && c.now < r.deadline {
		c.queue.pausedUntil = c.now + refusalPause
		c.requeue(r)
		return
	}
	r.done(reply)
}
