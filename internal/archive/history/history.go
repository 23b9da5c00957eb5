// Package history tests a small archive in one process: it runs a history of writes and
// faults that is random and determined by a seed, and compares what readers get with what
// was written. It uses the real nodes and shippers, connected on loopback with mutual TLS;
// only the programs that write output are simulated.
package history

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/archive/node"
	"silvergate/internal/archive/reader"
	"silvergate/internal/archive/ship"
	"silvergate/internal/identity"
)

// Site is an archive's nodes and its certificate authority.
type Site struct {
	Dir       string
	Authority *identity.Authority
	Key       archive.GrantKey
	Members   []node.Member
	Nodes     map[string]*node.Node
	Log       *slog.Logger
	// Configure, if not nil, changes a node's settings before the node is started.
	Configure func(*node.Config)
}

// New creates a site in dir with a number of nodes, and starts the nodes.
func New(dir string, nodes int, log *slog.Logger, configure func(*node.Config)) (*Site, error) {
	s := &Site{Dir: dir, Nodes: map[string]*node.Node{}, Log: log, Configure: configure}
	var err error
	if s.Authority, err = identity.Init(filepath.Join(dir, "authority"), "valley", time.Now()); err != nil {
		return nil, err
	}
	s.Key = bytes.Repeat([]byte{7}, archive.KeySize)
	if err := os.WriteFile(filepath.Join(dir, "grant.key"), []byte(hex.EncodeToString(s.Key)), 0o600); err != nil {
		return nil, err
	}
	for port := firstPort; len(s.Members) < nodes; port++ {
		if port == firstPort+1000 {
			return nil, errors.New("no free ports on " + loopbackAddress())
		}
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", loopbackAddress(), port))
		if err != nil {
			continue
		}
		s.Members = append(s.Members, node.Member{Name: fmt.Sprintf("archive-%d", len(s.Members)), Address: l.Addr().String()})
		l.Close()
	}
	for _, m := range s.Members {
		if err := s.StartNode(m.Name); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// firstPort is the first port that New tries. It is below the range from which systems
// choose ports for outgoing connections.
//
// A stopped node's port must stay free until the node starts again. An outgoing connection
// can't take it because of firstPort, and another history can't take it because each
// process uses its own loopback address.
const firstPort = 20_000

// loopbackAddress returns a loopback address derived from the process id.
func loopbackAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid>>8&0x7f, pid&0xff)
}

// IssueCertificate issues a certificate for a party, unless one was issued before, and
// returns its folder.
func (s *Site) IssueCertificate(who string) (string, error) {
	dir := filepath.Join(s.Dir, "certs", strings.ReplaceAll(who, "/", "."))
	if _, err := os.Stat(dir); err == nil {
		return dir, nil
	}
	party, err := identity.Parse(s.Authority.Site(), who)
	if err != nil {
		return "", err
	}
	_, err = s.Authority.Issue(party, dir, 0)
	return dir, err
}

// StartNode starts a node on its address in Members.
func (s *Site) StartNode(name string) error {
	certs, err := s.IssueCertificate("node/" + name)
	if err != nil {
		return err
	}
	c := node.DefaultConfig()
	c.Name, c.Dir, c.Certs, c.GrantKey, c.Members = name, filepath.Join(s.Dir, name), certs, filepath.Join(s.Dir, "grant.key"), s.Members
	c.SyncS = 0.2
	if s.Configure != nil {
		s.Configure(&c)
	}
	n, err := node.Open(c, s.Log.With("node", name))
	if err != nil {
		return err
	}
	for _, m := range s.Members {
		if m.Name != name {
			continue
		}
		l, err := listen(m.Address)
		if err != nil {
			n.Stop()
			return err
		}
		go func() { _ = n.Serve(l) }()
	}
	s.Nodes[name] = n
	return nil
}

// listen listens on an address. It retries for 5 seconds, as a node that was just stopped
// may not have released the port yet.
func listen(address string) (net.Listener, error) {
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		l, err := net.Listen("tcp4", address)
		if err == nil || time.Now().After(until) {
			return l, err
		}
	}
}

// StopNode stops a node. It does nothing if the node is not running.
func (s *Site) StopNode(name string) {
	if n := s.Nodes[name]; n != nil {
		n.Stop()
		delete(s.Nodes, name)
	}
}

// LoseDisk stops a node and deletes its data.
func (s *Site) LoseDisk(name string) error {
	s.StopNode(name)
	return os.RemoveAll(filepath.Join(s.Dir, name))
}

// Close stops all nodes.
func (s *Site) Close() {
	for name := range s.Nodes {
		s.StopNode(name)
	}
}

// NewReader returns a client that reads with a certificate of the party who.
func (s *Site) NewReader(who string) (*reader.Client, error) {
	dir, err := s.IssueCertificate(who)
	if err != nil {
		return nil, err
	}
	credentials, err := identity.OpenCredentials(dir, s.Log)
	if err != nil {
		return nil, err
	}
	return reader.New(credentials, s.Members, 10*time.Second), nil
}

// Machine is a machine with its shipper.
type Machine struct {
	*ship.Shipper
	Name  string
	Dir   string
	grant func(archive.Attempt) archive.Grant
}

// StartMachine starts a machine's shipper. The machine signs the grants of its attempts
// itself, with the owner that the function owner returns for the job. configure, if not
// nil, changes the shipper's settings.
func (s *Site) StartMachine(name string, owner func(job string) archive.Owner, configure func(*ship.Config)) (*Machine, error) {
	certs, err := s.IssueCertificate("agent/" + name)
	if err != nil {
		return nil, err
	}
	c := ship.DefaultConfig()
	c.Members, c.Certs, c.BoundS = s.Members, certs, 0.1
	if configure != nil {
		configure(&c)
	}
	shipper, err := ship.New(c, s.Log.With("machine", name))
	if err != nil {
		return nil, err
	}
	shipper.Start()
	return &Machine{shipper, name, filepath.Join(s.Dir, "machines", name), func(a archive.Attempt) archive.Grant {
		return s.Key.Sign(archive.Grant{Attempt: a, Terms: archive.Terms{Owner: owner(a.Job), Class: "forecast", Urgency: "standard", Keep: []string{"out"}}, At: time.Now().UnixMilli()})
	}}, nil
}

// Folder returns an attempt's folder.
func (m *Machine) Folder(a archive.Attempt) string {
	return filepath.Join(m.Dir, a.Job, fmt.Sprintf("%d.%d", a.Task, a.Try))
}

// Run creates an attempt's folder and starts following the attempt.
func (m *Machine) Run(a archive.Attempt) error {
	if err := os.MkdirAll(filepath.Join(m.Folder(a), ship.WorkDir, "out"), 0o700); err != nil {
		return err
	}
	return m.Follow(m.grant(a), m.Folder(a))
}

// Write appends text to a stream's file, as a program does.
func (m *Machine) Write(a archive.Attempt, stream, text string) error {
	f, err := os.OpenFile(filepath.Join(m.Folder(a), stream), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.WriteString(text)
	return err
}

// Expected is what CheckRead expects a reader to get of an attempt.
type Expected struct {
	Attempt archive.Attempt
	Owner   archive.Owner
	Output  string            // what the program wrote to its standard output
	Files   map[string]string // contents of the files to be stored, by path
	// Promised is how many bytes of Output a reader must get: all of them or, if the
	// machine was lost with its disk, those written at least ship.Config.BoundS seconds
	// before the loss.
	Promised int
	// Ended says that the attempt's end and all its files must be stored.
	Ended bool
}

// ReadResult is what a reader got of an attempt.
type ReadResult struct {
	Found  bool
	Output []node.Piece
	Ended  bool
	Files  map[string]string
}

// CheckRead compares what a reader got with what was written. It returns an error that
// names the first violation of the archive's promise: bytes that differ from what was
// written at their offset, are out of order or come twice; promised bytes that are missing
// without a recorded reason; a missing end; or files that are missing or differ.
func CheckRead(w *Expected, r *ReadResult) error {
	if !r.Found {
		if w.Promised > 0 || w.Ended {
			return fmt.Errorf("%s: not found", w.Attempt)
		}
		return nil
	}
	pos := int64(0)
	for _, p := range r.Output {
		if p.From != pos || p.To < p.From {
			return fmt.Errorf("%s: the piece from %d to %d comes at offset %d", w.Attempt, p.From, p.To, pos)
		}
		pos = p.To
		switch {
		case p.State != archive.PieceData:
			if p.State == archive.PieceMissing && p.From < int64(w.Promised) {
				return fmt.Errorf("%s: bytes %d to %d are missing without a reason; %d are promised", w.Attempt, p.From, p.To, w.Promised)
			}
		case p.To > int64(len(w.Output)) || string(p.Data) != w.Output[p.From:p.To]:
			return fmt.Errorf("%s: bytes %d to %d are not what was written", w.Attempt, p.From, p.To)
		}
	}
	switch {
	case pos < int64(w.Promised):
		return fmt.Errorf("%s: the output ends at %d; %d bytes are promised", w.Attempt, pos, w.Promised)
	case w.Ended && !r.Ended:
		return fmt.Errorf("%s: the attempt's end is not stored", w.Attempt)
	case w.Ended && pos != int64(len(w.Output)):
		return fmt.Errorf("%s: read %d bytes of %d, though the attempt has ended", w.Attempt, pos, len(w.Output))
	}
	for name, data := range r.Files {
		if w.Files[name] != data {
			return fmt.Errorf("%s: file %s is not what was written", w.Attempt, name)
		}
	}
	if w.Ended && len(r.Files) != len(w.Files) {
		return fmt.Errorf("%s: read %d files of %d", w.Attempt, len(r.Files), len(w.Files))
	}
	return nil
}

// ReadAttempt reads an attempt's standard output and files.
func ReadAttempt(ctx context.Context, c *reader.Client, a archive.Attempt) (*ReadResult, error) {
	out := &ReadResult{Files: map[string]string{}}
	attempts, completeness, err := c.Attempts(ctx, reader.Query{Job: a.Job, Files: true})
	if err != nil {
		return nil, err
	}
	if !completeness.Complete {
		return nil, fmt.Errorf("nodes %v did not answer", completeness.Unresponsive)
	}
	for i := range attempts {
		if attempts[i].Attempt != a {
			continue
		}
		out.Found = true
		for _, f := range attempts[i].Files {
			var b bytes.Buffer
			if err := c.File(ctx, a, &f, &b); err != nil {
				return nil, err
			}
			out.Files[f.Path] = b.String()
		}
	}
	if !out.Found {
		return out, nil
	}
	for from := int64(0); ; {
		p, err := c.Page(ctx, a, archive.Stdout, from)
		if err != nil {
			return nil, err
		}
		out.Output = append(out.Output, p.Pieces...)
		out.Ended = p.Ended
		if !p.More || p.Next <= from {
			return out, nil
		}
		from = p.Next
	}
}

// CheckDenied returns an error unless the archive hides an attempt, its output and its
// files from a reader.
func CheckDenied(ctx context.Context, c *reader.Client, a archive.Attempt) error {
	if got, err := ReadAttempt(ctx, c, a); err != nil || got.Found {
		return fmt.Errorf("%s: another customer finds the attempt: %v", a, err)
	}
	if _, err := c.Page(ctx, a, archive.Stdout, 0); !errors.Is(err, reader.ErrNotFound) {
		return fmt.Errorf("%s: another customer reads the output: %v", a, err)
	}
	if err := c.File(ctx, a, &archive.File{Path: "out/result.csv", Chunks: []string{""}}, io.Discard); !errors.Is(err, reader.ErrNotFound) {
		return fmt.Errorf("%s: another customer reads the files: %v", a, err)
	}
	return nil
}

// waitTimeout bounds how long waitShipped and waitReplicated wait.
const waitTimeout = 60 * time.Second

// waitShipped waits until a machine has shipped all output. If ends is true, it also waits
// until the files and the ends of the machine's ended attempts are shipped.
func waitShipped(m *Machine, ends bool) error {
	// The shipper must have observed the files after the last write: the observation that is under way
	// may have begun before it, the next one begins now or later.
	observed := m.Stats().Observations + 2
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		stats := m.Stats()
		if stats.Observations >= observed && stats.Left == 0 && (!ends || m.UnshippedAttempts() == 0) {
			return nil
		}
	}
	return fmt.Errorf("machine %s did not ship everything in time: %+v", m.Name, m.Stats())
}

// waitReplicated makes the nodes fetch each other's records until all nodes, except the one
// named except, have the same number of records.
func (s *Site) waitReplicated(except string) error {
	var last error
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		last = nil
		counts := map[int64]bool{} // the nodes' numbers of records
		for name, n := range s.Nodes {
			if name == except {
				continue
			}
			if err := n.SyncOnce(context.Background()); err != nil {
				last = err
			}
		}
		for name, n := range s.Nodes {
			if name != except {
				counts[n.Stats().Records] = true
			}
		}
		if last == nil && len(counts) == 1 {
			return nil
		}
	}
	return fmt.Errorf("the nodes did not get the same records in time: %w", last)
}

// Add adds another history's counts.
func (d *Summary) Add(o Summary) {
	d.Attempts, d.Bytes, d.Files = d.Attempts+o.Attempts, d.Bytes+o.Bytes, d.Files+o.Files
	d.NodeStops, d.DisksLost = d.NodeStops+o.NodeStops, d.DisksLost+o.DisksLost
	d.AgentStops, d.MachinesLost = d.AgentStops+o.AgentStops, d.MachinesLost+o.MachinesLost
	d.Reads, d.Denied = d.Reads+o.Reads, d.Denied+o.Denied
	d.Mended, d.Pulled = d.Mended+o.Mended, d.Pulled+o.Pulled
}
