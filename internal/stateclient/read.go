package stateclient

import (
	"encoding/json"
	"net/http"

	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
)

// Refresh reads one key into the mirror, ahead of the watch. ok is false when the read failed.
// A key that does not exist stays in the mirror until the watch deletes it.
func (c *Client) Refresh(class ratelimit.Class, key string, done func(ok bool)) {
	c.readKey(class, key, func(reply protocol.Reply) {
		var entry protocol.KeyValue
		found := reply.Status == http.StatusOK
		if !found && reply.Status != http.StatusNotFound || protocol.DecodeState(reply.Body, &entry) != nil {
			done(false)
			return
		}
		if found {
			c.applyChange(key, entry.Value, entry.ModRevision)
		}
		done(true)
	})
}

// ReadUnmirrored reads a key that is not mirrored, such as one under UnmirroredPrefix. ok is
// false when the read failed; data is nil when the key does not exist.
func (c *Client) ReadUnmirrored(class ratelimit.Class, key string, done func(data json.RawMessage, ok bool)) {
	c.readKey(class, key, func(reply protocol.Reply) {
		var entry protocol.KeyValue
		switch {
		case reply.Status == http.StatusNotFound:
			done(nil, true)
		case reply.Status != http.StatusOK || protocol.DecodeState(reply.Body, &entry) != nil:
			done(nil, false)
		default:
			done(entry.Value, true)
		}
	})
}

func (c *Client) readKey(class ratelimit.Class, key string, done func(protocol.Reply)) {
	c.enqueue(&request{
		class:    class,
		method:   http.MethodGet,
		path:     protocol.PathKeys + "/" + key,
		deadline: c.now + queueTimeout,
		done:     done,
	})
}
