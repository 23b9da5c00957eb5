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

// simController is one controller's process. Its name, zone and faults last; its core is made anew at
// every start.
type simController struct {
	controllerFaults
	s           *sim
	name        string
	zone        string
	core        *Core         // nil while the process is down
	recorded    *RecordedCore // the core with its recorder in front: all inputs pass through it
	startedAt   time.Duration
	incarnation int64 // number of starts and crashes; what belongs to an earlier one is dropped
	nextTickAt  time.Duration
	tickCount   int // in all its incarnations

	beforeRelays        bool // runs the version before link reports and relayed calls
	beforeGroupFailover bool // runs the version before failover by the group

	pendingRequests  map[uint64]func(status int, body []byte)
	lastRequestID    uint64
	heartbeatSenders map[uint64]string // workers whose heartbeats are being answered, by request
	waitingSince     map[zoneWait]time.Duration
	archive          *config.Archive // nil: off
}

// newSimController is the controller of that number, which is not started.
func newSimController(s *sim, number int) *simController {
	return &simController{s: s, name: fmt.Sprintf("n%d", number), zone: s.facts.Zones[number%2],
		controllerFaults: controllerFaults{unreachableUntil: map[string]time.Duration{}}}
}

func (n *simController) start() {
	s := n.s
	n.incarnation++
	n.startedAt = s.now
	n.pendingRequests, n.heartbeatSenders, n.waitingSince = map[uint64]func(int, []byte){}, map[uint64]string{}, map[zoneWait]time.Duration{}
	cfg := &config.Settings{Node: n.name, Zone: n.zone, Facts: s.advertised, Operator: config.DefaultOperator()}
	cfg.Operator.Archive = n.archive
	cfg.Operator.GroupTakeover, cfg.Operator.EndingLog = !s.options.perWorkerFailover, s.options.completionLog
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
	n.recorded = NewRecordedCore(n.core, s.record(cfg, incarnation, seed))
	n.tick(n.incarnation)
}

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

// plan has the next tick come when the core is due, as the program does.
func (n *simController) scheduleTick() {
	s, incarnation := n.s, n.incarnation
	if at := s.now + n.core.Due(); n.nextTickAt == 0 || at < n.nextTickAt {
		n.nextTickAt = at
		s.after(at-s.now, func() {
			if n.nextTickAt == at {
				n.tick(incarnation)
			}
		})
	}
}

// awake does something when the process does not stand still.
func (n *simController) whenRunning(do func()) {
	if n.pausedUntil > n.s.now {
		n.s.after(n.pausedUntil-n.s.now, do)
		return
	}
	do()
}

func (n *simController) clock() Timestamp {
	return Timestamp{time.Duration(float64(n.s.now-n.startedAt) * (1 + n.clockDrift)), time.UnixMilli(1_700_000_000_000 + n.s.now.Milliseconds())}
}

func (n *simController) crash(down time.Duration) {
	n.core = nil
	n.incarnation++
	n.s.after(down, func() {
		if n.core == nil {
			n.start()
		}
	})
}

// request delivers a request; done is called with status 0 when nothing comes.
func (n *simController) request(who, method, path string, body []byte, done func(int, []byte)) {
	s := n.s
	answered := false
	once := func(st int, b []byte) {
		if !answered {
			answered = true
			done(st, b)
		}
	}
	s.after(4*time.Second, func() { once(0, nil) })
	if n.unreachableUntil[who] > s.now && n.resetLinks[who] {
		s.after(s.randomMillis(0.2, 3), func() { once(0, nil) })
		return
	}
	if n.unreachableUntil[who] > s.now || s.random.Float64() < s.faults.messageLoss/4 {
		if who != "users" && s.random.IntN(2) == 0 { // held back and delivered late
			s.after(s.randomMillis(1000, 60_000), func() { n.deliver(method, path, body, func(int, []byte) {}) })
		}
		return
	}
	s.after(s.linkDelay(), func() { n.deliver(method, path, body, once) })
}

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

func (n *simController) applyEffects(e Effects) {
	s := n.s
	incarnation := n.incarnation
	n.scheduleTick()
	s.output.digest.add(n.name, s.now, e)
	n.checkLaunchOrder(e)
	for _, a := range e.Responses {
		delete(n.heartbeatSenders, a.ID)
		if done := n.pendingRequests[a.ID]; done != nil {
			delete(n.pendingRequests, a.ID)
			done(a.Status, a.Body)
		}
	}
	for _, m := range e.Sends {
		for _, o := range s.controllers {
			if o.name != m.To || !n.tells(o) || s.random.Float64() < s.faults.messageLoss {
				continue
			}
			msg, ok := n.said(o, m.Message)
			if !ok {
				continue
			}
			s.after(s.randomMillis(0.2, 5), func() {
				incarnation := o.incarnation
				o.whenRunning(func() {
					if o.core != nil && o.incarnation == incarnation {
						o.applyEffects(o.recorded.Peer(o.clock(), n.name, msg))
					}
				})
			})
		}
	}
	for _, k := range e.Calls {
		answered := false
		reply := func(st int, body []byte) {
			n.whenRunning(func() {
				if answered || n.core == nil || n.incarnation != incarnation {
					return
				}
				answered = true
				n.applyEffects(n.recorded.Reply(n.clock(), protocol.Reply{ID: k.ID, Status: st, Sent: true, Body: body}))
			})
		}
		s.after(k.Timeout, func() { reply(0, nil) })
		who := [...]string{"state", "cloud", "workers"}[k.Target]
		if w := s.workers[k.Address]; k.Target == protocol.ToWorker && w != nil && n.unreachableUntil["zone:"+w.zone] > s.now {
			who = "zone:" + w.zone
		}
		if n.unreachableUntil[who] > s.now && n.resetLinks[who] {
			s.after(s.randomMillis(0.2, 3), func() { reply(0, nil) })
			continue
		}
		serve := func(reply func(int, []byte)) {
			switch k.Target {
			case protocol.ToStateService:
				s.state.serve(n, k, reply)
			case protocol.ToCloud:
				s.cloud.serve(k, reply)
			case protocol.ToWorker:
				if w := s.workers[k.Address]; w != nil {
					w.serveDirect(k, reply)
				}
			}
		}
		if n.losesReply(k) { // carried out at once, and only the answer is lost
			s.after(s.randomMillis(1, 5), func() { serve(func(int, []byte) {}) })
			continue
		}
		watch := strings.HasPrefix(k.Path, protocol.PathWatch)
		switch { // troubles that are no noise: see meeting_test.go
		case k.Path == protocol.PathCommands && n.commandsDelayedUntil > s.now:
			s.faultCounts.delayedCommands++
			s.after(n.commandsDelayedUntil-s.now+s.randomMillis(0, 5000), func() { serve(func(int, []byte) {}) })
			continue
		case k.Path == protocol.PathTxn && n.repliesLostUntil > s.now:
			s.after(s.randomMillis(1, 5), func() { serve(func(int, []byte) {}) })
			continue
		case k.Path == protocol.PathTxn && s.faults.lateTransactions > 0 && s.random.Float64() < s.faults.lateTransactions:
			s.after(s.randomMillis(2000, 12_000), func() { serve(func(int, []byte) {}) })
			continue
		}
		switch luck := s.random.Float64(); {
		case n.unreachableUntil[who] > s.now || luck < s.faults.messageLoss:
			switch s.random.IntN(3) { // lost, or executed late
			case 0:
			case 1:
				s.after(s.randomMillis(10, 60_000), func() { serve(func(int, []byte) {}) })
			case 2:
				s.after(s.randomMillis(1, 20), func() { serve(func(int, []byte) {}) })
			}
		case watch && n.watchDelayedUntil > s.now:
			late := s.randomMillis(200, 3900)
			s.after(s.randomMillis(1, 5), func() { serve(func(st int, b []byte) { s.after(late, func() { reply(st, b) }) }) })
		case watch:
			s.after(s.randomMillis(1, 5), func() { serve(reply) })
		case k.Path == protocol.PathTxn && s.faults.slowWritesUntil > s.now:
			s.after(s.randomMillis(200, 1600), func() { serve(func(st int, b []byte) { s.after(s.randomMillis(1, 5), func() { reply(st, b) }) }) })
		default:
			s.after(s.randomMillis(1, 5), func() {
				serve(func(st int, b []byte) { s.after(s.randomMillis(1, 5), func() { reply(st, b) }) })
			})
		}
	}
}

// holds tells whether a controller holds a worker, by its own records.
func (n *simController) holds(w *simWorker) bool {
	if n.core == nil {
		return false
	}
	m := n.core.machines.byID[w.name]
	return m != nil && n.core.isOwn(m)
}

func (s *sim) anyController() *simController { return s.controllers[s.random.IntN(len(s.controllers))] }

// busiest is the controller that holds the most workers, by its own records.
func (s *sim) busiestController() *simController {
	best := s.controllers[0]
	for _, n := range s.controllers {
		if n.core != nil && (best.core == nil || len(n.core.machines.own) > len(best.core.machines.own)) {
			best = n
		}
	}
	return best
}

func (s *sim) otherControllers(n *simController) (out []*simController) {
	for _, o := range s.controllers {
		if o != n {
			out = append(out, o)
		}
	}
	return out
}
