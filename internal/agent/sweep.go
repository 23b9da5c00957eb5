package agent

import (
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"silvergate/internal/proc"
)

// sweepTimeout is the time after which a sweep reports the processes that it can't end.
const sweepTimeout = 5 * time.Second

// EndTasks kills all tasks of a machine whose agent is gone. If it returns no error, all
// of their processes are known to be gone.
func EndTasks(dir string) error {
	_, err := taskOwner(dir, slog.Default()).End(sweepTimeout)
	return err
}

// endUntilGone kills all processes of an owner and returns when they are known to be gone.
func endUntilGone(owner proc.Owner, log *slog.Logger) {
	retryUntilGone(log, func(timeout time.Duration) error {
		report, err := owner.End(timeout)
		log.Debug("swept", "sweep", report)
		return err
	})
}

// retryUntilGone calls end until it returns no error, that is, until all processes are known to
// be gone. A process that does not die hangs in the kernel, and stays on the machine as long as
// it hangs.
func retryUntilGone(log *slog.Logger, end func(timeout time.Duration) error) {
	for {
		retryAt := time.Now().Add(sweepTimeout)
		err := end(sweepTimeout)
		if err == nil {
			return
		}
		log.Error("processes can't be ended; retrying", "error", err)
		time.Sleep(time.Until(retryAt))
	}
}

// taskOwner returns the owner of all processes of a machine's tasks. A damaged record is logged and
// skipped: its process is still found by the mark in its environment.
func taskOwner(dir string, log *slog.Logger) proc.Owner {
	owner := proc.Owner{Mark: dir}
	tasks, err := os.ReadDir(filepath.Join(dir, tasksDir))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		log.Error("the folders of tasks can't be listed", "error", err)
	}
	for _, task := range tasks {
		id, err := proc.ReadRecord(filepath.Join(dir, tasksDir, task.Name(), procFile))
		switch {
		case err == nil:
			owner.Leaders = append(owner.Leaders, id)
		case !errors.Is(err, fs.ErrNotExist): // a task whose process was never released has no record
			log.Error("skipping the invalid record of a task's process", "error", err)
		}
	}
	return owner
}
