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

// layout says where everything of a run listens.
type layout struct {
	scenario *Scenario
	cells    []*cellLayout
}

// cellLayout is one cell's part of it.
type cellLayout struct {
	scenario        *Scenario
	number          int
	statePort       int // ports
	cloudPort       int
	controllerPorts []int
	peerPorts       []int
}

// Machine types of a run.
const (
	hollowType = "hollow"
	realType   = "real"
)

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// workerIP is where a cell's hollow workers listen.
func (c *cellLayout) workerIP() string { return fmt.Sprintf("127.0.%d.1", 1+c.number) }

func controllerName(i int) string { return fmt.Sprintf("stoker-%d", i) }

// controllerZone is where a controller of a cell stands.
func (c *cellLayout) controllerZone(i int) string { return c.scenario.Zones[i%len(c.scenario.Zones)] }

// newLayout has take find a port for everything; take is called with the wish of
// the scenario, 0 if there is none.
func newLayout(s *Scenario, take func(wish int) (int, error)) (*layout, error) {
	l := &layout{scenario: s}
	next := s.BasePort
	port := func() (int, error) {
		wish := next
		if next > 0 {
			next++
		}
		return take(wish)
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

// portAllocator finds free ports; it holds them all until release, so that they differ.
type portAllocator struct{ listeners []net.Listener }

func (t *portAllocator) allocate(wish int) (int, error) {
	listener, err := net.Listen("tcp4", loopback(wish))
	if err != nil {
		return 0, fmt.Errorf("base_port: port %d can't be had: %w", wish, err)
	}
	t.listeners = append(t.listeners, listener)
	return listener.Addr().(*net.TCPAddr).Port, nil
}

func (t *portAllocator) release() {
	for _, listener := range t.listeners {
		listener.Close()
	}
}

// controllerAddresses lists a cell's controllers for workers.
func (c *cellLayout) controllerAddresses() (out []agent.Controller) {
	for i, port := range c.controllerPorts {
		out = append(out, agent.Controller{Name: controllerName(i), Address: loopback(port)})
	}
	return out
}

// periods are the workers' own.
func (c *cellLayout) periods() agent.Periods {
	p := &c.scenario.Periods
	return agent.Periods{Heartbeat: p.Report, Lease: p.Lease, GangWait: p.GangWait, GangPeer: p.GangPeer}
}

// controllerSettings are the settings of a controller of the cell, checked as it will check it.
func (c *cellLayout) controllerSettings(i int) ([]byte, error) {
	s := c.scenario
	settings := &config.Settings{Node: controllerName(i), Zone: c.controllerZone(i), Listen: loopback(c.controllerPorts[i]), Back: loopback(c.peerPorts[i]),
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

// operatorSettings are the operators' settings of the controllers, checked as they will check it.
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

// teams are the cell's teams.
func (s *Scenario) teams() (out []config.Team) {
	for i := range s.Teams {
		out = append(out, config.Team{Name: teamName(i), GPUsMax: s.TeamLimit})
	}
	return out
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

// stateSettings are the settings of a cell's state service.
func (c *cellLayout) stateSettings(dir string) statestore.Config {
	s := statestore.DefaultConfig()
	s.Listen, s.Dir, s.Metrics = loopback(c.statePort), dir, true
	s.Limits = statestore.Limits{RPS: c.scenario.State.RPS, WriteRPS: c.scenario.State.WriteRPS, ValueKB: c.scenario.State.ValueKB, TxnOps: c.scenario.State.TxnOps}
	return s
}
