package dispatch

import (
	"maps"
	"slices"
	"time"
)

// RunningPiece is a piece that a call of another planner makes.
type RunningPiece struct {
	Stage int
	Index int
	// Target is the ID of the target that makes it.
	Target string
	// Remaining is the time in which the call should end.
	Remaining time.Duration
}

const (
	// adoptMargin is how long before the end of its life a result is no longer relied on.
	adoptMargin = time.Second
	// foreignSlack is the time after the expected end of another planner's call after which
	// its result is no longer waited for: it comes over two links between daemons, and the
	// daemon that sent the call may have ended.
	foreignSlack = 150 * time.Millisecond
	// settleTime is the time in which the calls of a former planner end that told nothing:
	// about twice the time of a full call.
	settleTime = time.Second
)

// TakeOver says that another planner has worked for the targets until now, whose calls may
// still run.
func (p *Planner) TakeOver(now time.Time) {
	p.settledAt = now.Add(settleTime)
}

// HandOver forgets all jobs, for another planner to go on with. Their results are kept, and
// those of running calls are told when they come.
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
			left := max(c.started.Add(c.expected).Sub(now), 0)
			running[j.ID] = append(running[j.ID], RunningPiece{Stage: ref.stage.index, Index: ref.index, Target: c.target.ID, Remaining: left})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		j := p.jobs[id]
		j.moved = true
		delete(p.jobs, id)
		for _, s := range j.stages {
			p.unqueue(s)
			s.abandonResults()
		}
		p.actions = append(p.actions, HandedOver{Job: id, Running: running[id]})
		if len(running[id]) == 0 {
			p.actions = append(p.actions, HandoverComplete{Job: id})
		}
	}
	return p.take()
}

// abandonResults leaves the results to another planner.
func (s *stageState) abandonResults() {
	if s.released {
		return
	}
	for i := range s.results {
		if r := &s.results[i]; r.target != nil {
			r.target.forget(r.handle)
		}
	}
}

// leaveMoved tells of jobs that were handed over and for which nothing runs after the call.
func (p *Planner) leaveMoved(ended *call) {
	told := map[string]bool{}
	for _, ref := range ended.pieces {
		j := ref.stage.job
		if !j.moved || told[j.ID] || p.runs(j) {
			continue
		}
		told[j.ID] = true
		p.actions = append(p.actions, HandoverComplete{Job: j.ID})
	}
}

// runs reports whether a call makes pieces of the job.
func (p *Planner) runs(j *job) bool {
	for _, c := range p.calls {
		if slices.ContainsFunc(c.pieces, func(ref pieceRef) bool { return ref.stage.job == j }) {
			return true
		}
	}
	return false
}

// AddExternalResults takes results that calls of a former planner have made for a job.
func (p *Planner) AddExternalResults(now time.Time, id string, done []CompletedPiece) []Action {
	p.now = now
	j := p.jobs[id]
	if j == nil {
		return nil
	}
	for _, d := range done {
		p.adopt(j, d)
	}
	if !j.finished {
		p.advance(j)
	}
	p.plan(now)
	return p.take()
}

// adopt takes a result that another planner has had made, if it can still be used.
func (p *Planner) adopt(j *job, d CompletedPiece) {
	if !j.has(d.Stage, d.Index) {
		return
	}
	s := j.stages[d.Stage]
	t := p.targets[d.Target]
	if t == nil {
		return
	}
	p.unexpect(t, pieceRef{s, d.Index})
	if s.released || s.results[d.Index].handle != "" {
		return
	}
	if life := t.pool.batch.ResultLifetime; life > 0 && p.now.Sub(d.CompletedAt) > life-adoptMargin {
		return
	}
	p.keepResult(s, d.Index, t, d.Handle)
	p.dequeue(pieceRef{s, d.Index})
	j.begun = true
}

// has reports whether the job has the piece.
func (j *job) has(stage, index int) bool {
	return stage >= 0 && stage < len(j.stages) && index >= 0 && index < len(j.stages[stage].results)
}

// expect counts a piece as made by a call of another planner.
func (p *Planner) expect(j *job, r RunningPiece) {
	t := p.targets[r.Target]
	if t == nil || !j.has(r.Stage, r.Index) || j.stages[r.Stage].results[r.Index].handle != "" {
		return
	}
	s := j.stages[r.Stage]
	c := t.foreign
	if c == nil {
		p.nextCall++
		c = &call{id: p.nextCall, target: t, started: p.now}
		t.foreign, t.running[c.id], p.calls[c.id] = c, c, c
	}
	c.pieces = append(c.pieces, pieceRef{s, r.Index})
	c.bytes += s.plan.ResultBytes
	t.used += s.plan.ResultBytes
	c.expected = max(c.expected, p.now.Add(r.Remaining).Sub(c.started))
	s.results[r.Index].calls++
	s.results[r.Index].calledAt = p.now
	j.begun = true
}

// unexpect takes a piece out of what calls of another planner make.
func (p *Planner) unexpect(t *targetState, ref pieceRef) {
	c := t.foreign
	if c == nil {
		return
	}
	i := slices.Index(c.pieces, ref)
	if i < 0 {
		return
	}
	c.pieces = slices.Delete(c.pieces, i, i+1)
	c.bytes -= ref.stage.plan.ResultBytes
	t.used -= ref.stage.plan.ResultBytes
	ref.stage.results[ref.index].calls--
	if len(c.pieces) == 0 {
		p.endCall(c)
	}
}

// checkForeign gives up what calls of another planner should have made by now.
func (p *Planner) checkForeign(now time.Time, c *call) {
	if now.Before(c.started.Add(c.expected + foreignSlack)) {
		return
	}
	p.requeueCall(c)
	for _, ref := range c.pieces {
		if j := ref.stage.job; p.jobs[j.ID] == j && !j.finished {
			p.advance(j)
		}
	}
}
