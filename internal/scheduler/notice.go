package scheduler

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/targetlimit"
	"github.com/sequoiapick/sequoiapick/internal/targetload"
	"github.com/sequoiapick/sequoiapick/platform"
)

// EngineNotice is what an engine has said of itself in an answer to a daemon.
type EngineNotice struct {
	// Target is the engine's ID, Incarnation tells its start from others under this ID.
	Target      string
	Incarnation int64
	// Leaving is set if the engine leaves.
	Leaving bool
	// HeldFor is how long the engine wants no requests of that daemon; 0 if it takes them.
	HeldFor time.Duration
}

// ReportEngineNotice passes a notice to the daemon that chooses the engines, so that it assigns none
// that this daemon must decline. A notice that is lost is repeated by the daemon that declines.
func (s *Scheduler) ReportEngineNotice(n EngineNotice) {
	s.post(func() {
		leader := s.Mesh.Leader()
		if leader == "" || leader == s.Host {
			s.applyEngineNotice(s.Host, n)
			return
		}
		s.Mesh.Send(leader, &clusterpb.Envelope{Kind: &clusterpb.Envelope_EngineNotice{EngineNotice: &clusterpb.EngineNotice{
			Target: n.Target, Incarnation: n.Incarnation, Leaving: n.Leaving, HeldForMillis: n.HeldFor.Milliseconds(),
		}}})
	})
}

// applyEngineNotice heeds a notice that the daemon on a host has received.
func (s *Scheduler) applyEngineNotice(host string, n EngineNotice) {
	if n.Leaving && s.TargetLeaving != nil {
		s.TargetLeaving(n.Target, n.Incarnation)
	}
	if n.HeldFor > 0 {
		s.selector.Hold(s.Clock.Now(), host, n.Target, n.Incarnation, n.HeldFor)
	}
}

// recordStageNotices records what a stage target says of itself in the answer to a call that was sent at the given time.
// It may be called outside of the loop.
func (s *Scheduler) recordStageNotices(t dispatch.Target, sentAt time.Time, head platform.AnswerHead) {
	if !head.Misdirected {
		s.recordLimit(t, sentAt, head)
	}
	if !head.Misdirected && head.Load != nil {
		s.Loads.Record(targetload.Report{
			Target: t.ID, Incarnation: t.Incarnation, Service: t.Service, ObservedAt: s.Clock.Now(),
			Load: targetload.FromPercent(head.Load.Running, head.Load.Waiting, head.Load.Slots, head.Load.Pace),
		})
	}
	if head.Misdirected || !head.Leaving && head.RetryAfter <= 0 {
		return
	}
	if head.Leaving {
		if s.TargetLeaving != nil && s.TargetLeaving(t.ID, t.Incarnation) {
			s.Log.Emit(event.TargetLeaving, "Target", t.ID, "Service", t.Service, "Start", t.Incarnation)
		}
	}
	if head.RetryAfter > 0 {
		s.Log.Emit(event.TargetHeld, "Target", t.ID, "Service", t.Service, "Millis", head.RetryAfter.Milliseconds())
	}
	s.post(func() {
		now := s.Clock.Now()
		if head.Leaving {
			s.planner.CloseTarget(t.ID, t.Incarnation)
		}
		s.planner.HoldTarget(now, t.ID, t.Incarnation, head.RetryAfter)
	})
}

// recordLimit records the rate limit that a stage target names. Only a call that was run tells that there is none any
// more.
func (s *Scheduler) recordLimit(t dispatch.Target, sentAt time.Time, head platform.AnswerHead) {
	if s.Limits == nil {
		return
	}
	now := s.Clock.Now()
	if head.MalformedRateLimit != "" && s.Limits.RecordMalformed(now, t.ID) {
		s.Log.Emit(event.LimitMalformed, "Target", t.ID, "Service", t.Service, "Value", head.MalformedRateLimit)
	}
	if head.RateLimit > 0 || head.Status == fasthttp.StatusOK && head.MalformedRateLimit == "" {
		s.LimitNoticed(targetlimit.Notice{Target: t.ID, Incarnation: t.Incarnation, PerSecond: head.RateLimit, SentAt: sentAt, At: now})
	}
}
