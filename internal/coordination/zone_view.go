package coordination

import (
	"slices"
	"time"
)

// zoneView is what a controller says of the zones: in which it hears machines of its own and
// in which none of them any more; and which of its machines are unresponsive: their
// heartbeats arrive, and they do not hear its answers.
type zoneView struct {
	at                     time.Duration
	reachable, unreachable []string
	unresponsive           []string
}

// minMachinesInLostZone is how many machines a controller must hold in a zone for their
// silence to say something of the zone.
const minMachinesInLostZone = 4

// updateZoneView takes what this controller hears. A zone is unreachable when no heartbeat
// came from it within the timeout.
func (f *fleetScaler) updateZoneView(node string, now time.Duration, zones map[string]*zoneHeartbeats,
	unresponsive []string, timeout time.Duration) {
	v := zoneView{at: now, unresponsive: unresponsive}
	for _, z := range sortedKeys(zones) {
		switch h := zones[z]; {
		case now-h.lastHeartbeat <= timeout:
			v.reachable = append(v.reachable, z)
		case h.machines >= minMachinesInLostZone:
			v.unreachable = append(v.unreachable, z)
		}
	}
	f.zoneViews[node] = v
}

// zoneUnreachable tells whether a zone seems to be cut off: no controller that we
// hear from hears a machine there, and one has lost all it held there, or the zone's
// own controllers are down. What is provisioned or counted on there is of no use until
// it is back. A wrong guess costs money or time and never breaks a rule.
func (c *Core) zoneUnreachable(zone string) bool {
	lost := false
	for _, v := range c.scaler.zoneViews {
		if c.now-v.at > seconds(c.cfg.Facts.Workers.Report) {
			continue
		}
		if slices.Contains(v.reachable, zone) {
			return false
		}
		lost = lost || slices.Contains(v.unreachable, zone)
	}
	return lost || c.zoneControllersDown(zone) && c.cfg.Zone != zone
}

// zoneControllersDown tells whether there are other controllers in a zone and all of them
// are down with machines still in their name.
func (c *Core) zoneControllersDown(zone string) bool {
	inZone, down := 0, 0
	for _, p := range c.cfg.Peers {
		if p.Zone != zone {
			continue
		}
		inZone++
		if !c.alive(p.Node) && c.machines.ownership.machinesByOwner[p.Node] > 0 {
			down++
		}
	}
	return inZone > 0 && down == inZone
}
