package coordination

import (
	"cmp"
	"slices"
	"sort"
)

// The actions of a step must not depend on the iteration order of maps: the same inputs give the
// same outputs, in the same order.

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// compare orders tasks by job and index.
func (k taskKey) compare(o taskKey) int {
	return cmp.Or(cmp.Compare(k.job, o.job), cmp.Compare(k.index, o.index))
}

// boundTasks returns the tasks that are bound to the machine, sorted by job and index.
func (m *machine) boundTasks() []taskKey {
	keys := make([]taskKey, 0, len(m.bound))
	for key := range m.bound {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, taskKey.compare)
	return keys
}
