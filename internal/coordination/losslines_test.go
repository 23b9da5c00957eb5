package coordination

import (
	"bytes"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/fencing"
	"silvergate/internal/job"
	"silvergate/internal/losses"
	"silvergate/internal/protocol"
)

// goldenLossLines is the log that the golden test of internal/losses reads.
const goldenLossLines = "../../losses/testdata/controller.log"

// lossLines returns the debug log of a core that writes a line of each kind that internal/losses
// parses, with time stamps one second apart.
func lossLines() []byte {
	var out bytes.Buffer
	at := time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)
	everySecond := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key != slog.TimeKey {
			return a
		}
		at = at.Add(time.Second)
		return slog.Time(slog.TimeKey, at)
	}
	log := slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: everySecond})).With("node", "n1")
	cfg := &config.Settings{Node: "n1", Zone: "a", Operator: config.DefaultOperator()}
	cfg.Facts.Workers.Lease = 18
	c := New(cfg, log, rand.New(rand.NewPCG(1, 2)), 1)
	out.Reset()
	c.now = 30 * time.Second
	c.machine("i-000001").heardAt = 5 * time.Second

	r := &jobRecord{mirroredJob: mirroredJob{spec: &job.Spec{ID: "wk-000042", Class: "night run", Priority: job.Production, Tasks: 9}}}
	releases := []taskTransition{
		{proof: fencing.Ended, cause: protocol.CauseDone, done: true},
		{proof: fencing.Ended, cause: protocol.CauseError, failed: true},
		{proof: fencing.Ended, cause: protocol.CauseStopped},
		{proof: fencing.Ended, cause: protocol.CauseGangMemberLost},
		{proof: fencing.NewerEpoch},
		{proof: fencing.NotListed},
		{proof: fencing.LeaseExpired},
		{proof: fencing.MachineDeleted},
	}
	for index, transition := range releases {
		transition.attempt, transition.machine = 1, "i-000001"
		c.traceEnd(losses.Evidence, r, index, transition)
		c.traceEnd(losses.Ended, r, index, transition)
		c.traceStart(losses.Placing, r.spec.ID, index, 0, "i-000002")
		c.traceStart(losses.Bound, r.spec.ID, index, 2, "i-000002")
		c.traceStart(losses.Launch, r.spec.ID, index, 2, "i-000002")
		c.traceStart(losses.Began, r.spec.ID, index, 2, "i-000002")
	}
	return out.Bytes()
}

// TestLossLinesKeepTheirBytes compares the debug lines with the golden log that the test of
// internal/losses parses.
func TestLossLinesKeepTheirBytes(t *testing.T) {
	want := golden(t, goldenLossLines, lossLines)
	got := lossLines()
	if lines := strings.Count(string(want), "\n"); lines != 48 {
		t.Errorf("the golden log has %d lines, want 48", lines)
	}
	requireSameBytes(t, got, want)
}
