// Package node implements an archive node. A node stores records for a site's agents,
// synchronizes its records with the other nodes, drops expired records, and serves readers.
//
// A Node owns a vault and state derived from it in memory: a digest tree for each
// other node, the expiry of attempts, and the space that each attempt takes. All connections
// use mutual TLS 1.3. archive.Access makes the authorization decisions. A request for
// something that the caller may not see gets the same response as one for something that
// does not exist.
//
// config.go holds the settings; node.go opens and stops a node; derived.go maintains the
// state derived from the vault; server.go routes requests; put.go stores records and has
// the client for other nodes; read.go lists local records and gathers those of all nodes;
// attempts.go and stream.go serve readers; sync.go fetches missing records; expire.go
// applies retention.
package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"silvergate/internal/archive"
	"silvergate/internal/archive/vault"
	"silvergate/internal/identity"
)

// Stats holds a node's counters since it was opened. The field names are the keys of the
// JSON at PathStats.
type Stats struct {
	vault.Stats
	Puts, Refused, Busy int64
	Reads, Denied       int64
	Mended, Pulled      int64 // records found missing by readers and restored; records fetched after comparisons
	PulledBytes         int64
	Expired             int64 // records dropped by retention
	Strays              int64 // records stored here that only other nodes should store
	Rounds              int64 // comparisons with another node
}

// Node is an archive node. Open creates it, Serve makes it handle requests, and the caller of
// Open ends it with Stop. It is safe for concurrent use.
type Node struct {
	cfg         Config
	log         *slog.Logger
	credentials *identity.Credentials
	grantKey    archive.GrantKey
	members     archive.Members
	vault       *vault.Vault
	peers       map[string]*peer // by name; all members but this one
	syncLimiter *rate.Limiter    // bytes per second exchanged with other nodes
	// Now returns the current time for expiry. It may be replaced before Serve.
	Now func() time.Time

	repairs chan repair
	ctx     context.Context // canceled by Stop
	stop    context.CancelFunc
	wait    sync.WaitGroup // the background tasks

	mu           sync.Mutex // guards the fields below
	server       *http.Server
	derived      derived
	pendingBytes int64 // total body size of the requests whose records are being received or written
	stats        Stats
}

// queuedRepairs is the capacity of the repair queue. Further repairs are left to the
// comparisons between nodes.
const queuedRepairs = 256

// Open opens a node's vault and reads its certificate and its grant key. It returns
// an error if the settings are invalid, the certificate is not the node's, the grant key
// can't be loaded, or the vault can't be opened. Serve starts the node; the caller ends it
// with Stop.
func Open(cfg Config, log *slog.Logger) (*Node, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg:     cfg,
		log:     log,
		Now:     time.Now,
		peers:   map[string]*peer{},
		derived: newDerived(),
		repairs: make(chan repair, queuedRepairs),
		members: archive.Members{Replicas: cfg.Replicas},
	}
	var err error
	if n.credentials, err = identity.OpenCredentials(cfg.Certs, log); err != nil {
		return nil, err
	}
	if me := n.credentials.Identity(); me.Kind != identity.Node || me.Name != cfg.Name {
		return nil, fmt.Errorf("certs: the certificate is %s's, not node/%s's", me, cfg.Name)
	}
	if n.grantKey, err = archive.LoadGrantKey(cfg.GrantKey); err != nil {
		return nil, err
	}
	for _, m := range cfg.Members {
		n.members.Names = append(n.members.Names, m.Name)
		if m.Name == cfg.Name {
			continue
		}
		n.peers[m.Name] = newPeer(n.credentials, m)
		n.derived.trees[m.Name] = &archive.Tree{}
	}
	n.syncLimiter = rate.NewLimiter(rate.Inf, 0)
	if cfg.SyncMBPerS > 0 {
		n.syncLimiter = rate.NewLimiter(rate.Limit(cfg.SyncMBPerS*1e6), 4*archive.MaxPayload)
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	if n.vault, err = vault.Open(vault.Config{Dir: filepath.Join(cfg.Dir, "vault"), Labels: grantLabels, Added: n.recordAdded, Removed: n.recordRemoved}, log); err != nil {
		n.stop()
		return nil, err
	}
	for _, k := range n.derived.unreadExpiry {
		n.applyExpiry(k)
	}
	n.derived.unreadExpiry = nil
	return n, nil
}

// grantLabels returns the labels under which the vault indexes an attempt, if the record is
// its grant.
func grantLabels(r *archive.Record) []string {
	var g archive.Grant
	if r.Key.Kind != archive.KindGrant || r.Key.Attempt == archive.FilesAttempt(r.Key.Attempt.Job) || json.Unmarshal(r.Payload, &g) != nil {
		return nil
	}
	return []string{"all", labelTeam(g.Team), labelCustomer(g.Team, g.Customer), "class\x00" + g.Class, "machine\x00" + g.Machine, labelDay(time.UnixMilli(g.At))}
}

// labelTeam, labelCustomer and labelDay return the index labels of a team, a customer and a
// day.
func labelTeam(team string) string               { return "team\x00" + team }
func labelCustomer(team, customer string) string { return "customer\x00" + team + "\x00" + customer }
func labelDay(t time.Time) string                { return "day\x00" + t.UTC().Format("2006-01-02") }

// Stop closes the connections, waits for the background tasks and closes the vault. Further
// calls do nothing.
func (n *Node) Stop() {
	n.mu.Lock()
	n.stop()
	server := n.server
	n.mu.Unlock()
	if server != nil {
		server.Close()
	}
	n.wait.Wait()
	for _, p := range n.peers {
		p.http.CloseIdleConnections()
	}
	n.vault.Close()
}

// Stats returns a copy of the counters, with those of the vault.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.stats
	s.Stats = n.vault.Stats()
	s.Strays = int64(len(n.derived.strays))
	return s
}

// count updates the counters under the lock.
func (n *Node) count(do func(s *Stats)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do(&n.stats)
}

// runEvery calls do after each period until the node stops.
func (n *Node) runEvery(period time.Duration, do func()) {
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(period):
		}
		do()
	}
}

// refreshRevocations periodically updates the list of revocations from the authority's file,
// if this machine can read it, and from the other nodes that answer.
func (n *Node) refreshRevocations() {
	n.runEvery(RevocationsEvery, func() {
		if n.cfg.Revocations != "" {
			if raw, err := os.ReadFile(n.cfg.Revocations); err == nil {
				if _, err := n.credentials.ReceiveRevocations(raw); err != nil {
					n.log.Error("can't apply the authority's list of revocations", "file", n.cfg.Revocations, "error", err)
				}
			}
		}
		for _, p := range n.peers {
			raw, err := p.get(n.ctx, PathRevocations, identity.MaxRevocations)
			if err == nil {
				_, err = n.credentials.ReceiveRevocations(raw)
			}
			if err != nil {
				n.log.Debug("can't get a node's list of revocations", "from", p.name, "error", err)
			}
		}
	})
}

// RevocationsEvery is the interval at which nodes and agents ask for revocations. A
// revocation takes effect everywhere within three intervals of the first node learning of it.
const RevocationsEvery = 5 * time.Second
