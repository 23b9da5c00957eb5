package node

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/identity"
)

// Serve handles requests on a listener and runs the background tasks until Stop. It closes
// the listener. It returns nil after Stop, and the listener's error otherwise. It is called
// once.
func (n *Node) Serve(l net.Listener) error {
	server := &http.Server{Handler: n.handler(), TLSConfig: n.credentials.ServerConfig(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 60 * time.Second,
		WriteTimeout: 120 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
	server.TLSConfig.NextProtos = []string{"http/1.1"}
	n.mu.Lock()
	if n.ctx.Err() != nil {
		// The node was stopped before it served, so nothing else closes the listener.
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

// tasks returns the tasks that run in the background while the node serves.
func (n *Node) tasks() []func() {
	return []func(){n.syncAll, n.repairAll, n.scrub, n.expireAll, n.refreshRevocations}
}

// Paths of the requests that a node serves. Those from PathGet to PathCuts are for
// other nodes only.
const (
	PathRecords     = "/v1/records" // POST: records to store
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

// handler returns the handler of all requests. It refuses requests whose certificate is no
// longer valid.
func (n *Node) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, do func(w http.ResponseWriter, r *http.Request, who identity.Identity)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			who, ok := n.credentials.Authenticate(r)
			if !ok {
				w.Header().Set("Connection", "close")
				writeError(w, http.StatusForbidden, "refused")
				return
			}
			do(w, r, who)
		})
	}
	handleNode := func(pattern string, do func(w http.ResponseWriter, r *http.Request, peer string)) {
		handle(pattern, func(w http.ResponseWriter, r *http.Request, who identity.Identity) {
			if !archive.Access(who, archive.Sync, archive.Owner{}, "") {
				n.audit(who, archive.Sync, r.URL.Path, false)
				notFound(w)
				return
			}
			do(w, r, who.Name)
		})
	}
	handle("POST "+PathRecords, n.put)
	handle("GET "+PathAttempts, n.attempts)
	handle("GET "+PathStream, n.stream)
	handle("GET "+PathFile, n.file)
	handle("GET "+PathRevocations, func(w http.ResponseWriter, _ *http.Request, _ identity.Identity) {
		_, _ = w.Write(n.credentials.Revocations())
	})
	handle("POST "+PathRevocations, func(w http.ResponseWriter, r *http.Request, _ identity.Identity) {
		// The authority signs the list, so any caller may send it.
		raw, err := readAll(w, r, identity.MaxRevocations)
		if err == nil {
			_, err = n.credentials.ReceiveRevocations(raw)
		}
		if err != nil {
			writeError(w, http.StatusBadRequest, "not a list of revocations of this site's authority")
			return
		}
		writeJSON(w, struct{}{})
	})
	handle("GET "+PathStats, func(w http.ResponseWriter, r *http.Request, who identity.Identity) {
		if !archive.Access(who, archive.Admin, archive.Owner{}, "") {
			n.audit(who, archive.Admin, r.URL.Path, false)
			notFound(w)
			return
		}
		writeJSON(w, n.Stats())
	})
	handleNode("POST "+PathGet, n.getRecords)
	handleNode("GET "+PathTree, n.tree)
	handleNode("GET "+PathLeaf, n.leaf)
	handleNode("GET "+PathRows, n.serveRows)
	handleNode("GET "+PathCuts, n.serveSegments)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { notFound(w) })
	return mux
}

// audit logs an authorization decision and counts denials.
func (n *Node) audit(who identity.Identity, verb archive.Verb, what string, allowed bool) {
	if !allowed {
		n.count(func(s *Stats) { s.Denied++ })
	}
	n.log.Info("access", "who", who.String(), "verb", string(verb), "what", what, "allowed", allowed)
}

// writeJSON writes v as the JSON body of a response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// writeError writes an error response. With status 503 or 507, where waiting may help, it
// asks the client to retry after a second.
func writeError(w http.ResponseWriter, status int, why string) {
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable || status == http.StatusInsufficientStorage {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": why})
}

// notFound writes the response for what does not exist and for what the caller may not see.
func notFound(w http.ResponseWriter) { writeError(w, http.StatusNotFound, "no such thing") }
