package forward

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// RetryBudget bounds the sends beyond the first of each request. All daemons share the bound of
// a service; each uses its own first sends for the ratio and its part of the slack.
type RetryBudget struct {
	Clock clockwork.Clock
	// Ratio is the number of repeats allowed for each first send in a window.
	Ratio float64
	// Slack is the number of repeats allowed besides, for all daemons together.
	Slack  float64
	Window time.Duration
	// Daemons returns the number of daemons that share the slack.
	Daemons func() int

	mu       sync.Mutex
	began    time.Time
	services map[string]*sends
}

// sends counts the sends to one service by slices of the window.
type sends struct {
	slices [budgetSlices]struct{ first, repeat float64 }
	at     int64
}

// budgetSlices is the number of slices that a window is counted in.
const budgetSlices = 20

// margin keeps the repeats below the bound, since the windows of the bound slide and
// firsts may arrive later than they were counted.
const margin = 0.6

// CountFirst counts the first send of a request.
func (b *RetryBudget) CountFirst(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.turn(service)
	s.slices[s.at%budgetSlices].first++
}

// TryRepeat counts one more send of a request and reports whether the budget allows it.
func (b *RetryBudget) TryRepeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.turn(service)
	if !b.allows(s) {
		return false
	}
	s.slices[s.at%budgetSlices].repeat++
	return true
}

// AllowsRepeat reports whether the budget allows one more send beyond the first.
func (b *RetryBudget) AllowsRepeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.turn(service))
}

func (b *RetryBudget) allows(s *sends) bool {
	first, repeat := 0.0, 0.0
	for _, slice := range s.slices {
		first += slice.first
		repeat += slice.repeat
	}
	allowed := margin * (b.Ratio*first + b.Slack/float64(max(b.Daemons(), 1)))
	return repeat+1 <= allowed
}

// turn clears the slices that have left the window.
func (b *RetryBudget) turn(service string) *sends {
	if b.services == nil {
		b.services = map[string]*sends{}
		b.began = b.Clock.Now()
	}
	slice := b.Window / budgetSlices
	at := int64(b.Clock.Since(b.began) / max(slice, 1))
	s := b.services[service]
	if s == nil {
		s = &sends{at: at}
		b.services[service] = s
	}
	for steps := 0; s.at < at && steps < budgetSlices; steps++ {
		s.at++
		s.slices[s.at%budgetSlices] = struct{ first, repeat float64 }{}
	}
	s.at = max(s.at, at)
	return s
}
