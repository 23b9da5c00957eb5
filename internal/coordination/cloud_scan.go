package coordination

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"silvergate/internal/protocol"
)

// cloudScanner reads the cloud's list of machines and paces all calls of the cloud.
type cloudScanner struct {
	cloudCalls        tokenBucket
	cloudMachines     map[string]protocol.RentedMachine // by the last whole list
	cloudScan         map[string]protocol.RentedMachine // the list that is being read
	cloudScanFrom     string                            // the last machine read of it
	cloudScanInFlight bool
	nextCloudScanAt   time.Duration // when the next whole list is due
}

func newCloudScanner() cloudScanner {
	return cloudScanner{
		cloudMachines: map[string]protocol.RentedMachine{},
		cloudScan:     map[string]protocol.RentedMachine{},
	}
}

// tokenBucket limits a rate of calls: each takes one of the tokens that level counts.
type tokenBucket struct {
	rate     float64 // tokens a second of a controller that does not lead; 0: not set yet
	tokens   float64
	filledAt time.Duration
}

// refill adds the tokens of the time since the last refill, at a rate a second. The bucket
// holds a second's worth, and one at least.
func (b *tokenBucket) refill(now time.Duration, rate float64) {
	b.tokens = min(max(1, rate), b.tokens+rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// A controller uses a tenth of the cloud's rate, and the fleet's leader seven tenths.
const (
	cloudRateDivisor  = 10
	leaderRateFactor  = 7
	cloudCallTimeout  = 5 * time.Second
	cloudListPageSize = 500
)

// refillCloudCalls adds the tokens of the time that has passed.
func (c *Core) refillCloudCalls() {
	calls := &c.scaler.cloudCalls
	if calls.rate == 0 {
		calls.rate = c.cfg.Facts.Cloud.RPS / cloudRateDivisor
		calls.tokens = 1
	}
	rate := calls.rate
	if c.isLeader() {
		rate *= leaderRateFactor // the others call only until they know the machine types
	}
	calls.refill(c.now, rate)
}

// callCloud sends a call to the cloud and takes a token for it. Callers see that there is one.
func (c *Core) callCloud(method, path string, body any, done func(protocol.Reply)) {
	c.scaler.cloudCalls.tokens--
	var raw []byte
	if body != nil {
		raw = encode(body)
	}
	c.call(protocol.Call{Target: protocol.ToCloud, Method: method, Path: path, Body: raw, Timeout: cloudCallTimeout}, func(r protocol.Reply) {
		c.links.CloudAnswered(r.Status)
		done(r)
	})
}

// scanCloud reads the cloud's list, page by page.
func (c *Core) scanCloud() {
	f := &c.scaler
	if f.cloudScanInFlight || f.cloudCalls.tokens < 1 || (f.cloudScanFrom == "" && c.now < f.nextCloudScanAt) {
		return
	}
	f.cloudScanInFlight = true
	if f.cloudScanFrom == "" {
		f.cloudScan = map[string]protocol.RentedMachine{}
		f.nextCloudScanAt = c.now + seconds(c.cfg.Facts.Cloud.ListLag/3)
	}
	path := protocol.PathRentals + "?from=" + url.QueryEscape(f.cloudScanFrom) + "&page=" + strconv.Itoa(cloudListPageSize)
	c.callCloud(http.MethodGet, path, nil, func(r protocol.Reply) {
		f.cloudScanInFlight = false
		var list protocol.RentalList
		if r.Status != http.StatusOK || protocol.Decode(r.Body, &list) != nil {
			f.cloudScanFrom = ""
			return
		}
		for _, m := range list.Machines {
			f.cloudScan[m.Name] = m
			f.cloudScanFrom = m.Name
		}
		if !list.Truncated || len(list.Machines) == 0 {
			f.cloudMachines, f.cloudScanFrom = f.cloudScan, ""
			c.reconcileCloudList()
		}
	})
}

// reconcileCloudList compares a whole list with the records: a failed machine is evidence
// that its tasks are over, and a machine that nobody uses is a stray.
func (c *Core) reconcileCloudList() {
	f := &c.scaler
	for _, id := range sortedKeys(f.cloudMachines) {
		listed := f.cloudMachines[id]
		if at, ok := f.deletedAt[id]; ok && c.now-at < seconds(4*c.cfg.Facts.Cloud.ListLag) {
			continue
		}
		machineType, known := c.catalogue.types[listed.MachineType]
		m := c.machines.byID[id]
		switch {
		case listed.Status == protocol.StatusFailed:
			c.releaseMachineTasks(id)
			f.toDelete[id] = true
		case m != nil && m.token != 0:
		case known && c.mirrorFresh() && listed.AgeS > c.startupDeadlineS(machineType):
			// It never started, or no controller receives its heartbeats.
			f.toDrain[id] = drainStray
		}
	}
}

// startupDeadlineS is how many seconds after it was provisioned a machine must have sent a
// heartbeat.
func (c *Core) startupDeadlineS(machineType *protocol.MachineType) float64 {
	return 4*machineType.StartupS + c.cfg.Facts.Workers.Lease
}

// mirrorFresh tells whether the mirror can be judged by: it is complete and recent. A machine
// that nobody seems to hold may have been claimed since, and one whose claim has not been
// read may be anybody's.
func (c *Core) mirrorFresh() bool {
	return c.state.Consistent() && c.now-c.state.FreshAt() < seconds(c.cfg.Facts.Workers.Report)
}
