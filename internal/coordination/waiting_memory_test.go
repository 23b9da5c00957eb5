package coordination

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// controllerMemory is the memory limit of BRIEF's smaller site, in bytes. heapShare is the part of it up to
// which a controller lets its heap grow (memoryShare in cmd/silvergate/serve.go).
const (
	controllerMemory = 125 << 20
	heapShare        = 0.6
)

// heapInUse returns the bytes of live objects.
func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// waitingArrays returns the records of arrays of team blue, none of whose tasks was ever started. Each was
// submitted before the one that precedes it in the list.
func waitingArrays(jobs, tasks int) (records []protocol.KeyValue) {
	for i := range jobs {
		spec := &job.Spec{ID: fmt.Sprintf("wk-%06d", i), Class: "arr", Team: "blue", Shape: job.Array, Tasks: tasks,
			Priority: job.Normal, CPUs: 6, GPUs: 1, MemoryGB: 24, Image: "img-01", ImageGB: 5, Spot: true, EstimateS: 35}
		records = append(records, protocol.KeyValue{Key: keyJob + spec.ID, Value: encode(storedJob{spec, job.Open, int64(jobs - i), "n1"}), ModRevision: uint64(i + 1)})
	}
	return records
}

// TestWaitingTasksFitIntoMemory guards against controllers that exceed their memory, again after each restart,
// once users have submitted some 37 arrays of 100,000 tasks, or as many waiting tasks in smaller arrays: after a
// start with such records and some sweeps, the heap must stay below what the platform leaves for it.
func TestWaitingTasksFitIntoMemory(t *testing.T) {
	const waitingTasks = 3_700_000
	for _, tasks := range []int{100_000, 10_000, 1_000, 100} {
		t.Run(fmt.Sprintf("arrays of %d", tasks), func(t *testing.T) {
			records := waitingArrays(waitingTasks/tasks, tasks)
			s := newScript(t)
			s.advance(100 * time.Millisecond)
			before := heapInUse()
			s.reply(protocol.PathKeys+"?", "", 200, protocol.KeyValuePage{Revision: uint64(len(records)), KeyValues: records})
			s.advance(3 * time.Second)
			s.openCalls, s.responses = nil, nil
			grown := int64(heapInUse()) - int64(before)
			if limit := int64(heapShare * controllerMemory); grown > limit {
				t.Errorf("%d waiting tasks in %d jobs take %.1f MB, the bound is %.1f MB", waitingTasks, len(records), float64(grown)/(1<<20), float64(limit)/(1<<20))
			}
			t.Logf("%.1f MB", float64(grown)/(1<<20))
			if open := len(s.core.jobs.open); open != len(records) {
				t.Errorf("%d of %d jobs are open", open, len(records))
			}
			runtime.KeepAlive(records)
		})
	}
}
