// Package dispatch decides which pieces of which requests the stage targets run next.
// It does no I/O: events go in with their time, actions come out.
//
// The load that it answers: every call to a stage target costs a fixed time whatever it
// carries, a target runs one call at a time, and requests arrive in clumps and bursts.
// Daemons that each call for their own requests find most targets busy and send calls
// that are nearly empty. One queue per service, filled into whole batches in the order
// of urgency as soon as a target is free, keeps targets busy with full calls.
//
// A piece may be produced again, so that two planners that work for the same targets at
// once cost time and nothing else.
//
// # Usage
//
//	p := dispatch.New()
//	p.SetTargets(now, targets)
//	actions := p.Submit(now, job)
//	actions = p.CallEnded(now, callID, results)
package dispatch

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// Target is a stage target as the planner sees it.
type Target struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Born tells two starts under one ID apart.
	Born int64
	// Closed says that no new call may go to the target.
	Closed bool
}

// Job is the stages of one request.
type Job struct {
	ID string
	// DataCentre is where the daemon is that holds the client.
	DataCentre string
	Key        string
	Stages     []Stage
	// Aim is the time at which the stages must be done for the request to be on time;
	// Deadline that at which it must be done at all.
	Aim      time.Time
	Deadline time.Time
	// Priority is the rank of the request, 0 is the highest.
	Priority int
	// Worth is what the request earns if it is on time.
	Worth float64
	// Done are results that another planner has had made for the job.
	Done []Done
}

// Done is a result that was made.
type Done struct {
	Stage  int
	Index  int
	Handle string
	// Target is the ID of the target that keeps the result.
	Target string
	// Made is when the result was made.
	Made time.Time
}

const (
	// rankWorth is the worth of a request of each rank compared with the rank above it.
	rankWorth = 0.6
	// baseWorth is the part of a request's worth that doesn't depend on its size.
	baseWorth = 0.3
	// maxRelative bounds the size of a request compared with the mean of its route.
	maxRelative = 5
)

// Worth weighs a request against others by its rank, 0 is the highest, and by its size
// compared with the mean of its route.
func Worth(priority int, relative float64) float64 {
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

// Piece is one piece of a call.
type Piece struct {
	Job    string
	Stage  int
	Index  int
	Left   time.Duration
	Key    string
	Inputs []string
}

// Failure says why a piece has no result.
type Failure string

// The failures of a piece.
const (
	// Late means that the piece's time was over when its turn came.
	Late Failure = "Late"
	// InputGone means that an input no longer exists.
	InputGone Failure = "InputGone"
	// NoRoom means that the target had no memory for the result.
	NoRoom Failure = "NoRoom"
	// Broken is any other failure.
	Broken Failure = "Broken"
)

// Result is the outcome of one piece.
type Result struct {
	Handle  string
	Failure Failure
}

// CallFailure says why a call has no answer.
type CallFailure string

// The failures of a call.
const (
	// Full means that the target refused the call.
	Full CallFailure = "Full"
	// Lost means that the call ended without an answer.
	Lost CallFailure = "Lost"
)

// Action is what the caller must do: a StartCall, FreeResults, Progress, Finish or Reject.
type Action interface{ isAction() }

// StartCall sends a call to a target.
type StartCall struct {
	Call   uint64
	Target Target
	Pieces []Piece
	// Started is when the call was decided, Expected its predicted duration.
	Started  time.Time
	Expected time.Duration
}

// FreeResults gives results at a target up.
type FreeResults struct {
	Target  Target
	Handles []string
}

// Progress tells of results that were made for a job, so that another planner can go on
// from them.
type Progress struct {
	Job  string
	Done []Done
}

// Finish says that all stages of a job are done.
type Finish struct {
	Job string
	// Inputs are the results that the request itself needs.
	Inputs []string
	// BytesIn is the size of the inputs by data centre.
	BytesIn map[string]int64
	// Steps tells how the stages went.
	Steps []Step
}

// Reject says that a job can't be done.
type Reject struct {
	Job        string
	Reason     Reason
	RetryAfter time.Duration
	// Service is the one that decided, Pressure the demand on it over what it can do.
	Service  string
	Pressure float64
	// Steps tells how far the stages had come.
	Steps []Step
}

// Reason says why a job was rejected.
type Reason string

// The reasons of a rejection.
const (
	// TooLate means that the stages can't be done before the deadline.
	TooLate Reason = "TooLate"
	// Overloaded means that other work goes first.
	Overloaded Reason = "Overloaded"
	// Failing means that pieces failed too often.
	Failing Reason = "Failing"
	// NoTarget means that a service has no usable target.
	NoTarget Reason = "NoTarget"
)

func (StartCall) isAction()   {}
func (FreeResults) isAction() {}
func (Progress) isAction()    {}
func (Finish) isAction()      {}
func (Reject) isAction()      {}

const (
	// maxPieceFailures bounds the failures of one job's pieces that aren't the job's fault.
	maxPieceFailures = 12
	// fullPause is the wait before a target that refused a call is tried again.
	fullPause = 60 * time.Millisecond
	// lostPause is the wait before a target that lost a call is tried again, about the time
	// in which a crashed one is noticed by its silence.
	lostPause = 500 * time.Millisecond
	// fetchTime is the time after which a call has fetched its inputs; they are some MB over
	// links of 10 Gbit/s.
	fetchTime = 120 * time.Millisecond
	// shortRoom is the used share of a target's room from which inputs are given up as soon
	// as they are fetched: less than a whole call may be left.
	shortRoom = 0.5
	// noRoomPause is the wait before a target without room is tried again.
	noRoomPause = 80 * time.Millisecond
	// speedWeight is the weight of a new measurement in a target's speed.
	speedWeight = 0.5
	// learnWeight is the weight of a new measurement in the time of a kind of piece.
	learnWeight = 0.1
	// maxPieceRatio bounds the time of a kind of piece compared with the service's.
	maxPieceRatio = 8
)

// Order is how waiting work is ordered.
type Order int

// The orders; all but ByWorth are baselines for comparisons.
const (
	// ByWorth puts first what can be on time together.
	ByWorth Order = iota
	// ByDue goes by the time at which work must be done.
	ByDue
	// ByArrival goes by the time at which work was queued.
	ByArrival
)

// Planner is the state of all stages; New makes one.
type Planner struct {
	// Order is how waiting work is ordered.
	Order Order

	services map[string]*pool
	// pools are the services in the order of their names.
	pools    []*pool
	targets  map[string]*targetState
	jobs     map[string]*job
	calls    map[uint64]*call
	nextCall uint64
	actions  []Action
	// now is the time of the event that is being taken.
	now time.Time
	// outlooks are those of the last look at all jobs, by service.
	outlooks map[string]*outlook
}

// pool is one service.
type pool struct {
	name    string
	batch   service.Batch
	targets []*targetState
	tasks   []*task
	// wait is the typical wait of a task that is on time.
	wait time.Duration
	// pieceTimes are the measured times of a piece by the kind of its stage.
	pieceTimes map[string]time.Duration
}

type targetState struct {
	Target
	pool        *pool
	running     map[uint64]*call
	pausedUntil time.Time
	// slowness is the measured duration of calls over the expected one.
	slowness float64
	// results maps the handles that live at the target to their sizes.
	results map[string]int64
	used    int64
	gone    bool
}

type job struct {
	Job
	submitted time.Time
	stages    []*stageState
	failures  int
	// finished says that Finish was returned and the inputs are still held.
	finished bool
	// begun says that a piece was sent.
	begun bool
	// behind says that the job can't be on time together with those before it.
	behind bool
	// scarcest is the service that has the least to spare for the job, merit the job's worth
	// for its work there.
	scarcest string
	merit    float64
}

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

// New returns an empty planner.
func New() *Planner {
	return &Planner{
		services: map[string]*pool{},
		targets:  map[string]*targetState{},
		jobs:     map[string]*job{},
		calls:    map[uint64]*call{},
	}
}

func (p *Planner) take() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

// SetServices sets how the targets of each service run calls.
func (p *Planner) SetServices(services map[string]service.Service) {
	for name, s := range services {
		if s.Batch == nil {
			continue
		}
		pl := p.pool(name)
		pl.batch = *s.Batch
	}
}

func (p *Planner) pool(name string) *pool {
	pl := p.services[name]
	if pl == nil {
		pl = &pool{name: name, batch: service.Batch{Slots: 1, Size: 1}}
		p.services[name] = pl
		p.pools = append(p.pools, pl)
		slices.SortFunc(p.pools, func(a, b *pool) int { return strings.Compare(a.name, b.name) })
	}
	return pl
}

// SetTargets sets the targets of all services; those that are missing are gone together
// with their results.
func (p *Planner) SetTargets(now time.Time, targets []Target) []Action {
	p.now = now
	present := make(map[string]bool, len(targets))
	for _, t := range targets {
		present[t.ID] = true
		state := p.targets[t.ID]
		if state != nil && state.Born != t.Born {
			p.lose(state)
			state = nil
		}
		if state == nil {
			pl := p.pool(t.Service)
			state = &targetState{pool: pl, running: map[uint64]*call{}, results: map[string]int64{}, slowness: 1}
			pl.targets = append(pl.targets, state)
			p.targets[t.ID] = state
		}
		state.Target = t
	}
	for _, id := range slices.Sorted(maps.Keys(p.targets)) {
		if !present[id] {
			p.lose(p.targets[id])
		}
	}
	p.plan(now)
	return p.take()
}

// lose forgets a target; pieces whose results were there are made again if still needed.
func (p *Planner) lose(t *targetState) {
	t.gone = true
	delete(p.targets, t.ID)
	t.pool.targets = slices.DeleteFunc(t.pool.targets, func(other *targetState) bool { return other == t })
	for _, id := range slices.Sorted(maps.Keys(t.running)) {
		p.requeueCall(t.running[id])
	}
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		j := p.jobs[id]
		for _, s := range j.stages {
			p.loseResults(s, t)
		}
		if !j.finished {
			p.repair(j)
			p.advance(j)
		}
	}
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

// Submit accepts a job.
func (p *Planner) Submit(now time.Time, j Job) []Action {
	p.now = now
	if _, known := p.jobs[j.ID]; known {
		return nil
	}
	state := &job{Job: j, submitted: now}
	for i, plan := range j.Stages {
		s := &stageState{job: state, index: i, plan: plan, results: make([]result, plan.Pieces), missing: plan.Pieces}
		state.stages = append(state.stages, s)
	}
	p.jobs[j.ID] = state
	for _, d := range j.Done {
		p.adopt(state, d)
	}
	p.advance(state)
	p.admitNew(now, state)
	p.plan(now)
	return p.take()
}

// adoptMargin is how long before the end of its life a result is no longer relied on.
const adoptMargin = time.Second

// adopt takes a result that another planner has had made, if it can still be used.
func (p *Planner) adopt(j *job, d Done) {
	if d.Stage < 0 || d.Stage >= len(j.stages) || d.Index < 0 || d.Index >= len(j.stages[d.Stage].results) {
		return
	}
	s := j.stages[d.Stage]
	t := p.targets[d.Target]
	if t == nil || s.results[d.Index].handle != "" {
		return
	}
	if life := t.pool.batch.ResultLifetime; life > 0 && p.now.Sub(d.Made) > life-adoptMargin {
		return
	}
	p.keepResult(s, d.Index, t, d.Handle)
	j.begun = true
}

func (p *Planner) keepResult(s *stageState, index int, t *targetState, handle string) {
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

// Consumed frees the inputs of a finished job, which stays known for a Redo.
func (p *Planner) Consumed(now time.Time, id string) []Action {
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

// Known reports whether the planner has the job.
func (p *Planner) Known(id string) bool {
	return p.jobs[id] != nil
}

func (p *Planner) drop(j *job) {
	delete(p.jobs, j.ID)
	for _, s := range j.stages {
		p.unqueue(s)
		p.release(s)
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
	for _, t := range order {
		if !t.gone && !t.Closed { // nothing more is sent to a closed target; its results vanish by themselves
			p.actions = append(p.actions, FreeResults{Target: t.Target, Handles: byTarget[t]})
		}
	}
}

func (t *targetState) forget(handle string) {
	t.used -= t.results[handle]
	delete(t.results, handle)
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
	for i := range s.results {
		r := &s.results[i]
		if r.handle == "" && (r.calls <= 0 || p.now.Sub(r.calledAt) < fetchTime) {
			return false
		}
	}
	return true
}

// short reports whether a target of the service may lack the room for a whole call.
func (pl *pool) short() bool {
	for _, t := range pl.targets {
		if pl.batch.RoomBytes > 0 && float64(t.used) > shortRoom*float64(pl.batch.RoomBytes) {
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
	f := Finish{Job: j.ID, BytesIn: map[string]int64{}, Steps: p.Steps(j.ID)}
	for _, s := range j.stages {
		if !j.final(s) {
			continue
		}
		for i := range s.results {
			f.Inputs = append(f.Inputs, s.results[i].handle)
			f.BytesIn[s.results[i].target.DataCentre] += s.results[i].bytes
		}
	}
	p.actions = append(p.actions, f)
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

// Redo makes the inputs of a finished job anew, after the request found one gone.
func (p *Planner) Redo(now time.Time, id string) []Action {
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
		c.target.pausedUntil = now.Add(lostPause)
	}
	p.requeuePieces(c)
	p.plan(now)
	return p.take()
}

func (p *Planner) endCall(c *call) {
	delete(p.calls, c.id)
	delete(c.target.running, c.id)
	c.target.used -= c.bytes
	for _, ref := range c.pieces {
		ref.stage.results[ref.index].calls--
	}
}

// whole reports whether all pieces of a call were made; others make it shorter.
func whole(results []Result) bool {
	for _, r := range results {
		if r.Failure != "" {
			return false
		}
	}
	return true
}

// measure keeps how long the target takes compared with what was expected, and how long
// the pieces of each kind take.
func (c *call) measure(now time.Time) {
	took := now.Sub(c.started)
	plain := c.target.pool.batch.CallTime
	counts := map[string]int{}
	squares := 0
	for _, ref := range c.pieces {
		plain += c.target.pool.pieceTime(ref.stage.plan.Kind)
		counts[ref.stage.plan.Kind]++
	}
	for _, n := range counts {
		squares += n * n
	}
	if plain <= 0 || squares == 0 {
		return
	}
	ratio := float64(took) / float64(plain)
	c.target.slowness += speedWeight * (ratio - c.target.slowness)
	if c.target.slowness >= tooSlow {
		return // a slow target says nothing about the pieces
	}
	// The error is divided among the kinds by their part in the call.
	for kind, n := range counts {
		step := learnWeight * float64(took-plain) * float64(n) / float64(squares)
		c.target.pool.learn(kind, time.Duration(step))
	}
}

// pieceTime is the time that a piece of the kind adds to a call.
func (pl *pool) pieceTime(kind string) time.Duration {
	if measured, ok := pl.pieceTimes[kind]; ok {
		return measured
	}
	return pl.batch.PieceTime
}

// learn moves the time of a kind by a step, inside what is plausible.
func (pl *pool) learn(kind string, step time.Duration) {
	if pl.pieceTimes == nil {
		pl.pieceTimes = map[string]time.Duration{}
	}
	least, most := pl.batch.PieceTime/maxPieceRatio, pl.batch.PieceTime*maxPieceRatio
	pl.pieceTimes[kind] = min(max(pl.pieceTime(kind)+step, least), most)
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

func (p *Planner) pieceEnded(now time.Time, c *call, ref pieceRef, r Result) {
	p.now = now
	s := ref.stage
	if r.Handle != "" && s.released && p.jobs[s.job.ID] == s.job {
		p.actions = append(p.actions, FreeResults{Target: c.target.Target, Handles: []string{r.Handle}})
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
		p.tell(s.job, Done{Stage: s.index, Index: ref.index, Handle: r.Handle, Target: c.target.ID, Made: now})
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

// tell adds a result to what is told of the job.
func (p *Planner) tell(j *job, d Done) {
	for i, a := range p.actions {
		if progress, ok := a.(Progress); ok && progress.Job == j.ID {
			progress.Done = append(progress.Done, d)
			p.actions[i] = progress
			return
		}
	}
	p.actions = append(p.actions, Progress{Job: j.ID, Done: []Done{d}})
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
	r.Steps = p.Steps(j.ID)
	if o := p.outlooks[r.Service]; o != nil {
		r.Pressure = o.pressure()
	}
	p.drop(j)
	p.actions = append(p.actions, r)
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
