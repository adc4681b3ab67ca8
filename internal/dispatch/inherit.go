package dispatch

import (
	"maps"
	"slices"
	"time"
)

// StoredResult is a result of a dead planner that a target stores.
type StoredResult struct {
	Handle string
	// Target is the ID of the target.
	Target string
	// Bytes is the memory of the result.
	Bytes int64
	// CompletedAt is when the result was produced.
	CompletedAt time.Time
}

// ExternalCall is a running call of a dead planner.
type ExternalCall struct {
	// Target is the ID of the target.
	Target string
	// Bytes is the memory of its results.
	Bytes int64
	// ExpectedEnd is when the call should end.
	ExpectedEnd time.Time
}

// claimTimeout is the time in which jobs must claim the results of a dead planner. The daemons
// that hold the client connections submit the jobs again within a tick and a message.
const claimTimeout = 300 * time.Millisecond

// Inherit adds the results and calls of a dead planner, which use memory at the targets. A job
// that is submitted with such a result in Job.Completed claims it. Unclaimed results belong to
// requests whose daemons died as well; they are freed after claimTimeout. Results of calls that
// still run are reported to no one, so their memory counts as used until they expire.
func (p *Planner) Inherit(now time.Time, results []StoredResult, calls []ExternalCall) []Action {
	p.now = now
	p.claimDeadline = now.Add(claimTimeout)
	for _, r := range results {
		t := p.targets[r.Target]
		if t == nil || t.expired(now.Sub(r.CompletedAt)) {
			continue
		}
		if _, known := t.results[r.Handle]; known {
			continue
		}
		t.results[r.Handle] = r.Bytes
		t.usedBytes += r.Bytes
		p.inherited[r.Handle] = t
	}
	for _, c := range calls {
		if t := p.targets[c.Target]; t != nil && !t.expired(now.Sub(c.ExpectedEnd)) {
			t.addUnansweredCall(now, c.ExpectedEnd, c.Bytes)
		}
	}
	p.startCalls(now)
	return p.takeActions()
}

// expired reports whether results of this age no longer exist at the target.
func (t *targetState) expired(age time.Duration) bool {
	lifetime := t.pool.batch.ResultLifetime
	return lifetime > 0 && age > lifetime
}

// claim removes a result from the inherited ones, if it is one at this target, and stops
// counting its memory.
func (p *Planner) claim(t *targetState, handle string) {
	if p.inherited[handle] != t {
		return
	}
	delete(p.inherited, handle)
	t.removeResult(handle)
}

// freeUnclaimed frees the inherited results that no job has claimed by claimDeadline.
func (p *Planner) freeUnclaimed(now time.Time) {
	if len(p.inherited) == 0 || now.Before(p.claimDeadline) {
		return
	}
	byTarget := map[string][]string{}
	for handle, t := range p.inherited {
		t.removeResult(handle)
		if !t.removed && !t.Closed {
			byTarget[t.ID] = append(byTarget[t.ID], handle)
		}
	}
	clear(p.inherited)
	for _, id := range slices.Sorted(maps.Keys(byTarget)) {
		slices.Sort(byTarget[id])
		p.actions = append(p.actions, FreeResults{Target: p.targets[id].Target, Handles: byTarget[id]})
	}
}
