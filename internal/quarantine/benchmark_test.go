package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/quarantine"
)

// BenchmarkRequest records an answer and checks a request, as the owner and the origin of each
// request do, with as many suspected and quarantined parts as a site has in the worst case.
func BenchmarkRequest(b *testing.B) {
	tracker := &quarantine.Tracker{Clock: clockwork.NewRealClock()}
	for i := range 4096 {
		tracker.RecordCrash(llm, []string{fmt.Sprintf("part-%d", i), "own"})
	}
	for i := range 20 {
		tracker.Hold(quarantine.Cause{Service: llm, ID: fmt.Sprintf("fatal-%d", i)})
	}
	parts := []string{"common", "rare", "own"}
	for b.Loop() {
		if _, blocked := tracker.Blocks(llm, parts); blocked {
			b.Fatal("a sound request is blocked")
		}
		tracker.RecordAnswer(llm, parts)
	}
}
