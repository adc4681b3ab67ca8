// Package targetmemory tells which requests a target can still hold. A target crashes if the requests that it
// holds exceed its memory, whose size it doesn't report. The package counts what each target holds over all
// daemons, and learns for each service a bound from targets that end and from targets that answer. It does no
// I/O and reads no clock.
//
// A target that ends while it holds more than targets of the service have answered with lately shows that the
// bound lies below that sum. Targets also end for other reasons: an end with less counts only if the target
// held much and another one ended like it within seconds, and then lowers the bound by a step. The first end
// that counts restricts the service for a short time only, each further one for twice as long; then the bound
// is raised in steps. An answer of a target that holds more than the bound raises it at once.
//
// Counts of other daemons are late. A sum is therefore a range: its lower end counts for answers, its upper
// end for ends of targets and for new requests. A daemon may always use an equal share of the bound, among those
// that held requests at the target in the last seconds, so that shares of all don't exceed it however late the
// counts are. It may use more if the others have used much less than theirs.
//
// # Usage
//
//	t := &targetmemory.Tracker{}
//	if !t.TryAdd(now, service, target, size) { ... } // choose another target
//	t.RecordAnswer(now, service, target) // or t.RecordFailure(now, target)
//	t.Remove(target, size)
//	t.Receive(now, host, held)           // counts of another daemon
//	t.SetTargets(now, targets)           // finds those that have ended
//
// A nil *Tracker counts nothing and lets everything fit.
package targetmemory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// reportLifetime is the time after which the report of a daemon is too old to prove that a target
	// holds its requests; staleLifetime that after which it doesn't count any more. Reports come every
	// 500 ms.
	reportLifetime = 1200 * time.Millisecond
	staleLifetime  = 3 * time.Second
	// shareWindow is the length of each of the two windows in which a daemon that held requests at a
	// target keeps its share.
	shareWindow = 5 * time.Second
	// lateFactor is how many times its largest report another daemon may hold by now.
	lateFactor = 2
	// peakWindow is the length of each of the two windows of which the largest sum is kept.
	peakWindow = time.Second
	// failureLifetime is the time within which the end of a target must become known after a request to
	// it has failed, for the sum at the failure to count. Its row in the store ends some seconds later.
	failureLifetime = 20 * time.Second
	// minReportedBytes is the least sum at a target that is reported to other daemons, and
	// maxReportedTargets the number of targets in a report, which bounds its size.
	minReportedBytes   = 64 << 10
	maxReportedTargets = 16
)

// Tracker holds the counts and the learned bounds. The zero value has none. Sums are in any unit, such as
// bytes or tokens, that is the same for all requests of a service. It is safe for concurrent use.
type Tracker struct {
	// Learned is called when the bound of a service was learned or changed, if set; 0 means that there
	// is none any more. It must not block nor call the tracker.
	Learned func(service string, bound int64)

	mu       sync.Mutex
	targets  map[string]*target
	services map[string]*estimate
	reported map[string]int64
}

// Target is a listed target.
type Target struct {
	ID      string
	Service string
	// Incarnation tells the starts of a target apart.
	Incarnation int64
	// Leaving is set if the target is about to end as planned.
	Leaving bool
}

// target is what is known of one target.
type target struct {
	listed Target
	// own is the sum of this daemon; recent and older are the largest sums over all daemons in two
	// windows, of which that of recent began at since.
	own           int64
	recent, older int64
	since         time.Time
	others        map[string]otherCount
	// failedAt is when a request failed first, failedWith the sum at that time.
	failedAt   time.Time
	failedWith int64
}

// otherCount holds the last two reports of another daemon.
type otherCount struct {
	last, previous int64
	at             time.Time
	// recent and older are the largest counts of two windows, of which that of recent began at since.
	recent, older int64
	since         time.Time
}

// add records a report.
func (o otherCount) add(now time.Time, n int64) otherCount {
	o.previous, o.last, o.at = o.last, n, now
	if now.Sub(o.since) > shareWindow {
		o.recent, o.older, o.since = 0, o.recent, now
	}
	o.recent = max(o.recent, n)
	return o
}

// peak returns the largest count of the windows, 0 if that is long ago.
func (o otherCount) peak(now time.Time) int64 {
	if now.Sub(o.at) > 2*shareWindow {
		return 0
	}
	return max(o.recent, o.older)
}

// Held is the range of what a target holds.
type Held struct {
	Least, Most int64
	// Daemons is the number of other daemons that held requests there in the last seconds, and Peaks the
	// sum of the most that each of them held.
	Daemons int
	Peaks   int64
}

// get returns the state of a target. The caller holds the mutex.
func (t *Tracker) get(id string) *target {
	if t.targets == nil {
		t.targets = map[string]*target{}
	}
	s := t.targets[id]
	if s == nil {
		s = &target{others: map[string]otherCount{}}
		t.targets[id] = s
	}
	return s
}

// held returns the range of the sum and updates the peaks.
func (s *target) held(now time.Time) Held {
	h := Held{Least: s.own, Most: s.own}
	for host, o := range s.others {
		age, peak := now.Sub(o.at), o.peak(now)
		if peak == 0 {
			delete(s.others, host)
			continue
		}
		h.Daemons++
		h.Peaks += peak
		if age > staleLifetime {
			continue
		}
		h.Most += max(o.last, o.previous)
		if age <= reportLifetime {
			h.Least += min(o.last, o.previous)
		}
	}
	switch age := now.Sub(s.since); {
	case age > 2*peakWindow:
		s.recent, s.older, s.since = 0, 0, now
	case age > peakWindow:
		s.recent, s.older, s.since = 0, s.recent, now
	}
	s.recent = max(s.recent, h.Most)
	return h
}

// peak returns the largest sum of the last one or two windows.
func (s *target) peak(now time.Time) int64 {
	s.held(now)
	return max(s.recent, s.older)
}

// Add counts a request of this daemon that is sent to a target.
func (t *Tracker) Add(now time.Time, id string, n int64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(now, id, n)
}

func (t *Tracker) add(now time.Time, id string, n int64) {
	s := t.get(id)
	s.held(now)
	s.own += n
	s.held(now)
}

// Remove ends the counting of a request that Add was called with.
func (t *Tracker) Remove(id string, n int64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	s.own = max(s.own-n, 0)
}

// Receive replaces the counts of another daemon by those of its report, by target.
func (t *Tracker) Receive(now time.Time, host string, counts map[string]int64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.targets {
		o, known := s.others[host]
		n := counts[id]
		if !known && n == 0 {
			continue
		}
		s.others[host] = o.add(now, n)
		s.held(now)
	}
	for id, n := range counts {
		if t.targets[id] == nil && n > 0 {
			t.get(id).others[host] = otherCount{}.add(now, n)
		}
	}
}

// Report returns the counts to report to other daemons, by target, and false if there are none now nor in
// the last report.
func (t *Tracker) Report() (counts map[string]int64, needed bool) {
	if t == nil {
		return nil, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	counts = map[string]int64{}
	for id, s := range t.targets {
		if s.own >= minReportedBytes {
			counts[id] = s.own
		}
	}
	if len(counts) > maxReportedTargets {
		ids := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
			return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
		})
		for _, id := range ids[maxReportedTargets:] {
			delete(counts, id)
		}
	}
	needed = len(counts) > 0 || len(t.reported) > 0
	t.reported = counts
	return counts, needed
}

// Held returns the range of what a target holds.
func (t *Tracker) Held(now time.Time, id string) Held {
	if t == nil {
		return Held{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(id).held(now)
}

// Fits reports whether a request of size n may be sent to a target of the service.
func (t *Tracker) Fits(now time.Time, service, id string, n int64) bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fits(now, service, id, n)
}

// TryAdd counts a request that is sent to a target, unless it doesn't fit.
func (t *Tracker) TryAdd(now time.Time, service, id string, n int64) bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.fits(now, service, id, n) {
		return false
	}
	t.add(now, id, n)
	return true
}

func (t *Tracker) fits(now time.Time, service, id string, n int64) bool {
	e := t.services[service]
	if e == nil {
		return true
	}
	bound := t.current(now, service, e)
	if bound == 0 {
		return true
	}
	s := t.get(id)
	h := s.held(now)
	usable := int64(usableShare * float64(bound))
	if s.own == 0 {
		return h.Most+n <= usable
	}
	return s.own+n <= max(usable/int64(h.Daemons+1), usable-lateFactor*h.Peaks)
}

// RecordFailure records that a request to a target has failed as if the target had ended.
func (t *Tracker) RecordFailure(now time.Time, id string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	if now.Sub(s.failedAt) > failureLifetime {
		s.failedAt, s.failedWith = now, s.peak(now)
	}
}

// SetTargets sets the listed targets. One that was listed before and has another incarnation or is missing
// has ended; if that wasn't planned, the sum that it held teaches the bound of its service.
func (t *Tracker) SetTargets(now time.Time, targets []Target) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[string]bool{}
	for _, l := range targets {
		listed[l.ID] = true
		s := t.get(l.ID)
		if s.listed.ID != "" && s.listed.Incarnation != l.Incarnation {
			t.ended(now, s)
		}
		s.listed = l
	}
	for id, s := range t.targets {
		if listed[id] {
			continue
		}
		if s.listed.ID != "" {
			t.ended(now, s)
			s.listed = Target{}
		}
		if s.own == 0 && s.held(now).Most == 0 {
			delete(t.targets, id)
		}
	}
}

// ended learns from the end of a target.
func (t *Tracker) ended(now time.Time, s *target) {
	most := s.peak(now)
	if now.Sub(s.failedAt) <= failureLifetime {
		most = s.failedWith
	}
	s.failedAt = time.Time{}
	if s.listed.Leaving || most == 0 {
		return
	}
	t.learnEnd(now, s.listed.Service, most)
}
