package connectivity

import (
	"net/http"
	"time"
)

const (
	// minUptime and maxUptime bound how long the link to the state service must answer
	// probes before it is used again.
	minUptime     = time.Second
	maxUptime     = 16 * time.Second
	probeInterval = time.Second
)

// stateLink is our own link to the state service.
type stateLink struct {
	linkHysteresis
	answeredAt  time.Duration // the last real answer
	refusedAt   time.Duration // the last refusal, which an outage gives, too
	nextProbeAt time.Duration // the next probe is not before
	probing     bool
}

// StateAnswered takes the status of a call of the state service that we made ourselves, 0 if
// there was no answer.
func (t *Tracker) StateAnswered(status int) {
	link := &t.state
	if status == http.StatusServiceUnavailable {
		link.refusedAt = t.now
	}
	if !isServiceAnswer(status) {
		return
	}
	link.answeredAt = t.now
	if link.lost && t.relays.via == "" {
		link.lost, link.restoredAt = false, t.now // nobody relays for us: there is nothing better to keep to
	}
}

// StateServiceLost tells whether the state service is unreachable for us: it has not answered for
// longer than a watch and a slow answer take. It is back when probes were answered for a
// second or more.
func (t *Tracker) StateServiceLost() bool {
	link := &t.state
	if !link.lost && t.silence(link.answeredAt) > t.cfg.StaleAfter && link.fail(t.now, minUptime, maxUptime) {
		t.Stats.LinkLosses++
	}
	return link.lost
}

// Isolated tells whether we are cut off from the state service and from every other controller. It
// is not an outage, in which the service refuses, and the others are heard.
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

// StateServiceLink is how the state service is reached: "direct", "relayed" by the peer via, or
// "lost", which an outage that all see is, too.
func (t *Tracker) StateServiceLink() (how, via string) {
	switch {
	case !t.StateServiceLost():
		return "direct", ""
	case t.relays.via != "":
		return "relayed", t.relays.via
	}
	return "lost", ""
}

// LinkChange is StateServiceLink, and whether it has changed since the last call. A first link
// that is direct is no change.
func (t *Tracker) LinkChange() (how, via string, changed bool) {
	how, via = t.StateServiceLink()
	link := how + " " + via
	changed = t.loggedLink != link && (t.loggedLink != "" || how != "direct")
	t.loggedLink = link
	return how, via, changed
}

// ShouldProbe tells whether our own link to the state service is to be tried: while a peer
// relays our calls nothing else shows that it is back. Probed is to be called with what comes of it.
func (t *Tracker) ShouldProbe() bool {
	link := &t.state
	if !link.lost || t.relays.via == "" || link.probing || t.now < link.nextProbeAt {
		return false
	}
	link.probing, link.nextProbeAt = true, t.now+probeInterval
	return true
}

// Probed takes the status that a probe was answered with, 0 if it was not.
func (t *Tracker) Probed(status int) {
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
