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

// Usage is what an attempt takes on a node.
type Usage struct {
	Attempt    Attempt
	Owner      Owner
	Class      string
	Bytes      int64
	LastStored time.Time // when its newest record was stored
	// Ended tells that the attempt's end is on record. Of others only the output so
	// far is dropped: a service that was quiet for long can write again.
	Ended bool
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
	// HeadBytes is how many bytes are to be dropped from its streams' start; 0: all of it.
	HeadBytes int64
	Reason    string
}

// drop returns the drop of all that there is of an attempt.
func (u *Usage) drop(reason string) Drop {
	d := Drop{Attempt: u.Attempt, Reason: reason}
	if !u.Ended {
		d.HeadBytes = u.Bytes
	}
	return d
}

// matchingRule returns the first matchingRule that fits an attempt, or with quota the first of those
// that have one; nil if there is none.
func (r *Retention) matchingRule(u *Usage, quota bool) *Rule {
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
	owners map[Owner][]Usage
}

// Decide returns what is to be dropped at a time. Age goes first. Of a team that has
// more than its quota, those customers lose who have more than an equal share of it,
// their oldest attempts first: what one customer writes never costs another's
// output. An attempt that is alone above the share loses its start. The caller keeps
// all, which is not changed.
func (r *Retention) Decide(now time.Time, all []Usage) (drops []Drop) {
	teams := map[string]*teamUsage{}
	var names []string
	for i := range all {
		u := &all[i]
		if r.tooOld(u, now) {
			if u.Bytes > 0 || u.Ended {
				drops = append(drops, u.drop(ExpiredAge))
			}
			continue
		}
		rule := r.matchingRule(u, true)
		if rule == nil {
			continue
		}
		team := teams[u.Owner.Team]
		if team == nil {
			team = &teamUsage{quota: int64(rule.MaxMB * bytesPerMB), owners: map[Owner][]Usage{}}
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
func (r *Retention) tooOld(u *Usage, now time.Time) bool {
	rule := r.matchingRule(u, false)
	return rule != nil && rule.KeepS > 0 && now.Sub(u.LastStored).Seconds() > rule.KeepS
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
	level := fairShare(t.quota, amounts)
	slices.SortFunc(owners, func(a, b Owner) int { return cmp.Compare(a.Customer, b.Customer) })
	for _, owner := range owners {
		drops = append(drops, dropOldest(t.owners[owner], sums[owner]-level)...)
	}
	return drops
}

// dropOldest drops attempts, the oldest first, until excess bytes are freed. Of the
// last one only the start goes if that is enough. It sorts uses.
func dropOldest(uses []Usage, excess int64) (drops []Drop) {
	slices.SortFunc(uses, func(a, b Usage) int {
		if c := a.LastStored.Compare(b.LastStored); c != 0 {
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
			drops = append(drops, Drop{Attempt: u.Attempt, HeadBytes: excess, Reason: ExpiredQuota})
		} else if u.Bytes > 0 {
			drops = append(drops, u.drop(ExpiredQuota))
		}
		excess -= u.Bytes
	}
	return drops
}

// fairShare is the level at which amounts are cut so that together they fit: whoever
// has less keeps all. Without need it is the largest amount.
func fairShare(quota int64, amounts []int64) int64 {
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
