// Package failover decides which controller holds a worker when the workers of one
// controller pass to others by the group: one record, in place of a claim for each.
//
// A worker's own claim names the controller that holds it, the life of that process and
// the epoch of its claims. All workers of one holder in one zone whose names hash alike
// are a group. A record under the group's key makes another controller their holder; its
// revision is the token that they are told. A group passes on once: its key is written
// only while it does not exist. What its new holder holds is in that one's groups, so
// records form chains, each link newer than the one before.
//
// A worker whose own claim is newer than the record is not concerned by it: it has left
// the group, and comes back to none but by another record.
//
// A record is heeded once the mirror is complete up to its revision, and not before. Until
// then a claim of a single worker may be missing that was committed ahead of the record,
// and whoever took the group over would answer a worker that is another controller's.
//
// There is no I/O or clock in it. docs/design.md, "Taking workers over by the group".
package failover

import (
	"hash/fnv"
	"net/url"
	"strconv"
	"strings"
)

// Groups is into how many groups a holder's workers in one zone are divided. All
// controllers must agree on it, as it is part of the records' keys: a few, so that a
// take-over costs few changes, and more than one, so that several controllers share it.
const Groups = 4

// Holder is one life of a controller, with the epoch of its claims: it begins a new one
// whenever a group of its workers is taken over, so that those which it claims afterwards
// can be taken over, too. Epochs count from 1; 0 is a claim of a version that knows of no
// groups, whose workers are never taken over by the group.
type Holder struct {
	Node        string `json:"o"`
	Incarnation int64  `json:"l"`
	Epoch       int    `json:"e"`
}

// Group is a set of a holder's workers.
type Group struct {
	Holder
	Zone   string
	Number int
}

// Key is the group's place under the prefix of such records.
func (g Group) Key() string {
	return url.PathEscape(g.Node) + "/" + strconv.FormatInt(g.Incarnation, 10) + "." + strconv.Itoa(g.Epoch) + "/" + url.PathEscape(g.Zone) + "/" + strconv.Itoa(g.Number)
}

// ParseKey reads what Key writes.
func ParseKey(key string) (g Group, ok bool) {
	parts := strings.Split(key, "/")
	if len(parts) != 4 {
		return g, false
	}
	incarnation, epoch, found := strings.Cut(parts[1], ".")
	var errs [5]error
	g.Node, errs[0] = url.PathUnescape(parts[0])
	g.Incarnation, errs[1] = strconv.ParseInt(incarnation, 10, 64)
	g.Epoch, errs[2] = strconv.Atoi(epoch)
	g.Zone, errs[3] = url.PathUnescape(parts[2])
	g.Number, errs[4] = strconv.Atoi(parts[3])
	for _, err := range errs {
		found = found && err == nil
	}
	return g, found && g.Epoch > 0 && g.Number >= 0 && g.Number < Groups
}

// GroupOf is the group that a worker of a holder is in.
func GroupOf(h Holder, worker, zone string) Group {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(worker))
	return Group{Holder: h, Zone: zone, Number: int(sum.Sum32() % Groups)}
}

// Claim is who holds a worker, and the token that says so.
type Claim struct {
	Holder
	Token uint64
}

// Link is a group and the revision of its record, 0 if there is none.
type Link struct {
	Group    Group
	Revision uint64
}

// Ownership is who holds a worker by all records. Links are what that stands on beside the
// worker's own claim: the groups by which it has passed, and last the one by which it
// would pass next. Who holds the worker changes only with one of them or with the claim.
type Ownership struct {
	Claim
	Links []Link
}

// NextGroup is the group by which the worker would pass to another controller; ok is false if
// it can't, as the group has passed on already or the claim knows of none.
func (h Ownership) NextGroup() (g Group, ok bool) {
	if len(h.Links) == 0 {
		return g, false
	}
	last := h.Links[len(h.Links)-1]
	return last.Group, last.Revision == 0
}

// FailedOver tells whether the worker has passed to its holder by a group.
func (h Ownership) FailedOver() bool { return len(h.Links) > 1 }

type record struct {
	successor Holder
	revision  uint64
}

// Table holds the records. The zero value is not usable; see NewTable.
type Table struct {
	appliedRevision uint64
	applied         map[Group]record
	pending         map[Group]record // newer than the mirror is complete
}

// NewTable makes a book without records.
func NewTable() *Table {
	return &Table{applied: map[Group]record{}, pending: map[Group]record{}}
}

// Put takes a record, Drop that it is gone. They tell whether who holds a worker may have
// changed by it.
func (b *Table) Put(g Group, successor Holder, revision uint64) bool {
	if revision > b.appliedRevision {
		b.pending[g] = record{successor, revision}
		return false
	}
	b.applied[g] = record{successor, revision}
	return true
}

// Delete takes that a record is gone.
func (b *Table) Delete(g Group) bool {
	delete(b.pending, g)
	_, was := b.applied[g]
	delete(b.applied, g)
	return was
}

// Advance takes up to which revision the mirror is complete, and returns the groups whose
// records are heeded from now on.
func (b *Table) Advance(revision uint64) (applied []Group) {
	b.appliedRevision = max(b.appliedRevision, revision)
	for g, e := range b.pending {
		if e.revision <= b.appliedRevision {
			b.applied[g] = e
			delete(b.pending, g)
			applied = append(applied, g)
		}
	}
	return applied
}

// Pending tells whether a record of the group is known and not heeded yet.
func (b *Table) Pending(g Group) bool {
	_, ok := b.pending[g]
	return ok
}

// Resolve tells who holds a worker whose own claim is given.
func (b *Table) Resolve(worker, zone string, own Claim) Ownership {
	h := Ownership{Claim: own}
	for h.Epoch > 0 {
		g := GroupOf(h.Holder, worker, zone)
		e := b.applied[g]
		h.Links = append(h.Links, Link{g, e.revision})
		if e.revision <= h.Token {
			break // none, or older than the claim
		}
		h.Claim = Claim{e.successor, e.revision}
	}
	return h
}

// NextEpoch is the epoch of a life's next claims: above that of all its groups that have been
// taken over, heeded or not.
func (b *Table) NextEpoch(node string, incarnation int64) int {
	epoch := 1
	for _, records := range []map[Group]record{b.applied, b.pending} {
		for g := range records {
			if g.Node == node && g.Incarnation == incarnation {
				epoch = max(epoch, g.Epoch+1)
			}
		}
	}
	return epoch
}

// Unused lists the groups whose heeded records no worker's holder stands on. inUse has
// every group in the links of every worker.
func (b *Table) Unused(inUse map[Group]bool) (out []Group) {
	for g := range b.applied {
		if !inUse[g] {
			out = append(out, g)
		}
	}
	return out
}

// Revision is the revision of a group's heeded record, 0 if there is none.
func (b *Table) Revision(g Group) uint64 { return b.applied[g].revision }

// Len is how many records there are.
func (b *Table) Len() int { return len(b.applied) + len(b.pending) }
