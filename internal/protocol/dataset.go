package protocol

import (
	"fmt"
	"net/netip"
)

// Paths of the data sets. They are extensions.
const (
	// PathDataSets registers versions of data sets (POST) and lists them (GET, in pages).
	PathDataSets = "/v2/datasets"
	// PathStagings accepts announcements of work that will read a data set.
	PathStagings = "/v2/stagings"
)

// LatestVersion stands for the newest version of a data set. It is resolved when a job
// is accepted.
const LatestVersion = "latest"

// Limits of data sets and announced work.
const (
	maxDataSetName     = 60 // bytes; also limits versions and ids
	digestDigits       = 64
	copyIDDigits       = 32
	maxDataSetBytes    = 1 << 50
	maxSources         = 16
	maxQuotedSource    = 60 // bytes of a source quoted in an error
	maxStagingS        = 7 * 86400
	maxStagingMachines = 10_000
)

// DataSet is a version of a data set, as it is registered and stored. Except for its
// sources it never changes.
type DataSet struct {
	Set     string   `json:"set"`
	Version string   `json:"version"`
	Digest  string   `json:"digest"` // of its manifest, in hexadecimal digits
	Bytes   int64    `json:"bytes"`
	Sources []string `json:"sources"`        // addresses of file servers
	AtMS    int64    `json:"atMs,omitempty"` // Unix time of its registration
}

// CopyID returns the id of the version's copies on machines: its digest, shortened. The
// digest must have passed Check.
func (d *DataSet) CopyID() string { return d.Digest[:copyIDDigits] }

// Check returns a *FieldError for the first field that is not valid.
func (d *DataSet) Check() error {
	switch {
	case !ValidName(d.Set) || len(d.Set) > maxDataSetName:
		return badField("set", "missing, too long or not a name")
	case !ValidName(d.Version) || len(d.Version) > maxDataSetName || d.Version == LatestVersion:
		return badField("version", "missing, too long, not a name, or latest")
	case len(d.Digest) != digestDigits || !isHexadecimal(d.Digest):
		return badField("digest", "must have %d hexadecimal digits", digestDigits)
	case d.Bytes < 0 || d.Bytes > maxDataSetBytes:
		return badField("bytes", "not a size")
	case len(d.Sources) == 0 || len(d.Sources) > maxSources:
		return badField("sources", "none, or more than %d", maxSources)
	}
	for i, source := range d.Sources {
		if _, err := netip.ParseAddrPort(source); err != nil {
			return badField(fmt.Sprintf("sources[%d]", i), "%.*q is not an IP address with a port", maxQuotedSource, source)
		}
	}
	return nil
}

// DataSetPage is a page of versions.
type DataSetPage struct {
	DataSets  []DataSet `json:"datasets"`
	Truncated bool      `json:"truncated"` // there are more after the last
}

// Staging announces work: a number of machines are to hold a data set by a given time.
type Staging struct {
	ID       string  `json:"ref"` // chosen by the announcer; unique
	Set      string  `json:"set"`
	Version  string  `json:"version"`
	Team     string  `json:"crew"`
	Priority string  `json:"urgency"` // wire name of the announced work's priority
	ByS      float64 `json:"byS"`     // seconds from now
	Machines int     `json:"machines"`
	Zone     *string `json:"depot"` // nil: any
}

// Check returns a *FieldError for the first field that is not valid.
func (s *Staging) Check() error {
	switch {
	case !ValidName(s.ID) || len(s.ID) > maxDataSetName:
		return badField("ref", "missing, too long or not a name")
	case !ValidName(s.Set):
		return badField("set", "missing or not a name")
	case !ValidName(s.Version):
		return badField("version", "missing or not a name")
	case s.Team == "":
		return badField("crew", "missing")
	case !validPriority(s.Priority):
		return badField("urgency", "unknown")
	case !isAmount(s.ByS) || s.ByS > maxStagingS:
		return badField("byS", "missing, or more than a week")
	case s.Machines < 1 || s.Machines > maxStagingMachines:
		return badField("machines", "missing, or not from 1 to %d", maxStagingMachines)
	}
	return nil
}
