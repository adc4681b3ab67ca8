package forward

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/internal/scheduler"
	"github.com/sequoiapick/sequoiapick/platform"
)

// maxGaps is the number of times between events that are stored of an answer. Later ones aren't: the first ones tell the
// speed of the engine well enough.
const maxGaps = 64

// eventTimes measures the times of the events of one answer. The zero value measures nothing.
type eventTimes struct {
	clock clockwork.Clock
	// sentAt is when the request was sent, firstEvent how long after that the first event arrived, 0 before.
	sentAt     time.Time
	firstEvent time.Duration
	lastAt     time.Time
	gaps       []time.Duration
}

// eventsArrived records the arrival of a number of events now.
func (e *eventTimes) eventsArrived(count int) {
	if e.clock != nil {
		e.record(e.clock.Now(), count)
	}
}

// record records the arrival of a number of events.
func (e *eventTimes) record(now time.Time, count int) {
	switch {
	case e.firstEvent == 0:
		e.firstEvent = now.Sub(e.sentAt)
	case count > 0 && len(e.gaps) < maxGaps:
		e.gaps = append(e.gaps, now.Sub(e.lastAt)/time.Duration(count))
	}
	e.lastAt = now
}

// typicalGap returns the median of the times between events, 0 if there are none. Unlike the mean it doesn't depend on
// the part of the answer in which the engine's machine was slow, unless that is half of it.
func (e *eventTimes) typicalGap() time.Duration {
	if len(e.gaps) == 0 {
		return 0
	}
	slices.Sort(e.gaps)
	return e.gaps[len(e.gaps)/2]
}

// reportLoad passes on the load that an engine has sent with its answer, nil if it sent none.
func (q *requestState) reportLoad(ticket *scheduler.Ticket, target inventory.Target, load *platform.Load) {
	if load == nil {
		return
	}
	report := newReport(target, q.f.Clock.Now(), load)
	q.f.Loads.Record(report)
	ticket.EngineLoad(report)
}
