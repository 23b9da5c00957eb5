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
	PathRuns    = "/v2/runs"
	PathAbort   = "abort"
	PathUp      = "/up"
	PathCheckin = "/checkin"
	PathOrders  = "/orders"
	PathStatus  = "/status"
	PathFlavors = "/flavors"
	PathRentals = "/rentals"
	PathDelete  = "/rentals/delete"
	PathKeys    = "/keys"
	PathTxn     = "/txn"
	PathGrants  = "/grants"
	PathTouch   = "touch"
	PathWatch   = "/watch"
)

// Run is a submission.
type Run struct {
	Ref      *string  `json:"ref"`
	JobClass *string  `json:"jobclass"`
	Crew     *string  `json:"crew"`
	Shape    *string  `json:"shape"`
	Urgency  *string  `json:"urgency"`
	Loads    *int64   `json:"loads"`
	CPUs     *float64 `json:"cpus"`
	GPUs     *float64 `json:"accelerators"`
	RAM      *float64 `json:"ramGb"`
	Kit      *string  `json:"kit"`
	Size     *float64 `json:"sizeGb"`
	Rigs     []string `json:"rigs"`
	Depot    *string  `json:"depot"`
	OneZone  *bool    `json:"oneZone"`
	Apart    *bool    `json:"apart"`
	Casual   *bool    `json:"casual"`
	Eta      *float64 `json:"etaS"`
	Waypoint *float64 `json:"waypointS"`
	Stow     *float64 `json:"stowS"`
	Due      *float64 `json:"dueS"`
}

var (
	shapes     = map[string]job.Shape{"batch": job.Array, "ensemble": job.Gang, "standing": job.Service}
	priorities = map[string]job.Priority{"prod": job.Production, "urgent": job.High, "standard": job.Normal, "idle": job.Low}
)

// ValidRef tells whether s has the form of a job id: wk- and six or more digits.
func ValidRef(s string) bool {
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

// RunRef reads only the id of a submission, which is wanted before anything
// else is judged: a known job is answered whatever the rest says.
func RunRef(body []byte) (string, error) {
	var v struct {
		Ref *string `json:"ref"`
	}
	if err := Object(body); err != nil {
		return "", err
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return "", fmt.Errorf("the body is not a valid submission: %w", err)
	}
	if v.Ref == nil || !ValidRef(*v.Ref) {
		return "", errors.New("ref: missing or not of the form wk-000000")
	}
	return *v.Ref, nil
}

// ParseRun reads and checks a submission.
func ParseRun(body []byte) (*job.Spec, error) {
	if _, err := RunRef(body); err != nil {
		return nil, err
	}
	var r Run
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("the body is not a valid submission: %w", err)
	}
	s := &job.Spec{ID: *r.Ref}
	for _, f := range []struct {
		name string
		v    *string
		dst  *string
	}{{"jobclass", r.JobClass, &s.Class}, {"crew", r.Crew, &s.Team}, {"kit", r.Kit, &s.Image}} {
		if f.v == nil || *f.v == "" || len(*f.v) > 200 {
			return nil, fmt.Errorf("%s: missing, empty or too long", f.name)
		}
		*f.dst = *f.v
	}
	for _, f := range []struct {
		name string
		v    *float64
		dst  *float64
	}{{"cpus", r.CPUs, &s.CPUs}, {"accelerators", r.GPUs, &s.GPUs}, {"ramGb", r.RAM, &s.MemoryGB}, {"sizeGb", r.Size, &s.ImageGB},
		{"etaS", r.Eta, &s.Estimate}, {"waypointS", r.Waypoint, &s.Checkpoint}, {"stowS", r.Stow, &s.Save}} {
		if f.v == nil || !amount(*f.v) {
			return nil, fmt.Errorf("%s: missing or not an amount", f.name)
		}
		*f.dst = *f.v
	}
	for _, f := range []struct {
		name string
		v    *bool
		dst  *bool
	}{{"oneZone", r.OneZone, &s.OneZone}, {"apart", r.Apart, &s.Spread}, {"casual", r.Casual, &s.Spot}} {
		if f.v == nil {
			return nil, fmt.Errorf("%s: missing", f.name)
		}
		*f.dst = *f.v
	}
	if r.Loads == nil || *r.Loads < 1 || *r.Loads > MaxTasks {
		return nil, fmt.Errorf("loads: missing or not between 1 and %d", MaxTasks)
	}
	s.Tasks = int(*r.Loads)
	var ok bool
	if r.Shape == nil {
		return nil, errors.New("shape: missing")
	}
	if s.Shape, ok = shapes[*r.Shape]; !ok {
		return nil, errors.New("shape: unknown")
	}
	if r.Urgency == nil {
		return nil, errors.New("urgency: missing")
	}
	if s.Priority, ok = priorities[*r.Urgency]; !ok {
		return nil, errors.New("urgency: unknown")
	}
	if r.Due != nil {
		if !amount(*r.Due) {
			return nil, errors.New("dueS: not an amount")
		}
		s.Deadline = r.Due
	}
	if r.Depot != nil {
		if *r.Depot == "" || len(*r.Depot) > 200 {
			return nil, errors.New("depot: empty or too long")
		}
		s.Zone = *r.Depot
	}
	if r.Rigs != nil {
		s.Types = r.Rigs
	}
	return s, nil
}

func amount(v float64) bool { return v >= 0 && !math.IsInf(v, 0) && !math.IsNaN(v) && v < 1e15 }

// RunState answers users.
type RunState struct {
	Ref     string `json:"ref"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// Load states in a report.
const (
	LoadPulling = "pulling"
	LoadWaiting = "waiting"
	LoadRunning = "running"
	LoadSaving  = "saving"
	LoadEnded   = "ended"
)

// Causes of an ending.
const (
	CauseDone    = "done"
	CauseStopped = "stopped"
	CausePeers   = "peers"
	CauseAlone   = "alone"
	CauseError   = "error"
	CauseNoRoom  = "no_room"
	CauseBusy    = "busy"
	CauseUnknown = "unknown"
)

// Load is one task in a report.
type Load struct {
	Load   string `json:"load"`
	Try    int    `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`
	Saved  bool   `json:"saved,omitempty"`
}

// Report is a worker's report.
type Report struct {
	Stoker  string   `json:"stoker"`
	Address string   `json:"address"`
	Rig     string   `json:"rig"`
	Depot   string   `json:"depot"`
	Casual  bool     `json:"casual"`
	Shift   uint64   `json:"shift"`
	Tally   uint64   `json:"tally"`
	Baton   uint64   `json:"baton"`
	RecallS *float64 `json:"recallS"`
	Loads   []Load   `json:"loads"`
	// Store is an extension: what the machine's store of data sets holds.
	Store *StoreReport `json:"store,omitempty"`
	// Unshipped is an extension: how many attempts that are over have output which the
	// archive has not acknowledged.
	Unshipped int `json:"unkept,omitempty"`
}

// ParseReport reads and checks a worker's report.
func ParseReport(body []byte) (*Report, error) {
	var r Report
	if err := Decode(body, &r); err != nil {
		return nil, err
	}
	switch {
	case !keySafe(r.Stoker):
		return nil, errors.New("stoker: missing or not usable as a key")
	case r.Rig == "":
		return nil, errors.New("rig: missing")
	case r.Depot == "":
		return nil, errors.New("depot: missing")
	case r.Shift == 0:
		return nil, errors.New("shift: missing")
	}
	return &r, nil
}

func keySafe(s string) bool {
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

// Order is one command to a worker.
type Order struct {
	Verb      string   `json:"verb"`
	Load      string   `json:"load"`
	Try       int      `json:"try"`
	WindDownS *float64 `json:"windDownS,omitempty"`
	// Seal is an extension of launches: see archive.Grant.
	Seal string `json:"seal,omitempty"`
}

// CheckinAnswer is the answer to a report.
type CheckinAnswer struct {
	Baton  uint64  `json:"baton"`
	Orders []Order `json:"orders"`
	// Store is an extension: what the machine's store is to fetch.
	Store *StoreOrders `json:"store,omitempty"`
}

// DirectOrders is sent straight to a worker.
type DirectOrders struct {
	Baton  uint64  `json:"baton"`
	Shift  uint64  `json:"shift"`
	Orders []Order `json:"orders"`
}

// Redirect names the controller a worker should report to.
type Redirect struct {
	Dispatcher string `json:"dispatcher,omitempty"`
}

// Flavor is a machine type.
type Flavor struct {
	SKU       string   `json:"sku"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"accelerators"`
	RAM       float64  `json:"ramGb"`
	LocalGB   float64  `json:"localGb"`
	PullRate  float64  `json:"pullGbPerS"`
	Hourly    float64  `json:"hourly"`
	SpotPrice float64  `json:"spotPrice"`
	StartupS  float64  `json:"startupS"`
	Depots    []string `json:"depots"`
}

// Flavors is the catalogue.
type Flavors struct {
	Rigs []Flavor `json:"rigs"`
}

// Rental asks for machines.
type Rental struct {
	Hire   string `json:"hire"`
	Rig    string `json:"rig"`
	Depot  string `json:"depot"`
	Casual bool   `json:"casual"`
	Number int    `json:"number"`
}

// Names lists machines by name.
type Names struct {
	Stokers []string `json:"stokers"`
}

// Listed is a machine in the cloud's list.
type Listed struct {
	Ref     string  `json:"ref"`
	Address string  `json:"address"`
	Rig     string  `json:"rig"`
	Depot   string  `json:"depot"`
	Casual  bool    `json:"casual"`
	Status  string  `json:"status"`
	AgeS    float64 `json:"ageS"`
}

// Machine states in the cloud's list.
const (
	StatusBooting = "booting"
	StatusRunning = "running"
	StatusFailed  = "failed"
)

// RentalList is a page of the cloud's list.
type RentalList struct {
	Stokers   []Listed `json:"stokers"`
	Truncated bool     `json:"truncated"`
}

// Entry is a key of the state service.
type Entry struct {
	Key    string          `json:"key"`
	Data   json.RawMessage `json:"data"`
	Stamp  uint64          `json:"stamp"`
	Permit uint64          `json:"permit"`
	Ledger uint64          `json:"ledger"`
}

// EntryPage is a page of keys.
type EntryPage struct {
	Entries   []Entry `json:"entries"`
	Truncated bool    `json:"truncated"`
	Ledger    uint64  `json:"ledger"`
}

// Cond demands that a key has a stamp; 0 means that it does not exist.
type Cond struct {
	Key   string `json:"key"`
	Stamp uint64 `json:"stamp"`
}

// Op writes or drops a key.
type Op struct {
	Write  string          `json:"write,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Permit uint64          `json:"permit,omitempty"`
	Drop   string          `json:"drop,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	If   []Cond `json:"if"`
	Then []Op   `json:"then,omitempty"`
}

// TxnResult answers a transaction.
type TxnResult struct {
	Ledger uint64   `json:"ledger"`
	Failed []string `json:"failed"`
}

// News is one change in a watch's answer.
type News struct {
	Write string          `json:"write"`
	Drop  string          `json:"drop"`
	Data  json.RawMessage `json:"data"`
	Stamp uint64          `json:"stamp"`
}

// WatchResult answers a watch.
type WatchResult struct {
	Ledger uint64 `json:"ledger"`
	News   []News `json:"news"`
}

// Grant asks for a lease, and Granted answers.
type Grant struct {
	TTLMs int64 `json:"ttlMs"`
}

// Granted is a lease.
type Granted struct {
	Permit uint64 `json:"permit"`
}

// Problem is the body of an error answer.
type Problem struct {
	Error string `json:"error"`
}
