package scheduler

import (
	"slices"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/event"
)

// LeaderChanged sets the daemon that leads now; empty means none, and all requests stay where they
// are. Two daemons that schedule on the same targets would fill the targets' queues and result
// memory twice. So a daemon that no longer leads hands over its requests at once: each one returns
// to the daemon that holds the client connection, which submits it to the new leader together with
// the completed and the running pieces. Results of the running pieces are relayed the same way
// later.
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

// handOver returns all owned requests to their origins, since another daemon leads now.
func (s *Scheduler) handOver(leader string) {
	if len(s.requests) == 0 {
		return
	}
	s.Log.Emit(event.WorkHandedOver, "Leader", leader, "Requests", len(s.requests))
	// Requests whose planner has no job for them, because they have no pieces, are returned
	// here; HandOver returns the others.
	withoutJob := map[string]bool{}
	for id, r := range s.requests {
		s.handedOver[id] = r.origin
		s.selector.Remove(id)
		withoutJob[id] = !s.planner.HasJob(id)
	}
	s.requests = map[string]*request{}
	for id, without := range withoutJob {
		if without {
			s.returnRequest(dispatch.HandedOver{Job: id})
			delete(s.handedOver, id)
		}
	}
	s.perform(s.planner.HandOver(s.Clock.Now()))
}

// returnRequest returns a handed-over request to the daemon that holds the client connection.
func (s *Scheduler) returnRequest(h dispatch.HandedOver) {
	origin := s.handedOver[h.Job]
	if origin == s.Host {
		s.handleReturnedRequest(s.Host, h)
		return
	}
	s.Mesh.Send(origin, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Moved{Moved: &clusterpb.Moved{ID: h.Job, Running: encodeRunning(h.Running)}}})
}

// handleReturnedRequest handles a request that its owner has handed over: it assigns a new owner.
func (s *Scheduler) handleReturnedRequest(from string, h dispatch.HandedOver) {
	t := s.tickets[h.Job]
	if t == nil || t.owner != from {
		return
	}
	t.owner, t.formerOwner = "", from
	t.running, t.runningAt = h.Running, s.Clock.Now()
	s.assignOwner(t)
}

// reportProgress reports completed and freed results to the daemon that holds the client
// connection.
func (s *Scheduler) reportProgress(p dispatch.Progress) {
	origin, handedOver := s.handedOver[p.Job]
	if r := s.requests[p.Job]; r != nil && !handedOver {
		origin = r.origin
	}
	switch origin {
	case "": // the request is unknown
	case s.Host:
		s.handleProgress(s.Host, p)
	default:
		s.Mesh.Send(origin, s.encodeProgress(p))
	}
}

// encodeProgress returns the message for a progress report.
func (s *Scheduler) encodeProgress(p dispatch.Progress) *clusterpb.Envelope {
	return &clusterpb.Envelope{Kind: &clusterpb.Envelope_Progress{Progress: &clusterpb.Progress{
		ID: p.Job, Done: encodeCompleted(s.Clock.Now(), p.Completed), Released: encodeReleased(p.Released),
	}}}
}

// handleProgress handles a progress report. The daemon that holds the client connection stores
// it, so that another owner can resume the request, and relays reports of the former owner to
// the present one, which adds the results to its planner.
func (s *Scheduler) handleProgress(from string, p dispatch.Progress) {
	t := s.tickets[p.Job]
	if t == nil || t.owner != from && t.formerOwner != from {
		// The origin may have relayed the report to this daemon as the present owner.
		if r := s.requests[p.Job]; r != nil && r.origin == from {
			s.perform(s.planner.AddExternalResults(s.Clock.Now(), p.Job, p.Completed))
		}
		return
	}
	t.storeProgress(p)
	switch t.owner {
	case from, "": // the owner has reported, or there is none
	case s.Host:
		s.perform(s.planner.AddExternalResults(s.Clock.Now(), p.Job, p.Completed))
	default:
		s.Mesh.Send(t.owner, s.encodeProgress(p))
	}
}

// storeProgress adds the report to the state from which another owner would resume.
func (t *Ticket) storeProgress(p dispatch.Progress) {
	t.job.Completed = append(t.job.Completed, p.Completed...)
	t.job.Completed = slices.DeleteFunc(t.job.Completed, func(d dispatch.CompletedPiece) bool { return slices.Contains(p.Released, d.Stage) })
	t.running = slices.DeleteFunc(t.running, func(r dispatch.RunningPiece) bool {
		return slices.ContainsFunc(p.Completed, func(d dispatch.CompletedPiece) bool { return d.Stage == r.Stage && d.Index == r.Index })
	})
}
