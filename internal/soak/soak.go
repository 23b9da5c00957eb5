// Package soak runs a whole site, submits jobs that leave a trace outside, kills
// every process of the site at drawn moments and starts it again. At the end it
// compares what was accepted, what ran and what was reported.
package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"silvergate/internal/agent"
	"silvergate/internal/proc"
	"silvergate/internal/protocol"
	"silvergate/internal/provider"
	"silvergate/internal/site"
	"silvergate/internal/transport"
)

// Options say how much is to happen.
type Options struct {
	Self  string   // the program; started with Args... up --dir Dir
	Env   []string // added to its environment
	Dir   string   // a folder that is empty or not there
	Jobs  int
	Kills int
	Seed  uint64
	// Between is the mean time between two kills.
	Between time.Duration
	// Limit is how long the jobs may take after the last kill.
	Limit time.Duration
	Out   io.Writer // progress; may be nil
}

// Result is what happened. Broken is empty if all is well.
type Result struct {
	Accepted, Tasks, Effects, Repeated, Kills int
	// Kept is how many attempts' output was read back and compared, Lost how many
	// machines were taken away without notice, with their disks.
	Kept, Lines, Lost int
	Refused           int // submissions tried again
	Ledger            uint64
	Took              time.Duration
	Broken            []string
}

type soak struct {
	o      Options
	rnd    *rand.Rand
	cmd    *exec.Cmd
	pool   *transport.Pool
	ports  *site.Ports
	trace  string
	loads  map[string]int    // of accepted jobs
	state  map[string]string // as last told
	ledger uint64
	lost   map[string]bool // machines
	r      Result
}

func (s *soak) broke(format string, args ...any) {
	if len(s.r.Broken) < 20 {
		s.r.Broken = append(s.r.Broken, fmt.Sprintf(format, args...))
	}
}

func (s *soak) say(format string, args ...any) {
	if s.o.Out != nil {
		fmt.Fprintf(s.o.Out, format+"\n", args...)
	}
}

// Run runs it. The error is of the machinery; what the site did wrong is in the
// result.
func Run(o Options) (Result, error) {
	s := &soak{o: o, rnd: rand.New(rand.NewPCG(o.Seed, 1)), pool: transport.NewPool(8), loads: map[string]int{}, state: map[string]string{}, lost: map[string]bool{}}
	begun := time.Now()
	dir, err := filepath.Abs(o.Dir)
	if err != nil {
		return s.r, err
	}
	s.o.Dir, s.trace = dir, filepath.Join(dir, "trace")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return s.r, err
	}
	if err := os.WriteFile(s.trace, nil, 0o600); err != nil {
		return s.r, err
	}
	defer s.kill()
	if err := s.start(); err != nil {
		return s.r, err
	}
	submitted := 0
	for kill := range o.Kills {
		until := time.Now().Add(time.Duration((0.3 + 1.4*s.rnd.Float64()) * float64(o.Between)))
		quota := (kill + 1) * o.Jobs / o.Kills
		for time.Now().Before(until) {
			if submitted < quota && s.submit(submitted) {
				submitted++
			}
			s.poll()
			time.Sleep(20 * time.Millisecond)
		}
		s.readLedger()
		if s.rnd.IntN(2) == 0 {
			s.loseMachine()
		}
		s.kill()
		s.r.Kills++
		s.say("kill %d of %d: %d jobs accepted, revision %d", kill+1, o.Kills, len(s.loads), s.ledger)
		if err := s.start(); err != nil {
			return s.r, err
		}
		s.readLedger()
	}
	for limit := time.Now().Add(o.Limit); ; time.Sleep(50 * time.Millisecond) {
		if submitted < o.Jobs && s.submit(submitted) {
			submitted++
			continue
		}
		if left := s.poll(); left == 0 && submitted == o.Jobs {
			break
		} else if time.Now().After(limit) {
			s.broke("%d jobs are not done, and %d of %d were accepted, %s after the last kill", left, submitted, o.Jobs, o.Limit)
			break
		}
	}
	s.readLedger()
	s.judge()
	s.r.Accepted, s.r.Ledger, s.r.Took = len(s.loads), s.ledger, time.Since(begun)
	return s.r, nil
}

// start starts the site and waits until its ports are known.
func (s *soak) start() error {
	log, err := os.OpenFile(filepath.Join(s.o.Dir, "up.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	s.cmd = exec.Command(s.o.Self, "up", "--dir", s.o.Dir)
	s.cmd.Env = append(os.Environ(), s.o.Env...)
	s.cmd.Stdout, s.cmd.Stderr = log, log
	if err := s.cmd.Start(); err != nil {
		return err
	}
	for until := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if s.ports, err = site.ReadPorts(s.o.Dir); err == nil {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("the site does not start: %w; see %s", err, log.Name())
		}
	}
}

// kill ends every process of the site at once: the one that holds it together,
// its parts, the machines and the tasks.
func (s *soak) kill() {
	if s.cmd == nil {
		return
	}
	var ids []proc.ID
	for _, pattern := range []string{"run/*.json", "cloud/machines/*/agent.json"} {
		files, _ := filepath.Glob(filepath.Join(s.o.Dir, pattern))
		for _, f := range files {
			var id proc.ID
			if raw, err := os.ReadFile(f); err == nil && json.Unmarshal(raw, &id) == nil {
				ids = append(ids, id)
			}
		}
	}
	_ = s.cmd.Process.Kill()
	for _, id := range ids {
		_ = id.Signal(syscall.SIGKILL)
	}
	_ = s.cmd.Wait()
	s.cmd = nil
	// A machine that was being started is written down by now, or ends itself.
	machines, _ := filepath.Glob(filepath.Join(s.o.Dir, "cloud/machines/*"))
	for _, m := range machines {
		var id proc.ID
		if raw, err := os.ReadFile(filepath.Join(m, "agent.json")); err == nil && json.Unmarshal(raw, &id) == nil {
			_ = id.Signal(syscall.SIGKILL)
		}
		agent.EndTasks(m)
	}
}

// do asks one controller, a drawn one.
func (s *soak) do(method, path string, body []byte) (int, []byte) {
	all := s.ports.Addresses()
	return s.ask(all[s.rnd.IntN(len(all))], method, path, body)
}

func (s *soak) ask(addr, method, path string, body []byte) (int, []byte) {
	const patience = 2 * time.Second
	stop := time.AfterFunc(patience, func() { s.pool.Expire(time.Now().Add(patience)) })
	defer stop.Stop()
	r, _, err := s.pool.Do(addr, method, path, body, patience)
	if err != nil {
		return 0, nil
	}
	return r.Status, r.Body
}

func ref(n int) string { return fmt.Sprintf("wk-%06d", n) }

// submit submits job n; false if it is not known to be accepted.
func (s *soak) submit(n int) bool {
	loads := 1 + n%4
	body, err := json.Marshal(map[string]any{
		"ref": ref(n), "jobclass": "soak", "crew": "office", "shape": "batch", "urgency": []string{"urgent", "standard", "idle"}[n%3],
		"loads": loads, "cpus": 1, "accelerators": 0, "ramGb": 0.1, "kit": "base", "sizeGb": 0,
		"oneZone": false, "apart": false, "casual": n%2 == 0, "etaS": 1, "waypointS": 0, "stowS": 0,
		"command": []string{"/bin/sh", "-c", fmt.Sprintf(`mkdir -p out; for i in 1 2 3 4 5; do echo "line $i of $SILVERGATE_JOB/$SILVERGATE_TASK $SILVERGATE_TRY"; sleep 0.0%d; done
echo "result of $SILVERGATE_TASK" > out/result
echo "$SILVERGATE_JOB/$SILVERGATE_TASK $SILVERGATE_TRY $SILVERGATE_MACHINE" >> "$TRACE"`, n%7)},
		"env":      map[string]string{"TRACE": s.trace},
		"customer": customer(n),
		"keep":     []string{"out"},
	})
	if err != nil {
		panic(err) // only our own types are written
	}
	st, answer := s.do("POST", protocol.PathJobs, body)
	switch st {
	case 200, 201:
		s.loads[ref(n)] = loads
		return true
	case 400, 422:
		s.broke("%s was refused: %d %s", ref(n), st, answer)
		return true
	}
	s.r.Refused++
	return false
}

// poll asks for a few jobs that are not known to be done, and returns how many
// are left.
func (s *soak) poll() (left int) {
	asked := 0
	for id := range s.loads {
		if s.state[id] == "done" && s.rnd.IntN(20) > 0 {
			continue
		}
		if s.state[id] != "done" {
			left++
		}
		if asked++; asked > 10 {
			continue
		}
		st, body := s.do("GET", protocol.PathJobs+"/"+id, nil)
		var r protocol.JobState
		switch {
		case st == 404:
			s.broke("%s was accepted and is not known", id)
		case st != 200 || json.Unmarshal(body, &r) != nil:
		case s.state[id] == "done" && r.Status != "done":
			s.broke("%s went back from done to %s", id, r.Status)
		case r.Status == "done" && *r.Done != s.loads[id]:
			s.broke("%s is done with %d of %d tasks", id, *r.Done, s.loads[id])
		default:
			s.state[id] = r.Status
		}
	}
	return left
}

// loseMachine has the cloud take a drawn machine back, without notice.
func (s *soak) loseMachine() {
	there, _ := filepath.Glob(filepath.Join(s.o.Dir, "cloud/machines/*"))
	if len(there) == 0 {
		return
	}
	name := filepath.Base(there[s.rnd.IntN(len(there))])
	body, _ := json.Marshal(map[string]any{"stokers": []string{name}, "noticeS": 0})
	// It counts as lost whether or not the answer came.
	s.lost[name] = true
	if st, _ := s.ask(fmt.Sprintf("127.0.0.1:%d", s.ports.Provider), "POST", provider.PathPreemptions, body); st == 200 {
		s.r.Lost++
		time.Sleep(200 * time.Millisecond)
	}
}
