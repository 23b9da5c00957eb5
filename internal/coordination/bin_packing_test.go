package coordination

import (
	"maps"
	"slices"
	"testing"
	"time"

	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// TestNothingWaitsForRoomOnDeafMachines guards against a fleet plan that counts on unresponsive
// machines, whose heartbeats arrive but which receive no answers: no machines were rented for
// waiting tasks until the unresponsive ones received answers again.
func TestNothingWaitsForRoomOnDeafMachines(t *testing.T) {
	for seed := uint64(48_100); seed < 48_104; seed++ {
		s := newSim(t, seed, 0)
		for k := range s.cloud.capacity {
			s.cloud.capacity[k] = map[string]int{"large": 4}[k.machineType]
		}
		service := &job.Spec{ID: "wk-000001", Class: "svc", Team: "blue", Shape: job.Service, Tasks: 1, CPUs: 4, GPUs: 1, MemoryGB: 8, Priority: job.Production}
		s.after(time.Second, func() { s.submit(service, 0, 0) })
		s.run(40 * time.Second)
		for _, w := range s.cloud.sortedMachines() {
			w.unresponsiveUntil = s.now + 90*time.Second
		}
		s.run(65 * time.Second) // the service's lease has ended, and its machine shows no token
		u := s.submit(&job.Spec{ID: "wk-000002", Class: "arr", Team: "blue", Shape: job.Array, Tasks: 4, CPUs: 4, GPUs: 1, MemoryGB: 8, Priority: job.Normal}, 5, 0)
		s.run(120 * time.Second)
		if u.tasksStarted == 0 || u.firstStartAt > 110*time.Second {
			t.Errorf("seed %d: no task started within 45 s; %d of 4 tasks had started by the end", seed, u.tasksStarted)
		}
		s.reportViolations(t)
	}
}

// TestBinPackingRents packs tasks of one job onto given machines and checks which machines are to
// be rented for the tasks that do not fit.
func TestBinPackingRents(t *testing.T) {
	types := map[string]*protocol.MachineType{
		"small": {Name: "small", CPUs: 4, GPUs: 1, MemoryGB: 16, Zones: []string{"a", "b"}, OnDemandPrice: 1, SpotPrice: 0.4},
		"large": {Name: "large", CPUs: 16, GPUs: 4, MemoryGB: 64, Zones: []string{"b"}, OnDemandPrice: 3, SpotPrice: 1.2},
	}
	nothing := map[offering]int{}
	for _, v := range []struct {
		name        string
		present     []offering // existing machines, all empty
		refused     []offering
		load        map[string]int // machines by zone
		spec        job.Spec
		tasks       int
		tasksByZone map[string]int
		toRent      map[offering]int
		unplaceable int
	}{
		{
			name:    "a machine with room is used first",
			present: []offering{{"small", "a", false}},
			spec:    job.Spec{Tasks: 1, CPUs: 4, GPUs: 1, MemoryGB: 8},
			tasks:   1,
			toRent:  nothing,
		},
		{
			name:   "the type that costs least for each task",
			spec:   job.Spec{Tasks: 4, CPUs: 4, GPUs: 1, MemoryGB: 8},
			tasks:  4,
			toRent: map[offering]int{{"large", "b", false}: 1},
		},
		{
			name:   "spot where the job allows it",
			spec:   job.Spec{Tasks: 4, CPUs: 4, GPUs: 1, MemoryGB: 8, Spot: true},
			tasks:  4,
			toRent: map[offering]int{{"large", "b", true}: 1},
		},
		{
			name:    "no spot machine for a job that does not allow it",
			present: []offering{{"large", "b", true}},
			spec:    job.Spec{Tasks: 1, CPUs: 16, GPUs: 4, MemoryGB: 64},
			tasks:   1,
			toRent:  map[offering]int{{"large", "b", false}: 1},
		},
		{
			name:    "another type while one is refused",
			refused: []offering{{"large", "b", false}},
			load:    map[string]int{"a": 1},
			spec:    job.Spec{Tasks: 1, CPUs: 4, GPUs: 1, MemoryGB: 8},
			tasks:   1,
			toRent:  map[offering]int{{"small", "b", false}: 1},
		},
		{
			name:        "tasks of a spread job go to several zones",
			spec:        job.Spec{Tasks: 2, CPUs: 4, GPUs: 1, MemoryGB: 8, Spread: true, MachineTypes: []string{"small"}},
			tasks:       2,
			tasksByZone: map[string]int{},
			toRent:      map[offering]int{{"small", "a", false}: 1, {"small", "b", false}: 1},
		},
		{
			name:        "what no type holds is not rented for",
			spec:        job.Spec{Tasks: 3, CPUs: 32, MemoryGB: 8},
			tasks:       3,
			toRent:      nothing,
			unplaceable: 3,
		},
	} {
		t.Run(v.name, func(t *testing.T) {
			refused := func(offer offering) bool { return slices.Contains(v.refused, offer) }
			p := newBinPacking(types, refused, true)
			maps.Copy(p.machinesByZone, v.load)
			for _, offer := range v.present {
				p.addSlot("m", offer)
			}
			p.sortSlots()
			p.packTasks(&v.spec, v.tasks, v.tasksByZone)
			if !maps.Equal(p.toRent, v.toRent) || p.unplaceable != v.unplaceable {
				t.Errorf("machines to rent: %v, with %d tasks that can't be placed; want %v and %d", p.toRent, p.unplaceable, v.toRent, v.unplaceable)
			}
		})
	}
}

// TestPinZone checks the zone in which a one-zone job is packed.
func TestPinZone(t *testing.T) {
	types := map[string]*protocol.MachineType{
		"small": {Name: "small", CPUs: 4, GPUs: 1, MemoryGB: 16, Zones: []string{"a", "b"}, OnDemandPrice: 1},
	}
	spec := &job.Spec{Tasks: 2, CPUs: 4, GPUs: 1, MemoryGB: 8, OneZone: true}
	for _, v := range []struct {
		name        string
		present     []offering
		tasksByZone map[string]int
		zone        string
	}{
		{"the first zone where machines can be rented", nil, nil, "a"},
		{"where there is room", []offering{{"small", "b", false}}, nil, "b"},
		{"where some tasks are already", []offering{{"small", "b", false}}, map[string]int{"c": 1}, "c"},
	} {
		t.Run(v.name, func(t *testing.T) {
			p := newBinPacking(types, func(offering) bool { return false }, false)
			for _, offer := range v.present {
				p.addSlot("m", offer)
			}
			pinned := p.pinZone(spec, 2, []string{"a", "b", "c"}, v.tasksByZone)
			if pinned.Zone != v.zone {
				t.Errorf("the job is packed in zone %q, want %q", pinned.Zone, v.zone)
			}
			if spec.Zone != "" {
				t.Errorf("the job's own specification was changed to zone %q", spec.Zone)
			}
		})
	}
}
