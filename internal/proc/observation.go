package proc

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// MarkEnv is the environment variable that holds the mark of a process's owner. The mark
// identifies processes whose process group does not show their owner.
const MarkEnv = "SILVERGATE_MARK"

// class says whether a process belongs to the owner, as far as one look at it shows.
type class int

const (
	gone      class = iota // there is no such process, or all its threads have ended
	foreign                // not the owner's
	member                 // the owner's, by its group or its parents
	marked                 // the owner's, by its mark
	undecided              // not visible at the moment; look again
)

// Reason is why a process is not known to be gone.
type Reason string

// Reasons why a process is not known to be gone.
const (
	ReasonReplacing  Reason = "it is replacing its program"
	ReasonEnding     Reason = "it is ending"
	ReasonRunning    Reason = "it has not ended after SIGKILL"
	ReasonUnreadable Reason = "/proc can't be read"
)

// observation is the result of one look at a process.
type observation struct {
	id     ID
	class  class
	reason Reason // why it is undecided
	err    error  // with ReasonUnreadable
}

// classify examines the process with the given PID.
func (o Owner) classify(pid int) observation { return examine(pid, o.classifyRunning) }

// examine reads the state of the process with the given PID. It calls classify to decide about
// a process that runs a program.
func examine(pid int, classify func(s stat, seen *observation)) observation {
	seen := observation{id: ID{PID: pid, Boot: boot()}}
	s, err := readStat(pid)
	seen.id.Start = s.start
	switch {
	case isAbsent(err):
		seen.class = gone
	case err != nil:
		seen.class, seen.reason, seen.err = undecided, ReasonUnreadable, err
	case s.ended():
		seen.class = gone
	case s.flags&flagKernelThread != 0:
		seen.class = foreign
	default:
		classify(s, &seen)
	}
	return seen
}

// classifyRunning classifies a running process by its start time, group and mark.
func (o Owner) classifyRunning(s stat, seen *observation) {
	switch {
	case s.start < o.Since:
		seen.class = foreign
	case o.ownsGroup(s.group):
		seen.class = member
	default:
		o.classifyByMark(seen)
	}
}

// ownsGroup reports whether a process group is one of the recorded groups and its leader still
// exists. While the leader exists, no other group can have the number.
func (o Owner) ownsGroup(group int) bool {
	for _, leader := range o.Leaders {
		if leader.PID == group && leader.exists() {
			return true
		}
	}
	return false
}

// classifyByMark classifies a process by the mark in its environment.
func (o Owner) classifyByMark(seen *observation) {
	raw, err := readEnvironment(seen.id.PID)
	switch {
	case len(raw) > 0:
		seen.class = foreign
		if o.hasMark(raw) {
			seen.class = marked
		}
	case errors.Is(err, fs.ErrPermission):
		seen.class = foreign // another user's process, or one that has made itself unreadable
	case err != nil && !isAbsent(err):
		seen.class, seen.reason, seen.err = undecided, ReasonUnreadable, err
	default:
		classifyWithoutEnvironment(seen)
	}
}

// classifyWithoutEnvironment distinguishes a process that has no environment from one whose
// environment can't be seen at the moment.
func classifyWithoutEnvironment(seen *observation) {
	s, err := readStat(seen.id.PID)
	switch {
	case isAbsent(err) || err == nil && (s.start != seen.id.Start || s.ended()):
		seen.class = gone
	case err != nil:
		seen.class, seen.reason, seen.err = undecided, ReasonUnreadable, err
	case s.withoutEnvironment():
		seen.class = foreign
	case s.flags&flagExiting != 0:
		seen.class, seen.reason = undecided, ReasonEnding
	default:
		seen.class, seen.reason = undecided, ReasonReplacing
	}
}

// readEnvironment reads the environment of a process. If the main thread has ended, it reads
// the environment from another thread. The result may be empty without an error.
func readEnvironment(pid int) ([]byte, error) {
	dir := "/proc/" + strconv.Itoa(pid)
	raw, err := readAtOnce(dir + "/environ")
	if len(raw) > 0 || err != nil && !isAbsent(err) {
		return raw, err
	}
	threads, err := os.ReadDir(dir + "/task")
	if err != nil || len(threads) < 2 {
		return nil, err
	}
	for _, thread := range threads {
		raw, err := readAtOnce(dir + "/task/" + thread.Name() + "/environ")
		if len(raw) > 0 || err != nil && !isAbsent(err) {
			return raw, err
		}
	}
	return nil, nil
}

// environmentBufferSize is the size of the first read buffer in bytes; most environments fit into it.
const environmentBufferSize = 16 << 10

// readAtOnce reads a file of /proc with a single read. If it were read in pieces, it could end
// early after any of them without an error: once the process replaces its program, the rest
// reads as empty.
func readAtOnce(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	for size := environmentBufferSize; ; size *= 4 {
		buffer := make([]byte, size)
		n, err := file.ReadAt(buffer, 0)
		switch {
		case errors.Is(err, io.EOF):
			return buffer[:n], nil
		case err != nil:
			return nil, err
		}
	}
}

// hasMark reports whether an environment carries the owner's mark, or one that begins with it
// and a slash.
func (o Owner) hasMark(environment []byte) bool {
	for variable := range bytes.SplitSeq(environment, []byte{0}) {
		mark, ok := strings.CutPrefix(string(variable), MarkEnv+"=")
		if ok && o.Mark != "" && (mark == o.Mark || strings.HasPrefix(mark, o.Mark+"/")) {
			return true
		}
	}
	return false
}

// isThread reports whether a number belongs to a thread other than its process's main thread.
// /proc does not list such a thread, only its process.
func isThread(pid int) bool {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	return err == nil && !bytes.Contains(raw, fmt.Appendf(nil, "\nTgid:\t%d\n", pid))
}

// isAbsent reports whether an error from /proc means that the process, or its memory, is gone.
func isAbsent(err error) bool {
	return errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ESRCH)
}
