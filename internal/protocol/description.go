package protocol

import "silvergate/internal/job"

// Paths that follow a job's path, for workers. They are extensions.
const (
	// PathDescription gives all that a worker needs, a JobDescription.
	PathDescription = "description"
	// PathGang gives, for an attempt, where the gang's tasks are: GangMembers.
	PathGang = "gang"
)

// JobDescription is all that a worker needs to run a job's tasks.
type JobDescription struct {
	ID                  string     `json:"ref"`
	Class               string     `json:"jobclass"`
	Team                string     `json:"crew"`
	Shape               job.Shape  `json:"shape"`   // not the wire name of submissions
	Priority            string     `json:"urgency"` // the wire name
	Tasks               int        `json:"loads"`
	CPUs                float64    `json:"cpus"`
	GPUs                float64    `json:"accelerators"`
	MemoryGB            float64    `json:"ramGb"`
	Image               string     `json:"kit"`
	ImageGB             float64    `json:"sizeGb"`
	CheckpointIntervalS float64    `json:"waypointS"`
	CheckpointSaveS     float64    `json:"stowS"`
	Complete            bool       `json:"complete,omitempty"` // a gang of which a task is done: all are
	Extra               *job.Extra `json:"extra,omitempty"`
	// Inputs are the data sets that the tasks read, with the versions resolved.
	Inputs []InputCopy `json:"inputs,omitempty"`
	// Grant lets the worker write to the archive: see archive.Grant.
	Grant string `json:"seal,omitempty"`
}

// InputCopy is an input of a job as its description tells it.
type InputCopy struct {
	DataSet
	Path string `json:"place"` // relative to the task's working directory
}

// GangMembers tells where the tasks of a gang's attempt are.
type GangMembers struct {
	Members []GangMember `json:"loads"`
}

// GangMember is one task's machine.
type GangMember struct {
	Index   int    `json:"index"` // of the task
	Machine string `json:"stoker"`
	Address string `json:"address"` // of the machine's agent
}
