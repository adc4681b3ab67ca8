package fleet_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/fleet"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

// TestWarmReportOlderThanColdEvidenceIsIgnored lets reports arrive that were requested before the
// target was known to be cold. They may be of the time before it turned cold.
func TestWarmReportOlderThanColdEvidenceIsIgnored(t *testing.T) {
	warm, cold := target.Report{Incarnation: "a"}, target.Report{Incarnation: "a", Cold: true}
	for _, c := range []struct {
		name     string
		turnCold func(f *fleet.Fleet, now time.Time)
	}{
		{"report", func(f *fleet.Fleet, now time.Time) { f.Observe("t", cold, now) }},
		{"failed attempt", func(f *fleet.Fleet, _ time.Time) { f.MarkSuspect("t") }},
		{"notice of another daemon", func(f *fleet.Fleet, _ time.Time) { f.ApplyNotice("t", "a", true, false) }},
	} {
		clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
		f := &fleet.Fleet{Clock: clock}
		f.Observe("t", warm, clock.Now())
		if f.WarmIncarnation("t") != "a" {
			t.Fatalf("%s: the target isn't warm at first", c.name)
		}
		requestedBefore := clock.Now()
		clock.Advance(100 * time.Millisecond)
		c.turnCold(f, clock.Now())
		clock.Advance(50 * time.Millisecond)
		f.Observe("t", warm, requestedBefore)
		if f.WarmIncarnation("t") != "" {
			t.Errorf("%s: an older report makes the target warm again", c.name)
		}
		f.Observe("t", warm, clock.Now())
		if f.WarmIncarnation("t") != "a" {
			t.Errorf("%s: a newer report doesn't make the target warm again", c.name)
		}
	}
}

// TestReportOfNewIncarnationReplacesColdEvidence restarts a target that was cold.
func TestReportOfNewIncarnationReplacesColdEvidence(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	f := &fleet.Fleet{Clock: clock}
	requestedBefore := clock.Now()
	clock.Advance(time.Second)
	f.Observe("t", target.Report{Incarnation: "a", Cold: true}, clock.Now())
	f.Observe("t", target.Report{Incarnation: "b"}, requestedBefore)
	if got := f.WarmIncarnation("t"); got != "b" {
		t.Errorf("the warm incarnation is %q, want b", got)
	}
}
