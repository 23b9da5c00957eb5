package coordination

import (
	"fmt"
	"testing"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/job"
)

// newLargeDeploymentSim returns a simulation of a deployment of five controllers and some hundred machines, with
// the limits of a real state service.
func newLargeDeploymentSim(t testing.TB, seed uint64) *sim {
	t.Helper()
	s := newSim(t, seed, 0)
	s.facts.Workers.Heartbeat = 4
	s.facts.State = config.State{RPS: 250, WriteRPS: 100, ValueKB: 16, TxnOps: 12}
	s.facts.Cloud = config.Cloud{RPS: 5, ListLag: 8}
	s.facts.Teams = []config.Team{{Name: "red", GPUs: 100, GPUsMax: 500}, {Name: "blue", GPUs: 200, GPUsMax: 5000}}
	s.state.eventHistory = 10_000
	s.state.pageSize = 1000
	s.cloud.pageSize = 500
	for k := range s.cloud.capacity {
		s.cloud.capacity[k] = map[string]int{"small": 45, "large": 8}[k.machineType]
	}
	for i := 3; i < 5; i++ {
		n := newSimController(s, i)
		s.controllers = append(s.controllers, n)
		s.after(s.randomMillis(0, 500), n.start)
	}
	s.facts.Count = 5
	s.advertised = s.facts
	return s
}

// submitLargeLoad submits services at once, and arrays and gangs until the given time.
func (s *sim) submitLargeLoad(until time.Duration) { s.submitLargeLoadFrom(0, until) }

// submitLargeLoadFrom does the same as submitLargeLoad with job numbers above n.
func (s *sim) submitLargeLoadFrom(n int, until time.Duration) {
	spec := func(shape job.Shape, class string, p job.Priority, tasks int) *job.Spec {
		n++
		return &job.Spec{ID: fmt.Sprintf("wk-%06d", n), Class: class, Team: []string{"red", "blue"}[s.random.IntN(2)], Shape: shape, Priority: p,
			Tasks: tasks, CPUs: 4, GPUs: 1, MemoryGB: 8}
	}
	for range 40 {
		sp := spec(job.Service, "svc", job.Production, 2+s.random.IntN(4))
		sp.Spread = true
		s.submit(sp, 0, s.randomMillis(60_000, 600_000))
	}
	var next func()
	next = func() {
		if s.now > until {
			return
		}
		switch s.random.IntN(8) {
		case 0:
			sp := spec(job.Gang, "gng", job.High, 1+s.random.IntN(4))
			sp.CPUs = 50
			sp.GPUs = 8
			sp.OneZone = true
			sp.MachineTypes = []string{"large"}
			s.submit(sp, 20, 0)
		default:
			sp := spec(job.Array, "arr", job.Normal, 20+s.random.IntN(60))
			sp.Spot = true
			s.submit(sp, 10+20*s.random.Float64(), 0)
		}
		s.after(s.randomMillis(500, 4500), next)
	}
	next()
}

// TestLargeDeploymentWithBulkFailures simulates bulk failures in a deployment of hundreds of machines: dozens of
// machines hang, the cloud takes back a third of the spot machines, and all controllers crash. No
// rule may be broken, and all jobs must end.
func TestLargeDeploymentWithBulkFailures(t *testing.T) {
	s := newLargeDeploymentSim(t, 31)
	s.submitLargeLoad(150 * time.Second)
	s.after(60*time.Second, func() {
		for i, w := range s.cloud.sortedMachines() {
			if i%16 == 0 {
				w.hungUntil = s.now + 40*time.Second
			}
		}
	})
	s.after(90*time.Second, func() {
		for i, w := range s.cloud.sortedMachines() {
			if w.spot && i%3 == 0 {
				w.die()
				w.preempted = true
				name := w.name
				s.after(30*time.Second, func() { delete(s.cloud.machines, name) })
			}
		}
	})
	s.after(110*time.Second, func() {
		for _, n := range s.controllers {
			n.crash(3 * time.Second)
		}
	})
	s.run(150 * time.Second)
	up := len(s.cloud.sortedMachines())
	done := 0
	tasks := 0
	for _, u := range s.users {
		tasks += len(u.done)
		done += u.countDone()
	}
	var total Stats
	for _, n := range s.controllers {
		total.Conflicts += n.core.Stats.Conflicts
		total.Claims += n.core.Stats.Claims
	}
	t.Logf("%d machines, %d of %d tasks done, %d starts, %d conflicts, %d claims, %d refused", up, done, tasks, s.counts.taskStarts, total.Conflicts, total.Claims, s.state.throttled)
	if up < 200 {
		t.Errorf("only %d machines are rented, want 200", up)
	}
	s.finish(t, 160*time.Second)
	s.reportViolations(t)
}

// TestIdleControllerSleeps guards against wasting the processor time of small machines: a
// controller with nothing to do must be woken for its sweeps only, not at a fixed interval.
func TestIdleControllerSleeps(t *testing.T) {
	s := newSim(t, 5, 0)
	s.run(20 * time.Second)
	before := map[string]int{}
	for _, n := range s.controllers {
		before[n.name] = n.tickCount
	}
	s.run(50 * time.Second)
	for _, n := range s.controllers {
		sweeps := int(30 * time.Second / n.core.sweepPeriod())
		if ticks := n.tickCount - before[n.name]; ticks > sweeps*5/4 {
			t.Errorf("%s: %d ticks for %d sweeps", n.name, ticks, sweeps)
		}
	}
}

// TestZoneThatIsCutOffKeepsItsMachines guards against deleting the machines of a zone that has no
// controller and can't be reached for less than a lease: its machines must be kept and its tasks
// go on, while a few silent machines elsewhere are deleted.
func TestZoneThatIsCutOffKeepsItsMachines(t *testing.T) {
	s := newLargeDeploymentSim(t, 37)
	s.submitLargeLoad(120 * time.Second)
	s.run(100 * time.Second)
	cutOff := map[string]bool{} // machines of the zone
	single := map[string]bool{} // silent machines elsewhere
	for _, w := range s.cloud.sortedMachines() {
		switch {
		case w.zone == "c":
			cutOff[w.name] = true
			w.hungUntil = s.now + 15*time.Second
		case len(single) < 3 && len(w.tasks) > 0:
			single[w.name] = true
			w.hungUntil = s.now + 60*time.Second
		}
	}
	s.run(120 * time.Second)
	remaining := 0
	drainedAsSilent := 0
	for name := range cutOff {
		if s.cloud.machines[name] != nil {
			remaining++
		}
		if s.state.drainWrites[keyDrain+name] > 0 && s.controllers[0].core.machines.drains[name].Reason == drainSilent {
			drainedAsSilent++
		}
	}
	t.Logf("%d machines in the zone that was cut off, %d remain", len(cutOff), remaining)
	if len(cutOff) < 20 || remaining < len(cutOff)*3/4 || drainedAsSilent > 0 {
		t.Errorf("%d machines were cut off, %d remain, %d were drained as silent", len(cutOff), remaining, drainedAsSilent)
	}
	for name := range single {
		if s.cloud.machines[name] != nil {
			t.Errorf("%s was not deleted although it is silent while other machines of its zone are not", name)
		}
	}
	s.finish(t, 160*time.Second)
	s.reportViolations(t)
}

// TestWorkersOfASilentControllerAreClaimedInTime guards against tasks that are killed by their leases
// when a controller falls silent without refusing connections. Its workers turn to other
// controllers a heartbeat period and a response timeout later, and must not be told then to
// wait for its return.
func TestWorkersOfASilentControllerAreClaimedInTime(t *testing.T) {
	ended := 0 // leases that ended
	owned := 0
	for seed := uint64(51); seed < 54; seed++ {
		s := newLargeDeploymentSim(t, seed)
		s.submitLargeLoad(120 * time.Second)
		s.run(100 * time.Second)
		epochs := map[string]uint64{}
		for _, w := range s.cloud.sortedMachines() {
			epochs[w.name] = w.agentEpoch
		}
		n := s.controllers[0]
		owned += len(n.core.machines.own)
		for _, link := range []string{"workers", "peers", "state", "users"} {
			n.unreachableUntil[link] = s.now + 30*time.Second
		}
		s.run(128 * time.Second)
		for _, w := range s.cloud.sortedMachines() {
			if w.agentEpoch > epochs[w.name] && epochs[w.name] > 0 {
				ended++
			}
		}
		s.finish(t, 160*time.Second)
		s.reportViolations(t)
	}
	t.Logf("%d of %d leases ended", ended, owned)
	if ended*20 > owned {
		t.Errorf("%d of %d leases ended, want at most a twentieth", ended, owned)
	}
}
