package dispatch

import (
	"maps"
	"slices"
	"time"
)

const (
	// overdueRatio is the duration of a call over the expected one beyond which its pieces
	// are given to another target as well; ordinary calls differ by a few percent.
	overdueRatio = 1.7
	// overdueSlack is added to it, for the network and a busy processor.
	overdueSlack = 60 * time.Millisecond
	// tooSlow is the slowness beyond which a target is used only when no other is free.
	tooSlow = 1.8
)

// Tick looks at time-outs; it must be called every few tens of milliseconds while there
// is work.
func (p *Planner) Tick(now time.Time) []Action {
	p.now = now
	for _, id := range slices.Sorted(maps.Keys(p.calls)) {
		switch c := p.calls[id]; {
		case c.target.foreign == c:
			p.checkForeign(now, c)
		default:
			p.hedge(now, c)
		}
	}
	for _, pl := range p.pools {
		for _, t := range pl.targets {
			t.expire(now)
		}
		p.rejectLate(now, pl)
	}
	p.giveUpFetched()
	p.giveUpUnclaimed(now)
	p.admit(now)
	p.plan(now)
	return p.take()
}

// giveUpFetched frees the inputs that running calls have fetched.
func (p *Planner) giveUpFetched() {
	seen := map[*job]bool{}
	for _, id := range slices.Sorted(maps.Keys(p.calls)) {
		for _, ref := range p.calls[id].pieces {
			if j := ref.stage.job; !seen[j] && p.jobs[j.ID] == j {
				seen[j] = true
				p.advance(j)
			}
		}
	}
}

// Busy reports whether anything waits or runs.
func (p *Planner) Busy() bool {
	if len(p.calls) > 0 || len(p.inherited) > 0 {
		return true
	}
	for _, pl := range p.services {
		if len(pl.tasks) > 0 {
			return true
		}
	}
	return false
}

// hedge queues the pieces of an overdue call again; whichever result comes first counts.
func (p *Planner) hedge(now time.Time, c *call) {
	limit := time.Duration(float64(c.expected)*overdueRatio) + overdueSlack
	if c.hedged || now.Sub(c.started) < limit {
		return
	}
	c.hedged = true
	c.target.slowness = max(c.target.slowness, overdueRatio)
	for _, ref := range c.pieces {
		s := ref.stage
		if p.jobs[s.job.ID] == s.job && !s.released && s.queued && s.results[ref.index].handle == "" {
			p.enqueue(s, ref.index)
		}
	}
}

// plan starts calls while there are free targets and waiting pieces.
func (p *Planner) plan(now time.Time) {
	for _, pl := range p.pools {
		if len(pl.tasks) == 0 {
			continue
		}
		p.planPool(now, pl)
	}
}

// rejectLate gives up the jobs that can't be done before their deadline any more.
func (p *Planner) rejectLate(now time.Time, pl *pool) {
	var late []*job
	for _, t := range pl.tasks {
		if now.Add(p.remaining(t.stage)).After(t.stage.job.Deadline) {
			late = append(late, t.stage.job)
		}
	}
	for _, j := range late {
		p.reject(j, Reject{Job: j.ID, Reason: TooLate, Service: pl.name})
	}
}

// remaining is the shortest time in which the stage and those behind it can be done.
func (p *Planner) remaining(s *stageState) time.Duration {
	longest := time.Duration(0)
	for _, other := range s.job.stages {
		if len(other.results) > 0 && slices.Contains(other.plan.After, s.index) {
			longest = max(longest, p.remaining(other))
		}
	}
	return longest + p.shortest(s)
}

// shortest is the time of a call that carries the missing pieces of the stage alone.
func (p *Planner) shortest(s *stageState) time.Duration {
	pl := p.pool(s.plan.Service)
	return pl.batch.CallTime + pl.pieceTime(s.plan.Kind)*time.Duration(min(s.missing, pl.batch.MaxPieces))
}

func (p *Planner) planPool(now time.Time, pl *pool) {
	free := pl.freeTargets(now)
	if len(free) == 0 {
		return
	}
	p.order(now, pl)
	places := newPlaces(now, pl)
	for i := 0; i < len(pl.tasks) && len(free) > 0; {
		t := pl.tasks[i]
		if len(t.waiting) == 0 {
			i++
			continue
		}
		n := pl.choose(free, t, places)
		if n < 0 {
			places.hold(t)
			i++
			continue
		}
		chosen := free[n]
		free = slices.Delete(free, n, n+1)
		if !p.startCall(now, pl, chosen, i, places) {
			i++
		}
	}
	pl.tasks = slices.DeleteFunc(pl.tasks, func(t *task) bool { return len(t.waiting) == 0 })
}

func (pl *pool) freeTargets(now time.Time) []*targetState {
	var free []*targetState
	for _, t := range pl.targets {
		if !t.Closed && len(t.running) < pl.batch.Slots && !now.Before(t.pausedUntil) {
			free = append(free, t)
		}
	}
	return free
}

// choose returns the index of the free target for the task: a fast one, near the inputs.
// It is negative if the task is better held for a target near its inputs.
func (pl *pool) choose(free []*targetState, t *task, places *places) int {
	near, bytes := t.near()
	best, bestScore := -1, -1.0
	for i, f := range free {
		if !places.takes(f, t, near, bytes) {
			continue
		}
		score := 0.0
		if f.slowness < tooSlow {
			score += 4
		}
		if f.DataCentre == near {
			score += 2
		}
		if pl.batch.ResultMemoryBytes > 0 {
			score += 1 - float64(f.used)/float64(pl.batch.ResultMemoryBytes)
		}
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// startCall fills a call for the target with the tasks from the first one on, and reports
// whether anything was sent.
func (p *Planner) startCall(now time.Time, pl *pool, t *targetState, first int, places *places) bool {
	c := &call{target: t, started: now, expected: pl.batch.CallTime}
	var pieces []Piece
	for _, tk := range pl.tasks[first:] {
		if len(c.pieces) >= pl.batch.MaxPieces {
			break
		}
		near, bytes := tk.near()
		if places.takes(t, tk, near, bytes) {
			p.fill(now, pl, c, tk, &pieces)
		}
	}
	if len(c.pieces) == 0 {
		return false
	}
	c.expected = time.Duration(float64(c.expected) * max(t.slowness, 1))
	p.nextCall++
	c.id = p.nextCall
	p.calls[c.id] = c
	t.running[c.id] = c
	t.used += c.bytes
	p.actions = append(p.actions, StartCall{Call: c.id, Target: t.Target, Pieces: pieces, Started: now, Expected: c.expected, Bytes: c.bytes})
	return true
}

func (p *Planner) fill(now time.Time, pl *pool, c *call, tk *task, pieces *[]Piece) {
	s := tk.stage
	inputs, ok := s.inputs()
	if !ok {
		return
	}
	kept := tk.waiting[:0]
	for _, index := range tk.waiting {
		if s.results[index].handle != "" {
			continue
		}
		if len(c.pieces) >= pl.batch.MaxPieces || !pl.hasRoom(c, s.plan.ResultBytes) || c.has(s, index) {
			kept = append(kept, index)
			continue
		}
		if len(*pieces) == 0 || c.pieces[len(c.pieces)-1].stage != s {
			pl.waited(now, tk)
		}
		c.pieces = append(c.pieces, pieceRef{s, index})
		c.bytes += s.plan.ResultBytes
		c.expected += pl.pieceTime(s.plan.Kind)
		s.results[index].calls++
		s.results[index].calledAt = now
		s.sentTo = c.target.DataCentre
		s.job.begun = true
		if s.begunAt.IsZero() {
			s.begunAt = now
		}
		piece := Piece{Job: s.job.ID, Stage: s.index, Index: index, Remaining: s.job.Deadline.Sub(now)}
		if len(s.plan.After) == 0 {
			piece.Key = s.job.Key
		} else {
			piece.Inputs = inputs
		}
		*pieces = append(*pieces, piece)
	}
	tk.waiting = kept
}

func (c *call) has(s *stageState, index int) bool {
	for _, other := range c.target.running {
		if slices.Contains(other.pieces, pieceRef{s, index}) {
			return true
		}
	}
	return false
}

func (pl *pool) hasRoom(c *call, bytes int64) bool {
	return pl.batch.ResultMemoryBytes <= 0 || c.target.used+c.bytes+bytes <= pl.batch.ResultMemoryBytes
}

// inputs returns the results that the pieces of the stage need.
func (s *stageState) inputs() ([]string, bool) {
	var handles []string
	for _, before := range s.plan.After {
		b := s.job.stages[before]
		if b.missing > 0 || b.released {
			return nil, false
		}
		for _, r := range b.results {
			handles = append(handles, r.handle)
		}
	}
	return handles, true
}
