package coordination

import (
	"slices"
	"time"
)

// zoneView is a controller's view of the zones: from which zones it still receives heartbeats of
// its machines, from which it receives none any more, and which of its machines are unresponsive:
// their heartbeats arrive, but its answers do not reach them.
type zoneView struct {
	at                     time.Duration
	reachable, unreachable []string
	unresponsive           []string
}

// minMachinesInLostZone is how many machines a controller must own in a zone to conclude from
// their silence that the zone is unreachable.
const minMachinesInLostZone = 4

// updateZoneView sets the zone view of a controller, node. A zone is unreachable if the controller
// owns at least minMachinesInLostZone machines there and none of them has sent a heartbeat within
// the timeout.
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

// zoneUnreachable reports whether a zone seems to be cut off: no controller with a recent view
// hears a machine there, and either a controller has lost all its machines there, or the zone's
// own controllers are down. Machines there, rented or still to be rented, are of no use until the
// zone is back. A wrong guess costs money or time but never breaks an invariant.
func (c *Core) zoneUnreachable(zone string) bool {
	lost := false
	for _, v := range c.scaler.zoneViews {
		if c.now-v.at > seconds(c.cfg.Facts.Workers.Heartbeat) {
			continue
		}
		if slices.Contains(v.reachable, zone) {
			return false
		}
		lost = lost || slices.Contains(v.unreachable, zone)
	}
	return lost || c.zoneControllersDown(zone) && c.cfg.Zone != zone
}

// zoneControllersDown reports whether there are other controllers in a zone and all of them
// are down while they still own machines.
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
