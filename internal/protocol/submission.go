package protocol

import (
	"encoding/json"
	"fmt"

	"silvergate/internal/job"
)

// Paths of the users' interface.
const (
	// PathJobs accepts submissions (POST); each job has a path of its own below it.
	PathJobs = "/v2/runs"
	// PathCancel is appended to a job's path to cancel the job.
	PathCancel = "abort"
)

// MaxTasks is the most tasks a job may have.
const MaxTasks = 100_000

// Submission is a job as a user submits it. Its fields are pointers so that an absent
// field differs from one with a zero value; MachineTypes, Zone and DeadlineS may be absent.
type Submission struct {
	ID                  *string  `json:"ref"`
	Class               *string  `json:"jobclass"`
	Team                *string  `json:"crew"`
	Shape               *string  `json:"shape"`
	Priority            *string  `json:"urgency"`
	Tasks               *int64   `json:"loads"`
	CPUs                *float64 `json:"cpus"` // per task, like GPUs and MemoryGB
	GPUs                *float64 `json:"accelerators"`
	MemoryGB            *float64 `json:"ramGb"`
	Image               *string  `json:"kit"`
	ImageGB             *float64 `json:"sizeGb"`
	MachineTypes        []string `json:"rigs"`  // null: any
	Zone                *string  `json:"depot"` // null: any
	OneZone             *bool    `json:"oneZone"`
	Spread              *bool    `json:"apart"`
	Spot                *bool    `json:"casual"`
	EstimateS           *float64 `json:"etaS"`
	CheckpointIntervalS *float64 `json:"waypointS"`
	CheckpointSaveS     *float64 `json:"stowS"`
	DeadlineS           *float64 `json:"dueS"` // since the submission; null: none
}

// JobState is a job's state as users see it.
type JobState struct {
	ID      string `json:"ref"`
	Status  string `json:"status"` // JobQueued, JobRunning, or a final status of package job
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// Statuses of jobs that have not ended. Users see an open job as one of these.
const (
	JobQueued  = "queued"
	JobRunning = "running"
)

// SubmissionID reads only the id of a submission, which is needed before anything
// else is validated: a submission of a known job is answered whatever its other fields
// contain.
func SubmissionID(body []byte) (string, error) {
	var submission struct {
		ID *string `json:"ref"`
	}
	if err := requireObject(body); err != nil {
		return "", err
	}
	if err := json.Unmarshal(body, &submission); err != nil {
		return "", invalidSubmission(err)
	}
	if submission.ID == nil || !ValidJobID(*submission.ID) {
		return "", badField("ref", "missing or not of the form wk-000000")
	}
	return *submission.ID, nil
}

// ParseSubmission reads and checks a submission except for its extension fields, which
// ParseExtra reads. The error is ErrNotObject, or a *FieldError for the first bad field in
// a fixed order, or wraps the error of encoding/json.
func ParseSubmission(body []byte) (*job.Spec, error) {
	if _, err := SubmissionID(body); err != nil {
		return nil, err
	}
	var submission Submission
	if err := json.Unmarshal(body, &submission); err != nil {
		return nil, invalidSubmission(err)
	}
	spec := &job.Spec{ID: *submission.ID, MachineTypes: submission.MachineTypes}
	// The order decides which of several bad fields a user is told about.
	for _, read := range []func(*Submission, *job.Spec) error{
		readTexts, readAmounts, readFlags, readTaskCount, readShape, readPriority, readDeadline, readZone,
	} {
		if err := read(&submission, spec); err != nil {
			return nil, err
		}
	}
	return spec, nil
}

func invalidSubmission(err error) error {
	return fmt.Errorf("the body is not a valid submission: %w", err)
}

// requiredField is a field that must be present, with the destination of its value.
type requiredField[T any] struct {
	name        string
	value       *T
	destination *T
}

// readRequired copies the fields to their destinations. It returns a *FieldError for the
// first field that is missing or not valid.
func readRequired[T any](fields []requiredField[T], valid func(T) bool, problem string) error {
	for _, field := range fields {
		if field.value == nil || !valid(*field.value) {
			return &FieldError{Field: field.name, Problem: problem}
		}
		*field.destination = *field.value
	}
	return nil
}

func readTexts(submission *Submission, spec *job.Spec) error {
	return readRequired([]requiredField[string]{
		{"jobclass", submission.Class, &spec.Class},
		{"crew", submission.Team, &spec.Team},
		{"kit", submission.Image, &spec.Image},
	}, isShortText, "missing, empty or too long")
}

func readAmounts(submission *Submission, spec *job.Spec) error {
	return readRequired([]requiredField[float64]{
		{"cpus", submission.CPUs, &spec.CPUs},
		{"accelerators", submission.GPUs, &spec.GPUs},
		{"ramGb", submission.MemoryGB, &spec.MemoryGB},
		{"sizeGb", submission.ImageGB, &spec.ImageGB},
		{"etaS", submission.EstimateS, &spec.EstimateS},
		{"waypointS", submission.CheckpointIntervalS, &spec.CheckpointIntervalS},
		{"stowS", submission.CheckpointSaveS, &spec.CheckpointSaveS},
	}, isAmount, "missing or not an amount")
}

func readFlags(submission *Submission, spec *job.Spec) error {
	anyFlag := func(bool) bool { return true }
	return readRequired([]requiredField[bool]{
		{"oneZone", submission.OneZone, &spec.OneZone},
		{"apart", submission.Spread, &spec.Spread},
		{"casual", submission.Spot, &spec.Spot},
	}, anyFlag, "missing")
}

func readTaskCount(submission *Submission, spec *job.Spec) error {
	tasks := submission.Tasks
	if tasks == nil || *tasks < 1 || *tasks > MaxTasks {
		return badField("loads", "missing or not between 1 and %d", MaxTasks)
	}
	spec.Tasks = int(*tasks)
	return nil
}

func readShape(submission *Submission, spec *job.Spec) error {
	return readNamed("shape", submission.Shape, shapes, &spec.Shape)
}

func readPriority(submission *Submission, spec *job.Spec) error {
	return readNamed("urgency", submission.Priority, priorities, &spec.Priority)
}

// readNamed sets destination to the value whose wire name the field holds.
func readNamed[T any](field string, name *string, values map[string]T, destination *T) error {
	if name == nil {
		return badField(field, "missing")
	}
	value, known := values[*name]
	if !known {
		return badField(field, "unknown")
	}
	*destination = value
	return nil
}

func readDeadline(submission *Submission, spec *job.Spec) error {
	if submission.DeadlineS != nil && !isAmount(*submission.DeadlineS) {
		return badField("dueS", "not an amount")
	}
	spec.DeadlineS = submission.DeadlineS
	return nil
}

func readZone(submission *Submission, spec *job.Spec) error {
	if submission.Zone == nil {
		return nil
	}
	if !isShortText(*submission.Zone) {
		return badField("depot", "empty or too long")
	}
	spec.Zone = *submission.Zone
	return nil
}

// isShortText reports whether text is neither empty nor too long.
func isShortText(text string) bool { return text != "" && len(text) <= maxText }
