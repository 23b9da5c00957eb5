// Package node is an archive node: it keeps records for a site's agents, brings
// other nodes and itself level, lets things expire, and answers whoever may read.
//
// A Node owns a vault and what is derived of it in memory: a digest tree for each
// other node, what expired, and what each attempt takes. All connections are mutual
// TLS 1.3; who may do what is archive.Access's to say. What somebody may not see is
// answered as what is not there.
//
// node.go holds the settings, the account and the server; put.go takes records;
// read.go answers readers; sync.go brings nodes level; expire.go drops.
package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"silvergate/internal/archive"
	"silvergate/internal/archive/vault"
	"silvergate/internal/identity"
)

// Config is what a node is told, in YAML.
type Config struct {
	Name   string `yaml:"name"`
	Listen string `yaml:"listen"`
	// Dir is the vault's folder; Certs that of the node's certificate.
	Dir   string `yaml:"dir"`
	Certs string `yaml:"certs"`
	// GrantKey is the file with the key that controllers seal grants with.
	GrantKey string   `yaml:"grant_key"`
	Members  []Member `yaml:"members"` // all nodes, this one too
	Replicas int      `yaml:"replicas"`
	// Revocations is the authority's list, when this machine can read it.
	Revocations string `yaml:"revocations"`
	// SyncS is the time between two comparisons with another node, in seconds;
	// SyncMBPerS bounds what is fetched to come level; 0: unbounded.
	SyncS      float64 `yaml:"sync_s"`
	SyncMBPerS float64 `yaml:"sync_mb_per_s"`
	// ScrubMBPerS is the rate at which what lies here is read and checked.
	ScrubMBPerS float64 `yaml:"scrub_mb_per_s"`
	// PendingMB bounds what is being written at a time; more is answered with 503.
	PendingMB float64           `yaml:"pending_mb"`
	Retention archive.Retention `yaml:"retention"`
	// TombstoneS is how long it is remembered that something expired.
	TombstoneS float64 `yaml:"tombstone_s"`
}

// Member is a node.
type Member struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// DefaultConfig returns what holds for fields that a file does not name.
func DefaultConfig() Config {
	return Config{Replicas: 3, SyncS: 10, SyncMBPerS: 20, ScrubMBPerS: 2, PendingMB: 64, TombstoneS: 90 * 24 * 3600}
}

// CheckMembers names the first that can't be.
func CheckMembers(members []Member) error {
	if len(members) == 0 {
		return errors.New("members: missing")
	}
	seen := map[string]bool{}
	for i, m := range members {
		if !identity.ValidName(m.Name) || seen[m.Name] {
			return fmt.Errorf("members[%d].name: missing, repeated or not a name", i)
		}
		seen[m.Name] = true
		if _, err := netip.ParseAddrPort(m.Address); err != nil {
			return fmt.Errorf("members[%d].address: %q is not an IP address with a port", i, m.Address)
		}
	}
	return nil
}

// Check names the first field that can't be.
func (c *Config) Check() error {
	if err := CheckMembers(c.Members); err != nil {
		return err
	}
	self := false
	for _, m := range c.Members {
		self = self || m.Name == c.Name
	}
	switch {
	case !self:
		return errors.New("name: missing, or not one of members")
	case c.Dir == "":
		return errors.New("dir: missing")
	case c.Certs == "":
		return errors.New("certs: missing")
	case c.GrantKey == "":
		return errors.New("grant_key: missing")
	case c.Replicas < 1:
		return errors.New("replicas: must be at least 1")
	case !(c.SyncS > 0):
		return errors.New("sync_s: must be above 0")
	case !(c.SyncMBPerS >= 0) || !(c.ScrubMBPerS >= 0):
		return errors.New("sync_mb_per_s, scrub_mb_per_s: must not be negative")
	case !(c.PendingMB >= 8):
		return errors.New("pending_mb: must be at least 8")
	case !(c.TombstoneS > 0):
		return errors.New("tombstone_s: must be above 0")
	}
	if bad := c.Retention.Check(); bad != "" {
		return errors.New("retention.rules: " + bad)
	}
	return nil
}

// Stats counts what a node did.
type Stats struct {
	vault.Stats
	Puts, Refused, Busy int64
	Reads, Denied       int64
	Mended, Pulled      int64 // records that were brought to where they were missing
	PulledBytes         int64
	Expired             int64 // records dropped by retention
	Strays              int64 // records here that other nodes keep
	Rounds              int64 // comparisons with another node
}

// Node is an archive node.
type Node struct {
	cfg     Config
	log     *slog.Logger
	keep    *identity.Keeper
	key     archive.GrantKey
	members archive.Members
	vault   *vault.Vault
	peers   map[string]*peer
	pull    *rate.Limiter
	server  *http.Server
	// Now is the day's clock.
	Now func() time.Time

	mu      sync.Mutex
	trees   map[string]*archive.Tree // by peer: what both keep
	uses    map[string]*use          // by attempt
	expired map[string]archive.Expired
	strays  map[string]bool // keys
	marks   []archive.Key   // of expiry, met before the vault was open
	pending int64           // bytes being written
	stats   Stats
	mending chan mend
	stop    context.CancelFunc
	ctx     context.Context
	wait    sync.WaitGroup
}

// use is what an attempt takes here.
type use struct {
	bytes   int64
	records int
	last    time.Time
	over    bool
	owner   *archive.Grant // nil: not read yet
}

// Open opens a node; Serve starts it.
func Open(cfg Config, log *slog.Logger) (*Node, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, log: log, Now: time.Now, peers: map[string]*peer{}, trees: map[string]*archive.Tree{}, uses: map[string]*use{},
		expired: map[string]archive.Expired{}, strays: map[string]bool{}, mending: make(chan mend, 256), members: archive.Members{Replicas: cfg.Replicas}}
	var err error
	if n.keep, err = identity.NewKeeper(cfg.Certs, log); err != nil {
		return nil, err
	}
	if me := n.keep.Me(); me.Kind != identity.Node || me.Name != cfg.Name {
		return nil, fmt.Errorf("certs: the certificate is %s's, not node/%s's", me, cfg.Name)
	}
	if n.key, err = archive.LoadGrantKey(cfg.GrantKey); err != nil {
		return nil, err
	}
	for _, m := range cfg.Members {
		n.members.Names = append(n.members.Names, m.Name)
		if m.Name == cfg.Name {
			continue
		}
		n.peers[m.Name] = newPeer(n.keep, m)
		n.trees[m.Name] = &archive.Tree{}
	}
	n.pull = rate.NewLimiter(rate.Inf, 0)
	if cfg.SyncMBPerS > 0 {
		n.pull = rate.NewLimiter(rate.Limit(cfg.SyncMBPerS*1e6), 4*archive.MaxPayload)
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	if n.vault, err = vault.Open(vault.Config{Dir: filepath.Join(cfg.Dir, "vault"), Labels: labels, Added: n.added, Removed: n.removed}, log); err != nil {
		n.stop()
		return nil, err
	}
	for _, k := range n.marks {
		n.learnExpiry(k)
	}
	n.marks = nil
	return n, nil
}

// labels are the names under which an attempt is found again.
func labels(r *archive.Record) []string {
	var g archive.Grant
	if r.Key.Kind != archive.KindGrant || r.Key.Attempt == archive.Files(r.Key.Attempt.Job) || json.Unmarshal(r.Payload, &g) != nil {
		return nil
	}
	return []string{"all", labelTeam(g.Team), labelCustomer(g.Team, g.Customer), "class\x00" + g.Class, "machine\x00" + g.Machine, labelDay(time.UnixMilli(g.At))}
}

func labelTeam(team string) string               { return "team\x00" + team }
func labelCustomer(team, customer string) string { return "customer\x00" + team + "\x00" + customer }
func labelDay(t time.Time) string                { return "day\x00" + t.UTC().Format("2006-01-02") }

// added and removed keep the account; the vault calls them.
func (n *Node) added(i vault.Info) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if i.Key.Kind == archive.KindExpired && n.vault == nil {
		n.marks = append(n.marks, i.Key)
	}
	n.place(i.Key, true)
	a := i.Key.Attempt.String()
	u := n.uses[a]
	if u == nil {
		u = &use{}
		n.uses[a] = u
	}
	u.bytes, u.records = u.bytes+i.Bytes, u.records+1
	if i.At.After(u.last) {
		u.last = i.At
	}
	u.over = u.over || i.Key.Kind == archive.KindEnd || i.Key.Attempt == archive.Files(i.Key.Attempt.Job)
}

func (n *Node) removed(i vault.Info) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.place(i.Key, false)
	a := i.Key.Attempt.String()
	if u := n.uses[a]; u != nil {
		u.bytes, u.records = u.bytes-i.Bytes, u.records-1
		if u.records == 0 {
			delete(n.uses, a)
		}
	}
}

// place enters a key into the trees that it belongs to, or takes it out.
func (n *Node) place(k archive.Key, in bool) {
	unit, key := archive.Unit(k.Attempt), k.String()
	owners := n.members.Of(unit)
	mine := false
	for _, o := range owners {
		mine = mine || o == n.cfg.Name
	}
	if !mine {
		if in {
			n.strays[key] = true
		} else {
			delete(n.strays, key)
		}
		return
	}
	for _, o := range owners {
		t := n.trees[o]
		switch {
		case t == nil:
		case in:
			t.Add(archive.Leaf(unit), key)
		default:
			t.Remove(archive.Leaf(unit), key)
		}
	}
}

// Serve takes requests at a listener until Stop.
func (n *Node) Serve(l net.Listener) error {
	server := &http.Server{Handler: n.handler(), TLSConfig: n.keep.Serve(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 60 * time.Second,
		WriteTimeout: 120 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
	server.TLSConfig.NextProtos = []string{"http/1.1"}
	n.mu.Lock()
	if n.ctx.Err() != nil {
		// Guards against a listener that stays when the node was stopped just before.
		n.mu.Unlock()
		return l.Close()
	}
	n.server = server
	n.wait.Add(len(n.tasks()))
	n.mu.Unlock()
	for _, run := range n.tasks() {
		go func() {
			defer n.wait.Done()
			run()
		}()
	}
	n.log.Info("serving", "listen", l.Addr().String(), "members", len(n.members.Names), "replicas", n.cfg.Replicas)
	if err := server.ServeTLS(l, "", ""); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// tasks are what a node does by itself while it serves.
func (n *Node) tasks() []func() {
	return []func(){n.syncAll, n.mendAll, n.scrub, n.expireAll, n.revocations}
}

// Stop ends the node.
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

// Stats returns the counters.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.stats
	s.Stats = n.vault.Stats()
	s.Strays = int64(len(n.strays))
	return s
}

func (n *Node) count(do func(s *Stats)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do(&n.stats)
}

// every calls do each period until the node stops.
func (n *Node) every(period time.Duration, do func()) {
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(period):
		}
		do()
	}
}

// revocations brings the newest list here: from the authority's folder, when it can
// be read, and from the other nodes, whoever of them is there.
func (n *Node) revocations() {
	n.every(RevocationsEvery, func() {
		if n.cfg.Revocations != "" {
			if raw, err := os.ReadFile(n.cfg.Revocations); err == nil {
				if _, err := n.keep.Learn(raw); err != nil {
					n.log.Error("the authority's list of revocations can't be used", "file", n.cfg.Revocations, "err", err)
				}
			}
		}
		for _, p := range n.peers {
			raw, err := p.get(n.ctx, PathRevocations, identity.MaxRevocations)
			if err == nil {
				_, err = n.keep.Learn(raw)
			}
			if err != nil {
				n.log.Debug("no list of revocations", "from", p.name, "err", err)
			}
		}
	})
}

// RevocationsEvery is how often nodes and agents ask for revocations: one is
// effective everywhere within three such times of the first node hearing of it.
const RevocationsEvery = 5 * time.Second

// Paths.
const (
	PathRecords     = "/v1/records" // POST: records to be kept
	PathGet         = "/v1/get"     // POST: keys; nodes only
	PathTree        = "/v1/tree"    // nodes only
	PathLeaf        = "/v1/leaf"
	PathRows        = "/v1/rows"
	PathCuts        = "/v1/cuts"
	PathAttempts    = "/v1/attempts" // for readers
	PathStream      = "/v1/stream"
	PathFile        = "/v1/file"
	PathRevocations = "/v1/revocations"
	PathStats       = "/v1/stats"
)

// handler judges each request before anything else.
func (n *Node) handler() http.Handler {
	mux := http.NewServeMux()
	with := func(pattern string, do func(w http.ResponseWriter, r *http.Request, who identity.Identity)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			who, ok := n.keep.Who(r)
			if !ok {
				w.Header().Set("Connection", "close")
				refuse(w, http.StatusForbidden, "refused")
				return
			}
			do(w, r, who)
		})
	}
	sync := func(pattern string, do func(w http.ResponseWriter, r *http.Request, peer string)) {
		with(pattern, func(w http.ResponseWriter, r *http.Request, who identity.Identity) {
			if !archive.Access(who, archive.Sync, archive.Owner{}, "") {
				n.audit(who, archive.Sync, r.URL.Path, false)
				notFound(w)
				return
			}
			do(w, r, who.Name)
		})
	}
	with("POST "+PathRecords, n.put)
	with("GET "+PathAttempts, n.attempts)
	with("GET "+PathStream, n.stream)
	with("GET "+PathFile, n.file)
	with("GET "+PathRevocations, func(w http.ResponseWriter, _ *http.Request, _ identity.Identity) {
		_, _ = w.Write(n.keep.Revocations())
	})
	with("POST "+PathRevocations, func(w http.ResponseWriter, r *http.Request, _ identity.Identity) {
		// Signed by the authority: it does not matter who brings it.
		raw, err := readAll(w, r, identity.MaxRevocations)
		if err == nil {
			_, err = n.keep.Learn(raw)
		}
		if err != nil {
			refuse(w, http.StatusBadRequest, "not a list of revocations of this site's authority")
			return
		}
		answer(w, struct{}{})
	})
	with("GET "+PathStats, func(w http.ResponseWriter, r *http.Request, who identity.Identity) {
		if !archive.Access(who, archive.Admin, archive.Owner{}, "") {
			n.audit(who, archive.Admin, r.URL.Path, false)
			notFound(w)
			return
		}
		answer(w, n.Stats())
	})
	sync("POST "+PathGet, n.getRecords)
	sync("GET "+PathTree, n.tree)
	sync("GET "+PathLeaf, n.leaf)
	sync("GET "+PathRows, n.localRows)
	sync("GET "+PathCuts, n.localCuts)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { notFound(w) })
	return mux
}

// audit records a decision on access.
func (n *Node) audit(who identity.Identity, verb archive.Verb, what string, allowed bool) {
	if !allowed {
		n.count(func(s *Stats) { s.Denied++ })
	}
	n.log.Info("access", "who", who.String(), "verb", string(verb), "what", what, "allowed", allowed)
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func refuse(w http.ResponseWriter, status int, why string) {
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable || status == http.StatusInsufficientStorage {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": why})
}

// notFound is the answer for what is not there, and for what somebody may not see.
func notFound(w http.ResponseWriter) { refuse(w, http.StatusNotFound, "no such thing") }
