// Package fleet holds the targets as this daemon sees them: which incarnation is
// warm, what is in flight, who is leaving, and, through the guardian's gate, whether
// work may be sent to a target in a cold start.
//
// A target counts as cold until recent evidence from its present incarnation shows it
// warm. A reset, a refusal, another incarnation or a report of a cold start makes it
// cold at once.
//
// # Usage
//
//	f := &fleet.Fleet{Clock: clock}
//	candidates := f.Candidates(document, "llm", out)
//	switch d := f.Reserve(contract, local).(type) { ... }
//	f.Release(contract.Name, d.Cold)
package fleet

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/catalog"
	"github.com/sequoiapick/sequoiapick/internal/guardian"
	"github.com/sequoiapick/sequoiapick/internal/latency"
	"github.com/sequoiapick/sequoiapick/internal/membership"
	"github.com/sequoiapick/sequoiapick/internal/router"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

// How long evidence counts.
const (
	// WarmEvidenceTTL is the time for which evidence of a warm target counts.
	WarmEvidenceTTL = 10 * time.Second
	// SuspectBackoff is the time for which a failed target is avoided.
	SuspectBackoff = time.Second
	// GuardianFullBackoff is the time for which a guardian's refusal is taken as a full target.
	GuardianFullBackoff = 100 * time.Millisecond
	// GuardianUnreachableBackoff is the time for which the target of a lost guardian is avoided.
	GuardianUnreachableBackoff = time.Second
)

// Fleet is safe for concurrent use.
type Fleet struct {
	Clock clockwork.Clock
	// Host and DataCentre are those of this daemon.
	Host       string
	DataCentre string

	mu      sync.Mutex
	gate    guardian.Gate
	states  map[string]*state
	book    latency.Tracker
	turn    int
	holds   []hold
	subsets subsets
	// reportTurn is the place of the last target that Local returned.
	reportTurn int
}

// hold is a place at a cold target whose request may still be running there.
type hold struct {
	target      string
	incarnation string
	until       time.Time
}

type state struct {
	report  target.Report
	warmAt  time.Time
	leaving bool
	listed  bool
	suspect time.Time
	// closed is the time until which no guardian is asked for the cold target.
	closed time.Time
}

// StateChange is what an observation changed.
type StateChange struct {
	BecameCold    bool
	BecameLeaving bool
	Incarnation   string
}

// Reservation is the answer to Reserve: Direct, Forward or Refused.
type Reservation interface{ reservation() }

// Direct lets this daemon send; the caller must call Release.
type Direct struct{ Cold bool }

// Forward sends the attempt through the guardian.
type Forward struct{ Guardian membership.Member }

// Rejected says that the target can't be used now.
type Rejected struct{ Reason string }

func (Direct) reservation()   {}
func (Forward) reservation()  {}
func (Rejected) reservation() {}

// Candidates returns this daemon's subset of the kind's targets for the router.
func (f *Fleet) Candidates(document catalog.Document, kind string, out func(string) bool) []router.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.expire(now)
	subset := f.subset(document, kind)
	candidates := make([]router.Candidate, 0, len(subset))
	for _, contract := range subset {
		candidates = append(candidates, f.candidate(now, contract, out(contract.DataCentre)))
	}
	return candidates
}

func (f *Fleet) candidate(now time.Time, contract target.Target, out bool) router.Candidate {
	s := f.state(contract.Name)
	typical, _ := f.book.TargetAverage(now, contract.Name)
	c := router.Candidate{
		Target:          contract,
		Warm:            s.warm(now),
		Leaving:         contract.Leaving || s.leaving || s.listed,
		DataCentreOut:   out,
		Suspect:         now.Sub(s.suspect) < SuspectBackoff,
		Local:           contract.DataCentre == f.DataCentre,
		InFlight:        f.gate.InFlight(contract.Name),
		ReportedLoad:    s.report.Running + s.report.Queued,
		TypicalDuration: typical,
	}
	if c.Warm {
		c.HasCapacity = c.InFlight < contract.WarmLimit()
	} else {
		c.HasCapacity = !now.Before(s.closed) && f.coldFree(now, contract, c)
	}
	return c
}

// coldFree reports whether the gate would let a request through or forward it.
func (f *Fleet) coldFree(now time.Time, contract target.Target, c router.Candidate) bool {
	if !c.Local {
		return contract.ColdLimit > 0
	}
	switch f.gate.Acquire(now, contract).(type) {
	case guardian.Granted:
		f.gate.Release(contract.Name)
		return true
	case guardian.OtherGuardian:
		return contract.ColdLimit > 0
	default:
		return false
	}
}

// Reserve asks to send one request to the target. Remote says who guards targets of
// other data centres, by the views that this daemon has of them.
func (f *Fleet) Reserve(contract target.Target, local bool, remote membership.View) Reservation {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	if f.state(contract.Name).warm(now) {
		if f.gate.InFlight(contract.Name) >= contract.WarmLimit() {
			return Rejected{Reason: "at its warm limit"}
		}
		f.gate.BeginWarm(contract.Name)
		return Direct{}
	}
	if !local {
		m, ok := remote.Guardian(contract.Name)
		if !ok {
			return Rejected{Reason: "no guardian is known in its data centre"}
		}
		return Forward{Guardian: m}
	}
	return f.reserveCold(now, contract)
}

// ReserveAsGuardian asks to send one request as the guardian of the target, however warm it is.
func (f *Fleet) ReserveAsGuardian(contract target.Target) Reservation {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	if f.state(contract.Name).warm(now) && f.gate.InFlight(contract.Name) < contract.WarmLimit() {
		f.gate.BeginWarm(contract.Name)
		return Direct{}
	}
	return f.reserveCold(now, contract)
}

func (f *Fleet) reserveCold(now time.Time, contract target.Target) Reservation {
	f.expire(now)
	switch d := f.gate.Acquire(now, contract).(type) {
	case guardian.Granted:
		return Direct{Cold: true}
	case guardian.OtherGuardian:
		return Forward{Guardian: d.Guardian}
	case guardian.Full:
		return Rejected{Reason: "at its cold limit"}
	case guardian.Pending:
		return Rejected{Reason: d.Reason}
	default:
		return Rejected{Reason: "no member guards it"}
	}
}

// GuardianDecision returns the guardian's decision about the target without taking a place.
func (f *Fleet) GuardianDecision(contract target.Target) guardian.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.Activate(f.Clock.Now(), contract)
}

// WarmIncarnation returns the incarnation that is shown warm, or "" if none is.
func (f *Fleet) WarmIncarnation(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(name)
	if !s.warm(f.Clock.Now()) {
		return ""
	}
	return s.report.Incarnation
}

// Release ends a direct send.
func (f *Fleet) Release(name string, cold bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cold {
		f.gate.Release(name)
	} else {
		f.gate.EndWarm(name)
	}
}

// HoldColdSlot keeps the place of a cold send taken until the time, or until another
// incarnation of the target is seen.
func (f *Fleet) HoldColdSlot(name, incarnation string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holds = append(f.holds, hold{target: name, incarnation: incarnation, until: until})
}

// expire releases the held places that can no longer be in use.
func (f *Fleet) expire(now time.Time) {
	kept := f.holds[:0]
	for _, h := range f.holds {
		present := f.state(h.target).report.Incarnation
		if now.Before(h.until) && (present == "" || present == h.incarnation) {
			kept = append(kept, h)
			continue
		}
		f.gate.Release(h.target)
	}
	f.holds = kept
}

// Observe takes in a report that came straight from the target.
func (f *Fleet) Observe(name string, report target.Report) StateChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(name)
	now := f.Clock.Now()
	wasWarm := s.warm(now)
	wasLeaving := s.leaving
	if report.Incarnation != s.report.Incarnation {
		f.book.ForgetTarget(name)
	}
	s.report = report
	s.leaving = report.Leaving
	s.warmAt = time.Time{}
	if !report.Cold && report.Incarnation != "" {
		s.warmAt = now
	}
	return StateChange{
		BecameCold:    wasWarm && !s.warm(now),
		BecameLeaving: report.Leaving && !wasLeaving,
		Incarnation:   report.Incarnation,
	}
}

// MarkSuspect makes the target cold after a failure and avoids it for a while.
func (f *Fleet) MarkSuspect(name string) StateChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(name)
	now := f.Clock.Now()
	wasWarm := s.warm(now)
	s.suspect = now
	s.warmAt = time.Time{}
	return StateChange{BecameCold: wasWarm, Incarnation: s.report.Incarnation}
}

// ApplyNotice takes in what another daemon observed of an incarnation.
func (f *Fleet) ApplyNotice(name, incarnation string, cold, leaving bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(name)
	before := *s
	if cold {
		s.warmAt = time.Time{}
	}
	if leaving && (incarnation == "" || s.report.Incarnation == "" || s.report.Incarnation == incarnation) {
		s.leaving = true
	}
	return before.leaving != s.leaving || before.warmAt != s.warmAt
}

// SetHostLeaving takes in what the platform's host list says about the target and reports
// whether that is new.
func (f *Fleet) SetHostLeaving(name string, leaving bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(name)
	changed := s.listed != leaving
	s.listed = leaving
	return changed
}

// MarkGuardianFull records that the guardian had no room for the cold target.
func (f *Fleet) MarkGuardianFull(name string) {
	f.closeFor(name, GuardianFullBackoff)
}

// MarkGuardianUnreachable records that the guardian of the cold target can't be reached.
func (f *Fleet) MarkGuardianUnreachable(name string) {
	f.closeFor(name, GuardianUnreachableBackoff)
}

func (f *Fleet) closeFor(name string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state(name).closed = f.Clock.Now().Add(d)
}

// RecordDuration adds the duration of a stage.
func (f *Fleet) RecordDuration(kind, name string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.book.Record(f.Clock.Now(), kind, name, d)
}

// DurationQuantile returns a quantile of the kind's durations and whether it is known.
func (f *Fleet) DurationQuantile(kind string, q float64) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Quantile(f.Clock.Now(), kind, q)
}

// NextTurn returns a number that rises with every call.
func (f *Fleet) NextTurn() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn++
	return f.turn
}

// View returns the adopted membership of this data centre.
func (f *Fleet) View() membership.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.View()
}

// Adopt acts on a newer view and reports whether it was newer.
func (f *Fleet) Adopt(self string, view membership.View) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.Adopt(f.Clock.Now(), self, view)
}

// PeerAdopted records that a member acts on an epoch.
func (f *Fleet) PeerAdopted(incarnation string, epoch uint64, busy map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate.PeerAdopted(incarnation, epoch, busy)
}

// Adoption returns the adopted membership and, as of the same moment, what is in flight
// to targets that this daemon doesn't guard in it.
func (f *Fleet) Adoption() (membership.View, map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.View(), f.gate.InFlightUnguarded()
}

// Status is what this daemon knows of one target.
type Status struct {
	Warm     bool
	Leaving  bool
	InFlight int
	Guardian string
	Report   target.Report
}

// Status returns what is known of the target.
func (f *Fleet) Status(contract target.Target) Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(contract.Name)
	m, _ := f.gate.View().Guardian(contract.Name)
	return Status{
		Warm:     s.warm(f.Clock.Now()),
		Leaving:  contract.Leaving || s.leaving || s.listed,
		InFlight: f.gate.InFlight(contract.Name),
		Guardian: m.Host,
		Report:   s.report,
	}
}

func (f *Fleet) state(name string) *state {
	if f.states == nil {
		f.states = map[string]*state{}
	}
	s := f.states[name]
	if s == nil {
		s = &state{}
		f.states[name] = s
	}
	return s
}

func (s *state) warm(now time.Time) bool {
	return !s.warmAt.IsZero() && now.Sub(s.warmAt) < WarmEvidenceTTL
}
