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
	forecasts := map[string]*capacityForecast{}
	for _, pl := range p.pools {
		forecasts[pl.name] = pl.forecast(now)
	}
	p.forecasts = forecasts
	jobs := make([]*job, 0, len(p.jobs))
	for _, j := range p.jobs {
		if !j.finished {
			jobs = append(jobs, j)
		}
	}
	for _, j := range jobs {
		p.forEachUnstartedStage(j, func(s *stageState, work time.Duration) {
			forecasts[s.spec.Service].demand += work
		})
	}
	for _, j := range jobs {
		j.bottleneck, j.valueDensity = p.valueDensity(j, forecasts)
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
		j.deferred = !p.reserve(now, j, forecasts)
	}
	p.rejectDeferred(now, jobs, forecasts)
}

// admitNew decides on one new job against the forecasts of the last admitAll, which the next
// tick recomputes.
func (p *Planner) admitNew(now time.Time, j *job) {
	if p.Order != ByValue {
		return
	}
	for _, s := range j.stages {
		if p.forecasts[s.spec.Service] == nil && len(s.results) > 0 {
			return // the service is newer than the forecasts; the job counts as admitted
		}
	}
	j.deferred = !p.reserve(now, j, p.forecasts)
}

// forEachUnstartedStage calls f for each stage of the job that has pieces without a result and
// without a running call. Work is the target time of these pieces in full calls.
func (p *Planner) forEachUnstartedStage(j *job, f func(s *stageState, work time.Duration)) {
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
		pl := p.pool(s.spec.Service)
		timePerPiece := pl.batch.CallTime/time.Duration(pl.batch.MaxPieces) + pl.pieceTime(s.spec.Kind)
		f(s, time.Duration(pieces)*timePerPiece)
	}
}

// forecast returns the capacity of the service's targets, with nothing reserved.
func (pl *pool) forecast(now time.Time) *capacityForecast {
	f := &capacityForecast{}
	open := 0
	for _, t := range pl.targets {
		if t.Closed {
			continue
		}
		if heldFor := max(t.heldUntil.Sub(now), 0); open == 0 || heldFor < f.heldFor {
			f.heldFor = heldFor
		}
		open++
		free := t.freeAt(now).Sub(now)
		for i := range f.capacity {
			if left := time.Duration(i+1)*forecastStep - free; left > 0 {
				f.capacity[i] += time.Duration(usableCapacityShare * float64(left) / max(t.slowness, 1))
			}
		}
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

// valueDensity returns the job's bottleneck, which is the service for which the product of the
// job's work and the service's pressure is largest, and the job's value divided by this product
// (with the work in seconds). It returns +Inf if the job has no unstarted work.
func (p *Planner) valueDensity(j *job, forecasts map[string]*capacityForecast) (bottleneck string, density float64) {
	weight := 0.0
	p.forEachUnstartedStage(j, func(s *stageState, work time.Duration) {
		if w := work.Seconds() * forecasts[s.spec.Service].pressure(); w > weight {
			bottleneck, weight = s.spec.Service, w
		}
	})
	if weight <= 0 {
		return bottleneck, math.Inf(1)
	}
	return bottleneck, j.Value / weight
}

// reserve reserves capacity for the job's work and reports whether all admitted jobs still
// meet their soft deadlines. If they don't, nothing is reserved. The forecast treats work as
// continuous although results exist only at the end of a call, so half of the fixed time of a
// call is subtracted from the time until the work is due.
func (p *Planner) reserve(now time.Time, j *job, forecasts map[string]*capacityForecast) bool {
	fits := true
	p.forEachUnstartedStage(j, func(s *stageState, work time.Duration) {
		due := j.SoftDeadline.Add(-p.timeAfter(s))
		if now.Add(p.minCallTime(s)).After(due) || !forecasts[s.spec.Service].fits(due.Sub(now)-p.pool(s.spec.Service).batch.CallTime/2, work) {
			fits = false
		}
	})
	if !fits {
		return false
	}
	p.forEachUnstartedStage(j, func(s *stageState, work time.Duration) {
		due := j.SoftDeadline.Add(-p.timeAfter(s))
		forecasts[s.spec.Service].reserve(due.Sub(now)-p.pool(s.spec.Service).batch.CallTime/2, work)
	})
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
func (p *Planner) rejectDeferred(now time.Time, jobs []*job, forecasts map[string]*capacityForecast) {
	for _, j := range jobs {
		if !j.deferred || j.started && now.Before(j.SoftDeadline) {
			continue
		}
		f := forecasts[j.bottleneck]
		if f == nil || f.pressure() < rejectPressure {
			continue
		}
		p.reject(j, Reject{Job: j.ID, Reason: Overloaded, RetryAfter: f.retryAfter(), Service: j.bottleneck})
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
