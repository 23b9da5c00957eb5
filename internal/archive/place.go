package archive

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Members are the archive's nodes, as the settings name them.
type Members struct {
	Names    []string
	Replicas int // how many nodes keep a record
}

// Quorum returns how many nodes must have a record on disk before it is acknowledged:
// more than half of those that keep it, so that whoever reads from so many meets
// one that has it.
func (m Members) Quorum() int { return m.copies()/2 + 1 }

// copies is how many nodes keep a record: no more than there are.
func (m Members) copies() int { return max(1, min(m.Replicas, len(m.Names))) }

// Unit returns the name of what is placed as a whole: a task's attempts are together, the tasks of
// a large job are not.
func Unit(a Attempt) string { return a.Job + "/" + strconv.Itoa(a.Task) }

// Of lists the nodes that keep a unit's records, the first choice first. It is
// rendezvous hashing: a node that joins or leaves moves only its own share.
func (m Members) Of(unit string) []string {
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

// IsReplica tells whether a node is one of those that keep a unit's records.
func (m Members) IsReplica(node, unit string) bool { return slices.Contains(m.Of(unit), node) }

// Complete tells whether what the nodes that answered have is all that was ever
// acknowledged, for any unit: not enough nodes are silent to have a quorum among
// themselves.
func (m Members) Complete(answered int) bool {
	return len(m.Names)-answered < m.Quorum()
}
