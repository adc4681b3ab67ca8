// Package inventory knows the targets: what they report of themselves in the platform's
// store, which data centres are taken out, and what this daemon has seen of them.
//
// What was seen binds at once and stays in force while the store is away. A target whose
// entry vanished together with the store may be used for a moment longer, since entries
// of living targets come back shortly after it.
//
// # Usage
//
//	inv := &inventory.Inventory{Clock: clock}
//	inv.Report(report)                  // or inv.Removed(id)
//	inv.SetOut("dc-a", true)
//	for _, t := range inv.Targets("llm") { ... }
package inventory

import (
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/platform"
)

const (
	// suspectAfter is the number of failures in a row after which a target is suspect.
	suspectAfter = 2
	// suspectTime is the time for which a target stays suspect after its last failure.
	suspectTime = 1500 * time.Millisecond
	// replacedTime is the time for which a target isn't used after another one answered at
	// its address; the entry of one that is gone is removed within three heartbeats.
	replacedTime = 4 * time.Second
	// lapseGrace is the time for which a target is used after its entry vanished together
	// with the store; entries of living targets are back within about 2 s.
	lapseGrace = 1800 * time.Millisecond
)

// Target is a target as this daemon sees it.
type Target struct {
	ID              string
	Service         string
	Address         string
	DataCentre      string
	Slots           int
	StartUnixMillis int64
	Draining        bool
	// Cold says that the target has started lately and bears little.
	Cold bool
	// DataCentreOut says that its data centre is taken out.
	DataCentreOut bool
	// Unreachable says that its data centre can't be reached from here.
	Unreachable bool
	// Suspect says that requests to it failed lately.
	Suspect bool
	// Replaced says that another target answers at its address.
	Replaced bool
}

// Usable reports whether new work may go to the target.
func (t Target) Usable() bool {
	return !t.Draining && !t.DataCentreOut && !t.Unreachable && !t.Replaced
}

// Inventory is the state of all targets; the zero value with a clock works.
type Inventory struct {
	Clock clockwork.Clock

	mu      sync.Mutex
	targets map[string]*state
	out     map[string]bool
	cut     map[string]bool
	version uint64
}

type state struct {
	report    platform.TargetReport
	coldUntil time.Time
	failures  int
	failedAt  time.Time
	// replacedUntil is until when another target is taken to answer at the address.
	replacedUntil time.Time
	// lapsesAt is set while the target's entry is missing.
	lapsesAt time.Time
}

// ApplyReport takes what a target says of itself; an older report of the same start is dropped.
func (inv *Inventory) ApplyReport(r platform.TargetReport) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	if inv.targets == nil {
		inv.targets = map[string]*state{}
	}
	old := inv.targets[r.ID]
	if old != nil && old.report.StartUnixMillis == r.StartUnixMillis && old.report.Address == r.Address {
		if r.Sequence < old.report.Sequence {
			return
		}
		if old.report.Draining {
			r.Draining = true // a start that is leaving doesn't come back
		}
	} else {
		old = nil
	}
	s := old
	if s == nil {
		s = &state{}
		inv.targets[r.ID] = s
	}
	if r.Sequence > s.report.Sequence && !s.replacedUntil.IsZero() {
		s.replacedUntil = time.Time{}
		inv.version++
	}
	changed := old == nil || s.report.Draining != r.Draining || !s.lapsesAt.IsZero() || s.report.Service != r.Service || s.report.DataCentre != r.DataCentre
	wasCold := inv.Clock.Now().Before(s.coldUntil)
	s.report = r
	s.lapsesAt = time.Time{}
	s.coldUntil = inv.Clock.Now().Add(r.ColdFor)
	if changed || wasCold != (r.ColdFor > 0) {
		inv.version++
	}
}

// Remove takes the removal of a target's entry. Lapsed says that the store was away, so
// that the entry of a living target may come back.
func (inv *Inventory) Remove(id string, lapsed bool) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	s := inv.targets[id]
	if s == nil {
		return
	}
	if !lapsed {
		delete(inv.targets, id)
		inv.version++
		return
	}
	if s.lapsesAt.IsZero() {
		s.lapsesAt = inv.Clock.Now().Add(lapseGrace)
	}
}

// RemoveUnlisted takes a whole reading of the entries: targets that aren't listed are gone.
func (inv *Inventory) RemoveUnlisted(listed map[string]bool, lapsed bool) {
	for _, id := range inv.IDs() {
		if !listed[id] {
			inv.Remove(id, lapsed)
		}
	}
}

// IDs returns the IDs of all known targets.
func (inv *Inventory) IDs() []string {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	ids := make([]string, 0, len(inv.targets))
	for id := range inv.targets {
		ids = append(ids, id)
	}
	return ids
}

// SetDataCentreOut says whether a data centre is taken out.
func (inv *Inventory) SetDataCentreOut(dataCentre string, out bool) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	if inv.out == nil {
		inv.out = map[string]bool{}
	}
	if inv.out[dataCentre] != out {
		inv.out[dataCentre] = out
		inv.version++
	}
}

// SetUnreachable says whether a data centre can be reached, and reports whether that is new.
func (inv *Inventory) SetUnreachable(dataCentre string, cut bool) bool {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	if inv.cut == nil {
		inv.cut = map[string]bool{}
	}
	if inv.cut[dataCentre] == cut {
		return false
	}
	inv.cut[dataCentre] = cut
	inv.version++
	return true
}

// RecordFailure notes that a request to the target failed in a way that speaks against it.
func (inv *Inventory) RecordFailure(id string) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	if s := inv.targets[id]; s != nil {
		s.failures++
		s.failedAt = inv.Clock.Now()
		inv.version++
	}
}

// MarkReplaced notes that another target answers at the address: the one that was there has
// gone, its entry will follow. A newer report of it says otherwise.
func (inv *Inventory) MarkReplaced(id string) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	if s := inv.targets[id]; s != nil {
		s.replacedUntil = inv.Clock.Now().Add(replacedTime)
		inv.version++
	}
}

// RecordSuccess notes that the target answered.
func (inv *Inventory) RecordSuccess(id string) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	if s := inv.targets[id]; s != nil && s.failures > 0 {
		s.failures = 0
		inv.version++
	}
}

// Version changes with everything but the passing of time.
func (inv *Inventory) Version() uint64 {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	return inv.version
}

// Target returns one target.
func (inv *Inventory) Target(id string) (Target, bool) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	s := inv.targets[id]
	if s == nil {
		return Target{}, false
	}
	return inv.view(s), true
}

// Targets returns the targets of a service, or all for an empty name, by ID.
func (inv *Inventory) Targets(service string) []Target {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	var list []Target
	now := inv.Clock.Now()
	for id, s := range inv.targets {
		if !s.lapsesAt.IsZero() && now.After(s.lapsesAt) {
			delete(inv.targets, id)
			inv.version++
			continue
		}
		if service == "" || s.report.Service == service {
			list = append(list, inv.view(s))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

func (inv *Inventory) view(s *state) Target {
	now := inv.Clock.Now()
	return Target{
		ID:              s.report.ID,
		Service:         s.report.Service,
		Address:         s.report.Address,
		DataCentre:      s.report.DataCentre,
		Slots:           s.report.Slots,
		StartUnixMillis: s.report.StartUnixMillis,
		Draining:        s.report.Draining,
		Cold:            now.Before(s.coldUntil),
		DataCentreOut:   inv.out[s.report.DataCentre],
		Unreachable:     inv.cut[s.report.DataCentre],
		Replaced:        now.Before(s.replacedUntil),
		Suspect:         s.failures >= suspectAfter && now.Sub(s.failedAt) < suspectTime,
	}
}
