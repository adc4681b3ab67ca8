package scheduler

import (
	"slices"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/event"
)

// LeaderChanged says which daemon leads now; empty means none. Two daemons that dispatch
// beside each other fill the targets' queues and rooms twice, so that a daemon which no
// longer leads hands over what it works on at once: each request goes back to the daemon
// that holds its client, which passes it on with the results made so far and the pieces
// that still run. Results of those come the same way later.
func (s *Scheduler) LeaderChanged(leader string) {
	s.post(func() {
		switch leader {
		case "":
		case s.Host:
			s.planner.TakeOver(s.Clock.Now())
			s.inherit()
		default:
			s.handOver(leader)
		}
	})
}

func (s *Scheduler) handOver(leader string) {
	if len(s.owned) == 0 {
		return
	}
	s.Log.Emit(event.WorkHandedOver, "Leader", leader, "Requests", len(s.owned))
	unplanned := map[string]bool{}
	for id, o := range s.owned {
		s.moved[id] = o.origin
		s.board.Remove(id)
		unplanned[id] = !s.planner.HasJob(id)
	}
	s.owned = map[string]*owned{}
	for id, alone := range unplanned {
		if alone {
			s.tellMoved(dispatch.HandedOver{Job: id})
			delete(s.moved, id)
		}
	}
	s.perform(s.planner.HandOver(s.Clock.Now()))
}

// tellMoved gives a request back to the daemon that holds its client.
func (s *Scheduler) tellMoved(m dispatch.HandedOver) {
	origin := s.moved[m.Job]
	if origin == s.Host {
		s.takeMoved(s.Host, m)
		return
	}
	s.Mesh.Send(origin, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Moved{Moved: &clusterpb.Moved{ID: m.Job, Running: encodeRunning(m.Running)}}})
}

// takeMoved takes a request back from the daemon that worked on it and passes it on.
func (s *Scheduler) takeMoved(from string, m dispatch.HandedOver) {
	t := s.tickets[m.Job]
	if t == nil || t.owner != from {
		return
	}
	t.owner, t.former = "", from
	t.running, t.runningAt = m.Running, s.Clock.Now()
	s.place(t)
}

// report tells the daemon that holds the client of results that were made or given up.
func (s *Scheduler) report(p dispatch.Progress) {
	origin, moved := s.moved[p.Job]
	if o := s.owned[p.Job]; o != nil && !moved {
		origin = o.origin
	}
	switch origin {
	case "":
	case s.Host:
		s.progress(s.Host, p)
	default:
		s.Mesh.Send(origin, s.encodeProgress(p))
	}
}

func (s *Scheduler) encodeProgress(p dispatch.Progress) *clusterpb.Envelope {
	return &clusterpb.Envelope{Kind: &clusterpb.Envelope_Progress{Progress: &clusterpb.Progress{
		ID: p.Job, Done: encodeDone(s.Clock.Now(), p.Completed), Released: encodeReleased(p.Released),
	}}}
}

// progress takes what was made or given up of a request. The daemon that holds the client
// keeps it for the case that another one must go on, and passes on what comes from a former
// owner; the owner uses that.
func (s *Scheduler) progress(from string, p dispatch.Progress) {
	t := s.tickets[p.Job]
	if t == nil || t.owner != from && t.former != from {
		if o := s.owned[p.Job]; o != nil && o.origin == from {
			s.perform(s.planner.AddExternalResults(s.Clock.Now(), p.Job, p.Completed))
		}
		return
	}
	t.keep(p)
	switch t.owner {
	case from, "":
	case s.Host:
		s.perform(s.planner.AddExternalResults(s.Clock.Now(), p.Job, p.Completed))
	default:
		s.Mesh.Send(t.owner, s.encodeProgress(p))
	}
}

// keep takes results into what another daemon would go on from.
func (t *Ticket) keep(p dispatch.Progress) {
	t.job.Completed = append(t.job.Completed, p.Completed...)
	t.job.Completed = slices.DeleteFunc(t.job.Completed, func(d dispatch.CompletedPiece) bool { return slices.Contains(p.Released, d.Stage) })
	t.running = slices.DeleteFunc(t.running, func(r dispatch.RunningPiece) bool {
		return slices.ContainsFunc(p.Completed, func(d dispatch.CompletedPiece) bool { return d.Stage == r.Stage && d.Index == r.Index })
	})
}
