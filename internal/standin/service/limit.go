package service

import (
	"maps"
	"net/http"
	"time"
)

// SetLimit sets the Server-Limit header of all answers; an empty value removes it.
func (s *Server) SetLimit(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = value
}

// LimitedAt returns when each host, by IP, was first sent an answer with a Server-Limit header.
func (s *Server) LimitedAt() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.limitedAt)
}

// nameLimit adds the Server-Limit header to an answer, if one is set.
func (s *Server) nameLimit(w http.ResponseWriter, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit == "" {
		return
	}
	w.Header().Set("Server-Limit", s.limit)
	if s.limitedAt == nil {
		s.limitedAt = map[string]time.Time{}
	}
	if _, known := s.limitedAt[host]; !known {
		s.limitedAt[host] = time.Now()
	}
}
