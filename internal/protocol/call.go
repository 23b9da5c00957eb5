package protocol

import "time"

// Target names an outside system.
type Target int

// Targets.
const (
	ToStateService Target = iota
	ToCloud
	ToWorker
)

// Call is a request that the core wants sent.
type Call struct {
	ID      uint64
	Target  Target
	Address string // of a worker
	Method  string
	Path    string
	Body    []byte
	Timeout time.Duration
}

// Reply is what came of a call. Status 0 means that no response came; Sent
// then tells whether the request may have been executed all the same.
type Reply struct {
	ID         uint64
	Status     int
	Sent       bool
	RetryAfter int
	Body       []byte
}
