package quarantine

import "time"

const (
	// crashesToQuarantineRequest is the number of crashes without an answer in between after which a request is
	// quarantined, and crashesOfAnswered the same number for a request that was answered before.
	crashesToQuarantineRequest = 3
	crashesOfAnswered          = 5
	// requestSuspicionLifetime is the time without a crash after which the earlier ones are forgotten.
	requestSuspicionLifetime = 10 * time.Minute
	// answeredRequestGeneration is the number of requests after which the older half of the answered requests is
	// forgotten.
	answeredRequestGeneration = 8192
)

// Crash is the end of a start of a target while it ran a request.
type Crash struct {
	Service string
	Request Fingerprint
	// Attempt is the ID of the client's attempt.
	Attempt string
	// Target is the ID of the target, Incarnation tells its start from others under this ID.
	Target      string
	Incarnation int64
}

// start identifies a start of a target.
type start struct {
	target      string
	incarnation int64
}

// requestEvidence is the evidence against requests. The zero value has none.
type requestEvidence struct {
	suspects map[Cause]*requestSuspect
	// recent and older are the requests that were answered lately.
	recent, older map[Fingerprint]struct{}
}

// requestSuspect is the evidence against one request.
type requestSuspect struct {
	crashes int
	// starts are the starts of targets that ended.
	starts map[start]bool
	// attempt is that of the last crash, which counted at crashedAt.
	attempt   string
	crashedAt time.Time
	// answered is set if a daemon had an answer to the request before the crashes.
	answered bool
}

// RecordRequestCrash records a crash that this daemon or another one has seen. News is whether the crash wasn't known; found
// is whether the request is quarantined from now on.
func (t *Tracker) RecordRequestCrash(c Crash) (news, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, cause := t.Clock.Now(), requestCause(c.Request)
	if t.holds(cause, now) {
		return false, false // the crash is explained
	}
	s := t.requests.suspect(cause, now)
	id := start{c.Target, c.Incarnation}
	if s.starts[id] {
		return false, false
	}
	s.starts[id] = true
	if s.crashes > 0 && c.Attempt != s.attempt && now.Sub(s.crashedAt) < minCrashInterval {
		return true, false
	}
	s.crashes++
	s.attempt, s.crashedAt = c.Attempt, now
	needed := crashesToQuarantineRequest
	if s.answered || t.requests.wasAnswered(c.Request) {
		needed = crashesOfAnswered
	}
	if s.crashes < needed {
		return true, false
	}
	t.hold(cause, now)
	return true, true
}

// RequestCrashes returns the number of crashes that count against a request.
func (t *Tracker) RequestCrashes(f Fingerprint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.requests.suspects[requestCause(f)]; s != nil {
		return s.crashes
	}
	return 0
}

// RecordRequestAnswer records that a target has answered a request. Cleared is whether there was evidence against it,
// released whether its quarantine ends.
func (t *Tracker) RecordRequestAnswer(f Fingerprint) (cleared, released bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests.addAnswered(f)
	if len(t.requests.suspects) == 0 && len(t.held) == 0 {
		return false, false
	}
	cleared = t.clear(f)
	_, released = t.held[requestCause(f)]
	delete(t.held, requestCause(f))
	return cleared, released
}

// ClearRequest removes the evidence against a request that another daemon has got an answer to, and reports whether there
// was any.
func (t *Tracker) ClearRequest(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clear(f)
}

func (t *Tracker) clear(f Fingerprint) bool {
	cause := requestCause(f)
	_, suspected := t.requests.suspects[cause]
	delete(t.requests.suspects, cause)
	return suspected
}

// WasAnswered reports whether this daemon had an answer to the request lately.
func (t *Tracker) WasAnswered(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests.wasAnswered(f)
}

// MarkAnswered records that a daemon had an answer to a suspected request before it crashed targets, and reports whether
// that is news.
func (t *Tracker) MarkAnswered(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.requests.suspects[requestCause(f)]
	if s == nil || s.answered {
		return false
	}
	s.answered = true
	return true
}

// BlocksRequest reports whether a request is quarantined.
func (t *Tracker) BlocksRequest(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held) > 0 && t.holds(requestCause(f), t.Clock.Now())
}

func requestCause(f Fingerprint) Cause { return Cause{ID: f.String(), Request: true} }

// suspect returns the evidence against a request, new evidence if there is none that still counts.
func (e *requestEvidence) suspect(c Cause, now time.Time) *requestSuspect {
	s := e.suspects[c]
	if s != nil && now.Sub(s.crashedAt) < requestSuspicionLifetime {
		return s
	}
	if e.suspects == nil {
		e.suspects = map[Cause]*requestSuspect{}
	}
	if s == nil && len(e.suspects) >= maxSuspects {
		e.forgetOldest()
	}
	s = &requestSuspect{starts: map[start]bool{}, crashedAt: now}
	e.suspects[c] = s
	return s
}

// expect makes the next crash quarantine a request again whose quarantine has ended.
func (e *requestEvidence) expect(c Cause, now time.Time) {
	e.suspect(c, now).crashes = crashesToQuarantineRequest - 1
}

func (e *requestEvidence) forgetOldest() {
	var oldest Cause
	for c, s := range e.suspects {
		if o := e.suspects[oldest]; o == nil || s.crashedAt.Before(o.crashedAt) {
			oldest = c
		}
	}
	delete(e.suspects, oldest)
}

func (e *requestEvidence) addAnswered(f Fingerprint) {
	if e.recent == nil || len(e.recent) >= answeredRequestGeneration {
		e.recent, e.older = map[Fingerprint]struct{}{}, e.recent
	}
	e.recent[f] = struct{}{}
}

func (e *requestEvidence) wasAnswered(f Fingerprint) bool {
	if _, ok := e.recent[f]; ok {
		return true
	}
	_, ok := e.older[f]
	return ok
}
