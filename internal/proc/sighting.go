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

// MarkEnv is the variable that marks all that belongs to something, so that it
// can be found when its process group can't tell.
const MarkEnv = "SILVERGATE_MARK"

// class is what a look at a process says of whose it is.
type class int

const (
	gone      class = iota // there is no such process, or all its threads have ended
	foreign                // not the owner's
	member                 // the owner's, by its group
	marked                 // the owner's, by its mark
	undecided              // what it shows can't tell; look again
)

// Reason is why a process is not known to be gone.
type Reason string

// Reasons.
const (
	ReasonReplacing  Reason = "it is replacing its program"
	ReasonEnding     Reason = "it is ending"
	ReasonRunning    Reason = "it has not ended after SIGKILL"
	ReasonUnreadable Reason = "/proc can't be read"
)

// observation is what one look at a process saw.
type observation struct {
	id     ID
	class  class
	reason Reason // why it is undecided
	err    error  // with ReasonUnreadable
}

// classify looks at the process of a number.
func (o Owner) classify(pid int) observation { return examine(pid, o.classifyRunning) }

// examine looks at the process of a number, and has judge tell whose a program is that
// runs.
func examine(pid int, judge func(s stat, seen *observation)) observation {
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
		judge(s, &seen)
	}
	return seen
}

// classifyRunning decides by start time, group and mark.
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

// ownsGroup tells whether a process group is one on record. Its number can mean no other
// group while its leader is there.
func (o Owner) ownsGroup(group int) bool {
	for _, leader := range o.Leaders {
		if leader.PID == group && leader.exists() {
			return true
		}
	}
	return false
}

// classifyByMark decides by the environment of a process whose group does not tell.
func (o Owner) classifyByMark(seen *observation) {
	raw, err := readEnvironment(seen.id.PID)
	switch {
	case len(raw) > 0:
		seen.class = foreign
		if o.hasMark(raw) {
			seen.class = marked
		}
	case errors.Is(err, fs.ErrPermission):
		seen.class = foreign // another user's, or one that has made itself unreadable
	case err != nil && !isAbsent(err):
		seen.class, seen.reason, seen.err = undecided, ReasonUnreadable, err
	default:
		classifyWithoutEnvironment(seen)
	}
}

// classifyWithoutEnvironment tells a process that has no environment from one that does not
// show it at the moment.
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

// readEnvironment reads the environment of a process, from another of its threads if the
// main thread has ended. It may come back empty without an error.
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

// environmentSize is room for most environments, so that they take one read.
const environmentSize = 16 << 10

// readAtOnce reads a file of /proc by one call. What a process shows in pieces may end after
// any of them, without an error: when it replaces its program, what is left is empty.
func readAtOnce(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	for size := environmentSize; ; size *= 4 {
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

// hasMark tells whether an environment carries the owner's mark, or one that begins with
// it and goes on with a slash.
func (o Owner) hasMark(environment []byte) bool {
	for variable := range bytes.SplitSeq(environment, []byte{0}) {
		mark, ok := strings.CutPrefix(string(variable), MarkEnv+"=")
		if ok && o.Mark != "" && (mark == o.Mark || strings.HasPrefix(mark, o.Mark+"/")) {
			return true
		}
	}
	return false
}

// isThread tells whether a number belongs to a thread that its process is not named after.
// Such a thread is not listed; its process is.
func isThread(pid int) bool {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	return err == nil && !bytes.Contains(raw, fmt.Appendf(nil, "\nTgid:\t%d\n", pid))
}

// isAbsent tells whether /proc says that there is no such process, or no memory of it.
func isAbsent(err error) bool {
	return errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ESRCH)
}
