package coordination

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"silvergate/internal/failover"
	"silvergate/internal/job"
	"silvergate/internal/protocol"
)

// Troubles that users and machines make, with the meaning that the operators' page gives them, and the
// checkers that go with them. sim_test.go calls in here where they take effect.

// meetings is what troubles change in the simulated world, and what is counted of them.
type meetings struct {
	slow       time.Duration // until then links between machines, users and controllers are slow
	writesLag  time.Duration // until then transactions are carried out late, though within their time
	quickBoots bool          // machines are up within two seconds

	loses     func(n *simNode, t protocol.Txn) bool // transactions that are carried out at once while only the answer is lost
	returns   func(names []string) bool             // deletions that are held up
	held      float64                               // share of reports that are held back until a new leader has acted
	kept      float64                               // share of reports of which a copy is kept for the next leader
	looks     bool                                  // users ask at all nodes, within milliseconds
	endCancel float64                               // share of jobs that are called off at the moment of their end
	handOver  float64                               // share of jobs that are called off as their machine changes hands
	heldBack  map[string][]byte
	copies    map[string][]byte

	// Broken on purpose.
	agrees     bool // the state service confirms every comparison
	emptyLists bool // reports list nothing
	noKills    bool // workers stop nothing
	noLease    bool // workers go on with their tasks when their lease has ended
	astray     bool // some workers tell a wrong zone
	forged     bool // old reports show the newest token, and tell that everything is done

	killed  func(*simWorker, protocol.Command) // sees stops; may be nil
	short   bool                               // there is less room than work
	byKind  map[string]int                     // answers lost, by the kind of record
	changes int                                // of leaders
	hungNow int                                // machines that hang as their jobs are called off

	direct     int // orders and questions that reached a mute machine
	heldUp     int // orders held up, by a link or a machine that hangs
	ended      int // sessions that ended with work
	early      int // machines up before the rental's record named them
	unopened   int // reports that found no controller, as their machine is mute
	answers    int // of transactions, lost
	takeovers  int // of groups of workers, written
	reclaimed  int // claims of machines that had one, written
	delivered  int // reports, held back or kept, to a new leader
	asked      int // questions within milliseconds
	atEnd      int // jobs called off at their end
	changing   int // jobs called off as their machine changed hands
	odd        int // odd requests
	owners     int // changes of a machine's holder
	lateStarts int // starts of tasks after the user was told that the job is cancelled
	inUse      int // machines returned with work on them that nobody had given up
}

// hop is how long a message takes between machines, users and controllers.
func (s *sim) hop() time.Duration {
	if s.met.slow > s.now {
		return s.ms(50, 1200)
	}
	return s.ms(0.2, 3)
}

// loses tells whether a call is a transaction whose answer alone is lost.
func (n *simNode) loses(k protocol.Call) bool {
	if n.s.met.loses == nil || k.Target != protocol.ToStateService || k.Path != protocol.PathTxn {
		return false
	}
	var t protocol.Txn
	_ = json.Unmarshal(k.Body, &t)
	if len(t.Ops) == 0 || !n.s.met.loses(n, t) {
		return false
	}
	n.s.met.answers++
	return true
}

// loseAnswers has the answers to a share of the transactions lost for a while.
func (s *sim) loseAnswers(share float64, long time.Duration) {
	until := s.now + long
	s.met.loses = func(*simNode, protocol.Txn) bool { return s.now < until && s.rnd.Float64() < share }
}

// touches tells whether a transaction writes or drops a kind of record.
func touches(t protocol.Txn, kind string) bool {
	for _, o := range t.Ops {
		if strings.HasPrefix(o.Put+o.Delete, kind) {
			return true
		}
	}
	return false
}

// keepCopy keeps a report's copy for whoever leads next.
func (s *sim) keepCopy(w *simWorker, reply protocol.Heartbeat) {
	if s.met.kept > 0 && s.rnd.Float64() < s.met.kept {
		if s.met.copies == nil {
			s.met.copies = map[string][]byte{}
		}
		s.met.copies[w.name] = encode(reply)
	}
}

// holdBack keeps a report itself: it does not arrive before a new leader has acted.
func (s *sim) holdBack(w *simWorker, reply protocol.Heartbeat) bool {
	if s.met.held == 0 || s.rnd.Float64() >= s.met.held {
		return false
	}
	if s.met.heldBack == nil {
		s.met.heldBack = map[string][]byte{}
	}
	s.met.heldBack[w.name] = encode(reply)
	return true
}

// claimed sees a claim being written: where the machine changes hands, reports that were held back or kept
// arrive, and users may call jobs off.
func (s *sim) claimed(key string, data json.RawMessage) {
	if data == nil {
		return
	}
	if group, is := strings.CutPrefix(key, keyTakeover); is {
		s.takenOver(group, data)
		return
	}
	name, is := strings.CutPrefix(key, keyClaim)
	if !is {
		return
	}
	var now, was claimRecord
	_ = json.Unmarshal(data, &now)
	if old, ok := s.kv.keys[key]; ok {
		_ = json.Unmarshal(old.data, &was)
		s.met.reclaimed++
	}
	if now.Owner != was.Owner || now.Incarnation != was.Incarnation {
		s.changesHands(name, now.Owner)
	}
}

// takenOver sees the take-over of a group being written: what happens to a worker that changes hands
// happens to all of it.
func (s *sim) takenOver(key string, data json.RawMessage) {
	s.met.takeovers++
	var successor failover.Holder
	_ = json.Unmarshal(data, &successor)
	g, _ := failover.ParseKey(key)
	for _, id := range sortedKeys(s.cloud.all) {
		var own claimRecord
		_ = json.Unmarshal(s.kv.keys[keyClaim+id].data, &own)
		holder := failover.Holder{Node: own.Owner, Incarnation: own.Incarnation, Epoch: own.Epoch}
		if failover.GroupOf(holder, id, own.Zone) == g {
			s.changesHands(id, successor.Node)
		}
	}
}

// changesHands has reports of a machine that were held back or kept arrive as it gets another holder.
func (s *sim) changesHands(name, owner string) {
	s.met.owners++
	if body, ok := s.met.heldBack[name]; ok {
		delete(s.met.heldBack, name)
		for _, n := range s.nodes {
			if n.name == owner {
				s.met.delivered++
				s.after(s.ms(1, 4000), func() { n.hearsLate(name, body) })
			}
		}
	}
	if body, ok := s.met.copies[name]; ok {
		delete(s.met.copies, name)
		for _, n := range s.nodes {
			s.met.delivered++
			s.after(s.ms(0, 1500), func() { n.hearsLate(name, body) })
		}
	}
	w := s.cloud.all[name]
	if w == nil || s.met.handOver == 0 {
		return
	}
	for _, k := range sortedKeys(w.loads) {
		u := s.users[w.loads[k].id]
		if u != nil && !u.asked && s.rnd.Float64() < s.met.handOver {
			s.met.changing++
			s.after(s.ms(0, 1000), u.cancel)
		}
	}
}

// old is a report that was kept, as it arrives.
func (s *sim) old(name string, body []byte) []byte {
	if !s.met.forged {
		return body
	}
	var r protocol.Heartbeat
	_ = json.Unmarshal(body, &r)
	r.FencingToken, r.Sequence = s.kv.keys[keyClaim+name].stamp, r.Sequence+1_000_000
	if w := s.cloud.all[name]; w != nil {
		r.AgentEpoch, r.Tasks = w.shift, w.state().Tasks
	}
	for i := range r.Tasks {
		r.Tasks[i].Status, r.Tasks[i].Cause = protocol.TaskEnded, protocol.CauseDone
	}
	return encode(r)
}

// hearsLate has a controller get a report that was kept; nobody waits for its answer.
func (n *simNode) hearsLate(name string, body []byte) {
	n.deliver("POST", protocol.PathHeartbeat, n.s.old(name, body), func(int, []byte) {})
}

// countEarly counts machines that are up before anybody could have read that they were rented.
func (s *sim) countEarly(w *simWorker) {
	for key, v := range s.kv.keys {
		if strings.HasPrefix(key, keyRental) && bytes.Contains(v.data, []byte(`"`+w.name+`"`)) {
			return
		}
	}
	s.met.early++
}

// tellsZone is the zone that a worker reports.
func (w *simWorker) tellsZone() string {
	if !w.s.met.astray || len(w.name) == 0 || w.name[len(w.name)-1]%3 > 0 {
		return w.zone
	}
	return map[string]string{"a": "b", "b": "a", "c": "a"}[w.zone]
}

// oldReports has every controller hear all copies that are kept.
func (s *sim) oldReports(within time.Duration) {
	copies := s.met.copies
	s.met.copies = nil
	for _, name := range sortedKeys(copies) {
		body := copies[name]
		for _, n := range s.nodes {
			s.after(s.ms(0, 1000*within.Seconds()), func() {
				s.met.delivered++
				n.hearsLate(name, body)
			})
		}
	}
}

// cancelNow has users call off so many jobs that run and have long to go, within a fifth of a second; some of
// their machines, eight at the most, hang for a time.
func (s *sim) cancelNow(count int, hang time.Duration) {
	hung := 0
	for _, id := range sortedKeys(s.users) {
		u := s.users[id]
		if count == 0 || u.asked || u.final != "" || !u.accepted || u.begun == 0 || u.runs < 5 && u.spec.Shape != job.Service {
			continue
		}
		count--
		s.after(s.ms(0, 200), u.cancel)
		for _, w := range s.cloud.sorted() {
			if hang > 0 && hung < 8 && w.up && w.holds(id) && w.hung <= s.now {
				hung++
				s.met.hungNow++
				s.after(s.ms(0, 300), func() { w.hung = s.now + hang })
			}
		}
	}
}

func (w *simWorker) holds(id string) bool {
	for _, l := range w.loads {
		if l.id == id && l.status != protocol.TaskEnded {
			return true
		}
	}
	return false
}

// ends is the moment of a task's end: at a job's last one some users call it off, ask, or submit it again.
func (u *simUser) ends() {
	s := u.s
	for _, d := range u.done {
		if !d {
			return
		}
	}
	if s.met.endCancel == 0 || s.rnd.Float64() >= s.met.endCancel {
		return
	}
	s.met.atEnd++
	for range 1 + s.rnd.IntN(2) {
		s.after(s.ms(0, 1500), func() {
			switch s.rnd.IntN(3) {
			case 0:
				u.send()
			case 1:
				u.cancel()
			}
			u.lookClosely()
		})
	}
}

// lookClosely has the user ask at all nodes, and some submit again or cancel again, within milliseconds.
func (u *simUser) lookClosely() {
	s := u.s
	if !s.met.looks {
		return
	}
	for _, n := range s.nodes {
		for range 2 {
			s.met.asked++
			s.after(s.ms(0, 60), func() { u.askAt(n) })
		}
		switch s.rnd.IntN(8) {
		case 0:
			s.after(s.ms(0, 60), func() { u.repeat(n, u.body) })
		case 1:
			if u.asked || u.final == "done" {
				s.after(s.ms(0, 60), u.cancelAgain)
			}
		}
	}
}

// repeat submits the job once more at a node: once known, it is never refused.
func (u *simUser) repeat(n *simNode, body []byte) {
	before := u.told()
	n.request("users", "POST", protocol.PathJobs, body, func(st int, b []byte) {
		switch {
		case st == 200 || st == 201 && !before.known:
			u.accepted = true
			u.hear(b, before)
		case before.known && (st == 201 || st == 400 || st == 422 || st == 404):
			u.s.breaks("forgotten", "%s repeated: %d %s", u.spec.ID, st, b)
		}
	})
}

// cancelAgain asks once for a cancellation of what is over or was cancelled before.
func (u *simUser) cancelAgain() {
	before := u.told()
	u.s.anyNode().request("users", "POST", protocol.PathJobs+"/"+u.spec.ID+"/abort", nil, func(st int, b []byte) { u.aborted(st, b, before) })
}

// aborted judges the answer to a cancellation, and tells whether it is one.
func (u *simUser) aborted(st int, body []byte, before told) bool {
	if st == 404 && before.known {
		u.s.breaks("forgotten", "%s can't be cancelled", u.spec.ID)
	}
	if st == 200 {
		u.hear(body, before)
	}
	return st == 200
}

// oddRequests has users repeat submissions, also with other content, cancel what is done, and send what fits
// no machine or lacks a field.
func (s *sim) oddRequests(until time.Duration) {
	if s.now > until {
		return
	}
	s.met.odd++
	ids := sortedKeys(s.users)
	if len(ids) > 0 {
		u := s.users[ids[s.rnd.IntN(len(ids))]]
		if u.known {
			body := u.body
			if s.rnd.IntN(2) == 0 {
				body = oddBody(s, body, u.spec.ID)
			}
			u.repeat(s.anyNode(), body)
		}
		if u.final == "done" {
			u.cancelAgain()
		}
		id := fmt.Sprintf("wk-8%05d", s.rnd.IntN(100_000))
		if s.users[id] == nil {
			n, body := s.anyNode(), oddBody(s, u.body, id)
			n.request("users", "POST", protocol.PathJobs, body, func(st int, b []byte) {
				if st == 200 || st == 201 {
					s.breaks("accepted", "%s: %d %s", body, st, b)
				}
			})
		}
	}
	s.after(s.ms(100, 900), func() { s.oddRequests(until) })
}

// oddBody is a submission that can't be accepted: a field is missing, or it fits no machine.
func oddBody(s *sim, body []byte, id string) []byte {
	var m map[string]any
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	_ = d.Decode(&m)
	m["ref"] = id
	fields := []string{"jobclass", "crew", "shape", "urgency", "loads", "cpus", "accelerators", "ramGb", "kit", "sizeGb", "oneZone", "apart", "casual", "etaS", "waypointS", "stowS"}
	switch s.rnd.IntN(4) {
	case 0:
		m["cpus"] = 10_000
	case 1:
		m["rigs"] = []string{"none"}
	case 2:
		m["crew"] = "nobody"
	default:
		delete(m, fields[s.rnd.IntN(len(fields))])
	}
	return encode(m)
}

// countLateStart counts what begins after its user was told that the job is cancelled. Within cancel_s that
// breaks no rule.
func (s *sim) countLateStart(u *simUser) {
	if u.cancelled > 0 {
		s.met.lateStarts++
	}
}

// judgeReturn counts machines that are returned while work runs there that was not given up: nobody called the
// machine silent, failed, faulty or recalled, and the job is not over.
func (s *sim) judgeReturn(w *simWorker) {
	switch s.kv.drainedAs[keyDrain+w.name] {
	case "", drainIdle, drainStray, drainLost:
	default:
		return
	}
	if w.dead || !w.up || s.now < w.hung {
		return
	}
	for _, k := range sortedKeys(w.loads) {
		if u := s.users[w.loads[k].id]; u != nil && w.loads[k].status != protocol.TaskEnded && u.final == "" && !u.asked && !w.outdated(w.loads[k]) {
			s.met.inUse++
			if s.trace != nil {
				fmt.Fprintf(s.trace, "%8.3f INUSE %s returned with %s\n", s.now.Seconds(), w.name, k)
			}
		}
	}
}

// outdated tells whether the records do not bind an attempt to its machine any more.
func (w *simWorker) outdated(l *simLoad) bool {
	for _, n := range w.s.nodes {
		if n.core == nil {
			continue
		}
		if r := n.core.jobs.byID[l.id]; r != nil {
			if t := r.task(n.core, l.index); t != nil && t.Phase == job.Bound && t.Machine == w.name && t.Attempt == l.try {
				return false
			}
		}
	}
	return true
}

// roomWait is since when a job has waited beside room, without a break.
type roomWait struct {
	since time.Duration
	begun int
}

const waitsAtMost = 90 * time.Second

// watchRoom judges that no job waits beside room: a machine that fits holds it, its team is under its limit, and
// nothing of it has started for 90 s. A gang needs room for all its tasks.
func (s *sim) watchRoom() {
	use := map[string]float64{}
	on := map[string]map[int]bool{}
	zones := map[string]map[string]int{}
	for _, w := range s.work {
		for _, l := range w.loads {
			u := s.users[l.id]
			if u == nil || l.status == protocol.TaskEnded {
				continue
			}
			use[u.spec.Team] += u.spec.GPUs
			if on[l.id] == nil {
				on[l.id], zones[l.id] = map[int]bool{}, map[string]int{}
			}
			on[l.id][l.index] = true
			zones[l.id][w.zone]++
		}
	}
	var usable []*simWorker
	for _, w := range s.cloud.sorted() {
		_, drained := s.kv.keys[keyDrain+w.name]
		if w.up && !w.dead && !drained && !w.faulty && w.unkept <= s.now && max(w.hung, w.deaf, w.mute) <= s.now && w.partly == 0 {
			usable = append(usable, w)
		}
	}
	for _, id := range sortedKeys(s.users) {
		u := s.users[id]
		started := u.begun + u.again
		if u.waits.since == 0 || !u.accepted || u.asked || u.mistaken || u.failures > 0 || u.final != "" || started != u.waits.begun || !u.couldStart(usable, on[id], zones[id], use[u.spec.Team]) {
			u.waits = roomWait{s.now, started}
			continue
		}
		if s.now-u.waits.since > waitsAtMost {
			s.breaks("waits beside room", "%s (%s of %d, team %s)", id, u.spec.Shape, u.spec.Tasks, u.spec.Team)
			u.waits.since = s.now
		}
	}
	s.after(time.Second, s.watchRoom)
}

// couldStart tells whether what waits of the job would find room: one task, or all of a gang.
func (u *simUser) couldStart(usable []*simWorker, on map[int]bool, zones map[string]int, use float64) bool {
	s, sp := u.s, u.spec
	need := 0
	for i := range u.done {
		if !u.done[i] && !on[i] {
			need++
		}
	}
	if need == 0 || sp.Shape == job.Gang && len(on) > 0 {
		return false
	}
	if sp.Shape != job.Gang {
		need = 1
	}
	for _, t := range s.facts.Teams {
		if t.Name == sp.Team && t.GPUsMax > 0 && use+float64(need)*sp.GPUs > t.GPUsMax+1e-6 {
			return false
		}
	}
	for _, only := range s.facts.Zones {
		found, spread := 0, map[string]int{}
		for _, w := range usable {
			if !sp.AllowsMachineType(w.rig) || w.spot && !sp.Spot || sp.Zone != "" && sp.Zone != w.zone || sp.OneZone && (w.zone != only || len(zones) > 0 && zones[w.zone] == 0) {
				continue
			}
			t := s.cloud.types[w.rig]
			g, c := t.GPUs, t.CPUs
			for _, l := range w.loads {
				if o := s.users[l.id]; o != nil && l.status != protocol.TaskEnded {
					g, c = g-o.spec.GPUs, c-o.spec.CPUs
				}
			}
			for ; found < need && sp.GPUs <= g && sp.CPUs <= c && (!sp.Spread || zones[w.zone]+spread[w.zone] < sp.SpreadLimit()); found++ {
				g, c = g-sp.GPUs, c-sp.CPUs
				spread[w.zone]++
			}
		}
		if found >= need {
			return true
		}
	}
	return false
}
