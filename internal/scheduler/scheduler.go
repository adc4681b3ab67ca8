// Package scheduler runs the stages of requests and assigns their engines. Each daemon has one
// scheduler. That of the leading daemon works for all daemons, so that calls to stage targets
// are full and engines are chosen with all running requests in view. A daemon that knows of no
// leader for some time works on its own requests.
//
// An engine is the target that generates the answer to a request. Stage targets first compute
// its inputs, the results of the final stages; package dispatch defines stages and pieces. The
// engine fetches the inputs by their handles.
//
// The daemon that holds the client connection of a request is its origin and has the Ticket.
// The daemon whose scheduler works on the request is its owner: the leader, or the origin itself
// if there is no leader. If the owner changes, the origin submits the request to the new one
// together with the results so far.
//
// All state belongs to one loop. Calls to targets run in the background and post their outcome
// to the loop.
//
// # Usage
//
//	s := &scheduler.Scheduler{Host: host, Mesh: mesh, Pool: pool, Clock: clock}
//	s.Init()
//	go s.Run(ctx)
//	s.SetInventory(services, targets, engines)
//	ticket := s.Submit(job)
//	update := <-ticket.Updates // Assigned or Rejected
//	ticket.AnswerStarted()
//	ticket.Close()
package scheduler

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/canary"
	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/exchange"
	"github.com/sequoiapick/sequoiapick/internal/metric"
	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/internal/quarantine"
	"github.com/sequoiapick/sequoiapick/internal/targetlimit"
	"github.com/sequoiapick/sequoiapick/internal/targetload"
	"github.com/sequoiapick/sequoiapick/internal/targetmemory"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

const (
	// tickInterval is the time between two checks for time-outs while the planner is busy.
	tickInterval = 20 * time.Millisecond
	// checkInterval is the time between two checks for requests without an owner, for requests
	// that are over, and for those that the rate limit of cold engines held back.
	checkInterval = 50 * time.Millisecond
	// localWorkDelay is the time without a leader after which a daemon works on its own
	// requests; an election takes about half of it.
	localWorkDelay = 1200 * time.Millisecond
	// retentionAfterDeadline is how long a request whose end isn't reported is stored after its
	// deadline.
	retentionAfterDeadline = 2 * time.Second
	// freeDelay is the time for which results to free are collected into one call per target.
	freeDelay = 30 * time.Millisecond
	// eventQueueLength bounds the events that wait for the loop.
	eventQueueLength = 16384
)

// Mesh sends messages to other daemons and reports which ones are alive.
type Mesh interface {
	// Send sends a message and reports whether there was a link to send it over.
	Send(host string, e *clusterpb.Envelope) bool
	// Leader returns the daemon that leads; it is empty if there is none.
	Leader() string
	// Incarnation identifies the current start of a daemon; it is empty if the daemon doesn't
	// answer.
	Incarnation(host string) string
	// Ended reports whether a daemon is known to have ended.
	Ended(host string) bool
	// Standbys returns the daemons that would lead next if the leader died.
	Standbys() []string
}

// Job is a request with stages to run, which then needs an engine.
type Job struct {
	ID string
	// DataCentre is that of the origin.
	DataCentre string
	// Key, SoftDeadline, Deadline, Priority and Value are those of dispatch.Job.
	Key          string
	Stages       []dispatch.Stage
	SoftDeadline time.Time
	Deadline     time.Time
	Priority     int
	Value        float64
	// Account is the name of the client's account, empty if the route needs none; Route is the
	// name of the route.
	Account, Route string
	// Generation describes the request for the choice of the engine; its ID is that of the job.
	Generation placement.Request
	// Completed are results that a former owner has produced, Running the pieces of its
	// running calls.
	Completed []dispatch.CompletedPiece
	Running   []dispatch.RunningPiece
	// Assigned is the ID of the engine that a former owner has chosen, empty if none.
	// AnswerStarted is set if that engine has started to answer.
	Assigned      string
	AnswerStarted bool
	// Plain is set for a plain request, which needs a target only.
	Plain bool
}

// Update is the answer to a submission: Assigned or Rejected.
type Update interface{ isUpdate() }

// Assigned names the engine for the request, and the handles of the request's inputs.
type Assigned struct {
	// Target is the ID of the engine.
	Target  string
	Address string
	Inputs  []string
}

// Rejected reports that the request can't be done.
type Rejected struct {
	// Reason is a dispatch.Reason.
	Reason string
	// RetryAfter is the time after which the client may retry; 0 if unknown.
	RetryAfter time.Duration
}

func (Assigned) isUpdate() {}
func (Rejected) isUpdate() {}

// Scheduler is the scheduler of one daemon. Its exported fields are set before Run, and
// CacheLifetime, EngineMemory and ScarcePolicy before Init.
type Scheduler struct {
	// Host is the name of this daemon in the Mesh.
	Host  string
	Mesh  Mesh
	Pool  *exchange.Pool
	Clock clockwork.Clock
	Log   event.Log
	// Metrics may be nil.
	Metrics *metric.EntryInstruments
	// EngineFailed and EngineSucceeded are called when other daemons report the outcome at the
	// engine of their request; they may be nil.
	EngineFailed, EngineSucceeded func(target string)
	// TargetLeaving is called when a target has said in an answer that this start of it leaves, and
	// reports whether that is news; it may be nil.
	TargetLeaving func(target string, incarnation int64) bool
	// Quarantine tracks the parts of prompts that crash engines; nil quarantines none.
	Quarantine *quarantine.Tracker
	// PartQuarantined and PartReleased are called when this daemon has found that a part must be
	// quarantined or released. They must not block, and are needed with Quarantine only.
	PartQuarantined, PartReleased func(quarantine.Cause)
	// Loads holds what targets report, nil if nothing is known; it is set before Init.
	Loads *targetload.Table
	// Limits holds the rate limits that targets name, nil if none are heeded; it is set before Init. LimitNoticed is
	// called with what the answers of stage targets say of them; it must not block, and is needed with Limits only.
	Limits       *targetlimit.Table
	LimitNoticed func(targetlimit.Notice)
	// MaxGap returns the objective for the pauses of a route's streams, 0 if there is none; it may be nil.
	MaxGap func(route string) time.Duration
	// Rollouts tells which versions of engines requests must go to; nil knows no rollouts.
	Rollouts *canary.Sides
	// CacheLifetime is the time after its last use for which a prompt part counts as cached by
	// an engine; 0 uses the default of package placement.
	CacheLifetime time.Duration
	// EngineMemory counts the tokens that engines hold for requests; nil counts none.
	EngineMemory *targetmemory.Tracker
	// ScarcePolicy turns on the admission for scarce capacity, see dispatch.Planner.Scarce;
	// SetScarcePolicy changes it later.
	ScarcePolicy bool

	// scarce is whether the admission for scarce capacity is on.
	scarce atomic.Bool

	// events are the functions for the loop; all fields below belong to the loop.
	events   chan func()
	planner  *dispatch.Planner
	selector *placement.Selector
	requests map[string]*request
	// held are the requests that rate limits hold, and some that aren't held any more.
	held map[string]*request
	// handedOver maps the requests that were handed over, while calls for them run, to their
	// origins.
	handedOver   map[string]string
	tickets      map[string]*Ticket
	pendingFrees map[string]*pendingFree
	// leaderState is the copy of the leader's state, for the case that this daemon leads next;
	// pendingHoldings are this daemon's changes that its standbys haven't received yet.
	leaderState     leaderState
	pendingHoldings *clusterpb.Holdings
	// ctx is that of Run.
	ctx context.Context
}

// request is a request that this scheduler owns.
type request struct {
	// origin is the daemon that holds the client connection.
	origin     string
	generation placement.Request
	// inputs are the handles of the final results.
	inputs       []string
	stageTimings []dispatch.StageTiming
	// expiresAt is when the request is removed if its end wasn't reported.
	expiresAt time.Time
	// assigned is the update with the engine that was chosen last, nil if none.
	assigned *Assigned
	// heldByRate is set while only the rate limits of engines prevent an assignment.
	heldByRate bool
	// priority is that of the job.
	priority int
}

// Init prepares the scheduler. It must be called before any other method.
func (s *Scheduler) Init() {
	s.events = make(chan func(), eventQueueLength)
	s.planner = dispatch.New()
	s.planner.Scarce = s.ScarcePolicy
	s.scarce.Store(s.ScarcePolicy)
	s.selector = placement.New()
	s.planner.Loads, s.selector.Loads = s.Loads, s.Loads
	s.planner.Limits, s.selector.Limits = s.Limits, s.Limits
	if s.CacheLifetime > 0 {
		s.selector.CacheLifetime = s.CacheLifetime
	}
	s.selector.Memory = s.EngineMemory
	s.requests, s.held = map[string]*request{}, map[string]*request{}
	s.handedOver = map[string]string{}
	s.tickets = map[string]*Ticket{}
	s.pendingFrees = map[string]*pendingFree{}
}

// Run runs the loop until the context ends.
func (s *Scheduler) Run(ctx context.Context) error {
	s.ctx = ctx
	tick := s.Clock.NewTicker(tickInterval)
	defer tick.Stop()
	check := s.Clock.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-s.events:
			f()
		case <-tick.Chan():
			s.updateEngines()
			if s.planner.Busy() {
				s.perform(s.planner.Tick(s.Clock.Now()))
			}
			s.flushFrees(s.Clock.Now())
			s.updateStandbys()
		case <-check.Chan():
			s.checkTickets()
			s.removeOrphans()
			s.removeExpired()
			s.assignHeld()
		}
	}
}

// post queues a function for the loop.
func (s *Scheduler) post(f func()) {
	s.events <- f
}

// SetInventory sets the services, the stage targets and the engines.
func (s *Scheduler) SetInventory(services map[string]service.Service, targets []dispatch.Target, engines []placement.Engine) {
	s.post(func() {
		s.planner.SetServices(services)
		s.selector.SetServices(services)
		s.selector.SetEngines(s.Clock.Now(), engines)
		s.perform(s.planner.SetTargets(s.Clock.Now(), targets))
	})
}

// submit makes this daemon the owner of a request, whose origin is this daemon or another one.
func (s *Scheduler) submit(origin string, job Job) {
	now := s.Clock.Now()
	if r := s.requests[job.ID]; r != nil {
		s.resubmit(r, job)
		return
	}
	r := &request{origin: origin, generation: job.Generation, priority: job.Priority, expiresAt: job.Deadline.Add(retentionAfterDeadline)}
	r.generation.Host = origin
	s.setObjectives(r, job)
	s.requests[job.ID] = r
	if s.rejectQuarantined(job.ID, r) || job.Assigned == "" && s.rejectHopeless(now, job.ID, r) {
		return
	}
	s.recordRequest(r)
	if job.Assigned != "" {
		s.selector.RecordAssignment(now, job.Generation, job.Assigned, job.AnswerStarted)
	}
	pieces := 0
	for _, stage := range job.Stages {
		pieces += stage.Pieces
	}
	if pieces == 0 && (job.Assigned != "" || job.Plain || !s.planner.Scarce) {
		if job.Assigned == "" {
			s.assign(job.ID, r)
		}
		return
	}
	s.submitStages(now, job)
	if job.Assigned == "" {
		return
	}
	r.inputs = s.planner.Inputs(job.ID)
	if job.AnswerStarted {
		s.perform(s.planner.InputsConsumed(now, job.ID))
	}
}

// resubmit handles a submission of a request that this daemon already owns. Its origin may have
// missed an update, or failed to report the start of the answer, when a link failed.
func (s *Scheduler) resubmit(r *request, job Job) {
	switch {
	case job.AnswerStarted:
		s.answerStarted(job.ID)
	case job.Assigned == "" && r.assigned != nil:
		s.sendUpdate(r.origin, job.ID, *r.assigned)
	}
}

// submitStages submits the stages of a request to the planner.
func (s *Scheduler) submitStages(now time.Time, job Job) {
	s.perform(s.planner.Submit(now, s.plannerJob(now, job)))
}

// assign chooses the engine and sends it to the origin. Without a usable engine it rejects the
// request, unless an engine can accept it later.
func (s *Scheduler) assign(id string, r *request) {
	if s.rejectQuarantined(id, r) {
		return
	}
	now := s.Clock.Now()
	s.assignBefore(id, r)
	engine, ok := s.chooseEngine(now, r)
	if !ok && s.selector.HeldByRate(now, r.generation) {
		if !s.rejectHopeless(now, id, r) {
			s.hold(id, r) // assignHeld assigns it later
		}
		return
	}
	r.heldByRate = false
	if !ok {
		retryAfter := noTargetRetryAfter
		if wait, held := s.selector.HeldFor(now, r.generation); held {
			retryAfter = wait
		}
		s.Log.Emit(event.JobRejected, "Request", id, "Origin", r.origin, "Reason", string(dispatch.NoTarget), "Service", r.generation.Service,
			"Excluded", len(r.generation.Exclude), "NoMemory", s.selector.LacksMemory(now, r.generation), "RetryAfterMillis", retryAfter.Milliseconds(), "Steps", r.stageTimings)
		s.reject(id, r, string(dispatch.NoTarget), retryAfter)
		return
	}
	s.Metrics.RecordJob("Assigned")
	s.Log.Emit(event.EngineAssigned, "Request", id, "Origin", r.origin, "Target", engine.ID, "DataCentre", engine.DataCentre, "Inputs", len(r.inputs), "Steps", r.stageTimings)
	r.assigned = &Assigned{Target: engine.ID, Address: engine.Address, Inputs: r.inputs}
	s.sendUpdate(r.origin, id, *r.assigned)
}

// noTargetRetryAfter is the time after which the client may retry a request for which no
// engine was usable.
const noTargetRetryAfter = 500 * time.Millisecond

// reject removes a request and sends the rejection to its origin.
func (s *Scheduler) reject(id string, r *request, reason string, retryAfter time.Duration) {
	delete(s.requests, id)
	s.selector.Remove(id)
	s.perform(s.planner.Withdraw(s.Clock.Now(), id))
	s.Metrics.RecordJob(reason)
	s.sendUpdate(r.origin, id, Rejected{Reason: reason, RetryAfter: retryAfter})
}

// reassign assigns another engine after the last one didn't complete the request. Missing inputs
// are computed first.
func (s *Scheduler) reassign(id string, f EngineFailure) {
	r := s.requests[id]
	if r == nil {
		return
	}
	if f.CrashedAtStart {
		s.recordCrash(id, r)
	}
	if f.Faulty {
		s.selector.RecordEngineFailure(s.Clock.Now(), f.Target)
	}
	s.selector.Remove(id)
	r.assigned, r.heldByRate = nil, false
	if r.generation.Exclude == nil {
		r.generation.Exclude = map[string]bool{}
	}
	r.generation.Exclude[f.Target] = true
	if s.planner.HasJob(id) && (f.InputsGone || len(r.inputs) == 0) {
		s.perform(s.planner.RecomputeInputs(s.Clock.Now(), id))
		return
	}
	s.assign(id, r)
}

// answerStarted handles the start of the engine's answer: the inputs are no longer needed.
func (s *Scheduler) answerStarted(id string) {
	s.selector.PromptRead(id)
	s.selector.RecordHeldAnswer(s.Clock.Now(), id)
	s.perform(s.planner.InputsConsumed(s.Clock.Now(), id))
}

// removeRequest removes a request and frees its results.
func (s *Scheduler) removeRequest(id string) {
	delete(s.requests, id)
	s.selector.Remove(id)
	s.perform(s.planner.Withdraw(s.Clock.Now(), id))
}

// removeExpired removes requests whose end wasn't reported within retentionAfterDeadline of their
// deadline.
func (s *Scheduler) removeExpired() {
	now := s.Clock.Now()
	for id, r := range s.requests {
		if now.After(r.expiresAt) {
			s.removeRequest(id)
		}
	}
}

// removeOrphans removes the requests whose origins have ended, since the client connections
// ended with them.
func (s *Scheduler) removeOrphans() {
	ended := map[string]bool{}
	for id, r := range s.requests {
		gone, checked := ended[r.origin]
		if !checked {
			gone = r.origin != s.Host && s.Mesh.Ended(r.origin)
			ended[r.origin] = gone
		}
		if gone {
			s.removeRequest(id)
		}
	}
}

// perform carries out the actions of the planner.
func (s *Scheduler) perform(actions []dispatch.Action) {
	for _, a := range actions {
		s.recordAction(a)
		switch a := a.(type) {
		case dispatch.StartCall:
			s.startCall(a)
		case dispatch.FreeResults:
			s.queueFree(a)
		case dispatch.Progress:
			s.reportProgress(a)
		case dispatch.HandedOver:
			s.returnRequest(a)
		case dispatch.HandoverComplete:
			delete(s.handedOver, a.Job)
		case dispatch.Finish:
			if r := s.requests[a.Job]; r != nil {
				r.inputs, r.stageTimings = a.Inputs, a.StageTimings
				r.generation.InputBytes = a.InputBytes
				s.assign(a.Job, r)
			}
		case dispatch.Reject:
			if r := s.requests[a.Job]; r != nil {
				s.Log.Emit(event.JobRejected, "Request", a.Job, "Origin", r.origin, "Reason", string(a.Reason), "RetryAfterMillis", a.RetryAfter.Milliseconds(),
					"Service", a.Service, "Pressure", a.Pressure, "Steps", a.StageTimings)
				s.reject(a.Job, r, string(a.Reason), a.RetryAfter)
			}
		}
	}
}
