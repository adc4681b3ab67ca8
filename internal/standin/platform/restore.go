package platform

import (
	"maps"
	"strconv"

	"github.com/valyala/fasthttp"
)

// eraHeader is the header that states the era of the store in all its answers.
const eraHeader = "Store-Era"

// Snapshot is a copy of the store's state.
type Snapshot struct {
	rows    rows
	objects map[string][]byte
	version int64
	history []row
	start   int64
}

// Snapshot returns a copy of the rows, objects, version and history.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{rows: maps.Clone(s.rows), objects: maps.Clone(s.objects), version: s.version, history: append([]row(nil), s.history...), start: s.historyStart}
}

// Restore replaces the state by that of a copy: whatever was written since is gone, and its versions
// are given out again. The era rises by one.
func (s *Server) Restore(from Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.objects = maps.Clone(from.rows), maps.Clone(from.objects)
	s.version, s.history, s.historyStart = from.version, append([]row(nil), from.history...), from.start
	s.era++
	s.wakeFeeds()
}

// Version returns the version of the store.
func (s *Server) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// setEra states an era in the header of the answer.
func setEra(c *fasthttp.RequestCtx, era int64) {
	c.Response.Header.Set(eraHeader, strconv.FormatInt(era, 10))
}
