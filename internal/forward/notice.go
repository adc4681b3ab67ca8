package forward

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/internal/scheduler"
	"github.com/sequoiapick/sequoiapick/internal/targetlimit"
	"github.com/sequoiapick/sequoiapick/platform"
)

// recordNotices records what a target says of itself in the answer to a request that was sent at the given time: that
// it leaves, for how long it wants no requests of this daemon, or how many it takes from all daemons. An answer that
// says that another target is at the address tells nothing of this one.
func (q *requestState) recordNotices(target inventory.Target, sentAt time.Time, head platform.AnswerHead) {
	if head.Misdirected {
		return
	}
	f := q.f
	q.recordLimit(target, sentAt, head)
	if head.Leaving && f.Inventory.MarkLeaving(target.ID, target.StartUnixMillis) {
		f.Log.Emit(event.TargetLeaving, "Request", q.headers.AttemptID, "Target", target.ID, "Service", q.service, "Start", target.StartUnixMillis)
	}
	if head.RetryAfter > 0 {
		f.Inventory.Hold(target.ID, target.StartUnixMillis, head.RetryAfter)
		f.Log.Emit(event.TargetHeld, "Request", q.headers.AttemptID, "Target", target.ID, "Service", q.service, "Millis", head.RetryAfter.Milliseconds())
	}
}

// recordLimit records the rate limit that a target names. Only an answer to a request that was run tells that there is
// none any more.
func (q *requestState) recordLimit(target inventory.Target, sentAt time.Time, head platform.AnswerHead) {
	f := q.f
	if f.Limits == nil {
		return
	}
	now := f.Clock.Now()
	if head.MalformedRateLimit != "" && f.Limits.RecordMalformed(now, target.ID) {
		f.Log.Emit(event.LimitMalformed, "Target", target.ID, "Service", target.Service, "Value", head.MalformedRateLimit)
	}
	if head.RateLimit > 0 || head.Signed && head.MalformedRateLimit == "" {
		f.LimitNoticed(targetlimit.Notice{Target: target.ID, Incarnation: target.StartUnixMillis, PerSecond: head.RateLimit, SentAt: sentAt, At: now})
	}
}

// reportNotice passes to the scheduler what is known of an engine that it may have assigned for the
// lack of it.
func (f *Forwarder) reportNotice(engine string) {
	t, ok := f.Inventory.Target(engine)
	if !ok || !t.Leaving && t.HeldUntil.IsZero() {
		return
	}
	notice := scheduler.EngineNotice{Target: t.ID, Incarnation: t.StartUnixMillis, Leaving: t.Leaving}
	if !t.HeldUntil.IsZero() {
		notice.HeldFor = t.HeldUntil.Sub(f.Clock.Now())
	}
	f.Scheduler.ReportEngineNotice(notice)
}

// firstRelease returns the time until one of the usable targets takes requests of this daemon again. It
// returns false unless all of them are held.
func firstRelease(now time.Time, targets []inventory.Target) (wait time.Duration, allHeld bool) {
	for _, t := range targets {
		if !t.Usable() {
			continue
		}
		if t.HeldUntil.IsZero() {
			return 0, false
		}
		if left := t.HeldUntil.Sub(now); !allHeld || left < wait {
			wait, allHeld = left, true
		}
	}
	return wait, allHeld
}
