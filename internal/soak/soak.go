// Package soak runs a whole site and submits jobs that leave a trace in a file outside the
// site. At random moments it kills every process of the site and starts the site again. At
// the end it compares what was accepted, what ran and what was reported.
package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"silvergate/internal/agent"
	"silvergate/internal/proc"
	"silvergate/internal/protocol"
	"silvergate/internal/site"
	"silvergate/internal/transport"
)

// Options say where a run happens and how long it is.
type Options struct {
	Executable string   // path of the program, which is started with up --dir Dir
	Env        []string // added to its environment
	Dir        string   // a folder that is empty or does not exist
	Jobs       int
	Kills      int
	Seed       uint64
	// MeanKillInterval is the mean time between two kills.
	MeanKillInterval time.Duration
	// Limit is how long the jobs may take after the last kill.
	Limit time.Duration
	// CopyLaunches has copies of the controllers' direct launches arrive at the workers some time after
	// these were carried out. The site then logs at debug level.
	CopyLaunches bool
	// Disruptions is how often the running site is disrupted before the kills: machines are preempted with
	// notice, the archive or an agent is stopped for a while, controllers are killed one by one.
	Disruptions int
	Out         io.Writer // progress; may be nil
}

// Result is the result of a run. Broken is empty if the site has kept all its promises.
type Result struct {
	Accepted, Tasks, Effects, Repeated, Kills int
	Disruptions                               int `json:",omitempty"`
	// Kept is the number of attempts whose output was read back and compared, Lines the
	// number of their lines. Lost is the number of machines that were taken away without
	// notice, with their disks.
	Kept, Lines, Lost      int
	Copies, CopiesAccepted int // copies of launches that were sent, and those that the workers executed
	Refused                int // submissions that were refused or not answered, and tried again
	// Revision is the state service's revision at the end.
	Revision uint64 `json:"Ledger"`
	Took     time.Duration
	Broken   []string
}

// machinesDir is the folder in the site's that holds a folder for each machine.
const machinesDir = "cloud/machines"

// agentRecord is the file in a machine's folder that records its agent's process.
const agentRecord = "agent.json"

// maxBroken is the most broken promises that a result describes.
const maxBroken = 20

// soak is the state of a run.
type soak struct {
	options   Options
	random    *rand.Rand
	cmd       *exec.Cmd
	pool      *transport.Pool
	ports     *site.Ports
	trace     string            // file to which each attempt adds a line when it has done its work
	starts    string            // file to which each attempt adds a line when it starts
	submitted int               // number of jobs submitted so far
	tasks     map[string]int    // number of tasks, by accepted job
	status    map[string]string // last seen status, by job
	revision  uint64            // the state service's revision, as last read
	lost      map[string]bool   // machines taken away without notice
	result    Result
}

// reportViolation records a promise that the site has broken, up to maxBroken.
func (s *soak) reportViolation(format string, args ...any) {
	if len(s.result.Broken) < maxBroken {
		s.result.Broken = append(s.result.Broken, fmt.Sprintf(format, args...))
	}
}

// printProgress prints a line of progress to Options.Out, if it is set.
func (s *soak) printProgress(format string, args ...any) {
	if s.options.Out != nil {
		fmt.Fprintf(s.options.Out, format+"\n", args...)
	}
}

// Run runs a site and kills it as the options say. It returns an error only if the run itself
// fails; the site's faults are in Result.Broken.
func Run(o Options) (Result, error) {
	s := &soak{options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), pool: transport.NewPool(8), tasks: map[string]int{}, status: map[string]string{}, lost: map[string]bool{}}
	begun := time.Now()
	if err := s.createFiles(); err != nil {
		return s.result, err
	}
	defer s.kill()
	if err := s.start(); err != nil {
		return s.result, err
	}
	var copier *launchCopier
	if o.CopyLaunches {
		copier = startLaunchCopier(s.options.Dir, o.Seed)
		defer copier.finish()
	}
	for n := range o.Disruptions {
		s.disrupt(n + 1)
	}
	for range o.Kills {
		if err := s.submitAndKill(); err != nil {
			return s.result, err
		}
	}
	s.awaitJobs()
	s.readRevision()
	if copier != nil {
		s.result.Copies, s.result.CopiesAccepted = copier.finish()
		time.Sleep(latestCopy) // for attempts that a copy has started again to end
	}
	s.verify()
	s.result.Accepted, s.result.Revision, s.result.Took = len(s.tasks), s.revision, time.Since(begun)
	return s.result, nil
}

// createFiles creates the site's folder and the files to which attempts add their lines.
func (s *soak) createFiles() error {
	dir, err := filepath.Abs(s.options.Dir)
	if err != nil {
		return err
	}
	s.options.Dir = dir
	s.trace = filepath.Join(dir, "trace")
	s.starts = filepath.Join(dir, "starts")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	for _, file := range []string{s.trace, s.starts} {
		if err := os.WriteFile(file, nil, 0o600); err != nil {
			return err
		}
	}
	if s.options.Disruptions > 0 {
		return s.writeDisruptedSettings()
	}
	return nil
}

// submitAndKill submits the jobs that are due before the next kill and polls for a random time, kills
// the site and starts it again.
func (s *soak) submitAndKill() error {
	o := &s.options
	kill := s.result.Kills + 1
	until := time.Now().Add(time.Duration((0.3 + 1.4*s.random.Float64()) * float64(o.MeanKillInterval)))
	s.submitUntil(until, kill*o.Jobs/o.Kills)
	s.readRevision()
	if s.random.IntN(2) == 0 {
		s.loseMachine()
	}
	s.kill()
	s.result.Kills = kill
	s.printProgress("kill %d of %d: %d jobs accepted, revision %d", kill, o.Kills, len(s.tasks), s.revision)
	if err := s.start(); err != nil {
		return err
	}
	s.readRevision()
	return nil
}

// submitUntil submits jobs and polls until the given time. quota is the number of jobs that may have been
// submitted by then.
func (s *soak) submitUntil(until time.Time, quota int) {
	for time.Now().Before(until) {
		if s.submitted < quota && s.submit(s.submitted) {
			s.submitted++
		}
		s.poll()
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitJobs submits the jobs that are left and waits until all are done, up to Options.Limit.
func (s *soak) awaitJobs() {
	o := &s.options
	for limit := time.Now().Add(o.Limit); ; time.Sleep(50 * time.Millisecond) {
		if s.submitted < o.Jobs && s.submit(s.submitted) {
			s.submitted++
			continue
		}
		if left := s.poll(); left == 0 && s.submitted == o.Jobs {
			return
		} else if time.Now().After(limit) {
			s.reportViolation("%d jobs are not done, and %d of %d were accepted, %s after the last kill", left, s.submitted, o.Jobs, o.Limit)
			return
		}
	}
}

// start starts the site and waits until its ports can be read.
func (s *soak) start() error {
	log, err := os.OpenFile(filepath.Join(s.options.Dir, "up.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	s.cmd = exec.Command(s.options.Executable, "up", "--dir", s.options.Dir)
	s.cmd.Env = append(os.Environ(), s.options.Env...)
	if s.options.CopyLaunches {
		s.cmd.Env = append(s.cmd.Env, "LOG_LEVEL=debug")
	}
	s.cmd.Stdout, s.cmd.Stderr = log, log
	if err := s.cmd.Start(); err != nil {
		return err
	}
	for until := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if s.ports, err = site.ReadPorts(s.options.Dir); err == nil {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("the site does not start: %w; see %s", err, log.Name())
		}
	}
}

// killTimeout is how long a killed agent may take to be gone.
const killTimeout = 5 * time.Second

// kill kills every process of the site at once: the supervising process, its parts, the
// machines and the tasks.
func (s *soak) kill() {
	if s.cmd == nil {
		return
	}
	ids := append(s.parts("*"), s.processes(machinesDir+"/*/"+agentRecord)...)
	_ = s.cmd.Process.Kill()
	for _, id := range ids {
		_ = id.Signal(syscall.SIGKILL)
	}
	_ = s.cmd.Wait()
	s.cmd = nil
	// A machine that was being started has its record by now, or ends by itself.
	machines, _ := filepath.Glob(filepath.Join(s.options.Dir, machinesDir, "*"))
	for _, m := range machines {
		if id, err := proc.ReadRecord(filepath.Join(m, agentRecord)); err == nil {
			_ = id.Signal(syscall.SIGKILL)
			id.Await(time.Now().Add(killTimeout))
		}
		if err := agent.EndTasks(m); err != nil {
			s.reportViolation("tasks of %s outlive the site: %v", filepath.Base(m), err)
		}
	}
}

// requestAny sends a request to a random controller.
func (s *soak) requestAny(method, path string, body []byte) (int, []byte) {
	all := s.ports.Addresses()
	return s.request(all[s.random.IntN(len(all))], method, path, body)
}

// request sends a request and returns the status and body of the answer; 0 if there is none.
func (s *soak) request(addr, method, path string, body []byte) (int, []byte) {
	const timeout = 2 * time.Second
	stop := time.AfterFunc(timeout, func() { s.pool.Expire(time.Now().Add(timeout)) })
	defer stop.Stop()
	r, _, err := s.pool.Do(addr, method, path, body, timeout)
	if err != nil {
		return 0, nil
	}
	return r.Status, r.Body
}

func jobID(n int) string { return fmt.Sprintf("wk-%06d", n) }

// submit submits job n. It returns false if the job must be submitted again because it is not
// known to be accepted.
func (s *soak) submit(n int) bool {
	tasks := 1 + n%4
	body, err := json.Marshal(map[string]any{
		"ref": jobID(n), "jobclass": "soak", "crew": "office", "shape": "batch", "urgency": []string{"urgent", "standard", "idle"}[n%3],
		"loads": tasks, "cpus": 1, "accelerators": 0, "ramGb": 0.1, "kit": "base", "sizeGb": 0,
		"oneZone": false, "apart": false, "casual": n%2 == 0, "etaS": 1, "waypointS": 0, "stowS": 0,
		"command": []string{"/bin/sh", "-c", fmt.Sprintf(`echo "$SILVERGATE_JOB/$SILVERGATE_TASK $SILVERGATE_TRY $SILVERGATE_MACHINE" >> "$STARTS"
mkdir -p out; for i in 1 2 3 4 5; do echo "line $i of $SILVERGATE_JOB/$SILVERGATE_TASK $SILVERGATE_TRY"; sleep 0.0%d; done; sleep "$REST"
echo "result of $SILVERGATE_TASK" > out/result; head -c "$RESULT_BYTES" /dev/urandom >> out/result
echo "$SILVERGATE_JOB/$SILVERGATE_TASK $SILVERGATE_TRY $SILVERGATE_MACHINE" >> "$TRACE"
[ "$SILVERGATE_TRY" != "$FAILS" ]`, n%7)},
		"env":      map[string]string{"TRACE": s.trace, "STARTS": s.starts, "FAILS": s.failingAttempt(n), "REST": s.restTime(n), "RESULT_BYTES": s.resultBytes()},
		"customer": customer(n),
		"keep":     []string{"out"},
	})
	if err != nil {
		panic(err) // can't happen: all values can be encoded
	}
	st, answer := s.requestAny("POST", protocol.PathJobs, body)
	switch st {
	case 200, 201:
		s.tasks[jobID(n)] = tasks
		return true
	case 400, 422:
		s.reportViolation("%s was refused: %d %s", jobID(n), st, answer)
		return true
	}
	s.result.Refused++
	return false
}

// failingAttempt returns the attempt in which the tasks of job n fail; "0": none. While launches are copied, a third of
// the jobs fail once: the result of a task that is done is kept, so a copy of its launch runs nothing in any case. While the
// site is disrupted a third fails too, so that machines count as faulty.
func (s *soak) failingAttempt(n int) string {
	if (s.options.CopyLaunches || s.options.Disruptions > 0) && n%3 == 1 {
		return "1"
	}
	return "0"
}

// resultBytes returns how many bytes a task adds to its result.
func (s *soak) resultBytes() string {
	if s.options.Disruptions > 0 {
		return strconv.Itoa(disruptedResultBytes)
	}
	return "0"
}

// restTime returns how long the tasks of job n sleep, in seconds. While launches are copied, a third of the jobs keep
// their machines in use until copies of other tasks' launches arrive.
func (s *soak) restTime(n int) string {
	if s.options.CopyLaunches && n%3 == 2 {
		return "5"
	}
	return "0"
}

// poll asks for the status of a few jobs, mostly ones that are not known to be done, and returns
// the number of jobs that were not known to be done.
func (s *soak) poll() (left int) {
	asked := 0
	for id := range s.tasks {
		if s.status[id] == "done" && s.random.IntN(20) > 0 {
			continue
		}
		if s.status[id] != "done" {
			left++
		}
		if asked++; asked > 10 {
			continue
		}
		st, body := s.requestAny("GET", protocol.PathJobs+"/"+id, nil)
		var r protocol.JobState
		switch {
		case st == 404:
			s.reportViolation("%s was accepted and is not known", id)
		case st != 200 || json.Unmarshal(body, &r) != nil:
		case s.status[id] == "done" && r.Status != "done":
			s.reportViolation("%s went back from done to %s", id, r.Status)
		case r.Status == "done" && *r.Done != s.tasks[id]:
			s.reportViolation("%s is done with %d of %d tasks", id, *r.Done, s.tasks[id])
		default:
			s.status[id] = r.Status
		}
	}
	return left
}

// loseMachine preempts a random machine without notice.
func (s *soak) loseMachine() {
	folder := s.randomMachine()
	if folder == "" {
		return
	}
	name := filepath.Base(folder)
	// The machine may be gone even if no answer comes.
	s.lost[name] = true
	if s.preempt(name, 0) {
		s.result.Lost++
		time.Sleep(200 * time.Millisecond)
	}
}
