package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
)

// rejected returns the rejections among the actions.
func rejected(actions []dispatch.Action) []dispatch.Reject {
	var list []dispatch.Reject
	for _, a := range actions {
		if r, ok := a.(dispatch.Reject); ok {
			list = append(list, r)
		}
	}
	return list
}

// TestJobsOverCapacityOfLaterStageAreRejectedBeforeFirstStage submits far more jobs than the
// second stage can do before the soft deadline. The first stage must not start work for the
// jobs that the second one has no capacity for.
func TestJobsOverCapacityOfLaterStageAreRejectedBeforeFirstStage(t *testing.T) {
	p := planner(0, target("f1", "first", "a"), target("f2", "first", "a"), target("s", "second", "a"))
	var actions []dispatch.Action
	for i := range 40 {
		j := chain(fmt.Sprintf("j%d", i))
		j.Stages[0].Pieces = 1
		j.Stages[1].Pieces = 4
		actions = append(actions, p.Submit(begin, j)...)
	}
	actions = append(actions, p.Tick(begin.Add(20*time.Millisecond))...)
	// The second stage does one job in 240 ms: at most 8 until the soft deadline, which is 2 s
	// away. The test allows 8 more.
	rejections := rejected(actions)
	if len(rejections) < 40-8-8 {
		t.Errorf("%d of 40 jobs were rejected before their first stage", len(rejections))
	}
	for _, r := range rejections {
		if r.Reason != dispatch.Overloaded || r.RetryAfter < 200*time.Millisecond || r.RetryAfter > 2*time.Second {
			t.Fatalf("rejection %+v", r)
		}
	}
}

// TestIdleServiceRunsJobPastSoftDeadline checks that a job that can't meet its soft deadline
// still runs if no other work waits.
func TestIdleServiceRunsJobPastSoftDeadline(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	j := chain("j")
	j.SoftDeadline = begin.Add(10 * time.Millisecond)
	actions := p.Submit(begin, j)
	actions = append(actions, p.Tick(begin.Add(20*time.Millisecond))...)
	if len(calls(actions)) != 1 || len(rejected(actions)) != 0 {
		t.Errorf("actions: %+v", actions)
	}
}

// TestJobsOfHighRankAreAdmittedUnderOverload fills the stages with jobs of a low rank and then
// submits jobs of the highest one: these must be admitted.
func TestJobsOfHighRankAreAdmittedUnderOverload(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	var actions []dispatch.Action
	submit := func(name string, n, priority int) {
		for i := range n {
			j := chain(fmt.Sprintf("%s%d", name, i))
			j.Value = dispatch.RequestValue(priority, 1)
			actions = append(actions, p.Submit(begin, j)...)
		}
	}
	submit("low", 20, 2)
	submit("high", 5, 0)
	actions = append(actions, p.Tick(begin.Add(20*time.Millisecond))...)
	for _, r := range rejected(actions) {
		if r.Job[:4] == "high" {
			t.Errorf("%s was rejected", r.Job)
		}
	}
	if len(rejected(actions)) == 0 {
		t.Error("nothing was rejected")
	}
}

// TestStartedLateJobIsRejectedUnderOverload starts a job that then misses its soft deadline
// while the second stage is overloaded with jobs that can still meet theirs. The late job must
// not wait until its deadline with its results in the memory of the first stage's target.
func TestStartedLateJobIsRejectedUnderOverload(t *testing.T) {
	p := planner(0, target("f1", "first", "a"), target("f2", "first", "a"), target("s", "second", "a"))
	// This job keeps the second stage busy.
	first := calls(p.Submit(begin, chain("before")))
	slow := chain("slow")
	slow.SoftDeadline = begin.Add(300 * time.Millisecond)
	first = append(first, calls(p.Submit(begin, slow))...)
	now := begin.Add(400 * time.Millisecond)
	for i := range 40 {
		j := chain(fmt.Sprintf("j%d", i))
		j.SoftDeadline, j.Deadline = now.Add(2*time.Second), now.Add(6*time.Second)
		j.Stages[1].Pieces = 4
		p.Submit(now, j)
	}
	actions := succeed(p, now, first[0])
	actions = append(actions, succeed(p, now, first[1])...)
	actions = append(actions, p.Tick(now.Add(20*time.Millisecond))...)
	for _, r := range rejected(actions) {
		if r.Job != "slow" {
			continue
		}
		if r.Reason != dispatch.Overloaded || len(freed(actions)) < 2 {
			t.Errorf("rejected as %+v, freed %v", r, freed(actions))
		}
		return
	}
	t.Error("the late job wasn't rejected")
}
