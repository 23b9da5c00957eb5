package coordination

import (
	"encoding/json"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"silvergate/internal/protocol"
)

type simKey struct {
	value       json.RawMessage
	modRevision uint64
	lease       uint64
}

type simState struct {
	s                  *sim
	keys               map[string]simKey
	revision           uint64
	events             []protocol.WatchEvent
	leaseExpiry        map[uint64]time.Duration
	leaseTTL           map[uint64]time.Duration
	lastLease          uint64
	downUntil          time.Duration
	watches            []*simWatch
	drainWrites        map[string]int    // how often each drain was written
	drainReasons       map[string]string // and why, the last time
	ignoresCompares    bool              // broken on purpose: ignores conditions
	eventHistory       int               // changes that a watch can go back
	pageSize           int               // keys on a page
	readTokens         float64
	writeTokens        float64
	refilledAt         time.Duration
	throttled          int // requests over the limits
	failedTransactions int // transactions whose conditions did not hold
}

// over tells whether a request is above the limits, with bursts of a second.
func (k *simState) exceedsLimits(ops int) bool {
	d := (k.s.now - k.refilledAt).Seconds()
	k.refilledAt = k.s.now
	f := &k.s.facts.State
	k.readTokens, k.writeTokens = min(f.RPS, k.readTokens+d*f.RPS), min(f.WriteRPS, k.writeTokens+d*f.WriteRPS)
	if k.readTokens < 1 || k.writeTokens < float64(ops) {
		k.throttled++
		return true
	}
	k.readTokens, k.writeTokens = k.readTokens-1, k.writeTokens-float64(ops)
	return false
}

type simWatch struct {
	prefix       string
	fromRevision uint64
	deadline     time.Duration
	controller   *simController
	reply        func(int, []byte)
}

func (k *simState) expireLeases() {
	if k.downUntil > k.s.now {
		for p := range k.leaseExpiry {
			k.leaseExpiry[p] = k.downUntil + k.leaseTTL[p]
		}
	}
	for p := uint64(1); p <= k.lastLease; p++ {
		if at, ok := k.leaseExpiry[p]; !ok || at > k.s.now {
			continue
		}
		delete(k.leaseExpiry, p)
		for _, key := range k.keysAfter("") {
			if k.keys[key].lease == p {
				k.apply(key, nil, 0, k.revision+1)
			}
		}
		k.revision++
	}
	k.notifyWatches()
}

// judgeCondition judges that a transaction which is carried out late, after newer ones, stops by itself:
// every key that it writes or drops is among its conditions. Member records are the one exception, which
// nothing but time hangs on; what a job is to run goes with its acceptance.
func (k *simState) checkCompares(t protocol.Txn, o protocol.Op) {
	key := o.Put + o.Delete
	if strings.HasPrefix(key, keyMember) || strings.HasPrefix(key, keyExtra) {
		return
	}
	for _, f := range t.Compares {
		if f.Key == key {
			return
		}
	}
	k.s.violation("unconditional", "%s", key)
}

func (k *simState) keysAfter(after string) []string {
	var out []string
	for key := range k.keys {
		if key > after {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

func (k *simState) apply(key string, data json.RawMessage, lease, rev uint64) {
	if strings.HasPrefix(key, keyDrain) && data != nil {
		k.drainWrites[key]++
		var d drainRecord
		_ = json.Unmarshal(data, &d)
		k.drainReasons[key] = d.Reason
	}
	k.s.claimWritten(key, data)
	if data == nil {
		delete(k.keys, key)
		k.events = append(k.events, protocol.WatchEvent{Delete: key, ModRevision: rev})
	} else {
		k.keys[key] = simKey{data, rev, lease}
		k.events = append(k.events, protocol.WatchEvent{Put: key, Value: data, ModRevision: rev})
	}
}

func (k *simState) notifyWatches() {
	if k.downUntil > k.s.now {
		return
	}
	rest := k.watches[:0]
	for _, w := range k.watches {
		if w.controller.refusedUntil > k.s.now {
			rest = append(rest, w)
			continue
		}
		r := protocol.WatchResult{Revision: k.revision, Events: []protocol.WatchEvent{}}
		at := sort.Search(len(k.events), func(i int) bool { return k.events[i].ModRevision > w.fromRevision })
		for _, n := range k.events[at:] {
			if strings.HasPrefix(n.Put+n.Delete, w.prefix) {
				r.Events = append(r.Events, n)
			}
		}
		if len(r.Events) == 0 && k.s.now < w.deadline {
			rest = append(rest, w)
			continue
		}
		reply := w.reply
		k.s.after(k.s.randomMillis(1, 5), func() { reply(200, encode(r)) })
	}
	k.watches = rest
}

func (k *simState) serve(n *simController, c protocol.Call, reply func(int, []byte)) {
	if k.downUntil > k.s.now || n.refusedUntil > k.s.now {
		reply(503, nil)
		return
	}
	u, _ := url.Parse(c.Path)
	q := u.Query()
	var t protocol.Txn
	if u.Path == protocol.PathTxn {
		_ = json.Unmarshal(c.Body, &t)
	}
	if n.beforeGroupFailover {
		t, reply = withoutTakeovers(t), unseenTakeovers(reply)
	}
	if k.exceedsLimits(len(t.Ops)) {
		reply(429, nil)
		return
	}
	switch {
	case u.Path == protocol.PathWatch:
		from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
		block, _ := strconv.Atoi(q.Get("blockMs"))
		if len(k.events) > k.eventHistory {
			k.events = append([]protocol.WatchEvent(nil), k.events[k.eventHistory*2/3:]...)
		}
		if len(k.events) > 0 && from+1 < k.events[0].ModRevision && from < k.revision {
			reply(410, nil)
			return
		}
		d := time.Duration(block) * time.Millisecond
		k.watches = append(k.watches, &simWatch{prefix: q.Get("under"), fromRevision: from, deadline: k.s.now + d, controller: n, reply: reply})
		k.s.after(d, k.notifyWatches)
		k.notifyWatches()
	case u.Path == protocol.PathTxn:
		if len(t.Ops) > k.s.facts.State.TxnOps || len(t.Compares) > 4*k.s.facts.State.TxnOps || len(c.Body) > 64<<10 {
			k.s.violation("state limits", "%d ops, %d conditions, %d bytes", len(t.Ops), len(t.Compares), len(c.Body))
		}
		var failed []string
		for _, f := range t.Compares {
			if k.keys[f.Key].modRevision != f.ModRevision && !k.ignoresCompares && !(k.s.defects.readOnlyComparesHold && len(t.Ops) == 0) {
				failed = append(failed, f.Key)
			}
		}
		for _, o := range t.Ops {
			k.checkCompares(t, o)
			if len(o.Value) > int(k.s.facts.State.ValueKB*1024) {
				k.s.violation("state limits", "value of %d bytes at %s", len(o.Value), o.Put)
			}
			if _, ok := k.leaseExpiry[o.Lease]; o.Lease != 0 && !ok {
				reply(400, nil)
				return
			}
		}
		if failed != nil {
			k.failedTransactions++
			reply(409, encode(protocol.TxnResult{Failed: failed, Revision: k.revision}))
			return
		}
		if len(t.Ops) > 0 {
			for _, o := range t.Ops {
				if o.Put != "" {
					k.apply(o.Put, o.Value, o.Lease, k.revision+1)
				} else if _, ok := k.keys[o.Delete]; ok {
					k.apply(o.Delete, nil, 0, k.revision+1)
				}
			}
			k.revision++
		}
		reply(200, encode(protocol.TxnResult{Revision: k.revision}))
		k.notifyWatches()
	case u.Path == protocol.PathKeys:
		page, _ := strconv.Atoi(q.Get("page"))
		r := protocol.KeyValuePage{Revision: k.revision}
		for _, key := range k.keysAfter(q.Get("from")) {
			if !strings.HasPrefix(key, q.Get("under")) {
				continue
			}
			if len(r.KeyValues) == min(page, k.pageSize) {
				r.Truncated = true
				break
			}
			r.KeyValues = append(r.KeyValues, protocol.KeyValue{Key: key, Value: k.keys[key].value, ModRevision: k.keys[key].modRevision})
		}
		reply(200, encode(r))
	case strings.HasPrefix(u.Path, protocol.PathKeys+"/"):
		key := u.Path[len(protocol.PathKeys)+1:]
		if v, ok := k.keys[key]; ok {
			reply(200, encode(protocol.KeyValue{Key: key, Value: v.value, ModRevision: v.modRevision, Lease: v.lease}))
		} else {
			reply(404, encode(protocol.KeyValuePage{Revision: k.revision}))
		}
	case c.Method == "DELETE":
		p, _ := strconv.ParseUint(strings.Split(u.Path, "/")[2], 10, 64)
		if _, ok := k.leaseExpiry[p]; !ok {
			reply(404, nil)
			return
		}
		k.leaseExpiry[p] = k.s.now
		k.expireLeases()
		reply(200, nil)
	case u.Path == protocol.PathLeases:
		var g protocol.LeaseRequest
		_ = json.Unmarshal(c.Body, &g)
		k.lastLease++
		k.leaseTTL[k.lastLease] = time.Duration(g.TTLMs) * time.Millisecond
		k.leaseExpiry[k.lastLease] = k.s.now + k.leaseTTL[k.lastLease]
		reply(200, encode(protocol.LeaseResponse{Lease: k.lastLease}))
	case strings.HasSuffix(u.Path, "/"+protocol.PathKeepAlive):
		p, _ := strconv.ParseUint(strings.Split(u.Path, "/")[2], 10, 64)
		if _, ok := k.leaseExpiry[p]; !ok {
			reply(404, nil)
			return
		}
		k.leaseExpiry[p] = k.s.now + k.leaseTTL[p]
		reply(200, nil)
	default:
		k.s.violation("state limits", "unknown request %s %s", c.Method, c.Path)
	}
}
