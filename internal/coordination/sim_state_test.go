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

// simKey is the value of a key, the revision at which it was written, and its lease.
type simKey struct {
	value       json.RawMessage
	modRevision uint64
	lease       uint64 // that the key is attached to; 0: none
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
	downUntil          time.Duration // out of service for all controllers
	watches            []*simWatch
	drainWrites        map[string]int    // number of writes of each drain record
	drainReasons       map[string]string // reason in the last write of each drain record
	ignoresCompares    bool              // a defect: transactions are carried out even if a comparison fails
	eventHistory       int               // number of events that a watch can go back
	pageSize           int               // in keys
	requestTokens      float64           // left in the token bucket of the rate limit on requests
	writeTokens        float64           // the same, of the limit on writes
	refilledAt         time.Duration
	throttled          int // requests that exceeded the rate limits
	failedTransactions int // transactions with a failed comparison
}

// exceedsLimits reports whether a request exceeds the rate limits, which allow bursts of one second.
func (k *simState) exceedsLimits(ops int) bool {
	elapsed := (k.s.now - k.refilledAt).Seconds()
	k.refilledAt = k.s.now
	limits := &k.s.facts.State
	k.requestTokens = min(limits.RPS, k.requestTokens+elapsed*limits.RPS)
	k.writeTokens = min(limits.WriteRPS, k.writeTokens+elapsed*limits.WriteRPS)
	if k.requestTokens < 1 || k.writeTokens < float64(ops) {
		k.throttled++
		return true
	}
	k.requestTokens, k.writeTokens = k.requestTokens-1, k.writeTokens-float64(ops)
	return false
}

// simWatch is a pending watch for events on keys with a prefix.
type simWatch struct {
	prefix       string
	fromRevision uint64
	deadline     time.Duration
	controller   *simController
	reply        func(int, []byte)
}

// expireLeases deletes the keys of expired leases. An outage renews all leases.
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

// checkCompares checks that a transaction compares the key of each of its operations, so that it fails if it is
// carried out late, after newer ones. Member records are exempt, because only liveness depends on them. A job's
// second record, which holds what the job runs, is exempt because it is written with the job's own record, which is
// compared.
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
	k.s.addViolation("unconditional", "%s", key)
}

// keysAfter returns the keys that sort after the given one, in order.
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
	k.s.recordWritten(key, data)
	if data == nil {
		delete(k.keys, key)
		k.events = append(k.events, protocol.WatchEvent{Delete: key, ModRevision: revision})
	} else {
		k.keys[key] = simKey{data, revision, lease}
		k.events = append(k.events, protocol.WatchEvent{Put: key, Value: data, ModRevision: revision})
	}
}

// notifyWatches answers the watches that have events or have reached their deadline.
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

// serve carries out a call of a controller and answers it. A watch is answered when it has events or has reached its
// deadline.
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
		k.s.addViolation("state limits", "unknown request %s %s", call.Method, call.Path)
	}
}

// serveWatch adds a watch, which is answered when a key under its prefix changes or at its deadline. A watch from a
// revision that is no longer in the event history is refused with status 410.
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

// serveTxn carries out a transaction if all its comparisons hold.
func (k *simState) serveTxn(txn protocol.Txn, size int, reply func(int, []byte)) {
	limits := k.s.facts.State
	if len(txn.Ops) > limits.TxnOps || len(txn.Compares) > 4*limits.TxnOps || size > 64<<10 {
		k.s.addViolation("state limits", "transaction of %d operations, %d comparisons, %d bytes", len(txn.Ops), len(txn.Compares), size)
	}
	failed := k.failedCompares(txn)
	for _, op := range txn.Ops {
		k.checkCompares(txn, op)
		if len(op.Value) > int(limits.ValueKB*1024) {
			k.s.addViolation("state limits", "value of %d bytes at %s", len(op.Value), op.Put)
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

// failedCompares returns the compared keys that are not at the revision that the transaction expects.
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

// servePage answers with a page of the keys under a prefix, in order.
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

// serveKey answers with one key's value.
func (k *simState) serveKey(key string, reply func(int, []byte)) {
	v, ok := k.keys[key]
	if !ok {
		reply(404, encode(protocol.KeyValuePage{Revision: k.revision}))
		return
	}
	reply(200, encode(protocol.KeyValue{Key: key, Value: v.value, ModRevision: v.modRevision, Lease: v.lease}))
}

// leaseFromPath returns the lease that a path names, or 0 if it names none.
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

// serveRevocation ends a lease and deletes its keys.
func (k *simState) serveRevocation(lease uint64, reply func(int, []byte)) {
	if _, ok := k.leaseExpiry[lease]; !ok {
		reply(404, nil)
		return
	}
	k.leaseExpiry[lease] = k.s.now
	k.expireLeases()
	reply(200, nil)
}
