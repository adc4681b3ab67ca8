// Package pace bounds the requests to a cold target by the rate that it bears.
//
// # Usage
//
//	var l pace.Limit
//	l.Set(now, perSecond, 0)
//	if l.Bears(now) {
//		l.Sent(now)
//	}
package pace

import (
	"time"

	"golang.org/x/time/rate"
)

// burst is the part of the requests of a second that a target may get at once; together
// with the rate it stays under the one and a half times that the platform allows.
const burst = 0.25

// Limiter is the bound of one target; the zero value has none.
type Limiter struct {
	limiter *rate.Limiter
}

// SetRate sets the rate in requests per second; 0 removes the bound. Spent is the part of the
// first requests, 0 to 1, that counts as sent when the bound begins: daemons that share a
// target draw it, so that their first requests don't meet.
func (l *Limiter) SetRate(now time.Time, perSecond, spent float64) {
	if perSecond <= 0 {
		l.limiter = nil
		return
	}
	limit := rate.Limit(perSecond)
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(limit, max(int(burst*perSecond), 1))
		if spent > 0 {
			ago := time.Duration((1 - spent) / perSecond * float64(time.Second))
			l.limiter.AllowN(now.Add(-ago), l.limiter.Burst())
		}
		return
	}
	if l.limiter.Limit() != limit {
		l.limiter.SetLimitAt(now, limit)
	}
}

// Allows reports whether the target may get one more request now.
func (l *Limiter) Allows(now time.Time) bool {
	return l.limiter == nil || l.limiter.TokensAt(now) >= 1
}

// RecordSend counts a request.
func (l *Limiter) RecordSend(now time.Time) {
	if l.limiter != nil {
		l.limiter.AllowN(now, 1)
	}
}
