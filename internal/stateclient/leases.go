package stateclient

import (
	"net/http"
	"strconv"
	"time"

	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
)

// GrantLease requests a lease. Unless KeepAlive renews the lease within ttl, it expires, and
// the service deletes the keys attached to it. lease is 0 when none was granted.
func (c *Client) GrantLease(ttl time.Duration, done func(lease uint64)) {
	c.enqueue(&request{
		class:    ratelimit.Safety,
		method:   http.MethodPost,
		path:     protocol.PathLeases,
		body:     protocol.Encode(protocol.LeaseRequest{TTLMs: ttl.Milliseconds()}),
		deadline: c.now + queueTimeout,
		done: func(reply protocol.Reply) {
			var granted protocol.LeaseResponse
			if reply.Status == http.StatusOK {
				_ = protocol.DecodeState(reply.Body, &granted) // on an error the lease stays 0
			}
			done(granted.Lease)
		},
	})
}

// KeepAlive renews a lease. ok means that it was renewed, expired that it does not exist any
// more; both are false when the result is not known.
func (c *Client) KeepAlive(lease uint64, done func(ok, expired bool)) {
	c.enqueue(&request{
		class:    ratelimit.Safety,
		method:   http.MethodPost,
		path:     protocol.PathLeases + "/" + strconv.FormatUint(lease, 10) + "/" + protocol.PathKeepAlive,
		deadline: c.now + queueTimeout,
		done: func(reply protocol.Reply) {
			done(reply.Status == http.StatusOK, reply.Status == http.StatusNotFound)
		},
	})
}
