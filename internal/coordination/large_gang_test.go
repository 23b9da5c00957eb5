package coordination

import (
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

// countDone returns the number of a job's tasks that are done.
func (u *simUser) countDone() (done int) {
	for _, d := range u.done {
		if d {
			done++
		}
	}
	return done
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
