// Package site runs a whole silvergate on one machine, on loopback: the state
// service, the cloud of local machines and the controllers. Each is a process of
// its own, which one supervising process starts, watches and ends. A site that is
// started again with the same folder continues, however its last run ended.
package site

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/google/renameio/v2"
	"go.yaml.in/yaml/v3"

	"silvergate/internal/agent"
	"silvergate/internal/archive"
	"silvergate/internal/archive/node"
	"silvergate/internal/archive/ship"
	"silvergate/internal/config"
	"silvergate/internal/identity"
	"silvergate/internal/provider"
	"silvergate/internal/statestore"
)

// Config is the configuration of a site, in YAML.
type Config struct {
	Controllers int                    `yaml:"controllers"`
	Zones       []string               `yaml:"zones"`
	Metrics     bool                   `yaml:"metrics"`
	Teams       []config.Team          `yaml:"teams"`
	Objectives  []config.Objective     `yaml:"objectives"`
	Workers     config.Workers         `yaml:"workers"`
	State       config.State           `yaml:"state"`
	Cloud       config.Cloud           `yaml:"cloud"`
	Controller  Controller             `yaml:"controller"`
	Types       []provider.MachineType `yaml:"types"`
	Spot        provider.Spot          `yaml:"spot"`
	Images      []agent.Image          `yaml:"images"`
	Nice        agent.NiceLevels       `yaml:"nice"`
	OpenFiles   uint64                 `yaml:"open_files"`
	GiveUpS     float64                `yaml:"give_up_s"`
	Environment []string               `yaml:"environment"`
	Staging     *Staging               `yaml:"staging"`
	// Archive switches on the archive, which keeps the output of tasks; nil: off.
	Archive *Archive `yaml:"archive"`
	// OutsideKeepS is how long results and checkpoints of finished jobs are kept, in
	// seconds; 0: for ever.
	OutsideKeepS float64 `yaml:"outside_keep_s"`
}

// Staging switches on data sets. It holds the controllers' budgets and the settings of the
// machines' stores.
type Staging struct {
	Budgets config.Staging `yaml:"budgets"`
	Store   agent.Staging  `yaml:"store"`
}

// Archive switches on the archive. It configures the archive nodes and what machines ship to
// them.
type Archive struct {
	Nodes     int               `yaml:"nodes"`
	Replicas  int               `yaml:"replicas"`
	Retention archive.Retention `yaml:"retention"`
	// The following fields apply to each machine: see ship.Config.
	BoundS       float64 `yaml:"bound_s"`
	RateMBPerS   float64 `yaml:"rate_mb_per_s"`
	UrgentMBPerS float64 `yaml:"urgent_mb_per_s"`
	SpoolMB      float64 `yaml:"spool_mb"`
	FileMB       float64 `yaml:"file_mb"`
	FilesMax     int     `yaml:"files_max"`
	// HoldS applies to the controllers: see config.Archive.
	HoldS float64 `yaml:"hold_s"`
	// The following fields apply to each archive node: see node.Config.
	SyncS       float64 `yaml:"sync_s"`
	SyncMBPerS  float64 `yaml:"sync_mb_per_s"`
	ScrubMBPerS float64 `yaml:"scrub_mb_per_s"`
	TombstoneS  float64 `yaml:"tombstone_s"`
}

// Controller holds the limits and the log level of each controller's process.
type Controller struct {
	CPU        float64 `yaml:"cpu"`
	RAMMB      float64 `yaml:"ram_mb"`
	MaxSockets int     `yaml:"max_sockets"`
	LogLevel   string  `yaml:"log_level"`
	// RecordMB is the most disk space for each controller's recordings, in MB; 0: off.
	RecordMB float64 `yaml:"record_mb"`
}

// maxNodes is the most controllers, and the most archive nodes, of a site.
const maxNodes = 9

// Parse reads a site's configuration. The error names the first field with an impossible value.
func Parse(raw []byte) (*Config, error) {
	c := &Config{}
	if err := config.DecodeYAML(raw, c); err != nil {
		return nil, err
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	// Each part checks its own share of the configuration.
	if err := c.checkParts(); err != nil {
		return nil, err
	}
	return c, nil
}

// check checks the fields that belong to the site as a whole.
func (c *Config) check() error {
	if c.Controllers < 1 || c.Controllers > maxNodes {
		return fmt.Errorf("controllers: must be from 1 to %d", maxNodes)
	}
	if c.OutsideKeepS != 0 && !(c.OutsideKeepS >= minOutsideKeep.Seconds()) {
		return fmt.Errorf("outside_keep_s: must be 0 or at least %v", minOutsideKeep.Seconds())
	}
	if len(c.Zones) == 0 {
		return errors.New("zones: missing")
	}
	if c.Archive != nil && (c.Archive.Nodes < 1 || c.Archive.Nodes > maxNodes) {
		return fmt.Errorf("archive.nodes: must be from 1 to %d", maxNodes)
	}
	for i, t := range c.Types {
		for z := range t.Zones {
			if !slices.Contains(c.Zones, z) {
				return fmt.Errorf("types[%d].depots.%s: not one of zones", i, z)
			}
		}
	}
	return nil
}

// checkParts checks the configuration of each part with the part's own check. It uses
// placeholders for the ports, which are chosen later.
func (c *Config) checkParts() error {
	l := layout{dir: "/", ports: &Ports{State: 1, Provider: 1, Controllers: make([]int, c.Controllers), Back: make([]int, c.Controllers)}}
	if c.Archive != nil {
		for i := range c.Archive.Nodes {
			l.ports.Archive = append(l.ports.Archive, 1+i)
		}
		n := l.archiveNode(c, 0)
		if err := n.Check(); err != nil {
			return fmt.Errorf("archive: %w", err)
		}
	}
	st := l.state(c)
	if err := st.Check(); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	pr := l.provider(c)
	if err := pr.Check(); err != nil {
		return err
	}
	for i := range c.Controllers {
		raw, err := json.Marshal(l.controller(c, i))
		if err != nil {
			return err
		}
		if _, err := config.Parse(raw); err != nil {
			return err
		}
	}
	op, err := yaml.Marshal(l.operator(c))
	if err == nil {
		_, err = config.ParseOperator(op)
	}
	if err != nil {
		return fmt.Errorf("controller.%w", err)
	}
	return nil
}

// Ports are the ports of a site's parts. They stay the same as long as the site exists.
type Ports struct {
	State       int   `json:"state"`
	Provider    int   `json:"provider"`
	Files       int   `json:"files"`
	Controllers []int `json:"controllers"`
	Back        []int `json:"back"`
	Archive     []int `json:"archive,omitempty"`
}

// Files in a site's folder.
const (
	siteFile  = "site.yaml"
	portsFile = "ports.json"
	lockFile  = "lock"
	runDir    = "run"
	// LogsDir is the folder of the parts' logs.
	LogsDir = "logs"
	// AuthorityDir is the folder of the site's authority.
	AuthorityDir = "authority"
	// CertsDir is the folder of the parts' certificates, a folder for each part.
	CertsDir     = "certs"
	grantKeyFile = "grant.key"
)

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// ReadPorts reads the ports of the site in a folder.
func ReadPorts(dir string) (*Ports, error) {
	raw, err := os.ReadFile(filepath.Join(dir, portsFile))
	if err != nil {
		return nil, fmt.Errorf("%s is not a site's folder, or the site was never started: %w", dir, err)
	}
	p := &Ports{}
	if err := json.Unmarshal(raw, p); err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(dir, portsFile), err)
	}
	return p, nil
}

// FileServer is the address of the site's own file server.
func (p *Ports) FileServer() string { return address(p.Files) }

// DataRoot is the folder that a site's file server serves.
func DataRoot(dir string) string { return filepath.Join(dir, "data") }

// Addresses lists the controllers' addresses for users.
func (p *Ports) Addresses() (out []string) {
	for _, c := range p.Controllers {
		out = append(out, address(c))
	}
	return out
}

// choosePorts lets the system choose the ports that are missing and stores them. It holds all
// new ports open at the same time, so that they differ.
func choosePorts(dir string, controllers, nodes int) (*Ports, error) {
	p, err := ReadPorts(dir)
	if err != nil {
		if !errors.Is(err, os.ErrNotExist) {
			return nil, err
		}
		p = &Ports{}
	}
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	changed := false
	choose := func(port *int) error {
		if *port != 0 {
			return nil
		}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
		*port = l.Addr().(*net.TCPAddr).Port
		changed = true
		return nil
	}
	for len(p.Controllers) < controllers {
		p.Controllers, p.Back = append(p.Controllers, 0), append(p.Back, 0)
	}
	for len(p.Archive) < nodes {
		p.Archive = append(p.Archive, 0)
	}
	errs := []error{choose(&p.State), choose(&p.Provider), choose(&p.Files)}
	for i := range p.Controllers {
		errs = append(errs, choose(&p.Controllers[i]), choose(&p.Back[i]))
	}
	for i := range p.Archive {
		errs = append(errs, choose(&p.Archive[i]))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	if changed {
		raw, err := json.MarshalIndent(p, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := renameio.WriteFile(filepath.Join(dir, portsFile), raw, 0o600); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// layout derives the configuration of each part of a site from the folder and the ports.
type layout struct {
	dir   string // absolute
	ports *Ports
}

func (l layout) state(c *Config) statestore.Config {
	s := statestore.DefaultConfig()
	s.Listen, s.Dir, s.Metrics = address(l.ports.State), filepath.Join(l.dir, "state"), c.Metrics
	s.Limits = statestore.Limits{RPS: c.State.RPS, WriteRPS: c.State.WriteRPS, ValueKB: c.State.ValueKB, TxnOps: c.State.TxnOps}
	return s
}

func (l layout) provider(c *Config) provider.Config {
	p := provider.DefaultConfig()
	p.Listen, p.Dir, p.RPS, p.Types, p.Spot, p.Metrics = address(l.ports.Provider), filepath.Join(l.dir, "cloud"), c.Cloud.RPS, c.Types, c.Spot, c.Metrics
	p.SwitchOff = true
	a := &p.Agent
	a.Workers = agent.Periods{Heartbeat: c.Workers.Heartbeat, Lease: c.Workers.Lease, GangWait: c.Workers.GangWait, GangPeer: c.Workers.GangPeer}
	a.Images, a.Nice, a.OpenFiles, a.Metrics, a.Environment, a.GiveUpS = c.Images, c.Nice, c.OpenFiles, c.Metrics, c.Environment, c.GiveUpS
	if c.Staging != nil {
		a.Staging = &c.Staging.Store
	}
	if x := c.Archive; x != nil {
		p.Authority = filepath.Join(l.dir, AuthorityDir)
		a.Archive = &ship.Config{Members: l.ports.ArchiveNodes(x.Nodes), Replicas: x.Replicas, Certs: "/", BoundS: x.BoundS, RateMBPerS: x.RateMBPerS,
			UrgentMBPerS: x.UrgentMBPerS, SpoolMB: x.SpoolMB, FileMB: x.FileMB, FilesMax: x.FilesMax}
	}
	a.SharedDir = filepath.Join(l.dir, outsideDir)
	a.Controllers = nil
	for i := range l.ports.Controllers[:c.Controllers] {
		a.Controllers = append(a.Controllers, agent.Controller{Name: nodeName(i), Address: address(l.ports.Controllers[i])})
	}
	return p
}

// ArchiveNodes returns the names and addresses of a site's first n archive nodes.
func (p *Ports) ArchiveNodes(n int) (out []node.Member) {
	for i, port := range p.Archive[:min(n, len(p.Archive))] {
		out = append(out, node.Member{Name: archiveName(i), Address: address(port)})
	}
	return out
}

func archiveName(i int) string { return fmt.Sprintf("archive-%d", i) }

// archiveNode returns the configuration of archive node i.
func (l layout) archiveNode(c *Config, i int) node.Config {
	x, n := c.Archive, node.DefaultConfig()
	n.Name, n.Listen, n.Members, n.Replicas = archiveName(i), address(l.ports.Archive[i]), l.ports.ArchiveNodes(x.Nodes), x.Replicas
	n.Dir, n.Certs = filepath.Join(l.dir, "archive", n.Name), filepath.Join(l.dir, CertsDir, n.Name)
	n.GrantKey, n.Retention = filepath.Join(l.dir, grantKeyFile), x.Retention
	n.Revocations = filepath.Join(l.dir, AuthorityDir, identity.RevokedFile)
	n.SyncS, n.SyncMBPerS, n.ScrubMBPerS, n.TombstoneS = x.SyncS, x.SyncMBPerS, x.ScrubMBPerS, x.TombstoneS
	return n
}

// ReadArchive returns the archive nodes of the site in a folder, which keep the output of its
// tasks, and the folder of its operator's certificate.
func ReadArchive(dir string) (members []node.Member, certs string, err error) {
	p, err := ReadPorts(dir)
	if err != nil {
		return nil, "", err
	}
	raw, err := os.ReadFile(filepath.Join(dir, siteFile))
	if err != nil {
		return nil, "", err
	}
	c, err := Parse(raw)
	if err != nil {
		return nil, "", err
	}
	if c.Archive == nil {
		return nil, "", errors.New("this site does not keep the output of tasks: its site.yaml configures no archive")
	}
	return p.ArchiveNodes(c.Archive.Nodes), filepath.Join(dir, CertsDir, operatorName), nil
}

// operatorName is the name in the certificate that silvergate up issues to its user.
const operatorName = "operator"

func nodeName(i int) string { return fmt.Sprintf("stoker-%d", i) }

func (l layout) controller(c *Config, i int) *config.Settings {
	zone := func(i int) string { return c.Zones[i%len(c.Zones)] }
	s := &config.Settings{Node: nodeName(i), Zone: zone(i), Listen: address(l.ports.Controllers[i]), PeerListen: address(l.ports.Back[i]),
		Services: config.Outside{Cloud: address(l.ports.Provider), State: address(l.ports.State)},
		Facts: config.Facts{Count: c.Controllers, Zones: c.Zones, Teams: c.Teams, Objectives: c.Objectives, Workers: c.Workers, State: c.State, Cloud: c.Cloud,
			Limits: config.Limits{CPU: c.Controller.CPU, RAMMB: c.Controller.RAMMB, MaxSockets: c.Controller.MaxSockets}, TimeBoundMS: 1}}
	for k := range c.Controllers {
		if k != i {
			s.Peers = append(s.Peers, config.Peer{Node: nodeName(k), Zone: zone(k), Addr: address(l.ports.Back[k])})
		}
	}
	return s
}

func (l layout) operator(c *Config) config.Operator {
	o := config.DefaultOperator()
	o.Metrics = c.Metrics
	if c.Staging != nil {
		o.Staging = &c.Staging.Budgets
	}
	if c.Archive != nil {
		o.Archive = &config.Archive{GrantKey: filepath.Join(l.dir, grantKeyFile), HoldS: c.Archive.HoldS}
	}
	if c.Controller.LogLevel != "" {
		o.LogLevel = c.Controller.LogLevel
	}
	if mb := c.Controller.RecordMB; mb > 0 {
		o.Recorder = &config.Recorder{Dir: filepath.Join(l.dir, "recordings"), MaxMB: mb, SegmentMB: mb / 8, Flush: time.Second}
	}
	return o
}
