package scheduler

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/event"
)

// leaderState is a standby's copy of the leader's stored results and running calls at the
// stage targets. A daemon that leads after the leader has died inherits them: the targets
// store results of requests whose daemons died as well, and no other daemon can free these.
type leaderState struct {
	// leader is the daemon that reported the state; empty if none has.
	leader string
	// holdings are the stored results by handle.
	holdings map[string]dispatch.StoredResult
	// calls are the running calls by ID.
	calls map[uint64]dispatch.ExternalCall
}

const (
	// stateRetention is the age from which results and calls may be removed although their end
	// wasn't reported; targets store results for some seconds.
	stateRetention = 30 * time.Second
	// maxStateEntries is the number of results and calls above which those older than
	// stateRetention are removed.
	maxStateEntries = 50000
)

// apply applies a report of the leader's changes. A report of another daemon than the last one
// replaces the state.
func (l *leaderState) apply(now time.Time, from string, m *clusterpb.Holdings) {
	if l.leader != from || l.holdings == nil {
		*l = leaderState{leader: from, holdings: map[string]dispatch.StoredResult{}, calls: map[uint64]dispatch.ExternalCall{}}
	}
	for _, h := range m.GetMade() {
		l.holdings[h.GetHandle()] = dispatch.StoredResult{Handle: h.GetHandle(), Target: h.GetTarget(), Bytes: h.GetBytes(), CompletedAt: now}
	}
	for _, handle := range m.GetFreed() {
		delete(l.holdings, handle)
	}
	for _, c := range m.GetStarted() {
		l.calls[c.GetID()] = dispatch.ExternalCall{Target: c.GetTarget(), Bytes: c.GetBytes(), ExpectedEnd: now.Add(time.Duration(c.GetLeftMillis()) * time.Millisecond)}
	}
	for _, id := range m.GetEnded() {
		delete(l.calls, id)
	}
	if len(l.holdings)+len(l.calls) > maxStateEntries {
		l.trim(now)
	}
}

// trim removes the entries that are older than stateRetention.
func (l *leaderState) trim(now time.Time) {
	for handle, h := range l.holdings {
		if now.Sub(h.CompletedAt) > stateRetention {
			delete(l.holdings, handle)
		}
	}
	for id, c := range l.calls {
		if now.Sub(c.ExpectedEnd) > stateRetention {
			delete(l.calls, id)
		}
	}
}

// inherit resumes from the state of a leader that no longer answers. A leader that still runs
// hands over its work itself.
func (s *Scheduler) inherit() {
	l := s.leaderState
	s.leaderState = leaderState{}
	if l.leader == "" || s.Mesh.Incarnation(l.leader) != "" {
		return
	}
	holdings := make([]dispatch.StoredResult, 0, len(l.holdings))
	for _, h := range l.holdings {
		holdings = append(holdings, h)
	}
	calls := make([]dispatch.ExternalCall, 0, len(l.calls))
	for _, c := range l.calls {
		calls = append(calls, c)
	}
	s.Log.Emit(event.WorkInherited, "Leader", l.leader, "Results", len(holdings), "Calls", len(calls))
	s.perform(s.planner.Inherit(s.Clock.Now(), holdings, calls))
}

// recordAction adds an action to pendingHoldings if it changes the stored results or the running
// calls.
func (s *Scheduler) recordAction(a dispatch.Action) {
	if s.pendingHoldings == nil {
		s.pendingHoldings = &clusterpb.Holdings{}
	}
	switch a := a.(type) {
	case dispatch.StartCall:
		s.pendingHoldings.Started = append(s.pendingHoldings.Started, &clusterpb.StartedCall{ID: a.Call, Target: a.Target.ID, Bytes: a.Bytes, LeftMillis: a.Expected.Milliseconds()})
	case dispatch.Progress:
		for _, d := range a.Completed {
			s.pendingHoldings.Made = append(s.pendingHoldings.Made, &clusterpb.Holding{Handle: d.Handle, Target: d.Target, Bytes: d.Bytes})
		}
	case dispatch.FreeResults:
		s.pendingHoldings.Freed = append(s.pendingHoldings.Freed, a.Handles...)
	}
}

// recordCallEnded adds the end of a call to pendingHoldings.
func (s *Scheduler) recordCallEnded(call uint64) {
	if s.pendingHoldings == nil {
		s.pendingHoldings = &clusterpb.Holdings{}
	}
	s.pendingHoldings.Ended = append(s.pendingHoldings.Ended, call)
}

// updateStandbys sends the pending changes to the daemons that would lead next. A daemon that
// doesn't lead drops its changes, since no daemon inherits from it.
func (s *Scheduler) updateStandbys() {
	changes := s.pendingHoldings
	if changes == nil || len(changes.GetMade())+len(changes.GetFreed())+len(changes.GetStarted())+len(changes.GetEnded())+len(changes.GetSuspects()) == 0 {
		return
	}
	s.pendingHoldings = nil
	if s.Mesh.Leader() != s.Host {
		return
	}
	for _, host := range s.Mesh.Standbys() {
		s.Mesh.Send(host, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Holdings{Holdings: changes}})
	}
}
