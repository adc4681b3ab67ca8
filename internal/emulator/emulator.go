// Package emulator is a discrete-event simulation of the dispatch of stages (package dispatch)
// and of the placement of generations (package placement). It uses simulated time and no
// sockets, so that dispatch policies can be compared in milliseconds and a load pattern can be
// replayed.
//
// A request runs its stages and then a generation. Each stage consists of pieces, which are
// independent of each other and run in batched calls at stage targets. The generation, which
// needs the results of the stages, is the answer of a model engine to a prompt.
//
// A stage target runs one call at a time, queues a bounded number of calls and stores results
// in bounded memory for a limited time. An engine reads one prompt at a time and caches the
// parts of prompts. Clients form an open loop, so arrivals don't depend on answers: requests
// arrive in batches, at rates that bursts raise. A rejected request is submitted once more.
//
// # Usage
//
//	report := emulator.Run(emulator.OrderDesk(), emulator.Shared, 1)
//	fmt.Print(report.Table())
//
// RunPlain, RunEngines and RunCalls simulate one service each, whose machines change their pace:
//
//	engines := emulator.RunEngines(site, &targetload.Table{}, start, 1)
package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

// Policy determines how the stages of requests are dispatched.
type Policy string

// The policies. All but Shared are baselines for comparison.
const (
	// Shared uses one planner for all daemons and the queue order dispatch.ByValue.
	Shared Policy = "Shared"
	// PerDaemon uses one planner per daemon, also with the queue order dispatch.ByValue. The
	// planners don't know each other's calls.
	PerDaemon Policy = "PerDaemon"
	// ByDue uses one planner that serves the stage with the earliest due time first.
	ByDue Policy = "ByDue"
	// ByArrival uses one planner that serves stages in the order in which they were queued.
	ByArrival Policy = "ByArrival"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{Shared, PerDaemon, ByDue, ByArrival} }

// Site describes the daemons, services, targets, load and faults of a simulation.
type Site struct {
	Name string
	// Daemons is the number of daemons that accept requests of clients.
	Daemons int
	// ArrivalPeriod is the time, from the start of the simulation, in which requests arrive.
	ArrivalPeriod time.Duration
	// DataCentres are the names of the data centres.
	DataCentres []string
	// Services holds the services by name.
	Services map[string]service.Service
	// Targets holds, by service, the number of targets in each of DataCentres, in that order.
	// The targets of a service whose Batch is nil are engines.
	Targets map[string][]int
	Classes []Class
	Bursts  []Burst
	Crashes []Crash
	// ReadTokensPerMillisecond is the rate at which an engine reads a prompt. FirstTokenTime
	// is the time from the end of the prompt to the first token of the answer.
	ReadTokensPerMillisecond float64
	FirstTokenTime           time.Duration
	// The prices are in the unit of Class.Value. WastedSecondPrice is the price of a second of
	// stage time for a request that isn't answered, TransferPricePerGB that of a GB (1e9 bytes)
	// of results sent between data centres, and PricePer1000PromptTokens that of 1,000 prompt
	// tokens that an engine reads.
	WastedSecondPrice        float64
	TransferPricePerGB       float64
	PricePer1000PromptTokens float64
	// MeanArrivalBatch is the mean number of requests that arrive at the same time.
	MeanArrivalBatch float64
	// Accounts are the accounts that send the requests; empty means one without a name.
	Accounts []Account
	// OutputTokenTime is the time from one token of an answer to the next; see Class.OutputTokens.
	OutputTokenTime time.Duration
	// Scarce sets dispatch.Planner.Scarce.
	Scarce bool
}

// Class describes the requests of one kind.
type Class struct {
	Name string
	// RequestsPerSecond is the mean rate of arrivals without bursts.
	RequestsPerSecond float64
	// LatencyObjective and Deadline are times from the arrival of a request to the first token
	// of its answer. An answer after Deadline earns nothing.
	LatencyObjective time.Duration
	Deadline         time.Duration
	// Priority ranks the requests; 0 is the highest.
	Priority int
	// Value is earned by an answer within LatencyObjective. All values and prices of a site
	// have the same unit.
	Value float64
	// LateValue is earned by an answer after LatencyObjective and within Deadline.
	LateValue float64
	// Engine is the service whose engines run the generations.
	Engine string
	Stages []Stage
	// PromptTokens is the length of the part of a prompt that is unique to its request. The
	// rest of the prompt is one of Sessions different parts of SharedTokens tokens.
	PromptTokens int
	SharedTokens int
	Sessions     int
	// OutputTokens is the length of the answer. Until its end it occupies a slot of the engine,
	// if Engine.Slots of the service isn't 0.
	OutputTokens int
}

// Stage describes one stage of the requests of a class.
type Stage struct {
	Service string
	// After holds the indices of the stages whose results are the inputs of this one.
	After []int
	// MeanPieces is the mean number of pieces. RequestShare is the share of requests that have
	// pieces in this stage; 0 means all.
	MeanPieces   float64
	RequestShare float64
	// WorkFactor multiplies the service's time per piece; 0 means 1.
	WorkFactor float64
	// ResultBytes is the size of the result of one piece.
	ResultBytes int64
}

// Burst multiplies the request rate of a class during a period. An empty class means all. Start
// is the time from the start of the simulation. If Account isn't empty, it sends all requests that the
// burst adds.
type Burst struct {
	Class    string
	Account  string
	Start    time.Duration
	Duration time.Duration
	Factor   float64
}

// Crash takes the first Targets targets of a service down during a period. They lose their calls
// and results. Start is the time from the start of the simulation.
type Crash struct {
	Service  string
	Targets  int
	Start    time.Duration
	Duration time.Duration
}

// Run simulates the site under a policy, until the last scheduled event, and reports the outcome.
// The seed determines the random draws of the load.
func Run(site Site, policy Policy, seed uint64) *Report {
	s := newSimulation(site, policy, seed)
	s.scheduleArrivals()
	s.scheduleCrashes()
	s.schedule(0, s.tick)
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(*event)
		s.now = e.at
		e.run()
	}
	return s.report
}

// simulationStart is the time of day that planners see at simulated time 0.
var simulationStart = time.Unix(1_000_000, 0)

// simulation is the state of a run.
type simulation struct {
	site   Site
	random *rand.Rand
	// accountRandom draws the accounts. It is separate from random, so that a site with accounts
	// has the same arrivals as one without.
	accountRandom *rand.Rand
	// now is the simulated time since the start.
	now   time.Duration
	queue eventQueue
	// sequence is the number of events scheduled so far.
	sequence int
	// submitted counts the attempts of all requests.
	submitted int
	// planners and selectors have the same length. The planner and the selector of one index
	// belong together.
	planners  []*dispatch.Planner
	selectors []*placement.Selector
	// targets are the stage targets.
	targets    []*target
	targetByID map[string]*target
	// producerByHandle maps the handle of each result to the target that computed it.
	producerByHandle map[string]*target
	// engines holds the engines by ID.
	engines map[string]*engine
	// requests holds the requests by the ID of each of their attempts.
	requests map[string]*request
	report   *Report
}

// event is a function that runs at a simulated time. The sequence number orders events of the
// same time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule runs a function at simulated time t.
func (s *simulation) schedule(t time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, &event{at: t, sequence: s.sequence, run: run})
}

// time returns the simulated time as the time of day that planners see.
func (s *simulation) time() time.Time { return simulationStart.Add(s.now) }

// request is one request of a client and the state of its current attempt.
type request struct {
	// id is unique to the attempt.
	id      string
	class   *Class
	arrived time.Duration
	account string
	// daemon is the index of the planner and the selector of the attempt.
	daemon     int
	dataCentre string
	// pieces holds the number of pieces of each stage of the class.
	pieces []int
	// parts holds the part of the prompt that other requests share, if there is one.
	parts        []placement.Part
	promptTokens int
	// attempts counts the attempts so far.
	attempts int
	// stageTime is the request's share of the time of its calls, of all attempts.
	stageTime time.Duration
	// finished is set once the outcome is in the report.
	finished bool
}

func newSimulation(site Site, policy Policy, seed uint64) *simulation {
	s := &simulation{
		site:             site,
		random:           rand.New(rand.NewPCG(seed, 2)),
		accountRandom:    rand.New(rand.NewPCG(seed, 4)),
		targetByID:       map[string]*target{},
		producerByHandle: map[string]*target{},
		engines:          map[string]*engine{},
		requests:         map[string]*request{},
		report:           newReport(site, policy),
	}
	planners := 1
	if policy == PerDaemon {
		planners = site.Daemons
	}
	for range planners {
		p := dispatch.New()
		p.Order = queueOrders[policy]
		p.Scarce = site.Scarce
		p.SetServices(site.Services)
		s.planners = append(s.planners, p)
		selector := placement.New()
		selector.SetServices(site.Services)
		s.selectors = append(s.selectors, selector)
	}
	s.makeTargets()
	s.publishTargets()
	return s
}

// queueOrders maps the policies to the planner's queue order.
var queueOrders = map[Policy]dispatch.QueueOrder{
	Shared:    dispatch.ByValue,
	PerDaemon: dispatch.ByValue,
	ByDue:     dispatch.ByDue,
	ByArrival: dispatch.ByArrival,
}

// scheduleArrivals draws the arrival times of all requests and schedules their arrivals.
func (s *simulation) scheduleArrivals() {
	for i := range s.site.Classes {
		class := &s.site.Classes[i]
		for t := time.Duration(0); t < s.site.ArrivalPeriod; {
			rate := class.RequestsPerSecond * s.rateFactor(class, t) / max(s.site.MeanArrivalBatch, 1)
			t += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
			size := 1
			if s.site.MeanArrivalBatch > 1 {
				size = 1 + s.random.IntN(int(2*s.site.MeanArrivalBatch-1))
			}
			for range size {
				s.schedule(t, func() { s.arrive(class) })
			}
		}
	}
}

// rateFactor returns the factor by which bursts multiply the request rate of a class at a time.
func (s *simulation) rateFactor(class *Class, t time.Duration) float64 {
	f := 1.0
	for _, b := range s.site.Bursts {
		if (b.Class == "" || b.Class == class.Name) && t >= b.Start && t < b.Start+b.Duration {
			f *= b.Factor
		}
	}
	return f
}

// arrive creates a request of a class, counts it in the report and submits it.
func (s *simulation) arrive(class *Class) {
	r := &request{
		class:        class,
		arrived:      s.now,
		account:      s.drawAccount(class),
		dataCentre:   s.site.DataCentres[s.random.IntN(len(s.site.DataCentres))],
		promptTokens: class.PromptTokens + class.SharedTokens,
	}
	for _, st := range class.Stages {
		r.pieces = append(r.pieces, s.drawPieces(st))
	}
	if class.SharedTokens > 0 {
		session := s.random.IntN(max(class.Sessions, 1))
		r.parts = []placement.Part{{ID: fmt.Sprintf("%s-%d", class.Name, session), Tokens: class.SharedTokens}}
	}
	s.report.countArrival(r)
	s.submit(r)
}

// drawPieces draws the number of pieces of a stage: 0 for the requests outside RequestShare, else
// at least 1 and within 40 % of the mean.
func (s *simulation) drawPieces(st Stage) int {
	if st.RequestShare > 0 && s.random.Float64() >= st.RequestShare {
		return 0
	}
	return max(1, int(math.Round(st.MeanPieces*(0.6+0.8*s.random.Float64()))))
}

// submit starts an attempt of the request: it submits a job to the planner of a random daemon.
func (s *simulation) submit(r *request) {
	r.attempts++
	s.submitted++
	r.id = fmt.Sprintf("%s-%d", r.class.Name, s.submitted)
	r.daemon = s.random.IntN(len(s.planners))
	s.requests[r.id] = r
	job := dispatch.Job{
		ID:           r.id,
		DataCentre:   r.dataCentre,
		Key:          r.id,
		SoftDeadline: simulationStart.Add(r.arrived + r.class.LatencyObjective - s.site.FirstTokenTime - s.promptReadTime(r)),
		Deadline:     simulationStart.Add(r.arrived + r.class.Deadline),
		Priority:     r.class.Priority,
		Value:        dispatch.RequestValue(r.class.Priority, 1),
		Account:      r.account,
		Route:        r.class.Name,
	}
	for i, st := range r.class.Stages {
		job.Stages = append(job.Stages, dispatch.Stage{Service: st.Service, Kind: fmt.Sprintf("%s/%d", r.class.Name, i), After: st.After, Pieces: r.pieces[i], ResultBytes: st.ResultBytes})
	}
	if s.site.Scarce {
		job.Engine, job.EngineTime = r.class.Engine, s.engineTime(r)
	}
	if preferred, ok := s.selectors[r.daemon].PreferredDataCentre(s.time(), s.placementRequest(r, nil)); ok {
		job.DataCentre = preferred
	}
	s.perform(r.daemon, s.planners[r.daemon].Submit(s.time(), job))
}

// promptReadTime returns how long an engine takes to read the prompt without cached parts.
func (s *simulation) promptReadTime(r *request) time.Duration {
	return time.Duration(float64(r.promptTokens) / s.site.ReadTokensPerMillisecond * float64(time.Millisecond))
}

// tickInterval is the interval at which planners check for time-outs.
const tickInterval = 20 * time.Millisecond

// drainPeriod is the time after ArrivalPeriod in which planners still tick, so that the remaining
// requests end.
const drainPeriod = 30 * time.Second

// tick lets the planners check for time-outs and schedules the next tick.
func (s *simulation) tick() {
	for i, p := range s.planners {
		if s.site.Scarce {
			s.setEngines(i)
		}
		s.perform(i, p.Tick(s.time()))
	}
	if s.now < s.site.ArrivalPeriod+drainPeriod {
		s.schedule(s.now+tickInterval, s.tick)
	}
}

// perform carries out the actions of a planner. Progress needs none: it serves other planners,
// which don't take over jobs here.
func (s *simulation) perform(planner int, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.StartCall:
			s.startCall(planner, a)
		case dispatch.FreeResults:
			s.freeResults(a)
		case dispatch.Progress:
		case dispatch.Finish:
			s.runEngine(planner, a)
		case dispatch.Reject:
			s.handleRejection(a)
		}
	}
}

// minRetryDelay is the shortest delay before a client retries a rejected request. It is also the
// delay if the rejection names none.
const minRetryDelay = 200 * time.Millisecond

// maxAttempts is the largest number of attempts of a client for one request.
const maxAttempts = 2

// handleRejection schedules a retry, or finishes the request without an answer if its attempts are
// used up or the delay would take over a third of the time until its deadline.
func (s *simulation) handleRejection(a dispatch.Reject) {
	r := s.requests[a.Job]
	if r == nil || r.finished {
		return
	}
	wait := max(a.RetryAfter, minRetryDelay)
	remaining := r.arrived + r.class.Deadline - s.now
	if r.attempts >= maxAttempts || wait > remaining/3 {
		s.finish(r, false)
		return
	}
	s.schedule(s.now+wait, func() { s.submit(r) })
}

// finish records the outcome of a request in the report, once.
func (s *simulation) finish(r *request, answered bool) {
	if r.finished {
		return
	}
	r.finished = true
	s.report.count(r, s.now-r.arrived, answered)
}
