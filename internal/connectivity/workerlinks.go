package connectivity

import (
	"maps"
	"slices"
	"time"
)

// workerLinks tracks whether workers are heard, by zone and overall.
type workerLinks struct {
	zones map[string]*workerLink
	all   workerLink
	lost  bool // we hear no worker, and should hear some
}

// workerLink tracks whether the workers of a zone, or all workers, are heard.
type workerLink struct {
	heardAt       time.Duration // time of the last heartbeat or answer of any worker
	expectedSince time.Duration // since when there have been workers to hear
	workers       int           // how many send us heartbeats
	// awaited is how many workers of an earlier incarnation of ours have not come back yet.
	awaited int
	linkHysteresis
}

func (l *workerLink) setWorkers(workers, awaited int, now time.Duration) {
	if l.workers+l.awaited == 0 && workers+awaited > 0 {
		l.expectedSince = now
	}
	l.workers, l.awaited = workers, awaited
}

// workerSilence returns how long no worker of a link has been heard while there were workers to hear.
func (t *Tracker) workerSilence(l *workerLink) time.Duration {
	return t.silence(max(l.heardAt, l.expectedSince))
}

// SetWorkers sets, by zone, how many workers send us heartbeats according to the records (held), and
// how many sent them to an earlier incarnation of ours and have not come back yet (awaited).
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
		// The check precedes the new counts: if another controller has just claimed our last
		// worker of a zone, the reason may be that we don't hear the zone.
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

// minMissedHeartbeats is how many heartbeats of all workers together a controller must have missed
// before it concludes that it hears no workers.
const minMissedHeartbeats = 8

// zoneSilent reports whether a zone has been silent for too long. awaited is the new count of workers
// of an earlier incarnation that have not come back yet.
func (t *Tracker) zoneSilent(link *workerLink, awaited int) bool {
	quiet, interval := t.workerSilence(link), t.cfg.HeartbeatInterval
	if link.workers > 0 {
		return quiet > silenceLimit(interval, link.workers)
	}
	return link.lost && quiet > interval/2 || awaited > 0 && quiet > 2*interval
}

// RecordWorkerContact records a heartbeat or answer of a worker in the zone. A single one clears
// HearsNoWorkers.
func (t *Tracker) RecordWorkerContact(zone string) {
	t.workers.all.heardAt, t.workers.lost = t.now, false
	if link := t.workers.zones[zone]; link != nil {
		link.heardAt = t.now
		link.observe(t.now)
	}
}

// silenceLimit returns how long a controller may hear none of its workers of a zone before it counts as
// not hearing the zone: the time in which two of them should have sent a heartbeat, and at least
// a quarter of a heartbeat interval.
func silenceLimit(interval time.Duration, workers int) time.Duration {
	return max(interval/4, 2*interval/time.Duration(workers))
}

// SilentZones returns, sorted, the lost zones in which no worker sends us heartbeats any more. Only a
// query to a worker there can show that we hear such a zone again.
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

// HearsNoWorkers reports whether we hear no worker although we should: at least eight heartbeats are
// missing. If other controllers have taken over all our workers, it stays true until we hear a worker.
func (t *Tracker) HearsNoWorkers() bool { return t.workers.lost }

// LostZone reports whether we have lost a zone's workers, or all workers, as our link report tells
// peers.
func (t *Tracker) LostZone(zone string) bool {
	link := t.workers.zones[zone]
	return t.workers.lost || link != nil && link.lost
}

// zoneReports returns the zones of our link report, sorted by name.
func (t *Tracker) zoneReports() []ZoneReport {
	var reports []ZoneReport
	for _, zone := range slices.Sorted(maps.Keys(t.workers.zones)) {
		if link := t.workers.zones[zone]; link.workers > 0 || link.lost {
			reports = append(reports, ZoneReport{Zone: zone, Workers: link.workers, LastHeardMS: t.workerSilence(link).Milliseconds(), Unreachable: link.lost})
		}
	}
	return reports
}
