package ship

import (
	"bytes"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"silvergate/internal/archive"
)

// slowNode is an archive node that takes a while to store records, fails some requests, and counts what it is
// sent.
type slowNode struct {
	*memoryNode
	delay     time.Duration
	failEvery int64 // every how many requests one fails; 0: none
	requests  atomic.Int64
	received  atomic.Int64
}

func (n *slowNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n.received.Add(int64(len(body)))
	time.Sleep(n.delay)
	if count := n.requests.Add(1); n.failEvery > 0 && count%n.failEvery == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	n.memoryNode.ServeHTTP(w, r)
}

// endedAttempt makes the folder of an attempt that has ended and left a file of the given size.
func endedAttempt(t *testing.T, s *Shipper, attempt archive.Attempt, size int) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "attempt")
	if err := os.MkdirAll(filepath.Join(dir, WorkDir), 0o700); err != nil {
		t.Fatal(err)
	}
	content := make([]byte, size)
	_, _ = rand.Read(content)
	if err := os.WriteFile(filepath.Join(dir, WorkDir, "result"), content, 0o600); err != nil {
		t.Fatal(err)
	}
	grant := archive.Grant{Attempt: attempt, Terms: archive.Terms{Keep: []string{"result"}}}
	if err := s.Follow(grant, dir); err != nil {
		t.Fatal(err)
	}
	s.RecordEnd(attempt, "done", 0)
}

// TestFilesOfManyAttemptsAreSentOnce guards against files that are lost although their machine had the time to
// ship them: while many attempts ended together, their requests displaced one another, and after each failed
// request a file was sent again from its start.
func TestFilesOfManyAttemptsAreSentOnce(t *testing.T) {
	const (
		attempts  = 12
		fileBytes = 3 << 20
		rateMBs   = 16
	)
	for _, test := range []struct {
		name      string
		failEvery int64
		limit     float64 // how much may be sent, as a multiple of the files' size
	}{{"all requests are answered", 0, 1.2}, {"every sixth request fails", 6, 1.2 * 6 / 5}} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s, certs := goldenShipper(t, listener.Addr().String())
			s.cfg.RateMBPerS = rateMBs
			stored := &slowNode{memoryNode: &memoryNode{records: map[string]archive.Record{}}, delay: 30 * time.Millisecond, failEvery: test.failEvery}
			serveHandler(t, listener, certs, stored)
			for i := range attempts {
				endedAttempt(t, s, archive.Attempt{Job: fmt.Sprintf("wk-%06d", i), Try: 1, Machine: "machine-9"}, fileBytes)
			}
			begun := time.Now()
			s.Start()
			t.Cleanup(s.Stop)
			for deadline := begun.Add(2 * time.Minute); s.UnshippedAttempts() > 0; time.Sleep(10 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("%d of %d attempts are not shipped after %v", s.UnshippedAttempts(), attempts, time.Since(begun))
				}
			}
			sent := float64(stored.received.Load()) / (attempts * fileBytes)
			t.Logf("%d files of %d bytes were shipped in %v; %.2f times their size was sent", attempts, fileBytes, time.Since(begun), sent)
			if sent > test.limit {
				t.Errorf("%.2f times the files' size was sent, want at most %.2f", sent, test.limit)
			}
		})
	}
}
