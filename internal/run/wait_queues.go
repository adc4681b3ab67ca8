package run

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/catalog"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/fleet"
	"github.com/sequoiapick/sequoiapick/internal/queue"
	"github.com/sequoiapick/sequoiapick/internal/router"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// maxWaitersPerPass limits the waiting stages that are checked when a slot becomes free.
const maxWaitersPerPass = 16

// WaitQueues holds the stages that wait for a target, one queue for each kind of target. The
// zero value is ready to use. It is safe for concurrent use.
type WaitQueues struct {
	mu     sync.Mutex
	queues map[string]*queue.Queue
	// rates holds the rate of infeasible stages by kind.
	rates map[string]*infeasibleRate
	// passes counts the calls of nextWaiters.
	passes int
}

// infeasibleRate measures, in windows of rateWindow, the share of stages that are rejected
// because they can no longer end in time.
type infeasibleRate struct {
	windowStart time.Time
	// feasible and infeasible count the stages of the current window.
	feasible   int
	infeasible int
	// lastShare is the share of infeasible stages in the last complete window, from 0 to 1.
	lastShare float64
}

// record counts a stage that was rejected as infeasible or left the queue otherwise.
func (r *infeasibleRate) record(now time.Time, infeasible bool) {
	r.rotate(now)
	if infeasible {
		r.infeasible++
		return
	}
	r.feasible++
}

// rotate starts a new window if the current one has ended.
func (r *infeasibleRate) rotate(now time.Time) {
	if now.Sub(r.windowStart) < rateWindow {
		return
	}
	r.lastShare = float64(r.infeasible) / float64(max(r.feasible+r.infeasible, 1))
	r.windowStart, r.feasible, r.infeasible = now, 0, 0
}

// slot is capacity at a target that is reserved for a stage, or the error that ends the stage.
type slot struct {
	candidate   router.Candidate
	reservation fleet.Reservation
	err         error
}

// waitingStage is a stage in a queue; its slot arrives on assigned.
type waitingStage struct {
	stage    *stageRun
	assigned chan slot
}

// queue returns the queue of the kind. The caller must hold the lock.
func (wq *WaitQueues) queue(kind string) *queue.Queue {
	if wq.queues == nil {
		wq.queues = map[string]*queue.Queue{}
		wq.rates = map[string]*infeasibleRate{}
	}
	q := wq.queues[kind]
	if q == nil {
		q = &queue.Queue{}
		wq.queues[kind] = q
		wq.rates[kind] = &infeasibleRate{}
	}
	return q
}

// CountDueBy returns the number of waiting stages of the kind that must start no later than
// startBy.
func (wq *WaitQueues) CountDueBy(kind string, startBy time.Time) int {
	wq.mu.Lock()
	defer wq.mu.Unlock()
	return wq.queue(kind).CountDueBy(startBy)
}

// waitForSlot queues the stage and waits until it has a slot or can't get one.
func (s *stageRun) waitForSlot(ctx context.Context) slot {
	r := s.runner
	w := &waitingStage{stage: s, assigned: make(chan slot, 1)}
	entry := &queue.Waiter{StartBy: s.latestStart(), PriceMicros: s.priceMicros(), Payload: w}
	r.WaitQueues.mu.Lock()
	r.WaitQueues.queue(s.stage.Kind).Push(entry)
	r.WaitQueues.mu.Unlock()
	r.assignSlots(s.stage.Kind)
	ticker := r.Clock.NewTicker(router.RecheckInterval)
	defer ticker.Stop()
	for {
		select {
		case sl := <-w.assigned:
			return sl
		case <-ticker.Chan():
			r.assignSlotsIfFirst(s.stage.Kind, entry)
		case <-ctx.Done():
			r.cancelWait(s.stage.Kind, entry, w)
			return slot{err: contextError(ctx)}
		}
	}
}

// cancelWait removes a stage from the queue. If the stage is no longer there, it has been
// assigned a slot, and cancelWait releases that.
func (r *Runner) cancelWait(kind string, entry *queue.Waiter, w *waitingStage) {
	r.WaitQueues.mu.Lock()
	removed := r.WaitQueues.queue(kind).Remove(entry)
	r.WaitQueues.mu.Unlock()
	if removed {
		return
	}
	sl := <-w.assigned
	if d, ok := sl.reservation.(fleet.Direct); ok {
		r.Fleet.Release(sl.candidate.Target.Name, d.Cold)
	}
}

// assignSlots assigns free slots to the most urgent waiting stages of the kind.
func (r *Runner) assignSlots(kind string) {
	r.WaitQueues.mu.Lock()
	defer r.WaitQueues.mu.Unlock()
	q := r.WaitQueues.queue(kind)
	for _, entry := range r.nextWaiters(kind, q) {
		w := entry.Payload.(*waitingStage)
		sl, done := w.stage.tryReserve()
		if done {
			q.Remove(entry)
			r.WaitQueues.rates[kind].record(r.Clock.Now(), problem.Of(sl.err) == problem.Infeasible)
			w.assigned <- sl
		}
	}
}

// nextWaiters returns the waiters to check next, ordered by the time by which they must start.
// If more than overloadedShare of the stages in the last window were infeasible, the price
// policy puts those that must start within urgentWindow first, ordered by descending price,
// except in every fairPassInterval-th pass.
func (r *Runner) nextWaiters(kind string, q *queue.Queue) []*queue.Waiter {
	now := r.Clock.Now()
	r.WaitQueues.passes++
	rate := r.WaitQueues.rates[kind]
	rate.rotate(now)
	overloaded := rate.lastShare > overloadedShare && r.Policy == router.Price
	if !overloaded || r.WaitQueues.passes%fairPassInterval == 0 {
		return q.First(maxWaitersPerPass)
	}
	return q.FirstByPrice(maxWaitersPerPass, now.Add(urgentWindow))
}

const (
	// overloadedShare is the share of infeasible stages above which the price decides the order.
	overloadedShare = 0.1
	// rateWindow is the period over which the share of infeasible stages is measured.
	rateWindow = 500 * time.Millisecond
	// urgentWindow is the time from now within which a stage must start to count as urgent.
	urgentWindow = time.Second
	// fairPassInterval is the number of passes of which one ignores the price, so that the
	// cheap tiers aren't starved.
	fairPassInterval = 5
)

// assignSlotsIfFirst assigns slots if the waiter is at the front of its queue. Every waiting
// stage calls it periodically; because of this condition only one of them does the work.
func (r *Runner) assignSlotsIfFirst(kind string, entry *queue.Waiter) {
	r.WaitQueues.mu.Lock()
	first := r.WaitQueues.queue(kind).First(1)
	r.WaitQueues.mu.Unlock()
	if len(first) == 1 && first[0] == entry {
		r.assignSlots(kind)
	}
}

// QueueDelay estimates how long a stage of the kind waits behind the more urgent ones: the
// median duration times the number of stages that must start by startBy, divided by the
// number of requests that the warm targets accept at once. It returns 0 if the median is
// unknown.
func (r *Runner) QueueDelay(document catalog.Document, kind string, startBy time.Time) time.Duration {
	median, ok := r.Fleet.DurationQuantile(kind, medianQuantile)
	ahead := r.WaitQueues.CountDueBy(kind, startBy)
	if !ok || ahead == 0 {
		return 0
	}
	slots := 0
	for _, c := range r.Fleet.Candidates(document, kind, r.Cluster.DataCentreOut) {
		if c.Warm && !c.Leaving && !c.DataCentreOut {
			slots += c.Target.WarmLimit()
		}
	}
	return median * time.Duration(ahead) / time.Duration(max(slots, 1))
}

// tryReserve asks the router for a target and reserves a slot there. It returns done false
// while the stage must wait, and a slot with an error if the stage is to end without an
// attempt.
func (s *stageRun) tryReserve() (sl slot, done bool) {
	r := s.runner
	candidates := r.Fleet.Candidates(s.job.Document, s.stage.Kind, r.Cluster.DataCentreOut)
	for i := range candidates {
		candidates[i].Tried = s.tried[candidates[i].Target.Name]
	}
	query := router.Query{Policy: r.Policy, Candidates: candidates, TimeBudget: s.timeBudget(), Turn: r.Fleet.NextTurn()}
	if r.Policy == router.Price && s.cannotFinish(candidates) {
		s.recordDecision(event.StageRefused, "Refuse", "", "the time left is shorter than the remaining stages typically take", candidateNames(candidates))
		return slot{err: problem.New(problem.Infeasible, "stage %q: the time left is shorter than the remaining stages typically take", s.stage.Name)}, true
	}
	switch d := router.Choose(query).(type) {
	case router.Send:
		reservation := r.Fleet.Reserve(d.Candidate.Target, d.Candidate.Local, r.Cluster.View(d.Candidate.Target.DataCentre))
		if _, rejected := reservation.(fleet.Rejected); rejected {
			return slot{}, false
		}
		s.recordDecision(event.StageRouted, "Send", d.Candidate.Target.Name, d.Reason, candidateNames(candidates))
		return slot{candidate: d.Candidate, reservation: reservation}, true
	case router.Reject:
		s.recordDecision(event.StageRefused, "Refuse", "", d.Reason, candidateNames(candidates))
		return slot{err: problem.New(d.Kind, "stage %q: %s", s.stage.Name, d.Reason)}, true
	case router.Wait:
		if !s.waitReported {
			s.recordDecision(event.StageHeld, "Hold", "", d.Reason, candidateNames(candidates))
		}
		s.waitReported = true
		return slot{}, false
	default:
		return slot{err: problem.New(problem.Internal, "unknown routing decision %T", d)}, true
	}
}

// cannotFinish reports whether the remaining stages are expected to miss the deadline even if
// each one runs on its fastest target and this one starts now. It returns false if no duration
// is known for this stage; later stages of unknown duration count as 0.
func (s *stageRun) cannotFinish(candidates []router.Candidate) bool {
	shortest, known := shortestTypical(candidates)
	if !known {
		return false
	}
	later := time.Duration(0)
	for _, stage := range s.pipeline.Stages[s.index+1:] {
		typical, _ := s.runner.TypicalDuration(s.job.Document, stage.Kind)
		later += typical
	}
	return s.runner.Clock.Now().Add(shortest + later).After(s.job.Request.Deadline)
}

// shortestTypical returns the shortest typical duration of the candidates that accept new work,
// and whether one is known.
func shortestTypical(candidates []router.Candidate) (time.Duration, bool) {
	shortest := time.Duration(0)
	for _, c := range candidates {
		if c.Leaving || c.DataCentreOut || c.TypicalDuration == 0 {
			continue
		}
		if shortest == 0 || c.TypicalDuration < shortest {
			shortest = c.TypicalDuration
		}
	}
	return shortest, shortest > 0
}

// TypicalDuration returns the shortest typical duration of the kind's targets that accept new
// work, and whether one is known. It is the moving average of recent attempts on that target.
func (r *Runner) TypicalDuration(document catalog.Document, kind string) (time.Duration, bool) {
	return shortestTypical(r.Fleet.Candidates(document, kind, r.Cluster.DataCentreOut))
}

// latestStart returns the latest time at which the stage can start so that it and the stages
// after it are expected to end by the deadline.
func (s *stageRun) latestStart() time.Time {
	if s.runner.Policy != router.Price {
		return s.runner.Clock.Now() // the baseline policies serve in the order of arrival
	}
	remaining, _ := s.remainingDuration(medianQuantile)
	return s.job.Request.Deadline.Add(-remaining)
}

// priceMicros returns the price of the request's tier in millionths of the currency unit.
func (s *stageRun) priceMicros() int64 {
	return s.job.Document.Tiers[s.job.Request.Tier].PriceMicros
}

// remainingDuration returns the sum of the q-quantiles of the durations of this stage and
// those after it, and whether all are known.
func (s *stageRun) remainingDuration(q float64) (time.Duration, bool) {
	total := time.Duration(0)
	for _, stage := range s.pipeline.Stages[s.index:] {
		d, ok := s.runner.Fleet.DurationQuantile(stage.Kind, q)
		if !ok {
			return 0, false
		}
		total += d
	}
	return total, true
}

// timeBudget returns the part of the time left that the stage may use. The time is divided
// in proportion to the duration quantiles of the remaining stages, or equally if one of them
// is unknown.
func (s *stageRun) timeBudget() time.Duration {
	left := s.job.Request.Deadline.Sub(s.runner.Clock.Now())
	own, ok := s.runner.Fleet.DurationQuantile(s.stage.Kind, budgetQuantile)
	total, all := s.remainingDuration(budgetQuantile)
	if !ok || !all {
		return left / time.Duration(len(s.pipeline.Stages)-s.index)
	}
	return time.Duration(float64(left) * float64(own) / float64(total))
}

// Quantiles of stage durations, from 0 to 1.
const (
	budgetQuantile = 0.9
	medianQuantile = 0.5
)
