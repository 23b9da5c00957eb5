package provider

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
	"pgregory.net/rapid"

	"silvergate/internal/agent"
	"silvergate/internal/checksum"
	"silvergate/internal/conformance"
	"silvergate/internal/proc"
	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// TestMain also runs the test binary as the program under test: as an agent, which here only
// writes its address and waits, or as a provider that a test can kill.
func TestMain(m *testing.M) {
	if len(os.Args) > 2 && os.Args[1] == "agent" {
		if proc.WaitForRelease() != nil {
			os.Exit(1)
		}
		raw, err := os.ReadFile(os.Args[3])
		var cfg agent.Config
		if err == nil {
			err = yaml.Unmarshal(raw, &cfg)
		}
		if err == nil {
			err = os.WriteFile(filepath.Join(cfg.Dir, agent.AddressFile), []byte("127.0.0.1:9"), 0o600)
		}
		if err != nil {
			os.Exit(1)
		}
		time.Sleep(time.Minute)
		os.Exit(0)
	}
	if dir := os.Getenv("PROVIDER_DIR"); dir != "" {
		cfg := testConfig(dir)
		cfg.Authority = os.Getenv("PROVIDER_AUTHORITY")
		p, err := Open(cfg, os.Args[0], quiet)
		if err == nil {
			err = p.Run(func(a net.Addr) { fmt.Println(a) })
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	_ = flag.Set("rapid.seed", "20261201") // so that a result can be reproduced
	os.Exit(m.Run())
}

func testConfig(dir string) Config {
	c := DefaultConfig()
	c.Listen, c.Dir, c.RPS = "127.0.0.1:0", dir, 1000
	c.Types = []MachineType{{Name: "t", CPUs: 1, MemoryGB: 1, LocalGB: 1, ImagePullGBPerS: 1, OnDemandPrice: 1, Zones: map[string]int{"a": 3, "b": 2}}}
	c.Agent.Controllers = []agent.Controller{{Name: "n", Address: "127.0.0.1:1"}}
	return c
}

// TestMarketInvariants plays random rentals, deletions, agent deaths and restarts. No name may be
// used twice, no machine may be started or ended twice, start too early or outlive its
// preemption, no zone may exceed its capacity, and a repeated request gets the same answer.
func TestMarketInvariants(t *testing.T) {
	types := testConfig("/").Types
	types[0].StartupS = 1
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1e12)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		spot := Spot{MeanLifetimeS: 20, NoticeS: 5}
		rentals, machines := map[string]RentalRecord{}, map[string]Machine{} // as stored
		next := uint64(0)
		m := NewMarket(types, spot, 5, nil, nil, 0, rnd)
		answers, names := map[string][]string{}, map[string]bool{}
		started, ending, noticed := map[string]bool{}, map[string]bool{}, map[string]bool{}
		store := func(e Effects) {
			for _, x := range e.Store {
				machines[x.Name] = *x
			}
			if e.Rental != nil {
				rentals[e.Rental.Name], next = *e.Rental, m.next
			}
			for _, n := range e.Start {
				if started[n] || ending[n] {
					t.Fatalf("%s started twice, or while being ended", n)
				}
				if x := machines[n]; now.UnixMilli() < x.RentedMS+1000 {
					t.Fatalf("%s started before its startup time was over", n)
				}
				started[n] = true
			}
			for _, n := range e.Notice {
				noticed[n] = true
			}
			for _, n := range e.End {
				if ending[n] {
					t.Fatalf("%s ended twice", n)
				}
				ending[n] = true
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			all := m.names()
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				r := protocol.RentalRequest{RequestID: fmt.Sprint("h", rapid.IntRange(0, 12).Draw(t, "hire")), MachineType: "t",
					Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "depot"), Spot: rapid.Bool().Draw(t, "casual"), Count: rapid.IntRange(1, 4).Draw(t, "number")}
				got, e, err := m.Rent(now, r)
				store(e)
				old, known := answers[r.RequestID]
				switch {
				case known && (err != nil || !slices.Equal(old, got) || e.Rental != nil):
					t.Fatalf("a repeated request got %v %v instead of %v", got, err, old)
				case known:
				case err == nil:
					for _, n := range got {
						if names[n] {
							t.Fatalf("name %s was used twice", n)
						}
						names[n] = true
					}
					answers[r.RequestID] = got
				case r.Zone != "c" && !errors.Is(err, ErrNoCapacity):
					t.Fatal(err)
				}
			case 2:
				if len(all) > 0 {
					_, e := m.Delete([]string{rapid.SampledFrom(all).Draw(t, "name"), "unknown"})
					store(e)
				}
			case 3:
				for _, n := range all {
					if ending[n] && rapid.Bool().Draw(t, "gone") {
						m.MachineEnded(now, n)
						delete(machines, n)
						delete(started, n)
						delete(ending, n)
					}
				}
			case 4:
				if len(all) > 0 {
					n := rapid.SampledFrom(all).Draw(t, "name")
					store(m.AgentDied(now, n))
					if !ending[n] {
						delete(started, n)
					}
				}
			case 5: // the provider was killed: only the stored records are left
				var hs []*RentalRecord
				for _, h := range rentals {
					hs = append(hs, &h)
				}
				var ms []*Machine
				for _, x := range machines {
					ms = append(ms, &x)
				}
				m = NewMarket(types, spot, 5, hs, ms, next, rnd)
				for n := range started {
					m.AgentUp(n, "x")
				}
			}
			store(m.Tick(now))
			for z, capacity := range types[0].Zones {
				if n := m.occupied("t", z); n > capacity {
					t.Fatalf("%d machines in zone %s, which has capacity for %d", n, z, capacity)
				}
			}
			for n, x := range machines {
				if x.PreemptionMS > 0 && now.UnixMilli() >= x.PreemptionMS && !ending[n] && !x.Failed {
					t.Fatalf("%s is past its preemption and is not being ended", n)
				}
			}
			l := m.List(now, "", 1<<20)
			if !slices.IsSortedFunc(l.Machines, func(a, b protocol.RentedMachine) int { return strings.Compare(a.Name, b.Name) }) {
				t.Fatal("the list is not sorted by name")
			}
		}
	})
}

// providerCommand returns the command that runs a provider as a process of its own, with the
// folder and the authority of a configuration.
func providerCommand(cfg Config) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "PROVIDER_DIR="+cfg.Dir, "PROVIDER_AUTHORITY="+cfg.Authority)
	cmd.Stderr = os.Stderr // shows why it did not start
	return cmd
}

// startProvider starts a provider's process and returns its address.
func startProvider(t *testing.T, cmd *exec.Cmd) (addr string) {
	t.Helper()
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fscanln(out, &addr); err != nil {
		t.Fatal(err)
	}
	return addr
}

// TestKilledProviderFindsItsMachines kills a provider while machines are up or coming up. The
// next provider must find the same agents, rent nothing for a repeated request, and finish a
// deletion that had begun.
func TestKilledProviderFindsItsMachines(t *testing.T) {
	dir := t.TempDir()
	pool := transport.NewPool(4)
	var cmd *exec.Cmd
	start := func() string {
		cmd = providerCommand(Config{Dir: dir})
		return startProvider(t, cmd)
	}
	kill := func() {
		cmd.Process.Kill()
		cmd.Wait()
	}
	agents := func() (out []proc.ID) {
		files, _ := filepath.Glob(filepath.Join(dir, machinesDir, "*", agentFile))
		for _, f := range files {
			raw, _ := os.ReadFile(f)
			var id proc.ID
			if json.Unmarshal(raw, &id) == nil && id.Alive() {
				out = append(out, id)
			}
		}
		return out
	}
	t.Cleanup(func() {
		kill()
		for _, id := range agents() {
			endAgent(id)
		}
	})
	do := func(addr, method, path string, body any) (int, string) {
		var b []byte
		if body != nil {
			b = protocol.Encode(body)
		}
		r, _, err := pool.Do(addr, method, path, b, 10*time.Second)
		if err != nil {
			return 0, err.Error()
		}
		return r.Status, string(r.Body)
	}
	running := func(addr string, want int) {
		t.Helper()
		for until := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			_, body := do(addr, "GET", protocol.PathRentals+"?from=&page=500", nil)
			if strings.Count(body, `"running"`) == want && len(agents()) == want {
				return
			}
			if time.Now().After(until) {
				t.Fatalf("%d agents, list %s; expected %d", len(agents()), body, want)
			}
		}
	}
	addr := start()
	rent := protocol.RentalRequest{RequestID: "r-1", MachineType: "t", Zone: "a", Count: 2}
	st, first := do(addr, "POST", protocol.PathRentals, rent)
	if st != 200 {
		t.Fatal(st, first)
	}
	kill() // before any agent is up
	addr = start()
	running(addr, 2)
	before := agents()
	kill()
	addr = start()
	if st, again := do(addr, "POST", protocol.PathRentals, rent); st != 200 || again != first {
		t.Fatalf("the repeated request got %d %s, the first %s", st, again, first)
	}
	running(addr, 2)
	if now := agents(); !slices.Equal(now, before) {
		t.Fatalf("agents %v, before %v", now, before)
	}
	// An agent that dies while no provider runs is replaced.
	kill()
	endAgent(before[0])
	addr = start()
	running(addr, 2)
	// The provider is killed right after a deletion is requested.
	var names protocol.MachineNames
	_ = json.Unmarshal([]byte(first), &names)
	go do(addr, "POST", protocol.PathRentalsDelete, names)
	time.Sleep(3 * time.Millisecond)
	kill()
	addr = start()
	if st, body := do(addr, "POST", protocol.PathRentalsDelete, names); st != 200 {
		t.Fatal(st, body)
	}
	if left := agents(); len(left) > 0 {
		t.Fatalf("agents left after the answer: %v", left)
	}
	if st, again := do(addr, "POST", protocol.PathRentals, rent); st != 200 || again != first {
		t.Fatalf("the repeated request got %d %s after the end of its machines", st, again)
	}
	running(addr, 0)
	for body, want := range map[string]string{`{}`: "hire", `{"hire":"a","rig":"t","depot":"a","casual":false,"number":51}`: "number",
		`[]`: "object", `{"hire":"a","rig":"u","depot":"a","casual":false,"number":1}`: "rig"} {
		if r, _, err := pool.Do(addr, "POST", protocol.PathRentals, []byte(body), time.Second); err != nil || r.Status != 400 || !strings.Contains(string(r.Body), want) {
			t.Errorf("%s: %+v %v", body, r, err)
		}
	}
}

// TestConformsToProtocol runs the conformance tests of the protocol's cloud interface.
func TestConformsToProtocol(t *testing.T) {
	conformance.Run(t, conformance.Cloud, true, func(t *testing.T) conformance.Target {
		cfg := testConfig(t.TempDir())
		cfg.Types = []MachineType{{Name: "small", CPUs: 1, MemoryGB: 1, LocalGB: 1, ImagePullGBPerS: 1, OnDemandPrice: 1, StartupS: 100, Zones: map[string]int{"a": 2, "b": 1}}}
		p, err := Open(cfg, os.Args[0], quiet)
		if err != nil {
			t.Fatal(err)
		}
		ready, ended := make(chan string, 1), make(chan error, 1)
		go func() { ended <- p.Run(func(a net.Addr) { ready <- a.String() }) }()
		t.Cleanup(func() {
			p.Stop()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
		return conformance.HTTP{Address: <-ready, Second: time.Millisecond} // the list does not lag
	})
}

// TestDamagedFileIsReportedAndKept damages the provider's file in several ways. Open must return
// an error that names the file, and must not change the file.
func TestDamagedFileIsReportedAndKept(t *testing.T) {
	dir := t.TempDir()
	p, err := Open(testConfig(dir), os.Args[0], quiet)
	if err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	_, e, err := p.market.Rent(time.Now(), protocol.RentalRequest{RequestID: "h", MachineType: "t", Zone: "a", Count: 2})
	if err != nil || p.store(e) != nil {
		t.Fatal(err)
	}
	p.mu.Unlock()
	if err := p.db.Close(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, fileName)
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	at := strings.Index(string(good), `"stokers"`)
	if at < 0 {
		t.Fatal("the file holds no record")
	}
	for name, raw := range map[string][]byte{
		"changed": append(append(slices.Clone(good[:at]), 'X'), good[at+1:]...),
		"cleared": append(slices.Clone(good[:2*os.Getpagesize()]), make([]byte, len(good)-2*os.Getpagesize())...),
		"cut":     good[:os.Getpagesize()],
		"empty":   nil,
	} {
		// Each case has a folder of its own: a file that a panic leaves mapped stays locked.
		other := t.TempDir()
		file := filepath.Join(other, fileName)
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(testConfig(other), os.Args[0], quiet); !errors.Is(err, checksum.ErrDamaged) || !strings.Contains(err.Error(), file) {
			t.Errorf("%s: %v", name, err)
		}
		if now, _ := os.ReadFile(file); !slices.Equal(now, raw) {
			t.Errorf("%s: the file was written to", name)
		}
	}
}
