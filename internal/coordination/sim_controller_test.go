package coordination

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/protocol"
)

// simController is the process of one controller. It keeps its name, zone and faults across restarts; every start
// creates a new core.
type simController struct {
	controllerFaults
	s           *sim
	name        string
	zone        string
	core        *Core         // nil while the process is down
	recorded    *RecordedCore // records the inputs of core, which all pass through it
	startedAt   time.Duration
	incarnation int64 // number of starts and crashes; events and answers for an earlier incarnation are dropped
	nextTickAt  time.Duration
	tickCount   int // over all incarnations

	beforeRelays        bool // runs the version before link reports and relayed calls
	beforeGroupFailover bool // runs the version before group failover

	pendingRequests  map[uint64]func(status int, body []byte)
	lastRequestID    uint64
	heartbeatSenders map[uint64]string // worker of each unanswered heartbeat, by request ID
	waitingSince     map[zoneWait]time.Duration
	archive          *config.Archive // nil: off
}

// newSimController returns the controller with the given number, not yet started.
func newSimController(s *sim, number int) *simController {
	return &simController{s: s, name: fmt.Sprintf("n%d", number), zone: s.facts.Zones[number%2],
		controllerFaults: controllerFaults{unreachableUntil: map[string]time.Duration{}}}
}

// start begins a new incarnation, with an empty core.
func (n *simController) start() {
	s := n.s
	n.incarnation++
	n.startedAt = s.now
	n.pendingRequests, n.heartbeatSenders, n.waitingSince = map[uint64]func(int, []byte){}, map[uint64]string{}, map[zoneWait]time.Duration{}
	cfg := &config.Settings{Node: n.name, Zone: n.zone, Facts: s.advertised, Operator: config.DefaultOperator()}
	cfg.Operator.Archive = n.archive
	cfg.Operator.GroupTakeover, cfg.Operator.CompletionLog = !s.options.perWorkerFailover, s.options.completionLog
	if s.options.dataSets != nil {
		cfg.Operator.Staging = &config.Staging{ServerStreams: 6, PeerStreams: 2, MachineStreams: 1, RateMBPerS: 100}
	}
	for _, o := range s.controllers {
		if o != n {
			cfg.Peers = append(cfg.Peers, config.Peer{Node: o.name, Zone: o.zone})
		}
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if s.output.trace != nil {
		log = slog.New(slog.NewTextHandler(traceWriter{s}, &slog.HandlerOptions{Level: slog.LevelDebug})).With("node", n.name)
	}
	seed, incarnation := s.random.Uint64(), n.incarnation*1000+s.now.Milliseconds()+1
	n.core = New(cfg, log, rand.New(rand.NewPCG(seed, 1)), incarnation)
	n.recorded = NewRecordedCore(n.core, s.startRecording(cfg, incarnation, seed))
	n.tick(n.incarnation)
}

// tick has the core do the work that is due, unless the incarnation is over.
func (n *simController) tick(incarnation int64) {
	if n.core == nil || n.incarnation != incarnation {
		return
	}
	if n.pausedUntil > n.s.now {
		n.whenRunning(func() { n.tick(incarnation) })
		return
	}
	n.nextTickAt = 0
	n.tickCount++
	n.applyEffects(n.recorded.Tick(n.clock()))
	n.scheduleTick()
}

// scheduleTick schedules the next tick for the time at which the core is due, as the program does.
func (n *simController) scheduleTick() {
	s, incarnation := n.s, n.incarnation
	if at := s.now + n.core.TimeToNextTick(); n.nextTickAt == 0 || at < n.nextTickAt {
		n.nextTickAt = at
		s.after(at-s.now, func() {
			if n.nextTickAt == at {
				n.tick(incarnation)
			}
		})
	}
}

// whenRunning calls do now or, if the process is paused, when it resumes.
func (n *simController) whenRunning(do func()) {
	if n.pausedUntil > n.s.now {
		n.s.after(n.pausedUntil-n.s.now, do)
		return
	}
	do()
}

// clock returns the controller's monotonic and wall-clock time.
func (n *simController) clock() Timestamp {
	return Timestamp{time.Duration(float64(n.s.now-n.startedAt) * (1 + n.clockDrift)), time.UnixMilli(1_700_000_000_000 + n.s.now.Milliseconds())}
}

// crash ends the process and starts it again after the given downtime.
func (n *simController) crash(down time.Duration) {
	n.core = nil
	n.incarnation++
	n.s.after(down, func() {
		if n.core == nil {
			n.start()
		}
	})
}

// request sends a request to the controller over a link and injects the faults of requests. done is called once,
// with status 0 if no answer arrives within 4 s.
func (n *simController) request(link, method, path string, body []byte, done func(int, []byte)) {
	s := n.s
	answered := false
	once := func(st int, b []byte) {
		if !answered {
			answered = true
			done(st, b)
		}
	}
	s.after(4*time.Second, func() { once(0, nil) })
	if n.unreachableUntil[link] > s.now && n.resetLinks[link] {
		s.after(s.randomMillis(0.2, 3), func() { once(0, nil) })
		return
	}
	if n.unreachableUntil[link] > s.now || s.random.Float64() < s.faults.messageLoss/4 {
		if link != "users" && s.random.IntN(2) == 0 { // delivered late, and not answered
			s.after(s.randomMillis(1000, 60_000), func() { n.deliver(method, path, body, func(int, []byte) {}) })
		}
		return
	}
	s.after(s.linkDelay(), func() { n.deliver(method, path, body, once) })
	if link == "users" && s.copies() {
		s.after(s.copyDelay(), func() { n.deliver(method, path, body, func(int, []byte) {}) })
	}
}

// deliver passes a request that has arrived to the core. done is called when the core answers the request.
func (n *simController) deliver(method, path string, body []byte, done func(int, []byte)) {
	if n.core == nil {
		return
	}
	if n.pausedUntil > n.s.now {
		incarnation := n.incarnation
		n.whenRunning(func() {
			if n.incarnation == incarnation {
				n.deliver(method, path, body, done)
			}
		})
		return
	}
	n.lastRequestID++
	id := n.lastRequestID
	incarnation := n.incarnation
	n.pendingRequests[id] = func(st int, b []byte) {
		n.s.after(n.s.linkDelay(), func() {
			if n.incarnation == incarnation {
				done(st, b)
			}
		})
	}
	if path == protocol.PathHeartbeat {
		if r, err := protocol.ParseHeartbeat(body); err == nil {
			n.heartbeatSenders[id] = r.Worker
		}
	}
	n.applyEffects(n.recorded.Request(n.clock(), id, method, path, body))
}

// applyEffects carries out the effects of a step of the core: it answers requests, sends messages and makes calls.
func (n *simController) applyEffects(e Effects) {
	n.scheduleTick()
	n.s.output.digest.add(n.name, n.s.now, e)
	n.checkLaunchOrder(e)
	for _, response := range e.Responses {
		delete(n.heartbeatSenders, response.ID)
		if done := n.pendingRequests[response.ID]; done != nil {
			delete(n.pendingRequests, response.ID)
			done(response.Status, response.Body)
		}
	}
	for _, message := range e.Sends {
		n.send(message)
	}
	for _, call := range e.Calls {
		n.call(call)
	}
}

// send sends a message to a peer, unless the link between them loses the message.
func (n *simController) send(outgoing Outgoing) {
	s := n.s
	for _, peer := range s.controllers {
		if peer.name != outgoing.To || !n.reachesPeer(peer) || s.random.Float64() < s.faults.messageLoss {
			continue
		}
		message, ok := n.decodedBy(peer, outgoing.Message)
		if !ok {
			continue
		}
		deliver := func() {
			incarnation := peer.incarnation
			peer.whenRunning(func() {
				if peer.core != nil && peer.incarnation == incarnation {
					peer.applyEffects(peer.recorded.Peer(peer.clock(), n.name, message))
				}
			})
		}
		s.after(s.randomMillis(0.2, 5), deliver)
		if s.copies() {
			s.after(s.copyDelay(), deliver)
		}
	}
}

// call makes a call to a stand-in and injects the faults of calls. The core gets one reply, with status 0 if none
// arrives within the call's timeout.
func (n *simController) call(call protocol.Call) {
	s := n.s
	reply := n.replyOnce(call.ID)
	s.after(call.Timeout, func() { reply(0, nil) })
	link := n.linkOf(call)
	if n.unreachableUntil[link] > s.now && n.resetLinks[link] {
		s.after(s.randomMillis(0.2, 3), func() { reply(0, nil) })
		return
	}
	if n.losesReply(call) {
		s.after(s.randomMillis(1, 5), func() { n.serveUnanswered(call) })
		return
	}
	if n.callFails(call) {
		return
	}
	watch := strings.HasPrefix(call.Path, protocol.PathWatch)
	switch chance := s.random.Float64(); {
	case n.unreachableUntil[link] > s.now || chance < s.faults.messageLoss:
		n.loseCall(call)
	case watch && n.watchDelayedUntil > s.now:
		replyDelay := s.randomMillis(200, 3900)
		s.after(s.randomMillis(1, 5), func() {
			n.serve(call, func(status int, body []byte) { s.after(replyDelay, func() { reply(status, body) }) })
		})
	case watch: // the stand-in delays the answer itself
		s.after(s.randomMillis(1, 5), func() { n.serve(call, reply) })
	case call.Path == protocol.PathTxn && s.faults.slowWritesUntil > s.now:
		s.after(s.randomMillis(200, 1600), func() { n.serveAndReply(call, reply) })
	default:
		s.after(s.randomMillis(1, 5), func() { n.serveAndReply(call, reply) })
	}
}

// replyOnce returns a function that passes the first reply to a call to the core. Replies are dropped if the core
// that made the call is no longer running.
func (n *simController) replyOnce(id uint64) func(status int, body []byte) {
	incarnation := n.incarnation
	answered := false
	return func(status int, body []byte) {
		n.whenRunning(func() {
			if answered || n.core == nil || n.incarnation != incarnation {
				return
			}
			answered = true
			n.applyEffects(n.recorded.Reply(n.clock(), protocol.Reply{ID: id, Status: status, Sent: true, Body: body}))
		})
	}
}

// linkOf returns the link that a call takes, named as in unreachableUntil.
func (n *simController) linkOf(call protocol.Call) string {
	if w := n.s.workers[call.Address]; call.Target == protocol.ToWorker && w != nil && n.unreachableUntil["zone:"+w.zone] > n.s.now {
		return "zone:" + w.zone
	}
	return [...]string{"state", "cloud", "workers"}[call.Target]
}

// serve passes a call to the stand-in that carries it out.
func (n *simController) serve(call protocol.Call, reply func(status int, body []byte)) {
	switch call.Target {
	case protocol.ToStateService:
		n.s.state.serve(n, call, reply)
	case protocol.ToCloud:
		n.s.cloud.serve(call, reply)
	case protocol.ToWorker:
		if w := n.s.workers[call.Address]; w != nil {
			w.serveDirect(call, reply)
		}
	}
}

// serveAndReply has a call carried out and delivers the reply after a random delay of 1 to 5 ms.
func (n *simController) serveAndReply(call protocol.Call, reply func(status int, body []byte)) {
	n.copyCall(call)
	n.serve(call, func(status int, body []byte) {
		n.s.after(n.s.randomMillis(1, 5), func() { reply(status, body) })
	})
}

// serveUnanswered has a call carried out and drops the reply.
func (n *simController) serveUnanswered(call protocol.Call) {
	n.serve(call, func(int, []byte) {})
}

// callFails injects the faults of calls other than random loss and reports whether one of them hits the call. If
// so, the call is carried out, late for some faults, and not answered.
func (n *simController) callFails(call protocol.Call) bool {
	s := n.s
	var delay time.Duration
	switch {
	case call.Path == protocol.PathCommands && n.commandsDelayedUntil > s.now:
		s.faultCounts.delayedCommands++
		delay = n.commandsDelayedUntil - s.now + s.randomMillis(0, 5000)
	case call.Path == protocol.PathTxn && n.repliesLostUntil > s.now:
		delay = s.randomMillis(1, 5)
	case call.Path == protocol.PathTxn && s.faults.lateTransactions > 0 && s.random.Float64() < s.faults.lateTransactions:
		delay = s.randomMillis(2000, 12_000)
	default:
		return false
	}
	s.after(delay, func() { n.serveUnanswered(call) })
	return true
}

// loseCall loses a call or only its answer. A call whose answer is lost may be carried out up to a minute late.
func (n *simController) loseCall(call protocol.Call) {
	s := n.s
	switch s.random.IntN(3) {
	case 0: // lost
	case 1:
		s.after(s.randomMillis(10, 60_000), func() { n.serveUnanswered(call) })
	case 2:
		s.after(s.randomMillis(1, 20), func() { n.serveUnanswered(call) })
	}
}

// owns reports whether the controller owns a worker according to its own records.
func (n *simController) owns(w *simWorker) bool {
	if n.core == nil {
		return false
	}
	m := n.core.machines.byID[w.name]
	return m != nil && n.core.isOwn(m)
}

// anyController returns a random controller.
func (s *sim) anyController() *simController { return s.controllers[s.random.IntN(len(s.controllers))] }

// busiestController returns the controller that owns the most workers according to its own records.
func (s *sim) busiestController() *simController {
	best := s.controllers[0]
	for _, n := range s.controllers {
		if n.core != nil && (best.core == nil || len(n.core.machines.own) > len(best.core.machines.own)) {
			best = n
		}
	}
	return best
}

// otherControllers returns all controllers except n.
func (s *sim) otherControllers(n *simController) (out []*simController) {
	for _, o := range s.controllers {
		if o != n {
			out = append(out, o)
		}
	}
	return out
}
