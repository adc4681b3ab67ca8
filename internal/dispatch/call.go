package dispatch

import (
	"time"
)

type call struct {
	id       uint64
	target   *targetState
	started  time.Time
	expected time.Duration
	pieces   []pieceRef
	bytes    int64
	// hedged says that the pieces were queued again because the call is overdue.
	hedged bool
}

type pieceRef struct {
	stage *stageState
	index int
}

// CallEnded takes the answer to a call.
func (p *Planner) CallEnded(now time.Time, id uint64, results []Result) []Action {
	p.now = now
	c := p.calls[id]
	if c == nil {
		return nil
	}
	p.endCall(c)
	if whole(results) {
		c.measure(now)
	}
	for i, ref := range c.pieces {
		p.pieceEnded(now, c, ref, results[i])
	}
	for _, ref := range c.pieces {
		if j := ref.stage.job; p.jobs[j.ID] == j {
			p.advance(j)
		}
	}
	p.plan(now)
	return p.take()
}

// CallFailed takes the failure of a call.
func (p *Planner) CallFailed(now time.Time, id uint64, failure CallFailure) []Action {
	p.now = now
	c := p.calls[id]
	if c == nil {
		return nil
	}
	p.endCall(c)
	switch failure {
	case Full:
		c.target.pausedUntil = now.Add(fullPause)
	case Lost:
		c.target.abandon(now, c)
	case Unreached:
		c.target.pausedUntil = now.Add(lostPause)
	}
	p.requeuePieces(c)
	p.plan(now)
	return p.take()
}

func (p *Planner) endCall(c *call) {
	delete(p.calls, c.id)
	delete(c.target.running, c.id)
	if c.target.foreign == c {
		c.target.foreign = nil
	}
	c.target.used -= c.bytes
	for _, ref := range c.pieces {
		ref.stage.results[ref.index].calls--
	}
	p.leaveMoved(c)
}

func (p *Planner) requeueCall(c *call) {
	p.endCall(c)
	p.requeuePieces(c)
}

func (p *Planner) requeuePieces(c *call) {
	for _, ref := range c.pieces {
		p.requeue(ref)
	}
}

func (p *Planner) pieceEnded(now time.Time, c *call, ref pieceRef, r Result) {
	p.now = now
	s := ref.stage
	if r.Handle != "" && s.released && p.jobs[s.job.ID] == s.job {
		p.actions = append(p.actions, FreeResults{Target: c.target.Target, Handles: []string{r.Handle}})
		return
	}
	if s.job.moved && r.Handle != "" && !s.released && !c.target.gone {
		p.tell(s.job, CompletedPiece{Stage: s.index, Index: ref.index, Handle: r.Handle, Target: c.target.ID, CompletedAt: now, Bytes: s.plan.ResultBytes})
		return
	}
	live := p.jobs[s.job.ID] == s.job && !s.released && !c.target.gone
	if r.Handle != "" {
		if !live || s.results[ref.index].handle != "" {
			p.actions = append(p.actions, FreeResults{Target: c.target.Target, Handles: []string{r.Handle}})
			return
		}
		p.keepResult(s, ref.index, c.target, r.Handle)
		p.dequeue(ref)
		p.tell(s.job, CompletedPiece{Stage: s.index, Index: ref.index, Handle: r.Handle, Target: c.target.ID, CompletedAt: now, Bytes: s.plan.ResultBytes})
		return
	}
	if !live {
		return
	}
	switch r.Failure {
	case NoRoom:
		c.target.pausedUntil = now.Add(noRoomPause)
		p.requeue(ref)
	case Late:
		p.reject(s.job, Reject{Job: s.job.ID, Reason: TooLate, Service: s.plan.Service})
	case InputGone:
		p.countFailure(s.job)
		if p.jobs[s.job.ID] == s.job {
			p.remakeInputs(s)
		}
	default:
		p.countFailure(s.job)
		p.requeue(ref)
	}
}
