package scheduler

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/placement"
)

// outputTokenTime is the typical time between two tokens of an answer.
const outputTokenTime = 20 * time.Millisecond

// SetScarcePolicy turns the admission for scarce capacity on or off.
func (s *Scheduler) SetScarcePolicy(on bool) {
	s.scarce.Store(on)
	s.post(func() { s.planner.SetScarce(on) })
}

// IsScarcePolicy reports whether the admission for scarce capacity is on. It may be called by any goroutine.
func (s *Scheduler) IsScarcePolicy() bool { return s.scarce.Load() }

// readTime returns the time that an engine of the service needs to read prompt tokens.
func (s *Scheduler) readTime(now time.Time, service string, tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.selector.ReadSpeed(now, service) * float64(time.Millisecond))
}

// engineTime returns the time for which the request is expected to occupy an engine: for the prompt
// tokens that no engine has cached, and for its share of the answer's time, since an engine writes as
// many answers at a time as it has slots.
func (s *Scheduler) engineTime(now time.Time, r placement.Request) time.Duration {
	if !s.planner.Scarce {
		return 0
	}
	d := s.readTime(now, r.Service, s.selector.UncachedTokens(now, r))
	if slots := s.selector.Slots(r.Service); slots > 0 {
		d += time.Duration(r.OutputTokens) * outputTokenTime / time.Duration(slots)
	}
	return d
}

// updateEngines passes the load of the engines to the planner.
func (s *Scheduler) updateEngines() {
	if !s.planner.Scarce {
		return
	}
	now := s.Clock.Now()
	loads := map[string]dispatch.EngineLoad{}
	for _, name := range s.selector.Services() {
		d := s.selector.Demand(name)
		loads[name] = dispatch.EngineLoad{Engines: d.Engines, Backlog: s.readTime(now, name, d.UnreadTokens)}
	}
	s.planner.SetEngines(loads)
}

// Explanation says how this scheduler would decide on a request now, and why.
type Explanation struct {
	Stages  dispatch.Explanation
	Engines []placement.Candidate
}

// Explain returns how this scheduler would decide on a request now, without sending anything. It returns
// false if the loop doesn't answer within stateTimeout. Its own decisions count only while it leads.
func (s *Scheduler) Explain(job Job) (Explanation, bool) {
	reply := make(chan Explanation, 1)
	s.post(func() {
		now := s.Clock.Now()
		if r := s.requests[job.ID]; r != nil {
			job.Generation = r.generation
		}
		reply <- Explanation{Stages: s.planner.Explain(now, s.plannerJob(now, job)), Engines: s.selector.Explain(now, job.Generation)}
	})
	select {
	case x := <-reply:
		return x, true
	case <-s.Clock.After(stateTimeout):
		return Explanation{}, false
	}
}

// plannerJob returns the job that the planner gets for a request.
func (s *Scheduler) plannerJob(now time.Time, job Job) dispatch.Job {
	dataCentre := job.DataCentre
	if preferred, ok := s.selector.PreferredDataCentre(now, job.Generation); ok {
		dataCentre = preferred
	}
	return dispatch.Job{
		ID:              job.ID,
		DataCentre:      dataCentre,
		Key:             job.Key,
		Stages:          job.Stages,
		SoftDeadline:    job.SoftDeadline,
		Deadline:        job.Deadline,
		Priority:        job.Priority,
		Value:           job.Value,
		Account:         job.Account,
		Route:           job.Route,
		Engine:          job.Generation.Service,
		EngineTime:      s.engineTime(now, job.Generation),
		Completed:       job.Completed,
		Running:         job.Running,
		InputsDelivered: job.Assigned != "",
	}
}
