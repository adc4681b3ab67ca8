// Package emulator plays a load against the dispatch of stages and the placement of
// generations in simulated time, without sockets, so that policies can be compared in
// milliseconds and a load pattern can be replayed exactly.
//
// Stage targets run one call at a time, wait for room and keep results; engines read
// prompts one after the other and remember their parts. Clients come in an open loop, in
// clumps, with bursts, and come back once after a refusal.
//
// # Usage
//
//	report := emulator.Run(emulator.OrderDesk(), emulator.Shared, 1)
//	fmt.Print(report.Table())
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

// Policy is how the stages of requests are dispatched.
type Policy string

// The policies; all but Shared are baselines.
const (
	// Shared has one planner for all daemons.
	Shared Policy = "Shared"
	// PerDaemon has a planner in each daemon, none knows of the others.
	PerDaemon Policy = "PerDaemon"
	// ByDue has one planner that goes by due time alone.
	ByDue Policy = "ByDue"
	// ByArrival has one planner that serves in the order of arrival.
	ByArrival Policy = "ByArrival"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{Shared, PerDaemon, ByDue, ByArrival} }

// Site is what is emulated.
type Site struct {
	Name string
	// Daemons is the number of daemons that clients reach.
	Daemons int
	// Length is the time in which requests come.
	Length      time.Duration
	DataCentres []string
	Services    map[string]service.Service
	// Targets is the number of targets of each service in each data centre.
	Targets map[string][]int
	Classes []Class
	Bursts  []Burst
	Crashes []Crash
	// ReadTokensPerMillisecond and FirstToken say how fast engines answer.
	ReadTokensPerMillisecond float64
	FirstToken               time.Duration
	// WastedPrice is the price of a second of stage time for a request that isn't answered,
	// AcrossPrice that of a GB of results between data centres, ReadPrice that of 1,000
	// tokens read, in the unit of worth.
	WastedPrice float64
	AcrossPrice float64
	ReadPrice   float64
	// Clump is the mean number of requests that come together.
	Clump float64
}

// Class is one kind of request.
type Class struct {
	Name     string
	Rate     float64
	Aim      time.Duration
	Deadline time.Duration
	Priority int
	Worth    float64
	// LateWorth is what an answer after the aim earns.
	LateWorth float64
	Engine    string
	Stages    []Stage
	// Prompt is the number of tokens of a request's own, Shared those of the part that
	// Sessions different requests share.
	Prompt   int
	Shared   int
	Sessions int
}

// Stage is one stage of a class.
type Stage struct {
	Service string
	After   []int
	// Pieces is the mean number of pieces; Share the share of requests that have any.
	Pieces float64
	Share  float64
	// Work is the time of a piece compared with the service's.
	Work  float64
	Bytes int64
}

// Burst multiplies the rate of a class for a time; an empty class means all.
type Burst struct {
	Class  string
	At     time.Duration
	For    time.Duration
	Factor float64
}

// Crash takes the first targets of a service away for a time.
type Crash struct {
	Service string
	Targets int
	At      time.Duration
	For     time.Duration
}

// Run plays the site under a policy.
func Run(site Site, policy Policy, seed uint64) *Report {
	w := newWorld(site, policy, seed)
	w.scheduleArrivals()
	w.scheduleCrashes()
	w.at(0, w.tick)
	for w.queue.Len() > 0 {
		e := heap.Pop(&w.queue).(*timed)
		w.now = e.at
		e.run()
	}
	return w.report
}

// begin is the start of simulated time.
var begin = time.Unix(1_000_000, 0)

// world is the state of a run.
type world struct {
	site     Site
	random   *rand.Rand
	now      time.Duration
	queue    events
	sequence int
	// submitted counts the tries of all requests.
	submitted int
	planners  []*dispatch.Planner
	boards    []*placement.Selector
	targets   []*target
	byID      map[string]*target
	// byHandle is the target that made each result.
	byHandle map[string]*target
	engines  map[string]*engine
	requests map[string]*request
	report   *Report
}

// timed is something that happens at a time.
type timed struct {
	at       time.Duration
	sequence int
	run      func()
}

type events []*timed

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(*timed)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (w *world) at(t time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, &timed{at: t, sequence: w.sequence, run: run})
}

func (w *world) time() time.Time { return begin.Add(w.now) }

// request is one request of a client, with the try that is under way.
type request struct {
	id      string
	class   *Class
	arrived time.Duration
	daemon  int
	home    string
	pieces  []int
	parts   []placement.Part
	tokens  int
	tries   int
	spent   time.Duration
	done    bool
}

func newWorld(site Site, policy Policy, seed uint64) *world {
	w := &world{
		site:     site,
		random:   rand.New(rand.NewPCG(seed, 2)),
		byID:     map[string]*target{},
		byHandle: map[string]*target{},
		engines:  map[string]*engine{},
		requests: map[string]*request{},
		report:   newReport(site, policy),
	}
	planners := 1
	if policy == PerDaemon {
		planners = site.Daemons
	}
	for range planners {
		p := dispatch.New()
		p.Order = orders[policy]
		p.SetServices(site.Services)
		w.planners = append(w.planners, p)
		b := placement.New()
		b.SetServices(site.Services)
		w.boards = append(w.boards, b)
	}
	w.makeTargets()
	w.announce()
	return w
}

// orders maps the policies to the planner's order.
var orders = map[Policy]dispatch.QueueOrder{
	Shared:    dispatch.ByValue,
	PerDaemon: dispatch.ByValue,
	ByDue:     dispatch.ByDue,
	ByArrival: dispatch.ByArrival,
}

// scheduleArrivals lays out when which request comes.
func (w *world) scheduleArrivals() {
	for i := range w.site.Classes {
		class := &w.site.Classes[i]
		for t := time.Duration(0); t < w.site.Length; {
			rate := class.Rate * w.factor(class, t) / max(w.site.Clump, 1)
			t += time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
			size := 1
			if w.site.Clump > 1 {
				size = 1 + w.random.IntN(int(2*w.site.Clump-1))
			}
			for range size {
				w.at(t, func() { w.arrive(class) })
			}
		}
	}
}

// factor is how much more often the class comes at a time.
func (w *world) factor(class *Class, t time.Duration) float64 {
	f := 1.0
	for _, b := range w.site.Bursts {
		if (b.Class == "" || b.Class == class.Name) && t >= b.At && t < b.At+b.For {
			f *= b.Factor
		}
	}
	return f
}

func (w *world) arrive(class *Class) {
	r := &request{
		class:   class,
		arrived: w.now,
		home:    w.site.DataCentres[w.random.IntN(len(w.site.DataCentres))],
		tokens:  class.Prompt + class.Shared,
	}
	for _, st := range class.Stages {
		r.pieces = append(r.pieces, w.drawPieces(st))
	}
	if class.Shared > 0 {
		session := w.random.IntN(max(class.Sessions, 1))
		r.parts = []placement.Part{{ID: fmt.Sprintf("%s-%d", class.Name, session), Tokens: class.Shared}}
	}
	w.report.class(class.Name).Asked++
	w.report.Owed += class.Worth
	w.try(r)
}

func (w *world) drawPieces(st Stage) int {
	if st.Share > 0 && w.random.Float64() >= st.Share {
		return 0
	}
	return max(1, int(math.Round(st.Pieces*(0.6+0.8*w.random.Float64()))))
}

// try submits the request to the planner of a daemon.
func (w *world) try(r *request) {
	r.tries++
	w.submitted++
	r.id = fmt.Sprintf("%s-%d", r.class.Name, w.submitted)
	r.daemon = w.random.IntN(len(w.planners))
	w.requests[r.id] = r
	job := dispatch.Job{
		ID:           r.id,
		DataCentre:   r.home,
		Key:          r.id,
		SoftDeadline: begin.Add(r.arrived + r.class.Aim - w.site.FirstToken - w.reading(r)),
		Deadline:     begin.Add(r.arrived + r.class.Deadline),
		Priority:     r.class.Priority,
		Value:        dispatch.RequestValue(r.class.Priority, 1),
	}
	for i, st := range r.class.Stages {
		job.Stages = append(job.Stages, dispatch.Stage{Service: st.Service, Kind: fmt.Sprintf("%s/%d", r.class.Name, i), After: st.After, Pieces: r.pieces[i], ResultBytes: st.Bytes})
	}
	if near, ok := w.boards[r.daemon].PreferredDataCentre(w.time(), w.generation(r, nil)); ok {
		job.DataCentre = near
	}
	w.perform(r.daemon, w.planners[r.daemon].Submit(w.time(), job))
}

func (w *world) reading(r *request) time.Duration {
	return time.Duration(float64(r.tokens) / w.site.ReadTokensPerMillisecond * float64(time.Millisecond))
}

// tickInterval is the time between two looks of a planner at time-outs.
const tickInterval = 20 * time.Millisecond

// settle is the time after the last arrival in which requests may still end.
const settle = 30 * time.Second

func (w *world) tick() {
	for i, p := range w.planners {
		w.perform(i, p.Tick(w.time()))
	}
	if w.now < w.site.Length+settle {
		w.at(w.now+tickInterval, w.tick)
	}
}

// perform carries out what a planner decided.
func (w *world) perform(planner int, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.StartCall:
			w.startCall(planner, a)
		case dispatch.FreeResults:
			w.free(a)
		case dispatch.Progress:
		case dispatch.Finish:
			w.generate(planner, a)
		case dispatch.Reject:
			w.refused(a)
		}
	}
}

// comeBack is when a client comes back after a refusal that names no time.
const comeBack = 200 * time.Millisecond

// maxTries is the number of times that a client tries.
const maxTries = 2

func (w *world) refused(a dispatch.Reject) {
	r := w.requests[a.Job]
	if r == nil || r.done {
		return
	}
	wait := max(a.RetryAfter, comeBack)
	left := r.arrived + r.class.Deadline - w.now
	if r.tries >= maxTries || wait > left/3 {
		w.end(r, false)
		return
	}
	w.at(w.now+wait, func() { w.try(r) })
}

// end counts a request that is over.
func (w *world) end(r *request, answered bool) {
	if r.done {
		return
	}
	r.done = true
	w.report.count(r, w.now-r.arrived, answered)
}
