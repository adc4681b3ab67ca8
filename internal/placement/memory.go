package placement

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/targetmemory"
)

// requestOverheadTokens is what a request is counted besides its tokens: an engine holds requests without a
// prompt as well.
const requestOverheadTokens = 16

// heldTokens returns what an engine holds for a request at most, in tokens. The body of a request is about as
// large as its prompt.
func heldTokens(r Request) int64 {
	return int64(r.PromptTokens+r.OutputTokens) + requestOverheadTokens
}

// listEngines passes the engines to Memory, which finds those that have ended.
func (s *Selector) listEngines(now time.Time) {
	if s.Memory == nil {
		return
	}
	list := make([]targetmemory.Target, 0, len(s.engines))
	for _, e := range s.engines {
		list = append(list, targetmemory.Target{ID: e.ID, Service: e.Service, Incarnation: e.Incarnation, Leaving: e.Closed})
	}
	s.Memory.SetTargets(now, list)
}

// RecordHeldAnswer records that the engine of the request with this ID has begun to answer, with all that it
// holds.
func (s *Selector) RecordHeldAnswer(now time.Time, id string) {
	if e := s.engineByRequest[id]; e != nil {
		s.Memory.RecordAnswer(now, e.Service, e.ID)
	}
}

// RecordEngineFailure records that an engine has broken off or not answered a request.
func (s *Selector) RecordEngineFailure(now time.Time, engine string) {
	s.Memory.RecordFailure(now, engine)
}

// LacksMemory reports whether an engine would accept the request if it had memory for it.
func (s *Selector) LacksMemory(now time.Time, r Request) bool {
	for _, e := range s.byService[r.Service] {
		if e.serves(r) && !s.Memory.Fits(now, e.Service, e.ID, heldTokens(r)) {
			return true
		}
	}
	return false
}
