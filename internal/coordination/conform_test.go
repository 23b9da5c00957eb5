package coordination

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"silvergate/internal/conformance"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// standIn is a stand-in as the conformance tables see it, in simulated time.
type standIn struct {
	s     *sim
	serve func(k protocol.Call, reply func(int, []byte))
}

func (x standIn) Begin(method, path, body string) func() (int, string) {
	status, answer, there := 0, "", false
	x.serve(protocol.Call{Method: method, Path: path, Body: []byte(body)}, func(st int, b []byte) {
		status, answer, there = st, string(b), true
	})
	return func() (int, string) {
		for until := x.s.now + 30*time.Second; !there && x.s.now < until; {
			x.s.run(x.s.now + time.Millisecond)
		}
		return status, answer
	}
}

func (x standIn) Sleep(d time.Duration) { x.s.run(x.s.now + d) }

// TestStandInsConformToProtocol holds the stand-ins to the same sentences as the
// product's own state service, cloud and agents.
func TestStandInsConformToProtocol(t *testing.T) {
	quietSim := func() *sim {
		s := newSim(t, 1, 0)
		s.controllers, s.pending = nil, nil // no controllers and nothing else that happens
		var expire func()
		expire = func() { s.state.expireLeases(); s.after(100*time.Millisecond, expire) }
		expire()
		s.cloud.listHistory = nil
		s.cloud.snapshot()
		s.run(2 * time.Second) // the rates' bursts fill up
		return s
	}
	t.Run("state", func(t *testing.T) {
		conformance.Run(t, conformance.State, false, func(t *testing.T) conformance.Target {
			s := quietSim()
			n := &simController{s: s}
			return standIn{s, func(k protocol.Call, reply func(int, []byte)) { s.state.serve(n, k, reply) }}
		})
	})
	t.Run("cloud", func(t *testing.T) {
		conformance.Run(t, conformance.Cloud, false, func(t *testing.T) conformance.Target {
			s := quietSim()
			s.facts.Cloud.ListLag = 1
			s.cloud.pageSize = 500
			s.cloud.machineTypes = map[string]protocol.MachineType{"small": {Name: "small", StartupS: 1000, Zones: []string{"a", "b"}}}
			s.cloud.capacity = map[offering]int{{"small", "a", false}: 2, {"small", "b", false}: 1}
			return standIn{s, s.cloud.serve}
		})
	})
	t.Run("worker", func(t *testing.T) {
		conformance.Run(t, conformance.Worker, false, func(t *testing.T) conformance.Target {
			s := quietSim()
			s.users["wk-000001"] = &simUser{s: s, spec: &job.Spec{ID: "wk-000001", Shape: job.Service, Tasks: 9, CPUs: 8}, done: make([]bool, 9)}
			w := &simWorker{s: s, name: "i-1", address: "w:i-1", machineType: "small", zone: "a", up: true, agentEpoch: 1, tasks: map[string]*simTask{}}
			return standIn{s, w.serveDirect}
		})
	})
}

// TestDescriptionsReachWorkers submits a job with extension fields and one
// without: the former's are told by every controller, also after a restart, and
// the latter's record is what it always was.
func TestDescriptionsReachWorkers(t *testing.T) {
	s := newSim(t, 61, 0)
	s.run(10 * time.Second)
	body := func(id, more string) []byte {
		return []byte(fmt.Sprintf(`{"ref":%q,"jobclass":"arr","crew":"blue","shape":"batch","urgency":"idle","loads":2,"cpus":1,"accelerators":0,"ramGb":1,
			"kit":"k","sizeGb":1,"oneZone":false,"apart":false,"casual":true,"etaS":5,"waypointS":0,"stowS":0%s}`, id, more))
	}
	ask := func(n int, method, path string, body []byte) (status int, answer string) {
		n0 := s.controllers[n]
		n0.request("users", method, path, body, func(st int, b []byte) { status, answer = st, string(b) })
		s.run(s.now + 4500*time.Millisecond)
		return status, answer
	}
	for _, c := range []struct{ more, want string }{
		{`,"command":["a"],"env":{"1x":"y"}`, "env."}, {`,"command":[""]`, "command[0]"}, {`,"command":"a"`, "command"},
		{`,"env":{"SILVERGATE_JOB":"y"}`, "SILVERGATE_JOB"}, {`,"inputs":[{"set":"a","version":"1","place":"../x"}]`, "inputs[0].place"},
		{`,"inputs":[{"set":"a","version":"1","place":"x"},{"set":"b","version":"1","place":"x/y"}]`, "inputs[1].place"},
		{`,"command":["` + strings.Repeat("x", 9000) + `","` + strings.Repeat("y", 9000) + `"]`, "larger than 16 KiB"},
	} {
		if st, answer := ask(0, "POST", protocol.PathJobs, body("wk-600000", c.more)); st != 400 || !strings.Contains(answer, c.want) {
			t.Errorf("%.60s: %d %s", c.more, st, answer)
		}
	}
	if st, answer := ask(0, "POST", protocol.PathJobs, body("wk-600001", `,"command":["run","-v"],"env":{"A":"b"}`)); st != 201 {
		t.Fatal(st, answer)
	}
	if st, answer := ask(1, "POST", protocol.PathJobs, body("wk-600002", `,"unknown":1,"env":{},"inputs":null`)); st != 201 {
		t.Fatal(st, answer)
	}
	if raw := s.state.keys[keyJob+"wk-600002"].value; bytes.Contains(raw, []byte(`"x"`)) {
		t.Errorf("the record of a job without extension fields: %s", raw)
	}
	s.controllers[2].crash(time.Second)
	s.run(s.now + 10*time.Second)
	for n := range s.controllers {
		for range 2 { // the second time from the cache
			st, answer := ask(n, "GET", protocol.PathJobs+"/wk-600001/description", nil)
			var d protocol.JobDescription
			if protocol.Decode([]byte(answer), &d) != nil || st != 200 || d.Tasks != 2 || d.Image != "k" || d.Extra == nil || len(d.Extra.Command) != 2 || d.Extra.Env["A"] != "b" {
				t.Errorf("node %d: %d %s", n, st, answer)
			}
		}
		if st, answer := ask(n, "GET", protocol.PathJobs+"/wk-600002/description", nil); st != 200 || strings.Contains(answer, "extra") {
			t.Errorf("node %d: %d %s", n, st, answer)
		}
		if st, _ := ask(n, "GET", protocol.PathJobs+"/wk-600003/description", nil); st != 404 {
			t.Errorf("node %d: %d for a job that nobody submitted", n, st)
		}
		if st, answer := ask(n, "GET", protocol.PathJobList+"?all=true&from=", nil); st != 200 || strings.Count(answer, `"ref":"wk-60000`) != 2 {
			t.Errorf("node %d: jobs: %d %s", n, st, answer)
		}
		if st, answer := ask(n, "GET", protocol.PathMachineList, nil); st != 200 || !strings.Contains(answer, `"stoker":"i-`) {
			t.Errorf("node %d: nodes: %d %s", n, st, answer)
		}
	}
	if len(s.violations) > 0 {
		t.Error(s.violations)
	}
}

// TestRulesHoldWithDataSets runs days of trouble on which jobs read data sets,
// and demands what every day does; and that tasks mostly start where their
// inputs are, though these are elsewhere for most machines.
func TestRulesHoldWithDataSets(t *testing.T) {
	warm, cold, withdrawn := 0, 0, 0
	for seed := uint64(300); seed < 308; seed++ {
		s := newSim(t, seed, 0.004)
		for i := range 4 {
			s.options.dataSets = append(s.options.dataSets, protocol.DataSet{Set: fmt.Sprint("set", i), Version: "1", Digest: strings.Repeat(fmt.Sprint(i), 64), Bytes: 800e6, Sources: []string{"127.0.0.1:1"}})
		}
		for i := range s.options.dataSets {
			var register func()
			register = func() {
				s.anyController().request("users", "POST", protocol.PathDataSets, encode(s.options.dataSets[i]), func(st int, body []byte) {
					switch st {
					case 200, 201:
					case 503, 0:
						s.after(500*time.Millisecond, register)
					default:
						s.violation("data sets", "%d %s", st, body)
					}
				})
			}
			s.after(4*time.Second, register)
		}
		s.after(20*time.Second, func() {
			zone := "a"
			s.anyController().request("users", "POST", protocol.PathStagings, encode(protocol.Staging{ID: "x", Set: "set0", Version: "latest", Team: "red", Priority: "urgent", ByS: 30, Machines: 2, Zone: &zone}),
				func(st int, body []byte) {
					if st != 201 && st != 503 && st != 0 {
						s.violation("announcements", "%d %s", st, body)
					}
				})
		})
		s.submitMixedJobs(3 * time.Minute)
		s.after(30*time.Second, func() { s.injectFaults(3 * time.Minute) })
		s.finish(t, 4*time.Minute)
		s.reportViolations(t)
		warm, cold = warm+s.counts.warmStarts, cold+s.counts.coldStarts
		for _, n := range s.controllers {
			withdrawn += int(n.core.staging.planner.Stats.Withdrawn)
			if k := len(n.core.staging.warmedFor); k > 0 {
				t.Errorf("seed %d: %s still brings %d copies for jobs that are over", seed, n.name, k)
			}
		}
	}
	t.Logf("%d launches where the inputs were, %d elsewhere, %d orders withdrawn", warm, cold, withdrawn)
	// Guards against copies that go on being fetched for tasks placed elsewhere.
	if withdrawn == 0 {
		t.Error("no order was withdrawn")
	}
	if warm < cold {
		t.Errorf("%d launches where the inputs were, %d elsewhere", warm, cold)
	}
}

// TestAnnouncementEndsWhenMet guards against copies that are kept for work that
// has come.
func TestAnnouncementEndsWhenMet(t *testing.T) {
	s := newSim(t, 1, 0)
	s.options.dataSets = []protocol.DataSet{{Set: "set0", Version: "1"}}
	s.run(time.Second)
	c := s.controllers[0].core
	a := &announcement{Staging: protocol.Staging{Set: "set0", Version: "1", Team: "red", Priority: "urgent", Machines: 3}}
	put := func(id, team string, p job.Priority, input string, bound, finished int) {
		c.jobs.byID[id] = &jobRecord{spec: &job.Spec{ID: id, Team: team, Priority: p, Inputs: []string{input}}, bound: bound, finished: finished}
	}
	put("other-set", "red", job.High, "set1/1", 9, 0)
	put("other-team", "blue", job.High, "set0/1", 9, 0)
	put("lesser", "red", job.Normal, "set0/1", 9, 0)
	put("first", "red", job.High, "set0/1", 1, 1)
	if c.staging.announcementMet(a) {
		t.Error("two of three tasks were placed, and it is called met")
	}
	put("second", "red", job.Production, "set0/1", 1, 0)
	if !c.staging.announcementMet(a) {
		t.Error("three of three tasks were placed, and it is not called met")
	}
}
