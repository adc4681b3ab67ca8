// Package pace limits the rate of requests to a target. A cold target handles only a low request rate for some time
// after its start, and a busy target may name the rate that it takes.
//
// # Usage
//
//	var l pace.Limiter
//	l.SetRate(now, perSecond, 0)
//	if l.Allows(now) {
//		l.RecordSend(now)
//	}
package pace

import (
	"time"

	"golang.org/x/time/rate"
)

// burstSeconds is the size of a burst, in seconds of the allowed rate. A burst and the requests
// of the following second stay below 1.5 times the rate, which is the most that the platform
// allows.
const burstSeconds = 0.25

// Limiter limits the requests to one target. The zero value doesn't limit them.
type Limiter struct {
	limiter *rate.Limiter
}

// SetRate sets the rate in requests per second; 0 removes the limit. Spent, from 0 to 1, matters
// only when a limit begins: if it is above 0, the first request is allowed after spent/perSecond
// seconds and there is no initial burst. Daemons that share a target pass a random value, so
// that they don't send their first requests at the same time.
func (l *Limiter) SetRate(now time.Time, perSecond, spent float64) {
	if perSecond <= 0 {
		l.limiter = nil
		return
	}
	limit := rate.Limit(perSecond)
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(limit, burst(perSecond))
		if spent > 0 {
			ago := time.Duration((1 - spent) / perSecond * float64(time.Second))
			l.limiter.AllowN(now.Add(-ago), l.limiter.Burst())
		}
		return
	}
	if l.limiter.Limit() != limit {
		l.limiter.SetLimitAt(now, limit)
		l.limiter.SetBurstAt(now, burst(perSecond))
	}
}

// maxBurst is the largest size of a burst. It lies above any number of requests that a daemon can send in burstSeconds.
const maxBurst = 1 << 20

// burst returns the size of a burst at a rate.
func burst(perSecond float64) int { return max(int(min(burstSeconds*perSecond, maxBurst)), 1) }

// Allows reports whether one more request may be sent now.
func (l *Limiter) Allows(now time.Time) bool {
	return l.limiter == nil || l.limiter.TokensAt(now) >= 1
}

// Wait returns the time until one more request may be sent, 0 if it may be sent now.
func (l *Limiter) Wait(now time.Time) time.Duration {
	if l.Allows(now) {
		return 0
	}
	missing := 1 - l.limiter.TokensAt(now)
	return time.Duration(missing / float64(l.limiter.Limit()) * float64(time.Second))
}

// RecordSend counts a request as sent. A request that wasn't allowed delays the following ones.
func (l *Limiter) RecordSend(now time.Time) {
	if l.limiter != nil {
		l.limiter.ReserveN(now, 1)
	}
}
