package inventory_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/platform"
)

// TestLeavingTargetIsUnusableUntilNewStart has a target say that it leaves. Its reports still say that
// it is ready, and its row goes and comes back, as after an outage of the store.
func TestLeavingTargetIsUnusableUntilNewStart(t *testing.T) {
	clock := clockwork.NewFakeClock()
	inv := &inventory.Inventory{Clock: clock}
	inv.ApplyReport(report(1))
	version := inv.Version()
	if !inv.MarkLeaving("i-1", 1) || inv.MarkLeaving("i-1", 1) {
		t.Error("the first notice must be news, the second must not")
	}
	if usable(t, inv) || inv.Version() == version {
		t.Error("a leaving target is usable")
	}
	inv.ApplyReport(report(2))
	inv.Remove("i-1", false)
	inv.ApplyReport(report(3))
	clock.Advance(time.Hour)
	if usable(t, inv) {
		t.Error("a leaving target is usable again without a new start")
	}
	next := report(1)
	next.StartUnixMillis = 2
	inv.ApplyReport(next)
	if !usable(t, inv) {
		t.Error("the next start of the target is unusable")
	}
	inv.MarkLeaving("i-1", 1)
	if !usable(t, inv) {
		t.Error("a late notice of the start before makes the present one unusable")
	}
}

func TestNoticeOfUnknownStartEndsWithItsRow(t *testing.T) {
	inv := &inventory.Inventory{Clock: clockwork.NewFakeClock()}
	unknown := platform.TargetReport{ID: "i-1", Address: "10.0.0.1:80", Sequence: 1}
	inv.ApplyReport(unknown)
	inv.MarkLeaving("i-1", 0)
	inv.Remove("i-1", false)
	inv.ApplyReport(unknown)
	if !usable(t, inv) {
		t.Error("a target without a start is unusable for good")
	}
}

func TestHeldTargetIsHeldForItsTime(t *testing.T) {
	clock := clockwork.NewFakeClock()
	inv := &inventory.Inventory{Clock: clock}
	inv.ApplyReport(report(1))
	inv.Hold("i-1", 1, 2*time.Second)
	inv.Hold("i-1", 1, time.Second) // a shorter hold doesn't end the longer one
	clock.Advance(1500 * time.Millisecond)
	target, _ := inv.Target("i-1")
	if want := clock.Now().Add(500 * time.Millisecond); !target.Usable() || !target.HeldUntil.Equal(want) {
		t.Errorf("usable %v, held until %v, want true and %v", target.Usable(), target.HeldUntil, want)
	}
	clock.Advance(500 * time.Millisecond)
	if target, _ := inv.Target("i-1"); !target.HeldUntil.IsZero() {
		t.Error("the target is held after its time")
	}
	inv.Hold("i-1", 1, time.Second)
	next := report(1)
	next.StartUnixMillis = 2
	inv.ApplyReport(next)
	if target, _ := inv.Target("i-1"); !target.HeldUntil.IsZero() {
		t.Error("the next start of the target is held")
	}
}
