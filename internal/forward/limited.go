package forward

import (
	"context"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/internal/scheduler"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// assignTimeout is how long a plain request waits for the leader to choose its target if it could also go to a target
// without a rate limit: some round trips.
const assignTimeout = 150 * time.Millisecond

// limitedChoice has the leader choose the targets of a plain request if targets of its service name rate limits. The
// leader counts the requests of all daemons; shares of a limit would be too small where there are many daemons.
type limitedChoice struct {
	request *requestState
	// ticket is nil before the first choice.
	ticket *scheduler.Ticket
	// assigned is the target of the last choice, empty if there is none.
	assigned string
	// abandoned is set once the leader hasn't answered in time. The request then goes to targets without a limit, and
	// to others within the share of this daemon.
	abandoned bool
	// rejection is the error of a request that is rejected, nil if it isn't; the client may retry after retryAfter.
	rejection  error
	retryAfter time.Duration
}

// applies reports whether the leader chooses the next target.
func (c *limitedChoice) applies() bool {
	f := c.request.f
	if c.abandoned || f.Limits.Empty() || f.Scheduler == nil || f.Scheduler.Mesh.Leader() == "" {
		return false
	}
	limited, _ := c.request.usableTargets()
	return limited > 0
}

// usableTargets counts the targets that the request may be sent to, those that name a rate limit and the others.
func (q *requestState) usableTargets() (limited, unlimited int) {
	for _, t := range q.f.Inventory.Targets(q.service) {
		if !t.Usable() || !t.HeldUntil.IsZero() || q.tried[t.ID] {
			continue
		}
		if _, ok := q.f.Limits.Limit(t.ID, t.StartUnixMillis); ok {
			limited++
		} else {
			unlimited++
		}
	}
	return limited, unlimited
}

// next returns the target that the leader has chosen. It returns false if this daemon has to choose one, or if the request
// is over or rejected.
func (c *limitedChoice) next(ctx context.Context) (inventory.Target, bool) {
	q := c.request
	_, unlimited := q.usableTargets()
	if unlimited > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, assignTimeout)
		defer cancel()
	}
	for {
		if c.rejection = c.ask(); c.rejection != nil {
			return inventory.Target{}, false
		}
		update, err := q.awaitUpdate(ctx, &stream{request: q}, c.ticket)
		switch u := update.(type) {
		case nil:
			c.abandon()
			if problem.Of(err) == problem.Stopping {
				c.rejection, c.retryAfter = err, stopRetryAfter
			}
			return inventory.Target{}, false
		case scheduler.Rejected:
			c.abandon()
			if u.Reason == string(dispatch.Limited) && unlimited == 0 {
				c.rejection, c.retryAfter = problem.New(problem.Overloaded, "%s", u.Reason), u.RetryAfter
			}
			return inventory.Target{}, false
		case scheduler.Assigned:
			c.assigned = u.Target
			if target, ok := c.accept(u.Target); ok {
				return target, true
			}
		}
	}
}

// ask requests the first target, or another one than the last.
func (c *limitedChoice) ask() error {
	q := c.request
	if c.ticket != nil {
		c.ticket.Reassign(scheduler.EngineFailure{Target: c.assigned})
		return nil
	}
	job, err := q.job()
	if err != nil {
		return err
	}
	job.Plain = true
	c.ticket = q.f.Scheduler.Submit(job)
	return nil
}

// accept returns the target with the ID, and false if the request must not be sent there.
func (c *limitedChoice) accept(id string) (inventory.Target, bool) {
	q := c.request
	f := q.f
	target, known := f.Inventory.Target(id)
	if !known || !target.Usable() || !target.HeldUntil.IsZero() || q.tried[id] {
		f.Log.Emit(event.TargetDeclined, "Request", q.headers.AttemptID, "Target", id, "Known", known, "Draining", target.Draining, "Leaving", target.Leaving, "Out", target.DataCentreOut,
			"HeldUntil", target.HeldUntil)
		f.reportNotice(id)
		return inventory.Target{}, false
	}
	if !f.TargetMemory.TryAdd(f.Clock.Now(), q.service, id, q.heldBytes()) {
		q.full = true
		return inventory.Target{}, false
	}
	q.assignedAt = f.Clock.Now()
	return target, true
}

// answered records that the last target answered.
func (c *limitedChoice) answered() {
	if c.ticket != nil {
		c.ticket.AnswerCompleted()
	}
}

// abandon makes this daemon choose the targets from now on.
func (c *limitedChoice) abandon() {
	c.close()
	c.abandoned = true
}

// close ends the work of the leader for the request.
func (c *limitedChoice) close() {
	if c.ticket != nil {
		c.ticket.Close()
		c.ticket = nil
	}
}

// limitWait returns the time until a target of the service takes a request of this daemon. It returns false unless all
// usable targets name rate limits of which the daemon has a share.
func (q *requestState) limitWait() (wait time.Duration, allLimited bool) {
	now := q.f.Clock.Now()
	if q.f.Limits.Empty() {
		return 0, false
	}
	for _, t := range q.f.Inventory.Targets(q.service) {
		if !t.Usable() {
			continue
		}
		left, allowed := q.f.Limits.Wait(now, t.ID, t.StartUnixMillis)
		if _, limited := q.f.Limits.Limit(t.ID, t.StartUnixMillis); !limited || !allowed {
			return 0, false
		}
		if !allLimited || left < wait {
			wait, allLimited = left, true
		}
	}
	return wait, allLimited
}
