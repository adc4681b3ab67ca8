package dispatch

import (
	"math"
	"slices"
	"time"
)

// Job describes the stages of one request.
type Job struct {
	ID string
	// DataCentre is where the results of the final stages will probably be used. If nothing
	// better is known, it is that of the daemon that holds the client connection.
	DataCentre string
	// Key identifies the input of the stages that need no other stage's results.
	Key    string
	Stages []Stage
	// SoftDeadline is when the stages must be done for the request to have its full value.
	// The job is rejected if it can't be done by Deadline.
	SoftDeadline time.Time
	Deadline     time.Time
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// Value is the relative price of a request that meets its soft deadline; see RequestValue.
	Value float64
	// Account is the name of the client's account, empty if there is none; Route is the name of the
	// request's route, by which kinds of requests are told apart.
	Account, Route string
	// Engine is the service whose engines run the request after its stages, EngineTime the time for
	// which it occupies one of them: for the prompt tokens that no engine has cached and for its share
	// of the output. Both are used with Planner.Scarce only; 0 means that engines aren't considered.
	Engine     string
	EngineTime time.Duration
	// Completed are results that another planner has produced for the job, Running the pieces
	// of its running calls.
	Completed []CompletedPiece
	Running   []RunningPiece
	// InputsDelivered is set if another planner returned Finish for the job, so that the
	// request already has the handles of the final results.
	InputsDelivered bool
}

// CompletedPiece is the result of one piece.
type CompletedPiece struct {
	// Stage is the index of the stage, Index that of the piece in it.
	Stage  int
	Index  int
	Handle string
	// Target is the ID of the target that stores the result.
	Target string
	// CompletedAt is when the result was produced.
	CompletedAt time.Time
	// Bytes is the memory of the result. It is set in Progress only; Submit uses
	// Stage.ResultBytes.
	Bytes int64
}

const (
	// rankValueRatio is the value of a request relative to one of the next higher rank.
	rankValueRatio = 0.6
	// sizeIndependentShare is the share of an average request's value that doesn't depend on
	// the size.
	sizeIndependentShare = 0.3
	// maxRelativeSize bounds the size of a request relative to the mean of its route.
	maxRelativeSize = 5
)

// RequestValue returns the value of a request relative to others. It depends on the rank, of
// which 0 is the highest, and on the size relative to the mean of the request's route. It is 1
// for rank 0 and mean size.
func RequestValue(priority int, relativeSize float64) float64 {
	return math.Pow(rankValueRatio, float64(max(priority, 0))) * (sizeIndependentShare + (1-sizeIndependentShare)*min(relativeSize, maxRelativeSize))
}

// MaxPieces bounds the pieces of one job. The planner holds a state for each piece, and so many pieces take
// tens of full calls, which no deadline leaves time for.
const MaxPieces = 4096

// PieceCount returns the number of pieces of all stages. It is above MaxPieces if a stage has a negative
// number.
func PieceCount(stages []Stage) int {
	count := 0
	for _, s := range stages {
		if s.Pieces < 0 || s.Pieces > MaxPieces {
			return MaxPieces + 1
		}
		count = min(count+s.Pieces, MaxPieces+1)
	}
	return count
}

// Stage is one stage of a job.
type Stage struct {
	Service string
	// Kind is shared by stages whose pieces take the same time.
	Kind string
	// After lists the indices of the stages whose results the pieces need. They must be lower
	// than the stage's own index: the planner follows them recursively.
	After []int
	// Pieces is the number of pieces; 0 omits the stage.
	Pieces int
	// ResultBytes is the size of the result of one piece.
	ResultBytes int64
}

// job is a submitted job with the state of its stages.
type job struct {
	Job
	submitted time.Time
	stages    []*stageState
	// failures is the number that maxPieceFailures bounds.
	failures int
	// finished is set once Finish was returned. The inputs stay at their targets until
	// InputsConsumed.
	finished bool
	// handedOver is set once the job was handed over to another planner.
	handedOver bool
	// started is set once a piece was sent.
	started bool
	// deferred is set if the job isn't admitted: the forecast has no capacity for it to meet
	// its soft deadline. Its tasks then come after those of admitted jobs.
	deferred bool
	// verdict and floor are those of the last round of admitScarce, score and cost in seconds those of
	// the last round that scored the job; floorRank is that of its ID. charged is the part of cost that
	// was charged to the account.
	verdict     verdict
	score, cost float64
	floor       bool
	// waits is set if mayWait held in the last round that decided on the job.
	waits     bool
	floorRank float64
	// sequence is the number of jobs that were submitted up to this one.
	sequence uint64
	charged  float64
	// engine is the result of Planner.engine.
	engine *engineService
	// listed is set while the job is in scarcity.order, dropped once the job was removed.
	listed, dropped bool
	// pending is the work that no call runs yet, as of the last admission.
	pending []pendingWork
	// bottleneck and valueDensity are the results of density.
	bottleneck   *pool
	valueDensity float64
}

// Submit adds a job. A job that is known already is ignored.
func (p *Planner) Submit(now time.Time, j Job) []Action {
	p.now = now
	if _, known := p.jobs[j.ID]; known {
		return nil
	}
	state := &job{Job: j, submitted: now, finished: j.InputsDelivered}
	for i, spec := range j.Stages {
		pl := p.pool(spec.Service)
		s := &stageState{job: state, index: i, spec: spec, pool: pl, kind: pl.kind(spec.Kind), results: make([]result, spec.Pieces), missing: spec.Pieces}
		state.stages = append(state.stages, s)
	}
	p.scarcity.submissions++
	state.sequence = p.scarcity.submissions
	p.jobs[j.ID] = state
	p.list(state)
	for _, d := range j.Completed {
		p.addExternalResult(state, d)
	}
	for _, r := range j.Running {
		p.addExternalPiece(state, r)
	}
	if p.Scarce && !state.finished && p.admitNewScarce(now, state) {
		return p.takeActions()
	}
	if !state.finished && !(state.mustWait() && !state.hasPieces()) {
		p.advance(state)
	}
	p.admitNew(now, state)
	p.startCalls(now)
	return p.takeActions()
}

// storeResult records the result of a piece and its memory at a target. If the result was
// inherited, its memory was counted already; claim removes it first.
func (p *Planner) storeResult(s *stageState, index int, t *targetState, handle string) {
	p.claim(t, handle)
	s.results[index] = result{handle: handle, target: t, bytes: s.spec.ResultBytes, calls: s.results[index].calls}
	s.missing--
	if s.missing == 0 {
		s.doneAt = p.now
	}
	t.results[handle] = s.spec.ResultBytes
	t.usedBytes += s.spec.ResultBytes
}

// Withdraw removes a job, whether it is done or not, and frees its results.
func (p *Planner) Withdraw(now time.Time, id string) []Action {
	p.now = now
	j := p.jobs[id]
	if j == nil {
		return nil
	}
	p.dropJob(j)
	p.startCalls(now)
	return p.takeActions()
}

// InputsConsumed frees the inputs of a finished job. The job stays known for RecomputeInputs.
func (p *Planner) InputsConsumed(now time.Time, id string) []Action {
	p.now = now
	j := p.jobs[id]
	if j == nil || !j.finished {
		return nil
	}
	for _, s := range j.stages {
		p.release(s)
	}
	p.startCalls(now)
	return p.takeActions()
}

// HasJob reports whether the planner has the job.
func (p *Planner) HasJob(id string) bool {
	return p.jobs[id] != nil
}

// dropJob removes a job and frees its results.
func (p *Planner) dropJob(j *job) {
	delete(p.jobs, j.ID)
	j.dropped = true
	p.refund(j)
	for _, s := range j.stages {
		p.dequeueStage(s)
		p.release(s)
	}
}

// advance queues the stages whose inputs are complete, frees results that are no longer
// needed, and finishes the job when all final results exist.
func (p *Planner) advance(j *job) {
	for _, s := range j.stages {
		if !s.queued && s.missing > 0 && j.needs(s) && p.inputsReady(j, s) {
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
		if s.missing == 0 && len(s.results) > 0 && p.resultsConsumed(j, s) {
			p.release(s)
		}
	}
	if !j.finished && p.finalStagesComplete(j) {
		j.finished = true
		p.finish(j)
	}
}

// needs reports whether the results of the stage are still needed: by the request itself, or by
// a piece of a needed stage that still has to be sent.
func (j *job) needs(s *stageState) bool {
	if j.isFinal(s) {
		return true
	}
	for _, other := range j.stages {
		if other.hasUnassignedPiece() && slices.Contains(other.spec.After, s.index) && j.needs(other) {
			return true
		}
	}
	return false
}

// isFinal reports whether the request itself needs the results of the stage.
func (j *job) isFinal(s *stageState) bool {
	if len(s.results) == 0 {
		return false
	}
	for _, other := range j.stages {
		if slices.Contains(other.spec.After, s.index) && len(other.results) > 0 {
			return false
		}
	}
	return true
}

// finalStagesComplete reports whether all results that the request itself needs exist.
func (p *Planner) finalStagesComplete(j *job) bool {
	for _, s := range j.stages {
		if j.isFinal(s) && s.missing > 0 {
			return false
		}
	}
	return true
}

// finish reports that all stages of the job are done.
func (p *Planner) finish(j *job) {
	if p.Scarce {
		p.scarcity.kinds.count(j, true, !p.now.After(j.SoftDeadline))
	}
	f := Finish{Job: j.ID, InputBytes: map[string]int64{}, StageTimings: p.StageTimings(j.ID), Inputs: j.finalHandles()}
	for _, s := range j.stages {
		if !j.isFinal(s) {
			continue
		}
		for i := range s.results {
			f.InputBytes[s.results[i].target.DataCentre] += s.results[i].bytes
		}
	}
	p.actions = append(p.actions, f)
}

// Inputs returns the handles of the results that the request itself needs, or nil if one of
// them is missing.
func (p *Planner) Inputs(id string) []string {
	j := p.jobs[id]
	if j == nil || !p.finalStagesComplete(j) {
		return nil
	}
	return j.finalHandles()
}

// finalHandles returns the handles of the results that the request itself needs.
func (j *job) finalHandles() []string {
	var handles []string
	for _, s := range j.stages {
		if !j.isFinal(s) {
			continue
		}
		for i := range s.results {
			handles = append(handles, s.results[i].handle)
		}
	}
	return handles
}

// RecomputeInputs computes the inputs of a finished job again, after the request found one
// missing.
func (p *Planner) RecomputeInputs(now time.Time, id string) []Action {
	p.now = now
	j := p.jobs[id]
	if j == nil || !j.finished {
		return nil
	}
	j.finished = false
	p.list(j)
	for _, s := range j.stages {
		p.release(s)
		s.reset()
	}
	p.advance(j)
	p.startCalls(now)
	return p.takeActions()
}

// reportCompleted adds a result to the job's progress report.
func (p *Planner) reportCompleted(j *job, d CompletedPiece) {
	progress := p.progressOf(j)
	progress.Completed = append(progress.Completed, d)
}

// progressOf returns the job's progress report of the event that is being handled.
func (p *Planner) progressOf(j *job) *Progress {
	for _, report := range p.progressReports {
		if report.Job == j.ID {
			return report
		}
	}
	report := &Progress{Job: j.ID}
	p.progressReports = append(p.progressReports, report)
	return report
}

// countFailure counts a failed piece and rejects the job if there are too many.
func (p *Planner) countFailure(j *job) {
	j.failures++
	if j.failures > maxPieceFailures {
		p.reject(j, Reject{Job: j.ID, Reason: Failing})
	}
}

// reject removes a job, frees its results and reports the rejection.
func (p *Planner) reject(j *job, r Reject) {
	if p.jobs[j.ID] != j {
		return
	}
	r.StageTimings = p.StageTimings(j.ID)
	if pl := p.poolByService[r.Service]; pl != nil && pl.forecast != nil {
		r.Pressure = pl.forecast.pressure()
	}
	if p.Scarce {
		p.scarcity.kinds.count(j, false, false)
	}
	p.dropJob(j)
	p.actions = append(p.actions, r)
}
