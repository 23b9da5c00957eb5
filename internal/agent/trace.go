package agent

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// EventsFile is where a machine's store writes its events, a line each.
const EventsFile = "events.jsonl"

// Event is something that happened to data on a machine. Kinds are those of
// datastore.Event, and "needed": an attempt that was launched needs a copy.
type Event struct {
	At      time.Time `json:"at"`
	Machine string    `json:"machine"`
	Kind    string    `json:"kind"`
	Load    string    `json:"load,omitempty"`
	Copy    string    `json:"copy,omitempty"`
	Source  string    `json:"source,omitempty"`
	Urgent  bool      `json:"urgent,omitempty"`
}

// tracer writes events; a nil one writes none.
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
