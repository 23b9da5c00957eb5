package main

import (
	"encoding/gob"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"silvergate/internal/config"
	"silvergate/internal/connlimit"
	"silvergate/internal/coordination"
	"silvergate/internal/metrics"
	"silvergate/internal/peer"
	"silvergate/internal/protocol"
	"silvergate/internal/recorder"
	"silvergate/internal/transport"
)

// controller connects the core to the transport. Its lock mu serializes the inputs of the core.
type controller struct {
	mu              sync.Mutex
	cfg             *config.Settings
	log             *slog.Logger
	core            *coordination.Core
	inputs          inputHandler     // the core, or a recorder in front of it
	recording       *recorder.Writer // nil: off
	start           time.Time        // when the process started; also the number of its incarnation
	server          *transport.Server
	metricsRenderer *metrics.Renderer // nil: off
	stateCalls      *transport.Pool
	cloudCalls      *transport.Pool
	workerCalls     *transport.Pool
	peers           map[string]*transport.OutLink
	ticks           tickTimer
	connections     connectionWarnings

	stepBegan   time.Duration // when the current step began, as time since start
	longestStep time.Duration
}

// tickTimer is the timer for the next tick of the core. Its times are counted since the start of
// the process.
type tickTimer struct {
	timer   *time.Timer
	nextAt  time.Duration // when the next tick is due; 0: not set
	sweptAt time.Duration // when the connections were last swept
}

// connectionWarnings records the last warning about refused connections.
type connectionWarnings struct {
	refused  uint64 // total of refused connections at the last warning
	warnedAt time.Duration
}

// inputHandler handles the inputs of a core: requests, replies to calls, peer messages and ticks.
type inputHandler interface {
	Request(coordination.Timestamp, uint64, string, string, []byte) coordination.Effects
	Reply(coordination.Timestamp, protocol.Reply) coordination.Effects
	Peer(coordination.Timestamp, string, peer.Message) coordination.Effects
	Tick(coordination.Timestamp) coordination.Effects
}

// newLogger returns a logger that writes records of a level and above to standard error.
func newLogger(level string) *slog.Logger {
	l := slog.LevelInfo
	switch level {
	case "error":
		l = slog.LevelError
	case "debug":
		l = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l}))
}

// memoryShare is the part of the RAM limit that is set as the soft memory limit of the garbage
// collector: well below the limit at which the process would be killed. The rest is for stacks,
// the runtime and bursts.
const memoryShare = 0.6

// requestTimeout is how long a request may take to arrive completely.
const requestTimeout = 10 * time.Second

// serve runs a controller until its server fails.
func serve(cfg *config.Settings) error {
	level := os.Getenv("LOG_LEVEL")
	if level == "" {
		level = cfg.Operator.LogLevel
	}
	debug.SetMemoryLimit(int64(cfg.Facts.Limits.RAMMB * memoryShare * (1 << 20)))
	n := &controller{
		cfg:   cfg,
		log:   newLogger(level).With("node", cfg.Node),
		start: time.Now(),
		peers: map[string]*transport.OutLink{},
	}
	n.connect()
	if err := n.startCore(); err != nil {
		return err
	}
	n.listen()
	n.log.Info("serving", "bind", cfg.Listen, "back", cfg.PeerListen)
	return fmt.Errorf("serve: %w", n.server.Run(cfg.Listen, cfg.PeerListen))
}

// socketTenth returns a tenth of the number of sockets that the process may open. Incoming
// requests may use eight tenths and calls to workers one; the rest is for the state service,
// the cloud and peers.
func (n *controller) socketTenth() int { return n.cfg.Facts.Limits.MaxSockets / 10 }

// connect creates the connection pools for calls and the links to the peers.
func (n *controller) connect() {
	tenth := n.socketTenth()
	n.stateCalls = transport.NewPool(max(8, tenth/2))
	n.cloudCalls = transport.NewPool(tenth / 4)
	n.workerCalls = transport.NewPool(tenth)
	for _, p := range n.cfg.Peers {
		n.peers[p.Node] = transport.NewOutLink(n.cfg.Node, p.Addr)
	}
}

// startCore creates the core, with a recorder in front of it if the operators enabled one.
func (n *controller) startCore() error {
	incarnation := n.start.UnixNano()
	seed := [2]uint64{rand.Uint64(), uint64(incarnation)}
	n.core = coordination.New(n.cfg, n.log, rand.New(rand.NewPCG(seed[0], seed[1])), incarnation)
	n.inputs = n.core
	return n.startRecording(seed)
}

// listen creates the server and starts the ticks.
func (n *controller) listen() {
	if n.cfg.Operator.Metrics {
		n.metricsRenderer = metrics.New(n.cfg.Node, n.currentMetrics)
	}
	maxConns := 8 * n.socketTenth()
	n.server = transport.NewServer(&n.mu, n, requestTimeout, maxConns)
	n.server.ConnLimiter = connlimit.New(connlimit.LimitsFor(maxConns))
	n.server.Classify = connectionClass
	// A worker that sends no request for a whole lease no longer uses its connection: its
	// machine may have been deleted without closing the connection.
	n.server.Idle[connlimit.Worker] = time.Duration(n.cfg.Facts.Workers.Lease * float64(time.Second))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ticks.timer = time.AfterFunc(0, n.onTick)
}

// beginStep begins a step and returns the time of both clocks. The lock must be held.
func (n *controller) beginStep() coordination.Timestamp {
	now := time.Now()
	n.stepBegan = now.Sub(n.start)
	return coordination.Timestamp{Steady: n.stepBegan, Wall: now}
}

// Serve handles a request. The server calls it with the lock held.
func (n *controller) Serve(id uint64, r *transport.Request) {
	path := r.Path
	switch path {
	case metrics.Path:
		if n.serveMetrics(id) {
			return
		}
	case coordination.PathStats:
		n.core.Stats.Connections = n.server.ConnLimiter.Stats()
	case protocol.PathJobList, protocol.PathMachineList, protocol.PathDataSets:
		if r.Query != "" {
			path += "?" + r.Query
		}
	}
	n.apply(n.inputs.Request(n.beginStep(), id, r.Method, path, r.Body))
}

// connectionClass returns the class of a connection by its latest request.
func connectionClass(r *transport.Request) connlimit.Class {
	switch {
	case r.Path == protocol.PathHeartbeat:
		return connlimit.Worker
	case r.Path == protocol.PathJobs, strings.HasPrefix(r.Path, protocol.PathJobs+"/"):
		return connlimit.User
	}
	return connlimit.Operator
}

// warnAboutConnections logs a warning, at most once a minute, if connections were refused since the
// last warning or the workers' connections are near their limit: the site then has more workers
// than its controllers have sockets for.
func (n *controller) warnAboutConnections(now time.Duration) {
	s := n.server.ConnLimiter.Stats()
	if (s.Refused == n.connections.refused && !n.server.ConnLimiter.WorkersNearLimit()) || n.connections.warnedAt > 0 && now-n.connections.warnedAt < time.Minute {
		return
	}
	n.log.Warn("too few sockets to keep a connection for each worker: some reconnect for each heartbeat; give the controllers more sockets or add one",
		"workers", s.Workers, "open", s.Open, "limit", s.Limit, "refused", s.Refused-n.connections.refused, "released", s.Released)
	n.connections.refused, n.connections.warnedAt = s.Refused, now
}

// Decode reads a message of a peer from its gob stream.
func (n *controller) Decode(dec *gob.Decoder) (any, error) {
	var w peer.WireMessage
	err := dec.Decode(&w)
	return w.Message(), err
}

// Message handles a message of a peer. The server calls it with the lock held.
func (n *controller) Message(from string, m any) {
	n.apply(n.inputs.Peer(n.beginStep(), from, m.(peer.Message)))
}

// onTick runs when the tick timer fires. It sweeps the connections, expires calls and ticks the
// core. The controller has a timer of its own because evio's would wake two threads for each
// tick.
func (n *controller) onTick() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ticks.nextAt = 0
	t := n.beginStep()
	if t.Steady-n.ticks.sweptAt > time.Second {
		n.ticks.sweptAt = t.Steady
		n.server.Sweep(t.Wall)
		n.warnAboutConnections(t.Steady)
		n.checkRecording()
	}
	nextExpiry := n.expireCalls(t.Wall)
	n.apply(n.inputs.Tick(t))
	if !nextExpiry.IsZero() {
		n.tickWithin(nextExpiry.Sub(t.Wall))
	}
}

// expireCalls ends the calls that have timed out. It returns when the next call will time out,
// or the zero time if there is none.
func (n *controller) expireCalls(now time.Time) (next time.Time) {
	for _, pool := range []*transport.Pool{n.stateCalls, n.cloudCalls, n.workerCalls} {
		if at := pool.Expire(now); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// tickWithin schedules the next tick no later than d after the beginning of the current step, but
// at least a millisecond after it.
func (n *controller) tickWithin(d time.Duration) {
	d = max(d, time.Millisecond)
	if n.ticks.nextAt == 0 || n.stepBegan+d < n.ticks.nextAt {
		n.ticks.nextAt = n.stepBegan + d
		n.ticks.timer.Reset(d)
	}
}

// apply carries out the effects of a step: it sends responses, peer messages and calls, and
// schedules the next tick. The lock must be held.
func (n *controller) apply(effects coordination.Effects) {
	for _, response := range effects.Responses {
		n.server.AnswerWithUrgency(response.ID, response.Status, response.Body, response.RetryAfter, response.Urgent)
	}
	for _, send := range effects.Sends {
		if link := n.peers[send.To]; link != nil {
			link.Send(send.Message.Wire())
		}
	}
	for _, call := range effects.Calls {
		n.startCall(call)
	}
	n.tickWithin(n.core.TimeToNextTick())
	n.measureStep()
}

// measureStep records the duration of the current step if it is the longest so far.
func (n *controller) measureStep() {
	duration := time.Since(n.start) - n.stepBegan
	if duration <= n.longestStep {
		return
	}
	n.longestStep = duration
	n.core.Stats.LongestStepMS = float64(duration.Microseconds()) / 1000
	n.log.Debug("longest step so far", "ms", n.core.Stats.LongestStepMS)
}

// startCall sends a call. Its reply or failure becomes an input of the core.
func (n *controller) startCall(call protocol.Call) {
	pool, addr := n.workerCalls, call.Address
	switch call.Target {
	case protocol.ToStateService:
		pool, addr = n.stateCalls, n.cfg.Services.State
	case protocol.ToCloud:
		pool, addr = n.cloudCalls, n.cfg.Services.Cloud
	}
	pool.Start(transport.Call{
		Addr:    addr,
		Method:  call.Method,
		Target:  call.Path,
		Body:    call.Body,
		Timeout: call.Timeout,
		Done: func(r *transport.Response, sent bool, err error) {
			n.finishCall(call.ID, r, sent, err)
		},
	})
}

// finishCall passes the reply to a call, or its failure, to the core.
func (n *controller) finishCall(id uint64, r *transport.Response, sent bool, err error) {
	reply := protocol.Reply{ID: id, Sent: sent}
	if err == nil {
		reply.Status, reply.Body, reply.RetryAfter = r.Status, r.Body, r.RetryAfter
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.apply(n.inputs.Reply(n.beginStep(), reply))
}
