package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"silvergate/deploy"
	"silvergate/internal/proc"
	"silvergate/internal/provider"
)

// Disruptions that leave the site running. None of them is a reason to lose what an ended attempt wrote:
// a preempted machine has noticeS to ship it, and the archive and the agents are stopped for less.
const (
	noticeS            = 20
	maxArchivePause    = 5 * time.Second
	maxAgentPause      = 3 * time.Second
	maxRestartInterval = 1500 * time.Millisecond
)

// While the site is disrupted, results are large and slow to ship, so that many machines have no work left
// before their output is in the archive.
const (
	disruptedResultBytes = 1_500_000
	disruptedRateMBPerS  = 2
)

// writeDisruptedSettings writes the site's settings with the rate at which machines ship their output lowered.
func (s *soak) writeDisruptedSettings() error {
	const rate = "rate_mb_per_s: 50      # of each machine;"
	settings := strings.Replace(string(deploy.Up), rate, fmt.Sprintf("rate_mb_per_s: %d # of each machine;", disruptedRateMBPerS), 1)
	if settings == string(deploy.Up) {
		return errors.New("deploy/up.yaml: archive.rate_mb_per_s is not where it was")
	}
	return os.WriteFile(filepath.Join(s.options.Dir, "site.yaml"), []byte(settings), 0o600)
}

// disrupt submits the jobs that are due and disrupts the site once, in a way and at a time that are drawn.
func (s *soak) disrupt(number int) {
	o := &s.options
	s.submitUntil(time.Now().Add(s.randomDuration(o.MeanKillInterval)), number*o.Jobs/o.Disruptions)
	disruptions := []struct {
		name string
		run  func()
	}{
		{"a preemption notice", s.noticeMachine},
		{"the archive is stopped", func() { s.pause(s.parts("archive-*"), s.randomDuration(maxArchivePause)) }},
		{"an agent is stopped", func() { s.pauseAgent(s.randomDuration(maxAgentPause)) }},
		{"the controllers are killed one by one", s.killControllers},
	}
	chosen := disruptions[s.random.IntN(len(disruptions))]
	s.printProgress("disruption %d of %d: %s, %d jobs accepted", number, o.Disruptions, chosen.name, len(s.tasks))
	chosen.run()
	s.result.Disruptions++
}

// randomDuration returns a random duration between a tenth of longest and longest.
func (s *soak) randomDuration(longest time.Duration) time.Duration {
	return time.Duration((0.1 + 0.9*s.random.Float64()) * float64(longest))
}

// randomMachine returns the folder of a random machine, or "" if there is none.
func (s *soak) randomMachine() string {
	folders, _ := filepath.Glob(filepath.Join(s.options.Dir, machinesDir, "*"))
	if len(folders) == 0 {
		return ""
	}
	return folders[s.random.IntN(len(folders))]
}

// noticeMachine announces that the cloud takes a random machine back.
func (s *soak) noticeMachine() {
	if folder := s.randomMachine(); folder != "" {
		s.preempt(filepath.Base(folder), noticeS)
	}
}

// preempt has the provider take a machine back after a notice, and reports whether it said that it does.
func (s *soak) preempt(machine string, notice float64) bool {
	body, _ := json.Marshal(map[string]any{"stokers": []string{machine}, "noticeS": notice})
	status, _ := s.request(fmt.Sprintf("127.0.0.1:%d", s.ports.Provider), "POST", provider.PathPreemptions, body)
	return status == 200
}

// pauseAgent stops the agent of a random machine for a while.
func (s *soak) pauseAgent(duration time.Duration) {
	if folder := s.randomMachine(); folder != "" {
		s.pause(s.processes(filepath.Join(machinesDir, filepath.Base(folder), agentRecord)), duration)
	}
}

// pause stops processes, submits and polls for a while, and continues them.
func (s *soak) pause(ids []proc.ID, duration time.Duration) {
	for _, id := range ids {
		_ = id.Signal(syscall.SIGSTOP)
	}
	s.submitUntil(time.Now().Add(duration), s.submitted)
	for _, id := range ids {
		_ = id.Signal(syscall.SIGCONT)
	}
}

// killControllers kills the controllers one by one; the site starts each again.
func (s *soak) killControllers() {
	for _, id := range s.parts("stoker-*") {
		_ = id.Signal(syscall.SIGKILL)
		s.submitUntil(time.Now().Add(s.randomDuration(maxRestartInterval)), s.submitted)
	}
}

// parts returns the site's processes, without its machines', whose names match a pattern.
func (s *soak) parts(pattern string) []proc.ID { return s.processes("run/" + pattern + ".json") }

// processes returns the processes whose records in the site's folder match a pattern, without those whose
// records can't be read.
func (s *soak) processes(pattern string) (ids []proc.ID) {
	files, _ := filepath.Glob(filepath.Join(s.options.Dir, pattern))
	for _, file := range files {
		if id, err := proc.ReadRecord(file); err == nil {
			ids = append(ids, id)
		}
	}
	return ids
}
