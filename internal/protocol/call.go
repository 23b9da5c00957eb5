package protocol

import "time"

// Target is an outside system that calls go to.
type Target int

// Targets.
const (
	ToStateService Target = iota
	ToCloud
	ToWorker
)

// String is the target's name in metrics.
func (t Target) String() string {
	return [...]string{ToStateService: "state", ToCloud: "cloud", ToWorker: "worker"}[t]
}

// Call is an HTTP request that the core wants sent.
type Call struct {
	ID      uint64 // its Reply has the same
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
	Status     int // of HTTP
	Sent       bool
	RetryAfter int // seconds, 0 if the response has none
	Body       []byte
}
