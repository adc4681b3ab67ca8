// Package targetload holds what targets report of their load and pace with their answers, discounts it by
// age, and learns how fast engines are. It does no I/O; the time is an argument.
//
// A target's pace is how long work takes on its machine at this moment, relative to the usual time: 1 is
// usual, 2.5 takes two and a half times as long. It changes many times a second. The speed of an engine, in
// contrast, belongs to its machine and stays: the Table learns it from answers, with the pace taken out.
//
// A service whose targets report no pace is served as by builds that know none: Paced is false, and Pace and
// Engine find nothing.
//
// # Usage
//
//	var table targetload.Table
//	news := table.Record(targetload.Report{Target: id, Incarnation: start, Service: name, Load: load, ObservedAt: now})
//	report, ok := table.Latest(id, start)
//	pace, ok := table.Pace(now, id, start)
package targetload

import (
	"math"
	"sync"
	"time"
)

const (
	// paceDecay is the time in which the distance of the pace from its mean is expected to fall to 1/e. Machines
	// stay slow for about 600 ms, after which the state of the machine is another one.
	paceDecay = 600 * time.Millisecond
	// requestsDecay is the same time for the number of requests at a target, of which each takes some tens of ms.
	requestsDecay = 100 * time.Millisecond
	// MaxAge is the age from which a report isn't used. Without reports, as during a cut of links, the target is
	// served as one that reports no pace.
	MaxAge = 10 * time.Second
	// pacedFor is the time for which a service counts as paced after the last pace that one of its targets reported.
	pacedFor = time.Minute
	// meanWeight is the weight of a new report in the means of a target.
	meanWeight = 0.05
	// highDecay is the share by which the highest pace approaches the mean with a report. Machines are slow for 15 in
	// 100 of the time, so that about seven reports are between two that tell of it.
	highDecay = 0.01
	// maxTargets is the number of targets from which those are removed that haven't reported for retention.
	maxTargets = 4096
	retention  = 10 * time.Minute
)

// Load is the load that a target reports with an answer.
type Load struct {
	// Running and Waiting count the requests of all daemons, the answered one included.
	Running, Waiting int
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// Pace is how long work takes, 1 is usual; 0 if the target didn't report it.
	Pace float64
}

// FromPercent returns the load with a pace in percent, as targets report it.
func FromPercent(running, waiting, slots, pace int) Load {
	return Load{Running: running, Waiting: waiting, Slots: slots, Pace: float64(pace) / 100}
}

// PacePercent returns the pace in percent, 0 if it is unknown.
func (l Load) PacePercent() int { return int(math.Round(l.Pace * 100)) }

// Report is the load of a target at a time.
type Report struct {
	Target string
	// Incarnation tells the target's start from others under its ID.
	Incarnation int64
	Service     string
	Load        Load
	// ObservedAt is when the answer was received, by the clock of this daemon.
	ObservedAt time.Time
}

// Table holds the newest report of each target. The zero value is empty, a nil table holds nothing. It is safe
// for concurrent use.
type Table struct {
	mu      sync.Mutex
	targets map[string]*state
	// pacedAt holds the time of the last reported pace of each service.
	pacedAt map[string]time.Time
}

// state is what is known of one start of a target.
type state struct {
	latest Report
	// meanPace and meanRequests are moving averages over the reports.
	meanPace, meanRequests float64
	// highPace is the highest reported pace, which approaches the mean by highDecay with each report.
	highPace float64
	engine   engine
}

// Record stores a report and reports whether it is newer than the stored one. An older one is dropped, and so is
// one of another start that was observed before the stored one. A report without a pace keeps none.
func (t *Table) Record(r Report) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[r.Target]
	if s != nil && r.ObservedAt.Before(s.latest.ObservedAt) {
		return false
	}
	requests := float64(r.Load.Running + r.Load.Waiting)
	if s == nil || s.latest.Incarnation != r.Incarnation {
		s = &state{meanPace: r.Load.Pace, meanRequests: requests}
		t.put(r, s)
	}
	s.latest = r
	s.meanRequests += meanWeight * (requests - s.meanRequests)
	if r.Load.Pace > 0 {
		if s.meanPace <= 0 {
			s.meanPace = r.Load.Pace
		}
		s.meanPace += meanWeight * (r.Load.Pace - s.meanPace)
		s.highPace = max(s.highPace-highDecay*(s.highPace-s.meanPace), r.Load.Pace)
		if t.pacedAt == nil {
			t.pacedAt = map[string]time.Time{}
		}
		if r.ObservedAt.After(t.pacedAt[r.Service]) {
			t.pacedAt[r.Service] = r.ObservedAt
		}
	}
	return true
}

// put adds the state of a target and bounds their number. The caller holds mu.
func (t *Table) put(r Report, s *state) {
	if t.targets == nil {
		t.targets = map[string]*state{}
	}
	if len(t.targets) >= maxTargets {
		for id, other := range t.targets {
			if r.ObservedAt.Sub(other.latest.ObservedAt) > retention {
				delete(t.targets, id)
			}
		}
	}
	t.targets[r.Target] = s
}

// find returns the state of a start of a target, nil if none is known. The caller holds mu.
func (t *Table) find(target string, incarnation int64) *state {
	if s := t.targets[target]; s != nil && s.latest.Incarnation == incarnation {
		return s
	}
	return nil
}

// Latest returns the newest report of a start of a target, of any age, and false if there is none.
func (t *Table) Latest(target string, incarnation int64) (Report, bool) {
	if t == nil {
		return Report{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(target, incarnation)
	if s == nil {
		return Report{}, false
	}
	return s.latest, true
}

// Paced reports whether a target of the service has reported a pace lately.
func (t *Table) Paced(now time.Time, service string) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.pacedAt[service]
	return ok && now.Sub(at) < pacedFor
}

// Pace returns the pace that is expected of a start of a target now: the last reported one, which approaches the
// mean with its age. It returns false without a pace, or if the last report is older than MaxAge.
func (t *Table) Pace(now time.Time, target string, incarnation int64) (float64, bool) {
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(target, incarnation)
	if s == nil {
		return 0, false
	}
	return s.pace(now)
}

func (s *state) pace(now time.Time) (float64, bool) {
	age := now.Sub(s.latest.ObservedAt)
	if s.latest.Load.Pace <= 0 || age >= MaxAge {
		return 0, false
	}
	return approach(s.latest.Load.Pace, s.meanPace, age, paceDecay), true
}

// approach returns what is expected of a value that was seen an age ago, if its distance from the mean falls to
// 1/e within the decay.
func approach(seen, mean float64, age, decay time.Duration) float64 {
	return mean + (seen-mean)*math.Exp(-float64(max(age, 0))/float64(decay))
}

// Others returns the expected number of requests that other daemons have at a start of a target now: those of the
// last report apart from this daemon's own, which approach the mean of the reports with its age. It is 0 without
// a report, or if that is older than MaxAge.
func (t *Table) Others(now time.Time, target string, incarnation int64, own int) float64 {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(target, incarnation)
	if s == nil || now.Sub(s.latest.ObservedAt) >= MaxAge {
		return 0
	}
	others := float64(max(s.latest.Load.Running+s.latest.Load.Waiting-own, 0))
	return approach(others, s.meanRequests, now.Sub(s.latest.ObservedAt), requestsDecay)
}
