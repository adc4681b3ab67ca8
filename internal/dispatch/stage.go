package dispatch

import (
	"slices"
	"time"
)

type stageState struct {
	job     *job
	index   int
	plan    Stage
	results []result
	// missing is the number of pieces without a result.
	missing int
	// queuedAt, begunAt and doneAt are when the stage was queued, its first piece was sent
	// and its last one was done.
	queuedAt, begunAt, doneAt time.Time
	// sentTo is the data centre to which pieces were sent last.
	sentTo string
	queued bool
	// released says that the results were given up since nobody needs them any more.
	released bool
}

type result struct {
	handle string
	target *targetState
	bytes  int64
	// calls counts the running calls that make the piece, the last since calledAt.
	calls    int
	calledAt time.Time
}

// task is a stage with pieces that wait.
type task struct {
	stage *stageState
	// waiting are the indices of the pieces.
	waiting []int
	// since is when the first of them was queued.
	since time.Time
	// due is when the stage must be done for the job to be on time.
	due time.Time
	// density is the worth of the job for its work here.
	density float64
	// late says that the task is behind those that can be on time.
	late bool
}

// repair makes the inputs of stages that lost results anew, as far as they were freed.
func (p *Planner) repair(j *job) {
	for _, s := range slices.Backward(j.stages) {
		if s.missing > 0 && !s.released {
			p.restoreInputs(s)
		}
	}
}

// restoreInputs starts the stages before s again whose results were freed.
func (p *Planner) restoreInputs(s *stageState) {
	for _, before := range s.plan.After {
		b := s.job.stages[before]
		if !b.released {
			continue
		}
		s.queued = false
		p.unqueue(s)
		b.reset()
		p.restoreInputs(b)
	}
}

func (s *stageState) reset() {
	*s = stageState{job: s.job, index: s.index, plan: s.plan, results: make([]result, s.plan.Pieces), missing: s.plan.Pieces}
}

func (p *Planner) loseResults(s *stageState, t *targetState) {
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

func (p *Planner) unqueue(s *stageState) {
	pl := p.services[s.plan.Service]
	if pl == nil {
		return
	}
	pl.tasks = slices.DeleteFunc(pl.tasks, func(t *task) bool { return t.stage == s })
}

// release frees the results of a stage.
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
		r.target.forget(r.handle)
	}
	if len(order) > 0 && p.jobs[s.job.ID] == s.job {
		told := p.progress(s.job)
		told.Released = append(told.Released, s.index)
	}
	for _, t := range order {
		if !t.gone && !t.Closed { // nothing more is sent to a closed target; its results vanish by themselves
			p.actions = append(p.actions, FreeResults{Target: t.Target, Handles: byTarget[t]})
		}
	}
}

// idle reports whether a piece of the stage is missing that no call makes. A call that
// runs has fetched its inputs, or will say that they are gone.
func (s *stageState) idle() bool {
	for i := range s.results {
		if s.results[i].handle == "" && s.results[i].calls <= 0 {
			return true
		}
	}
	return false
}

func (p *Planner) inputsReady(j *job, s *stageState) bool {
	for _, before := range s.plan.After {
		if b := j.stages[before]; b.missing > 0 || b.released {
			return false
		}
	}
	return true
}

// consumed reports whether all stages behind s have their results, or have fetched s's
// where room is short.
func (p *Planner) consumed(j *job, s *stageState) bool {
	consumers := 0
	for _, other := range j.stages {
		if !slices.Contains(other.plan.After, s.index) || len(other.results) == 0 {
			continue
		}
		consumers++
		if other.missing > 0 && !(p.fetched(other) && p.pool(s.plan.Service).short()) {
			return false
		}
	}
	return consumers > 0
}

// fetched reports whether every missing piece of the stage is in a call that has run for
// long enough to have fetched its inputs.
func (p *Planner) fetched(s *stageState) bool {
	if p.now.Before(p.settledAt) {
		return false // calls may wait behind those of the former planner
	}
	for i := range s.results {
		r := &s.results[i]
		if r.handle == "" && (r.calls <= 0 || p.now.Sub(r.calledAt) < fetchTime) {
			return false
		}
	}
	return true
}

func (p *Planner) enqueue(s *stageState, index int) {
	pl := p.pool(s.plan.Service)
	for _, t := range pl.tasks {
		if t.stage == s {
			if !slices.Contains(t.waiting, index) {
				t.waiting = append(t.waiting, index)
			}
			return
		}
	}
	pl.tasks = append(pl.tasks, &task{stage: s, waiting: []int{index}, since: p.now})
}

func (p *Planner) requeue(ref pieceRef) {
	s := ref.stage
	if p.jobs[s.job.ID] != s.job || s.released || !s.queued {
		return
	}
	if r := &s.results[ref.index]; r.handle != "" || r.calls > 0 {
		return
	}
	if !p.inputsReady(s.job, s) {
		p.unqueue(s)
		s.queued = false
		p.repair(s.job)
		p.advance(s.job)
		return
	}
	p.enqueue(s, ref.index)
}

func (p *Planner) dequeue(ref pieceRef) {
	pl := p.services[ref.stage.plan.Service]
	for i, t := range pl.tasks {
		if t.stage != ref.stage {
			continue
		}
		t.waiting = slices.DeleteFunc(t.waiting, func(index int) bool { return index == ref.index })
		if len(t.waiting) == 0 {
			pl.tasks = slices.Delete(pl.tasks, i, i+1)
		}
		return
	}
}

// remakeInputs makes the inputs of a stage anew, since one of them is gone.
func (p *Planner) remakeInputs(s *stageState) {
	if !s.queued {
		return
	}
	for _, before := range s.plan.After {
		p.release(s.job.stages[before])
	}
	p.restoreInputs(s)
}
