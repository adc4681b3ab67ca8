// Package canary applies the rollouts that a daemon knows to its targets and attempts: it tells which
// targets are those of the old and of the new version, which of the new ones get the granted requests, and
// counts the attempts in progress at old targets. It does no I/O.
//
// # Usage
//
//	sides := &canary.Sides{Inventory: inv, Clock: clock}
//	side := sides.Choose("llm", hasOld, hasNew)
//	if split, ok := sides.Split("llm"); ok && split.Forbids(target.Version) { ... }
//	attempt := sides.Begin("llm", target.Version)
//	attempt.End("route", canary.Good, latency)
package canary

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/internal/rollout"
	"github.com/sequoiapick/sequoiapick/internal/rollout/gate"
)

// Sides holds the rollouts of a daemon. It is safe for concurrent use; a nil pointer knows no rollouts.
type Sides struct {
	Inventory *inventory.Inventory
	Clock     clockwork.Clock
	Gate      gate.Gate

	mu sync.Mutex
	// switched holds when Switching became known, by service and new version.
	switched map[key]time.Time
	// running counts the attempts in progress, by service and version.
	running map[key]int
}

type key struct{ service, version string }

// Split holds the targets of a service in a rollout, sorted by ID.
type Split struct {
	Rollout gate.Rollout
	// Old and New are the targets of old versions and of the new one, usable or not. Candidates are those of
	// New that may get requests: in the phase Canary only some of them, see Canaries.
	Old        []inventory.Target
	New        []inventory.Target
	Candidates []inventory.Target
	// ramps is set at the beginning of Switching, while requests still go to both versions.
	ramps bool
}

// rampMargin is the time by which the ramps of two daemons may differ, because they learned of the phase or
// got their first request in it at different times.
const rampMargin = 500 * time.Millisecond

// Rollout returns the rollout of a service, and false if there is none.
func (s *Sides) Rollout(service string) (gate.Rollout, bool) {
	if s == nil {
		return gate.Rollout{}, false
	}
	return s.Gate.Rollout(service)
}

// Split returns the targets of a service by their version, and false if there is no rollout.
func (s *Sides) Split(service string) (Split, bool) {
	r, ok := s.Rollout(service)
	if !ok {
		return Split{}, false
	}
	split := Split{Rollout: r, ramps: r.Phase == rollout.Switching && s.ramps(key{service, r.To})}
	for _, t := range s.Inventory.Targets(service) {
		switch side(r, t.Version) {
		case gate.OldOnly:
			split.Old = append(split.Old, t)
		case gate.NewOnly:
			split.New = append(split.New, t)
		}
	}
	split.Candidates = split.New
	if r.Phase == rollout.Canary {
		split.Candidates = Canaries(split.New, s.Gate.Targets(service))
	}
	return split, true
}

// ramps reports whether Switching has just become known.
func (s *Sides) ramps(k key) bool {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	since, known := s.switched[k]
	if !known {
		if s.switched == nil {
			s.switched = map[key]time.Time{}
		}
		since = now
		s.switched[k] = now
	}
	return now.Sub(since) < rollout.RampTime+rampMargin
}

// Choose is that of the gate. The attempt begins with Begin, at the daemon that makes it.
func (s *Sides) Choose(service string, hasOld, hasNew bool) gate.Side {
	chosen := s.Gate.Choose(s.Clock.Now(), service, hasOld, hasNew)
	s.Gate.Abandon(service, chosen)
	return chosen
}

// side returns the side of a version, Any for one that is withheld.
func side(r gate.Rollout, version string) gate.Side {
	if version == r.To {
		return gate.NewOnly
	}
	for _, w := range r.Withheld {
		if w == version {
			return gate.Any
		}
	}
	return gate.OldOnly
}

// Blocks reports whether a target of the version must get no new work for which no side was chosen, such as
// stages: before Switching those of the new version, from then on those of old ones, and always those of
// withheld versions. Unless it is rolled back, a side isn't blocked if the other one has no targets.
func (s Split) Blocks(version string) bool {
	switch side(s.Rollout, version) {
	case gate.NewOnly:
		return s.Forbids(version) || s.Rollout.Phase == rollout.Canary && len(s.Old) > 0
	case gate.OldOnly:
		return s.Forbids(version) || s.Rollout.Phase == rollout.Switching && s.NewUsable()
	default:
		return true
	}
}

// Forbids reports whether this daemon must not send to the version, whoever has chosen it: it is rolled
// back or withheld, or it is an old one and requests go to the new version only.
func (s Split) Forbids(version string) bool {
	switch side(s.Rollout, version) {
	case gate.NewOnly:
		return s.Rollout.Phase == rollout.RolledBack
	case gate.OldOnly:
		return (s.Rollout.Phase == rollout.Switching && !s.ramps || s.Rollout.Phase == rollout.Succeeded) && s.NewUsable()
	default:
		return true
	}
}

// NewUsable reports whether a candidate is usable.
func (s Split) NewUsable() bool {
	for _, t := range s.Candidates {
		if t.Usable() {
			return true
		}
	}
	return false
}

// Canaries returns the targets of the new version that get the granted requests: the first usable ones in
// an order that alternates between data centres. Cold targets are none, since their slow start tells
// nothing of the version.
func Canaries(targets []inventory.Target, count int) []inventory.Target {
	byDataCentre := map[string][]inventory.Target{}
	var dataCentres []string
	for _, t := range targets {
		if !t.Usable() || t.Cold {
			continue
		}
		if byDataCentre[t.DataCentre] == nil {
			dataCentres = append(dataCentres, t.DataCentre)
		}
		byDataCentre[t.DataCentre] = append(byDataCentre[t.DataCentre], t)
	}
	var chosen []inventory.Target
	for round := 0; len(chosen) < max(count, 1); round++ {
		before := len(chosen)
		for _, dc := range dataCentres {
			if list := byDataCentre[dc]; round < len(list) && len(chosen) < max(count, 1) {
				chosen = append(chosen, list[round])
			}
		}
		if len(chosen) == before {
			break
		}
	}
	return chosen
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes. Unknown tells nothing of the target's version, such as the end of the client's connection.
const (
	Unknown Outcome = iota
	Good
	Bad
)

// Attempt is one attempt at a target. The zero value isn't counted. The side Any tells nothing of the
// versions.
type Attempt struct {
	sides *Sides
	key   key
	side  gate.Side
}

// Begin counts the begin of an attempt at a target of the version. An attempt that begins before the order
// of a rollout is in progress at an old target, but tells nothing of the versions.
func (s *Sides) Begin(service, version string) Attempt {
	if s == nil {
		return Attempt{}
	}
	a := Attempt{sides: s, key: key{service, version}}
	if r, ok := s.Rollout(service); ok {
		a.side = side(r, version)
	}
	s.Gate.Begin(service, a.side)
	s.add(a.key, 1)
	return a
}

func (s *Sides) add(k key, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		s.running = map[key]int{}
	}
	if s.running[k] += n; s.running[k] == 0 {
		delete(s.running, k)
	}
}

// End counts the end of the attempt. The latency is the time to the first event, or to the answer if it has
// no events.
func (a Attempt) End(route string, outcome Outcome, latency time.Duration) {
	if a.sides == nil {
		return
	}
	a.sides.add(a.key, -1)
	if outcome == Unknown {
		a.sides.Gate.Abandon(a.key.service, a.side)
		return
	}
	a.sides.Gate.Done(a.key.service, route, a.side, outcome == Good, latency)
}

// Report returns the report of a service. The attempts in progress are those at targets whose version
// isn't that of the rollout.
func (s *Sides) Report(now time.Time, service string) rollout.Report {
	report := s.Gate.Report(now, service)
	r, ok := s.Rollout(service)
	if !ok {
		return report
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	report.OldInProgress = 0
	for k, n := range s.running {
		if k.service == service && k.version != r.To {
			report.OldInProgress += n
		}
	}
	return report
}
