package ship

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"silvergate/internal/archive"
	"silvergate/internal/archive/node"
	"silvergate/internal/identity"
)

// Writer has records stored by a quorum of their nodes. It is safe for concurrent
// use.
type Writer struct {
	log     *slog.Logger
	members archive.Members
	nodes   []*nodeClient
}

// nodeClient is an archive node as an agent sees it.
type nodeClient struct {
	name, address string
	http          *http.Client

	mu        sync.Mutex
	backOff   *backoff.ExponentialBackOff
	notBefore time.Time // not asked before, after it failed
	inFlight  int       // requests on their way
}

// maxInFlight bounds the requests on their way to one node: a slow one must not
// gather what the others have long stored. It fetches that from them by itself.
const maxInFlight = 3

// NewWriter makes a writer that connects with the certificate of k, which stays the
// caller's.
func NewWriter(k *identity.Keeper, members []node.Member, replicas int, log *slog.Logger) *Writer {
	w := &Writer{log: log, members: archive.Members{Replicas: replicas}}
	for _, m := range members {
		b := backoff.NewExponentialBackOff()
		b.InitialInterval, b.MaxInterval = 100*time.Millisecond, 5*time.Second
		w.members.Names = append(w.members.Names, m.Name)
		w.nodes = append(w.nodes, &nodeClient{name: m.Name, address: m.Address, backOff: b, http: &http.Client{Timeout: putTimeout,
			Transport: &http.Transport{TLSClientConfig: k.Dial(identity.Node, m.Name), MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute,
				TLSHandshakeTimeout: 3 * time.Second, DisableCompression: true}}})
	}
	return w
}

// putTimeout is how long a node may take to keep records: a slow disk must not
// hold up what the others have kept.
const putTimeout = 5 * time.Second

// errBackingOff says that a node is not asked now: it failed just before, or has
// maxInFlight requests.
var errBackingOff = errors.New("it did not answer just now")

// errRefused says that nodes do not take a record, now or later.
var errRefused = errors.New("refused")

// post has the node store records, unless it is not to be asked now.
func (r *nodeClient) post(ctx context.Context, body []byte) error {
	r.mu.Lock()
	if time.Until(r.notBefore) > 0 || r.inFlight == maxInFlight {
		r.mu.Unlock()
		return errBackingOff
	}
	r.inFlight++
	r.mu.Unlock()
	err := r.sendRecords(ctx, body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	switch {
	case err == nil || errors.Is(err, errRefused):
		r.backOff.Reset()
	case ctx.Err() == nil:
		r.notBefore = time.Now().Add(r.backOff.NextBackOff())
	}
	return err
}

// sendRecords sends one request with records.
func (r *nodeClient) sendRecords(ctx context.Context, body []byte) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+r.address+node.PathRecords, bytes.NewReader(body))
	if err != nil {
		return err
	}
	a, err := r.http.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(a.Body, 1<<10))
	switch a.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusForbidden, http.StatusBadRequest:
		return fmt.Errorf("%w: %s: %s", errRefused, a.Status, bytes.TrimSpace(text))
	}
	return fmt.Errorf("%s: %s", a.Status, bytes.TrimSpace(text))
}

// Put has records stored. kept tells, for each, whether a quorum of its nodes has it
// on disk; refused whether a quorum says that it never will. A node that is slow is
// not waited for once each record has its quorum of either. Failures are logged: a
// record that is neither kept nor refused may be put again. The records are not
// changed, and may be used again when Put returns.
func (w *Writer) Put(ctx context.Context, records []archive.Record) (kept, refused []bool) {
	kept, refused = make([]bool, len(records)), make([]bool, len(records))
	yes, no := make([]int, len(records)), make([]int, len(records))
	owners := make([][]string, len(records))
	for i := range records {
		owners[i] = w.members.Of(archive.Unit(records[i].Key.Attempt))
	}
	type result struct {
		mine []int
		err  error
	}
	results := make(chan result, len(w.nodes))
	asked := 0
	for _, r := range w.nodes {
		var mine []int
		var body []byte
		for i := range records {
			if slices.Contains(owners[i], r.name) {
				mine, body = append(mine, i), archive.AppendFrame(body, &records[i])
			}
		}
		if len(mine) == 0 {
			continue
		}
		asked++
		go func() {
			err := r.post(ctx, body)
			if err != nil && !errors.Is(err, errBackingOff) {
				w.log.Debug("records not kept", "node", r.name, "records", len(mine), "error", err)
			}
			results <- result{mine, err}
		}()
	}
	q := w.members.Quorum()
	for ; asked > 0; asked-- {
		res := <-results
		all := true
		for _, i := range res.mine {
			switch {
			case res.err == nil:
				yes[i]++
			case errors.Is(res.err, errRefused):
				no[i]++
			}
		}
		for i := range records {
			kept[i], refused[i] = yes[i] >= q, no[i] >= q
			all = all && (kept[i] || refused[i])
		}
		if all {
			break
		}
	}
	return kept, refused
}

// get reads a path, at most identity.MaxRevocations bytes.
func (r *nodeClient) get(ctx context.Context, path string) ([]byte, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+r.address+path, nil)
	if err != nil {
		return nil, err
	}
	a, err := r.http.Do(q)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return nil, errors.New(a.Status)
	}
	return io.ReadAll(io.LimitReader(a.Body, identity.MaxRevocations))
}
