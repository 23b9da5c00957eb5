package coordination

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// A page's record is one JSON string with a word for each task:
//
//	p<try>                       pending; a task never tried is p0
//	b<try>/<machine>/<session>   bound
//	d<try>                       finished
//
// with !<fails> behind it if it has failed, and *<n> for n tasks alike. It is a
// third of the size of a JSON list, and whoever reads it need not build the tasks
// that did not change. Earlier versions wrote a list of objects, which is still
// read, and written as long as a peer of such a version may be about.

// Formats of records, each of which includes those before it. A controller publishes the
// highest that it reads with its member record.
const (
	compactPageFormat   = 1 // pages of words
	failoverFormat      = 2 // take-overs by the group
	completionLogFormat = 3 // the log of endings
	latestFormat        = completionLogFormat
)

var errMalformedPage = errors.New("not a page of tasks")

// writePage encodes a page.
func writePage(tasks []job.Task) json.RawMessage {
	b := make([]byte, 1, 16*len(tasks)+2)
	b[0] = '"'
	for i := 0; i < len(tasks); {
		n := 1
		for i+n < len(tasks) && tasks[i+n] == tasks[i] {
			n++
		}
		t := &tasks[i]
		if i > 0 {
			b = append(b, ' ')
		}
		switch t.Phase {
		case job.Bound:
			b = strconv.AppendInt(append(b, 'b'), int64(t.Attempt), 10)
			b = append(append(append(b, '/'), t.Machine...), '/')
			b = strconv.AppendUint(b, t.Epoch, 10)
		case job.Finished:
			b = strconv.AppendInt(append(b, 'd'), int64(t.Attempt), 10)
		default:
			b = strconv.AppendInt(append(b, 'p'), int64(t.Attempt), 10)
		}
		if t.Failures != 0 {
			b = strconv.AppendInt(append(b, '!'), int64(t.Failures), 10)
		}
		if n > 1 {
			b = strconv.AppendInt(append(b, '*'), int64(n), 10)
		}
		i += n
	}
	return append(b, '"')
}

// taskChange is a task of a page that differs from what was there.
type taskChange struct {
	index int
	task  job.Task
}

// readPage decodes a page and appends to buf what differs from old. Tasks that
// the page does not name are untried.
func readPage(data []byte, old []job.Task, buf []taskChange) ([]taskChange, error) {
	if len(data) > 0 && data[0] == '[' {
		return readJSONPage(data, old, buf)
	}
	if len(data) < 2 || data[0] != '"' || data[len(data)-1] != '"' || bytes.IndexByte(data, '\\') >= 0 {
		return nil, errMalformedPage
	}
	i := 0
	for rest := data[1 : len(data)-1]; len(rest) > 0; {
		w, next, _ := bytes.Cut(rest, []byte(" "))
		rest = next
		t, machine, n, err := readTaskWord(w)
		if err != nil {
			return nil, err
		}
		for ; n > 0 && i < len(old); n, i = n-1, i+1 {
			o := &old[i]
			if o.Phase == t.Phase && o.Attempt == t.Attempt && o.Epoch == t.Epoch && o.Failures == t.Failures && o.Machine == string(machine) {
				continue
			}
			t.Machine = string(machine)
			buf = append(buf, taskChange{i, t})
		}
	}
	return isUntried(i, old, buf), nil
}

// isUntried appends that the tasks from i on are untried.
func isUntried(i int, old []job.Task, buf []taskChange) []taskChange {
	for ; i < len(old); i++ {
		if old[i] != (job.Task{}) {
			buf = append(buf, taskChange{i, job.Task{}})
		}
	}
	return buf
}

// readTaskWord decodes one word: a task, its machine, and how many are alike.
func readTaskWord(w []byte) (t job.Task, machine []byte, n int, err error) {
	if len(w) < 2 {
		return t, nil, 0, errMalformedPage
	}
	kind := w[0]
	rest := w[1:]
	number := func() uint64 {
		v, i := uint64(0), 0
		for i < len(rest) && rest[i] >= '0' && rest[i] <= '9' {
			v, i = v*10+uint64(rest[i]-'0'), i+1
		}
		if i == 0 || i > 19 {
			err = errMalformedPage
		}
		rest = rest[i:]
		return v
	}
	mark := func(b byte) bool {
		if len(rest) == 0 || rest[0] != b {
			return false
		}
		rest = rest[1:]
		return true
	}
	t.Attempt = int(number())
	switch kind {
	case 'p':
	case 'd':
		t.Phase = job.Finished
	case 'b':
		t.Phase = job.Bound
		if !mark('/') {
			return t, nil, 0, errMalformedPage
		}
		end := bytes.IndexByte(rest, '/')
		if end <= 0 {
			return t, nil, 0, errMalformedPage
		}
		machine, rest = rest[:end], rest[end+1:]
		t.Epoch = number()
	default:
		return t, nil, 0, errMalformedPage
	}
	if mark('!') {
		t.Failures = int(number())
	}
	n = 1
	if mark('*') {
		n = int(number())
	}
	if err != nil || len(rest) > 0 {
		return t, nil, 0, errMalformedPage
	}
	return t, machine, n, nil
}

// readJSONPage decodes a page of an earlier version.
func readJSONPage(data []byte, old []job.Task, buf []taskChange) ([]taskChange, error) {
	var tasks []job.Task
	if err := protocol.DecodeState(data, &tasks); err != nil {
		return nil, err
	}
	n := min(len(tasks), len(old))
	for i := range n {
		if old[i] != tasks[i] {
			buf = append(buf, taskChange{i, tasks[i]})
		}
	}
	return isUntried(n, old, buf), nil
}

// allPeersRead tells whether all peers are known to read a format: each has published so, in
// this life of ours.
func (c *Core) allPeersRead(format int) bool {
	for _, p := range c.cfg.Peers {
		if c.membership.formats[p.Node] < format {
			return false
		}
	}
	return true
}

// encodePage encodes a page so that every controller can read it.
func (c *Core) encodePage(tasks []job.Task) json.RawMessage {
	if c.allPeersRead(compactPageFormat) {
		return writePage(tasks)
	}
	return encode(tasks)
}
