package coordination

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"silvergate/internal/failover"
	"silvergate/internal/protocol"
)

// Fault injection. The operators' page defines what each fault means. The stand-ins call the functions in this file
// where a fault takes effect.

// simFaults are the faults that currently affect all messages, machines and users. The faults of a single controller
// or worker are in controllerFaults and workerFaults.
type simFaults struct {
	messageLoss         float64       // probability that a message is lost, is late or loses its answer
	lateTransactions    float64       // share of transactions that are not answered and are carried out late, after newer ones
	duplicateHeartbeats float64       // share of heartbeats of which a copy arrives late, up to 1.3 leases after the original was sent
	copiedCommands      float64       // share of executed and answered direct commands of which copies arrive later, up to three of each
	copiedRequests      float64       // share of all other requests, and of messages between controllers, of which a copy arrives later
	randomLinkReports   bool          // the link reports in peers' heartbeats are random instead of true
	slowLinksUntil      time.Duration // links between machines, users and controllers are slow
	slowWritesUntil     time.Duration // transactions are carried out late, but within their timeout
	quickBoots          bool          // machines boot within two seconds
	scarceCapacity      bool          // the cloud has less capacity than there is work

	losesReply     func(n *simController, t protocol.Txn) bool // selects transactions that are carried out at once and whose answer is lost
	delaysDeletion func(names []string) bool                   // selects deletions that are carried out late

	heldBackShare float64           // share of heartbeats that are held back until the machine has a new owner
	heldBack      map[string][]byte // last heartbeat held back, by machine
	copiedShare   float64           // share of heartbeats of which a copy is stored for the next owner
	copied        map[string][]byte // last heartbeat copied, by machine

	queryEverywhere  bool    // users query all controllers within milliseconds
	cancelAtEnd      float64 // share of jobs whose users send requests at the moment of their end
	cancelAtFailover float64 // probability that a job is cancelled when a machine that runs it gets another owner
}

// simDefects break the stand-ins or the controllers on purpose, to show that the checkers detect each defect.
type simDefects struct {
	productionAsLow       bool // production jobs are submitted with low priority
	noCancellationReplies bool // peers' cancellation replies list no cancelled jobs
	noRelays              bool // no controller relays calls to the state service
	readOnlyComparesHold  bool // every comparison of a transaction without operations succeeds
	emptyTaskLists        bool // heartbeats list no tasks
	ignoreKills           bool // workers ignore kill commands
	ignoreLeaseExpiry     bool // workers keep running their tasks when their lease has expired
	wrongZones            bool // some workers report a wrong zone
	copiesIgnoreTokens    bool // workers execute copies of direct commands whatever token and agent epoch these name
	forgedHeartbeats      bool // stored heartbeats are delivered with the newest fencing token and with all tasks done
}

// faultCounts counts the effects of faults, so that a test can fail if a fault had none.
type faultCounts struct {
	affected            int // tasks, machines or jobs that the day's fault affected; see each faultDay
	busiestCrashes      int
	hungAtCancel        int            // machines that hang when their jobs are cancelled
	directWhileIsolated int            // direct commands and queries to machines that reach no controller
	delayedCommands     int            // direct requests delayed by a link or a hung machine
	expiredLeases       int            // leases of workers with tasks
	earlyBoots          int            // machines that are up before a rental record names them
	unsentHeartbeats    int            // by machines that reach no controller
	copiedCommands      int            // copies of direct commands that arrived under a token and agent epoch that still matched
	copiedRequests      int            // copies of other requests and of messages between controllers
	revivedAttempts     int            // attempts that such a copy started after the worker had been told to forget them
	lostReplies         int            // to transactions
	lostRepliesByKind   map[string]int // the same, by kind of record (key prefix)
	groupFailovers      int            // failover records written
	replacedClaims      int            // claims written for machines that had one
	ownerChanges        int            // machines that got another owner
	lateHeartbeats      int            // heartbeats that were held back or copied, and delivered late
	concurrentQueries   int            // queries sent to all controllers within milliseconds
	requestsAtEnd       int            // jobs whose users sent requests at the moment of their end
	invalidRequests     int
	lateStarts          int // starts of tasks after the cancellation of their job was confirmed to the user
	deletedInUse        int // tasks that were not given up when their machine was deleted; see countDeletionInUse
}

// controllerFaults are the faults of one controller and its links.
type controllerFaults struct {
	unreachableUntil     map[string]time.Duration // by link: "state", "workers", "peers", "users", "cloud", "zone:Z" (the workers of a zone), "to:N" (messages to a peer)
	resetLinks           map[string]bool          // links that fail at once while unreachable, not at the timeout
	refusedUntil         time.Duration            // the state service refuses this controller alone
	pausedUntil          time.Duration            // the process is paused while its clock runs on
	clockDrift           float64                  // relative rate error of its monotonic clock
	repliesLostUntil     time.Duration            // answers to its transactions are lost
	commandsDelayedUntil time.Duration            // direct commands sent before this time arrive after it
	watchDelayedUntil    time.Duration            // watches are answered late; transactions are not
}

// workerFaults are the faults of one machine.
type workerFaults struct {
	faulty            bool          // every task fails on it
	hungUntil         time.Duration // the machine hangs, and handles direct requests that arrive meanwhile after it resumes
	unresponsiveUntil time.Duration // answers and direct requests to it are lost
	isolatedUntil     time.Duration // it reaches no controller, while direct requests reach it
	messageLoss       float64       // share of answers and direct requests to it that are lost at any time
	observed          bool          // its tasks are counted by countLeaseKills
}

// setShareFor sets the share of messages or jobs that a fault affects, and sets it to 0 after a duration.
func (s *sim) setShareFor(duration time.Duration, share *float64, value float64) {
	*share = value
	s.after(duration, func() { *share = 0 })
}

// injectFaults injects a random fault every few seconds until the given time.
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
	switch s.random.IntN(10) {
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
			case 0: // dies and is listed as failed
				w.die()
				w.failed = true
			case 1: // preempted without notice, and listed for 30 s more
				w.die()
				w.preempted = true
				name := w.name
				machines := offering{w.machineType, w.zone, w.spot}
				s.after(30*time.Second, func() { delete(s.cloud.machines, name); s.cloud.capacity[machines]++ })
			case 2:
				w.faulty = true
			}
		}
	case 9:
		s.setShareFor(duration, &s.faults.copiedCommands, 0.3)
		s.setShareFor(duration, &s.faults.copiedRequests, 0.1)
	}
	s.after(s.randomMillis(4_000, 25_000), func() { s.injectFaults(until) })
}

// injectPartitions injects random partitions until the given time. Each makes a controller unreachable, with or
// without its workers, and delays the answers to its watches until some time after the partition. Another
// controller's watches may be late too, a controller may crash and a machine may hang.
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

// forSomeWorkers calls do for a random share of the machines that are up.
func (s *sim) forSomeWorkers(share float64, do func(*simWorker)) {
	for _, w := range s.cloud.sortedMachines() {
		if w.up && s.random.Float64() < share {
			do(w)
		}
	}
}

// crashBusiestRepeatedly crashes the busiest controller eleven times, every eleven seconds. Each
// time the controller is down for up to nine seconds.
func (s *sim) crashBusiestRepeatedly() {
	for i := range 11 {
		s.after(time.Duration(11*i)*time.Second, func() {
			s.faultCounts.busiestCrashes++
			s.busiestController().crash(s.randomMillis(300, 9000))
		})
	}
}

// linkDelay returns a random delay for a message between machines, users and controllers.
func (s *sim) linkDelay() time.Duration {
	if s.faults.slowLinksUntil > s.now {
		return s.randomMillis(50, 1200)
	}
	return s.randomMillis(0.2, 3)
}

// losesReply reports whether a call is a transaction that is carried out and whose answer is lost.
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

// loseReplies loses the answers to a random share of the transactions for a time.
func (s *sim) loseReplies(share float64, duration time.Duration) {
	until := s.now + duration
	s.faults.losesReply = func(*simController, protocol.Txn) bool { return s.now < until && s.random.Float64() < share }
}

// writesKind reports whether a transaction writes or deletes a record of a kind, which is the prefix of its key.
func writesKind(txn protocol.Txn, kind string) bool {
	for _, op := range txn.Ops {
		if strings.HasPrefix(op.Put+op.Delete, kind) {
			return true
		}
	}
	return false
}

// storeHeartbeatCopy stores copies of a random share of the heartbeats for the machine's next owner.
func (s *sim) storeHeartbeatCopy(w *simWorker, heartbeat protocol.Heartbeat) {
	if s.faults.copiedShare > 0 && s.random.Float64() < s.faults.copiedShare {
		if s.faults.copied == nil {
			s.faults.copied = map[string][]byte{}
		}
		s.faults.copied[w.name] = encode(heartbeat)
	}
}

// holdBackHeartbeat holds back a random share of the heartbeats until their machine has a new owner, and reports
// whether it held back this one.
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

// recordWritten is called for each record that is written or deleted. If a claim or a failover gives a machine another
// owner, it has ownerChanged deliver the machine's late heartbeats and cancel jobs.
func (s *sim) recordWritten(key string, data json.RawMessage) {
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
		s.ownerChanged(name, claim.Owner)
	}
}

// failoverWritten is called for each failover record that is written: all workers of the group get another owner.
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
			s.ownerChanged(machine, successor.Node)
		}
	}
}

// ownerChanged is called when a machine gets another owner. It delivers the machine's heartbeats that were held
// back or copied, and cancels some of the jobs on the machine.
func (s *sim) ownerChanged(name, owner string) {
	s.faultCounts.ownerChanges++
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

// forgeHeartbeat returns a stored heartbeat unchanged, unless the forgedHeartbeats defect is on.
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

// deliverLate delivers a stored heartbeat to the controller and ignores the answer.
func (n *simController) deliverLate(name string, body []byte) {
	n.deliver("POST", protocol.PathHeartbeat, n.s.forgeHeartbeat(name, body), func(int, []byte) {})
}

// deliverCopies delivers all stored heartbeat copies to every controller within a time.
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

// countEarlyBoot counts a machine that is up before any rental record names it, and so before any controller could
// have read that it was rented.
func (s *sim) countEarlyBoot(w *simWorker) {
	for key, v := range s.state.keys {
		if strings.HasPrefix(key, keyRental) && bytes.Contains(v.value, []byte(`"`+w.name+`"`)) {
			return
		}
	}
	s.faultCounts.earlyBoots++
}

// maxCommandCopies is how many copies of a direct command may arrive.
const maxCommandCopies = 3

// copyCommands has copies of a random share of the executed direct commands arrive later. Nobody waits for their answers.
func (s *sim) copyCommands(w *simWorker, direct protocol.DirectCommands) {
	if s.faults.copiedCommands == 0 || s.random.Float64() >= s.faults.copiedCommands {
		return
	}
	for range 1 + s.random.IntN(maxCommandCopies) {
		s.after(s.copyDelay(), func() { w.receiveCopy(direct) })
	}
}

// receiveCopy executes a late copy of a direct command, if the worker accepts it.
func (w *simWorker) receiveCopy(direct protocol.DirectCommands) {
	s := w.s
	if w.dead || !w.up {
		return
	}
	if s.now < w.hungUntil {
		s.after(w.hungUntil-s.now+time.Millisecond, func() { w.receiveCopy(direct) })
		return
	}
	if !w.accepts(direct) && !s.defects.copiesIgnoreTokens {
		return
	}
	s.faultCounts.copiedCommands++
	for _, command := range direct.Commands {
		if command.Verb == protocol.VerbLaunch && w.tasks[simTaskKey(command)] == nil {
			s.faultCounts.revivedAttempts++
		}
	}
	w.fencingToken = max(w.fencingToken, direct.FencingToken)
	w.execute(direct.Commands)
}

// copyDelay returns how long after a request or message a copy of it arrives.
func (s *sim) copyDelay() time.Duration { return s.randomMillis(300, 20_000) }

// copies reports whether a copy of a request or message is to arrive later.
func (s *sim) copies() bool {
	if s.faults.copiedRequests == 0 || s.random.Float64() >= s.faults.copiedRequests {
		return false
	}
	s.faultCounts.copiedRequests++
	return true
}

// copyCall has a copy of an executed call to the state service or the cloud arrive later, if the call changes anything.
func (n *simController) copyCall(call protocol.Call) {
	if call.Target == protocol.ToWorker || call.Method == "GET" || !n.s.copies() {
		return
	}
	n.s.after(n.s.copyDelay(), func() { n.serveUnanswered(call) })
}
