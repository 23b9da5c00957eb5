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

// simCloud simulates the cloud: it rents machines, lists them with a lag and deletes them.
type simCloud struct {
	s                *sim
	machineTypes     map[string]protocol.MachineType
	capacity         map[offering]int // machines that can still be rented
	deletedMachineS  float64          // total time for which the deleted machines were rented, in seconds
	rentalsByRequest map[string][]string
	nextMachine      int                   // number of the next machine
	machines         map[string]*simWorker // by name
	listHistory      []listSnapshot
	pageSize         int // maximum number of machines on a page of the list
}

// listSnapshot is the list of machines at one point in time.
type listSnapshot struct {
	at       time.Duration
	machines []protocol.RentedMachine
}

// sortedMachines returns the currently rented machines in the order of their numbers.
func (c *simCloud) sortedMachines() []*simWorker {
	var out []*simWorker
	for i := 0; i < c.nextMachine; i++ {
		if w := c.machines[fmt.Sprintf("i-%06d", i)]; w != nil {
			out = append(out, w)
		}
	}
	return out
}

// snapshot records the list of machines every second, so that serveList can return an old list.
func (c *simCloud) snapshot() {
	var machines []protocol.RentedMachine
	for _, name := range sortedKeys(c.machines) {
		w := c.machines[name]
		status := protocol.StatusRunning
		if w.failed {
			status = protocol.StatusFailed
		} else if !w.up {
			status = protocol.StatusBooting
		}
		machines = append(machines, protocol.RentedMachine{Name: w.name, Address: w.address, MachineType: w.machineType, Zone: w.zone, Spot: w.spot,
			Status: status, AgeS: (c.s.now - w.rentedAt).Seconds()})
	}
	c.listHistory = append(c.listHistory, listSnapshot{c.s.now, machines})
	if len(c.listHistory) > 60 {
		c.listHistory = c.listHistory[20:]
	}
	c.s.after(time.Second, c.snapshot)
}

// serve executes a controller's call and replies to it.
func (c *simCloud) serve(call protocol.Call, reply func(int, []byte)) {
	switch {
	case call.Path == protocol.PathMachineTypes:
		var types protocol.MachineTypes
		for _, name := range sortedKeys(c.machineTypes) {
			types.MachineTypes = append(types.MachineTypes, c.machineTypes[name])
		}
		reply(200, encode(types))
	case call.Path == protocol.PathRentalsDelete:
		c.serveDeletion(call, reply)
	case strings.HasPrefix(call.Path, protocol.PathRentals+"?"):
		c.serveList(call.Path, reply)
	case call.Path == protocol.PathRentals:
		c.serveRental(call.Body, reply)
	}
}

// serveDeletion deletes machines. A deletion that a fault delays is executed later and gets no reply.
func (c *simCloud) serveDeletion(call protocol.Call, reply func(int, []byte)) {
	s := c.s
	var deletion protocol.MachineNames
	_ = json.Unmarshal(call.Body, &deletion)
	if delays := s.faults.delaysDeletion; delays != nil && delays(deletion.Machines) {
		s.after(s.randomMillis(10_000, 30_000), func() {
			s.faults.delaysDeletion = nil
			c.serve(call, func(int, []byte) {})
			s.faults.delaysDeletion = delays
		})
		return
	}
	for _, name := range deletion.Machines {
		w := c.machines[name]
		if w == nil {
			continue
		}
		s.countDeletionInUse(w)
		s.checkOutputOfDeleted(w)
		w.die()
		c.deletedMachineS += (s.now - w.rentedAt).Seconds()
		delete(c.machines, name)
		if !w.preempted {
			c.capacity[offering{w.machineType, w.zone, w.spot}]++
		}
	}
	reply(200, []byte("{}"))
}

// serveList returns a page of the machine list as it was one to two list lags ago.
func (c *simCloud) serveList(path string, reply func(int, []byte)) {
	lag := seconds(c.s.facts.Cloud.ListLag * (1 + c.s.random.Float64()))
	list := protocol.RentalList{Machines: []protocol.RentedMachine{}}
	u, _ := url.Parse(path)
	query := u.Query()
	size, err := strconv.Atoi(query.Get("page"))
	for _, m := range c.listed(c.s.now - lag) {
		if m.Name <= query.Get("from") {
			continue
		}
		if len(list.Machines) == c.pageSize || err == nil && len(list.Machines) == size {
			list.Truncated = true
			break
		}
		list.Machines = append(list.Machines, m)
	}
	reply(200, encode(list))
}

// listed returns the machines of the last snapshot taken at or before the given time.
func (c *simCloud) listed(by time.Duration) []protocol.RentedMachine {
	for i := len(c.listHistory) - 1; i >= 0; i-- {
		if c.listHistory[i].at <= by {
			return c.listHistory[i].machines
		}
	}
	return nil
}

// serveRental rents the requested machines, or as many as there is capacity for. A repeated request gets
// the reply of the first one.
func (c *simCloud) serveRental(body []byte, reply func(int, []byte)) {
	var request protocol.RentalRequest
	_ = json.Unmarshal(body, &request)
	if names, ok := c.rentalsByRequest[request.RequestID]; ok {
		reply(200, encode(protocol.MachineNames{Machines: names}))
		return
	}
	wanted := offering{request.MachineType, request.Zone, request.Spot}
	count := min(request.Count, c.capacity[wanted])
	if count == 0 {
		reply(503, []byte(`{"error":"no capacity"}`))
		return
	}
	c.capacity[wanted] -= count
	names := []string{}
	for range count {
		names = append(names, c.addMachine(wanted).name)
	}
	c.rentalsByRequest[request.RequestID] = names
	reply(200, encode(protocol.MachineNames{Machines: names}))
}

// addMachine rents a machine, which boots after a random time. Without quickBoots one in twenty never
// boots.
func (c *simCloud) addMachine(offer offering) *simWorker {
	s := c.s
	w := &simWorker{s: s, name: fmt.Sprintf("i-%06d", c.nextMachine), machineType: offer.machineType, zone: offer.zone, spot: offer.spot,
		rentedAt: s.now, tasks: map[string]*simTask{}}
	c.nextMachine++
	w.address = "w:" + w.name
	s.workers[w.address] = w
	c.machines[w.name] = w
	if s.faults.quickBoots {
		s.after(s.randomMillis(50, 2000), w.boot)
	} else if s.random.IntN(20) > 0 {
		s.after(seconds(c.machineTypes[offer.machineType].StartupS*(0.6+0.9*s.random.Float64())), w.boot)
	}
	return w
}
