package archive

import (
	"github.com/cespare/xxhash/v2"
)

// Tree is a digest tree over a set of records, which are assigned to leaves by their
// placement units. To find differences, two nodes compare the branches of the root, then the
// leaves of the branches that differ, and list the keys of only the leaves that differ.
// Digests are sums, so adding or removing a record is one step. The zero value is an
// empty tree. A Tree is not safe for concurrent use.
type Tree struct {
	leaves [Leaves]uint64
	counts [Leaves]uint32
}

// The dimensions of a tree.
const (
	Leaves = 4096 // leaves of the whole tree
	Fanout = 64   // leaves of each branch; the root has Leaves/Fanout branches
)

// Leaf returns the index of the leaf that holds a unit's records, from 0 to Leaves-1.
func Leaf(unit string) int { return int(xxhash.Sum64String("leaf\x00"+unit) % Leaves) }

// recordHash returns the value that a record adds to its leaf's digest.
func recordHash(key string) uint64 { return xxhash.Sum64String(key) | 1 }

// Add adds the record with the given key to a leaf.
func (t *Tree) Add(leaf int, key string) {
	t.leaves[leaf] += recordHash(key)
	t.counts[leaf]++
}

// Remove removes a record from the leaf that it was added to.
func (t *Tree) Remove(leaf int, key string) {
	t.leaves[leaf] -= recordHash(key)
	t.counts[leaf]--
}

// Count returns the number of records in the tree.
func (t *Tree) Count() (n int) {
	for _, c := range t.counts {
		n += int(c)
	}
	return n
}

// Branches returns the digests of the root's branches in a new slice.
func (t *Tree) Branches() []uint64 {
	out := make([]uint64, Leaves/Fanout)
	for i, v := range t.leaves {
		// Each leaf has its own factor: with a plain sum, moving a record between leaves
		// would not change the branch's digest.
		out[i/Fanout] += v * (2*uint64(i%Fanout) + 1)
	}
	return out
}

// Branch returns the digests of a branch's leaves in a new slice, or nil if there is no
// such branch.
func (t *Tree) Branch(i int) []uint64 {
	if i < 0 || i >= Leaves/Fanout {
		return nil
	}
	out := make([]uint64, Fanout)
	copy(out, t.leaves[i*Fanout:])
	return out
}

// Differ returns the indices at which two lists of digests differ, up to the length of
// the shorter list.
func Differ(a, b []uint64) (out []int) {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			out = append(out, i)
		}
	}
	return out
}
