package protocol

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"silvergate/internal/job"
	"silvergate/internal/proptest"
)

// Generated inputs come from a fixed seed, so that a verdict repeats.
func TestMain(m *testing.M) { proptest.Main(m) }

func validRun() map[string]any {
	return map[string]any{"ref": "wk-000412", "jobclass": "train", "crew": "vision", "shape": "ensemble", "urgency": "urgent", "loads": 16,
		"cpus": 8.0, "accelerators": 1.0, "ramGb": 64.0, "kit": "img-07", "sizeGb": 6.2, "rigs": []string{"g8"}, "depot": nil,
		"oneZone": true, "apart": false, "casual": true, "etaS": 240.0, "waypointS": 30.0, "stowS": 4.0, "dueS": 900.0}
}

func parse(m map[string]any) (*job.Spec, error) {
	b, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return ParseSubmission(b)
}

func TestParseRun(t *testing.T) {
	s, err := parse(validRun())
	if err != nil {
		t.Fatal(err)
	}
	if s.ID != "wk-000412" || s.Shape != job.Gang || s.Priority != job.High || s.Tasks != 16 || !s.OneZone || !s.Spot || s.Zone != "" ||
		!s.AllowsMachineType("g8") || s.AllowsMachineType("g4") || *s.DeadlineS != 900 {
		t.Fatalf("%+v", s)
	}
	for _, nullable := range []string{"rigs", "depot", "dueS"} {
		m := validRun()
		delete(m, nullable)
		if _, err := parse(m); err != nil {
			t.Errorf("without %s: %v", nullable, err)
		}
	}
}

func TestParseRunRefusesEveryBrokenField(t *testing.T) {
	nullable := map[string]bool{"rigs": true, "depot": true, "dueS": true}
	wrong := []any{-1.5, "x", "", true, []int{1}, map[string]int{"a": 1}, 1e300}
	rapid.Check(t, func(t *rapid.T) {
		m := validRun()
		fields := []string{"ref", "jobclass", "crew", "shape", "urgency", "loads", "cpus", "accelerators", "ramGb", "kit", "sizeGb",
			"rigs", "depot", "oneZone", "apart", "casual", "etaS", "waypointS", "stowS", "dueS"}
		f := rapid.SampledFrom(fields).Draw(t, "field")
		if !nullable[f] && rapid.Bool().Draw(t, "absent") {
			delete(m, f)
			if _, err := parse(m); err == nil || !strings.Contains(err.Error(), f) {
				t.Fatalf("%s is absent, and the error says %v", f, err)
			}
			return
		}
		v := rapid.SampledFrom(wrong).Draw(t, "value")
		good := m[f]
		m[f] = v
		_, err := parse(m)
		_, isString := good.(string)
		_, isBool := good.(bool)
		s, vs := v.(string)
		_, vb := v.(bool)
		free := (f == "jobclass" || f == "crew" || f == "kit" || f == "depot") && vs && s != ""
		if (isBool && vb) || free {
			if err != nil {
				t.Fatalf("%s = %v: %v", f, v, err)
			}
		} else if err == nil || !strings.Contains(err.Error(), f) {
			t.Fatalf("%s = %v (string field: %v): the error says %v", f, v, isString, err)
		}
	})
}

func TestParseRunRefusesOtherBodies(t *testing.T) {
	for _, b := range []string{"", "null", "[]", "7", `"wk-000001"`, "{", `{"ref":"wk-000001"} x`, `{"ref":7}`, `{"ref":"wk-12"}`, `{"ref":"job-000001"}`, `{"ref":"wk-00000a"}`} {
		if _, err := ParseSubmission([]byte(b)); err == nil {
			t.Errorf("%q passed", b)
		}
	}
	for n, ok := range map[any]bool{0: false, 1: true, MaxTasks: true, MaxTasks + 1: false, 1.5: false} {
		m := validRun()
		m["loads"] = n
		if _, err := parse(m); (err == nil) != ok {
			t.Errorf("loads %v: %v", n, err)
		}
	}
}

func TestParseReport(t *testing.T) {
	good := `{"stoker":"i-000231","address":"10.1.0.232:9000","rig":"g8","depot":"a","casual":true,"shift":1,"tally":88,"baton":41,"recallS":null,
	 "loads":[{"load":"wk-000412/3","try":2,"status":"running"},{"load":"wk-000398/0","try":1,"status":"ended","cause":"done"}],"new":1}`
	r, err := ParseHeartbeat([]byte(good))
	if err != nil || r.FencingToken != 41 || len(r.Tasks) != 2 || r.Tasks[1].Cause != CauseDone || r.PreemptionNoticeS != nil {
		t.Fatalf("%+v %v", r, err)
	}
	for _, bad := range []string{"", "{}", `{"stoker":"a b","rig":"g","depot":"a","shift":1}`, `{"stoker":"i/1","rig":"g","depot":"a","shift":1}`,
		`{"stoker":"i-1","rig":"g","depot":"a"}`, `{"stoker":"i-1","rig":"g","depot":"a","shift":-1}`} {
		if _, err := ParseHeartbeat([]byte(bad)); err == nil {
			t.Errorf("%q passed", bad)
		}
	}
}

func TestTaskNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.StringMatching(`wk-[0-9]{6}`).Draw(t, "id")
		i := rapid.IntRange(0, MaxTasks).Draw(t, "index")
		gotID, gotI, err := job.ParseTaskName(job.TaskName(id, i))
		if err != nil || gotID != id || gotI != i {
			t.Fatalf("%q %d %v", gotID, gotI, err)
		}
	})
	for _, bad := range []string{"", "wk-000001", "wk-000001/", "wk-000001/-1", "wk-000001/x"} {
		if _, _, err := job.ParseTaskName(bad); err == nil {
			t.Errorf("%q passed", bad)
		}
	}
}

// FuzzReport demands that a report that is taken can be keyed by, and that the
// extension fields of a submission lead nowhere else.
func FuzzReport(f *testing.F) {
	for _, s := range []string{`{"stoker":"i-1","address":"a","rig":"r","depot":"d","shift":1,"store":{"digest":"x","listed":true,"copies":["a"],"pulls":[{"copy":"a","done":1}]}}`,
		`{"ref":"wk-000001","command":["a"],"env":{"A":"b"},"inputs":[{"set":"s","version":"latest","place":"a/b"}]}`, `{"store":[]}`, `[]`, `{"inputs":[{"place":"../x"}]}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if r, err := ParseHeartbeat(raw); err == nil && (!validKeySegment(r.Worker) || r.AgentEpoch == 0) {
			t.Fatalf("%+v", r)
		}
		if x, err := ParseExtra(raw); err == nil && x != nil {
			for _, in := range x.Inputs {
				if !ValidRelativePath(in.Path) || strings.HasPrefix(in.Path, "/") || strings.Contains("/"+in.Path+"/", "/../") {
					t.Fatalf("%+v", in)
				}
			}
			for k := range x.Env {
				if strings.ContainsAny(k, "=\x00") || strings.HasPrefix(k, ReservedEnv) {
					t.Fatalf("%q", k)
				}
			}
		}
	})
}
