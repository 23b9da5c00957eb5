package agent

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/google/renameio/v2"
)

// sharedStore stores what must outlive a machine: checkpoints, and which tasks are
// done. It is a folder that all machines share.
//
// A program saves a checkpoint by writing files and then creating an empty file
// N.complete, with a number N larger than any before. A task resumes from the
// largest number that all tasks of its gang have completed, or that the task
// itself has completed if it has no gang.
type sharedStore struct{ dir string }

const (
	completeSuffix = ".complete"
	doneFile       = "done"
)

func (o sharedStore) folder(id string, index int) string {
	return filepath.Join(o.dir, id, strconv.Itoa(index))
}

// completed returns the numbers of a task's completed checkpoints.
func (o sharedStore) completed(id string, index int) map[int]bool {
	out := map[int]bool{}
	entries, err := os.ReadDir(o.folder(id, index))
	if err != nil {
		return out
	}
	for _, e := range entries {
		if num, ok := strings.CutSuffix(e.Name(), completeSuffix); ok {
			if n, err := strconv.Atoi(num); err == nil && n > 0 {
				out[n] = true
			}
		}
	}
	return out
}

// last returns the number of a task's newest checkpoint, or 0 if it has none.
func (o sharedStore) last(id string, index int) (n int) {
	for k := range o.completed(id, index) {
		n = max(n, k)
	}
	return n
}

// resume returns the number of the checkpoint that a task resumes from, or 0 if it starts from the
// beginning.
func (o sharedStore) resume(id string, index, tasks int, gang bool) (n int) {
	if !gang {
		return o.last(id, index)
	}
	common := o.completed(id, 0)
	for i := 1; i < tasks && len(common) > 0; i++ {
		completed := o.completed(id, i)
		for k := range common {
			if !completed[k] {
				delete(common, k)
			}
		}
	}
	for k := range common {
		n = max(n, k)
	}
	return n
}

// prepare creates a task's folder and returns its path.
func (o sharedStore) prepare(id string, index int) (string, error) {
	dir := o.folder(id, index)
	return dir, os.MkdirAll(dir, 0o700)
}

// done reports whether the task has completed before. The result is stored, so that
// a task that is launched again because a heartbeat was lost does not run again.
func (o sharedStore) done(id string, index int) bool {
	return o.dir != "" && exists(filepath.Join(o.folder(id, index), doneFile))
}

// complete stores that a task is done. This must be durable before it is reported.
func (o sharedStore) complete(id string, index int) error {
	dir, err := o.prepare(id, index)
	if err != nil {
		return err
	}
	return renameio.WriteFile(filepath.Join(dir, doneFile), nil, 0o600)
}
