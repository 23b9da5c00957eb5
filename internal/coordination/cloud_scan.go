package coordination

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"silvergate/internal/protocol"
)

// cloudScanner reads the cloud's list of machines and limits the rate of all calls to the cloud.
type cloudScanner struct {
	cloudCalls        tokenBucket
	cloudMachines     map[string]protocol.RentedMachine // the last complete list, by name
	cloudScan         map[string]protocol.RentedMachine // the list being read, by name
	cloudScanFrom     string                            // the last machine read of that list; "" at its start
	cloudScanInFlight bool
	nextCloudScanAt   time.Duration // when to start reading the next list
}

func newCloudScanner() cloudScanner {
	return cloudScanner{
		cloudMachines: map[string]protocol.RentedMachine{},
		cloudScan:     map[string]protocol.RentedMachine{},
	}
}

// tokenBucket limits a rate of calls: each call takes one token.
type tokenBucket struct {
	rate     float64 // tokens per second while not the leader; 0 if not set yet
	tokens   float64
	filledAt time.Duration
}

// refill adds the tokens for the time since the last refill, at rate tokens per second. The bucket
// holds the tokens of one second, and at least one.
func (b *tokenBucket) refill(now time.Duration, rate float64) {
	b.tokens = min(max(1, rate), b.tokens+rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// A controller uses a tenth of the cloud's request rate, and the fleet leader seven tenths.
const (
	cloudRateDivisor  = 10
	leaderRateFactor  = 7
	cloudCallTimeout  = 5 * time.Second
	cloudListPageSize = 500
)

// refillCloudCalls refills the token bucket for cloud calls at this controller's share of the rate.
func (c *Core) refillCloudCalls() {
	calls := &c.scaler.cloudCalls
	if calls.rate == 0 {
		calls.rate = c.cfg.Facts.Cloud.RPS / cloudRateDivisor
		calls.tokens = 1
	}
	rate := calls.rate
	if c.isLeader() {
		rate *= leaderRateFactor // other controllers call only for the machine types, or to probe the cloud
	}
	calls.refill(c.now, rate)
}

// callCloud calls the cloud and takes a token for the call. The caller checks that one is available.
func (c *Core) callCloud(method, path string, body any, done func(protocol.Reply)) {
	c.scaler.cloudCalls.tokens--
	var raw []byte
	if body != nil {
		raw = encode(body)
	}
	c.call(protocol.Call{Target: protocol.ToCloud, Method: method, Path: path, Body: raw, Timeout: cloudCallTimeout}, func(r protocol.Reply) {
		c.links.RecordCloudReply(r.Status)
		done(r)
	})
}

// scanCloud requests the next page of the cloud's list of machines, or starts a new list when one is
// due. A failed request abandons the list.
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

// reconcileCloudList compares a complete list with the records. A machine listed as failed is
// evidence that its tasks have ended; a machine that no controller has claimed by its startup
// deadline is a stray.
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
			// The machine never started, or no controller receives its heartbeats.
			f.toDrain[id] = drainStray
		}
	}
}

// startupDeadlineS returns the time within which a provisioned machine must send its first
// heartbeat, in seconds.
func (c *Core) startupDeadlineS(machineType *protocol.MachineType) float64 {
	return 4*machineType.StartupS + c.cfg.Facts.Workers.Lease
}

// mirrorFresh reports whether the mirror is complete and recent enough to base decisions on. In an
// old mirror a machine that seems unclaimed may have been claimed since, and in an incomplete one
// its claim may not have been read yet.
func (c *Core) mirrorFresh() bool {
	return c.state.Consistent() && c.now-c.state.FreshAt() < seconds(c.cfg.Facts.Workers.Heartbeat)
}
