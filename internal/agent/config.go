package agent

import (
	"errors"
	"fmt"
	"net/netip"
	"path/filepath"

	"silvergate/internal/archive/ship"
	"silvergate/internal/protocol"
)

// Config is an agent's configuration, in YAML.
type Config struct {
	Worker      string `yaml:"stoker"`
	MachineType string `yaml:"rig"`
	Zone        string `yaml:"depot"`
	Spot        bool   `yaml:"casual"`
	// Listen is the address for direct commands. With port 0 the system
	// chooses a port, which the agent reuses as long as the machine exists.
	Listen string `yaml:"listen"`
	// Dir is the machine's folder. It must be absolute.
	Dir         string       `yaml:"dir"`
	Controllers []Controller `yaml:"controllers"`
	Workers     Periods      `yaml:"workers"`
	Resources   Room         `yaml:"room"`
	LocalGB     float64      `yaml:"localGb"` // disk space for images
	Images      []Image      `yaml:"images"`
	SharedDir   string       `yaml:"outside"` // folder that all machines share
	Nice        NiceLevels   `yaml:"nice"`
	OpenFiles   uint64       `yaml:"open_files"` // limit of each task; 0: as inherited
	Metrics     bool         `yaml:"metrics"`
	Environment []string     `yaml:"environment"` // NAME=value, for every task
	// Staging switches the store of data sets on; nil: off.
	Staging *Staging `yaml:"staging,omitempty"`
	// Archive configures the archiving of task output; nil: off.
	Archive *ship.Config `yaml:"archive,omitempty"`
	// GiveUpS is the time in seconds after the last answered heartbeat at which
	// the agent shuts down; 0: never.
	GiveUpS float64 `yaml:"give_up_s"`
}

// NiceLevels holds the nice level of tasks by priority.
type NiceLevels struct {
	Prod     int `yaml:"prod"`
	Urgent   int `yaml:"urgent"`
	Standard int `yaml:"standard"`
	Idle     int `yaml:"idle"`
}

func (n NiceLevels) forPriority(priority string) int {
	switch priority {
	case "prod":
		return n.Prod
	case "urgent":
		return n.Urgent
	case "standard":
		return n.Standard
	}
	return n.Idle
}

// DefaultConfig returns the defaults for fields that a settings file does not set.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:0", Workers: Periods{3, 18, 35, 4}, LocalGB: 10, Nice: NiceLevels{0, 0, 5, 15}, OpenFiles: 4096}
}

// Check returns an error that names the first invalid field.
func (c *Config) Check() error {
	switch {
	case !protocol.ValidName(c.Worker):
		return errors.New("stoker: missing or not a name")
	case c.MachineType == "":
		return errors.New("rig: missing")
	case c.Zone == "":
		return errors.New("depot: missing")
	case !filepath.IsAbs(c.Dir):
		return errors.New("dir: must be absolute")
	case c.SharedDir != "" && !filepath.IsAbs(c.SharedDir):
		return errors.New("outside: must be absolute")
	case len(c.Controllers) == 0:
		return errors.New("controllers: missing")
	case !(c.LocalGB > 0):
		return errors.New("localGb: must be above 0")
	}
	for i, n := range c.Controllers {
		if n.Name == "" {
			return fmt.Errorf("controllers[%d].node_name: missing", i)
		}
		if _, err := netip.ParseAddrPort(n.Address); err != nil {
			return fmt.Errorf("controllers[%d].address: %q is not an IP address with a port", i, n.Address)
		}
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"workers.report_s", c.Workers.Heartbeat}, {"workers.lease_s", c.Workers.Lease}, {"workers.gang_wait_s", c.Workers.GangWait},
		{"workers.gang_peer_s", c.Workers.GangPeer}, {"room.cpus", c.Resources.CPUs}, {"room.ramGb", c.Resources.RAM}} {
		if !(f.v > 0) {
			return fmt.Errorf("%s: must be above 0", f.name)
		}
	}
	if c.Staging != nil {
		if err := c.Staging.check(); err != nil {
			return err
		}
	}
	if c.Archive != nil {
		if err := c.Archive.Check(); err != nil {
			return fmt.Errorf("archive.%w", err)
		}
	}
	return CheckImages(c.Images)
}

// Files in a machine's folder.
const (
	// AddressFile holds the address for direct commands once it is known.
	AddressFile = "address"
	// PreemptionFile holds the time, in milliseconds since the Unix epoch, at which
	// the cloud takes the machine back. The provider writes it.
	PreemptionFile = "recall"
	stateFile      = "worker.json"
)

// persistedState is the state that an agent needs again after it was killed.
type persistedState struct {
	Epoch        uint64 `json:"shift"`
	FencingToken uint64 `json:"baton"`
	Port         int    `json:"port"`
}
