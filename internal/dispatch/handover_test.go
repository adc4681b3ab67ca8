package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
)

// moved returns what was handed over of the job.
func moved(actions []dispatch.Action, job string) (dispatch.HandedOver, bool) {
	for _, a := range actions {
		if m, ok := a.(dispatch.HandedOver); ok && m.Job == job {
			return m, true
		}
	}
	return dispatch.HandedOver{}, false
}

// progress returns what was told of the job.
func progress(actions []dispatch.Action, job string) (done []dispatch.CompletedPiece, released []int) {
	for _, a := range actions {
		if p, ok := a.(dispatch.Progress); ok && p.Job == job {
			done, released = append(done, p.Completed...), append(released, p.Released...)
		}
	}
	return done, released
}

// TestRunningCallsAreHandedOver changes the planner while the last call of a job runs: its
// result must finish the job at the new planner, and nothing is made twice.
func TestRunningCallsAreHandedOver(t *testing.T) {
	first := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	second := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	j := chain("j")
	now := begin
	actions := first.Submit(now, j)
	now = now.Add(220 * time.Millisecond)
	actions = succeed(first, now, calls(actions)[0])
	done, _ := progress(actions, "j")
	running := calls(actions)[0]

	now = now.Add(50 * time.Millisecond)
	handed := first.HandOver(now)
	if got := freed(handed); len(got) > 0 {
		t.Fatalf("freed although the job goes on: %v", got)
	}
	m, ok := moved(handed, "j")
	if !ok || len(m.Running) != 1 || m.Running[0].Target != "s" || m.Running[0].Stage != 1 {
		t.Fatalf("handed over: %+v", handed)
	}
	j.Completed, j.Running = done, m.Running
	if got := calls(second.Submit(now, j)); len(got) != 0 {
		t.Fatalf("a running piece was sent again: %+v", got)
	}

	now = now.Add(160 * time.Millisecond)
	late := succeed(first, now, running)
	if got := freed(late); len(got) > 0 {
		t.Fatalf("a result that the new planner waits for was freed: %v", got)
	}
	made, _ := progress(late, "j")
	if len(made) != 1 || !slices.ContainsFunc(late, func(a dispatch.Action) bool { return a == dispatch.HandoverComplete{Job: "j"} }) {
		t.Fatalf("actions of the former planner: %+v", late)
	}
	f, ok := finished(second.AddExternalResults(now, "j", made))
	if !ok || !slices.Equal(f.Inputs, []string{made[0].Handle}) {
		t.Fatalf("the result that came late didn't finish the job: %+v", f)
	}
}

func TestHandedOverCallIsMadeAgainWhenItsResultDoesNotCome(t *testing.T) {
	p := planner(0, target("f", "first", "a"))
	j := chain("j")
	j.Stages = []dispatch.Stage{{Service: "first", Pieces: 1, ResultBytes: 10}}
	j.Running = []dispatch.RunningPiece{{Stage: 0, Index: 0, Target: "f", Remaining: 100 * time.Millisecond}}
	if got := calls(p.Submit(begin, j)); len(got) != 0 {
		t.Fatalf("sent to a busy target: %+v", got)
	}
	if got := calls(p.Tick(begin.Add(90 * time.Millisecond))); len(got) != 0 {
		t.Fatalf("sent again too early: %+v", got)
	}
	if got := calls(p.Tick(begin.Add(400 * time.Millisecond))); len(got) != 1 {
		t.Fatalf("not sent again: %+v", got)
	}
}

func TestHandedOutInputsAreFreedByTheNextPlanner(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	j := chain("j")
	j.InputsDelivered = true
	j.Completed = []dispatch.CompletedPiece{{Stage: 1, Index: 0, Handle: "h", Target: "s", CompletedAt: begin}}
	if _, again := finished(p.Submit(begin, j)); again {
		t.Fatal("the inputs were handed out twice")
	}
	if got := freed(p.InputsConsumed(begin, "j")); !slices.Equal(got, []string{"h"}) {
		t.Errorf("freed: %v", got)
	}
}

// TestReleasedStagesAreTold checks that nobody goes on from results that were given up.
func TestReleasedStagesAreTold(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	actions := p.Submit(begin, chain("j"))
	actions = succeed(p, begin.Add(220*time.Millisecond), calls(actions)[0])
	actions = succeed(p, begin.Add(450*time.Millisecond), calls(actions)[0])
	done, released := progress(actions, "j")
	if len(done) != 1 || !slices.Equal(released, []int{0}) {
		t.Errorf("told: done %+v, released %v", done, released)
	}
}

// TestNewPlannerKeepsInputsUntilItKnowsTheTargets checks that a planner that has just
// taken over doesn't give up inputs of calls that may still wait at their target.
func TestNewPlannerKeepsInputsUntilItKnowsTheTargets(t *testing.T) {
	p := planner(30, target("f", "first", "a"), target("s", "second", "a"))
	p.TakeOver(begin)
	actions := p.Submit(begin, chain("j"))
	succeed(p, begin.Add(220*time.Millisecond), calls(actions)[0])
	if got := freed(p.Tick(begin.Add(400 * time.Millisecond))); len(got) != 0 {
		t.Errorf("freed: %v", got)
	}
}
