// Package dispatch schedules the pieces of requests on the stage targets. It does no I/O: the
// caller passes in events with their time and carries out the returned actions.
//
// Every call to a stage target has a fixed cost whatever it carries, a target runs one call at
// a time, and requests arrive in groups and bursts. Daemons that each send calls for their own
// requests find most targets busy and send calls that are nearly empty. One queue per service,
// ordered by urgency and packed into whole batches as soon as a target is free, keeps targets
// busy with full calls.
//
// # Terms
//
// A Job is the part of a request that the planner runs. It consists of stages, each of which has
// a number of pieces and is run by the targets of one service. A call sends pieces of one or more
// jobs to one target. A target stores the result of each piece for a limited time under a handle.
// The pieces of a stage need the results of all stages in Stage.After. Final stages are those
// whose results no other stage needs: the request itself does.
//
// A stage has a due time, by which it must be done for the job to meet its soft deadline. Value
// density is the value of a job per second of target time that it needs. Under overload, jobs of
// low value density are deferred: they use only the capacity that the other jobs leave, or are
// rejected.
//
// # Change of planner
//
// The daemon that leads plans for all daemons. When another one leads, HandOver at the former
// planner returns its jobs, TakeOver tells the new planner about it, and the jobs are submitted
// there again. Results that calls of the former planner return later are added with
// AddExternalResults. If the former planner has died, Inherit adds what is known of its results
// and calls instead. External means of another planner.
//
// A piece can safely be computed twice, so two planners that use the same targets at the same
// time waste capacity but cause no wrong results.
//
// # Usage
//
//	p := dispatch.New()
//	p.SetServices(services)
//	actions := p.SetTargets(now, targets)
//	actions = p.Submit(now, job)
//	actions = p.CallEnded(now, callID, results)
package dispatch

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/targetlimit"
	"github.com/sequoiapick/sequoiapick/internal/targetload"
)

const (
	// maxPieceFailures is the number of failed pieces, other than Late and NoRoom, above which a
	// job is rejected as Failing.
	maxPieceFailures = 12
	// rejectedCallPause is the wait before a target that rejected a call gets the next one.
	rejectedCallPause = 60 * time.Millisecond
	// unreachedPause is the wait before the next call to a target that accepted no connection,
	// or that lost a call which was overdue. It is about the time after which a crashed target
	// is detected by its missing reports.
	unreachedPause = 500 * time.Millisecond
	// inputFetchTime is the time after which a call has fetched its inputs, which are some MB
	// over links of 10 Gbit/s.
	inputFetchTime = 120 * time.Millisecond
	// memoryShortShare is the used share of a target's result memory above which the results
	// of a whole call may not fit. Inputs are then freed as soon as they are fetched.
	memoryShortShare = 0.5
	// noMemoryPause is the wait before the next call to a target without free memory.
	noMemoryPause = 80 * time.Millisecond
	// slownessWeight is the weight of a new sample in the moving average of a target's
	// slowness.
	slownessWeight = 0.5
	// pieceTimeWeight is the share of the error in a call's predicted duration by which the
	// piece times are corrected.
	pieceTimeWeight = 0.1
	// maxPieceTimeRatio bounds the measured piece time of a kind relative to the configured
	// one, in both directions.
	maxPieceTimeRatio = 8
)

// QueueOrder is the order in which waiting pieces are sent.
type QueueOrder int

// The queue orders. All but ByValue are baselines for comparisons in the emulator.
const (
	// ByValue serves the jobs that can all meet their soft deadlines first, earliest due
	// first, and the rest by value density.
	ByValue QueueOrder = iota
	// ByDue serves the earliest due time first and defers nothing.
	ByDue
	// ByArrival serves first the stage that was queued first.
	ByArrival
)

// Planner holds the queues, calls and results of all services. Use New to create one. It isn't
// safe for concurrent use.
type Planner struct {
	// Order is the order in which waiting pieces are sent.
	Order QueueOrder
	// Loads holds what targets report, nil if nothing is known.
	Loads *targetload.Table
	// Limits holds the rate limits that targets name, nil if none are heeded. It is set before any service.
	Limits *targetlimit.Table
	// Scarce turns on admission over the whole chain, fair shares of accounts and the spreading of
	// Reject.RetryAfter; it needs ByValue. SetScarce changes it while there are jobs.
	Scarce bool

	// poolByService maps the names of services to their pools.
	poolByService map[string]*pool
	// pools are the services sorted by name.
	pools    []*pool
	targets  map[string]*targetState
	jobs     map[string]*job
	calls    map[uint64]*call
	nextCall uint64
	scarcity scarcity
	actions  []Action
	// progressReports are the progress reports of the event that is being handled, one per job.
	progressReports []*Progress
	// formerCallsEndAt is the time after which no call of a former planner runs any more.
	formerCallsEndAt time.Time
	// inherited maps the handles of a dead planner's results that no job has claimed yet to
	// their targets; they are freed at claimDeadline.
	inherited     map[string]*targetState
	claimDeadline time.Time
	// now is the time of the event that is being handled, lastTick that of the last Tick.
	now, lastTick time.Time
}

// New returns a planner without services, targets and jobs.
func New() *Planner {
	return &Planner{
		poolByService: map[string]*pool{},
		targets:       map[string]*targetState{},
		jobs:          map[string]*job{},
		calls:         map[uint64]*call{},
		inherited:     map[string]*targetState{},
	}
}

// takeActions returns the actions of the current event and clears them.
func (p *Planner) takeActions() []Action {
	// Progress comes first, because the caller forgets a job when it is finished or rejected.
	actions := make([]Action, 0, len(p.progressReports)+len(p.actions))
	for _, report := range p.progressReports {
		actions = append(actions, *report)
	}
	actions = append(actions, p.actions...)
	p.actions, p.progressReports = nil, nil
	return actions
}
