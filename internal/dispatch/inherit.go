package dispatch

import (
	"maps"
	"slices"
	"time"
)

// StoredResult is a result that a target keeps.
type StoredResult struct {
	Handle string
	// Target is the ID of the target.
	Target      string
	Bytes       int64
	CompletedAt time.Time
}

// ExternalCall is a call of another planner.
type ExternalCall struct {
	Target string
	// Bytes is the room of its results.
	Bytes int64
	// ExpectedEnd is when it should end.
	ExpectedEnd time.Time
}

// claimTime is the time in which jobs claim the results of a planner that died: the daemons
// that hold their clients submit them again within a tick and a message.
const claimTime = 300 * time.Millisecond

// Inherit takes what a planner that died has at the targets, which takes room there. Jobs
// that are submitted with such results claim them; the others belonged to requests whose
// daemons died as well, and are given up after a moment. Nobody hears of the results of
// calls that still run, so that their room is lost until they vanish.
func (p *Planner) Inherit(now time.Time, holdings []StoredResult, calls []ExternalCall) []Action {
	p.now = now
	p.claimBy = now.Add(claimTime)
	for _, h := range holdings {
		t := p.targets[h.Target]
		if t == nil || t.expired(now.Sub(h.CompletedAt)) {
			continue
		}
		if _, known := t.results[h.Handle]; known {
			continue
		}
		t.results[h.Handle] = h.Bytes
		t.used += h.Bytes
		p.inherited[h.Handle] = t
	}
	for _, c := range calls {
		if t := p.targets[c.Target]; t != nil && !t.expired(now.Sub(c.ExpectedEnd)) {
			t.await(now, c.ExpectedEnd, c.Bytes)
		}
	}
	p.plan(now)
	return p.take()
}

// expired reports whether results of the age have vanished at the target.
func (t *targetState) expired(age time.Duration) bool {
	life := t.pool.batch.ResultLifetime
	return life > 0 && age > life
}

// claim takes a result out of those that are inherited.
func (p *Planner) claim(t *targetState, handle string) {
	if p.inherited[handle] != t {
		return
	}
	delete(p.inherited, handle)
	t.forget(handle)
}

// giveUpUnclaimed frees the inherited results that no job has claimed in time.
func (p *Planner) giveUpUnclaimed(now time.Time) {
	if len(p.inherited) == 0 || now.Before(p.claimBy) {
		return
	}
	byTarget := map[string][]string{}
	for handle, t := range p.inherited {
		t.forget(handle)
		if !t.gone && !t.Closed {
			byTarget[t.ID] = append(byTarget[t.ID], handle)
		}
	}
	clear(p.inherited)
	for _, id := range slices.Sorted(maps.Keys(byTarget)) {
		slices.Sort(byTarget[id])
		p.actions = append(p.actions, FreeResults{Target: p.targets[id].Target, Handles: byTarget[id]})
	}
}
