// Package failover decides which controller owns a worker when the workers of one
// controller fail over to others in groups: one record per group replaces a claim for each worker.
//
// A worker's own claim names the controller that holds the worker, the incarnation of that
// process and the epoch of its claims. All workers of one holder in one zone whose names hash
// to the same number form a group. A record under the group's key makes another controller
// their holder; the record's revision is the workers' new fencing token. A group fails over at
// most once: its key is written only while it does not exist. The workers then belong to groups
// of their new holder, so records form chains in which each link is newer than the one before.
//
// A record does not affect a worker whose own claim is newer than the record: the worker has
// left the group, and joins a group again only through another record.
//
// A record is applied only once the mirror is complete up to its revision. Before that, the
// mirror may lack a claim of a single worker that was committed before the record, and the
// group's new holder would answer a worker that belongs to another controller.
//
// The package uses no I/O, no clock and no lock: a Table has one owner. See docs/design.md,
// "Taking workers over by the group".
package failover

import (
	"errors"
	"hash/fnv"
	"net/url"
	"strconv"
	"strings"
)

// GroupsPerZone is the number of groups into which a holder's workers in one zone are divided.
// All controllers must use the same number, since the records' keys depend on it. It is small, so
// that a failover takes few writes, and more than one, so that several controllers share the workers.
const GroupsPerZone = 4

// Holder is one incarnation of a controller, with the epoch of its claims. The controller begins
// a new epoch whenever a group of its workers has failed over, so that workers which it claims
// afterwards can fail over, too. Epochs count from 1. Epoch 0 marks a claim by a version without
// groups, whose workers never fail over in groups.
type Holder struct {
	Node        string `json:"o"`
	Incarnation int64  `json:"l"`
	Epoch       int    `json:"e"`
}

// Group identifies a set of a holder's workers in one zone that fail over together.
type Group struct {
	Holder
	Zone   string
	Number int // from 0 to GroupsPerZone-1
}

// Key returns the key of the group's record below the prefix of failover records:
// node/incarnation.epoch/zone/number.
func (g Group) Key() string {
	return strings.Join([]string{
		url.PathEscape(g.Node),
		strconv.FormatInt(g.Incarnation, 10) + "." + strconv.Itoa(g.Epoch),
		url.PathEscape(g.Zone),
		strconv.Itoa(g.Number),
	}, "/")
}

// ParseKey parses a key in the format of Key; ok is false for any other text.
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

// GroupOf returns the group to which a holder's worker belongs.
func GroupOf(holder Holder, worker, zone string) Group {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(worker))
	return Group{Holder: holder, Zone: zone, Number: int(sum.Sum32() % GroupsPerZone)}
}

// Claim is a worker's holder and the fencing token under which it holds the worker.
type Claim struct {
	Holder
	Token uint64
}

// Link is a group and the revision of its record, 0 if there is none.
type Link struct {
	Group    Group
	Revision uint64
}

// Ownership is a worker's holder after all records are applied. Links lists the groups with which
// the worker has failed over, and last the group with which it would fail over next. The holder
// depends on these links and the worker's own claim alone: it changes only if one of them changes.
type Ownership struct {
	Claim
	Links []Link
}

// NextGroup returns the group with which the worker would fail over to another controller. ok is
// false if it can't: the group has failed over already, before the claim, or the claim is of a
// version without groups.
func (o Ownership) NextGroup() (g Group, ok bool) {
	if len(o.Links) == 0 {
		return g, false
	}
	last := o.Links[len(o.Links)-1]
	return last.Group, last.Revision == 0
}

// FailedOver reports whether the worker came to its holder by a group's failover.
func (o Ownership) FailedOver() bool { return len(o.Links) > 1 }
