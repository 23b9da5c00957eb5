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

// verdict is what a look at a process says of whose it is.
type verdict int

const (
	gone      verdict = iota // there is no such process, or all its threads have ended
	foreign                  // not the owner's
	member                   // the owner's, by its group
	marked                   // the owner's, by its mark
	undecided                // what it shows can't tell; look again
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

// sighting is what one look at a process saw.
type sighting struct {
	id      ID
	verdict verdict
	reason  Reason // why it is undecided
	err     error  // with ReasonUnreadable
}

// look looks at the process of a number.
func (o Owner) look(pid int) sighting { return examine(pid, o.judge) }

// examine looks at the process of a number, and has judge tell whose a program is that
// runs.
func examine(pid int, judge func(s stat, seen *sighting)) sighting {
	seen := sighting{id: ID{PID: pid, Boot: boot()}}
	s, err := readStat(pid)
	seen.id.Start = s.start
	switch {
	case isAbsent(err):
		seen.verdict = gone
	case err != nil:
		seen.verdict, seen.reason, seen.err = undecided, ReasonUnreadable, err
	case s.over():
		seen.verdict = gone
	case s.flags&flagKernelThread != 0:
		seen.verdict = foreign
	default:
		judge(s, &seen)
	}
	return seen
}

// judge decides by start time, group and mark.
func (o Owner) judge(s stat, seen *sighting) {
	switch {
	case s.start < o.Since:
		seen.verdict = foreign
	case o.leads(s.group):
		seen.verdict = member
	default:
		o.judgeByMark(seen)
	}
}

// leads tells whether a process group is one on record. Its number can mean no other
// group while its leader is there.
func (o Owner) leads(group int) bool {
	for _, leader := range o.Leaders {
		if leader.PID == group && leader.exists() {
			return true
		}
	}
	return false
}

// judgeByMark decides by the environment of a process whose group does not tell.
func (o Owner) judgeByMark(seen *sighting) {
	raw, err := readEnvironment(seen.id.PID)
	switch {
	case len(raw) > 0:
		seen.verdict = foreign
		if o.hasMark(raw) {
			seen.verdict = marked
		}
	case errors.Is(err, fs.ErrPermission):
		seen.verdict = foreign // another user's, or one that has made itself unreadable
	case err != nil && !isAbsent(err):
		seen.verdict, seen.reason, seen.err = undecided, ReasonUnreadable, err
	default:
		judgeWithoutEnvironment(seen)
	}
}

// judgeWithoutEnvironment tells a process that has no environment from one that does not
// show it at the moment.
func judgeWithoutEnvironment(seen *sighting) {
	s, err := readStat(seen.id.PID)
	switch {
	case isAbsent(err) || err == nil && (s.start != seen.id.Start || s.over()):
		seen.verdict = gone
	case err != nil:
		seen.verdict, seen.reason, seen.err = undecided, ReasonUnreadable, err
	case s.withoutEnvironment():
		seen.verdict = foreign
	case s.flags&flagExiting != 0:
		seen.verdict, seen.reason = undecided, ReasonEnding
	default:
		seen.verdict, seen.reason = undecided, ReasonReplacing
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
