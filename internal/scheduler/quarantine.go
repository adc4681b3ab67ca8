package scheduler

import (
	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/internal/quarantine"
)

// rejectQuarantined rejects a request whose prompt has a quarantined part, and reports whether it
// did.
func (s *Scheduler) rejectQuarantined(id string, r *request) bool {
	if s.Quarantine == nil {
		return false
	}
	part, blocked := s.Quarantine.Blocks(r.generation.Service, partIDs(r.generation))
	if !blocked {
		return false
	}
	s.Log.Emit(event.JobRejected, "Request", id, "Origin", r.origin, "Reason", string(dispatch.Quarantined), "Service", part.Service, "Part", part.ID)
	s.reject(id, r, string(dispatch.Quarantined), 0)
	return true
}

// recordRequest records that a request was submitted.
func (s *Scheduler) recordRequest(r *request) {
	if s.Quarantine != nil {
		s.Quarantine.RecordRequest(r.generation.Service, partIDs(r.generation))
	}
}

// endRequest removes a request that is over, and records how its last engine answered it.
func (s *Scheduler) endRequest(m *clusterpb.Ended) {
	s.learnEngine(m)
	if r := s.requests[m.GetID()]; r != nil {
		if m.GetAnswered() {
			s.recordAnswer(r)
		}
		if m.GetCrashedAtStart() {
			s.recordCrash(m.GetID(), r)
		}
	}
	s.removeRequest(m.GetID())
}

// recordCrash records that an engine crashed when it began to answer the request.
func (s *Scheduler) recordCrash(id string, r *request) {
	if s.Quarantine == nil {
		return
	}
	changed, found := s.Quarantine.RecordCrash(r.generation.Service, partIDs(r.generation))
	if len(changed) > 0 {
		s.Log.Emit(event.PartSuspected, "Request", id, "Service", r.generation.Service, "Suspects", changed)
	}
	s.recordSuspicions(changed)
	for _, part := range found {
		s.PartQuarantined(part)
	}
}

// recordAnswer records that the request was answered completely.
func (s *Scheduler) recordAnswer(r *request) {
	if s.Quarantine == nil {
		return
	}
	cleared, released := s.Quarantine.RecordAnswer(r.generation.Service, partIDs(r.generation))
	s.recordSuspicions(cleared)
	for _, part := range released {
		s.PartReleased(part)
	}
}

// recordSuspicions adds changed evidence to pendingHoldings.
func (s *Scheduler) recordSuspicions(changed []quarantine.Suspicion) {
	if len(changed) == 0 {
		return
	}
	if s.pendingHoldings == nil {
		s.pendingHoldings = &clusterpb.Holdings{}
	}
	for _, c := range changed {
		s.pendingHoldings.Suspects = append(s.pendingHoldings.Suspects, &clusterpb.Suspect{Service: c.Cause.Service, Part: c.Cause.ID, Crashes: int64(c.Crashes)})
	}
}

// inheritSuspects applies the evidence of the leader.
func (s *Scheduler) inheritSuspects(suspects []*clusterpb.Suspect) {
	if s.Quarantine == nil {
		return
	}
	for _, m := range suspects {
		s.Quarantine.Inherit(quarantine.Suspicion{Cause: quarantine.Cause{Service: m.GetService(), ID: m.GetPart()}, Crashes: int(m.GetCrashes())})
	}
}

// partIDs returns the IDs of the parts of a prompt.
func partIDs(r placement.Request) []string {
	ids := make([]string, 0, len(r.Parts))
	for _, p := range r.Parts {
		ids = append(ids, p.ID)
	}
	return ids
}
