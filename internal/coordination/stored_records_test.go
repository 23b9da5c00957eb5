package coordination

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"reflect"
	"strings"
	"testing"

	"silvergate/internal/completionlog"
	"silvergate/internal/coordination/pagecodec"
	"silvergate/internal/failover"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// storedRecord is a record in the state service, see docs/design.md, "Records".
type storedRecord struct {
	name   string
	file   string // golden file, in testdata/records
	key    string // literal key in the state service
	built  string // the same key, as the code builds it
	encode func() []byte
	check  func(t *testing.T, data []byte) // requires that data decodes to the record's value and is encoded to the same bytes
}

// wholeRecord returns a record in which every field is set.
func wholeRecord[T any](name, file, key, built string, want T) storedRecord {
	r := partialRecord(name, file, key, built, want)
	check := r.check
	r.check = func(t *testing.T, data []byte) {
		requireNoZeroFields(t, name, want)
		check(t, data)
	}
	return r
}

// partialRecord returns a record in which optional fields may be unset.
func partialRecord[T any](name, file, key, built string, want T) storedRecord {
	check := func(t *testing.T, data []byte) {
		var got T
		if !decode(slog.New(slog.DiscardHandler), key, data, &got) {
			t.Fatal("unreadable")
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("decoded as %+v, want %+v", got, want)
		}
		requireSameBytes(t, encode(got), data)
		// Some records are read by protocol.Decode, which refuses unknown fields.
		var strict T
		if err := protocol.Decode(data, &strict); err != nil || !reflect.DeepEqual(strict, want) {
			t.Errorf("protocol.Decode returned %+v, want %+v: %v", strict, want, err)
		}
	}
	return storedRecord{name, file, key, built, func() []byte { return encode(want) }, check}
}

// pageRecord returns a record of a page of tasks in one of its two forms.
func pageRecord(name, file, key, built string, want []job.Task, write func([]job.Task) json.RawMessage) storedRecord {
	check := func(t *testing.T, data []byte) {
		got := make([]job.Task, len(want))
		changes, err := pagecodec.Decode(data, got, nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, change := range changes {
			got[change.Index] = change.Task
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("decoded as %+v, want %+v", got, want)
		}
		requireSameBytes(t, write(got), data)
	}
	return storedRecord{name, file, key, built, func() []byte { return write(want) }, check}
}

// requireSameBytes fails the test if a record's encoding differs from the bytes it was read from.
func requireSameBytes(t *testing.T, got, want []byte) {
	t.Helper()
	if !bytes.Equal(got, want) {
		t.Errorf("encoded as\n%s\nwant\n%s", got, want)
	}
}

func goldenSpec(id string, shape job.Shape, priority job.Priority) *job.Spec {
	deadline := 3600.5
	return &job.Spec{ID: id, Class: "train<1>", Team: "red", Shape: shape, Priority: priority, Tasks: 10, CPUs: 1.5, GPUs: 2, MemoryGB: 3.25,
		Image: "img-a", ImageGB: 4.5, MachineTypes: []string{"g4", "c8"}, Zone: "z-a", OneZone: true, Spread: true, Spot: true, EstimateS: 60.5,
		CheckpointIntervalS: 7.5, CheckpointSaveS: 8.5, DeadlineS: &deadline, Extended: true, Inputs: []string{"maps/v1", "maps/v2"}}
}

// goldenTasks returns tasks of each phase, with and without failures, and runs of equal tasks.
func goldenTasks() []job.Task {
	return []job.Task{
		{}, {}, {},
		{Phase: job.Pending, Attempt: 1},
		{Phase: job.Pending, Attempt: 2, Failures: 1},
		{Phase: job.Bound, Attempt: 1, Machine: "i-000231", Epoch: 1},
		{Phase: job.Bound, Attempt: 4, Machine: "i-000232", Epoch: 1 << 62, Failures: 3},
		{Phase: job.Finished, Attempt: 1}, {Phase: job.Finished, Attempt: 1},
		{Phase: job.Finished, Attempt: 6, Failures: 5},
	}
}

// storedRecords returns records of every kind.
func storedRecords() []storedRecord {
	zone := "z-b"
	announced := announcement{AtMS: 1767225600001}
	announced.Staging = protocol.Staging{ID: "night", Set: "maps", Version: "v1", Team: "red", Priority: "high", ByS: 90.5, Machines: 4, Zone: &zone}
	holder := failover.Holder{Node: "n1", Incarnation: 1767225600000000007, Epoch: 2}
	group := failover.Group{Holder: holder, Zone: "z a/1", Number: 3}
	completions := []string{
		completionlog.Completion{Task: completionlog.Task{Job: "wk-000042", Index: 7}, Attempt: 2, Machine: "i-000231", Epoch: 1 << 62}.String(),
		completionlog.Completion{Task: completionlog.Task{Job: "wk-000043", Index: 0}, Attempt: 1, Machine: "i-000232", Epoch: 1}.String(),
	}
	extra := &job.Extra{Command: []string{"bin/run", "--fast", "a&b"}, Env: map[string]string{"A": "1", "B": "<2>"}, Customer: "acme",
		Keep: []string{"out/*"}, Inputs: []job.Input{{Set: "maps", Version: "v1", Path: "in/maps"}}}
	set := protocol.DataSet{Set: "maps", Version: "v1", Digest: strings.Repeat("0123456789abcdef", 4), Bytes: 1 << 40, Sources: []string{"127.0.0.1:7000"}, AtMS: 1767225600002}
	machineTypes := protocol.MachineTypes{MachineTypes: []protocol.MachineType{{Name: "g4", CPUs: 8.5, GPUs: 4, MemoryGB: 64.5, LocalGB: 100, ImagePullGBPerS: 0.25, OnDemandPrice: 2.5,
		SpotPrice: 0.75, StartupS: 30, Zones: []string{"z-a", "z-b"}}}}
	return []storedRecord{
		wholeRecord("job, open", "j-open.json", "sg/j/wk-000042", keyJob+"wk-000042",
			storedJob{goldenSpec("wk-000042", job.Gang, job.Production), job.Open, 1767225600000, "n1"}),
		wholeRecord("job, done", "j-done.json", "sg/j/wk-000043", keyJob+"wk-000043",
			storedJob{goldenSpec("wk-000043", job.Array, job.High), job.Done, 1767225600003, "n2"}),
		wholeRecord("job, cancelled", "j-cancelled.json", "sg/j/wk-000044", keyJob+"wk-000044",
			storedJob{goldenSpec("wk-000044", job.Service, job.Normal), job.Cancelled, 1767225600004, "n3"}),
		partialRecord("job, required fields only", "j-least.json", "sg/j/wk-000045", keyJob+"wk-000045",
			storedJob{&job.Spec{ID: "wk-000045", Class: "c", Team: "red", Shape: job.Array, Priority: job.Low, Tasks: 1}, job.Open, 1, "n1"}),
		pageRecord("page, compact form", "p-words.json", "sg/p/wk-000042/0", pageKey("wk-000042", 0), goldenTasks(), writePage),
		pageRecord("page, list form", "p-list.json", "sg/p/wk-000042/0", pageKey("wk-000042", 0), goldenTasks(),
			func(tasks []job.Task) json.RawMessage { return encode(tasks) }),
		wholeRecord("team", "q.json", "sg/q/red", keyTeam+"red", usage{CPUs: 12.5, GPUs: 3}),
		wholeRecord("claim", "c.json", "sg/c/i-000231", keyClaim+"i-000231",
			claimRecord{Owner: "n1", Incarnation: 1767225600000000007, Address: "127.0.0.1:9000", MachineType: "g4", Zone: "z-a", Spot: true, Epoch: 2}),
		partialRecord("claim, without an epoch", "c-least.json", "sg/c/i-000232", keyClaim+"i-000232",
			claimRecord{Owner: "n1", Incarnation: 7, Address: "127.0.0.1:9001", MachineType: "c8", Zone: "z-b"}),
		wholeRecord("take-over", "t.json", "sg/t/n1/1767225600000000007.2/z%20a%2F1/3", keyFailover+group.Key(),
			failover.Holder{Node: "n2", Incarnation: 8, Epoch: 1}),
		wholeRecord("endings", "e.json", "sg/e/n1/7-1", keyCompletions+"n1/7-1", completionlog.Record{Completions: completions}),
		wholeRecord("drain", "x.json", "sg/x/i-000231", keyDrain+"i-000231", drainRecord{Reason: drainIdle}),
		wholeRecord("drains with all reasons", "x-reasons.json", "sg/x/", keyDrain,
			[]drainRecord{{drainIdle}, {drainSilent}, {drainPreempted}, {drainFaulty}, {drainFailed}, {drainStray}, {drainLost}}),
		wholeRecord("member", "m.json", "sg/m/n1", keyMember+"n1", member{Incarnation: 7, IdleMachines: 5, Machines: 6, Format: completionLogFormat}),
		partialRecord("member, of the first format", "m-least.json", "sg/m/n2", keyMember+"n2", member{Incarnation: 8, IdleMachines: 1, Machines: 2}),
		wholeRecord("fleet", "fleet.json", "sg/fleet", keyFleet, leadership{Leader: "n1", Incarnation: 7}),
		wholeRecord("rental", "h.json", "sg/h/n1-7-1", keyRental+"n1-7-1",
			rental{MachineType: "g4", Zone: "z-a", Spot: true, Count: 3, RequestedAtMS: 1767225600005, Machines: []string{"i-000233", "i-000234"}}),
		partialRecord("rental, not answered yet", "h-least.json", "sg/h/n1-7-2", keyRental+"n1-7-2", rental{MachineType: "c8", Zone: "z-b", Count: 1, RequestedAtMS: 6}),
		wholeRecord("extension fields", "sgx-d.json", "sgx/d/wk-000042", keyJobExtra+"wk-000042", *extra),
		wholeRecord("data set", "d.json", "sg/d/maps/v1", keyData+"maps/v1", set),
		wholeRecord("announced work", "s.json", "sg/s/night", keyStaging+"night", announced),
		wholeRecord("gang", "gang.json", "sg/gang", keyGang, gangReservation{Job: "wk-000042", Owner: "n1", Incarnation: 7}),
		wholeRecord("flavors", "flavors.json", "sg/flavors", keyMachineTypes, machineTypes),
	}
}

// TestStoredRecordsKeepTheirBytes decodes each golden record and requires that encoding it again
// gives the same bytes, so that controllers of different builds can share records.
func TestStoredRecordsKeepTheirBytes(t *testing.T) {
	for _, r := range storedRecords() {
		t.Run(r.name, func(t *testing.T) {
			if r.built != r.key {
				t.Errorf("key is %s, want %s", r.built, r.key)
			}
			r.check(t, golden(t, "records/"+r.file, r.encode))
		})
	}
}

// TestFailoverKeysAndCompletionsRoundTrip checks the key of a group's failover and the text of a
// completion, which have their own encodings.
func TestFailoverKeysAndCompletionsRoundTrip(t *testing.T) {
	want := failover.Group{Holder: failover.Holder{Node: "n1", Incarnation: 1767225600000000007, Epoch: 2}, Zone: "z a/1", Number: 3}
	if g, ok := failover.ParseKey("n1/1767225600000000007.2/z%20a%2F1/3"); !ok || g != want {
		t.Errorf("the key is parsed as %+v", g)
	}
	// The mapping of workers to groups is part of the record format: all controllers must agree on it.
	for worker, number := range map[string]int{"i-000231": 1, "i-000232": 0, "i-000233": 3, "i-000234": 2} {
		if g := failover.GroupOf(want.Holder, worker, "z-a"); g.Number != number {
			t.Errorf("%s is in group %d, want %d", worker, g.Number, number)
		}
	}
	completion := completionlog.Completion{Task: completionlog.Task{Job: "wk-000042", Index: 7}, Attempt: 2, Machine: "i-000231", Epoch: 1 << 62}
	const text = "wk-000042/7.2 i-000231 4611686018427387904"
	if e, err := completionlog.Parse(text); err != nil || e != completion || e.String() != text {
		t.Errorf("%s is parsed as %+v: %v", text, e, err)
	}
}
