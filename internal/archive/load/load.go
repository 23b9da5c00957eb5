// Package load measures the performance of an archive on this machine. It runs the nodes
// and a machine's shipper as separate processes, and simulates tasks that write lines at a
// steady rate. It measures the CPU and memory of each process, the delay until output can
// be read, and how long it takes to restore all records to a node that lost its disk.
//
// load.go has the settings and the results, bench.go has the steps of a measurement, and
// process.go starts and observes processes.
package load

import (
	"context"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/archive/ship"
)

// Options are the parameters of a measurement.
type Options struct {
	Executable string        // path of the silvergate executable
	Dir        string        // an empty folder for all files; the caller removes it
	Tasks      int           // how many tasks write output
	Lines      int           // lines per second of each task
	Duration   time.Duration // how long the tasks write
	Out        io.Writer     // receives progress messages for people; may be nil
}

// Result holds the measured values. A megabyte is 1e6 bytes; the names of times end in
// their unit.
type Result struct {
	Tasks         int     `json:"tasks"`
	Written       int64   `json:"written"`  // bytes of output
	MBPerS        float64 `json:"mbPerS"`   // of output, while the tasks wrote
	AgentCPU      float64 `json:"agentCpu"` // cores, on average
	AgentMB       float64 `json:"agentMb"`
	NodeCPU       float64 `json:"nodeCpu"` // cores, on average, of the busiest node
	NodeMB        float64 `json:"nodeMb"`
	DelayP50MS    float64 `json:"delayP50Ms"` // from writing a line until it can be read
	DelayP99MS    float64 `json:"delayP99Ms"`
	Packed        float64 `json:"packed"` // bytes of output per byte stored on a node
	LevelS        float64 `json:"levelS"` // until a node that lost its disk had all records again
	LevelMBPerS   float64 `json:"levelMbPerS"`
	GrepS         float64 `json:"grepS"` // time to read and search all output through one node
	GrepMBPerS    float64 `json:"grepMbPerS"`
	DrainedAfterS float64 `json:"drainedAfterS"` // from the last line until all output could be read
}

// Settings are the settings of the shipper's process: the folder that contains the
// attempts' folders, and the settings of the shipper itself.
type Settings struct {
	Dir  string      `yaml:"dir"`
	Ship ship.Config `yaml:"ship"`
}

// Ship follows all attempts in the settings' folder until done is closed. It stands for the
// part of an agent that is measured. It returns an error if the settings are invalid or a
// folder is not an attempt's.
func Ship(s Settings, log *slog.Logger, done <-chan struct{}) error {
	shipper, err := ship.New(s.Ship, log)
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
		if err := shipper.Resume(a, filepath.Join(s.Dir, d.Name())); err != nil {
			return err
		}
	}
	shipper.Start()
	<-done
	shipper.Stop()
	return nil
}

// Run runs a measurement, which takes somewhat longer than Options.Duration. It ends all
// processes that it started. If it returns an error, the result holds the values measured
// before the error.
func Run(o Options) (Result, error) {
	b, err := newBench(o)
	if err != nil {
		return Result{}, err
	}
	defer b.close()
	err = b.run(context.Background())
	return b.result, err
}
