package scale

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"silvergate/internal/protocol"
	"silvergate/internal/provider"
)

// cloud simulates the cloud that controllers rent machines from. The local cloud's market
// decides on rentals. The machines are hollow workers, or real agents, which have a machine
// type of their own.
type cloud struct {
	log          *slog.Logger
	boot         func(m provider.Machine) (address string, err error)
	remove       func(names []string)
	startupDelay time.Duration

	mu       sync.Mutex
	market   *provider.Market
	requests int
	refused  int
	closed   bool
	server   *http.Server
}

func newCloud(s *Scenario, seed uint64, log *slog.Logger) *cloud {
	types := []provider.MachineType{{Name: hollowType, CPUs: s.Machine.CPUs, GPUs: s.Machine.GPUs, MemoryGB: s.Machine.RAM, LocalGB: 100, ImagePullGBPerS: s.Machine.PullGBPerS,
		OnDemandPrice: 4, SpotPrice: 4, StartupS: s.Machine.StartupS, Zones: spread(s.Workers, s.Zones)}}
	if s.RealAgents > 0 {
		types = append(types, provider.MachineType{Name: realType, CPUs: s.Machine.CPUs, GPUs: s.Machine.GPUs, MemoryGB: s.Machine.RAM, LocalGB: 100, ImagePullGBPerS: s.Machine.PullGBPerS,
			OnDemandPrice: 4, SpotPrice: 4, StartupS: s.Machine.StartupS, Zones: spread(s.RealAgents, s.Zones)})
	}
	return &cloud{log: log, startupDelay: time.Duration(s.Machine.StartupS * float64(time.Second)),
		market: provider.NewMarket(types, provider.Spot{}, s.Cloud.RPS, nil, nil, 0, rand.New(rand.NewPCG(seed, 1)))}
}

// spread distributes machines over zones as evenly as possible.
func spread(count int, zones []string) map[string]int {
	out := map[string]int{}
	for i, zone := range zones {
		out[zone] = (count + len(zones) - 1 - i) / len(zones)
	}
	return out
}

// serve starts an HTTP server at an address. It serves until close is called.
func (c *cloud) serve(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	c.server = &http.Server{Handler: c, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = c.server.Serve(listener) }()
	return nil
}

func (c *cloud) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.server.Close()
}

// ServeHTTP answers the controllers' requests.
func (c *cloud) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, protocol.MaxBody))
	if err != nil {
		http.Error(out, "the body can't be read", http.StatusBadRequest)
		return
	}
	status, answer := c.handle(r, body)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(protocol.Encode(answer))
}

func (c *cloud) handle(r *http.Request, body []byte) (int, any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	now := time.Now()
	if !c.market.Admit(now) {
		c.refused++
		return http.StatusTooManyRequests, protocol.ErrorResponse{Error: "too many requests"}
	}
	switch {
	case r.URL.Path == protocol.PathMachineTypes && r.Method == http.MethodGet:
		return http.StatusOK, c.market.MachineTypes()
	case r.URL.Path == protocol.PathRentals && r.Method == http.MethodPost:
		return c.rent(now, body)
	case r.URL.Path == protocol.PathRentals && r.Method == http.MethodGet:
		page, err := strconv.Atoi(r.URL.Query().Get("page"))
		if err != nil || page < 1 {
			return http.StatusBadRequest, protocol.ErrorResponse{Error: "page: missing or not a number"}
		}
		return http.StatusOK, c.market.List(now, r.URL.Query().Get("from"), min(page, 500))
	case r.URL.Path == protocol.PathRentalsDelete && r.Method == http.MethodPost:
		return c.delete(now, body)
	}
	return http.StatusNotFound, protocol.ErrorResponse{Error: "no such path"}
}

// rent handles a rental request. Rented machines boot after the startup delay.
func (c *cloud) rent(now time.Time, body []byte) (int, any) {
	var r protocol.RentalRequest
	if err := json.Unmarshal(body, &r); err != nil || r.Count < 1 || r.Count > 50 {
		return http.StatusBadRequest, protocol.ErrorResponse{Error: "malformed"}
	}
	names, effects, err := c.market.Rent(now, r)
	switch {
	case errors.Is(err, provider.ErrNoCapacity):
		c.refused++
		return http.StatusServiceUnavailable, protocol.ErrorResponse{Error: err.Error()}
	case err != nil:
		return http.StatusBadRequest, protocol.ErrorResponse{Error: err.Error()}
	}
	for _, m := range effects.Store {
		machine := *m
		time.AfterFunc(c.startupDelay, func() { c.bootMachine(machine) })
	}
	return http.StatusOK, protocol.MachineNames{Machines: names}
}

// bootMachine boots a machine and marks it as up in the market, unless the cloud has been
// closed meanwhile.
func (c *cloud) bootMachine(m provider.Machine) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return
	}
	address, err := c.boot(m)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.log.Error("machine failed to boot", "machine", m.Name, "error", err)
		return
	}
	c.market.AgentUp(m.Name, address)
}

// delete ends machines at the controllers' request.
func (c *cloud) delete(now time.Time, body []byte) (int, any) {
	var names protocol.MachineNames
	if err := json.Unmarshal(body, &names); err != nil || len(names.Machines) > 100 {
		return http.StatusBadRequest, protocol.ErrorResponse{Error: "malformed"}
	}
	_, effects := c.market.Delete(names.Machines)
	c.remove(effects.End)
	for _, name := range effects.End {
		c.market.MachineEnded(now, name)
	}
	return http.StatusOK, struct{}{}
}

// machinesLost records in the market that machines have ended without a request to delete them.
func (c *cloud) machinesLost(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		c.market.MachineEnded(time.Now(), name)
	}
}
