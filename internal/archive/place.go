package archive

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Members are the archive's nodes, as the settings list them.
type Members struct {
	Names    []string
	Replicas int // how many nodes store each record
}

// Quorum returns how many nodes must have a record on disk before it is acknowledged:
// more than half of its replicas, so that reading from a quorum reaches at least one node
// that has the record.
func (m Members) Quorum() int { return m.copies()/2 + 1 }

// copies returns how many nodes store a record: Replicas, but at least 1 and no more than there
// are nodes.
func (m Members) copies() int { return max(1, min(m.Replicas, len(m.Names))) }

// PlacementUnit returns the name of the placement unit of an attempt. All attempts of a task are
// one unit and are stored on the same nodes; the tasks of a large job are spread over the nodes.
func PlacementUnit(a Attempt) string { return a.Job + "/" + strconv.Itoa(a.Task) }

// NodesFor returns the nodes that store a unit's records, in the order of preference. It uses
// rendezvous hashing: a node that joins or leaves moves only its own share.
func (m Members) NodesFor(unit string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, 0, len(m.Names))
	for _, n := range m.Names {
		all = append(all, scored{n, xxhash.Sum64String(n + "\x00" + unit)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return strings.Compare(a.name, b.name)
	})
	out := make([]string, 0, m.copies())
	for _, s := range all[:min(m.copies(), len(all))] {
		out = append(out, s.name)
	}
	return out
}

// IsReplica reports whether a node is one of those that store a unit's records.
func (m Members) IsReplica(node, unit string) bool { return slices.Contains(m.NodesFor(unit), node) }

// Complete reports whether, with answered as the number of nodes that answered a request,
// these nodes together have every acknowledged record of every unit. They do if the nodes that
// did not answer are too few to form a quorum.
func (m Members) Complete(answered int) bool {
	return len(m.Names)-answered < m.Quorum()
}
