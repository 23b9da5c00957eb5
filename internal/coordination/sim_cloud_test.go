package coordination

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"silvergate/internal/protocol"
)

type simCloud struct {
	s                *sim
	machineTypes     map[string]protocol.MachineType
	capacity         map[offering]int
	rentalsByRequest map[string][]string
	nextMachine      int
	machines         map[string]*simWorker // by name
	listHistory      []listSnapshot
	pageSize         int
}

type listSnapshot struct {
	at       time.Duration
	machines []protocol.RentedMachine
}

func (c *simCloud) sortedMachines() []*simWorker {
	var out []*simWorker
	for i := 0; i < c.nextMachine; i++ {
		if w := c.machines[fmt.Sprintf("i-%06d", i)]; w != nil {
			out = append(out, w)
		}
	}
	return out
}

func (c *simCloud) snapshot() {
	var l []protocol.RentedMachine
	for _, n := range sortedKeys(c.machines) {
		w := c.machines[n]
		st := protocol.StatusRunning
		if w.failed {
			st = protocol.StatusFailed
		} else if !w.up {
			st = protocol.StatusBooting
		}
		l = append(l, protocol.RentedMachine{Name: w.name, Address: w.address, MachineType: w.machineType, Zone: w.zone, Spot: w.spot, Status: st, AgeS: (c.s.now - w.rentedAt).Seconds()})
	}
	c.listHistory = append(c.listHistory, listSnapshot{c.s.now, l})
	if len(c.listHistory) > 60 {
		c.listHistory = c.listHistory[20:]
	}
	c.s.after(time.Second, c.snapshot)
}

func (c *simCloud) serve(k protocol.Call, reply func(int, []byte)) {
	s := c.s
	switch {
	case k.Path == protocol.PathMachineTypes:
		var f protocol.MachineTypes
		for _, n := range sortedKeys(c.machineTypes) {
			f.MachineTypes = append(f.MachineTypes, c.machineTypes[n])
		}
		reply(200, encode(f))
	case k.Path == protocol.PathRentalsDelete:
		var n protocol.MachineNames
		_ = json.Unmarshal(k.Body, &n)
		if f := s.faults.delaysDeletion; f != nil && f(n.Machines) { // held up: carried out later, and unanswered
			s.after(s.randomMillis(10_000, 30_000), func() { s.faults.delaysDeletion = nil; c.serve(k, func(int, []byte) {}); s.faults.delaysDeletion = f })
			return
		}
		for _, name := range n.Machines {
			if w := c.machines[name]; w != nil {
				s.countDeletionInUse(w)
				w.die()
				delete(c.machines, name)
				if !w.preempted {
					c.capacity[offering{w.machineType, w.zone, w.spot}]++
				}
			}
		}
		reply(200, []byte("{}"))
	case strings.HasPrefix(k.Path, protocol.PathRentals+"?"):
		lag := seconds(s.facts.Cloud.ListLag * (1 + s.random.Float64()))
		r := protocol.RentalList{Machines: []protocol.RentedMachine{}}
		u, _ := url.Parse(k.Path)
		for i := len(c.listHistory) - 1; i >= 0; i-- {
			if c.listHistory[i].at <= s.now-lag {
				for _, l := range c.listHistory[i].machines {
					if l.Name > u.Query().Get("from") {
						if page, err := strconv.Atoi(u.Query().Get("page")); len(r.Machines) == c.pageSize || err == nil && len(r.Machines) == page {
							r.Truncated = true
							break
						}
						r.Machines = append(r.Machines, l)
					}
				}
				break
			}
		}
		reply(200, encode(r))
	case k.Path == protocol.PathRentals:
		var r protocol.RentalRequest
		_ = json.Unmarshal(k.Body, &r)
		if old, ok := c.rentalsByRequest[r.RequestID]; ok {
			reply(200, encode(protocol.MachineNames{Machines: old}))
			return
		}
		p := offering{r.MachineType, r.Zone, r.Spot}
		n := min(r.Count, c.capacity[p])
		if n == 0 {
			reply(503, []byte(`{"error":"no capacity"}`))
			return
		}
		c.capacity[p] -= n
		names := []string{}
		for i := 0; i < n; i++ {
			w := &simWorker{s: s, name: fmt.Sprintf("i-%06d", c.nextMachine), machineType: r.MachineType, zone: r.Zone, spot: r.Spot, rentedAt: s.now, tasks: map[string]*simTask{}}
			c.nextMachine++
			w.address = "w:" + w.name
			s.workers[w.address] = w
			c.machines[w.name] = w
			names = append(names, w.name)
			if s.faults.quickBoots {
				s.after(s.randomMillis(50, 2000), w.boot)
			} else if s.random.IntN(20) > 0 {
				s.after(seconds(c.machineTypes[r.MachineType].StartupS*(0.6+0.9*s.random.Float64())), w.boot)
			}
		}
		c.rentalsByRequest[r.RequestID] = names
		reply(200, encode(protocol.MachineNames{Machines: names}))
	}
}
