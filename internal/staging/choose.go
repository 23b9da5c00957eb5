package staging

import "time"

// Option is a way for a task to start: how long until then, as far as is known.
type Option int

// Options, in the order that breaks ties: what disturbs nobody goes first.
const (
	FetchHere  Option = iota // take the free room and fetch the inputs
	WaitThere                // wait until a machine that holds them is free
	ClearThere               // stop lower work on one that holds them
)

// Never is an option that there is not.
const Never = time.Duration(1<<63 - 1)

// Choose picks what a task does that could have free room on a machine without
// its inputs, while machines that hold them are busy: whatever starts it
// earliest. Waiting has a bound: a task waits for locality no longer, all in
// all, than the next best way takes, as room that is about to be free may go to
// another. waited is how long it has already. Stopping others is for tasks that
// may (stop is Never for the rest).
//
// Delay scheduling skips a fixed number of offers; the bound here follows from
// what is to be gained, so a small set is not waited for and a large one is.
func Choose(fetch, free, stop, waited time.Duration) Option {
	best, bound := FetchHere, fetch
	if stop < fetch {
		// Stopping is sure and soon, and room that is about to be free may go
		// to another: it is waited for only where that costs next to nothing.
		best, bound = ClearThere, stop/8
	}
	if free < bound && waited+free <= bound {
		best = WaitThere
	}
	return best
}

// Candidate is a machine on which waiting tasks of a job may run, and when it
// will have room for one.
type Candidate struct {
	Machine string
	Free    time.Duration // from now
}

// Place picks up to n machines to bring a copy to: those on which a task can
// start earliest, counting both the room and the fetch. Those that hold the
// copies, or fetch them, count among the n. cost is the expected time until a
// machine holds them.
func Place(list []Candidate, n int, cost func(machine string) time.Duration, there func(machine string) bool) (bring []string) {
	type choice struct {
		c  Candidate
		at time.Duration
	}
	picked := make([]choice, 0, n+1)
	for _, c := range list {
		x := choice{c, max(c.Free, cost(c.Machine))}
		i := len(picked)
		for i > 0 && (x.at < picked[i-1].at || x.at == picked[i-1].at && x.c.Machine < picked[i-1].c.Machine) {
			i--
		}
		if i >= n {
			continue
		}
		picked = append(picked, choice{})
		copy(picked[i+1:], picked[i:])
		picked[i] = x
		if len(picked) > n {
			picked = picked[:n]
		}
	}
	for _, x := range picked {
		if !there(x.c.Machine) {
			bring = append(bring, x.c.Machine)
		}
	}
	return bring
}

// Announcement is work that will come: as many machines as it needs are to hold
// the copy by a time.
type Announcement struct {
	Copy     ID
	By       time.Duration
	Machines int
	Zone     string // "" is any
}

// Begin is when fetching for an announcement is to start: early enough that
// copies spread from machine to machine, each of which serves others once it
// has one, and half as long again to spare.
func (a Announcement) Begin(bytes int64, rate float64, fan int) time.Duration {
	if rate <= 0 {
		return 0
	}
	rounds := 1.0
	for have := 1; have < a.Machines; have *= 1 + max(1, fan) {
		rounds++
	}
	return a.By - time.Duration(1.5*rounds*float64(bytes)/rate*float64(time.Second))
}
