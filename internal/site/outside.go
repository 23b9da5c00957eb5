package site

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

// The folder "outside" holds files that must outlive machines: checkpoints, and markers that
// say that a task is done. After a job has finished they are needed only for a while: a late
// launch command must find that its task is done, and a user may want to look at them.

const (
	outsideDir = "outside"
	// removalPrefix starts the name of a folder that is being removed, so that the next
	// sweep continues a removal that was interrupted.
	removalPrefix = ".gone-"
	// minOutsideKeep is the shortest time for which these files may be kept: a launch command
	// may come minutes late.
	minOutsideKeep = 10 * time.Minute
	// maxFoldersPerSweep is the most jobs whose state one sweep asks for.
	maxFoldersPerSweep = 200
)

// sweepOutside removes the folders of finished jobs in which nothing has changed for longer
// than keep. finished reports whether a job is known to be finished; the folders of other
// jobs stay. sweepOutside returns the jobs whose folders it has removed.
func sweepOutside(dir string, keep time.Duration, now time.Time, finished func(jobID string) bool) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	type folder struct {
		jobID string
		at    time.Time
	}
	var old []folder
	var errs []error
	for _, e := range entries {
		switch {
		case strings.HasPrefix(e.Name(), removalPrefix):
			errs = append(errs, os.RemoveAll(filepath.Join(dir, e.Name())))
		case e.IsDir() && protocol.ValidJobID(e.Name()):
			at, err := lastChange(filepath.Join(dir, e.Name()))
			if err == nil && now.Sub(at) > keep {
				old = append(old, folder{e.Name(), at})
			}
		}
	}
	sort.Slice(old, func(i, j int) bool { return old[i].at.Before(old[j].at) })
	var removed []string
	for _, f := range old[:min(len(old), maxFoldersPerSweep)] {
		if !finished(f.jobID) {
			continue
		}
		removal := filepath.Join(dir, removalPrefix+f.jobID)
		if err := os.Rename(filepath.Join(dir, f.jobID), removal); err != nil {
			errs = append(errs, err)
			continue
		}
		errs = append(errs, os.RemoveAll(removal))
		removed = append(removed, f.jobID)
	}
	return removed, errors.Join(errs...)
}

// lastChange returns the latest modification time in a folder and all below it.
func lastChange(dir string) (at time.Time, err error) {
	err = filepath.WalkDir(dir, func(_ string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		info, err := e.Info()
		if err != nil {
			return err
		}
		if info.ModTime().After(at) {
			at = info.ModTime()
		}
		return nil
	})
	return at, err
}

// sweepOutsideRegularly runs sweepOutside until ctx ends, at intervals of a twentieth of the time
// for which files are kept, but at most once a minute. It does nothing if they are kept for ever.
func (s *Site) sweepOutsideRegularly(ctx context.Context) {
	keep := time.Duration(s.cfg.OutsideKeepS * float64(time.Second))
	if keep <= 0 {
		return
	}
	pool := transport.NewPool(2)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(time.Minute, keep/20)):
		}
		removed, err := sweepOutside(filepath.Join(s.Dir, outsideDir), keep, time.Now(), func(jobID string) bool {
			return ctx.Err() == nil && s.isFinished(pool, jobID)
		})
		if len(removed) > 0 {
			s.log.Info("results of finished jobs were removed", "jobs", len(removed))
		}
		if err != nil {
			s.log.Error("results of finished jobs can't be removed", "error", err)
		}
	}
}

// isFinished asks the controllers whether a job is done or cancelled; both states are final. It
// returns false if no controller answers or knows the job.
func (s *Site) isFinished(pool *transport.Pool, jobID string) bool {
	for _, a := range s.Ports.Addresses() {
		r := get(pool, a, protocol.PathJobs+"/"+jobID)
		var st protocol.JobState
		if r != nil && json.Unmarshal(r.Body, &st) == nil && st.ID == jobID {
			return st.Status == string(job.Done) || st.Status == string(job.Cancelled)
		}
	}
	return false
}
