// Package fleet holds the state of the targets as observed by this daemon: which
// incarnation is warm, the requests in flight, which targets are leaving, which means that
// they accept no new work, and, through guardian.Gate, whether work may be sent to a cold
// target. A slot of a cold target is one of the concurrent requests that its cold limit
// allows.
//
// A target counts as cold unless a report of its present incarnation, received less than
// WarmEvidenceTTL ago, states that it is warm. A failed attempt, a notice of another daemon,
// a new incarnation or a report of a cold start makes it cold at once.
//
// # Usage
//
//	f := &fleet.Fleet{Clock: clock, Host: host, DataCentre: dataCentre}
//	candidates := f.Candidates(document, "llm", dataCentreOut)
//	switch d := f.Reserve(contract, local, remoteView).(type) {
//	case fleet.Direct:
//		defer f.Release(contract.Name, d.Cold)
//	case fleet.Forward:
//		forward(d.Guardian)
//	case fleet.Rejected:
//		chooseAnother()
//	}
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

// Lifetimes of observations.
const (
	// WarmEvidenceTTL is the time for which a report of a warm target is valid.
	WarmEvidenceTTL = 10 * time.Second
	// SuspectBackoff is the time for which a target is avoided after a failed attempt.
	SuspectBackoff = time.Second
	// GuardianFullBackoff is the time for which a cold target is avoided after its guardian
	// rejected an attempt.
	GuardianFullBackoff = 100 * time.Millisecond
	// GuardianUnreachableBackoff is the time for which a cold target is avoided after its
	// guardian couldn't be reached.
	GuardianUnreachableBackoff = time.Second
)

// Fleet holds the state of all targets. It is safe for concurrent use.
type Fleet struct {
	Clock clockwork.Clock
	// Host and DataCentre are the names of this daemon's host and data centre.
	Host       string
	DataCentre string

	mu   sync.Mutex
	gate guardian.Gate
	// states holds the observed state by target.
	states map[string]*targetState
	// durations holds the durations of recent attempts.
	durations latency.Tracker
	// lastTurn is the number that NextTurn returned last.
	lastTurn int
	// heldSlots are the slots whose Release is delayed by HoldColdSlot.
	heldSlots []heldSlot
	subsets   subsets
	// localTurn is the position of the last target that NextLocalTargets returned.
	localTurn int
}

// heldSlot is a slot of a cold target whose request failed but may still run there.
type heldSlot struct {
	target string
	// incarnation is the one that may still run the request.
	incarnation string
	// until is the time after which the request can no longer run.
	until time.Time
}

// targetState is what this daemon has observed of one target.
type targetState struct {
	// report is the newest report of the target.
	report target.Report
	// warmAt is the time of the newest report that the target is warm; zero means cold.
	warmAt time.Time
	// coldAt is the time of the newest evidence that the present incarnation is cold.
	coldAt time.Time
	// wasWarm is set once the present incarnation was shown warm.
	wasWarm bool
	// turnedColdAt is when the present incarnation was first shown cold after it was warm.
	turnedColdAt time.Time
	// leaving is what the target or a notice of another daemon stated last.
	leaving bool
	// hostLeaving is what the platform's host list stated last.
	hostLeaving bool
	// suspectSince is the time of the last failed attempt.
	suspectSince time.Time
	// coldClosedUntil is the time until which no attempt is sent while the target is cold,
	// since its guardian rejected one or couldn't be reached.
	coldClosedUntil time.Time
}

// StateChange lists what an observation changed in the state of a target.
type StateChange struct {
	BecameCold    bool
	BecameLeaving bool
	Incarnation   string
}

// Reservation is the result of Reserve: Direct, Forward or Rejected.
type Reservation interface{ reservation() }

// Direct permits this daemon to send one request; the caller must call Release or
// HoldColdSlot when it has ended. Cold reports that the request occupies a slot of the cold
// target.
type Direct struct{ Cold bool }

// Forward means that the attempt must be sent through the guardian.
type Forward struct{ Guardian membership.Member }

// Rejected means that the target can't be used now.
type Rejected struct{ Reason string }

func (Direct) reservation()   {}
func (Forward) reservation()  {}
func (Rejected) reservation() {}

// Candidates returns the state of this daemon's subset of the kind's targets for the
// router. DataCentreOut reports whether a data centre takes no new work.
func (f *Fleet) Candidates(document catalog.Document, kind string, dataCentreOut func(string) bool) []router.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.releaseExpiredSlots(now)
	subset := f.subset(document, kind)
	candidates := make([]router.Candidate, 0, len(subset))
	for _, contract := range subset {
		candidates = append(candidates, f.newCandidate(now, contract, dataCentreOut(contract.DataCentre)))
	}
	return candidates
}

// newCandidate returns the state of one target for the router.
func (f *Fleet) newCandidate(now time.Time, contract target.Target, out bool) router.Candidate {
	s := f.state(contract.Name)
	typical, _ := f.durations.TargetAverage(now, contract.Name)
	c := router.Candidate{
		Target:          contract,
		Warm:            s.warm(now),
		Leaving:         contract.Leaving || s.leaving || s.hostLeaving,
		DataCentreOut:   out,
		Suspect:         now.Sub(s.suspectSince) < SuspectBackoff,
		Local:           contract.DataCentre == f.DataCentre,
		InFlight:        f.gate.InFlight(contract.Name),
		ReportedLoad:    s.report.Running + s.report.Queued,
		TypicalDuration: typical,
	}
	if c.Warm {
		c.HasCapacity = c.InFlight < contract.WarmLimit()
	} else {
		c.HasCapacity = !now.Before(s.coldClosedUntil) && f.coldSlotAvailable(now, contract, c)
	}
	return c
}

// coldSlotAvailable reports whether a request to the cold target would be permitted or
// forwarded now. How many slots are free at another guardian isn't known here.
func (f *Fleet) coldSlotAvailable(now time.Time, contract target.Target, c router.Candidate) bool {
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

// Reserve requests permission to send one request to the target. Local reports whether
// the target is in this daemon's data centre. For other targets, remote is the newest known
// view of their data centre, which determines the guardian.
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

// ReserveAsGuardian requests permission to send one request that another daemon forwarded
// to this one as the guardian of the target. A target that is warm and below its warm limit
// needs no slot.
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

// reserveCold requests a slot of a cold target of this data centre.
func (f *Fleet) reserveCold(now time.Time, contract target.Target) Reservation {
	f.releaseExpiredSlots(now)
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
		return Rejected{Reason: "it has no guardian"}
	}
}

// GuardianDecision makes this daemon active as guardian of the target if it may be, and
// returns the result of guardian.Gate.Activate. It reserves no slot.
func (f *Fleet) GuardianDecision(contract target.Target) guardian.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.Activate(f.Clock.Now(), contract)
}

// WarmIncarnation returns the incarnation of the target if it is warm, or "".
func (f *Fleet) WarmIncarnation(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(name)
	if !s.warm(f.Clock.Now()) {
		return ""
	}
	return s.report.Incarnation
}

// Release records the end of a request that a Direct reservation permitted. Cold is that
// of the reservation.
func (f *Fleet) Release(name string, cold bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cold {
		f.gate.Release(name)
	} else {
		f.gate.EndWarm(name)
	}
}

// HoldColdSlot keeps the slot of a cold send occupied until the time, or until another
// incarnation of the target is observed. It replaces Release after a failed send whose
// request may still run at the target.
func (f *Fleet) HoldColdSlot(name, incarnation string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heldSlots = append(f.heldSlots, heldSlot{target: name, incarnation: incarnation, until: until})
}

// releaseExpiredSlots releases the held slots whose requests can no longer run.
func (f *Fleet) releaseExpiredSlots(now time.Time) {
	kept := f.heldSlots[:0]
	for _, h := range f.heldSlots {
		present := f.state(h.target).report.Incarnation
		if now.Before(h.until) && (present == "" || present == h.incarnation) {
			kept = append(kept, h)
			continue
		}
		f.gate.Release(h.target)
	}
	f.heldSlots = kept
}

// Observe records a report received directly from the target and returns what it changed. The
// report was requested at requestedAt, so that the target made it later.
func (f *Fleet) Observe(name string, report target.Report, requestedAt time.Time) StateChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(name)
	now := f.Clock.Now()
	wasWarm := s.warm(now)
	wasLeaving := s.leaving
	if report.Incarnation != s.report.Incarnation {
		f.durations.ForgetTarget(name)
		s.coldAt, s.wasWarm, s.turnedColdAt = time.Time{}, false, time.Time{}
	}
	s.report = report
	s.leaving = report.Leaving
	switch {
	case report.Cold || report.Incarnation == "":
		s.warmAt, s.coldAt = time.Time{}, now
		if s.wasWarm && s.turnedColdAt.IsZero() {
			s.turnedColdAt = now
		}
	case requestedAt.Before(s.coldAt): // may be of the time before the target turned cold
	default:
		s.warmAt, s.wasWarm, s.turnedColdAt = now, true, time.Time{}
	}
	return StateChange{
		BecameCold:    wasWarm && !s.warm(now),
		BecameLeaving: report.Leaving && !wasLeaving,
		Incarnation:   report.Incarnation,
	}
}

// MayRunWarmRequests reports whether the target has turned cold without a restart and may still run
// requests from before.
func (f *Fleet) MayRunWarmRequests(contract target.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(contract.Name)
	return !s.turnedColdAt.IsZero() && f.Clock.Now().Before(s.turnedColdAt.Add(contract.RunLimit()))
}

// MarkSuspect makes the target cold after a failed attempt and avoids it for
// SuspectBackoff.
func (f *Fleet) MarkSuspect(name string) StateChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(name)
	now := f.Clock.Now()
	wasWarm := s.warm(now)
	s.suspectSince = now
	s.warmAt, s.coldAt = time.Time{}, now
	return StateChange{BecameCold: wasWarm, Incarnation: s.report.Incarnation}
}

// ApplyNotice applies what another daemon observed of an incarnation and reports whether
// the state changed. A leaving notice about a former incarnation is ignored.
func (f *Fleet) ApplyNotice(name, incarnation string, cold, leaving bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(name)
	before := *s
	if cold {
		s.warmAt, s.coldAt = time.Time{}, f.Clock.Now()
	}
	if leaving && (incarnation == "" || s.report.Incarnation == "" || s.report.Incarnation == incarnation) {
		s.leaving = true
	}
	return before.leaving != s.leaving || before.warmAt != s.warmAt
}

// SetHostLeaving records whether the platform's host list marks the target's host as
// leaving, and reports whether that changed.
func (f *Fleet) SetHostLeaving(name string, leaving bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(name)
	changed := s.hostLeaving != leaving
	s.hostLeaving = leaving
	return changed
}

// MarkGuardianFull records that the guardian of the cold target rejected an attempt.
func (f *Fleet) MarkGuardianFull(name string) {
	f.closeColdFor(name, GuardianFullBackoff)
}

// MarkGuardianUnreachable records that the guardian of the cold target couldn't be reached.
func (f *Fleet) MarkGuardianUnreachable(name string) {
	f.closeColdFor(name, GuardianUnreachableBackoff)
}

// closeColdFor stops attempts to the target for the duration while it is cold.
func (f *Fleet) closeColdFor(name string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state(name).coldClosedUntil = f.Clock.Now().Add(d)
}

// RecordDuration adds the duration of one attempt on a target of the kind.
func (f *Fleet) RecordDuration(kind, name string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.durations.Record(f.Clock.Now(), kind, name, d)
}

// DurationQuantile returns the quantile q, from 0 to 1, of the recorded durations of the
// kind, and whether it is known.
func (f *Fleet) DurationQuantile(kind string, q float64) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.durations.Quantile(f.Clock.Now(), kind, q)
}

// NextTurn returns a counter that increments with each call, for round robin.
func (f *Fleet) NextTurn() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastTurn++
	return f.lastTurn
}

// View returns the membership view of this data centre that this daemon acts on.
func (f *Fleet) View() membership.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.View()
}

// Adopt acts on the view from now on if its epoch is higher, and reports whether it was.
// Self is the incarnation of this daemon.
func (f *Fleet) Adopt(self string, view membership.View) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.Adopt(f.Clock.Now(), self, view)
}

// PeerAdopted records a member's report that it acts on the epoch. InFlight counts its
// requests to cold targets whose guardian it no longer is, by target.
func (f *Fleet) PeerAdopted(incarnation string, epoch uint64, inFlight map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate.PeerAdopted(incarnation, epoch, inFlight)
}

// Adoption returns the view that this daemon acts on and, read under the same lock, the
// number of its requests in flight to cold targets whose guardian it isn't in that view, by
// target.
func (f *Fleet) Adoption() (membership.View, map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.View(), f.gate.InFlightUnguarded()
}

// Status is the state of one target as observed by this daemon.
type Status struct {
	Warm    bool
	Leaving bool
	// InFlight counts this daemon's requests to the target.
	InFlight int
	// Guardian is the host of the target's guardian.
	Guardian string
	// Report is the newest report of the target.
	Report target.Report
}

// Status returns the state of the target as observed by this daemon.
func (f *Fleet) Status(contract target.Target) Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(contract.Name)
	m, _ := f.gate.View().Guardian(contract.Name)
	return Status{
		Warm:     s.warm(f.Clock.Now()),
		Leaving:  contract.Leaving || s.leaving || s.hostLeaving,
		InFlight: f.gate.InFlight(contract.Name),
		Guardian: m.Host,
		Report:   s.report,
	}
}

// state returns the state of the target and creates it if there is none; the caller holds mu.
func (f *Fleet) state(name string) *targetState {
	if f.states == nil {
		f.states = map[string]*targetState{}
	}
	s := f.states[name]
	if s == nil {
		s = &targetState{}
		f.states[name] = s
	}
	return s
}

// warm reports whether the evidence that the target is warm is still valid.
func (s *targetState) warm(now time.Time) bool {
	return !s.warmAt.IsZero() && now.Sub(s.warmAt) < WarmEvidenceTTL
}
