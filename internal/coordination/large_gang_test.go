package coordination

import (
	"fmt"
	"testing"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/job"
)

// newGangSim returns a simulated day on which the cloud has machines with 64 processors and nothing else, the
// given number in each of two zones, and gangs wait for a minute for their tasks.
func newGangSim(t *testing.T, seed uint64, machinesPerZone int) *sim {
	s := newSim(t, seed, 0)
	s.facts.Teams = []config.Team{{Name: "red", CPUsMax: 2000}, {Name: "blue"}}
	s.advertised = s.facts
	s.options.gangsWait = true
	clear(s.cloud.capacity)
	for _, zone := range []string{"a", "b"} {
		s.cloud.capacity[offering{"large", zone, true}] = machinesPerZone
	}
	return s
}

// largeGang returns a gang of several pages, of tasks with two processors each.
func largeGang(tasks int, change func(*job.Spec)) *job.Spec {
	spec := &job.Spec{ID: "wk-700000", Class: "gng", Team: "red", Shape: job.Gang, Tasks: tasks, Priority: job.High, CPUs: 2, MemoryGB: 1, Spot: true}
	if change != nil {
		change(spec)
	}
	return spec
}

// TestGangOfSeveralPagesStarts guards against a gang of more than 256 tasks that never starts, as machines
// were rented for two pages of its tasks at most: it is the only job, and must run on a fleet that holds it.
func TestGangOfSeveralPagesStarts(t *testing.T) {
	for _, test := range []struct {
		name  string
		spec  *job.Spec
		zones int // machines in each
	}{
		{"alone", largeGang(300, nil), 8},
		{"in one zone", largeGang(300, func(spec *job.Spec) { spec.OneZone = true }), 12},
		{"spread over zones", largeGang(300, func(spec *job.Spec) { spec.Spread = true }), 8},
		{"of a team without limits", largeGang(300, func(spec *job.Spec) { spec.Team = "blue" }), 8},
		{"in one zone, of a team without limits", largeGang(300, func(spec *job.Spec) { spec.Team, spec.OneZone = "blue", true }), 12},
		{"on more machines than a transaction names", largeGang(130, func(spec *job.Spec) { spec.CPUs = 60 }), 70},
		{"of ten pages", largeGang(1250, func(spec *job.Spec) { spec.CPUs = 0.8 }), 12},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if test.spec.CPUs > 30 {
				test.spec.Team = "blue"
			}
			s := newGangSim(t, 69_200, test.zones)
			u := s.submit(test.spec, 5, 0)
			s.run(2 * time.Minute)
			if done := u.countDone(); done < test.spec.Tasks {
				t.Errorf("%d of %d tasks are done, %d have started", done, test.spec.Tasks, u.tasksStarted)
				s.logJob(t, test.spec.ID)
			}
			s.reportViolations(t)
		})
	}
}

// takeMachines has the cloud take back a share of its machines that are up, without notice. They can be rented again.
func (s *sim) takeMachines(share float64) {
	machines := s.cloud.sortedMachines()
	for _, w := range machines[:int(share*float64(len(machines)))] {
		w.die()
		w.preempted = true
		delete(s.cloud.machines, w.name)
		s.cloud.capacity[offering{w.machineType, w.zone, w.spot}]++
	}
}

// TestGangOfSeveralPagesStartsAgain guards against a gang of more than 256 tasks that is not started again after a
// wave of preemptions: machines must be rented for all its tasks again.
func TestGangOfSeveralPagesStartsAgain(t *testing.T) {
	s := newGangSim(t, 69_300, 8)
	u := s.submit(largeGang(300, nil), 40, 0)
	s.run(40 * time.Second)
	if u.gangsStarted != 1 {
		t.Fatalf("the gang has started %d times within 40 s", u.gangsStarted)
	}
	s.takeMachines(0.28)
	s.run(4 * time.Minute)
	if done := u.countDone(); done < 300 || u.gangsStarted != 2 {
		t.Errorf("%d tasks are done, the gang has started %d times, want 2", done, u.gangsStarted)
	}
	s.reportViolations(t)
}

// TestGangsOfSeveralPagesSurviveFaults guards against gangs that stay placed in part when some of their
// transactions fail or lose their answers, as machines and controllers fail: once the faults are over, all gangs must
// have run, and no rule may be broken.
func TestGangsOfSeveralPagesSurviveFaults(t *testing.T) {
	runSeeds(t, 69_400, 6, func(t *testing.T, seed uint64) {
		s := newGangSim(t, seed, 14)
		s.traceDay(t, seed)
		s.faults.messageLoss = 0.03
		s.options.skipLaunchOrderCheck = true
		for i, change := range []func(*job.Spec){nil, func(spec *job.Spec) { spec.OneZone = true }, func(spec *job.Spec) { spec.Spread = true }, func(spec *job.Spec) { spec.Team, spec.CPUs = "blue", 4 }} {
			spec := largeGang(200+60*i, change)
			spec.ID = fmt.Sprintf("wk-70000%d", i)
			s.after(s.randomMillis(0, 60_000), func() { s.submit(spec, 5, 0) })
		}
		s.submitLowArrays(2)
		for id := range s.users {
			s.users[id].runtimeS = 20
		}
		s.injectFaults(2 * time.Minute)
		s.run(2 * time.Minute)
		s.cloud.capacity[offering{"small", "c", false}] = 20 // for the arrays, which need accelerators
		s.finish(t, 3*time.Minute)
		s.reportViolations(t)
	})
}

// rentedSeconds returns the time for which machines have been rented so far, in seconds.
func (s *sim) rentedSeconds() float64 {
	total := s.cloud.deletedMachineS
	for _, w := range s.cloud.machines {
		total += (s.now - w.rentedAt).Seconds()
	}
	return total
}

// TestGangThatFitsNowhereCostsLittle guards against machines that are rented, kept and paid for although the
// cloud has too few for a gang. Within an hour the gang may cost a tenth of the machines that the cloud has; work
// that fits runs beside it, and the gang starts once the cloud has enough.
func TestGangThatFitsNowhereCostsLittle(t *testing.T) {
	const machines = 16
	s := newGangSim(t, 69_500, machines/2)
	u := s.submit(largeGang(800, nil), 5, 0)
	s.run(time.Hour)
	if cost, limit := s.rentedSeconds(), 0.1*machines*time.Hour.Seconds(); cost > limit || u.tasksStarted > 0 {
		t.Errorf("%d tasks have started; machines were rented for %.0f s, the bound is %.0f s", u.tasksStarted, cost, limit)
	}
	array := s.submit(&job.Spec{ID: "wk-800000", Class: "arr", Team: "blue", Shape: job.Array, Tasks: 20, Priority: job.Low, CPUs: 2, MemoryGB: 1, Spot: true}, 5, 0)
	s.run(time.Hour + 2*time.Minute)
	if done := array.countDone(); done < 20 {
		t.Errorf("%d of 20 tasks of an array beside the gang are done after 2 minutes", done)
	}
	for offer := range s.cloud.capacity {
		s.cloud.capacity[offer] += 8
	}
	s.run(2 * time.Hour)
	if done := u.countDone(); done < 800 {
		t.Errorf("the cloud has had enough machines for an hour, but %d of 800 tasks of the gang are done", done)
	}
	t.Logf("rented for %.0f s", s.rentedSeconds())
	s.reportViolations(t)
}

// TestPartlyPlacedGangIsCompleted guards against a gang whose tasks wait in vain for those whose placement failed:
// after the first of several transactions, a machine that a later one names is drained. The rest of the gang must be
// placed elsewhere with the same attempt number.
func TestPartlyPlacedGangIsCompleted(t *testing.T) {
	s := newGangSim(t, 69_600, 70)
	s.facts.Workers.GangWait = 60
	s.advertised = s.facts
	u := s.submit(largeGang(130, func(spec *job.Spec) { spec.Team, spec.CPUs = "blue", 60 }), 5, 0)
	drained := ""
	for s.now < 3*time.Minute && drained == "" {
		s.run(s.now + time.Millisecond)
		for _, n := range s.controllers {
			if n.core == nil || n.core.jobs.byID[u.spec.ID] == nil {
				continue
			}
			r := n.core.jobs.byID[u.spec.ID]
			if last := r.reservations[n.core.tasksPerPage()-1]; r.bound > 0 && last != nil {
				drained = last.machine // it is named by the last transaction of the first page
			}
		}
	}
	if drained == "" {
		t.Fatal("the gang was never placed in part")
	}
	s.state.apply(keyDrain+drained, encode(drainRecord{Reason: drainIdle}), 0, s.state.revision+1)
	s.state.revision++
	s.run(s.now + 2*time.Minute)
	if done := u.countDone(); done < 130 || u.gangsStarted != 1 {
		t.Errorf("%d of 130 tasks are done, the gang has started %d times", done, u.gangsStarted)
	}
	for _, n := range s.controllers {
		if attempt := n.core.jobs.byID[u.spec.ID].lastAttempt; attempt != 1 {
			t.Errorf("%s: the gang needed %d attempts", n.name, attempt)
		}
	}
	s.reportViolations(t)
}

// fillWithLowArrays submits four arrays of 300 tasks of low priority that run for an hour, and lets them start.
func (s *sim) fillWithLowArrays(team string, cpus float64) {
	for i := range 4 {
		s.submit(&job.Spec{ID: fmt.Sprintf("wk-80000%d", i), Class: "arr", Team: team, Shape: job.Array, Tasks: 300, Priority: job.Low,
			CPUs: cpus, MemoryGB: 1, Spot: true}, 3600, 0)
	}
	s.run(time.Minute)
}

// TestGangGetsManyTasksOfAMachineCleared guards against a gang that waits for ever while work of lower priority fills
// the machines, as only room for one of its tasks was made on each: the gang needs many tasks' room on each.
func TestGangGetsManyTasksOfAMachineCleared(t *testing.T) {
	s := newGangSim(t, 69_700, 8)
	s.fillWithLowArrays("blue", 2)
	u := s.submit(largeGang(300, nil), 5, 0)
	s.run(s.now + time.Minute)
	if u.gangsStarted != 1 {
		t.Errorf("the gang has started %d times within a minute", u.gangsStarted)
	}
	s.reportViolations(t)
}

// TestLargeGangGetsItsTeamsLimit guards against a gang of hundreds of tasks that never starts while work of lower
// priority uses its team's limit, as one task of it was stopped at a time: what was stopped while the limit was saved for
// the gang was not enough, and was started again afterwards.
func TestLargeGangGetsItsTeamsLimit(t *testing.T) {
	s := newGangSim(t, 69_800, 12)
	s.facts.Teams[0].CPUsMax = 700
	s.fillWithLowArrays("red", 0.7)
	u := s.submit(largeGang(800, func(spec *job.Spec) { spec.CPUs = 0.7 }), 5, 0)
	s.run(s.now + 5*time.Minute)
	if u.gangsStarted != 1 {
		t.Errorf("the gang has started %d times within five minutes", u.gangsStarted)
	}
	s.reportViolations(t)
}

// TestGangAvoidsTheMachineItFailedOn guards against a gang that fails with every attempt on the same faulty
// machine, which counts as faulty only once several jobs have failed there: the gang must run on other machines.
func TestGangAvoidsTheMachineItFailedOn(t *testing.T) {
	s := newGangSim(t, 69_900, 4)
	s.faults.quickBoots = true
	u := s.submit(largeGang(128, nil), 5, 0)
	for s.now < time.Minute && len(s.cloud.machines) < 4 {
		s.run(s.now + 10*time.Millisecond)
	}
	s.cloud.sortedMachines()[1].faulty = true
	s.run(2 * time.Minute)
	if done := u.countDone(); done < 128 || u.failures == 0 {
		t.Errorf("%d of 128 tasks are done, %d failed on the faulty machine", done, u.failures)
	}
	s.reportViolations(t)
}
