//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StateService is a stand-in for the state service: keys, transactions, grants and watches
// as PROTOCOL describes them, in memory, with its limits.
type StateService struct {
	mu       sync.Mutex
	keys     map[string]*stateKey
	sorted   []string // the keys in order; nil when it has to be made anew
	ledger   uint64
	events   []stateEvent // the last 10,000 changes
	dropped  uint64       // ledger of the newest change that is no longer kept
	grants   map[uint64]*stateGrant
	lastID   uint64
	changed  chan struct{}
	requests bucket
	writes   bucket
	txnOps   int
	valueMax int
	Down     bool
	Addr     string
	Count    map[int]int // answers by status
}

type stateKey struct {
	data   json.RawMessage
	stamp  uint64
	permit uint64
}

type stateEvent struct {
	Write string          `json:"write,omitempty"`
	Drop  string          `json:"drop,omitempty"`
	Data  json.RawMessage `json:"data,omitempty"`
	Stamp uint64          `json:"stamp"`
}

type stateGrant struct {
	ttl time.Duration
	end time.Time
}

// bucket is a rate limit that allows bursts of some seconds' worth.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func newBucket(rate, seconds float64) bucket {
	return bucket{rate: rate, burst: rate * seconds, tokens: rate * seconds, at: time.Now()}
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func startState(f *facts) *StateService {
	s := &StateService{
		keys: map[string]*stateKey{}, grants: map[uint64]*stateGrant{}, changed: make(chan struct{}), Count: map[int]int{},
		requests: newBucket(f.State.RPS, 1), writes: newBucket(f.State.WriteRPS, 1), txnOps: f.State.TxnOps, valueMax: int(f.State.ValueKB * 1024),
	}
	if n, err := strconv.ParseUint(os.Getenv("LEDGER"), 10, 64); err == nil {
		s.ledger, s.lastID = n, n
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	s.Addr = l.Addr().String()
	go http.Serve(l, s)
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *StateService) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, g := range s.grants {
		if time.Now().After(g.end) {
			s.endGrant(id)
		}
	}
}

func (s *StateService) endGrant(id uint64) {
	delete(s.grants, id)
	var gone []string
	for k, v := range s.keys {
		if v.permit == id {
			gone = append(gone, k)
		}
	}
	sort.Strings(gone)
	if len(gone) == 0 {
		return
	}
	s.ledger++
	for _, k := range gone {
		s.drop(k)
	}
	s.wake()
}

func (s *StateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *StateService) event(e stateEvent) {
	s.events = append(s.events, e)
	if n := len(s.events) - 10000; n > 0 {
		s.dropped = s.events[n-1].Stamp
		s.events = append([]stateEvent(nil), s.events[n:]...)
	}
}

func (s *StateService) write(k string, data json.RawMessage, permit uint64) {
	if s.keys[k] == nil {
		s.sorted = nil
	}
	s.keys[k] = &stateKey{data, s.ledger, permit}
	s.event(stateEvent{Write: k, Data: data, Stamp: s.ledger})
}

func (s *StateService) drop(k string) {
	if s.keys[k] == nil {
		return
	}
	delete(s.keys, k)
	s.sorted = nil
	s.event(stateEvent{Drop: k, Stamp: s.ledger})
}

// Insert adds records as transactions would have done earlier, a few of them in each.
func (s *StateService) Insert(records map[string]json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(records))
	for k := range records {
		names = append(names, k)
	}
	sort.Strings(names)
	s.sorted = nil
	for i, k := range names {
		if i%4 == 0 {
			s.ledger++
		}
		s.keys[k] = &stateKey{records[k], s.ledger, 0}
	}
	s.events, s.dropped = nil, s.ledger
	s.wake()
}

// Under returns a copy of the values of all keys with a prefix.
func (s *StateService) Under(prefix string) map[string]json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]json.RawMessage{}
	for k, v := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out[k] = v.data
		}
	}
	return out
}

func (s *StateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 65<<10))
	s.mu.Lock()
	if s.Down || !s.requests.take(1) {
		status := http.StatusTooManyRequests
		if s.Down {
			status = http.StatusServiceUnavailable
		}
		s.Count[status]++
		s.mu.Unlock()
		answer(w, status, map[string]any{"error": "trouble"})
		return
	}
	status, v := 0, any(nil)
	switch {
	case len(body) > 64<<10:
		status, v = 400, map[string]any{"error": "too large"}
	case r.URL.Path == "/keys":
		status, v = s.list(r)
	case strings.HasPrefix(r.URL.Path, "/keys/"):
		status, v = s.get(strings.TrimPrefix(r.URL.Path, "/keys/"))
	case r.URL.Path == "/txn" && r.Method == "POST":
		status, v = s.txn(body)
	case r.URL.Path == "/grants" && r.Method == "POST":
		var g struct{ TTLMs int64 }
		if json.Unmarshal(body, &g) != nil || g.TTLMs < 100 || g.TTLMs > 600000 {
			status, v = 400, map[string]any{"error": "ttlMs"}
			break
		}
		s.lastID++
		ttl := time.Duration(g.TTLMs) * time.Millisecond
		s.grants[s.lastID] = &stateGrant{ttl, time.Now().Add(ttl)}
		status, v = 200, map[string]any{"permit": s.lastID}
	case strings.HasPrefix(r.URL.Path, "/grants/"):
		status, v = s.grant(r)
	case r.URL.Path == "/watch":
		s.watch(w, r) // unlocks
		return
	default:
		status, v = 400, map[string]any{"error": "no such path"}
	}
	s.Count[status]++
	s.mu.Unlock()
	answer(w, status, v)
}

func (s *StateService) get(k string) (int, any) {
	v := s.keys[k]
	if v == nil {
		return 404, map[string]any{"ledger": s.ledger}
	}
	return 200, map[string]any{"key": k, "data": v.data, "stamp": v.stamp, "permit": v.permit}
}

func (s *StateService) list(r *http.Request) (int, any) {
	q := r.URL.Query()
	under, from := q.Get("under"), q.Get("from")
	page, _ := strconv.Atoi(q.Get("page"))
	if page <= 0 || page > 1000 {
		page = 1000
	}
	if s.sorted == nil {
		for k := range s.keys {
			s.sorted = append(s.sorted, k)
		}
		sort.Strings(s.sorted)
	}
	type entry struct {
		Key   string          `json:"key"`
		Data  json.RawMessage `json:"data"`
		Stamp uint64          `json:"stamp"`
	}
	entries, size, truncated := []entry{}, 0, false
	for i := sort.SearchStrings(s.sorted, max(under, from)); i < len(s.sorted); i++ {
		k := s.sorted[i]
		if k <= from {
			continue
		}
		if !strings.HasPrefix(k, under) {
			break
		}
		v := s.keys[k]
		if size += len(k) + len(v.data) + 40; len(entries) == page || size > 500<<10 {
			truncated = true
			break
		}
		entries = append(entries, entry{k, v.data, v.stamp})
	}
	return 200, map[string]any{"entries": entries, "truncated": truncated, "ledger": s.ledger}
}

func (s *StateService) txn(body []byte) (int, any) {
	var t struct {
		If []struct {
			Key   string
			Stamp uint64
		}
		Then []struct {
			Write, Drop string
			Data        json.RawMessage
			Permit      uint64
		}
	}
	if err := json.Unmarshal(body, &t); err != nil || len(t.Then) > s.txnOps || len(t.If) > 4*s.txnOps {
		return 400, map[string]any{"error": fmt.Sprint("malformed or too large: ", err)}
	}
	for _, op := range t.Then {
		if len(op.Data) > s.valueMax || op.Write == "" && op.Drop == "" {
			return 400, map[string]any{"error": "value"}
		}
	}
	if n := float64(len(t.Then)); n > 0 && !s.writes.take(n) {
		return 429, map[string]any{"error": "writes"}
	}
	for _, op := range t.Then {
		if op.Permit != 0 && s.grants[op.Permit] == nil {
			return 400, map[string]any{"error": "no such lease"}
		}
	}
	var failed []string
	for _, c := range t.If {
		var stamp uint64
		if v := s.keys[c.Key]; v != nil {
			stamp = v.stamp
		}
		if stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return 409, map[string]any{"failed": failed, "ledger": s.ledger}
	}
	if len(t.Then) > 0 {
		s.ledger++
		for _, op := range t.Then {
			if op.Write != "" {
				s.write(op.Write, op.Data, op.Permit)
			} else {
				s.drop(op.Drop)
			}
		}
		s.wake()
	}
	return 200, map[string]any{"ledger": s.ledger}
}

func (s *StateService) grant(r *http.Request) (int, any) {
	number, verb, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/grants/"), "/")
	id, _ := strconv.ParseUint(number, 10, 64)
	g := s.grants[id]
	if g == nil {
		return 404, map[string]any{"error": "no such lease"}
	}
	if verb == "touch" {
		g.end = time.Now().Add(g.ttl)
	} else if r.Method == "DELETE" {
		s.endGrant(id)
	}
	return 200, map[string]any{}
}

// watch is called with the lock held, and releases it.
func (s *StateService) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	under := q.Get("under")
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	block, _ := strconv.Atoi(q.Get("blockMs"))
	end := time.After(time.Duration(block) * time.Millisecond)
	for expired := false; ; {
		if from < s.dropped {
			s.mu.Unlock()
			answer(w, 410, map[string]any{"error": "too old"})
			return
		}
		news := []stateEvent{}
		i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Stamp > from })
		for ; i < len(s.events); i++ {
			if e := s.events[i]; strings.HasPrefix(e.Write+e.Drop, under) {
				news = append(news, e)
			}
		}
		if len(news) > 0 || expired {
			ledger := s.ledger
			s.mu.Unlock()
			answer(w, 200, map[string]any{"ledger": ledger, "news": news})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	w.Write(b)
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
