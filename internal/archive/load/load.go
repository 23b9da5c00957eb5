// Package load measures an archive on this machine: nodes and a machine's shipper
// as processes of their own, and programs made up here that write lines at a steady
// rate. It tells what each process takes, how late output can be read, and how fast
// a lost node comes level.
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
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.yaml.in/yaml/v3"

	"silvergate/internal/archive"
	"silvergate/internal/archive/history"
	"silvergate/internal/archive/node"
	"silvergate/internal/archive/ship"
	"silvergate/internal/proc"
)

// Options say how much.
type Options struct {
	Self  string // the program
	Dir   string
	Tasks int
	Lines int // a second, of each task
	For   time.Duration
	Out   io.Writer // progress
}

// Result is what was measured.
type Result struct {
	Tasks         int     `json:"tasks"`
	Written       int64   `json:"written"`  // bytes of output
	MBPerS        float64 `json:"mbPerS"`   // of output
	AgentCPU      float64 `json:"agentCpu"` // share of a core
	AgentMB       float64 `json:"agentMb"`
	NodeCPU       float64 `json:"nodeCpu"` // the most of any node
	NodeMB        float64 `json:"nodeMb"`
	DelayP50MS    float64 `json:"delayP50Ms"` // from a line's writing until it can be read
	DelayP99MS    float64 `json:"delayP99Ms"`
	Packed        float64 `json:"packed"` // bytes of output for each byte kept on a node
	LevelS        float64 `json:"levelS"` // until a node that lost its disk had all again
	LevelMBPerS   float64 `json:"levelMbPerS"`
	GrepS         float64 `json:"grepS"` // reading all of it through one node
	GrepMBPerS    float64 `json:"grepMbPerS"`
	DrainedAfterS float64 `json:"drainedAfterS"` // after the last line, until all was kept
}

// Settings of the shipper's process.
type Settings struct {
	Dir  string      `yaml:"dir"`
	Ship ship.Config `yaml:"ship"`
}

// Ship follows all attempts below a folder until the process is told to end: the
// part of an agent that this is about.
func Ship(s Settings, log *slog.Logger, done <-chan struct{}) error {
	sh, err := ship.New(s.Ship, log)
	if err != nil {
		return err
	}
	dirs, err := os.ReadDir(s.Dir)
	if err != nil {
		return err
	}
	for _, d := range dirs {
		name := strings.ReplaceAll(d.Name(), "+", "/")
		a, err := archive.ParseAttempt(name)
		if err != nil {
			return err
		}
		if err := sh.Resume(a, filepath.Join(s.Dir, d.Name())); err != nil {
			return err
		}
	}
	sh.Start()
	<-done
	sh.Stop()
	return nil
}

type process struct {
	cmd *exec.Cmd
	id  proc.ID
}

func start(o Options, name string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(o.Dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{cmd: exec.Command(o.Self, args...)}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
	p.id, err = proc.Start(p.cmd, func(proc.ID) error { return nil })
	return p, err
}

func (p *process) kill(sig syscall.Signal) {
	if p != nil && p.cmd != nil {
		_ = p.id.Signal(sig)
		_ = p.cmd.Wait()
		p.cmd = nil
	}
}

// usage is a process's processor time and resident memory.
func (p *process) usage() (cpu time.Duration, rss int64) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.id.PID))
	if err != nil {
		return 0, 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	f := strings.Fields(rest)
	if len(f) < 22 {
		return 0, 0
	}
	u, _ := strconv.ParseInt(f[11], 10, 64)
	s, _ := strconv.ParseInt(f[12], 10, 64)
	pages, _ := strconv.ParseInt(f[21], 10, 64)
	return time.Duration(u+s) * 10 * time.Millisecond, pages * int64(os.Getpagesize())
}

// line is a line of made-up output, a hundred bytes of which a part repeats as it
// does in logs.
func line(task, n int) string {
	x := uint64(task+1)*0x9e3779b97f4a7c15 ^ uint64(n)*0xbf58476d1ce4e5b9
	x ^= x >> 29
	return fmt.Sprintf("%08d INFO forecast step=%06d cell=%016x loss=%08.5f grad=%08.5f msg=\"window advanced\"\n", n, n%100000, x, float64(x%99991)/999, float64(x%7919)/77)
}

// Run measures.
func Run(o Options) (r Result, err error) {
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	s, err := history.New(o.Dir, 3, quiet, nil)
	if err != nil {
		return r, err
	}
	s.Close() // the nodes run as processes of their own
	procs := map[string]*process{}
	defer func() {
		for _, p := range procs {
			p.kill(syscall.SIGKILL)
		}
	}()
	config := func(name string) (string, error) {
		c := node.DefaultConfig()
		certs, err := s.Certs("node/" + name)
		if err != nil {
			return "", err
		}
		for _, m := range s.Members {
			if m.Name == name {
				c.Listen = m.Address
			}
		}
		c.Name, c.Dir, c.Certs, c.GrantKey, c.Members, c.SyncS, c.SyncMBPerS = name, filepath.Join(o.Dir, name), certs, filepath.Join(o.Dir, "grant.key"), s.Members, 2, 0
		return write(o.Dir, name, c)
	}
	startNode := func(name string) error {
		path, err := config(name)
		if err == nil {
			procs[name], err = start(o, name, "archive", "serve", "--settings", path)
		}
		return err
	}
	for _, m := range s.Members {
		if err := startNode(m.Name); err != nil {
			return r, err
		}
	}
	certs, err := s.Certs("agent/bench")
	if err != nil {
		return r, err
	}
	set := Settings{Dir: filepath.Join(o.Dir, "tasks"), Ship: ship.DefaultConfig()}
	set.Ship.Members, set.Ship.Certs, set.Ship.RateMBPerS = s.Members, certs, 0
	set.Ship.SpoolMB = 10_000
	var files []*os.File
	var attempts []archive.Attempt
	for i := range o.Tasks {
		a := archive.Attempt{Job: fmt.Sprintf("wk-%06d", i/100), Task: i % 100, Try: 1, Machine: "bench"}
		dir := filepath.Join(set.Dir, strings.ReplaceAll(a.String(), "/", "+"))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return r, err
		}
		g := s.Key.Sign(archive.Grant{Attempt: a, Terms: archive.Terms{Owner: archive.Owner{Team: "office", Customer: "baker"}, Class: "bench"}, At: time.Now().UnixMilli()})
		if err := os.WriteFile(filepath.Join(dir, "grant.json"), archive.Encode(g), 0o600); err != nil {
			return r, err
		}
		f, err := os.OpenFile(filepath.Join(dir, archive.Stdout), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return r, err
		}
		defer f.Close()
		files, attempts = append(files, f), append(attempts, a)
	}
	path, err := write(o.Dir, "ship", set)
	if err != nil {
		return r, err
	}
	if procs["ship"], err = start(o, "ship", "archive", "bench-ship", "--settings", path); err != nil {
		return r, err
	}
	reader, err := s.Reader("customer/office/baker")
	if err != nil {
		return r, err
	}
	ctx := context.Background()
	time.Sleep(2 * time.Second)
	cpu := map[string]time.Duration{}
	for name, p := range procs {
		cpu[name], _ = p.usage()
	}
	// Delays are sampled: when a line of some tasks was written, against when
	// somebody who asks again and again can read it.
	delays := hdrhistogram.New(1, 600_000, 3)
	stop, sampled := make(chan struct{}), make(chan struct{})
	type at struct {
		size int64
		when time.Time
	}
	marks := make(chan at, 1<<16)
	go func() {
		defer close(sampled)
		var from int64
		for m := range marks {
			for {
				p, err := reader.Page(ctx, attempts[0], archive.Stdout, from)
				if err == nil {
					from = p.Next
				}
				if from >= m.size {
					break
				}
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
			}
			_ = delays.RecordValue(max(1, time.Since(m.when).Milliseconds()))
		}
	}()
	begun := time.Now()
	sizes := make([]int64, o.Tasks)
	const beats = 10 // a second
	for beat := 0; time.Since(begun) < o.For; beat++ {
		for i, f := range files {
			var b strings.Builder
			for k := range max(1, o.Lines/beats) {
				b.WriteString(line(i, beat*o.Lines/beats+k))
			}
			n, err := f.WriteString(b.String())
			if err != nil {
				return r, err
			}
			sizes[i] += int64(n)
			r.Written += int64(n)
		}
		select {
		case marks <- at{sizes[0], time.Now()}:
		default:
		}
		if wait := time.Until(begun.Add(time.Duration(beat+1) * time.Second / beats)); wait > 0 {
			time.Sleep(wait)
		}
	}
	took := time.Since(begun)
	r.Tasks, r.MBPerS = o.Tasks, float64(r.Written)/1e6/took.Seconds()
	for name, p := range procs {
		c, rss := p.usage()
		share, mb := (c-cpu[name]).Seconds()/took.Seconds(), float64(rss)/1e6
		if name == "ship" {
			r.AgentCPU, r.AgentMB = share, mb
		} else {
			r.NodeCPU, r.NodeMB = max(r.NodeCPU, share), max(r.NodeMB, mb)
		}
	}
	// All must be readable in the end.
	last := time.Now()
	for i := 0; i < o.Tasks; {
		p, err := reader.Page(ctx, attempts[i], archive.Stdout, sizes[i]-1)
		if err == nil && p.Next >= sizes[i] {
			i++
			continue
		}
		if time.Since(last) > 2*time.Minute {
			return r, fmt.Errorf("task %d: %d bytes can't be read: %w", i, sizes[i], err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.DrainedAfterS = time.Since(last).Seconds()
	close(marks)
	close(stop)
	<-sampled
	r.DelayP50MS, r.DelayP99MS = float64(delays.ValueAtQuantile(50)), float64(delays.ValueAtQuantile(99))
	kept := disk(filepath.Join(o.Dir, s.Members[0].Name))
	r.Packed = float64(r.Written) / float64(kept)
	if o.Out != nil {
		fmt.Fprintf(o.Out, "%d tasks wrote %d MB\n", o.Tasks, r.Written/1e6)
	}
	// Everything is read through one node, and searched.
	grep := time.Now()
	read := int64(0)
	for i, a := range attempts {
		for from := int64(0); from < sizes[i]; {
			p, err := reader.Page(ctx, a, archive.Stdout, from)
			if err != nil {
				return r, err
			}
			for _, x := range p.Pieces {
				read += int64(len(x.Data))
				if strings.Contains(string(x.Data), "nothing has this") {
					return r, errors.New("found what nobody wrote")
				}
			}
			if p.Next <= from {
				return r, fmt.Errorf("%s: nothing after %d of %d", a, from, sizes[i])
			}
			from = p.Next
		}
	}
	if read != r.Written {
		return r, fmt.Errorf("%d bytes read of %d", read, r.Written)
	}
	r.GrepS = time.Since(grep).Seconds()
	r.GrepMBPerS = float64(read) / 1e6 / r.GrepS
	// A node loses its disk.
	gone := s.Members[2].Name
	procs["ship"].kill(syscall.SIGTERM)
	procs[gone].kill(syscall.SIGKILL)
	if err := os.RemoveAll(filepath.Join(o.Dir, gone)); err != nil {
		return r, err
	}
	level := time.Now()
	if err := startNode(gone); err != nil {
		return r, err
	}
	operator, err := s.Reader("operator/bench")
	if err != nil {
		return r, err
	}
	for whole := false; !whole; time.Sleep(50 * time.Millisecond) {
		records := map[string]int64{}
		operator.Each(ctx, http.MethodGet, node.PathStats, nil, func(name string, raw []byte, err error) {
			var st node.Stats
			if err == nil && json.Unmarshal(raw, &st) == nil {
				records[name] = st.Records
			}
		})
		n := records[s.Members[0].Name]
		whole = n > 0 && records[gone] == n
		if time.Since(level) > 5*time.Minute {
			return r, fmt.Errorf("the lost node does not come level: %v", records)
		}
	}
	r.LevelS = time.Since(level).Seconds()
	r.LevelMBPerS = float64(disk(filepath.Join(o.Dir, gone))) / 1e6 / r.LevelS
	return r, nil
}

func write(dir, name string, v any) (string, error) {
	raw, err := yaml.Marshal(v)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, name+".yaml")
	return path, os.WriteFile(path, raw, 0o600)
}

// disk is how much the files in a folder take.
func disk(dir string) (n int64) {
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
