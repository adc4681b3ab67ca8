package dispatch

import (
	"slices"
	"time"
)

const (
	// maxEngineWait is the time within which engines should have read the prompt of a job after its stages
	// are done.
	maxEngineWait = 400 * time.Millisecond
	// usableEngineShare is the share of the engines' time that reading prompts can use; the choice of
	// an engine by its cache leaves the rest.
	usableEngineShare = 0.85
)

// EngineLoad is the capacity of the engines of one service and what is queued there.
type EngineLoad struct {
	// Engines is the number of engines that accept requests.
	Engines int
	// Backlog is the time that one engine would need for what all of them have accepted.
	Backlog time.Duration
}

// engineService is the forecast of the engines of one service.
type engineService struct {
	name     string
	load     EngineLoad
	forecast *capacityForecast
}

// SetEngines sets the loads of the engines by service, without the requests whose stages aren't done.
// Services that are missing have no engines. It must precede each Tick, and be called as often while the
// planner isn't busy.
func (p *Planner) SetEngines(loads map[string]EngineLoad) {
	if p.scarcity.engines == nil {
		p.scarcity.engines = map[string]*engineService{}
	}
	for name, e := range p.scarcity.engines {
		if _, ok := loads[name]; !ok {
			e.load, e.forecast = EngineLoad{}, &capacityForecast{}
		}
	}
	for name, load := range loads {
		e := p.scarcity.engines[name]
		if e == nil {
			e = &engineService{name: name}
			p.scarcity.engines[name] = e
		}
		e.load = load
		e.forecast = e.newForecast()
	}
}

// newForecast returns the capacity of the engines, with nothing reserved.
func (e *engineService) newForecast() *capacityForecast {
	f := &capacityForecast{}
	for i := range f.capacity {
		f.capacity[i] = e.capacityWithin(time.Duration(i+1) * forecastStep)
	}
	return f
}

// capacityWithin returns the engine time that is available within a time from now.
func (e *engineService) capacityWithin(d time.Duration) time.Duration {
	return max(time.Duration(float64(e.load.Engines)*usableEngineShare*float64(d))-e.load.Backlog, 0)
}

// fits reports whether the work can be done within due from now in addition to the reserved work.
func (e *engineService) fits(due, work time.Duration) bool {
	if due > forecastHorizon {
		return work+e.forecast.reserved[forecastSteps-1] <= e.capacityWithin(due)
	}
	for i := max(lastStepBefore(due), 0); i < forecastSteps; i++ {
		if e.forecast.reserved[i]+work > e.forecast.capacity[i] {
			return false
		}
	}
	return true
}

// engine returns the engines that the job's request needs; nil if they aren't known, in which case they
// count as unlimited.
func (p *Planner) engine(j *job) *engineService {
	if j.engine == nil && j.EngineTime > 0 {
		j.engine = p.scarcity.engines[j.Engine]
	}
	return j.engine
}

// reserveEngine reserves the engines' time for the job's request within due from now and reports whether
// there is enough in addition to what is reserved. If there isn't, nothing is reserved.
func (p *Planner) reserveEngine(j *job, due time.Duration) bool {
	e := p.engine(j)
	if e == nil {
		return true
	}
	// Engines read prompts in the order of arrival. A long queue of jobs with much time would make all
	// urgent ones late, so each job must be read soon after its stages are done.
	due = max(min(due, p.shortestTime(j)+maxEngineWait), forecastStep)
	if !e.fits(due, j.EngineTime) {
		return false
	}
	e.forecast.reserve(due, p.countedWork(j.EngineTime, due))
	return true
}

// waitsForEngine reports whether a job without pieces waits for its verdict.
func (p *Planner) waitsForEngine() bool {
	return slices.ContainsFunc(p.scarcity.order, func(j *job) bool { return !j.finished && !j.dropped && !j.handedOver && !j.hasPieces() })
}
