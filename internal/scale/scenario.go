// Package scale measures silvergate at sizes that a single machine can't run with real
// workers. It runs cells of real controllers and real state services on loopback, with hollow
// workers, a simulated cloud, simulated users, injected faults, and checks of the protocol's
// rules.
//
// A scenario describes a run. Each cell consists of these processes: a state service, its
// controllers, some real agents, and one cell process, which holds the cloud, the hollow
// workers, the users and the checker. The process that the operator started starts the state
// services, controllers and cell processes, measures them, and ends them. A cell process
// starts and ends its real agents.
package scale

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"slices"
	"strings"

	"silvergate/internal/config"
	"silvergate/internal/protocol"
)

// Scenario describes a run. It is read from a YAML file.
type Scenario struct {
	Name string `yaml:"name"`
	Seed uint64 `yaml:"seed"`
	// DurationS is how long users submit jobs, in seconds. DrainS is how long the run then
	// waits for these jobs to end, at most.
	DurationS  float64 `yaml:"duration_s"`
	DrainS     float64 `yaml:"drain_s"`
	Cells      int     `yaml:"cells"`
	CellSize   `yaml:",inline"`
	Periods    config.Workers `yaml:"periods"`
	State      config.State   `yaml:"state"`
	Cloud      config.Cloud   `yaml:"cloud"`
	Controller config.Limits  `yaml:"controller"`
	// RestartS is how long a killed controller stays down, in seconds.
	RestartS float64 `yaml:"restart_s"`
	Machine  Machine `yaml:"machine"`
	Load     []Load  `yaml:"load"`
	Faults   []Fault `yaml:"faults"`
	// MemoryGB is the most memory that all processes together may use; 0: half of the
	// machine's, which is also the upper limit.
	MemoryGB float64 `yaml:"memory_gb"`
	// Operator holds the operators' settings of the controllers, as in silvergate.yaml.
	Operator map[string]any `yaml:"operator,omitempty"`
	// BasePort is the first of the consecutive ports of the run's state services, clouds
	// and controllers; 0: the system chooses free ports.
	BasePort int `yaml:"base_port"`
}

// CellSize is the size of each cell of a scenario.
type CellSize struct {
	Controllers int      `yaml:"controllers"`
	Zones       []string `yaml:"zones"`
	Workers     int      `yaml:"workers"`
	RealAgents  int      `yaml:"real_agents"`
	Teams       int      `yaml:"teams"`
	// TeamLimit is the most accelerators that each team may use; 0: no limit.
	TeamLimit float64 `yaml:"team_limit"`
}

// Machine is the size of each machine, hollow worker or real agent.
type Machine struct {
	CPUs       float64 `yaml:"cpus"`
	GPUs       float64 `yaml:"accelerators"`
	RAM        float64 `yaml:"ramGb"`
	PullGBPerS float64 `yaml:"pull_gb_per_s"`
	StartupS   float64 `yaml:"startup_s"`
}

// Load is a class of jobs that users submit.
type Load struct {
	Class   string  `yaml:"class"`
	Shape   string  `yaml:"shape"`   // batch, ensemble or standing
	Urgency string  `yaml:"urgency"` // prod, urgent, standard or idle
	Tasks   int     `yaml:"tasks"`
	CPUs    float64 `yaml:"cpus"`
	GPUs    float64 `yaml:"accelerators"`
	RAM     float64 `yaml:"ramGb"`
	RunS    float64 `yaml:"run_s"` // mean run time of a task; run times are from 0.5 to 1.5 times the mean
	ImageGB float64 `yaml:"image_gb"`
	Images  int     `yaml:"images"`
	Initial int     `yaml:"initial"` // jobs submitted at the start
	PerS    float64 `yaml:"per_s"`   // mean rate of submissions, in jobs a second
	OneZone bool    `yaml:"one_zone"`
	// Cancelled is the share of jobs that their users cancel.
	Cancelled float64 `yaml:"cancelled"`
	// Real makes the jobs run on the real agents.
	Real bool `yaml:"real"`
}

// Kinds of faults.
const (
	FaultControllerKill = "controller_kill" // kills the first count controllers of each cell
	FaultWorkersLost    = "workers_gone"    // removes a share of a zone's hollow workers, or of all
	FaultWorkersRestart = "workers_restart" // restarts a share of a zone's hollow workers, or of all, one after the other over for_s
	FaultCommandsCopied = "commands_copied" // a share of the direct commands to hollow workers arrives once more, for for_s
)

// Fault is a fault that the run injects AtS seconds after users begin.
type Fault struct {
	AtS   float64 `yaml:"at_s"`
	Kind  string  `yaml:"kind"`
	Count int     `yaml:"count"`
	Share float64 `yaml:"share"`
	Zone  string  `yaml:"zone"`
	ForS  float64 `yaml:"for_s"`
}

//go:embed scenarios/*.yaml
var shipped embed.FS

// ShippedScenarios lists the scenarios that come with the program.
func ShippedScenarios() (names []string) {
	found, _ := fs.Glob(shipped, "scenarios/*.yaml")
	for _, path := range found {
		names = append(names, strings.TrimSuffix(strings.TrimPrefix(path, "scenarios/"), ".yaml"))
	}
	return names
}

// LoadScenario reads a scenario: a shipped one by its name, any other by its file's path.
func LoadScenario(nameOrFile string) (*Scenario, error) {
	raw, err := shipped.ReadFile("scenarios/" + nameOrFile + ".yaml")
	if err != nil {
		if raw, err = os.ReadFile(nameOrFile); err != nil {
			return nil, fmt.Errorf("scenario: %w (shipped ones: %s)", err, strings.Join(ShippedScenarios(), ", "))
		}
	}
	s, err := ParseScenario(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", nameOrFile, err)
	}
	return s, nil
}

// ParseScenario reads a scenario from YAML and checks it, as Check does.
func ParseScenario(raw []byte) (*Scenario, error) {
	s := &Scenario{Seed: 1, DrainS: 60, Cells: 1, RestartS: 3}
	if err := config.DecodeYAML(raw, s); err != nil {
		return nil, err
	}
	return s, s.Check()
}

// Upper limits of a scenario, which runs on one machine.
const (
	maxCells          = 16
	maxControllers    = 9
	maxWorkers        = 25_000
	maxRealAgents     = 20
	maxDurationS      = 3600
	maxProcesses      = 200
	processesPerAgent = 4 // the agent, its watchdog, and up to two tasks
)

// Check returns an error that names the first field with an invalid value, or nil.
func (s *Scenario) Check() error {
	if err := s.checkCounts(); err != nil {
		return err
	}
	if err := s.checkMachine(); err != nil {
		return err
	}
	if len(s.Load) == 0 {
		return errors.New("load: missing")
	}
	classes := map[string]bool{}
	for i := range s.Load {
		if err := s.Load[i].check(s); err != nil {
			return fmt.Errorf("load[%d].%w", i, err)
		}
		if classes[s.Load[i].Class] {
			return fmt.Errorf("load[%d].class: repeated", i)
		}
		classes[s.Load[i].Class] = true
	}
	for i := range s.Faults {
		if err := s.Faults[i].check(s); err != nil {
			return fmt.Errorf("faults[%d].%w", i, err)
		}
	}
	return s.checkSettings()
}

func (s *Scenario) checkCounts() error {
	between := func(field string, v, least, most int) error {
		if v < least || v > most {
			return fmt.Errorf("%s: must be from %d to %d", field, least, most)
		}
		return nil
	}
	if !protocol.ValidName(s.Name) {
		return errors.New("name: missing or not a name")
	}
	if !(s.DurationS >= 1 && s.DurationS <= maxDurationS) {
		return fmt.Errorf("duration_s: must be from 1 to %d", maxDurationS)
	}
	if !(s.DrainS >= 0 && s.DrainS <= maxDurationS) {
		return fmt.Errorf("drain_s: must be from 0 to %d", maxDurationS)
	}
	if len(s.Zones) == 0 {
		return errors.New("zones: missing")
	}
	for i, z := range s.Zones {
		if !protocol.ValidName(z) || slices.Contains(s.Zones[:i], z) {
			return fmt.Errorf("zones[%d]: not a name, or repeated", i)
		}
	}
	err := errors.Join(between("cells", s.Cells, 1, maxCells), between("controllers", s.Controllers, 1, maxControllers),
		between("workers", s.Workers, 1, maxWorkers), between("real_agents", s.RealAgents, 0, maxRealAgents),
		between("teams", s.Teams, 1, 1000), between("base_port", s.BasePort, 0, 65000))
	if err != nil {
		return errors.New(strings.SplitN(err.Error(), "\n", 2)[0])
	}
	if s.Cells*s.Workers > maxWorkers {
		return fmt.Errorf("workers: %d cells of %d are more than %d", s.Cells, s.Workers, maxWorkers)
	}
	if n := s.Processes(); n > maxProcesses {
		return fmt.Errorf("real_agents: the scenario takes %d processes, more than %d", n, maxProcesses)
	}
	if !(s.TeamLimit >= 0) || math.IsInf(s.TeamLimit, 0) {
		return errors.New("team_limit: must not be negative")
	}
	if !(s.RestartS >= 0) {
		return errors.New("restart_s: must not be negative")
	}
	if !(s.MemoryGB >= 0) {
		return errors.New("memory_gb: must not be negative")
	}
	return nil
}

func (s *Scenario) checkMachine() error {
	for _, f := range []struct {
		name string
		v    float64
	}{{"cpus", s.Machine.CPUs}, {"ramGb", s.Machine.RAM}, {"pull_gb_per_s", s.Machine.PullGBPerS}} {
		if !(f.v > 0) || math.IsInf(f.v, 0) {
			return fmt.Errorf("machine.%s: must be a positive number", f.name)
		}
	}
	if !(s.Machine.GPUs >= 0) || !(s.Machine.StartupS >= 0) {
		return errors.New("machine: accelerators and startup_s must not be negative")
	}
	return nil
}

// checkSettings checks the controllers' settings that the scenario yields, with the parsers
// that the controllers use.
func (s *Scenario) checkSettings() error {
	l, err := newLayout(s, func(int) (int, error) { return 1, nil })
	if err != nil {
		return err
	}
	if _, err = l.cells[0].controllerSettings(0); err != nil {
		return err
	}
	_, err = s.operatorSettings()
	return err
}

func (l *Load) check(s *Scenario) error {
	switch {
	case !protocol.ValidName(l.Class):
		return errors.New("class: missing or not a name")
	case l.Shape != "batch" && l.Shape != "ensemble" && l.Shape != "standing":
		return errors.New("shape: must be batch, ensemble or standing")
	case !slices.Contains([]string{"prod", "urgent", "standard", "idle"}, l.Urgency):
		return errors.New("urgency: must be prod, urgent, standard or idle")
	case l.Tasks < 1 || l.Tasks > protocol.MaxTasks:
		return fmt.Errorf("tasks: must be from 1 to %d", protocol.MaxTasks)
	case !(l.CPUs > 0 && l.CPUs <= s.Machine.CPUs):
		return errors.New("cpus: must be above 0 and fit the machine")
	case !(l.GPUs >= 0 && l.GPUs <= s.Machine.GPUs):
		return errors.New("accelerators: must fit the machine")
	case !(l.RAM >= 0 && l.RAM <= s.Machine.RAM):
		return errors.New("ramGb: must fit the machine")
	case l.Shape != "standing" && !(l.RunS > 0):
		return errors.New("run_s: must be above 0")
	case l.Shape == "standing" && l.RunS != 0:
		return errors.New("run_s: services have none")
	case l.Initial < 0 || !(l.PerS >= 0) || l.Initial == 0 && l.PerS == 0:
		return errors.New("initial, per_s: must not be negative, nor both 0")
	case !(l.Cancelled >= 0 && l.Cancelled <= 1):
		return errors.New("cancelled: must be from 0 to 1")
	case !(l.ImageGB >= 0) || l.Images < 1:
		return errors.New("images: at least one, of a size that is not negative")
	case l.Real && s.RealAgents == 0:
		return errors.New("real: there are no real agents")
	case l.Real && l.Shape != "batch":
		return errors.New("real: only batch jobs")
	}
	return nil
}

func (f *Fault) check(s *Scenario) error {
	if !(f.AtS >= 0 && f.AtS <= s.DurationS) {
		return errors.New("at_s: must be within duration_s")
	}
	if !(f.ForS >= 0) {
		return errors.New("for_s: must not be negative")
	}
	switch f.Kind {
	case FaultControllerKill:
		if f.Count < 1 || f.Count > s.Controllers {
			return fmt.Errorf("count: must be from 1 to %d", s.Controllers)
		}
	case FaultWorkersLost, FaultWorkersRestart, FaultCommandsCopied:
		if !(f.Share > 0 && f.Share <= 1) {
			return errors.New("share: must be above 0 and at most 1")
		}
		if f.Kind == FaultCommandsCopied && f.Zone != "" {
			return errors.New("zone: must be empty")
		}
		if f.Zone != "" && !slices.Contains(s.Zones, f.Zone) {
			return errors.New("zone: not one of zones")
		}
	default:
		return fmt.Errorf("kind: must be %s, %s, %s or %s", FaultControllerKill, FaultWorkersLost, FaultWorkersRestart, FaultCommandsCopied)
	}
	return nil
}

// Processes returns the largest number of processes that the scenario's run has at once.
func (s *Scenario) Processes() int {
	return s.Cells * (2 + s.Controllers + processesPerAgent*s.RealAgents)
}

// Estimates of a run's memory, in MB and rounded up, and the share of the machine's memory that
// a run may use.
const (
	mbPerWorker    = 0.25
	mbPerCell      = 150
	mbPerAgent     = 40
	mbPerGB        = 1024
	maxMemoryShare = 0.5
)

// EstimatedGB returns an estimate of the memory that a run takes.
func (s *Scenario) EstimatedGB() float64 {
	cell := mbPerCell + float64(s.Workers)*mbPerWorker + float64(s.Controllers)*s.Controller.RAMMB + float64(s.RealAgents)*mbPerAgent
	return float64(s.Cells) * cell / mbPerGB
}
