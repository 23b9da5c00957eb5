package statestore

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"silvergate/internal/protocol"
)

// Limits of the protocol that no setting changes.
const (
	maxKeyBytes     = 200
	maxPageKeys     = 1000
	maxPageBytes    = 512 << 10
	retainedChanges = 10_000 // events kept for watches
)

// retryAfterSeconds is the Retry-After value sent to a client whose request was refused
// because of the rate limits or because too many writes wait for the disk.
const retryAfterSeconds = 1

const (
	// idleTickInterval is the longest time between two calls of advance.
	idleTickInterval = time.Second
	// leaseTickInterval replaces idleTickInterval while any lease exists.
	leaseTickInterval = maxClockGap / 2
)

// rateBucket is a token bucket that allows a burst of one second's worth of tokens.
type rateBucket struct{ rate, tokens float64 }

func (b *rateBucket) refill(elapsed time.Duration) {
	b.tokens = min(b.rate, b.tokens+b.rate*elapsed.Seconds())
}

// decision is the outcome of admission control for a request: either an immediate
// response or one action to carry out.
type decision struct {
	status     int // of the response; 0 if one of the actions below is set
	body       []byte
	retryAfter int // seconds; 0 for none

	request *request     // submit this write to the writer
	get     string       // read this key
	list    *listRequest // read a page of keys
	watcher *watcher     // answer this watch now, or register it until there are events
}

// listRequest asks for at most limit keys that have the prefix and sort after from.
type listRequest struct {
	prefix, from string
	limit        int
}

// admission decides on requests by their form, the rate limits, the leases and the number
// of writes that wait for the disk. It holds the deadlines of the leases and the watches
// that wait for events. It does no I/O and reads no clock: advance sets its time. It is
// not safe for concurrent use; Service calls it with its lock held.
type admission struct {
	limits        Limits
	now           time.Duration
	requests      rateBucket
	changes       rateBucket
	leases        map[uint64]*lease
	watchers      map[uint64]*watcher
	pendingWrites int // requests submitted to the writer and not answered yet
	refused       uint64
}

// newAdmission returns an admission that holds the store's leases, each with its full TTL.
func newAdmission(limits Limits, leaseTTLs map[uint64]time.Duration) *admission {
	a := &admission{
		limits:   limits,
		requests: rateBucket{limits.RPS, limits.RPS},
		changes:  rateBucket{limits.WriteRPS, limits.WriteRPS},
		leases:   map[uint64]*lease{},
		watchers: map[uint64]*watcher{},
	}
	for id, ttl := range leaseTTLs {
		a.leases[id] = &lease{ttl: ttl, deadline: ttl}
	}
	return a
}

// maxPendingWrites returns how many writes may wait for the disk: a second's worth of
// requests. Further ones could not be answered in time.
func (a *admission) maxPendingWrites() int { return max(1, int(a.limits.RPS)) }

// advance sets the time and returns the leases that have expired, ordered by id.
func (a *admission) advance(now time.Duration) (expired []uint64) {
	elapsed := now - a.now
	a.now = now
	a.requests.refill(elapsed)
	a.changes.refill(elapsed)
	return a.expireLeases(elapsed)
}

// nextDeadline returns the latest time at which advance must be called again.
func (a *admission) nextDeadline() time.Duration {
	next := a.now + idleTickInterval
	if len(a.leases) > 0 {
		next = a.now + leaseTickInterval
	}
	for _, l := range a.leases {
		if !l.removalPending {
			next = min(next, l.deadline)
		}
	}
	for _, w := range a.watchers {
		next = min(next, w.deadline)
	}
	return next
}

func errorDecision(status int, format string, args ...any) decision {
	v := decision{status: status, body: protocol.Encode(protocol.ErrorResponse{Error: fmt.Sprintf(format, args...)})}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		v.retryAfter = retryAfterSeconds
	}
	return v
}

// refuse counts a refused request and returns its errorDecision.
func (a *admission) refuse(status int, format string, args ...any) decision {
	a.refused++
	return errorDecision(status, format, args...)
}

// admit decides on a request. id identifies the request when it is answered.
func (a *admission) admit(id uint64, method, path, query string, body []byte) decision {
	if a.requests.tokens < 1 {
		return a.refuse(http.StatusTooManyRequests, "more than %g requests a second", a.limits.RPS)
	}
	a.requests.tokens--
	escapedKey, isKey := strings.CutPrefix(path, protocol.PathKeys+"/")
	leasePath, isLease := strings.CutPrefix(path, protocol.PathLeases+"/")
	switch {
	case isKey:
		return requireMethod(method, http.MethodGet, func() decision { return admitGet(escapedKey) })
	case path == protocol.PathKeys:
		return requireMethod(method, http.MethodGet, func() decision { return admitList(query) })
	case path == protocol.PathTxn:
		return requireMethod(method, http.MethodPost, func() decision { return a.admitTxn(body) })
	case path == protocol.PathLeases:
		return requireMethod(method, http.MethodPost, func() decision { return a.admitLeaseGrant(body) })
	case isLease:
		return a.admitLeaseAction(method, leasePath)
	case path == protocol.PathWatch:
		return requireMethod(method, http.MethodGet, func() decision { return a.admitWatch(id, query) })
	}
	return errorDecision(http.StatusNotFound, "no such path")
}

// requireMethod calls admit if the method is the wanted one, and refuses the request if not.
func requireMethod(method, want string, admit func() decision) decision {
	if method != want {
		return errorDecision(http.StatusMethodNotAllowed, "use %s", want)
	}
	return admit()
}

// checkKey returns an error that says why a key is invalid, or nil. Control characters
// are refused like spaces, because they can't be displayed or sent in a path.
func checkKey(key string) error {
	if key == "" || len(key) > maxKeyBytes {
		return fmt.Errorf("must have 1 to %d bytes", maxKeyBytes)
	}
	isSpaceOrControl := func(r rune) bool { return r <= ' ' || r == 0x7f }
	if !utf8.ValidString(key) || strings.ContainsFunc(key, isSpaceOrControl) {
		return errors.New("must be text without spaces")
	}
	return nil
}

func admitGet(escapedKey string) decision {
	key, err := url.PathUnescape(escapedKey)
	if err == nil {
		err = checkKey(key)
	}
	if err != nil {
		return errorDecision(http.StatusBadRequest, "key: %v", err)
	}
	return decision{get: key}
}

func admitList(query string) decision {
	list, err := parseList(query)
	if err != nil {
		return errorDecision(http.StatusBadRequest, "%v", err)
	}
	return decision{list: list}
}

func parseList(query string) (*listRequest, error) {
	q, err := parseQuery(query)
	if err != nil {
		return nil, err
	}
	limit, err := queryNumber(q, "page", 1<<62, maxPageKeys)
	if err != nil {
		return nil, err
	}
	if limit == 0 {
		return nil, errors.New("page: must be at least 1")
	}
	from := q.Get("from")
	if !isKeyPrefix(from) {
		return nil, fmt.Errorf("from: must be text of at most %d bytes", maxKeyBytes)
	}
	return &listRequest{q.Get("under"), from, int(min(limit, maxPageKeys))}, nil
}

// parseQuery parses the query of a list or a watch and checks its prefix. All fields are
// optional.
func parseQuery(query string) (url.Values, error) {
	q, err := url.ParseQuery(query)
	if err != nil {
		return nil, errors.New("the query is malformed")
	}
	if !isKeyPrefix(q.Get("under")) {
		return nil, fmt.Errorf("under: must be text of at most %d bytes", maxKeyBytes)
	}
	return q, nil
}

// isKeyPrefix reports whether s can be the prefix of a key.
func isKeyPrefix(s string) bool { return len(s) <= maxKeyBytes && utf8.ValidString(s) }

// queryNumber returns the number in a query field, which may be at most highest, or
// defaultValue if the query does not have the field.
func queryNumber(q url.Values, name string, highest, defaultValue uint64) (uint64, error) {
	s := q.Get(name)
	if s == "" {
		return defaultValue, nil
	}
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil || v > highest {
		return 0, fmt.Errorf("%s: must be a number from 0 to %d", name, highest)
	}
	return v, nil
}

func (a *admission) admitTxn(body []byte) decision {
	txn, err := decodeTxn(body, a.limits)
	if err != nil {
		return errorDecision(http.StatusBadRequest, "%v", err)
	}
	changes := float64(len(txn.Ops))
	if a.changes.tokens < changes {
		return a.refuse(http.StatusTooManyRequests, "more than %g writes a second", a.limits.WriteRPS)
	}
	a.changes.tokens -= changes
	for _, op := range txn.Ops {
		if op.Lease != 0 && !a.leaseExists(op.Lease) {
			return errorDecision(http.StatusBadRequest, "no such lease")
		}
	}
	return a.admitWrite(&request{txn: txn})
}

// admitWrite admits a write for the writer. It refuses the write if so many others wait
// that its answer would come too late.
func (a *admission) admitWrite(r *request) decision {
	if a.pendingWrites >= a.maxPendingWrites() {
		return a.refuse(http.StatusServiceUnavailable, "the disk can't follow; nothing was done")
	}
	a.pendingWrites++
	return decision{request: r}
}
