// Package quarantine finds prompt parts that crash engines and requests that crash targets, and tells which requests
// must not be sent to any target because of them. It does no I/O.
//
// # Parts
//
// An engine serves many requests at a time, and all of them break off when it crashes. What tells
// the part that caused it from the others is that no request with it is ever answered. Evidence
// against a part is therefore a crash of an engine that has begun to answer a request with it
// and has sent no event yet; an answered request clears all its parts. A part is quarantined after
// several crashes without an answer in between, provided that engines of the service answer other
// requests meanwhile: during an outage of the service, nothing can clear a part. Answers take a
// while, so that parts which all requests of a kind share may have the same evidence by then; of
// these, it is one that was never answered before, and the one that came in the fewest requests.
//
// The last part of a prompt belongs to one request or session and isn't tracked.
//
// # Requests
//
// A request that crashes each target that begins to run it comes again with the same fingerprint. Evidence against it is
// a start of a target that ended while it ran the request. The others that were broken off with it differ
// in their fingerprints; the same request may run at several targets that end at once for another reason, so that crashes
// at the same time count once, unless they are those of one attempt, which goes to one target after the other. An
// answered request is cleared. Answers aren't waited for, since a service may have no target left that could give one.
//
// # Usage
//
//	t := &quarantine.Tracker{Clock: clock}
//	t.RecordRequest(service, parts)
//	changed, found := t.RecordCrash(service, parts) // report them to the other daemons
//	t.RecordAnswer(service, parts)
//	if part, blocked := t.Blocks(service, parts); blocked { ... }
//
//	f := quarantine.FingerprintOf(account, method, host, uri, body)
//	news, found := t.RecordRequestCrash(quarantine.Crash{Request: f, Attempt: id, Target: target, Incarnation: start})
//	if t.BlocksRequest(f) { ... }
package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// crashesToQuarantine is the number of crashes without an answer in between after which a
	// part is quarantined.
	crashesToQuarantine = 3
	// crashesWithoutDistinction is the same number for parts that were answered before, and for several
	// parts of which nothing tells which one is fatal.
	crashesWithoutDistinction = 6
	// minOtherAnswers is the number of other requests of the service that must be answered
	// between the first of these crashes and the last.
	minOtherAnswers = 3
	// minCrashInterval is the time after a crash within which others count as the same one: a
	// failure of the network breaks off the answers of many engines at once.
	minCrashInterval = 150 * time.Millisecond
	// suspicionLifetime is the time without a crash after which the earlier ones are forgotten.
	suspicionLifetime = 2 * time.Minute
	// holdTime is how long a part is quarantined after it was learned of. Requests with it are
	// then sent again, since the engines may have been repaired.
	holdTime = 10 * time.Minute
	// answeredGeneration is the number of parts after which the older half of the answered parts is
	// forgotten.
	answeredGeneration = 4096
	// maxSuspects limits the memory for suspected parts; those with the oldest crashes are
	// forgotten first.
	maxSuspects = 4096
)

// Cause is what crashes targets: a part of the prompts of a service, or a request.
type Cause struct {
	// Service is empty for a request, which may go to several services.
	Service string
	// ID is that of the part, or the fingerprint of the request.
	ID string
	// Request is set for a request.
	Request bool `json:",omitempty"`
}

// Suspicion is the evidence against a part of prompts; no crashes mean that it was cleared.
type Suspicion struct {
	Cause   Cause
	Crashes int
}

// Tracker holds the suspected and the quarantined parts and requests. Only its Clock is required. It is safe
// for concurrent use.
type Tracker struct {
	Clock clockwork.Clock

	mu       sync.Mutex
	suspects map[Cause]*suspect
	// held is when the quarantine of a part or a request ends.
	held map[Cause]time.Time
	// requests is the evidence against requests.
	requests requestEvidence
	// answers is the number of answered requests by service, answered are the parts of the last ones.
	answers  map[string]int
	answered answeredParts
}

// answeredParts are the parts of recently answered requests. The zero value has none.
type answeredParts struct {
	recent, older map[Cause]bool
}

func (a *answeredParts) add(p Cause) {
	if a.recent == nil || len(a.recent) >= answeredGeneration {
		a.recent, a.older = map[Cause]bool{}, a.recent
	}
	a.recent[p] = true
}

func (a *answeredParts) has(p Cause) bool { return a.recent[p] || a.older[p] }

// suspect is the evidence against one part.
type suspect struct {
	crashes   int
	crashedAt time.Time
	// requests is the number of requests with the part since the first crash.
	requests int
	// answersBefore is the number of answered requests of the service at the first crash.
	answersBefore int
}

// RecordCrash records that an engine crashed when it began to answer a request with the parts. It
// returns the parts whose evidence has changed, and those that are quarantined from now on.
func (t *Tracker) RecordCrash(service string, parts []string) (changed []Suspicion, found []Cause) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	shared := sharedParts(service, parts)
	for _, p := range shared {
		if t.holds(p, now) {
			return nil, nil // the crash is explained
		}
	}
	for _, p := range shared {
		s := t.suspect(p, now)
		if s.crashes > 0 && now.Sub(s.crashedAt) < minCrashInterval {
			continue
		}
		s.crashes++
		s.crashedAt = now
		changed = append(changed, Suspicion{Cause: p, Crashes: s.crashes})
	}
	if len(changed) == 0 {
		return nil, nil
	}
	found = t.fatalParts(service, shared)
	for _, p := range found {
		t.hold(p, now)
	}
	return changed, found
}

// fatalParts returns the parts of a crash to quarantine. Several may have enough evidence, since
// answers that would clear the sound ones take a while. Of these it is one that was never answered
// before, and the one that came in the fewest requests.
func (t *Tracker) fatalParts(service string, shared []Cause) []Cause {
	var likeliest []Cause
	crashes := 0
	for _, p := range shared {
		s := t.suspects[p]
		if s == nil || s.crashes < crashesToQuarantine || t.answers[service]-s.answersBefore < minOtherAnswers {
			continue
		}
		switch order := t.compareSuspects(p, likeliest); {
		case order < 0:
			likeliest, crashes = []Cause{p}, s.crashes
		case order == 0:
			likeliest, crashes = append(likeliest, p), max(crashes, s.crashes)
		}
	}
	if len(likeliest) == 0 {
		return nil
	}
	if (len(likeliest) > 1 || t.answered.has(likeliest[0])) && crashes < crashesWithoutDistinction {
		return nil
	}
	return likeliest
}

// compareSuspects returns a negative number if the part is more likely to be fatal than the
// others, which are equally likely, a positive one if less, and 0 if nothing tells them apart.
func (t *Tracker) compareSuspects(p Cause, others []Cause) int {
	if len(others) == 0 {
		return -1
	}
	rank := func(p Cause) int {
		if t.answered.has(p) {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(rank(p), rank(others[0])), cmp.Compare(t.suspects[p].requests, t.suspects[others[0]].requests))
}

// RecordRequest records that a request with the parts has come.
func (t *Tracker) RecordRequest(service string, parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspects) == 0 {
		return
	}
	for _, p := range sharedParts(service, parts) {
		if s := t.suspects[p]; s != nil {
			s.requests++
		}
	}
}

// RecordAnswer records that a request with the parts was answered completely. It returns the parts
// that were cleared, and those whose quarantine ends because of it.
func (t *Tracker) RecordAnswer(service string, parts []string) (cleared []Suspicion, released []Cause) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answers == nil {
		t.answers = map[string]int{}
	}
	t.answers[service]++
	for _, p := range sharedParts(service, parts) {
		t.answered.add(p)
		if t.suspects[p] != nil {
			delete(t.suspects, p)
			cleared = append(cleared, Suspicion{Cause: p})
		}
		if _, held := t.held[p]; held {
			delete(t.held, p)
			released = append(released, p)
		}
	}
	return cleared, released
}

// Inherit replaces the evidence against a part by that of another daemon.
func (t *Tracker) Inherit(s Suspicion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Crashes == 0 {
		delete(t.suspects, s.Cause)
		return
	}
	now := t.Clock.Now()
	own := t.suspect(s.Cause, now)
	own.crashes, own.crashedAt = s.Crashes, now
}

// Hold quarantines what another daemon has found. It reports whether that is a change.
func (t *Tracker) Hold(p Cause) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	if t.holds(p, now) {
		return false
	}
	t.hold(p, now)
	return true
}

// Release ends a quarantine. It reports whether that is a change.
func (t *Tracker) Release(p Cause) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, held := t.held[p]
	delete(t.held, p)
	return held
}

// Blocks returns a quarantined part of a request, and false if it has none.
func (t *Tracker) Blocks(service string, parts []string) (Cause, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.held) == 0 {
		return Cause{}, false
	}
	now := t.Clock.Now()
	for _, p := range sharedParts(service, parts) {
		if t.holds(p, now) {
			return p, true
		}
	}
	return Cause{}, false
}

// Held returns what is quarantined, sorted by service and ID.
func (t *Tracker) Held() []Cause {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	var list []Cause
	for p := range t.held {
		if t.holds(p, now) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// RemoveExpired ends the quarantines that are over and returns them. The next crash with the same cause quarantines it
// again.
func (t *Tracker) RemoveExpired() []Cause {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	var expired []Cause
	for p := range t.held {
		if t.holds(p, now) {
			continue
		}
		delete(t.held, p)
		if p.Request {
			t.requests.expect(p, now)
			expired = append(expired, p)
			continue
		}
		s := t.suspect(p, now)
		s.crashes, s.crashedAt = crashesToQuarantine-1, now.Add(-minCrashInterval)
		expired = append(expired, p)
	}
	return expired
}

func (t *Tracker) holds(p Cause, now time.Time) bool {
	until, held := t.held[p]
	return held && now.Before(until)
}

func (t *Tracker) hold(p Cause, now time.Time) {
	if t.held == nil {
		t.held = map[Cause]time.Time{}
	}
	t.held[p] = now.Add(holdTime)
	delete(t.suspects, p)
	delete(t.requests.suspects, p)
}

// suspect returns the evidence against a part, new evidence if there is none that still counts.
func (t *Tracker) suspect(p Cause, now time.Time) *suspect {
	s := t.suspects[p]
	if s != nil && now.Sub(s.crashedAt) < suspicionLifetime {
		return s
	}
	if t.suspects == nil {
		t.suspects = map[Cause]*suspect{}
	}
	if s == nil && len(t.suspects) >= maxSuspects {
		t.forgetOldest()
	}
	s = &suspect{answersBefore: t.answers[p.Service], crashedAt: now}
	t.suspects[p] = s
	return s
}

func (t *Tracker) forgetOldest() {
	var oldest Cause
	var at time.Time
	for p, s := range t.suspects {
		if at.IsZero() || s.crashedAt.Before(at) {
			oldest, at = p, s.crashedAt
		}
	}
	delete(t.suspects, oldest)
}

// sharedParts returns the distinct parts of a prompt that other requests may share, which are all
// but the last.
func sharedParts(service string, parts []string) []Cause {
	if len(parts) < 2 {
		return nil
	}
	list := make([]Cause, 0, len(parts)-1)
	for _, id := range parts[:len(parts)-1] {
		if p := (Cause{Service: service, ID: id}); !slices.Contains(list, p) {
			list = append(list, p)
		}
	}
	return list
}
