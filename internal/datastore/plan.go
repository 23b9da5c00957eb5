package datastore

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Source is where chunks can be fetched from: a file server, or with Peer another
// machine. Address is a host with a port.
type Source struct {
	Address string
	Peer    bool
}

// Outcome is what came of asking a source for a chunk.
type Outcome int

// Outcomes of a request.
const (
	Good    Outcome = iota
	Missing         // the source does not have it: another machine may have dropped it
	Busy            // it has too many requests, and said so
	Failed          // an error, a stall, a wrong length
	Damaged         // the bytes are not the chunk's
	Stopped         // this store gave the request up
)

// Back-off of a source after a failure: from the first pause on, twice as long
// each time up to the longest, and as much again by chance, so that machines
// that failed together do not come back together.
const (
	firstPause   = 100 * time.Millisecond
	longestPause = 10 * time.Second
	// asideFor is how long a source that served damaged bytes is put aside.
	asideFor = 5 * time.Minute
	// perSource is how many chunks are asked of one source at a time.
	perSource = 2
)

// sources is what is known of all sources, over all fetches of a machine. It does
// no I/O; time and chance come with the calls.
type sources struct {
	random     *rand.Rand
	all        map[string]*source
	onSetAside func(address string) // called when a source is put aside
}

// source is what is known of a source.
type source struct {
	busy      int
	failures  int
	notBefore time.Duration // not before
	rate      float64       // bytes a second, of one chunk, smoothed
}

// newSources returns that nothing is known of any source yet.
func newSources(rnd *rand.Rand, onSetAside func(string)) *sources {
	return &sources{random: rnd, all: map[string]*source{}, onSetAside: onSetAside}
}

// of returns what is known of a source.
func (s *sources) of(address string) *source {
	x := s.all[address]
	if x == nil {
		x = &source{}
		s.all[address] = x
	}
	return x
}

// begin notes that a request to a source begins.
func (s *sources) begin(address string) { s.of(address).busy++ }

// end notes what came of a request: so many bytes, and how long it took.
func (s *sources) end(now time.Duration, address string, o Outcome, bytes int, took time.Duration) {
	x := s.of(address)
	x.busy--
	switch o {
	case Good:
		x.failures = 0
		if took > 0 {
			rate := float64(bytes) / took.Seconds()
			if x.rate == 0 {
				x.rate = rate
			}
			x.rate += (rate - x.rate) / 8
		}
	case Damaged:
		x.notBefore = now + asideFor
		s.onSetAside(address)
	case Failed, Busy:
		pause := min(firstPause<<min(x.failures, 10), longestPause)
		x.failures++
		x.notBefore = max(x.notBefore, now+pause+time.Duration(s.random.Float64()*float64(pause)))
	}
	// What is not asked any more need not be remembered.
	if len(s.all) > 1000 {
		for a, x := range s.all {
			if x.busy == 0 && now > x.notBefore+asideFor {
				delete(s.all, a)
			}
		}
	}
}

// fetchPlan is the plan of one copy's fetch: which chunks are missing, and where each
// was asked for.
type fetchPlan struct {
	sources   []Source
	missing   []int                  // chunks that are not being asked for, the next last
	inFlight  map[int]string         // source of each chunk that is being asked for
	absent    map[string]bool        // peers that lack the copy
	failures  map[int]map[string]int // failures of a chunk by source
	remaining int                    // chunks not here yet
}

// newFetchPlan plans the fetch of chunks; it keeps from.
func newFetchPlan(chunks []int, from []Source) *fetchPlan {
	p := &fetchPlan{sources: from, inFlight: map[int]string{}, absent: map[string]bool{}, failures: map[int]map[string]int{}, remaining: len(chunks)}
	p.missing = append(p.missing, chunks...)
	sort.Sort(sort.Reverse(sort.IntSlice(p.missing)))
	return p
}

// add adds sources that are not known yet.
func (p *fetchPlan) add(from []Source) {
	p.sources = merge(p.sources, from)
}

// merge appends the sources of b that a lacks.
func merge(a, b []Source) []Source {
	for _, s := range b {
		if !slices.Contains(a, s) {
			a = append(a, s)
		}
	}
	return a
}

// next says which chunk to ask of which source; or, with ok false, when to look again:
// 0 when nothing can be done before a request ends.
func (p *fetchPlan) next(now time.Duration, all *sources) (chunk int, from Source, wait time.Duration, ok bool) {
	if len(p.missing) == 0 {
		return 0, from, 0, false
	}
	chunk = p.missing[len(p.missing)-1]
	// File servers are many machines' source: where another machine will do,
	// they are left to those that have none.
	machine := false
	for _, s := range p.sources {
		machine = machine || s.Peer && !p.absent[s.Address] && now >= all.of(s.Address).notBefore && p.failures[chunk][s.Address] == 0
	}
	var best *source
	for _, s := range p.sources {
		x := all.of(s.Address)
		if p.absent[s.Address] || machine && !s.Peer {
			continue
		}
		if now < x.notBefore {
			if wait == 0 || x.notBefore-now < wait {
				wait = x.notBefore - now
			}
			continue
		}
		if x.busy >= perSource {
			continue
		}
		// Machines before file servers, as there are many of them; then the
		// one that failed least for this chunk, is asked least, and is
		// fastest.
		if best == nil || better(p.failures[chunk][s.Address], s, x, p.failures[chunk][from.Address], from, best) {
			best, from = x, s
		}
	}
	if best == nil {
		return 0, from, wait, false
	}
	p.missing = p.missing[:len(p.missing)-1]
	p.inFlight[chunk] = from.Address
	all.begin(from.Address)
	return chunk, from, 0, true
}

// better tells whether the first source is to be asked rather than the second.
func better(tried int, s Source, x *source, tried2 int, s2 Source, x2 *source) bool {
	switch {
	case tried != tried2:
		return tried < tried2
	case s.Peer != s2.Peer:
		return s.Peer
	case x.busy != x2.busy:
		return x.busy < x2.busy
	}
	return x.rate > x2.rate
}

// finishRequest notes what came of a request. It returns true when the fetch is
// complete.
func (p *fetchPlan) finishRequest(chunk int, from Source, o Outcome) bool {
	delete(p.inFlight, chunk)
	if o == Good {
		p.remaining--
		return p.remaining == 0
	}
	p.missing = append(p.missing, chunk)
	switch o {
	case Missing:
		if from.Peer {
			p.absent[from.Address] = true
		}
		fallthrough
	case Failed, Damaged:
		if p.failures[chunk] == nil {
			p.failures[chunk] = map[string]int{}
		}
		p.failures[chunk][from.Address]++
	}
	return false
}

// hopeless tells whether a chunk was refused by every source as not there.
func (p *fetchPlan) hopeless() bool {
	if len(p.inFlight) > 0 || len(p.missing) == 0 {
		return false
	}
	for _, s := range p.sources {
		if !p.absent[s.Address] {
			return false
		}
	}
	return true
}
