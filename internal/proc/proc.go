// Package proc starts processes that can be found again after whoever started
// them was killed, and ends them whole. Linux only: it reads /proc.
//
// A process is known by its number, its start time and the boot it belongs to (ID),
// never by its name. It is started held (Start): it runs nothing of its own until its
// starter has written down who it is, and ends by itself if the starter dies
// before.
//
// What a process starts in turn belongs to the same Owner. It is found by its process
// group, as long as the group's leader is there; by its parents, as long as the leader runs
// and keeps its orphans (KeepOrphans); or by a mark in its environment. What outlives its
// leader is handed to whoever started that, if it keeps orphans, too (EndOrphans).
// Owner.End ends all of it and answers one question: is everything of this owner gone? Its
// yes rests on what it saw, and on nothing that it did not see:
//
//   - What was found is awaited until the kernel says that the process is over, with all
//     of its threads. That a signal was sent is no evidence.
//   - A leader that runs is stopped, and ended only after all that descends from it.
//   - A process that shows neither a mark nor an environment without one is undecided: it is
//     replacing its program, or ending with its memory already gone. It is looked at again
//     until it is decided or over.
//   - The last pass found nothing, and it looked at every process: first at all that /proc
//     lists, then at each number given since, until it reached the last one. At
//     that moment every living process was looked at after it got its number. Whoever
//     was still in fork then has a parent that was looked at as well, and that was
//     the owner's. So one pass that finds nothing is enough.
//
// That rests on three things: a program that leaves its group and drops its environment does
// not outlive, unseen, both its leader and the leader's starter; other users' processes are not the
// owner's; and the kernel gives a number again only after it has given all others.
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

// ID names a process for ever.
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

// Identify tells who runs under a number now.
func Identify(pid int) (ID, error) {
	s, err := readStat(pid)
	return ID{pid, s.start, boot()}, err
}

// fromThisBoot tells whether the identity can belong to a process at all.
func (id ID) fromThisBoot() bool { return id.PID > 0 && id.Boot == boot() }

// exists tells whether the process is there, if only as one that was not waited for.
func (id ID) exists() bool {
	if !id.fromThisBoot() {
		return false
	}
	s, err := readStat(id.PID)
	return err == nil && s.start == id.Start
}

// Alive tells whether the process still runs, in any of its threads. One that has ended
// and was not waited for does not.
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
	// A descriptor of the process can't come to mean another one between the
	// look at its start time and the signal.
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

// Await returns when the process is over, or at the given time; it tells whether it is over.
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

// poll does what Await does where the kernel has no descriptors of processes to give.
func (id ID) poll(until time.Time) bool {
	const period = time.Millisecond
	for ; id.Alive(); time.Sleep(period) {
		if time.Now().After(until) {
			return false
		}
	}
	return true
}

// isGone tells whether the kernel has no process of that number, or only a thread.
func isGone(err error) bool {
	return errors.Is(err, unix.ESRCH) || errors.Is(err, unix.EINVAL) || errors.Is(err, unix.ENOENT)
}

func ignoreGone(err error) error {
	if errors.Is(err, syscall.ESRCH) {
		return nil
	}
	return err
}
