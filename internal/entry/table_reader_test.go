package entry

import (
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/platform"
)

// TestRelayWithoutAgeIsNoOutage confirms a copy that was relayed over a new link, on which the time of
// sending isn't known. Only if the copy was old when it was sent may rows have lapsed in an outage.
func TestRelayWithoutAgeIsNoOutage(t *testing.T) {
	for _, c := range []struct {
		name      string
		ageMillis int64
		used      bool
	}{
		{"a table just read", 100, false},
		{"a table whose age the sender doesn't know", unknownAge.Milliseconds(), false},
		{"a table from before an outage", 60_000, true},
	} {
		r, clock := newTestReader(t, platform.TableTargets)
		value := targetRow("i-left", "ready", 1, 0).Value
		inventory := r.daemon.inventory
		r.handleUpdate("leader", time.Time{}, &clusterpb.Observed{Table: r.table, Whole: true, To: 4, AgeMillis: c.ageMillis, Rows: []*clusterpb.Row{{Key: "i-left", Version: 4, Value: value}}})
		clock.Advance(time.Second)
		r.handleUpdate("leader", clock.Now(), &clusterpb.Observed{Table: r.table, From: 4, To: 4})
		clock.Advance(time.Second)
		r.handleUpdate("leader", clock.Now(), &clusterpb.Observed{Table: r.table, From: 4, To: 5, Rows: []*clusterpb.Row{{Key: "i-left", Version: 5, Deleted: true}}})
		if target, ok := inventory.Target("i-left"); ok && target.Usable() != c.used || ok != c.used {
			t.Errorf("%s: the target whose row is gone is in use: %v, want %v", c.name, ok, c.used)
		}
	}
}
