package dispatch_test

import (
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
)

// TestHeldTargetGetsNoCalls has a target reject a call and want no others for a time. Its failure pauses
// it for a shorter time, which must not shorten the hold.
func TestHeldTargetGetsNoCalls(t *testing.T) {
	p := planner(0, target("f1", "first", "a"), target("f2", "first", "a"), target("s", "second", "a"))
	rejectedCall := calls(p.Submit(begin, chain("j")))[0]
	p.HoldTarget(begin, rejectedCall.Target.ID, 0, time.Second)
	again := calls(p.CallFailed(begin, rejectedCall.Call, dispatch.Full))
	if len(again) != 1 || again[0].Target.ID == rejectedCall.Target.ID {
		t.Fatalf("calls after the rejection: %+v", again)
	}
	var started []dispatch.StartCall
	for i := range 8 {
		j := chain(string(rune('k' + i)))
		j.Stages[0].Pieces = 4
		started = append(started, calls(p.Submit(begin.Add(100*time.Millisecond), j))...)
	}
	for at := 120 * time.Millisecond; at < time.Second; at += 20 * time.Millisecond {
		started = append(started, calls(p.Tick(begin.Add(at)))...)
	}
	for _, c := range started {
		if c.Target.ID == rejectedCall.Target.ID {
			t.Errorf("the held target got a call %v after the rejection", c.Started.Sub(begin))
		}
	}
	if after := calls(p.Tick(begin.Add(time.Second))); len(after) != 1 || after[0].Target.ID != rejectedCall.Target.ID {
		t.Errorf("calls after the hold: %+v", after)
	}
}

// TestJobsAreRejectedAtOnceWhileAllTargetsAreHeld replays a service all of whose targets want no calls:
// a job that can't be done in time is rejected at once, with the time until one wants calls again.
func TestJobsAreRejectedAtOnceWhileAllTargetsAreHeld(t *testing.T) {
	p := planner(0, target("f1", "first", "a"), target("f2", "first", "a"), target("s", "second", "a"))
	p.HoldTarget(begin, "f1", 0, 5*time.Second)
	p.HoldTarget(begin, "f2", 0, 4500*time.Millisecond)
	actions := append(p.Submit(begin, chain("j")), p.Tick(begin)...)
	r := rejected(actions)
	if len(r) != 1 || len(calls(actions)) != 0 || r[0].RetryAfter != 4500*time.Millisecond {
		t.Fatalf("actions: %+v", actions)
	}
	// A hold that ends in time lets the job wait.
	p = planner(0, target("f1", "first", "a"), target("s", "second", "a"))
	p.HoldTarget(begin, "f1", 0, 300*time.Millisecond)
	actions = append(p.Submit(begin, chain("j")), p.Tick(begin)...)
	if len(rejected(actions)) != 0 {
		t.Errorf("rejected although the target wants calls in time: %+v", actions)
	}
	if got := calls(p.Tick(begin.Add(300 * time.Millisecond))); len(got) != 1 {
		t.Errorf("calls after the hold: %+v", got)
	}
}

// TestNoticeOfFormerStartIsIgnored holds and closes a start of a target that has ended.
func TestNoticeOfFormerStartIsIgnored(t *testing.T) {
	next := target("f", "first", "a")
	next.Incarnation = 2
	p := planner(0, next, target("s", "second", "a"))
	p.HoldTarget(begin, "f", 1, time.Second)
	p.CloseTarget("f", 1)
	if got := calls(p.Submit(begin, chain("j"))); len(got) != 1 || p.Held(begin, "f") {
		t.Errorf("calls: %+v", got)
	}
	p.CloseTarget("f", 2)
	if got := calls(p.Submit(begin, chain("k"))); len(got) != 0 {
		t.Errorf("the closed target got %+v", got)
	}
}
