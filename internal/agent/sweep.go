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

// sweepTimeout is how long a sweep may take before it says what it can't end.
const sweepTimeout = 5 * time.Second

// EndTasks ends all tasks of a machine whose agent is gone. Without an error, all of
// their processes are known to be gone.
func EndTasks(dir string) error {
	_, err := taskOwner(dir, slog.Default()).End(sweepTimeout)
	return err
}

// endUntilGone ends all processes of an owner and returns when they are known to be gone.
func endUntilGone(owner proc.Owner, log *slog.Logger) {
	retryUntilGone(log, func(patience time.Duration) error {
		report, err := owner.End(patience)
		log.Debug("swept", "sweep", report)
		return err
	})
}

// retryUntilGone has processes ended until they are known to be gone. One that does not die
// hangs in the kernel: it is on its machine as long as it does.
func retryUntilGone(log *slog.Logger, end func(patience time.Duration) error) {
	for {
		again := time.Now().Add(sweepTimeout)
		err := end(sweepTimeout)
		if err == nil {
			return
		}
		log.Error("processes can't be ended", "error", err)
		time.Sleep(time.Until(again))
	}
}

// taskOwner names all processes of a machine's tasks. A damaged record is logged and passed
// over: what it was about is still found by its mark.
func taskOwner(dir string, log *slog.Logger) proc.Owner {
	owner := proc.Owner{Mark: dir}
	tasks, err := os.ReadDir(filepath.Join(dir, tasksDir))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		log.Error("the records of tasks can't be read", "error", err)
	}
	for _, task := range tasks {
		id, err := proc.ReadRecord(filepath.Join(dir, tasksDir, task.Name(), procFile))
		switch {
		case err == nil:
			owner.Leaders = append(owner.Leaders, id)
		case !errors.Is(err, fs.ErrNotExist): // there is none of a task that was never let go on
			log.Error("the record of a task's process is passed over", "error", err)
		}
	}
	return owner
}
