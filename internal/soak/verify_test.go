package soak

import (
	"testing"

	"silvergate/internal/coordination/pagecodec"
	"silvergate/internal/job"
)

// TestCountFinishedReadsBothForms guards against records of sound jobs that the soak takes for damaged: pages have
// two forms.
func TestCountFinishedReadsBothForms(t *testing.T) {
	tasks := []job.Task{{Phase: job.Finished, Attempt: 2}, {Phase: job.Finished, Attempt: 2}, {Phase: job.Bound, Attempt: 1, Machine: "i-1", Epoch: 1}, {}}
	for name, data := range map[string][]byte{"compact": pagecodec.EncodeCompact(tasks), "list": pagecodec.EncodeList(tasks)} {
		if n, err := countFinished(data); n != 2 || err != nil {
			t.Errorf("%s: %d finished tasks in %s, %v, want 2", name, n, data, err)
		}
	}
}
