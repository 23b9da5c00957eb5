//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type machineType struct {
	SKU          string   `json:"sku"`
	CPUs         float64  `json:"cpus"`
	Accelerators float64  `json:"accelerators"`
	RAMGb        float64  `json:"ramGb"`
	LocalGb      float64  `json:"localGb"`
	PullGbPerS   float64  `json:"pullGbPerS"`
	Hourly       float64  `json:"hourly"`
	SpotPrice    float64  `json:"spotPrice"`
	StartupS     float64  `json:"startupS"`
	Depots       []string `json:"depots"`
}

// Cloud is a stand-in for the cloud. Its machines are Workers of this process.
type Cloud struct {
	mu       sync.Mutex
	world    *World
	types    []machineType
	capacity map[string]int // by type/zone/casual
	hires    map[string][]string
	machines map[string]*rentedMachine
	lastID   int
	calls    bucket
	BootS    float64
	Addr     string
}

type rentedMachine struct {
	Ref     string  `json:"ref"`
	Address string  `json:"address"`
	Rig     string  `json:"rig"`
	Depot   string  `json:"depot"`
	Casual  bool    `json:"casual"`
	Status  string  `json:"status"`
	AgeS    float64 `json:"ageS"`
	since   time.Time
	worker  *Worker
}

func startCloud(w *World, types []machineType, capacity map[string]int) *Cloud {
	c := &Cloud{world: w, types: types, capacity: capacity, hires: map[string][]string{}, machines: map[string]*rentedMachine{}, calls: newBucket(w.facts.Cloud.RPS, 2), BootS: 2}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	c.Addr = l.Addr().String()
	go http.Serve(l, c)
	return c
}

func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.calls.take(1) {
		answer(w, 429, map[string]any{"error": "too many"})
		return
	}
	switch {
	case r.URL.Path == "/flavors":
		answer(w, 200, map[string]any{"rigs": c.types})
	case r.URL.Path == "/rentals" && r.Method == "POST":
		c.rent(w, body)
	case r.URL.Path == "/rentals/delete":
		var d struct{ Stokers []string }
		json.Unmarshal(body, &d)
		for _, id := range d.Stokers {
			if m := c.machines[id]; m != nil {
				delete(c.machines, id)
				if m.worker != nil {
					m.worker.Stop()
				}
				c.capacity[key(m.Rig, m.Depot, m.Casual)]++
				c.world.Log("cloud: deleted %s", id)
			}
		}
		answer(w, 200, map[string]any{})
	case r.URL.Path == "/rentals":
		c.list(w, r)
	default:
		answer(w, 400, map[string]any{"error": "no such path"})
	}
}

func key(rig, depot string, casual bool) string { return fmt.Sprint(rig, "/", depot, "/", casual) }

func (c *Cloud) rent(w http.ResponseWriter, body []byte) {
	var h struct {
		Hire, Rig, Depot string
		Casual           bool
		Number           int
	}
	if json.Unmarshal(body, &h) != nil || h.Number < 1 || h.Number > 50 {
		answer(w, 400, map[string]any{"error": "malformed"})
		return
	}
	if names, ok := c.hires[h.Hire]; ok {
		answer(w, 200, map[string]any{"stokers": names})
		return
	}
	k := key(h.Rig, h.Depot, h.Casual)
	n := min(h.Number, c.capacity[k])
	if n == 0 {
		answer(w, 503, map[string]any{"error": "no capacity"})
		return
	}
	c.capacity[k] -= n
	var names []string
	for range n {
		c.lastID++
		m := &rentedMachine{Ref: fmt.Sprintf("i-%06d", c.lastID), Rig: h.Rig, Depot: h.Depot, Casual: h.Casual, Status: "booting", since: time.Now()}
		c.machines[m.Ref] = m
		names = append(names, m.Ref)
		time.AfterFunc(time.Duration(c.BootS*float64(time.Second)), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.machines[m.Ref] != m {
				return
			}
			m.worker = startWorker(c.world, m)
			m.Address, m.Status = m.worker.addr, "running"
		})
	}
	c.hires[h.Hire] = names
	c.world.Log("cloud: rented %v of %s in %s, casual %v", names, h.Rig, h.Depot, h.Casual)
	answer(w, 200, map[string]any{"stokers": names})
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	from := r.URL.Query().Get("from")
	page, _ := strconv.Atoi(r.URL.Query().Get("page"))
	if page <= 0 || page > 500 {
		page = 500
	}
	var names []string
	for n := range c.machines {
		if n > from {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	truncated := len(names) > page
	names = names[:min(len(names), page)]
	out := []rentedMachine{}
	for _, n := range names {
		m := *c.machines[n]
		m.AgeS = time.Since(m.since).Seconds()
		out = append(out, m)
	}
	answer(w, 200, map[string]any{"stokers": out, "truncated": truncated})
}

// Workers returns the workers that are up.
func (c *Cloud) Workers() (all []*Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.worker != nil {
			all = append(all, m.worker)
		}
	}
	return all
}

// TakeBack takes spot machines back without notice, the largest first: a share of all.
func (c *Cloud) TakeBack(share float64) (taken []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var spot []*rentedMachine
	for _, m := range c.machines {
		if m.Casual && m.worker != nil {
			spot = append(spot, m)
		}
	}
	sort.Slice(spot, func(i, j int) bool {
		a, b := spot[i].worker.room.CPUs, spot[j].worker.room.CPUs
		return a > b || a == b && spot[i].Ref < spot[j].Ref
	})
	for _, m := range spot[:int(share*float64(len(spot)))] {
		delete(c.machines, m.Ref)
		c.capacity[key(m.Rig, m.Depot, m.Casual)]++
		m.worker.Stop()
		taken = append(taken, m.Ref)
	}
	return taken
}
