package placement_test

import (
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/placement"
)

// TestHoldBindsOneDaemonAndOneStart holds an engine for the requests of one daemon.
func TestHoldBindsOneDaemonAndOneStart(t *testing.T) {
	s := newSelector(placement.Engine{ID: "a", Incarnation: 1})
	choose := func(host string, at time.Time) bool {
		r := request(0)
		r.Host = host
		_, ok := s.Choose(at, r)
		return ok
	}
	s.Hold(start, "h-1", "a", 1, time.Second)
	r := request(0)
	r.Host = "h-1"
	if wait, held := s.HeldFor(start, r); choose("h-1", start) || !held || wait != time.Second {
		t.Errorf("the daemon is assigned the engine that wants no requests of it; held %v for %v", held, wait)
	}
	if !choose("h-2", start) {
		t.Error("the hold binds another daemon")
	}
	if !choose("h-1", start.Add(time.Second)) {
		t.Error("the hold doesn't end")
	}
	s.Hold(start, "h-1", "a", 1, time.Hour)
	s.SetEngines(start, []placement.Engine{{ID: "a", Service: "llm", Incarnation: 2}})
	if !choose("h-1", start) {
		t.Error("the hold binds the next start of the engine")
	}
}
