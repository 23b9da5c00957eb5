package job

import (
	"fmt"
	"strconv"
	"strings"
)

// Phase is a task's state as the records hold it.
type Phase string

// Phases. A task is bound from the commit that places it until a commit backed
// by evidence that the task's attempt is gone from its worker.
const (
	Pending  Phase = ""
	Bound    Phase = "b"
	Finished Phase = "d"
)

// Task is one task's record.
type Task struct {
	Phase   Phase `json:"s,omitempty"`
	Attempt int   `json:"t,omitempty"` // number of the last attempt; 0: there has been none
	// Machine is the machine of a bound task's attempt, and Epoch the epoch of the
	// machine's agent for which the attempt was placed.
	Machine  string `json:"m,omitempty"`
	Epoch    uint64 `json:"h,omitempty"`
	Failures int    `json:"f,omitempty"` // attempts that failed because of the task itself
}

// TaskName returns the wire name of a task: the job's id, a slash and the task's index.
func TaskName(id string, index int) string { return id + "/" + strconv.Itoa(index) }

// ParseTaskName returns the job's id and the task's index that a wire name consists of.
func ParseTaskName(name string) (id string, index int, err error) {
	id, digits, hasIndex := strings.Cut(name, "/")
	if !hasIndex {
		return "", 0, fmt.Errorf("task name %q has no index", name)
	}
	index, err = strconv.Atoi(digits)
	if err != nil || index < 0 {
		return "", 0, fmt.Errorf("task name %q has a bad index", name)
	}
	return id, index, nil
}
