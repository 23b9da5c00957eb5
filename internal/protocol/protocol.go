// Package protocol holds the wire messages of every HTTP interface and their
// validation. It decides nothing.
package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"silvergate/internal/job"
)

// MaxBody is the largest request body.
const MaxBody = 64 << 10

// MaxTasks is the most tasks a job may have.
const MaxTasks = 100_000

// Paths of the interfaces.
const (
	PathJobs          = "/v2/runs"
	PathCancel        = "abort"
	PathHealth        = "/up"
	PathHeartbeat     = "/checkin"
	PathCommands      = "/orders"
	PathStatus        = "/status"
	PathMachineTypes  = "/flavors"
	PathRentals       = "/rentals"
	PathRentalsDelete = "/rentals/delete"
	PathKeys          = "/keys"
	PathTxn           = "/txn"
	PathLeases        = "/grants"
	PathKeepAlive     = "touch"
	PathWatch         = "/watch"
)

// Submission is a submission.
type Submission struct {
	ID                  *string  `json:"ref"`
	Class               *string  `json:"jobclass"`
	Team                *string  `json:"crew"`
	Shape               *string  `json:"shape"`
	Priority            *string  `json:"urgency"`
	Tasks               *int64   `json:"loads"`
	CPUs                *float64 `json:"cpus"`
	GPUs                *float64 `json:"accelerators"`
	MemoryGB            *float64 `json:"ramGb"`
	Image               *string  `json:"kit"`
	ImageGB             *float64 `json:"sizeGb"`
	MachineTypes        []string `json:"rigs"`
	Zone                *string  `json:"depot"`
	OneZone             *bool    `json:"oneZone"`
	Spread              *bool    `json:"apart"`
	Spot                *bool    `json:"casual"`
	EstimateS           *float64 `json:"etaS"`
	CheckpointIntervalS *float64 `json:"waypointS"`
	CheckpointSaveS     *float64 `json:"stowS"`
	DeadlineS           *float64 `json:"dueS"`
}

var (
	shapes     = map[string]job.Shape{"batch": job.Array, "ensemble": job.Gang, "standing": job.Service}
	priorities = map[string]job.Priority{"prod": job.Production, "urgent": job.High, "standard": job.Normal, "idle": job.Low}
)

// ValidJobID tells whether s has the form of a job id: wk- and six or more digits.
func ValidJobID(s string) bool {
	if len(s) < 9 || len(s) > 24 || s[:3] != "wk-" {
		return false
	}
	for i := 3; i < len(s); i++ {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return true
}

// Object tells whether a body can only be a JSON object.
func Object(body []byte) error {
	if t := bytes.TrimLeft(body, " \t\r\n"); len(t) == 0 || t[0] != '{' {
		return errors.New("the body is not a JSON object")
	}
	return nil
}

// DecodeObject reads a request's JSON object, with errors that are for people.
// Unknown fields are ignored.
func DecodeObject(body []byte, v any) error {
	if err := Object(body); err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("the body is malformed: %w", err)
	}
	return nil
}

// SubmissionID reads only the id of a submission, which is wanted before anything
// else is judged: a known job is answered whatever the rest says.
func SubmissionID(body []byte) (string, error) {
	var v struct {
		Ref *string `json:"ref"`
	}
	if err := Object(body); err != nil {
		return "", err
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return "", fmt.Errorf("the body is not a valid submission: %w", err)
	}
	if v.Ref == nil || !ValidJobID(*v.Ref) {
		return "", errors.New("ref: missing or not of the form wk-000000")
	}
	return *v.Ref, nil
}

// ParseSubmission reads and checks a submission.
func ParseSubmission(body []byte) (*job.Spec, error) {
	if _, err := SubmissionID(body); err != nil {
		return nil, err
	}
	var r Submission
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("the body is not a valid submission: %w", err)
	}
	s := &job.Spec{ID: *r.ID}
	for _, f := range []struct {
		name string
		v    *string
		dst  *string
	}{{"jobclass", r.Class, &s.Class}, {"crew", r.Team, &s.Team}, {"kit", r.Image, &s.Image}} {
		if f.v == nil || *f.v == "" || len(*f.v) > 200 {
			return nil, fmt.Errorf("%s: missing, empty or too long", f.name)
		}
		*f.dst = *f.v
	}
	for _, f := range []struct {
		name string
		v    *float64
		dst  *float64
	}{{"cpus", r.CPUs, &s.CPUs}, {"accelerators", r.GPUs, &s.GPUs}, {"ramGb", r.MemoryGB, &s.MemoryGB}, {"sizeGb", r.ImageGB, &s.ImageGB},
		{"etaS", r.EstimateS, &s.EstimateS}, {"waypointS", r.CheckpointIntervalS, &s.CheckpointIntervalS}, {"stowS", r.CheckpointSaveS, &s.CheckpointSaveS}} {
		if f.v == nil || !isFiniteAmount(*f.v) {
			return nil, fmt.Errorf("%s: missing or not an amount", f.name)
		}
		*f.dst = *f.v
	}
	for _, f := range []struct {
		name string
		v    *bool
		dst  *bool
	}{{"oneZone", r.OneZone, &s.OneZone}, {"apart", r.Spread, &s.Spread}, {"casual", r.Spot, &s.Spot}} {
		if f.v == nil {
			return nil, fmt.Errorf("%s: missing", f.name)
		}
		*f.dst = *f.v
	}
	if r.Tasks == nil || *r.Tasks < 1 || *r.Tasks > MaxTasks {
		return nil, fmt.Errorf("loads: missing or not between 1 and %d", MaxTasks)
	}
	s.Tasks = int(*r.Tasks)
	var ok bool
	if r.Shape == nil {
		return nil, errors.New("shape: missing")
	}
	if s.Shape, ok = shapes[*r.Shape]; !ok {
		return nil, errors.New("shape: unknown")
	}
	if r.Priority == nil {
		return nil, errors.New("urgency: missing")
	}
	if s.Priority, ok = priorities[*r.Priority]; !ok {
		return nil, errors.New("urgency: unknown")
	}
	if r.DeadlineS != nil {
		if !isFiniteAmount(*r.DeadlineS) {
			return nil, errors.New("dueS: not an amount")
		}
		s.DeadlineS = r.DeadlineS
	}
	if r.Zone != nil {
		if *r.Zone == "" || len(*r.Zone) > 200 {
			return nil, errors.New("depot: empty or too long")
		}
		s.Zone = *r.Zone
	}
	if r.MachineTypes != nil {
		s.MachineTypes = r.MachineTypes
	}
	return s, nil
}

func isFiniteAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 0) && !math.IsNaN(v) && v < 1e15 }

// JobState answers users.
type JobState struct {
	ID      string `json:"ref"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// Load states in a report.
const (
	TaskPulling       = "pulling"
	TaskWaiting       = "waiting"
	TaskRunning       = "running"
	TaskCheckpointing = "saving"
	TaskEnded         = "ended"
)

// Causes of an ending.
const (
	CauseDone           = "done"
	CauseStopped        = "stopped"
	CauseGangMemberLost = "peers"
	CauseGangTimeout    = "alone"
	CauseError          = "error"
	CauseNoRoom         = "no_room"
	CauseBusy           = "busy"
	CauseUnknown        = "unknown"
)

// TaskStatus is one task in a report.
type TaskStatus struct {
	Task         string `json:"load"`
	Attempt      int    `json:"try"`
	Status       string `json:"status"`
	Cause        string `json:"cause,omitempty"`
	Checkpointed bool   `json:"saved,omitempty"`
}

// Heartbeat is a worker's report.
type Heartbeat struct {
	Worker            string       `json:"stoker"`
	Address           string       `json:"address"`
	MachineType       string       `json:"rig"`
	Zone              string       `json:"depot"`
	Spot              bool         `json:"casual"`
	AgentEpoch        uint64       `json:"shift"`
	Sequence          uint64       `json:"tally"`
	FencingToken      uint64       `json:"baton"`
	PreemptionNoticeS *float64     `json:"recallS"`
	Tasks             []TaskStatus `json:"loads"`
	// Store is an extension: what the machine's store of data sets holds.
	DataStore *StoreReport `json:"store,omitempty"`
	// Unshipped is an extension: how many attempts that are over have output which the
	// archive has not acknowledged.
	Unshipped int `json:"unkept,omitempty"`
}

// ParseHeartbeat reads and checks a worker's report.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var r Heartbeat
	if err := Decode(body, &r); err != nil {
		return nil, err
	}
	switch {
	case !validKeySegment(r.Worker):
		return nil, errors.New("stoker: missing or not usable as a key")
	case r.MachineType == "":
		return nil, errors.New("rig: missing")
	case r.Zone == "":
		return nil, errors.New("depot: missing")
	case r.AgentEpoch == 0:
		return nil, errors.New("shift: missing")
	}
	return &r, nil
}

func validKeySegment(s string) bool {
	if s == "" || len(s) > 150 {
		return false
	}
	for i := 0; i < len(s); i++ {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return true
}

// Verbs.
const (
	VerbLaunch = "launch"
	VerbKill   = "kill"
	VerbForget = "forget"
)

// Command is one command to a worker.
type Command struct {
	Verb         string   `json:"verb"`
	Task         string   `json:"load"`
	Attempt      int      `json:"try"`
	GracePeriodS *float64 `json:"windDownS,omitempty"`
	// Seal is an extension of launches: see archive.Grant.
	Grant string `json:"seal,omitempty"`
}

// HeartbeatResponse is the answer to a report.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
	// Store is an extension: what the machine's store is to fetch.
	DataStore *StoreOrders `json:"store,omitempty"`
}

// DirectCommands is sent straight to a worker.
type DirectCommands struct {
	FencingToken uint64    `json:"baton"`
	AgentEpoch   uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

// Redirect names the controller a worker should report to.
type Redirect struct {
	Controller string `json:"dispatcher,omitempty"`
}

// MachineType is a machine type.
type MachineType struct {
	Name            string   `json:"sku"`
	CPUs            float64  `json:"cpus"`
	GPUs            float64  `json:"accelerators"`
	MemoryGB        float64  `json:"ramGb"`
	LocalGB         float64  `json:"localGb"`
	ImagePullGBPerS float64  `json:"pullGbPerS"`
	OnDemandPrice   float64  `json:"hourly"`
	SpotPrice       float64  `json:"spotPrice"`
	StartupS        float64  `json:"startupS"`
	Zones           []string `json:"depots"`
}

// MachineTypes is the catalogue.
type MachineTypes struct {
	MachineTypes []MachineType `json:"rigs"`
}

// RentalRequest asks for machines.
type RentalRequest struct {
	RequestID   string `json:"hire"`
	MachineType string `json:"rig"`
	Zone        string `json:"depot"`
	Spot        bool   `json:"casual"`
	Count       int    `json:"number"`
}

// MachineNames lists machines by name.
type MachineNames struct {
	Machines []string `json:"stokers"`
}

// RentedMachine is a machine in the cloud's list.
type RentedMachine struct {
	Name        string  `json:"ref"`
	Address     string  `json:"address"`
	MachineType string  `json:"rig"`
	Zone        string  `json:"depot"`
	Spot        bool    `json:"casual"`
	Status      string  `json:"status"`
	AgeS        float64 `json:"ageS"`
}

// Machine states in the cloud's list.
const (
	StatusBooting = "booting"
	StatusRunning = "running"
	StatusFailed  = "failed"
)

// RentalList is a page of the cloud's list.
type RentalList struct {
	Machines  []RentedMachine `json:"stokers"`
	Truncated bool            `json:"truncated"`
}

// KeyValue is a key of the state service.
type KeyValue struct {
	Key         string          `json:"key"`
	Value       json.RawMessage `json:"data"`
	ModRevision uint64          `json:"stamp"`
	Lease       uint64          `json:"permit"`
	Revision    uint64          `json:"ledger"`
}

// KeyValuePage is a page of keys.
type KeyValuePage struct {
	KeyValues []KeyValue `json:"entries"`
	Truncated bool       `json:"truncated"`
	Revision  uint64     `json:"ledger"`
}

// Compare demands that a key has a stamp; 0 means that it does not exist.
type Compare struct {
	Key         string `json:"key"`
	ModRevision uint64 `json:"stamp"`
}

// Op writes or drops a key.
type Op struct {
	Put    string          `json:"write,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
	Delete string          `json:"drop,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	Compares []Compare `json:"if"`
	Ops      []Op      `json:"then,omitempty"`
}

// TxnResult answers a transaction.
type TxnResult struct {
	Revision uint64   `json:"ledger"`
	Failed   []string `json:"failed"`
}

// WatchEvent is one change in a watch's answer.
type WatchEvent struct {
	Put         string          `json:"write"`
	Delete      string          `json:"drop"`
	Value       json.RawMessage `json:"data"`
	ModRevision uint64          `json:"stamp"`
}

// WatchResult answers a watch.
type WatchResult struct {
	Revision uint64       `json:"ledger"`
	Events   []WatchEvent `json:"news"`
}

// LeaseRequest asks for a lease, and Granted answers.
type LeaseRequest struct {
	TTLMs int64 `json:"ttlMs"`
}

// LeaseResponse is a lease.
type LeaseResponse struct {
	Lease uint64 `json:"permit"`
}

// ErrorResponse is the body of an error answer.
type ErrorResponse struct {
	Error string `json:"error"`
}
