// Package failover decides which controller owns a worker when the workers of one
// controller pass to others by the group: one record, in place of a claim for each.
//
// A worker's own claim names the controller that holds it, the incarnation of that process
// and the epoch of its claims. All workers of one holder in one zone whose names hash alike
// are a group. A record under the group's key makes another controller their holder; its
// revision is the fencing token that they are told. A group passes on once: its key is
// written only while it does not exist. What its new holder holds is in that one's groups,
// so records form chains, each link newer than the one before.
//
// A worker whose own claim is newer than the record is not concerned by it: it has left
// the group, and comes back to none but by another record.
//
// A record is applied once the mirror is complete up to its revision, and not before. Until
// then a claim of a single worker may be missing that was committed ahead of the record,
// and the group's new holder would answer a worker that is another controller's.
//
// There is no I/O or clock in it, and no lock: a Table has one owner. docs/design.md,
// "Taking workers over by the group".
package failover

import (
	"errors"
	"hash/fnv"
	"net/url"
	"strconv"
	"strings"
)

// GroupsPerZone is into how many groups a holder's workers in one zone are divided. All
// controllers must agree on it, as it is part of the records' keys: a few, so that a
// failover costs few changes, and more than one, so that several controllers share it.
const GroupsPerZone = 4

// Holder is one incarnation of a controller, with the epoch of its claims: it begins a new
// epoch whenever a group of its workers has failed over, so that those which it claims
// afterwards can fail over, too. Epochs count from 1; 0 is a claim of a version that knows of
// no groups, whose workers never fail over by the group.
type Holder struct {
	Node        string `json:"o"`
	Incarnation int64  `json:"l"`
	Epoch       int    `json:"e"`
}

// Group is a set of a holder's workers.
type Group struct {
	Holder
	Zone   string
	Number int // from 0 to Groups-1
}

// Key is the group's place under the prefix of such records:
// node/incarnation.epoch/zone/number.
func (g Group) Key() string {
	return strings.Join([]string{
		url.PathEscape(g.Node),
		strconv.FormatInt(g.Incarnation, 10) + "." + strconv.Itoa(g.Epoch),
		url.PathEscape(g.Zone),
		strconv.Itoa(g.Number),
	}, "/")
}

// ParseKey reads what Key writes; ok is false for anything else.
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
	if !found || errors.Join(errs[:]...) != nil {
		return g, false
	}
	return g, g.Epoch > 0 && g.Number >= 0 && g.Number < GroupsPerZone
}

// GroupOf is the group that a worker of a holder is in.
func GroupOf(holder Holder, worker, zone string) Group {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(worker))
	return Group{Holder: holder, Zone: zone, Number: int(sum.Sum32() % GroupsPerZone)}
}

// Claim is who holds a worker, and the fencing token that says so.
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
func (o Ownership) NextGroup() (g Group, ok bool) {
	if len(o.Links) == 0 {
		return g, false
	}
	last := o.Links[len(o.Links)-1]
	return last.Group, last.Revision == 0
}

// FailedOver tells whether the worker has passed to its holder by a group.
func (o Ownership) FailedOver() bool { return len(o.Links) > 1 }
