package agent

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"silvergate/internal/fakeserver"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// What the soak test does unless INPUTS_SOAK_SEED and INPUTS_SOAK_S say otherwise.
const (
	soakSeed     = 53
	soakDuration = 15 * time.Second
)

// soakTask is the program of the soak test's tasks: it reads its input again and again, and
// appends to a file whether it was as published. A writer then overwrites parts of its input,
// and puts the modification time back. It returns when it is done.
func soakTask(kind, path, published, results string) error {
	out, err := os.OpenFile(results, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	for range 8 {
		data, err := os.ReadFile(path)
		verdict := "as-published"
		if err != nil {
			verdict = "missing"
		} else if fmt.Sprintf("%x", sha256.Sum256(data)) != published {
			verdict = "changed"
		}
		if _, err := fmt.Fprintln(out, verdict, kind, path); err != nil {
			return err
		}
		if kind == "writer" {
			break
		}
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
	}
	if kind != "writer" {
		return nil
	}
	for range 8 {
		if err := overwriteKeepingTime(path); err != nil {
			return err
		}
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
	}
	return nil
}

// overwriteKeepingTime changes a few bytes of a file and gives it back its modification time.
func overwriteKeepingTime(path string) error {
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	_, err = f.WriteAt([]byte("written by a task"), rand.Int64N(max(1, info.Size()-20)))
	return errors.Join(err, os.Chtimes(path, time.Time{}, info.ModTime()))
}

// inputsSoak drives an agent that is killed now and then, and tasks that read and write their
// inputs.
type inputsSoak struct {
	t          *testing.T
	random     *rand.Rand
	controller *fakeController
	agent      *agentProcess
	copies     []string // paths of the data sets' files in the store
	jobs       []string
	results    string
	next       int // index of the next task
	counts     map[string]int
}

// newInputsSoak publishes three data sets, adds a job of readers and one of writers for each, and
// starts an agent whose store holds two copies and four tasks' inputs.
func newInputsSoak(t *testing.T, seed uint64) *inputsSoak {
	s := &inputsSoak{t: t, random: rand.New(rand.NewPCG(seed, 1)), controller: newFakeController(t),
		results: filepath.Join(t.TempDir(), "results"), counts: map[string]int{}}
	root := t.TempDir()
	server, err := fakeserver.Serve("127.0.0.1:0", root, seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	server.SetFaults(fakeserver.Faults{Damage: 0.02, Truncate: 0.02, Error: 0.02})
	cfg := testConfig(t, s.controller)
	const size = 2<<20 + 100
	cfg.Staging = &Staging{CapacityGB: 2.5 * size / 1e9, PlacedGB: 4.5 * size / 1e9, PatienceS: 1}
	for set := range 3 {
		s.addDataSet(root, server.Address(), fmt.Sprint("set", set), size, cfg.Dir)
	}
	s.agent = newAgentProcess(t, s.controller, cfg)
	return s
}

func (s *inputsSoak) addDataSet(root, source, set string, size int, machineDir string) {
	data := bytes.Repeat([]byte(set+" row\n"), size/9+1)[:size]
	input := publishFile(s.t, root, source, set, "f", data)
	s.copies = append(s.copies, storePath(machineDir, input, "f"))
	for _, kind := range []string{"reader", "writer"} {
		id := fmt.Sprintf("wk-%06d", len(s.jobs)+1)
		s.jobs = append(s.jobs, id)
		s.controller.add(id, "", func(d *protocol.JobDescription) {
			d.Tasks = 1 << 20
			d.Priority = []string{"urgent", "idle"}[len(s.jobs)%2]
			d.Inputs = []protocol.InputCopy{input}
			d.Extra = &job.Extra{Command: []string{testBinary(s.t), "soak-task", kind, "in/f", fmt.Sprintf("%x", sha256.Sum256(data)), s.results},
				Inputs: []job.Input{{Set: set, Version: "1", Path: "in"}}}
		})
	}
}

// step does one thing at random.
func (s *inputsSoak) step() {
	switch n := s.random.IntN(100); {
	case n < 80:
		s.controller.send(protocol.Command{Verb: "launch", Task: job.TaskName(s.jobs[s.random.IntN(len(s.jobs))], s.next), Attempt: 1})
		s.next++
	case n < 92:
		s.stopATask()
	case n < 96:
		// The machine's disk damages a copy.
		if overwriteKeepingTime(s.copies[s.random.IntN(len(s.copies))]) == nil {
			s.counts["damaged copies"]++
		}
	default:
		s.counts["kills"]++
		s.agent.kill()
		s.agent.start()
	}
	s.forgetEnded()
}

// stopATask stops a task that the last heartbeat listed.
func (s *inputsSoak) stopATask() {
	s.controller.mu.Lock()
	var live []protocol.TaskStatus
	for _, status := range s.controller.last.Tasks {
		if status.Status != protocol.TaskEnded {
			live = append(live, status)
		}
	}
	s.controller.mu.Unlock()
	if len(live) == 0 {
		return
	}
	s.counts["stops"]++
	task := live[s.random.IntN(len(live))]
	s.controller.send(protocol.Command{Verb: "kill", Task: task.Task, Attempt: task.Attempt})
}

// forgetEnded lets the agent forget tasks that are over, as their list is limited.
func (s *inputsSoak) forgetEnded() {
	s.controller.mu.Lock()
	defer s.controller.mu.Unlock()
	for _, status := range s.controller.last.Tasks {
		if status.Status == protocol.TaskEnded {
			s.counts["ended as "+status.Cause]++
			s.controller.commands = append(s.controller.commands, protocol.Command{Verb: "forget", Task: status.Task, Attempt: status.Attempt})
		}
	}
	s.controller.last.Tasks = nil
}

// countVerdicts counts what the tasks have found, and reports inputs that were not as published.
func (s *inputsSoak) countVerdicts() (asPublished int) {
	f, err := os.Open(s.results)
	if errors.Is(err, os.ErrNotExist) {
		return 0
	}
	if err != nil {
		s.t.Fatal(err)
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "as-published ") {
			asPublished++
			continue
		}
		s.t.Errorf("a task found its input %s", lines.Text())
	}
	return asPublished
}

// TestTasksReadWhatWasPublished guards against any mixture of tasks that write to their inputs,
// stops, kills of the agent, damaged copies and full stores that lets a task read bytes other
// than those that were published. A long run: INPUTS_SOAK_S=600 INPUTS_SOAK_SEED=7 go test
// -run TestTasksReadWhatWasPublished -timeout 20m -v ./internal/agent
func TestTasksReadWhatWasPublished(t *testing.T) {
	seed, duration := uint64(soakSeed), soakDuration
	if n, err := strconv.ParseUint(os.Getenv("INPUTS_SOAK_SEED"), 10, 64); err == nil {
		seed = n
	}
	if n, err := strconv.Atoi(os.Getenv("INPUTS_SOAK_S")); err == nil {
		duration = time.Duration(n) * time.Second
	}
	s := newInputsSoak(t, seed)
	for until := time.Now().Add(duration); time.Now().Before(until); {
		s.step()
		time.Sleep(time.Duration(s.random.IntN(250)) * time.Millisecond)
	}
	asPublished := s.countVerdicts()
	t.Logf("seed %d, %v: %d tasks launched, %d reads as published; %v", seed, duration, s.next, asPublished, s.counts)
	if asPublished == 0 {
		t.Error("no task has read its input")
	}
	if failed := s.counts["ended as "+protocol.CauseError]; failed > 0 {
		t.Errorf("tasks ended with an error %d times, as heartbeats told", failed)
	}
}
