package datastore

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Source is a source of chunks: another machine if Peer is set, else a file server.
// Address is a host with a port.
type Source struct {
	Address string
	Peer    bool
}

// Outcome is the outcome of a request to a source.
type Outcome int

// Outcomes of a request.
const (
	Good    Outcome = iota
	Missing         // the source lacks the chunk or manifest; another machine may have dropped the copy
	Busy            // the source answered that it has too many requests
	Failed          // an error, a stall, a wrong length
	Damaged         // the bytes don't match the hash
	Stopped         // this store cancelled the request
)

// Back-off of a source after a failure: it begins with firstPause, doubles with each
// further failure up to longestPause, and a random time of at most the same length is
// added, so that machines whose requests failed together do not retry together.
const (
	firstPause   = 100 * time.Millisecond
	longestPause = 10 * time.Second
	// setAsideDuration is how long a source that served damaged bytes is put aside.
	setAsideDuration = 5 * time.Minute
	// maxRequestsPerSource is how many chunks are requested from one source at a time.
	maxRequestsPerSource = 2
)

// sources holds the state of all sources, over all fetches of a machine. It does no
// I/O: callers pass the time, and newSources is given the random numbers.
type sources struct {
	random     *rand.Rand
	byAddress  map[string]*source
	onSetAside func(address string) // called when a source is put aside
}

// source is the state of one source.
type source struct {
	requests  int
	failures  int
	notBefore time.Duration // no request is sent to the source before this time
	rate      float64       // bytes per second of one request, smoothed
}

// newSources returns a sources without any source.
func newSources(rnd *rand.Rand, onSetAside func(string)) *sources {
	return &sources{random: rnd, byAddress: map[string]*source{}, onSetAside: onSetAside}
}

// get returns the state of a source, which it adds if needed.
func (s *sources) get(address string) *source {
	x := s.byAddress[address]
	if x == nil {
		x = &source{}
		s.byAddress[address] = x
	}
	return x
}

// beginRequest records that a request to a source begins.
func (s *sources) beginRequest(address string) { s.get(address).requests++ }

// endRequest records the outcome of a request, how many bytes it returned and how long
// it took.
func (s *sources) endRequest(now time.Duration, address string, o Outcome, bytes int, took time.Duration) {
	x := s.get(address)
	x.requests--
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
		x.notBefore = now + setAsideDuration
		s.onSetAside(address)
	case Failed, Busy:
		pause := min(firstPause<<min(x.failures, 10), longestPause)
		x.failures++
		x.notBefore = max(x.notBefore, now+pause+time.Duration(s.random.Float64()*float64(pause)))
	}
	// Forget sources that were not used for a while.
	if len(s.byAddress) > 1000 {
		for a, x := range s.byAddress {
			if x.requests == 0 && now > x.notBefore+setAsideDuration {
				delete(s.byAddress, a)
			}
		}
	}
}

// fetchPlan is the plan of one copy's fetch: which chunks are missing, and which source
// was asked for each.
type fetchPlan struct {
	sources    []Source
	missing    []int                  // chunks to request, the next one last
	inFlight   map[int]string         // source of each chunk that is being requested
	absent     map[string]bool        // peers that lack the copy
	failures   map[int]map[string]int // by chunk and source
	unverified int                    // number of chunks not fetched yet
}

// newFetchPlan returns a plan to fetch chunks from sources. The plan owns from.
func newFetchPlan(chunks []int, from []Source) *fetchPlan {
	p := &fetchPlan{sources: from, inFlight: map[int]string{}, absent: map[string]bool{}, failures: map[int]map[string]int{}, unverified: len(chunks)}
	p.missing = append(p.missing, chunks...)
	sort.Sort(sort.Reverse(sort.IntSlice(p.missing)))
	return p
}

// addSources adds the sources that the plan lacks.
func (p *fetchPlan) addSources(from []Source) {
	p.sources = mergeSources(p.sources, from)
}

// mergeSources appends to a the sources of b that a lacks.
func mergeSources(a, b []Source) []Source {
	for _, s := range b {
		if !slices.Contains(a, s) {
			a = append(a, s)
		}
	}
	return a
}

// nextRequest returns the chunk to request next and its source. If ok is false there is
// none now, and wait is the time until a source's back-off ends, or 0 if nothing can be
// requested before a request under way ends.
func (p *fetchPlan) nextRequest(now time.Duration, all *sources) (chunk int, from Source, wait time.Duration, ok bool) {
	if len(p.missing) == 0 {
		return 0, from, 0, false
	}
	chunk = p.missing[len(p.missing)-1]
	// Many machines share the file servers: don't use them if a peer can probably serve
	// the chunk, so that they stay free for machines without such a peer.
	peerUsable := false
	for _, s := range p.sources {
		peerUsable = peerUsable || s.Peer && !p.absent[s.Address] && now >= all.get(s.Address).notBefore && p.failures[chunk][s.Address] == 0
	}
	var best *source
	for _, s := range p.sources {
		x := all.get(s.Address)
		if p.absent[s.Address] || peerUsable && !s.Peer {
			continue
		}
		if now < x.notBefore {
			if wait == 0 || x.notBefore-now < wait {
				wait = x.notBefore - now
			}
			continue
		}
		if x.requests >= maxRequestsPerSource {
			continue
		}
		// The source with the fewest failures for this chunk is best; then a
		// machine before a file server, as there are many machines; then the
		// source with the fewest requests under way; then the fastest.
		if best == nil || preferred(p.failures[chunk][s.Address], s, x, p.failures[chunk][from.Address], from, best) {
			best, from = x, s
		}
	}
	if best == nil {
		return 0, from, wait, false
	}
	p.missing = p.missing[:len(p.missing)-1]
	p.inFlight[chunk] = from.Address
	all.beginRequest(from.Address)
	return chunk, from, 0, true
}

// preferred reports whether source s is better than source s2 for a chunk. failures and
// failures2 are their numbers of failed requests for the chunk, x and x2 their states.
func preferred(failures int, s Source, x *source, failures2 int, s2 Source, x2 *source) bool {
	switch {
	case failures != failures2:
		return failures < failures2
	case s.Peer != s2.Peer:
		return s.Peer
	case x.requests != x2.requests:
		return x.requests < x2.requests
	}
	return x.rate > x2.rate
}

// finishRequest records the outcome of a request. It returns true when the fetch is
// complete.
func (p *fetchPlan) finishRequest(chunk int, from Source, o Outcome) bool {
	delete(p.inFlight, chunk)
	if o == Good {
		p.unverified--
		return p.unverified == 0
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

// exhausted reports whether the missing chunks can't be fetched: no request is under way,
// and every source is a machine that lacks the copy.
func (p *fetchPlan) exhausted() bool {
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
