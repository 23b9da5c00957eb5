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

// tree responds with digests of the records that both this node and the requesting one
// should store: those of the branches, or those of the leaves of one branch.
func (n *Node) tree(w http.ResponseWriter, r *http.Request, peer string) {
	n.mu.Lock()
	t := n.derived.trees[peer]
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

// leafPage is the maximum number of keys on a page.
const leafPage = 10_000

// leaf responds with a page of the keys of the records that are in the requested leaves and that
// both nodes should store. The page begins after the requested key.
func (n *Node) leaf(w http.ResponseWriter, r *http.Request, peer string) {
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
	if len(leaves) == 0 || n.derived.trees[peer] == nil {
		notFound(w)
		return
	}
	keys, err := n.leafKeys(peer, leaves)
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

// leafKeys returns the keys of the records stored here that are in the given leaves and that both
// nodes should store. It finds the attempts in memory and their records in the vault's index.
func (n *Node) leafKeys(peer string, leaves map[int]bool) ([]string, error) {
	n.mu.Lock()
	var names []string
	for name := range n.derived.usage {
		a, err := archive.ParseAttempt(name)
		if err != nil {
			continue
		}
		unit := archive.PlacementUnit(a)
		if leaves[archive.Leaf(unit)] && n.members.IsReplica(peer, unit) && n.members.IsReplica(n.cfg.Name, unit) {
			names = append(names, name)
		}
	}
	n.mu.Unlock()
	slices.Sort(names)
	keys := []string{}
	for _, name := range names {
		for from := ""; ; {
			infos, more, err := n.vault.List(name+"/", from, 1000)
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

// syncAll periodically fetches missing records from the other nodes, one after the other, and
// hands over strays.
func (n *Node) syncAll() {
	period := time.Duration(n.cfg.SyncS * float64(time.Second))
	n.runEvery(period/2+rand.N(period/2), func() {
		for _, p := range n.peers {
			if err := n.syncWith(n.ctx, p); err != nil {
				n.log.Info("synchronization with a node failed", "node", p.name, "error", err)
			}
		}
		n.handOverStrays()
	})
}

// SyncOnce fetches the records that other nodes have and this one lacks, once, and hands over
// strays. It is for tests and tools. The error joins those of the nodes that failed.
func (n *Node) SyncOnce(ctx context.Context) error {
	var all error
	for _, p := range n.peers {
		all = errors.Join(all, n.syncWith(ctx, p))
	}
	n.handOverStrays()
	return all
}

// syncWith fetches the records that another node has and this one lacks, of those that both
// should store.
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

// syncLeaves fetches the records that another node has and this one lacks in some leaves of a
// branch.
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

// hasExpired reports whether a record has expired, as far as this node knows.
func (n *Node) hasExpired(k archive.Key) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.derived.expired[k.Attempt.String()].Covers(k)
}

// fetchMissing fetches records from another node, at the configured rate, and stores them.
// Expiry records come first, so that the records that they cover are not stored.
func (n *Node) fetchMissing(ctx context.Context, p *peer, keys []string) error {
	slices.SortStableFunc(keys, func(a, b string) int { return expiryRank(a) - expiryRank(b) })
	for len(keys) > 0 {
		batch := keys[:min(len(keys), 256)]
		records, err := p.fetch(ctx, batch)
		if err != nil {
			return err
		}
		if len(records) == 0 {
			keys = keys[len(batch):] // the other node no longer has them
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
		// Request the records again that did not fit in the response.
		rest := slices.DeleteFunc(slices.Clone(batch), func(k string) bool { return got[k] })
		keys = append(rest, keys[len(batch):]...)
		if len(got) == 0 {
			return errors.New(p.name + " sends what was not asked for")
		}
	}
	return nil
}

// expiryRank returns a sort rank that puts the keys of expiry records before others.
func expiryRank(key string) int {
	if k, err := archive.ParseKey(key); err == nil && k.Kind == archive.KindExpired {
		return 0
	}
	return 1
}

// throttle waits until the configured rate allows size more bytes to be exchanged.
func (n *Node) throttle(ctx context.Context, size int) error {
	for size > 0 {
		part := min(size, 2*archive.MaxPayload)
		if err := n.syncLimiter.WaitN(ctx, part); err != nil {
			return err
		}
		size -= part
	}
	return nil
}

// handOverStrays sends up to 1000 strays to all nodes that should store them, and drops each
// stray once all of these nodes have it. Strays are records stored here that only other nodes
// should store. They arise when the members change.
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
	for _, member := range n.members.Names {
		var batch []archive.Record
		size := 0
		flush := func() {
			if len(batch) > 0 && n.send(n.ctx, member, batch) == nil {
				for i := range batch {
					outstanding[batch[i].Key.String()]--
				}
			}
			batch, size = nil, 0
		}
		for _, k := range keys {
			if !n.members.IsReplica(member, archive.PlacementUnit(k.Attempt)) {
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
			n.log.Error("can't drop strays that other nodes have", "error", err)
		}
	}
}

// send sends records to another node at the configured rate. It returns nil once the node has
// stored them.
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

// repair is a request to restore a record that a reader found missing on a node.
type repair struct {
	key  string
	node string
}

// repairLater queues repairs of the records that a reader found missing, with the nodes that
// lack each. Repairs that don't fit in the queue are left to the comparisons between nodes.
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

// repairAll processes the queued repairs until the node stops.
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
		r, err := n.readRecord(n.ctx, k, n.members.NodesFor(archive.PlacementUnit(k.Attempt)))
		if err == nil && m.node == n.cfg.Name {
			err = n.store(n.ctx, []archive.Record{r})
		} else if err == nil {
			err = n.send(n.ctx, m.node, []archive.Record{r})
		}
		if err != nil {
			n.log.Debug("can't restore a missing record", "key", m.key, "at", m.node, "error", err)
			continue
		}
		n.count(func(s *Stats) { s.Mended++ })
	}
}

// scrub reads and checks all stored records, over and over, at a steady rate, so that damage
// is found before the other replicas are damaged, too.
func (n *Node) scrub() {
	if n.cfg.ScrubMBPerS <= 0 {
		return
	}
	from := ""
	n.runEvery(time.Second, func() {
		last, checked, damaged, err := n.vault.Scrub(from, int64(n.cfg.ScrubMBPerS*1e6))
		if err != nil {
			n.log.Error("scrub failed", "error", err)
		}
		if damaged > 0 {
			n.log.Error("damaged records found", "records", damaged, "of", checked)
		}
		from = last
	})
}
