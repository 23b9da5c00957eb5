//go:build review

// Package kit has what the cases of the review share: a record of what was sent, answered
// and run, free ports on loopback, and processes that are ended with the case.
package kit

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	CantGo = 2
)

// Case is a running case.
type Case struct {
	Dir     string // temporary folder
	Program string // the built program
	Trouble bool

	mu      sync.Mutex
	start   time.Time
	record  *os.File
	running []*Process
}

// Process is a process that the case started.
type Process struct {
	Name string
	Cmd  *exec.Cmd
	done chan struct{}
}

// New opens the case's record, in the working directory, and its temporary folder. limit ends
// a case that takes too long, with status CantGo.
func New(limit time.Duration) *Case {
	c := &Case{start: time.Now(), Trouble: os.Getenv("TROUBLE") != "0", Program: os.Getenv("SILVERGATE")}
	var err error
	if c.record, err = os.Create("record.txt"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CantGo)
	}
	if c.Dir, err = os.MkdirTemp("", "silvergate-review-"); err != nil {
		c.Fail("%v", err)
	}
	if c.Program == "" {
		c.Fail("SILVERGATE does not name the program")
	}
	c.Log("case", "trouble=%v", c.Trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { c.Fail("ended by signal: %v", <-signals) }()
	time.AfterFunc(limit, func() { c.Fail("the case has taken longer than %s", limit) })
	return c
}

// maxLine is the length from which a line of the record is cut off.
const maxLine = 1200

// Log writes a line into the record.
func (c *Case) Log(who, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", " | ")
	if c.Dir != "" {
		text = strings.ReplaceAll(text, c.Dir, "DIR")
	}
	if c.Program != "" {
		text = strings.ReplaceAll(text, c.Program, "silvergate")
	}
	if len(text) > maxLine {
		text = fmt.Sprintf("%s... (%d bytes)", text[:maxLine], len(text))
	}
	fmt.Fprintf(c.record, "%8.3f %-12s %s\n", time.Since(c.start).Seconds(), who, text)
}

// Exit ends all processes and the case.
func (c *Case) Exit(status int) {
	c.Log("case", "exit %d", status)
	c.mu.Lock()
	running := c.running
	c.mu.Unlock()
	for i := len(running) - 1; i >= 0; i-- {
		running[i].Kill()
	}
	c.endMachines()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.Dir)
	}
	os.Exit(status)
}

// Fail ends a case that could not run.
func (c *Case) Fail(format string, args ...any) {
	c.Log("case", "could not run: "+format, args...)
	c.Exit(CantGo)
}

// Must ends the case if err is not nil.
func (c *Case) Must(err error) {
	if err != nil {
		c.Fail("%v", err)
	}
}

// Path returns a path in the temporary folder.
func (c *Case) Path(parts ...string) string {
	return filepath.Join(append([]string{c.Dir}, parts...)...)
}

// Write writes a file in the temporary folder and returns its path.
func (c *Case) Write(name, text string) string {
	path := c.Path(name)
	c.Must(os.MkdirAll(filepath.Dir(path), 0o700))
	c.Must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Ports returns n free ports on loopback.
func (c *Case) Ports(n int) (ports []int) {
	var held []net.Listener
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		c.Must(err)
		held = append(held, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range held {
		l.Close()
	}
	return ports
}

// Start starts the program with arguments; its log goes to NAME.log.
func (c *Case) Start(name string, args ...string) *Process {
	log, err := os.OpenFile(c.Path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.Must(err)
	defer log.Close()
	p := &Process{Name: name, Cmd: exec.Command(c.Program, args...), done: make(chan struct{})}
	p.Cmd.Dir, p.Cmd.Stdout, p.Cmd.Stderr = c.Dir, log, log
	p.Cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	c.Must(p.Cmd.Start())
	c.Log("case", "started %s: silvergate %s", name, strings.Join(args, " "))
	go func() {
		_ = p.Cmd.Wait()
		close(p.done)
	}()
	c.mu.Lock()
	c.running = append(c.running, p)
	c.mu.Unlock()
	return p
}

// Run runs the program with arguments until it ends, and returns what it printed.
func (c *Case) Run(args ...string) (string, error) {
	cmd := exec.Command(c.Program, args...)
	cmd.Dir = c.Dir
	out, err := cmd.CombinedOutput()
	c.Log("case", "ran silvergate %s: %v: %s", strings.Join(args, " "), err, bytes.TrimSpace(out))
	return string(out), err
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.Cmd.Process.Kill()
	<-p.done
}

// Machines calls do with the number of each process of the case's machines: agents, their
// watchdogs and what they run. Their working folder or their arguments lie in the case's
// temporary folder, which no other process uses.
func (c *Case) Machines(do func(pid int, what string)) {
	entries, _ := os.ReadDir("/proc")
	for _, e := range entries {
		var pid int
		if _, err := fmt.Sscanf(e.Name(), "%d", &pid); err != nil || pid == os.Getpid() {
			continue
		}
		line, _ := os.ReadFile(filepath.Join("/proc", e.Name(), "cmdline"))
		cwd, _ := os.Readlink(filepath.Join("/proc", e.Name(), "cwd"))
		what := strings.TrimSpace(strings.ReplaceAll(string(line), "\x00", " "))
		if strings.Contains(what, c.Dir) || strings.HasPrefix(cwd, c.Dir+"/") {
			do(pid, what)
		}
	}
}

func (c *Case) endMachines() {
	for range 50 {
		left := 0
		c.Machines(func(pid int, _ string) {
			left++
			_ = syscall.Kill(pid, syscall.SIGKILL)
		})
		if left == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// client has no proxy and keeps no connection.
var client = &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Call sends a request and returns status and body; status 0 means no answer.
func (c *Case) Call(who, method, address, path, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	c.Must(err)
	a, err := client.Do(r)
	if err != nil {
		c.Log(who, "%s %s %s -> no answer: %v", method, path, body, err)
		return 0, ""
	}
	defer a.Body.Close()
	raw, _ := io.ReadAll(a.Body)
	c.Log(who, "%s %s %s -> %d %s", method, path, body, a.StatusCode, raw)
	return a.StatusCode, string(raw)
}

// Site is a small site: a state service, a cloud of one machine or more, a file server and
// three controllers, each a process of its own.
type Site struct {
	State, Cloud, Files string
	Controllers         []string
	backs               []string
}

// Plan chooses the addresses of a site.
func (c *Case) Plan(controllers int) *Site {
	p := c.Ports(3 + 2*controllers)
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", p[i]) }
	s := &Site{State: at(0), Cloud: at(1), Files: at(2)}
	for i := range controllers {
		s.Controllers, s.backs = append(s.Controllers, at(3+2*i)), append(s.backs, at(4+2*i))
	}
	return s
}

// Facts are the figures of the deployment that the settings of controllers hold.
const Facts = `"zones":["north"],
"teams":[{"name":"office","cpus":4,"cpus_max":0,"gpus":0,"gpus_max":0},{"name":"guests","cpus":0,"cpus_max":0,"gpus":0,"gpus_max":0}],
"objectives":[{"kind":"wait","class":"report","within_s":10,"share":0.9}],
"workers":{"report_s":1,"lease_s":10,"gang_wait_s":20,"gang_peer_s":3,"cancel_s":30},
"state":{"rps":250,"write_rps":100,"value_kb":16,"txn_ops":12},
"cloud":{"rps":5,"list_lag_s":1},
"limits":{"cpu":1,"ram_mb":125,"max_sockets":400},
"time_bound_ms":5`

// StartState starts the state service.
func (c *Case) StartState(s *Site) {
	c.Start("state", "state", "serve", "--settings", c.Write("state.yaml", fmt.Sprintf(
		"listen: %s\ndir: %s\nlimits: {rps: 250, write_rps: 100, value_kb: 16, txn_ops: 12}\n", s.State, c.Path("state"))))
}

// StartControllers starts the controllers, each with the deploy file's command. operator is
// the operators' settings file, which lies beside the platform's.
func (c *Case) StartControllers(s *Site, operator string) {
	for i := range s.Controllers {
		var peers []string
		for k := range s.Controllers {
			if k != i {
				peers = append(peers, fmt.Sprintf(`{"node_name":"stoker-%d","site":"north","peer_addr":"%s"}`, k, s.backs[k]))
			}
		}
		dir := fmt.Sprintf("stoker-%d", i)
		if operator != "" {
			c.Write(dir+"/silvergate.yaml", operator)
		}
		path := c.Write(dir+"/settings.json", fmt.Sprintf(`{"node_name":"stoker-%d","site":"north","bind":"%s","back":"%s","peers":[%s],
"outside":{"cloud":"%s","state":"%s"},"facts":{"count":%d,%s}}`, i, s.Controllers[i], s.backs[i], strings.Join(peers, ","), s.Cloud, s.State, len(s.Controllers), Facts))
		c.Start(dir, "--config", path)
	}
}

// AwaitUp waits until every controller answers /up with 200.
func (c *Case) AwaitUp(s *Site) {
	for _, a := range s.Controllers {
		for {
			r, err := client.Get("http://" + a + "/up")
			if err == nil {
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.Log("case", "all controllers are up")
}

// Submit submits a job as users do, with retries, and ends the case if it is not accepted.
func (c *Case) Submit(s *Site, body string) {
	for i := range 30 {
		status, _ := c.Call("user", "POST", s.Controllers[i%len(s.Controllers)], "/v2/runs", body)
		switch status {
		case 200, 201:
			return
		case 400, 422:
			c.Fail("the submission is refused")
		}
		time.Sleep(time.Second)
	}
	c.Fail("the submission is not accepted")
}
