package proc

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// KeepOrphans has this process, and the program that it becomes by execve, be the parent of
// all that it starts, directly or not, when the parents in between end. Whoever is
// looked for by its parents is then found as long as this process lives, whatever group it
// went to and whatever its environment is.
func KeepOrphans() error {
	return unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0)
}

// endDescendants ends all descendants of the leaders on record that still run, outside
// their groups. The groups are stopped, so that nothing new comes from them, and are ended
// when nothing is left that only they lead to.
func (s *sweep) endDescendants() error {
	var running []ID
	for _, leader := range s.owner.Leaders {
		if leader.Alive() {
			running = append(running, leader)
			_ = KillGroup(leader, syscall.SIGSTOP) // one that has just ended leads to nobody
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

// leadsGroup tells whether one of the leaders has the number of a group.
func leadsGroup(leaders []ID, group int) bool {
	for _, leader := range leaders {
		if leader.PID == group {
			return true
		}
	}
	return false
}

// descendsFrom tells whether a process's parents lead to one of the leaders. When one of them
// ends on the way, its children are handed to another, and the way begins anew.
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

// started holds the children that Start has started, so that they can be told from
// orphans that were handed to this process. Its lock is held while a child is
// started.
var started struct {
	sync.Mutex
	children map[int]uint64 // start times by number
}

// EndOrphans ends the processes that were handed to this one as their parents ended
// (KeepOrphans), and returns when they are gone. Children that Start started, and those in
// this process's own group, are left alone.
func EndOrphans(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for {
		orphans, err := listOrphans()
		if err != nil || len(orphans) == 0 {
			return err
		}
		var left []Remaining
		for _, id := range orphans {
			_ = id.Signal(syscall.SIGKILL) // whether it ends is seen next
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

// listOrphans lists the children of this process that it did not start, those that have
// ended too.
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

// reap takes the end of a child that has ended.
func reap(pid int) {
	for {
		_, err := unix.Wait4(pid, nil, unix.WNOHANG, nil)
		if !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

// registerChild keeps a child that Start has started; the lock of started is held. Those
// that are gone are dropped.
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
