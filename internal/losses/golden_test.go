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

// The golden log has a debug line of each kind that is read here, a second apart, as an
// earlier build of the controller wrote them: the steps of eight attempts, which end in
// each way that there is. A test of internal/coordination compares it with what is
// written now. The golden report is what comes of it.
const (
	goldenFolder     = "testdata/"
	goldenLog        = "controller.log"
	goldenEarlierLog = "controller-earlier-names.log" // with the attributes' names of earlier versions
	goldenReport     = "report.json"
)

// readGolden is a file of testdata.
func readGolden(t *testing.T, name string) string {
	t.Helper()
	return string(goldentest.Read(t, goldenFolder+name))
}

// goldenEvents is what the lines say, in their order.
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
		end := Event{Task: task, Attempt: 1, Class: "night run", Reason: reason, Done: reason == "done", Silent: silent, Priority: 3}
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

// TestGoldenLinesAreRead parses each line of the golden log, as it is and with the offset of
// a bench in front.
func TestGoldenLinesAreRead(t *testing.T) {
	for _, name := range []string{goldenLog, goldenEarlierLog} {
		t.Run(name, func(t *testing.T) { checkGoldenLines(t, name) })
	}
}

// checkGoldenLines parses each line of a golden log.
func checkGoldenLines(t *testing.T, name string) {
	t.Helper()
	lines := strings.Split(strings.TrimSuffix(readGolden(t, name), "\n"), "\n")
	want := goldenEvents()
	if len(lines) != len(want) {
		t.Fatalf("%d lines, not %d", len(lines), len(want))
	}
	plain, withOffset := NewReader(), NewReader()
	for i, line := range lines {
		if e, ok := plain.Parse(line); !ok || e != want[i] {
			t.Errorf("%s\nis read as %+v, not %+v", line, e, want[i])
		}
		later := want[i]
		later.At += 100 * time.Second
		if e, ok := withOffset.Parse(fmt.Sprintf("%8.3f n1 %s", later.At.Seconds(), line)); !ok || e != later {
			t.Errorf("%s\nwith an offset is read as %+v, not %+v", line, e, later)
		}
	}
}

// TestGoldenReport reads the golden log as a whole. The report's JSON goes to users.
func TestGoldenReport(t *testing.T) {
	for _, name := range []string{goldenLog, goldenEarlierLog} {
		t.Run(name, func(t *testing.T) { checkGoldenReport(t, name) })
	}
}

// checkGoldenReport compares the report of a golden log with the golden one.
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
		t.Errorf("the report is\n%s\nnot\n%s", got, want)
	}
}
