// Package scheduler runs the stages of requests and assigns their engines. Each daemon
// has one; the one of the daemon that leads works for all, so that calls to stage targets
// are full and engines are chosen knowing everything that runs. A daemon that hears of no
// leader works for itself.
//
// All state belongs to one loop; calls to targets run beside it and report back to it.
//
// # Usage
//
//	s := &scheduler.Scheduler{Host: host, Mesh: mesh, Pool: pool, Clock: clock}
//	go s.Run(ctx)
//	ticket := s.Submit(job)
//	update := <-ticket.Updates // Assigned or Refused
//	ticket.Began()
//	ticket.Ended()
package scheduler

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/exchange"
	"github.com/sequoiapick/sequoiapick/internal/metric"
	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

const (
	// tickInterval is the time between two looks at time-outs while there is work.
	tickInterval = 20 * time.Millisecond
	// checkInterval is the time between two looks at the requests that wait for a leader.
	checkInterval = 50 * time.Millisecond
	// ownWorkAfter is the time without a leader after which a daemon works for itself; an
	// election takes about half of it.
	ownWorkAfter = 1200 * time.Millisecond
	// keepAfterDeadline is how long a request is remembered past its deadline.
	keepAfterDeadline = 2 * time.Second
	// freeDelay gathers the results that are given up at a target into one call.
	freeDelay = 30 * time.Millisecond
	// queueLength bounds the events that wait for the loop.
	queueLength = 16384
)

// Mesh is what the scheduler needs of the links to other daemons.
type Mesh interface {
	Send(host string, e *clusterpb.Envelope) bool
	Leader() string
	// Incarnation names the present start of a daemon; it is empty if the daemon doesn't
	// answer.
	Incarnation(host string) string
	// Ended reports whether a daemon is known to have ended.
	Ended(host string) bool
	// Standbys are the daemons that would lead next.
	Standbys() []string
}

// Job is a request whose stages must run and which needs an engine.
type Job struct {
	ID           string
	DataCentre   string
	Key          string
	Stages       []dispatch.Stage
	SoftDeadline time.Time
	Deadline     time.Time
	Priority     int
	Value        float64
	Generation   placement.Request
	// Completed are results that a former leader has had made, Running the pieces that its calls
	// still make.
	Completed []dispatch.CompletedPiece
	Running   []dispatch.RunningPiece
	// Assigned is the engine that a former leader has chosen; Began says that it answers.
	Assigned      string
	AnswerStarted bool
}

// Update is the answer to a submission: Assigned or Refused.
type Update interface{ isUpdate() }

// Assigned names the engine that the request must be sent to, with its inputs.
type Assigned struct {
	Target  string
	Address string
	Inputs  []string
}

// Rejected says that the request can't be done.
type Rejected struct {
	Reason     string
	RetryAfter time.Duration
}

func (Assigned) isUpdate() {}
func (Rejected) isUpdate() {}

// Scheduler is the scheduler of one daemon.
type Scheduler struct {
	Host  string
	Mesh  Mesh
	Pool  *exchange.Pool
	Clock clockwork.Clock
	Log   event.Log
	// Metrics may be nil.
	Metrics *metric.EntryInstruments
	// EngineFailed and Succeeded take what other daemons saw of the engines that were assigned to
	// their requests; they may be nil.
	EngineFailed, EngineSucceeded func(target string)
	// CacheLifetime is the time after its last use within which reading a prompt part again
	// costs; 0 leaves the default.
	CacheLifetime time.Duration

	events  chan func()
	planner *dispatch.Planner
	board   *placement.Selector
	owned   map[string]*owned
	// moved maps the requests that were handed over while calls for them run to the daemons
	// that hold their clients.
	moved   map[string]string
	tickets map[string]*Ticket
	freeing map[string]*freeing
	// ledger is what this daemon must know to lead next, news what the next leader isn't
	// told of yet.
	ledger ledger
	news   *clusterpb.Holdings
	ctx    context.Context
}

// owned is a request that this scheduler works on.
type owned struct {
	origin     string
	generation placement.Request
	inputs     []string
	steps      []dispatch.StageTiming
	expires    time.Time
	// assigned is the engine that was chosen last.
	assigned *Assigned
	// held says that the request waits for a cold engine to bear one more.
	held bool
}

// Init prepares the scheduler; it must be called before any other method.
func (s *Scheduler) Init() {
	s.events = make(chan func(), queueLength)
	s.planner = dispatch.New()
	s.board = placement.New()
	if s.CacheLifetime > 0 {
		s.board.CacheLifetime = s.CacheLifetime
	}
	s.owned = map[string]*owned{}
	s.moved = map[string]string{}
	s.tickets = map[string]*Ticket{}
	s.freeing = map[string]*freeing{}
}

// Run works until the context ends.
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
			if s.planner.Busy() {
				s.perform(s.planner.Tick(s.Clock.Now()))
			}
			s.flushFrees(s.Clock.Now())
			s.tellStandbys()
		case <-check.Chan():
			s.checkTickets()
			s.endOrphans()
			s.expire()
			s.assignHeld()
		}
	}
}

// post hands work to the loop.
func (s *Scheduler) post(f func()) {
	s.events <- f
}

// SetInventory tells which services and targets there are.
func (s *Scheduler) SetInventory(services map[string]service.Service, targets []dispatch.Target, engines []placement.Engine) {
	s.post(func() {
		s.planner.SetServices(services)
		s.board.SetServices(services)
		s.board.SetEngines(s.Clock.Now(), engines)
		s.perform(s.planner.SetTargets(s.Clock.Now(), targets))
	})
}

// idlePoll is the time between two looks at whether any work is left.
const idlePoll = 50 * time.Millisecond

// WaitIdle returns when this scheduler works on no request any more.
func (s *Scheduler) WaitIdle() {
	for {
		left := make(chan int, 1)
		s.post(func() { left <- len(s.owned) + len(s.moved) })
		if <-left == 0 {
			return
		}
		s.Clock.Sleep(idlePoll)
	}
}

// State returns what this scheduler works on: its services and the number of requests.
func (s *Scheduler) State() (services []dispatch.ServiceState, requests int) {
	type state struct {
		services []dispatch.ServiceState
		requests int
	}
	told := make(chan state, 1)
	s.post(func() { told <- state{s.planner.State(), len(s.owned)} })
	select {
	case st := <-told:
		return st.services, st.requests
	case <-s.Clock.After(stateTimeout):
		return nil, 0
	}
}

// stateTimeout bounds the wait for a busy loop.
const stateTimeout = 500 * time.Millisecond

// submit takes a request from this daemon or another one.
func (s *Scheduler) submit(origin string, job Job) {
	now := s.Clock.Now()
	if o := s.owned[job.ID]; o != nil {
		s.submitAgain(o, job)
		return
	}
	o := &owned{origin: origin, generation: job.Generation, expires: job.Deadline.Add(keepAfterDeadline)}
	s.owned[job.ID] = o
	if job.Assigned != "" {
		s.board.RecordAssignment(now, job.Generation, job.Assigned, job.AnswerStarted)
	}
	pieces := 0
	for _, stage := range job.Stages {
		pieces += stage.Pieces
	}
	if pieces == 0 {
		if job.Assigned == "" {
			s.assign(job.ID, o)
		}
		return
	}
	s.plan(now, job)
	if job.Assigned == "" {
		return
	}
	o.inputs = s.planner.Inputs(job.ID)
	if job.AnswerStarted {
		s.perform(s.planner.InputsConsumed(now, job.ID))
	}
}

// submitAgain answers a request that is known already; its daemon may have missed what was
// sent over a link that failed.
func (s *Scheduler) submitAgain(o *owned, job Job) {
	switch {
	case job.AnswerStarted:
		s.began(job.ID)
	case job.Assigned == "" && o.assigned != nil:
		s.answer(o.origin, job.ID, *o.assigned)
	}
}

// plan hands the stages of a request to the planner.
func (s *Scheduler) plan(now time.Time, job Job) {
	dataCentre := job.DataCentre
	if near, ok := s.board.PreferredDataCentre(now, job.Generation); ok {
		dataCentre = near
	}
	s.perform(s.planner.Submit(now, dispatch.Job{
		ID:              job.ID,
		DataCentre:      dataCentre,
		Key:             job.Key,
		Stages:          job.Stages,
		SoftDeadline:    job.SoftDeadline,
		Deadline:        job.Deadline,
		Priority:        job.Priority,
		Value:           job.Value,
		Completed:       job.Completed,
		Running:         job.Running,
		InputsDelivered: job.Assigned != "",
	}))
}

// assign chooses the engine and tells the daemon that holds the client.
func (s *Scheduler) assign(id string, o *owned) {
	now := s.Clock.Now()
	engine, ok := s.board.Choose(now, o.generation)
	o.held = !ok && s.board.HeldByColdRate(now, o.generation)
	if o.held {
		return // assigned by assignHeld
	}
	if !ok {
		s.Log.Emit(event.JobRejected, "Request", id, "Origin", o.origin, "Reason", string(dispatch.NoTarget), "Service", o.generation.Service,
			"Excluded", len(o.generation.Exclude), "Steps", o.steps)
		s.refuse(id, o, string(dispatch.NoTarget), noTargetRetry)
		return
	}
	s.Metrics.RecordJob("Assigned")
	s.Log.Emit(event.EngineAssigned, "Request", id, "Origin", o.origin, "Target", engine.ID, "DataCentre", engine.DataCentre, "Inputs", len(o.inputs), "Steps", o.steps)
	o.assigned = &Assigned{Target: engine.ID, Address: engine.Address, Inputs: o.inputs}
	s.answer(o.origin, id, *o.assigned)
}

// assignHeld chooses engines for the requests that cold engines couldn't take yet, those
// with the nearest deadline first.
func (s *Scheduler) assignHeld() {
	var ids []string
	for id, o := range s.owned {
		if o.held {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(s.owned[a].expires.Compare(s.owned[b].expires), strings.Compare(a, b))
	})
	for _, id := range ids {
		s.assign(id, s.owned[id])
	}
}

// noTargetRetry is the time after which a request without a usable target may come again.
const noTargetRetry = 500 * time.Millisecond

func (s *Scheduler) refuse(id string, o *owned, reason string, retryAfter time.Duration) {
	delete(s.owned, id)
	s.board.Remove(id)
	s.perform(s.planner.Withdraw(s.Clock.Now(), id))
	s.Metrics.RecordJob(reason)
	s.answer(o.origin, id, Rejected{Reason: reason, RetryAfter: retryAfter})
}

// again looks for another engine, after the one chosen before didn't run the request.
func (s *Scheduler) again(id string, f EngineFailure) {
	o := s.owned[id]
	if o == nil {
		return
	}
	s.board.Remove(id)
	o.assigned, o.held = nil, false
	if o.generation.Exclude == nil {
		o.generation.Exclude = map[string]bool{}
	}
	o.generation.Exclude[f.Target] = true
	if s.planner.HasJob(id) && (f.InputsGone || len(o.inputs) == 0) {
		s.perform(s.planner.RecomputeInputs(s.Clock.Now(), id))
		return
	}
	s.assign(id, o)
}

func (s *Scheduler) began(id string) {
	s.board.PromptRead(id)
	s.perform(s.planner.InputsConsumed(s.Clock.Now(), id))
}

func (s *Scheduler) end(id string) {
	delete(s.owned, id)
	s.board.Remove(id)
	s.perform(s.planner.Withdraw(s.Clock.Now(), id))
}

// expire forgets requests whose daemon never said that they are over.
func (s *Scheduler) expire() {
	now := s.Clock.Now()
	for id, o := range s.owned {
		if now.After(o.expires) {
			s.end(id)
		}
	}
}

// endOrphans ends the requests whose daemons have ended, and their clients' connections
// with them.
func (s *Scheduler) endOrphans() {
	ended := map[string]bool{}
	for id, o := range s.owned {
		gone, asked := ended[o.origin]
		if !asked {
			gone = o.origin != s.Host && s.Mesh.Ended(o.origin)
			ended[o.origin] = gone
		}
		if gone {
			s.end(id)
		}
	}
}

// perform carries out what the planner decided.
func (s *Scheduler) perform(actions []dispatch.Action) {
	for _, a := range actions {
		s.note(a)
		switch a := a.(type) {
		case dispatch.StartCall:
			s.startCall(a)
		case dispatch.FreeResults:
			s.free(a)
		case dispatch.Progress:
			s.report(a)
		case dispatch.HandedOver:
			s.tellMoved(a)
		case dispatch.HandoverComplete:
			delete(s.moved, a.Job)
		case dispatch.Finish:
			if o := s.owned[a.Job]; o != nil {
				o.inputs, o.steps = a.Inputs, a.StageTimings
				o.generation.InputBytes = a.InputBytes
				s.assign(a.Job, o)
			}
		case dispatch.Reject:
			if o := s.owned[a.Job]; o != nil {
				s.Log.Emit(event.JobRejected, "Request", a.Job, "Origin", o.origin, "Reason", string(a.Reason), "RetryAfterMillis", a.RetryAfter.Milliseconds(),
					"Service", a.Service, "Pressure", a.Pressure, "Steps", a.StageTimings)
				s.refuse(a.Job, o, string(a.Reason), a.RetryAfter)
			}
		}
	}
}
