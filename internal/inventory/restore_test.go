package inventory_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/inventory"
)

// TestEndedTargetIsNotUsedWhenItsRowIsRestored restores the row of a target that has left: it must not
// be used unless it reports again, or its row isn't removed within the wait.
func TestEndedTargetIsNotUsedWhenItsRowIsRestored(t *testing.T) {
	const wait = 4 * time.Second
	for _, c := range []struct {
		name string
		then func(inv *inventory.Inventory, clock *clockwork.FakeClock)
		used bool
	}{
		{"silent", func(*inventory.Inventory, *clockwork.FakeClock) {}, false},
		{"reports again", func(inv *inventory.Inventory, _ *clockwork.FakeClock) { inv.ApplyReport(report(8)) }, true},
		{"its row is removed", func(inv *inventory.Inventory, clock *clockwork.FakeClock) {
			inv.Remove("i-1", false)
			clock.Advance(2 * wait)
		}, false},
		{"its row stays", func(_ *inventory.Inventory, clock *clockwork.FakeClock) { clock.Advance(2 * wait) }, true},
	} {
		clock := clockwork.NewFakeClock()
		inv := &inventory.Inventory{Clock: clock}
		inv.ApplyReport(report(5))
		inv.Remove("i-1", false)
		inv.ApplyRestoredReport(report(7), wait) // reports 6 and 7 weren't relayed to this daemon
		c.then(inv, clock)
		if used := usable(t, inv); used != c.used {
			t.Errorf("%s: usable is %v, want %v", c.name, used, c.used)
		}
	}
}

// TestLapsedTargetIsNotUsedWhenItsRowIsRestored restores the row of a target whose grace has passed.
func TestLapsedTargetIsNotUsedWhenItsRowIsRestored(t *testing.T) {
	clock := clockwork.NewFakeClock()
	inv := &inventory.Inventory{Clock: clock}
	inv.ApplyReport(report(5))
	inv.Remove("i-1", true)
	clock.Advance(3 * time.Second)
	inv.ApplyRestoredReport(report(5), 4*time.Second)
	if usable(t, inv) {
		t.Error("a target whose row has lapsed is usable when the row is restored")
	}
}

func TestEarlierStartOfTargetIsNotUsedWhenItsRowIsRestored(t *testing.T) {
	inv := &inventory.Inventory{Clock: clockwork.NewFakeClock()}
	first, second := report(9), report(1)
	second.StartUnixMillis, second.Address = 2, "127.0.0.1:2"
	inv.ApplyReport(first)
	inv.ApplyReport(second)
	inv.ApplyRestoredReport(first, time.Second)
	if target, _ := inv.Target("i-1"); target.Address != second.Address || !target.Usable() {
		t.Errorf("the target is %+v, want its second start", target)
	}
}

func TestLiveTargetIsUsedWhenItsRowIsRestored(t *testing.T) {
	inv := &inventory.Inventory{Clock: clockwork.NewFakeClock()}
	inv.ApplyRestoredReport(report(3), time.Second)
	if !usable(t, inv) {
		t.Error("a target that was unknown before the restore isn't used")
	}
	draining := report(4)
	draining.Draining = true
	inv.ApplyReport(draining)
	inv.ApplyRestoredReport(report(3), time.Second)
	if usable(t, inv) {
		t.Error("a target that drains is used after the restore")
	}
}

func TestDataCentreStaysOutWhenItsOrderIsLost(t *testing.T) {
	clock := clockwork.NewFakeClock()
	inv := &inventory.Inventory{Clock: clock}
	inv.ApplyReport(report(1))
	inv.SetDataCentreOut("a", true)
	inv.LapseDataCentreOut("a")
	clock.Advance(5 * time.Second)
	if usable(t, inv) {
		t.Error("a target is used 5 s after the store lost the order that took its data centre out of service")
	}
	clock.Advance(6 * time.Second)
	if !usable(t, inv) {
		t.Error("a target isn't used although its data centre was not taken out of service again")
	}
	inv.LapseDataCentreOut("a")
	inv.SetDataCentreOut("a", true)
	clock.Advance(time.Minute)
	if usable(t, inv) {
		t.Error("a target is used although its data centre was taken out of service again")
	}
}
