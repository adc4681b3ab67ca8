package dispatch

import (
	"maps"
	"slices"
	"time"
)

// RunningPiece is a piece that is part of another planner's running call.
type RunningPiece struct {
	// Stage is the index of the stage, Index that of the piece in it.
	Stage int
	Index int
	// Target is the ID of the target that runs the call.
	Target string
	// Remaining is the expected time until the end of the call.
	Remaining time.Duration
}

const (
	// resultLifetimeMargin is how long before the end of its lifetime a result is no longer
	// used.
	resultLifetimeMargin = time.Second
	// externalCallSlack is the time after the expected end of another planner's call after
	// which its results are no longer awaited. They are relayed over two links between
	// daemons, and the daemon that sent the call may have ended.
	externalCallSlack = 150 * time.Millisecond
	// formerCallTime is the time in which the unreported calls of a former planner end: about
	// twice the duration of a full call.
	formerCallTime = time.Second
)

// TakeOver tells the planner that another one has used the targets until now. Its calls may
// still run, so no inputs are freed early for formerCallTime.
func (p *Planner) TakeOver(now time.Time) {
	p.formerCallsEndAt = now.Add(formerCallTime)
}

// HandOver removes all jobs so that another planner can resume them, and returns a HandedOver
// for each. Their results stay at the targets, and results of running calls are reported as
// Progress when they arrive. HandoverComplete follows once no call of a job runs any more.
func (p *Planner) HandOver(now time.Time) []Action {
	p.now = now
	running := map[string][]RunningPiece{}
	for _, id := range slices.Sorted(maps.Keys(p.calls)) {
		c := p.calls[id]
		for _, ref := range c.pieces {
			j := ref.stage.job
			if p.jobs[j.ID] != j || ref.stage.results[ref.index].handle != "" {
				continue
			}
			remaining := max(c.started.Add(c.expected).Sub(now), 0)
			running[j.ID] = append(running[j.ID], RunningPiece{Stage: ref.stage.index, Index: ref.index, Target: c.target.ID, Remaining: remaining})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		j := p.jobs[id]
		j.handedOver = true
		delete(p.jobs, id)
		for _, s := range j.stages {
			p.dequeueStage(s)
			s.forgetResults()
		}
		p.actions = append(p.actions, HandedOver{Job: id, Running: running[id]})
		if len(running[id]) == 0 {
			p.actions = append(p.actions, HandoverComplete{Job: id})
		}
	}
	return p.takeActions()
}

// forgetResults stops counting the results and their memory without freeing them at the
// targets: they belong to another planner now.
func (s *stageState) forgetResults() {
	if s.released {
		return
	}
	for i := range s.results {
		if r := &s.results[i]; r.target != nil {
			r.target.removeResult(r.handle)
		}
	}
}

// reportHandoverComplete reports the handed-over jobs of the ended call that have no other
// running call.
func (p *Planner) reportHandoverComplete(ended *call) {
	var reported []string
	for _, ref := range ended.pieces {
		j := ref.stage.job
		if !j.handedOver || slices.Contains(reported, j.ID) || p.hasRunningCall(j) {
			continue
		}
		reported = append(reported, j.ID)
		p.actions = append(p.actions, HandoverComplete{Job: j.ID})
	}
}

// hasRunningCall reports whether a running call contains pieces of the job.
func (p *Planner) hasRunningCall(j *job) bool {
	for _, c := range p.calls {
		if slices.ContainsFunc(c.pieces, func(ref pieceRef) bool { return ref.stage.job == j }) {
			return true
		}
	}
	return false
}

// AddExternalResults adds results that calls of a former planner produced for a job. Results of
// an unknown job are ignored.
func (p *Planner) AddExternalResults(now time.Time, id string, completed []CompletedPiece) []Action {
	p.now = now
	j := p.jobs[id]
	if j == nil {
		return nil
	}
	for _, d := range completed {
		p.addExternalResult(j, d)
	}
	if !j.finished {
		p.advance(j)
	}
	p.startCalls(now)
	return p.takeActions()
}

// addExternalResult adds a result that another planner's call produced, unless its target is
// gone, the piece has a result already, or the result expires soon.
func (p *Planner) addExternalResult(j *job, d CompletedPiece) {
	if !j.hasPiece(d.Stage, d.Index) {
		return
	}
	s := j.stages[d.Stage]
	t := p.targets[d.Target]
	if t == nil {
		return
	}
	p.removeExternalPiece(t, pieceRef{s, d.Index})
	if s.released || s.results[d.Index].handle != "" {
		return
	}
	if lifetime := t.pool.batch.ResultLifetime; lifetime > 0 && p.now.Sub(d.CompletedAt) > lifetime-resultLifetimeMargin {
		return
	}
	p.storeResult(s, d.Index, t, d.Handle)
	p.dequeuePiece(pieceRef{s, d.Index})
	j.started = true
}

// hasPiece reports whether the job has a stage and a piece with these indices.
func (j *job) hasPiece(stage, index int) bool {
	return stage >= 0 && stage < len(j.stages) && index >= 0 && index < len(j.stages[stage].results)
}

// addExternalPiece records that another planner's call computes a piece. All such pieces of a
// target are treated as one call, the target's externalCall.
func (p *Planner) addExternalPiece(j *job, r RunningPiece) {
	t := p.targets[r.Target]
	if t == nil || !j.hasPiece(r.Stage, r.Index) || j.stages[r.Stage].results[r.Index].handle != "" {
		return
	}
	s := j.stages[r.Stage]
	c := t.externalCall
	if c == nil {
		p.nextCall++
		c = &call{id: p.nextCall, target: t, started: p.now}
		t.externalCall, p.calls[c.id] = c, c
		t.running = append(t.running, c)
	}
	c.pieces = append(c.pieces, pieceRef{s, r.Index})
	c.bytes += s.spec.ResultBytes
	t.usedBytes += s.spec.ResultBytes
	c.expected = max(c.expected, p.now.Add(r.Remaining).Sub(c.started))
	s.results[r.Index].calls++
	s.results[r.Index].calledAt = p.now
	j.started = true
}

// removeExternalPiece removes a piece from the external call of a target.
func (p *Planner) removeExternalPiece(t *targetState, ref pieceRef) {
	c := t.externalCall
	if c == nil {
		return
	}
	i := slices.Index(c.pieces, ref)
	if i < 0 {
		return
	}
	c.pieces = slices.Delete(c.pieces, i, i+1)
	c.bytes -= ref.stage.spec.ResultBytes
	t.usedBytes -= ref.stage.spec.ResultBytes
	ref.stage.results[ref.index].calls--
	if len(c.pieces) == 0 {
		p.endCall(c)
	}
}

// checkExternalCall queues the pieces of an external call again if their results are overdue.
func (p *Planner) checkExternalCall(now time.Time, c *call) {
	if now.Before(c.started.Add(c.expected + externalCallSlack)) {
		return
	}
	p.requeueCall(c)
	for _, ref := range c.pieces {
		if j := ref.stage.job; p.jobs[j.ID] == j && !j.finished {
			p.advance(j)
		}
	}
}
