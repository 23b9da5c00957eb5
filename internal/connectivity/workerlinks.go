package connectivity

import (
	"maps"
	"slices"
	"time"
)

// workerLinks is whether workers are heard, by zone and of all.
type workerLinks struct {
	zones map[string]*workerLink
	all   workerLink
	lost  bool // no worker is heard, and some should be
}

// workerLink is whether a zone's workers are heard, or all.
type workerLink struct {
	heardAt       time.Duration // the last heartbeat or answer of any worker
	expectedSince time.Duration // since when any is to be heard
	workers       int
	// awaited are those of an earlier incarnation of ours that have not come back yet.
	awaited int
	linkHysteresis
}

func (l *workerLink) setWorkers(workers, awaited int, now time.Duration) {
	if l.workers+l.awaited == 0 && workers+awaited > 0 {
		l.expectedSince = now
	}
	l.workers, l.awaited = workers, awaited
}

// workerSilence is how long no worker of a link was heard that should have been.
func (t *Tracker) workerSilence(l *workerLink) time.Duration {
	return t.silence(max(l.heardAt, l.expectedSince))
}

// SetWorkers takes how many workers of each zone report to us, by the records, and how many
// did so to an earlier incarnation of ours and are still to come back.
func (t *Tracker) SetWorkers(held, awaited map[string]int) {
	links := &t.workers
	for _, zones := range []map[string]int{held, awaited} {
		for zone := range zones {
			if links.zones[zone] == nil {
				links.zones[zone] = &workerLink{}
			}
		}
	}
	for zone, link := range links.zones {
		// Before the new count: whose last worker was just claimed by another controller
		// may have lost it because it can't be reached.
		if t.zoneSilent(link, awaited[zone]) {
			link.fail(t.now, 2*t.cfg.HeartbeatInterval, 8*t.cfg.HeartbeatInterval)
		}
		link.setWorkers(held[zone], awaited[zone], t.now)
	}
	all := 0
	for _, n := range held {
		all += n
	}
	links.all.setWorkers(all, 0, t.now)
	quiet := t.workerSilence(&links.all)
	if all > 0 && quiet > t.cfg.HeartbeatInterval/4 && quiet*time.Duration(all) > minMissedHeartbeats*t.cfg.HeartbeatInterval {
		links.lost = true
	}
}

// minMissedHeartbeats is how many heartbeats must be missing, of all workers together, before a
// controller takes itself for one that hears none.
const minMissedHeartbeats = 8

// zoneSilent tells whether a zone has been silent for too long. awaited is the new count of those of
// an earlier incarnation that are still to come back.
func (t *Tracker) zoneSilent(link *workerLink, awaited int) bool {
	quiet, interval := t.workerSilence(link), t.cfg.HeartbeatInterval
	if link.workers > 0 {
		return quiet > silenceLimit(interval, link.workers)
	}
	return link.lost && quiet > interval/2 || awaited > 0 && quiet > 2*interval
}

// WorkerHeard takes that a worker of a zone was heard. One is enough to show that we hear workers.
func (t *Tracker) WorkerHeard(zone string) {
	t.workers.all.heardAt, t.workers.lost = t.now, false
	if link := t.workers.zones[zone]; link != nil {
		link.heardAt = t.now
		link.observe(t.now)
	}
}

// silenceLimit is how long a controller with so many workers waits to hear any of them: a time in
// which two should have sent a heartbeat, and a quarter of a heartbeat interval at least.
func silenceLimit(interval time.Duration, workers int) time.Duration {
	return max(interval/4, 2*interval/time.Duration(workers))
}

// SilentZones names the zones that we don't hear and where nobody reports to us any more, in
// order: only a query can show that we hear them again.
func (t *Tracker) SilentZones() []string {
	var zones []string
	for zone, link := range t.workers.zones {
		if link.lost && link.workers == 0 {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// HearsNoWorkers tells whether we hear no worker and should: eight heartbeats at least are missing. A
// controller that has lost all its workers to others stays so until it hears one.
func (t *Tracker) HearsNoWorkers() bool { return t.workers.lost }

// LostZone tells whether we have lost a zone's workers, or all, as our link report says to others.
func (t *Tracker) LostZone(zone string) bool {
	link := t.workers.zones[zone]
	return t.workers.lost || link != nil && link.lost
}

// zoneReports is what our link report says of zones, in their order.
func (t *Tracker) zoneReports() []ZoneReport {
	var reports []ZoneReport
	for _, zone := range slices.Sorted(maps.Keys(t.workers.zones)) {
		if link := t.workers.zones[zone]; link.workers > 0 || link.lost {
			reports = append(reports, ZoneReport{Zone: zone, Workers: link.workers, LastHeardMS: t.workerSilence(link).Milliseconds(), Unreachable: link.lost})
		}
	}
	return reports
}
