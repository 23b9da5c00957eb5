package archive

import (
	"github.com/cespare/xxhash/v2"
)

// Tree is a digest of a set of records in ranges of their units: two nodes compare
// the root, then the branches that differ, and list only the leaves that do. It
// is a sum, so that a record is added and taken away in one step.
type Tree struct {
	leaves [Leaves]uint64
	counts [Leaves]uint32
}

// Shape of a tree.
const (
	Leaves = 4096
	Fan    = 64 // branches of the root, and leaves of each branch
)

// Leaf is the range that a unit's records fall into.
func Leaf(unit string) int { return int(xxhash.Sum64String("leaf\x00"+unit) % Leaves) }

func weight(key string) uint64 { return xxhash.Sum64String(key) | 1 }

// Add takes a record in.
func (t *Tree) Add(leaf int, key string) {
	t.leaves[leaf] += weight(key)
	t.counts[leaf]++
}

// Remove takes one out that is in.
func (t *Tree) Remove(leaf int, key string) {
	t.leaves[leaf] -= weight(key)
	t.counts[leaf]--
}

// Count is how many records are in.
func (t *Tree) Count() (n int) {
	for _, c := range t.counts {
		n += int(c)
	}
	return n
}

// Branches are the digests of the root's branches.
func (t *Tree) Branches() []uint64 {
	out := make([]uint64, Leaves/Fan)
	for i, v := range t.leaves {
		// Not a plain sum: a record moved between leaves must show.
		out[i/Fan] += v * (2*uint64(i%Fan) + 1)
	}
	return out
}

// Branch are the digests of a branch's leaves; nil if there is no such branch.
func (t *Tree) Branch(i int) []uint64 {
	if i < 0 || i >= Leaves/Fan {
		return nil
	}
	out := make([]uint64, Fan)
	copy(out, t.leaves[i*Fan:])
	return out
}

// Differ lists where two rows of digests differ.
func Differ(a, b []uint64) (out []int) {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			out = append(out, i)
		}
	}
	return out
}
