package coordination

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"silvergate/internal/protocol"
)

// TestDescriptionsReachWorkers submits a job with extension fields and a job without any. Every
// controller's description of the first job has its extension fields, also after a restart; the
// second job's record and description have none. Invalid extension fields are refused.
func TestDescriptionsReachWorkers(t *testing.T) {
	s := newSim(t, 61, 0)
	s.run(10 * time.Second)
	body := func(id, more string) []byte {
		return []byte(fmt.Sprintf(`{"ref":%q,"jobclass":"arr","crew":"blue","shape":"batch","urgency":"idle","loads":2,"cpus":1,"accelerators":0,"ramGb":1,
			"kit":"k","sizeGb":1,"oneZone":false,"apart":false,"casual":true,"etaS":5,"waypointS":0,"stowS":0%s}`, id, more))
	}
	request := func(n int, method, path string, body []byte) (status int, answer string) {
		controller := s.controllers[n]
		controller.request("users", method, path, body, func(st int, b []byte) { status, answer = st, string(b) })
		s.run(s.now + 4500*time.Millisecond)
		return status, answer
	}
	for _, c := range []struct{ more, want string }{
		{`,"command":["a"],"env":{"1x":"y"}`, "env."}, {`,"command":[""]`, "command[0]"}, {`,"command":"a"`, "command"},
		{`,"env":{"SILVERGATE_JOB":"y"}`, "SILVERGATE_JOB"}, {`,"inputs":[{"set":"a","version":"1","place":"../x"}]`, "inputs[0].place"},
		{`,"inputs":[{"set":"a","version":"1","place":"x"},{"set":"b","version":"1","place":"x/y"}]`, "inputs[1].place"},
		{`,"command":["` + strings.Repeat("x", 9000) + `","` + strings.Repeat("y", 9000) + `"]`, "larger than 16 KiB"},
	} {
		if st, answer := request(0, "POST", protocol.PathJobs, body("wk-600000", c.more)); st != 400 || !strings.Contains(answer, c.want) {
			t.Errorf("%.60s: %d %s", c.more, st, answer)
		}
	}
	if st, answer := request(0, "POST", protocol.PathJobs, body("wk-600001", `,"command":["run","-v"],"env":{"A":"b"}`)); st != 201 {
		t.Fatal(st, answer)
	}
	if st, answer := request(1, "POST", protocol.PathJobs, body("wk-600002", `,"unknown":1,"env":{},"inputs":null`)); st != 201 {
		t.Fatal(st, answer)
	}
	if raw := s.state.keys[keyJob+"wk-600002"].value; bytes.Contains(raw, []byte(`"x"`)) {
		t.Errorf("the record of a job without extension fields has some: %s", raw)
	}
	s.controllers[2].crash(time.Second)
	s.run(s.now + 10*time.Second)
	for n := range s.controllers {
		for range 2 { // the second description comes from the cache
			st, answer := request(n, "GET", protocol.PathJobs+"/wk-600001/description", nil)
			var d protocol.JobDescription
			if protocol.Decode([]byte(answer), &d) != nil || st != 200 || d.Tasks != 2 || d.Image != "k" || d.Extra == nil || len(d.Extra.Command) != 2 || d.Extra.Env["A"] != "b" {
				t.Errorf("controller %d: %d %s", n, st, answer)
			}
		}
		if st, answer := request(n, "GET", protocol.PathJobs+"/wk-600002/description", nil); st != 200 || strings.Contains(answer, "extra") {
			t.Errorf("controller %d: %d %s", n, st, answer)
		}
		if st, _ := request(n, "GET", protocol.PathJobs+"/wk-600003/description", nil); st != 404 {
			t.Errorf("controller %d: description of an unknown job: status %d", n, st)
		}
		if st, answer := request(n, "GET", protocol.PathJobList+"?all=true&from=", nil); st != 200 || strings.Count(answer, `"ref":"wk-60000`) != 2 {
			t.Errorf("controller %d: list of jobs: %d %s", n, st, answer)
		}
		if st, answer := request(n, "GET", protocol.PathMachineList, nil); st != 200 || !strings.Contains(answer, `"stoker":"i-`) {
			t.Errorf("controller %d: list of machines: %d %s", n, st, answer)
		}
	}
	if len(s.violations) > 0 {
		t.Error(s.violations)
	}
}
