package forward

import (
	"context"
	"errors"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/canary"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/ingress"
	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/internal/rollout"
	"github.com/sequoiapick/sequoiapick/internal/rollout/gate"
)

// chooseSide is choose for a service in a rollout. In Canary the new version counts as present only if one
// of its targets can take the request now, so that no grant is spent in vain. Later, requests wait for its
// targets rather than going to old ones, which may be stopped at any moment.
func (q *requestState) chooseSide(now time.Time, s selection, split canary.Split) (target inventory.Target, found, rateLimited bool) {
	f := q.f
	s.targets = split.Candidates
	tries := split.Rollout.Phase == rollout.Canary
	hasNew := split.NewUsable() && (!tries || f.loads().canChoose(now, s))
	side := f.Rollouts.Choose(q.service, len(split.Old) > 0, hasNew)
	if side == gate.NewOnly {
		if target, found, rateLimited = f.loads().choose(now, s); found || !tries || len(split.Old) == 0 {
			return target, found, rateLimited
		}
	}
	s.targets = split.Old
	if side == gate.Any {
		s.targets = append(s.targets, split.Candidates...)
	}
	target, found, rateLimited = f.loads().choose(now, s)
	if !found && split.Rollout.Phase == rollout.Switching {
		s.targets = split.Candidates // it needs no grant
		return f.loads().choose(now, s)
	}
	return target, found, rateLimited
}

// canChoose reports whether choose would find a target now.
func (l *targetLoads) canChoose(now time.Time, s selection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range s.targets {
		if t.Usable() && t.HeldUntil.IsZero() && !s.tried[t.ID] && (s.fits == nil || s.fits(t.ID)) && (!t.Cold || l.get(t.ID).coldLimiter.Allows(now)) && l.limits.Allows(now, t.ID, t.StartUnixMillis) {
			return true
		}
	}
	return false
}

// declinesVersion reports whether this daemon must not send to a target because of its version: the leader,
// which has assigned it, may not know the phase of the rollout yet, or the phase has changed since the choice.
// It is called after beginAttempt, so that a daemon that has reported no attempt in progress at old targets
// after the change begins none.
func (q *requestState) declinesVersion(target inventory.Target) bool {
	if split, ok := q.f.Rollouts.Split(q.service); !ok || !split.Forbids(target.Version) {
		return false
	}
	q.f.Log.Emit(event.VersionDeclined, "Request", q.headers.AttemptID, "Target", target.ID, "Service", q.service, "Version", target.Version)
	return true
}

// mayResend reports whether the request may be sent again over another connection to the target, which may
// have received it. A rate limit that the target names counts both. In Canary it takes a grant.
func (q *requestState) mayResend(target inventory.Target) bool {
	if _, limited := q.f.Limits.Limit(target.ID, target.StartUnixMillis); limited {
		return false
	}
	r, ok := q.f.Rollouts.Rollout(q.service)
	if !ok || r.Phase != rollout.Canary || target.Version != r.To {
		return true
	}
	q.resendRefused = q.f.Rollouts.Choose(q.service, true, true) != gate.NewOnly
	return !q.resendRefused
}

// attempt is an attempt of a request at a target, for the comparison of versions.
type attempt struct {
	canary.Attempt
	request *requestState
	target  inventory.Target
	began   time.Time
}

// beginAttempt counts the begin of an attempt, and the request if it is its first one.
func (q *requestState) beginAttempt(target inventory.Target) attempt {
	if q.f.Rollouts == nil {
		return attempt{}
	}
	q.lastHead.Status, q.resendRefused = 0, false
	if !q.reached {
		q.reached = true
		q.f.Rollouts.Gate.Arrived(q.service)
	}
	return attempt{q.f.Rollouts.Begin(q.service, target.Version), q, target, q.f.Clock.Now()}
}

// end counts the end of the attempt. The first event arrived at firstEventAt, zero for answers without
// events.
func (a attempt) end(ctx context.Context, err error, firstEventAt time.Time) {
	if a.request == nil {
		return
	}
	if firstEventAt.IsZero() {
		firstEventAt = a.request.now()
	}
	a.Attempt.End(a.request.route.Name, a.outcome(ctx, err), firstEventAt.Sub(a.began))
}

// abandon ends an attempt that was not made.
func (a attempt) abandon() { a.Attempt.End("", canary.Unknown, 0) }

// outcome tells what the end of an attempt says of the target's version. A request that the client gave
// up, that a full target rejected or that was lost with an idle connection says nothing; one whose deadline
// passed was answered too slowly.
func (a attempt) outcome(ctx context.Context, err error) canary.Outcome {
	head := a.request.lastHead
	full := head.Load != nil && head.Load.Running+head.Load.Waiting >= a.target.Slots
	switch {
	case a.request.resendRefused && err != nil, errors.Is(err, errClientWrite), err != nil && context.Cause(ctx) == ingress.ErrClientDisconnected:
		return canary.Unknown
	case head.Status != 0 && (head.Misdirected || head.NotExecuted && (full || head.Status == statusConflict || head.Leaving)):
		return canary.Unknown
	case err != nil || head.Status >= 500:
		return canary.Bad
	default:
		return canary.Good
	}
}

// now returns the time, or zero if the state has no forwarder.
func (q *requestState) now() time.Time {
	if q.f == nil {
		return time.Time{}
	}
	return q.f.Clock.Now()
}
