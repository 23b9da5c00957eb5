package proc

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// BecomeSubreaper makes this process a child subreaper: when the parent of one of its
// descendants ends, the kernel makes this process the new parent. The setting survives
// execve. As long as this process lives, each of its descendants can then be found by its
// parents, whatever process group or environment it has moved to.
func BecomeSubreaper() error {
	return unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0)
}

// endDescendants ends all processes outside the leaders' groups that descend from a recorded
// leader that still runs. It first stops those groups (SIGSTOP), so that they start nothing
// new. The groups themselves are ended later, when no process is left that can be found
// only through them.
func (s *sweep) endDescendants() error {
	var running []ID
	for _, leader := range s.owner.Leaders {
		if leader.Alive() {
			running = append(running, leader)
			_ = KillGroup(leader, syscall.SIGSTOP) // a leader that has just ended has no descendants
		}
	}
	s.report.Leaders = len(running)
	if len(running) == 0 {
		return nil
	}
	s.classify = func(pid int) observation {
		return examine(pid, func(s stat, seen *observation) {
			seen.class = foreign
			if !leadsGroup(running, s.group) && descendsFrom(pid, running) {
				seen.class = member
			}
		})
	}
	return s.endFound()
}

// leadsGroup reports whether the number of a process group is the PID of one of the leaders.
func leadsGroup(leaders []ID, group int) bool {
	for _, leader := range leaders {
		if leader.PID == group {
			return true
		}
	}
	return false
}

// descendsFrom reports whether one of the leaders is an ancestor of a process. If an ancestor
// ends during the walk, its children get another parent, so the walk starts again from pid.
func descendsFrom(pid int, leaders []ID) bool {
	for at := pid; ; {
		s, err := readStat(at)
		switch {
		case err != nil && at == pid:
			return false
		case err != nil:
			at = pid
			continue
		}
		for _, leader := range leaders {
			if at != pid && leader.PID == at && leader.Start == s.start {
				return true
			}
		}
		if s.parent <= 1 {
			return false
		}
		at = s.parent
	}
}

// started holds the children that Start has started, to distinguish them from orphans that
// were reparented to this process. Its lock is held while a child is started.
var started struct {
	sync.Mutex
	children map[int]uint64 // start times by PID
}

// EndOrphans ends the processes that were reparented to this one when their parents ended
// (BecomeSubreaper), and returns when they are gone. It leaves alone the children that Start
// started and all children in this process's own group.
func EndOrphans(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for {
		orphans, err := listOrphans()
		if err != nil || len(orphans) == 0 {
			return err
		}
		var left []Remaining
		for _, id := range orphans {
			_ = id.Signal(syscall.SIGKILL) // Await below shows whether it ends
			if !id.Await(until) {
				left = append(left, Remaining{ID: id, Reason: ReasonRunning})
				continue
			}
			reap(id.PID)
		}
		if len(left) > 0 {
			return &RemainingError{left}
		}
		if !time.Now().Before(until) {
			return ErrStillForking
		}
	}
}

// listOrphans lists the children that Start did not start and that are outside this process's own
// group, including those that have ended and were not waited for.
func listOrphans() ([]ID, error) {
	started.Lock()
	defer started.Unlock()
	pids, err := listPIDs()
	if err != nil {
		return nil, err
	}
	own, group := unix.Getpid(), unix.Getpgrp()
	var out []ID
	for _, pid := range pids {
		s, err := readStat(pid)
		if err != nil || s.parent != own || s.group == group {
			continue
		}
		if start, ok := started.children[pid]; !ok || start != s.start {
			out = append(out, ID{pid, s.start, boot()})
		}
	}
	return out, nil
}

// reap waits for a child that has ended, which removes its zombie.
func reap(pid int) {
	for {
		_, err := unix.Wait4(pid, nil, unix.WNOHANG, nil)
		if !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

// registerChild adds a child that Start has started to started, and removes children that
// are gone. The caller holds the lock of started.
func registerChild(child ID) {
	if started.children == nil {
		started.children = map[int]uint64{}
	}
	for pid, start := range started.children {
		if !(ID{pid, start, boot()}).exists() {
			delete(started.children, pid)
		}
	}
	started.children[child.PID] = child.Start
}
