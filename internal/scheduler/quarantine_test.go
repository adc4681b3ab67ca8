package scheduler_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/internal/quarantine"
	"github.com/sequoiapick/sequoiapick/internal/scheduler"
)

// quarantined records the parts that a daemon has found.
type quarantined struct {
	mu    sync.Mutex
	parts []quarantine.Cause
}

func (q *quarantined) add(p quarantine.Cause) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.parts = append(q.parts, p)
}

func (q *quarantined) count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.parts)
}

// startQuarantine gives each daemon a tracker of its own and returns what they find.
func startQuarantine(n *network) *quarantined {
	found := &quarantined{}
	for _, s := range n.schedulers {
		s.Quarantine = &quarantine.Tracker{Clock: clockwork.NewRealClock()}
		s.PartQuarantined, s.PartReleased = found.add, func(quarantine.Cause) {}
	}
	return found
}

// partJob returns a job without stages whose prompt has the part between a common one and its own.
func partJob(id, part string) scheduler.Job {
	j := job(id)
	j.Stages = nil
	for _, p := range []string{"common", part, "own-" + id} {
		j.Generation.Parts = append(j.Generation.Parts, placement.Part{ID: p, Tokens: 10})
	}
	return j
}

// crash submits a request with the part, whose engine crashes.
func crash(t *testing.T, s *scheduler.Scheduler, id, part string) {
	t.Helper()
	ticket := s.Submit(partJob(id, part))
	assigned(t, ticket)
	ticket.EngineCrashedAtStart()
	ticket.Close()
	time.Sleep(200 * time.Millisecond) // crashes within a shorter time count as one
}

// answer submits requests whose engine answers them.
func answer(t *testing.T, s *scheduler.Scheduler, prefix string) {
	t.Helper()
	for i := range 3 {
		ticket := s.Submit(partJob(fmt.Sprintf("%s-%d", prefix, i), "sound"))
		assigned(t, ticket)
		ticket.AnswerCompleted()
		ticket.Close()
	}
}

// TestNextLeaderContinuesEvidenceOfCrashedLeader crashes the leader after two crashes of engines: its
// successor must quarantine the part at the third, reject requests with it and go on with those
// that share the other parts.
func TestNextLeaderContinuesEvidenceOfCrashedLeader(t *testing.T) {
	n, _ := start(t)
	found := startQuarantine(n)
	origin := n.schedulers["c"]
	crash(t, origin, "1", "fatal")
	answer(t, origin, "before")
	crash(t, origin, "2", "fatal")
	n.crash("a")
	n.elect("b")
	answer(t, origin, "after")
	if found.count() > 0 {
		t.Fatal("the part is quarantined after two crashes")
	}
	crash(t, origin, "3", "fatal")
	eventually(t, "the part is quarantined", func() bool { return found.count() == 1 })
	ticket := origin.Submit(partJob("4", "fatal"))
	defer ticket.Close()
	select {
	case u := <-ticket.Updates:
		if rejected, ok := u.(scheduler.Rejected); !ok || rejected.Reason != string(dispatch.Quarantined) {
			t.Errorf("the request with the part got %+v, want a rejection as quarantined", u)
		}
	case <-time.After(time.Second):
		t.Error("the request with the part has no answer")
	}
	answer(t, origin, "sound")
}
