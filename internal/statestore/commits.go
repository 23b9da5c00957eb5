package statestore

import (
	"fmt"
	"net/http"
	"time"

	"silvergate/internal/protocol"
)

// request is a write for the writer: a transaction, or the grant or the removal of a lease.
type request struct {
	txn *protocol.Txn
	ttl time.Duration // of the lease to grant
	// leaseToRemove is the id of a lease that has expired or was revoked; 0 for none.
	leaseToRemove uint64
	respond       func(result) // called with the service's lock held
}

// result is the outcome of a request.
type result struct {
	failed        []string // keys whose comparison failed
	leaseExpired  bool     // the lease of a put does not exist
	revision      uint64
	lease         uint64 // id of the granted lease
	leaseNotFound bool   // the lease to remove does not exist
}

// submit queues a request for the writer. The lock must be held.
func (s *Service) submit(r request) {
	s.pending = append(s.pending, r)
	s.workAvailable.Signal()
}

// commitLoop is the writer: until the service ends or a commit fails, it takes all pending
// requests, commits them together and answers them. No other goroutine commits.
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

// commitBatch makes requests durable and answers them. It is called with the lock held,
// and releases the lock during the disk's commit.
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

// answerWrite answers the client of a request with the request's result.
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
