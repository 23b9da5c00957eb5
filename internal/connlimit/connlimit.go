// Package connlimit decides which connections to a controller may stay open. Sockets are
// a limited budget like the requests to the state service: a socket held by a worker
// that waits for its next heartbeat is not available to users, to the load balancer's
// health checks or to operators, who may connect at any time.
//
// The package counts the open connections by what they are used for, and guarantees:
//   - Never more than Total connections are open.
//   - Workers that wait for their next heartbeat hold at most Workers connections, and
//     those whose machines have no urgent work at most seven eighths of that. Beyond
//     this limit the connection is closed with the answer to the heartbeat, and the
//     worker connects again for its next one.
//   - When less than an eighth of Total is free, every connection is closed with its
//     answer, except those of workers within their limit.
//
// A connection has no class until its first request is read, so a rush of new
// connections shares what is free; each is closed as soon as it is answered.
//
// The package does no I/O, reads no clock and takes no lock: the caller, who owns a
// Limiter, reports each connection that is opened, used and closed.
package connlimit

// Class is what a connection is used for, by its last request.
type Class uint8

// Classes of connections. A Fresh connection has had no request yet. NumClasses is the number of classes.
const (
	Fresh Class = iota
	User
	Worker
	Operator
	NumClasses = 4
)

var classNames = [NumClasses]string{"fresh", "user", "worker", "operator"}

// String returns the class's name, or "unknown" for an undefined value.
func (c Class) String() string {
	if c >= NumClasses {
		return "unknown"
	}
	return classNames[c]
}

// reserveDivisor is the divisor of the part of a limit that is reserved for connections that go
// first: an eighth.
const reserveDivisor = 8

// withoutReserve returns a limit less its reserve.
func withoutReserve(limit int) int { return limit - limit/reserveDivisor }

// Limits are the most connections that may be open.
type Limits struct {
	// Total is the limit for all connections together.
	Total int
	// Workers is the limit for connections that workers keep between two heartbeats; 0 means no limit.
	Workers int
}

// LimitsFor returns the limits of a controller that may use total sockets for requests: half
// of them are for waiting workers. The other half also has to serve the requests under
// way and, when a peer is down, those of the peer's workers.
func LimitsFor(total int) Limits { return Limits{Total: max(1, total), Workers: max(1, total/2)} }

// Stats shows how close the connections are to their limits.
type Stats struct {
	Open     int    `json:"open"`
	Workers  int    `json:"workers"`
	Limit    int    `json:"limit"`
	Peak     int    `json:"peak"`     // the most that were open at once
	Refused  uint64 `json:"refused"`  // connections refused on arrival because Total were open
	Released uint64 `json:"released"` // connections closed with an answer to make room
}

// Limiter counts open connections and applies the limits. Create it with New.
type Limiter struct {
	limits Limits
	count  [NumClasses]int
	open   int
	stats  Stats
}

// New returns a Limiter without open connections.
func New(limits Limits) *Limiter { return &Limiter{limits: limits} }

// Open counts a connection that was just opened and returns true, or returns false to refuse
// it. A refused connection is not counted and must not be passed to Reclassify or Close.
func (l *Limiter) Open() bool {
	if l.open >= l.limits.Total {
		l.stats.Refused++
		return false
	}
	l.open++
	l.count[Fresh]++
	l.stats.Peak = max(l.stats.Peak, l.open)
	return true
}

// Reclassify moves a connection to another class, as its latest request requires.
func (l *Limiter) Reclassify(from, to Class) {
	l.count[from]--
	l.count[to]++
}

// KeepAlive reports, when a request is answered, whether its connection may stay open for
// the next one. A worker that is not served turns to another controller, so its
// connection is closed in any case; urgent means that its machine has urgent work. If
// KeepAlive returns false, the caller closes the connection with the answer and still
// has to call Close.
func (l *Limiter) KeepAlive(c Class, served, urgent bool) bool {
	if c == Worker && !served {
		return false
	}
	keep := l.hasRoom(c, urgent)
	if !keep {
		l.stats.Released++
	}
	return keep
}

// hasRoom reports whether the limits allow a connection of a class to stay open.
func (l *Limiter) hasRoom(c Class, urgent bool) bool {
	switch {
	case c != Worker:
		return l.open <= withoutReserve(l.limits.Total)
	case l.limits.Workers <= 0:
		return true
	case urgent:
		return l.count[Worker] <= l.limits.Workers
	}
	return l.count[Worker] <= withoutReserve(l.limits.Workers)
}

// Close records that a connection of a class was closed, by either end.
func (l *Limiter) Close(c Class) {
	l.open--
	l.count[c]--
}

// WorkersNearLimit reports whether workers hold at least seven eighths of the connections
// that they may: the site has more workers than its controllers have sockets for.
func (l *Limiter) WorkersNearLimit() bool {
	return l.limits.Workers > 0 && l.count[Worker] >= withoutReserve(l.limits.Workers)
}

// Stats returns the counters.
func (l *Limiter) Stats() Stats {
	s := l.stats
	s.Open, s.Workers, s.Limit = l.open, l.count[Worker], l.limits.Total
	return s
}
