package dispatch

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/fairshare"
)

// This file decides, while Planner.Scarce is set, which jobs are admitted if there is more work than
// capacity. Each round gives all unfinished jobs a verdict by reserving capacity for their whole chain
// in a fixed order: started jobs first, then those of the floor, then by score. The order decides only
// who gets capacity that several ask for.

const (
	// floorInterval is the reciprocal of the share of jobs that are admitted before all others that
	// haven't started, whatever their account, session, size or kind: none of these is served less
	// than this share, as far as the targets can do it at all.
	floorInterval = 25
	// floorCapacityShare bounds the share of the floor's jobs if demand is a multiple of capacity: at
	// most this share of the capacity goes to them.
	floorCapacityShare = 0.1
	// lateValueShare is the value of a job after its soft deadline relative to that before.
	lateValueShare = 0.15
	// waitingShare is the share of the capacity beyond the horizon that waiting jobs can count on.
	waitingShare = 0.3
	// lateMargin is the time before its deadline by which the stages of a late job must be done, so that
	// the first event of the answer arrives in time.
	lateMargin = 500 * time.Millisecond
	// admittedBonus multiplies the score of a job that an earlier round has admitted. Without it jobs of
	// about the same score would take turns in being admitted.
	admittedBonus = 1.25
	// retryFactor is the part of the value that is lost if a job is rejected whose client can return and
	// still be served on time.
	retryFactor = 0.7
	// inputUseShare is the part of the lifetime of its inputs within which a late task should run. Results
	// expire, and computing them again wastes the work of the earlier stages.
	inputUseShare = 0.5
	// scoreInterval is the time between two computations of a job's score: pressures and shares change
	// little meanwhile.
	scoreInterval = 100 * time.Millisecond
)

// verdict is the result of the admission of a job.
type verdict int

// The verdicts. Late and held jobs exist with Planner.Scarce only.
const (
	// onTime means that capacity is reserved for the job to meet its soft deadline.
	onTime verdict = iota
	// late means that capacity is reserved for the job to meet its deadline only.
	late
	// held means that no capacity is reserved. The job doesn't start.
	held
)

// scarcity is the state of a planner that only Planner.Scarce uses. The zero value is ready to use.
type scarcity struct {
	shares  fairshare.Shares
	kinds   kinds
	engines map[string]*engineService
	// order are the unfinished jobs in the order of the last round and those submitted since; nil before
	// the first round. scoredAt is when all of them were last scored, advancedAt when shares was advanced.
	order                []*job
	scoredAt, advancedAt time.Time
	// submissions counts the jobs, see job.sequence.
	submissions uint64
	// rejections counts the rejections, by which Retry-After is spread.
	rejections uint64
}

// SetScarce turns Scarce on or off.
func (p *Planner) SetScarce(on bool) {
	p.Scarce = on
	p.scarcity.order = nil
	if on {
		return
	}
	for _, j := range p.jobs {
		j.verdict = onTime // the next round of admitAll decides by deferred alone
	}
}

// startRound begins a round and reports whether it computes the pending work and the score of all jobs
// anew. With Scarce it does so once in scoreInterval for those that haven't started.
func (p *Planner) startRound(now time.Time) (rescore bool) {
	if p.Scarce && now.Sub(p.scarcity.scoredAt) < scoreInterval {
		return false
	}
	p.scarcity.scoredAt = now
	return true
}

// admitScarce gives all jobs their verdicts. The demand of the stages is in the forecasts already. A job
// that waits for capacity beyond the horizon gets a new verdict only in rounds with rescore.
func (p *Planner) admitScarce(now time.Time, jobs []*job, rescore bool) {
	sc := &p.scarcity
	sc.advancedAt = now
	sc.shares.Advance(now)
	sc.kinds.advance(now)
	for _, e := range sc.engines {
		e.forecast = e.newForecast()
	}
	for _, j := range jobs {
		if e := p.engine(j); e != nil {
			e.forecast.demand += p.demandOf(now, j, j.EngineTime)
		}
	}
	floorShare := p.floorShare()
	for _, j := range jobs {
		if j.floorRank == 0 {
			j.floorRank = floorRank(j.ID)
		}
		j.floor = j.floorRank < floorShare
		if !j.started && rescore || j.score == 0 {
			j.score = p.score(j)
		}
	}
	slices.SortFunc(jobs, compareForAdmission)
	// Late jobs that haven't started get what those on time leave.
	for _, j := range jobs {
		j.waits = j.waits && !rescore && !j.started
		switch {
		case j.waits:
			p.countWaiting(j)
		case p.reserve(now, j):
			p.setVerdict(j, onTime)
		case j.started:
			if !p.reserveLate(now, j) {
				p.reserveStarted(now, j)
			}
			p.setVerdict(j, late)
		default:
			p.setVerdict(j, held)
		}
	}
	for _, j := range jobs {
		if j.verdict == held && !j.waits && p.reserveLate(now, j) {
			p.setVerdict(j, late)
		}
	}
	for _, j := range jobs {
		if j.verdict != held && len(j.pending) == 0 && !j.hasPieces() {
			p.advance(j)
		}
	}
	p.rejectHeld(now, jobs)
}

// compareForAdmission orders jobs: started ones as they came, then those of the floor, then by score.
func compareForAdmission(a, b *job) int {
	switch {
	case a.started || b.started:
		if a.started && b.started {
			return cmp.Compare(a.sequence, b.sequence)
		}
		return trueFirst(a.started)
	case a.floor != b.floor:
		return trueFirst(a.floor)
	case a.score != b.score:
		return trueFirst(a.score > b.score)
	default:
		return cmp.Compare(a.sequence, b.sequence)
	}
}

// trueFirst returns the order of a before b if aIsFirst is set.
func trueFirst(aIsFirst bool) int {
	if aIsFirst {
		return -1
	}
	return 1
}

// floorShare returns the share of the jobs that belong to the floor.
func (p *Planner) floorShare() float64 {
	pressure := 1.0
	for _, pl := range p.pools {
		if pl.forecast != nil && pl.forecast.capacity[forecastSteps-1] > 0 {
			pressure = max(pressure, pl.forecast.pressure())
		}
	}
	return min(1.0/floorInterval, floorCapacityShare/pressure)
}

// floorRank returns a number from 0 to 1 that depends on the ID only, so that two planners agree on it.
func floorRank(id string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	// FNV leaves the high bits of short similar keys alike; the multiplication spreads them.
	return float64(h.Sum32()*2654435761) / (1 << 32)
}

// score returns the value of the job per second of target time that it needs in its whole chain, each
// service weighted by its pressure, times the factors of its account and its kind.
func (p *Planner) score(j *job) float64 {
	j.cost = p.cost(j)
	if j.cost <= 0 {
		return j.Value * 1e9
	}
	score := j.Value / j.cost * p.scarcity.shares.Factor(j.Account) * p.scarcity.kinds.boost(j)
	if j.charged > 0 {
		score *= admittedBonus
	}
	if !j.started && p.retryIsOnTime(j) {
		score *= retryFactor
	}
	return score
}

// retryIsOnTime reports whether the client of the job, if it is rejected now, can return and be served by the
// soft deadline.
func (p *Planner) retryIsOnTime(j *job) bool {
	return j.SoftDeadline.Sub(p.now)-p.shortestTime(j) >= minRetryAfter+minRetrySpread
}

// cost returns the target time in seconds that the job still needs, each service weighted by the
// square of its pressure: a service with spare capacity costs others little.
func (p *Planner) cost(j *job) float64 {
	cost := 0.0
	for _, w := range j.pending {
		cost += w.work.Seconds() * price(w.stage.pool.forecast)
	}
	if e := p.engine(j); e != nil {
		cost += j.EngineTime.Seconds() * price(e.forecast)
	}
	return cost
}

// minPrice and maxPrice bound the weights of services. Jobs that come while a service is idle are charged
// as well, but little.
const (
	minPrice = 0.01
	maxPrice = 100
)

// price returns the weight of a service's target time.
func price(f *capacityForecast) float64 {
	if f == nil {
		return 1
	}
	pressure := f.pressure()
	return min(max(pressure*pressure, minPrice), maxPrice)
}

// setVerdict sets the verdict of a job. An admitted job is charged to its account, once; the charge is
// taken back if the job loses its place before it has started.
func (p *Planner) setVerdict(j *job, v verdict) {
	j.verdict = v
	j.deferred = v == held
	switch {
	case v != held && j.charged == 0 && j.cost > 0:
		j.charged = j.cost
		p.scarcity.shares.Charge(j.Account, j.charged)
	case v == held && !j.started:
		p.refund(j)
	}
}

// refund takes back the charge of a job that hasn't started.
func (p *Planner) refund(j *job) {
	if j.charged > 0 && !j.started {
		p.scarcity.shares.Charge(j.Account, -j.charged)
		j.charged = 0
	}
}

// endBy returns the time by which the stages of the job must be done under its verdict.
func (j *job) endBy() time.Time {
	if j.verdict != late {
		return j.SoftDeadline
	}
	return j.Deadline.Add(-lateMargin - j.EngineTime)
}

// reserveLate reserves capacity for the job to meet its deadline, as reserve does for its soft deadline.
// A job with much time left must fit up to the horizon as well: once it has started, its results expire.
func (p *Planner) reserveLate(now time.Time, j *job) bool {
	end := j.Deadline.Add(-lateMargin - j.EngineTime)
	if horizon := now.Add(forecastHorizon); horizon.Before(end) {
		end = horizon
	}
	return p.reserveBy(now, j, end)
}

// countedWork returns the part of a job's work that must be done up to the horizon if it is due after the
// given time. With Scarce, work that is due later is spread evenly over its time.
func (p *Planner) countedWork(work, due time.Duration) time.Duration {
	if !p.Scarce || due <= forecastHorizon {
		return work
	}
	return time.Duration(float64(work) * forecastHorizon.Seconds() / due.Seconds())
}

// demandOf returns the part of a job's work that counts as demand up to the horizon.
func (p *Planner) demandOf(now time.Time, j *job, work time.Duration) time.Duration {
	switch {
	case !p.Scarce:
		return work
	case j.verdict == onTime:
		return p.countedWork(work, j.SoftDeadline.Sub(now))
	default:
		return p.countedWork(work, j.Deadline.Sub(now))
	}
}

// reserveStarted reserves capacity for a started job that no longer fits, for example because targets have
// crashed. Its work would be lost otherwise; later jobs see that the capacity is taken.
func (p *Planner) reserveStarted(now time.Time, j *job) {
	left := max(j.Deadline.Sub(now)-lateMargin-j.EngineTime, forecastStep)
	for _, w := range j.pending {
		w.stage.pool.forecast.reserve(left, p.countedWork(w.work, left))
	}
	if e := p.engine(j); e != nil {
		e.forecast.reserve(left, p.countedWork(j.EngineTime, left))
	}
}

// lateDue returns when a task of a late job is due: in time for the job's deadline, and before its inputs
// expire.
func (t *task) lateDue() time.Time {
	due := t.due
	for _, before := range t.stage.spec.After {
		b := t.stage.job.stages[before]
		if lifetime := b.pool.batch.ResultLifetime; lifetime > 0 && !b.doneAt.IsZero() {
			if expires := b.doneAt.Add(time.Duration(inputUseShare * float64(lifetime))); expires.Before(due) {
				due = expires
			}
		}
	}
	return due
}

// rejectHeld rejects the held jobs of which a service has no capacity left, so that their queued pieces
// and results are free at once and their clients can return in time. Started jobs aren't held: their work
// would be lost.
func (p *Planner) rejectHeld(now time.Time, jobs []*job) {
	for _, j := range jobs {
		if j.verdict != held || j.waits {
			continue
		}
		if !j.hasPieces() && now.Add(j.EngineTime).After(j.Deadline) {
			p.reject(j, Reject{Job: j.ID, Reason: TooLate, Service: j.Engine})
			continue
		}
		name, f := p.mostLoaded(j)
		if f == nil || f.pressure() < rejectPressure || p.mayWait(now, j) {
			continue
		}
		p.refund(j)
		p.reject(j, Reject{Job: j.ID, Reason: Overloaded, RetryAfter: p.spreadRetryAfter(now, j, f), Service: name})
	}
}

// mayWait reports whether a held job is likely to be served before its deadline although no capacity is
// free up to the horizon: beyond that, the admitted jobs and those that wait before it leave enough. It
// then waits rather than sending its client away, since a client returns only once.
func (p *Planner) mayWait(now time.Time, j *job) bool {
	left := j.Deadline.Sub(now) - lateMargin
	if left <= forecastHorizon {
		return false
	}
	for _, w := range j.pending {
		if !w.stage.pool.forecast.fitsLater(left, w.work) {
			return false
		}
	}
	e := p.engine(j)
	if e != nil && !e.forecast.fitsLater(left, j.EngineTime) {
		return false
	}
	j.waits = true
	p.countWaiting(j)
	return true
}

// countWaiting counts the work of a job that waits.
func (p *Planner) countWaiting(j *job) {
	for _, w := range j.pending {
		w.stage.pool.forecast.waiting += w.work
	}
	if e := p.engine(j); e != nil {
		e.forecast.waiting += j.EngineTime
	}
}

// fitsLater reports whether the work can be done within due, which is after the horizon, behind what is
// reserved and the work of jobs that wait. New jobs are expected to take the rest of the capacity.
func (f *capacityForecast) fitsLater(due, work time.Duration) bool {
	rate := f.capacity[forecastSteps-1].Seconds() / forecastHorizon.Seconds()
	beyond := (due - forecastHorizon).Seconds() * rate * waitingShare
	return (f.waiting + work).Seconds() <= beyond
}

// mostLoaded returns the service with the highest pressure among those that the job needs.
func (p *Planner) mostLoaded(j *job) (name string, f *capacityForecast) {
	for _, w := range j.pending {
		if g := w.stage.pool.forecast; g != nil && (f == nil || g.pressure() > f.pressure()) {
			name, f = w.stage.pool.name, g
		}
	}
	if e := p.engine(j); e != nil && (f == nil || e.forecast.pressure() > f.pressure()) {
		name, f = e.name, e.forecast
	}
	return name, f
}

// admitNewScarce decides on a new job against the forecasts of the last round. It reports whether the
// job was rejected.
func (p *Planner) admitNewScarce(now time.Time, j *job) (rejected bool) {
	if sc := &p.scarcity; now.Sub(sc.advancedAt) >= scoreInterval { // no round while the planner is idle
		sc.advancedAt = now
		sc.shares.Advance(now)
	}
	p.scarcity.shares.Demand(j.Account)
	if len(j.Completed) > 0 || len(j.Running) > 0 {
		j.started = true // by another planner
		return false
	}
	if shortest := p.shortestTime(j); now.Add(shortest).After(j.Deadline) {
		p.reject(j, Reject{Job: j.ID, Reason: TooLate})
		return true
	}
	j.findPendingWork()
	for _, w := range j.pending {
		if w.stage.pool.forecast == nil {
			return false // the service is newer than the forecasts; the job counts as admitted
		}
	}
	j.cost = p.cost(j)
	switch {
	case p.reserve(now, j):
		p.setVerdict(j, onTime)
	case p.reserveLate(now, j):
		p.setVerdict(j, late)
	default:
		p.setVerdict(j, held)
	}
	return false
}

// shortestTime returns the shortest time in which all stages of the job and the reading of its prompt
// can be done.
func (p *Planner) shortestTime(j *job) time.Duration {
	longest := time.Duration(0)
	for _, s := range j.stages {
		if len(s.results) > 0 {
			longest = max(longest, p.minRemainingTime(s))
		}
	}
	return longest + j.EngineTime
}

// hasPieces reports whether the job has pieces to run. One without waits for engines only.
func (j *job) hasPieces() bool {
	return slices.ContainsFunc(j.stages, func(s *stageState) bool { return len(s.results) > 0 })
}

// mustWait reports whether the job must not start, since no capacity is reserved for it.
func (j *job) mustWait() bool { return j.verdict == held && !j.started }
