// Package stateclient keeps silvergate's records in the state service: a watch
// that mirrors them, conditional transactions, and the share of the service's
// rates that this controller may use.
package stateclient

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/protocol"
	"silvergate/internal/ratelimit"
)

// MirroredPrefix is the prefix of every key that is mirrored.
const MirroredPrefix = "sg/"

// UnmirroredPrefix is the prefix of keys that no controller mirrors: what is read one by
// one and seldom costs nothing at a start, and nothing with each change.
const UnmirroredPrefix = "sgx/"

// TxnOutcome is what came of a transaction.
type TxnOutcome int

// Outcomes. Unknown means that it may have been, or may yet be, executed.
const (
	Committed TxnOutcome = iota
	Conflict
	NotExecuted // not executed
	LeaseExpired
	Unknown
)

// Client talks to the state service. It does no I/O: it hands out calls and
// takes replies, and the time comes with them.
type Client struct {
	Send  func(protocol.Call, func(protocol.Reply))
	Apply func(key string, data json.RawMessage, revision uint64) // data is nil for a dropped key

	now         time.Duration
	limiter     *ratelimit.Limiter
	queue       [ratelimit.NumClasses][]*request
	reserved    [ratelimit.NumClasses]float64 // changes of a transaction that is not built before it can be sent
	inflight    int
	pausedUntil time.Duration

	revisions       map[string]uint64
	tombstones      map[string]uint64 // keys dropped by us, ahead of the watch
	loading         bool
	watching        bool
	loaded          bool
	consistent      bool
	seenKeys        map[string]bool
	nextKey         string
	scanRevision    uint64
	appliedRevision uint64
	nextSyncAt      time.Duration
	watchSpacing    time.Duration
	watchTimeout    time.Duration
	freshAt         time.Duration
	contactAt       time.Duration
}

type request struct {
	class    ratelimit.Class
	method   string
	path     string
	body     []byte
	writes   float64
	deadline time.Duration
	done     func(protocol.Reply)
}

const (
	callTimeout  = 1500 * time.Millisecond
	queueTimeout = 2 * time.Second
	// claimTimeout is for claims: a worker waits 4 s for its answer, and one that is refused
	// tries the next controller, which may not be in its reach and cost it 5 s each.
	claimTimeout = 3 * time.Second
	maxInflight  = 24
)

// New makes a store that keeps to an equal share of the service's rates.
func New(f *config.Facts, controllers int) *Client {
	n := float64(max(1, controllers))
	s := &Client{revisions: map[string]uint64{}, tombstones: map[string]uint64{}}
	s.limiter = ratelimit.New(ratelimit.Rates{Requests: f.State.RPS, Changes: f.State.WriteRPS, Controllers: controllers, TxnChanges: f.State.TxnOps})
	// Re-opening the watch may take a quarter of the request budget.
	s.watchSpacing = time.Duration(4 * n / f.State.RPS * float64(time.Second))
	s.watchTimeout = time.Second
	return s
}

// Loaded tells whether the records have been read.
func (s *Client) Loaded() bool { return s.loaded }

// Rescanning tells whether the records are being read anew: what comes may then skip
// changes, as a key is seen as it is and not as it became so.
func (s *Client) Rescanning() bool { return s.seenKeys != nil }

// Consistent tells whether the mirror is one that the state service once had, if for writes of ours that are ahead of it. It
// is not while the records are read by pages, and until the watch has brought what changed meanwhile: a later
// page may show what came of a change that an earlier one was read before.
func (s *Client) Consistent() bool { return s.consistent }

// AppliedRevision is the revision up to which the mirror is complete.
func (s *Client) AppliedRevision() uint64 { return s.appliedRevision }

// FreshAt is the time at which the mirror was last known to be complete.
func (s *Client) FreshAt() time.Duration { return s.freshAt }

// ModRevision is the mirrored version of a key, 0 if it does not exist.
func (s *Client) ModRevision(key string) uint64 { return s.revisions[key] }

// Backlog is the number of requests that wait for the budget.
func (s *Client) Backlog() int {
	n := 0
	for _, q := range s.queue {
		n += len(q)
	}
	return n
}

// QueueDelay is about how long what waits for the budget will take.
func (s *Client) QueueDelay() time.Duration {
	requests, changes := 0.0, 0.0
	for _, q := range s.queue {
		for _, r := range q {
			requests, changes = requests+1, changes+r.writes
		}
	}
	return s.limiter.QueueDelay(requests, changes)
}

// NeedsTick tells whether something is to be sent when time has passed, and not
// when an answer comes: a queued request, or the next watch.
func (s *Client) NeedsTick() bool { return s.Backlog() > 0 || !s.loading && !s.watching }

func (s *Client) enqueue(r *request) {
	s.queue[r.class] = append(s.queue[r.class], r)
	s.updateDemand(r.class)
}

// queueTimeoutOf is how long a transaction of a class may wait for the budget.
func queueTimeoutOf(c ratelimit.Class) time.Duration {
	if c == ratelimit.UrgentClaims || c == ratelimit.BusyClaims || c == ratelimit.IdleClaims {
		return claimTimeout
	}
	return queueTimeout
}

// Txn sends a transaction. After Committed the mirror holds its changes.
func (s *Client) Txn(class ratelimit.Class, compares []protocol.Compare, ops []protocol.Op, done func(TxnOutcome, []string, uint64)) {
	body := protocol.Encode(protocol.Txn{Compares: compares, Ops: ops})
	s.enqueue(&request{class: class, method: http.MethodPost, path: protocol.PathTxn, body: body,
		writes: float64(len(ops)), deadline: s.now + queueTimeoutOf(class), done: func(r protocol.Reply) {
			var t protocol.TxnResult
			switch r.Status {
			case http.StatusOK:
				if protocol.DecodeState(r.Body, &t) != nil {
					done(Unknown, nil, 0)
					return
				}
				for _, o := range ops {
					if o.Put != "" {
						s.applyChange(o.Put, o.Value, t.Revision)
					} else {
						s.applyChange(o.Delete, nil, t.Revision)
					}
				}
				done(Committed, nil, t.Revision)
			case http.StatusConflict:
				_ = protocol.DecodeState(r.Body, &t)
				done(Conflict, t.Failed, t.Revision)
			case http.StatusBadRequest:
				done(LeaseExpired, nil, 0)
			case 0:
				if r.Sent {
					done(Unknown, nil, 0)
				} else {
					done(NotExecuted, nil, 0)
				}
			default:
				done(NotExecuted, nil, 0)
			}
		}})
}

// Refresh reads one key afresh into the mirror; ok is false when that failed.
func (s *Client) Refresh(class ratelimit.Class, key string, done func(ok bool)) {
	s.enqueue(&request{class: class, method: http.MethodGet, path: protocol.PathKeys + "/" + key,
		deadline: s.now + queueTimeout, done: func(r protocol.Reply) {
			var e protocol.KeyValue
			if (r.Status != http.StatusOK && r.Status != http.StatusNotFound) || protocol.DecodeState(r.Body, &e) != nil {
				done(false)
				return
			}
			if r.Status == http.StatusOK {
				s.applyChange(key, e.Value, e.ModRevision)
			}
			done(true)
		}})
}

// ReadUnmirrored reads a key that is not mirrored: one outside Root. ok is false when
// that failed; data is nil when the key does not exist.
func (s *Client) ReadUnmirrored(class ratelimit.Class, key string, done func(data json.RawMessage, ok bool)) {
	s.enqueue(&request{class: class, method: http.MethodGet, path: protocol.PathKeys + "/" + key,
		deadline: s.now + queueTimeout, done: func(r protocol.Reply) {
			var e protocol.KeyValue
			switch {
			case r.Status == http.StatusNotFound:
				done(nil, true)
			case r.Status != http.StatusOK || protocol.DecodeState(r.Body, &e) != nil:
				done(nil, false)
			default:
				done(e.Value, true)
			}
		}})
}

// GrantLease asks for a lease, Touch renews one.
func (s *Client) GrantLease(ttl time.Duration, done func(lease uint64)) {
	body := protocol.Encode(protocol.LeaseRequest{TTLMs: ttl.Milliseconds()})
	s.enqueue(&request{class: ratelimit.Safety, method: http.MethodPost, path: protocol.PathLeases, body: body,
		deadline: s.now + queueTimeout, done: func(r protocol.Reply) {
			var g protocol.LeaseResponse
			if r.Status == http.StatusOK {
				_ = protocol.DecodeState(r.Body, &g)
			}
			done(g.Lease)
		}})
}

// KeepAlive renews a lease. gone is true when it has ended.
func (s *Client) KeepAlive(lease uint64, done func(ok, expired bool)) {
	s.enqueue(&request{class: ratelimit.Safety, method: http.MethodPost,
		path:     protocol.PathLeases + "/" + strconv.FormatUint(lease, 10) + "/" + protocol.PathKeepAlive,
		deadline: s.now + queueTimeout, done: func(r protocol.Reply) {
			done(r.Status == http.StatusOK, r.Status == http.StatusNotFound)
		}})
}

// Advance lets time pass: the budget fills up.
func (s *Client) Advance(now time.Duration) {
	s.now = now
	s.limiter.Advance(now)
}

// Throttled tells whether something has waited for the budget of late, and Peers
// takes how many other controllers have said so or have not been heard.
func (s *Client) Throttled() bool { return s.limiter.Throttled() }

// SetPeerDemand is the other direction of Hungry.
func (s *Client) SetPeerDemand(hungry, idle int) { s.limiter.SetPeerDemand(hungry, idle) }

// Reserve tells whether a transaction of this class with so many changes would
// be sent at once. Whoever asks first builds it from the latest mirror, and
// what comes up until then can go with it. What is refused is saved for, until
// Forgo.
func (s *Client) Reserve(class ratelimit.Class, changes int) bool {
	s.reserved[class] = 0
	s.updateDemand(class)
	if s.CanSend(class, changes) {
		return true
	}
	s.reserved[class] = float64(changes)
	s.updateDemand(class)
	return false
}

// CanSend is Reserve without saving for what is refused.
func (s *Client) CanSend(class ratelimit.Class, changes int) bool {
	return s.now >= s.pausedUntil && s.inflight < maxInflight && len(s.queue[class]) == 0 && s.limiter.CanSpend(class, float64(changes))
}

// ReleaseReservations tells that nothing of what Reserve refused is wanted any more.
func (s *Client) ReleaseReservations() {
	for c := range s.reserved {
		if s.reserved[c] > 0 {
			s.reserved[c] = 0
			s.updateDemand(ratelimit.Class(c))
		}
	}
}

// updateDemand keeps the budget's knowledge of what waits.
func (s *Client) updateDemand(c ratelimit.Class) {
	if q := s.queue[c]; len(q) > 0 {
		s.limiter.SetDemand(c, true, q[0].writes)
	} else {
		s.limiter.SetDemand(c, s.reserved[c] > 0, s.reserved[c])
	}
}

// StaleAfter is the age from which the mirror has certainly missed a watch: each
// stays open for block, and the next one is opened at once.
func (s *Client) StaleAfter() time.Duration { return 5 * s.watchTimeout / 2 }

// WatchSpacing is the least time between two openings of the watch.
func (s *Client) WatchSpacing() time.Duration { return s.watchSpacing }

// HasSpareRequests tells whether the budget of requests is at least half full.
func (s *Client) HasSpareRequests() bool { return s.limiter.HasSpareRequests() }

// Tick sends what the budget allows.
func (s *Client) Tick(now time.Duration) {
	s.Advance(now)
	s.sync()
	s.expireQueued()
	for now >= s.pausedUntil && s.inflight < maxInflight {
		c := s.limiter.Next()
		if c < 0 || len(s.queue[c]) == 0 {
			return // the turn of what Reserve refused
		}
		r := s.queue[c][0]
		if s.queue[c] = s.queue[c][1:]; len(s.queue[c]) == 0 {
			s.queue[c] = nil
		}
		s.limiter.Spend(c, r.writes)
		s.updateDemand(c)
		s.dispatch(r)
	}
}

// expireQueued gives up on what has waited too long for the budget.
func (s *Client) expireQueued() {
	var late []*request
	for c, q := range s.queue {
		for len(q) > 0 && s.now > q[0].deadline {
			late = append(late, q[0])
			q = q[1:]
		}
		if len(q) < len(s.queue[c]) {
			s.queue[c] = q
			s.updateDemand(ratelimit.Class(c))
		}
	}
	for _, r := range late {
		r.done(protocol.Reply{})
	}
}

func (s *Client) dispatch(r *request) {
	s.inflight++
	s.Send(protocol.Call{Target: protocol.ToStateService, Method: r.method, Path: r.path, Body: r.body, Timeout: callTimeout}, func(rep protocol.Reply) {
		s.inflight--
		s.noteContact(rep)
		if rep.Status == http.StatusTooManyRequests {
			s.limiter.Refused()
		}
		if (rep.Status == http.StatusTooManyRequests || rep.Status == http.StatusServiceUnavailable) && s.now < r.deadline {
			// Not executed: it may be tried again within its time.
			s.pausedUntil = s.now + queueTimeout/20
			s.queue[r.class] = append([]*request{r}, s.queue[r.class]...)
			s.updateDemand(r.class)
			return
		}
		r.done(rep)
	})
}

func (s *Client) noteContact(rep protocol.Reply) {
	if rep.Status != 0 && rep.Status != http.StatusServiceUnavailable && rep.Status != http.StatusTooManyRequests {
		s.contactAt = s.now
	}
}

// ContactAt is the time of the last real answer.
func (s *Client) ContactAt() time.Duration { return s.contactAt }

// sync keeps the mirror: reads all keys page by page, then watches.
func (s *Client) sync() {
	if s.loading || s.watching || s.now < s.nextSyncAt || !s.limiter.SpendRead() {
		return
	}
	sent := s.now
	if s.seenKeys == nil && !s.loaded {
		s.seenKeys, s.nextKey, s.scanRevision = map[string]bool{}, "", 0
	}
	if s.seenKeys != nil {
		s.loading = true
		s.Send(protocol.Call{Target: protocol.ToStateService, Method: http.MethodGet, Timeout: 2 * callTimeout,
			Path: protocol.PathKeys + "?under=" + MirroredPrefix + "&from=" + url.QueryEscape(s.nextKey) + "&page=1000"}, func(r protocol.Reply) {
			s.loading = false
			s.noteContact(r)
			var p protocol.KeyValuePage
			if r.Status != http.StatusOK || protocol.DecodeState(r.Body, &p) != nil {
				s.nextSyncAt = s.now + callTimeout/5
				return
			}
			if s.scanRevision == 0 {
				s.scanRevision = p.Revision
			}
			for _, e := range p.KeyValues {
				s.seenKeys[e.Key] = true
				s.nextKey = e.Key
				s.applyChange(e.Key, e.Value, e.ModRevision)
			}
			if p.Truncated && len(p.KeyValues) > 0 {
				return
			}
			for k, v := range s.revisions {
				if !s.seenKeys[k] && v <= s.scanRevision {
					s.applyChange(k, nil, s.scanRevision)
				}
			}
			s.appliedRevision, s.loaded, s.seenKeys = max(s.appliedRevision, s.scanRevision), true, nil
		})
		return
	}
	s.watching = true
	s.Send(protocol.Call{Target: protocol.ToStateService, Method: http.MethodGet, Timeout: s.watchTimeout + 2*callTimeout,
		Path: protocol.PathWatch + "?under=" + MirroredPrefix + "&from=" + strconv.FormatUint(s.appliedRevision, 10) +
			"&blockMs=" + strconv.FormatInt(s.watchTimeout.Milliseconds(), 10)}, func(r protocol.Reply) {
		s.watching = false
		s.noteContact(r)
		s.nextSyncAt = sent + s.watchSpacing
		switch r.Status {
		case http.StatusOK:
			var w protocol.WatchResult
			if protocol.DecodeState(r.Body, &w) != nil {
				return
			}
			for _, n := range w.Events {
				if n.Put != "" {
					s.applyChange(n.Put, n.Value, n.ModRevision)
				} else {
					s.applyChange(n.Delete, nil, n.ModRevision)
				}
			}
			s.appliedRevision = max(s.appliedRevision, w.Revision)
			s.freshAt, s.consistent = sent, true
			for k, v := range s.tombstones {
				if v <= s.appliedRevision {
					delete(s.tombstones, k)
				}
			}
		case http.StatusGone:
			s.consistent = false
			s.seenKeys, s.nextKey, s.scanRevision = map[string]bool{}, "", 0
		default:
			s.nextSyncAt = s.now + callTimeout/5
		}
	})
}

// applyChange brings one change into the mirror, unless a newer one is there.
func (s *Client) applyChange(key string, data json.RawMessage, revision uint64) {
	if old, ok := s.revisions[key]; ok && old >= revision {
		return
	}
	if s.tombstones[key] >= revision {
		return
	}
	if data == nil {
		if revision > s.appliedRevision {
			s.tombstones[key] = revision
		}
		if _, ok := s.revisions[key]; !ok {
			return
		}
		delete(s.revisions, key)
		s.Apply(key, nil, revision)
		return
	}
	s.revisions[key] = revision
	s.Apply(key, data, revision)
}
