package agent

import (
	"os"
	"path/filepath"

	"silvergate/internal/datastore"
)

// removeEndedInputs removes, in the background, the inputs of attempts that are over, those of
// an earlier agent included; the lock is held. What the attempts have written stays.
func (d *inputStore) removeEndedInputs() {
	if d == nil || d.removing {
		return
	}
	var ended []*datastore.Placement
	for _, p := range d.store.Placements() {
		if k, ok := parseTaskAttempt(p.Owner); ok && !d.needsInputs(k) {
			ended = append(ended, p)
		}
	}
	if len(ended) == 0 {
		return
	}
	d.removing = true
	go func() {
		d.removePlacements(ended)
		d.agent.mu.Lock()
		defer d.agent.mu.Unlock()
		d.removing = false
	}()
}

// needsInputs reports whether an attempt's inputs must stay: it is not over, or the archive has
// not yet read the files that the job wants kept, which may be among them. The lock is held.
func (d *inputStore) needsInputs(k TaskAttempt) bool {
	return d.preparations[k] != nil || d.agent.worker.MayHaveProcesses(k) || d.agent.outputs.needsFiles(k)
}

// placementsOf returns the placements of one attempt.
func (d *inputStore) placementsOf(k TaskAttempt) (out []*datastore.Placement) {
	for _, p := range d.store.Placements() {
		if p.Owner == k.String() {
			out = append(out, p)
		}
	}
	return out
}

// removePlacements removes inputs of attempts that are over. The folder of an attempt that never
// ran goes with them, as nothing else removes it.
func (d *inputStore) removePlacements(list []*datastore.Placement) {
	for _, p := range list {
		if err := d.store.RemovePlacement(p); err != nil {
			d.agent.log.Error("the inputs of an attempt that is over can't be removed", "attempt", p.Owner, "error", err)
			continue
		}
		folder := filepath.Join(d.agent.cfg.Dir, tasksDir, p.Owner)
		if !exists(filepath.Join(folder, execFile)) {
			_ = os.Remove(filepath.Join(folder, workDir)) // each fails if something is in it
			_ = os.Remove(folder)
		}
	}
}
