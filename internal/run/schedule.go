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

// serveAtOnce bounds the waiting stages that are looked at when a place becomes free.
const serveAtOnce = 16

// WaitQueues gives free places at targets to the stages that wait, the most urgent
// first; the zero value works.
type WaitQueues struct {
	mu    sync.Mutex
	kinds map[string]*queue.Queue
	// tallies say how many stages of a kind are given up.
	tallies map[string]*tally
	turn    int
}

// tally counts the stages that were given a place and those that were given up.
type tally struct {
	since       time.Time
	served      int
	missed      int
	missedShare float64
}

func (t *tally) count(now time.Time, missed bool) {
	t.turn(now)
	if missed {
		t.missed++
		return
	}
	t.served++
}

func (t *tally) turn(now time.Time) {
	if now.Sub(t.since) < tallyWindow {
		return
	}
	t.missedShare = float64(t.missed) / float64(max(t.served+t.missed, 1))
	t.since, t.served, t.missed = now, 0, 0
}

// place is a place at a target that is reserved for a stage.
type place struct {
	candidate   router.Candidate
	reservation fleet.Reservation
	err         error
}

// waiting is a stage in the queue.
type waiting struct {
	stage *stageRun
	given chan place
}

func (s *WaitQueues) queue(kind string) *queue.Queue {
	if s.kinds == nil {
		s.kinds = map[string]*queue.Queue{}
		s.tallies = map[string]*tally{}
	}
	q := s.kinds[kind]
	if q == nil {
		q = &queue.Queue{}
		s.kinds[kind] = q
		s.tallies[kind] = &tally{}
	}
	return q
}

// CountDueBy returns the number of stages of the kind that must start before the time.
func (s *WaitQueues) CountDueBy(kind string, startBy time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue(kind).CountDueBy(startBy)
}

// obtain waits for a place for the stage.
func (s *stageRun) obtain(ctx context.Context) place {
	r := s.runner
	w := &waiting{stage: s, given: make(chan place, 1)}
	entry := &queue.Waiter{StartBy: s.startBy(), PriceMicros: s.price(), Payload: w}
	r.WaitQueues.mu.Lock()
	r.WaitQueues.queue(s.stage.Kind).Push(entry)
	r.WaitQueues.mu.Unlock()
	r.serve(s.stage.Kind)
	timer := r.Clock.NewTicker(router.RecheckInterval)
	defer timer.Stop()
	for {
		select {
		case p := <-w.given:
			return p
		case <-timer.Chan():
			r.serveIfFirst(s.stage.Kind, entry)
		case <-ctx.Done():
			r.withdraw(s.stage.Kind, entry, w)
			return place{err: ended(ctx)}
		}
	}
}

// withdraw takes a stage out of the queue and frees the place that it was just given.
func (r *Runner) withdraw(kind string, entry *queue.Waiter, w *waiting) {
	r.WaitQueues.mu.Lock()
	removed := r.WaitQueues.queue(kind).Remove(entry)
	r.WaitQueues.mu.Unlock()
	if removed {
		return
	}
	p := <-w.given
	if d, ok := p.reservation.(fleet.Direct); ok {
		r.Fleet.Release(p.candidate.Target.Name, d.Cold)
	}
}

// serve gives places to the most urgent stages of the kind.
func (r *Runner) serve(kind string) {
	r.WaitQueues.mu.Lock()
	defer r.WaitQueues.mu.Unlock()
	q := r.WaitQueues.queue(kind)
	for _, entry := range r.order(kind, q) {
		w := entry.Payload.(*waiting)
		p, done := w.stage.decide()
		if done {
			q.Remove(entry)
			r.WaitQueues.tallies[kind].count(r.Clock.Now(), problem.Of(p.err) == problem.Infeasible)
			w.given <- p
		}
	}
}

// order returns the waiters to serve next. While many stages are given up for lack of
// time, the dearest of the urgent ones go first, but for every fairTurn-th time.
func (r *Runner) order(kind string, q *queue.Queue) []*queue.Waiter {
	now := r.Clock.Now()
	r.WaitQueues.turn++
	t := r.WaitQueues.tallies[kind]
	t.turn(now)
	overloaded := t.missedShare > overloadShare && r.Policy == router.Price
	if !overloaded || r.WaitQueues.turn%fairTurn == 0 {
		return q.First(serveAtOnce)
	}
	return q.FirstByPrice(serveAtOnce, now.Add(urgentWithin))
}

const (
	// overloadShare is the share of stages given up above which price decides.
	overloadShare = 0.1
	// tallyWindow is the time over which the share is counted.
	tallyWindow = 500 * time.Millisecond
	// urgentWithin is the time within which urgent stages must start.
	urgentWithin = time.Second
	// fairTurn is the number of turns of which one goes by time alone, so that the cheap
	// tiers aren't starved.
	fairTurn = 5
)

// serveIfFirst serves the queue if the waiter is at its front, so that of all that wait
// only one looks again from time to time.
func (r *Runner) serveIfFirst(kind string, entry *queue.Waiter) {
	r.WaitQueues.mu.Lock()
	first := r.WaitQueues.queue(kind).First(1)
	r.WaitQueues.mu.Unlock()
	if len(first) == 1 && first[0] == entry {
		r.serve(kind)
	}
}

// QueueDelay estimates how long a stage of the kind waits behind the more urgent ones.
func (r *Runner) QueueDelay(document catalog.Document, kind string, startBy time.Time) time.Duration {
	typical, ok := r.Fleet.DurationQuantile(kind, medianQuantile)
	ahead := r.WaitQueues.CountDueBy(kind, startBy)
	if !ok || ahead == 0 {
		return 0
	}
	places := 0
	for _, c := range r.Fleet.Candidates(document, kind, r.Cluster.DataCentreOut) {
		if c.Warm && !c.Leaving && !c.DataCentreOut {
			places += c.Target.WarmLimit()
		}
	}
	return typical * time.Duration(ahead) / time.Duration(max(places, 1))
}

// decide asks the router for the stage and reserves the place. It isn't done while no
// target should be used.
func (s *stageRun) decide() (p place, done bool) {
	r := s.runner
	candidates := r.Fleet.Candidates(s.job.Document, s.stage.Kind, r.Cluster.DataCentreOut)
	for i := range candidates {
		candidates[i].Tried = s.tried[candidates[i].Target.Name]
	}
	question := router.Query{Policy: r.Policy, Candidates: candidates, TimeBudget: s.share(), Turn: r.Fleet.NextTurn()}
	if r.Policy == router.Price && s.hopeless(candidates) {
		s.note(event.StageRefused, "Refuse", "", "the time left is shorter than the stage typically takes", names(candidates))
		return place{err: problem.New(problem.Infeasible, "stage %q: the time left is too short", s.stage.Name)}, true
	}
	switch d := router.Choose(question).(type) {
	case router.Send:
		reservation := r.Fleet.Reserve(d.Candidate.Target, d.Candidate.Local, r.Cluster.View(d.Candidate.Target.DataCentre))
		if _, refused := reservation.(fleet.Rejected); refused {
			return place{}, false
		}
		s.note(event.StageRouted, "Send", d.Candidate.Target.Name, d.Reason, names(candidates))
		return place{candidate: d.Candidate, reservation: reservation}, true
	case router.Reject:
		s.note(event.StageRefused, "Refuse", "", d.Reason, names(candidates))
		return place{err: problem.New(d.Kind, "stage %q: %s", s.stage.Name, d.Reason)}, true
	case router.Wait:
		if !s.held {
			s.note(event.StageHeld, "Hold", "", d.Reason, names(candidates))
		}
		s.held = true
		return place{}, false
	default:
		return place{err: problem.New(problem.Internal, "unknown routing decision %T", d)}, true
	}
}

// hopeless reports whether the stages that remain can't be expected to end in time, even
// if this one started now on the fastest target.
func (s *stageRun) hopeless(candidates []router.Candidate) bool {
	best, known := fastest(candidates)
	if !known {
		return false
	}
	later := time.Duration(0)
	for _, stage := range s.pipeline.Stages[s.index+1:] {
		typical, _ := s.runner.TypicalDuration(s.job.Document, stage.Kind)
		later += typical
	}
	return s.runner.Clock.Now().Add(best + later).After(s.job.Request.Deadline)
}

// fastest returns the shortest duration that was measured lately on a usable target.
func fastest(candidates []router.Candidate) (time.Duration, bool) {
	best := time.Duration(0)
	for _, c := range candidates {
		if c.Leaving || c.DataCentreOut || c.TypicalDuration == 0 {
			continue
		}
		if best == 0 || c.TypicalDuration < best {
			best = c.TypicalDuration
		}
	}
	return best, best > 0
}

// TypicalDuration returns the duration of the kind's stages on the fastest usable target, and
// whether it was measured lately.
func (r *Runner) TypicalDuration(document catalog.Document, kind string) (time.Duration, bool) {
	return fastest(r.Fleet.Candidates(document, kind, r.Cluster.DataCentreOut))
}

// startBy is the latest time at which the stage can start and still end in time.
func (s *stageRun) startBy() time.Time {
	if s.runner.Policy != router.Price {
		return s.runner.Clock.Now() // the baselines serve in the order of arrival
	}
	typical, _ := s.remaining(medianQuantile)
	return s.job.Request.Deadline.Add(-typical)
}

func (s *stageRun) price() int64 {
	return s.job.Document.Tiers[s.job.Request.Tier].PriceMicros
}

// remaining returns a quantile of the durations of this stage and those behind it, and
// whether all are known.
func (s *stageRun) remaining(q float64) (time.Duration, bool) {
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

// share returns the part of the remaining time that belongs to the stage, by the
// measured durations of the stages that remain.
func (s *stageRun) share() time.Duration {
	left := s.job.Request.Deadline.Sub(s.runner.Clock.Now())
	own, ok := s.runner.Fleet.DurationQuantile(s.stage.Kind, shareQuantile)
	total, all := s.remaining(shareQuantile)
	if !ok || !all {
		return left / time.Duration(len(s.pipeline.Stages)-s.index)
	}
	return time.Duration(float64(left) * float64(own) / float64(total))
}

// The quantiles of stage durations that decisions are based on.
const (
	shareQuantile  = 0.9
	medianQuantile = 0.5
)
