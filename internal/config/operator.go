package config

import (
	"errors"
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"
)

// Operator holds the operators' own settings, from YAML. Unknown keys are
// refused, so that a misspelt key is noticed.
type Operator struct {
	// Probes is how many controllers a task may visit, the parameter d of the thesis that
	// docs/design.md cites.
	Probes int `yaml:"probes"`
	// PublishInterval is the time between two publications of the length of a controller's
	// list of idle machines.
	PublishInterval time.Duration `yaml:"publish_interval"`
	// EntryAge is the number of heartbeat periods after which a machine's entry in the list
	// of idle machines expires unless it is renewed.
	EntryAge float64 `yaml:"entry_age_reports"`
	// BeginWithin is the time after which a job that has not begun goes ahead of other jobs
	// of its priority with its first task, or as a whole if it is a gang.
	BeginWithin time.Duration `yaml:"begin_within"`
	// GroupTakeover makes the workers of a controller that failed, or that has lost contact
	// with them, fail over to other controllers in groups: with one write to the state
	// service per group instead of one per worker.
	GroupTakeover bool `yaml:"group_takeover"`
	// CompletionLog makes controllers write completions of tasks to a log instead of to their
	// jobs' pages, many with one write to the state service. This applies to tasks of
	// arrays of teams without limits.
	CompletionLog bool `yaml:"ending_log"`
	// LogLevel is used when LOG_LEVEL is not set.
	LogLevel string `yaml:"log_level"`
	// Metrics switches GET /metrics on.
	Metrics bool `yaml:"metrics,omitempty"`
	// Staging switches data sets on; nil: off.
	Staging *Staging `yaml:"staging,omitempty"`
	// Archive makes this controller grant attempts access to the archive; nil: off.
	Archive *Archive `yaml:"archive,omitempty"`
	// Recorder records the inputs of the core; nil: off.
	Recorder *Recorder `yaml:"recorder,omitempty"`
}

// Recorder holds the settings for recordings: where they are stored and how much space
// they may take.
type Recorder struct {
	// Dir is the folder of this controller's recordings.
	Dir string `yaml:"dir"`
	// MaxMB is the space for all recordings, in MB; beyond it the oldest segments are
	// removed.
	MaxMB float64 `yaml:"max_mb"`
	// SegmentMB is the size in MB at which a new segment is begun.
	SegmentMB float64 `yaml:"segment_mb"`
	// Flush is how long an input may wait before it is written: if the process is killed,
	// the inputs of up to this time are lost.
	Flush time.Duration `yaml:"flush"`
}

// UnmarshalYAML reads the settings. Settings that are left out get their defaults.
func (r *Recorder) UnmarshalYAML(n *yaml.Node) error {
	type plain Recorder
	p := plain{MaxMB: 512, SegmentMB: 16, Flush: time.Second}
	for i := 0; i+1 < len(n.Content); i += 2 { // Node.Decode does not refuse unknown keys
		switch key := n.Content[i].Value; key {
		case "dir", "max_mb", "segment_mb", "flush":
		default:
			return fmt.Errorf("line %d: field %s not found in recorder", n.Content[i].Line, key)
		}
	}
	if err := n.Decode(&p); err != nil {
		return err
	}
	*r = Recorder(p)
	return nil
}

func (r *Recorder) check() error {
	switch {
	case r == nil:
		return nil
	case r.Dir == "":
		return errors.New("recorder.dir: missing")
	case !(r.SegmentMB > 0):
		return errors.New("recorder.segment_mb: must be above 0")
	case !(r.MaxMB >= r.SegmentMB):
		return errors.New("recorder.max_mb: must be at least segment_mb")
	case r.Flush < 10*time.Millisecond:
		return errors.New("recorder.flush: must be at least 10ms")
	}
	return nil
}

// Archive holds the settings for the archive.
type Archive struct {
	// GrantKey is the path of the file with the key that controllers share with the
	// archive's nodes.
	GrantKey string `yaml:"grant_key"`
	// HoldS is how long, in seconds, a machine without work is kept rather than returned to
	// the cloud because the archive has not acknowledged its output.
	HoldS float64 `yaml:"hold_s"`
	// Key is the key in that file; LoadKeys reads it.
	Key []byte `yaml:"-"`
}

// Staging holds the limits of transfers of data sets.
type Staging struct {
	// ServerStreams is how many copies may be fetched from one file server at a time, over
	// all controllers; PeerStreams how many from one machine; MachineStreams how many one
	// machine may fetch that are not urgent.
	ServerStreams  int `yaml:"server_streams"`
	PeerStreams    int `yaml:"peer_streams"`
	MachineStreams int `yaml:"machine_streams"`
	// RateMBPerS is the assumed rate of one fetch until rates have been measured.
	RateMBPerS float64 `yaml:"rate_mb_per_s"`
}

func (s *Staging) check() error {
	switch {
	case s.ServerStreams < 1:
		return errors.New("staging.server_streams: must be at least 1")
	case s.PeerStreams < 1:
		return errors.New("staging.peer_streams: must be at least 1")
	case s.MachineStreams < 1:
		return errors.New("staging.machine_streams: must be at least 1")
	case !(s.RateMBPerS > 0):
		return errors.New("staging.rate_mb_per_s: must be above 0")
	}
	return nil
}

// DefaultOperator returns the operators' settings that apply without an operators' file.
func DefaultOperator() Operator {
	return Operator{
		Probes:          3,
		PublishInterval: 2 * time.Second,
		EntryAge:        3,
		BeginWithin:     150 * time.Second,
		GroupTakeover:   true,
		LogLevel:        "info",
	}
}

// ParseOperator reads the operators' YAML and checks it. Errors name the key.
func ParseOperator(raw []byte) (Operator, error) {
	operator := DefaultOperator()
	if err := DecodeYAML(raw, &operator); err != nil {
		return operator, err
	}
	return operator, operator.check()
}

func (o *Operator) check() error {
	switch {
	case o.Probes < 1:
		return errors.New("probes: must be at least 1")
	case o.PublishInterval < 100*time.Millisecond:
		return errors.New("publish_interval: must be at least 100ms")
	case !(o.EntryAge >= 1):
		return errors.New("entry_age_reports: must be at least 1")
	case o.BeginWithin < time.Second:
		return errors.New("begin_within: must be at least 1s")
	case o.LogLevel != "error" && o.LogLevel != "info" && o.LogLevel != "debug":
		return errors.New("log_level: must be error, info or debug")
	case o.Archive != nil && !(o.Archive.HoldS >= 0):
		return errors.New("archive.hold_s: must not be negative")
	case o.Archive != nil && o.Archive.GrantKey == "":
		return errors.New("archive.grant_key: missing")
	case o.Staging != nil:
		if err := o.Staging.check(); err != nil {
			return err
		}
	}
	return o.Recorder.check()
}
