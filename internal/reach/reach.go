// Package reach keeps which controller reaches what, and decides on it: through
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
package reach

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// Config is what a Reach is made for.
type Config struct {
	Self   string
	Life   int64 // tells this life of the process from others
	Peers  []Name
	Report time.Duration // between two reports of a worker; beats come three times as often
	Late   time.Duration // the age from which a mirror that is watched has missed an answer
}

// Name is a controller and its zone.
type Name struct{ Node, Zone string }

// Row is what a controller says of its own links. Ages are in milliseconds, as of
// the telling.
type Row struct {
	Node    string     `json:"node"`
	AgeMS   int64      `json:"ageMs"`   // since its own telling, where another passes it on
	StateMS int64      `json:"stateMs"` // since the state service last answered it without anybody's help
	FreshMS int64      `json:"freshMs"` // since its records were last proved complete, by whatever way
	Deaf    bool       `json:"deaf"`    // it should hear workers, and hears none
	Hungry  bool       `json:"hungry"`  // its work waits for the state service's rates
	Hears   []string   `json:"hears"`   // controllers whose own beats reach it
	Zones   []ZoneWord `json:"zones"`
	CloudMS int64      `json:"cloudMs"` // since the cloud last answered it; only who rents asks often
	NoCloud bool       `json:"noCloud"` // it asks, and has got no answer for too long
}

// ZoneWord is what a controller says of a zone whose workers report to it.
type ZoneWord struct {
	Zone    string `json:"zone"`
	Held    int    `json:"held"`    // how many
	HeardMS int64  `json:"heardMs"` // since it heard any of them
	Lost    bool   `json:"lost"`    // it heard none for too long, and none since for long enough, even if none reports to it any more
}

// heard is a row and when it was true, by our clock.
type heard struct {
	row  Row
	at   time.Duration
	came time.Duration // when the controller's own beat came last; 0: never
	rows bool          // its beats carry rows, so that it carries calls, too
}

// Reach is one controller's view of all links.
type Reach struct {
	cfg     Config
	now     time.Duration
	woke    time.Duration // when we last went on after standing still
	beatAt  time.Duration
	shedAt  time.Duration
	state   stateLink
	cloud   cloudLink
	ears    ears
	heard   map[string]*heard
	cooling map[string]time.Duration // carriers that failed: not before
	vouched map[string]time.Duration // as of when a peer has named all cancellations
	named   map[string]bool          // cancelled jobs that peers named and no record shows yet
	desk    desk
	told    string // the last that operators were told
	Stats   Stats
}

// Stats counts what an operator wants to know.
type Stats struct {
	Carried    uint64 `json:"carried"`    // calls of peers that were carried out here
	Declined   uint64 `json:"declined"`   // those that were not
	Relayed    uint64 `json:"relayed"`    // own calls that went through a peer
	Lost       uint64 `json:"lost"`       // those without an answer
	Downs      uint64 `json:"downs"`      // how often the state service was taken for out of reach
	HandedOn   uint64 `json:"handedOn"`   // workers sent to a controller that can serve them
	Sideways   uint64 `json:"sideways"`   // questions and words passed on for others
	StoodStill uint64 `json:"stoodStill"` // how often this process stood still
}

// New makes a Reach that knows nothing yet.
func New(cfg Config) *Reach {
	return &Reach{cfg: cfg, heard: map[string]*heard{}, cooling: map[string]time.Duration{}, vouched: map[string]time.Duration{},
		named: map[string]bool{}, ears: ears{zones: map[string]*ear{}}, desk: desk{asked: map[uint64]*asked{}}}
}

// still is the least gap between two steps that counts as having stood still: a
// tick comes at least every report_s/12.
func (r *Reach) still() time.Duration { return max(time.Second, r.cfg.Report/4) }

// Advance lets time pass. It comes with every step. A gap shows that it was us who
// stood still, so that nobody's silence counts from before it.
func (r *Reach) Advance(now time.Duration) {
	if now-r.now > r.still() && r.now > 0 {
		r.woke = now
		r.Stats.StoodStill++
	}
	r.now = now
}

// silence is how long nothing was heard since a moment, times in which we stood
// still and did not listen left out.
func (r *Reach) silence(since time.Duration) time.Duration { return r.now - max(since, r.woke) }

// stateLink is our own link to the state service.
type stateLink struct {
	trust
	answered time.Duration // the last real answer
	refused  time.Duration // the last refusal, which an outage gives, too
	probeAt  time.Duration
	probing  bool
}

// trust is the hysteresis of a link: one that was lost is back when it was heard for a time
// without a gap, and for twice as long each time when it is lost again within half a minute.
type trust struct {
	lost bool
	good time.Duration // since when it is heard again; 0: not
	need time.Duration // for how long it must be
	upAt time.Duration // when it last was
}

// fail takes a gap; first and most bound how long the link must be heard after it. It tells
// whether the link is lost by it.
func (t *trust) fail(now, first, most time.Duration) bool {
	t.good = 0
	if t.lost {
		return false
	}
	t.lost = true
	if t.need = min(2*t.need, most); t.need < first || now-t.upAt > flapping {
		t.need = first
	}
	return true
}

// hear takes a word over the link, and tells whether it is back with it.
func (t *trust) hear(now time.Duration) bool {
	if !t.lost {
		return false
	}
	if t.good == 0 {
		t.good = now
	}
	if now-t.good < t.need {
		return false
	}
	t.lost, t.upAt = false, now
	return true
}

// answers tells whether a status is a service's own word: 503 is what a controller gets that
// is refused, and in an outage.
func answers(status int) bool { return status != 0 && status != http.StatusServiceUnavailable }

const (
	// A link that fails again soon after it came back has to hold longer each time.
	firstTrust = time.Second
	mostTrust  = 16 * time.Second
	flapping   = 30 * time.Second
	probePause = time.Second
)

// StateAnswered takes what came of a call that we made ourselves.
func (r *Reach) StateAnswered(status int) {
	s := &r.state
	if status == http.StatusServiceUnavailable {
		s.refused = r.now
	}
	if !answers(status) {
		return
	}
	s.answered = r.now
	if s.lost && r.desk.via == "" {
		s.lost, s.upAt = false, r.now // nobody carries for us: there is nothing better to keep to
	}
}

// Lost tells whether the state service is out of reach for us: it has not answered for
// longer than a watch and a slow answer take. It is back when probes were answered for a
// second or more.
func (r *Reach) Lost() bool {
	s := &r.state
	if !s.lost && r.silence(s.answered) > r.cfg.Late && s.fail(r.now, firstTrust, mostTrust) {
		r.Stats.Downs++
	}
	return s.lost
}

// Alone tells whether we are cut off from the state service and from every other controller. It
// is not an outage, in which the service refuses, and the others are heard.
func (r *Reach) Alone() bool {
	if len(r.cfg.Peers) == 0 || !r.Lost() || r.silence(r.state.refused) <= r.cfg.Late {
		return false
	}
	for _, h := range r.heard {
		if r.silence(h.came) < r.cfg.Report {
			return false
		}
	}
	return true
}

// Link is how the state service is reached: "direct", "relayed" by a peer, or "lost", which an
// outage that all see is, too.
func (r *Reach) Link() (how, via string) {
	switch {
	case !r.Lost():
		return "direct", ""
	case r.desk.via != "":
		return "relayed", r.desk.via
	}
	return "lost", ""
}

// News is Link, and whether it has changed since the last call.
func (r *Reach) News() (how, via string, changed bool) {
	how, via = r.Link()
	changed = r.told != how+" "+via && (r.told != "" || how != "direct")
	r.told = how + " " + via
	return how, via, changed
}

// Probe tells whether our own link to the state service is to be tried: while a peer
// carries our calls nothing else shows that it is back.
func (r *Reach) Probe() bool {
	s := &r.state
	if !s.lost || r.desk.via == "" || s.probing || r.now < s.probeAt {
		return false
	}
	s.probing, s.probeAt = true, r.now+probePause
	return true
}

// Probed takes what came of it.
func (r *Reach) Probed(status int) {
	s := &r.state
	s.probing = false
	if !answers(status) {
		s.good = 0
		return
	}
	s.answered = r.now
	if s.hear(r.now) {
		r.desk.via = ""
	}
}

// cloudLink is our own link to the cloud.
type cloudLink struct {
	answered time.Duration // the last real answer
	asked    time.Duration // the first question since then that got none; 0: none
	probeAt  time.Duration // not to be asked only for its answer's sake before
}

// cloudLate is how long the cloud may be silent to who asks it every few seconds: a call that
// nobody answers takes 5 s, and the next one proves that it was not that call alone.
const cloudLate = 8 * time.Second

// CloudAnswered takes what came of a call of the cloud. In an outage it answers 503 to all.
func (r *Reach) CloudAnswered(status int) {
	switch c := &r.cloud; {
	case answers(status):
		c.answered, c.asked = r.now, 0
	case c.asked == 0:
		c.asked = r.now
	}
}

// NoCloud tells whether the cloud does not answer us, though we ask.
func (r *Reach) NoCloud() bool {
	return r.cloud.asked > 0 && r.silence(r.cloud.answered) > cloudLate && r.silence(r.cloud.asked) > cloudLate/4
}

// AskCloud tells whether the cloud is to be asked whether it answers us, which nothing else shows of
// a controller that does not rent: the one that does says that it gets no answer, or we got none
// ourselves. At most once in a report period.
func (r *Reach) AskCloud(renter string) bool {
	if r.now < r.cloud.probeAt || r.silence(r.cloud.answered) < r.cfg.Report {
		return false
	}
	if p := r.Picture(); !r.NoCloud() && !Renterless(&p, renter) {
		return false
	}
	r.cloud.probeAt = r.now + r.cfg.Report
	return true
}

// ears is whether workers are heard, by zone and of all.
type ears struct {
	zones map[string]*ear
	all   ear
	deaf  bool
}

type ear struct {
	at    time.Duration // the last report or answer of any worker
	since time.Duration // since when any is to be heard
	held  int
	// awaited are those of an earlier life of ours that have not come back yet.
	awaited int
	trust
}

func (e *ear) hold(n, awaited int, now time.Duration) {
	if e.held+e.awaited == 0 && n+awaited > 0 {
		e.since = now
	}
	e.held, e.awaited = n, awaited
}

// Workers takes how many workers of each zone report to us, by the records, and how many
// did so to an earlier life of ours and are still to come back.
func (r *Reach) Workers(held, awaited map[string]int) {
	e, all := &r.ears, 0
	for _, zones := range []map[string]int{held, awaited} {
		for zone := range zones {
			if e.zones[zone] == nil {
				e.zones[zone] = &ear{}
			}
		}
	}
	for _, n := range held {
		all += n
	}
	for zone, z := range e.zones {
		// Before the new count: whose last worker was just claimed by another controller
		// may have lost it because it can't be reached.
		switch quiet := r.silence(max(z.at, z.since)); {
		case z.held > 0 && quiet > patience(r.cfg.Report, z.held), z.lost && z.held == 0 && quiet > r.cfg.Report/2,
			z.held == 0 && awaited[zone] > 0 && quiet > 2*r.cfg.Report:
			z.fail(r.now, 2*r.cfg.Report, 8*r.cfg.Report)
		}
		z.hold(held[zone], awaited[zone], r.now)
	}
	e.all.hold(all, 0, r.now)
	quiet := r.silence(max(e.all.at, e.all.since))
	if all > 0 && quiet > r.cfg.Report/4 && quiet*time.Duration(all) > 8*r.cfg.Report {
		e.deaf = true
	}
}

// WorkerHeard takes that a worker of a zone was heard. One is enough: deafness is of all.
func (r *Reach) WorkerHeard(zone string) {
	r.ears.all.at, r.ears.deaf = r.now, false
	if z := r.ears.zones[zone]; z != nil {
		z.at = r.now
		z.hear(r.now)
	}
}

// patience is how long a controller with so many workers waits for a word of any of
// them: a time in which two should have reported, and a quarter of a report period at least.
func patience(report time.Duration, held int) time.Duration {
	return max(report/4, 2*report/time.Duration(held))
}

// Silent names the zones that we don't hear and where nobody reports to us any more: only
// a question can show that we hear them again.
func (r *Reach) Silent() []string {
	var out []string
	for zone, z := range r.ears.zones {
		if z.lost && z.held == 0 {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

// Deaf tells whether we hear no worker and should: eight reports at least are missing. A
// controller that has lost all its workers to others stays deaf until it hears one.
func (r *Reach) Deaf() bool { return r.ears.deaf }

// LostZone tells whether we have lost a zone's workers, or all, as our row says to others.
func (r *Reach) LostZone(zone string) bool {
	z := r.ears.zones[zone]
	return r.ears.deaf || z != nil && z.lost
}

// words is what our row says of zones, in their order.
func (r *Reach) words() []ZoneWord {
	var out []ZoneWord
	for _, zone := range slices.Sorted(maps.Keys(r.ears.zones)) {
		if z := r.ears.zones[zone]; z.held > 0 || z.lost {
			out = append(out, ZoneWord{zone, z.held, r.silence(max(z.at, z.since)).Milliseconds(), z.lost})
		}
	}
	return out
}

// BeatDue tells whether peers are to be told, a third of a report period after the
// last time.
func (r *Reach) BeatDue() bool {
	if r.now < r.beatAt {
		return false
	}
	r.beatAt = r.now + r.cfg.Report/3
	return true
}

// Shed tells whether a worker of ours may be sent elsewhere to even out, and if so
// when the next may.
func (r *Reach) Shed(pause time.Duration) bool {
	if r.now < r.shedAt {
		return false
	}
	r.shedAt = r.now + pause
	return true
}

// Rows is what a beat carries: our own row, then the others' as we have them.
func (r *Reach) Rows(fresh time.Duration, hungry bool) []Row {
	own := Row{Node: r.cfg.Self, StateMS: r.silence(r.state.answered).Milliseconds(), FreshMS: fresh.Milliseconds(), Deaf: r.ears.deaf, Hungry: hungry, Zones: r.words(),
		CloudMS: r.silence(r.cloud.answered).Milliseconds(), NoCloud: r.NoCloud()}
	if r.Lost() {
		own.StateMS = max(own.StateMS, r.cfg.Late.Milliseconds()+1)
	}
	out := []Row{own}
	for _, p := range r.cfg.Peers {
		h := r.heard[p.Node]
		if h == nil {
			continue
		}
		if h.came > 0 && r.silence(h.came) < r.cfg.Report {
			out[0].Hears = append(out[0].Hears, p.Node)
		}
		if age := r.now - h.at; h.rows && age < maxAge {
			row := h.row
			row.AgeMS = age.Milliseconds()
			out = append(out, row)
		}
	}
	return out
}

// maxAge is how old a row may be to be passed on, and maxRows and maxNames how many of
// what a message carries are read, whatever it says.
const (
	maxAge   = time.Minute
	maxRows  = 64
	maxNames = 64
)

// Beat takes a peer's beat. rows is empty from a version that knows of none; fresh
// and hungry are what such a version says.
func (r *Reach) Beat(from string, fresh time.Duration, hungry bool, rows []Row) {
	h := r.at(from)
	if h == nil {
		return
	}
	h.came = r.now
	if len(rows) == 0 {
		*h = heard{row: Row{Node: from, StateMS: fresh.Milliseconds(), FreshMS: fresh.Milliseconds(), Hungry: hungry}, at: r.now, came: r.now}
		return
	}
	for i := range rows[:min(len(rows), maxRows)] {
		row := &rows[i]
		if i == 0 {
			row.Node, row.AgeMS = from, 0
		}
		r.learn(row, i == 0)
	}
}

// at is what is known of a peer, nil for a name that is none.
func (r *Reach) at(name string) *heard {
	h := r.heard[name]
	if h == nil && slices.ContainsFunc(r.cfg.Peers, func(p Name) bool { return p.Node == name }) {
		h = &heard{}
		r.heard[name] = h
	}
	return h
}

func (r *Reach) learn(row *Row, own bool) {
	h := r.at(row.Node)
	age := time.Duration(row.AgeMS) * time.Millisecond
	if h == nil || row.AgeMS < 0 || age > maxAge || row.StateMS < 0 || row.FreshMS < 0 {
		return
	}
	if at := r.now - age; own || at > h.at {
		h.row, h.at, h.rows = *row, at, true
		h.row.Zones, h.row.Hears = clip(row.Zones), clip(row.Hears)
	}
}

func clip[T any](all []T) []T { return slices.Clone(all[:min(len(all), maxNames)]) }

// Picture is what is known now, for decisions.
func (r *Reach) Picture() Picture {
	p := Picture{Self: r.cfg.Self, Report: r.cfg.Report, Late: r.cfg.Late, Peers: make([]Peer, 0, len(r.cfg.Peers))}
	for _, n := range r.cfg.Peers {
		q := Peer{Name: n, Word: never, Age: never}
		if h := r.heard[n.Node]; h != nil {
			q.Row, q.Carries, q.Age = h.row, h.rows, r.now-h.at
			if h.came > 0 {
				q.Word = r.now - h.came
			}
		}
		q.Cooling = r.now < r.cooling[n.Node]
		p.Peers = append(p.Peers, q)
	}
	return p
}

// Vouched takes a peer's word, as of a question of ours, that it has told users of no
// cancellation but those that the core was given with it.
func (r *Reach) Vouched(from string, at time.Duration) {
	if at <= r.now && at > r.vouched[from] {
		r.vouched[from] = at
	}
}

// Name notes a cancelled job that no record shows yet, Known that one does, and
// Named tells.
func (r *Reach) Name(job string) { r.named[job] = true }

// Known undoes Name.
func (r *Reach) Known(job string) { delete(r.named, job) }

// Named tells whether a peer has named the job as cancelled.
func (r *Reach) Named(job string) bool { return r.named[job] }

// Proof is as of when no cancellation was told to users that we don't know of: our
// own complete records show it, or the word of every peer. Nobody else tells users anything.
func (r *Reach) Proof(fresh time.Duration) time.Duration {
	oldest := r.now
	for _, p := range r.cfg.Peers {
		oldest = min(oldest, r.vouched[p.Node])
	}
	return max(fresh, oldest)
}
