package placement

import (
	"maps"
	"slices"
	"time"
)

// Demand is what the engines of a service have accepted and not yet read, as far as the selector knows.
type Demand struct {
	// Engines is the number of engines that accept requests of any daemon.
	Engines int
	// UnreadTokens is the sum of the prompt tokens that these engines must still read.
	UnreadTokens int
}

// Demand returns the demand on the engines of a service.
func (s *Selector) Demand(service string) Demand {
	var d Demand
	for _, e := range s.byService[service] {
		if !e.Closed {
			d.Engines++
			d.UnreadTokens += e.unreadSum
		}
	}
	return d
}

// UncachedTokens returns the number of prompt tokens of the request that no engine has cached. It is the
// least number that the engine of the request must read.
func (s *Selector) UncachedTokens(now time.Time, r Request) int {
	return max(r.PromptTokens-s.tokensCachedAnywhere(now, partKeys(r), r.Parts), 0)
}

// Services returns the names of the services that have engines, in no particular order.
func (s *Selector) Services() []string { return slices.Collect(maps.Keys(s.byService)) }

// Slots returns the number of requests that an engine of the service runs at a time, 0 if unknown.
func (s *Selector) Slots(service string) int { return s.services[service].Slots }
