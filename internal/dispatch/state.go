package dispatch

import "time"

// ServiceState is the state of one service at a planner.
type ServiceState struct {
	Service string
	// Waiting is the number of waiting pieces, Running that of pieces in running calls, Calls
	// that of running calls.
	Waiting int
	Running int
	Calls   int
	// Pressure is the demand divided by the capacity up to the forecast horizon, as of the
	// last admission of all jobs.
	Pressure float64
	// WaitMillis is the moving average of the queue wait of tasks that aren't deferred.
	WaitMillis int64
	// RoomUsed is the largest used share of a target's result memory, 0 to 1.
	RoomUsed float64
}

// State returns the state of all services, sorted by name.
func (p *Planner) State() []ServiceState {
	states := make([]ServiceState, 0, len(p.pools))
	for _, pl := range p.pools {
		s := ServiceState{Service: pl.name, WaitMillis: pl.typicalWait.Milliseconds()}
		if pl.forecast != nil {
			s.Pressure = pl.forecast.pressure()
		}
		for _, t := range pl.tasks {
			s.Waiting += len(t.waiting)
		}
		for _, t := range pl.targets {
			s.Calls += len(t.running)
			for _, c := range t.running {
				s.Running += len(c.pieces)
			}
			if pl.batch.ResultMemoryBytes > 0 {
				s.RoomUsed = max(s.RoomUsed, float64(t.usedBytes)/float64(pl.batch.ResultMemoryBytes))
			}
		}
		states = append(states, s)
	}
	return states
}

// StageTiming holds the times of one stage of a job. Logs show the fields under their Go names.
type StageTiming struct {
	Stage   int
	Service string
	Pieces  int
	// QueuedMillis, BegunMillis and DoneMillis are the times since the submission at which the
	// stage was queued, its first piece was sent and its last one was completed; -1 if that
	// didn't happen.
	QueuedMillis int64
	BegunMillis  int64
	DoneMillis   int64
}

// StageTimings returns the timings of the job's stages that have pieces; nil if the job is
// unknown.
func (p *Planner) StageTimings(id string) []StageTiming {
	j := p.jobs[id]
	if j == nil {
		return nil
	}
	var timings []StageTiming
	for _, s := range j.stages {
		if s.spec.Pieces == 0 {
			continue
		}
		timings = append(timings, StageTiming{
			Stage:        s.index,
			Service:      s.spec.Service,
			Pieces:       s.spec.Pieces,
			QueuedMillis: j.millisSinceSubmit(s.queuedAt),
			BegunMillis:  j.millisSinceSubmit(s.startedAt),
			DoneMillis:   j.millisSinceSubmit(s.doneAt),
		})
	}
	return timings
}

// millisSinceSubmit returns the time since the submission in milliseconds, or -1 for the zero time.
func (j *job) millisSinceSubmit(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return t.Sub(j.submitted).Milliseconds()
}
