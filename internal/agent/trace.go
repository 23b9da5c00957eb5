package agent

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// EventsFile is the file to which a machine's store appends its events, one JSON object per line.
const EventsFile = "events.jsonl"

// Event is an event of the data sets on a machine. Its kinds are those of
// datastore.Event, and "needed": a launched attempt needs a copy.
type Event struct {
	At      time.Time `json:"at"`
	Machine string    `json:"machine"`
	Kind    string    `json:"kind"`
	Load    string    `json:"load,omitempty"`
	Copy    string    `json:"copy,omitempty"`
	Source  string    `json:"source,omitempty"`
	Urgent  bool      `json:"urgent,omitempty"`
}

// tracer appends events to a file; a nil tracer writes none.
type tracer struct {
	mu      sync.Mutex
	file    *os.File
	machine string
}

func newTracer(path, machine string) (*tracer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return &tracer{file: f, machine: machine}, err
}

func (t *tracer) write(e Event) {
	if t == nil {
		return
	}
	e.Machine = t.machine
	raw, err := json.Marshal(e)
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = t.file.Write(append(raw, '\n'))
}
