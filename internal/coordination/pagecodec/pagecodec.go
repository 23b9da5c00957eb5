// Package pagecodec encodes and decodes pages: runs of consecutive tasks of a job that the state
// service stores under one key. It has no state and does no I/O.
//
// The compact form is one JSON string with an entry for each task, separated by spaces:
//
//	p<attempt>                    pending; a task that was never started is p0
//	b<attempt>/<machine>/<epoch>  bound to a machine, under an epoch of the machine's agent
//	d<attempt>                    finished
//
// followed by !<failures> if the task has failed, and by *<count> if that many consecutive tasks
// are equal. The compact form takes a third of the bytes of a JSON list, and a reader need not
// build the tasks that did not change.
//
// Earlier versions wrote a JSON list of objects. Decode still reads that form, and controllers
// write it as long as a controller of such a version may be running.
package pagecodec

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// ErrMalformed is the error for data that is neither a JSON list nor a page in the compact form.
var ErrMalformed = errors.New("not a page of tasks")

// The kinds of entries, and the prefixes of the parts that follow the attempt.
const (
	kindPending  = 'p'
	kindBound    = 'b'
	kindFinished = 'd'

	prefixMachine  = '/' // also precedes the epoch
	prefixFailures = '!'
	prefixCount    = '*'
)

// entryBytes is the approximate length of an entry in the compact form.
const entryBytes = 16

// maxDigits is the maximum number of digits with which a number cannot overflow 64 bits.
const maxDigits = 19

// Change is the new state of a task that differs from its old state.
type Change struct {
	Index int // in the page
	Task  job.Task
}

// EncodeList encodes a page as a JSON list, the form that earlier versions read and write.
func EncodeList(tasks []job.Task) json.RawMessage { return protocol.Encode(tasks) }

// EncodeCompact encodes a page in the compact form.
func EncodeCompact(tasks []job.Task) json.RawMessage {
	buf := make([]byte, 1, entryBytes*len(tasks)+2)
	buf[0] = '"'
	for i := 0; i < len(tasks); {
		if i > 0 {
			buf = append(buf, ' ')
		}
		count := countEqual(tasks[i:])
		buf = appendTask(buf, &tasks[i])
		if count > 1 {
			buf = append(buf, prefixCount)
			buf = strconv.AppendInt(buf, int64(count), 10)
		}
		i += count
	}
	return append(buf, '"')
}

// countEqual returns the number of tasks at the start of tasks that are equal to the first.
func countEqual(tasks []job.Task) int {
	n := 1
	for n < len(tasks) && tasks[n] == tasks[0] {
		n++
	}
	return n
}

// appendTask appends the entry of one task.
func appendTask(buf []byte, task *job.Task) []byte {
	switch task.Phase {
	case job.Bound:
		buf = append(buf, kindBound)
		buf = strconv.AppendInt(buf, int64(task.Attempt), 10)
		buf = append(buf, prefixMachine)
		buf = append(buf, task.Machine...)
		buf = append(buf, prefixMachine)
		buf = strconv.AppendUint(buf, task.Epoch, 10)
	case job.Finished:
		buf = append(buf, kindFinished)
		buf = strconv.AppendInt(buf, int64(task.Attempt), 10)
	default:
		buf = append(buf, kindPending)
		buf = strconv.AppendInt(buf, int64(task.Attempt), 10)
	}
	if task.Failures != 0 {
		buf = append(buf, prefixFailures)
		buf = strconv.AppendInt(buf, int64(task.Failures), 10)
	}
	return buf
}

// Decode decodes a page of either form and appends to changes the tasks that differ from old, in
// the order of the tasks. Tasks of old beyond the end of the page were never started; tasks of the
// page beyond the length of old are ignored. Callers can reuse the memory of changes.
func Decode(data []byte, old []job.Task, changes []Change) ([]Change, error) {
	if len(data) > 0 && data[0] == '[' {
		return decodeList(data, old, changes)
	}
	return decodeCompact(data, old, changes)
}

// decodeList decodes a page in the JSON form of earlier versions.
func decodeList(data []byte, old []job.Task, changes []Change) ([]Change, error) {
	var tasks []job.Task
	if err := protocol.DecodeState(data, &tasks); err != nil {
		return nil, err
	}
	named := min(len(tasks), len(old))
	for i := range named {
		if old[i] != tasks[i] {
			changes = append(changes, Change{Index: i, Task: tasks[i]})
		}
	}
	return appendUnstarted(named, old, changes), nil
}

// decodeCompact decodes a page in the compact form.
func decodeCompact(data []byte, old []job.Task, changes []Change) ([]Change, error) {
	if !isPlainString(data) {
		return nil, ErrMalformed
	}
	index := 0
	rest := data[1 : len(data)-1]
	var e entry
	for len(rest) > 0 {
		var text []byte
		text, rest, _ = bytes.Cut(rest, []byte(" "))
		if err := e.decode(text); err != nil {
			return nil, err
		}
		for ; e.count > 0 && index < len(old); e.count-- {
			if !e.equals(&old[index]) {
				e.task.Machine = string(e.machine)
				changes = append(changes, Change{Index: index, Task: e.task})
			}
			index++
		}
	}
	return appendUnstarted(index, old, changes), nil
}

// isPlainString reports whether data looks like a JSON string without escapes: it starts and ends
// with a quote and contains no backslash.
func isPlainString(data []byte) bool {
	if len(data) < 2 || data[0] != '"' || data[len(data)-1] != '"' {
		return false
	}
	return bytes.IndexByte(data, '\\') < 0
}

// appendUnstarted appends a change to the never-started state for each task from index on that is
// not already in it.
func appendUnstarted(index int, old []job.Task, changes []Change) []Change {
	for ; index < len(old); index++ {
		if old[index] != (job.Task{}) {
			changes = append(changes, Change{Index: index})
		}
	}
	return changes
}

// entry is a decoded entry. The machine name remains a slice of the page's bytes until the task is
// known to differ: most tasks don't differ, and each string would cost an allocation.
type entry struct {
	task    job.Task // without its machine
	machine []byte
	count   int // number of equal tasks
}

// equals reports whether task equals the task of the entry.
func (e *entry) equals(task *job.Task) bool {
	return task.Phase == e.task.Phase && task.Attempt == e.task.Attempt && task.Epoch == e.task.Epoch &&
		task.Failures == e.task.Failures && task.Machine == string(e.machine)
}

// decode decodes the text of one entry into e.
func (e *entry) decode(text []byte) error {
	if len(text) < 2 {
		return ErrMalformed
	}
	*e = entry{count: 1}
	s := scanner{rest: text[1:]}
	e.task.Attempt = int(s.number())
	switch text[0] {
	case kindPending:
	case kindFinished:
		e.task.Phase = job.Finished
	case kindBound:
		e.task.Phase = job.Bound
		e.machine = s.machine()
		e.task.Epoch = s.number()
	default:
		return ErrMalformed
	}
	if s.skip(prefixFailures) {
		e.task.Failures = int(s.number())
	}
	if s.skip(prefixCount) {
		e.count = int(s.number())
	}
	if s.malformed || len(s.rest) > 0 {
		return ErrMalformed
	}
	return nil
}

// scanner reads the parts of an entry one after the other.
type scanner struct {
	rest      []byte
	malformed bool // a required part was missing or too long
}

// number reads a decimal number.
func (s *scanner) number() uint64 {
	value := uint64(0)
	digits := 0
	for digits < len(s.rest) && isDigit(s.rest[digits]) {
		value = value*10 + uint64(s.rest[digits]-'0')
		digits++
	}
	if digits == 0 || digits > maxDigits {
		s.malformed = true
	}
	s.rest = s.rest[digits:]
	return value
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// machine reads a machine name and the separators around it.
func (s *scanner) machine() []byte {
	if !s.skip(prefixMachine) {
		s.malformed = true
		return nil
	}
	end := bytes.IndexByte(s.rest, prefixMachine)
	if end <= 0 {
		s.malformed = true
		return nil
	}
	name := s.rest[:end]
	s.rest = s.rest[end+1:]
	return name
}

// skip reads a prefix if it comes next, and reports whether it did.
func (s *scanner) skip(prefix byte) bool {
	if len(s.rest) == 0 || s.rest[0] != prefix {
		return false
	}
	s.rest = s.rest[1:]
	return true
}
