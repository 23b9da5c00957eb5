package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.yaml.in/yaml/v3"

	"silvergate/internal/archive"
	"silvergate/internal/archive/history"
	"silvergate/internal/archive/node"
	"silvergate/internal/archive/reader"
	"silvergate/internal/archive/ship"
)

const (
	// shipperName is the name of the shipper's process; all other processes are nodes.
	shipperName = "ship"
	// nodeCount is how many nodes the archive has.
	nodeCount = 3
	// writesPerSecond is how often each task writes.
	writesPerSecond = 10
	// startupDelay is how long the bench waits for the processes to start.
	startupDelay = 2 * time.Second
	// drainTimeout bounds the time until all output can be read, and restoreTimeout the
	// time until a node that lost its disk has all records again.
	drainTimeout   = 2 * time.Minute
	restoreTimeout = 5 * time.Minute
)

// bench is a measurement in progress.
type bench struct {
	options   Options
	site      *history.Site
	processes map[string]*process // by name
	files     []*os.File          // each task's output file
	attempts  []archive.Attempt   // each task's attempt
	sizes     []int64             // bytes that each task wrote
	reader    *reader.Client
	result    Result
}

// newBench creates the certificates and the grant key of an archive. The caller closes the
// bench.
func newBench(o Options) (*bench, error) {
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	site, err := history.New(o.Dir, nodeCount, quiet, nil)
	if err != nil {
		return nil, err
	}
	site.Close() // the bench starts each node as its own process
	return &bench{options: o, site: site, processes: map[string]*process{}, sizes: make([]int64, o.Tasks)}, nil
}

// close closes the tasks' output files and kills the processes.
func (b *bench) close() {
	for _, f := range b.files {
		f.Close()
	}
	for _, p := range b.processes {
		p.stop(syscall.SIGKILL)
	}
}

// run starts the processes and takes the measurements one after the other.
func (b *bench) run(ctx context.Context) error {
	for _, m := range b.site.Members {
		if err := b.startNode(m.Name); err != nil {
			return err
		}
	}
	if err := b.startShipper(); err != nil {
		return err
	}
	var err error
	if b.reader, err = b.site.NewReader("customer/office/baker"); err != nil {
		return err
	}
	time.Sleep(startupDelay)
	if err := b.measureWriting(ctx); err != nil {
		return err
	}
	if err := b.measureReading(ctx); err != nil {
		return err
	}
	return b.measureRestoring(ctx)
}

// startNode writes a node's settings and starts its process.
func (b *bench) startNode(name string) error {
	certs, err := b.site.IssueCertificate("node/" + name)
	if err != nil {
		return err
	}
	cfg := node.DefaultConfig()
	for _, m := range b.site.Members {
		if m.Name == name {
			cfg.Listen = m.Address
		}
	}
	cfg.Name = name
	cfg.Dir = filepath.Join(b.options.Dir, name)
	cfg.Certs = certs
	cfg.GrantKey = filepath.Join(b.options.Dir, "grant.key")
	cfg.Members = b.site.Members
	cfg.SyncS = 2
	cfg.SyncMBPerS = 0
	path, err := writeSettings(b.options.Dir, name, cfg)
	if err != nil {
		return err
	}
	b.processes[name], err = startProcess(b.options, name, "archive", "serve", "--settings", path)
	return err
}

// startShipper creates the tasks' folders, and starts the process that ships their output.
func (b *bench) startShipper() error {
	certs, err := b.site.IssueCertificate("agent/bench")
	if err != nil {
		return err
	}
	settings := Settings{Dir: filepath.Join(b.options.Dir, "tasks"), Ship: ship.DefaultConfig()}
	settings.Ship.Members = b.site.Members
	settings.Ship.Certs = certs
	settings.Ship.RateMBPerS = 0
	settings.Ship.SpoolMB = 10_000
	for i := range b.options.Tasks {
		if err := b.makeTask(settings.Dir, i); err != nil {
			return err
		}
	}
	path, err := writeSettings(b.options.Dir, shipperName, settings)
	if err != nil {
		return err
	}
	b.processes[shipperName], err = startProcess(b.options, shipperName, "archive", "bench-ship", "--settings", path)
	return err
}

// makeTask creates a task's folder with its grant and its output file.
func (b *bench) makeTask(root string, i int) error {
	a := archive.Attempt{Job: fmt.Sprintf("wk-%06d", i/100), Task: i % 100, Try: 1, Machine: "bench"}
	dir := filepath.Join(root, strings.ReplaceAll(a.String(), "/", "+"))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	terms := archive.Terms{Owner: archive.Owner{Team: "office", Customer: "baker"}, Class: "bench"}
	grant := b.site.Key.Sign(archive.Grant{Attempt: a, Terms: terms, At: time.Now().UnixMilli()})
	if err := os.WriteFile(filepath.Join(dir, "grant.json"), archive.Encode(grant), 0o600); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(dir, archive.Stdout), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	b.files, b.attempts = append(b.files, f), append(b.attempts, a)
	return nil
}

// measureWriting writes the tasks' output and waits until all of it can be read. It
// measures the processes' CPU and memory during the writing, the delays until output can
// be read, and the compression on disk.
func (b *bench) measureWriting(ctx context.Context) error {
	before := map[string]time.Duration{}
	for name, p := range b.processes {
		before[name], _ = p.usage()
	}
	sampler := b.startSampler(ctx)
	took, err := b.writeOutput(sampler)
	if err != nil {
		return err
	}
	b.result.Tasks = b.options.Tasks
	b.result.MBPerS = float64(b.result.Written) / 1e6 / took.Seconds()
	b.measureUsage(before, took)
	if err := b.drain(ctx); err != nil {
		return err
	}
	delays := sampler.end()
	b.result.DelayP50MS = float64(delays.ValueAtQuantile(50))
	b.result.DelayP99MS = float64(delays.ValueAtQuantile(99))
	stored := diskUsage(filepath.Join(b.options.Dir, b.site.Members[0].Name))
	b.result.Packed = float64(b.result.Written) / float64(stored)
	if b.options.Out != nil {
		fmt.Fprintf(b.options.Out, "%d tasks wrote %d MB\n", b.options.Tasks, b.result.Written/1e6)
	}
	return nil
}

// outputSize is the size of the first task's output at a time.
type outputSize struct {
	size int64
	when time.Time
}

// sampler measures delays: the time between writing lines of the first task's output and
// reading them by polling.
type sampler struct {
	delays  *hdrhistogram.Histogram // milliseconds
	written chan outputSize
	stop    chan struct{}
	done    chan struct{}
}

// startSampler starts a goroutine that reads the first task's output and records delays.
func (b *bench) startSampler(ctx context.Context) *sampler {
	s := &sampler{
		delays:  hdrhistogram.New(1, 600_000, 3),
		written: make(chan outputSize, 1<<16),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		var from int64
		for w := range s.written {
			for {
				p, err := b.reader.Page(ctx, b.attempts[0], archive.Stdout, from)
				if err == nil {
					from = p.Next
				}
				if from >= w.size {
					break
				}
				select {
				case <-s.stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
			}
			_ = s.delays.RecordValue(max(1, time.Since(w.when).Milliseconds()))
		}
	}()
	return s
}

// end stops the sampler and returns the delays.
func (s *sampler) end() *hdrhistogram.Histogram {
	close(s.written)
	close(s.stop)
	<-s.done
	return s.delays
}

// writeOutput writes the lines of all tasks at a steady rate, tells the sampler the first
// task's size after each write, and returns how long it took.
func (b *bench) writeOutput(s *sampler) (time.Duration, error) {
	start := time.Now()
	for write := 0; time.Since(start) < b.options.Duration; write++ {
		for i, f := range b.files {
			var text strings.Builder
			for k := range max(1, b.options.Lines/writesPerSecond) {
				text.WriteString(outputLine(i, write*b.options.Lines/writesPerSecond+k))
			}
			n, err := f.WriteString(text.String())
			if err != nil {
				return 0, err
			}
			b.sizes[i] += int64(n)
			b.result.Written += int64(n)
		}
		select {
		case s.written <- outputSize{b.sizes[0], time.Now()}:
		default:
		}
		if wait := time.Until(start.Add(time.Duration(write+1) * time.Second / writesPerSecond)); wait > 0 {
			time.Sleep(wait)
		}
	}
	return time.Since(start), nil
}

// measureUsage records the average CPU use and the present memory of the shipper, and the
// maxima of both over the nodes. before holds the processes' CPU times at the start of the
// writing, and took is how long the writing lasted.
func (b *bench) measureUsage(before map[string]time.Duration, took time.Duration) {
	r := &b.result
	for name, p := range b.processes {
		cpu, memory := p.usage()
		cores, mb := (cpu-before[name]).Seconds()/took.Seconds(), float64(memory)/1e6
		if name == shipperName {
			r.AgentCPU, r.AgentMB = cores, mb
		} else {
			r.NodeCPU, r.NodeMB = max(r.NodeCPU, cores), max(r.NodeMB, mb)
		}
	}
}

// drain waits until all output can be read.
func (b *bench) drain(ctx context.Context) error {
	start := time.Now()
	for i := 0; i < b.options.Tasks; {
		p, err := b.reader.Page(ctx, b.attempts[i], archive.Stdout, b.sizes[i]-1)
		if err == nil && p.Next >= b.sizes[i] {
			i++
			continue
		}
		if time.Since(start) > drainTimeout {
			return fmt.Errorf("task %d: its %d bytes of output can't be read in time: %w", i, b.sizes[i], err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.result.DrainedAfterS = time.Since(start).Seconds()
	return nil
}

// measureReading measures reading and searching all output through one node.
func (b *bench) measureReading(ctx context.Context) error {
	start := time.Now()
	total := int64(0)
	for i := range b.attempts {
		n, err := b.search(ctx, i)
		if err != nil {
			return err
		}
		total += n
	}
	if total != b.result.Written {
		return fmt.Errorf("read %d bytes of output, want %d", total, b.result.Written)
	}
	b.result.GrepS = time.Since(start).Seconds()
	b.result.GrepMBPerS = float64(total) / 1e6 / b.result.GrepS
	return nil
}

// search reads a task's output, searches it for a text that it does not contain, and
// returns how many bytes it read.
func (b *bench) search(ctx context.Context, task int) (total int64, err error) {
	for from := int64(0); from < b.sizes[task]; {
		p, err := b.reader.Page(ctx, b.attempts[task], archive.Stdout, from)
		if err != nil {
			return total, err
		}
		for _, piece := range p.Pieces {
			total += int64(len(piece.Data))
			if strings.Contains(string(piece.Data), "nothing has this") {
				return total, errors.New("found a text in the output that no task wrote")
			}
		}
		if p.Next <= from {
			return total, fmt.Errorf("%s: no output after byte %d of %d", b.attempts[task], from, b.sizes[task])
		}
		from = p.Next
	}
	return total, nil
}

// measureRestoring stops the shipper, kills a node, deletes the node's data and starts the
// node again. It measures how long it takes until the node has as many records as another.
func (b *bench) measureRestoring(ctx context.Context) error {
	lost := b.site.Members[nodeCount-1].Name
	b.processes[shipperName].stop(syscall.SIGTERM)
	b.processes[lost].stop(syscall.SIGKILL)
	if err := os.RemoveAll(filepath.Join(b.options.Dir, lost)); err != nil {
		return err
	}
	start := time.Now()
	if err := b.startNode(lost); err != nil {
		return err
	}
	operator, err := b.site.NewReader("operator/bench")
	if err != nil {
		return err
	}
	for restored := false; !restored; time.Sleep(50 * time.Millisecond) {
		records := recordCounts(ctx, operator)
		want := records[b.site.Members[0].Name]
		restored = want > 0 && records[lost] == want
		if time.Since(start) > restoreTimeout {
			return fmt.Errorf("the lost node was not restored in time; records of each node: %v", records)
		}
	}
	b.result.LevelS = time.Since(start).Seconds()
	b.result.LevelMBPerS = float64(diskUsage(filepath.Join(b.options.Dir, lost))) / 1e6 / b.result.LevelS
	return nil
}

// recordCounts returns, for each node that answers, how many records the node has.
func recordCounts(ctx context.Context, operator *reader.Client) map[string]int64 {
	records := map[string]int64{}
	operator.EachNode(ctx, http.MethodGet, node.PathStats, nil, func(name string, raw []byte, err error) {
		var stats node.Stats
		if err == nil && json.Unmarshal(raw, &stats) == nil {
			records[name] = stats.Records
		}
	})
	return records
}

// outputLine returns a generated line of output of about a hundred bytes. Part of it is the
// same in all lines, as in real logs.
func outputLine(task, n int) string {
	x := uint64(task+1)*0x9e3779b97f4a7c15 ^ uint64(n)*0xbf58476d1ce4e5b9
	x ^= x >> 29
	return fmt.Sprintf("%08d INFO forecast step=%06d cell=%016x loss=%08.5f grad=%08.5f msg=\"window advanced\"\n", n, n%100000, x, float64(x%99991)/999, float64(x%7919)/77)
}

// writeSettings writes settings into a YAML file and returns its path.
func writeSettings(dir, name string, settings any) (string, error) {
	raw, err := yaml.Marshal(settings)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, name+".yaml")
	return path, os.WriteFile(path, raw, 0o600)
}

// diskUsage returns the total size in bytes of the files in a folder.
func diskUsage(dir string) (n int64) {
	_ = filepath.WalkDir(dir, func(_ string, d os.DirEntry, err error) error {
		if err == nil && d.Type().IsRegular() {
			if info, err := d.Info(); err == nil {
				n += info.Size()
			}
		}
		return nil
	})
	return n
}
