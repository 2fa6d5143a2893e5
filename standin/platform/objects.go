package platform

import (
	"net/http"
	"slices"
	"sync"
)

type objectStore struct {
	mu   sync.Mutex
	data map[string][]byte
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.objects.mu.Lock()
	data, ok := s.objects.data[r.PathValue("name")]
	s.objects.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "no such object")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func (s *Server) putObject(body []byte, r *http.Request) response {
	s.objects.mu.Lock()
	s.objects.data[r.PathValue("name")] = slices.Clone(body)
	s.objects.mu.Unlock()
	s.applied.Add(1)
	return response{http.StatusOK, struct{}{}}
}
