package agent

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"

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

// removePlacements removes inputs of attempts that are over.
func (d *inputStore) removePlacements(list []*datastore.Placement) {
	for _, p := range list {
		if err := d.store.RemovePlacement(p); err != nil {
			d.agent.log.Error("the inputs of an attempt that is over can't be removed", "attempt", p.Owner, "error", err)
			continue
		}
		d.removeUnusedFolder(p.Owner)
	}
}

// removeUnusedFolder removes the folder of an attempt that never ran, unless a file is in it:
// nothing else removes such folders.
func (d *inputStore) removeUnusedFolder(attempt string) {
	folder := filepath.Join(d.agent.cfg.Dir, tasksDir, attempt)
	if exists(filepath.Join(folder, execFile)) {
		return
	}
	var folders []string
	_ = filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && entry.IsDir() {
			folders = append(folders, path)
		}
		return nil
	})
	for _, path := range slices.Backward(folders) { // a folder comes after its parent
		_ = os.Remove(path) // fails if something is in it
	}
}
