package archive

import (
	"cmp"
	"slices"
	"time"
)

// Retention is how long what is kept, and how much. The first rule that fits an
// attempt holds; its zero fields are unbounded.
type Retention struct {
	Rules []Rule `yaml:"rules"`
}

// Rule is for a team, a class, or both; an empty field fits all.
type Rule struct {
	Team  string `yaml:"team"`
	Class string `yaml:"class"`
	// KeepS is how long records are kept after the attempt's last, in seconds.
	KeepS float64 `yaml:"keep_s"`
	// MaxMB is what the team may have on a node, in megabytes; rules for a class
	// alone have none.
	MaxMB float64 `yaml:"max_mb"`
}

// Use is what an attempt takes.
type Use struct {
	Attempt Attempt
	Owner   Owner
	Class   string
	Bytes   int64
	Last    time.Time // when its newest record came
	// Over is an attempt whose end is on record. Of others only the output so far
	// goes: a service that was quiet for long can speak again.
	Over bool
}

// Expired says what was dropped, so that it differs from what never was.
type Expired struct {
	// All of the attempt, or each stream up to an offset.
	All    bool             `json:"all,omitempty"`
	Upto   map[string]int64 `json:"upto,omitempty"`
	At     int64            `json:"atMs"`
	Reason string           `json:"reason"`
}

// Reasons for expiry.
const (
	ExpiredAge   = "older than its team keeps"
	ExpiredQuota = "its owner's quota was full"
)

// Drop is an attempt that is to go, or the start of its streams.
type Drop struct {
	Attempt Attempt
	// Head is how many bytes are to go from its streams' start; 0: all of it.
	Head   int64
	Reason string
}

// drop drops all that there is of an attempt.
func (u *Use) drop(reason string) Drop {
	d := Drop{Attempt: u.Attempt, Reason: reason}
	if !u.Over {
		d.Head = u.Bytes
	}
	return d
}

func (r *Retention) rule(u *Use, quota bool) *Rule {
	for i := range r.Rules {
		x := &r.Rules[i]
		if (x.Team == "" || x.Team == u.Owner.Team) && (x.Class == "" || x.Class == u.Class) && (!quota || x.MaxMB > 0 && x.Class == "") {
			return x
		}
	}
	return nil
}

// Decide says what is to go now. Age goes first. Of a team that has more than its
// quota, those customers lose who have more than an equal share of it, their
// oldest attempts first: what one customer writes never costs another's output. An
// attempt that is alone above the share loses its start.
func (r *Retention) Decide(now time.Time, all []Use) (out []Drop) {
	type team struct {
		quota  int64
		owners map[Owner][]Use
	}
	teams := map[string]*team{}
	var names []string
	for i := range all {
		u := &all[i]
		if x := r.rule(u, false); x != nil && x.KeepS > 0 && now.Sub(u.Last).Seconds() > x.KeepS {
			if u.Bytes > 0 || u.Over {
				out = append(out, u.drop(ExpiredAge))
			}
			continue
		}
		x := r.rule(u, true)
		if x == nil {
			continue
		}
		t := teams[u.Owner.Team]
		if t == nil {
			t = &team{quota: int64(x.MaxMB * 1e6), owners: map[Owner][]Use{}}
			teams[u.Owner.Team] = t
			names = append(names, u.Owner.Team)
		}
		t.owners[u.Owner] = append(t.owners[u.Owner], *u)
	}
	slices.Sort(names)
	for _, name := range names {
		t := teams[name]
		sums := map[Owner]int64{}
		var list []int64
		for o, uses := range t.owners {
			for i := range uses {
				sums[o] += uses[i].Bytes
			}
			list = append(list, sums[o])
		}
		level := share(t.quota, list)
		owners := make([]Owner, 0, len(t.owners))
		for o := range t.owners {
			owners = append(owners, o)
		}
		slices.SortFunc(owners, func(a, b Owner) int { return cmp.Compare(a.Customer, b.Customer) })
		for _, o := range owners {
			over := sums[o] - level
			uses := t.owners[o]
			slices.SortFunc(uses, func(a, b Use) int {
				if c := a.Last.Compare(b.Last); c != 0 {
					return c
				}
				return cmp.Compare(a.Attempt.String(), b.Attempt.String())
			})
			for i := range uses {
				if over <= 0 {
					break
				}
				u := &uses[i]
				if i == len(uses)-1 && over < u.Bytes {
					out = append(out, Drop{Attempt: u.Attempt, Head: over, Reason: ExpiredQuota})
				} else if u.Bytes > 0 {
					out = append(out, u.drop(ExpiredQuota))
				}
				over -= u.Bytes
			}
		}
	}
	return out
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

// Check names the first field that can't be.
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
