package statestore

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"silvergate/internal/protocol"
)

// Limits are the service's, as the controllers' settings give them.
type Limits struct {
	// RPS is the most requests, WriteRPS the most writes and drops a second;
	// both allow bursts of a second's worth.
	RPS      float64 `yaml:"rps"`
	WriteRPS float64 `yaml:"write_rps"`
	// ValueKB is the largest value in KiB.
	ValueKB float64 `yaml:"value_kb"`
	// TxnOps is the most writes and drops of a transaction; four times as
	// many conditions are allowed.
	TxnOps int `yaml:"txn_ops"`
}

// Check names the first field that can't be.
func (l *Limits) Check() error {
	switch {
	case !(l.RPS >= 1 && l.RPS <= 1e9):
		return errors.New("limits.rps: must be at least 1")
	case !(l.WriteRPS >= 1 && l.WriteRPS <= 1e9):
		return errors.New("limits.write_rps: must be at least 1")
	case !(l.ValueKB > 0 && l.ValueKB <= 64):
		return errors.New("limits.value_kb: must be above 0 and at most 64, the size of a request")
	case l.TxnOps < 1 || float64(l.TxnOps) > l.WriteRPS:
		return errors.New("limits.txn_ops: must be at least 1 and at most write_rps, or no such transaction would ever pass")
	}
	return nil
}

// Limits of the protocol that no setting changes.
const (
	maxKey          = 200
	maxPage         = 1000
	maxPageBytes    = 512 << 10
	retainedChanges = 10_000
	maxBlock        = time.Minute
	minTTL          = 100 * time.Millisecond
	maxTTL          = 600 * time.Second
)

// maxStall is the time between two looks at the clock from which the service is
// taken to have been out: nobody could renew a grant meanwhile. It is the
// slack that the end of a grant may have.
const maxStall = minTTL

type bucket struct{ rate, level float64 }

func (b *bucket) fill(d time.Duration) { b.level = min(b.rate, b.level+b.rate*d.Seconds()) }

type lease struct {
	ttl     time.Duration
	until   time.Duration
	expired bool // its end is on the way to the disk
}

type watcher struct {
	id    uint64
	under string
	from  uint64
	until time.Duration
}

// decision is the machine's answer to a request: an answer for at once, or what
// is to be done for one.
type decision struct {
	status     int // 0: something below is to be done first
	body       []byte
	retryAfter int // seconds

	request *request     // for the writer
	get     string       // read this key
	list    *listRequest // read a page
	watcher *watcher     // a watch that may have something to tell at once
}

type listRequest struct {
	under, from string
	page        int
}

// admission decides on requests: their form, the rates, grants and watches. It
// does no I/O; time comes with the inputs.
type admission struct {
	limits  Limits
	now     time.Duration
	reads   bucket
	writes  bucket
	leases  map[uint64]*lease
	watches map[uint64]*watcher
	queued  int // orders on the way to the disk
	refused uint64
}

func newAdmission(l Limits, ttls map[uint64]time.Duration) *admission {
	m := &admission{limits: l, reads: bucket{l.RPS, l.RPS}, writes: bucket{l.WriteRPS, l.WriteRPS},
		leases: map[uint64]*lease{}, watches: map[uint64]*watcher{}}
	for id, ttl := range ttls {
		m.leases[id] = &lease{ttl: ttl, until: ttl} // the full time again
	}
	return m
}

// maxQueued is how many orders may wait for the disk: a second's worth of
// requests. More could not be answered in time.
func (m *admission) maxQueued() int { return max(1, int(m.limits.RPS)) }

// advance lets time pass. It returns the grants that have ended.
func (m *admission) advance(now time.Duration) (ended []uint64) {
	d := now - m.now
	m.now = now
	m.reads.fill(d)
	m.writes.fill(d)
	for id, g := range m.leases {
		switch {
		case g.expired:
		case d > maxStall:
			// Guards against a process that was stopped or starved: its
			// clients could not renew, and would lose their grants for our
			// fault. They get their full time again, as after an outage.
			g.until = now + g.ttl
		case now >= g.until:
			g.expired = true
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	return ended
}

// due is when the machine must look at the clock again.
func (m *admission) due() time.Duration {
	next := m.now + maxBlock/60
	if len(m.leases) > 0 {
		next = m.now + maxStall/2
	}
	for _, g := range m.leases {
		if !g.expired {
			next = min(next, g.until)
		}
	}
	for _, w := range m.watches {
		next = min(next, w.until)
	}
	return next
}

// expired takes out the watches whose time is over.
func (m *admission) expired() []*watcher {
	var out []*watcher
	for id, w := range m.watches {
		if m.now >= w.until {
			out = append(out, w)
			delete(m.watches, id)
		}
	}
	return out
}

// wake takes out the watches that any of the changes concerns.
func (m *admission) wake(changes []changeEvent) []*watcher {
	var out []*watcher
	for id, w := range m.watches {
		for i := range changes {
			if strings.HasPrefix(changes[i].key, w.under) {
				out = append(out, w)
				delete(m.watches, id)
				break
			}
		}
	}
	return out
}

// leaseGranted and ended take what the disk did with grants.
func (m *admission) leaseGranted(id uint64, ttl time.Duration) {
	m.leases[id] = &lease{ttl: ttl, until: m.now + ttl}
}

func (m *admission) leaseRemoved(id uint64) { delete(m.leases, id) }

func errorDecision(status int, format string, args ...any) decision {
	v := decision{status: status, body: protocol.Encode(protocol.ErrorResponse{Error: fmt.Sprintf(format, args...)})}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		v.retryAfter = 1
	}
	return v
}

// request judges a request.
func (m *admission) request(id uint64, method, path, query string, body []byte) decision {
	if m.reads.level < 1 {
		m.refused++
		return errorDecision(http.StatusTooManyRequests, "more than %g requests a second", m.limits.RPS)
	}
	m.reads.level--
	rest, isKey := strings.CutPrefix(path, protocol.PathKeys+"/")
	grantRest, isGrant := strings.CutPrefix(path, protocol.PathLeases+"/")
	switch {
	case isKey:
		return requireMethod(method, "GET", func() decision { return m.getKey(rest) })
	case path == protocol.PathKeys:
		return requireMethod(method, "GET", func() decision { return m.list(query) })
	case path == protocol.PathTxn:
		return requireMethod(method, "POST", func() decision { return m.txn(body) })
	case path == protocol.PathLeases:
		return requireMethod(method, "POST", func() decision { return m.grantLease(body) })
	case isGrant:
		return m.leaseAction(method, grantRest)
	case path == protocol.PathWatch:
		return requireMethod(method, "GET", func() decision { return m.watch(id, query) })
	}
	return errorDecision(http.StatusNotFound, "no such path")
}

func requireMethod(method, want string, do func() decision) decision {
	if method != want {
		return errorDecision(http.StatusMethodNotAllowed, "use %s", want)
	}
	return do()
}

// checkKey tells what is wrong with a key. Control characters are refused with
// spaces: they could not be shown, or sent in a path.
func checkKey(key string) error {
	if key == "" || len(key) > maxKey {
		return fmt.Errorf("must have 1 to %d bytes", maxKey)
	}
	if !utf8.ValidString(key) || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return errors.New("must be text without spaces")
	}
	return nil
}

func (m *admission) getKey(escaped string) decision {
	key, err := url.PathUnescape(escaped)
	if err == nil {
		err = checkKey(key)
	}
	if err != nil {
		return errorDecision(http.StatusBadRequest, "key: %v", err)
	}
	return decision{get: key}
}

// queryOf reads a query whose fields are all optional.
func queryOf(query string) (url.Values, error) {
	q, err := url.ParseQuery(query)
	if err != nil {
		return nil, errors.New("the query is malformed")
	}
	if u := q.Get("under"); len(u) > maxKey || !utf8.ValidString(u) {
		return nil, fmt.Errorf("under: must be text of at most %d bytes", maxKey)
	}
	return q, nil
}

func queryNumber(q url.Values, name string, most, otherwise uint64) (uint64, error) {
	s := q.Get(name)
	if s == "" {
		return otherwise, nil
	}
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil || v > most {
		return 0, fmt.Errorf("%s: must be a number from 0 to %d", name, most)
	}
	return v, nil
}

func (m *admission) list(query string) decision {
	q, err := queryOf(query)
	var page uint64
	if err == nil {
		page, err = queryNumber(q, "page", 1<<62, maxPage)
	}
	if err == nil && page == 0 {
		err = errors.New("page: must be at least 1")
	}
	if from := q.Get("from"); err == nil && (len(from) > maxKey || !utf8.ValidString(from)) {
		err = fmt.Errorf("from: must be text of at most %d bytes", maxKey)
	}
	if err != nil {
		return errorDecision(http.StatusBadRequest, "%v", err)
	}
	return decision{list: &listRequest{q.Get("under"), q.Get("from"), int(min(page, maxPage))}}
}

func (m *admission) watch(id uint64, query string) decision {
	q, err := queryOf(query)
	var from, block uint64
	if err == nil {
		from, err = queryNumber(q, "from", 1<<64-1, 0)
	}
	if err == nil {
		block, err = queryNumber(q, "blockMs", uint64(maxBlock.Milliseconds()), 0)
	}
	if err != nil {
		return errorDecision(http.StatusBadRequest, "%v", err)
	}
	return decision{watcher: &watcher{id, q.Get("under"), from, m.now + time.Duration(block)*time.Millisecond}}
}

// park has a watch wait that had nothing to tell; false when its time is over.
func (m *admission) park(w *watcher) bool {
	if m.now >= w.until {
		return false
	}
	m.watches[w.id] = w
	return true
}

// readTxn reads and checks a transaction.
func (m *admission) readTxn(body []byte) (*protocol.Txn, error) {
	var t struct {
		If []struct {
			Key   *string `json:"key"`
			Stamp *uint64 `json:"stamp"`
		} `json:"if"`
		Then []struct {
			Write  *string         `json:"write"`
			Data   json.RawMessage `json:"data"`
			Permit *uint64         `json:"permit"`
			Drop   *string         `json:"drop"`
		} `json:"then"`
	}
	if err := protocol.DecodeObject(body, &t); err != nil {
		return nil, err
	}
	if len(t.Then) > m.limits.TxnOps {
		return nil, fmt.Errorf("then: more than %d writes and drops", m.limits.TxnOps)
	}
	if len(t.If) > 4*m.limits.TxnOps {
		return nil, fmt.Errorf("if: more than %d conditions", 4*m.limits.TxnOps)
	}
	out := &protocol.Txn{}
	for i, c := range t.If {
		if c.Key == nil || c.Stamp == nil {
			return nil, fmt.Errorf("if[%d]: key or stamp is missing", i)
		}
		if err := checkKey(*c.Key); err != nil {
			return nil, fmt.Errorf("if[%d].key: %w", i, err)
		}
		out.Compares = append(out.Compares, protocol.Compare{Key: *c.Key, ModRevision: *c.Stamp})
	}
	for i, o := range t.Then {
		op := protocol.Op{Value: o.Data}
		name, field := o.Write, "write"
		if o.Drop != nil {
			name, field = o.Drop, "drop"
		}
		switch {
		case (o.Write == nil) == (o.Drop == nil):
			return nil, fmt.Errorf("then[%d]: must have either write or drop", i)
		case o.Write != nil && o.Data == nil:
			return nil, fmt.Errorf("then[%d].data: missing", i)
		case float64(len(o.Data)) > m.limits.ValueKB*1024:
			return nil, fmt.Errorf("then[%d].data: larger than %g KiB", i, m.limits.ValueKB)
		}
		if err := checkKey(*name); err != nil {
			return nil, fmt.Errorf("then[%d].%s: %w", i, field, err)
		}
		if o.Drop != nil {
			op = protocol.Op{Delete: *name}
		} else {
			op.Put = *name
			if o.Permit != nil {
				op.Lease = *o.Permit
			}
		}
		out.Ops = append(out.Ops, op)
	}
	return out, nil
}

func (m *admission) txn(body []byte) decision {
	t, err := m.readTxn(body)
	if err != nil {
		return errorDecision(http.StatusBadRequest, "%v", err)
	}
	if m.writes.level < float64(len(t.Ops)) {
		m.refused++
		return errorDecision(http.StatusTooManyRequests, "more than %g writes a second", m.limits.WriteRPS)
	}
	m.writes.level -= float64(len(t.Ops))
	for _, o := range t.Ops {
		if g := m.leases[o.Lease]; o.Lease != 0 && (g == nil || g.expired) {
			return errorDecision(http.StatusBadRequest, "no such lease")
		}
	}
	return m.queue(&request{txn: t})
}

// queue hands an order to the writer, unless so many wait that its answer
// would come too late.
func (m *admission) queue(o *request) decision {
	if m.queued >= m.maxQueued() {
		m.refused++
		return errorDecision(http.StatusServiceUnavailable, "the disk can't follow; nothing was done")
	}
	m.queued++
	return decision{request: o}
}

func (m *admission) grantLease(body []byte) decision {
	var g struct {
		TTL *int64 `json:"ttlMs"`
	}
	if err := protocol.DecodeObject(body, &g); err != nil {
		return errorDecision(http.StatusBadRequest, "%v", err)
	}
	if g.TTL == nil || *g.TTL < minTTL.Milliseconds() || *g.TTL > maxTTL.Milliseconds() {
		return errorDecision(http.StatusBadRequest, "ttlMs: must be from %d to %d", minTTL.Milliseconds(), maxTTL.Milliseconds())
	}
	return m.queue(&request{ttl: time.Duration(*g.TTL) * time.Millisecond})
}

func (m *admission) leaseAction(method, rest string) decision {
	num, verb, hasVerb := strings.Cut(rest, "/")
	id, err := strconv.ParseUint(num, 10, 64)
	switch {
	case err != nil:
		return errorDecision(http.StatusBadRequest, "the grant's number is malformed")
	case hasVerb && verb != protocol.PathKeepAlive:
		return errorDecision(http.StatusNotFound, "no such path")
	case hasVerb && method != "POST", !hasVerb && method != "DELETE":
		return errorDecision(http.StatusMethodNotAllowed, "method not allowed")
	}
	g := m.leases[id]
	if g == nil || g.expired || m.now >= g.until {
		return errorDecision(http.StatusNotFound, "no such lease")
	}
	if hasVerb {
		g.until = m.now + g.ttl
		return decision{status: http.StatusOK, body: []byte("{}")}
	}
	v := m.queue(&request{expiredLeases: id})
	g.expired = v.request != nil
	return v
}
