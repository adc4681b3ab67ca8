package dispatch

import (
	"math"
	"slices"
	"time"
)

// Job is the stages of one request.
type Job struct {
	ID string
	// DataCentre is where the daemon is that holds the client.
	DataCentre string
	Key        string
	Stages     []Stage
	// SoftDeadline is the time at which the stages must be done for the request to be on time;
	// Deadline that at which it must be done at all.
	SoftDeadline time.Time
	Deadline     time.Time
	// Priority is the rank of the request, 0 is the highest.
	Priority int
	// Value is what the request earns if it is on time.
	Value float64
	// Completed are results that another planner has had made for the job, Running the pieces
	// that its calls still make.
	Completed []CompletedPiece
	Running   []RunningPiece
	// InputsDelivered says that the request has its inputs already.
	InputsDelivered bool
}

// CompletedPiece is a result that was made.
type CompletedPiece struct {
	Stage  int
	Index  int
	Handle string
	// Target is the ID of the target that keeps the result.
	Target string
	// CompletedAt is when the result was made.
	CompletedAt time.Time
	// Bytes is the room that the result takes, as told in Progress.
	Bytes int64
}

const (
	// rankWorth is the worth of a request of each rank compared with the rank above it.
	rankWorth = 0.6
	// baseWorth is the part of a request's worth that doesn't depend on its size.
	baseWorth = 0.3
	// maxRelative bounds the size of a request compared with the mean of its route.
	maxRelative = 5
)

// RequestValue weighs a request against others by its rank, 0 is the highest, and by its size
// compared with the mean of its route.
func RequestValue(priority int, relative float64) float64 {
	return math.Pow(rankWorth, float64(max(priority, 0))) * (baseWorth + (1-baseWorth)*min(relative, maxRelative))
}

// Stage is one stage of a job.
type Stage struct {
	Service string
	// Kind names stages whose pieces take the same time.
	Kind  string
	After []int
	// Pieces is the number of pieces; 0 leaves the stage out.
	Pieces      int
	ResultBytes int64
}

type job struct {
	Job
	submitted time.Time
	stages    []*stageState
	failures  int
	// finished says that Finish was returned and the inputs are still held.
	finished bool
	// moved says that the job was handed over to another planner.
	moved bool
	// begun says that a piece was sent.
	begun bool
	// behind says that the job can't be on time together with those before it.
	behind bool
	// scarcest is the service that has the least to spare for the job, merit the job's worth
	// for its work there.
	scarcest string
	merit    float64
}

// Submit accepts a job.
func (p *Planner) Submit(now time.Time, j Job) []Action {
	p.now = now
	if _, known := p.jobs[j.ID]; known {
		return nil
	}
	state := &job{Job: j, submitted: now, finished: j.InputsDelivered}
	for i, plan := range j.Stages {
		s := &stageState{job: state, index: i, plan: plan, results: make([]result, plan.Pieces), missing: plan.Pieces}
		state.stages = append(state.stages, s)
	}
	p.jobs[j.ID] = state
	for _, d := range j.Completed {
		p.adopt(state, d)
	}
	for _, r := range j.Running {
		p.expect(state, r)
	}
	if !state.finished {
		p.advance(state)
	}
	p.admitNew(now, state)
	p.plan(now)
	return p.take()
}

func (p *Planner) keepResult(s *stageState, index int, t *targetState, handle string) {
	p.claim(t, handle)
	s.results[index] = result{handle: handle, target: t, bytes: s.plan.ResultBytes, calls: s.results[index].calls}
	s.missing--
	if s.missing == 0 {
		s.doneAt = p.now
	}
	t.results[handle] = s.plan.ResultBytes
	t.used += s.plan.ResultBytes
}

// Withdraw forgets a job, whether it is done or not, and frees its results.
func (p *Planner) Withdraw(now time.Time, id string) []Action {
	p.now = now
	j := p.jobs[id]
	if j == nil {
		return nil
	}
	p.drop(j)
	p.plan(now)
	return p.take()
}

// InputsConsumed frees the inputs of a finished job, which stays known for a Redo.
func (p *Planner) InputsConsumed(now time.Time, id string) []Action {
	p.now = now
	j := p.jobs[id]
	if j == nil || !j.finished {
		return nil
	}
	for _, s := range j.stages {
		p.release(s)
	}
	p.plan(now)
	return p.take()
}

// HasJob reports whether the planner has the job.
func (p *Planner) HasJob(id string) bool {
	return p.jobs[id] != nil
}

func (p *Planner) drop(j *job) {
	delete(p.jobs, j.ID)
	for _, s := range j.stages {
		p.unqueue(s)
		p.release(s)
	}
}

// advance queues the stages whose inputs are complete, frees what is no longer needed and
// finishes the job when everything is there.
func (p *Planner) advance(j *job) {
	for _, s := range j.stages {
		if !s.queued && s.missing > 0 && j.wanted(s) && p.inputsReady(j, s) {
			s.queued = true
			if s.queuedAt.IsZero() {
				s.queuedAt = p.now
			}
			for i := range s.results {
				if s.results[i].handle == "" && s.results[i].calls <= 0 {
					p.enqueue(s, i)
				}
			}
		}
	}
	for _, s := range j.stages {
		if s.missing == 0 && len(s.results) > 0 && p.consumed(j, s) {
			p.release(s)
		}
	}
	if !j.finished && p.complete(j) {
		j.finished = true
		p.finish(j)
	}
}

// wanted reports whether the results of the stage are still needed.
func (j *job) wanted(s *stageState) bool {
	if j.final(s) {
		return true
	}
	for _, other := range j.stages {
		if other.idle() && slices.Contains(other.plan.After, s.index) && j.wanted(other) {
			return true
		}
	}
	return false
}

// final reports whether the request itself needs the results of the stage.
func (j *job) final(s *stageState) bool {
	if len(s.results) == 0 {
		return false
	}
	for _, other := range j.stages {
		if slices.Contains(other.plan.After, s.index) && len(other.results) > 0 {
			return false
		}
	}
	return true
}

func (p *Planner) complete(j *job) bool {
	for _, s := range j.stages {
		if j.final(s) && s.missing > 0 {
			return false
		}
	}
	return true
}

func (p *Planner) finish(j *job) {
	f := Finish{Job: j.ID, InputBytes: map[string]int64{}, StageTimings: p.StageTimings(j.ID), Inputs: j.inputs()}
	for _, s := range j.stages {
		if !j.final(s) {
			continue
		}
		for i := range s.results {
			f.InputBytes[s.results[i].target.DataCentre] += s.results[i].bytes
		}
	}
	p.actions = append(p.actions, f)
}

// Inputs returns the results that the request itself needs; none if one of them is missing.
func (p *Planner) Inputs(id string) []string {
	j := p.jobs[id]
	if j == nil || !p.complete(j) {
		return nil
	}
	return j.inputs()
}

func (j *job) inputs() []string {
	var handles []string
	for _, s := range j.stages {
		if !j.final(s) {
			continue
		}
		for i := range s.results {
			handles = append(handles, s.results[i].handle)
		}
	}
	return handles
}

// RecomputeInputs makes the inputs of a finished job anew, after the request found one gone.
func (p *Planner) RecomputeInputs(now time.Time, id string) []Action {
	p.now = now
	j := p.jobs[id]
	if j == nil || !j.finished {
		return nil
	}
	j.finished = false
	for _, s := range j.stages {
		p.release(s)
		s.reset()
	}
	p.advance(j)
	p.plan(now)
	return p.take()
}

// tell adds a result to what is told of the job.
func (p *Planner) tell(j *job, d CompletedPiece) {
	progress := p.progress(j)
	progress.Completed = append(progress.Completed, d)
}

// progress returns what is told of the job after the present event.
func (p *Planner) progress(j *job) *Progress {
	for _, told := range p.told {
		if told.Job == j.ID {
			return told
		}
	}
	told := &Progress{Job: j.ID}
	p.told = append(p.told, told)
	return told
}

func (p *Planner) countFailure(j *job) {
	j.failures++
	if j.failures > maxPieceFailures {
		p.reject(j, Reject{Job: j.ID, Reason: Failing})
	}
}

func (p *Planner) reject(j *job, r Reject) {
	if p.jobs[j.ID] != j {
		return
	}
	r.StageTimings = p.StageTimings(j.ID)
	if o := p.outlooks[r.Service]; o != nil {
		r.Pressure = o.pressure()
	}
	p.drop(j)
	p.actions = append(p.actions, r)
}
