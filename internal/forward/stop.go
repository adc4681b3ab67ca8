package forward

import (
	"sync"
	"time"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// stopRetryAfter is the delay that a client is asked to wait if this daemon stops; another daemon may
// serve it at once.
const stopRetryAfter = 10 * time.Millisecond

// errStopping ends the requests that wait when the daemon stops.
var errStopping = problem.New(problem.Stopping, "the daemon is stopping")

// stop is the state of the daemon's stop; the zero value is that of a daemon that doesn't stop.
type stop struct {
	mu sync.Mutex
	// announcedAt is when the stop began, closesAt when the connections of clients are closed; both are zero
	// before.
	announcedAt, closesAt time.Time
	// announced is closed once the stop has begun, rejecting once RejectWaiting was called.
	announced, rejecting chan struct{}
}

// initLocked creates the channels. The caller holds the lock.
func (s *stop) initLocked() {
	if s.announced == nil {
		s.announced, s.rejecting = make(chan struct{}), make(chan struct{})
	}
}

// signals returns the channels that are closed once the stop has begun and once waiting requests are rejected.
func (s *stop) signals() (announced, rejecting <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initLocked()
	return s.announced, s.rejecting
}

// AnnounceStop makes the forwarder reject each request that it hasn't passed on, unless the request ends before the
// connections of clients are closed: the client can still go elsewhere. A request ends at its deadline at the
// latest; how long a target needs isn't known. One that was read before the stop and may be repeated is still
// passed on, since rejecting it would waste its stages, and a cut answer can be asked for again.
func (f *Forwarder) AnnounceStop(closesAt time.Time) {
	f.stop.mu.Lock()
	defer f.stop.mu.Unlock()
	if !f.stop.closesAt.IsZero() {
		return
	}
	f.stop.initLocked()
	f.stop.announcedAt, f.stop.closesAt = f.Clock.Now(), closesAt
	close(f.stop.announced)
}

// RejectWaiting rejects the requests that wait to be sent to a target, and each later one, as not run. A
// stopping daemon calls it when an answer could hardly be complete before it closes its connections.
func (f *Forwarder) RejectWaiting() {
	f.stop.mu.Lock()
	defer f.stop.mu.Unlock()
	f.stop.initLocked()
	select {
	case <-f.stop.rejecting:
	default:
		close(f.stop.rejecting)
	}
}

// rejectedByStop reports whether the request must not be passed on any more. What may have run isn't rejected.
func (q *requestState) rejectedByStop() bool {
	s := &q.f.stop
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initLocked()
	select {
	case <-s.rejecting:
		return !q.mayHaveRun
	default:
	}
	if q.mayHaveRun || s.closesAt.IsZero() || !q.deadline.After(s.closesAt) {
		return false
	}
	return !q.route.Idempotent() || !q.readAt.Before(s.announcedAt)
}

// retryAfterStop returns stopRetryAfter if the error says that the daemon stops, otherwise 0.
func retryAfterStop(err error) time.Duration {
	if problem.Of(err) == problem.Stopping {
		return stopRetryAfter
	}
	return 0
}
