package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/placement"
)

// Requests that only the rate limits of engines hold wait for them, the most urgent ones first. One that would wait beyond
// its deadline is rejected at once.

// hold keeps a request until a rate limit allows it.
func (s *Scheduler) hold(id string, r *request) {
	r.heldByRate = true
	s.held[id] = r
}

// assignHeld retries the requests that rate limits hold.
func (s *Scheduler) assignHeld() {
	for _, id := range s.heldRequests("") {
		if r := s.requests[id]; r != nil && r.heldByRate {
			s.assign(id, r)
		}
	}
}

// assignBefore retries the held requests that go before a request which wasn't held so far.
func (s *Scheduler) assignBefore(id string, r *request) {
	if r.heldByRate {
		return
	}
	for _, other := range s.heldRequests(r.generation.Service) {
		o := s.requests[other]
		if s.compareHeld(other, id) > 0 {
			return
		}
		if s.assign(other, o); s.requests[other] == o && o.heldByRate {
			return
		}
	}
}

// heldRequests returns the IDs of the requests of a service, or of all services if it is empty, that rate limits hold, in
// the order in which they are assigned.
func (s *Scheduler) heldRequests(service string) []string {
	var ids []string
	for id, r := range s.held {
		switch {
		case s.requests[id] != r || !r.heldByRate:
			delete(s.held, id)
		case service == "" || r.generation.Service == service:
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, s.compareHeld)
	return ids
}

// compareHeld compares two requests by the order in which they are assigned: by priority, then by deadline.
func (s *Scheduler) compareHeld(a, b string) int {
	ra, rb := s.requests[a], s.requests[b]
	return cmp.Or(cmp.Compare(ra.priority, rb.priority), ra.expiresAt.Compare(rb.expiresAt), strings.Compare(a, b))
}

// rejectHopeless rejects a request that has to wait beyond its deadline for the limits that all engines of its service
// name, and reports whether it did. The client may retry when the limits allow it.
func (s *Scheduler) rejectHopeless(now time.Time, id string, r *request) bool {
	if s.Limits.Empty() {
		return false
	}
	ahead := 0
	for _, other := range s.heldRequests(r.generation.Service) {
		if s.compareHeld(other, id) < 0 {
			ahead++
		}
	}
	wait, known := s.selector.RateWait(now, r.generation, ahead)
	switch {
	case !known:
		return false
	case wait == placement.NoShare && r.origin != s.Host:
		return false // the origin submits it to the leader
	case wait == placement.NoShare:
		wait = noTargetRetryAfter
	case !now.Add(wait).After(r.expiresAt.Add(-retentionAfterDeadline)):
		return false
	}
	s.Log.Emit(event.JobRejected, "Request", id, "Origin", r.origin, "Reason", string(dispatch.Limited), "Service", r.generation.Service,
		"Ahead", ahead, "RetryAfterMillis", wait.Milliseconds())
	s.reject(id, r, string(dispatch.Limited), wait)
	return true
}
