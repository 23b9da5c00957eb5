// Package node is an archive node: it keeps records for a site's agents, brings
// other nodes and itself level, lets things expire, and answers whoever may read.
//
// A Node owns a vault and what is derived from it in memory: a digest tree for each
// other node, what expired, and what each attempt takes. All connections are mutual
// TLS 1.3; who may do what is archive.Access's to say. What somebody may not see is
// answered as what is not there.
//
// config.go holds the settings; node.go opens and stops a node; derived.go keeps what
// is derived from the vault; server.go routes requests; put.go stores records and
// talks to other nodes; read.go lists what is here; attempts.go and stream.go answer
// readers; sync.go fills gaps; expire.go drops.
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

// Stats counts what a node did since it was opened. Its fields' names are those of
// the JSON at PathStats.
type Stats struct {
	vault.Stats
	Puts, Refused, Busy int64
	Reads, Denied       int64
	Mended, Pulled      int64 // records that readers found missing and that were restored; records fetched by comparisons
	PulledBytes         int64
	Expired             int64 // records dropped by retention
	Strays              int64 // records here that only other nodes should keep
	Rounds              int64 // comparisons with another node
}

// Node is an archive node. Open makes one, Serve lets it take requests, and whoever
// opened it ends it with Stop. It is safe for concurrent use.
type Node struct {
	cfg          Config
	log          *slog.Logger
	certificates *identity.Keeper
	grantKey     archive.GrantKey
	members      archive.Members
	vault        *vault.Vault
	peers        map[string]*peer // by name; all members but this one
	fetchLimit   *rate.Limiter    // bytes a second that are exchanged with other nodes
	// Now returns the time that expiry goes by. It may be replaced before Serve.
	Now func() time.Time

	repairs chan repair
	ctx     context.Context // ends with Stop
	stop    context.CancelFunc
	wait    sync.WaitGroup // the background tasks

	mu           sync.Mutex // guards the below
	server       *http.Server
	derived      derived
	pendingBytes int64 // of requests whose records are being written
	stats        Stats
}

// queuedRepairs is how many repairs wait before more are left to the comparisons.
const queuedRepairs = 256

// Open opens a node's vault and reads its certificate and its grant key. It returns
// an error if the settings are invalid, the certificate is not the node's, or the
// vault can't be opened. Serve starts the node; the caller ends it with Stop.
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
	if n.certificates, err = identity.NewKeeper(cfg.Certs, log); err != nil {
		return nil, err
	}
	if me := n.certificates.Me(); me.Kind != identity.Node || me.Name != cfg.Name {
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
		n.peers[m.Name] = newPeer(n.certificates, m)
		n.derived.trees[m.Name] = &archive.Tree{}
	}
	n.fetchLimit = rate.NewLimiter(rate.Inf, 0)
	if cfg.SyncMBPerS > 0 {
		n.fetchLimit = rate.NewLimiter(rate.Limit(cfg.SyncMBPerS*1e6), 4*archive.MaxPayload)
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

// grantLabels are the names under which an attempt is found again.
func grantLabels(r *archive.Record) []string {
	var g archive.Grant
	if r.Key.Kind != archive.KindGrant || r.Key.Attempt == archive.Files(r.Key.Attempt.Job) || json.Unmarshal(r.Payload, &g) != nil {
		return nil
	}
	return []string{"all", labelTeam(g.Team), labelCustomer(g.Team, g.Customer), "class\x00" + g.Class, "machine\x00" + g.Machine, labelDay(time.UnixMilli(g.At))}
}

// labelTeam and the other functions of this kind make the labels of what can be
// searched for.
func labelTeam(team string) string               { return "team\x00" + team }
func labelCustomer(team, customer string) string { return "customer\x00" + team + "\x00" + customer }
func labelDay(t time.Time) string                { return "day\x00" + t.UTC().Format("2006-01-02") }

// Stop closes the connections, waits for the background tasks and closes the vault.
// It is called once.
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

// count changes the counters under the lock.
func (n *Node) count(do func(s *Stats)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do(&n.stats)
}

// runEvery calls do each period until the node stops.
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

// refreshRevocations brings the newest list here: from the authority's folder, when it can
// be read, and from the other nodes, whoever of them is there.
func (n *Node) refreshRevocations() {
	n.runEvery(RevocationsEvery, func() {
		if n.cfg.Revocations != "" {
			if raw, err := os.ReadFile(n.cfg.Revocations); err == nil {
				if _, err := n.certificates.Learn(raw); err != nil {
					n.log.Error("the authority's list of revocations can't be used", "file", n.cfg.Revocations, "error", err)
				}
			}
		}
		for _, p := range n.peers {
			raw, err := p.get(n.ctx, PathRevocations, identity.MaxRevocations)
			if err == nil {
				_, err = n.certificates.Learn(raw)
			}
			if err != nil {
				n.log.Debug("no list of revocations", "from", p.name, "error", err)
			}
		}
	})
}

// RevocationsEvery is how often nodes and agents ask for revocations: one is
// effective everywhere within three such times of the first node hearing of it.
const RevocationsEvery = 5 * time.Second
