package protocol

import (
	"errors"
	"fmt"
	"net/netip"

	"silvergate/internal/job"
)

// PathDataSets is where versions of data sets are registered (POST) and listed
// (GET, by pages), and PathStagings where work is announced. They are
// extensions of the protocols.
const (
	PathDataSets = "/v2/datasets"
	PathStagings = "/v2/stagings"
)

// DataSet is a version of a data set, as it is registered and kept. It never
// changes, but for where it can be had.
type DataSet struct {
	Set     string   `json:"set"`
	Version string   `json:"version"`
	Digest  string   `json:"digest"` // of its manifest
	Bytes   int64    `json:"bytes"`
	Sources []string `json:"sources"` // addresses of file servers
	AtMS    int64    `json:"atMs,omitempty"`
}

// Check names the first field that can't be.
func (d *DataSet) Check() error {
	switch {
	case !ValidName(d.Set) || len(d.Set) > 60:
		return errors.New("set: missing, too long or not a name")
	case !ValidName(d.Version) || len(d.Version) > 60 || d.Version == LatestVersion:
		return errors.New("version: missing, too long, not a name, or latest")
	case len(d.Digest) != 64 || !hexadecimal(d.Digest):
		return errors.New("digest: must have 64 hexadecimal digits")
	case d.Bytes < 0 || d.Bytes > 1<<50:
		return errors.New("bytes: not a size")
	case len(d.Sources) == 0 || len(d.Sources) > 16:
		return errors.New("sources: none, or more than 16")
	}
	for i, s := range d.Sources {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return fmt.Errorf("sources[%d]: %.60q is not an IP address with a port", i, s)
		}
	}
	return nil
}

// LatestVersion stands for the newest version; it is resolved when a job is
// accepted.
const LatestVersion = "latest"

func validPriority(s string) bool {
	_, ok := priorities[s]
	return ok
}

// PriorityOf is the priority of an urgency's wire name, the lowest if there is
// none such.
func PriorityOf(urgency string) job.Priority { return priorities[urgency] }

func hexadecimal(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f') {
			return false
		}
	}
	return true
}

// CopyID names a version's copies on machines: its digest, shortened.
func (d *DataSet) CopyID() string { return d.Digest[:32] }

// DataSetPage is a page of versions.
type DataSetPage struct {
	DataSets  []DataSet `json:"datasets"`
	Truncated bool      `json:"truncated"`
}

// Staging announces work: so many machines are to hold a data set by a time.
type Staging struct {
	ID       string  `json:"ref"` // chosen by whoever announces; unique
	Set      string  `json:"set"`
	Version  string  `json:"version"`
	Team     string  `json:"crew"`
	Priority string  `json:"urgency"` // of the work that will come
	ByS      float64 `json:"byS"`     // from now
	Machines int     `json:"machines"`
	Zone     *string `json:"depot"`
}

// Check names the first field that can't be.
func (s *Staging) Check() error {
	switch {
	case !ValidName(s.ID) || len(s.ID) > 60:
		return errors.New("ref: missing, too long or not a name")
	case !ValidName(s.Set):
		return errors.New("set: missing or not a name")
	case !ValidName(s.Version):
		return errors.New("version: missing or not a name")
	case s.Team == "":
		return errors.New("crew: missing")
	case !validPriority(s.Priority):
		return errors.New("urgency: unknown")
	case !isFiniteAmount(s.ByS) || s.ByS > 7*86400:
		return errors.New("byS: missing, or more than a week")
	case s.Machines < 1 || s.Machines > 10_000:
		return errors.New("machines: missing, or not from 1 to 10000")
	}
	return nil
}

// StoreReport is what a machine's report says of its store.
type StoreReport struct {
	Digest string      `json:"digest"`
	Listed bool        `json:"listed,omitempty"`
	Copies []string    `json:"copies,omitempty"`
	Pulls  []StorePull `json:"pulls,omitempty"`
	Failed []string    `json:"failed,omitempty"`
}

// StorePull is a fetch under way.
type StorePull struct {
	Copy  string  `json:"copy"`
	Done  int64   `json:"done"`
	Total int64   `json:"total"`
	Rate  float64 `json:"rate"`
}

// StoreOrders are a controller's wishes for a machine's store, whole: what is
// not among them and not needed by a task is given up.
type StoreOrders struct {
	List  bool         `json:"list,omitempty"` // the next report is to list the copies
	Fetch []StoreFetch `json:"fetch,omitempty"`
}

// StoreFetch is a copy that is to be fetched.
type StoreFetch struct {
	DataSet
	Urgent bool   `json:"urgent,omitempty"`
	Peer   string `json:"peer,omitempty"`   // a machine to fetch it from
	Server string `json:"server,omitempty"` // or one of the sources
}

// InputCopy is an input of a job as its description tells it.
type InputCopy struct {
	DataSet
	Path string `json:"place"`
}
