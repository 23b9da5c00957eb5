package datastore

import (
	"context"
	"net/http"
	"strings"

	"silvergate/internal/dataset"
)

// Answer serves a chunk, or a copy's manifest, by its name below dataset.ChunkPath. It
// returns an HTTP status with the bytes or an error text. If too many requests are being
// served it refuses at once, because the other machine can use another source.
func Answer(ctx context.Context, s *Store, name string) (status int, body []byte) {
	if id, ok := strings.CutPrefix(name, "manifest/"); ok {
		if !dataset.ValidID(id) {
			return http.StatusBadRequest, []byte("not a copy's name")
		}
		if raw, there := s.Manifest(dataset.ID(id)); there {
			return http.StatusOK, raw
		}
		return http.StatusNotFound, []byte("not here")
	}
	h, err := dataset.ParseHash(name)
	if err != nil {
		return http.StatusBadRequest, []byte(err.Error())
	}
	data, there, busy := s.Chunk(ctx, h)
	switch {
	case busy:
		return http.StatusServiceUnavailable, []byte("too much is asked of this machine")
	case !there:
		return http.StatusNotFound, []byte("not here")
	}
	return http.StatusOK, data
}

// Cancel ends the fetch of a copy that is not pinned. The chunks that were fetched stay
// on disk for a later fetch.
func (s *Store) Cancel(id dataset.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.fetches[id]; f != nil && s.pins[id] == 0 {
		f.abort(ErrCancelled)
	}
}
