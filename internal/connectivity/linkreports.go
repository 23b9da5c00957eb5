package connectivity

import (
	"slices"
	"time"
)

// LinkReport is a controller's report on its own links. Ages are in milliseconds, as of the time
// of sending.
type LinkReport struct {
	Node             string       `json:"node"`
	AgeMS            int64        `json:"ageMs"`   // since the controller itself sent it, if another passes it on
	StateServiceMS   int64        `json:"stateMs"` // since the state service last answered it directly
	MirrorAgeMS      int64        `json:"freshMs"` // since its records were last proved complete, directly or by relay
	HearsNoWorkers   bool         `json:"deaf"`    // workers should be sending it heartbeats, and it hears none
	Throttled        bool         `json:"hungry"`  // its requests wait for its share of the state service's rates
	HearsPeers       []string     `json:"hears"`   // controllers whose own heartbeats reach it
	Zones            []ZoneReport `json:"zones"`
	CloudMS          int64        `json:"cloudMs"` // since the cloud last answered it; only the controller that rents calls it often
	CloudUnreachable bool         `json:"noCloud"` // it calls the cloud, and has had no answer for too long
}

// ZoneReport is a controller's report on a zone whose workers send it heartbeats.
type ZoneReport struct {
	Zone        string `json:"zone"`
	Workers     int    `json:"held"`    // how many of them
	LastHeardMS int64  `json:"heardMs"` // since it heard any of them
	Unreachable bool   `json:"lost"`    // it heard none for too long and not steadily enough since; stays set if others take them over
}

// peerState holds a peer's latest link report and its times, by our clock.
type peerState struct {
	report      LinkReport
	reportedAt  time.Duration // when the peer sent the report
	heartbeatAt time.Duration // when the last heartbeat from the peer itself arrived; 0: never
	relays      bool          // its heartbeats carry link reports, so its version can relay calls, too
}

// Bounds on the link reports that are accepted and passed on.
const (
	// maxReportAge is the greatest age at which a report is accepted or passed on.
	maxReportAge = time.Minute
	// maxReports is how many reports of a heartbeat are read at most.
	maxReports = 64
	// maxNames is how many zones and how many peer names of each report are read at most.
	maxNames = 64
)

// LinkReports returns the reports that a heartbeat to peers carries: first our own, then the latest
// ones of peers. mirrorAge is the time since our records were last proved complete.
func (t *Tracker) LinkReports(mirrorAge time.Duration, throttled bool) []LinkReport {
	reports := []LinkReport{t.ownReport(mirrorAge, throttled)}
	for _, p := range t.cfg.Peers {
		peer := t.peers[p.Node]
		if peer == nil {
			continue
		}
		if peer.heartbeatAt > 0 && t.silence(peer.heartbeatAt) < t.cfg.HeartbeatInterval {
			reports[0].HearsPeers = append(reports[0].HearsPeers, p.Node)
		}
		if age := t.now - peer.reportedAt; peer.relays && age < maxReportAge {
			report := peer.report
			report.AgeMS = age.Milliseconds()
			reports = append(reports, report)
		}
	}
	return reports
}

// ownReport returns our own link report without HearsPeers.
func (t *Tracker) ownReport(mirrorAge time.Duration, throttled bool) LinkReport {
	own := LinkReport{
		Node:             t.cfg.Self,
		StateServiceMS:   t.silence(t.state.answeredAt).Milliseconds(),
		MirrorAgeMS:      mirrorAge.Milliseconds(),
		HearsNoWorkers:   t.workers.lost,
		Throttled:        throttled,
		Zones:            t.zoneReports(),
		CloudMS:          t.silence(t.cloud.answeredAt).Milliseconds(),
		CloudUnreachable: t.CloudUnreachable(),
	}
	if t.StateServiceLost() {
		own.StateServiceMS = max(own.StateServiceMS, t.cfg.StaleAfter.Milliseconds()+1)
	}
	return own
}

// ReceiveHeartbeat handles a peer's heartbeat. A version without link reports sends no reports;
// for such a peer mirrorAge and throttled are used instead.
func (t *Tracker) ReceiveHeartbeat(from string, mirrorAge time.Duration, throttled bool, reports []LinkReport) {
	peer := t.peer(from)
	if peer == nil {
		return
	}
	peer.heartbeatAt = t.now
	if len(reports) == 0 {
		report := LinkReport{Node: from, StateServiceMS: mirrorAge.Milliseconds(), MirrorAgeMS: mirrorAge.Milliseconds(), Throttled: throttled}
		*peer = peerState{report: report, reportedAt: t.now, heartbeatAt: t.now}
		return
	}
	for i := range reports[:min(len(reports), maxReports)] {
		report := &reports[i]
		if i == 0 {
			report.Node, report.AgeMS = from, 0
		}
		t.mergeReport(report, i == 0)
	}
}

// peer returns the state of a peer, creating it if needed, or nil if no peer has that name.
func (t *Tracker) peer(name string) *peerState {
	peer := t.peers[name]
	if peer == nil && slices.ContainsFunc(t.cfg.Peers, func(c Controller) bool { return c.Node == name }) {
		peer = &peerState{}
		t.peers[name] = peer
	}
	return peer
}

// mergeReport stores a link report if it is valid and newer than the one we have of its controller. own
// means that the controller itself sent it, which needs no comparison.
func (t *Tracker) mergeReport(report *LinkReport, own bool) {
	peer := t.peer(report.Node)
	age := time.Duration(report.AgeMS) * time.Millisecond
	if peer == nil || report.AgeMS < 0 || age > maxReportAge || report.StateServiceMS < 0 || report.MirrorAgeMS < 0 {
		return
	}
	if at := t.now - age; own || at > peer.reportedAt {
		peer.report, peer.reportedAt, peer.relays = *report, at, true
		peer.report.Zones, peer.report.HearsPeers = clip(report.Zones), clip(report.HearsPeers)
	}
}

// clip returns a copy of the first maxNames elements of a list.
func clip[T any](all []T) []T { return slices.Clone(all[:min(len(all), maxNames)]) }
