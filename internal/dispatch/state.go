package dispatch

import "time"

// ServiceState is what a planner tells of one service.
type ServiceState struct {
	Service string
	// Waiting is the number of pieces that wait, Running that in calls, Calls that of the
	// calls.
	Waiting int
	Running int
	Calls   int
	// Pressure is the demand over what the targets can do up to the horizon, as of the last
	// look at all jobs.
	Pressure float64
	// WaitMillis is the typical wait of work that is on time.
	WaitMillis int64
	// RoomUsed is the largest used share of a target's room.
	RoomUsed float64
}

// State returns what the planner knows of each service, by name.
func (p *Planner) State() []ServiceState {
	states := make([]ServiceState, 0, len(p.pools))
	for _, pl := range p.pools {
		s := ServiceState{Service: pl.name, WaitMillis: pl.wait.Milliseconds()}
		if o := p.outlooks[pl.name]; o != nil {
			s.Pressure = o.pressure()
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
				s.RoomUsed = max(s.RoomUsed, float64(t.used)/float64(pl.batch.ResultMemoryBytes))
			}
		}
		states = append(states, s)
	}
	return states
}

// StageTiming is how one stage of a job went.
type StageTiming struct {
	Stage   int
	Service string
	Pieces  int
	// QueuedMillis, BegunMillis and DoneMillis are the times since the submission at which
	// the stage was queued, its first piece was sent and its last one was done; negative if
	// that didn't happen.
	QueuedMillis int64
	BegunMillis  int64
	DoneMillis   int64
}

// StageTimings tells how the stages of a job went.
func (p *Planner) StageTimings(id string) []StageTiming {
	j := p.jobs[id]
	if j == nil {
		return nil
	}
	var steps []StageTiming
	for _, s := range j.stages {
		if s.plan.Pieces == 0 {
			continue
		}
		steps = append(steps, StageTiming{
			Stage:        s.index,
			Service:      s.plan.Service,
			Pieces:       s.plan.Pieces,
			QueuedMillis: j.since(s.queuedAt),
			BegunMillis:  j.since(s.begunAt),
			DoneMillis:   j.since(s.doneAt),
		})
	}
	return steps
}

func (j *job) since(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return t.Sub(j.submitted).Milliseconds()
}
