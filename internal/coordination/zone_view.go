package coordination

import (
	"slices"
	"time"
)

// zoneView is in which zones a controller hears machines of its own, and in which
// none of them any more; and which of its machines do not hear it.
type zoneView struct {
	at                     time.Duration
	reachable, unreachable []string
	unresponsive           []string
}

// updateZoneView takes what this controller hears. A zone is dark when nothing of it was
// heard for a while.
func (f *fleetScaler) updateZoneView(node string, now time.Duration, zones map[string]*zoneHeartbeats, unresponsive []string, while time.Duration) {
	v := zoneView{at: now, unresponsive: unresponsive}
	for _, z := range sortedKeys(zones) {
		switch h := zones[z]; {
		case now-h.lastHeartbeat <= while:
			v.reachable = append(v.reachable, z)
		case h.machines >= 4:
			v.unreachable = append(v.unreachable, z)
		}
	}
	f.zoneViews[node] = v
}

// zoneUnreachable tells whether a zone seems to be cut off: no controller that can be
// heard hears a machine there, and one has lost all it held there, or the zone's
// own controllers are gone. What is rented or counted on there is of no use until
// it is back. It is a guess that costs money or time and never a rule.
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
	inZone, down := 0, 0
	for _, p := range c.cfg.Peers {
		if p.Zone == zone {
			inZone++
			if !c.alive(p.Node) && c.machines.ownership.machinesByOwner[p.Node] > 0 {
				down++
			}
		}
	}
	return lost || inZone > 0 && down == inZone && c.cfg.Zone != zone
}
