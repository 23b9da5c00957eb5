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

// simKey is a key's value and when it was written.
type simKey struct {
	value       json.RawMessage
	modRevision uint64
	lease       uint64 // that the key goes with; 0: none
}

// simState stands in for the state service: a key-value store with revisions, transactions, watches and leases.
type simState struct {
	s                  *sim
	keys               map[string]simKey
	revision           uint64
	events             []protocol.WatchEvent
	leaseExpiry        map[uint64]time.Duration // when each lease expires
	leaseTTL           map[uint64]time.Duration
	lastLease          uint64
	downUntil          time.Duration // for all controllers
	watches            []*simWatch
	drainWrites        map[string]int    // how often each drain was written
	drainReasons       map[string]string // and why, the last time
	ignoresCompares    bool              // a defect: transactions are carried out whatever they compare
	eventHistory       int               // events that a watch can go back
	pageSize           int               // in keys
	readTokens         float64           // of the rate limits
	writeTokens        float64
	refilledAt         time.Duration
	throttled          int // requests above the rate limits
	failedTransactions int // whose comparisons did not hold
}

// exceedsLimits tells whether a request is above the rate limits, which allow bursts of a second.
func (k *simState) exceedsLimits(ops int) bool {
	elapsed := (k.s.now - k.refilledAt).Seconds()
	k.refilledAt = k.s.now
	limits := &k.s.facts.State
	k.readTokens = min(limits.RPS, k.readTokens+elapsed*limits.RPS)
	k.writeTokens = min(limits.WriteRPS, k.writeTokens+elapsed*limits.WriteRPS)
	if k.readTokens < 1 || k.writeTokens < float64(ops) {
		k.throttled++
		return true
	}
	k.readTokens, k.writeTokens = k.readTokens-1, k.writeTokens-float64(ops)
	return false
}

// simWatch is a watch that waits for events of keys with a prefix.
type simWatch struct {
	prefix       string
	fromRevision uint64
	deadline     time.Duration
	controller   *simController
	reply        func(int, []byte)
}

// expireLeases deletes the keys of leases that have expired. An outage renews all leases.
func (k *simState) expireLeases() {
	if k.downUntil > k.s.now {
		for lease := range k.leaseExpiry {
			k.leaseExpiry[lease] = k.downUntil + k.leaseTTL[lease]
		}
	}
	for lease := uint64(1); lease <= k.lastLease; lease++ {
		if at, ok := k.leaseExpiry[lease]; !ok || at > k.s.now {
			continue
		}
		delete(k.leaseExpiry, lease)
		for _, key := range k.keysAfter("") {
			if k.keys[key].lease == lease {
				k.apply(key, nil, 0, k.revision+1)
			}
		}
		k.revision++
	}
	k.notifyWatches()
}

// checkCompares checks that a transaction which is carried out late, after newer ones, fails: it compares every
// key that it writes or deletes. Member records are the one exception, as nothing but liveness depends on them;
// the record of what a job runs is written with the job's own, which is compared.
func (k *simState) checkCompares(txn protocol.Txn, op protocol.Op) {
	key := op.Put + op.Delete
	if strings.HasPrefix(key, keyMember) || strings.HasPrefix(key, keyJobExtra) {
		return
	}
	for _, compare := range txn.Compares {
		if compare.Key == key {
			return
		}
	}
	k.s.violation("unconditional", "%s", key)
}

// keysAfter are the keys above one, in order.
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

// apply writes a key, or deletes it if data is nil.
func (k *simState) apply(key string, data json.RawMessage, lease, revision uint64) {
	if strings.HasPrefix(key, keyDrain) && data != nil {
		k.drainWrites[key]++
		var drain drainRecord
		_ = json.Unmarshal(data, &drain)
		k.drainReasons[key] = drain.Reason
	}
	k.s.claimWritten(key, data)
	if data == nil {
		delete(k.keys, key)
		k.events = append(k.events, protocol.WatchEvent{Delete: key, ModRevision: revision})
	} else {
		k.keys[key] = simKey{data, revision, lease}
		k.events = append(k.events, protocol.WatchEvent{Put: key, Value: data, ModRevision: revision})
	}
}

// notifyWatches answers the watches that have events, or whose time is over.
func (k *simState) notifyWatches() {
	if k.downUntil > k.s.now {
		return
	}
	waiting := k.watches[:0]
	for _, w := range k.watches {
		if w.controller.refusedUntil > k.s.now {
			waiting = append(waiting, w)
			continue
		}
		result := protocol.WatchResult{Revision: k.revision, Events: []protocol.WatchEvent{}}
		first := sort.Search(len(k.events), func(i int) bool { return k.events[i].ModRevision > w.fromRevision })
		for _, event := range k.events[first:] {
			if strings.HasPrefix(event.Put+event.Delete, w.prefix) {
				result.Events = append(result.Events, event)
			}
		}
		if len(result.Events) == 0 && k.s.now < w.deadline {
			waiting = append(waiting, w)
			continue
		}
		reply := w.reply
		k.s.after(k.s.randomMillis(1, 5), func() { reply(200, encode(result)) })
	}
	k.watches = waiting
}

// serve carries out a call of a controller and answers it, a watch when there is something to tell.
func (k *simState) serve(n *simController, call protocol.Call, reply func(int, []byte)) {
	if k.downUntil > k.s.now || n.refusedUntil > k.s.now {
		reply(503, nil)
		return
	}
	u, _ := url.Parse(call.Path)
	var txn protocol.Txn
	if u.Path == protocol.PathTxn {
		_ = json.Unmarshal(call.Body, &txn)
	}
	if n.beforeGroupFailover {
		txn, reply = withoutFailovers(txn), hideFailovers(reply)
	}
	if k.exceedsLimits(len(txn.Ops)) {
		reply(429, nil)
		return
	}
	switch {
	case u.Path == protocol.PathWatch:
		k.serveWatch(n, u.Query(), reply)
	case u.Path == protocol.PathTxn:
		k.serveTxn(txn, len(call.Body), reply)
	case u.Path == protocol.PathKeys:
		k.servePage(u.Query(), reply)
	case strings.HasPrefix(u.Path, protocol.PathKeys+"/"):
		k.serveKey(u.Path[len(protocol.PathKeys)+1:], reply)
	case call.Method == "DELETE":
		k.serveRevocation(leaseFromPath(u.Path), reply)
	case u.Path == protocol.PathLeases:
		k.serveLease(call.Body, reply)
	case strings.HasSuffix(u.Path, "/"+protocol.PathKeepAlive):
		k.serveKeepAlive(leaseFromPath(u.Path), reply)
	default:
		k.s.violation("state limits", "unknown request %s %s", call.Method, call.Path)
	}
}

// serveWatch answers when a key changes, or when the watch's time is over. A watch from a revision that the
// history does not reach back to is refused.
func (k *simState) serveWatch(n *simController, query url.Values, reply func(int, []byte)) {
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	blockMs, _ := strconv.Atoi(query.Get("blockMs"))
	if len(k.events) > k.eventHistory {
		k.events = append([]protocol.WatchEvent(nil), k.events[k.eventHistory*2/3:]...)
	}
	if len(k.events) > 0 && from+1 < k.events[0].ModRevision && from < k.revision {
		reply(410, nil)
		return
	}
	block := time.Duration(blockMs) * time.Millisecond
	k.watches = append(k.watches, &simWatch{prefix: query.Get("under"), fromRevision: from, deadline: k.s.now + block, controller: n, reply: reply})
	k.s.after(block, k.notifyWatches)
	k.notifyWatches()
}

// serveTxn carries out a transaction if all that it compares holds.
func (k *simState) serveTxn(txn protocol.Txn, size int, reply func(int, []byte)) {
	limits := k.s.facts.State
	if len(txn.Ops) > limits.TxnOps || len(txn.Compares) > 4*limits.TxnOps || size > 64<<10 {
		k.s.violation("state limits", "%d ops, %d conditions, %d bytes", len(txn.Ops), len(txn.Compares), size)
	}
	failed := k.failedCompares(txn)
	for _, op := range txn.Ops {
		k.checkCompares(txn, op)
		if len(op.Value) > int(limits.ValueKB*1024) {
			k.s.violation("state limits", "value of %d bytes at %s", len(op.Value), op.Put)
		}
		if _, ok := k.leaseExpiry[op.Lease]; op.Lease != 0 && !ok {
			reply(400, nil)
			return
		}
	}
	if failed != nil {
		k.failedTransactions++
		reply(409, encode(protocol.TxnResult{Failed: failed, Revision: k.revision}))
		return
	}
	if len(txn.Ops) > 0 {
		for _, op := range txn.Ops {
			if op.Put != "" {
				k.apply(op.Put, op.Value, op.Lease, k.revision+1)
			} else if _, ok := k.keys[op.Delete]; ok {
				k.apply(op.Delete, nil, 0, k.revision+1)
			}
		}
		k.revision++
	}
	reply(200, encode(protocol.TxnResult{Revision: k.revision}))
	k.notifyWatches()
}

// failedCompares are the keys that were changed since the revision that the transaction expects.
func (k *simState) failedCompares(txn protocol.Txn) []string {
	if k.ignoresCompares || k.s.defects.readOnlyComparesHold && len(txn.Ops) == 0 {
		return nil
	}
	var failed []string
	for _, compare := range txn.Compares {
		if k.keys[compare.Key].modRevision != compare.ModRevision {
			failed = append(failed, compare.Key)
		}
	}
	return failed
}

// servePage reads keys in their order, as many as fit on a page.
func (k *simState) servePage(query url.Values, reply func(int, []byte)) {
	size, _ := strconv.Atoi(query.Get("page"))
	page := protocol.KeyValuePage{Revision: k.revision}
	for _, key := range k.keysAfter(query.Get("from")) {
		if !strings.HasPrefix(key, query.Get("under")) {
			continue
		}
		if len(page.KeyValues) == min(size, k.pageSize) {
			page.Truncated = true
			break
		}
		page.KeyValues = append(page.KeyValues, protocol.KeyValue{Key: key, Value: k.keys[key].value, ModRevision: k.keys[key].modRevision})
	}
	reply(200, encode(page))
}

// serveKey reads one key.
func (k *simState) serveKey(key string, reply func(int, []byte)) {
	v, ok := k.keys[key]
	if !ok {
		reply(404, encode(protocol.KeyValuePage{Revision: k.revision}))
		return
	}
	reply(200, encode(protocol.KeyValue{Key: key, Value: v.value, ModRevision: v.modRevision, Lease: v.lease}))
}

// leaseFromPath is the lease that a path names, 0 if it names none.
func leaseFromPath(path string) uint64 {
	lease, _ := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
	return lease
}

// serveLease grants a lease.
func (k *simState) serveLease(body []byte, reply func(int, []byte)) {
	var request protocol.LeaseRequest
	_ = json.Unmarshal(body, &request)
	k.lastLease++
	k.leaseTTL[k.lastLease] = time.Duration(request.TTLMs) * time.Millisecond
	k.leaseExpiry[k.lastLease] = k.s.now + k.leaseTTL[k.lastLease]
	reply(200, encode(protocol.LeaseResponse{Lease: k.lastLease}))
}

// serveKeepAlive renews a lease.
func (k *simState) serveKeepAlive(lease uint64, reply func(int, []byte)) {
	if _, ok := k.leaseExpiry[lease]; !ok {
		reply(404, nil)
		return
	}
	k.leaseExpiry[lease] = k.s.now + k.leaseTTL[lease]
	reply(200, nil)
}

// serveRevocation ends a lease.
func (k *simState) serveRevocation(lease uint64, reply func(int, []byte)) {
	if _, ok := k.leaseExpiry[lease]; !ok {
		reply(404, nil)
		return
	}
	k.leaseExpiry[lease] = k.s.now
	k.expireLeases()
	reply(200, nil)
}
