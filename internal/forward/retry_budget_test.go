package forward

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// newBudget returns a budget with a ratio of 0.2 and a slack of 10 repeats in 10 s, shared
// by five daemons.
func newBudget(clock clockwork.Clock) *RetryBudget {
	return &RetryBudget{Clock: clock, Ratio: 0.2, Slack: 10, Window: 10 * time.Second, Daemons: func() int { return 5 }}
}

func TestRepeatsStayBelowSharedBudget(t *testing.T) {
	b := newBudget(clockwork.NewFakeClock())
	for range 100 {
		b.CountFirst("llm")
	}
	repeats := 0
	for range 100 {
		if b.TryRepeat("llm") {
			repeats++
		}
	}
	// One of five daemons has a fifth of the slack.
	if limit := 0.2*100 + 10.0/5; repeats == 0 || float64(repeats) > limit {
		t.Errorf("%d repeats, want some, and %v at most", repeats, limit)
	}
	if b.AllowsRepeat("llm") {
		t.Error("one more repeat is allowed after the budget was used up")
	}
	if !b.AllowsRepeat("other") {
		t.Error("the slack of another service is used up")
	}
}

func TestRepeatsAreAllowedAgainAfterWindow(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := newBudget(clock)
	for sent := 0; b.TryRepeat("llm"); sent++ {
		if sent > 100 {
			t.Fatal("the budget allows more than 100 repeats")
		}
	}
	clock.Advance(9 * time.Second)
	if b.AllowsRepeat("llm") {
		t.Error("a repeat is allowed within the window of a used-up budget")
	}
	clock.Advance(2 * time.Second)
	if !b.AllowsRepeat("llm") {
		t.Error("no repeat is allowed after the window")
	}
}
