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
	"time"
)

const (
	// maxPieceFailures bounds the failures of one job's pieces that aren't the job's fault.
	maxPieceFailures = 12
	// fullPause is the wait before a target that refused a call is tried again.
	fullPause = 60 * time.Millisecond
	// lostPause is the wait before a target that took no connection, or was overdue with a
	// call that it lost, is tried again: about the time in which a crashed one is noticed by
	// its silence.
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

// QueueOrder is how waiting work is ordered.
type QueueOrder int

// The orders; all but ByWorth are baselines for comparisons.
const (
	// ByValue puts first what can be on time together.
	ByValue QueueOrder = iota
	// ByDue goes by the time at which work must be done.
	ByDue
	// ByArrival goes by the time at which work was queued.
	ByArrival
)

// Planner is the state of all stages; New makes one.
type Planner struct {
	// Order is how waiting work is ordered.
	Order QueueOrder

	services map[string]*pool
	// pools are the services in the order of their names.
	pools    []*pool
	targets  map[string]*targetState
	jobs     map[string]*job
	calls    map[uint64]*call
	nextCall uint64
	actions  []Action
	// told is what the present event tells of jobs.
	told []*Progress
	// settledAt is when all calls of a former planner have ended for sure.
	settledAt time.Time
	// inherited are the results of a planner that died which no job has claimed yet, by
	// handle; they are given up at claimBy.
	inherited map[string]*targetState
	claimBy   time.Time
	// now is the time of the event that is being taken.
	now time.Time
	// outlooks are those of the last look at all jobs, by service.
	outlooks map[string]*outlook
}

// New returns an empty planner.
func New() *Planner {
	return &Planner{
		services: map[string]*pool{},
		targets:  map[string]*targetState{},
		jobs:     map[string]*job{},
		calls:    map[uint64]*call{},

		inherited: map[string]*targetState{},
	}
}

func (p *Planner) take() []Action {
	// What was made is told before the job is finished or given up.
	actions := make([]Action, 0, len(p.told)+len(p.actions))
	for _, told := range p.told {
		actions = append(actions, *told)
	}
	actions = append(actions, p.actions...)
	p.actions, p.told = nil, nil
	return actions
}
