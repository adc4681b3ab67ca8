package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/fairshare"
)

// Explanation says how the planner would decide on a job now, and why. Times are in milliseconds.
type Explanation struct {
	// Known is set if the planner has the job; the verdict is then that of the last round.
	Known bool
	// Scarce is Planner.Scarce. Without it, the verdict is OnTime or Deferred.
	Scarce bool
	// Verdict is "OnTime", "Late", "Held", "Deferred", "TooLate" or "Finished".
	Verdict string
	// Limit is the service with the highest pressure among those that the job needs.
	Limit string
	// Value is Job.Value, Cost the weighted target time in seconds, and Score what the order is by.
	Value, Cost, Score float64
	// KindFactor is the factor of the job's kind, Account the standing of its account.
	KindFactor float64
	Account    fairshare.Standing
	Stages     []StageExplanation
	Engine     EngineExplanation
}

// StageExplanation holds the terms of one stage.
type StageExplanation struct {
	Service string
	Pieces  int
	// WorkMillis is the target time of the pieces in full calls, LeftMillis the time until the stage must
	// be done, Pressure that of the service, and Price the weight of the work.
	WorkMillis, LeftMillis int64
	Pressure, Price        float64
	// Unknown is set if the planner has never heard of the service.
	Unknown bool
	// Candidates are the targets, those that would have done the pieces first in front.
	Candidates []StageCandidate
}

// StageCandidate is a stage target that could run the pieces.
type StageCandidate struct {
	Target, DataCentre string
	// FreeMillis is the time until its next call can start, DoneMillis the time until a call with only
	// these pieces would end, Slowness the factor by which its calls take longer than expected.
	FreeMillis, DoneMillis int64
	Slowness               float64
	Closed                 bool
}

// EngineExplanation holds the terms of the engines.
type EngineExplanation struct {
	Service string
	// WorkMillis is Job.EngineTime. Engines, BacklogMillis and Pressure describe the service.
	WorkMillis, BacklogMillis int64
	Engines                   int
	Pressure, Price           float64
}

// Explain returns how the planner would decide on the job now. It changes nothing.
func (p *Planner) Explain(now time.Time, spec Job) Explanation {
	x := Explanation{Scarce: p.Scarce, Value: spec.Value, Account: p.scarcity.shares.Standing(spec.Account), KindFactor: 1}
	j := p.jobs[spec.ID]
	if j != nil {
		x.Known, x.Value, x.Account = true, j.Value, p.scarcity.shares.Standing(j.Account)
	} else {
		j = p.hypothetical(now, spec, &x)
	}
	savedNow := p.now
	p.now = now
	defer func() { p.now = savedNow }()
	pending := slices.Clone(j.pending)
	defer func() { j.pending = pending }()
	j.findPendingWork()
	x.KindFactor = p.scarcity.kinds.boost(j)
	x.Limit, _ = p.mostLoaded(j)
	if p.Scarce {
		cost := j.cost
		x.Score = p.score(j)
		x.Cost, j.cost = j.cost, cost
	}
	for _, w := range j.pending {
		x.Stages = append(x.Stages, p.explainStage(now, w))
	}
	if e := p.engine(j); e != nil {
		x.Engine = EngineExplanation{
			Service: e.name, WorkMillis: j.EngineTime.Milliseconds(), Engines: e.load.Engines, BacklogMillis: e.load.Backlog.Milliseconds(),
			Pressure: finite(e.forecast.pressure()), Price: price(e.forecast),
		}
	}
	x.Verdict = p.explainVerdict(now, j, x.Known)
	return x
}

// hypothetical returns a job that isn't submitted. Services that the planner doesn't know are added to
// the explanation and left out.
func (p *Planner) hypothetical(now time.Time, spec Job, x *Explanation) *job {
	j := &job{Job: spec, submitted: now}
	for i, stage := range spec.Stages {
		pl := p.poolByService[stage.Service]
		if pl == nil {
			x.Stages = append(x.Stages, StageExplanation{Service: stage.Service, Pieces: stage.Pieces, Unknown: true})
			pl, stage.Pieces = &pool{name: stage.Service}, 0
		}
		kind := pl.kinds[stage.Kind]
		if kind == nil {
			kind = &pieceKind{}
		}
		j.stages = append(j.stages, &stageState{job: j, index: i, spec: stage, pool: pl, kind: kind, results: make([]result, stage.Pieces), missing: stage.Pieces})
	}
	return j
}

// explainVerdict returns the verdict on a job. Reservations that it makes to find out are undone.
func (p *Planner) explainVerdict(now time.Time, j *job, known bool) string {
	switch {
	case j.finished:
		return "Finished"
	case now.Add(p.shortestTime(j)).After(j.Deadline):
		return "TooLate"
	case known && p.Scarce:
		return j.verdict.String()
	case known && j.deferred:
		return "Deferred"
	case known:
		return "OnTime"
	}
	for _, w := range j.pending {
		f := w.stage.pool.forecast
		if f == nil {
			return "OnTime" // no round since the service is known
		}
		saved := *f
		defer func() { *f = saved }()
	}
	if e := p.engine(j); e != nil {
		saved := *e.forecast
		defer func() { *e.forecast = saved }()
	}
	switch {
	case p.reserve(now, j):
		return "OnTime"
	case !p.Scarce:
		return "Deferred"
	case p.reserveLate(now, j):
		return "Late"
	default:
		return "Held"
	}
}

// String returns the name of the verdict in Explanation.
func (v verdict) String() string { return [...]string{"OnTime", "Late", "Held"}[v] }

// explainStage returns the terms of the pending work of a stage.
func (p *Planner) explainStage(now time.Time, w pendingWork) StageExplanation {
	s := w.stage
	end := s.job.endBy().Add(-p.timeAfter(s))
	x := StageExplanation{Service: s.pool.name, Pieces: s.missing, WorkMillis: w.work.Milliseconds(), LeftMillis: end.Sub(now).Milliseconds(), Price: price(s.pool.forecast)}
	if s.pool.forecast != nil {
		x.Pressure = finite(s.pool.forecast.pressure())
	}
	for _, t := range s.pool.targets {
		free := t.freeAt(now).Sub(now)
		done := free + time.Duration(float64(p.minCallTime(s))*max(t.slowness, 1))
		x.Candidates = append(x.Candidates, StageCandidate{Target: t.ID, DataCentre: t.DataCentre, FreeMillis: free.Milliseconds(), DoneMillis: done.Milliseconds(), Slowness: t.slowness, Closed: t.Closed})
	}
	slices.SortFunc(x.Candidates, func(a, b StageCandidate) int {
		switch {
		case a.Closed != b.Closed:
			return trueFirst(b.Closed)
		case a.DoneMillis != b.DoneMillis:
			return trueFirst(a.DoneMillis < b.DoneMillis)
		default:
			return strings.Compare(a.Target, b.Target)
		}
	})
	return x
}

// maxPressure stands for the infinite pressure of a service without capacity, which JSON can't hold.
const maxPressure = 1e6

func finite(pressure float64) float64 { return min(pressure, maxPressure) }
