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

// Writer sends records to the nodes that keep them, and needs a quorum of these to
// store each record. It is safe for concurrent use.
type Writer struct {
	log     *slog.Logger
	members archive.Members
	nodes   []*nodeClient
}

// nodeClient sends requests to one archive node.
type nodeClient struct {
	name, address string
	http          *http.Client

	mu        sync.Mutex
	backOff   *backoff.ExponentialBackOff
	notBefore time.Time // after a failure, the earliest time of the next request
	inFlight  int       // requests without an answer yet
}

// maxInFlight bounds the requests in flight to one node. Without a bound, requests to a
// slow node pile up with records that the other nodes have long stored. The slow node
// later fetches the records that it lacks from the other nodes.
const maxInFlight = 3

// NewWriter returns a writer that connects with the given credentials, which the caller
// still owns.
func NewWriter(credentials *identity.Credentials, members []node.Member, replicas int, log *slog.Logger) *Writer {
	w := &Writer{log: log, members: archive.Members{Replicas: replicas}}
	for _, m := range members {
		b := backoff.NewExponentialBackOff()
		b.InitialInterval, b.MaxInterval = 100*time.Millisecond, 5*time.Second
		w.members.Names = append(w.members.Names, m.Name)
		w.nodes = append(w.nodes, &nodeClient{name: m.Name, address: m.Address, backOff: b, http: &http.Client{Timeout: putTimeout,
			Transport: &http.Transport{TLSClientConfig: credentials.ClientConfig(identity.Node, m.Name), MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute,
				TLSHandshakeTimeout: 3 * time.Second, DisableCompression: true}}})
	}
	return w
}

// putTimeout bounds how long a node may take to store records, so that a node with a slow
// disk does not delay records that the other nodes have stored.
const putTimeout = 5 * time.Second

// errBackingOff means that no request is sent to a node now: a request to it failed
// shortly before, or maxInFlight requests are in flight.
var errBackingOff = errors.New("the node failed shortly before, or has too many requests in flight")

// errRefused means that nodes refuse a record, and always will.
var errRefused = errors.New("refused")

// post sends records to the node to store. It returns errBackingOff, without a request,
// if the node failed shortly before or maxInFlight requests to it are in flight.
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

// sendRecords sends one request with records. It returns errRefused if the node refuses
// them.
func (r *nodeClient) sendRecords(ctx context.Context, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+r.address+node.PathRecords, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := r.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusForbidden, http.StatusBadRequest:
		return fmt.Errorf("%w: %s: %s", errRefused, response.Status, bytes.TrimSpace(text))
	}
	return fmt.Errorf("%s: %s", response.Status, bytes.TrimSpace(text))
}

// Put sends records to their nodes. stored reports for each record whether a quorum of its
// nodes has it on disk, and refused whether a quorum refuses it for good. Put returns as
// soon as each record has a quorum either way, without waiting for slow nodes. It logs
// failures; the caller may put a record again that is neither stored nor refused. Put does
// not change the records, and the caller may use them again when it returns.
func (w *Writer) Put(ctx context.Context, records []archive.Record) (stored, refused []bool) {
	stored, refused = make([]bool, len(records)), make([]bool, len(records))
	accepts, refusals := make([]int, len(records)), make([]int, len(records))
	replicas := make([][]string, len(records))
	for i := range records {
		replicas[i] = w.members.NodesFor(archive.PlacementUnit(records[i].Key.Attempt))
	}
	type result struct {
		indices []int // of the records that the node was sent
		err     error
	}
	results := make(chan result, len(w.nodes))
	pending := 0
	for _, r := range w.nodes {
		var indices []int
		var body []byte
		for i := range records {
			if slices.Contains(replicas[i], r.name) {
				indices, body = append(indices, i), archive.AppendFrame(body, &records[i])
			}
		}
		if len(indices) == 0 {
			continue
		}
		pending++
		go func() {
			err := r.post(ctx, body)
			if err != nil && !errors.Is(err, errBackingOff) {
				w.log.Debug("a node did not store records", "node", r.name, "records", len(indices), "error", err)
			}
			results <- result{indices, err}
		}()
	}
	quorum := w.members.Quorum()
	for ; pending > 0; pending-- {
		res := <-results
		all := true
		for _, i := range res.indices {
			switch {
			case res.err == nil:
				accepts[i]++
			case errors.Is(res.err, errRefused):
				refusals[i]++
			}
		}
		for i := range records {
			stored[i], refused[i] = accepts[i] >= quorum, refusals[i] >= quorum
			all = all && (stored[i] || refused[i])
		}
		if all {
			break
		}
	}
	return stored, refused
}

// get requests a path of the node and returns at most identity.MaxRevocations bytes of
// the answer.
func (r *nodeClient) get(ctx context.Context, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+r.address+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := r.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.New(response.Status)
	}
	return io.ReadAll(io.LimitReader(response.Body, identity.MaxRevocations))
}
