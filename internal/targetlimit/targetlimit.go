// Package targetlimit holds the rate limits that targets name in their answers, and counts the requests of this daemon
// against them. It does no I/O; the time is an argument.
//
// A target that needs relief names the rate of requests that it takes from all hosts together. The limit holds for the
// start of the target that named it, until an answer of that start to a later request names none. Answers
// overtake each other and reach the daemons at different times, so that each notice has the times of its
// request and of its answer.
//
// The leader chooses the targets of the requests of all daemons that it can reach, so that it counts all of them. What a
// daemon may send otherwise is a share of the limit, see Table.Share.
//
// # Usage
//
//	table := targetlimit.Table{Share: share}
//	news, due := table.Record(targetlimit.Notice{Target: id, Incarnation: start, PerSecond: 2, SentAt: sent, At: now})
//	if table.Allows(now, id, start) {
//		table.RecordSend(now, id, start)
//	}
package targetlimit

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/pace"
)

const (
	// minPerSecond is the least rate in requests per second that is used: the end of a limit shows only in an answer.
	minPerSecond = 0.1
	// endRetention is how long the end of a limit is remembered, so that a late notice doesn't renew it.
	endRetention = 10 * time.Second
	// reportInterval is the time after which a notice of a limit, or of its end, is due for other daemons although it
	// is no news, since messages may be lost.
	reportInterval = time.Second
	// malformedInterval is the least time between two malformed limits of a target that are reported.
	malformedInterval = 10 * time.Second
	// maxTargets bounds the number of targets; the one whose notice is oldest is forgotten first.
	maxTargets = 4096
)

// Notice is what an answer of a target says of its limit.
type Notice struct {
	Target string
	// Incarnation tells the target's start from others under its ID.
	Incarnation int64
	// PerSecond is the limit in requests per second, 0 if the answer names none.
	PerSecond float64
	// SentAt is when the request was sent, At when its answer was received, by the clock of this daemon.
	SentAt, At time.Time
	// Source is the host of the daemon that received the answer.
	Source string
}

// Limit is the limit of a start of a target.
type Limit struct {
	Target      string
	Incarnation int64
	// PerSecond is the limit in requests per second.
	PerSecond float64
	// Since is when a limit was first named, NamedAt when the last answer named it.
	Since, NamedAt time.Time
	// Source is the host of the daemon that received the first answer with this rate.
	Source string
}

// Table holds the limits of targets. The zero value is empty, a nil table holds nothing. It is safe for concurrent
// use.
type Table struct {
	// Share returns the share of a limit that this daemon may use, from 0 to 1; nil means all of it.
	Share func() float64

	mu      sync.Mutex
	targets map[string]*state
	// malformedAt holds the times of the last malformed limits that were reported.
	malformedAt map[string]time.Time
}

// state is the limit of one target.
type state struct {
	limit Limit
	// endedAt is when an answer without a limit was received, zero while the limit holds.
	endedAt time.Time
	// reportedAt is when other daemons were last told.
	reportedAt time.Time
	limiter    pace.Limiter
}

func (s *state) holds() bool { return s.endedAt.IsZero() }

// Record stores a notice. News is whether a limit has begun, changed or ended; due is whether other daemons should be
// told, which is also the case from time to time without news.
func (t *Table) Record(n Notice) (news, due bool) {
	if t == nil {
		return false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[n.Target]
	if s != nil && s.limit.Incarnation > n.Incarnation {
		return false, false
	}
	if s == nil || s.limit.Incarnation < n.Incarnation {
		if s != nil && n.PerSecond <= 0 {
			delete(t.targets, n.Target)
		}
		if n.PerSecond <= 0 {
			return false, false
		}
		t.put(n)
		return true, true
	}
	if n.PerSecond > 0 {
		news = s.name(n)
	} else {
		news = s.end(n)
	}
	due = news || n.At.Sub(s.reportedAt) >= reportInterval && s.agrees(n)
	if due {
		s.reportedAt = n.At
	}
	if !s.holds() && n.At.Sub(s.endedAt) > endRetention {
		delete(t.targets, n.Target)
	}
	return news, due
}

// name applies a notice with a limit and reports whether that is news.
func (s *state) name(n Notice) bool {
	switch {
	case !s.holds():
		if !n.At.After(s.endedAt) {
			return false
		}
		s.endedAt = time.Time{}
		s.limit.Since = n.At
	case n.At.Before(s.limit.NamedAt):
		return false
	case n.PerSecond == s.limit.PerSecond:
		s.limit.NamedAt = n.At
		return false
	}
	s.limit.PerSecond, s.limit.NamedAt, s.limit.Source = n.PerSecond, n.At, n.Source
	return true
}

// end applies a notice without a limit and reports whether that is news. It must answer a request that was sent after
// the limit was last named: answers overtake each other.
func (s *state) end(n Notice) bool {
	if !s.holds() || !n.SentAt.After(s.limit.NamedAt) {
		return false
	}
	s.endedAt = n.At
	return true
}

// agrees reports whether the state is what the notice says.
func (s *state) agrees(n Notice) bool {
	return s.holds() && n.PerSecond == s.limit.PerSecond || !s.holds() && n.PerSecond <= 0
}

// put adds the limit of a target and bounds their number. The caller holds mu.
func (t *Table) put(n Notice) {
	if t.targets == nil {
		t.targets = map[string]*state{}
	}
	if len(t.targets) >= maxTargets && t.targets[n.Target] == nil {
		oldest := ""
		for id, s := range t.targets {
			if oldest == "" || s.limit.NamedAt.Before(t.targets[oldest].limit.NamedAt) {
				oldest = id
			}
		}
		delete(t.targets, oldest)
	}
	t.targets[n.Target] = &state{reportedAt: n.At, limit: Limit{Target: n.Target, Incarnation: n.Incarnation, PerSecond: n.PerSecond, Since: n.At, NamedAt: n.At, Source: n.Source}}
}

// RecordMalformed records that a target has named a malformed limit, and reports whether to log it.
func (t *Table) RecordMalformed(now time.Time, target string) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if at, ok := t.malformedAt[target]; ok && now.Sub(at) < malformedInterval {
		return false
	}
	if t.malformedAt == nil || len(t.malformedAt) >= maxTargets {
		t.malformedAt = map[string]time.Time{}
	}
	t.malformedAt[target] = now
	return true
}

// Limit returns the limit of a start of a target, and false if it has none.
func (t *Table) Limit(target string, incarnation int64) (Limit, bool) {
	if t == nil {
		return Limit{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.find(target, incarnation); s != nil {
		return s.limit, true
	}
	return Limit{}, false
}

// Empty reports whether no limit is known.
func (t *Table) Empty() bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.targets) == 0
}

// Limits returns the limits in force, sorted by target.
func (t *Table) Limits() []Limit {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Limit
	for _, id := range slices.Sorted(maps.Keys(t.targets)) {
		if s := t.targets[id]; s.holds() {
			list = append(list, s.limit)
		}
	}
	return list
}

// Rate returns the rate of requests per second that this daemon may send to a start of a target, and false if it has no
// limit.
func (t *Table) Rate(target string, incarnation int64) (perSecond float64, limited bool) {
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.find(target, incarnation); s != nil {
		return s.rate(t.share()), true
	}
	return 0, false
}

// Allows reports whether this daemon may send one more request to a start of a target now.
func (t *Table) Allows(now time.Time, target string, incarnation int64) bool {
	wait, allowed := t.Wait(now, target, incarnation)
	return allowed && wait == 0
}

// Wait returns the time until this daemon may send one more request to a start of a target. It returns false if the
// daemon has no share of the limit.
func (t *Table) Wait(now time.Time, target string, incarnation int64) (wait time.Duration, allowed bool) {
	if t == nil {
		return 0, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(target, incarnation)
	if s == nil {
		return 0, true
	}
	if !s.update(now, t.share()) {
		return 0, false
	}
	return s.limiter.Wait(now), true
}

// RecordSend counts a request of this daemon to a start of a target.
func (t *Table) RecordSend(now time.Time, target string, incarnation int64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.find(target, incarnation); s != nil && s.update(now, t.share()) {
		s.limiter.RecordSend(now)
	}
}

// find returns the state of a start of a target if it has a limit, otherwise nil. The caller holds mu.
func (t *Table) find(target string, incarnation int64) *state {
	if s := t.targets[target]; s != nil && s.limit.Incarnation == incarnation && s.holds() {
		return s
	}
	return nil
}

func (t *Table) share() float64 {
	if t.Share == nil {
		return 1
	}
	return t.Share()
}

// rate returns the rate in requests per second for a share of the limit.
func (s *state) rate(share float64) float64 { return max(s.limit.PerSecond, minPerSecond) * share }

// update sets the rate of the limiter, and reports whether the share allows any requests. Daemons that share a limit
// begin at random times.
func (s *state) update(now time.Time, share float64) bool {
	perSecond := s.rate(share)
	if perSecond <= 0 {
		return false
	}
	spent := 0.0
	if share < 1 {
		spent = rand.Float64()
	}
	s.limiter.SetRate(now, perSecond, spent)
	return true
}
