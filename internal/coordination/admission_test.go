package coordination

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// canRun reports whether a job can ever run, by trying every assignment of its tasks to zones. It
// assumes an unlimited number of machines.
func canRun(s *job.Spec, types []protocol.MachineType, teams []config.Team) bool {
	tasks := 1 // tasks that must run at the same time
	if s.Shape != job.Array {
		tasks = s.Tasks
	}
	fits := false
	for _, t := range teams {
		fits = fits || t.Name == s.Team && (t.CPUsMax == 0 || float64(tasks)*s.CPUs <= t.CPUsMax) && (t.GPUsMax == 0 || float64(tasks)*s.GPUs <= t.GPUsMax)
	}
	feasible := map[string]bool{}
	for _, machineType := range types {
		allowed := s.MachineTypes == nil
		for _, t := range s.MachineTypes {
			allowed = allowed || t == machineType.Name
		}
		if allowed && s.CPUs <= machineType.CPUs && s.GPUs <= machineType.GPUs && s.MemoryGB <= machineType.MemoryGB {
			for _, zone := range machineType.Zones {
				feasible[zone] = true
			}
		}
	}
	zones := []string{"a", "b", "c"}
	var place func(remaining int, placed map[string]int) bool
	place = func(remaining int, placed map[string]int) bool {
		if remaining == 0 {
			return true
		}
		for _, zone := range zones {
			if !feasible[zone] || s.Zone != "" && s.Zone != zone || s.Spread && placed[zone] >= (s.Tasks+1)/2 || s.OneZone && len(placed) > 0 && placed[zone] == 0 {
				continue
			}
			placed[zone]++
			if place(remaining-1, placed) {
				return true
			}
			if placed[zone]--; placed[zone] == 0 {
				delete(placed, zone)
			}
		}
		return false
	}
	return fits && place(tasks, map[string]int{})
}

// TestNothingThatCanRunIsRefused compares checkFeasible with the brute-force answer of canRun, for
// every combination of a job's requirements with small catalogues of machine types.
func TestNothingThatCanRunIsRefused(t *testing.T) {
	teams := []config.Team{{Name: "red", GPUsMax: 3, CPUsMax: 20}, {Name: "blue"}}
	accepted, refused := 0, 0
	for _, types := range [][]protocol.MachineType{
		{{Name: "small", CPUs: 4, GPUs: 1, MemoryGB: 8, Zones: []string{"a"}}},
		{{Name: "small", CPUs: 4, GPUs: 1, MemoryGB: 8, Zones: []string{"a", "b", "c"}}, {Name: "large", CPUs: 16, GPUs: 4, MemoryGB: 64, Zones: []string{"b"}}},
		{{Name: "small", CPUs: 4, GPUs: 0, MemoryGB: 8, Zones: []string{"a", "b"}}, {Name: "large", CPUs: 16, GPUs: 4, MemoryGB: 64, Zones: []string{"b", "c"}}},
	} {
		facts := config.Facts{Count: 1, Zones: []string{"a", "b", "c"}, Teams: teams, Workers: config.Workers{Heartbeat: 3, Lease: 18, Cancel: 48}, State: config.State{RPS: 100, WriteRPS: 50, ValueKB: 16, TxnOps: 12}, Cloud: config.Cloud{RPS: 5, ListLag: 3}}
		c := New(&config.Settings{Node: "n0", Zone: "a", Facts: facts, Operator: config.DefaultOperator()}, slog.New(slog.NewTextHandler(io.Discard, nil)), rand.New(rand.NewPCG(1, 1)), 1)
		c.catalogue.update(&protocol.MachineTypes{MachineTypes: types})
		for _, shape := range []job.Shape{job.Array, job.Gang, job.Service} {
			for _, n := range []int{1, 2, 3, 5} {
				for _, team := range []string{"red", "blue", "nobody"} {
					for _, need := range [][3]float64{{1, 0, 1}, {4, 1, 8}, {5, 1, 8}, {16, 4, 64}, {1, 0, 65}} {
						for _, machineTypes := range [][]string{nil, {"small"}, {"large"}, {"none"}, {}} {
							for _, zone := range []string{"", "a", "c", "z"} {
								for flags := range 8 {
									s := &job.Spec{ID: "wk-000001", Shape: shape, Tasks: n, Team: team, CPUs: need[0], GPUs: need[1], MemoryGB: need[2], MachineTypes: machineTypes, Zone: zone,
										OneZone: flags&1 > 0, Spread: flags&2 > 0, Spot: flags&4 > 0}
									err := c.checkFeasible(s)
									if want := canRun(s, types, teams); want != (err == nil) {
										t.Fatalf("job %+v, machine types %+v: can run %v, checkFeasible returned %v", *s, types, want, err)
									}
									if err == nil {
										accepted++
									} else {
										refused++
									}
								}
							}
						}
					}
				}
			}
		}
	}
	if accepted < 1000 || refused < 1000 {
		t.Errorf("%d accepted, %d refused: too few combinations", accepted, refused)
	}
}

// TestWhatUsersAreToldOfBadRequests sends invalid and repeated requests to controllers that know the job and
// to controllers whose mirror may lack it. The answer to an invalid submission names the field; a
// repeated submission of a known job is never refused, whatever it contains; and no controller
// calls a job unknown without reading its record.
func TestWhatUsersAreToldOfBadRequests(t *testing.T) {
	s := newSim(t, 49_000, 0)
	s.run(10 * time.Second)
	valid := func(id string) map[string]any {
		return map[string]any{"ref": id, "jobclass": "arr", "crew": "blue", "shape": "batch", "urgency": "idle", "loads": 2, "cpus": 1, "accelerators": 0, "ramGb": 1,
			"kit": "k", "sizeGb": 1, "rigs": nil, "depot": nil, "oneZone": false, "apart": false, "casual": true, "etaS": 5, "waypointS": 0, "stowS": 0, "dueS": nil}
	}
	request := func(n int, method, path string, body []byte) (status int, answer string) {
		s.controllers[n].request("users", method, path, body, func(st int, b []byte) { status, answer = st, string(b) })
		for end := s.now + 4500*time.Millisecond; status == 0 && s.now < end; {
			s.run(s.now + 10*time.Millisecond)
		}
		return status, answer
	}
	with := func(id, field string, v any) []byte {
		m := valid(id)
		if m[field] = v; v == "missing" {
			delete(m, field)
		}
		return encode(m)
	}
	if st, answer := request(0, "POST", protocol.PathJobs, encode(valid("wk-700000"))); st != 201 {
		t.Fatal(st, answer)
	}
	type bad struct {
		field  string
		v      any
		status int
		says   string
	}
	cases := []bad{{"crew", "nobody", 422, "crew"}, {"rigs", []string{"none"}, 422, "machine type"}, {"rigs", []string{}, 422, "machine type"}, {"cpus", 1e6, 422, "machine type"},
		{"depot", "nowhere", 422, "machine type"}, {"loads", 0, 400, "loads"}, {"loads", -1, 400, "loads"}, {"loads", 100_001, 400, "loads"}, {"loads", 1.5, 400, "loads"},
		{"loads", json.RawMessage("1e300"), 400, "loads"}, {"cpus", -1, 400, "cpus"}, {"ramGb", json.RawMessage("1e999"), 400, "ramGb"}, {"shape", "heap", 400, "shape"},
		{"urgency", "now", 400, "urgency"}, {"dueS", -3, 400, "dueS"}, {"oneZone", "yes", 400, "oneZone"}, {"kit", "", 400, "kit"}, {"depot", "", 400, "depot"}, {"rigs", "small", 400, "rigs"}}
	for _, f := range sortedKeys(valid("")) {
		if f != "rigs" && f != "depot" && f != "dueS" && f != "ref" {
			cases = append(cases, bad{f, "missing", 400, f}, bad{f, nil, 400, f}, bad{f, []any{map[string]any{}}, 400, f})
		}
	}
	for i, k := range cases {
		id := fmt.Sprintf("wk-71%04d", i)
		if st, answer := request(i%3, "POST", protocol.PathJobs, with(id, k.field, k.v)); st != k.status || !strings.Contains(answer, k.says) {
			t.Errorf("%s = %v: %d %s", k.field, k.v, st, answer)
		}
		if st, answer := request((i+1)%3, "GET", protocol.PathJobs+"/"+id, nil); st != 404 {
			t.Errorf("%s = %v: status of the refused job: %d %s", k.field, k.v, st, answer)
		}
		// The same invalid field in a repeated submission of a known job.
		if st, answer := request((i+1)%3, "POST", protocol.PathJobs, with("wk-700000", k.field, k.v)); st != 200 {
			t.Errorf("repeated submission with %s = %v: %d %s", k.field, k.v, st, answer)
		}
	}
	if st, _ := request(1, "POST", protocol.PathJobs+"/wk-799999/abort", nil); st != 404 {
		t.Errorf("cancelling an unknown job: %d", st)
	}
	// A job whose record can't be read does not count as unknown, and a job that is done is not cancelled.
	u := s.submit(&job.Spec{ID: "wk-700001", Class: "arr", Team: "blue", Shape: job.Array, Tasks: 1, CPUs: 1, MemoryGB: 1}, 5, 0)
	s.state.revision++
	s.state.apply(keyJob+"wk-700002", json.RawMessage(`{"spec":7}`), 0, s.state.revision)
	s.run(s.now + 60*time.Second)
	if u.finalStatus != "done" {
		t.Fatalf("the job's final status is %q, want done", u.finalStatus)
	}
	for n := range s.controllers {
		if st, answer := request(n, "POST", protocol.PathJobs+"/wk-700001/abort", nil); st != 200 || !strings.Contains(answer, `"done"`) {
			t.Errorf("cancelling a job that is done, at n%d: %d %s", n, st, answer)
		}
		if st, answer := request(n, "GET", protocol.PathJobs+"/wk-700002", nil); st != 503 {
			t.Errorf("status query of a job whose record can't be read, at n%d: %d %s", n, st, answer)
		}
		if st, answer := request(n, "POST", protocol.PathJobs+"/wk-700002/abort", nil); st != 503 {
			t.Errorf("cancelling a job whose record can't be read, at n%d: %d %s", n, st, answer)
		}
		if st, answer := request(n, "POST", protocol.PathJobs, with("wk-700002", "loads", 0)); st != 503 {
			t.Errorf("repeated submission of a job whose record can't be read, at n%d: %d %s", n, st, answer)
		}
	}
}

// TestNoTaskStartsAfterACancellation guards against tasks that start after their job was cancelled:
// they wait for their image at the cancellation, and have begun by the time the next heartbeat's
// answer stops them.
func TestNoTaskStartsAfterACancellation(t *testing.T) {
	for seed := uint64(49_100); seed < 49_103; seed++ {
		s := newSim(t, seed, 0)
		s.faults.quickBoots = true // every rented machine boots
		s.after(time.Second, func() {
			s.submit(&job.Spec{ID: "wk-000001", Class: "svc", Team: "blue", Shape: job.Service, Priority: job.Production, Tasks: 6, CPUs: 2, GPUs: 1, MemoryGB: 8}, 0, 0)
		})
		s.run(40 * time.Second) // until machines are up
		for i := range 40 {
			s.after(time.Duration(i)*500*time.Millisecond, func() {
				s.submit(&job.Spec{ID: fmt.Sprintf("wk-7%05d", i), Class: "arr", Team: "blue", Shape: job.Array, Priority: job.Normal, Tasks: 2, CPUs: 1, GPUs: 0.25, MemoryGB: 1}, 20, s.randomMillis(100, 2500))
			})
		}
		s.run(80 * time.Second)
		if s.counts.taskStarts < 10 || s.faultCounts.lateStarts > 0 {
			t.Errorf("seed %d: %d of %d task starts came after the user was told that the job is cancelled", seed, s.faultCounts.lateStarts, s.counts.taskStarts)
		}
		s.reportViolations(t)
	}
}
