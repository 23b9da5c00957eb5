package agent

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/archive/ship"
	"silvergate/internal/protocol"
)

// outputKeeper is the seam between the agent and the archive's shipper: it says which
// attempts there are and how they ended. Whatever the archive does, tasks start,
// run and end as without it. A nil one is a machine without an archive.
type outputKeeper struct {
	a    *Agent
	ship *ship.Shipper
}

func newOutputKeeper(a *Agent) (*outputKeeper, error) {
	s, err := ship.New(*a.cfg.Archive, a.log)
	if err != nil {
		return nil, fmt.Errorf("archive: %w", err)
	}
	k := &outputKeeper{a, s}
	if a.inputs != nil {
		s.Urgent = a.inputs.store.Urgent
	}
	return k, nil
}

func (k *outputKeeper) attempt(key TaskAttempt) archive.Attempt {
	return archive.Attempt{Job: key.Job, Task: key.Index, Try: key.Attempt, Machine: k.a.cfg.Worker}
}

// open begins to ship; what an earlier agent left, whose processes are gone now, is
// shipped too.
func (k *outputKeeper) open() {
	if k == nil {
		return
	}
	dirs, err := os.ReadDir(filepath.Join(k.a.cfg.Dir, tasksDir))
	if err != nil {
		k.a.log.Error("what earlier tasks wrote can't be found", "error", err)
	}
	for _, d := range dirs {
		if key, ok := parseKey(d.Name()); ok && exists(filepath.Join(k.a.runner.folder(key), execFile)) {
			if err := k.ship.Resume(k.attempt(key), k.a.runner.folder(key)); err != nil {
				k.a.log.Error("what an earlier task wrote can't be kept", "task", key.TaskName(), "attempt", key.Attempt, "error", err)
				continue
			}
			k.ship.Ended(k.attempt(key), "lost with its agent", -1)
		}
	}
	k.ship.Start()
}

func (k *outputKeeper) close() {
	if k != nil {
		k.ship.Stop()
	}
}

// begin follows an attempt whose folder is there, before its program starts. Without
// the archive's grant, the program starts all the same.
func (k *outputKeeper) begin(key TaskAttempt, d *protocol.JobDescription) {
	if k == nil {
		return
	}
	k.a.mu.Lock()
	grant := k.a.worker.Grant(key)
	k.a.mu.Unlock()
	if grant == "" || d.Grant == "" {
		k.a.log.Warn("what a task writes can't be kept: its controller has no archive.grant_key", "task", key.TaskName(), "attempt", key.Attempt)
		return
	}
	g := archive.Grant{Attempt: k.attempt(key), Terms: archive.TermsOf(d), At: time.Now().UnixMilli(), LaunchSeal: grant, TermsSeal: d.Grant}
	if err := k.ship.Begin(g, k.a.runner.folder(key)); err != nil {
		k.a.log.Error("what a task writes can't be kept", "task", key.TaskName(), "attempt", key.Attempt, "error", err)
	}
}

// ended says that an attempt's processes are gone.
func (k *outputKeeper) ended(key TaskAttempt, cause string, code int) {
	if k != nil {
		k.ship.Ended(k.attempt(key), cause, code)
	}
}

// left is how many attempts that are over have something to ship.
func (k *outputKeeper) left() int {
	if k == nil {
		return 0
	}
	return k.ship.Left()
}

// holds tells whether an attempt's folder is still needed.
func (k *outputKeeper) holds(key TaskAttempt) bool { return k != nil && k.ship.Holds(k.attempt(key)) }
