package statestore

import (
	"net/http"
	"strings"
	"time"

	"silvergate/internal/protocol"
)

// maxWatchBlock is the longest time for which a watch may ask to wait for events.
const maxWatchBlock = time.Minute

// watchRange selects the events of a watch: the changes after revision from of keys that
// have the prefix.
type watchRange struct {
	prefix string
	from   uint64
}

// watcher is a watch that has not been answered yet.
type watcher struct {
	id uint64 // identifies the request when it is answered
	watchRange
	deadline time.Duration // when the watch is answered even without events
}

func (a *admission) admitWatch(id uint64, query string) decision {
	w, err := a.parseWatch(id, query)
	if err != nil {
		return errorDecision(http.StatusBadRequest, "%v", err)
	}
	return decision{watcher: w}
}

func (a *admission) parseWatch(id uint64, query string) (*watcher, error) {
	q, err := parseQuery(query)
	if err != nil {
		return nil, err
	}
	from, err := queryNumber(q, "from", 1<<64-1, 0)
	if err != nil {
		return nil, err
	}
	blockMs, err := queryNumber(q, "blockMs", uint64(maxWatchBlock.Milliseconds()), 0)
	if err != nil {
		return nil, err
	}
	until := a.now + time.Duration(blockMs)*time.Millisecond
	return &watcher{id, watchRange{q.Get("under"), from}, until}, nil
}

// addWatcher registers a watch to wait for events. It returns false, and does not register
// the watch, if the watch's deadline has passed.
func (a *admission) addWatcher(w *watcher) bool {
	if a.now >= w.deadline {
		return false
	}
	a.watchers[w.id] = w
	return true
}

// takeExpiredWatchers removes and returns the watches whose deadline has passed.
func (a *admission) takeExpiredWatchers() []*watcher {
	return a.takeWatchers(func(w *watcher) bool { return a.now >= w.deadline })
}

// takeAffectedWatchers removes and returns the watches whose prefix matches any of the changes.
func (a *admission) takeAffectedWatchers(changes []changeEvent) []*watcher {
	return a.takeWatchers(func(w *watcher) bool {
		for i := range changes {
			if strings.HasPrefix(changes[i].key, w.prefix) {
				return true
			}
		}
		return false
	})
}

func (a *admission) takeWatchers(matches func(*watcher) bool) []*watcher {
	var taken []*watcher
	for id, w := range a.watchers {
		if matches(w) {
			taken = append(taken, w)
			delete(a.watchers, id)
		}
	}
	return taken
}

type watchEvent struct {
	Put         string  `json:"write,omitempty"`
	Delete      string  `json:"drop,omitempty"`
	Value       rawJSON `json:"data,omitempty"`
	ModRevision uint64  `json:"stamp"`
}

type watchResponse struct {
	Revision uint64       `json:"ledger"`
	Events   []watchEvent `json:"news"`
}

// serveWatch answers a watch at once if there are events for it or its deadline has passed,
// and registers it to wait for events otherwise.
func (s *Service) serveWatch(w *watcher) {
	response, retained, err := s.eventsSince(w.watchRange)
	switch {
	case err != nil:
		s.fail(err)
	case !retained:
		s.answerCompacted(w)
	case len(response.Events) > 0 || !s.admission.addWatcher(w):
		s.answerJSON(w.id, http.StatusOK, response)
	}
}

// answerWatchers answers watches with the current events of their ranges. Watches of the
// same range share one encoded response.
func (s *Service) answerWatchers(watchers []*watcher) {
	encoded := map[watchRange][]byte{}
	for _, w := range watchers {
		body := encoded[w.watchRange]
		if body == nil {
			response, retained, err := s.eventsSince(w.watchRange)
			if err != nil {
				s.fail(err)
				continue
			}
			if !retained {
				s.answerCompacted(w)
				continue
			}
			body = protocol.Encode(response)
			encoded[w.watchRange] = body
		}
		s.server.Answer(w.id, http.StatusOK, body, 0)
	}
}

// answerCompacted answers a watch with an error: changes after its revision, of any key, were
// dropped.
func (s *Service) answerCompacted(w *watcher) {
	s.answerError(w.id, http.StatusGone, "changes after %d are not kept any more; read the keys again", w.from)
}

// eventsSince reads the events of a range. retained is false if changes after r.from, of any
// key, were dropped.
func (s *Service) eventsSince(r watchRange) (response watchResponse, retained bool, err error) {
	response.Events = []watchEvent{} // not null in JSON
	response.Revision, retained, err = s.disk.changes(r.from, func(c changeEvent) {
		switch {
		case !strings.HasPrefix(c.key, r.prefix):
		case c.value != nil:
			response.Events = append(response.Events, watchEvent{Put: c.key, Value: c.value, ModRevision: c.revision})
		default:
			response.Events = append(response.Events, watchEvent{Delete: c.key, ModRevision: c.revision})
		}
	})
	return response, retained, err
}
