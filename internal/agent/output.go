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

// outputShipper is the seam between the agent and the archive's shipper: it says which
// attempts there are and how they ended. Whatever the archive does, tasks start,
// run and end as without it. A nil one is a machine without an archive.
type outputShipper struct {
	agent   *Agent
	shipper *ship.Shipper
}

func newOutputShipper(a *Agent) (*outputShipper, error) {
	s, err := ship.New(*a.cfg.Archive, a.log)
	if err != nil {
		return nil, fmt.Errorf("archive: %w", err)
	}
	k := &outputShipper{a, s}
	if a.inputs != nil {
		s.Urgent = a.inputs.store.Urgent
	}
	return k, nil
}

func (k *outputShipper) attempt(key TaskAttempt) archive.Attempt {
	return archive.Attempt{Job: key.Job, Task: key.Index, Try: key.Attempt, Machine: k.agent.cfg.Worker}
}

// open begins to ship; what an earlier agent left, whose processes are gone now, is
// shipped too.
func (k *outputShipper) open() {
	if k == nil {
		return
	}
	dirs, err := os.ReadDir(filepath.Join(k.agent.cfg.Dir, tasksDir))
	if err != nil {
		k.agent.log.Error("what earlier tasks wrote can't be found", "error", err)
	}
	for _, d := range dirs {
		if key, ok := parseTaskAttempt(d.Name()); ok && exists(filepath.Join(k.agent.runner.folder(key), execFile)) {
			if err := k.shipper.Resume(k.attempt(key), k.agent.runner.folder(key)); err != nil {
				k.agent.log.Error("what an earlier task wrote can't be kept", "task", key.TaskName(), "attempt", key.Attempt, "error", err)
				continue
			}
			k.shipper.Ended(k.attempt(key), "lost with its agent", -1)
		}
	}
	k.shipper.Start()
}

func (k *outputShipper) close() {
	if k != nil {
		k.shipper.Stop()
	}
}

// begin follows an attempt whose folder is there, before its program starts. Without
// the archive's grant, the program starts all the same.
func (k *outputShipper) begin(key TaskAttempt, d *protocol.JobDescription) {
	if k == nil {
		return
	}
	k.agent.mu.Lock()
	grant := k.agent.worker.Grant(key)
	k.agent.mu.Unlock()
	if grant == "" || d.Grant == "" {
		k.agent.log.Warn("what a task writes can't be kept: its controller has no archive.grant_key", "task", key.TaskName(), "attempt", key.Attempt)
		return
	}
	g := archive.Grant{Attempt: k.attempt(key), Terms: archive.TermsOf(d), At: time.Now().UnixMilli(), LaunchSeal: grant, TermsSeal: d.Grant}
	if err := k.shipper.Begin(g, k.agent.runner.folder(key)); err != nil {
		k.agent.log.Error("what a task writes can't be kept", "task", key.TaskName(), "attempt", key.Attempt, "error", err)
	}
}

// ended says that an attempt's processes are gone.
func (k *outputShipper) ended(key TaskAttempt, cause string, code int) {
	if k != nil {
		k.shipper.Ended(k.attempt(key), cause, code)
	}
}

// unshipped is how many attempts that are over have something to ship.
func (k *outputShipper) unshipped() int {
	if k == nil {
		return 0
	}
	return k.shipper.Left()
}

// needsFolder tells whether an attempt's folder is still needed.
func (k *outputShipper) needsFolder(key TaskAttempt) bool {
	return k != nil && k.shipper.Holds(k.attempt(key))
}
