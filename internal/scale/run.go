package scale

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"

	"silvergate/internal/metrics"
	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

// Options holds the scenario of a run, the run's folder, and the program that its processes
// run.
type Options struct {
	Scenario   *Scenario
	Dir        string // an empty folder, or one that does not exist yet
	Executable string // path of the program that every process of the run executes
	Out        io.Writer
	Log        *slog.Logger
}

// StateResult counts the requests to a cell's state service: in total, and in each interval
// between two scrapes, which are about a second apart.
type StateResult struct {
	Cell     int     `json:"cell"`
	Requests float64 `json:"requests"`
	Refused  float64 `json:"refused"`
	Changes  float64 `json:"changes"`
	PerS     []Rates `json:"perS"`
}

// Rates counts a state service's requests and changes between two scrapes, about a second
// apart.
type Rates struct {
	AtS      float64 `json:"atS"`
	Requests float64 `json:"requests"`
	Changes  float64 `json:"changes"`
}

// Result is what a run has measured.
type Result struct {
	Scenario   *Scenario       `json:"scenario"`
	StartedAt  time.Time       `json:"begun"`
	TookS      float64         `json:"tookS"`
	Completed  bool            `json:"whole"` // false: the run ended early, by an error or a signal
	Cells      []*CellResult   `json:"cells"`
	Processes  []ProcessResult `json:"processes"`
	States     []StateResult   `json:"states"`
	PeakGB     float64         `json:"peakGb"` // peak resident memory of all processes together
	Violations int             `json:"broken"` // how often rules were broken, over all cells
}

// Times of a run. endMargin is how long cells may take after the drain time until the run fails.
const (
	startTimeout   = 60 * time.Second
	endMargin      = 30 * time.Second
	progressPeriod = 5 * time.Second
	scrapeTimeout  = 2 * time.Second
)

// spareFiles is how many open files a cell process needs beside the sockets of its workers,
// their heartbeats and its users.
const spareFiles = 512

// run is the state of a run.
type run struct {
	Options
	layout    *layout
	processes []*process
	startedAt time.Time
	states    []StateResult
	peakBytes uint64
	maxBytes  uint64
}

// Run runs a scenario and returns what it measured. All processes that it started have ended
// when it returns, also when ctx is cancelled.
func Run(ctx context.Context, o Options) (*Result, error) {
	r := &run{Options: o}
	if err := r.check(); err != nil {
		return nil, err
	}
	allocator := &portAllocator{}
	var err error
	r.layout, err = newLayout(o.Scenario, allocator.allocate)
	allocator.release()
	if err != nil {
		return nil, err
	}
	defer r.endAll()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	err = r.supervise(ctx)
	r.endAll()
	result, readErr := r.collect()
	result.Completed = err == nil
	return result, errors.Join(err, readErr)
}

// check returns an error if this machine has too little memory or too few open files for the
// scenario, or if the run's folder is not empty. It also creates that folder.
func (r *run) check() error {
	s := r.Scenario
	maxGB := s.MemoryGB
	halfGB := float64(totalMemory()) * maxMemoryShare / (1 << 30)
	if maxGB == 0 || halfGB > 0 && maxGB > halfGB {
		maxGB = halfGB
	}
	if need := s.EstimatedGB(); maxGB > 0 && need > maxGB {
		return fmt.Errorf("memory_gb: the run is estimated to take %.1f GB, more than the %.1f GB allowed (memory_gb, or half of this machine's memory)", need, maxGB)
	}
	r.maxBytes = uint64(maxGB * (1 << 30))
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil {
		if need := uint64(s.Workers + heartbeatConnections(s) + userConnections + spareFiles); files.Cur < need {
			return fmt.Errorf("workers: a cell of %d takes %d open files, and this machine's limit is %d", s.Workers, need, files.Cur)
		}
	}
	entries, err := os.ReadDir(r.Dir)
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return fmt.Errorf("dir: %w", err)
	case len(entries) > 0:
		return fmt.Errorf("dir: %s is not empty", r.Dir)
	}
	if err := os.MkdirAll(r.Dir, 0o700); err != nil {
		return fmt.Errorf("dir: %w", err)
	}
	r.Dir, err = filepath.Abs(r.Dir)
	return err
}

func (r *run) cellDir(c *cellLayout) string {
	return filepath.Join(r.Dir, fmt.Sprintf("cell-%d", c.number))
}

func (r *run) resultFile(c *cellLayout) string { return filepath.Join(r.cellDir(c), "result.json") }

func cellName(number int) string { return fmt.Sprintf("cell-%d", number) }

// start writes the settings of all processes and starts them: state services and controllers
// first, then the cell processes, which talk to them. It waits until all controllers are up.
func (r *run) start(ctx context.Context) error {
	for _, c := range r.layout.cells {
		if err := r.startServices(c); err != nil {
			return err
		}
	}
	for _, c := range r.layout.cells {
		settings := CellSettings{Scenario: r.Scenario, Number: c.number, State: c.statePort, Cloud: c.cloudPort, Controllers: c.controllerPorts, Dir: r.cellDir(c)}
		path, err := r.writeYAML(c, "cell.yaml", settings)
		if err != nil {
			return err
		}
		if err := r.addProcess(c, cellName(c.number), "scale", "cell-process", "--settings", path, "--result", r.resultFile(c)); err != nil {
			return err
		}
	}
	limit, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, c := range r.layout.cells {
		for _, port := range c.controllerPorts {
			if err := awaitUp(limit, loopback(port)); err != nil {
				return fmt.Errorf("cell %d: a controller is not up within %s; its log is in %s", c.number, startTimeout, r.cellDir(c))
			}
		}
	}
	r.startedAt = time.Now()
	return nil
}

func (r *run) writeYAML(c *cellLayout, name string, v any) (string, error) {
	raw, err := yaml.Marshal(v)
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.cellDir(c), name)
	return path, os.WriteFile(path, raw, 0o600)
}

// writeOperatorSettings writes the operators' settings of a cell's controllers and returns
// the file's path.
func (r *run) writeOperatorSettings(c *cellLayout) (string, error) {
	raw, err := r.Scenario.operatorSettings()
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.cellDir(c), "silvergate.yaml")
	return path, os.WriteFile(path, raw, 0o600)
}

// startServices writes the settings of a cell's state service and controllers and starts them.
func (r *run) startServices(c *cellLayout) error {
	if err := os.MkdirAll(r.cellDir(c), 0o700); err != nil {
		return err
	}
	path, err := r.writeYAML(c, "state.yaml", c.stateSettings(filepath.Join(r.cellDir(c), "state")))
	if err != nil {
		return err
	}
	if err := r.addProcess(c, fmt.Sprintf("state-%d", c.number), "state", "serve", "--settings", path); err != nil {
		return err
	}
	operator, err := r.writeOperatorSettings(c)
	if err != nil {
		return err
	}
	for i := range c.controllerPorts {
		raw, err := c.controllerSettings(i)
		if err != nil {
			return err
		}
		path := filepath.Join(r.cellDir(c), controllerName(i)+".json")
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			return err
		}
		if err := r.addProcess(c, fmt.Sprintf("controller-%d-%d", c.number, i), "--config", path, "--operator", operator); err != nil {
			return err
		}
	}
	return nil
}

// awaitUp waits until a controller answers GET /up with 200.
func awaitUp(ctx context.Context, address string) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+protocol.PathHealth, nil)
		if err != nil {
			return err
		}
		if answer, err := client.Do(request); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// supervise measures the processes once a second, kills controllers at the times of the
// scenario's faults, and restarts controllers that end by themselves. It returns when all cell
// processes have ended.
func (r *run) supervise(ctx context.Context) error {
	s := r.Scenario
	for range r.layout.cells {
		r.states = append(r.states, StateResult{Cell: len(r.states)})
	}
	for i := range s.Faults {
		if s.Faults[i].Kind == FaultControllerKill {
			go r.killControllers(ctx, s.Faults[i])
		}
	}
	limit := time.Duration((s.DurationS+s.DrainS)*float64(time.Second)) + endMargin
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	lastProgressAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return errors.New("the run was interrupted")
		case <-ticker.C:
		}
		took := time.Since(r.startedAt)
		if err := r.measure(); err != nil {
			return err
		}
		r.scrape()
		if r.cellsDone() {
			return nil
		}
		if err := r.restartControllers(); err != nil {
			return err
		}
		if took > limit {
			return fmt.Errorf("the run is not over after %s", limit)
		}
		if time.Since(lastProgressAt) > progressPeriod {
			lastProgressAt = time.Now()
			fmt.Fprintf(r.Out, "%s: %.0f s, at most %.0f s left; %.1f GB of memory\n", s.Name, took.Seconds(), (limit - endMargin - took).Seconds(), float64(r.peakBytes)/(1<<30))
		}
	}
}

// measure records what all processes use. It returns an error, which ends the run, if they use
// more memory than the run may.
func (r *run) measure() error {
	var sum uint64
	for _, p := range r.processes {
		sum += p.measure()
	}
	r.peakBytes = max(r.peakBytes, sum)
	if r.maxBytes > 0 && sum > r.maxBytes {
		return fmt.Errorf("memory_gb: the run takes %.1f GB, more than %.1f GB", float64(sum)/(1<<30), float64(r.maxBytes)/(1<<30))
	}
	return nil
}

// cellsDone reports whether all cell processes have ended.
func (r *run) cellsDone() bool {
	for _, p := range r.processes {
		if strings.HasPrefix(p.name, "cell-") && p.alive() {
			return false
		}
	}
	return true
}

// restartControllers restarts controllers that have ended by themselves. If a state service
// has, it returns an error, which ends the run.
func (r *run) restartControllers() error {
	for _, p := range r.processes {
		p.mu.Lock()
		wanted := p.shouldRun
		p.mu.Unlock()
		if !wanted || p.alive() || strings.HasPrefix(p.name, "cell-") {
			continue
		}
		if !strings.HasPrefix(p.name, "controller-") {
			return fmt.Errorf("%s ended by itself: %v", p.name, p.exitErr)
		}
		p.mu.Lock()
		p.result.UnexpectedExits++
		p.mu.Unlock()
		p.accumulateUsage()
		if err := r.launch(p, r.controllerDir(p)); err != nil {
			return err
		}
	}
	return nil
}

// controllerDir returns the folder of the cell that a controller belongs to.
func (r *run) controllerDir(p *process) string {
	number, _, _ := strings.Cut(strings.TrimPrefix(p.name, "controller-"), "-")
	return filepath.Join(r.Dir, "cell-"+number)
}

// killControllers kills the first f.Count controllers of each cell at the fault's time, and
// starts them again after the scenario's RestartS.
func (r *run) killControllers(ctx context.Context, f Fault) {
	select {
	case <-time.After(time.Duration(f.AtS*float64(time.Second)) - time.Since(r.startedAt)):
	case <-ctx.Done():
		return
	}
	var killed []*process
	for _, c := range r.layout.cells {
		for i := range f.Count {
			name := fmt.Sprintf("controller-%d-%d", c.number, i)
			for _, p := range r.processes {
				if p.name == name {
					killed = append(killed, p)
				}
			}
		}
	}
	for _, p := range killed {
		p.mu.Lock()
		p.result.Killed++
		p.mu.Unlock()
		p.end(syscall.SIGKILL)
	}
	r.Log.Info("fault", "kind", f.Kind, "controllers", len(killed))
	select {
	case <-time.After(time.Duration(r.Scenario.RestartS * float64(time.Second))):
	case <-ctx.Done():
		return
	}
	for _, p := range killed {
		if err := r.launch(p, r.controllerDir(p)); err != nil {
			r.Log.Error("a controller can't be started again", "name", p.name, "error", err)
		}
	}
}

// scrape reads the counters of the state services from their metrics. It skips a service that
// does not answer.
func (r *run) scrape() {
	pool := transport.NewPool(len(r.layout.cells))
	late := time.AfterFunc(scrapeTimeout, func() { pool.Expire(time.Now().Add(time.Hour)) })
	defer late.Stop()
	for i, c := range r.layout.cells {
		answer, _, err := pool.Do(loopback(c.statePort), http.MethodGet, metrics.Path, nil, scrapeTimeout)
		if err != nil || answer.Status != http.StatusOK {
			continue
		}
		figures := parseMetrics(answer.Body)
		state := &r.states[i]
		requests, changes := figures["state_requests"], figures["state_changes"]
		state.PerS = append(state.PerS, Rates{AtS: time.Since(r.startedAt).Seconds(),
			Requests: requests - state.Requests, Changes: changes - state.Changes})
		state.Requests, state.Changes, state.Refused = requests, changes, figures["state_refused"]
	}
	pool.Expire(time.Now().Add(time.Hour))
}

// parseMetrics reads metrics in the Prometheus text format. The keys of the result are the
// metrics' names without labels, the program's prefix and the suffix of counters.
func parseMetrics(body []byte) map[string]float64 {
	out := map[string]float64{}
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		name, value, found := strings.Cut(lines.Text(), " ")
		if !found || strings.HasPrefix(name, "#") {
			continue
		}
		name, _, _ = strings.Cut(name, "{")
		name = strings.TrimSuffix(strings.TrimPrefix(name, "silvergate_"), "_total")
		if v, err := strconv.ParseFloat(strings.Fields(value)[0], 64); err == nil {
			out[name] = v
		}
	}
	return out
}

// collect sums up what the processes have used and reads the cells' results.
func (r *run) collect() (*Result, error) {
	out := &Result{Scenario: r.Scenario, StartedAt: r.startedAt, TookS: time.Since(r.startedAt).Seconds(), States: r.states, PeakGB: float64(r.peakBytes) / (1 << 30)}
	for _, p := range r.processes {
		p.mu.Lock()
		p.result.CPUS = (p.earlierCPU + p.lastUsage.cpu).Seconds()
		if p.result.uptimeS > 0 {
			p.result.CoreMs = 1000 * p.result.CPUS / p.result.uptimeS
		}
		out.Processes = append(out.Processes, p.result)
		p.mu.Unlock()
	}
	var errs []error
	for _, c := range r.layout.cells {
		raw, err := os.ReadFile(r.resultFile(c))
		if err != nil {
			errs = append(errs, fmt.Errorf("cell %d has no result: %w", c.number, err))
			continue
		}
		cell := &CellResult{}
		if err := json.Unmarshal(raw, cell); err != nil {
			errs = append(errs, err)
			continue
		}
		out.Cells = append(out.Cells, cell)
		for _, n := range cell.Violations {
			out.Violations += n
		}
	}
	return out, errors.Join(errs...)
}
