// Package connlimit decides who may hold a connection to a controller. Sockets are
// a budget like the requests of the state service: what is spent on a worker
// that waits for its next report is missing to a user, to the load balancer's
// health checks and to operators, who come as they like.
//
// It owns the count of open connections by what they are used for, and promises:
//   - never more than Total are open;
//   - workers that wait for their next report hold at most Workers of them, and
//     those whose machines have no urgent work at most seven eighths of that: the
//     answer to a report closes the connection where that is passed, and the
//     worker comes again with its next one;
//   - when less than an eighth is free, every answer closes, but for those to
//     workers within their share.
//
// A connection belongs to nobody until its first request is read, so a rush of
// newcomers shares what is free; each leaves as soon as it is answered.
//
// There is no I/O, clock or lock in it: the caller tells of each connection that
// opens, asks and closes.
package connlimit

// Class is what a connection is used for, by its last request.
type Class uint8

// Classes. Fresh connections have not asked for anything yet.
const (
	Fresh Class = iota
	User
	Worker
	Operator
	Classes = 4
)

// Limits are the budget, in connections.
type Limits struct {
	// Total is how many may be open at all.
	Total int
	// Workers is how many the workers may keep between two reports.
	Workers int
}

// Share gives a controller's limits from the sockets it may use for requests:
// half of them for waiting workers. What is left has to take the requests under
// way as well, and after a peer's end those of the peer's workers.
func Share(total int) Limits { return Limits{Total: max(1, total), Workers: max(1, total/2)} }

// Stats tell how near the budget is to its end.
type Stats struct {
	Open     int    `json:"open"`
	Workers  int    `json:"workers"`
	Limit    int    `json:"limit"`
	Peak     int    `json:"peak"`
	Refused  uint64 `json:"refused"`  // at the door, as Total were open
	Released uint64 `json:"released"` // closed with an answer, to make room
}

// Limiter keeps the count.
type Limiter struct {
	limits Limits
	count  [Classes]int
	open   int
	stats  Stats
}

// New makes an empty count.
func New(l Limits) *Limiter { return &Limiter{limits: l} }

// Enter takes a connection that was just opened, or refuses it. One that is
// refused is not counted and must not be told of again.
func (d *Limiter) Enter() bool {
	if d.open >= d.limits.Total {
		d.stats.Refused++
		return false
	}
	d.open++
	d.count[Fresh]++
	d.stats.Peak = max(d.stats.Peak, d.open)
	return true
}

// Ask tells that a connection of class was is now used for something of class is.
func (d *Limiter) Ask(was, is Class) {
	d.count[was]--
	d.count[is]++
}

// Stay tells, as a request is answered, whether its connection may be kept for
// the next one. A worker that is not served turns to another controller, so its
// connection is closed in any case; urgent says that its machine has work that
// goes first. Without room the connection is closed with the answer, and Leave
// has yet to be called.
func (d *Limiter) Stay(c Class, served, urgent bool) bool {
	stay := true
	switch {
	case c == Worker && !served:
		return false
	case c == Worker && d.limits.Workers > 0:
		share := d.limits.Workers
		if !urgent {
			share -= share / 8
		}
		stay = d.count[Worker] <= share
	case c != Worker:
		stay = d.open <= d.limits.Total-d.limits.Total/8
	}
	if !stay {
		d.stats.Released++
	}
	return stay
}

// Leave tells that a connection was closed, by whichever end.
func (d *Limiter) Leave(c Class) {
	d.open--
	d.count[c]--
}

// Tight tells whether workers hold what they may: the site has more of them
// than its controllers have sockets to keep.
func (d *Limiter) Tight() bool {
	return d.limits.Workers > 0 && d.count[Worker] >= d.limits.Workers-d.limits.Workers/8
}

// Stats reads the counters.
func (d *Limiter) Stats() Stats {
	s := d.stats
	s.Open, s.Workers, s.Limit = d.open, d.count[Worker], d.limits.Total
	return s
}
