package run

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// hedgeTimer is a timer that may be absent. The zero value never fires.
type hedgeTimer struct {
	timer clockwork.Timer
}

// fired returns a channel that receives the time when the timer fires, or a nil channel, on
// which a receive blocks forever, if the timer is absent.
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
