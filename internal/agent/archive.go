package agent

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"

	"silvergate/internal/archive"
	"silvergate/internal/archive/ship"
	"silvergate/internal/protocol"
)

// keeper is the seam between the agent and the archive's shipper: it says which
// attempts there are and how they ended. Whatever the archive does, tasks start,
// run and end as without it. A nil one is a machine without an archive.
type keeper struct {
	a    *Agent
	ship *ship.Shipper
}

func newKeeper(a *Agent) (*keeper, error) {
	s, err := ship.New(*a.cfg.Archive, a.log)
	if err != nil {
		return nil, fmt.Errorf("archive: %w", err)
	}
	k := &keeper{a, s}
	s.Ask = k.ask
	if a.data != nil {
		s.Urgent = a.data.store.Urgent
	}
	return k, nil
}

func (k *keeper) attempt(key Key) archive.Attempt {
	return archive.Attempt{Job: key.Job, Task: key.Index, Try: key.Try, Machine: k.a.cfg.Stoker}
}

// open begins to ship; what an earlier agent left, whose processes are gone now, is
// shipped too.
func (k *keeper) open() {
	if k == nil {
		return
	}
	dirs, err := os.ReadDir(filepath.Join(k.a.cfg.Dir, tasksDir))
	if err != nil {
		k.a.log.Error("what earlier tasks wrote can't be found", "err", err)
	}
	for _, d := range dirs {
		if key, ok := parseKey(d.Name()); ok && exists(filepath.Join(k.a.run.folder(key), execFile)) {
			k.ship.Begin(k.attempt(key), k.a.run.folder(key), false)
			k.ship.Ended(k.attempt(key), "lost with its agent", -1)
		}
	}
	k.ship.Start()
}

func (k *keeper) close() {
	if k != nil {
		k.ship.Stop()
	}
}

// begin follows an attempt whose folder is there and whose program is to start.
func (k *keeper) begin(key Key, urgency string) {
	if k != nil {
		k.ship.Begin(k.attempt(key), k.a.run.folder(key), urgency == "prod" || urgency == "urgent")
	}
}

// ended says that an attempt's processes are gone.
func (k *keeper) ended(key Key, cause string, code int) {
	if k != nil {
		k.ship.Ended(k.attempt(key), cause, code)
	}
}

// left is how many attempts that are over have something to ship.
func (k *keeper) left() int {
	if k == nil {
		return 0
	}
	return k.ship.Left()
}

// holds tells whether an attempt's folder is still needed.
func (k *keeper) holds(key Key) bool { return k != nil && k.ship.Holds(k.attempt(key)) }

// ask asks one controller after the other for an attempt's grant, the one that the
// machine reports to first.
func (k *keeper) ask(_ context.Context, at archive.Attempt) (*archive.Grant, error) {
	a := k.a
	a.mu.Lock()
	first := 0
	if a.w != nil {
		first = a.w.node
	}
	a.mu.Unlock()
	path := fmt.Sprintf("%s/%s/%s/%d/%d/%s", protocol.PathRuns, at.Job, protocol.PathGrant, at.Task, at.Try, at.Machine)
	unknown := 0
	var last error
	for i := range a.cfg.Controllers {
		n := a.cfg.Controllers[(first+i)%len(a.cfg.Controllers)]
		r, _, err := a.pool.Do(n.Address, http.MethodGet, path, nil, patience)
		switch {
		case err != nil:
			last = err
		case r.Status == http.StatusOK:
			var g archive.Grant
			if err := protocol.Decode(r.Body, &g); err != nil {
				return nil, err
			}
			return &g, nil
		case r.Status == http.StatusNotFound:
			unknown++
		default:
			last = fmt.Errorf("%s: status %d", n.Name, r.Status)
		}
	}
	// One that lags behind may not know it yet: all must say so.
	if unknown == len(a.cfg.Controllers) {
		return nil, ship.ErrNoGrant
	}
	return nil, fmt.Errorf("no controller vouches for %s now: %w", at, last)
}
