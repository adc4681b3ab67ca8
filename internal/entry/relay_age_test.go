package entry

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/cluster"
	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/platform"
)

// TestLateRelaysDoNotKeepFollowerFromReading lets updates arrive in a steady stream, each of them
// late by the same time on the link. A follower must read the store itself if that time exceeds
// the largest age of its copy.
func TestLateRelaysDoNotKeepFollowerFromReading(t *testing.T) {
	for _, c := range []struct {
		name   string
		onLink time.Duration
		reads  bool
	}{
		{"in time", 50 * time.Millisecond, false},
		{"late", 2 * time.Second, true},
	} {
		clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
		d := &Daemon{Clock: clock, mesh: &cluster.Mesh{Clock: clock}, settings: platform.Settings{Host: "follower", Heartbeat: time.Second}}
		d.createTableReaders()
		r := d.tableReaders[platform.TableOperator]
		sentAfter := func() time.Time { return clock.Now().Add(-c.onLink) }
		r.handleUpdate("leader", sentAfter(), &clusterpb.Observed{Table: platform.TableOperator, Whole: true, To: 1})
		read := false
		for version := int64(1); version < 20; version++ {
			clock.Advance(operatorFeedTimeout)
			read = read || r.untilNextRead() <= 0
			r.handleUpdate("leader", sentAfter(), &clusterpb.Observed{Table: platform.TableOperator, From: version, To: version + 1, AgeMillis: 10})
			read = read || r.untilNextRead() <= 0
		}
		if read != c.reads {
			t.Errorf("%s: the follower reads the store: %v, want %v", c.name, read, c.reads)
		}
	}
}

// TestRelayWithoutKnownSendTimeDoesNotConfirmCopy lets an update arrive on a link on which no
// heartbeat has been echoed yet: it may be of any age.
func TestRelayWithoutKnownSendTimeDoesNotConfirmCopy(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	d := &Daemon{Clock: clock, mesh: &cluster.Mesh{Clock: clock}, settings: platform.Settings{Host: "follower", Heartbeat: time.Second}}
	d.createTableReaders()
	r := d.tableReaders[platform.TableOperator]
	r.handleUpdate("leader", time.Time{}, &clusterpb.Observed{Table: platform.TableOperator, Whole: true, To: 1})
	if !r.loaded() || r.untilNextRead() > 0 {
		t.Errorf("loaded is %v and the next read is due in %v, want a loaded copy and a read that is due", r.loaded(), r.untilNextRead())
	}
}
