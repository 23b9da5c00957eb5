package provider

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"silvergate/internal/agent"
	"silvergate/internal/identity"
	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

// deletionSeed determines the moments of the deletions.
const deletionSeed = 54

// cloud is a provider that serves, and a client of it.
type cloud struct {
	t        *testing.T
	cfg      Config
	provider *Provider
	address  string
	pool     *transport.Pool
}

// startCloud starts a provider whose machines have certificates, so that their starts take
// time: certificates are issued one after the other.
func startCloud(t *testing.T) *cloud {
	t.Helper()
	dir := t.TempDir()
	c := &cloud{t: t, cfg: testConfig(filepath.Join(dir, "cloud")), pool: transport.NewPool(8)}
	c.cfg.Authority = filepath.Join(dir, "authority")
	if _, err := identity.Init(c.cfg.Authority, "test", time.Now()); err != nil {
		t.Fatal(err)
	}
	c.cfg.Types[0].Zones = map[string]int{"a": maxRental}
	var err error
	if c.provider, err = Open(c.cfg, os.Args[0], quiet); err != nil {
		t.Fatal(err)
	}
	ready, ended := make(chan string, 1), make(chan error, 1)
	go func() { ended <- c.provider.Run(func(a net.Addr) { ready <- a.String() }) }()
	t.Cleanup(func() {
		for _, pid := range c.agentProcesses() {
			if p, err := os.FindProcess(pid); err == nil {
				_ = p.Kill()
			}
		}
		c.provider.Stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	c.address = <-ready
	return c
}

// post sends a request and decodes the answer, which must have status 200.
func (c *cloud) post(path string, body, answer any) {
	c.t.Helper()
	r, _, err := c.pool.Do(c.address, http.MethodPost, path, protocol.Encode(body), 20*time.Second)
	if err == nil && r.Status != http.StatusOK {
		err = fmt.Errorf("status %d: %s", r.Status, r.Body)
	}
	if err == nil && answer != nil {
		err = json.Unmarshal(r.Body, answer)
	}
	if err != nil {
		c.t.Fatalf("%s: %v", path, err)
	}
}

// agentProcesses returns the numbers of the processes that run as agents of the cloud's machines.
func (c *cloud) agentProcesses() (pids []int) {
	files, _ := filepath.Glob("/proc/[0-9]*/cmdline")
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil || !bytes.Contains(raw, []byte(filepath.Join(c.cfg.Dir, machinesDir))) {
			continue
		}
		var pid int
		if _, err := fmt.Sscanf(file, "/proc/%d/cmdline", &pid); err == nil {
			pids = append(pids, pid)
		}
	}
	return pids
}

// TestMachinesDeletedWhileTheyStartAreGone guards against machines that come up after the cloud's
// 200 to their deletion, run programs and can't be deleted any more.
func TestMachinesDeletedWhileTheyStartAreGone(t *testing.T) {
	c := startCloud(t)
	random := rand.New(rand.NewPCG(deletionSeed, 1))
	deletedWhileStarting := 0
	for round := range 6 {
		var names protocol.MachineNames
		c.post(protocol.PathRentals, protocol.RentalRequest{RequestID: fmt.Sprint("r-", round), MachineType: "t", Zone: "a", Count: 30}, &names)
		time.Sleep(checkPeriod + time.Duration(random.IntN(200))*time.Millisecond)
		up, _ := filepath.Glob(filepath.Join(c.cfg.Dir, machinesDir, "*", agent.AddressFile))
		if len(up) < len(names.Machines) {
			deletedWhileStarting++
		}
		c.post(protocol.PathRentalsDelete, names, nil)
		atAnswer := len(c.agentProcesses())
		time.Sleep(300 * time.Millisecond)
		later := len(c.agentProcesses())
		folders, _ := os.ReadDir(filepath.Join(c.cfg.Dir, machinesDir))
		if atAnswer+later+len(folders) > 0 {
			t.Errorf("round %d: of 30 deleted machines %d have a process at the answer, %d 0.3 s later, and %d a folder", round, atAnswer, later, len(folders))
		}
		for _, pid := range c.agentProcesses() {
			if p, err := os.FindProcess(pid); err == nil {
				_ = p.Kill()
			}
		}
	}
	if deletedWhileStarting == 0 {
		t.Error("no deletion met machines that were starting")
	}
	t.Logf("%d of 6 deletions met machines that were starting", deletedWhileStarting)
}
