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

func TestReplacedTargetIsUnusableUntilNewerReportOrTimeout(t *testing.T) {
	clock := clockwork.NewFakeClock()
	inv := &inventory.Inventory{Clock: clock}
	inv.ApplyReport(report(1))
	version := inv.Version()
	inv.MarkReplaced("i-1")
	if usable(t, inv) || inv.Version() == version {
		t.Error("a replaced target is usable")
	}
	inv.ApplyReport(report(1))
	if usable(t, inv) {
		t.Error("the old report makes the replaced target usable")
	}
	inv.ApplyReport(report(2))
	if !usable(t, inv) {
		t.Error("the target is unusable after a newer report")
	}
	inv.MarkReplaced("i-1")
	clock.Advance(5 * time.Second)
	if !usable(t, inv) {
		t.Error("the target is unusable after the timeout")
	}
}

func TestDrainingTargetIsUnusableUntilRestart(t *testing.T) {
	inv := &inventory.Inventory{Clock: clockwork.NewFakeClock()}
	inv.ApplyReport(report(1))
	draining := report(2)
	draining.Draining = true
	inv.ApplyReport(draining)
	inv.ApplyReport(report(3))
	if usable(t, inv) {
		t.Error("a draining target became usable without a restart")
	}
	restarted := report(1)
	restarted.StartUnixMillis = 2
	inv.ApplyReport(restarted)
	if !usable(t, inv) {
		t.Error("the restarted target is unusable")
	}
}

func TestTargetWithLapsedRowIsRemovedAfterGrace(t *testing.T) {
	clock := clockwork.NewFakeClock()
	inv := &inventory.Inventory{Clock: clock}
	inv.ApplyReport(report(1))
	inv.Remove("i-1", true)
	clock.Advance(time.Second)
	if len(inv.Targets("desk")) != 1 {
		t.Error("a target with a lapsed row was removed before the grace ended")
	}
	clock.Advance(2 * time.Second)
	if _, known := inv.Target("i-1"); known {
		t.Error("a target with a lapsed row is known after the grace")
	}
	if len(inv.Targets("desk")) != 0 {
		t.Error("a target with a lapsed row remains after the grace")
	}
	inv.ApplyReport(report(2))
	inv.Remove("i-1", false)
	if len(inv.Targets("desk")) != 0 {
		t.Error("a removed target remains")
	}
}

func TestSuspectTargetRecoversAfterSuccessOrTimeout(t *testing.T) {
	clock := clockwork.NewFakeClock()
	inv := &inventory.Inventory{Clock: clock}
	inv.ApplyReport(report(1))
	suspect := func() bool {
		target, _ := inv.Target("i-1")
		return target.Suspect
	}
	inv.RecordFailure("i-1")
	if suspect() {
		t.Error("suspect after one failure")
	}
	inv.RecordFailure("i-1")
	if !suspect() {
		t.Error("not suspect after two consecutive failures")
	}
	inv.RecordSuccess("i-1")
	if suspect() {
		t.Error("still suspect after a success")
	}
	inv.RecordFailure("i-1")
	inv.RecordFailure("i-1")
	clock.Advance(2 * time.Second)
	if suspect() {
		t.Error("still suspect after the timeout")
	}
}
