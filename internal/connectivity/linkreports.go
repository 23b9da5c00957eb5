package connectivity

import (
	"slices"
	"time"
)

// LinkReport is what a controller says of its own links. Ages are in milliseconds, as of
// the sending.
type LinkReport struct {
	Node             string       `json:"node"`
	AgeMS            int64        `json:"ageMs"`   // since the controller's own sending, where another passes it on
	StateServiceMS   int64        `json:"stateMs"` // since the state service last answered it without anybody's help
	MirrorAgeMS      int64        `json:"freshMs"` // since its records were last proved complete, by whatever way
	HearsNoWorkers   bool         `json:"deaf"`    // it should hear workers, and hears none
	Throttled        bool         `json:"hungry"`  // its work waits for the state service's rates
	HearsPeers       []string     `json:"hears"`   // controllers whose own heartbeats reach it
	Zones            []ZoneReport `json:"zones"`
	CloudMS          int64        `json:"cloudMs"` // since the cloud last answered it; only who rents asks often
	CloudUnreachable bool         `json:"noCloud"` // it asks, and has got no answer for too long
}

// ZoneReport is what a controller says of a zone whose workers report to it.
type ZoneReport struct {
	Zone        string `json:"zone"`
	Workers     int    `json:"held"`    // how many
	LastHeardMS int64  `json:"heardMs"` // since it heard any of them
	Unreachable bool   `json:"lost"`    // it heard none for too long, and none since for long enough, even if none reports to it any more
}

// peerState is a link report and when it was true, by our clock.
type peerState struct {
	report      LinkReport
	reportedAt  time.Duration
	heartbeatAt time.Duration // when the controller's own heartbeat came last; 0: never
	relays      bool          // its heartbeats carry link reports, so that it relays calls, too
}

// maxReportAge is how old a link report may be to be passed on, and maxReports and maxNames how
// many reports and how many names in each are read of a message, whatever it says.
const (
	maxReportAge = time.Minute
	maxReports   = 64
	maxNames     = 64
)

// LinkReports is what a heartbeat to peers carries: our own report, then the others' as we have
// them. mirrorAge is since our records were last proved complete.
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

// ownReport is our link report but for the peers that we hear.
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

// ReceiveHeartbeat takes a peer's heartbeat. reports is empty from a version that knows of none;
// mirrorAge and throttled are what such a version says.
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

// peer is what is known of a peer, nil for a name that is none.
func (t *Tracker) peer(name string) *peerState {
	peer := t.peers[name]
	if peer == nil && slices.ContainsFunc(t.cfg.Peers, func(c Controller) bool { return c.Node == name }) {
		peer = &peerState{}
		t.peers[name] = peer
	}
	return peer
}

// mergeReport takes a link report if it is newer than what we have of its controller; own is
// whether it came from that controller itself.
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

// clip copies the first maxNames of a list.
func clip[T any](all []T) []T { return slices.Clone(all[:min(len(all), maxNames)]) }
