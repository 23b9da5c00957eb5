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

// String returns the target's name in metrics.
func (t Target) String() string {
	return [...]string{ToStateService: "state", ToCloud: "cloud", ToWorker: "worker"}[t]
}

// Call is an HTTP request that the core wants sent.
type Call struct {
	ID      uint64 // repeated in its Reply
	Target  Target
	Address string // of the worker, for ToWorker
	Method  string
	Path    string
	Body    []byte
	Timeout time.Duration
}

// Reply is the result of a Call. Status 0 means that no response came; Sent then
// reports whether the request may have been executed nevertheless.
type Reply struct {
	ID         uint64
	Status     int // HTTP status code
	Sent       bool
	RetryAfter int // seconds, 0 if the response has none
	Body       []byte
}
