// Package job is the neutral model of jobs and tasks. Nothing in it belongs to
// one wire format, so that other formats can be translated into it.
package job

import (
	"fmt"
	"strconv"
	"strings"
)

// Shape says how the tasks of a job belong together.
type Shape string

// Shapes.
const (
	Array   Shape = "array"
	Gang    Shape = "gang"
	Service Shape = "service"
)

// Priority orders jobs; the larger goes first.
type Priority int

// Priorities.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// Spec is what a user asked for.
type Spec struct {
	ID                  string   `json:"id"`
	Class               string   `json:"cl"`
	Team                string   `json:"tm"`
	Shape               Shape    `json:"sh"`
	Priority            Priority `json:"pr"`
	Tasks               int      `json:"n"`
	CPUs                float64  `json:"c,omitempty"`
	GPUs                float64  `json:"g,omitempty"`
	MemoryGB            float64  `json:"m,omitempty"`
	Image               string   `json:"im,omitempty"`
	ImageGB             float64  `json:"ig,omitempty"`
	MachineTypes        []string `json:"ty,omitempty"`
	Zone                string   `json:"z,omitempty"`
	OneZone             bool     `json:"oz,omitempty"`
	Spread              bool     `json:"sp,omitempty"`
	Spot                bool     `json:"ca,omitempty"`
	EstimateS           float64  `json:"es,omitempty"`
	CheckpointIntervalS float64  `json:"ck,omitempty"`
	CheckpointSaveS     float64  `json:"sv,omitempty"`
	DeadlineS           *float64 `json:"dl,omitempty"`
	// Extended tells that there is an Extra, kept under a key of its own.
	Extended bool `json:"x,omitempty"`
	// Inputs are the versions that its tasks read, as set/version, resolved.
	Inputs []string `json:"in,omitempty"`
}

// Status is a job's state as the records hold it.
type Status string

// Statuses.
const (
	Open      Status = "open"
	Done      Status = "done"
	Cancelled Status = "cancelled"
)

// Phase is a task's state as the records hold it.
type Phase string

// Phases. A task is bound from the commit that places it until a commit backed
// by evidence that it is gone.
const (
	Pending  Phase = ""
	Bound    Phase = "b"
	Finished Phase = "d"
)

// Task is one task's record.
type Task struct {
	Phase    Phase  `json:"s,omitempty"`
	Attempt  int    `json:"t,omitempty"`
	Machine  string `json:"m,omitempty"`
	Epoch    uint64 `json:"h,omitempty"`
	Failures int    `json:"f,omitempty"`
}

// SpreadLimit is the most tasks a spread job may have in one zone.
func (s *Spec) SpreadLimit() int { return (s.Tasks + 1) / 2 }

// AllowsMachineType tells whether the job may use a machine type.
func (s *Spec) AllowsMachineType(name string) bool {
	if s.MachineTypes == nil {
		return true
	}
	for _, t := range s.MachineTypes {
		if t == name {
			return true
		}
	}
	return false
}

// TaskName is the wire name of a task.
func TaskName(id string, index int) string { return id + "/" + strconv.Itoa(index) }

// ParseTaskName undoes TaskName.
func ParseTaskName(name string) (id string, index int, err error) {
	id, num, ok := strings.Cut(name, "/")
	if !ok {
		return "", 0, fmt.Errorf("task name %q has no index", name)
	}
	index, err = strconv.Atoi(num)
	if err != nil || index < 0 {
		return "", 0, fmt.Errorf("task name %q has a bad index", name)
	}
	return id, index, nil
}
