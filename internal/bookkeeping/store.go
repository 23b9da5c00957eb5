// Package bookkeeping keeps silvergate's records in the state service: a watch
// that mirrors them, conditional transactions, and the share of the service's
// rates that this controller may use.
package bookkeeping

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"silvergate/internal/budget"
	"silvergate/internal/config"
	"silvergate/internal/protocol"
)

// Root is the prefix of every key that is mirrored.
const Root = "sg/"

// Aside is the prefix of keys that no controller mirrors: what is read one by
// one and seldom costs nothing at a start, and nothing with each change.
const Aside = "sgx/"

// Outcome is what came of a transaction.
type Outcome int

// Outcomes. Unknown means that it may have been, or may yet be, executed.
const (
	OK Outcome = iota
	Conflict
	Refused // not executed
	NoLease
	Unknown
)

// Store talks to the state service. It does no I/O: it hands out calls and
// takes replies, and the time comes with them.
type Store struct {
	Send  func(protocol.Call, func(protocol.Reply))
	Apply func(key string, data json.RawMessage, stamp uint64) // data is nil for a dropped key

	now       time.Duration
	budget    *budget.Budget
	queue     [budget.Classes][]*request
	wanted    [budget.Classes]float64 // changes of a transaction that is not built before it can be sent
	inflight  int
	pauseTill time.Duration

	stamps   map[string]uint64
	graves   map[string]uint64 // keys dropped by us, ahead of the watch
	loading  bool
	watching bool
	loaded   bool
	whole    bool
	seen     map[string]bool
	from     string
	start    uint64
	ledger   uint64
	nextOpen time.Duration
	spacing  time.Duration
	block    time.Duration
	fresh    time.Duration
	contact  time.Duration
}

type request struct {
	class    budget.Class
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

// NewStore makes a store that keeps to an equal share of the service's rates.
func NewStore(f *config.Facts, controllers int) *Store {
	n := float64(max(1, controllers))
	s := &Store{stamps: map[string]uint64{}, graves: map[string]uint64{}}
	s.budget = budget.New(budget.Rates{Requests: f.State.RPS, Changes: f.State.WriteRPS, Controllers: controllers, Txn: f.State.TxnOps})
	// Re-opening the watch may take a quarter of the request budget.
	s.spacing = time.Duration(4 * n / f.State.RPS * float64(time.Second))
	s.block = time.Second
	return s
}

// Ready tells whether the records have been read.
func (s *Store) Ready() bool { return s.loaded }

// Reading tells whether the records are being read anew: what comes may then skip
// changes, as a key is seen as it is and not as it became so.
func (s *Store) Reading() bool { return s.seen != nil }

// Whole tells whether the mirror is one that the state service once had, if for writes of ours that are ahead of it. It
// is not while the records are read by pages, and until the watch has brought what changed meanwhile: a later
// page may show what came of a change that an earlier one was read before.
func (s *Store) Whole() bool { return s.whole }

// Ledger is the revision up to which the mirror is complete.
func (s *Store) Ledger() uint64 { return s.ledger }

// Fresh is the time at which the mirror was last known to be complete.
func (s *Store) Fresh() time.Duration { return s.fresh }

// Stamp is the mirrored version of a key, 0 if it does not exist.
func (s *Store) Stamp(key string) uint64 { return s.stamps[key] }

// Backlog is the number of requests that wait for the budget.
func (s *Store) Backlog() int {
	n := 0
	for _, q := range s.queue {
		n += len(q)
	}
	return n
}

// Clears is about how long what waits for the budget will take.
func (s *Store) Clears() time.Duration {
	requests, changes := 0.0, 0.0
	for _, q := range s.queue {
		for _, r := range q {
			requests, changes = requests+1, changes+r.writes
		}
	}
	return s.budget.Clears(requests, changes)
}

// Waits tells whether something is to be sent when time has passed, and not
// when an answer comes: a queued request, or the next watch.
func (s *Store) Waits() bool { return s.Backlog() > 0 || !s.loading && !s.watching }

func (s *Store) put(r *request) {
	s.queue[r.class] = append(s.queue[r.class], r)
	s.tell(r.class)
}

// patience is how long a transaction of a class may wait for the budget.
func patience(c budget.Class) time.Duration {
	if c == budget.Claims || c == budget.Holders || c == budget.Spare {
		return claimTimeout
	}
	return queueTimeout
}

// Txn sends a transaction. After OK the mirror holds its changes.
func (s *Store) Txn(class budget.Class, conds []protocol.Compare, ops []protocol.Op, done func(Outcome, []string, uint64)) {
	body := protocol.Encode(protocol.Txn{Compares: conds, Ops: ops})
	s.put(&request{class: class, method: http.MethodPost, path: protocol.PathTxn, body: body,
		writes: float64(len(ops)), deadline: s.now + patience(class), done: func(r protocol.Reply) {
			var t protocol.TxnResult
			switch r.Status {
			case http.StatusOK:
				if protocol.DecodeState(r.Body, &t) != nil {
					done(Unknown, nil, 0)
					return
				}
				for _, o := range ops {
					if o.Put != "" {
						s.local(o.Put, o.Value, t.Revision)
					} else {
						s.local(o.Delete, nil, t.Revision)
					}
				}
				done(OK, nil, t.Revision)
			case http.StatusConflict:
				_ = protocol.DecodeState(r.Body, &t)
				done(Conflict, t.Failed, t.Revision)
			case http.StatusBadRequest:
				done(NoLease, nil, 0)
			case 0:
				if r.Sent {
					done(Unknown, nil, 0)
				} else {
					done(Refused, nil, 0)
				}
			default:
				done(Refused, nil, 0)
			}
		}})
}

// Get reads one key afresh into the mirror; ok is false when that failed.
func (s *Store) Get(class budget.Class, key string, done func(ok bool)) {
	s.put(&request{class: class, method: http.MethodGet, path: protocol.PathKeys + "/" + key,
		deadline: s.now + queueTimeout, done: func(r protocol.Reply) {
			var e protocol.KeyValue
			if (r.Status != http.StatusOK && r.Status != http.StatusNotFound) || protocol.DecodeState(r.Body, &e) != nil {
				done(false)
				return
			}
			if r.Status == http.StatusOK {
				s.local(key, e.Value, e.ModRevision)
			}
			done(true)
		}})
}

// Read reads a key that is not mirrored: one outside Root. ok is false when
// that failed; data is nil when the key does not exist.
func (s *Store) Read(class budget.Class, key string, done func(data json.RawMessage, ok bool)) {
	s.put(&request{class: class, method: http.MethodGet, path: protocol.PathKeys + "/" + key,
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

// Grant asks for a lease, Touch renews one.
func (s *Store) Grant(ttl time.Duration, done func(permit uint64)) {
	body := protocol.Encode(protocol.LeaseRequest{TTLMs: ttl.Milliseconds()})
	s.put(&request{class: budget.Rules, method: http.MethodPost, path: protocol.PathLeases, body: body,
		deadline: s.now + queueTimeout, done: func(r protocol.Reply) {
			var g protocol.LeaseResponse
			if r.Status == http.StatusOK {
				_ = protocol.DecodeState(r.Body, &g)
			}
			done(g.Lease)
		}})
}

// Touch renews a lease. gone is true when it has ended.
func (s *Store) Touch(permit uint64, done func(ok, gone bool)) {
	s.put(&request{class: budget.Rules, method: http.MethodPost,
		path:     protocol.PathLeases + "/" + strconv.FormatUint(permit, 10) + "/" + protocol.PathKeepAlive,
		deadline: s.now + queueTimeout, done: func(r protocol.Reply) {
			done(r.Status == http.StatusOK, r.Status == http.StatusNotFound)
		}})
}

// Advance lets time pass: the budget fills up.
func (s *Store) Advance(now time.Duration) {
	s.now = now
	s.budget.Advance(now)
}

// Hungry tells whether something has waited for the budget of late, and Peers
// takes how many other controllers have said so or have not been heard.
func (s *Store) Hungry() bool { return s.budget.Hungry() }

// Peers is the other direction of Hungry.
func (s *Store) Peers(hungry, idle int) { s.budget.Peers(hungry, idle) }

// CanSend tells whether a transaction of this class with so many changes would
// be sent at once. Whoever asks first builds it from the latest mirror, and
// what comes up until then can go with it. What is refused is saved for, until
// Forgo.
func (s *Store) CanSend(class budget.Class, changes int) bool {
	s.wanted[class] = 0
	s.tell(class)
	if s.Could(class, changes) {
		return true
	}
	s.wanted[class] = float64(changes)
	s.tell(class)
	return false
}

// Could is CanSend without saving for what is refused.
func (s *Store) Could(class budget.Class, changes int) bool {
	return s.now >= s.pauseTill && s.inflight < maxInflight && len(s.queue[class]) == 0 && s.budget.Can(class, float64(changes))
}

// Forgo tells that nothing of what CanSend refused is wanted any more.
func (s *Store) Forgo() {
	for c := range s.wanted {
		if s.wanted[c] > 0 {
			s.wanted[c] = 0
			s.tell(budget.Class(c))
		}
	}
}

// tell keeps the budget's knowledge of what waits.
func (s *Store) tell(c budget.Class) {
	if q := s.queue[c]; len(q) > 0 {
		s.budget.Waits(c, true, q[0].writes)
	} else {
		s.budget.Waits(c, s.wanted[c] > 0, s.wanted[c])
	}
}

// Late is the age from which the mirror has certainly missed a watch: each
// stays open for block, and the next one is opened at once.
func (s *Store) Late() time.Duration { return 5 * s.block / 2 }

// Spacing is the least time between two openings of the watch.
func (s *Store) Spacing() time.Duration { return s.spacing }

// Ample tells whether the budget of requests is at least half full.
func (s *Store) Ample() bool { return s.budget.Ample() }

// Tick sends what the budget allows.
func (s *Store) Tick(now time.Duration) {
	s.Advance(now)
	s.follow()
	s.expire()
	for now >= s.pauseTill && s.inflight < maxInflight {
		c := s.budget.Next()
		if c < 0 || len(s.queue[c]) == 0 {
			return // the turn of what CanSend refused
		}
		r := s.queue[c][0]
		if s.queue[c] = s.queue[c][1:]; len(s.queue[c]) == 0 {
			s.queue[c] = nil
		}
		s.budget.Spend(c, r.writes)
		s.tell(c)
		s.dispatch(r)
	}
}

// expire gives up on what has waited too long for the budget.
func (s *Store) expire() {
	var late []*request
	for c, q := range s.queue {
		for len(q) > 0 && s.now > q[0].deadline {
			late = append(late, q[0])
			q = q[1:]
		}
		if len(q) < len(s.queue[c]) {
			s.queue[c] = q
			s.tell(budget.Class(c))
		}
	}
	for _, r := range late {
		r.done(protocol.Reply{})
	}
}

func (s *Store) dispatch(r *request) {
	s.inflight++
	s.Send(protocol.Call{Target: protocol.ToStateService, Method: r.method, Path: r.path, Body: r.body, Timeout: callTimeout}, func(rep protocol.Reply) {
		s.inflight--
		s.note(rep)
		if rep.Status == http.StatusTooManyRequests {
			s.budget.Refused()
		}
		if (rep.Status == http.StatusTooManyRequests || rep.Status == http.StatusServiceUnavailable) && s.now < r.deadline {
			// Not executed: it may be tried again within its time.
			s.pauseTill = s.now + queueTimeout/20
			s.queue[r.class] = append([]*request{r}, s.queue[r.class]...)
			s.tell(r.class)
			return
		}
		r.done(rep)
	})
}

func (s *Store) note(rep protocol.Reply) {
	if rep.Status != 0 && rep.Status != http.StatusServiceUnavailable && rep.Status != http.StatusTooManyRequests {
		s.contact = s.now
	}
}

// Contact is the time of the last real answer.
func (s *Store) Contact() time.Duration { return s.contact }

// follow keeps the mirror: reads all keys page by page, then watches.
func (s *Store) follow() {
	if s.loading || s.watching || s.now < s.nextOpen || !s.budget.Read() {
		return
	}
	sent := s.now
	if s.seen == nil && !s.loaded {
		s.seen, s.from, s.start = map[string]bool{}, "", 0
	}
	if s.seen != nil {
		s.loading = true
		s.Send(protocol.Call{Target: protocol.ToStateService, Method: http.MethodGet, Timeout: 2 * callTimeout,
			Path: protocol.PathKeys + "?under=" + Root + "&from=" + url.QueryEscape(s.from) + "&page=1000"}, func(r protocol.Reply) {
			s.loading = false
			s.note(r)
			var p protocol.KeyValuePage
			if r.Status != http.StatusOK || protocol.DecodeState(r.Body, &p) != nil {
				s.nextOpen = s.now + callTimeout/5
				return
			}
			if s.start == 0 {
				s.start = p.Revision
			}
			for _, e := range p.KeyValues {
				s.seen[e.Key] = true
				s.from = e.Key
				s.local(e.Key, e.Value, e.ModRevision)
			}
			if p.Truncated && len(p.KeyValues) > 0 {
				return
			}
			for k, v := range s.stamps {
				if !s.seen[k] && v <= s.start {
					s.local(k, nil, s.start)
				}
			}
			s.ledger, s.loaded, s.seen = max(s.ledger, s.start), true, nil
		})
		return
	}
	s.watching = true
	s.Send(protocol.Call{Target: protocol.ToStateService, Method: http.MethodGet, Timeout: s.block + 2*callTimeout,
		Path: protocol.PathWatch + "?under=" + Root + "&from=" + strconv.FormatUint(s.ledger, 10) +
			"&blockMs=" + strconv.FormatInt(s.block.Milliseconds(), 10)}, func(r protocol.Reply) {
		s.watching = false
		s.note(r)
		s.nextOpen = sent + s.spacing
		switch r.Status {
		case http.StatusOK:
			var w protocol.WatchResult
			if protocol.DecodeState(r.Body, &w) != nil {
				return
			}
			for _, n := range w.Events {
				if n.Put != "" {
					s.local(n.Put, n.Value, n.ModRevision)
				} else {
					s.local(n.Delete, nil, n.ModRevision)
				}
			}
			s.ledger = max(s.ledger, w.Revision)
			s.fresh, s.whole = sent, true
			for k, v := range s.graves {
				if v <= s.ledger {
					delete(s.graves, k)
				}
			}
		case http.StatusGone:
			s.whole = false
			s.seen, s.from, s.start = map[string]bool{}, "", 0
		default:
			s.nextOpen = s.now + callTimeout/5
		}
	})
}

// local brings one change into the mirror, unless a newer one is there.
func (s *Store) local(key string, data json.RawMessage, stamp uint64) {
	if old, ok := s.stamps[key]; ok && old >= stamp {
		return
	}
	if s.graves[key] >= stamp {
		return
	}
	if data == nil {
		if stamp > s.ledger {
			s.graves[key] = stamp
		}
		if _, ok := s.stamps[key]; !ok {
			return
		}
		delete(s.stamps, key)
		s.Apply(key, nil, stamp)
		return
	}
	s.stamps[key] = stamp
	s.Apply(key, data, stamp)
}
