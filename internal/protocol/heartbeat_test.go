package protocol

import (
	"strings"
	"testing"
)

func TestParseHeartbeat(t *testing.T) {
	body := `{"stoker":"i-000231","address":"10.1.0.232:9000","rig":"g8","depot":"a","casual":true,"shift":1,"tally":88,"baton":41,"recallS":null,
	 "loads":[{"load":"wk-000412/3","try":2,"status":"running"},{"load":"wk-000398/0","try":1,"status":"ended","cause":"done"}],"new":1}`
	heartbeat, err := ParseHeartbeat([]byte(body))
	if err != nil || heartbeat.FencingToken != 41 || len(heartbeat.Tasks) != 2 || heartbeat.Tasks[1].Cause != CauseDone || heartbeat.PreemptionNoticeS != nil {
		t.Fatalf("ParseHeartbeat returned %+v, error %v", heartbeat, err)
	}
}

func TestParseHeartbeatRefuses(t *testing.T) {
	tests := []struct{ name, body string }{
		{"an empty body", ""},
		{"no fields", "{}"},
		{"a worker with a space", `{"stoker":"a b","rig":"g","depot":"a","shift":1}`},
		{"a worker with a slash", `{"stoker":"i/1","rig":"g","depot":"a","shift":1}`},
		{"no agent epoch", `{"stoker":"i-1","rig":"g","depot":"a"}`},
		{"a negative agent epoch", `{"stoker":"i-1","rig":"g","depot":"a","shift":-1}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, err := ParseHeartbeat([]byte(test.body)); err == nil {
				t.Errorf("ParseHeartbeat accepted %q", test.body)
			}
		})
	}
}

// FuzzParse checks that the worker name of an accepted heartbeat can be part of a key and
// its agent epoch is set, and that the extension fields of an accepted submission contain
// no path that leads out of the working directory and no reserved or malformed name of a
// variable.
func FuzzParse(f *testing.F) {
	for _, body := range []string{`{"stoker":"i-1","address":"a","rig":"r","depot":"d","shift":1,"store":{"digest":"x","listed":true,"copies":["a"],"pulls":[{"copy":"a","done":1}]}}`,
		`{"ref":"wk-000001","command":["a"],"env":{"A":"b"},"inputs":[{"set":"s","version":"latest","place":"a/b"}]}`, `{"store":[]}`, `[]`, `{"inputs":[{"place":"../x"}]}`} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if heartbeat, err := ParseHeartbeat(body); err == nil && (!validKeySegment(heartbeat.Worker) || heartbeat.AgentEpoch == 0) {
			t.Fatalf("accepted a heartbeat whose worker or agent epoch is not valid: %+v", heartbeat)
		}
		if extra, err := ParseExtra(body); err == nil && extra != nil {
			for _, input := range extra.Inputs {
				if !ValidRelativePath(input.Path) || strings.HasPrefix(input.Path, "/") || strings.Contains("/"+input.Path+"/", "/../") {
					t.Fatalf("accepted an input whose path leads out of the working directory: %+v", input)
				}
			}
			for name := range extra.Env {
				if strings.ContainsAny(name, "=\x00") || strings.HasPrefix(name, ReservedEnv) {
					t.Fatalf("accepted the name of a variable %q", name)
				}
			}
		}
	})
}
