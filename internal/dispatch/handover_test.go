package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
)

// handedOver returns the handover report of the job.
func handedOver(actions []dispatch.Action, job string) (dispatch.HandedOver, bool) {
	for _, a := range actions {
		if m, ok := a.(dispatch.HandedOver); ok && m.Job == job {
			return m, true
		}
	}
	return dispatch.HandedOver{}, false
}

// progress returns the completed pieces and freed stages that were reported for the job.
func progress(actions []dispatch.Action, job string) (completed []dispatch.CompletedPiece, released []int) {
	for _, a := range actions {
		if p, ok := a.(dispatch.Progress); ok && p.Job == job {
			completed, released = append(completed, p.Completed...), append(released, p.Released...)
		}
	}
	return completed, released
}

// TestResultOfHandedOverCallFinishesJobAtNewPlanner changes the planner while the last call of
// a job runs: its result must finish the job at the new planner, and no piece is computed
// twice.
func TestResultOfHandedOverCallFinishesJobAtNewPlanner(t *testing.T) {
	first := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	second := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	j := chain("j")
	now := begin
	actions := first.Submit(now, j)
	now = now.Add(220 * time.Millisecond)
	actions = succeed(first, now, calls(actions)[0])
	completed, _ := progress(actions, "j")
	running := calls(actions)[0]

	now = now.Add(50 * time.Millisecond)
	handover := first.HandOver(now)
	if got := freed(handover); len(got) > 0 {
		t.Fatalf("freed results of a handed-over job: %v", got)
	}
	m, ok := handedOver(handover, "j")
	if !ok || len(m.Running) != 1 || m.Running[0].Target != "s" || m.Running[0].Stage != 1 {
		t.Fatalf("handover report: %+v", handover)
	}
	j.Completed, j.Running = completed, m.Running
	if got := calls(second.Submit(now, j)); len(got) != 0 {
		t.Fatalf("a running piece was sent again: %+v", got)
	}

	now = now.Add(160 * time.Millisecond)
	late := succeed(first, now, running)
	if got := freed(late); len(got) > 0 {
		t.Fatalf("a result that the new planner waits for was freed: %v", got)
	}
	lateResults, _ := progress(late, "j")
	if len(lateResults) != 1 || !slices.ContainsFunc(late, func(a dispatch.Action) bool { return a == dispatch.HandoverComplete{Job: "j"} }) {
		t.Fatalf("actions of the former planner: %+v", late)
	}
	f, ok := finished(second.AddExternalResults(now, "j", lateResults))
	if !ok || !slices.Equal(f.Inputs, []string{lateResults[0].Handle}) {
		t.Fatalf("the late result didn't finish the job: %+v", f)
	}
}

func TestHandedOverCallWithoutResultIsRepeated(t *testing.T) {
	p := planner(0, target("f", "first", "a"))
	j := chain("j")
	j.Stages = []dispatch.Stage{{Service: "first", Pieces: 1, ResultBytes: 10}}
	j.Running = []dispatch.RunningPiece{{Stage: 0, Index: 0, Target: "f", Remaining: 100 * time.Millisecond}}
	if got := calls(p.Submit(begin, j)); len(got) != 0 {
		t.Fatalf("call for a piece that another planner's call computes: %+v", got)
	}
	if got := calls(p.Tick(begin.Add(90 * time.Millisecond))); len(got) != 0 {
		t.Fatalf("repeated before the call is overdue: %+v", got)
	}
	if got := calls(p.Tick(begin.Add(400 * time.Millisecond))); len(got) != 1 {
		t.Fatalf("not repeated once the call is overdue: %+v", got)
	}
}

func TestDeliveredInputsAreFreedByNextPlanner(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	j := chain("j")
	j.InputsDelivered = true
	j.Completed = []dispatch.CompletedPiece{{Stage: 1, Index: 0, Handle: "h", Target: "s", CompletedAt: begin}}
	if _, again := finished(p.Submit(begin, j)); again {
		t.Fatal("the inputs were delivered twice")
	}
	if got := freed(p.InputsConsumed(begin, "j")); !slices.Equal(got, []string{"h"}) {
		t.Errorf("freed: %v", got)
	}
}

// TestFreedStagesAreReported checks that freed results are reported, so that no planner
// resumes from them.
func TestFreedStagesAreReported(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	actions := p.Submit(begin, chain("j"))
	actions = succeed(p, begin.Add(220*time.Millisecond), calls(actions)[0])
	actions = succeed(p, begin.Add(450*time.Millisecond), calls(actions)[0])
	completed, released := progress(actions, "j")
	if len(completed) != 1 || !slices.Equal(released, []int{0}) {
		t.Errorf("reported: completed %+v, released %v", completed, released)
	}
}

// TestNewPlannerKeepsInputsUntilFormerCallsEnd checks that a planner that has just taken over
// doesn't free the inputs of calls that may still be queued at their target.
func TestNewPlannerKeepsInputsUntilFormerCallsEnd(t *testing.T) {
	p := planner(30, target("f", "first", "a"), target("s", "second", "a"))
	p.TakeOver(begin)
	actions := p.Submit(begin, chain("j"))
	succeed(p, begin.Add(220*time.Millisecond), calls(actions)[0])
	if got := freed(p.Tick(begin.Add(400 * time.Millisecond))); len(got) != 0 {
		t.Errorf("freed: %v", got)
	}
}
