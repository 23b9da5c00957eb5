package staging

import "time"

// Option is one of the ways in which a waiting task can be started.
type Option int

// Options, in the order that breaks ties: those that disturb no other task come first.
const (
	FetchInputs   Option = iota // start on a machine with free room and fetch the inputs to it
	WaitForHolder               // wait until a machine that holds the inputs is free
	PreemptHolder               // stop lower-priority work on a machine that holds the inputs
)

// Never is the time of an option that is not available.
const Never = time.Duration(1<<63 - 1)

// Choose picks the option that starts a task earliest, when the machines with
// free room lack its inputs and the machines that hold them are busy. fetch, free
// and stop are the expected times until the task starts by FetchInputs,
// WaitForHolder and PreemptHolder; stop is Never for a task that may not stop
// others. waited is how long the task has waited already. The total wait for
// locality is bounded by the time of the next best option, because room that is
// about to be free may go to another task.
//
// Delay scheduling skips a fixed number of offers. The bound here follows from
// the time that a fetch would take, so a task waits for a large data set but not
// for a small one.
func Choose(fetch, free, stop, waited time.Duration) Option {
	best, bound := FetchInputs, fetch
	if stop < fetch {
		// Stopping a task frees room for certain and soon, whereas room that is
		// about to be free may go to another task: wait for it only if that takes
		// at most an eighth of the time.
		best, bound = PreemptHolder, stop/8
	}
	if free < bound && waited+free <= bound {
		best = WaitForHolder
	}
	return best
}

// Candidate is a machine on which waiting tasks of a job may run, with the time
// until it has room for one.
type Candidate struct {
	Machine string
	FreeIn  time.Duration // from now
}

// Place picks the n machines on which a task can start earliest, counting both
// the time until there is room and the time of the fetch, and returns those of
// them to which the copies must still be brought. cost returns the expected time
// until a machine holds the copies; holds reports whether a machine holds or
// fetches them already.
func Place(candidates []Candidate, n int, cost func(machine string) time.Duration, holds func(machine string) bool) (toFetch []string) {
	type choice struct {
		c  Candidate
		at time.Duration
	}
	picked := make([]choice, 0, n+1)
	for _, c := range candidates {
		x := choice{c, max(c.FreeIn, cost(c.Machine))}
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
		if !holds(x.c.Machine) {
			toFetch = append(toFetch, x.c.Machine)
		}
	}
	return toFetch
}

// Announcement describes future work: Machines machines are to hold the copy by
// the time NeededBy.
type Announcement struct {
	Copy     ID
	NeededBy time.Duration
	Machines int
	Zone     string // "": any zone
}

// FetchStart returns when fetching for an announcement must start. It allows for the
// rounds in which copies spread from machine to machine, as each machine that has
// the copy serves fan others, and adds half of that time as a margin. rate is
// the bytes per second of one fetch.
func (a Announcement) FetchStart(bytes int64, rate float64, fan int) time.Duration {
	if rate <= 0 {
		return 0
	}
	rounds := 1.0
	for have := 1; have < a.Machines; have *= 1 + max(1, fan) {
		rounds++
	}
	return a.NeededBy - time.Duration(1.5*rounds*float64(bytes)/rate*float64(time.Second))
}
