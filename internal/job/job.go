// Package job is the neutral model of jobs and tasks. Nothing in it belongs to
// one wire format, so that other formats can be translated into it. The JSON names are
// those of the records in the state service, so they must not change.
package job

import (
	"fmt"
	"slices"
)

// Shape is how the tasks of a job belong together.
type Shape string

// Shapes.
const (
	Array   Shape = "array"   // tasks are independent, and end by themselves
	Gang    Shape = "gang"    // all tasks run together or none does
	Service Shape = "service" // tasks are replicas that run until the job is cancelled
)

// Priority orders jobs; a job of a larger one goes first.
type Priority int

// Priorities.
const (
	Low Priority = iota
	Normal
	High
	Production
)

var priorityNames = [...]string{Low: "low", Normal: "normal", High: "high", Production: "production"}

// String returns the priority's name for people to read. Records and logs have its number.
func (p Priority) String() string {
	if p < 0 || int(p) >= len(priorityNames) {
		return fmt.Sprintf("priority %d", int(p))
	}
	return priorityNames[p]
}

// Spec is what a user asked for. It does not change once the job is accepted. Its fields
// are not grouped because those of submissions and records are not.
type Spec struct {
	ID                  string   `json:"id"`
	Class               string   `json:"cl"` // names similar jobs; chosen by the user
	Team                string   `json:"tm"`
	Shape               Shape    `json:"sh"`
	Priority            Priority `json:"pr"`
	Tasks               int      `json:"n"`           // how many
	CPUs                float64  `json:"c,omitempty"` // per task, like GPUs and MemoryGB
	GPUs                float64  `json:"g,omitempty"`
	MemoryGB            float64  `json:"m,omitempty"`
	Image               string   `json:"im,omitempty"`
	ImageGB             float64  `json:"ig,omitempty"`
	MachineTypes        []string `json:"ty,omitempty"` // that the job may use; nil: any
	Zone                string   `json:"z,omitempty"`  // that the job must use; "": any
	OneZone             bool     `json:"oz,omitempty"` // all tasks in one zone
	Spread              bool     `json:"sp,omitempty"` // see SpreadLimit
	Spot                bool     `json:"ca,omitempty"` // may use spot machines
	EstimateS           float64  `json:"es,omitempty"` // expected duration of a task
	CheckpointIntervalS float64  `json:"ck,omitempty"` // 0: tasks save no checkpoints
	CheckpointSaveS     float64  `json:"sv,omitempty"` // time to save a checkpoint
	DeadlineS           *float64 `json:"dl,omitempty"` // since the submission; nil: none
	// Extended reports whether the job has an Extra, which is stored under a key of its own.
	Extended bool `json:"x,omitempty"`
	// Inputs are the data sets that the tasks read, as set/version with the version resolved.
	Inputs []string `json:"in,omitempty"`
}

// SpreadLimit returns the largest number of tasks that a spread job may have in one zone.
func (s *Spec) SpreadLimit() int { return (s.Tasks + 1) / 2 }

// AllowsMachineType reports whether the job may use a machine type.
func (s *Spec) AllowsMachineType(name string) bool {
	return s.MachineTypes == nil || slices.Contains(s.MachineTypes, name)
}

// Status is a job's state as the records hold it.
type Status string

// Statuses. The last two are final.
const (
	Open      Status = "open"
	Done      Status = "done"
	Cancelled Status = "cancelled"
)
