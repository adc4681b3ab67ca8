package dispatch

import (
	"slices"
	"time"
)

// stageState is the state of one stage of a job.
type stageState struct {
	job     *job
	index   int
	spec    Stage
	pool    *pool
	kind    *pieceKind
	results []result
	// task is the queued task of the stage, nil if no piece waits.
	task *task
	// missing is the number of pieces without a result.
	missing int
	// queuedAt, startedAt and doneAt are when the stage was queued, its first piece was sent
	// and its last one was completed.
	queuedAt, startedAt, doneAt time.Time
	// lastDataCentre is the data centre to which the last piece was sent.
	lastDataCentre string
	// queued is set once the inputs were complete and the missing pieces were queued.
	queued bool
	// released is set once the results were freed because nothing needs them any more.
	released bool
}

// result is the state of one piece; handle is empty while it has no result.
type result struct {
	handle string
	target *targetState
	bytes  int64
	// calls is the number of running calls that compute the piece, the last one started at
	// calledAt.
	calls    int
	calledAt time.Time
}

// task is a queued stage with waiting pieces.
type task struct {
	stage *stageState
	// waiting are the indices of the waiting pieces.
	waiting []int
	// queuedAt is when the first waiting piece was queued.
	queuedAt time.Time
	// due is when the stage must be done for the job to meet its soft deadline, left the time until
	// then when the queue was sorted.
	due  time.Time
	left time.Duration
	// valueDensity is the result of taskValueDensity.
	valueDensity float64
	// deferred is set if the task comes after those that can be on time: its job is deferred,
	// or the task was when the queue was sorted.
	deferred bool
}

// recomputeFreedInputs resets the freed inputs of all stages that lack results, so that they are
// computed again.
func (p *Planner) recomputeFreedInputs(j *job) {
	for _, s := range slices.Backward(j.stages) {
		if s.missing > 0 && !s.released {
			p.resetFreedInputs(s)
		}
	}
}

// resetFreedInputs resets the stages before s whose results were freed, and recursively the
// freed inputs of these. Stage s leaves the queue until they are computed.
func (p *Planner) resetFreedInputs(s *stageState) {
	for _, before := range s.spec.After {
		b := s.job.stages[before]
		if !b.released {
			continue
		}
		s.queued = false
		p.dequeueStage(s)
		b.reset()
		p.resetFreedInputs(b)
	}
}

// reset discards the state of the stage, so that all its pieces are computed again.
func (s *stageState) reset() {
	*s = stageState{job: s.job, index: s.index, spec: s.spec, pool: s.pool, kind: s.kind, task: s.task, results: make([]result, s.spec.Pieces), missing: s.spec.Pieces}
}

// loseResultsAt forgets the results of the stage that were stored at a removed target.
func (p *Planner) loseResultsAt(s *stageState, t *targetState) {
	if s.released {
		return
	}
	for i := range s.results {
		if r := &s.results[i]; r.target == t {
			*r = result{calls: r.calls}
			s.missing++
			s.queued = false
		}
	}
}

// dequeueStage removes all waiting pieces of the stage from the queue.
func (p *Planner) dequeueStage(s *stageState) {
	if s.task == nil {
		return
	}
	if i := slices.Index(s.pool.tasks, s.task); i >= 0 {
		s.pool.tasks = slices.Delete(s.pool.tasks, i, i+1)
	}
	s.task = nil
}

// release frees the results of a stage. Results of its running calls are freed on arrival.
func (p *Planner) release(s *stageState) {
	if s.released {
		return
	}
	s.released = true
	byTarget := map[*targetState][]string{}
	var order []*targetState
	for i := range s.results {
		r := &s.results[i]
		if r.handle == "" || r.target == nil {
			continue
		}
		if byTarget[r.target] == nil {
			order = append(order, r.target)
		}
		byTarget[r.target] = append(byTarget[r.target], r.handle)
		r.target.removeResult(r.handle)
	}
	if len(order) > 0 && p.jobs[s.job.ID] == s.job {
		report := p.progressOf(s.job)
		report.Released = append(report.Released, s.index)
	}
	for _, t := range order {
		if !t.removed && !t.Closed { // closed targets get no more calls; their results expire there
			p.actions = append(p.actions, FreeResults{Target: t.Target, Handles: byTarget[t]})
		}
	}
}

// hasUnassignedPiece reports whether a piece of the stage has neither a result nor a running
// call. A running call needs no inputs any more: it has fetched them, or will report them as
// gone.
func (s *stageState) hasUnassignedPiece() bool {
	for i := range s.results {
		if s.results[i].handle == "" && s.results[i].calls <= 0 {
			return true
		}
	}
	return false
}

// inputsReady reports whether all results that the stage needs exist.
func (p *Planner) inputsReady(j *job, s *stageState) bool {
	for _, before := range s.spec.After {
		if b := j.stages[before]; b.missing > 0 || b.released {
			return false
		}
	}
	return true
}

// resultsConsumed reports whether the results of s are no longer needed: all stages after s
// have their results, or have at least fetched those of s where result memory is short.
func (p *Planner) resultsConsumed(j *job, s *stageState) bool {
	consumers := 0
	for _, other := range j.stages {
		if !slices.Contains(other.spec.After, s.index) || len(other.results) == 0 {
			continue
		}
		consumers++
		if other.missing > 0 && !(p.inputsFetched(other) && s.pool.memoryShort()) {
			return false
		}
	}
	return consumers > 0
}

// inputsFetched reports whether every missing piece of the stage is in a call that has run for
// at least inputFetchTime.
func (p *Planner) inputsFetched(s *stageState) bool {
	if p.now.Before(p.formerCallsEndAt) {
		return false // calls may be queued at the target after those of the former planner
	}
	for i := range s.results {
		r := &s.results[i]
		if r.handle == "" && (r.calls <= 0 || p.now.Sub(r.calledAt) < inputFetchTime) {
			return false
		}
	}
	return true
}

// enqueue adds a piece to the queue unless it waits already.
func (p *Planner) enqueue(s *stageState, index int) {
	s.pool.changed = true
	if s.task != nil {
		if !slices.Contains(s.task.waiting, index) {
			s.task.waiting = append(s.task.waiting, index)
		}
		return
	}
	s.task = &task{stage: s, waiting: []int{index}, queuedAt: p.now}
	s.pool.tasks = append(s.pool.tasks, s.task)
}

// requeue queues a piece again that is still needed and has neither a result nor a running call.
func (p *Planner) requeue(ref pieceRef) {
	s := ref.stage
	if p.jobs[s.job.ID] != s.job || s.released || !s.queued {
		return
	}
	if r := &s.results[ref.index]; r.handle != "" || r.calls > 0 {
		return
	}
	if !p.inputsReady(s.job, s) {
		p.dequeueStage(s)
		s.queued = false
		p.recomputeFreedInputs(s.job)
		p.advance(s.job)
		return
	}
	p.enqueue(s, ref.index)
}

// dequeuePiece removes one piece from the queue.
func (p *Planner) dequeuePiece(ref pieceRef) {
	t := ref.stage.task
	if t == nil {
		return
	}
	t.waiting = slices.DeleteFunc(t.waiting, func(index int) bool { return index == ref.index })
	if len(t.waiting) == 0 {
		p.dequeueStage(ref.stage)
	}
}

// recomputeInputs computes the inputs of a stage again after one of them was found missing.
func (p *Planner) recomputeInputs(s *stageState) {
	if !s.queued {
		return
	}
	for _, before := range s.spec.After {
		p.release(s.job.stages[before])
	}
	p.resetFreedInputs(s)
}
