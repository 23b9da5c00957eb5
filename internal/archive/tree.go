package archive

import (
	"github.com/cespare/xxhash/v2"
)

// Tree is a digest of a set of records in ranges of their units: two nodes compare
// the root, then the branches that differ, and list only the leaves that do. It
// is a sum, so that a record is added and taken away in one step. The zero value is
// the tree of no records. It is not safe for concurrent use.
type Tree struct {
	leaves [Leaves]uint64
	counts [Leaves]uint32
}

// The shape of a tree.
const (
	Leaves = 4096 // of the whole tree
	Fanout = 64   // branches of the root, and leaves of each branch
)

// Leaf returns the leaf that a unit's records fall into, from 0 to Leaves-1.
func Leaf(unit string) int { return int(xxhash.Sum64String("leaf\x00"+unit) % Leaves) }

// recordHash is what a record adds to its leaf's digest.
func recordHash(key string) uint64 { return xxhash.Sum64String(key) | 1 }

// Add adds the record with a key to a leaf.
func (t *Tree) Add(leaf int, key string) {
	t.leaves[leaf] += recordHash(key)
	t.counts[leaf]++
}

// Remove removes a record that was added to a leaf.
func (t *Tree) Remove(leaf int, key string) {
	t.leaves[leaf] -= recordHash(key)
	t.counts[leaf]--
}

// Count returns how many records the tree has.
func (t *Tree) Count() (n int) {
	for _, c := range t.counts {
		n += int(c)
	}
	return n
}

// Branches returns the digests of the root's branches, a new slice.
func (t *Tree) Branches() []uint64 {
	out := make([]uint64, Leaves/Fanout)
	for i, v := range t.leaves {
		// Not a plain sum: a record moved between leaves must show.
		out[i/Fanout] += v * (2*uint64(i%Fanout) + 1)
	}
	return out
}

// Branch returns the digests of a branch's leaves, a new slice; nil if there is no
// such branch.
func (t *Tree) Branch(i int) []uint64 {
	if i < 0 || i >= Leaves/Fanout {
		return nil
	}
	out := make([]uint64, Fanout)
	copy(out, t.leaves[i*Fanout:])
	return out
}

// Differ returns the indices at which two lists of digests differ, as far as both
// go.
func Differ(a, b []uint64) (out []int) {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			out = append(out, i)
		}
	}
	return out
}
