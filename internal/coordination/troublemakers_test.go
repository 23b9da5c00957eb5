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

// simFaults are the faults that messages, machines and users are subject to now. Those of one controller
// or worker are in controllerFaults and workerFaults.
type simFaults struct {
	messageLoss         float64       // probability that a message is lost, late or loses its answer
	lateTransactions    float64       // share of transactions without an answer that are carried out later, after newer ones
	duplicateHeartbeats float64       // share of heartbeats of which a copy arrives later, up to more than a lease
	randomLinkReports   bool          // the link reports in peers' heartbeats are drawn, not true
	slowLinksUntil      time.Duration // links between machines, users and controllers
	slowWritesUntil     time.Duration // transactions are carried out late, though within their time-out
	quickBoots          bool          // machines are up within two seconds
	scarceCapacity      bool          // the cloud has less capacity than there is work

	losesReply     func(n *simController, t protocol.Txn) bool // picks transactions that are carried out at once and whose answer is lost
	delaysDeletion func(names []string) bool                   // picks deletions that are carried out late

	heldBackShare float64           // share of heartbeats that are held back until a new leader has acted
	heldBack      map[string][]byte // by machine
	copiedShare   float64           // share of heartbeats of which a copy is kept for the next leader
	copied        map[string][]byte // by machine

	queryEverywhere  bool    // users query all controllers, within milliseconds
	cancelAtEnd      float64 // share of jobs that are cancelled at the moment of their end
	cancelAtFailover float64 // share of jobs that are cancelled as their machine changes its holder
}

// simDefects break the stand-ins or the controllers on purpose, so that the checkers are seen to find it.
type simDefects struct {
	productionAsLow       bool // production jobs are submitted as idle ones
	noCancellationReplies bool // peers name no cancellations
	noRelays              bool // no controller relays calls of the state service
	readOnlyComparesHold  bool // the state service confirms every comparison of a transaction without operations
	emptyTaskLists        bool // heartbeats list no tasks
	ignoreKills           bool // workers kill no task
	ignoreLeaseExpiry     bool // workers go on with their tasks when their lease has expired
	wrongZones            bool // some workers report a wrong zone
	forgedHeartbeats      bool // copies of heartbeats show the newest fencing token, and that everything is done
}

// faultCounts count how often a fault had an effect, so that a test fails on which it had none.
type faultCounts struct {
	affected            int // tasks, machines or jobs that the day's fault concerned; see each faultDay
	leaderCrashes       int
	hungAtCancel        int            // machines that hang as their jobs are cancelled
	directWhileIsolated int            // direct commands and queries that reached a machine which reaches no controller
	delayedCommands     int            // commands delayed by a link or a machine that hangs
	expiredLeases       int            // of workers with tasks
	earlyBoots          int            // machines up before the rental's record named them
	unsentHeartbeats    int            // of machines that reach no controller
	lostReplies         int            // of transactions
	lostRepliesByKind   map[string]int // the same, by the kind of record
	groupFailovers      int            // written
	replacedClaims      int            // claims written of machines that had one
	holderChanges       int            // of machines
	lateHeartbeats      int            // held back or copied, and delivered to a new leader
	concurrentQueries   int            // within milliseconds
	requestsAtEnd       int            // at the moment of a job's end
	invalidRequests     int
	lateStarts          int // of tasks after the user was told that the job is cancelled
	deletedInUse        int // machines deleted with tasks on them that nobody had given up
}

// controllerFaults are the faults of one controller and its links.
type controllerFaults struct {
	unreachableUntil     map[string]time.Duration // by link: "state", "workers", "peers", "users", "cloud", "zone:Z" (the workers of a zone), "to:N" (messages to a peer)
	resetLinks           map[string]bool          // unreachable links that fail at once, instead of at the time-out
	refusedUntil         time.Duration            // by the state service, this controller alone
	pausedUntil          time.Duration            // the process stands still, and its clock does not
	clockDrift           float64                  // of its monotonic clock, as a fraction
	repliesLostUntil     time.Duration            // the answers to its transactions
	commandsDelayedUntil time.Duration            // direct commands of now arrive after that
	watchDelayedUntil    time.Duration            // watches are answered late, transactions are not
}

// workerFaults are the faults of one machine.
type workerFaults struct {
	faulty            bool          // every task fails there
	hungUntil         time.Duration // it stands still, and takes in late what came meanwhile
	unresponsiveUntil time.Duration // answers and direct commands to it are lost
	isolatedUntil     time.Duration // it reaches no controller, while direct commands reach it
	messageLoss       float64       // share of answers and direct commands that is lost at any time
	unshippedUntil    time.Duration // output waits to be shipped
	observed          bool          // its tasks are counted, see countLeaseKills
}

// hop is how long a message takes between machines, users and controllers.
func (s *sim) linkDelay() time.Duration {
	if s.faults.slowLinksUntil > s.now {
		return s.randomMillis(50, 1200)
	}
	return s.randomMillis(0.2, 3)
}

// loses tells whether a call is a transaction whose answer alone is lost.
func (n *simController) losesReply(k protocol.Call) bool {
	if n.s.faults.losesReply == nil || k.Target != protocol.ToStateService || k.Path != protocol.PathTxn {
		return false
	}
	var t protocol.Txn
	_ = json.Unmarshal(k.Body, &t)
	if len(t.Ops) == 0 || !n.s.faults.losesReply(n, t) {
		return false
	}
	n.s.faultCounts.lostReplies++
	return true
}

// loseAnswers has the answers to a share of the transactions lost for a while.
func (s *sim) loseReplies(share float64, long time.Duration) {
	until := s.now + long
	s.faults.losesReply = func(*simController, protocol.Txn) bool { return s.now < until && s.random.Float64() < share }
}

// touches tells whether a transaction writes or drops a kind of record.
func writesKind(t protocol.Txn, kind string) bool {
	for _, o := range t.Ops {
		if strings.HasPrefix(o.Put+o.Delete, kind) {
			return true
		}
	}
	return false
}

// keepCopy keeps a report's copy for whoever leads next.
func (s *sim) keepHeartbeatCopy(w *simWorker, reply protocol.Heartbeat) {
	if s.faults.copiedShare > 0 && s.random.Float64() < s.faults.copiedShare {
		if s.faults.copied == nil {
			s.faults.copied = map[string][]byte{}
		}
		s.faults.copied[w.name] = encode(reply)
	}
}

// holdBack keeps a report itself: it does not arrive before a new leader has acted.
func (s *sim) holdBackHeartbeat(w *simWorker, reply protocol.Heartbeat) bool {
	if s.faults.heldBackShare == 0 || s.random.Float64() >= s.faults.heldBackShare {
		return false
	}
	if s.faults.heldBack == nil {
		s.faults.heldBack = map[string][]byte{}
	}
	s.faults.heldBack[w.name] = encode(reply)
	return true
}

// claimed sees a claim being written: where the machine changes hands, reports that were held back or kept
// arrive, and users may call jobs off.
func (s *sim) claimWritten(key string, data json.RawMessage) {
	if data == nil {
		return
	}
	if group, is := strings.CutPrefix(key, keyTakeover); is {
		s.failoverWritten(group, data)
		return
	}
	name, is := strings.CutPrefix(key, keyClaim)
	if !is {
		return
	}
	var now, was claimRecord
	_ = json.Unmarshal(data, &now)
	if old, ok := s.state.keys[key]; ok {
		_ = json.Unmarshal(old.value, &was)
		s.faultCounts.replacedClaims++
	}
	if now.Owner != was.Owner || now.Incarnation != was.Incarnation {
		s.holderChanged(name, now.Owner)
	}
}

// takenOver sees the take-over of a group being written: what happens to a worker that changes hands
// happens to all of it.
func (s *sim) failoverWritten(key string, data json.RawMessage) {
	s.faultCounts.groupFailovers++
	var successor failover.Holder
	_ = json.Unmarshal(data, &successor)
	g, _ := failover.ParseKey(key)
	for _, id := range sortedKeys(s.cloud.machines) {
		var own claimRecord
		_ = json.Unmarshal(s.state.keys[keyClaim+id].value, &own)
		holder := failover.Holder{Node: own.Owner, Incarnation: own.Incarnation, Epoch: own.Epoch}
		if failover.GroupOf(holder, id, own.Zone) == g {
			s.holderChanged(id, successor.Node)
		}
	}
}

// changesHands has reports of a machine that were held back or kept arrive as it gets another holder.
func (s *sim) holderChanged(name, owner string) {
	s.faultCounts.holderChanges++
	if body, ok := s.faults.heldBack[name]; ok {
		delete(s.faults.heldBack, name)
		for _, n := range s.controllers {
			if n.name == owner {
				s.faultCounts.lateHeartbeats++
				s.after(s.randomMillis(1, 4000), func() { n.deliverLate(name, body) })
			}
		}
	}
	if body, ok := s.faults.copied[name]; ok {
		delete(s.faults.copied, name)
		for _, n := range s.controllers {
			s.faultCounts.lateHeartbeats++
			s.after(s.randomMillis(0, 1500), func() { n.deliverLate(name, body) })
		}
	}
	w := s.cloud.machines[name]
	if w == nil || s.faults.cancelAtFailover == 0 {
		return
	}
	for _, k := range sortedKeys(w.tasks) {
		u := s.users[w.tasks[k].jobID]
		if u != nil && !u.cancelRequested && s.random.Float64() < s.faults.cancelAtFailover {
			s.faultCounts.affected++
			s.after(s.randomMillis(0, 1000), u.cancel)
		}
	}
}

// old is a report that was kept, as it arrives.
func (s *sim) forgeHeartbeat(name string, body []byte) []byte {
	if !s.defects.forgedHeartbeats {
		return body
	}
	var r protocol.Heartbeat
	_ = json.Unmarshal(body, &r)
	r.FencingToken, r.Sequence = s.state.keys[keyClaim+name].modRevision, r.Sequence+1_000_000
	if w := s.cloud.machines[name]; w != nil {
		r.AgentEpoch, r.Tasks = w.agentEpoch, w.heartbeat().Tasks
	}
	for i := range r.Tasks {
		r.Tasks[i].Status, r.Tasks[i].Cause = protocol.TaskEnded, protocol.CauseDone
	}
	return encode(r)
}

// hearsLate has a controller get a report that was kept; nobody waits for its answer.
func (n *simController) deliverLate(name string, body []byte) {
	n.deliver("POST", protocol.PathHeartbeat, n.s.forgeHeartbeat(name, body), func(int, []byte) {})
}

// countEarly counts machines that are up before anybody could have read that they were rented.
func (s *sim) countEarlyBoot(w *simWorker) {
	for key, v := range s.state.keys {
		if strings.HasPrefix(key, keyRental) && bytes.Contains(v.value, []byte(`"`+w.name+`"`)) {
			return
		}
	}
	s.faultCounts.earlyBoots++
}

// tellsZone is the zone that a worker reports.
func (w *simWorker) reportedZone() string {
	if !w.s.defects.wrongZones || len(w.name) == 0 || w.name[len(w.name)-1]%3 > 0 {
		return w.zone
	}
	return map[string]string{"a": "b", "b": "a", "c": "a"}[w.zone]
}

// oldReports has every controller hear all copies that are kept.
func (s *sim) deliverCopies(within time.Duration) {
	copies := s.faults.copied
	s.faults.copied = nil
	for _, name := range sortedKeys(copies) {
		body := copies[name]
		for _, n := range s.controllers {
			s.after(s.randomMillis(0, 1000*within.Seconds()), func() {
				s.faultCounts.lateHeartbeats++
				n.deliverLate(name, body)
			})
		}
	}
}

// cancelNow has users call off so many jobs that run and have long to go, within a fifth of a second; some of
// their machines, eight at the most, hang for a time.
func (s *sim) cancelRunning(count int, hang time.Duration) {
	hung := 0
	for _, id := range sortedKeys(s.users) {
		u := s.users[id]
		if count == 0 || u.cancelRequested || u.finalStatus != "" || !u.accepted || u.tasksStarted == 0 || u.runtimeS < 5 && u.spec.Shape != job.Service {
			continue
		}
		count--
		s.after(s.randomMillis(0, 200), u.cancel)
		for _, w := range s.cloud.sortedMachines() {
			if hang > 0 && hung < 8 && w.up && w.runsJob(id) && w.hungUntil <= s.now {
				hung++
				s.faultCounts.hungAtCancel++
				s.after(s.randomMillis(0, 300), func() { w.hungUntil = s.now + hang })
			}
		}
	}
}

func (w *simWorker) runsJob(id string) bool {
	for _, l := range w.tasks {
		if l.jobID == id && l.status != protocol.TaskEnded {
			return true
		}
	}
	return false
}

// ends is the moment of a task's end: at a job's last one some users call it off, ask, or submit it again.
func (u *simUser) taskEnded() {
	s := u.s
	for _, d := range u.done {
		if !d {
			return
		}
	}
	if s.faults.cancelAtEnd == 0 || s.random.Float64() >= s.faults.cancelAtEnd {
		return
	}
	s.faultCounts.requestsAtEnd++
	for range 1 + s.random.IntN(2) {
		s.after(s.randomMillis(0, 1500), func() {
			switch s.random.IntN(3) {
			case 0:
				u.sendSubmission()
			case 1:
				u.cancel()
			}
			u.queryEverywhere()
		})
	}
}

// lookClosely has the user ask at all nodes, and some submit again or cancel again, within milliseconds.
func (u *simUser) queryEverywhere() {
	s := u.s
	if !s.faults.queryEverywhere {
		return
	}
	for _, n := range s.controllers {
		for range 2 {
			s.faultCounts.concurrentQueries++
			s.after(s.randomMillis(0, 60), func() { u.askAt(n) })
		}
		switch s.random.IntN(8) {
		case 0:
			s.after(s.randomMillis(0, 60), func() { u.resubmit(n, u.body) })
		case 1:
			if u.cancelRequested || u.finalStatus == "done" {
				s.after(s.randomMillis(0, 60), u.cancelAgain)
			}
		}
	}
}

// repeat submits the job once more at a node: once known, it is never refused.
func (u *simUser) resubmit(n *simController, body []byte) {
	before := u.knownStatus()
	n.request("users", "POST", protocol.PathJobs, body, func(st int, b []byte) {
		switch {
		case st == 200 || st == 201 && !before.known:
			u.accepted = true
			u.checkAnswer(b, before)
		case before.known && (st == 201 || st == 400 || st == 422 || st == 404):
			u.s.violation("forgotten", "%s repeated: %d %s", u.spec.ID, st, b)
		}
	})
}

// cancelAgain asks once for a cancellation of what is over or was cancelled before.
func (u *simUser) cancelAgain() {
	before := u.knownStatus()
	u.s.anyController().request("users", "POST", protocol.PathJobs+"/"+u.spec.ID+"/abort", nil, func(st int, b []byte) { u.cancelAnswered(st, b, before) })
}

// aborted judges the answer to a cancellation, and tells whether it is one.
func (u *simUser) cancelAnswered(st int, body []byte, before knownStatus) bool {
	if st == 404 && before.known {
		u.s.violation("forgotten", "%s can't be cancelled", u.spec.ID)
	}
	if st == 200 {
		u.checkAnswer(body, before)
	}
	return st == 200
}

// oddRequests has users repeat submissions, also with other content, cancel what is done, and send what fits
// no machine or lacks a field.
func (s *sim) sendInvalidRequests(until time.Duration) {
	if s.now > until {
		return
	}
	s.faultCounts.invalidRequests++
	ids := sortedKeys(s.users)
	if len(ids) > 0 {
		u := s.users[ids[s.random.IntN(len(ids))]]
		if u.known {
			body := u.body
			if s.random.IntN(2) == 0 {
				body = invalidBody(s, body, u.spec.ID)
			}
			u.resubmit(s.anyController(), body)
		}
		if u.finalStatus == "done" {
			u.cancelAgain()
		}
		id := fmt.Sprintf("wk-8%05d", s.random.IntN(100_000))
		if s.users[id] == nil {
			n, body := s.anyController(), invalidBody(s, u.body, id)
			n.request("users", "POST", protocol.PathJobs, body, func(st int, b []byte) {
				if st == 200 || st == 201 {
					s.violation("accepted", "%s: %d %s", body, st, b)
				}
			})
		}
	}
	s.after(s.randomMillis(100, 900), func() { s.sendInvalidRequests(until) })
}

// oddBody is a submission that can't be accepted: a field is missing, or it fits no machine.
func invalidBody(s *sim, body []byte, id string) []byte {
	var m map[string]any
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	_ = d.Decode(&m)
	m["ref"] = id
	fields := []string{"jobclass", "crew", "shape", "urgency", "loads", "cpus", "accelerators", "ramGb", "kit", "sizeGb", "oneZone", "apart", "casual", "etaS", "waypointS", "stowS"}
	switch s.random.IntN(4) {
	case 0:
		m["cpus"] = 10_000
	case 1:
		m["rigs"] = []string{"none"}
	case 2:
		m["crew"] = "nobody"
	default:
		delete(m, fields[s.random.IntN(len(fields))])
	}
	return encode(m)
}

// countLateStart counts what begins after its user was told that the job is cancelled. Within cancel_s that
// breaks no rule.
func (s *sim) countLateStart(u *simUser) {
	if u.cancelledAt > 0 {
		s.faultCounts.lateStarts++
	}
}

// judgeReturn counts machines that are returned while work runs there that was not given up: nobody called the
// machine silent, failed, faulty or recalled, and the job is not over.
func (s *sim) countDeletionInUse(w *simWorker) {
	switch s.state.drainReasons[keyDrain+w.name] {
	case "", drainIdle, drainStray, drainLost:
	default:
		return
	}
	if w.dead || !w.up || s.now < w.hungUntil {
		return
	}
	for _, k := range sortedKeys(w.tasks) {
		if u := s.users[w.tasks[k].jobID]; u != nil && w.tasks[k].status != protocol.TaskEnded && u.finalStatus == "" && !u.cancelRequested && !w.isOutdated(w.tasks[k]) {
			s.faultCounts.deletedInUse++
			if s.output.trace != nil {
				fmt.Fprintf(s.output.trace, "%8.3f INUSE %s returned with %s\n", s.now.Seconds(), w.name, k)
			}
		}
	}
}

// outdated tells whether the records do not bind an attempt to its machine any more.
func (w *simWorker) isOutdated(l *simTask) bool {
	for _, n := range w.s.controllers {
		if n.core == nil {
			continue
		}
		if r := n.core.jobs.byID[l.jobID]; r != nil {
			if t := r.task(n.core, l.index); t != nil && t.Phase == job.Bound && t.Machine == w.name && t.Attempt == l.attempt {
				return false
			}
		}
	}
	return true
}

// roomWait is since when a job has waited beside room, without a break.
type roomWait struct {
	since        time.Duration
	tasksStarted int
}

const maxRoomWait = 90 * time.Second

// watchRoom judges that no job waits beside room: a machine that fits holds it, its team is under its limit, and
// nothing of it has started for 90 s. A gang needs room for all its tasks.
func (s *sim) watchIdleCapacity() {
	use := map[string]float64{}
	on := map[string]map[int]bool{}
	zones := map[string]map[string]int{}
	for _, w := range s.workers {
		for _, l := range w.tasks {
			u := s.users[l.jobID]
			if u == nil || l.status == protocol.TaskEnded {
				continue
			}
			use[u.spec.Team] += u.spec.GPUs
			if on[l.jobID] == nil {
				on[l.jobID], zones[l.jobID] = map[int]bool{}, map[string]int{}
			}
			on[l.jobID][l.index] = true
			zones[l.jobID][w.zone]++
		}
	}
	var usable []*simWorker
	for _, w := range s.cloud.sortedMachines() {
		_, drained := s.state.keys[keyDrain+w.name]
		if w.up && !w.dead && !drained && !w.faulty && w.unshippedUntil <= s.now && max(w.hungUntil, w.unresponsiveUntil, w.isolatedUntil) <= s.now && w.messageLoss == 0 {
			usable = append(usable, w)
		}
	}
	for _, id := range sortedKeys(s.users) {
		u := s.users[id]
		started := u.tasksStarted + u.restarts
		if u.roomWait.since == 0 || !u.accepted || u.cancelRequested || u.failsEverywhere || u.failures > 0 || u.finalStatus != "" || started != u.roomWait.tasksStarted || !u.couldStart(usable, on[id], zones[id], use[u.spec.Team]) {
			u.roomWait = roomWait{s.now, started}
			continue
		}
		if s.now-u.roomWait.since > maxRoomWait {
			s.violation("waits beside room", "%s (%s of %d, team %s)", id, u.spec.Shape, u.spec.Tasks, u.spec.Team)
			u.roomWait.since = s.now
		}
	}
	s.after(time.Second, s.watchIdleCapacity)
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
			if !sp.AllowsMachineType(w.machineType) || w.spot && !sp.Spot || sp.Zone != "" && sp.Zone != w.zone || sp.OneZone && (w.zone != only || len(zones) > 0 && zones[w.zone] == 0) {
				continue
			}
			t := s.cloud.machineTypes[w.machineType]
			g, c := t.GPUs, t.CPUs
			for _, l := range w.tasks {
				if o := s.users[l.jobID]; o != nil && l.status != protocol.TaskEnded {
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
