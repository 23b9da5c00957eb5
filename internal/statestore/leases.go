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
	// maxClockGap is the time between two looks at the clock from which the service is
	// taken to have been out: nobody could renew a lease meanwhile. A lease may expire
	// late by as much.
	maxClockGap = minLeaseTTL
)

// lease is the deadline of a lease that the store has.
type lease struct {
	ttl     time.Duration
	deadline   time.Duration
	removalPending bool // the writer was told to remove it
}

// expireLeases marks the leases whose time is over as expired and returns them in order.
// elapsed is the time since it was called last.
func (a *admission) expireLeases(elapsed time.Duration) (expired []uint64) {
	for id, l := range a.leases {
		switch {
		case l.removalPending:
		case elapsed > maxClockGap:
			// Guards against a process that was stopped or starved: its
			// clients could not renew, and would lose their leases for our
			// fault. They get their full time again, as after an outage.
			l.deadline = a.now + l.ttl
		case a.now >= l.deadline:
			l.removalPending = true
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// leaseExists reports whether a lease was granted and has not expired.
func (a *admission) leaseExists(id uint64) bool {
	l := a.leases[id]
	return l != nil && !l.removalPending
}

// addLease notes a lease that is on disk; its time begins.
func (a *admission) addLease(id uint64, ttl time.Duration) {
	a.leases[id] = &lease{ttl: ttl, deadline: a.now + ttl}
}

// forgetLease notes that a lease is no longer on disk.
func (a *admission) forgetLease(id uint64) { delete(a.leases, id) }

func (a *admission) admitLeaseGrant(body []byte) decision {
	// Unnamed, as the decoder shows its type's name in the errors that clients get.
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

// admitLeaseAction decides on the renewal and on the end of a lease; path is what follows
// the leases' path.
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
