// Package load measures an archive on this machine: nodes and a machine's shipper
// as processes of their own, and made-up tasks that write lines at a steady rate. It
// measures what each process takes, how late output can be read, and how fast a node
// that lost its disk has all records again.
//
// load.go has the settings and the results; bench.go the steps of a measurement;
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

// Options say what is measured.
type Options struct {
	Self  string        // path of the silvergate program
	Dir   string        // an empty folder for all files; it stays the caller's
	Tasks int           // tasks that write
	Lines int           // lines a second of each task
	For   time.Duration // how long they write
	Out   io.Writer     // gets progress for people; may be nil
}

// Result is what was measured. Megabytes are 1e6 bytes; times end in their unit.
type Result struct {
	Tasks         int     `json:"tasks"`
	Written       int64   `json:"written"`  // bytes of output
	MBPerS        float64 `json:"mbPerS"`   // of output
	AgentCPU      float64 `json:"agentCpu"` // cores, on average
	AgentMB       float64 `json:"agentMb"`
	NodeCPU       float64 `json:"nodeCpu"` // cores, of the busiest node
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

// Settings are those of the shipper's process: the folder with the attempts' folders,
// and the shipper's own.
type Settings struct {
	Dir  string      `yaml:"dir"`
	Ship ship.Config `yaml:"ship"`
}

// Ship follows all attempts below a folder until done is closed: the part of an agent
// that is measured. It returns an error if the settings are invalid or a folder is not
// an attempt's.
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

// Run measures, which takes Options.For and some time more. It ends all processes that
// it started. After an error the result holds what was measured until then.
func Run(o Options) (Result, error) {
	b, err := newBench(o)
	if err != nil {
		return Result{}, err
	}
	defer b.close()
	err = b.run(context.Background())
	return b.result, err
}
