package coordination

import (
	"fmt"
	"testing"
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// TestMachineIsKeptForItsOutput guards against two faults: an idle machine is deleted while output
// of its tasks waits to be shipped, and a machine is kept for ever for its output. The machine is
// released by the archive's acknowledgement, when it stops announcing output, or at the deadline.
// The machine's own controller need not be the one that deletes machines.
func TestMachineIsKeptForItsOutput(t *testing.T) {
	for _, v := range []struct {
		name             string
		waits            time.Duration // how long the machine announces that output waits
		deadlineS        float64
		earliest, latest time.Duration // bounds of when it is deleted, from the end of its work
	}{
		{"nothing waits", 0, 200, 0, 70 * time.Second},
		{"until the archive's acknowledgement", 120 * time.Second, 200, 115 * time.Second, 160 * time.Second},
		{"until the deadline", 400 * time.Second, 100, 95 * time.Second, 180 * time.Second},
	} {
		t.Run(v.name, func(t *testing.T) {
			s := newSim(t, 5, 0)
			s.withOutput(simOutputOptions{holdS: v.deadlineS})
			user := s.submit(&job.Spec{ID: "wk-000001", Class: "one", Team: s.facts.Teams[0].Name, Shape: job.Array, Priority: job.High, Tasks: 1, CPUs: 1, MemoryGB: 1}, 20, 0)
			for i := 0; user.finalStatus != "done" && i < 200; i++ {
				s.run(s.now + time.Second)
			}
			if user.finalStatus != "done" {
				t.Fatal("the job is not done")
			}
			doneAt := s.now
			for _, w := range s.cloud.sortedMachines() {
				w.output.unshippedUntil = doneAt + v.waits
			}
			for len(s.cloud.sortedMachines()) > 0 && s.now < doneAt+300*time.Second {
				s.run(s.now + time.Second)
			}
			if took := s.now - doneAt; took < v.earliest || took > v.latest {
				t.Errorf("the machines were deleted after %v, want between %v and %v", took, v.earliest, v.latest)
			}
			s.reportViolations(t)
		})
	}
}

// outputDay is a day on which one machine runs a task whose output takes a while to be shipped.
type outputDay struct {
	*sim
	user   *simUser
	worker *simWorker
}

// newOutputDay runs a day, on which machines boot within about startupS, until the task runs.
func newOutputDay(t *testing.T, seed uint64, startupS float64, options simOutputOptions) *outputDay {
	t.Helper()
	s := newSim(t, seed, 0)
	s.withOutput(options)
	for name, machineType := range s.cloud.machineTypes {
		machineType.StartupS = startupS
		s.cloud.machineTypes[name] = machineType
	}
	day := &outputDay{sim: s}
	s.after(3*time.Second, func() {
		day.user = s.submit(&job.Spec{ID: "wk-000001", Class: "one", Team: s.facts.Teams[0].Name, Shape: job.Array, Priority: job.High, Tasks: 1, CPUs: 1, MemoryGB: 1, Spot: true}, 20, 0)
	})
	day.awaitCondition(t, "the task runs", func() bool {
		for _, w := range s.cloud.sortedMachines() {
			for _, task := range w.tasks {
				if task.status == protocol.TaskRunning {
					day.worker = w
				}
			}
		}
		return day.worker != nil
	})
	return day
}

// awaitCondition runs the day until a condition holds, for at most five minutes.
func (d *outputDay) awaitCondition(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := d.now + 5*time.Minute; !holds(); d.run(d.now + 20*time.Millisecond) {
		if d.now > limit {
			t.Fatalf("did not happen within five minutes: %s", what)
		}
	}
}

// awaitDone runs the day until the user has been told that the job is done.
func (d *outputDay) awaitDone(t *testing.T) {
	t.Helper()
	d.awaitCondition(t, "the job is done", func() bool { return d.user.finalStatus == "done" })
}

// awaitDeletion runs the day until the task's machine is gone, and returns how long after its last task.
func (d *outputDay) awaitDeletion(t *testing.T) time.Duration {
	t.Helper()
	d.awaitCondition(t, "the machine is deleted", func() bool { return d.cloud.machines[d.worker.name] == nil })
	return d.now - d.worker.output.lastEndAt
}

// restartControllers restarts all controllers one by one.
func (d *outputDay) restartControllers(interval time.Duration) {
	for i, n := range d.controllers {
		d.after(time.Duration(i)*interval, func() { n.crash(300 * time.Millisecond) })
	}
}

// outputDisruptions are the ways in which a machine with unshipped output comes to be drained, and what
// keeps the leader from hearing of the output. Each begins while the machine's task runs.
var outputDisruptions = []struct {
	name    string
	disrupt func(*outputDay)
}{
	{"idle", func(*outputDay) {}},
	{"preemption notice", func(d *outputDay) { d.worker.takeBack(80 * time.Second) }},
	{"faulty", func(d *outputDay) {
		for _, n := range d.controllers {
			c := n.core
			c.beginStep(n.clock())
			if m := c.machines.byID[d.worker.name]; m != nil && c.isOwn(m) {
				c.drainMachine(m, drainFaulty)
			}
			n.applyEffects(c.endStep())
		}
	}},
	{"no messages between controllers", func(d *outputDay) {
		for _, n := range d.controllers {
			n.unreachableUntil["peers"] = time.Hour
		}
	}},
	{"controllers restarted one by one", func(d *outputDay) { d.restartControllers(8 * time.Second) }},
	{"preemption notice, controllers restarted one by one", func(d *outputDay) {
		d.worker.takeBack(80 * time.Second)
		d.restartControllers(8 * time.Second)
	}},
	{"the leader is replaced at the end", func(d *outputDay) {
		d.after(20*time.Second, func() {
			if leader := d.fleetLeader(); leader != nil {
				leader.crash(30 * time.Second)
			}
		})
	}},
	{"the machine hangs after the end", func(d *outputDay) {
		d.after(20500*time.Millisecond, func() { d.worker.hungUntil = d.now + 9*time.Second })
	}},
	{"the agent is restarted after the end", func(d *outputDay) { d.after(22*time.Second, d.worker.restart) }},
}

// TestOutputOfEndedTasksIsShippedBeforeTheirMachineIsDeleted guards against the loss of files of a job that
// is done: whatever has a machine drained, it must not be deleted before its output is shipped, and it must
// be deleted soon after that.
func TestOutputOfEndedTasksIsShippedBeforeTheirMachineIsDeleted(t *testing.T) {
	const (
		shippingTime = 15 * time.Second
		holdS        = 70
		// latest is how long after the shipping a machine may be deleted: it is idle for three
		// quarters of its startup time, a leader is replaced or it hangs, and it is asked.
		latest = 45 * time.Second
	)
	for i, disruption := range outputDisruptions {
		for _, startupS := range []float64{0.5, 8} {
			for _, earlierAgents := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, startup %gs, earlier agents %v", disruption.name, startupS, earlierAgents), func(t *testing.T) {
					for seed := uint64(61_000 + 100*i); seed < uint64(61_003+100*i); seed++ {
						d := newOutputDay(t, seed, startupS, simOutputOptions{shippingTime: shippingTime, holdS: holdS, earlierAgents: earlierAgents})
						disruption.disrupt(d)
						d.awaitDone(t)
						if took := d.awaitDeletion(t); took < shippingTime || took > shippingTime+latest {
							t.Errorf("seed %d: the machine was gone %v after its last task, want %v to %v", seed, took, shippingTime, shippingTime+latest)
						}
						d.reportViolations(t)
					}
				})
			}
		}
	}
}

// TestASilentMachineWithUnshippedOutputIsNotDeletedForItsOtherTasks guards against the files of a job that is
// done, lost with their machine because it was silent for some seconds while another task was bound to it:
// the machine is deleted at once only if that task is urgent.
func TestASilentMachineWithUnshippedOutputIsNotDeletedForItsOtherTasks(t *testing.T) {
	for _, test := range []struct {
		name     string
		priority job.Priority
		kept     bool
	}{{"standard work is bound to it", job.Normal, true}, {"production work is bound to it", job.Production, false}} {
		t.Run(test.name, func(t *testing.T) {
			kept := 0
			for seed := uint64(61_800); seed < 61_806; seed++ {
				d := newOutputDay(t, seed, 8, simOutputOptions{shippingTime: 25 * time.Second, holdS: 70})
				// The second task shares the machine, and others keep further machines heard.
				d.submit(&job.Spec{ID: "wk-000002", Class: "arr", Team: "blue", Shape: job.Array, Priority: test.priority, Tasks: 100, CPUs: 2, MemoryGB: 1, Spot: true}, 70, 0)
				d.awaitDone(t)
				d.worker.hungUntil = d.now + 11*time.Second
				d.run(d.now + 20*time.Second)
				if d.cloud.machines[d.worker.name] != nil {
					kept++
				}
				d.reportViolations(t)
			}
			if (kept == 6) != test.kept {
				t.Errorf("the machine was kept on %d of 6 days", kept)
			}
		})
	}
}

// TestMachineIsHeldForAsLongAsTheSettingsSay guards against a machine that is kept for ever for its output,
// one that is given up before hold_s is over, and one that is held anew by each controller that is restarted.
func TestMachineIsHeldForAsLongAsTheSettingsSay(t *testing.T) {
	const holdS = 60
	for _, test := range []struct {
		name    string
		disrupt func(*outputDay)
	}{
		{"idle", func(*outputDay) {}},
		{"preemption notice", func(d *outputDay) { d.worker.takeBack(4 * time.Minute) }},
		{"controllers restarted one by one", func(d *outputDay) { d.restartControllers(8 * time.Second) }},
		{"controllers restarted one by one after the end", func(d *outputDay) {
			d.after(35*time.Second, func() { d.restartControllers(8 * time.Second) })
		}},
		{"preemption notice, controllers restarted one by one after the end", func(d *outputDay) {
			d.worker.takeBack(4 * time.Minute)
			d.after(35*time.Second, func() { d.restartControllers(8 * time.Second) })
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := uint64(61_900); seed < 61_904; seed++ {
				d := newOutputDay(t, seed, 8, simOutputOptions{shippingTime: time.Hour, holdS: holdS})
				test.disrupt(d)
				d.awaitDone(t)
				latest := seconds(holdS + 6*d.facts.Workers.Heartbeat)
				if took := d.awaitDeletion(t); took < seconds(holdS) || took > latest {
					t.Errorf("seed %d: the machine was deleted %v after its last task, want %vs to %v", seed, took, holdS, latest)
				}
				d.reportViolations(t)
			}
		})
	}
}

// TestMachinesWithoutUnshippedOutputGoAsEarlyAsWithoutAnArchive guards against machine-hours paid for output
// that does not wait: the machines of a day are rented for as long as on the same day without an archive.
func TestMachinesWithoutUnshippedOutputGoAsEarlyAsWithoutAnArchive(t *testing.T) {
	rentedFor := func(seed uint64, output *simOutputOptions) float64 {
		s := newSim(t, seed, 0)
		if output != nil {
			s.withOutput(*output)
		}
		for i := range 24 {
			s.after(time.Duration(2+7*i)*time.Second, func() {
				s.submit(&job.Spec{ID: fmt.Sprintf("wk-%06d", i), Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Normal, Tasks: 2, CPUs: 2, GPUs: 1, MemoryGB: 8}, 20, 0)
			})
		}
		s.run(7 * time.Minute)
		s.reportViolations(t)
		if left := len(s.cloud.machines); left > 0 {
			t.Errorf("seed %d: %d machines are left", seed, left)
		}
		return s.cloud.deletedMachineS
	}
	var without, with float64
	for seed := uint64(62_000); seed < 62_012; seed++ {
		without += rentedFor(seed, nil)
		with += rentedFor(seed, &simOutputOptions{holdS: 60})
	}
	t.Logf("machines were rented for %.0f s without an archive and for %.0f s with one", without, with)
	if with > 1.02*without {
		t.Errorf("machines were rented for %.0f s with an archive and nothing to be shipped, %.0f s without an archive", with, without)
	}
}

// TestLaunchesCarryGrants guards against launches without the controller's grant for the archive or
// with a grant for another attempt or machine, and against a job description without its grant or
// with another owner than the team with which the job was accepted.
func TestLaunchesCarryGrants(t *testing.T) {
	s := newSim(t, 6, 0)
	key := archive.GrantKey(make([]byte, archive.KeySize))
	launches := 0
	s.hooks.onLaunch = func(w *simWorker, command protocol.Command) {
		id, index, _ := job.ParseTaskName(command.Task)
		attempt := archive.Attempt{Job: id, Task: index, Try: command.Attempt, Machine: w.name}
		if command.Grant != key.SealLaunch(attempt) {
			s.addViolation("seal", "%s attempt %d on %s: %q", command.Task, command.Attempt, w.name, command.Grant)
		}
		launches++
	}
	s.withOutput(simOutputOptions{})
	s.submit(&job.Spec{ID: "wk-000001", Class: "one", Team: s.facts.Teams[0].Name, Shape: job.Array, Priority: job.High, Tasks: 5, CPUs: 1, MemoryGB: 1}, 20, 0)
	s.run(150 * time.Second)
	var description protocol.JobDescription
	s.controllers[0].request("workers", "GET", protocol.PathJobs+"/wk-000001/"+protocol.PathDescription, nil, func(_ int, body []byte) { _ = protocol.Decode(body, &description) })
	s.run(s.now + 10*time.Second)
	if launches < 5 || description.Grant != key.SealTerms("wk-000001", archive.TermsOf(&description)) || description.Team != s.facts.Teams[0].Name {
		t.Errorf("%d launches, description %+v", launches, description)
	}
	s.reportViolations(t)
}
