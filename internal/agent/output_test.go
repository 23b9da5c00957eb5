package agent

import (
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"silvergate/internal/archive/node"
	"silvergate/internal/archive/ship"
	"silvergate/internal/identity"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// unreachableArchive returns the settings of an archive whose only node does not answer.
func unreachableArchive(t *testing.T) *ship.Config {
	t.Helper()
	authority, err := identity.Init(filepath.Join(t.TempDir(), "authority"), "site", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	cfg := ship.DefaultConfig()
	cfg.Certs = filepath.Join(t.TempDir(), "certs")
	if err := authority.Ensure(identity.Identity{Kind: identity.Agent, Name: "i-1"}, cfg.Certs); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0") // accepts no connection
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	cfg.Members = []node.Member{{Name: "archive-0", Address: listener.Addr().String()}}
	cfg.Replicas = 1
	return &cfg
}

// TestTheFirstReportOfAnEndCountsItsOutput guards against files that are lost with their machine: the
// heartbeat that first lists an attempt as ended said that no output waits, and the controllers deleted
// the machine.
func TestTheFirstReportOfAnEndCountsItsOutput(t *testing.T) {
	const tasks = 8
	c := newFakeController(t)
	cfg := testConfig(t, c)
	cfg.Archive = unreachableArchive(t)
	cfg.Workers.Lease = 8 // no epoch ends early beside other work
	endedBefore := 0
	c.onHeartbeat = func(heartbeat protocol.Heartbeat) { // the lock is held
		listed := 0
		for _, task := range heartbeat.Tasks {
			if task.Status == protocol.TaskEnded {
				listed++
			}
		}
		endedBefore = max(endedBefore, listed)
		switch {
		case heartbeat.Unshipped == nil:
			t.Errorf("heartbeat %d says nothing of its output", heartbeat.Sequence)
		case *heartbeat.Unshipped != endedBefore:
			t.Errorf("epoch %d, heartbeat %d: %d attempts have ended and none is shipped, but %d are reported as unshipped", heartbeat.AgentEpoch, heartbeat.Sequence, endedBefore, *heartbeat.Unshipped)
		}
	}
	runAgent(t, cfg)
	for i := range tasks {
		id := fmt.Sprintf("wk-%06d", i)
		c.add(id, fmt.Sprintf("echo output; sleep 0.%d", i), func(d *protocol.JobDescription) { d.Grant = "terms" })
		command := launch(id, 0)
		command.Grant = "launch"
		c.send(command)
		c.await("the end of "+id, func() bool { return c.causes[job.TaskName(id, 0)+"#1"] == protocol.CauseDone })
	}
	// The next epoch's heartbeats list no attempt, but its output still waits.
	c.mu.Lock()
	c.unavailable = true
	c.mu.Unlock()
	c.await("the next epoch", func() bool { return c.last.AgentEpoch > 1 })
}
