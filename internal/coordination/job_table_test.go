package coordination

import (
	"slices"
	"testing"

	"silvergate/internal/job"
)

// tableJob returns an open job for tests of the job table's indexes.
func tableJob(id string, submittedAtMS int64, gpus float64) *jobRecord {
	r := &jobRecord{}
	r.spec = &job.Spec{ID: id, Tasks: 5, GPUs: gpus}
	r.status = job.Open
	r.submittedAtMS = submittedAtMS
	return r
}

// TestIndexesOfOpenJobs checks that open jobs are indexed by age regardless of the order in which
// they are added, and that a removed job is in no index but openByUrgency, which the next sweep
// updates.
func TestIndexesOfOpenJobs(t *testing.T) {
	oldest := tableJob("wk-000003", 1, 0)
	middle := tableJob("wk-000001", 2, 1)
	youngest := tableJob("wk-000002", 2, 0) // submitted at the same time as middle: ordered by id
	table := newJobTable()
	for _, r := range []*jobRecord{youngest, oldest, middle} {
		table.addOpen(r)
	}
	if want := []*jobRecord{oldest, middle, youngest}; !slices.Equal(table.openByAge, want) {
		t.Error("open jobs are not in order of age")
	}
	if want := []*jobRecord{youngest, oldest, middle}; !slices.Equal(table.addedSinceSweep, want) {
		t.Error("added jobs are not in the order in which they were added")
	}
	if len(table.open) != 3 || table.openCPUOnly != 2 {
		t.Errorf("%d open jobs, %d of them without accelerators, want 3 and 2", len(table.open), table.openCPUOnly)
	}
	table.removeOpen(oldest)
	if want := []*jobRecord{middle, youngest}; !slices.Equal(table.openByAge, want) || table.open[oldest.spec.ID] != nil || table.openCPUOnly != 1 {
		t.Errorf("a removed job is still indexed as open: %d jobs by age, %d without accelerators", len(table.openByAge), table.openCPUOnly)
	}
}

// TestPagesOfAJob checks that every task is in exactly one page, and that the last page may be
// smaller.
func TestPagesOfAJob(t *testing.T) {
	for _, test := range []struct {
		name         string
		tasksPerPage int
		sizes        []int
	}{
		{"one page", 9, []int{5}},
		{"one full page", 5, []int{5}},
		{"a smaller last page", 2, []int{2, 2, 1}},
		{"a page for each task", 1, []int{1, 1, 1, 1, 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := tableJob("wk-000001", 1, 0)
			for number := r.pageCount(test.tasksPerPage) - 1; number >= 0; number-- {
				r.ensurePage(number, test.tasksPerPage)
			}
			var sizes []int
			first := 0
			for i, p := range r.pages {
				if p.number != i || p.firstTask != first || len(p.tasks) != p.size || p.pending != p.size {
					t.Errorf("page %d: number %d, first task %d, %d tasks, %d pending", i, p.number, p.firstTask, len(p.tasks), p.pending)
				}
				sizes = append(sizes, p.size)
				first += p.size
			}
			if !slices.Equal(sizes, test.sizes) {
				t.Errorf("pages of %v tasks, want %v", sizes, test.sizes)
			}
		})
	}
}
