// Package inventory tracks the state of all targets. It combines what the targets report in the
// platform's store, which data centres are taken out of service or can't be reached, and how
// requests of this daemon to the targets ended.
//
// This daemon's own observations take effect at once and remain valid during an outage of the
// store. Targets can't renew their rows during an outage, so that the rows of live targets may
// be missing when the store returns; they reappear shortly after it. Such a row has lapsed, and
// its target is used for a short time longer.
//
// # Usage
//
//	inv := &inventory.Inventory{Clock: clock}
//	inv.ApplyReport(report) // or inv.Remove(id, lapsed)
//	inv.SetDataCentreOut("dc-a", true)
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
	// suspectAfter is the number of consecutive failures that make a target suspect.
	suspectAfter = 2
	// suspectDuration is the time for which a target stays suspect after its last failure.
	suspectDuration = 1500 * time.Millisecond
	// replacedDuration is the time for which a target isn't used after another one has answered
	// at its address; the store removes the row of an ended target within three heartbeats.
	replacedDuration = 4 * time.Second
	// orderGrace is how long a data centre stays out of service whose order is missing since the
	// store was restored from an older copy. Operators write it again.
	orderGrace = 10 * time.Second
	// endedRetention is how long the ends of targets are remembered. The store may come back from a
	// copy that is some seconds old, in which they are listed.
	endedRetention = time.Minute
	// lapseGrace is the time for which a target is used after its row has lapsed; rows of live
	// targets reappear within about 2 s.
	lapseGrace = 1800 * time.Millisecond
)

// Target is the state of a target as seen by this daemon.
type Target struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Version is the version of the target's software.
	Version string
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// StartUnixMillis is when the target started; it distinguishes two starts under one ID.
	StartUnixMillis int64
	// Draining means that the target is shutting down and takes no new work.
	Draining bool
	// Cold means that the target has started recently and handles only a low request rate.
	Cold bool
	// DataCentreOut means that operators have taken its data centre out of service.
	DataCentreOut bool
	// Unreachable means that its data centre can't be reached from this one.
	Unreachable bool
	// Suspect means that the last requests to it failed.
	Suspect bool
	// Replaced means that another target answers at its address.
	Replaced bool
	// Unconfirmed means that the store lists it again since it was restored from an older copy,
	// though it had ended.
	Unconfirmed bool
	// Leaving means that it has said in an answer that it leaves.
	Leaving bool
	// Withheld means that its version is new for its service, and this daemon may not yet know the order
	// of a rollout to it.
	Withheld bool
	// HeldUntil is until when it wants no requests of this daemon; zero if it takes them now.
	HeldUntil time.Time
}

// Usable reports whether new work may be sent to the target, by this daemon unless HeldUntil is set.
// A suspect target is usable.
func (t Target) Usable() bool {
	return !t.Draining && !t.Leaving && !t.DataCentreOut && !t.Unreachable && !t.Replaced && !t.Unconfirmed && !t.Withheld
}

// Inventory holds the state of all targets. The zero value with a clock is ready to use; it is
// safe for concurrent use.
type Inventory struct {
	Clock clockwork.Clock

	mu      sync.Mutex
	targets map[string]*targetState
	// ended holds the times at which starts of targets ended or were replaced by another start.
	ended                  map[startID]time.Time
	notices                notices
	outDataCentres         map[string]outOfService
	unreachableDataCentres map[string]bool
	withheld               map[serviceVersion]bool
	version                uint64
}

// targetState is the last report of a target and what this daemon has observed of it.
type targetState struct {
	report    platform.TargetReport
	coldUntil time.Time
	// failures is the number of consecutive failures, failedAt the time of the last one.
	failures int
	failedAt time.Time
	// replacedUntil is when the target is used again although another one answered at its
	// address.
	replacedUntil time.Time
	// unconfirmedUntil is when a target that had ended is used, unless its row has been removed.
	unconfirmedUntil time.Time
	// removeAt is when a target whose row has lapsed is removed; zero if the row exists.
	removeAt time.Time
}

// outOfService is whether a data centre is taken out of service.
type outOfService struct {
	out bool
	// until is when that ends, zero if it isn't limited.
	until time.Time
}

func (o outOfService) at(now time.Time) bool {
	return o.out && (o.until.IsZero() || now.Before(o.until))
}

// startID identifies one start of a target.
type startID struct {
	id              string
	startUnixMillis int64
}

// ApplyReport stores the report of a target. A report that is older than the stored one of the
// same start is ignored.
func (inv *Inventory) ApplyReport(r platform.TargetReport) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	delete(inv.ended, startID{r.ID, r.StartUnixMillis})
	inv.applyReport(r)
}

// ApplyRestoredReport stores a report that the store lists after it was restored from an older copy.
// The report of a start that has ended is ignored if another start is known. Otherwise the target
// isn't used unless a newer report arrives, or its row is still there after the wait, in which the
// store removes the rows of targets that don't report.
func (inv *Inventory) ApplyRestoredReport(r platform.TargetReport, wait time.Duration) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	if s := inv.targets[r.ID]; s != nil {
		inv.removeLapsed(s)
	}
	_, ended := inv.ended[startID{r.ID, r.StartUnixMillis}]
	if ended && inv.targets[r.ID] != nil {
		return
	}
	inv.applyReport(r)
	if ended {
		inv.targets[r.ID].unconfirmedUntil = inv.Clock.Now().Add(wait)
	}
}

// recordEnd records the end of a target's start.
func (inv *Inventory) recordEnd(r platform.TargetReport) {
	now := inv.Clock.Now()
	if inv.ended == nil {
		inv.ended = map[startID]time.Time{}
	}
	for id, at := range inv.ended {
		if now.Sub(at) > endedRetention {
			delete(inv.ended, id)
		}
	}
	inv.ended[startID{r.ID, r.StartUnixMillis}] = now
}

// applyReport is ApplyReport for callers that hold mu.
func (inv *Inventory) applyReport(r platform.TargetReport) {
	if inv.targets == nil {
		inv.targets = map[string]*targetState{}
	}
	old := inv.targets[r.ID]
	if old != nil && old.report.StartUnixMillis == r.StartUnixMillis && old.report.Address == r.Address {
		if r.Sequence < old.report.Sequence {
			return
		}
		if old.report.Draining {
			r.Draining = true // draining ends only with a new start
		}
	} else {
		if old != nil {
			inv.recordEnd(old.report)
		}
		old = nil
	}
	s := old
	if s == nil {
		s = &targetState{}
		inv.targets[r.ID] = s
		if r.StartUnixMillis == 0 {
			inv.notices.forget(startID{id: r.ID}) // it may be another start, which can't be told apart
		}
	}
	if r.Sequence > s.report.Sequence && !s.replacedUntil.IsZero() {
		s.replacedUntil = time.Time{}
		inv.version++
	}
	if r.Sequence > s.report.Sequence && !s.unconfirmedUntil.IsZero() {
		s.unconfirmedUntil = time.Time{}
		inv.version++
	}
	changed := old == nil || s.report.Draining != r.Draining || !s.removeAt.IsZero() || s.report.Service != r.Service || s.report.DataCentre != r.DataCentre || s.report.SoftwareVersion != r.SoftwareVersion
	wasCold := inv.Clock.Now().Before(s.coldUntil)
	s.report = r
	s.removeAt = time.Time{}
	s.coldUntil = inv.Clock.Now().Add(r.ColdFor)
	if changed || wasCold != (r.ColdFor > 0) {
		inv.version++
	}
}

// Remove handles the removal of a target's row. With lapsed the target is removed only after a
// grace period, since the row of a live target may reappear after an outage of the store.
func (inv *Inventory) Remove(id string, lapsed bool) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	s := inv.targets[id]
	if s == nil {
		return
	}
	if !lapsed {
		inv.recordEnd(s.report)
		delete(inv.targets, id)
		inv.version++
		return
	}
	if s.removeAt.IsZero() {
		s.removeAt = inv.Clock.Now().Add(lapseGrace)
	}
}

// RemoveUnlisted removes all targets whose IDs aren't listed, as Remove does.
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

// SetDataCentreOut sets whether a data centre is taken out of service.
func (inv *Inventory) SetDataCentreOut(dataCentre string, out bool) {
	inv.setDataCentre(dataCentre, outOfService{out: out})
}

// LapseDataCentreOut handles the order that took a data centre out of service if it is missing after
// the store was restored from an older copy. Unless it is given again, it ends after a grace period.
func (inv *Inventory) LapseDataCentreOut(dataCentre string) {
	inv.setDataCentre(dataCentre, outOfService{out: true, until: inv.Clock.Now().Add(orderGrace)})
}

func (inv *Inventory) setDataCentre(dataCentre string, state outOfService) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	if inv.outDataCentres == nil {
		inv.outDataCentres = map[string]outOfService{}
	}
	if inv.outDataCentres[dataCentre] != state {
		inv.outDataCentres[dataCentre] = state
		inv.version++
	}
}

// SetUnreachable sets whether a data centre can't be reached, and reports whether that is a
// change.
func (inv *Inventory) SetUnreachable(dataCentre string, unreachable bool) bool {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	if inv.unreachableDataCentres == nil {
		inv.unreachableDataCentres = map[string]bool{}
	}
	if inv.unreachableDataCentres[dataCentre] == unreachable {
		return false
	}
	inv.unreachableDataCentres[dataCentre] = unreachable
	inv.version++
	return true
}

// RecordFailure records that a request to the target failed in a way that suggests a fault of
// the target.
func (inv *Inventory) RecordFailure(id string) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	if s := inv.targets[id]; s != nil {
		s.failures++
		s.failedAt = inv.Clock.Now()
		inv.version++
	}
}

// MarkReplaced records that another target answers at the target's address. The target has
// probably ended and its row will be removed; a newer report of it makes it usable again.
func (inv *Inventory) MarkReplaced(id string) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	if s := inv.targets[id]; s != nil {
		s.replacedUntil = inv.Clock.Now().Add(replacedDuration)
		inv.version++
	}
}

// RecordSuccess records that the target answered, which resets its failures.
func (inv *Inventory) RecordSuccess(id string) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	if s := inv.targets[id]; s != nil && s.failures > 0 {
		s.failures = 0
		inv.version++
	}
}

// Version returns a number that grows with every change of state, except for those that are
// due to the passing of time alone.
func (inv *Inventory) Version() uint64 {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	return inv.version
}

// Target returns the target with the ID, and false if there is none.
func (inv *Inventory) Target(id string) (Target, bool) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	s := inv.targets[id]
	if s == nil || inv.removeLapsed(s) {
		return Target{}, false
	}
	return inv.describe(s), true
}

// Targets returns the targets of a service, or all targets if the service is empty, sorted by
// ID.
func (inv *Inventory) Targets(service string) []Target {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	var list []Target
	for _, s := range inv.targets {
		if inv.removeLapsed(s) {
			continue
		}
		if service == "" || s.report.Service == service {
			list = append(list, inv.describe(s))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// removeLapsed removes the target if the grace of its lapsed row is over, and reports whether it did.
func (inv *Inventory) removeLapsed(s *targetState) bool {
	if s.removeAt.IsZero() || !inv.Clock.Now().After(s.removeAt) {
		return false
	}
	inv.recordEnd(s.report)
	delete(inv.targets, s.report.ID)
	inv.version++
	return true
}

// describe returns the state of a target at this moment.
func (inv *Inventory) describe(s *targetState) Target {
	now := inv.Clock.Now()
	start := startID{s.report.ID, s.report.StartUnixMillis}
	return Target{
		ID:              s.report.ID,
		Service:         s.report.Service,
		Address:         s.report.Address,
		DataCentre:      s.report.DataCentre,
		Version:         s.report.SoftwareVersion,
		Slots:           s.report.Slots,
		StartUnixMillis: s.report.StartUnixMillis,
		Draining:        s.report.Draining,
		Cold:            now.Before(s.coldUntil),
		DataCentreOut:   inv.outDataCentres[s.report.DataCentre].at(now),
		Unreachable:     inv.unreachableDataCentres[s.report.DataCentre],
		Replaced:        now.Before(s.replacedUntil),
		Unconfirmed:     now.Before(s.unconfirmedUntil),
		Withheld:        inv.withheld[serviceVersion{s.report.Service, s.report.SoftwareVersion}],
		Leaving:         inv.notices.leaving(start),
		HeldUntil:       inv.notices.heldUntil(now, start),
		Suspect:         s.failures >= suspectAfter && now.Sub(s.failedAt) < suspectDuration,
	}
}
