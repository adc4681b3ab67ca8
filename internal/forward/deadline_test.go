package forward

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestRequestIsOverAtItsDeadline lets the deadline pass while the timer of the context is late.
func TestRequestIsOverAtItsDeadline(t *testing.T) {
	clock := clockwork.NewFakeClock()
	q := &requestState{f: &Forwarder{Clock: clock}, deadline: clock.Now().Add(time.Second)}
	if q.isOver(context.Background()) {
		t.Error("a request is over before its deadline")
	}
	clock.Advance(time.Second)
	if !q.isOver(context.Background()) {
		t.Error("a request isn't over at its deadline, so that it is sent again and answered 502 instead of 504")
	}
}
