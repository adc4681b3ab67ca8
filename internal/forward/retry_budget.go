package forward

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// RetryBudget bounds the repeated sends of requests in a sliding window, separately for each
// service: each send of a request after its first counts as a repeat. The bound holds for all
// daemons together: each daemon counts its own first sends for the ratio and uses an equal
// share of the slack.
type RetryBudget struct {
	Clock clockwork.Clock
	// Ratio is the number of repeats allowed for each first send in the window.
	Ratio float64
	// Slack is the number of repeats allowed in the window in addition to those by the ratio,
	// for all daemons together.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Daemons returns the number of daemons that share the slack.
	Daemons func() int

	mu sync.Mutex
	// startedAt is the time of the first use.
	startedAt time.Time
	// services holds the counts by the name of the service.
	services map[string]*sendCounts
}

// sendCounts counts the sends to one service in a ring of buckets that covers the window.
type sendCounts struct {
	buckets [budgetBuckets]struct{ first, repeat float64 }
	// current is the number of the newest bucket, counted from startedAt.
	current int64
}

// budgetBuckets is the number of buckets in a window.
const budgetBuckets = 20

// budgetSafetyFactor is the fraction of the allowed repeats that is used. It keeps the repeats
// below the bound in every position of the sliding window, although a first send may reach its
// target later than it was counted.
const budgetSafetyFactor = 0.6

// CountFirst counts the first send of a request.
func (b *RetryBudget) CountFirst(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.advance(service)
	s.buckets[s.current%budgetBuckets].first++
}

// TryRepeat reports whether the budget allows one more send of a request, and counts it if so.
func (b *RetryBudget) TryRepeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.advance(service)
	if !b.allows(s) {
		return false
	}
	s.buckets[s.current%budgetBuckets].repeat++
	return true
}

// AllowsRepeat reports whether the budget allows one more send of a request, without counting
// it.
func (b *RetryBudget) AllowsRepeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.advance(service))
}

// allows reports whether the window allows one more repeat; the caller holds mu.
func (b *RetryBudget) allows(s *sendCounts) bool {
	first, repeat := 0.0, 0.0
	for _, bucket := range s.buckets {
		first += bucket.first
		repeat += bucket.repeat
	}
	allowed := budgetSafetyFactor * (b.Ratio*first + b.Slack/float64(max(b.Daemons(), 1)))
	return repeat+1 <= allowed
}

// advance clears the buckets that have left the window and returns the counts of the service;
// the caller holds mu.
func (b *RetryBudget) advance(service string) *sendCounts {
	if b.services == nil {
		b.services = map[string]*sendCounts{}
		b.startedAt = b.Clock.Now()
	}
	bucketTime := b.Window / budgetBuckets
	current := int64(b.Clock.Since(b.startedAt) / max(bucketTime, 1))
	s := b.services[service]
	if s == nil {
		s = &sendCounts{current: current}
		b.services[service] = s
	}
	for steps := 0; s.current < current && steps < budgetBuckets; steps++ {
		s.current++
		s.buckets[s.current%budgetBuckets] = struct{ first, repeat float64 }{}
	}
	s.current = max(s.current, current)
	return s
}
