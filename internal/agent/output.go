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

// outputShipper connects the agent to the archive's shipper: it announces attempts and
// reports how they ended. Tasks start, run and end the same way whatever the archive
// does. A nil outputShipper stands for a machine without an archive.
type outputShipper struct {
	agent   *Agent
	shipper *ship.Shipper
}

func newOutputShipper(a *Agent) (*outputShipper, error) {
	s, err := ship.New(*a.cfg.Archive, a.log)
	if err != nil {
		return nil, fmt.Errorf("archive: %w", err)
	}
	o := &outputShipper{a, s}
	if a.inputs != nil {
		s.Urgent = a.inputs.store.Urgent
	}
	return o, nil
}

func (o *outputShipper) attempt(key TaskAttempt) archive.Attempt {
	return archive.Attempt{Job: key.Job, Task: key.Index, Try: key.Attempt, Machine: o.agent.cfg.Worker}
}

// open starts shipping. Output that an earlier agent left behind is shipped, too: the
// processes of its tasks are gone by now.
func (o *outputShipper) open() {
	if o == nil {
		return
	}
	dirs, err := os.ReadDir(filepath.Join(o.agent.cfg.Dir, tasksDir))
	if err != nil {
		o.agent.log.Error("the folders of earlier tasks can't be listed", "error", err)
	}
	for _, d := range dirs {
		if key, ok := parseTaskAttempt(d.Name()); ok && exists(filepath.Join(o.agent.runner.folder(key), execFile)) {
			if err := o.shipper.Resume(o.attempt(key), o.agent.runner.folder(key)); err != nil {
				o.agent.log.Error("the output of an earlier task can't be archived", "task", key.TaskName(), "attempt", key.Attempt, "error", err)
				continue
			}
			o.shipper.RecordEnd(o.attempt(key), "lost with its agent", -1)
		}
	}
	o.shipper.Start()
}

func (o *outputShipper) close() {
	if o != nil {
		o.shipper.Stop()
	}
}

// begin starts shipping the output of an attempt. It is called after the attempt's folder is
// created and before its program starts. Without an archive grant nothing is shipped, and the
// program starts all the same.
func (o *outputShipper) begin(key TaskAttempt, d *protocol.JobDescription) {
	if o == nil {
		return
	}
	o.agent.mu.Lock()
	grant := o.agent.worker.Grant(key)
	o.agent.mu.Unlock()
	if grant == "" || d.Grant == "" {
		o.agent.log.Warn("the output of a task can't be archived: its controller has no archive.grant_key", "task", key.TaskName(), "attempt", key.Attempt)
		return
	}
	g := archive.Grant{Attempt: o.attempt(key), Terms: archive.TermsOf(d), At: time.Now().UnixMilli(), LaunchSeal: grant, TermsSeal: d.Grant}
	if err := o.shipper.Follow(g, o.agent.runner.folder(key)); err != nil {
		o.agent.log.Error("the output of a task can't be archived", "task", key.TaskName(), "attempt", key.Attempt, "error", err)
	}
}

// ended tells the shipper that an attempt's processes are gone.
func (o *outputShipper) ended(key TaskAttempt, cause string, code int) {
	if o != nil {
		o.shipper.RecordEnd(o.attempt(key), cause, code)
	}
}

// followed returns the attempts whose output is not completely shipped, live ones included.
func (o *outputShipper) followed() []FollowedAttempt {
	if o == nil {
		return nil
	}
	var followed []FollowedAttempt
	for attempt, endedAt := range o.shipper.FollowedAttempts() {
		f := FollowedAttempt{ID: TaskAttempt{Job: attempt.Job, Index: attempt.Task, Attempt: attempt.Try}}
		if !endedAt.IsZero() {
			f.EndedFor = max(0, time.Since(endedAt))
		}
		followed = append(followed, f)
	}
	return followed
}

// needsFolder reports whether the archive still needs an attempt's folder.
func (o *outputShipper) needsFolder(key TaskAttempt) bool {
	return o != nil && o.shipper.Follows(o.attempt(key))
}

// needsFiles reports whether the archive has not yet read the files of an attempt that its job
// wants kept.
func (o *outputShipper) needsFiles(key TaskAttempt) bool {
	return o != nil && o.shipper.KeepsFiles(o.attempt(key))
}
