// Package connectivity keeps which controller reaches what, and decides on it: through
// whom the state service is asked when our own link to it is down, where workers
// are best sent, whose word on cancellations is asked by way of a third.
//
// What it knows comes from calls that are made anyway and from rows that
// controllers add to their beats. It is advice: a row that is late, lost or untrue
// costs time and breaks no rule, since every way ends at a condition that the
// state service checks, at a worker's token, or at the cancel horizon.
//
// There is no I/O or clock in it. A Reach has one owner, the core; what it decides
// are functions of a Picture, in decide.go.
package connectivity

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// Config is what a Reach is made for.
type Config struct {
	Self              string
	Incarnation       int64 // tells this life of the process from others
	Peers             []Controller
	HeartbeatInterval time.Duration // between two reports of a worker; beats come three times as often
	StaleAfter        time.Duration // the age from which a mirror that is watched has missed an answer
}

// Controller is a controller and its zone.
type Controller struct{ Node, Zone string }

// LinkReport is what a controller says of its own links. Ages are in milliseconds, as of
// the telling.
type LinkReport struct {
	Node             string       `json:"node"`
	AgeMS            int64        `json:"ageMs"`   // since its own telling, where another passes it on
	StateServiceMS   int64        `json:"stateMs"` // since the state service last answered it without anybody's help
	MirrorAgeMS      int64        `json:"freshMs"` // since its records were last proved complete, by whatever way
	HearsNoWorkers   bool         `json:"deaf"`    // it should hear workers, and hears none
	Throttled        bool         `json:"hungry"`  // its work waits for the state service's rates
	HearsPeers       []string     `json:"hears"`   // controllers whose own beats reach it
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

// peerState is a row and when it was true, by our clock.
type peerState struct {
	report      LinkReport
	reportedAt  time.Duration
	heartbeatAt time.Duration // when the controller's own beat came last; 0: never
	relays      bool          // its beats carry rows, so that it carries calls, too
}

// Tracker is one controller's view of all links.
type Tracker struct {
	cfg             Config
	now             time.Duration
	resumedAt       time.Duration // when we last went on after standing still
	nextHeartbeatAt time.Duration
	nextRebalanceAt time.Duration
	state           stateLink
	cloud           cloudLink
	workers         workerLinks
	peers           map[string]*peerState
	relayBackoff    map[string]time.Duration // carriers that failed: not before
	confirmedAt     map[string]time.Duration // as of when a peer has named all cancellations
	cancelled       map[string]bool          // cancelled jobs that peers named and no record shows yet
	relays          relayTable
	loggedLink      string // the last that operators were told
	Stats           Stats
}

// Stats counts what an operator wants to know.
type Stats struct {
	RelaysServed      uint64 `json:"carried"`    // calls of peers that were carried out here
	RelaysDeclined    uint64 `json:"declined"`   // those that were not
	RelaysSent        uint64 `json:"relayed"`    // own calls that went through a peer
	RelaysLost        uint64 `json:"lost"`       // those without an answer
	LinkLosses        uint64 `json:"downs"`      // how often the state service was taken for out of reach
	WorkersRedirected uint64 `json:"handedOn"`   // workers sent to a controller that can serve them
	MessagesForwarded uint64 `json:"sideways"`   // questions and words passed on for others
	Stalls            uint64 `json:"stoodStill"` // how often this process stood still
}

// New makes a Reach that knows nothing yet.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, peers: map[string]*peerState{}, relayBackoff: map[string]time.Duration{}, confirmedAt: map[string]time.Duration{},
		cancelled: map[string]bool{}, workers: workerLinks{zones: map[string]*workerLink{}}, relays: relayTable{pending: map[uint64]*pendingRelay{}}}
}

// stallThreshold is the least gap between two steps that counts as having stood still: a
// tick comes at least every report_s/12.
func (r *Tracker) stallThreshold() time.Duration { return max(time.Second, r.cfg.HeartbeatInterval/4) }

// Advance lets time pass. It comes with every step. A gap shows that it was us who
// stood still, so that nobody's silence counts from before it.
func (r *Tracker) Advance(now time.Duration) {
	if now-r.now > r.stallThreshold() && r.now > 0 {
		r.resumedAt = now
		r.Stats.Stalls++
	}
	r.now = now
}

// silence is how long nothing was heard since a moment, times in which we stood
// still and did not listen left out.
func (r *Tracker) silence(since time.Duration) time.Duration { return r.now - max(since, r.resumedAt) }

// stateLink is our own link to the state service.
type stateLink struct {
	linkHysteresis
	answered time.Duration // the last real answer
	refused  time.Duration // the last refusal, which an outage gives, too
	probeAt  time.Duration
	probing  bool
}

// linkHysteresis is the hysteresis of a link: one that was lost is back when it was heard for a time
// without a gap, and for twice as long each time when it is lost again within half a minute.
type linkHysteresis struct {
	lost           bool
	upSince        time.Duration // since when it is heard again; 0: not
	requiredUptime time.Duration // for how long it must be
	restoredAt     time.Duration // when it last was
}

// fail takes a gap; first and most bound how long the link must be heard after it. It tells
// whether the link is lost by it.
func (t *linkHysteresis) fail(now, first, most time.Duration) bool {
	t.upSince = 0
	if t.lost {
		return false
	}
	t.lost = true
	if t.requiredUptime = min(2*t.requiredUptime, most); t.requiredUptime < first || now-t.restoredAt > flapping {
		t.requiredUptime = first
	}
	return true
}

// observe takes a word over the link, and tells whether it is back with it.
func (t *linkHysteresis) observe(now time.Duration) bool {
	if !t.lost {
		return false
	}
	if t.upSince == 0 {
		t.upSince = now
	}
	if now-t.upSince < t.requiredUptime {
		return false
	}
	t.lost, t.restoredAt = false, now
	return true
}

// isServiceAnswer tells whether a status is a service's own word: 503 is what a controller gets that
// is refused, and in an outage.
func isServiceAnswer(status int) bool { return status != 0 && status != http.StatusServiceUnavailable }

const (
	// A link that fails again soon after it came back has to hold longer each time.
	minUptime     = time.Second
	maxUptime     = 16 * time.Second
	flapping      = 30 * time.Second
	probeInterval = time.Second
)

// StateAnswered takes what came of a call that we made ourselves.
func (r *Tracker) StateAnswered(status int) {
	s := &r.state
	if status == http.StatusServiceUnavailable {
		s.refused = r.now
	}
	if !isServiceAnswer(status) {
		return
	}
	s.answered = r.now
	if s.lost && r.relays.via == "" {
		s.lost, s.restoredAt = false, r.now // nobody carries for us: there is nothing better to keep to
	}
}

// StateServiceLost tells whether the state service is out of reach for us: it has not answered for
// longer than a watch and a slow answer take. It is back when probes were answered for a
// second or more.
func (r *Tracker) StateServiceLost() bool {
	s := &r.state
	if !s.lost && r.silence(s.answered) > r.cfg.StaleAfter && s.fail(r.now, minUptime, maxUptime) {
		r.Stats.LinkLosses++
	}
	return s.lost
}

// Isolated tells whether we are cut off from the state service and from every other controller. It
// is not an outage, in which the service refuses, and the others are heard.
func (r *Tracker) Isolated() bool {
	if len(r.cfg.Peers) == 0 || !r.StateServiceLost() || r.silence(r.state.refused) <= r.cfg.StaleAfter {
		return false
	}
	for _, h := range r.peers {
		if r.silence(h.heartbeatAt) < r.cfg.HeartbeatInterval {
			return false
		}
	}
	return true
}

// StateServiceLink is how the state service is reached: "direct", "relayed" by a peer, or "lost", which an
// outage that all see is, too.
func (r *Tracker) StateServiceLink() (how, via string) {
	switch {
	case !r.StateServiceLost():
		return "direct", ""
	case r.relays.via != "":
		return "relayed", r.relays.via
	}
	return "lost", ""
}

// LinkChange is Link, and whether it has changed since the last call.
func (r *Tracker) LinkChange() (how, via string, changed bool) {
	how, via = r.StateServiceLink()
	changed = r.loggedLink != how+" "+via && (r.loggedLink != "" || how != "direct")
	r.loggedLink = how + " " + via
	return how, via, changed
}

// ShouldProbe tells whether our own link to the state service is to be tried: while a peer
// carries our calls nothing else shows that it is back.
func (r *Tracker) ShouldProbe() bool {
	s := &r.state
	if !s.lost || r.relays.via == "" || s.probing || r.now < s.probeAt {
		return false
	}
	s.probing, s.probeAt = true, r.now+probeInterval
	return true
}

// Probed takes what came of it.
func (r *Tracker) Probed(status int) {
	s := &r.state
	s.probing = false
	if !isServiceAnswer(status) {
		s.upSince = 0
		return
	}
	s.answered = r.now
	if s.observe(r.now) {
		r.relays.via = ""
	}
}

// cloudLink is our own link to the cloud.
type cloudLink struct {
	answered time.Duration // the last real answer
	asked    time.Duration // the first question since then that got none; 0: none
	probeAt  time.Duration // not to be asked only for its answer's sake before
}

// cloudTimeout is how long the cloud may be silent to who asks it every few seconds: a call that
// nobody answers takes 5 s, and the next one proves that it was not that call alone.
const cloudTimeout = 8 * time.Second

// CloudAnswered takes what came of a call of the cloud. In an outage it answers 503 to all.
func (r *Tracker) CloudAnswered(status int) {
	switch c := &r.cloud; {
	case isServiceAnswer(status):
		c.answered, c.asked = r.now, 0
	case c.asked == 0:
		c.asked = r.now
	}
}

// CloudUnreachable tells whether the cloud does not answer us, though we ask.
func (r *Tracker) CloudUnreachable() bool {
	return r.cloud.asked > 0 && r.silence(r.cloud.answered) > cloudTimeout && r.silence(r.cloud.asked) > cloudTimeout/4
}

// ShouldProbeCloud tells whether the cloud is to be asked whether it answers us, which nothing else shows of
// a controller that does not rent: the one that does says that it gets no answer, or we got none
// ourselves. At most once in a report period.
func (r *Tracker) ShouldProbeCloud(leader string) bool {
	if r.now < r.cloud.probeAt || r.silence(r.cloud.answered) < r.cfg.HeartbeatInterval {
		return false
	}
	if p := r.Snapshot(); !r.CloudUnreachable() && !LeaderLostCloud(&p, leader) {
		return false
	}
	r.cloud.probeAt = r.now + r.cfg.HeartbeatInterval
	return true
}

// workerLinks is whether workers are heard, by zone and of all.
type workerLinks struct {
	zones map[string]*workerLink
	all   workerLink
	lost  bool
}

type workerLink struct {
	heardAt time.Duration // the last report or answer of any worker
	since   time.Duration // since when any is to be heard
	workers int
	// awaited are those of an earlier life of ours that have not come back yet.
	awaited int
	linkHysteresis
}

func (e *workerLink) setWorkers(n, awaited int, now time.Duration) {
	if e.workers+e.awaited == 0 && n+awaited > 0 {
		e.since = now
	}
	e.workers, e.awaited = n, awaited
}

// SetWorkers takes how many workers of each zone report to us, by the records, and how many
// did so to an earlier life of ours and are still to come back.
func (r *Tracker) SetWorkers(held, awaited map[string]int) {
	e, all := &r.workers, 0
	for _, zones := range []map[string]int{held, awaited} {
		for zone := range zones {
			if e.zones[zone] == nil {
				e.zones[zone] = &workerLink{}
			}
		}
	}
	for _, n := range held {
		all += n
	}
	for zone, z := range e.zones {
		// Before the new count: whose last worker was just claimed by another controller
		// may have lost it because it can't be reached.
		switch quiet := r.silence(max(z.heardAt, z.since)); {
		case z.workers > 0 && quiet > silenceLimit(r.cfg.HeartbeatInterval, z.workers), z.lost && z.workers == 0 && quiet > r.cfg.HeartbeatInterval/2,
			z.workers == 0 && awaited[zone] > 0 && quiet > 2*r.cfg.HeartbeatInterval:
			z.fail(r.now, 2*r.cfg.HeartbeatInterval, 8*r.cfg.HeartbeatInterval)
		}
		z.setWorkers(held[zone], awaited[zone], r.now)
	}
	e.all.setWorkers(all, 0, r.now)
	quiet := r.silence(max(e.all.heardAt, e.all.since))
	if all > 0 && quiet > r.cfg.HeartbeatInterval/4 && quiet*time.Duration(all) > 8*r.cfg.HeartbeatInterval {
		e.lost = true
	}
}

// WorkerHeard takes that a worker of a zone was heard. One is enough: deafness is of all.
func (r *Tracker) WorkerHeard(zone string) {
	r.workers.all.heardAt, r.workers.lost = r.now, false
	if z := r.workers.zones[zone]; z != nil {
		z.heardAt = r.now
		z.observe(r.now)
	}
}

// silenceLimit is how long a controller with so many workers waits for a word of any of
// them: a time in which two should have reported, and a quarter of a report period at least.
func silenceLimit(report time.Duration, held int) time.Duration {
	return max(report/4, 2*report/time.Duration(held))
}

// SilentZones names the zones that we don't hear and where nobody reports to us any more: only
// a question can show that we hear them again.
func (r *Tracker) SilentZones() []string {
	var out []string
	for zone, z := range r.workers.zones {
		if z.lost && z.workers == 0 {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

// HearsNoWorkers tells whether we hear no worker and should: eight reports at least are missing. A
// controller that has lost all its workers to others stays deaf until it hears one.
func (r *Tracker) HearsNoWorkers() bool { return r.workers.lost }

// LostZone tells whether we have lost a zone's workers, or all, as our row says to others.
func (r *Tracker) LostZone(zone string) bool {
	z := r.workers.zones[zone]
	return r.workers.lost || z != nil && z.lost
}

// zoneReports is what our row says of zones, in their order.
func (r *Tracker) zoneReports() []ZoneReport {
	var out []ZoneReport
	for _, zone := range slices.Sorted(maps.Keys(r.workers.zones)) {
		if z := r.workers.zones[zone]; z.workers > 0 || z.lost {
			out = append(out, ZoneReport{zone, z.workers, r.silence(max(z.heardAt, z.since)).Milliseconds(), z.lost})
		}
	}
	return out
}

// HeartbeatDue tells whether peers are to be told, a third of a report period after the
// last time.
func (r *Tracker) HeartbeatDue() bool {
	if r.now < r.nextHeartbeatAt {
		return false
	}
	r.nextHeartbeatAt = r.now + r.cfg.HeartbeatInterval/3
	return true
}

// MayRebalance tells whether a worker of ours may be sent elsewhere to even out, and if so
// when the next may.
func (r *Tracker) MayRebalance(pause time.Duration) bool {
	if r.now < r.nextRebalanceAt {
		return false
	}
	r.nextRebalanceAt = r.now + pause
	return true
}

// LinkReports is what a beat carries: our own row, then the others' as we have them.
func (r *Tracker) LinkReports(fresh time.Duration, throttled bool) []LinkReport {
	own := LinkReport{Node: r.cfg.Self, StateServiceMS: r.silence(r.state.answered).Milliseconds(), MirrorAgeMS: fresh.Milliseconds(), HearsNoWorkers: r.workers.lost, Throttled: throttled, Zones: r.zoneReports(),
		CloudMS: r.silence(r.cloud.answered).Milliseconds(), CloudUnreachable: r.CloudUnreachable()}
	if r.StateServiceLost() {
		own.StateServiceMS = max(own.StateServiceMS, r.cfg.StaleAfter.Milliseconds()+1)
	}
	out := []LinkReport{own}
	for _, p := range r.cfg.Peers {
		h := r.peers[p.Node]
		if h == nil {
			continue
		}
		if h.heartbeatAt > 0 && r.silence(h.heartbeatAt) < r.cfg.HeartbeatInterval {
			out[0].HearsPeers = append(out[0].HearsPeers, p.Node)
		}
		if age := r.now - h.reportedAt; h.relays && age < maxReportAge {
			report := h.report
			report.AgeMS = age.Milliseconds()
			out = append(out, report)
		}
	}
	return out
}

// maxReportAge is how old a row may be to be passed on, and maxReports and maxNames how many of
// what a message carries are read, whatever it says.
const (
	maxReportAge = time.Minute
	maxReports   = 64
	maxNames     = 64
)

// ReceiveHeartbeat takes a peer's beat. rows is empty from a version that knows of none; fresh
// and hungry are what such a version says.
func (r *Tracker) ReceiveHeartbeat(from string, fresh time.Duration, throttled bool, reports []LinkReport) {
	h := r.peer(from)
	if h == nil {
		return
	}
	h.heartbeatAt = r.now
	if len(reports) == 0 {
		*h = peerState{report: LinkReport{Node: from, StateServiceMS: fresh.Milliseconds(), MirrorAgeMS: fresh.Milliseconds(), Throttled: throttled}, reportedAt: r.now, heartbeatAt: r.now}
		return
	}
	for i := range reports[:min(len(reports), maxReports)] {
		report := &reports[i]
		if i == 0 {
			report.Node, report.AgeMS = from, 0
		}
		r.mergeReport(report, i == 0)
	}
}

// peer is what is known of a peer, nil for a name that is none.
func (r *Tracker) peer(name string) *peerState {
	h := r.peers[name]
	if h == nil && slices.ContainsFunc(r.cfg.Peers, func(p Controller) bool { return p.Node == name }) {
		h = &peerState{}
		r.peers[name] = h
	}
	return h
}

func (r *Tracker) mergeReport(report *LinkReport, own bool) {
	h := r.peer(report.Node)
	age := time.Duration(report.AgeMS) * time.Millisecond
	if h == nil || report.AgeMS < 0 || age > maxReportAge || report.StateServiceMS < 0 || report.MirrorAgeMS < 0 {
		return
	}
	if at := r.now - age; own || at > h.reportedAt {
		h.report, h.reportedAt, h.relays = *report, at, true
		h.report.Zones, h.report.HearsPeers = clip(report.Zones), clip(report.HearsPeers)
	}
}

func clip[T any](all []T) []T { return slices.Clone(all[:min(len(all), maxNames)]) }

// Snapshot is what is known now, for decisions.
func (r *Tracker) Snapshot() Snapshot {
	p := Snapshot{Self: r.cfg.Self, HeartbeatInterval: r.cfg.HeartbeatInterval, StaleAfter: r.cfg.StaleAfter, Peers: make([]Peer, 0, len(r.cfg.Peers))}
	for _, n := range r.cfg.Peers {
		q := Peer{Controller: n, HeartbeatAge: never, ReportAge: never}
		if h := r.peers[n.Node]; h != nil {
			q.LinkReport, q.Relays, q.ReportAge = h.report, h.relays, r.now-h.reportedAt
			if h.heartbeatAt > 0 {
				q.HeartbeatAge = r.now - h.heartbeatAt
			}
		}
		q.RelayBackoff = r.now < r.relayBackoff[n.Node]
		p.Peers = append(p.Peers, q)
	}
	return p
}

// ConfirmCancellations takes a peer's word, as of a question of ours, that it has told users of no
// cancellation but those that the core was given with it.
func (r *Tracker) ConfirmCancellations(from string, at time.Duration) {
	if at <= r.now && at > r.confirmedAt[from] {
		r.confirmedAt[from] = at
	}
}

// NoteCancelled notes a cancelled job that no record shows yet, Known that one does, and
// Named tells.
func (r *Tracker) NoteCancelled(job string) { r.cancelled[job] = true }

// ForgetCancelled undoes Name.
func (r *Tracker) ForgetCancelled(job string) { delete(r.cancelled, job) }

// KnownCancelled tells whether a peer has named the job as cancelled.
func (r *Tracker) KnownCancelled(job string) bool { return r.cancelled[job] }

// CancellationProof is as of when no cancellation was told to users that we don't know of: our
// own complete records show it, or the word of every peer. Nobody else tells users anything.
func (r *Tracker) CancellationProof(fresh time.Duration) time.Duration {
	oldest := r.now
	for _, p := range r.cfg.Peers {
		oldest = min(oldest, r.confirmedAt[p.Node])
	}
	return max(fresh, oldest)
}
