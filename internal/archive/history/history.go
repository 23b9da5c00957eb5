// Package history runs a small archive in one process, with everything that can
// happen to it drawn from a seed, and judges what readers get against what was
// written. The nodes and the machines' shippers are the product's own, on loopback
// with mutual TLS; only the programs are made up.
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

// Site is an archive with its authority.
type Site struct {
	Dir       string
	Authority *identity.Authority
	Key       archive.GrantKey
	Members   []node.Member
	Nodes     map[string]*node.Node
	Log       *slog.Logger
	// Configure is changed before nodes start.
	Configure func(*node.Config)
}

// New makes a site of so many nodes, and starts them.
func New(dir string, nodes int, log *slog.Logger, config func(*node.Config)) (*Site, error) {
	s := &Site{Dir: dir, Nodes: map[string]*node.Node{}, Log: log, Configure: config}
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

// firstPort is below those that systems give to outgoing connections.
//
// Guards against a stopped node whose port is taken before it starts again: by
// another history, hence an address for each process, or by an outgoing connection.
const firstPort = 20_000

// loopbackAddress is this process's own address.
func loopbackAddress() string {
	p := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+p>>8&0x7f, p&0xff)
}

// IssueCertificate issues a certificate and returns its folder.
func (s *Site) IssueCertificate(who string) (string, error) {
	dir := filepath.Join(s.Dir, "certs", strings.ReplaceAll(who, "/", "."))
	if _, err := os.Stat(dir); err == nil {
		return dir, nil
	}
	i, err := identity.Parse(s.Authority.Site(), who)
	if err != nil {
		return "", err
	}
	_, err = s.Authority.Issue(i, dir, 0)
	return dir, err
}

// StartNode starts a node.
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

// listen waits for a port that another has just given back.
func listen(address string) (net.Listener, error) {
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		l, err := net.Listen("tcp4", address)
		if err == nil || time.Now().After(until) {
			return l, err
		}
	}
}

// StopNode stops a node.
func (s *Site) StopNode(name string) {
	if n := s.Nodes[name]; n != nil {
		n.Stop()
		delete(s.Nodes, name)
	}
}

// LoseDisk stops a node and removes all that it kept.
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

// NewReader reads as somebody.
func (s *Site) NewReader(who string) (*reader.Client, error) {
	dir, err := s.IssueCertificate(who)
	if err != nil {
		return nil, err
	}
	k, err := identity.NewKeeper(dir, s.Log)
	if err != nil {
		return nil, err
	}
	return reader.New(k, s.Members, 10*time.Second), nil
}

// Machine is a machine's shipper.
type Machine struct {
	*ship.Shipper
	Name  string
	Dir   string
	grant func(archive.Attempt) archive.Grant
}

// StartMachine starts a machine's shipper. Its grants come at once, as owner says.
func (s *Site) StartMachine(name string, owner func(job string) archive.Owner, config func(*ship.Config)) (*Machine, error) {
	certs, err := s.IssueCertificate("agent/" + name)
	if err != nil {
		return nil, err
	}
	c := ship.DefaultConfig()
	c.Members, c.Certs, c.BoundS = s.Members, certs, 0.1
	if config != nil {
		config(&c)
	}
	sh, err := ship.New(c, s.Log.With("machine", name))
	if err != nil {
		return nil, err
	}
	sh.Start()
	return &Machine{sh, name, filepath.Join(s.Dir, "machines", name), func(a archive.Attempt) archive.Grant {
		return s.Key.Sign(archive.Grant{Attempt: a, Terms: archive.Terms{Owner: owner(a.Job), Class: "forecast", Urgency: "standard", Keep: []string{"out"}}, At: time.Now().UnixMilli()})
	}}, nil
}

// Folder is an attempt's folder.
func (m *Machine) Folder(a archive.Attempt) string {
	return filepath.Join(m.Dir, a.Job, fmt.Sprintf("%d.%d", a.Task, a.Try))
}

// StartAttempt follows a new attempt.
func (m *Machine) StartAttempt(a archive.Attempt) error {
	if err := os.MkdirAll(filepath.Join(m.Folder(a), ship.WorkDir, "out"), 0o700); err != nil {
		return err
	}
	return m.Begin(m.grant(a), m.Folder(a))
}

// Write appends to a stream, as a program does.
func (m *Machine) Write(a archive.Attempt, stream, text string) error {
	f, err := os.OpenFile(filepath.Join(m.Folder(a), stream), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.WriteString(text)
	return err
}

// Expected is what a program wrote, for the judge.
type Expected struct {
	Attempt archive.Attempt
	Owner   archive.Owner
	Output  string            // its stdout
	Files   map[string]string // that are to be kept
	// Promised is how much of Out must be there: all, unless the machine was lost
	// with its disk; then what was written a bound before.
	Promised int
	// Ended attempts must have their end and all their files.
	Ended bool
}

// ReadResult is what a reader got.
type ReadResult struct {
	Found  bool
	Pieces []node.Piece
	Ended  bool
	Files  map[string]string
}

// CheckRead compares what a reader got with what was written. It names what breaks the
// promise: bytes that are not what was written there, are out of order or twice, a
// loss without a word within what is promised, and files that are not whole.
func CheckRead(w *Expected, r *ReadResult) error {
	if !r.Found {
		if w.Promised > 0 || w.Ended {
			return fmt.Errorf("%s: not found", w.Attempt)
		}
		return nil
	}
	pos := int64(0)
	for _, p := range r.Pieces {
		if p.From != pos || p.To < p.From {
			return fmt.Errorf("%s: a piece from %d to %d comes at %d", w.Attempt, p.From, p.To, pos)
		}
		pos = p.To
		switch {
		case p.What != archive.PieceData:
			if p.What == archive.PieceMissing && p.From < int64(w.Promised) {
				return fmt.Errorf("%s: bytes %d to %d are missing without a reason; %d are promised", w.Attempt, p.From, p.To, w.Promised)
			}
		case p.To > int64(len(w.Output)) || string(p.Data) != w.Output[p.From:p.To]:
			return fmt.Errorf("%s: bytes %d to %d are not what was written", w.Attempt, p.From, p.To)
		}
	}
	switch {
	case pos < int64(w.Promised):
		return fmt.Errorf("%s: ends at %d; %d bytes are promised", w.Attempt, pos, w.Promised)
	case w.Ended && !r.Ended:
		return fmt.Errorf("%s: its end is not on record", w.Attempt)
	case w.Ended && pos != int64(len(w.Output)):
		return fmt.Errorf("%s: %d bytes of %d, though it is over", w.Attempt, pos, len(w.Output))
	}
	for name, data := range r.Files {
		if w.Files[name] != data {
			return fmt.Errorf("%s: file %s is not what was written", w.Attempt, name)
		}
	}
	if w.Ended && len(r.Files) != len(w.Files) {
		return fmt.Errorf("%s: %d files of %d", w.Attempt, len(r.Files), len(w.Files))
	}
	return nil
}

// ReadAttempt reads all of an attempt.
func ReadAttempt(ctx context.Context, c *reader.Client, a archive.Attempt) (*ReadResult, error) {
	out := &ReadResult{Files: map[string]string{}}
	all, answered, err := c.Attempts(ctx, reader.Query{Job: a.Job, Files: true})
	if err != nil {
		return nil, err
	}
	if !answered.Whole {
		return nil, fmt.Errorf("%v are silent", answered.Silent)
	}
	for i := range all {
		if all[i].Attempt != a {
			continue
		}
		out.Found = true
		for _, f := range all[i].Files {
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
		out.Pieces = append(out.Pieces, p.Pieces...)
		out.Ended = p.Over
		if !p.More || p.Next <= from {
			return out, nil
		}
		from = p.Next
	}
}

// CheckDenied tells whether a reader is told anything of an attempt.
func CheckDenied(ctx context.Context, c *reader.Client, a archive.Attempt) error {
	if got, err := ReadAttempt(ctx, c, a); err != nil || got.Found {
		return fmt.Errorf("%s: another customer finds it: %v", a, err)
	}
	if _, err := c.Page(ctx, a, archive.Stdout, 0); !errors.Is(err, reader.ErrNotFound) {
		return fmt.Errorf("%s: another customer reads its output: %v", a, err)
	}
	if err := c.File(ctx, a, &archive.File{Path: "out/result.csv", Chunks: []string{""}}, io.Discard); !errors.Is(err, reader.ErrNotFound) {
		return fmt.Errorf("%s: another customer reads its files: %v", a, err)
	}
	return nil
}

// waitTimeout bounds how long is waited for what must come.
const waitTimeout = 60 * time.Second

// waitShipped waits until a machine has nothing to ship; with ends, the ends too.
func waitShipped(m *Machine, ends bool) error {
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		// Its files must have been looked at after the last write.
		time.Sleep(60 * time.Millisecond)
		st := m.Stats()
		if st.Left == 0 && (!ends || m.Left() == 0) {
			return nil
		}
	}
	return fmt.Errorf("%s still has %+v to ship", m.Name, m.Stats())
}

// waitReplicated waits until the nodes, but for one, agree.
func (s *Site) waitReplicated(but string) error {
	var last error
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		last = nil
		count := map[int64]bool{}
		for name, n := range s.Nodes {
			if name == but {
				continue
			}
			if err := n.Level(context.Background()); err != nil {
				last = err
			}
		}
		for name, n := range s.Nodes {
			if name != but {
				count[n.Stats().Records] = true
			}
		}
		if last == nil && len(count) == 1 {
			return nil
		}
	}
	return fmt.Errorf("the nodes do not come level: %w", last)
}

// Add adds another history's figures.
func (d *Drawn) Add(o Drawn) {
	d.Attempts, d.Bytes, d.Files = d.Attempts+o.Attempts, d.Bytes+o.Bytes, d.Files+o.Files
	d.NodeStops, d.DisksLost = d.NodeStops+o.NodeStops, d.DisksLost+o.DisksLost
	d.AgentStops, d.MachinesLost = d.AgentStops+o.AgentStops, d.MachinesLost+o.MachinesLost
	d.Reads, d.Denied = d.Reads+o.Reads, d.Denied+o.Denied
	d.Mended, d.Pulled = d.Mended+o.Mended, d.Pulled+o.Pulled
}
