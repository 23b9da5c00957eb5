package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"path"
	"strings"
	"unicode/utf8"

	"silvergate/internal/job"
)

// Paths that are extensions of the protocols, for workers and operators.
const (
	PathDescription = "description" // after a job's path: all that a worker needs
	PathGang        = "gang"        // after a job's path, with an attempt: where its tasks are
	PathJobList     = "/v2/list/jobs"
	PathMachineList = "/v2/list/nodes"
)

// Limits of the extension fields.
const (
	maxArguments = 256
	maxVariables = 256
	maxInputs    = 32
	maxKeep      = 32
	maxText      = 16 << 10
)

// ReservedEnv is the prefix of variables that only silvergate sets.
const ReservedEnv = "SILVERGATE_"

// ParseExtra reads and checks the extension fields of a submission: command,
// env, customer, keep and inputs. It returns nil when there are none.
func ParseExtra(body []byte) (*job.Extra, error) {
	var x struct {
		Command  []string          `json:"command"`
		Env      map[string]string `json:"env"`
		Customer *string           `json:"customer"`
		Keep     []string          `json:"keep"`
		Inputs   []struct {
			Set     *string `json:"set"`
			Version *string `json:"version"`
			Place   *string `json:"place"`
		} `json:"inputs"`
	}
	if err := json.Unmarshal(body, &x); err != nil {
		return nil, fmt.Errorf("the body is not a valid submission: %w", err)
	}
	e := &job.Extra{Command: x.Command, Env: x.Env}
	if len(x.Command) > maxArguments {
		return nil, fmt.Errorf("command: more than %d arguments", maxArguments)
	}
	for i, a := range x.Command {
		if err := plainText(a); err != nil || i == 0 && a == "" {
			return nil, fmt.Errorf("command[%d]: empty, too long or not text", i)
		}
	}
	if len(x.Env) > maxVariables {
		return nil, fmt.Errorf("env: more than %d variables", maxVariables)
	}
	for k, v := range x.Env {
		if !variable(k) || strings.HasPrefix(k, ReservedEnv) {
			return nil, fmt.Errorf("env.%.40q: not the name of a variable, or one that silvergate sets", k)
		}
		if err := plainText(v); err != nil {
			return nil, fmt.Errorf("env.%s: %w", k, err)
		}
	}
	if x.Customer != nil && *x.Customer != "" {
		if !ValidName(*x.Customer) || len(*x.Customer) > 100 {
			return nil, errors.New("customer: not a name of letters, digits, '-', '_' and '.'")
		}
		e.Customer = *x.Customer
	}
	if len(x.Keep) > maxKeep {
		return nil, fmt.Errorf("keep: more than %d patterns", maxKeep)
	}
	for i, p := range x.Keep {
		if _, err := path.Match(p, "x"); err != nil || !ValidRelativePath(p) {
			return nil, fmt.Errorf("keep[%d]: not a pattern of files inside the working directory", i)
		}
	}
	e.Keep = x.Keep
	if len(x.Inputs) > maxInputs {
		return nil, fmt.Errorf("inputs: more than %d", maxInputs)
	}
	places := map[string]bool{}
	for i, in := range x.Inputs {
		if in.Set == nil || !ValidName(*in.Set) {
			return nil, fmt.Errorf("inputs[%d].set: missing or not a name of letters, digits, '-', '_' and '.'", i)
		}
		if in.Version == nil || !ValidName(*in.Version) {
			return nil, fmt.Errorf("inputs[%d].version: missing or not a version", i)
		}
		if in.Place == nil || !ValidRelativePath(*in.Place) {
			return nil, fmt.Errorf("inputs[%d].place: missing or not a path inside the working directory", i)
		}
		for p := range places {
			if p == *in.Place || strings.HasPrefix(p, *in.Place+"/") || strings.HasPrefix(*in.Place, p+"/") {
				return nil, fmt.Errorf("inputs[%d].place: overlaps another input's", i)
			}
		}
		places[*in.Place] = true
		e.Inputs = append(e.Inputs, job.Input{Set: *in.Set, Version: *in.Version, Path: *in.Place})
	}
	if e.Empty() {
		return nil, nil
	}
	return e, nil
}

func plainText(s string) error {
	if len(s) > maxText {
		return fmt.Errorf("longer than %d bytes", maxText)
	}
	if !utf8.ValidString(s) || strings.IndexByte(s, 0) >= 0 {
		return errors.New("not text")
	}
	return nil
}

func variable(s string) bool {
	for i, c := range s {
		if !(c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || i > 0 && c >= '0' && c <= '9') {
			return false
		}
	}
	return s != "" && len(s) <= 200
}

// ValidName tells whether s can name a data set, a version or an image: it is
// safe in a key, in a path and as a file's name.
func ValidName(s string) bool { return validKeySegment(s) && s[0] != '.' && s[0] != '-' }

// ValidRelativePath tells whether s is a clean relative path that leads nowhere else.
func ValidRelativePath(s string) bool {
	return s != "" && len(s) <= 1000 && utf8.ValidString(s) && !strings.ContainsAny(s, "\x00\\") && path.Clean(s) == s &&
		s != "." && s != ".." && !strings.HasPrefix(s, "/") && !strings.HasPrefix(s, "../")
}

// JobDescription is all that a worker needs to run a job's tasks.
type JobDescription struct {
	ID                  string      `json:"ref"`
	Class               string      `json:"jobclass"`
	Team                string      `json:"crew"`
	Shape               job.Shape   `json:"shape"`
	Priority            string      `json:"urgency"`
	Tasks               int         `json:"loads"`
	CPUs                float64     `json:"cpus"`
	GPUs                float64     `json:"accelerators"`
	MemoryGB            float64     `json:"ramGb"`
	Image               string      `json:"kit"`
	ImageGB             float64     `json:"sizeGb"`
	CheckpointIntervalS float64     `json:"waypointS"`
	CheckpointSaveS     float64     `json:"stowS"`
	Complete            bool        `json:"complete,omitempty"` // a gang of which a task is done: all are
	Extra               *job.Extra  `json:"extra,omitempty"`
	Inputs              []InputCopy `json:"inputs,omitempty"` // with the versions resolved
	Grant               string      `json:"seal,omitempty"`   // of the terms of archive.Grant
}

// PriorityName is the wire name of a priority.
func PriorityName(p job.Priority) string {
	for n, v := range priorities {
		if v == p {
			return n
		}
	}
	return ""
}

// IsUrgent tells whether the wire name of a priority is one that others wait for.
func IsUrgent(urgency string) bool { return urgency == "prod" || urgency == "urgent" }

// ShapeName is the wire name of a shape.
func ShapeName(s job.Shape) string {
	for n, v := range shapes {
		if v == s {
			return n
		}
	}
	return ""
}

// GangMembers tells where the tasks of a gang's attempt are.
type GangMembers struct {
	Members []GangMember `json:"loads"`
}

// GangMember is one task's machine.
type GangMember struct {
	Index   int    `json:"index"`
	Machine string `json:"stoker"`
	Address string `json:"address"`
}

// JobSummary is a job as operators list it.
type JobSummary struct {
	ID         string  `json:"ref"`
	Status     string  `json:"status"`
	Class      string  `json:"jobclass"`
	Team       string  `json:"crew"`
	Shape      string  `json:"shape"`
	Priority   string  `json:"urgency"`
	Tasks      int     `json:"loads"`
	Done       int     `json:"done"`
	Running    int     `json:"running"`
	AgeS       float64 `json:"ageS"`
	WaitingFor string  `json:"waits,omitempty"` // what an open job's tasks wait for
}

// JobPage is a page of jobs, in the order of their names.
type JobPage struct {
	Jobs      []JobSummary `json:"jobs"`
	Truncated bool         `json:"truncated"`
}

// MachineSummary is a machine as operators list it.
type MachineSummary struct {
	Machine          string  `json:"stoker"`
	MachineType      string  `json:"rig"`
	Zone             string  `json:"depot"`
	Spot             bool    `json:"casual"`
	Address          string  `json:"address"`
	Owner            string  `json:"owner"`
	Status           string  `json:"status"`
	Tasks            int     `json:"loads"`
	CPUs             float64 `json:"cpus"`
	CPUCapacity      float64 `json:"cpusOf"`
	GPUs             float64 `json:"accelerators"`
	GPUCapacity      float64 `json:"acceleratorsOf"`
	MemoryGB         float64 `json:"ramGb"`
	MemoryCapacityGB float64 `json:"ramGbOf"`
}

// MachinePage is a page of machines, in the order of their names.
type MachinePage struct {
	Machines  []MachineSummary `json:"nodes"`
	Truncated bool             `json:"truncated"`
}
