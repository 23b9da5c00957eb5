package node

import (
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/archive/vault"
)

// derived is the state that a node derives from the records in its vault.
type derived struct {
	trees        map[string]*archive.Tree   // by peer: the records stored here that both nodes should store
	usage        map[string]*attemptUsage   // by attempt
	expired      map[string]archive.Expired // by attempt
	strays       map[string]bool            // keys of records stored here that only other nodes should store
	unreadExpiry []archive.Key              // keys of expiry records found while the vault opens, to be applied afterwards
}

// newDerived returns the state for an empty vault.
func newDerived() derived {
	return derived{
		trees:   map[string]*archive.Tree{},
		usage:   map[string]*attemptUsage{},
		expired: map[string]archive.Expired{},
		strays:  map[string]bool{},
	}
}

// attemptUsage is the space that an attempt takes on this node.
type attemptUsage struct {
	bytes      int64
	records    int
	lastStored time.Time
	ended      bool           // its end is on record, or it is the pseudo-attempt of a job's files
	grant      *archive.Grant // nil: grant not read yet
}

// recordAdded updates the derived state. The vault calls it for each record that it adds or
// finds when it opens. While it opens, Open has no vault yet, so the keys of expiry records
// are collected and applied afterwards.
func (n *Node) recordAdded(i vault.RecordInfo) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if i.Key.Kind == archive.KindExpired && n.vault == nil {
		n.derived.unreadExpiry = append(n.derived.unreadExpiry, i.Key)
	}
	n.updateTrees(i.Key, true)
	a := i.Key.Attempt.String()
	u := n.derived.usage[a]
	if u == nil {
		u = &attemptUsage{}
		n.derived.usage[a] = u
	}
	u.bytes, u.records = u.bytes+i.Bytes, u.records+1
	if i.StoredAt.After(u.lastStored) {
		u.lastStored = i.StoredAt
	}
	u.ended = u.ended || i.Key.Kind == archive.KindEnd || i.Key.Attempt == archive.FilesAttempt(i.Key.Attempt.Job)
}

// recordRemoved updates the derived state. The vault calls it for each record that it removes.
func (n *Node) recordRemoved(i vault.RecordInfo) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateTrees(i.Key, false)
	a := i.Key.Attempt.String()
	if u := n.derived.usage[a]; u != nil {
		u.bytes, u.records = u.bytes-i.Bytes, u.records-1
		if u.records == 0 {
			delete(n.derived.usage, a)
		}
	}
}

// updateTrees adds the key of an added record to the trees of the peers that should store the
// record, too, or removes that of a removed record from them. If this node should not store the
// record, it updates the strays instead.
func (n *Node) updateTrees(k archive.Key, added bool) {
	unit, key := archive.PlacementUnit(k.Attempt), k.String()
	replicas := n.members.NodesFor(unit)
	mine := false
	for _, o := range replicas {
		mine = mine || o == n.cfg.Name
	}
	if !mine {
		if added {
			n.derived.strays[key] = true
		} else {
			delete(n.derived.strays, key)
		}
		return
	}
	for _, o := range replicas {
		t := n.derived.trees[o]
		switch {
		case t == nil:
		case added:
			t.Add(archive.Leaf(unit), key)
		default:
			t.Remove(archive.Leaf(unit), key)
		}
	}
}
