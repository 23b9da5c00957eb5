// Package config reads what silvergate is told: the platform's JSON settings
// file and the operators' own YAML file beside it.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"silvergate/internal/archive"
	"silvergate/internal/fencing"
)

// OperatorFile is the name of the operators' file, looked for in the folder
// of the platform's settings file and then in deploy/.
const OperatorFile = "silvergate.yaml"

// Settings is the platform's settings file. Unknown fields are ignored.
type Settings struct {
	Node     string  `json:"node_name"`
	Zone     string  `json:"site"`
	Listen   string  `json:"bind"`
	Back     string  `json:"back"`
	Peers    []Peer  `json:"peers"`
	Services Outside `json:"outside"`
	Facts    Facts   `json:"facts"`

	Operator Operator `json:"-"`
}

// Peer is another controller.
type Peer struct {
	Node string `json:"node_name"`
	Zone string `json:"site"`
	Addr string `json:"peer_addr"`
}

// Outside holds the addresses of the outside systems.
type Outside struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Facts are the figures of the deployment.
type Facts struct {
	Count       int         `json:"count"`
	Zones       []string    `json:"zones"`
	Teams       []Team      `json:"teams"`
	Objectives  []Objective `json:"objectives"`
	Workers     Workers     `json:"workers"`
	State       State       `json:"state"`
	Cloud       Cloud       `json:"cloud"`
	Limits      Limits      `json:"limits"`
	TimeBoundMS float64     `json:"time_bound_ms"`
}

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Name    string  `json:"name" yaml:"name"`
	CPUs    float64 `json:"cpus" yaml:"cpus"`
	CPUsMax float64 `json:"cpus_max" yaml:"cpus_max"`
	GPUs    float64 `json:"gpus" yaml:"gpus"`
	GPUsMax float64 `json:"gpus_max" yaml:"gpus_max"`
}

// Objective restates an aim at starting or finishing.
type Objective struct {
	Kind   string  `json:"kind" yaml:"kind"`
	Class  string  `json:"class" yaml:"class"`
	Within float64 `json:"within_s" yaml:"within_s"`
	Share  float64 `json:"share" yaml:"share"`
	Times  float64 `json:"times" yaml:"times"`
}

// Workers holds the workers' periods, in seconds.
type Workers struct {
	Report   float64 `json:"report_s" yaml:"report_s"`
	Lease    float64 `json:"lease_s" yaml:"lease_s"`
	GangWait float64 `json:"gang_wait_s" yaml:"gang_wait_s"`
	GangPeer float64 `json:"gang_peer_s" yaml:"gang_peer_s"`
	Cancel   float64 `json:"cancel_s" yaml:"cancel_s"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `json:"rps" yaml:"rps"`
	WriteRPS float64 `json:"write_rps" yaml:"write_rps"`
	ValueKB  float64 `json:"value_kb" yaml:"value_kb"`
	TxnOps   int     `json:"txn_ops" yaml:"txn_ops"`
}

// Cloud holds the limits of the cloud's interface.
type Cloud struct {
	RPS     float64 `json:"rps" yaml:"rps"`
	ListLag float64 `json:"list_lag_s" yaml:"list_lag_s"`
}

// Limits bound this process.
type Limits struct {
	CPU        float64 `json:"cpu" yaml:"cpu"`
	RAMMB      float64 `json:"ram_mb" yaml:"ram_mb"`
	MaxSockets int     `json:"max_sockets" yaml:"max_sockets"`
}

// Operator holds the operators' own settings, from YAML. Unknown keys are
// refused, so that a misspelt key does not go unnoticed.
type Operator struct {
	// Probes is the thesis's d: how many controllers a task may visit.
	Probes int `yaml:"probes"`
	// PublishInterval is the time between two publications of a list length.
	PublishInterval time.Duration `yaml:"publish_interval"`
	// EntryAge is how many report periods an idle entry lives unrenewed.
	EntryAge float64 `yaml:"entry_age_reports"`
	// BeginWithin is after how long a job that has not begun goes ahead of others of its priority with
	// its first task, or as a whole if it is a gang.
	BeginWithin time.Duration `yaml:"begin_within"`
	// GroupTakeover has the workers of a controller that is gone, or does not hear them any more,
	// pass to others by the group, by a change of the state service for each group in place of one
	// for each worker.
	GroupTakeover bool `yaml:"group_takeover"`
	// EndingLog has tasks of arrays that completed, of teams without limits, written to a log, many with one
	// change of the state service, in place of their jobs' pages.
	EndingLog bool `yaml:"ending_log"`
	// LogLevel is used when LOG_LEVEL is not set.
	LogLevel string `yaml:"log_level"`
	// Metrics switches GET /metrics on.
	Metrics bool `yaml:"metrics,omitempty"`
	// Staging switches data sets on; nil: off.
	Staging *Staging `yaml:"staging,omitempty"`
	// Archive has this controller vouch for attempts; nil: off.
	Archive *Archive `yaml:"archive,omitempty"`
	// Recorder keeps what goes into the core; nil: off.
	Recorder *Recorder `yaml:"recorder,omitempty"`
}

// Recorder says where recordings go and what they may take.
type Recorder struct {
	// Dir is the folder of this controller's recordings.
	Dir string `yaml:"dir"`
	// MaxMB is what they may take together, in MB; the oldest segments go first.
	MaxMB float64 `yaml:"max_mb"`
	// SegmentMB is after how many MB a new segment is begun.
	SegmentMB float64 `yaml:"segment_mb"`
	// Flush is how long an input may wait to be written: what a kill may lose.
	Flush time.Duration `yaml:"flush"`
}

// UnmarshalYAML fills in what is left out.
func (r *Recorder) UnmarshalYAML(n *yaml.Node) error {
	type plain Recorder
	p := plain{MaxMB: 512, SegmentMB: 16, Flush: time.Second}
	for i := 0; i+1 < len(n.Content); i += 2 { // a node's Decode does not refuse unknown keys
		switch k := n.Content[i].Value; k {
		case "dir", "max_mb", "segment_mb", "flush":
		default:
			return fmt.Errorf("line %d: field %s not found in recorder", n.Content[i].Line, k)
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

// Archive is what a controller is told of the archive.
type Archive struct {
	// GrantKey is the file with the key that it shares with the archive's nodes.
	GrantKey string `yaml:"grant_key"`
	// HoldS is how long a machine without work is kept for output that the archive
	// has not acknowledged, in seconds.
	HoldS float64 `yaml:"hold_s"`
	// Key is what is in it; Load reads it.
	Key []byte `yaml:"-"`
}

// Staging holds the budgets for moving data sets.
type Staging struct {
	// ServerStreams is how many copies all controllers together have fetched
	// from one file server at a time, PeerStreams how many from one machine,
	// MachineStreams how many that are not urgent by one machine.
	ServerStreams  int `yaml:"server_streams"`
	PeerStreams    int `yaml:"peer_streams"`
	MachineStreams int `yaml:"machine_streams"`
	// RateMBPerS is one fetch's rate until rates are measured.
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

// DefaultOperator returns the design's starting values.
func DefaultOperator() Operator {
	return Operator{Probes: 3, PublishInterval: 2 * time.Second, EntryAge: 3, BeginWithin: 150 * time.Second, GroupTakeover: true, LogLevel: "info"}
}

// Load reads and checks the settings file at path and the operators' file.
func Load(path, operatorPath string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	candidates := []string{operatorPath}
	if operatorPath == "" {
		candidates = []string{filepath.Join(filepath.Dir(path), OperatorFile), filepath.Join("deploy", OperatorFile)}
	}
	for _, p := range candidates {
		raw, err := os.ReadFile(p)
		if errors.Is(err, fs.ErrNotExist) && operatorPath == "" {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("operator settings: %w", err)
		}
		if s.Operator, err = ParseOperator(raw); err != nil {
			return nil, fmt.Errorf("%s: %w", p, err)
		}
		if err := s.LoadKeys(); err != nil {
			return nil, fmt.Errorf("%s: %w", p, err)
		}
		break
	}
	return s, nil
}

// LoadKeys reads the files with keys that the operators' settings name.
func (s *Settings) LoadKeys() (err error) {
	if a := s.Operator.Archive; a != nil && a.Key == nil {
		if a.Key, err = archive.LoadGrantKey(a.GrantKey); err != nil {
			return fmt.Errorf("archive.%w", err)
		}
	}
	return nil
}

// Parse reads the platform's settings and checks them.
func Parse(raw []byte) (*Settings, error) {
	s := &Settings{Operator: DefaultOperator()}
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, err
	}
	return s, s.check()
}

// DecodeYAML reads one YAML document into v. Unknown and repeated keys are
// refused and named; what is left out keeps its value, and an empty document
// leaves out everything.
func DecodeYAML(raw []byte, v any) error {
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	if err := dec.Decode(v); err != nil && !errors.Is(err, io.EOF) {
		return quoteLines(raw, err)
	}
	if err := dec.Decode(new(any)); !errors.Is(err, io.EOF) {
		return errors.New("more than one document")
	}
	return nil
}

// lineOfError is how yaml names the line that an error is about.
var lineOfError = regexp.MustCompile(`^line (\d+): `)

// quoteLines puts yaml's errors on one line, each with what the document says there:
// by itself yaml names a line and a type, and not the key.
func quoteLines(raw []byte, err error) error {
	var many *yaml.TypeError
	if !errors.As(err, &many) {
		return err
	}
	lines := strings.Split(string(raw), "\n")
	quoted := make([]string, 0, len(many.Errors))
	for _, text := range many.Errors {
		if found := lineOfError.FindStringSubmatch(text); found != nil {
			if n, _ := strconv.Atoi(found[1]); n >= 1 && n <= len(lines) {
				text = fmt.Sprintf("line %d (%.80s): %s", n, strings.TrimSpace(lines[n-1]), text[len(found[0]):])
			}
		}
		quoted = append(quoted, text)
	}
	return errors.New(strings.Join(quoted, "; "))
}

// ParseOperator reads the operators' YAML and checks it.
func ParseOperator(raw []byte) (Operator, error) {
	o := DefaultOperator()
	if err := DecodeYAML(raw, &o); err != nil {
		return o, err
	}
	switch {
	case o.Probes < 1:
		return o, errors.New("probes: must be at least 1")
	case o.PublishInterval < 100*time.Millisecond:
		return o, errors.New("publish_interval: must be at least 100ms")
	case !(o.EntryAge >= 1):
		return o, errors.New("entry_age_reports: must be at least 1")
	case o.BeginWithin < time.Second:
		return o, errors.New("begin_within: must be at least 1s")
	case o.LogLevel != "error" && o.LogLevel != "info" && o.LogLevel != "debug":
		return o, errors.New("log_level: must be error, info or debug")
	case o.Archive != nil && !(o.Archive.HoldS >= 0):
		return o, errors.New("archive.hold_s: must not be negative")
	case o.Archive != nil && o.Archive.GrantKey == "":
		return o, errors.New("archive.grant_key: missing")
	case o.Staging != nil:
		if err := o.Staging.check(); err != nil {
			return o, err
		}
	}
	return o, o.Recorder.check()
}

func (s *Settings) check() error {
	addr := func(field, v string) error {
		if _, err := netip.ParseAddrPort(v); err != nil {
			return fmt.Errorf("%s: %q is not an IP address with a port", field, v)
		}
		return nil
	}
	positive := func(field string, v float64) error {
		if !(v > 0) || math.IsInf(v, 0) {
			return fmt.Errorf("%s: must be a positive number", field)
		}
		return nil
	}
	if s.Node == "" {
		return errors.New("node_name: missing")
	}
	f := &s.Facts
	errs := []error{
		addr("bind", s.Listen), addr("back", s.Back),
		addr("outside.cloud", s.Services.Cloud), addr("outside.state", s.Services.State),
		positive("facts.workers.report_s", f.Workers.Report), positive("facts.workers.lease_s", f.Workers.Lease),
		positive("facts.workers.cancel_s", f.Workers.Cancel), positive("facts.workers.gang_wait_s", f.Workers.GangWait),
		positive("facts.workers.gang_peer_s", f.Workers.GangPeer),
		positive("facts.state.rps", f.State.RPS), positive("facts.state.write_rps", f.State.WriteRPS),
		positive("facts.state.value_kb", f.State.ValueKB),
		positive("facts.cloud.rps", f.Cloud.RPS), positive("facts.cloud.list_lag_s", f.Cloud.ListLag),
		positive("facts.limits.cpu", f.Limits.CPU), positive("facts.limits.ram_mb", f.Limits.RAMMB),
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	if f.State.TxnOps < 4 {
		return errors.New("facts.state.txn_ops: must be at least 4")
	}
	// Nobody could ever be answered: the first answer after a proof would last too long.
	if fencing.CancelHorizon(time.Duration(f.Workers.Cancel*float64(time.Second)), time.Duration(f.Workers.Lease*float64(time.Second))) == 0 {
		return errors.New("facts.workers.cancel_s: must be above lease_s, by an eight-hundredth of itself at least")
	}
	if f.Limits.MaxSockets < 64 {
		return errors.New("facts.limits.max_sockets: must be at least 64")
	}
	seen := map[string]bool{s.Node: true}
	for i, p := range s.Peers {
		if p.Node == "" || seen[p.Node] {
			return fmt.Errorf("peers[%d].node_name: missing or repeated", i)
		}
		seen[p.Node] = true
		if err := addr(fmt.Sprintf("peers[%d].peer_addr", i), p.Addr); err != nil {
			return err
		}
	}
	names := map[string]bool{}
	for i, t := range f.Teams {
		if t.Name == "" || names[t.Name] {
			return fmt.Errorf("facts.teams[%d].name: missing or repeated", i)
		}
		names[t.Name] = true
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if !(v >= 0) || math.IsInf(v, 0) {
				return fmt.Errorf("facts.teams[%d]: guarantee and limit must not be negative", i)
			}
		}
	}
	return nil
}
