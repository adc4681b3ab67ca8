package dispatch

import (
	"slices"
	"time"
)

// call is a running call to a target.
type call struct {
	id       uint64
	target   *targetState
	started  time.Time
	expected time.Duration
	pieces   []pieceRef
	// pace is the pace that was expected of the target when the call started, 0 if it doesn't report it.
	pace float64
	// bytes is the memory that the results need at the target.
	bytes int64
	// hedged is set once the pieces were queued again because the call is overdue.
	hedged bool
}

// pieceRef identifies a piece by its stage and index.
type pieceRef struct {
	stage *stageState
	index int
}

// CallEnded handles the answer to a call. Results must hold one entry for each piece, in the
// order of StartCall.Pieces.
func (p *Planner) CallEnded(now time.Time, id uint64, results []Result) []Action {
	p.now = now
	c := p.calls[id]
	if c == nil {
		return nil
	}
	p.endCall(c)
	p.expectPace(now, c.target)
	if allSucceeded(results) {
		p.measure(now, c)
	}
	for i, ref := range c.pieces {
		p.pieceEnded(now, c, ref, results[i])
	}
	for _, ref := range c.pieces {
		if j := ref.stage.job; p.jobs[j.ID] == j {
			p.advance(j)
		}
	}
	p.startCalls(now)
	return p.takeActions()
}

// CallFailed handles a call that got no answer. The target is paused and the pieces are queued
// again.
func (p *Planner) CallFailed(now time.Time, id uint64, failure CallFailure) []Action {
	p.now = now
	c := p.calls[id]
	if c == nil {
		return nil
	}
	p.endCall(c)
	switch failure {
	case Full:
		c.target.pausedUntil = now.Add(rejectedCallPause)
	case Lost:
		c.target.addLostCall(now, c)
	case Unreached:
		c.target.pausedUntil = now.Add(unreachedPause)
	}
	p.requeuePieces(c)
	p.startCalls(now)
	return p.takeActions()
}

// endCall removes a call, whatever its outcome.
func (p *Planner) endCall(c *call) {
	c.target.pool.changed = true
	delete(p.calls, c.id)
	c.target.running = slices.DeleteFunc(c.target.running, func(other *call) bool { return other == c })
	if c.target.externalCall == c {
		c.target.externalCall = nil
	}
	c.target.usedBytes -= c.bytes
	for _, ref := range c.pieces {
		ref.stage.results[ref.index].calls--
	}
	p.reportHandoverComplete(c)
}

// requeueCall removes a call and queues its pieces again.
func (p *Planner) requeueCall(c *call) {
	p.endCall(c)
	p.requeuePieces(c)
}

// requeuePieces queues the pieces of an ended call again.
func (p *Planner) requeuePieces(c *call) {
	for _, ref := range c.pieces {
		p.requeue(ref)
	}
}

// pieceEnded handles the outcome of one piece of an ended call.
func (p *Planner) pieceEnded(now time.Time, c *call, ref pieceRef, r Result) {
	p.now = now
	s := ref.stage
	// The results of the stage are no longer needed.
	if r.Handle != "" && s.released && p.jobs[s.job.ID] == s.job {
		p.actions = append(p.actions, FreeResults{Target: c.target.Target, Handles: []string{r.Handle}})
		return
	}
	// The planner to which the job was handed over uses the result.
	if s.job.handedOver && r.Handle != "" && !s.released && !c.target.removed {
		p.reportCompleted(s.job, CompletedPiece{Stage: s.index, Index: ref.index, Handle: r.Handle, Target: c.target.ID, CompletedAt: now, Bytes: s.spec.ResultBytes})
		return
	}
	live := p.jobs[s.job.ID] == s.job && !s.released && !c.target.removed
	if r.Handle != "" {
		// The job was removed, or another call returned the piece's result first.
		if !live || s.results[ref.index].handle != "" {
			p.actions = append(p.actions, FreeResults{Target: c.target.Target, Handles: []string{r.Handle}})
			return
		}
		p.storeResult(s, ref.index, c.target, r.Handle)
		p.dequeuePiece(ref)
		p.reportCompleted(s.job, CompletedPiece{Stage: s.index, Index: ref.index, Handle: r.Handle, Target: c.target.ID, CompletedAt: now, Bytes: s.spec.ResultBytes})
		return
	}
	if !live {
		return
	}
	switch r.Failure {
	case NoRoom:
		c.target.pausedUntil = now.Add(noMemoryPause)
		p.requeue(ref)
	case Late:
		p.reject(s.job, Reject{Job: s.job.ID, Reason: TooLate, Service: s.spec.Service})
	case InputGone:
		p.countFailure(s.job)
		if p.jobs[s.job.ID] == s.job {
			p.recomputeInputs(s)
		}
	default:
		p.countFailure(s.job)
		p.requeue(ref)
	}
}
