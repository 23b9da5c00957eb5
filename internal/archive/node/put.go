package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/archive/vault"
	"silvergate/internal/identity"
)

// MaxPut is the maximum size of a request with records, in bytes.
const MaxPut = 8 << 20

// readAll reads a request's body. A body of more than limit bytes is an error.
func readAll(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}

// reserve reserves size bytes of the limit on pending writes and reports whether they were
// available.
func (n *Node) reserve(size int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pendingBytes+size > int64(n.cfg.PendingMB*(1<<20)) {
		n.stats.Busy++
		return false
	}
	n.pendingBytes += size
	return true
}

// put stores the records in a request's body and responds when they are on disk.
func (n *Node) put(w http.ResponseWriter, r *http.Request, who identity.Identity) {
	if r.ContentLength < 0 || r.ContentLength > MaxPut {
		writeError(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("the length must be given and be at most %d bytes", MaxPut))
		return
	}
	if !n.reserve(r.ContentLength) {
		writeError(w, http.StatusServiceUnavailable, "too much is being written now")
		return
	}
	defer func() {
		n.mu.Lock()
		n.pendingBytes -= r.ContentLength
		n.mu.Unlock()
	}()
	raw, err := readAll(w, r, MaxPut)
	if err != nil {
		writeError(w, http.StatusBadRequest, "the body was cut off")
		return
	}
	records, err := parseRecords(raw)
	if err != nil {
		n.count(func(s *Stats) { s.Refused++ })
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := n.authorizeWrite(who, records); err != nil {
		n.count(func(s *Stats) { s.Refused++ })
		n.log.Warn("records rejected", "from", who.String(), "records", len(records), "reason", err)
		n.audit(who, archive.Write, records[0].Key.Attempt.String(), false)
		writeError(w, http.StatusForbidden, "refused")
		return
	}
	switch err := n.store(r.Context(), records); {
	case err == nil:
		writeJSON(w, map[string]int{"kept": len(records)})
	case errors.Is(err, vault.ErrFull):
		writeError(w, http.StatusInsufficientStorage, "the disk is full")
	default:
		n.log.Error("can't store records", "error", err)
		writeError(w, http.StatusServiceUnavailable, "records can't be kept now")
	}
}

// parseRecords decodes and checks the records in a body. A body without records is an error.
func parseRecords(raw []byte) (records []archive.Record, err error) {
	for in := bytes.NewReader(raw); ; {
		r, err := archive.ReadFrame(in)
		if err == io.EOF {
			break
		}
		if err == nil {
			err = r.Check()
		}
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", len(records), err)
		}
		records = append(records, r)
	}
	if len(records) == 0 {
		return nil, errors.New("no records")
	}
	return records, nil
}

var (
	errNoGrant      = errors.New("the request has records of an attempt or a job without a grant for it")
	errNodeOnlyKind = errors.New("only nodes may write expiry records")
)

// authorizeWrite returns an error if the caller may not write the records. All grants among
// them must be valid and, if an agent sends them, for its machine. A node may write any other
// records. An agent may write those of attempts whose grants are in the same request, and the
// chunks of these attempts' jobs, but no expiry records.
func (n *Node) authorizeWrite(who identity.Identity, records []archive.Record) error {
	isNode := archive.Access(who, archive.Sync, archive.Owner{}, "")
	granted, jobs := map[archive.Attempt]bool{}, map[string]bool{}
	for i := range records {
		if records[i].Key.Kind != archive.KindGrant {
			continue
		}
		g, err := n.grantKey.Verify(records[i].Payload)
		if err != nil {
			return err
		}
		if !isNode && !archive.Access(who, archive.Write, g.Owner, g.Machine) {
			return fmt.Errorf("the grant of %s is for machine %s", g.Attempt, g.Machine)
		}
		granted[g.Attempt], jobs[g.Job] = true, true
	}
	if isNode {
		return nil
	}
	for i := range records {
		k := records[i].Key
		switch {
		case k.Kind == archive.KindExpired:
			return errNodeOnlyKind
		case k.Attempt == archive.FilesAttempt(k.Attempt.Job):
			if !jobs[k.Attempt.Job] {
				return errNoGrant
			}
		case !granted[k.Attempt]:
			return errNoGrant
		}
	}
	return nil
}

// store writes those of the records that have not expired to the vault, and applies the expiry
// records among them.
func (n *Node) store(ctx context.Context, records []archive.Record) error {
	n.mu.Lock()
	fresh := make([]archive.Record, 0, len(records))
	for _, r := range records {
		if !n.derived.expired[r.Key.Attempt.String()].Covers(r.Key) {
			fresh = append(fresh, r)
		}
	}
	n.mu.Unlock()
	n.count(func(s *Stats) { s.Puts++ })
	if len(fresh) == 0 {
		return nil
	}
	if err := n.vault.Put(ctx, fresh); err != nil {
		return err
	}
	for i := range fresh {
		if fresh[i].Key.Kind == archive.KindExpired {
			n.applyExpiry(fresh[i].Key)
		}
	}
	return nil
}

// peer is a client of another node.
type peer struct {
	name, address string
	http          *http.Client
}

// peerTimeout is the timeout of a request to another node; readTimeout applies instead when
// all nodes are asked on behalf of a reader.
const (
	peerTimeout = 30 * time.Second
	readTimeout = 2 * time.Second
)

// newPeer returns a client of a node.
func newPeer(credentials *identity.Credentials, m Member) *peer {
	t := &http.Transport{TLSClientConfig: credentials.ClientConfig(identity.Node, m.Name), MaxIdleConnsPerHost: 4, MaxConnsPerHost: 16,
		IdleConnTimeout: 30 * time.Second, TLSHandshakeTimeout: 5 * time.Second, DisableCompression: true}
	return &peer{m.Name, m.Address, &http.Client{Transport: t, Timeout: peerTimeout}}
}

// do sends a request and returns the body of the response. A body of more than limit bytes
// and a status other than 200 are errors.
func (p *peer) do(ctx context.Context, method, target string, body []byte, limit int64) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "https://"+p.address+target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	a, err := p.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if a.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s: %.200s", p.name, a.Status, raw)
	}
	if int64(len(raw)) > limit {
		return nil, fmt.Errorf("%s: the response is larger than %d bytes", p.name, limit)
	}
	return raw, nil
}

// get sends a GET request and returns the body of the response.
func (p *peer) get(ctx context.Context, target string, limit int64) ([]byte, error) {
	return p.do(ctx, http.MethodGet, target, nil, limit)
}

// maxAnswer is the maximum size of another node's JSON response, in bytes.
const maxAnswer = 32 << 20

// getJSON sends a GET request and decodes the JSON response into v.
func (p *peer) getJSON(ctx context.Context, target string, v any) error {
	raw, err := p.get(ctx, target, maxAnswer)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, v)
}

// fetch gets records by their keys from another node and checks them. The result lacks
// records that the node does not have or that did not fit in its response.
func (p *peer) fetch(ctx context.Context, keys []string) ([]archive.Record, error) {
	body, err := json.Marshal(keys)
	if err != nil {
		return nil, err
	}
	raw, err := p.do(ctx, http.MethodPost, PathGet, body, 2*MaxPut)
	if err != nil || len(raw) == 0 {
		return nil, err
	}
	return parseRecords(raw)
}

// getRecords responds with the requested records that are stored here, as many as fit in a
// response.
func (n *Node) getRecords(w http.ResponseWriter, r *http.Request, _ string) {
	raw, err := readAll(w, r, 4<<20)
	var keys []string
	if err == nil {
		err = json.Unmarshal(raw, &keys)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "not a list of keys")
		return
	}
	var out []byte
	for _, s := range keys {
		k, err := archive.ParseKey(s)
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		record, err := n.vault.Get(k)
		if err != nil {
			continue
		}
		if len(out) > 0 && len(out)+archive.FrameSize(&record) > MaxPut {
			break
		}
		out = archive.AppendFrame(out, &record)
	}
	_, _ = w.Write(out)
}
