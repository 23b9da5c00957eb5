// Package stateclient is a client of the state service, the strongly consistent
// key-value store that holds silvergate's records. It maintains a mirror of the records by a
// scan and a watch (mirror.go), sends conditional transactions (txn.go) and single reads
// (read.go), grants and renews leases (leases.go), and queues requests so that this
// controller keeps to its share of the service's rates (queue.go).
//
// The package does no I/O, starts no goroutines and reads no clock: calls go out through
// Client.Send, and the time is passed to Tick and Advance.
package stateclient

import (
	"encoding/json"
	"net/http"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
)

// MirroredPrefix is the prefix of every key that is mirrored.
const MirroredPrefix = "sg/"

// UnmirroredPrefix is the prefix of keys that no controller mirrors. It is for keys that are
// read seldom and one by one, so that they add nothing to the scan at a controller's start
// and nothing to the watch.
const UnmirroredPrefix = "sgx/"

// callTimeout is the time limit of one call to the state service.
const callTimeout = 1500 * time.Millisecond

// Client sends requests to the state service and mirrors its records. Its methods, and the
// callbacks that it passes to Send, must not be called concurrently: the caller owns the
// lock, if there is one. A method may call Apply, and the callback of an earlier request,
// before it returns.
type Client struct {
	// Send starts a call. It must call the callback exactly once: with the reply, or with a
	// status of 0 if none came within the call's Timeout. Send must be set before the
	// first Tick.
	Send func(protocol.Call, func(protocol.Reply))
	// Apply is called with each change of the mirror; data is nil for a deleted key. It
	// must be set before the first Tick.
	Apply func(key string, data json.RawMessage, revision uint64)

	now       time.Duration
	contactAt time.Duration
	limiter   *ratelimit.Limiter
	queue     requestQueue
	mirror    mirror
}

// New returns a client for one of the given number of controllers. Its share of the
// service's rates is at first an equal one.
func New(facts *config.Facts, controllers int) *Client {
	return &Client{
		limiter: ratelimit.New(ratelimit.Rates{
			Requests:    facts.State.RPS,
			Changes:     facts.State.WriteRPS,
			Controllers: controllers,
			TxnChanges:  facts.State.TxnOps,
		}),
		mirror: newMirror(facts.State.RPS, controllers),
	}
}

// Advance sets the time and refills the rate limiter's budget up to it. Time must not go
// back.
func (c *Client) Advance(now time.Duration) {
	c.now = now
	c.limiter.Advance(now)
}

// Tick sets the time and sends what the budget allows: first the mirror's next read, then
// queued requests in the order of their classes. Requests that have waited too long fail.
func (c *Client) Tick(now time.Duration) {
	c.Advance(now)
	c.syncMirror()
	c.expireQueued()
	c.sendQueued()
}

// NeedsTick reports whether something has to be sent after some time, rather than when a
// reply arrives: a queued request, or the mirror's next read.
func (c *Client) NeedsTick() bool {
	return c.Backlog() > 0 || !c.mirror.scanInFlight && !c.mirror.watchInFlight
}

// ContactAt returns the time of the last reply other than those with status 503 (service
// unavailable) or 429 (too many requests).
func (c *Client) ContactAt() time.Duration { return c.contactAt }

// recordContact records the time of a reply for ContactAt. A status of 0 is no reply.
func (c *Client) recordContact(reply protocol.Reply) {
	switch reply.Status {
	case 0, http.StatusServiceUnavailable, http.StatusTooManyRequests:
	default:
		c.contactAt = c.now
	}
}
