package stagebench

import (
	"cmp"
	"fmt"
	"slices"

	"silvergate/internal/staging"
)

// moveBytes advances all transfers by a step. The transfers at an end share its rate
// equally, and each transfer moves at the lower of the rates that its two ends give it.
func (s *sim) moveBytes() {
	if s.strategy != Blind && s.strategy != Oracle {
		for _, n := range s.nodes {
			if s.active[n] {
				s.applyOrders(n)
			}
		}
	}
	serverTransfers, incoming, outgoing := make([]int, s.serverCount()), map[*node]int{}, map[*node]int{}
	for _, f := range s.transfers {
		incoming[f.node]++
		if f.peer != nil {
			outgoing[f.peer]++
		} else {
			serverTransfers[f.server]++
		}
	}
	var done []*transfer
	rest := s.transfers[:0]
	for _, f := range s.transfers {
		rate := machineBps / float64(incoming[f.node])
		if f.peer != nil {
			rate = min(rate, machineBps/float64(outgoing[f.peer]))
			s.measured.peerBytes += min(f.remainingBytes, rate*stepS)
		} else {
			rate = min(rate, serverBps/float64(serverTransfers[f.server]))
		}
		s.measured.bytes += min(f.remainingBytes, rate*stepS)
		if f.remainingBytes -= rate * stepS; f.remainingBytes <= 0 {
			done = append(done, f)
		} else {
			rest = append(rest, f)
		}
	}
	s.transfers = rest
	slices.SortFunc(done, func(a, b *transfer) int {
		return cmp.Or(cmp.Compare(a.node.index, b.node.index), cmp.Compare(a.id, b.id))
	})
	for _, f := range done {
		delete(f.node.fetches, f.id)
		s.addCopy(f.node, f.id)
	}
}

// applyOrders starts and ends a machine's transfers by the planner's orders, and reports
// them to the planner.
func (s *sim) applyOrders(n *node) {
	fetches := s.planner.Orders(n.id)
	going := map[staging.ID]bool{}
	for _, o := range fetches {
		going[o.ID] = true
		f := n.fetches[o.ID]
		if f == nil {
			f = &transfer{id: o.ID, node: n, remainingBytes: copyBytes, server: -1}
			n.fetches[o.ID] = f
			s.transfers = append(s.transfers, f)
		}
		if f.peer, f.server = s.byAddress[o.Peer], -1; f.peer == nil {
			_, _ = fmt.Sscanf(o.Server, "s%d", &f.server)
		}
		s.planner.HandleReport(s.nowDuration(), n.id, staging.Report{Digest: "", Pulls: []staging.Pull{
			{ID: o.ID, Done: int64(copyBytes - f.remainingBytes), Total: copyBytes}}})
	}
	for id, f := range n.fetches {
		if !going[id] { // preempted; in this model a new transfer starts from the beginning
			if i := slices.Index(s.transfers, f); i >= 0 {
				s.transfers = slices.Delete(s.transfers, i, i+1)
			}
			delete(n.fetches, id)
		}
	}
	if len(n.requested) == 0 {
		delete(s.active, n)
	}
}

// addCopy adds a copy to a machine and tells the planner. If the machine then has more than
// copiesPerMachine, it evicts the least recently used copies that no task uses.
func (s *sim) addCopy(n *node, id staging.ID) {
	n.copies[id] = s.now
	delete(n.requested, id)
	for len(n.copies) > copiesPerMachine {
		oldest := staging.ID("")
		for h, at := range n.copies {
			if !n.usesCopy(h) && h != id && (oldest == "" || at < n.copies[oldest] || at == n.copies[oldest] && h < oldest) {
				oldest = h
			}
		}
		if oldest == "" {
			break
		}
		delete(n.copies, oldest)
		var list []staging.ID
		for h := range n.copies {
			list = append(list, h)
		}
		slices.Sort(list)
		s.planner.HandleReport(s.nowDuration(), n.id, staging.Report{List: list, Listed: true})
	}
	s.planner.CopyArrived(s.nowDuration(), n.id, id)
}

func (n *node) usesCopy(id staging.ID) bool {
	for _, t := range n.tasks {
		if t.copy == id {
			return true
		}
	}
	return false
}
