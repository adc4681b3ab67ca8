// Package gate tells a daemon which version of a service's targets a request must go to while a rollout
// runs, and counts what the daemon sees of both versions. It does no I/O.
//
// # Usage
//
//	var g gate.Gate
//	g.SetRollouts(rollouts)                        // when the orders or their phases change
//	g.Announce(r)                                  // a phase from the leader
//	g.SetGrant(service, rowVersion, grant, now)    // a grant from the leader
//	g.SetLeader(known)                             // whether this daemon has a leader
//	g.Arrived(service)                             // once a request
//	side := g.Choose(now, service, hasOld, hasNew) // for each attempt
//	g.Done(service, route, side, good, latency)    // once for each attempt
//	report := g.Report(now, service)               // every 250 ms
package gate

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/rollout"
)

// Side is the version that a request must go to.
type Side int

// The sides. Any is for services without a rollout.
const (
	Any Side = iota
	OldOnly
	NewOnly
)

// Rollout is a rollout as a daemon knows it from the store or the leader.
type Rollout struct {
	Service, To string
	RowVersion  int64
	Phase       rollout.Phase
	// Withheld are versions whose targets count neither as old nor as new, see rollout.State.
	Withheld []string
}

// Gate holds the rollouts and grants of a daemon and counts its requests. It is safe for concurrent use. The
// zero value lets everything pass. It has no leader until SetLeader.
type Gate struct {
	mu        sync.Mutex
	hasLeader bool
	services  map[string]*service
}

// service is the state of one rollout.
type service struct {
	rollout Rollout
	// listed is set once SetRollouts has listed the order. Before, the leader has announced an order that
	// the daemon's copy of the store doesn't have yet.
	listed bool

	grant     int
	targets   int
	expiresAt time.Time

	// switchedAt is when this daemon first chose a side in Switching, ramp the number of choices in RampTime since.
	switchedAt time.Time
	ramp       int

	reached, expiredUnused int64
	oldInProgress          int
	newInProgress          int
	// foreign is the number of attempts in progress at the new version of an earlier order. As many ends of
	// attempts are not counted.
	foreign int
	routes  map[string]*rollout.RouteCounts
}

// SetRollouts replaces the list of rollouts. Phases only rise for one order; a rollout with another row
// version but the same To goes on unless it had ended. A rollout that isn't listed ends, and with it the
// counts, unless the leader announced it and it was never listed.
func (g *Gate) SetRollouts(list []Rollout) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range g.services {
		if s.listed && !slices.ContainsFunc(list, func(r Rollout) bool { return r.Service == name }) {
			delete(g.services, name)
		}
	}
	for _, r := range list {
		s := g.merge(r)
		s.listed = s.listed || s.rollout.RowVersion == r.RowVersion
	}
}

// Announce takes over a rollout and its phase from the leader. Lower phases and earlier orders are ignored.
func (g *Gate) Announce(r Rollout) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.merge(r)
}

// merge takes over a rollout and returns the state of its service.
func (g *Gate) merge(r Rollout) *service {
	s := g.services[r.Service]
	switch {
	case s == nil || r.RowVersion > s.rollout.RowVersion && (r.To != s.rollout.To || s.rollout.Phase.Final()):
		if g.services == nil {
			g.services = map[string]*service{}
		}
		next := &service{rollout: r, routes: map[string]*rollout.RouteCounts{}}
		if s != nil {
			next.oldInProgress, next.foreign = s.oldInProgress, s.newInProgress+s.foreign
		}
		s = next
		g.services[r.Service] = s
	case r.RowVersion >= s.rollout.RowVersion:
		r.Phase = s.rollout.Phase.Raise(r.Phase)
		if len(r.Withheld) == 0 {
			r.Withheld = s.rollout.Withheld
		}
		s.rollout = r
	}
	return s
}

// SetPhase raises the phase of an order. Other orders and lower phases are ignored.
func (g *Gate) SetPhase(service string, rowVersion int64, p rollout.Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.services[service]; s != nil && s.rollout.RowVersion == rowVersion {
		s.rollout.Phase = s.rollout.Phase.Raise(p)
	}
}

// SetLeader tells whether this daemon has a leader. Without one, no request goes to the new version in Canary.
func (g *Gate) SetLeader(known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasLeader = known
}

// SetGrant replaces the grant of a service; what was left of the earlier one has expired unused. A grant
// for an order that the daemon doesn't know is dropped, and is lost to the budget.
func (g *Gate) SetGrant(service string, rowVersion int64, grant rollout.Grant, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil || s.rollout.RowVersion != rowVersion || grant.Requests < 0 {
		return
	}
	s.expiredUnused += int64(s.grant)
	s.grant, s.targets, s.expiresAt = grant.Requests, max(1, grant.Targets), now.Add(grant.ValidFor)
}

// Targets returns the number of new targets to use in Canary, see rollout.Grant, and 0 if there is no limit.
func (g *Gate) Targets(service string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.services[service]; s != nil && s.rollout.Phase == rollout.Canary {
		return max(1, s.targets)
	}
	return 0
}

// Rollout returns the rollout of a service, and false if there is none.
func (g *Gate) Rollout(service string) (Rollout, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil {
		return Rollout{}, false
	}
	return s.rollout, true
}

// Arrived counts a request of the service, before its first attempt.
func (g *Gate) Arrived(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.services[service]; s != nil {
		s.reached++
	}
}

// Choose returns the side for one attempt of a request. In Canary, NewOnly spends one request of the grant.
// HasOld and hasNew tell whether any target of the version is registered, usable or not: while all old
// targets are unusable, requests wait for them as they do without a rollout.
//
// Without old targets, requests go to the new version, but not on a daemon without a leader, and not after
// a roll-back: the callers then get the error of a service without targets.
func (g *Gate) Choose(now time.Time, service string, hasOld, hasNew bool) Side {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil {
		return Any
	}
	side := s.choose(now, g.hasLeader, hasOld, hasNew)
	s.begin(side)
	return side
}

// Begin counts the start of an attempt whose side another daemon has chosen. That daemon calls Abandon instead of
// Done: leaders choose the engines for other daemons, which report the outcome.
func (g *Gate) Begin(service string, side Side) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.services[service]; s != nil {
		s.begin(side)
	}
}

func (s *service) begin(side Side) {
	switch side {
	case OldOnly:
		s.oldInProgress++
	case NewOnly:
		s.newInProgress++
	}
}

func (s *service) choose(now time.Time, hasLeader, hasOld, hasNew bool) Side {
	switch s.rollout.Phase {
	case rollout.Switching:
		if !hasNew || hasOld && s.ramps(now) {
			return OldOnly
		}
		return NewOnly
	case rollout.Succeeded:
		return NewOnly
	case rollout.RolledBack:
		return OldOnly
	}
	if !hasLeader || !hasNew {
		return OldOnly
	}
	s.expire(now)
	if s.grant > 0 {
		s.grant--
		return NewOnly
	}
	if !hasOld {
		return NewOnly
	}
	return OldOnly
}

// ramps reports whether a request at the beginning of Switching goes to the old version.
func (s *service) ramps(now time.Time) bool {
	if s.switchedAt.IsZero() {
		s.switchedAt = now
	}
	if now.Sub(s.switchedAt) >= rollout.RampTime {
		return false
	}
	s.ramp++
	return s.ramp%rollout.RampPart != 0
}

// expire ends a grant whose time is over.
func (s *service) expire(now time.Time) {
	if s.grant > 0 && !now.Before(s.expiresAt) {
		s.expiredUnused += int64(s.grant)
		s.grant = 0
	}
}

// Done counts the end of an attempt for which Choose has returned side. Latency is the time to the first
// event, or to the answer of routes without events; it counts for good answers only.
func (g *Gate) Done(service, route string, side Side, good bool, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil || side == Any || !s.end(side) {
		return
	}
	counts := s.routes[route]
	if counts == nil {
		counts = &rollout.RouteCounts{Route: route}
		s.routes[route] = counts
	}
	sample := &counts.New
	if side == OldOnly {
		sample = &counts.Old
	}
	if !good {
		sample.Bad++
		return
	}
	sample.Good++
	sample.Latencies[rollout.LatencyBucket(latency)]++
}

// Abandon ends an attempt that tells nothing of its target, such as one whose caller has left.
func (g *Gate) Abandon(service string, side Side) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.services[service]; s != nil {
		s.end(side)
	}
}

// end ends an attempt. It returns false if the attempt counts as one of an earlier order.
func (s *service) end(side Side) bool {
	switch {
	case side == OldOnly:
		s.oldInProgress = max(0, s.oldInProgress-1)
	case side == NewOnly && s.foreign > 0:
		s.foreign--
		return false
	case side == NewOnly:
		s.newInProgress = max(0, s.newInProgress-1)
	}
	return true
}

// Report returns the counts of a service. The caller sets Host and Incarnation. It is the zero Report if
// there is no rollout.
func (g *Gate) Report(now time.Time, service string) rollout.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil {
		return rollout.Report{}
	}
	s.expire(now)
	r := rollout.Report{
		RowVersion: s.rollout.RowVersion, Reached: s.reached, Phase: s.rollout.Phase,
		OldInProgress: s.oldInProgress, ExpiredUnused: s.expiredUnused,
	}
	for _, counts := range s.routes {
		r.Routes = append(r.Routes, *counts)
	}
	slices.SortFunc(r.Routes, func(a, b rollout.RouteCounts) int { return strings.Compare(a.Route, b.Route) })
	return r
}
