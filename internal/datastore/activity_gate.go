package datastore

import "sync"

// activityGate lets others wait until no activity is under way. It is safe for concurrent use.
type activityGate struct {
	mu     sync.Mutex
	active int
	idle   chan struct{} // closed while no activity is under way
}

func newActivityGate() *activityGate {
	g := &activityGate{idle: make(chan struct{})}
	close(g.idle)
	return g
}

// begin records that an activity begins; end must be called when it is over.
func (g *activityGate) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.active++; g.active == 1 {
		g.idle = make(chan struct{})
	}
}

// end records that an activity is over.
func (g *activityGate) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.active--; g.active == 0 {
		close(g.idle)
	}
}

// none returns a channel that is closed once no activity is under way.
func (g *activityGate) none() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle
}
