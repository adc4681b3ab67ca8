package placement

import (
	"math"
	"time"
)

// allowsRate reports whether the rate limits of an engine, the one while it is cold and the one that it names, allow one
// more request now.
func (s *Selector) allowsRate(now time.Time, e *engine) bool {
	return e.coldLimiter.Allows(now) && s.Limits.Allows(now, e.ID, e.Incarnation)
}

func (s *Selector) recordSend(now time.Time, e *engine) {
	e.coldLimiter.RecordSend(now)
	s.Limits.RecordSend(now, e.ID, e.Incarnation)
}

// HeldByRate reports whether an engine would accept the request if its rate limits allowed it. After Choose has returned
// false, the request can then be sent later.
func (s *Selector) HeldByRate(now time.Time, r Request) bool {
	for _, e := range s.byService[r.Service] {
		if s.accepts(now, e, r) && !s.allowsRate(now, e) {
			return true
		}
	}
	return false
}

// NoShare is the wait for limits of which this daemon has no share.
const NoShare = time.Duration(math.MaxInt64)

// RateWait returns the time until the limits that engines name allow the request after the given number of others, or
// NoShare. It returns false if that isn't known, since an engine that accepts the request names no limit, or none
// accepts it.
func (s *Selector) RateWait(now time.Time, r Request, ahead int) (wait time.Duration, known bool) {
	perSecond, first, accepted := 0.0, NoShare, false
	for _, e := range s.byService[r.Service] {
		if !s.accepts(now, e, r) {
			continue
		}
		rate, limited := s.Limits.Rate(e.ID, e.Incarnation)
		if !limited {
			return 0, false
		}
		accepted = true
		if next, allowed := s.Limits.Wait(now, e.ID, e.Incarnation); allowed {
			first = min(first, next)
		}
		perSecond += rate
	}
	if first == NoShare || perSecond <= 0 {
		return NoShare, accepted
	}
	return first + time.Duration(float64(ahead)/perSecond*float64(time.Second)), true
}
