// Package connlimit decides who may hold a connection to a controller. Sockets are
// a budget like the requests of the state service: what is spent on a worker
// that waits for its next heartbeat is missing to a user, to the load balancer's
// health checks and to operators, who come as they like.
//
// It owns the count of open connections by what they are used for, and promises:
//   - never more than Total are open;
//   - workers that wait for their next heartbeat hold at most Workers of them, and
//     those whose machines have no urgent work at most seven eighths of that: the
//     answer to a heartbeat closes the connection where that is passed, and the
//     worker connects again for its next one;
//   - when less than an eighth is free, every answer closes, but for those to
//     workers within their share.
//
// A connection belongs to nobody until its first request is read, so a rush of
// newcomers shares what is free; each leaves as soon as it is answered.
//
// There is no I/O, clock or lock in it: the caller, who owns a Limiter, tells of each
// connection that opens, is used and closes.
package connlimit

// Class is what a connection is used for, by its last request.
type Class uint8

// Classes of connections. Fresh ones have had no request yet. Classes is how many there are.
const (
	Fresh Class = iota
	User
	Worker
	Operator
	Classes = 4
)

var classNames = [Classes]string{"fresh", "user", "worker", "operator"}

// String is the class's name, "unknown" for a value that is none.
func (c Class) String() string {
	if c >= Classes {
		return "unknown"
	}
	return classNames[c]
}

// reserveDivisor is the part of a limit that is kept for what goes first: one in so many.
const reserveDivisor = 8

// withoutReserve is what is left of a limit.
func withoutReserve(limit int) int { return limit - limit/reserveDivisor }

// Limits are the budget, in connections.
type Limits struct {
	// Total is how many may be open at all.
	Total int
	// Workers is how many the workers may keep between two heartbeats; 0: as many as they like.
	Workers int
}

// Share gives a controller's limits from the sockets it may use for requests:
// half of them for waiting workers. What is left has to take the requests under
// way as well, and when a peer is down those of the peer's workers.
func Share(total int) Limits { return Limits{Total: max(1, total), Workers: max(1, total/2)} }

// Stats tell how near the budget is to its end.
type Stats struct {
	Open     int    `json:"open"`
	Workers  int    `json:"workers"`
	Limit    int    `json:"limit"`
	Peak     int    `json:"peak"`
	Refused  uint64 `json:"refused"`  // when they were opened, as Total were open
	Released uint64 `json:"released"` // closed with an answer, to make room
}

// Limiter keeps the count. Use New.
type Limiter struct {
	limits Limits
	count  [Classes]int
	open   int
	stats  Stats
}

// New makes a Limiter of no connections.
func New(limits Limits) *Limiter { return &Limiter{limits: limits} }

// Open takes a connection that was just opened, or refuses it. One that is
// refused is not counted and must not be told of again.
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

// Use tells that a connection of class was is now used for something of class is.
func (l *Limiter) Use(from, to Class) {
	l.count[from]--
	l.count[to]++
}

// KeepAlive tells, as a request is answered, whether its connection may be kept for
// the next one. A worker that is not served turns to another controller, so its
// connection is closed in any case; urgent says that its machine has work that
// goes first. Without room the connection is closed with the answer, and Close
// has yet to be called.
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

// hasRoom tells whether a connection of a class may be kept.
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

// Close tells that a connection was closed, by whichever end.
func (l *Limiter) Close(c Class) {
	l.open--
	l.count[c]--
}

// WorkersNearLimit tells whether workers hold what they may: the site has more of them
// than its controllers have sockets to keep.
func (l *Limiter) WorkersNearLimit() bool {
	return l.limits.Workers > 0 && l.count[Worker] >= withoutReserve(l.limits.Workers)
}

// Stats reads the counters.
func (l *Limiter) Stats() Stats {
	s := l.stats
	s.Open, s.Workers, s.Limit = l.open, l.count[Worker], l.limits.Total
	return s
}
