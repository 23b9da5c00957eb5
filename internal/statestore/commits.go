package statestore

import (
	"fmt"
	"net/http"
	"time"

	"silvergate/internal/protocol"
)

// request is a write that waits for the writer: a transaction, the grant of a lease or
// the removal of one.
type request struct {
	txn *protocol.Txn
	ttl time.Duration // of the lease to grant
	// leaseToRemove is the lease to remove, which has expired or was revoked; 0 for none.
	leaseToRemove uint64
	respond       func(result) // called with the service's lock held
}

// result is what came of a request.
type result struct {
	failed        []string // keys whose comparison failed
	leaseExpired  bool     // the lease of a put does not exist
	revision      uint64
	lease         uint64 // that was granted
	leaseNotFound bool   // the lease to remove does not exist
}

// submit hands a request to the writer. The lock must be held.
func (s *Service) submit(r request) {
	s.pending = append(s.pending, r)
	s.workAvailable.Signal()
}

// commitLoop is the writer: it commits all requests that wait together, and answers them,
// until the service ends or a commit fails. No other goroutine commits.
func (s *Service) commitLoop() {
	defer close(s.writerDone)
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		for len(s.pending) == 0 && !s.closed {
			s.workAvailable.Wait()
		}
		if s.closed {
			return
		}
		batch := s.pending
		s.pending = nil
		if err := s.commitBatch(batch); err != nil {
			s.fail(fmt.Errorf("commit: %w", err))
			return
		}
	}
}

// commitBatch makes requests durable and answers them. It is called with the lock held
// and lets go of it while the disk is busy.
func (s *Service) commitBatch(batch []request) error {
	s.mu.Unlock()
	began := time.Now()
	results, changes, err := s.disk.commit(batch)
	took := time.Since(began)
	s.mu.Lock()
	if err != nil {
		return err
	}
	s.admission.pendingWrites -= len(batch)
	s.stats.Commits++
	s.stats.CommitSeconds += took.Seconds()
	s.stats.Changes += uint64(len(changes))
	s.stats.Revision, s.stats.Keys = s.disk.header.Revision, s.disk.header.Keys
	s.advance()
	for i, r := range batch {
		if r.leaseToRemove != 0 {
			s.admission.forgetLease(r.leaseToRemove)
		}
		r.respond(results[i])
	}
	if len(changes) > 0 {
		s.answerWatchers(s.admission.takeAffectedWatchers(changes))
	}
	s.scheduleTick()
	return nil
}

// answerWrite answers a request with its result.
func (s *Service) answerWrite(id uint64, r *request, res result) {
	switch {
	case r.txn != nil:
		s.answerTxn(id, res)
	case r.leaseToRemove != 0 && res.leaseNotFound:
		s.answerError(id, http.StatusNotFound, "no such lease")
	case r.leaseToRemove != 0:
		s.server.Answer(id, http.StatusOK, []byte("{}"), 0)
	default:
		s.admission.addLease(res.lease, r.ttl)
		s.answerJSON(id, http.StatusOK, protocol.LeaseResponse{Lease: res.lease})
	}
}

func (s *Service) answerTxn(id uint64, res result) {
	switch {
	case res.leaseExpired:
		s.answerError(id, http.StatusBadRequest, "no such lease")
	case res.failed != nil:
		s.answerJSON(id, http.StatusConflict, protocol.TxnResult{Revision: res.revision, Failed: res.failed})
	default:
		s.answerJSON(id, http.StatusOK, revisionResponse{res.revision})
	}
}
