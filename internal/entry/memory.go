package entry

import (
	"context"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/memory"
	"github.com/sequoiapick/sequoiapick/platform"
)

const (
	// budgetMemoryShare is the share of the host's memory that all requests, unread answers and queues
	// of links may use. The rest of heapMemoryShare is for the tables, the client connections without a
	// request, and garbage, see docs/design/held-memory.md.
	budgetMemoryShare = 0.3
	// memoryCheckInterval is the time between two checks whether memory was short.
	memoryCheckInterval = time.Second
)

// newMemoryBudget returns the budget of the daemon, nil if the contract on pressure isn't in force or the
// memory of the host is unknown.
func newMemoryBudget(s platform.Settings) *memory.Budget {
	bound := int64(float64(s.Limits.MemoryBytes) * budgetMemoryShare)
	if !s.Contracts.Pressure || bound <= 0 {
		return nil
	}
	return memory.New(bound)
}

// watchMemory logs once a second whether memory was short, until the context ends.
func (d *Daemon) watchMemory(ctx context.Context) error {
	if d.memory == nil {
		return nil
	}
	ticker := d.Clock.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	before := d.memory.State()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		now := d.memory.State()
		if refused, waited := subtract(now.Refused, before.Refused), subtract(now.Waited, before.Waited); len(refused)+len(waited) > 0 {
			d.log.Emit(event.MemoryShort, "Used", now.Used, "Bound", now.Bound, "Held", now.Held, "Refused", refused, "Waited", waited)
		}
		before = now
	}
}

// subtract returns the counts that have grown, less what they were before.
func subtract(now, before map[string]int64) map[string]int64 {
	grown := map[string]int64{}
	for name, n := range now {
		if n > before[name] {
			grown[name] = n - before[name]
		}
	}
	return grown
}
