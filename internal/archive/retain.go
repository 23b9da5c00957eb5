package archive

import (
	"cmp"
	"slices"
	"time"
)

// bytesPerMB is a megabyte as the settings mean it.
const bytesPerMB = 1e6

// Retention says how long attempts are kept, and how much of them. The first rule
// that fits an attempt holds; a rule's zero fields are unbounded.
type Retention struct {
	Rules []Rule `yaml:"rules"`
}

// Rule bounds what is kept of a team, a class, or both; an empty name fits all.
type Rule struct {
	Team  string `yaml:"team"`
	Class string `yaml:"class"`
	// KeepS is how long records are kept after the attempt's last, in seconds.
	KeepS float64 `yaml:"keep_s"`
	// MaxMB is what the team may have on a node, in megabytes; rules for a class
	// alone have none.
	MaxMB float64 `yaml:"max_mb"`
}

// Use is what an attempt takes on a node.
type Use struct {
	Attempt Attempt
	Owner   Owner
	Class   string
	Bytes   int64
	Last    time.Time // when its newest record was stored
	// Over tells that the attempt's end is on record. Of others only the output so
	// far is dropped: a service that was quiet for long can write again.
	Over bool
}

// Expired says what was dropped, so that it differs from what never was. Its JSON is
// the payload of a record of KindExpired.
type Expired struct {
	// All tells that the whole attempt was dropped. Otherwise Upto is the offset in
	// bytes up to which each stream was.
	All    bool             `json:"all,omitempty"`
	Upto   map[string]int64 `json:"upto,omitempty"`
	At     int64            `json:"atMs"` // Unix time in milliseconds
	Reason string           `json:"reason"`
}

// Reasons for expiry.
const (
	ExpiredAge   = "older than its team keeps"
	ExpiredQuota = "its owner's quota was full"
)

// Drop is an attempt that is to be dropped, or the start of its streams.
type Drop struct {
	Attempt Attempt
	// Head is how many bytes are to be dropped from its streams' start; 0: all of it.
	Head   int64
	Reason string
}

// drop returns the drop of all that there is of an attempt.
func (u *Use) drop(reason string) Drop {
	d := Drop{Attempt: u.Attempt, Reason: reason}
	if !u.Over {
		d.Head = u.Bytes
	}
	return d
}

// rule returns the first rule that fits an attempt, or with quota the first of those
// that have one; nil if there is none.
func (r *Retention) rule(u *Use, quota bool) *Rule {
	for i := range r.Rules {
		x := &r.Rules[i]
		if (x.Team == "" || x.Team == u.Owner.Team) && (x.Class == "" || x.Class == u.Class) && (!quota || x.MaxMB > 0 && x.Class == "") {
			return x
		}
	}
	return nil
}

// teamUsage is what a team with a quota has on a node.
type teamUsage struct {
	quota  int64 // bytes
	owners map[Owner][]Use
}

// Decide returns what is to be dropped at a time. Age goes first. Of a team that has
// more than its quota, those customers lose who have more than an equal share of it,
// their oldest attempts first: what one customer writes never costs another's
// output. An attempt that is alone above the share loses its start. The caller keeps
// all, which is not changed.
func (r *Retention) Decide(now time.Time, all []Use) (drops []Drop) {
	teams := map[string]*teamUsage{}
	var names []string
	for i := range all {
		u := &all[i]
		if r.tooOld(u, now) {
			if u.Bytes > 0 || u.Over {
				drops = append(drops, u.drop(ExpiredAge))
			}
			continue
		}
		rule := r.rule(u, true)
		if rule == nil {
			continue
		}
		team := teams[u.Owner.Team]
		if team == nil {
			team = &teamUsage{quota: int64(rule.MaxMB * bytesPerMB), owners: map[Owner][]Use{}}
			teams[u.Owner.Team] = team
			names = append(names, u.Owner.Team)
		}
		team.owners[u.Owner] = append(team.owners[u.Owner], *u)
	}
	slices.Sort(names)
	for _, name := range names {
		drops = append(drops, teams[name].overQuota()...)
	}
	return drops
}

// tooOld tells whether the rule for an attempt does not keep it any longer.
func (r *Retention) tooOld(u *Use, now time.Time) bool {
	rule := r.rule(u, false)
	return rule != nil && rule.KeepS > 0 && now.Sub(u.Last).Seconds() > rule.KeepS
}

// overQuota returns what the team's customers lose to its quota, customer by
// customer in the order of their names.
func (t *teamUsage) overQuota() (drops []Drop) {
	sums := map[Owner]int64{}
	owners := make([]Owner, 0, len(t.owners))
	var amounts []int64
	for owner, uses := range t.owners {
		for i := range uses {
			sums[owner] += uses[i].Bytes
		}
		owners = append(owners, owner)
		amounts = append(amounts, sums[owner])
	}
	level := share(t.quota, amounts)
	slices.SortFunc(owners, func(a, b Owner) int { return cmp.Compare(a.Customer, b.Customer) })
	for _, owner := range owners {
		drops = append(drops, dropOldest(t.owners[owner], sums[owner]-level)...)
	}
	return drops
}

// dropOldest drops attempts, the oldest first, until excess bytes are freed. Of the
// last one only the start goes if that is enough. It sorts uses.
func dropOldest(uses []Use, excess int64) (drops []Drop) {
	slices.SortFunc(uses, func(a, b Use) int {
		if c := a.Last.Compare(b.Last); c != 0 {
			return c
		}
		return cmp.Compare(a.Attempt.String(), b.Attempt.String())
	})
	for i := range uses {
		if excess <= 0 {
			break
		}
		u := &uses[i]
		if i == len(uses)-1 && excess < u.Bytes {
			drops = append(drops, Drop{Attempt: u.Attempt, Head: excess, Reason: ExpiredQuota})
		} else if u.Bytes > 0 {
			drops = append(drops, u.drop(ExpiredQuota))
		}
		excess -= u.Bytes
	}
	return drops
}

// share is the level at which amounts are cut so that together they fit: whoever
// has less keeps all. Without need it is the largest amount.
func share(quota int64, amounts []int64) int64 {
	a := slices.Clone(amounts)
	slices.Sort(a)
	left := quota
	for i, v := range a {
		n := int64(len(a) - i)
		if v*n > left {
			return left / n
		}
		left -= v
	}
	if len(a) == 0 {
		return quota
	}
	return a[len(a)-1]
}

// Check says what is wrong with the first invalid rule; "" if all are valid.
func (r *Retention) Check() (field string) {
	for i := range r.Rules {
		x := &r.Rules[i]
		if !(x.KeepS >= 0) || !(x.MaxMB >= 0) {
			return "must not be negative"
		}
		if x.Class != "" && x.MaxMB > 0 {
			return "max_mb is a team's: a rule with a class has none"
		}
	}
	return ""
}
