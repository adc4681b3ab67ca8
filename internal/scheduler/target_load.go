package scheduler

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/targetload"
)

// FirstEventLatency is the typical time of an engine up to the first event of its answer. The soft deadline of the
// stages of a request is that long before the end of the route's latency objective.
const FirstEventLatency = 250 * time.Millisecond

// EngineLoad records the load that the engine has sent with its answer. AnswerStarted, which must follow, reports it
// to the owner. A load without a pace isn't reported.
func (t *Ticket) EngineLoad(r targetload.Report) {
	if r.Load.Pace <= 0 {
		return
	}
	t.scheduler.post(func() { t.engineLoad = EncodeLoad(t.scheduler.Clock.Now(), r) })
}

// EngineTimes records the time from the send of the request to the first event of the answer, and the typical time
// between two events; each is 0 if unknown. Close, which must follow, reports them to the owner if the engine has sent
// its pace.
func (t *Ticket) EngineTimes(firstEvent, gap time.Duration) {
	t.scheduler.post(func() {
		if t.engineLoad != nil {
			t.firstEvent, t.gap = firstEvent, gap
		}
	})
}

// EncodeLoad returns the message for a report, with the time of observation as an age in milliseconds at now.
func EncodeLoad(now time.Time, r targetload.Report) *clusterpb.TargetLoad {
	return &clusterpb.TargetLoad{
		Target: r.Target, Incarnation: r.Incarnation, AgeMillis: now.Sub(r.ObservedAt).Milliseconds(),
		Running: int64(r.Load.Running), Waiting: int64(r.Load.Waiting), Slots: int64(r.Load.Slots), Pace: int64(r.Load.PacePercent()),
	}
}

// maxLoadNumber bounds the numbers in reports of other daemons, which have decoded them from headers.
const maxLoadNumber = 1 << 30

// DecodeLoad is the inverse of EncodeLoad; the service isn't part of the message. It returns false if the report has no
// pace or an impossible number.
func DecodeLoad(now time.Time, m *clusterpb.TargetLoad) (targetload.Report, bool) {
	for _, n := range []int64{m.GetRunning(), m.GetWaiting(), m.GetSlots(), m.GetPace(), m.GetAgeMillis()} {
		if n < 0 || n > maxLoadNumber {
			return targetload.Report{}, false
		}
	}
	return targetload.Report{
		Target:      m.GetTarget(),
		Incarnation: m.GetIncarnation(),
		ObservedAt:  now.Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond),
		Load:        targetload.FromPercent(int(m.GetRunning()), int(m.GetWaiting()), int(m.GetSlots()), int(m.GetPace())),
	}, m.GetPace() > 0
}

// setObjectives sets what the route asks of the engine of a request.
func (s *Scheduler) setObjectives(r *request, job Job) {
	r.generation.FirstEventBy = job.SoftDeadline.Add(FirstEventLatency)
	if s.MaxGap != nil && job.Route != "" {
		r.generation.MaxGap = s.MaxGap(job.Route)
	}
}

// withoutUnusedNames returns the job without the names that the leader doesn't need: that of the route if the engines
// of its service don't report their pace, and both if the admission for scarce capacity is off besides.
func (s *Scheduler) withoutUnusedNames(job Job) Job {
	if s.planner.Scarce {
		return job
	}
	job.Account = ""
	if !s.Loads.Paced(s.Clock.Now(), job.Generation.Service) {
		job.Route = ""
	}
	return job
}

// answerBegan handles the start of the engine's answer and the load that came with it. The report of another engine or
// start than the assigned one is dropped.
func (s *Scheduler) answerBegan(m *clusterpb.Began) {
	if load := m.GetLoad(); load != nil {
		engine, assigned := s.selector.EngineOf(m.GetID())
		report, ok := DecodeLoad(s.Clock.Now(), load)
		if ok && assigned && engine.ID == report.Target && engine.Incarnation == report.Incarnation {
			report.Service = engine.Service
			s.Loads.Record(report)
		}
	}
	s.answerStarted(m.GetID())
}

// learnEngine learns the speed of an engine from the times of an answer.
func (s *Scheduler) learnEngine(m *clusterpb.Ended) {
	if m.GetFirstEventMicros() > 0 || m.GetGapMicros() > 0 {
		s.selector.Learn(m.GetID(), time.Duration(m.GetFirstEventMicros())*time.Microsecond, time.Duration(m.GetGapMicros())*time.Microsecond)
	}
}
