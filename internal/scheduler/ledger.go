package scheduler

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/event"
)

// ledger is what the leader has told of its results and calls at the stage targets. A
// daemon that must lead after the leader has died goes on from it: targets are full of
// results of requests whose daemons died as well, which nobody else can give up.
type ledger struct {
	leader   string
	holdings map[string]dispatch.StoredResult
	calls    map[uint64]dispatch.ExternalCall
}

const (
	// ledgerKept is the time after which results are forgotten that were never given up;
	// targets keep them for some seconds.
	ledgerKept = 30 * time.Second
	// ledgerSize bounds the results that are remembered.
	ledgerSize = 50000
)

// take takes what a leader tells.
func (l *ledger) take(now time.Time, from string, m *clusterpb.Holdings) {
	if l.leader != from || l.holdings == nil {
		*l = ledger{leader: from, holdings: map[string]dispatch.StoredResult{}, calls: map[uint64]dispatch.ExternalCall{}}
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
	if len(l.holdings)+len(l.calls) > ledgerSize {
		l.trim(now)
	}
}

// trim forgets what is old.
func (l *ledger) trim(now time.Time) {
	for handle, h := range l.holdings {
		if now.Sub(h.CompletedAt) > ledgerKept {
			delete(l.holdings, handle)
		}
	}
	for id, c := range l.calls {
		if now.Sub(c.ExpectedEnd) > ledgerKept {
			delete(l.calls, id)
		}
	}
}

// inherit goes on from what a leader had that doesn't answer any more. One that lives hands
// its work over itself.
func (s *Scheduler) inherit() {
	l := s.ledger
	s.ledger = ledger{}
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

// note keeps what the next leader must know of an action.
func (s *Scheduler) note(a dispatch.Action) {
	if s.news == nil {
		s.news = &clusterpb.Holdings{}
	}
	switch a := a.(type) {
	case dispatch.StartCall:
		s.news.Started = append(s.news.Started, &clusterpb.StartedCall{ID: a.Call, Target: a.Target.ID, Bytes: a.Bytes, LeftMillis: a.Expected.Milliseconds()})
	case dispatch.Progress:
		for _, d := range a.Completed {
			s.news.Made = append(s.news.Made, &clusterpb.Holding{Handle: d.Handle, Target: d.Target, Bytes: d.Bytes})
		}
	case dispatch.FreeResults:
		s.news.Freed = append(s.news.Freed, a.Handles...)
	}
}

func (s *Scheduler) noteEnded(call uint64) {
	if s.news == nil {
		s.news = &clusterpb.Holdings{}
	}
	s.news.Ended = append(s.news.Ended, call)
}

// tellStandbys tells the daemons that would lead next of what has changed.
func (s *Scheduler) tellStandbys() {
	news := s.news
	if news == nil || len(news.GetMade())+len(news.GetFreed())+len(news.GetStarted())+len(news.GetEnded()) == 0 {
		return
	}
	s.news = nil
	if s.Mesh.Leader() != s.Host {
		return
	}
	for _, host := range s.Mesh.Standbys() {
		s.Mesh.Send(host, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Holdings{Holdings: news}})
	}
}
