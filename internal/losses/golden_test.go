package losses

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"silvergate/internal/goldentest"
)

// The golden log was written by an earlier build of the controller. It has a debug line of
// each kind that this package parses, one second apart: the steps of eight attempts, one for
// each reason of an end. A test of internal/coordination compares the golden log with the
// lines that the core writes now. The golden report is the report on the golden log.
const (
	goldenFolder     = "testdata/"
	goldenLog        = "controller.log"
	goldenEarlierLog = "controller-earlier-names.log" // with the attribute names of earlier versions
	goldenReport     = "report.json"
)

// readGolden returns the contents of a file in testdata.
func readGolden(t *testing.T, name string) string {
	t.Helper()
	return string(goldentest.Read(t, goldenFolder+name))
}

// goldenEvents returns the events of the golden log's lines, in their order.
func goldenEvents() (events []Event) {
	at := time.Duration(0)
	add := func(e Event) {
		e.At = at
		at += time.Second
		events = append(events, e)
	}
	for index, reason := range []string{"done", "error", "stopped", "peers", "session", "absent", "lease", "cloud"} {
		task := fmt.Sprintf("wk-000042/%d", index)
		silent := 25 * time.Second
		if reason == "lease" {
			silent = 7 * time.Second
		}
		end := Event{Task: task, Attempt: 1, Class: "night run", Reason: reason, Done: reason == "done", SinceHeartbeat: silent, Priority: 3}
		for _, msg := range []string{"evidence", "ended"} {
			end.Msg = msg
			add(end)
		}
		add(Event{Msg: "placing", Task: task})
		for _, msg := range []string{"bound", "launch", "began"} {
			add(Event{Msg: msg, Task: task, Attempt: 2})
		}
	}
	return events
}

// TestGoldenLinesAreRead guards against a parser that misses lines or attributes of earlier
// builds. It parses each line of the golden logs without and with an offset in front, as
// benchmarks write it.
func TestGoldenLinesAreRead(t *testing.T) {
	for _, name := range []string{goldenLog, goldenEarlierLog} {
		t.Run(name, func(t *testing.T) { checkGoldenLines(t, name) })
	}
}

// checkGoldenLines compares each parsed line of a golden log with the expected event.
func checkGoldenLines(t *testing.T, name string) {
	t.Helper()
	lines := strings.Split(strings.TrimSuffix(readGolden(t, name), "\n"), "\n")
	want := goldenEvents()
	if len(lines) != len(want) {
		t.Fatalf("the golden log has %d lines, want %d", len(lines), len(want))
	}
	plain, withOffset := NewReader(), NewReader()
	for i, line := range lines {
		if e, ok := plain.Parse(line); !ok || e != want[i] {
			t.Errorf("%s\nis parsed as %+v, want %+v", line, e, want[i])
		}
		later := want[i]
		later.At += 100 * time.Second
		if e, ok := withOffset.Parse(fmt.Sprintf("%8.3f n1 %s", later.At.Seconds(), line)); !ok || e != later {
			t.Errorf("%s\nwith an offset is parsed as %+v, want %+v", line, e, later)
		}
	}
}

// TestGoldenReport guards against changes of the report's JSON, which users get. It reads the
// golden logs as a whole.
func TestGoldenReport(t *testing.T) {
	for _, name := range []string{goldenLog, goldenEarlierLog} {
		t.Run(name, func(t *testing.T) { checkGoldenReport(t, name) })
	}
}

// checkGoldenReport compares the report on a golden log with the golden report.
func checkGoldenReport(t *testing.T, name string) {
	t.Helper()
	r := NewReader()
	if err := r.Read(strings.NewReader(readGolden(t, name))); err != nil {
		t.Fatal(err)
	}
	got, err := json.MarshalIndent(r.Report(-time.Hour), "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	got = append(got, '\n')
	want := goldentest.File(t, goldenFolder+goldenReport, func() []byte { return got })
	if !bytes.Equal(got, want) {
		t.Errorf("the report is\n%s\nwant\n%s", got, want)
	}
}
