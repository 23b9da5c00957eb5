package stagebench

import (
	"cmp"
	"fmt"
	"slices"

	"silvergate/internal/staging"
)

// flow moves bytes: each fetch gets the smaller share of its two ends.
func (s *sim) flow() {
	if s.way != Blind && s.way != Oracle {
		for _, n := range s.nodes {
			if s.active[n] {
				s.sync(n)
			}
		}
	}
	srv, in, out := make([]int, s.servers()), map[*node]int{}, map[*node]int{}
	for _, f := range s.flows {
		in[f.m]++
		if f.peer != nil {
			out[f.peer]++
		} else {
			srv[f.server]++
		}
	}
	var done []*flow
	rest := s.flows[:0]
	for _, f := range s.flows {
		rate := machineBps / float64(in[f.m])
		if f.peer != nil {
			rate = min(rate, machineBps/float64(out[f.peer]))
			s.measured.peerBytes += min(f.left, rate*step)
		} else {
			rate = min(rate, serverBps/float64(srv[f.server]))
		}
		s.measured.bytes += min(f.left, rate*step)
		if f.left -= rate * step; f.left <= 0 {
			done = append(done, f)
		} else {
			rest = append(rest, f)
		}
	}
	s.flows = rest
	slices.SortFunc(done, func(a, b *flow) int { return cmp.Or(cmp.Compare(a.m.at, b.m.at), cmp.Compare(a.id, b.id)) })
	for _, f := range done {
		delete(f.m.pulls, f.id)
		s.arrive(f.m, f.id)
	}
}

// sync makes a machine's fetches what the planner wants.
func (s *sim) sync(n *node) {
	fetches := s.planner.Orders(n.id)
	going := map[staging.ID]bool{}
	for _, o := range fetches {
		going[o.ID] = true
		f := n.pulls[o.ID]
		if f == nil {
			f = &flow{id: o.ID, m: n, left: copyBytes, server: -1}
			n.pulls[o.ID] = f
			s.flows = append(s.flows, f)
		}
		if f.peer, f.server = s.byAddr[o.Peer], -1; f.peer == nil {
			_, _ = fmt.Sscanf(o.Server, "s%d", &f.server)
		}
		s.planner.Held(s.clock(), n.id, staging.Report{Digest: "", Pulls: []staging.Pull{{ID: o.ID, Done: int64(copyBytes - f.left), Total: copyBytes}}})
	}
	for id, f := range n.pulls {
		if !going[id] { // displaced: what it has is kept in this model's next fetch
			if i := slices.Index(s.flows, f); i >= 0 {
				s.flows = slices.Delete(s.flows, i, i+1)
			}
			delete(n.pulls, id)
		}
	}
	if len(n.wants) == 0 {
		delete(s.active, n)
	}
}

// arrive makes a copy visible, and room for it.
func (s *sim) arrive(n *node, id staging.ID) {
	n.held[id] = s.now
	delete(n.wants, id)
	for len(n.held) > keeps {
		oldest := staging.ID("")
		for h, at := range n.held {
			if !n.uses(h) && h != id && (oldest == "" || at < n.held[oldest] || at == n.held[oldest] && h < oldest) {
				oldest = h
			}
		}
		if oldest == "" {
			break
		}
		delete(n.held, oldest)
		var list []staging.ID
		for h := range n.held {
			list = append(list, h)
		}
		slices.Sort(list)
		s.planner.Held(s.clock(), n.id, staging.Report{List: list, Listed: true})
	}
	s.planner.Arrived(s.clock(), n.id, id)
}

func (n *node) uses(id staging.ID) bool {
	for _, t := range n.tasks {
		if t.copy == id {
			return true
		}
	}
	return false
}
