package protocol

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawHeartbeat generates the body of a heartbeat, or that of one with up to three changes.
func drawHeartbeat(t *rapid.T) []byte {
	heartbeat := Heartbeat{Worker: rapid.StringMatching(`i-[0-9]{6}`).Draw(t, "stoker"), Address: "10.1.0.232:9000", MachineType: "g8",
		Zone: rapid.String().Draw(t, "depot"), AgentEpoch: rapid.Uint64().Draw(t, "shift"), Sequence: rapid.Uint64().Draw(t, "tally")}
	if rapid.Bool().Draw(t, "recalled") {
		notice := rapid.Float64Range(0, 1e6).Draw(t, "recallS")
		heartbeat.PreemptionNoticeS = &notice
	}
	for range rapid.IntRange(0, 4).Draw(t, "loads") {
		heartbeat.Tasks = append(heartbeat.Tasks, TaskStatus{Task: rapid.StringMatching(`wk-[0-9]{6}/[0-9]`).Draw(t, "load"), Attempt: rapid.Int().Draw(t, "try"),
			Status: TaskState(rapid.String().Draw(t, "status")), Checkpointed: rapid.Bool().Draw(t, "saved")})
	}
	body, err := json.Marshal(heartbeat)
	if err != nil {
		t.Fatal(err)
	}
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		body = drawChange(t, body)
	}
	return body
}

// drawChange drops a byte of a body, replaces a byte, or cuts the body off.
func drawChange(t *rapid.T, body []byte) []byte {
	at := rapid.IntRange(0, len(body)-1).Draw(t, "at")
	switch rapid.IntRange(0, 2).Draw(t, "change") {
	case 0:
		return append(body[:at:at], body[min(at+1, len(body)-1):]...)
	case 1:
		body[at] = rapid.SampledFrom([]byte(`{}[]",:0-.eE\ntu `)).Draw(t, "byte")
		return body
	default:
		return body[:max(1, at)]
	}
}

// TestDecodeAgreesWithTheStandardLibrary compares Decode with encoding/json on good and
// broken heartbeats.
func TestDecodeAgreesWithTheStandardLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := drawHeartbeat(t)
		var got, want Heartbeat
		err, wantErr := Decode(body, &got), json.Unmarshal(body, &want)
		if (err == nil) != (wantErr == nil) {
			t.Fatalf("%s: Decode returned error %v, the standard library %v", body, err, wantErr)
		}
		if err == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("%s: Decode read %+v, the standard library %+v", body, got, want)
		}
	})
}

// TestEncodeAgreesWithTheStandardLibrary checks that the outputs of Encode and of
// encoding/json decode to the same value.
func TestEncodeAgreesWithTheStandardLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		put := Op{Put: rapid.String().Draw(t, "key"), Lease: rapid.Uint64().Draw(t, "permit"),
			Value: Encode(Command{Verb: rapid.String().Draw(t, "verb"), Task: "<&>\u2028", Attempt: rapid.Int().Draw(t, "try")})}
		txn := Txn{Compares: []Compare{{Key: put.Put, ModRevision: put.Lease}}, Ops: []Op{put, {Delete: "x"}}}
		want, err := json.Marshal(txn)
		if err != nil {
			t.Fatal(err)
		}
		var fromEncode, fromStandard any
		if json.Unmarshal(Encode(txn), &fromEncode) != nil || json.Unmarshal(want, &fromStandard) != nil || !reflect.DeepEqual(fromEncode, fromStandard) {
			t.Fatalf("Encode wrote %s, the standard library %s", Encode(txn), want)
		}
	})
}

// TestDecodeRefusesDeepNesting guards against bodies that consist of opening brackets:
// decoding one costs a small controller much time and memory.
func TestDecodeRefusesDeepNesting(t *testing.T) {
	for _, open := range []string{"[", `{"a":`, `[{"a":`} {
		body := `{"stoker":"i-1","x":` + strings.Repeat(open, 60_000/len(open))
		if _, err := ParseHeartbeat([]byte(body)); err != ErrNestedTooDeeply {
			t.Errorf("body nested with %s: error %v", open, err)
		}
	}
	if n := nestingDepth([]byte(`{"a":"[[[\"[[","b":[1,{}]}`)); n != 3 {
		t.Errorf("nestingDepth returned %d, want 3", n)
	}
}

func BenchmarkParseHeartbeat(b *testing.B) {
	heartbeat := Heartbeat{Worker: "i-000231", Address: "10.1.0.232:9000", MachineType: "g8", Zone: "a", AgentEpoch: 1, Sequence: 88, FencingToken: 41}
	for range 8 {
		heartbeat.Tasks = append(heartbeat.Tasks, TaskStatus{Task: "wk-000412/3", Attempt: 1, Status: TaskRunning})
	}
	body := Encode(heartbeat)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseHeartbeat(body); err != nil {
			b.Fatal(err)
		}
	}
}
