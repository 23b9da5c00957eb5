package node

import (
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/archive/vault"
)

// derived is what a node derives from the records in its vault.
type derived struct {
	trees        map[string]*archive.Tree   // by peer: the records that both keep
	usage        map[string]*attemptUsage   // by attempt
	expired      map[string]archive.Expired // by attempt
	strays       map[string]bool            // keys of records that only other nodes should keep
	unreadExpiry []archive.Key              // of expiry records met before the vault was open
}

// newDerived returns what holds for an empty vault.
func newDerived() derived {
	return derived{
		trees:   map[string]*archive.Tree{},
		usage:   map[string]*attemptUsage{},
		expired: map[string]archive.Expired{},
		strays:  map[string]bool{},
	}
}

// attemptUsage is what an attempt takes on this node.
type attemptUsage struct {
	bytes      int64
	records    int
	lastStored time.Time
	ended      bool           // its end is on record, or it stands for a job's files
	owner      *archive.Grant // nil: not read yet
}

// recordAdded keeps what is derived level with the vault, which calls it. Open has no
// vault yet while its records are read: expiry records are put aside until then.
func (n *Node) recordAdded(i vault.Info) {
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
	if i.At.After(u.lastStored) {
		u.lastStored = i.At
	}
	u.ended = u.ended || i.Key.Kind == archive.KindEnd || i.Key.Attempt == archive.Files(i.Key.Attempt.Job)
}

// recordRemoved is recordAdded's counterpart.
func (n *Node) recordRemoved(i vault.Info) {
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

// updateTrees enters a key into the trees that it belongs to, or takes it out. A key
// that this node should not keep is a stray instead.
func (n *Node) updateTrees(k archive.Key, in bool) {
	unit, key := archive.Unit(k.Attempt), k.String()
	owners := n.members.Of(unit)
	mine := false
	for _, o := range owners {
		mine = mine || o == n.cfg.Name
	}
	if !mine {
		if in {
			n.derived.strays[key] = true
		} else {
			delete(n.derived.strays, key)
		}
		return
	}
	for _, o := range owners {
		t := n.derived.trees[o]
		switch {
		case t == nil:
		case in:
			t.Add(archive.Leaf(unit), key)
		default:
			t.Remove(archive.Leaf(unit), key)
		}
	}
}
