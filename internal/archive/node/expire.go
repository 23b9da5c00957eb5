package node

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"silvergate/internal/archive"
)

// applyExpiry merges an expiry record into the derived state and drops the records that it
// covers.
func (n *Node) applyExpiry(k archive.Key) {
	r, err := n.vault.Get(k)
	var e archive.Expired
	if err != nil || json.Unmarshal(r.Payload, &e) != nil {
		return
	}
	name := k.Attempt.String()
	n.mu.Lock()
	e = archive.MergeExpired(n.derived.expired[name], e)
	n.derived.expired[name] = e
	n.mu.Unlock()
	if err := n.dropCovered(n.ctx, name, e); err != nil {
		n.log.Error("can't drop expired records", "attempt", name, "error", err)
	}
}

// dropCovered drops the records of an attempt that e covers.
func (n *Node) dropCovered(ctx context.Context, name string, e archive.Expired) error {
	var keys []string
	for from := ""; ; {
		infos, more, err := n.vault.List(name+"/", from, 1000)
		if err != nil {
			return err
		}
		for _, i := range infos {
			from = i.Key.String()
			if e.Covers(i.Key) {
				keys = append(keys, from)
			}
		}
		if !more {
			break
		}
	}
	if len(keys) == 0 {
		return nil
	}
	n.count(func(s *Stats) { s.Expired += int64(len(keys)) })
	return n.vault.Drop(ctx, keys)
}

// expireEvery is the interval at which a node applies the retention rules.
const expireEvery = 10 * time.Second

// expireAll applies the retention rules periodically until the node stops.
func (n *Node) expireAll() {
	n.runEvery(expireEvery, func() {
		if err := n.Expire(n.ctx); err != nil {
			n.log.Error("retention", "error", err)
		}
	})
}

// Expire applies the retention rules, and drops the remaining records of attempts that expired
// longer ago than Config.TombstoneS. Only the first of an attempt's nodes decides for it: it
// stores an expiry record, which is replicated like any other record and applied by the
// other nodes. So two nodes never both drop a record in the belief that the other still has
// it. Expire returns the errors of reading and writing the vault.
func (n *Node) Expire(ctx context.Context) error {
	if err := n.dropTombstones(ctx); err != nil || len(n.cfg.Retention.Rules) == 0 {
		return err
	}
	uses, err := n.decidableUsage()
	if err != nil {
		return err
	}
	r := archive.Retention{Rules: slices.Clone(n.cfg.Retention.Rules)}
	for i := range r.Rules {
		// The quota covers all nodes together, so each node applies its share.
		r.Rules[i].MaxMB /= float64(len(n.members.Names))
	}
	now := n.Now()
	for _, d := range r.Decide(now, uses) {
		e, err := n.expiryFor(d, now)
		if err != nil {
			return err
		}
		record := archive.NewRecord(d.Attempt, archive.KindExpired, "", archive.Encode(e))
		n.log.Info("expired", "attempt", d.Attempt.String(), "all", e.All, "reason", d.Reason)
		if err := n.store(ctx, []archive.Record{record}); err != nil {
			return err
		}
	}
	return nil
}

// decidableUsage returns the usage of each attempt that this node decides about. It decides
// about an attempt if it is the first of the attempt's nodes, the attempt has not expired
// entirely, and the attempt's grant is stored here.
func (n *Node) decidableUsage() (out []archive.Usage, err error) {
	type entry struct {
		name string
		u    attemptUsage
	}
	var all []entry
	n.mu.Lock()
	for name, u := range n.derived.usage {
		if !n.derived.expired[name].All {
			all = append(all, entry{name, *u})
		}
	}
	n.mu.Unlock()
	for _, e := range all {
		a, err := archive.ParseAttempt(e.name)
		if err != nil || n.members.NodesFor(archive.PlacementUnit(a))[0] != n.cfg.Name {
			continue
		}
		if e.u.grant == nil {
			if e.u.grant = n.grantOf(e.name); e.u.grant == nil {
				continue // its grant has not arrived yet
			}
			n.mu.Lock()
			if u := n.derived.usage[e.name]; u != nil {
				u.grant = e.u.grant
			}
			n.mu.Unlock()
		}
		out = append(out, archive.Usage{Attempt: a, Owner: e.u.grant.Owner, Class: e.u.grant.Class, Bytes: e.u.bytes, LastStored: e.u.lastStored, Ended: e.u.ended})
	}
	return out, nil
}

// grantOf returns an attempt's grant, or nil if it is not stored here or not valid.
func (n *Node) grantOf(name string) *archive.Grant {
	infos, _, err := n.vault.List(name+"/a/", "", 1)
	if err != nil || len(infos) == 0 {
		return nil
	}
	r, err := n.vault.Get(infos[0].Key)
	if err != nil {
		return nil
	}
	g, err := n.grantKey.Verify(r.Payload)
	if err != nil {
		return nil
	}
	return &g
}

// expiryFor returns the expiry record for a drop. It covers the whole attempt, or its streams
// up to the offsets at which enough bytes are freed.
func (n *Node) expiryFor(d archive.Drop, now time.Time) (archive.Expired, error) {
	e := archive.Expired{At: now.UnixMilli(), Reason: d.Reason, All: d.HeadBytes == 0}
	if e.All {
		return e, nil
	}
	e.Upto = map[string]int64{}
	left := d.HeadBytes
	// One stream after the other loses its oldest segments, in the order of their keys.
	for _, stream := range archive.Streams {
		for from := ""; left > 0; {
			infos, more, err := n.vault.List(d.Attempt.String()+"/s/"+stream+".", from, 1000)
			if err != nil {
				return e, err
			}
			for _, i := range infos {
				from = i.Key.String()
				if _, at, size, err := i.Key.StreamPosition(); err == nil && left > 0 {
					e.Upto[stream], left = max(e.Upto[stream], at+int64(size)), left-i.Bytes
				}
			}
			if !more {
				break
			}
		}
	}
	return e, nil
}

// dropTombstones drops the remaining records of attempts that expired entirely, longer ago than
// Config.TombstoneS.
func (n *Node) dropTombstones(ctx context.Context) error {
	limit := n.Now().Add(-time.Duration(n.cfg.TombstoneS * float64(time.Second))).UnixMilli()
	var names []string
	n.mu.Lock()
	for name, e := range n.derived.expired {
		if e.All && e.At < limit {
			names = append(names, name)
		}
	}
	n.mu.Unlock()
	for _, name := range names {
		infos, _, err := n.vault.List(name+"/", "", 1000)
		if err != nil {
			return err
		}
		var keys []string
		for _, i := range infos {
			keys = append(keys, i.Key.String())
		}
		if err := n.vault.Drop(ctx, keys); err != nil {
			return err
		}
		n.mu.Lock()
		delete(n.derived.expired, name)
		n.mu.Unlock()
	}
	return nil
}
