package protocol

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawReport makes a report, or with luck something close to one.
func drawReport(t *rapid.T) []byte {
	r := Heartbeat{Worker: rapid.StringMatching(`i-[0-9]{6}`).Draw(t, "stoker"), Address: "10.1.0.232:9000", MachineType: "g8",
		Zone: rapid.String().Draw(t, "depot"), AgentEpoch: rapid.Uint64().Draw(t, "shift"), Sequence: rapid.Uint64().Draw(t, "tally")}
	if rapid.Bool().Draw(t, "recalled") {
		s := rapid.Float64Range(0, 1e6).Draw(t, "recallS")
		r.PreemptionNoticeS = &s
	}
	for range rapid.IntRange(0, 4).Draw(t, "loads") {
		r.Tasks = append(r.Tasks, TaskStatus{Task: rapid.StringMatching(`wk-[0-9]{6}/[0-9]`).Draw(t, "load"), Attempt: rapid.Int().Draw(t, "try"),
			Status: rapid.String().Draw(t, "status"), Checkpointed: rapid.Bool().Draw(t, "saved")})
	}
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		at := rapid.IntRange(0, len(b)-1).Draw(t, "at")
		switch rapid.IntRange(0, 2).Draw(t, "change") {
		case 0:
			b = append(b[:at:at], b[min(at+1, len(b)-1):]...)
		case 1:
			b[at] = rapid.SampledFrom([]byte(`{}[]",:0-.eE\ntu `)).Draw(t, "byte")
		case 2:
			b = b[:max(1, at)]
		}
	}
	return b
}

// TestDecodeAgreesWithTheStandardLibrary checks the faster decoder against the
// plain one, on good and broken reports.
func TestDecodeAgreesWithTheStandardLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := drawReport(t)
		var got, want Heartbeat
		err, plain := Decode(b, &got), json.Unmarshal(b, &want)
		if (err == nil) != (plain == nil) {
			t.Fatalf("%s: %v, the standard library says %v", b, err, plain)
		}
		if err == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("%s: %+v, the standard library reads %+v", b, got, want)
		}
	})
}

// TestEncodeAgreesWithTheStandardLibrary checks that what one encoder writes
// the other reads alike.
func TestEncodeAgreesWithTheStandardLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Op{Put: rapid.String().Draw(t, "key"), Lease: rapid.Uint64().Draw(t, "permit"),
			Value: Encode(Command{Verb: rapid.String().Draw(t, "verb"), Task: "<&>\u2028", Attempt: rapid.Int().Draw(t, "try")})}
		x := Txn{Compares: []Compare{{Key: o.Put, ModRevision: o.Lease}}, Ops: []Op{o, {Delete: "x"}}}
		want, err := json.Marshal(x)
		if err != nil {
			t.Fatal(err)
		}
		var a, b any
		if json.Unmarshal(Encode(x), &a) != nil || json.Unmarshal(want, &b) != nil || !reflect.DeepEqual(a, b) {
			t.Fatalf("%s, the standard library writes %s", Encode(x), want)
		}
	})
}

// TestDecodeRefusesDeepNesting guards against bodies that are all brackets.
func TestDecodeRefusesDeepNesting(t *testing.T) {
	for _, open := range []string{"[", `{"a":`, `[{"a":`} {
		body := `{"stoker":"i-1","x":` + strings.Repeat(open, 60_000/len(open))
		if _, err := ParseHeartbeat([]byte(body)); err != ErrNestedTooDeeply {
			t.Errorf("%s: %v", open, err)
		}
	}
	if n := nestingDepth([]byte(`{"a":"[[[\"[[","b":[1,{}]}`)); n != 3 {
		t.Errorf("nested %d deep", n)
	}
}

func BenchmarkParseReport(b *testing.B) {
	r := Heartbeat{Worker: "i-000231", Address: "10.1.0.232:9000", MachineType: "g8", Zone: "a", AgentEpoch: 1, Sequence: 88, FencingToken: 41}
	for range 8 {
		r.Tasks = append(r.Tasks, TaskStatus{Task: "wk-000412/3", Attempt: 1, Status: TaskRunning})
	}
	body := Encode(r)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseHeartbeat(body); err != nil {
			b.Fatal(err)
		}
	}
}
