package statestore

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"silvergate/internal/protocol"
)

const (
	minLeaseTTL = 100 * time.Millisecond
	maxLeaseTTL = 600 * time.Second
	// maxClockGap is the longest time between two calls of advance during which the
	// service counts as running. After a longer gap the service counts as having been
	// paused, since no client could renew a lease during it. A lease may expire late by
	// up to maxClockGap.
	maxClockGap = minLeaseTTL
)

// lease holds the TTL and the deadline of a lease in the store.
type lease struct {
	ttl            time.Duration
	deadline       time.Duration
	removalPending bool // the writer was told to remove it, as it expired or was revoked
}

// expireLeases marks the leases whose deadline has passed as pending removal and returns
// them ordered by id. elapsed is the time since the last call.
func (a *admission) expireLeases(elapsed time.Duration) (expired []uint64) {
	for id, l := range a.leases {
		switch {
		case l.removalPending:
		case elapsed > maxClockGap:
			// This process was stopped or starved, so clients could not renew and
			// would lose their leases through our fault. Each lease gets its full
			// TTL again, as after a restart of the service.
			l.deadline = a.now + l.ttl
		case a.now >= l.deadline:
			l.removalPending = true
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// leaseExists reports whether a lease was granted and has neither expired nor been revoked.
func (a *admission) leaseExists(id uint64) bool {
	l := a.leases[id]
	return l != nil && !l.removalPending
}

// addLease adds a granted lease after it was written to disk; its TTL starts now.
func (a *admission) addLease(id uint64, ttl time.Duration) {
	a.leases[id] = &lease{ttl: ttl, deadline: a.now + ttl}
}

// forgetLease drops a lease after it was removed from disk.
func (a *admission) forgetLease(id uint64) { delete(a.leases, id) }

func (a *admission) admitLeaseGrant(body []byte) decision {
	// The type is unnamed because the decoder writes a type's name into the errors that
	// clients receive.
	var encoded struct {
		TTL *int64 `json:"ttlMs"`
	}
	if err := protocol.DecodeObject(body, &encoded); err != nil {
		return errorDecision(http.StatusBadRequest, "%v", err)
	}
	if encoded.TTL == nil || *encoded.TTL < minLeaseTTL.Milliseconds() || *encoded.TTL > maxLeaseTTL.Milliseconds() {
		return errorDecision(http.StatusBadRequest, "ttlMs: must be from %d to %d", minLeaseTTL.Milliseconds(), maxLeaseTTL.Milliseconds())
	}
	return a.admitWrite(&request{ttl: time.Duration(*encoded.TTL) * time.Millisecond})
}

// admitLeaseAction decides on the renewal and the revocation of a lease. path is the part of
// the request's path after protocol.PathLeases and a slash.
func (a *admission) admitLeaseAction(method, path string) decision {
	number, action, hasAction := strings.Cut(path, "/")
	id, err := strconv.ParseUint(number, 10, 64)
	switch {
	case err != nil:
		return errorDecision(http.StatusBadRequest, "the grant's number is malformed")
	case hasAction && action != protocol.PathKeepAlive:
		return errorDecision(http.StatusNotFound, "no such path")
	case hasAction && method != http.MethodPost, !hasAction && method != http.MethodDelete:
		return errorDecision(http.StatusMethodNotAllowed, "method not allowed")
	}
	if !a.leaseExists(id) || a.now >= a.leases[id].deadline {
		return errorDecision(http.StatusNotFound, "no such lease")
	}
	if hasAction {
		return a.renewLease(id)
	}
	return a.revokeLease(id)
}

func (a *admission) renewLease(id uint64) decision {
	l := a.leases[id]
	l.deadline = a.now + l.ttl
	return decision{status: http.StatusOK, body: []byte("{}")}
}

func (a *admission) revokeLease(id uint64) decision {
	v := a.admitWrite(&request{leaseToRemove: id})
	a.leases[id].removalPending = v.request != nil
	return v
}
