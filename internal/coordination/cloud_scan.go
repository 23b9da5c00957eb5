package coordination

import (
	"net/http"
	"net/url"
	"time"

	"silvergate/internal/protocol"
)

type bucket struct{ rate, level float64 }

func (c *Core) callCloud(method, path string, body any, done func(protocol.Reply)) {
	c.scaler.cloudCalls.level--
	var raw []byte
	if body != nil {
		raw = encode(body)
	}
	c.call(protocol.Call{Target: protocol.ToCloud, Method: method, Path: path, Body: raw, Timeout: 5 * time.Second}, func(r protocol.Reply) {
		c.links.CloudAnswered(r.Status)
		done(r)
	})
}

// scanCloud reads the cloud's list, page by page.
func (c *Core) scanCloud() {
	f := &c.scaler
	if f.cloudScanInFlight || f.cloudCalls.level < 1 || (f.cloudScanFrom == "" && c.now < f.nextCloudScanAt) {
		return
	}
	f.cloudScanInFlight = true
	if f.cloudScanFrom == "" {
		f.cloudScan = map[string]protocol.RentedMachine{}
		f.nextCloudScanAt = c.now + seconds(c.cfg.Facts.Cloud.ListLag/3)
	}
	c.callCloud(http.MethodGet, protocol.PathRentals+"?from="+url.QueryEscape(f.cloudScanFrom)+"&page=500", nil, func(r protocol.Reply) {
		f.cloudScanInFlight = false
		var l protocol.RentalList
		if r.Status != http.StatusOK || protocol.Decode(r.Body, &l) != nil {
			f.cloudScanFrom = ""
			return
		}
		for _, m := range l.Machines {
			f.cloudScan[m.Name] = m
			f.cloudScanFrom = m.Name
		}
		if !l.Truncated || len(l.Machines) == 0 {
			f.cloudMachines, f.cloudScanFrom = f.cloudScan, ""
			c.reconcileCloudList()
		}
	})
}

// reconcileCloudList looks at a whole list: failed machines are evidence, others that
// nobody uses are strays.
func (c *Core) reconcileCloudList() {
	f := &c.scaler
	for _, id := range sortedKeys(f.cloudMachines) {
		l := f.cloudMachines[id]
		if t, ok := f.deletedAt[id]; ok && c.now-t < seconds(4*c.cfg.Facts.Cloud.ListLag) {
			continue
		}
		t, known := c.catalogue.types[l.MachineType]
		m := c.machines.byID[id]
		switch {
		case l.Status == protocol.StatusFailed:
			c.releaseMachineTasks(id)
			f.toDelete[id] = true
		case m != nil && m.token != 0:
		case known && c.mirrorFresh() && l.AgeS > 4*t.StartupS+c.cfg.Facts.Workers.Lease:
			// Never came up, or came up and nobody hears it.
			f.toDrain[id] = drainStray
		}
	}
}

// mirrorFresh tells whether the records that we have can be judged by: they are whole, and new. A machine that nobody seems to hold may have
// been claimed since, and one whose claim has not been read may be anybody's.
func (c *Core) mirrorFresh() bool {
	return c.state.Consistent() && c.now-c.state.FreshAt() < seconds(c.cfg.Facts.Workers.Report)
}
