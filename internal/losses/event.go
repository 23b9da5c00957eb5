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

// Messages of the log lines that mark the steps of an attempt.
const (
	Evidence = "evidence" // the attempt's end is known; the reason says how
	Ended    = "ended"    // the end is committed
	Placing  = "placing"  // the task has a machine
	Bound    = "bound"    // the placement is committed
	Launch   = "launch"   // the command to start the task goes to the machine
	Began    = "began"    // the first heartbeat shows the task running
)

// Reasons of an end that controllers prove without a worker's report: the proofs of
// internal/fencing.
const (
	LeaseExpired   = "lease"   // the lease expired after the controller's last answer
	NewerEpoch     = "session" // the machine reports a later epoch
	MachineDeleted = "cloud"   // the machine is deleted, or listed as failed
	NotListed      = "absent"  // a newer heartbeat does not list an attempt that is no longer wanted
)

// Reasons of a loss that workers report.
const (
	reasonError = "error" // the task failed
	reasonPeers = "peers" // another member of its gang was lost
)

// isLoss reports whether an attempt that ended for a reason is lost. An attempt that
// completed or that the controllers stopped is not lost.
func isLoss(reason string) bool {
	switch reason {
	case LeaseExpired, NewerEpoch, MachineDeleted, reasonError, reasonPeers:
		return true
	}
	return false
}

// Event is a log line that marks a step of an attempt.
type Event struct {
	At             time.Duration // since the first line, or the offset in front of the line
	Msg            string
	Task           string // job/index
	Attempt        int
	Class          string
	Reason         string
	Done           bool          // the task completed
	SinceHeartbeat time.Duration // since the machine's last heartbeat
	Priority       int
}

// maxLine is the length of the longest line that is parsed, in bytes. Longer lines are
// skipped.
const maxLine = 1 << 20

// Read reads a log and adds its events. It skips other lines. If in can't be read, the error gives
// the number of lines read so far, over all logs that r has read.
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

// readLine reads a line. It returns "" for a line that is longer than maxLine.
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

// Parse parses a line in slog's text format, which an offset in seconds and the controller's
// name may precede. ok reports whether the line is an event. Parse also accepts the attribute
// names of earlier versions.
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

// maxOffset bounds the offset in front of a line, in seconds. A larger number is not an
// offset.
const maxOffset = 1e9

// cutOffset splits a line into the offset in front of it and slog's record. ok reports
// whether the line has an offset.
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

// maxSilentMS bounds the time since the machine's last heartbeat that a line gives, in
// milliseconds. A larger number is cut to it.
const maxSilentMS = 1e9

// setAttribute sets the field for an attribute of a line. It also knows the attribute names
// of earlier versions.
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
		e.SinceHeartbeat = time.Duration(max(0, min(ms, maxSilentMS))) * time.Millisecond
	}
}
