package agent

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/google/renameio/v2"
)

// sharedStore keeps what must outlive a machine: checkpoints, and that a task is
// done. It is a folder that all machines share.
//
// A program saves a checkpoint by writing files and then making an empty file
// N.complete, with a number N larger than any before. Which number a task goes
// on with is the largest that all tasks of its gang, or the task alone if it
// has none, completed.
type sharedStore struct{ dir string }

const (
	completeSuffix = ".complete"
	doneFile       = "done"
)

func (o sharedStore) folder(id string, index int) string {
	return filepath.Join(o.dir, id, strconv.Itoa(index))
}

// completed lists the numbers of a task's checkpoints.
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

// last is the number of a task's newest checkpoint, 0 if it has none.
func (o sharedStore) last(id string, index int) (n int) {
	for k := range o.completed(id, index) {
		n = max(n, k)
	}
	return n
}

// resume is the number that a task goes on with, 0 for the beginning.
func (o sharedStore) resume(id string, index, tasks int, gang bool) (n int) {
	if !gang {
		return o.last(id, index)
	}
	common := o.completed(id, 0)
	for i := 1; i < tasks && len(common) > 0; i++ {
		has := o.completed(id, i)
		for k := range common {
			if !has[k] {
				delete(common, k)
			}
		}
	}
	for k := range common {
		n = max(n, k)
	}
	return n
}

// prepare makes a task's folder.
func (o sharedStore) prepare(id string, index int) (string, error) {
	dir := o.folder(id, index)
	return dir, os.MkdirAll(dir, 0o700)
}

// done tells whether the task has completed before. The result is kept: a task
// that is started again for want of a heartbeat does not run again.
func (o sharedStore) done(id string, index int) bool {
	return o.dir != "" && exists(filepath.Join(o.folder(id, index), doneFile))
}

// complete keeps that a task is done. It must be durable before that is reported.
func (o sharedStore) complete(id string, index int) error {
	dir, err := o.prepare(id, index)
	if err != nil {
		return err
	}
	return renameio.WriteFile(filepath.Join(dir, doneFile), nil, 0o600)
}
