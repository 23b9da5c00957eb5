package ship

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/archive/node"
	"silvergate/internal/goldentest"
	"silvergate/internal/identity"
)

// The golden folders are folders of attempts that an earlier build followed. The attempt
// in "shipping" has ended. Of its standard output 11 bytes were acknowledged; they end at
// byte 6 of the file, since the program shortened the file. Of its standard error 4 bytes
// were acknowledged. It has gaps that are not stored yet, and one of its two files is
// stored. The attempt in "whole" was shipped completely and the one in "gone" was given
// up, so neither is followed any more.
const (
	shippingFolder = "testdata/golden/shipping"
	completeFolder = "testdata/golden/whole"
	givenUpFolder  = "testdata/golden/gone"
)

// goldenAttempt is the attempt of all golden folders.
var goldenAttempt = archive.Attempt{Job: "wk-000042", Task: 7, Try: 2, Machine: "machine-9"}

// goldenShipper returns the shipper of a machine that sends to one node at address, and
// the folder with that node's certificate. Both certificates are from a new authority.
func goldenShipper(t *testing.T, address string) (s *Shipper, nodeCerts string) {
	t.Helper()
	dir := t.TempDir()
	authority, err := identity.Init(filepath.Join(dir, "authority"), "site", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	for _, who := range []string{"agent/machine-9", "node/one"} {
		party, err := identity.Parse("site", who)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := authority.Issue(party, filepath.Join(dir, who), time.Hour); err != nil {
			t.Fatal(err)
		}
	}
	cfg := DefaultConfig()
	cfg.Members, cfg.Replicas = []node.Member{{Name: "one", Address: address}}, 1
	cfg.Certs = filepath.Join(dir, "agent/machine-9")
	s, err = New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return s, filepath.Join(dir, "node/one")
}

// copyFolder copies an attempt's folder into a temporary one and returns its path.
func copyFolder(t *testing.T, from string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "attempt")
	if err := os.CopyFS(dir, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	return dir
}

func TestGoldenProgressIsWrittenIdentically(t *testing.T) {
	for _, test := range []struct {
		folder string
		left   int
	}{{shippingFolder, 1}, {completeFolder, 0}, {givenUpFolder, 0}} {
		t.Run(filepath.Base(test.folder), func(t *testing.T) {
			s, _ := goldenShipper(t, "127.0.0.1:1")
			dir := copyFolder(t, test.folder)
			if err := s.Resume(goldenAttempt, dir); err != nil {
				t.Fatal(err)
			}
			if s.Follows(goldenAttempt) != (test.left == 1) || s.UnshippedAttempts() != test.left {
				t.Errorf("attempt is followed: %v; %d ended attempts are not shipped completely", s.Follows(goldenAttempt), s.UnshippedAttempts())
			}
			s.Stop()
			for _, name := range []string{"archive.json", "grant.json"} {
				got, err := os.ReadFile(filepath.Join(dir, name))
				if want := goldentest.Read(t, test.folder+"/"+name); err != nil || !bytes.Equal(got, want) {
					t.Errorf("%s is written as\n%s, want\n%s, error %v", name, got, want, err)
				}
			}
		})
	}
}

// memoryNode is an archive node that stores records in memory.
type memoryNode struct {
	mu      sync.Mutex
	records map[string]archive.Record
}

func (n *memoryNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	n.mu.Lock()
	defer n.mu.Unlock()
	for in := bytes.NewReader(body); err == nil; {
		var record archive.Record
		if record, err = archive.ReadFrame(in); err == nil {
			err = record.Check()
		}
		if err == nil {
			n.records[record.Key.String()] = record
		}
	}
	if !errors.Is(err, io.EOF) {
		w.WriteHeader(http.StatusBadRequest)
	}
}

// serveNode serves a node on the listener with the certificate in the folder certs.
func serveNode(t *testing.T, listener net.Listener, certs string) *memoryNode {
	t.Helper()
	n := &memoryNode{records: map[string]archive.Record{}}
	serveHandler(t, listener, certs, n)
	return n
}

// serveHandler serves a node's handler on the listener with the certificate in the folder certs.
func serveHandler(t *testing.T, listener net.Listener, certs string, handler http.Handler) {
	t.Helper()
	credentials, err := identity.OpenCredentials(certs, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, TLSConfig: credentials.ServerConfig()}
	go func() { _ = server.ServeTLS(listener, "", "") }()
	t.Cleanup(func() { _ = server.Close() })
}

// summary returns a sorted line for each record: its attempt, kind, name and content, but
// not its digest. It leaves out the content of a file's record.
func (n *memoryNode) summary(t *testing.T) []string {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	var lines []string
	for _, record := range n.records {
		text := string(record.Payload)
		switch record.Key.Kind {
		case 's':
			segment, err := archive.DecodeSegment(record.Payload)
			if err != nil {
				t.Fatal(err)
			}
			text = string(segment.Data)
		case 'm': // it holds the file's modification time, which copying changes
			text = ""
		}
		lines = append(lines, fmt.Sprintf("%s %c %s %s", record.Key.Attempt, record.Key.Kind, record.Key.Name, text))
	}
	slices.Sort(lines)
	return lines
}

func TestGoldenAttemptIsShippedToItsEnd(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, certs := goldenShipper(t, listener.Addr().String())
	stored := serveNode(t, listener, certs)
	dir := copyFolder(t, shippingFolder)
	if err := s.Resume(goldenAttempt, dir); err != nil {
		t.Fatal(err)
	}
	s.Start()
	t.Cleanup(s.Stop)
	for deadline := time.Now().Add(20 * time.Second); s.Follows(goldenAttempt); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not shipped in time; stored so far: %q", stored.summary(t))
		}
	}
	grant := string(goldentest.Read(t, shippingFolder+"/grant.json"))
	attempt, files := "wk-000042/00000007/00000002/machine-9", "wk-000042/99999999/00000000/files"
	want := []string{
		attempt + " a  " + grant,
		attempt + ` e  {"cause":"failed","code":3,"sizes":{"stderr":7,"stdout":21},"beganMs":1700000000002,"atMs":1700000000400,"files":2}`,
		attempt + ` g stderr.0000000000000001.00000 {"from":1,"to":3,"atMs":1700000000301,"reason":"the machine's spool was full"}`,
		attempt + ` g stdout.0000000000000005.00000 {"from":5,"to":5,"atMs":1700000000300,"reason":"the program shortened its own output"}`,
		attempt + " m  ",
		attempt + " s stderr.0000000000000004.00003 s\nx",
		attempt + " s stdout.000000000000000b.0000a second one",
		files + " a  " + grant,
		files + " c  b,2\n",
	}
	if got := stored.summary(t); !reflect.DeepEqual(got, want) {
		t.Errorf("stored\n%q, want\n%q", got, want)
	}
}
