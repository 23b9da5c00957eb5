//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

// Worker is a stand-in for a machine's worker, as PROTOCOL describes it. It keeps to its limits:
// it sends no body above 64 KiB and takes no line above 64 KiB.
type Worker struct {
	mu      sync.Mutex
	world   *World
	m       *rentedMachine
	addr    string
	server  *http.Server
	client  *http.Client
	shift   uint64
	tally   uint64
	baton   uint64
	tasks   map[string]*workerTask // by task/try
	order   []string
	images  map[string]time.Time // when it is or will be here
	renewed time.Time            // when the last answered report was sent, or the session began
	target  int
	changed chan struct{}
	stopped chan struct{}
	once    sync.Once
	room    machineType
}

type workerTask struct {
	Load   string `json:"load"`
	Try    int    `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`
	Saved  bool   `json:"saved,omitempty"`
	job    *Job
	ready  time.Time // when its image is here
	since  time.Time // when it began to run, or to wait for its gang
	onIt   bool
}

type order struct {
	Verb      string
	Load      string
	Try       int
	WindDownS *float64
}

const maxMessage = 64 << 10

func startWorker(w *World, m *rentedMachine) *Worker {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	k := &Worker{world: w, m: m, addr: l.Addr().String(), shift: 1, tasks: map[string]*workerTask{}, images: map[string]time.Time{}, renewed: time.Now(),
		target: rand.Intn(len(w.nodes)), changed: make(chan struct{}, 1), stopped: make(chan struct{}),
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	for _, t := range w.cloud.types {
		if t.SKU == m.Rig {
			k.room = t
		}
	}
	k.server = &http.Server{Handler: k}
	go k.server.Serve(l)
	go k.report()
	go k.run()
	w.Log("worker %s is up at %s", m.Ref, k.addr)
	return k
}

// Stop ends the machine with everything on it.
func (k *Worker) Stop() {
	k.once.Do(func() {
		k.mu.Lock()
		close(k.stopped)
		k.endSession("its machine is gone")
		k.mu.Unlock()
		k.server.Close()
	})
}

func (k *Worker) gone() bool {
	select {
	case <-k.stopped:
		return true
	default:
		return false
	}
}

// endSession kills and forgets all tasks. The lock is held.
func (k *Worker) endSession(why string) {
	if len(k.tasks) > 0 {
		k.world.Log("worker %s: %d tasks are killed: %s", k.m.Ref, len(k.tasks), why)
	}
	for _, t := range k.tasks {
		k.leave(t)
		if t.Status != "ended" {
			k.world.killed.Add(1)
		}
	}
	k.tasks, k.order = map[string]*workerTask{}, nil
}

func (k *Worker) leave(t *workerTask) {
	k.world.GangLeft(t.Load, t.Try)
	if t.onIt {
		t.onIt = false
		k.world.TaskOff(t.Load, k.m.Ref)
	}
}

func (k *Worker) end(t *workerTask, cause string) {
	if t.Status == "ended" {
		return
	}
	k.leave(t)
	t.Status, t.Cause = "ended", cause
	k.poke()
}

func (k *Worker) poke() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// run lets time pass on the machine.
func (k *Worker) run() {
	for range time.Tick(20 * time.Millisecond) {
		if k.gone() {
			return
		}
		k.mu.Lock()
		now := time.Now()
		if now.Sub(k.renewed) > k.world.seconds(k.world.facts.Workers.LeaseS) {
			k.endSession("the lease has ended")
			k.shift++
			k.renewed = now
			k.poke()
		}
		for _, t := range k.tasks {
			switch {
			case t.Status == "pulling" && now.After(t.ready):
				t.Status, t.onIt, t.since = "running", true, now
				k.world.TaskOn(t.Load, t.Try, k)
				if t.job.Shape == "ensemble" && t.job.Loads > 1 {
					if k.world.IsDone(t.Load) {
						k.end(t, "done")
						continue
					}
					t.Status = "waiting"
					k.world.GangWaits(t.Load, t.Try)
				}
				k.poke()
			case t.Status == "waiting" && k.world.GangComplete(t.job, t.Try):
				t.Status, t.since = "running", now
				k.poke()
			case t.Status == "waiting" && now.Sub(t.since).Seconds() > k.world.facts.Workers.GangWaitS:
				k.end(t, "alone")
			case t.Status == "running" && k.world.GangDone(t.job, t.Try):
				k.world.TaskDone(t.Load, k.m.Ref)
				k.end(t, "done")
			case t.Status == "running" && k.world.GangBroken(t.job, t.Try):
				k.end(t, "peers")
			case t.Status == "running" && t.job.RunS > 0 && (now.Sub(t.since).Seconds() > t.job.RunS || k.world.IsDone(t.Load)):
				k.world.TaskDone(t.Load, k.m.Ref)
				k.world.GangEnds(t.job, t.Try)
				k.end(t, "done")
			}
		}
		k.mu.Unlock()
	}
}

func (k *Worker) execute(orders []order) {
	for _, o := range orders {
		id := o.Load + "#" + string(rune(o.Try))
		t := k.tasks[id]
		switch o.Verb {
		case "launch":
			if t != nil {
				continue
			}
			t = &workerTask{Load: o.Load, Try: o.Try, Status: "pulling", job: k.world.JobOf(o.Load)}
			k.tasks[id] = t
			k.order = append(k.order, id)
			switch {
			case t.job == nil:
				t.Status, t.Cause = "ended", "unknown"
			case k.busy(t):
				t.Status, t.Cause = "ended", "busy"
			case !k.fits(t):
				t.Status, t.Cause = "ended", "no_room"
			default:
				at, ok := k.images[t.job.Kit]
				if !ok {
					at = time.Now().Add(time.Duration(t.job.SizeGb / k.room.PullGbPerS * float64(time.Second)))
					k.images[t.job.Kit] = at
				}
				t.ready = at
				if now := time.Now(); at.Before(now) {
					t.ready = now
				}
			}
			k.poke()
		case "kill":
			if t != nil {
				k.end(t, "stopped")
			}
		case "forget":
			if t != nil && t.Status == "ended" {
				delete(k.tasks, id)
				for i, other := range k.order {
					if other == id {
						k.order = append(k.order[:i], k.order[i+1:]...)
						break
					}
				}
			}
		}
	}
}

func (k *Worker) busy(t *workerTask) bool {
	for _, o := range k.tasks {
		if o != t && o.Load == t.Load && o.Status != "ended" {
			return true
		}
	}
	return false
}

func (k *Worker) fits(t *workerTask) bool {
	cpus, gpus, ram := 0.0, 0.0, 0.0
	for _, o := range k.tasks {
		if o.Status != "ended" {
			cpus, gpus, ram = cpus+o.job.CPUs, gpus+o.job.Accelerators, ram+o.job.RAMGb
		}
	}
	const e = 1e-6
	return cpus <= k.room.CPUs+e && gpus <= k.room.Accelerators+e && ram <= k.room.RAMGb+e
}

// state returns the worker's report. The lock is held.
func (k *Worker) state() []byte {
	k.tally++
	loads := []*workerTask{}
	for _, id := range k.order {
		loads = append(loads, k.tasks[id])
	}
	b, err := json.Marshal(map[string]any{"stoker": k.m.Ref, "address": k.addr, "rig": k.m.Rig, "depot": k.m.Depot, "casual": k.m.Casual,
		"shift": k.shift, "tally": k.tally, "baton": k.baton, "recallS": nil, "loads": loads})
	must(err)
	return b
}

// report sends reports, one at a time.
func (k *Worker) report() {
	period := k.world.facts.Workers.ReportS
	for !k.gone() {
		sent := time.Now()
		pause := k.send()
		if pause == 0 {
			pause = period * (0.75 + rand.Float64()/2)
		}
		at := time.After(k.world.seconds(pause) - time.Since(sent))
		least := time.After(500 * time.Millisecond)
		select {
		case <-at:
		case <-k.changed:
			select {
			case <-least:
			case <-k.stopped:
			}
		case <-k.stopped:
		}
	}
}

// send sends one report. It returns the pause until the next one, 0 for the usual one.
func (k *Worker) send() float64 {
	k.mu.Lock()
	body, shift, sent := k.state(), k.shift, time.Now()
	node := k.world.nodes[k.target]
	k.mu.Unlock()
	if len(body) > k.world.largestReport {
		k.world.largestReport = len(body)
	}
	next := func() float64 { k.mu.Lock(); k.target = (k.target + 1) % len(k.world.nodes); k.mu.Unlock(); return 1 }
	res, err := k.client.Post("http://"+node.Bind+"/checkin", "application/json", bytes.NewReader(body))
	if err != nil {
		return next()
	}
	raw, err := io.ReadAll(res.Body)
	res.Body.Close()
	if res.StatusCode != 200 {
		k.world.CountReport(res.StatusCode, len(body))
	}
	switch {
	case err != nil:
		return next()
	case res.StatusCode == 421:
		var d struct{ Dispatcher string }
		json.Unmarshal(raw, &d)
		for i, n := range k.world.nodes {
			if n.Name == d.Dispatcher && i != k.target {
				k.mu.Lock()
				k.target = i
				k.mu.Unlock()
				return 0.25
			}
		}
		return next()
	case res.StatusCode != 200:
		return next()
	}
	if len(raw) > k.world.largestAnswer {
		k.world.largestAnswer = len(raw)
	}
	var a struct {
		Baton  uint64
		Orders []order
	}
	if json.Unmarshal(raw, &a) != nil {
		return next()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if a.Baton < k.baton || k.shift != shift || k.gone() || time.Since(sent) > 4*time.Second {
		return 0
	}
	if a.Baton > k.baton {
		k.baton = a.Baton
		k.poke()
	}
	k.renewed = sent
	k.execute(a.Orders)
	return 0
}

func (k *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gone() {
		return
	}
	status := 200
	if r.URL.Path == "/orders" {
		var o struct {
			Baton, Shift *uint64
			Orders       []order
		}
		switch {
		case json.Unmarshal(body, &o) != nil || o.Baton == nil || o.Shift == nil:
			status = 400
		case *o.Baton < k.baton || *o.Shift != k.shift:
			status = 409
		default:
			k.baton = max(k.baton, *o.Baton)
			k.execute(o.Orders)
		}
	}
	b := k.state()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(b)
}
