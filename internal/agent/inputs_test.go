package agent

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"silvergate/internal/dataset"
	"silvergate/internal/datastore"
	"silvergate/internal/fakeserver"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// stagingSite is a controller, a data set that a file server offers, and the configuration of an
// agent whose tasks read it.
type stagingSite struct {
	controller *fakeController
	cfg        Config
	data       []byte
	input      protocol.InputCopy
}

// publishFile publishes a data set of one file in a file server's root, and returns an input that
// names it.
func publishFile(t *testing.T, root, source, set, name string, data []byte) protocol.InputCopy {
	t.Helper()
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, name), data, 0o600); err != nil {
		t.Fatal(err)
	}
	m, err := dataset.Build(folder, set, "1", nil)
	if err != nil {
		t.Fatal(err)
	}
	digest, err := dataset.Publish(folder, root, m)
	if err != nil {
		t.Fatal(err)
	}
	return protocol.InputCopy{Path: "in", DataSet: protocol.DataSet{Set: set, Version: "1", Digest: digest.String(),
		Bytes: int64(len(data)), Sources: []string{source}}}
}

// storePath returns the path, in the store of a machine, of a file of an input.
func storePath(machineDir string, input protocol.InputCopy, name string) string {
	return filepath.Join(machineDir, "data", "copies", input.CopyID(), name)
}

// newStagingSite publishes a data set whose one file, roster.txt, has some bytes.
func newStagingSite(t *testing.T, size int) *stagingSite {
	t.Helper()
	root := t.TempDir()
	s := &stagingSite{controller: newFakeController(t), data: bytes.Repeat([]byte("truck 0001\n"), size/11+1)[:size]}
	server, err := fakeserver.Serve("127.0.0.1:0", root, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	s.input = publishFile(t, root, server.Address(), "roster", "roster.txt", s.data)
	s.cfg = testConfig(t, s.controller)
	s.cfg.Staging = &Staging{CapacityGB: 0.1}
	return s
}

// addReader adds a job whose tasks read the data set.
func (s *stagingSite) addReader(id, script string, change func(*protocol.JobDescription)) {
	s.controller.add(id, script, func(d *protocol.JobDescription) {
		d.Inputs = []protocol.InputCopy{s.input}
		d.Extra.Inputs = []job.Input{{Set: "roster", Version: "1", Path: "in"}}
		if change != nil {
			change(d)
		}
	})
}

// taskPath returns a path below an attempt's folder.
func (s *stagingSite) taskPath(k TaskAttempt, name string) string {
	return filepath.Join(s.cfg.Dir, tasksDir, k.String(), name)
}

// status returns a task's status in the last heartbeat; the controller's lock is held.
func (s *stagingSite) status(task string) protocol.TaskState {
	for _, status := range s.controller.last.Tasks {
		if status.Task == task {
			return status.Status
		}
	}
	return ""
}

// TestATaskIsStoppedWhileItsInputsArePlaced guards against a task that counts as running, and
// can't be stopped, while its inputs are copied into its folder.
func TestATaskIsStoppedWhileItsInputsArePlaced(t *testing.T) {
	s := newStagingSite(t, 3<<20)
	s.addReader("wk-000001", "touch $HOME/ran; sleep 60", nil)
	a, err := New(s.cfg, os.Args[0], discardLog)
	if err != nil {
		t.Fatal(err)
	}
	placing, release := make(chan struct{}), make(chan struct{})
	a.inputs.store.Observe = func(e datastore.Event) {
		if e.Kind == "place" {
			close(placing)
			<-release
		}
	}
	startAgent(t, a)
	key := TaskAttempt{"wk-000001", 0, 1}
	s.controller.send(launch("wk-000001", 0))
	<-placing
	beats := a.heartbeatCount()
	s.controller.await("two heartbeats during the placement", func() bool { return a.heartbeatCount() >= beats+2 })
	s.controller.mu.Lock()
	status := s.status(key.TaskName())
	s.controller.mu.Unlock()
	if status != protocol.TaskPulling {
		t.Errorf("the task is reported as %q while its inputs are placed, not %q", status, protocol.TaskPulling)
	}
	s.controller.send(protocol.Command{Verb: "kill", Task: key.TaskName(), Attempt: 1})
	stopped := false
	for until := time.Now().Add(3 * time.Second); !stopped && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		s.controller.mu.Lock()
		stopped = s.controller.causes["wk-000001/0#1"] == protocol.CauseStopped
		s.controller.mu.Unlock()
	}
	if !stopped {
		t.Error("the task did not end within 3 s while its inputs were being placed")
	}
	close(release)
	s.controller.await("the inputs of the stopped task are gone", func() bool { return !exists(s.taskPath(key, "work/in")) })
	if exists(s.taskPath(key, "work/ran")) {
		t.Error("the program of a task ran that was stopped before it began")
	}
}

// heartbeatCount returns how many heartbeats the agent has sent.
func (a *Agent) heartbeatCount() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stats.Heartbeats
}

// TestADamagedCopyCostsNoAttempt guards against a task that fails because the disk has damaged
// the machine's copy of its input: the copy is fetched again before the task starts.
func TestADamagedCopyCostsNoAttempt(t *testing.T) {
	s := newStagingSite(t, 3<<20)
	s.addReader("wk-000001", "cat in/roster.txt > $HOME/read", nil)
	runAgent(t, s.cfg)
	s.controller.send(launch("wk-000001", 0))
	s.controller.await("the first task is done", func() bool { return s.controller.causes["wk-000001/0#1"] != "" })
	f, err := os.OpenFile(storePath(s.cfg.Dir, s.input, "roster.txt"), os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.WriteAt([]byte("damage"), 1<<20)
	if err := errors.Join(err, f.Close()); err != nil {
		t.Fatal(err)
	}
	s.controller.send(launch("wk-000001", 1))
	s.controller.await("the second task is over", func() bool { return s.controller.causes["wk-000001/1#1"] != "" })
	s.controller.mu.Lock()
	cause := s.controller.causes["wk-000001/1#1"]
	s.controller.mu.Unlock()
	got, err := os.ReadFile(s.taskPath(TaskAttempt{"wk-000001", 1, 1}, "work/read"))
	if cause != protocol.CauseDone || err != nil || !bytes.Equal(got, s.data) {
		t.Errorf("the task ended with %s and read %d bytes, as published: %v; %v", cause, len(got), bytes.Equal(got, s.data), err)
	}
}

// TestInputsOfEndedAttemptsAreRemoved guards against inputs of attempts that are over, stopped
// before they ran, or left by a killed agent, which fill the disk.
func TestInputsOfEndedAttemptsAreRemoved(t *testing.T) {
	s := newStagingSite(t, 3<<20)
	s.cfg.Staging.PlacedGB = 0.007 // two tasks' inputs
	s.addReader("wk-000001", "wc -c < in/roster.txt > in/result", nil)
	s.addReader("wk-000002", "sleep 60", func(d *protocol.JobDescription) { d.Priority = "urgent" })
	// A gang that never starts, as its other task is not on any machine.
	s.addReader("wk-000003", "sleep 60", func(d *protocol.JobDescription) { d.Shape, d.Tasks = job.Gang, 2 })
	agent := newAgentProcess(t, s.controller, s.cfg)
	gone := func(id string, index int) bool {
		return !exists(s.taskPath(TaskAttempt{id, index, 1}, "work/in/roster.txt"))
	}
	// One after the other, more tasks than there is room for at a time.
	for i := range 5 {
		s.controller.send(launch("wk-000001", i))
		s.controller.await("the task is done", func() bool {
			return s.controller.causes[job.TaskName("wk-000001", i)+"#1"] == protocol.CauseDone
		})
		s.controller.await("the inputs of the task that is over are gone", func() bool { return gone("wk-000001", i) })
		if !exists(s.taskPath(TaskAttempt{"wk-000001", i, 1}, "work/in/result")) {
			t.Error("what the task wrote is gone, too")
		}
	}
	s.controller.send(launch("wk-000003", 0))
	s.controller.await("the gang's task waits", func() bool { return s.status("wk-000003/0") == protocol.TaskWaiting })
	s.controller.send(protocol.Command{Verb: "kill", Task: "wk-000003/0", Attempt: 1})
	s.controller.await("the folder of an attempt that never ran is gone", func() bool {
		return !exists(s.taskPath(TaskAttempt{"wk-000003", 0, 1}, ""))
	})

	for i := range 2 {
		s.controller.send(launch("wk-000002", i))
		s.controller.await("the task runs", func() bool { return s.status(job.TaskName("wk-000002", i)) == protocol.TaskRunning })
	}
	if gone("wk-000002", 0) || gone("wk-000002", 1) {
		t.Error("the inputs of a running task are gone")
	}
	s.controller.send(launch("wk-000002", 2))
	s.controller.await("a third task goes elsewhere", func() bool { return s.controller.causes["wk-000002/2#1"] == protocol.CauseNoRoom })
	agent.kill()
	agent.start()
	s.controller.await("the inputs that the killed agent left are gone", func() bool { return gone("wk-000002", 0) && gone("wk-000002", 1) })
}

// TestHeartbeatsGoOnWhileInputsAreCopied guards against heartbeats that wait for the copying of
// inputs, or for their removal, so that a machine with large inputs seems lost. PLACE_MB sets the
// size.
func TestHeartbeatsGoOnWhileInputsAreCopied(t *testing.T) {
	megabytes := 128
	if n, err := strconv.Atoi(os.Getenv("PLACE_MB")); err == nil {
		megabytes = n
	}
	s := newStagingSite(t, megabytes<<20)
	s.cfg.Staging.CapacityGB = 1.1 * float64(megabytes<<20) / 1e9
	s.addReader("wk-000001", "sleep 60", nil)
	var beats []time.Time // the controller's lock guards it
	s.controller.onHeartbeat = func(protocol.Heartbeat) { beats = append(beats, time.Now()) }
	var events []datastore.Event // the store's lock guards it
	a, err := New(s.cfg, os.Args[0], discardLog)
	if err != nil {
		t.Fatal(err)
	}
	placed := make(chan struct{})
	a.inputs.store.Observe = func(e datastore.Event) {
		if e.Kind == "place" || e.Kind == "placed" {
			events = append(events, e)
		}
		if e.Kind == "placed" {
			close(placed)
		}
	}
	startAgent(t, a)
	key := TaskAttempt{"wk-000001", 0, 1}
	s.controller.send(launch("wk-000001", 0))
	<-placed
	s.controller.await("the task runs", func() bool { return s.status(key.TaskName()) == protocol.TaskRunning })
	s.controller.send(protocol.Command{Verb: "kill", Task: key.TaskName(), Attempt: 1})
	s.controller.await("the inputs are removed", func() bool { return !exists(s.taskPath(key, "work/in")) })
	s.controller.mu.Lock()
	defer s.controller.mu.Unlock()
	longest := time.Duration(0)
	for i := 1; i < len(beats); i++ {
		longest = max(longest, beats[i].Sub(beats[i-1]))
	}
	t.Logf("%d MB placed in %v; the longest time between two heartbeats was %v, of a lease of %v",
		megabytes, events[1].At.Sub(events[0].At).Round(time.Millisecond), longest.Round(time.Millisecond), seconds(s.cfg.Workers.Lease))
	if longest > seconds(s.cfg.Workers.Lease)/2 {
		t.Errorf("%v passed between two heartbeats, more than half of a lease", longest)
	}
}

// TestATasksWritesToItsImageReachNoOtherTask guards against a task that changes the machine's one
// folder of an image, and with it the programs and files of other teams' tasks. It is known to
// fail (KNOWN-RED.txt).
func TestATasksWritesToItsImageReachNoOtherTask(t *testing.T) {
	c := newFakeController(t)
	cfg := testConfig(t, c)
	image := t.TempDir()
	if err := os.WriteFile(filepath.Join(image, "model"), []byte("published"), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg.Images = []Image{{Name: "sh", Path: image}}
	c.add("wk-000001", "printf taken > $SILVERGATE_IMAGE/model", nil)
	c.add("wk-000002", "cat $SILVERGATE_IMAGE/model", nil)
	runAgent(t, cfg)
	for _, id := range []string{"wk-000001", "wk-000002"} {
		c.send(launch(id, 0))
		c.await("the task is over", func() bool { return c.causes[id+"/0#1"] != "" })
	}
	got, err := os.ReadFile(filepath.Join(cfg.Dir, tasksDir, TaskAttempt{"wk-000002", 0, 1}.String(), stdout))
	if err != nil || string(got) != "published" {
		t.Errorf("the second task reads %q from its image: %v", got, err)
	}
}

// TestARefusedPlacementLeavesNoFolder guards against folders of attempts that never ran, which
// nothing removes.
func TestARefusedPlacementLeavesNoFolder(t *testing.T) {
	s := newStagingSite(t, 3<<20)
	s.cfg.Staging.PlacedGB = 0.001
	s.input.Path = "data/in"
	s.addReader("wk-000001", "sleep 60", func(d *protocol.JobDescription) { d.Priority = "urgent" })
	runAgent(t, s.cfg)
	s.controller.send(launch("wk-000001", 0))
	s.controller.await("the task goes elsewhere", func() bool { return s.controller.causes["wk-000001/0#1"] == protocol.CauseNoRoom })
	if exists(s.taskPath(TaskAttempt{"wk-000001", 0, 1}, "")) {
		t.Error("the folder of an attempt that never ran is left")
	}
}

// TestPruningSparesTasksThatStart guards against a task whose folder, with its inputs, is removed
// while its program is being started.
func TestPruningSparesTasksThatStart(t *testing.T) {
	s := newStagingSite(t, 100)
	s.addReader("wk-000001", "sleep 0.2; cat in/roster.txt > read", nil)
	for i := range maxKeptFolders + 1 {
		// Folders that are not removed, such as those that the archive still reads.
		if err := os.MkdirAll(s.taskPath(TaskAttempt{"wk-000009", i, 1}, workDir), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	a := runAgent(t, s.cfg)
	key := TaskAttempt{"wk-000001", 0, 1}
	s.controller.send(launch("wk-000001", 0))
	for until := time.Now().Add(20 * time.Second); !exists(s.taskPath(key, execFile)); {
		if time.Now().After(until) {
			t.Fatal("the program was not started")
		}
	}
	a.runner.prune()
	s.controller.await("the task is over", func() bool { return s.controller.causes["wk-000001/0#1"] != "" })
	s.controller.mu.Lock()
	defer s.controller.mu.Unlock()
	if cause := s.controller.causes["wk-000001/0#1"]; cause != protocol.CauseDone {
		t.Errorf("the task ended with %s: its folder was removed", cause)
	}
}
