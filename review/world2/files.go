//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// fileSite is a whole site of the project's own programs, as silvergate up runs it: state service, cloud, agents and archive
// nodes beside the controllers.
type fileSite struct {
	dir, program string
	record       *os.File
	start        time.Time
	up           *exec.Cmd
}

func (s *fileSite) log(format string, args ...any) {
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// run runs one of the users' commands.
func (s *fileSite) run(args ...string) (string, error) {
	out, err := exec.Command(s.program, append(args, "--site", s.dir)...).CombinedOutput()
	s.log("silvergate %s: %s", strings.Join(args, " "), strings.ReplaceAll(strings.TrimSpace(string(out)), "\n", " | "))
	return string(out), err
}

// job is a job that runs a program.
func (s *fileSite) job(ref, shape, urgency string, cpus, ram float64, keep []string, script string) string {
	j := map[string]any{"ref": ref, "jobclass": "report", "crew": "office", "shape": shape, "urgency": urgency, "loads": 1, "cpus": cpus, "accelerators": 0, "ramGb": ram,
		"kit": "base", "sizeGb": 0, "rigs": nil, "depot": "north", "oneZone": false, "apart": false, "casual": false, "etaS": 0, "waypointS": 0, "stowS": 0,
		"command": []string{"/bin/sh", "-c", script}}
	if keep != nil {
		j["keep"] = keep
	}
	b, err := json.Marshal(j)
	must(err)
	path := filepath.Join(s.dir, "..", ref+".json")
	must(os.WriteFile(path, b, 0o600))
	return path
}

// machineOf returns the machine that ran an attempt, and all its processes.
func (s *fileSite) machineOf(attempt string) (name string, pids []int) {
	found, _ := filepath.Glob(filepath.Join(s.dir, "cloud/machines/*/tasks", attempt))
	if len(found) != 1 {
		return "", nil
	}
	folder := filepath.Dir(filepath.Dir(found[0]))
	b, err := os.ReadFile(filepath.Join(folder, "agent.json"))
	must(err)
	var agent struct{ PID int }
	must(json.Unmarshal(b, &agent))
	children := map[int][]int{}
	all, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, path := range all {
		b, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		rest := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
		pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		parent, _ := strconv.Atoi(rest[1])
		children[parent] = append(children[parent], pid)
	}
	pids = []int{agent.PID}
	for i := 0; i < len(pids); i++ {
		pids = append(pids, children[pids[i]]...)
	}
	return filepath.Base(folder), pids
}

func (s *fileSite) close() {
	s.up.Process.Signal(syscall.SIGINT)
	ended := make(chan struct{})
	go func() { s.up.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(12 * time.Second):
		s.up.Process.Kill()
	}
	os.RemoveAll(filepath.Dir(s.dir))
}

const (
	fileBytes = 90_000_000 // deploy/up.yaml: file_mb 100
	hang      = 40 * time.Second
)

// playSite runs a case on a whole site: that of the file of a job that is done, or that of the last member of a gang.
func playSite(recordPath string, trouble, member bool) (code int) {
	root := os.Getenv("ROOT")
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	tmp, err := os.MkdirTemp("", "site")
	must(err)
	s := &fileSite{dir: filepath.Join(tmp, "site"), program: filepath.Join(root, "target/silvergate"), record: record, start: time.Now()}
	s.log("trouble: %v", trouble)
	settings, err := os.ReadFile(filepath.Join(root, "deploy/up.yaml"))
	must(err)
	machines, cpus := 4, 3.0
	if member {
		machines, cpus = 2, 2.5
	}
	path := filepath.Join(tmp, "up.yaml")
	settings = []byte(strings.Replace(string(settings), "north: 2", "north: "+strconv.Itoa(machines), 1))
	must(os.WriteFile(path, settings, 0o600))
	s.up = exec.Command(s.program, "up", "--dir", s.dir, "--settings", path)
	s.up.Dir = root
	must(s.up.Start())
	defer s.close()
	defer func() {
		if r := recover(); r != nil {
			s.log("the case could not run: %v", r)
			fmt.Println("could not run:", r)
			code = 2
		}
	}()
	time.Sleep(3 * time.Second)
	// Services that fill most of a machine each, so that the controller of the zone hears other machines, too.
	services := []string{"wk-000011", "wk-000012", "wk-000013", "wk-000014"}[:machines]
	for _, ref := range services {
		if out, err := s.run("submit", s.job(ref, "standing", "prod", cpus, 0.5, nil, "while :; do sleep 1; done")); err != nil {
			panic(cannotRun(out))
		}
	}
	for i := 0; ; i++ {
		running := 0
		for _, ref := range services {
			if out, _ := s.run("show", ref); strings.Contains(out, "running, 0 done, 1") {
				running++
			}
		}
		if running == len(services) {
			break
		}
		if i == 20 {
			panic(cannotRun("the services do not run"))
		}
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second)
	s.run("nodes")
	if member {
		if s.playMember(trouble) {
			s.log("the rule held")
			fmt.Println("the rule held")
			return 0
		}
		s.log("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	script := fmt.Sprintf("head -c %d /dev/urandom > out.bin; echo made $(wc -c < out.bin) bytes", fileBytes)
	out, err := s.run("submit", "--wait", s.job("wk-000003", "batch", "standard", 1, 0.2, []string{"*.bin"}, script))
	if err != nil || !strings.Contains(out, "wk-000003 done") {
		panic(cannotRun("the job is not done: " + out))
	}
	s.log("the user has been told that wk-000003 is done")
	machine, pids := s.machineOf("wk-000003.0.1")
	s.log("it ran on %s, processes %v", machine, pids)
	if trouble {
		if len(pids) < 3 {
			panic(cannotRun("the machine's processes are not found"))
		}
		for _, p := range pids {
			syscall.Kill(p, syscall.SIGSTOP)
		}
		s.log("the machine hangs: its processes are stopped")
		time.Sleep(hang)
		// The machine goes on, if it is still there.
		if _, now := s.machineOf("wk-000003.0.1"); len(now) > 0 && now[0] == pids[0] {
			for _, p := range now {
				syscall.Kill(p, syscall.SIGCONT)
			}
			s.log("the machine goes on")
		} else {
			s.log("the machine was deleted while it hung")
		}
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if out, _ = s.run("artefacts", "list", "wk-000003"); strings.Contains(out, strconv.Itoa(fileBytes)) {
			s.log("the rule held")
			fmt.Println("the rule held")
			return 0
		}
	}
	s.run("logs", "wk-000003")
	s.run("show", "wk-000003")
	s.run("why", "wk-000003")
	s.log("the rule was broken: the file of a job that is done is not kept")
	fmt.Println("the rule was broken")
	return 1
}
