package datastore

import (
	"net/http"
	"strings"

	"silvergate/internal/dataset"
)

// Handler serves a store's chunks and manifests to other machines. What is asked
// for too often is refused at once: there are other sources.
func Handler(s *Store) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := strings.CutPrefix(r.URL.Path, dataset.ChunkPath)
		if !ok || r.Method != http.MethodGet {
			http.Error(w, "no such path", http.StatusNotFound)
			return
		}
		if id, ok := strings.CutPrefix(name, "manifest/"); ok {
			if !dataset.ValidID(id) {
				http.Error(w, "not a copy's name", http.StatusBadRequest)
				return
			}
			raw, there := s.Manifest(dataset.ID(id))
			if !there {
				http.Error(w, "not here", http.StatusNotFound)
				return
			}
			_, _ = w.Write(raw)
			return
		}
		h, err := dataset.ParseHash(name)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		data, there, busy := s.Chunk(r.Context(), h)
		switch {
		case busy:
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too much is asked of this machine", http.StatusServiceUnavailable)
		case !there:
			http.Error(w, "not here", http.StatusNotFound)
		default:
			_, _ = w.Write(data)
		}
	})
}
