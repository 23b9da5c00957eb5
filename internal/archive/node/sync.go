package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"silvergate/internal/archive"
)

// tree answers with the digests of what this node and the one that asks both keep:
// the branches, or the leaves of one.
func (n *Node) tree(w http.ResponseWriter, r *http.Request, who string) {
	n.mu.Lock()
	t := n.derived.trees[who]
	var row []uint64
	if t != nil {
		if b := r.URL.Query().Get("branch"); b == "" {
			row = t.Branches()
		} else if i, err := strconv.Atoi(b); err == nil {
			row = t.Branch(i)
		}
	}
	n.mu.Unlock()
	if row == nil {
		notFound(w)
		return
	}
	writeJSON(w, row)
}

// leafPage bounds a page of keys.
const leafPage = 10_000

// leaf lists the keys of some leaves that both keep, a page after a key.
func (n *Node) leaf(w http.ResponseWriter, r *http.Request, who string) {
	q := r.URL.Query()
	leaves := map[int]bool{}
	for _, s := range strings.Split(q.Get("leaf"), ",") {
		i, err := strconv.Atoi(s)
		if err != nil {
			leaves = nil
			break
		}
		leaves[i] = true
	}
	if len(leaves) == 0 || n.derived.trees[who] == nil {
		notFound(w)
		return
	}
	keys, err := n.leafKeys(who, leaves)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "the index can't be read now")
		return
	}
	at, _ := slices.BinarySearch(keys, q.Get("from"))
	if at < len(keys) && keys[at] == q.Get("from") {
		at++
	}
	writeJSON(w, keys[at:min(len(keys), at+leafPage)])
}

// leafKeys lists the keys here of some leaves that both nodes keep. The attempts
// come out of memory, their records out of the index.
func (n *Node) leafKeys(peer string, leaves map[int]bool) ([]string, error) {
	n.mu.Lock()
	var names []string
	for name := range n.derived.usage {
		a, err := archive.ParseAttempt(name)
		if err != nil {
			continue
		}
		unit := archive.Unit(a)
		if leaves[archive.Leaf(unit)] && n.members.IsReplica(peer, unit) && n.members.IsReplica(n.cfg.Name, unit) {
			names = append(names, name)
		}
	}
	n.mu.Unlock()
	slices.Sort(names)
	keys := []string{}
	for _, name := range names {
		for from := ""; ; {
			infos, more, err := n.vault.Keys(name+"/", from, 1000)
			if err != nil {
				return nil, err
			}
			for _, i := range infos {
				from = i.Key.String()
				keys = append(keys, from)
			}
			if !more {
				break
			}
		}
	}
	return keys, nil
}

// syncAll compares with one node after the other, and brings here what is missing.
func (n *Node) syncAll() {
	period := time.Duration(n.cfg.SyncS * float64(time.Second))
	n.runEvery(period/2+rand.N(period/2), func() {
		for _, p := range n.peers {
			if err := n.syncWith(n.ctx, p); err != nil {
				n.log.Info("not level with a node", "node", p.name, "error", err)
			}
		}
		n.handOverStrays()
	})
}

// Level fetches what other nodes have and this one lacks, once, and hands over
// strays: for tests and tools. Its error joins those of the nodes that failed.
func (n *Node) Level(ctx context.Context) error {
	var all error
	for _, p := range n.peers {
		all = errors.Join(all, n.syncWith(ctx, p))
	}
	n.handOverStrays()
	return all
}

// syncWith brings here what another node has that both keep.
func (n *Node) syncWith(ctx context.Context, p *peer) error {
	defer n.count(func(s *Stats) { s.Rounds++ })
	var theirs []uint64
	if err := p.getJSON(ctx, PathTree, &theirs); err != nil {
		return err
	}
	n.mu.Lock()
	branches := archive.Differ(n.derived.trees[p.name].Branches(), theirs)
	n.mu.Unlock()
	for _, b := range branches {
		var leaves []uint64
		if err := p.getJSON(ctx, fmt.Sprintf("%s?branch=%d", PathTree, b), &leaves); err != nil {
			return err
		}
		n.mu.Lock()
		differ := archive.Differ(n.derived.trees[p.name].Branch(b), leaves)
		n.mu.Unlock()
		var names []string
		for _, l := range differ {
			names = append(names, strconv.Itoa(b*archive.Fanout+l))
		}
		if len(names) == 0 {
			continue
		}
		if err := n.syncLeaves(ctx, p, strings.Join(names, ",")); err != nil {
			return err
		}
	}
	return nil
}

// syncLeaves brings here what another node has in some leaves of a branch.
func (n *Node) syncLeaves(ctx context.Context, p *peer, leaves string) error {
	for from := ""; ; {
		var keys []string
		q := url.Values{"leaf": {leaves}, "from": {from}}
		if err := p.getJSON(ctx, PathLeaf+"?"+q.Encode(), &keys); err != nil {
			return err
		}
		if len(keys) == 0 {
			return nil
		}
		from = keys[len(keys)-1]
		var want []string
		for _, s := range keys {
			k, err := archive.ParseKey(s)
			if err != nil {
				return fmt.Errorf("%s: %w", p.name, err)
			}
			if !n.hasExpired(k) && !n.vault.Has(k) {
				want = append(want, s)
			}
		}
		if err := n.fetchMissing(ctx, p, want); err != nil {
			return err
		}
		if len(keys) < leafPage {
			return nil
		}
	}
}

// hasExpired tells whether a record has expired here.
func (n *Node) hasExpired(k archive.Key) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.derived.expired[k.Attempt.String()].Covers(k)
}

// fetchMissing fetches records from another node, at the budgeted rate, and stores
// them. Expiry records come first: what they cover is not stored.
func (n *Node) fetchMissing(ctx context.Context, p *peer, keys []string) error {
	slices.SortStableFunc(keys, func(a, b string) int { return expiryRank(a) - expiryRank(b) })
	for len(keys) > 0 {
		batch := keys[:min(len(keys), 256)]
		records, err := p.fetch(ctx, batch)
		if err != nil {
			return err
		}
		if len(records) == 0 {
			keys = keys[len(batch):] // no longer there
			continue
		}
		size := 0
		for i := range records {
			size += archive.FrameSize(&records[i])
			if records[i].Key.Kind == archive.KindGrant {
				if _, err := n.grantKey.Verify(records[i].Payload); err != nil {
					return fmt.Errorf("%s: %s: %w", p.name, records[i].Key, err)
				}
			}
		}
		if err := n.throttle(ctx, size); err != nil {
			return err
		}
		if err := n.store(ctx, records); err != nil {
			return err
		}
		n.count(func(s *Stats) { s.Pulled += int64(len(records)); s.PulledBytes += int64(size) })
		got := map[string]bool{}
		for i := range records {
			got[records[i].Key.String()] = true
		}
		// What did not fit into the answer is asked for again.
		rest := slices.DeleteFunc(slices.Clone(batch), func(k string) bool { return got[k] })
		keys = append(rest, keys[len(batch):]...)
		if len(got) == 0 {
			return errors.New(p.name + " sends what was not asked for")
		}
	}
	return nil
}

// expiryRank sorts the keys of expiry records before others.
func expiryRank(key string) int {
	if k, err := archive.ParseKey(key); err == nil && k.Kind == archive.KindExpired {
		return 0
	}
	return 1
}

// throttle waits until so many bytes may have been fetched.
func (n *Node) throttle(ctx context.Context, size int) error {
	for size > 0 {
		part := min(size, 2*archive.MaxPayload)
		if err := n.fetchLimit.WaitN(ctx, part); err != nil {
			return err
		}
		size -= part
	}
	return nil
}

// handOverStrays sends records that are here, and that other nodes keep, to all of those,
// and drops them when each has them: after the members have changed.
func (n *Node) handOverStrays() {
	n.mu.Lock()
	var keys []archive.Key
	for s := range n.derived.strays {
		if k, err := archive.ParseKey(s); err == nil {
			keys = append(keys, k)
		}
		if len(keys) == 1000 {
			break
		}
	}
	n.mu.Unlock()
	if len(keys) == 0 {
		return
	}
	outstanding := map[string]int{}
	for _, owner := range n.members.Names {
		var batch []archive.Record
		size := 0
		flush := func() {
			if len(batch) > 0 && n.send(n.ctx, owner, batch) == nil {
				for i := range batch {
					outstanding[batch[i].Key.String()]--
				}
			}
			batch, size = nil, 0
		}
		for _, k := range keys {
			if !n.members.IsReplica(owner, archive.Unit(k.Attempt)) {
				continue
			}
			outstanding[k.String()]++
			r, err := n.vault.Get(k)
			if err != nil {
				continue
			}
			if size += archive.FrameSize(&r); size > MaxPut && len(batch) > 0 {
				flush()
				size = archive.FrameSize(&r)
			}
			batch = append(batch, r)
		}
		flush()
	}
	var done []string
	for s, n := range outstanding {
		if n == 0 {
			done = append(done, s)
		}
	}
	if len(done) > 0 {
		if err := n.vault.Drop(n.ctx, done); err != nil {
			n.log.Error("records that others keep can't be dropped", "error", err)
		}
	}
}

// send has another node store records, at the budgeted rate.
func (n *Node) send(ctx context.Context, to string, records []archive.Record) error {
	p := n.peers[to]
	if p == nil {
		return errors.New("no such node")
	}
	var body []byte
	for i := range records {
		body = archive.AppendFrame(body, &records[i])
	}
	if err := n.throttle(ctx, len(body)); err != nil {
		return err
	}
	_, err := p.do(ctx, http.MethodPost, PathRecords, body, 1<<10)
	return err
}

// repair is a record that a reader found missing at a node.
type repair struct {
	key  string
	node string
}

// repairLater queues what a reader found missing at nodes to be restored there; what
// exceeds the queue is left to the comparisons.
func (n *Node) repairLater(missing map[string][]string) {
	for key, nodes := range missing {
		for _, at := range nodes {
			select {
			case n.repairs <- repair{key, at}:
			default:
				return
			}
		}
	}
}

// repairAll restores missing records until the node stops.
func (n *Node) repairAll() {
	for {
		var m repair
		select {
		case <-n.ctx.Done():
			return
		case m = <-n.repairs:
		}
		k, err := archive.ParseKey(m.key)
		if err != nil || n.hasExpired(k) {
			continue
		}
		r, err := n.readRecord(n.ctx, k, n.members.Of(archive.Unit(k.Attempt)))
		if err == nil && m.node == n.cfg.Name {
			err = n.store(n.ctx, []archive.Record{r})
		} else if err == nil {
			err = n.send(n.ctx, m.node, []archive.Record{r})
		}
		if err != nil {
			n.log.Debug("not mended", "key", m.key, "at", m.node, "error", err)
			continue
		}
		n.count(func(s *Stats) { s.Mended++ })
	}
}

// scrub reads all that lies here, again and again, at a steady rate: damage is
// found before the other copies are.
func (n *Node) scrub() {
	if n.cfg.ScrubMBPerS <= 0 {
		return
	}
	from := ""
	n.runEvery(time.Second, func() {
		last, checked, damaged, err := n.vault.Scrub(from, int64(n.cfg.ScrubMBPerS*1e6))
		if err != nil {
			n.log.Error("scrubbing stopped", "error", err)
		}
		if damaged > 0 {
			n.log.Error("damaged records found", "records", damaged, "of", checked)
		}
		from = last
	})
}
