package coordination

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"silvergate/internal/failover"
	"silvergate/internal/protocol"
)

// Fault injection, with the meaning that the operators' page gives the faults. The stand-ins call in here
// where a fault takes effect.

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

// injectFaults draws a fault every few seconds until the time given.
func (s *sim) injectFaults(until time.Duration) {
	if s.now > until {
		return
	}
	n := s.anyController()
	duration := s.randomMillis(3_000, 50_000)
	worker := func() *simWorker {
		for _, w := range s.cloud.sortedMachines() {
			if w.up && s.random.IntN(4) == 0 {
				return w
			}
		}
		return nil
	}
	switch s.random.IntN(9) {
	case 0:
		n.crash(s.randomMillis(1_000, 5_000))
	case 1:
		for _, other := range s.controllers {
			other.crash(s.randomMillis(500, 6_000))
		}
	case 2:
		n.unreachableUntil["state"] = s.now + duration
	case 3:
		n.unreachableUntil["workers"] = s.now + duration
	case 4:
		for _, link := range []string{"state", "workers", "peers", "users", "cloud"} {
			n.unreachableUntil[link] = s.now + duration
		}
	case 5:
		n.refusedUntil = s.now + duration
	case 6:
		s.state.downUntil = s.now + s.randomMillis(2_000, 40_000)
	case 7:
		if w := worker(); w != nil {
			w.hungUntil = s.now + s.randomMillis(2_000, 60_000)
		}
	case 8:
		if w := worker(); w != nil {
			switch s.random.IntN(3) {
			case 0: // stops, and is listed as failed
				w.die()
				w.failed = true
			case 1: // preempted without a notice, and listed a while longer
				w.die()
				w.preempted = true
				name := w.name
				machines := offering{w.machineType, w.zone, w.spot}
				s.after(30*time.Second, func() { delete(s.cloud.machines, name); s.cloud.capacity[machines]++ })
			case 2:
				w.faulty = true
			}
		}
	}
	s.after(s.randomMillis(4_000, 25_000), func() { s.injectFaults(until) })
}

// injectPartitions draws partitions until the time given: a controller, with or without its workers, is unreachable,
// and its watch is answered late for a time after that.
func (s *sim) injectPartitions(until time.Duration) {
	if s.now > until {
		return
	}
	n := s.anyController()
	duration := s.randomMillis(5_000, 45_000)
	for _, link := range []string{"state", "peers", "users", "cloud"} {
		n.unreachableUntil[link] = s.now + duration
	}
	if s.random.IntN(2) == 0 {
		n.unreachableUntil["workers"] = s.now + duration
	}
	n.watchDelayedUntil = s.now + duration + s.randomMillis(2000, 15000)
	other := s.anyController()
	other.watchDelayedUntil = max(other.watchDelayedUntil, s.now+s.randomMillis(5000, 30000))
	if s.random.IntN(3) == 0 {
		s.anyController().crash(s.randomMillis(1000, 5000))
	}
	if w := s.cloud.sortedMachines(); len(w) > 0 && s.random.IntN(3) == 0 {
		w[s.random.IntN(len(w))].hungUntil = s.now + s.randomMillis(2_000, 30_000)
	}
	s.after(s.randomMillis(15_000, 50_000), func() { s.injectPartitions(until) })
}

// forSomeWorkers does something to a share of the machines that are up.
func (s *sim) forSomeWorkers(share float64, do func(*simWorker)) {
	for _, w := range s.cloud.sortedMachines() {
		if w.up && s.random.Float64() < share {
			do(w)
		}
	}
}

// crashLeaderRepeatedly crashes the controller with the most workers every eleven seconds, for some seconds.
func (s *sim) crashLeaderRepeatedly() {
	for i := range 11 {
		s.after(time.Duration(11*i)*time.Second, func() {
			s.faultCounts.leaderCrashes++
			s.busiestController().crash(s.randomMillis(300, 9000))
		})
	}
}

// linkDelay is how long a message takes between machines, users and controllers.
func (s *sim) linkDelay() time.Duration {
	if s.faults.slowLinksUntil > s.now {
		return s.randomMillis(50, 1200)
	}
	return s.randomMillis(0.2, 3)
}

// losesReply tells whether a call is a transaction that is carried out and whose answer is lost.
func (n *simController) losesReply(call protocol.Call) bool {
	if n.s.faults.losesReply == nil || call.Target != protocol.ToStateService || call.Path != protocol.PathTxn {
		return false
	}
	var txn protocol.Txn
	_ = json.Unmarshal(call.Body, &txn)
	if len(txn.Ops) == 0 || !n.s.faults.losesReply(n, txn) {
		return false
	}
	n.s.faultCounts.lostReplies++
	return true
}

// loseReplies has the answers to a share of the transactions lost for a while.
func (s *sim) loseReplies(share float64, duration time.Duration) {
	until := s.now + duration
	s.faults.losesReply = func(*simController, protocol.Txn) bool { return s.now < until && s.random.Float64() < share }
}

// writesKind tells whether a transaction writes or deletes a kind of record, which is the prefix of its keys.
func writesKind(txn protocol.Txn, kind string) bool {
	for _, op := range txn.Ops {
		if strings.HasPrefix(op.Put+op.Delete, kind) {
			return true
		}
	}
	return false
}

// storeHeartbeatCopy keeps a copy of a share of the heartbeats for the next holder.
func (s *sim) storeHeartbeatCopy(w *simWorker, heartbeat protocol.Heartbeat) {
	if s.faults.copiedShare > 0 && s.random.Float64() < s.faults.copiedShare {
		if s.faults.copied == nil {
			s.faults.copied = map[string][]byte{}
		}
		s.faults.copied[w.name] = encode(heartbeat)
	}
}

// holdBackHeartbeat keeps a share of the heartbeats themselves: they do not arrive before a new holder has acted.
func (s *sim) holdBackHeartbeat(w *simWorker, heartbeat protocol.Heartbeat) bool {
	if s.faults.heldBackShare == 0 || s.random.Float64() >= s.faults.heldBackShare {
		return false
	}
	if s.faults.heldBack == nil {
		s.faults.heldBack = map[string][]byte{}
	}
	s.faults.heldBack[w.name] = encode(heartbeat)
	return true
}

// claimWritten sees each record that is written. Where a claim gives a machine another holder, heartbeats that were
// held back or copied arrive, and users may cancel jobs.
func (s *sim) claimWritten(key string, data json.RawMessage) {
	if data == nil {
		return
	}
	if group, found := strings.CutPrefix(key, keyFailover); found {
		s.failoverWritten(group, data)
		return
	}
	name, found := strings.CutPrefix(key, keyClaim)
	if !found {
		return
	}
	var claim, previous claimRecord
	_ = json.Unmarshal(data, &claim)
	if old, ok := s.state.keys[key]; ok {
		_ = json.Unmarshal(old.value, &previous)
		s.faultCounts.replacedClaims++
	}
	if claim.Owner != previous.Owner || claim.Incarnation != previous.Incarnation {
		s.holderChanged(name, claim.Owner)
	}
}

// failoverWritten sees the failover of a group: all its workers have another holder.
func (s *sim) failoverWritten(key string, data json.RawMessage) {
	s.faultCounts.groupFailovers++
	var successor failover.Holder
	_ = json.Unmarshal(data, &successor)
	group, _ := failover.ParseKey(key)
	for _, machine := range sortedKeys(s.cloud.machines) {
		var claim claimRecord
		_ = json.Unmarshal(s.state.keys[keyClaim+machine].value, &claim)
		holder := failover.Holder{Node: claim.Owner, Incarnation: claim.Incarnation, Epoch: claim.Epoch}
		if failover.GroupOf(holder, machine, claim.Zone) == group {
			s.holderChanged(machine, successor.Node)
		}
	}
}

// holderChanged has the heartbeats of a machine that were held back or copied arrive as it gets another holder.
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
	for _, key := range sortedKeys(w.tasks) {
		u := s.users[w.tasks[key].jobID]
		if u != nil && !u.cancelRequested && s.random.Float64() < s.faults.cancelAtFailover {
			s.faultCounts.affected++
			s.after(s.randomMillis(0, 1000), u.cancel)
		}
	}
}

// forgeHeartbeat is a kept heartbeat as it arrives: as it was, unless the defect is on.
func (s *sim) forgeHeartbeat(name string, body []byte) []byte {
	if !s.defects.forgedHeartbeats {
		return body
	}
	var heartbeat protocol.Heartbeat
	_ = json.Unmarshal(body, &heartbeat)
	heartbeat.FencingToken, heartbeat.Sequence = s.state.keys[keyClaim+name].modRevision, heartbeat.Sequence+1_000_000
	if w := s.cloud.machines[name]; w != nil {
		heartbeat.AgentEpoch, heartbeat.Tasks = w.agentEpoch, w.heartbeat().Tasks
	}
	for i := range heartbeat.Tasks {
		heartbeat.Tasks[i].Status, heartbeat.Tasks[i].Cause = protocol.TaskEnded, protocol.CauseDone
	}
	return encode(heartbeat)
}

// deliverLate has a controller get a heartbeat that was kept; nobody waits for its answer.
func (n *simController) deliverLate(name string, body []byte) {
	n.deliver("POST", protocol.PathHeartbeat, n.s.forgeHeartbeat(name, body), func(int, []byte) {})
}

// deliverCopies has every controller get all copies that are kept.
func (s *sim) deliverCopies(within time.Duration) {
	copied := s.faults.copied
	s.faults.copied = nil
	for _, name := range sortedKeys(copied) {
		body := copied[name]
		for _, n := range s.controllers {
			s.after(s.randomMillis(0, 1000*within.Seconds()), func() {
				s.faultCounts.lateHeartbeats++
				n.deliverLate(name, body)
			})
		}
	}
}

// countEarlyBoot counts machines that are up before any controller could have read that they were rented.
func (s *sim) countEarlyBoot(w *simWorker) {
	for key, v := range s.state.keys {
		if strings.HasPrefix(key, keyRental) && bytes.Contains(v.value, []byte(`"`+w.name+`"`)) {
			return
		}
	}
	s.faultCounts.earlyBoots++
}
