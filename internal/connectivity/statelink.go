package connectivity

import (
	"net/http"
	"time"
)

const (
	// minUptime and maxUptime bound how long probes of the lost link to the state service must be
	// answered before the link is used again.
	minUptime     = time.Second
	maxUptime     = 16 * time.Second
	probeInterval = time.Second
)

// stateLink is our own link to the state service.
type stateLink struct {
	linkHysteresis
	answeredAt  time.Duration // time of the service's last own answer, see isServiceAnswer
	refusedAt   time.Duration // time of the last 503, which calls also get in an outage
	nextProbeAt time.Duration // earliest time of the next probe
	probing     bool          // a probe is in flight
}

// RecordStateReply records the status of a call that we made to the state service directly, 0 if there
// was no answer.
func (t *Tracker) RecordStateReply(status int) {
	link := &t.state
	if status == http.StatusServiceUnavailable {
		link.refusedAt = t.now
	}
	if !isServiceAnswer(status) {
		return
	}
	link.answeredAt = t.now
	if link.lost && t.relays.via == "" {
		link.lost, link.restoredAt = false, t.now // without a relay there is no better path than this link
	}
}

// StateServiceLost reports whether we can't reach the state service directly: it has not answered for
// longer than a watch and a slow answer take. While a peer relays our calls, the link is restored
// once probes have been answered for a second or more; otherwise the first answer restores it.
func (t *Tracker) StateServiceLost() bool {
	link := &t.state
	if !link.lost && t.silence(link.answeredAt) > t.cfg.StaleAfter && link.fail(t.now, minUptime, maxUptime) {
		t.Stats.LinkLosses++
	}
	return link.lost
}

// Isolated reports whether we are cut off from the state service and from every other controller. In
// an outage it is false, as the service refuses calls and the other controllers are heard.
func (t *Tracker) Isolated() bool {
	if len(t.cfg.Peers) == 0 || !t.StateServiceLost() || t.silence(t.state.refusedAt) <= t.cfg.StaleAfter {
		return false
	}
	for _, peer := range t.peers {
		if t.silence(peer.heartbeatAt) < t.cfg.HeartbeatInterval {
			return false
		}
	}
	return true
}

// StateServiceLink returns how we reach the state service: "direct", "relayed" by the peer via, or
// "lost", also in an outage that all controllers see.
func (t *Tracker) StateServiceLink() (how, via string) {
	switch {
	case !t.StateServiceLost():
		return "direct", ""
	case t.relays.via != "":
		return "relayed", t.relays.via
	}
	return "lost", ""
}

// LinkChange returns StateServiceLink and whether it has changed since the last call of LinkChange. At
// the first call a direct link is no change.
func (t *Tracker) LinkChange() (how, via string, changed bool) {
	how, via = t.StateServiceLink()
	link := how + " " + via
	changed = t.loggedLink != link && (t.loggedLink != "" || how != "direct")
	t.loggedLink = link
	return how, via, changed
}

// ShouldProbe reports whether to probe our own link to the state service now: while a peer relays our
// calls, nothing else shows that the link is back. The caller must call RecordProbeReply with the
// result.
func (t *Tracker) ShouldProbe() bool {
	link := &t.state
	if !link.lost || t.relays.via == "" || link.probing || t.now < link.nextProbeAt {
		return false
	}
	link.probing, link.nextProbeAt = true, t.now+probeInterval
	return true
}

// RecordProbeReply records the status with which a probe was answered, 0 if there was no answer.
func (t *Tracker) RecordProbeReply(status int) {
	link := &t.state
	link.probing = false
	if !isServiceAnswer(status) {
		link.upSince = 0
		return
	}
	link.answeredAt = t.now
	if link.observe(t.now) {
		t.relays.via = ""
	}
}
