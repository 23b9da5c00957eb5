package protocol

import (
	"bytes"

	"silvergate/internal/job"
)

// Paths for workers that are appended to a job's path. They are extensions.
const (
	// PathDescription returns a JobDescription.
	PathDescription = "description"
	// PathGang returns a GangMembers: the machines of the gang's tasks in an attempt.
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
	Complete            bool       `json:"complete,omitempty"` // a gang with a task that is done; all its tasks count as done
	Extra               *job.Extra `json:"extra,omitempty"`
	// Inputs are the data sets that the tasks read, with the versions resolved.
	Inputs []InputCopy `json:"inputs,omitempty"`
	// Grant lets the worker write to the archive: see archive.Grant.
	Grant string `json:"seal,omitempty"`
}

// InputCopy is an input of a job in its JobDescription.
type InputCopy struct {
	DataSet
	Path string `json:"place"` // relative to the task's working directory
}

// GangMembers lists the machines of the tasks of a gang's attempt.
type GangMembers struct {
	Members []GangMember `json:"loads"`
}

// membersPerLine is how many members are encoded into a line: a response must contain no line
// longer than 64 KiB.
const membersPerLine = 256

// Encode encodes the list as JSON.
func (g *GangMembers) Encode() []byte {
	var b bytes.Buffer
	b.WriteString(`{"loads":[`)
	for i := range g.Members {
		switch {
		case i == 0:
		case i%membersPerLine == 0:
			b.WriteString(",\n")
		default:
			b.WriteByte(',')
		}
		b.Write(Encode(&g.Members[i]))
	}
	b.WriteString("]}")
	return b.Bytes()
}

// GangMember is one task's machine.
type GangMember struct {
	Index   int    `json:"index"` // of the task
	Machine string `json:"stoker"`
	Address string `json:"address"` // of the machine's agent
}
