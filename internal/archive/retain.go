package archive

import (
	"cmp"
	"slices"
	"time"
)

// bytesPerMB is the number of bytes in a megabyte of the settings.
const bytesPerMB = 1e6

// Retention configures how long attempts are kept, and how much of their output. For the time,
// the first rule that matches an attempt applies; for the quota, the first matching rule that
// sets MaxMB. A zero field of a rule means no limit.
type Retention struct {
	Rules []Rule `yaml:"rules"`
}

// Rule limits what is kept for a team, a class, or both; an empty name matches all.
type Rule struct {
	Team  string `yaml:"team"`
	Class string `yaml:"class"`
	// KeepS is how long an attempt is kept after its newest record was stored, in seconds.
	KeepS float64 `yaml:"keep_s"`
	// MaxMB is the team's quota, in megabytes; a rule with a class can't have one. In the
	// settings it is for all nodes together, in the rules that Decide applies for one node.
	MaxMB float64 `yaml:"max_mb"`
}

// Usage is the space that an attempt takes on a node.
type Usage struct {
	Attempt    Attempt
	Owner      Owner
	Class      string
	Bytes      int64
	LastStored time.Time // when its newest record was stored
	// Ended reports whether the attempt's end is on record. Of an attempt that has not
	// ended, only the output so far is dropped: a service that was idle for a long time
	// can write again.
	Ended bool
}

// Expired describes which records of an attempt were dropped by retention, so that readers
// can tell them from records that never existed. Its JSON is the payload of a record of
// KindExpired.
type Expired struct {
	// All reports whether the whole attempt was dropped. Otherwise Upto holds, for each
	// stream, the offset in bytes up to which it was dropped.
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

// Drop is a decision to drop a whole attempt, or the start of its streams.
type Drop struct {
	Attempt Attempt
	// HeadBytes is how many bytes to drop from the start of its streams; 0: drop the
	// whole attempt.
	HeadBytes int64
	Reason    string
}

// drop returns the decision to drop a whole attempt or, if it has not ended, its output so far.
func (u *Usage) drop(reason string) Drop {
	d := Drop{Attempt: u.Attempt, Reason: reason}
	if !u.Ended {
		d.HeadBytes = u.Bytes
	}
	return d
}

// matchingRule returns the first rule that matches an attempt, or nil if there is none. With
// quota it considers only rules that set a team's quota.
func (r *Retention) matchingRule(u *Usage, quota bool) *Rule {
	for i := range r.Rules {
		x := &r.Rules[i]
		if (x.Team == "" || x.Team == u.Owner.Team) && (x.Class == "" || x.Class == u.Class) && (!quota || x.MaxMB > 0 && x.Class == "") {
			return x
		}
	}
	return nil
}

// teamUsage is the usage of a team with a quota on a node.
type teamUsage struct {
	quota  int64 // bytes
	owners map[Owner][]Usage
}

// Decide returns what to drop at the given time. It drops attempts that are too old first.
// If a team exceeds its quota, the customers that use more than their fair share of the quota
// lose their oldest attempts first, so one customer's output never displaces another's. A
// customer's newest attempt loses only its start if that is enough. Decide does not modify
// all.
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

// tooOld reports whether an attempt is older than its rule allows.
func (r *Retention) tooOld(u *Usage, now time.Time) bool {
	rule := r.matchingRule(u, false)
	return rule != nil && rule.KeepS > 0 && now.Sub(u.LastStored).Seconds() > rule.KeepS
}

// overQuota returns what to drop so that the team fits its quota, ordered by the
// customers' names.
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
	limit := fairShare(t.quota, amounts)
	slices.SortFunc(owners, func(a, b Owner) int { return cmp.Compare(a.Customer, b.Customer) })
	for _, owner := range owners {
		drops = append(drops, dropOldest(t.owners[owner], sums[owner]-limit)...)
	}
	return drops
}

// dropOldest returns drops of attempts, the oldest first, that free at least excess bytes.
// If the newest attempt has to be dropped, too, and dropping its start is enough, it loses
// only its start. dropOldest sorts uses.
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

// fairShare returns the limit to apply to each of the amounts so that their sum fits the
// quota; an amount below the limit stays whole. If the amounts already fit, the limit is
// the largest of them.
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

// Check returns what is wrong with the first invalid rule, or "" if all are valid.
func (r *Retention) Check() (problem string) {
	for i := range r.Rules {
		x := &r.Rules[i]
		if !(x.KeepS >= 0) || !(x.MaxMB >= 0) {
			return "must not be negative"
		}
		if x.Class != "" && x.MaxMB > 0 {
			return "a rule with a class can't have max_mb, which is a team's quota"
		}
	}
	return ""
}
