package dispatch

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// forecastHorizon is how far ahead capacity is forecast; soft deadlines are up to a few
	// seconds away.
	forecastHorizon = 3 * time.Second
	// forecastStep is the time resolution of the forecast.
	forecastStep = 100 * time.Millisecond
	// forecastSteps is the number of steps up to the horizon.
	forecastSteps = int(forecastHorizon / forecastStep)
	// usableCapacityShare is the share of the targets' time that full calls use. The rest is
	// lost between calls and in calls that aren't full.
	usableCapacityShare = 0.75
	// rejectPressure is the pressure (demand divided by capacity up to the horizon) from which
	// jobs that will miss their soft deadline are rejected: no capacity is left for late work.
	rejectPressure = 1.0
	// minRetryAfter and maxRetryAfter bound the time after which the client of a rejected job
	// may retry.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// capacityForecast is the capacity of a service's targets up to the horizon and the part of it
// that is reserved for admitted jobs. Entry i of an array covers the time from now to the end
// of step i. All times are target time: two targets have two seconds of it per second.
type capacityForecast struct {
	// capacity is the target time that is available until the end of each step.
	capacity [forecastSteps]time.Duration
	// reserved is the target time that admitted jobs need until the end of each step.
	reserved [forecastSteps]time.Duration
	// demand is the target time that all jobs need, admitted or deferred.
	demand time.Duration
	// waiting is the target time of the jobs that wait for capacity beyond the horizon.
	waiting time.Duration
	// heldFor is the time until the first target wants calls again, 0 if one of them wants calls now.
	heldFor time.Duration
}

// admitAll admits a set of jobs that can all meet their soft deadlines together, and defers the
// others, which use only the capacity that admitted jobs leave. Started jobs come first, since
// their completed work would be lost; the rest are admitted by descending value density at their
// bottleneck service.
//
// Admission looks at all stages of a job: a decision per queue would start work for jobs whose
// later stages have no capacity.
func (p *Planner) admitAll(now time.Time) {
	if p.Order != ByValue {
		return
	}
	for _, pl := range p.pools {
		pl.forecast = pl.newForecast(now)
	}
	jobs := p.unfinishedJobs()
	rescore := p.startRound(now)
	for _, j := range jobs {
		if j.started || rescore || len(j.pending) == 0 {
			j.findPendingWork()
		}
		for _, w := range j.pending {
			w.stage.pool.forecast.demand += p.demandOf(now, j, w.work)
		}
	}
	if p.Scarce {
		p.admitScarce(now, jobs, rescore)
		return
	}
	p.scarcity.order = nil
	for _, j := range jobs {
		j.bottleneck, j.valueDensity = j.density()
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		switch {
		case a.started != b.started && a.started:
			return -1
		case a.started != b.started:
			return 1
		case a.valueDensity > b.valueDensity:
			return -1
		case a.valueDensity < b.valueDensity:
			return 1
		default:
			return strings.Compare(a.ID, b.ID)
		}
	})
	for _, j := range jobs {
		j.deferred = !p.reserve(now, j)
	}
	p.rejectDeferred(now, jobs)
}

// unfinishedJobs returns the jobs whose stages aren't done, with Scarce in the order of the last round:
// sorting them again is then cheap.
func (p *Planner) unfinishedJobs() []*job {
	if p.Scarce && p.scarcity.order != nil {
		p.scarcity.order = slices.DeleteFunc(p.scarcity.order, func(j *job) bool {
			j.listed = !j.finished && !j.handedOver && !j.dropped
			return !j.listed
		})
		return p.scarcity.order
	}
	jobs := make([]*job, 0, len(p.jobs))
	for _, j := range p.jobs {
		if !j.finished {
			jobs = append(jobs, j)
			j.listed = p.Scarce
		}
	}
	if p.Scarce {
		p.scarcity.order = jobs
	}
	return jobs
}

// list adds a job to those that the next round of admitScarce decides on.
func (p *Planner) list(j *job) {
	if p.Scarce && !j.listed && p.scarcity.order != nil {
		p.scarcity.order = append(p.scarcity.order, j)
		j.listed = true
	}
}

// admitNew decides on one new job against the forecasts of the last admitAll, which the next
// tick recomputes.
func (p *Planner) admitNew(now time.Time, j *job) {
	if p.Order != ByValue || p.Scarce {
		return
	}
	for _, s := range j.stages {
		if s.pool.forecast == nil && len(s.results) > 0 {
			return // the service is newer than the forecasts; the job counts as admitted
		}
	}
	j.findPendingWork()
	j.deferred = !p.reserve(now, j)
}

// pendingWork is the target time, in full calls, of the pieces of a stage that have neither a result nor
// a running call.
type pendingWork struct {
	stage *stageState
	work  time.Duration
	// available is the time in which the work must be done, as of the last reservation, and counted
	// the part of the work that it counts up to the horizon; see countedWork.
	available time.Duration
	counted   time.Duration
}

// findPendingWork sets pending.
func (j *job) findPendingWork() {
	j.pending = j.pending[:0]
	for _, s := range j.stages {
		pieces := 0
		for i := range s.results {
			if s.results[i].handle == "" && s.results[i].calls <= 0 {
				pieces++
			}
		}
		if pieces == 0 || s.released {
			continue
		}
		timePerPiece := s.pool.batch.CallTime/time.Duration(s.pool.batch.MaxPieces) + s.pieceTime()
		j.pending = append(j.pending, pendingWork{stage: s, work: time.Duration(pieces) * timePerPiece})
	}
}

// newForecast returns the capacity of the service's targets, with nothing reserved.
func (pl *pool) newForecast(now time.Time) *capacityForecast {
	f := &capacityForecast{}
	var speeds, offsets [forecastSteps]float64
	open := 0
	for _, t := range pl.targets {
		if t.Closed {
			continue
		}
		if heldFor := max(t.heldUntil.Sub(now), 0); open == 0 || heldFor < f.heldFor {
			f.heldFor = heldFor
		}
		open++
		// From the step in which the target is free on, its capacity grows by its speed.
		free := float64(t.freeAt(now).Sub(now))
		speed := min(usableCapacityShare, t.limitedShare()) / max(t.slowness, 1)
		if first := int(free / float64(forecastStep)); first < forecastSteps {
			speeds[first] += speed
			offsets[first] += speed * free
		}
	}
	speed, offset := 0.0, 0.0
	for i := range f.capacity {
		speed += speeds[i]
		offset += offsets[i]
		f.capacity[i] = time.Duration(speed*float64(time.Duration(i+1)*forecastStep) - offset)
	}
	return f
}

// pressure is the demand divided by the capacity up to the horizon; +Inf without capacity.
func (f *capacityForecast) pressure() float64 {
	if f.capacity[forecastSteps-1] <= 0 {
		return math.Inf(1)
	}
	return float64(f.demand) / float64(f.capacity[forecastSteps-1])
}

// density returns the job's bottleneck, which is the service for which the product of the
// job's work and the service's pressure is largest, and the job's value divided by this product
// (with the work in seconds). It returns +Inf if the job has no pending work.
func (j *job) density() (bottleneck *pool, density float64) {
	weight := 0.0
	for _, w := range j.pending {
		if product := w.work.Seconds() * w.stage.pool.forecast.pressure(); product > weight {
			bottleneck, weight = w.stage.pool, product
		}
	}
	if weight <= 0 {
		return bottleneck, math.Inf(1)
	}
	return bottleneck, j.Value / weight
}

// reserve reserves capacity for the job's work and reports whether all admitted jobs still
// meet their soft deadlines. If they don't, nothing is reserved. The forecast treats work as
// continuous although results exist only at the end of a call, so half of the fixed time of a
// call is subtracted from the time until the work is due.
func (p *Planner) reserve(now time.Time, j *job) bool {
	return p.reserveBy(now, j, j.SoftDeadline)
}

// reserveBy reserves capacity for the stages to be done by the given time, see reserve. With Scarce it
// includes the engines.
func (p *Planner) reserveBy(now time.Time, j *job, end time.Time) bool {
	if p.Scarce && len(j.pending) > 0 && !end.After(now) {
		return false // as the checks below find at a higher cost
	}
	for i := range j.pending {
		w := &j.pending[i]
		until := end.Add(-p.timeAfter(w.stage)).Sub(now)
		available := until - w.stage.pool.batch.CallTime/2
		w.counted = p.countedWork(w.work, available)
		if p.minCallTime(w.stage) > until || !w.stage.pool.forecast.fits(available, w.counted) {
			return false
		}
		w.available = available
	}
	if p.Scarce && !p.reserveEngine(j, end.Sub(now)+j.EngineTime) {
		return false
	}
	for _, w := range j.pending {
		w.stage.pool.forecast.reserve(w.available, w.counted)
	}
	return true
}

// lastStepBefore returns the index of the last forecast step that ends by due, which is a time
// from now; it is -1 or lower if there is none.
func lastStepBefore(due time.Duration) int {
	return min(int(due/forecastStep), forecastSteps) - 1
}

// fits reports whether the work, in target time, can be done within due from now in addition to
// the reserved work.
func (f *capacityForecast) fits(due time.Duration, work time.Duration) bool {
	first := lastStepBefore(due)
	if first < 0 {
		return false
	}
	for i := first; i < forecastSteps; i++ {
		if f.reserved[i]+work > f.capacity[i] {
			return false
		}
	}
	return true
}

// reserve reserves target time for work that must be done within due from now.
func (f *capacityForecast) reserve(due time.Duration, work time.Duration) {
	for i := max(lastStepBefore(due), 0); i < forecastSteps; i++ {
		f.reserved[i] += work
	}
}

// rejectDeferred rejects deferred jobs whose bottleneck has no capacity left for late work:
// those that haven't started, and those that have and are past their soft deadline. Otherwise
// they would wait until their deadline and hold result memory that other jobs need.
func (p *Planner) rejectDeferred(now time.Time, jobs []*job) {
	for _, j := range jobs {
		if !j.deferred || j.started && now.Before(j.SoftDeadline) {
			continue
		}
		if j.bottleneck == nil || j.bottleneck.forecast.pressure() < rejectPressure {
			continue
		}
		p.reject(j, Reject{Job: j.ID, Reason: Overloaded, RetryAfter: j.bottleneck.forecast.retryAfter(), Service: j.bottleneck.name})
	}
}

// retryAfter returns the time after which about half of the reserved work is done, within
// minRetryAfter and maxRetryAfter. While all targets want no calls, it is the time until one does.
func (f *capacityForecast) retryAfter() time.Duration {
	if f.heldFor > 0 {
		return max(f.heldFor, minRetryAfter)
	}
	need := f.reserved[forecastSteps-1] / 2
	for i, capacity := range f.capacity {
		if capacity >= need {
			return min(max(time.Duration(i+1)*forecastStep, minRetryAfter), maxRetryAfter)
		}
	}
	return maxRetryAfter
}
