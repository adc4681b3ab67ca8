package inventory_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/platform"
)

func report(sequence int64) platform.TargetReport {
	return platform.TargetReport{ID: "i-1", Service: "desk", Address: "10.0.0.1:80", DataCentre: "a", Slots: 6, StartUnixMillis: 1, Sequence: sequence}
}

func usable(t *testing.T, inv *inventory.Inventory) bool {
	t.Helper()
	target, ok := inv.Target("i-1")
	return ok && target.Usable()
}

func TestReplacedTargetIsLeftUntilItReports(t *testing.T) {
	clock := clockwork.NewFakeClock()
	inv := &inventory.Inventory{Clock: clock}
	inv.ApplyReport(report(1))
	version := inv.Version()
	inv.MarkReplaced("i-1")
	if usable(t, inv) || inv.Version() == version {
		t.Error("a target is used whose address belongs to another one")
	}
	inv.ApplyReport(report(1))
	if usable(t, inv) {
		t.Error("the same report brings the target back")
	}
	inv.ApplyReport(report(2))
	if !usable(t, inv) {
		t.Error("a newer report doesn't bring the target back")
	}
	inv.MarkReplaced("i-1")
	clock.Advance(5 * time.Second)
	if !usable(t, inv) {
		t.Error("the target is left for ever")
	}
}

func TestDrainingTargetStaysOut(t *testing.T) {
	inv := &inventory.Inventory{Clock: clockwork.NewFakeClock()}
	inv.ApplyReport(report(1))
	leaving := report(2)
	leaving.Draining = true
	inv.ApplyReport(leaving)
	inv.ApplyReport(report(3))
	if usable(t, inv) {
		t.Error("a start that was leaving came back")
	}
	again := report(1)
	again.StartUnixMillis = 2
	inv.ApplyReport(again)
	if !usable(t, inv) {
		t.Error("the next start under the same ID isn't used")
	}
}

func TestLapsedEntryCountsForAWhile(t *testing.T) {
	clock := clockwork.NewFakeClock()
	inv := &inventory.Inventory{Clock: clock}
	inv.ApplyReport(report(1))
	inv.Remove("i-1", true)
	clock.Advance(time.Second)
	if len(inv.Targets("desk")) != 1 {
		t.Error("a target whose entry went with the store is gone at once")
	}
	clock.Advance(2 * time.Second)
	if len(inv.Targets("desk")) != 0 {
		t.Error("a target whose entry didn't come back is still used")
	}
	inv.ApplyReport(report(2))
	inv.Remove("i-1", false)
	if len(inv.Targets("desk")) != 0 {
		t.Error("a removed target is still used")
	}
}

func TestSuspicionEndsWithASuccessOrWithTime(t *testing.T) {
	clock := clockwork.NewFakeClock()
	inv := &inventory.Inventory{Clock: clock}
	inv.ApplyReport(report(1))
	suspect := func() bool {
		target, _ := inv.Target("i-1")
		return target.Suspect
	}
	inv.RecordFailure("i-1")
	if suspect() {
		t.Error("one failure is enough")
	}
	inv.RecordFailure("i-1")
	if !suspect() {
		t.Error("two failures in a row aren't enough")
	}
	inv.RecordSuccess("i-1")
	if suspect() {
		t.Error("still suspect after a success")
	}
	inv.RecordFailure("i-1")
	inv.RecordFailure("i-1")
	clock.Advance(2 * time.Second)
	if suspect() {
		t.Error("suspect for ever")
	}
}
