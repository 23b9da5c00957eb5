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

// node wires the core to the transport. One lock orders everything that goes
// into the core.
type node struct {
	mu        sync.Mutex
	cfg       *config.Settings
	log       *slog.Logger
	core      *coordination.Core
	in        inputs           // the core, or a recorder in front of it
	recording *recorder.Writer // nil: off
	start     time.Time
	server    *transport.Server
	page      *metrics.Page // nil: off
	state     *transport.Pool
	cloud     *transport.Pool
	work      *transport.Pool
	peers     map[string]*transport.OutLink

	now     time.Duration // when the step under way began
	longest time.Duration
	tick    *time.Timer
	tickAt  time.Duration // when the next tick comes, by the steady clock
	sweptAt time.Duration

	refused  uint64 // connections, when operators were last told
	warnedAt time.Duration
}

// inputs is what a core takes.
type inputs interface {
	Request(coordination.Timestamp, uint64, string, string, []byte) coordination.Effects
	Reply(coordination.Timestamp, protocol.Reply) coordination.Effects
	Peer(coordination.Timestamp, string, peer.Message) coordination.Effects
	Tick(coordination.Timestamp) coordination.Effects
}

// record puts a recorder in front of the core, if the operators want one.
func (n *node) record(seed [2]uint64) error {
	r := n.cfg.Operator.Recorder
	if r == nil {
		return nil
	}
	h, err := coordination.RecordingHeader(n.cfg, build(), n.start.UnixNano(), seed)
	if err != nil {
		return fmt.Errorf("recorder: %w", err)
	}
	const mb = 1 << 20
	n.recording, err = recorder.NewWriter(recorder.Options{Dir: r.Dir, Max: int64(r.MaxMB * mb), Segment: int64(r.SegmentMB * mb), Flush: r.Flush}, h)
	if err != nil {
		return err
	}
	n.in = coordination.NewRecordedCore(n.core, n.recording)
	n.log.Info("recording", "dir", r.Dir, "max_mb", r.MaxMB)
	return nil
}

// build names this build, for recordings.
func build() string {
	out := version
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" || s.Key == "vcs.modified" && s.Value == "true" {
				out += " " + s.Key[len("vcs."):] + " " + s.Value
			}
		}
	}
	return out
}

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

func serve(cfg *config.Settings) error {
	level := os.Getenv("LOG_LEVEL")
	if level == "" {
		level = cfg.Operator.LogLevel
	}
	// The collector keeps well below the limit at which the process would be
	// killed; the rest is for stacks, the runtime and bursts.
	debug.SetMemoryLimit(int64(cfg.Facts.Limits.RAMMB * 0.6 * (1 << 20)))
	n := &node{cfg: cfg, log: newLogger(level).With("node", cfg.Node), start: time.Now(), peers: map[string]*transport.OutLink{}}
	// Requests from outside may use eight tenths of the sockets, calls to
	// workers one; the rest is for the state service, the cloud and peers.
	tenth := cfg.Facts.Limits.MaxSockets / 10
	n.state, n.cloud, n.work = transport.NewPool(max(8, tenth/2)), transport.NewPool(tenth/4), transport.NewPool(tenth)
	for _, p := range cfg.Peers {
		n.peers[p.Node] = transport.NewOutLink(cfg.Node, p.Addr)
	}
	seed := [2]uint64{rand.Uint64(), uint64(n.start.UnixNano())}
	n.core = coordination.New(cfg, n.log, rand.New(rand.NewPCG(seed[0], seed[1])), n.start.UnixNano())
	n.in = n.core
	if err := n.record(seed); err != nil {
		return err
	}
	if cfg.Operator.Metrics {
		n.page = metrics.New(cfg.Node, n.figures)
	}
	n.server = transport.NewServer(&n.mu, n, 10*time.Second, 8*tenth)
	n.server.ConnLimiter, n.server.Classify = connlimit.New(connlimit.Share(8*tenth)), class
	// After its lease a worker has no use for a connection it says nothing on;
	// it may be gone without a word.
	n.server.Idle[connlimit.Worker] = time.Duration(cfg.Facts.Workers.Lease * float64(time.Second))
	n.mu.Lock()
	n.tick = time.AfterFunc(0, n.onTick)
	n.mu.Unlock()
	n.log.Info("serving", "bind", cfg.Listen, "back", cfg.Back)
	return fmt.Errorf("serve: %w", n.server.Run(cfg.Listen, cfg.Back))
}

func (n *node) clock() coordination.Timestamp {
	now := time.Now()
	n.now = now.Sub(n.start)
	return coordination.Timestamp{Steady: n.now, Wall: now}
}

// Serve takes a request from the server, which holds the lock.
func (n *node) Serve(id uint64, r *transport.Request) {
	path := r.Path
	switch {
	case n.page != nil && path == metrics.Path:
		kind, body, err := n.page.Render()
		if err == nil {
			n.server.AnswerAs(id, kind, body)
			return
		}
		n.log.Error("metrics can't be shown", "error", err)
	case path == coordination.PathStats:
		n.core.Stats.Connections = n.server.ConnLimiter.Stats()
	case r.Query != "" && (path == protocol.PathJobList || path == protocol.PathMachineList || path == protocol.PathDataSets):
		path += "?" + r.Query
	}
	n.do(n.in.Request(n.clock(), id, r.Method, path, r.Body))
}

// class tells what a request's connection is used for.
func class(r *transport.Request) connlimit.Class {
	switch {
	case r.Path == protocol.PathHeartbeat:
		return connlimit.Worker
	case r.Path == protocol.PathJobs, strings.HasPrefix(r.Path, protocol.PathJobs+"/"):
		return connlimit.User
	}
	return connlimit.Operator
}

// watchConnections tells operators, once a minute at the most, that the site has
// outgrown its controllers' sockets.
func (n *node) watchConnections(now time.Duration) {
	s := n.server.ConnLimiter.Stats()
	if (s.Refused == n.refused && !n.server.ConnLimiter.WorkersNearLimit()) || n.warnedAt > 0 && now-n.warnedAt < time.Minute {
		return
	}
	n.log.Warn("more workers than sockets to keep for them: they connect anew for each report; give the controllers more sockets or add one",
		"workers", s.Workers, "open", s.Open, "limit", s.Limit, "refused", s.Refused-n.refused, "released", s.Released)
	n.refused, n.warnedAt = s.Refused, now
}

// watchRecording tells operators once that their recording has ended.
func (n *node) watchRecording() {
	if n.recording == nil || n.in == inputs(n.core) {
		return
	}
	if err := n.recording.Err(); err != nil {
		n.in = n.core
		n.log.Error("the recording has ended; it can be replayed up to here", "error", err)
	}
}

// figures are the core's counters for GET /metrics.
func (n *node) figures() []metrics.Figure {
	s := &n.core.Stats
	counts := map[string]struct {
		help string
		v    uint64
	}{
		"submitted": {"Jobs accepted.", s.Submitted}, "cancelled": {"Jobs cancelled.", s.Cancelled},
		"checkins": {"Reports taken.", s.Heartbeats}, "claims": {"Claims written.", s.Claims}, "adopted": {"Workers gone on with.", s.Adopted},
		"placements": {"Tasks placed.", s.Placements}, "endings": {"Endings committed.", s.Completions},
		"conflicts": {"Transactions that others were ahead of.", s.Conflicts}, "forwards": {"Tasks handed to peers.", s.Handoffs},
		"preemptions": {"Tasks stopped for others.", s.Preemptions}, "rented": {"Machines rented.", s.MachinesRented}, "deleted": {"Machines returned.", s.MachinesDeleted},
		"unavailable": {"Requests answered with 503.", s.Unavailable},
	}
	out := []metrics.Figure{{Name: "controller_longest_step_seconds", Help: "The longest step so far.", Value: s.LongestStepMS / 1000},
		{Name: "controller_uptime_seconds", Help: "Time since the start.", Value: time.Since(n.start).Seconds()}}
	d := n.server.ConnLimiter.Stats()
	out = append(out, metrics.Figure{Name: "controller_connections", Help: "Connections open for requests.", Value: float64(d.Open)},
		metrics.Figure{Name: "controller_connections_workers", Help: "Those of workers.", Value: float64(d.Workers)},
		metrics.Figure{Name: "controller_connections_limit", Help: "How many may be open.", Value: float64(d.Limit)},
		metrics.Figure{Name: "controller_connections_refused", Help: "Connections refused as the limit was reached.", Value: float64(d.Refused), Count: true},
		metrics.Figure{Name: "controller_connections_released", Help: "Connections closed with an answer to make room.", Value: float64(d.Released), Count: true})
	for name, c := range counts {
		out = append(out, metrics.Figure{Name: "controller_" + name, Help: c.help, Value: float64(c.v), Count: true})
	}
	return out
}

// Decode reads a peer's message.
func (n *node) Decode(dec *gob.Decoder) (any, error) {
	var w peer.WireMessage
	err := dec.Decode(&w)
	return w.Message(), err
}

// Message takes a peer's message; the server holds the lock.
func (n *node) Message(from string, m any) {
	n.do(n.in.Peer(n.clock(), from, m.(peer.Message)))
}

// onTick lets time pass. The timer is the node's own: evio's would wake two
// threads for each tick.
func (n *node) onTick() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tickAt = 0
	t := n.clock()
	if t.Steady-n.sweptAt > time.Second {
		n.sweptAt = t.Steady
		n.server.Sweep(t.Wall)
		n.watchConnections(t.Steady)
		n.watchRecording()
	}
	var late time.Time
	for _, p := range []*transport.Pool{n.state, n.cloud, n.work} {
		if at := p.Expire(t.Wall); !at.IsZero() && (late.IsZero() || at.Before(late)) {
			late = at
		}
	}
	n.do(n.in.Tick(t))
	if !late.IsZero() {
		n.tickWithin(late.Sub(t.Wall))
	}
}

// tickWithin has the next tick come no later than that.
func (n *node) tickWithin(d time.Duration) {
	d = max(d, time.Millisecond)
	if n.tickAt == 0 || n.now+d < n.tickAt {
		n.tickAt = n.now + d
		n.tick.Reset(d)
	}
}

func (n *node) do(e coordination.Effects) {
	for _, a := range e.Responses {
		n.server.AnswerFor(a.ID, a.Status, a.Body, a.RetryAfter, a.Urgent)
	}
	for _, s := range e.Sends {
		if l := n.peers[s.To]; l != nil {
			l.Send(s.Message.Wire())
		}
	}
	for _, k := range e.Calls {
		n.fetch(k)
	}
	n.tickWithin(n.core.Due())
	if d := time.Since(n.start) - n.now; d > n.longest {
		n.longest = d
		n.core.Stats.LongestStepMS = float64(d.Microseconds()) / 1000
		n.log.Debug("longest step so far", "ms", n.core.Stats.LongestStepMS)
	}
}

func (n *node) fetch(k protocol.Call) {
	pool, addr := n.work, k.Address
	switch k.Target {
	case protocol.ToStateService:
		pool, addr = n.state, n.cfg.Services.State
	case protocol.ToCloud:
		pool, addr = n.cloud, n.cfg.Services.Cloud
	}
	pool.Start(transport.Call{Addr: addr, Method: k.Method, Target: k.Path, Body: k.Body, Timeout: k.Timeout,
		Done: func(r *transport.Response, sent bool, err error) {
			rep := protocol.Reply{ID: k.ID, Sent: sent}
			if err == nil {
				rep.Status, rep.Body, rep.RetryAfter = r.Status, r.Body, r.RetryAfter
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			n.do(n.in.Reply(n.clock(), rep))
		}})
}
