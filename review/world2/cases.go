//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// small returns a job of five short tasks, such as a forecast of BRIEF's prognoza.
func small(ref, crew string, runS float64) *Job {
	return &Job{Ref: ref, Jobclass: "prognoza", Crew: crew, Shape: "batch", Urgency: "standard", Loads: 5, CPUs: 6, Accelerators: 1, RAMGb: 24,
		Kit: "img-01", SizeGb: 0.1, Rigs: []string{"stejar", "brad"}, Casual: true, EtaS: runS, RunS: runS}
}

// accept submits a job and fails the case if it is not accepted.
func (w *World) accept(j *Job) {
	if s := w.Submit(j); s != 200 && s != 201 {
		panic(cannotRun(fmt.Sprintf("%s was not accepted: %d", j.Ref, s)))
	}
}

// awaitStatus polls a job until it has a status, for at most limit.
func (w *World) awaitStatus(ref, status string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if _, s := w.Poll(ref); s == status {
			return true
		}
	}
	return false
}

// progress is what users and machines see in a time.
type progress struct {
	polls, answered    int
	starts, onMachines int
	memoryKills        int
}

// observe polls jobs once a second for a time and returns what was seen.
func (w *World) observe(refs []string, d time.Duration) (p progress) {
	count := func() (starts, kills int) {
		w.mu.Lock()
		for _, n := range w.started {
			starts += n
		}
		w.mu.Unlock()
		for _, n := range w.nodes {
			n.mu.Lock()
			kills += n.MemoryKills
			n.mu.Unlock()
		}
		return starts, kills
	}
	starts, kills := count()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		for _, ref := range refs {
			p.polls++
			status, s := w.Poll(ref)
			if status == 200 {
				p.answered++
			}
			w.Log("user: poll of %s got %d %s", ref, status, s)
		}
		w.mu.Lock()
		p.onMachines = max(p.onMachines, len(w.on))
		w.mu.Unlock()
	}
	p.starts, p.memoryKills = count()
	p.starts -= starts
	p.memoryKills -= kills
	return p
}

// burst: jobs of a class come several times as often. Its arrays have as many tasks as a job may have.
func burst(w *World, trouble bool) bool {
	first := small("wk-000001", "dispecerat", 3)
	w.accept(first)
	if !w.awaitStatus(first.Ref, "done", 30*time.Second) {
		panic(cannotRun("a small job is not done before the burst"))
	}
	// Another team's job, accepted and running before the burst. Its tasks take 75 s.
	other := small("wk-000002", "facturare", 75)
	w.accept(other)
	if !w.awaitStatus(other.Ref, "running", 20*time.Second) {
		panic(cannotRun("the other team's job does not run"))
	}
	// BRIEF, prognoza: 7 at the start and 6.1 a minute; in 20 s these are 9 jobs.
	const usual, factor, within = 9, 5, 20 * time.Second
	n := usual
	if trouble {
		n *= factor
	}
	w.Log("%d jobs of 100,000 tasks are submitted within %v", n, within)
	var wait sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	begin := time.Now()
	for i := range n {
		time.Sleep(time.Until(begin.Add(within * time.Duration(i) / time.Duration(n))))
		j := small(fmt.Sprintf("wk-%06d", 100+i), "clienti", 5)
		j.Loads, j.Rigs = 100_000, nil
		wait.Add(1)
		go func() {
			defer wait.Done()
			if s := w.Submit(j); s == 200 || s == 201 {
				mu.Lock()
				accepted++
				mu.Unlock()
			}
		}()
	}
	// What was started before ends with its worker's lease of 18 s at the latest, if no controller answers.
	time.Sleep(time.Until(begin.Add(within + 45*time.Second)))
	// 30 s, ten times as long as a controller takes to come back.
	p := w.observe([]string{other.Ref, "wk-000100", "wk-000101"}, 30*time.Second)
	mu.Lock()
	defer mu.Unlock()
	w.Log("%d of %d jobs accepted; in the last 30 s: %d of %d polls answered with 200, %d tasks started, at most %d on machines, controllers killed for memory %d times",
		accepted, n, p.answered, p.polls, p.starts, p.onMachines, p.memoryKills)
	if accepted == 0 {
		panic(cannotRun("no job of the burst was accepted"))
	}
	w.mu.Lock()
	done := w.done[other.Ref]
	w.mu.Unlock()
	w.Log("of the other team's job, %d of %d tasks have completed", done, other.Loads)
	// The rule: an accepted job must run.
	return done == other.Loads
}

// history: the site has run for some days. Its users' jobs are over, and their final states are kept.
func history(w *World, trouble bool) bool {
	// One job of each of BRIEF's classes runs to its end; the records that the controllers write of them are those of every such job.
	forecast := small("wk-000001", "dispecerat", 3)
	route := &Job{Ref: "wk-000002", Jobclass: "ruteplan", Crew: "flota", Shape: "standing", Urgency: "prod", Loads: 1, CPUs: 5, Accelerators: 1, RAMGb: 19,
		Kit: "img-02", SizeGb: 0.1, Rigs: []string{"stejar", "brad"}}
	training := &Job{Ref: "wk-000003", Jobclass: "antrenare", Crew: "date", Shape: "ensemble", Urgency: "urgent", Loads: 1, CPUs: 57, Accelerators: 8, RAMGb: 200,
		Kit: "img-03", SizeGb: 0.1, OneZone: true, EtaS: 3, WaypointS: 15, StowS: 6, RunS: 3}
	for _, j := range []*Job{forecast, route, training} {
		w.accept(j)
	}
	if !w.awaitStatus(route.Ref, "running", 30*time.Second) {
		panic(cannotRun("the service does not run"))
	}
	if s, v := w.call("POST", "/v2/runs/"+route.Ref+"/abort", nil, 5*time.Second); s != 200 {
		panic(cannotRun(fmt.Sprint("the service can't be cancelled: ", s, v)))
	}
	for _, j := range []*Job{forecast, training} {
		if !w.awaitStatus(j.Ref, "done", 30*time.Second) {
			panic(cannotRun(j.Ref + " is not done"))
		}
	}
	time.Sleep(time.Second)
	open := small("wk-000009", "facturare", 25)
	w.accept(open)
	// BRIEF: 6.1, 1.5 and 2 such jobs a minute.
	minutes := 60
	if trouble {
		minutes = 15 * 24 * 60
	}
	records, total := map[string]json.RawMessage{}, 0
	for _, class := range []struct {
		ref       string
		perMinute float64
	}{{forecast.Ref, 6.1}, {route.Ref, 1.5}, {training.Ref, 2}} {
		left := map[string]json.RawMessage{}
		for _, prefix := range []string{"sg/j/" + class.ref, "sg/p/" + class.ref + "/"} {
			for k, v := range w.state.Under(prefix) {
				left[k] = v
				w.Log("a job that is over leaves %s %s", k, v)
			}
		}
		for range int(class.perMinute * float64(minutes)) {
			ref := fmt.Sprintf("wk-%06d", 1000+total)
			total++
			for k, v := range left {
				records[strings.ReplaceAll(k, class.ref, ref)] = json.RawMessage(strings.ReplaceAll(string(v), class.ref, ref))
			}
		}
	}
	for _, n := range w.nodes {
		go w.KillNode(n)
	}
	time.Sleep(time.Second)
	w.state.Insert(records)
	w.Log("all controllers have crashed; the state service holds the records of %d minutes, of %d jobs that are over", minutes, total)
	w.observe([]string{open.Ref, forecast.Ref}, 40*time.Second)
	p := w.observe([]string{open.Ref, forecast.Ref, "wk-001000"}, 30*time.Second)
	status, s := w.Poll(open.Ref)
	w.Log("70 s after the crash: %s got %d %s; in the last 30 s: %d of %d polls answered with 200, %d tasks started, at most %d on machines, controllers killed for memory %d times",
		open.Ref, status, s, p.answered, p.polls, p.starts, p.onMachines, p.memoryKills)
	// The rule: an accepted job must run, even when all nodes fail. Its tasks take 25 s.
	return s == "done" || p.onMachines > 0
}

// reportTasks is the number of tasks of a job in reports. A report of so many takes 60 KB when all have completed.
const reportTasks = 900

// reports: jobs of a class come several times as often. Its tasks are small.
func reports(w *World, trouble bool) bool {
	const usual, factor = 1, 5
	n := usual
	if trouble {
		n *= factor
	}
	var refs []string
	for i := range n {
		j := &Job{Ref: fmt.Sprintf("wk-%06d", 100+i), Jobclass: "prognoza", Crew: "clienti", Shape: "batch", Urgency: "standard", Loads: reportTasks, CPUs: 0.05, RAMGb: 0.2,
			Kit: "img-01", SizeGb: 0.1, Rigs: []string{"brad"}, Casual: true, EtaS: 60, RunS: 60}
		w.accept(j)
		refs = append(refs, j.Ref)
	}
	allDone := func() (done int, all bool) {
		for _, ref := range refs {
			if _, s := w.Poll(ref); s == "done" {
				done++
			}
		}
		return done, done == len(refs)
	}
	var completedAt time.Time
	for end := time.Now().Add(100 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		done, all := allDone()
		w.mu.Lock()
		completed, on, starts := 0, len(w.on), 0
		for _, ref := range refs {
			completed += w.done[ref]
			starts += w.started[ref]
		}
		w.mu.Unlock()
		w.Log("%d of %d tasks have completed, %d are on machines, %d starts so far; users are told done of %d of %d jobs; %d tasks were killed by the end of a lease",
			completed, reportTasks*n, on, starts, done, n, w.killed.Load())
		if completed == reportTasks*n && completedAt.IsZero() {
			completedAt = time.Now()
			w.Log("all tasks have completed")
		}
		if all {
			return true
		}
	}
	if completedAt.IsZero() {
		w.Log("not all tasks have completed")
	} else {
		w.Log("%.0f s after the last task has completed, users are not told done of all jobs", time.Since(completedAt).Seconds())
	}
	return false
}
