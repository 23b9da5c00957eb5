// Package proc starts processes that can be found again after their starter was killed,
// and ends them together with everything they started. Linux only: it reads /proc.
//
// A process is identified by its PID, its start time and the boot it belongs to (ID),
// never by its name. It is started held (Start): it does no work of its own until its
// starter has recorded its identity, and exits by itself if the starter dies
// before that.
//
// The processes that a process starts belong to the same Owner. They are found by their
// process group, as long as the group's leader exists; by their parents, as long as the
// leader runs and adopts its orphans (BecomeSubreaper); or by a mark in their environment. A
// process that outlives its leader is reparented to the leader's starter, if the starter
// adopts orphans too (EndOrphans).
//
// Owner.End ends all processes of an owner and returns without an error only if all of them
// are gone. That result rests on positive evidence alone:
//
//   - Each process found is awaited until the kernel says that it has ended, with all of
//     its threads. A signal that was sent is no evidence.
//   - A leader that runs is stopped first, and ended only after all its descendants.
//   - A process is undecided while its environment, and so its mark, can't be seen: it is
//     replacing its program, or ending with its memory already gone. It is examined
//     again until it is classified or has ended.
//   - The last pass found nothing, and it examined every process: first all that /proc
//     lists, then each number assigned since, until it reached the newest one. At that
//     moment every living process had been examined after it got its number. If a process
//     of the owner was still in fork then, its parent was the owner's and had been
//     examined as well, so the pass would have found the parent. So one pass that finds
//     nothing is enough.
//
// The argument depends on three conditions: a program that leaves its group and drops its
// environment does not outlive both its leader and the leader's starter unnoticed by a sweep; other
// users' processes are not the owner's; and the kernel reuses a number only after it has
// assigned all others.
package proc

import (
	"errors"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ID identifies a process for ever: no other process, before or after it, has the same ID.
type ID struct {
	PID   int    `json:"pid"`
	Start uint64 `json:"start"` // ticks since the boot
	Boot  string `json:"boot"`
}

var boot = sync.OnceValue(func() string {
	b, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(b))
})

// Identify returns the ID of the process that has a PID now.
func Identify(pid int) (ID, error) {
	s, err := readStat(pid)
	return ID{pid, s.start, boot()}, err
}

// fromThisBoot reports whether the ID can belong to a process of the current boot.
func (id ID) fromThisBoot() bool { return id.PID > 0 && id.Boot == boot() }

// exists reports whether the process exists, at least as a zombie.
func (id ID) exists() bool {
	if !id.fromThisBoot() {
		return false
	}
	s, err := readStat(id.PID)
	return err == nil && s.start == id.Start
}

// Alive reports whether any thread of the process still runs. A zombie, which has ended but
// was not waited for, is not alive.
func (id ID) Alive() bool {
	if !id.fromThisBoot() {
		return false
	}
	s, err := readStat(id.PID)
	return err == nil && s.start == id.Start && !s.ended()
}

// Signal sends a signal to the process, and does nothing if it is gone.
func (id ID) Signal(sig syscall.Signal) error {
	if !id.fromThisBoot() {
		return nil
	}
	// A PID could be reused between the check of the start time and the signal; a process
	// descriptor always refers to the same process.
	fd, err := unix.PidfdOpen(id.PID, 0)
	if err != nil {
		if isGone(err) || !id.Alive() {
			return nil
		}
		return ignoreGone(syscall.Kill(id.PID, sig))
	}
	defer unix.Close(fd)
	if !id.Alive() {
		return nil
	}
	return ignoreGone(unix.PidfdSendSignal(fd, sig, nil, 0))
}

// Await waits until the process has ended, or until the given time. It reports whether the
// process has ended.
func (id ID) Await(until time.Time) bool {
	if !id.fromThisBoot() {
		return true
	}
	fd, err := unix.PidfdOpen(id.PID, 0)
	if err != nil {
		return isGone(err) || id.poll(until)
	}
	defer unix.Close(fd)
	for id.Alive() {
		left := time.Until(until)
		if left <= 0 {
			return false
		}
		watched := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		if _, err := unix.Poll(watched, int(left/time.Millisecond)+1); err != nil && !errors.Is(err, unix.EINTR) {
			return id.poll(until)
		}
	}
	return true
}

// poll does the same as Await when the kernel can't provide a process descriptor.
func (id ID) poll(until time.Time) bool {
	const period = time.Millisecond
	for ; id.Alive(); time.Sleep(period) {
		if time.Now().After(until) {
			return false
		}
	}
	return true
}

// isGone reports whether an error means that no process has the PID, or only a thread does.
func isGone(err error) bool {
	return errors.Is(err, unix.ESRCH) || errors.Is(err, unix.EINVAL) || errors.Is(err, unix.ENOENT)
}

func ignoreGone(err error) error {
	if errors.Is(err, syscall.ESRCH) {
		return nil
	}
	return err
}
