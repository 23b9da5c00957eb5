package statestore

import (
	"encoding/json"
	"net/http"

	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

// rawJSON is a JSON value that was validated when its transaction was received.
type rawJSON = json.RawMessage

type keyValue struct {
	Key         string  `json:"key"`
	Value       rawJSON `json:"data"`
	ModRevision uint64  `json:"stamp"`
	Lease       uint64  `json:"permit,omitempty"`
}

// keyPage is the response to a list.
type keyPage struct {
	KeyValues []keyValue `json:"entries"`
	Truncated bool       `json:"truncated"`
	Revision  uint64     `json:"ledger"`
}

// revisionResponse is the response to a committed transaction, and to a read of a key that
// does not exist.
type revisionResponse struct {
	Revision uint64 `json:"ledger"`
}

// Serve handles a request; the server calls it with the lock held. It answers reads and
// refusals at once, writes after their commit, and watches when there are events for them
// or their time is over.
func (s *Service) Serve(id uint64, r *transport.Request) {
	s.advance()
	defer s.scheduleTick()
	if r.Path == PathBackup {
		s.serveBackup(id, r)
		return
	}
	if s.Extra != nil && s.Extra(id, r.Method, r.Path) {
		return
	}
	s.stats.Requests++
	v := s.admission.admit(id, r.Method, r.Path, r.Query, r.Body)
	switch {
	case v.status != 0:
		s.server.Answer(id, v.status, v.body, v.retryAfter)
	case v.request != nil:
		write := *v.request
		write.respond = func(res result) { s.answerWrite(id, &write, res) }
		s.submit(write)
	case v.get != "":
		s.serveGet(id, v.get)
	case v.list != nil:
		s.serveList(id, v.list)
	case v.watcher != nil:
		s.serveWatch(v.watcher)
	}
}

func (s *Service) serveGet(id uint64, key string) {
	record, found, revision, err := s.disk.get(key)
	switch {
	case err != nil:
		s.fail(err)
	case !found:
		s.answerJSON(id, http.StatusNotFound, revisionResponse{revision})
	default:
		s.answerJSON(id, http.StatusOK, keyValue{key, record.value, record.modRevision, record.lease})
	}
}

func (s *Service) serveList(id uint64, l *listRequest) {
	page := keyPage{KeyValues: []keyValue{}} // not null in JSON
	const (
		pageOverhead  = 100
		entryOverhead = 80 // maximum size of an entry's field names and numbers
		maxEscaped    = 6  // maximum bytes in JSON for one byte of a key
	)
	size := pageOverhead
	revision, err := s.disk.scan(l.prefix, l.from, func(key []byte, r keyRecord) bool {
		entrySize := len(r.value) + maxEscaped*len(key) + entryOverhead
		if len(page.KeyValues) == l.limit || size+entrySize > maxPageBytes {
			page.Truncated = true
			return false
		}
		size += entrySize
		// The value is copied: it lies in the mapped file and is only valid during the scan.
		page.KeyValues = append(page.KeyValues, keyValue{string(key), append(rawJSON(nil), r.value...), r.modRevision, r.lease})
		return true
	})
	if err != nil {
		s.fail(err)
		return
	}
	page.Revision = revision
	s.answerJSON(id, http.StatusOK, page)
}

func (s *Service) answerJSON(id uint64, status int, v any) {
	s.server.Answer(id, status, protocol.Encode(v), 0)
}

func (s *Service) answerError(id uint64, status int, format string, args ...any) {
	v := errorDecision(status, format, args...)
	s.server.Answer(id, v.status, v.body, v.retryAfter)
}
