package dispatch

import "time"

// A target may name the number of requests per second that it takes. Each call and each request that frees results counts.

// notAllowedFor is how far ahead a target counts as unavailable of whose limit this planner has no share.
const notAllowedFor = forecastHorizon

// allowedAt returns the first time from at on at which the rate limit of the target allows a call.
func (t *targetState) allowedAt(now, at time.Time) time.Time {
	wait, allowed := t.pool.limits.Wait(now, t.ID, t.Incarnation)
	if !allowed {
		wait = notAllowedFor
	}
	if next := now.Add(wait); next.After(at) {
		return next
	}
	return at
}

// limitedShare returns the share of its time for which the target may run full calls at the usual speed, from above 0 to
// 1. Without a rate limit it is 1.
func (t *targetState) limitedShare() float64 {
	perSecond, limited := t.pool.limits.Rate(t.ID, t.Incarnation)
	if !limited {
		return 1
	}
	b := t.pool.batch
	fullCall := b.CallTime + time.Duration(b.MaxPieces)*b.PieceTime
	return min(max(perSecond*fullCall.Seconds(), leastShare), 1)
}

// leastShare is the least value of limitedShare.
const leastShare = 0.001
