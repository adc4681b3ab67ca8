package targetmemory

import "time"

const (
	// usableShare is the share of the bound up to which targets are filled. The sum at an end includes
	// the request that was too much, which is at most some tenths of it.
	usableShare = 0.9
	// suspiciousShare is the share of the largest sum, with which targets have answered, that a target must
	// have held for its end to count at all.
	suspiciousShare = 0.5
	// suspicionWindow is the time within which a second end counts although targets seem to have answered
	// with as much: that sum may be wrong, since counts are late. Ends for lack of memory follow each other
	// within seconds while the load lasts.
	suspicionWindow = 10 * time.Second
	// lowerFactor is the step by which such an end lowers the bound. A wrong one costs little, and counts
	// that are half too high are corrected in three steps.
	lowerFactor = 0.85
	// minEndInterval is the time after an end within which others count as the same one: a failure of a
	// zone ends many targets at once.
	minEndInterval = time.Second
	// firstHold is how long the bound that the first end teaches is in force. Each further end doubles
	// the time, up to maxHold, at which the search for the bound costs one target in that time.
	firstHold = 30 * time.Second
	maxHold   = 10 * time.Minute
	// raiseFactor is the step by which a bound that several ends have confirmed is raised after its hold.
	raiseFactor = 1.1
	// answerLifetime is how long an answer tells with which sums targets answer. A later version of the
	// service may need more memory.
	answerLifetime = 5 * time.Minute
	// endLifetime is the time without an end after which the earlier ones are forgotten.
	endLifetime = 30 * time.Minute
)

// estimate is what is known of the bound of the targets of one service.
type estimate struct {
	// seen is the largest sum with which a target seems to have answered lately, at seenAt.
	seen   int64
	seenAt time.Time
	// suspectedAt is when a target ended last that held much, but not more than targets have answered with.
	suspectedAt time.Time
	// bound is the sum that targets must not reach, 0 if none is known, until the time holdUntil.
	bound     int64
	holdUntil time.Time
	ends      int
	endedAt   time.Time
}

// hold returns how long the bound is in force after the last end.
func (e *estimate) hold() time.Duration {
	hold := firstHold
	for n := 1; n < e.ends && hold < maxHold; n++ {
		hold *= 2
	}
	return min(hold, maxHold)
}

// RecordAnswer records that a target of the service has answered with what it holds now.
func (t *Tracker) RecordAnswer(now time.Time, service, id string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.estimate(service)
	h := t.get(id).held(now)
	if h.Most >= e.seen || now.Sub(e.seenAt) > answerLifetime {
		e.seen, e.seenAt = h.Most, now
	}
	if e.bound > 0 && h.Least > e.bound {
		t.setBound(service, e, h.Least)
	}
}

// learnEnd learns from a target that has ended while it held at most the sum.
func (t *Tracker) learnEnd(now time.Time, service string, most int64) {
	e := t.estimate(service)
	known := t.current(now, service, e)
	if known == 0 && now.Sub(e.seenAt) <= answerLifetime {
		known = e.seen
	}
	if e.ends > 0 && now.Sub(e.endedAt) < minEndInterval || float64(most) < suspiciousShare*float64(known) {
		return // the same end, or one for another reason
	}
	bound := most
	if most <= known {
		alone := now.Sub(e.suspectedAt) > suspicionWindow
		e.suspectedAt = now
		if alone {
			return
		}
		bound = int64(lowerFactor * float64(known))
	} else if e.bound > 0 {
		bound = e.bound // late counts have let targets be filled beyond it
	}
	if now.Sub(e.endedAt) > endLifetime {
		e.ends = 0
	}
	e.ends++
	e.endedAt = now
	e.holdUntil = now.Add(e.hold())
	e.suspectedAt = now
	t.setBound(service, e, bound)
}

// current returns the bound in force, and raises or drops one whose hold is over.
func (t *Tracker) current(now time.Time, service string, e *estimate) int64 {
	for e.bound > 0 && now.After(e.holdUntil) {
		if e.ends < 2 || now.Sub(e.endedAt) > endLifetime {
			t.setBound(service, e, 0)
			break
		}
		e.holdUntil = e.holdUntil.Add(e.hold())
		t.setBound(service, e, int64(float64(e.bound)*raiseFactor))
	}
	return e.bound
}

// Bounds returns the bounds in force, by service.
func (t *Tracker) Bounds(now time.Time) map[string]int64 {
	bounds := map[string]int64{}
	if t == nil {
		return bounds
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, e := range t.services {
		if b := t.current(now, service, e); b > 0 {
			bounds[service] = b
		}
	}
	return bounds
}

func (t *Tracker) setBound(service string, e *estimate, bound int64) {
	e.bound = bound
	if t.Learned != nil {
		t.Learned(service, bound)
	}
}

// estimate returns the state of a service. The caller holds the mutex.
func (t *Tracker) estimate(service string) *estimate {
	if t.services == nil {
		t.services = map[string]*estimate{}
	}
	e := t.services[service]
	if e == nil {
		e = &estimate{}
		t.services[service] = e
	}
	return e
}
