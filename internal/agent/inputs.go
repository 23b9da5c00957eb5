package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"

	"silvergate/internal/dataset"
	"silvergate/internal/datastore"
	"silvergate/internal/protocol"
)

// Staging configures an agent's store of data sets.
type Staging struct {
	CapacityGB float64 `yaml:"capacity_gb"`
	// PlacedGB limits the room that tasks' own copies of their inputs take, beside
	// CapacityGB; 0: as much as CapacityGB.
	PlacedGB float64 `yaml:"placed_gb"`
	// FetchMBPerS and ServeMBPerS limit the rates at which data is fetched, and
	// served to other machines; 0: unlimited.
	FetchMBPerS float64 `yaml:"fetch_mb_per_s"`
	ServeMBPerS float64 `yaml:"serve_mb_per_s"`
	// Streams is the number of chunks fetched at a time, Serving the number of
	// chunks served at a time.
	Streams int `yaml:"streams"`
	Serving int `yaml:"serving"`
	// PatienceS is the time in seconds for which a source may send nothing.
	PatienceS float64 `yaml:"patience_s"`
	// Trace enables the log of data events, events.jsonl in the store's folder,
	// for programs that check it.
	Trace bool `yaml:"trace"`
}

func (s *Staging) check() error {
	switch {
	case !(s.CapacityGB > 0):
		return errors.New("staging.capacity_gb: must be above 0")
	case !(s.PlacedGB >= 0):
		return errors.New("staging.placed_gb: must not be negative")
	case !(s.FetchMBPerS >= 0) || !(s.ServeMBPerS >= 0):
		return errors.New("staging: rates must not be negative")
	case s.Streams < 0 || s.Serving < 0 || !(s.PatienceS >= 0):
		return errors.New("staging: streams, serving and patience_s must not be negative")
	}
	return nil
}

// inputStore connects the agent to its store of data sets: it fetches the inputs of
// attempts and places them in their folders, carries out staging commands, and reports
// what the store holds. A nil inputStore stands for a machine without a store. The agent's
// lock guards it.
type inputStore struct {
	agent        *Agent
	store        *datastore.Store
	preparations map[TaskAttempt]*inputPreparation // under way
	staged       map[dataset.ID]bool
	failed       map[dataset.ID]bool // fetches that failed since the last heartbeat
	sentDigest   string              // the store's digest at the last heartbeat
	listCopies   bool                // the next heartbeat lists all copies
	removing     bool                // files of ended attempts are being removed
	trace        *tracer             // nil: off
}

var errNoStore = errors.New("this machine has no store of data sets (staging is off)")

// Limits of the copies and of the fetches that a heartbeat lists: with the tasks they must
// fit into a request. Copies beyond the limit are covered by the digest alone; the
// controllers only lack the hint that this machine has these copies.
const (
	maxListedCopies  = 500
	maxListedFetches = 32
)

func newInputStore(a *Agent) (*inputStore, error) {
	c := a.cfg.Staging
	s, err := datastore.Open(datastore.Config{Dir: filepath.Join(a.cfg.Dir, "data"), Capacity: int64(c.CapacityGB * 1e9),
		PlacedCapacity: int64(c.PlacedGB * 1e9), FetchRate: c.FetchMBPerS * 1e6, ServeRate: c.ServeMBPerS * 1e6, Streams: c.Streams, ServeStreams: c.Serving, StallTimeout: seconds(c.PatienceS)}, a.log)
	if err != nil {
		return nil, fmt.Errorf("store of data sets: %w", err)
	}
	d := &inputStore{agent: a, store: s, preparations: map[TaskAttempt]*inputPreparation{}, staged: map[dataset.ID]bool{}, failed: map[dataset.ID]bool{}, listCopies: true}
	if c.Trace {
		if d.trace, err = newTracer(filepath.Join(a.cfg.Dir, "data", EventsFile), a.cfg.Worker); err != nil {
			return nil, err
		}
		s.Observe = func(e datastore.Event) {
			d.trace.write(Event{At: e.At, Kind: e.Kind, Copy: string(e.ID), Source: e.Source, Urgent: e.Urgent})
		}
	}
	return d, nil
}

// close cancels all preparations and fetches.
func (d *inputStore) close() {
	if d == nil {
		return
	}
	d.agent.mu.Lock()
	for _, p := range d.preparations {
		p.cancel()
	}
	d.agent.mu.Unlock()
	d.store.Close()
}

// parseWant checks the record of a data set's version and returns the request to the store for it.
func parseWant(v *protocol.DataSet, urgent bool) (datastore.Want, error) {
	if err := v.Check(); err != nil {
		return datastore.Want{}, err
	}
	digest, err := dataset.ParseHash(v.Digest)
	w := datastore.Want{ID: dataset.IDOf(digest), Digest: digest, Set: v.Set, Version: v.Version, Urgent: urgent}
	for _, s := range v.Sources {
		w.Sources = append(w.Sources, datastore.Source{Address: s})
	}
	return w, err
}

// apply carries out the effects that concern data sets; the lock is held.
func (d *inputStore) apply(e Effects) {
	if d == nil {
		return
	}
	for k, p := range d.preparations {
		if !d.agent.worker.Live(k) {
			p.cancel()
			p.unpin()
		}
	}
	for _, k := range e.FetchInputs {
		d.prepareInputs(k, d.agent.worker.Description(k.Job))
	}
	if e.StagingCommands != nil {
		d.stage(e.StagingCommands)
	}
}

// stage carries out a controller's staging commands. They list all data sets to be staged: fetches
// that they don't list any more are cancelled.
func (d *inputStore) stage(o *protocol.StoreOrders) {
	d.listCopies = d.listCopies || o.List
	wanted := map[dataset.ID]bool{}
	for i := range o.Fetch {
		f := &o.Fetch[i]
		w, err := parseWant(&f.DataSet, f.Urgent)
		if err != nil {
			d.agent.log.Error("invalid staging command", "error", err)
			continue
		}
		wanted[w.ID] = true
		switch {
		case f.Peer != "":
			w.Sources = []datastore.Source{{Address: f.Peer, Peer: true}}
		case f.Server != "":
			w.Sources = []datastore.Source{{Address: f.Server}}
		}
		if !d.staged[w.ID] {
			d.agent.log.Debug("staging", "copy", w.ID, "set", w.Set, "version", w.Version, "urgent", f.Urgent, "peer", f.Peer, "server", f.Server)
		}
		d.staged[w.ID] = true
		d.store.Fetch(w, func(err error) {
			d.agent.mu.Lock()
			defer d.agent.mu.Unlock()
			if err != nil && !errors.Is(err, datastore.ErrCancelled) {
				d.failed[w.ID] = true
			}
			d.refreshReport(true)
		})
	}
	for id := range d.staged {
		if !wanted[id] {
			delete(d.staged, id)
			d.store.Cancel(id)
		}
	}
}

// refreshReport updates what heartbeats report about the store. If soon is set, or if the store's
// copies have changed, the next heartbeat is sent early. The lock is held.
func (d *inputStore) refreshReport(soon bool) {
	if d == nil || d.agent.worker == nil || d.agent.shutdown.begun {
		return
	}
	digest := d.store.Digest()
	r := &protocol.StoreReport{Digest: digest}
	if d.listCopies || digest != d.sentDigest {
		soon = soon || digest != d.sentDigest
		r.Listed = true
		for i, id := range d.store.Held() {
			if i == maxListedCopies {
				break
			}
			r.Copies = append(r.Copies, string(id))
		}
	}
	for i, p := range d.store.Pulls() {
		if i == maxListedFetches {
			break
		}
		r.Pulls = append(r.Pulls, protocol.StorePull{Copy: string(p.ID), Done: p.Done, Total: p.Total, Rate: p.Rate})
	}
	for id := range d.failed {
		if len(r.Failed) == maxListedFetches {
			break
		}
		r.Failed = append(r.Failed, string(id))
	}
	d.agent.worker.SetStoreReport(r, soon)
}

// heartbeatSent records that a heartbeat with the current report is being sent.
func (d *inputStore) heartbeatSent() {
	if d != nil {
		d.listCopies = false
		d.sentDigest = d.store.Digest()
		clear(d.failed)
	}
}

// serve answers another machine's request for a chunk. It returns false if the request is not for
// a chunk.
func (d *inputStore) serve(id uint64, method, path string) bool {
	name, ok := strings.CutPrefix(path, dataset.ChunkPath)
	if d == nil || !ok || method != http.MethodGet {
		return false
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		defer cancel()
		status, body := datastore.Answer(ctx, d.store, name)
		d.agent.mu.Lock()
		defer d.agent.mu.Unlock()
		if status == http.StatusOK {
			d.agent.server.AnswerWithType(id, "application/octet-stream", body)
			return
		}
		retry := 0
		if status == http.StatusServiceUnavailable {
			retry = 1
		}
		d.agent.server.Answer(id, status, protocol.Encode(protocol.ErrorResponse{Error: string(body)}), retry)
	}()
	return true
}
