package losses

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Messages of the log lines that tell the steps of an attempt.
const (
	Evidence = "evidence" // its end is known; the reason says how
	Ended    = "ended"    // its end is committed
	Placing  = "placing"  // the task has a machine
	Bound    = "bound"    // that is committed
	Launch   = "launch"   // the machine is told
	Began    = "began"    // the first heartbeat that shows it running
)

// Reasons of an end beside those that workers report: the proofs of internal/fencing.
const (
	LeaseExpired   = "lease"   // the lease ran out after our last answer
	NewerEpoch     = "session" // the machine reports a later epoch
	MachineDeleted = "cloud"   // the machine is deleted, or listed as failed
	NotListed      = "absent"  // a newer heartbeat lacks what is not wanted any more
)

// Reasons that workers report of a loss.
const (
	reasonError = "error" // the task failed
	reasonPeers = "peers" // another member of its gang was lost
)

// isLoss tells whether the reason of an end is no act of ours and no completion of the task:
// what is stopped or done is not lost.
func isLoss(reason string) bool {
	switch reason {
	case LeaseExpired, NewerEpoch, MachineDeleted, reasonError, reasonPeers:
		return true
	}
	return false
}

// Event is a line of a log that matters here.
type Event struct {
	At       time.Duration // from the first line on, or as the line's own offset says
	Msg      string
	Task     string // job/index
	Attempt  int
	Class    string
	Reason   string
	Done     bool          // it completed
	Silent   time.Duration // since the machine was last heard
	Priority int
}

// maxLine is the longest line that is looked at, in bytes; longer ones are passed over.
const maxLine = 1 << 20

// Read takes a log. Lines that it does not know are passed over. The error is that of
// in, with the line at which it came.
func (r *Reader) Read(in io.Reader) error {
	buffered := bufio.NewReaderSize(in, 64<<10)
	for {
		line, err := readLine(buffered)
		if e, ok := r.Parse(line); ok {
			r.Add(e)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", r.lines, err)
		}
	}
}

// readLine reads a line; it is "" if the line is too long.
func readLine(in *bufio.Reader) (string, error) {
	var line []byte
	tooLong := false
	for {
		part, more, err := in.ReadLine()
		if err != nil {
			return string(line), err
		}
		tooLong = tooLong || len(line)+len(part) > maxLine
		if !tooLong {
			line = append(line, part...)
		}
		switch {
		case more:
		case tooLong:
			return "", nil
		default:
			return string(line), nil
		}
	}
}

// Parse reads a line: slog's text, with or without an offset in seconds and the
// controller's name in front. ok is whether it is an event. Earlier versions named the
// attributes otherwise; both names are read.
func (r *Reader) Parse(line string) (e Event, ok bool) {
	r.lines++
	offset, record, hasOffset := cutOffset(line)
	d := logfmt.NewDecoder(strings.NewReader(record))
	if !d.ScanRecord() {
		return e, false
	}
	for d.ScanKeyval() {
		if string(d.Key()) != "time" {
			e.setAttribute(string(d.Key()), string(d.Value()))
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, string(d.Value()))
		if err != nil {
			return e, false
		}
		if r.first.IsZero() {
			r.first = at
		}
		e.At = at.Sub(r.first)
	}
	if hasOffset {
		e.At = offset
	}
	return e, d.Err() == nil && e.Task != "" && e.Msg != ""
}

// maxOffset is the largest number in front of a line, in seconds, that is taken for an offset.
const maxOffset = 1e9

// cutOffset splits a line into the offset in front of it, if it has one, and slog's record.
func cutOffset(line string) (offset time.Duration, record string, ok bool) {
	record = strings.TrimSpace(line)
	if fields := strings.Fields(record); len(fields) > 0 {
		if s, err := strconv.ParseFloat(fields[0], 64); err == nil && s >= 0 && s < maxOffset {
			offset, ok = time.Duration(s*float64(time.Second)), true
			record = strings.TrimSpace(record[len(fields[0]):])
		}
	}
	if at := strings.Index(record, "time="); at > 0 {
		record = record[at:]
	}
	return offset, record, ok
}

// maxSilentMS bounds the silence that a line tells, in milliseconds.
const maxSilentMS = 1e9

// setAttribute takes an attribute of a line, by its name or that of earlier versions.
func (e *Event) setAttribute(key, value string) {
	switch key {
	case "msg":
		e.Msg = value
	case "task", "load":
		e.Task = value
	case "class":
		e.Class = value
	case "reason", "why":
		e.Reason = value
	case "done":
		e.Done = value == "true"
	case "attempt", "try":
		e.Attempt, _ = strconv.Atoi(value)
	case "priority", "urgency":
		e.Priority, _ = strconv.Atoi(value)
	case "silent_ms", "silentMs":
		ms, _ := strconv.ParseInt(value, 10, 64)
		e.Silent = time.Duration(max(0, min(ms, maxSilentMS))) * time.Millisecond
	}
}
