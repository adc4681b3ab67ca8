package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

var begin = time.Unix(1000, 0)

func services(memoryBytes int64) map[string]service.Service {
	b := &service.Batch{
		Slots:             1,
		MaxPieces:         4,
		CallTime:          200 * time.Millisecond,
		PieceTime:         10 * time.Millisecond,
		ResultMemoryBytes: memoryBytes,
		ResultLifetime:    4 * time.Second,
	}
	return map[string]service.Service{"first": {Batch: b}, "second": {Batch: b}}
}

func target(id, serviceName, dataCentre string) dispatch.Target {
	return dispatch.Target{ID: id, Service: serviceName, Address: id, DataCentre: dataCentre}
}

// chain returns a job of two stages, of which the second needs the results of the first.
func chain(id string) dispatch.Job {
	return dispatch.Job{
		ID:           id,
		Key:          "key-" + id,
		SoftDeadline: begin.Add(2 * time.Second),
		Deadline:     begin.Add(6 * time.Second),
		Value:        1,
		Stages: []dispatch.Stage{
			{Service: "first", Pieces: 2, ResultBytes: 10},
			{Service: "second", After: []int{0}, Pieces: 1, ResultBytes: 10},
		},
	}
}

func planner(memoryBytes int64, targets ...dispatch.Target) *dispatch.Planner {
	p := dispatch.New()
	p.SetServices(services(memoryBytes))
	p.SetTargets(begin, targets)
	return p
}

// calls returns the started calls among the actions.
func calls(actions []dispatch.Action) []dispatch.StartCall {
	var list []dispatch.StartCall
	for _, a := range actions {
		if c, ok := a.(dispatch.StartCall); ok {
			list = append(list, c)
		}
	}
	return list
}

func freed(actions []dispatch.Action) []string {
	var handles []string
	for _, a := range actions {
		if f, ok := a.(dispatch.FreeResults); ok {
			handles = append(handles, f.Handles...)
		}
	}
	return handles
}

func finished(actions []dispatch.Action) (dispatch.Finish, bool) {
	for _, a := range actions {
		if f, ok := a.(dispatch.Finish); ok {
			return f, true
		}
	}
	return dispatch.Finish{}, false
}

// succeed answers a call with a handle for each piece.
func succeed(p *dispatch.Planner, at time.Time, c dispatch.StartCall) []dispatch.Action {
	results := make([]dispatch.Result, len(c.Pieces))
	for i, piece := range c.Pieces {
		results[i].Handle = fmt.Sprintf("%s/%d/%s/%d/%d", c.Target.ID, c.Call, piece.Job, piece.Stage, piece.Index)
	}
	return p.CallEnded(at, c.Call, results)
}

func TestStagesRunInOrderWithCompleteInputs(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	first := calls(p.Submit(begin, chain("j")))
	if len(first) != 1 || len(first[0].Pieces) != 2 || first[0].Pieces[0].Key != "key-j" {
		t.Fatalf("first stage: %+v", first)
	}
	second := calls(succeed(p, begin.Add(220*time.Millisecond), first[0]))
	if len(second) != 1 || len(second[0].Pieces) != 1 || len(second[0].Pieces[0].Inputs) != 2 || second[0].Pieces[0].Key != "" {
		t.Fatalf("second stage: %+v", second)
	}
	actions := succeed(p, begin.Add(430*time.Millisecond), second[0])
	f, ok := finished(actions)
	if !ok || len(f.Inputs) != 1 || f.InputBytes["a"] != 10 {
		t.Fatalf("finish: %+v", actions)
	}
	if got := freed(actions); len(got) != 2 {
		t.Fatalf("inputs of the second stage freed: %v", got)
	}
	if got := freed(p.InputsConsumed(begin, "j")); len(got) != 1 {
		t.Fatalf("final results freed: %v", got)
	}
}

func TestWithdrawnJobFreesStoredAndLateResults(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	first := calls(p.Submit(begin, chain("j")))
	second := calls(succeed(p, begin, first[0]))
	if got := freed(p.Withdraw(begin, "j")); len(got) != 2 {
		t.Fatalf("freed %v", got)
	}
	if got := freed(succeed(p, begin, second[0])); len(got) != 1 {
		t.Fatalf("late results freed: %v", got)
	}
	if p.Busy() {
		t.Error("the planner is still busy")
	}
}

func TestResultsOfRemovedTargetAreRecomputed(t *testing.T) {
	p := planner(0, target("f1", "first", "a"), target("s", "second", "a"))
	first := calls(p.Submit(begin, chain("j")))
	second := calls(succeed(p, begin, first[0]))
	// The target of the first stage is removed with both inputs while the second stage runs;
	// the call of the second stage fails.
	p.SetTargets(begin, []dispatch.Target{target("f2", "first", "a"), target("s", "second", "a")})
	again := p.CallFailed(begin, second[0].Call, dispatch.Lost)
	if got := calls(again); len(got) != 1 || got[0].Target.ID != "f2" || len(got[0].Pieces) != 2 {
		t.Fatalf("calls after the crash: %+v", got)
	}
	later := begin.Add(time.Second)
	third := calls(append(succeed(p, later, calls(again)[0]), p.Tick(later)...))
	if len(third) != 1 || len(third[0].Pieces[0].Inputs) != 2 {
		t.Fatalf("second stage after the crash: %+v", third)
	}
}

func TestResultsOfRestartedTargetAreRecomputed(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	first := calls(p.Submit(begin, chain("j")))
	second := calls(succeed(p, begin, first[0]))
	p.CallFailed(begin, second[0].Call, dispatch.Full)
	restarted := target("f", "first", "a")
	restarted.Incarnation = 7
	got := calls(p.SetTargets(begin, []dispatch.Target{restarted, target("s", "second", "a")}))
	if len(got) != 1 || got[0].Target.ID != "f" || len(got[0].Pieces) != 2 {
		t.Fatalf("calls after the restart: %+v", got)
	}
}

func TestMissingInputIsRecomputed(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	first := calls(p.Submit(begin, chain("j")))
	second := calls(succeed(p, begin, first[0]))
	actions := p.CallEnded(begin, second[0].Call, []dispatch.Result{{Failure: dispatch.InputGone}})
	if got := calls(actions); len(got) != 1 || got[0].Target.ID != "f" || len(got[0].Pieces) != 2 {
		t.Fatalf("calls after the missing input: %+v", got)
	}
}

func TestRecomputeInputsRunsFinishedJobAgain(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	second := calls(succeed(p, begin, calls(p.Submit(begin, chain("j")))[0]))
	succeed(p, begin, second[0])
	p.InputsConsumed(begin, "j")
	if got := calls(p.RecomputeInputs(begin, "j")); len(got) != 1 || got[0].Target.ID != "f" {
		t.Fatalf("calls of the second run: %+v", got)
	}
}

func TestResultsOfFormerPlannerAreUsed(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	j := chain("j")
	j.Completed = []dispatch.CompletedPiece{
		{Stage: 0, Index: 0, Handle: "h0", Target: "f", CompletedAt: begin.Add(-time.Second)},
		{Stage: 0, Index: 1, Handle: "h1", Target: "f", CompletedAt: begin.Add(-time.Second)},
	}
	got := calls(p.Submit(begin, j))
	if len(got) != 1 || got[0].Target.ID != "s" || !slices.Equal(got[0].Pieces[0].Inputs, []string{"h0", "h1"}) {
		t.Fatalf("calls: %+v", got)
	}
}

func TestExpiringResultsOfFormerPlannerAreRecomputed(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	j := chain("j")
	j.Completed = []dispatch.CompletedPiece{{Stage: 0, Index: 0, Handle: "h0", Target: "f", CompletedAt: begin.Add(-3500 * time.Millisecond)}}
	if got := calls(p.Submit(begin, j)); len(got) != 1 || len(got[0].Pieces) != 2 {
		t.Fatalf("calls: %+v", got)
	}
}

func TestFinalResultOfFormerPlannerSkipsEarlierStages(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	j := chain("j")
	j.Completed = []dispatch.CompletedPiece{{Stage: 1, Index: 0, Handle: "h", Target: "s", CompletedAt: begin}}
	actions := p.Submit(begin, j)
	if f, ok := finished(actions); !ok || !slices.Equal(f.Inputs, []string{"h"}) || len(calls(actions)) > 0 {
		t.Fatalf("actions: %+v", actions)
	}
}

func TestOverdueCallIsHedgedAtAnotherTarget(t *testing.T) {
	p := planner(0, target("f1", "first", "a"), target("f2", "first", "a"))
	j := chain("j")
	j.Stages = j.Stages[:1]
	first := calls(p.Submit(begin, j))
	if len(first) != 1 {
		t.Fatalf("calls: %+v", first)
	}
	if got := calls(p.Tick(begin.Add(300 * time.Millisecond))); len(got) != 0 {
		t.Fatalf("hedged before the call is overdue: %+v", got)
	}
	second := calls(p.Tick(begin.Add(600 * time.Millisecond)))
	if len(second) != 1 || second[0].Target.ID == first[0].Target.ID {
		t.Fatalf("calls when overdue: %+v", second)
	}
	if _, ok := finished(succeed(p, begin.Add(900*time.Millisecond), second[0])); !ok {
		t.Error("the second result didn't finish the job")
	}
	if got := freed(succeed(p, begin.Add(time.Second), first[0])); len(got) != 2 {
		t.Errorf("the first results weren't freed: %v", got)
	}
}

func TestResultMemoryBoundsCallSize(t *testing.T) {
	p := planner(30, target("f", "first", "a"))
	j := chain("j")
	j.Stages = []dispatch.Stage{{Service: "first", Pieces: 4, ResultBytes: 10}}
	first := calls(p.Submit(begin, j))
	if len(first) != 1 || len(first[0].Pieces) != 3 {
		t.Fatalf("calls: %+v", first)
	}
	if got := calls(succeed(p, begin, first[0])); len(got) != 0 {
		t.Fatalf("a call without free result memory: %+v", got)
	}
}

func TestLostCallOccupiesTargetAndResultMemory(t *testing.T) {
	p := planner(40, target("f", "first", "a"))
	j := chain("j")
	j.Deadline = begin.Add(8 * time.Second)
	j.Stages = []dispatch.Stage{{Service: "first", Pieces: 4, ResultBytes: 10}}
	first := calls(p.Submit(begin, j))
	if len(first) != 1 || len(first[0].Pieces) != 4 {
		t.Fatalf("calls: %+v", first)
	}
	ends := begin.Add(first[0].Expected)
	if got := calls(p.CallFailed(begin.Add(50*time.Millisecond), first[0].Call, dispatch.Lost)); len(got) != 0 {
		t.Fatalf("a call to a target that still runs a lost one: %+v", got)
	}
	if got := calls(p.Tick(ends.Add(time.Second))); len(got) != 0 {
		t.Fatalf("a call while the results of the lost one use the memory: %+v", got)
	}
	if got := calls(p.Tick(ends.Add(4*time.Second + 50*time.Millisecond))); len(got) != 1 || len(got[0].Pieces) != 4 {
		t.Fatalf("calls after the lost results have expired: %+v", got)
	}
}

func TestUnreachedCallUsesNoResultMemory(t *testing.T) {
	p := planner(40, target("f", "first", "a"))
	j := chain("j")
	j.Stages = []dispatch.Stage{{Service: "first", Pieces: 4, ResultBytes: 10}}
	first := calls(p.Submit(begin, j))
	p.CallFailed(begin.Add(50*time.Millisecond), first[0].Call, dispatch.Unreached)
	if got := calls(p.Tick(begin.Add(600 * time.Millisecond))); len(got) != 1 || len(got[0].Pieces) != 4 {
		t.Fatalf("calls after the pause: %+v", got)
	}
}

func TestJobThatCannotMeetDeadlineIsRejected(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	p.Submit(begin, chain("before"))
	j := chain("j")
	j.Deadline = begin.Add(300 * time.Millisecond)
	p.Submit(begin, j)
	for _, a := range p.Tick(begin.Add(20 * time.Millisecond)) {
		if r, ok := a.(dispatch.Reject); ok && r.Job == "j" && r.Reason == dispatch.TooLate {
			return
		}
	}
	t.Error("the job wasn't rejected")
}

func TestStageWithoutPiecesIsSkipped(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	j := chain("j")
	j.Stages = []dispatch.Stage{{Service: "first", Pieces: 0}, {Service: "second", Pieces: 1}}
	got := calls(p.Submit(begin, j))
	if len(got) != 1 || got[0].Target.ID != "s" {
		t.Fatalf("calls: %+v", got)
	}
	if f, ok := finished(succeed(p, begin, got[0])); !ok || len(f.Inputs) != 1 {
		t.Error("the job didn't finish with one input")
	}
}
