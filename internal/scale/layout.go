package scale

import (
	"encoding/json"
	"fmt"
	"net"

	"go.yaml.in/yaml/v3"

	"silvergate/internal/agent"
	"silvergate/internal/config"
	"silvergate/internal/statestore"
)

// layout holds the ports at which the processes of a run listen.
type layout struct {
	scenario *Scenario
	cells    []*cellLayout
}

// cellLayout holds the ports of one cell.
type cellLayout struct {
	scenario        *Scenario
	number          int
	statePort       int
	cloudPort       int
	controllerPorts []int
	peerPorts       []int
}

// Machine types of a run: that of the hollow workers and that of the real agents.
const (
	hollowType = "hollow"
	realType   = "real"
)

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// workerIP is the loopback address at which a cell's hollow workers listen. Each cell has
// its own.
func (c *cellLayout) workerIP() string { return fmt.Sprintf("127.0.%d.1", 1+c.number) }

func controllerName(i int) string { return fmt.Sprintf("stoker-%d", i) }

// controllerZone is the zone of a cell's controller i. Controllers are assigned to zones in turn.
func (c *cellLayout) controllerZone(i int) string { return c.scenario.Zones[i%len(c.scenario.Zones)] }

// newLayout assigns a port to everything that listens. It calls allocate for each port, with
// the port number that follows from the scenario's base_port, or 0 for any free port.
func newLayout(s *Scenario, allocate func(requested int) (int, error)) (*layout, error) {
	l := &layout{scenario: s}
	next := s.BasePort
	port := func() (int, error) {
		requested := next
		if next > 0 {
			next++
		}
		return allocate(requested)
	}
	for number := range s.Cells {
		c := &cellLayout{scenario: s, number: number, controllerPorts: make([]int, s.Controllers), peerPorts: make([]int, s.Controllers)}
		ports := []*int{&c.statePort, &c.cloudPort}
		for i := range s.Controllers {
			ports = append(ports, &c.controllerPorts[i], &c.peerPorts[i])
		}
		for _, p := range ports {
			var err error
			if *p, err = port(); err != nil {
				return nil, err
			}
		}
		l.cells = append(l.cells, c)
	}
	return l, nil
}

// portAllocator finds free ports. It keeps them all bound until release, so that they differ.
type portAllocator struct{ listeners []net.Listener }

func (t *portAllocator) allocate(requested int) (int, error) {
	listener, err := net.Listen("tcp4", loopback(requested))
	if err != nil {
		return 0, fmt.Errorf("base_port: port %d can't be bound: %w", requested, err)
	}
	t.listeners = append(t.listeners, listener)
	return listener.Addr().(*net.TCPAddr).Port, nil
}

func (t *portAllocator) release() {
	for _, listener := range t.listeners {
		listener.Close()
	}
}

// controllerAddresses returns the names and addresses of a cell's controllers, for its workers.
func (c *cellLayout) controllerAddresses() (out []agent.Controller) {
	for i, port := range c.controllerPorts {
		out = append(out, agent.Controller{Name: controllerName(i), Address: loopback(port)})
	}
	return out
}

// periods returns the scenario's periods that workers use.
func (c *cellLayout) periods() agent.Periods {
	p := &c.scenario.Periods
	return agent.Periods{Heartbeat: p.Heartbeat, Lease: p.Lease, GangWait: p.GangWait, GangPeer: p.GangPeer}
}

// controllerSettings returns the settings of a controller of the cell. It checks them with
// the parser that the controller uses.
func (c *cellLayout) controllerSettings(i int) ([]byte, error) {
	s := c.scenario
	settings := &config.Settings{Node: controllerName(i), Zone: c.controllerZone(i), Listen: loopback(c.controllerPorts[i]), PeerListen: loopback(c.peerPorts[i]),
		Services: config.Outside{Cloud: loopback(c.cloudPort), State: loopback(c.statePort)},
		Facts: config.Facts{Count: s.Controllers, Zones: s.Zones, Teams: s.teams(), Workers: s.Periods, State: s.State, Cloud: s.Cloud,
			Limits: s.Controller, TimeBoundMS: 1}}
	for k := range c.controllerPorts {
		if k != i {
			settings.Peers = append(settings.Peers, config.Peer{Node: controllerName(k), Zone: c.controllerZone(k), Addr: loopback(c.peerPorts[k])})
		}
	}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	_, err = config.Parse(raw)
	return raw, err
}

// operatorSettings returns the operators' settings of the controllers. It checks them with
// the parser that the controllers use.
func (s *Scenario) operatorSettings() ([]byte, error) {
	raw, err := yaml.Marshal(s.Operator)
	if err != nil {
		return nil, fmt.Errorf("operator: %w", err)
	}
	if _, err := config.ParseOperator(raw); err != nil {
		return nil, fmt.Errorf("operator.%w", err)
	}
	return raw, nil
}

// teams returns the cell's teams with their limits.
func (s *Scenario) teams() (out []config.Team) {
	for i := range s.Teams {
		out = append(out, config.Team{Name: teamName(i), GPUsMax: s.TeamLimit})
	}
	return out
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

// stateSettings returns the settings of a cell's state service, which stores its data in dir.
func (c *cellLayout) stateSettings(dir string) statestore.Config {
	s := statestore.DefaultConfig()
	s.Listen, s.Dir, s.Metrics = loopback(c.statePort), dir, true
	s.Limits = statestore.Limits{RPS: c.scenario.State.RPS, WriteRPS: c.scenario.State.WriteRPS, ValueKB: c.scenario.State.ValueKB, TxnOps: c.scenario.State.TxnOps}
	return s
}
