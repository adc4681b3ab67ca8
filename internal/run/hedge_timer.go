package run

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// hedgeTimer is a timer that may be absent. The zero value never fires.
type hedgeTimer struct {
	timer clockwork.Timer
}

func (t hedgeTimer) fired() <-chan time.Time {
	if t.timer == nil {
		return nil
	}
	return t.timer.Chan()
}

func (t hedgeTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}
