package dispatch

import (
	"maps"
	"slices"
	"time"
)

const (
	// overdueRatio is the duration of a call relative to the expected one from which its
	// pieces are sent to another target as well. Ordinary calls differ by a few percent.
	overdueRatio = 1.7
	// overdueMargin is added to overdueRatio times the expected duration, for network delays
	// and a busy processor.
	overdueMargin = 60 * time.Millisecond
	// slowThreshold is the slowness from which a target is used only if no other is free.
	slowThreshold = 1.8
)

// Tick checks time-outs and repeats the admission of all jobs. It must be called every few
// tens of milliseconds while the planner is busy.
func (p *Planner) Tick(now time.Time) []Action {
	p.now = now
	for _, id := range slices.Sorted(maps.Keys(p.calls)) {
		switch c := p.calls[id]; {
		case c.target.externalCall == c:
			p.checkExternalCall(now, c)
		default:
			p.hedge(now, c)
		}
	}
	for _, pl := range p.pools {
		for _, t := range pl.targets {
			t.expireLostResults(now)
		}
		p.rejectLate(now, pl)
	}
	p.expectPaces(now)
	p.freeFetchedInputs(now)
	p.freeUnclaimed(now)
	p.admitAll(now)
	for _, pl := range p.pools {
		pl.changed = true // pauses end, and tasks that wait for a data centre may become urgent
	}
	p.startCalls(now)
	return p.takeActions()
}

// freeFetchedInputs frees the inputs that running calls have fetched, where result memory is short. It
// looks at the calls that have had the time to fetch them since the last tick, or at all calls if memory
// has become short since.
func (p *Planner) freeFetchedInputs(now time.Time) {
	last := p.lastTick
	p.lastTick = now
	anyShort, newlyShort := false, last.Before(p.formerCallsEndAt)
	for _, pl := range p.pools {
		short := pl.memoryShort()
		anyShort = anyShort || short
		newlyShort = newlyShort || short && !pl.wasShort
		pl.wasShort = short
	}
	if !anyShort {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.calls)) {
		c := p.calls[id]
		fetchedAt := c.started.Add(inputFetchTime)
		if !newlyShort && c.target.externalCall != c && (now.Before(fetchedAt) || !last.Before(fetchedAt)) {
			continue
		}
		for _, ref := range c.pieces {
			if j := ref.stage.job; p.jobs[j.ID] == j {
				p.advance(j)
			}
		}
	}
}

// Busy reports whether Tick has work: pieces wait, calls run, inherited results are unclaimed, or
// jobs without pieces wait for engines.
func (p *Planner) Busy() bool {
	if len(p.calls) > 0 || len(p.inherited) > 0 {
		return true
	}
	for _, pl := range p.poolByService {
		if len(pl.tasks) > 0 {
			return true
		}
	}
	return p.waitsForEngine()
}

// hedge queues the pieces of an overdue call again. The first result of a piece is used.
func (p *Planner) hedge(now time.Time, c *call) {
	limit := time.Duration(float64(c.expected)*overdueRatio) + overdueMargin
	if c.hedged || now.Sub(c.started) < limit {
		return
	}
	c.hedged = true
	c.target.slowness = max(c.target.slowness, overdueRatio) // the call has taken this long already
	for _, ref := range c.pieces {
		s := ref.stage
		if p.jobs[s.job.ID] == s.job && !s.released && s.queued && s.results[ref.index].handle == "" {
			p.enqueue(s, ref.index)
		}
	}
}

// startCalls starts calls while targets are free and pieces wait, at the services where that has changed.
func (p *Planner) startCalls(now time.Time) {
	for _, pl := range p.pools {
		if !pl.changed {
			continue
		}
		pl.changed = false
		if len(pl.tasks) > 0 {
			p.startPoolCalls(now, pl)
		}
	}
}

// rejectLate rejects the jobs that can no longer be done before their deadline.
func (p *Planner) rejectLate(now time.Time, pl *pool) {
	var late []*job
	for _, t := range pl.tasks {
		if now.Add(p.minRemainingTime(t.stage)).After(t.stage.job.Deadline) {
			late = append(late, t.stage.job)
		}
	}
	for _, j := range late {
		p.reject(j, Reject{Job: j.ID, Reason: TooLate, Service: pl.name})
	}
}

// minRemainingTime returns the shortest time in which the stage and those after it can be
// done.
func (p *Planner) minRemainingTime(s *stageState) time.Duration {
	longest := time.Duration(0)
	for _, other := range s.job.stages {
		if len(other.results) > 0 && slices.Contains(other.spec.After, s.index) {
			longest = max(longest, p.minRemainingTime(other))
		}
	}
	return longest + p.minCallTime(s)
}

// minCallTime returns the duration of a call that carries only the missing pieces of the stage,
// or as many of them as fit.
func (p *Planner) minCallTime(s *stageState) time.Duration {
	return s.pool.batch.CallTime + s.pieceTime()*time.Duration(min(s.missing, s.pool.batch.MaxPieces))
}

// startPoolCalls starts calls of one service. Tasks that should wait for a target in their
// preferred data centre are skipped.
func (p *Planner) startPoolCalls(now time.Time, pl *pool) {
	free := pl.freeTargets(now)
	if len(free) == 0 {
		return
	}
	p.sortTasks(now, pl)
	schedule := newDataCentreSchedule(now, pl)
	for i := 0; i < len(pl.tasks) && len(free) > 0; {
		t := pl.tasks[i]
		if len(t.waiting) == 0 || t.stage.job.mustWait() {
			i++
			continue
		}
		n := pl.choose(free, t, schedule)
		if n < 0 {
			schedule.addHeld(t)
			i++
			continue
		}
		chosen := free[n]
		free = slices.Delete(free, n, n+1)
		if !p.startCall(now, pl, chosen, i, schedule) {
			i++
		}
	}
	pl.tasks = slices.DeleteFunc(pl.tasks, func(t *task) bool {
		if len(t.waiting) > 0 {
			return false
		}
		t.stage.task = nil
		return true
	})
}

// freeTargets returns the targets that can run a call now.
func (pl *pool) freeTargets(now time.Time) []*targetState {
	var free []*targetState
	for _, t := range pl.targets {
		if !t.Closed && len(t.running) < pl.batch.Slots && !now.Before(t.pausedUntil) && !now.Before(t.heldUntil) && pl.limits.Allows(now, t.ID, t.Incarnation) {
			free = append(free, t)
		}
	}
	return free
}

// choose returns the index of the best free target for the task. Speed counts most, then the
// preferred data centre, then the free share of the result memory; the scores are weighted so
// that a later criterion never outweighs an earlier one. It returns -1 if the task should wait
// for a target in its preferred data centre.
func (pl *pool) choose(free []*targetState, t *task, schedule *dataCentreSchedule) int {
	preferred := t.preferredDataCentre()
	best, bestScore := -1, -1.0
	anywhere := schedule.mayRunAnywhere(t, preferred)
	for i, f := range free {
		if !anywhere && f.DataCentre != preferred {
			continue
		}
		score := 0.0
		if f.slowness < slowThreshold {
			score += 4
		}
		if f.DataCentre == preferred {
			score += 2
		}
		if pl.batch.ResultMemoryBytes > 0 {
			score += 1 - float64(f.usedBytes)/float64(pl.batch.ResultMemoryBytes)
		}
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// startCall fills a call for the target with pieces of the tasks from index first on, and
// reports whether a call was started. It isn't if the target lacks memory or already runs the
// waiting pieces.
func (p *Planner) startCall(now time.Time, pl *pool, t *targetState, first int, schedule *dataCentreSchedule) bool {
	p.expectPace(now, t)
	c := &call{target: t, started: now, expected: pl.batch.CallTime}
	c.pace, _ = p.Loads.Pace(now, t.ID, t.Incarnation)
	var pieces []Piece
	for _, tk := range pl.tasks[first:] {
		if len(c.pieces) >= pl.batch.MaxPieces {
			break
		}
		preferred := tk.preferredDataCentre()
		if t.DataCentre == preferred || schedule.mayRunAnywhere(tk, preferred) {
			p.addPieces(now, pl, c, tk, &pieces)
		}
	}
	if len(c.pieces) == 0 {
		return false
	}
	c.expected = time.Duration(float64(c.expected) * max(t.slowness, 1))
	p.nextCall++
	c.id = p.nextCall
	p.calls[c.id] = c
	t.running = append(t.running, c)
	t.usedBytes += c.bytes
	pl.limits.RecordSend(now, t.ID, t.Incarnation)
	p.actions = append(p.actions, StartCall{Call: c.id, Target: t.Target, Pieces: pieces, Started: now, Expected: c.expected, Bytes: c.bytes})
	return true
}

// addPieces moves waiting pieces of the task to the call, and appends them to pieces, until the
// call is full or the target lacks memory. Pieces that the target already runs keep waiting, and
// those that have a result by now are dropped.
func (p *Planner) addPieces(now time.Time, pl *pool, c *call, tk *task, pieces *[]Piece) {
	s := tk.stage
	if s.job.mustWait() {
		return
	}
	inputs, ok := s.inputHandles()
	if !ok {
		return
	}
	kept := tk.waiting[:0]
	for _, index := range tk.waiting {
		if s.results[index].handle != "" {
			continue
		}
		if len(c.pieces) >= pl.batch.MaxPieces || !pl.hasMemory(c, s.spec.ResultBytes) || c.targetRuns(s, index) {
			kept = append(kept, index)
			continue
		}
		if len(*pieces) == 0 || c.pieces[len(c.pieces)-1].stage != s {
			pl.recordWait(now, tk)
		}
		c.pieces = append(c.pieces, pieceRef{s, index})
		c.bytes += s.spec.ResultBytes
		c.expected += s.pieceTime()
		s.results[index].calls++
		s.results[index].calledAt = now
		s.lastDataCentre = c.target.DataCentre
		s.job.started = true
		if s.startedAt.IsZero() {
			s.startedAt = now
		}
		piece := Piece{Job: s.job.ID, Stage: s.index, Index: index, Remaining: s.job.Deadline.Sub(now)}
		if len(s.spec.After) == 0 {
			piece.Key = s.job.Key
		} else {
			piece.Inputs = inputs
		}
		*pieces = append(*pieces, piece)
	}
	tk.waiting = kept
}

// targetRuns reports whether the target of the call runs the piece already.
func (c *call) targetRuns(s *stageState, index int) bool {
	for _, other := range c.target.running {
		if slices.Contains(other.pieces, pieceRef{s, index}) {
			return true
		}
	}
	return false
}

// hasMemory reports whether a result of this size fits at the target in addition to the call's
// results. A ResultMemoryBytes of 0 means unlimited.
func (pl *pool) hasMemory(c *call, bytes int64) bool {
	return pl.batch.ResultMemoryBytes <= 0 || c.target.usedBytes+c.bytes+bytes <= pl.batch.ResultMemoryBytes
}

// inputHandles returns the handles of the results that the pieces of the stage need; false if
// one of them is missing.
func (s *stageState) inputHandles() ([]string, bool) {
	var handles []string
	for _, before := range s.spec.After {
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
