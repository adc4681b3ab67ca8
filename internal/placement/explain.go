package placement

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is an engine that could get a request, with what its cost is computed from.
type Candidate struct {
	Engine, DataCentre string
	// Cost is in milliseconds of time to the first token; Choose takes the lowest.
	Cost float64
	// CachedTokens are those of the request that the engine has cached, UnreadTokens those of other
	// requests that it must read before, RemoteBytes the inputs in other data centres.
	CachedTokens, UnreadTokens int
	RemoteBytes                int64
	// Running is the number of requests at the engine.
	Running       int
	Cold, Suspect bool
	// Accepts is whether the request may be sent there now.
	Accepts bool
}

// Explain returns the engines of the request's service, the one that Choose would return first. It changes
// nothing.
func (s *Selector) Explain(now time.Time, r Request) []Candidate {
	c := s.costOf(now, r)
	var list []Candidate
	for _, e := range s.byService[r.Service] {
		list = append(list, Candidate{
			Engine: e.ID, DataCentre: e.DataCentre, Cost: c.at(e), CachedTokens: e.cache.cachedTokens(c.keys, r.Parts), UnreadTokens: e.unreadSum,
			RemoteBytes: c.inputBytes - r.InputBytes[e.DataCentre], Running: len(e.running), Cold: e.Cold, Suspect: e.Suspect,
			Accepts: s.accepts(now, e, r) && s.allowsRate(now, e),
		})
	}
	slices.SortStableFunc(list, func(a, b Candidate) int {
		if a.Accepts != b.Accepts {
			if a.Accepts {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Cost, b.Cost)
	})
	return list
}
