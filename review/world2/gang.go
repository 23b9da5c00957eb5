//go:build review

package main

import (
	"strings"
	"time"
)

func init() { scenarios["wave"] = wave }

// wave: cheap machines are taken back in a wave, while a gang runs on some of them.
func wave(w *World, trouble bool) bool {
	array := small("wk-000001", "date", 4)
	array.Loads, array.CPUs, array.RAMGb, array.Accelerators, array.Rigs = 60, 2, 1, 0, nil
	gang := small("wk-000002", "clienti", 25)
	gang.Jobclass, gang.Shape, gang.Urgency, gang.Loads, gang.CPUs, gang.RAMGb, gang.Accelerators, gang.Rigs = "antrenare", "ensemble", "urgent", 300, 2, 1, 0, nil
	w.accept(array)
	w.accept(gang)
	starts := func() (started, on int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for load := range w.on {
			if strings.HasPrefix(load, gang.Ref+"/") {
				on++
			}
		}
		return w.started[gang.Ref], on
	}
	for end := time.Now().Add(45 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		if n, _ := starts(); n >= gang.Loads {
			break
		}
		if time.Now().After(end) {
			panic(cannotRun("the gang does not start"))
		}
	}
	w.Log("the gang runs")
	time.Sleep(3 * time.Second)
	before, _ := starts()
	if trouble {
		w.Log("the cloud takes back %v", w.cloud.TakeBack(0.28))
	}
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		_, s := w.Poll(gang.Ref)
		n, on := starts()
		w.Log("user: poll of %s got %s; %d starts of its tasks since, %d on machines; %d machines are up", gang.Ref, s, n-before, on, len(w.cloud.Workers()))
		if s == "done" {
			return true
		}
	}
	after, on := starts()
	return after > before || on > 0
}
