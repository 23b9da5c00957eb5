package hollow

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"silvergate/internal/agent"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// scriptedController is a controller and an Observer. It answers heartbeats with a fixed fencing
// token and fixed commands, or with 503 while silent, and counts what happens to tasks.
type scriptedController struct {
	mu         sync.Mutex
	silent     bool
	token      uint64
	commands   []protocol.Command
	heartbeats []protocol.Heartbeat
	started    int
	done       int
	stopped    int
	killed     int
}

func (s *scriptedController) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var heartbeat protocol.Heartbeat
	_ = json.Unmarshal(body, &heartbeat)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.heartbeats = append(s.heartbeats, heartbeat)
	_ = json.NewEncoder(out).Encode(protocol.HeartbeatResponse{FencingToken: s.token, Commands: s.commands})
}

func (s *scriptedController) Describe(id string) (*protocol.JobDescription, bool) {
	return &protocol.JobDescription{ID: id, Shape: job.Array, Tasks: 3, CPUs: 1, Image: "img", ImageGB: 0.01}, id == "wk-000001"
}

func (s *scriptedController) RunTime(_ string, index int) time.Duration {
	if index == 0 {
		return 50 * time.Millisecond
	}
	return 0
}

func (s *scriptedController) Started(*Machine, agent.TaskAttempt) { s.add(&s.started) }

func (s *scriptedController) Stopped(_ *Machine, _ agent.TaskAttempt, done bool) {
	s.add(&s.stopped)
	if done {
		s.add(&s.done)
	}
}

func (s *scriptedController) LeaseEnded(_ *Machine, tasks int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killed += tasks
}

func (s *scriptedController) add(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

// eventually waits until holds returns true, and fails the test after 20 s. It calls holds with
// s.mu held.
func (s *scriptedController) eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		ok := holds()
		s.mu.Unlock()
		if ok {
			return
		}
	}
	t.Fatalf("%s: did not happen within 20 s", what)
}

// TestHollowWorker guards against a hollow worker that breaks the worker protocol. The worker must
// start the tasks that it is commanded to, report their ends, refuse commands under a lower fencing
// token, kill all tasks when its lease ends, and begin a new agent epoch then and after a restart.
func TestHollowWorker(t *testing.T) {
	s := &scriptedController{token: 7, commands: []protocol.Command{{Verb: protocol.VerbLaunch, Task: "wk-000001/0", Attempt: 1}, {Verb: protocol.VerbLaunch, Task: "wk-000001/1", Attempt: 1}}}
	controller := httptest.NewServer(s)
	defer controller.Close()
	f := NewFleet([]agent.Controller{{Name: "stoker-0", Address: controller.Listener.Addr().String()}}, agent.Periods{Heartbeat: 0.2, Lease: 1.5, GangWait: 5, GangPeer: 1}, "127.0.0.1", 8, s)
	defer f.Close()
	if err := f.Add(Machine{Name: "i-1", Type: "hollow", Zone: "a", Resources: agent.Room{CPUs: 4, RAM: 4}, PullGBPerS: 1}, 1); err != nil {
		t.Fatal(err)
	}
	s.eventually(t, "two tasks start, one completes", func() bool { return s.started == 2 && s.done == 1 })
	s.eventually(t, "a heartbeat reports the task that ended", func() bool {
		last := s.heartbeats[len(s.heartbeats)-1]
		return last.FencingToken == 7 && len(last.Tasks) == 2 && last.Tasks[0].Status == protocol.TaskEnded && last.Tasks[1].Status == protocol.TaskRunning
	})
	if tasks, answered := f.Running(); tasks != 1 || answered != 1 {
		t.Errorf("got %d running tasks and %d answered workers, want 1 and 1", tasks, answered)
	}
	body := protocol.Encode(protocol.DirectCommands{FencingToken: 6, AgentEpoch: 1, Commands: []protocol.Command{{Verb: protocol.VerbKill, Task: "wk-000001/1", Attempt: 1}}})
	answer, err := http.Post("http://"+f.Address("i-1")+protocol.PathCommands, "application/json", bytes.NewReader(body))
	if err != nil || answer.StatusCode != http.StatusConflict {
		t.Errorf("command with a lower fencing token: got %v and error %v, want status 409", answer, err)
	}
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	s.eventually(t, "the other task is killed when the lease ends", func() bool { return s.killed == 1 && s.stopped == 2 })
	s.mu.Lock()
	s.silent, s.commands = false, nil
	s.mu.Unlock()
	s.eventually(t, "the next agent epoch begins without tasks", func() bool {
		last := s.heartbeats[len(s.heartbeats)-1]
		return last.AgentEpoch == 2 && len(last.Tasks) == 0
	})
	f.Restart("i-1")
	s.eventually(t, "the next agent epoch begins after a restart", func() bool { return s.heartbeats[len(s.heartbeats)-1].AgentEpoch == 3 })
	f.Remove("i-1")
	if len(f.Names("")) != 0 || f.Address("i-1") != "" {
		t.Error("the fleet still has the worker after Remove")
	}
}
