package provider

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
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
	t       *testing.T
	cfg     Config
	address string
	pool    *transport.Pool
}

// newCloud returns a cloud, which does not serve yet, whose machines have certificates, so that
// their starts take time: certificates are issued one after the other.
func newCloud(t *testing.T) *cloud {
	t.Helper()
	dir := t.TempDir()
	c := &cloud{t: t, cfg: testConfig(filepath.Join(dir, "cloud")), pool: transport.NewPool(8)}
	c.cfg.Authority = filepath.Join(dir, "authority")
	if _, err := identity.Init(c.cfg.Authority, "test", time.Now()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.killAgents)
	return c
}

// serve runs the cloud's provider until the test ends.
func (c *cloud) serve() {
	c.t.Helper()
	provider, err := Open(c.cfg, os.Args[0], quiet)
	if err != nil {
		c.t.Fatal(err)
	}
	ready, ended := make(chan string, 1), make(chan error, 1)
	go func() { ended <- provider.Run(func(a net.Addr) { ready <- a.String() }) }()
	c.t.Cleanup(func() {
		provider.Stop()
		if err := <-ended; err != nil {
			c.t.Error(err)
		}
	})
	c.address = <-ready
}

// startProcess starts the cloud's provider as a process of its own.
func (c *cloud) startProcess() *exec.Cmd {
	c.t.Helper()
	cmd := providerCommand(c.cfg)
	c.address = startProvider(c.t, cmd)
	return cmd
}

// killAgents kills the agents of the cloud's machines.
func (c *cloud) killAgents() {
	for _, pid := range c.agentProcesses() {
		if p, err := os.FindProcess(pid); err == nil {
			_ = p.Kill()
		}
	}
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
	c := newCloud(t)
	c.cfg.Types[0].Zones = map[string]int{"a": maxRental}
	c.serve()
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
		c.killAgents()
	}
	if deletedWhileStarting == 0 {
		t.Error("no deletion met machines that were starting")
	}
	t.Logf("%d of 6 deletions met machines that were starting", deletedWhileStarting)
}

// TestAKilledProviderLeavesNoDeletedMachine guards against machines that go on after the 200 to
// their deletion because the provider was killed while they started or were ended.
func TestAKilledProviderLeavesNoDeletedMachine(t *testing.T) {
	c := newCloud(t)
	random := rand.New(rand.NewPCG(deletionSeed, 2))
	for round := range 8 {
		cmd := c.startProcess()
		var names protocol.MachineNames
		c.post(protocol.PathRentals, protocol.RentalRequest{RequestID: fmt.Sprint("r-", round), MachineType: "t", Zone: "a", Count: 3}, &names)
		time.Sleep(time.Duration(random.IntN(350)) * time.Millisecond)
		go func(address string) {
			_, _, _ = c.pool.Do(address, http.MethodPost, protocol.PathRentalsDelete, protocol.Encode(names), time.Second)
		}(c.address)
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		cmd = c.startProcess()
		c.post(protocol.PathRentalsDelete, names, nil)
		atAnswer := len(c.agentProcesses())
		time.Sleep(checkPeriod + 100*time.Millisecond)
		if later := len(c.agentProcesses()); atAnswer+later > 0 {
			t.Errorf("round %d: of 3 deleted machines %d have a process at the answer, and %d later", round, atAnswer, later)
		}
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}
