// Package config reads and checks a controller's settings: the platform's JSON file and
// the operators' own YAML file beside it.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"silvergate/internal/archive"
)

// OperatorFile is the name of the operators' file. Load looks for it in the folder of the
// platform's settings file and then in deploy/.
const OperatorFile = "silvergate.yaml"

// Settings holds the platform's settings file. Unknown fields are ignored.
type Settings struct {
	Node       string  `json:"node_name"`
	Zone       string  `json:"site"`
	Listen     string  `json:"bind"` // address for HTTP
	PeerListen string  `json:"back"` // address for peer links
	Peers      []Peer  `json:"peers"`
	Services   Outside `json:"outside"`
	Facts      Facts   `json:"facts"`

	Operator Operator `json:"-"`
}

// Peer is another controller; Addr is where it listens for peer links.
type Peer struct {
	Node string `json:"node_name"`
	Zone string `json:"site"`
	Addr string `json:"peer_addr"`
}

// Outside holds the addresses of the cloud and of the state service. It is named like its setting,
// because errors of the JSON decoder show the type's name.
type Outside struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Facts holds the figures of the deployment: its size, its teams, its periods and limits.
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

// Team is a team with its guarantee and its limit, in CPUs and GPUs; 0 means none.
type Team struct {
	Name    string  `json:"name" yaml:"name"`
	CPUs    float64 `json:"cpus" yaml:"cpus"`
	CPUsMax float64 `json:"cpus_max" yaml:"cpus_max"`
	GPUs    float64 `json:"gpus" yaml:"gpus"`
	GPUsMax float64 `json:"gpus_max" yaml:"gpus_max"`
}

// Objective is a service level objective for starting or finishing jobs of a class.
type Objective struct {
	Kind   string  `json:"kind" yaml:"kind"`
	Class  string  `json:"class" yaml:"class"`
	Within float64 `json:"within_s" yaml:"within_s"`
	Share  float64 `json:"share" yaml:"share"`
	Times  float64 `json:"times" yaml:"times"`
}

// Workers holds the periods of the protocol between controllers and workers, in seconds.
type Workers struct {
	Heartbeat float64 `json:"report_s" yaml:"report_s"`
	Lease     float64 `json:"lease_s" yaml:"lease_s"`
	GangWait  float64 `json:"gang_wait_s" yaml:"gang_wait_s"`
	GangPeer  float64 `json:"gang_peer_s" yaml:"gang_peer_s"`
	Cancel    float64 `json:"cancel_s" yaml:"cancel_s"`
}

// State holds the limits of the state service: requests and writes per second, the size
// of a value in KiB, and operations in a transaction.
type State struct {
	RPS      float64 `json:"rps" yaml:"rps"`
	WriteRPS float64 `json:"write_rps" yaml:"write_rps"`
	ValueKB  float64 `json:"value_kb" yaml:"value_kb"`
	TxnOps   int     `json:"txn_ops" yaml:"txn_ops"`
}

// Cloud holds the limits of the cloud's interface: requests per second, and how many
// seconds its list of machines may lag behind.
type Cloud struct {
	RPS     float64 `json:"rps" yaml:"rps"`
	ListLag float64 `json:"list_lag_s" yaml:"list_lag_s"`
}

// Limits holds the resources of this process: CPUs, memory in MiB and open sockets.
type Limits struct {
	CPU        float64 `json:"cpu" yaml:"cpu"`
	RAMMB      float64 `json:"ram_mb" yaml:"ram_mb"`
	MaxSockets int     `json:"max_sockets" yaml:"max_sockets"`
}

// Load reads and checks the settings file at path and the operators' file. The operators'
// file is the one at operatorPath or, if that is "", the first OperatorFile found. Errors
// name the file and the field.
func Load(path, operatorPath string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := s.loadOperator(path, operatorPath); err != nil {
		return nil, err
	}
	return s, nil
}

// loadOperator reads the operators' file. A file named by operatorPath must exist. If no
// file is named or found, the defaults stay.
func (s *Settings) loadOperator(path, operatorPath string) error {
	candidates := []string{operatorPath}
	if operatorPath == "" {
		candidates = []string{
			filepath.Join(filepath.Dir(path), OperatorFile),
			filepath.Join("deploy", OperatorFile),
		}
	}
	for _, candidate := range candidates {
		raw, err := os.ReadFile(candidate)
		if errors.Is(err, fs.ErrNotExist) && operatorPath == "" {
			continue
		}
		if err != nil {
			return fmt.Errorf("operator settings: %w", err)
		}
		if s.Operator, err = ParseOperator(raw); err != nil {
			return fmt.Errorf("%s: %w", candidate, err)
		}
		if err := s.LoadKeys(); err != nil {
			return fmt.Errorf("%s: %w", candidate, err)
		}
		return nil
	}
	return nil
}

// LoadKeys reads the key files that the operators' settings name.
func (s *Settings) LoadKeys() (err error) {
	if a := s.Operator.Archive; a != nil && a.Key == nil {
		if a.Key, err = archive.LoadGrantKey(a.GrantKey); err != nil {
			return fmt.Errorf("archive.%w", err)
		}
	}
	return nil
}

// Parse reads the platform's settings and checks them. It sets the operators' settings to
// their defaults.
func Parse(raw []byte) (*Settings, error) {
	s := &Settings{Operator: DefaultOperator()}
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, err
	}
	return s, s.check()
}
