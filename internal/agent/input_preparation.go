package agent

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"silvergate/internal/datastore"
	"silvergate/internal/protocol"
)

// inputPreparation is the preparation of one attempt's inputs: they are fetched into the store,
// where they are pinned meanwhile, and then placed in the attempt's folder. It runs in a
// goroutine of its own, because copying takes time, and while it runs the attempt is fetching.
type inputPreparation struct {
	key      TaskAttempt
	urgent   bool
	inputs   []preparedInput
	cancel   context.CancelFunc
	unpin    func()        // unpins the inputs' copies; further calls do nothing
	finished chan struct{} // closed when nothing more is written to the attempt's folder
}

// preparedInput is one input of an attempt.
type preparedInput struct {
	want   datastore.Want
	dir    string // where its files are placed
	placed bool
}

// maxDamagedCopies is how often an attempt's copies may turn out to be damaged on disk before
// the attempt is given up on this machine.
const maxDamagedCopies = 3

// errDamagesCopies means that this machine's disk does not keep copies as they were written.
var errDamagesCopies = errors.New("the copies were damaged on this machine's disk again and again")

// prepareInputs starts the preparation of an attempt's inputs; the agent's lock is held.
func (d *inputStore) prepareInputs(k TaskAttempt, description *protocol.JobDescription) {
	if description == nil {
		return
	}
	p := &inputPreparation{key: k, urgent: protocol.IsUrgent(description.Priority), finished: make(chan struct{})}
	var err error
	if p.inputs, err = parseInputs(description.Inputs, p.urgent, filepath.Join(d.agent.runner.folder(k), workDir)); err != nil {
		go d.reportInputs(k, err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	for i := range p.inputs {
		d.store.Pin(p.inputs[i].want.ID)
		d.trace.write(Event{At: time.Now(), Kind: "needed", Load: k.String(), Copy: string(p.inputs[i].want.ID), Urgent: p.urgent})
	}
	p.unpin = sync.OnceFunc(func() {
		for i := range p.inputs {
			d.store.Unpin(p.inputs[i].want.ID)
		}
	})
	earlier := d.preparations[k]
	d.preparations[k] = p
	go d.runPreparation(ctx, p, earlier)
}

// parseInputs returns the inputs of an attempt whose program will run in workingDir.
func parseInputs(copies []protocol.InputCopy, urgent bool, workingDir string) (inputs []preparedInput, err error) {
	for i := range copies {
		input := &copies[i]
		want, wantErr := parseWant(&input.DataSet, urgent)
		if wantErr == nil && !protocol.ValidRelativePath(input.Path) {
			wantErr = errors.New("place: not a path inside the working directory")
		}
		if wantErr != nil {
			err = errors.Join(err, fmt.Errorf("inputs[%d] (%s/%s): %w", i, input.Set, input.Version, wantErr))
		}
		inputs = append(inputs, preparedInput{want: want, dir: filepath.Join(workingDir, filepath.FromSlash(input.Path))})
	}
	return inputs, err
}

// runPreparation prepares an attempt's inputs and reports the result to the worker, unless the
// attempt ends before. earlier is a preparation for the same attempt in an earlier agent
// epoch, or nil; the two must not write to the folder at the same time.
func (d *inputStore) runPreparation(ctx context.Context, p, earlier *inputPreparation) {
	defer close(p.finished)
	defer p.cancel()
	if earlier != nil {
		<-earlier.finished
	}
	d.removePlacements(d.placementsOf(p.key))
	err := d.fetchAndPlace(ctx, p)
	if err != nil {
		d.removePlacements(d.placementsOf(p.key))
		d.removeUnusedFolder(p.key.String())
	}
	p.unpin()
	d.agent.mu.Lock()
	if d.preparations[p.key] == p {
		delete(d.preparations, p.key)
	}
	d.agent.mu.Unlock()
	if ctx.Err() == nil {
		d.reportInputs(p.key, err)
	}
}

// fetchAndPlace fetches an attempt's inputs and places them. A copy that turns out to be damaged
// on disk is fetched again.
func (d *inputStore) fetchAndPlace(ctx context.Context, p *inputPreparation) error {
	for range maxDamagedCopies {
		if err := d.fetchAll(ctx, p); err != nil {
			return err
		}
		if err := d.placeAll(ctx, p); !errors.Is(err, datastore.ErrNotHeld) {
			return err
		}
	}
	return errDamagesCopies
}

// fetchAll fetches the copies of all inputs, and returns the first error.
func (d *inputStore) fetchAll(ctx context.Context, p *inputPreparation) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(p.inputs))
	for i := range p.inputs {
		go func() { results <- d.fetchUntilHeld(ctx, p.inputs[i].want) }()
	}
	for range p.inputs {
		if err := <-results; err != nil {
			return err
		}
	}
	return nil
}

// fetchUntilHeld fetches a copy, and again after each failure, as sources may become available
// again. It returns an error if there is no room for the copy or ctx ends.
func (d *inputStore) fetchUntilHeld(ctx context.Context, want datastore.Want) error {
	pause := seconds(d.agent.cfg.Workers.Heartbeat / 4)
	for {
		fetched := make(chan error, 1)
		d.store.Fetch(want, func(err error) { fetched <- err })
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-fetched:
			if err == nil || errors.Is(err, datastore.ErrFull) {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		pause = min(2*pause, seconds(d.agent.cfg.Workers.Lease))
	}
}

// placeAll places the inputs that are not yet in the attempt's folder.
func (d *inputStore) placeAll(ctx context.Context, p *inputPreparation) error {
	for i := range p.inputs {
		input := &p.inputs[i]
		if input.placed {
			continue
		}
		request := datastore.PlaceRequest{ID: input.want.ID, Dir: input.dir, Owner: p.key.String(), Urgent: p.urgent}
		if !p.urgent { // an urgent task goes elsewhere at once
			request.RoomTimeout = seconds(d.agent.cfg.Workers.Lease)
		}
		if err := d.store.Place(ctx, request); err != nil {
			return fmt.Errorf("inputs[%d] (%s/%s): %w", i, input.want.Set, input.want.Version, err)
		}
		input.placed = true
	}
	return nil
}

// reportInputs tells the worker that an attempt's inputs are in its folder, or why not.
func (d *inputStore) reportInputs(k TaskAttempt, err error) {
	d.agent.step(func() Effects {
		if err != nil {
			d.agent.log.Error("inputs can't be prepared", "task", k.TaskName(), "error", err)
		}
		tryElsewhere := errors.Is(err, datastore.ErrFull) || errors.Is(err, errDamagesCopies)
		return d.agent.worker.InputsFetched(d.agent.clock(), k, err, tryElsewhere)
	})
}
