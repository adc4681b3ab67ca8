package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/pkg/service"
)

var begin = time.Unix(1000, 0)

func services(room int64) map[string]service.Service {
	b := &service.Batch{
		Slots:             1,
		MaxPieces:         4,
		CallTime:          200 * time.Millisecond,
		PieceTime:         10 * time.Millisecond,
		ResultMemoryBytes: room,
		ResultLifetime:    4 * time.Second,
	}
	return map[string]service.Service{"first": {Batch: b}, "second": {Batch: b}}
}

func target(id, serviceName, dataCentre string) dispatch.Target {
	return dispatch.Target{ID: id, Service: serviceName, Address: id, DataCentre: dataCentre}
}

// chain is a job of two stages behind each other.
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

func planner(room int64, targets ...dispatch.Target) *dispatch.Planner {
	p := dispatch.New()
	p.SetServices(services(room))
	p.SetTargets(begin, targets)
	return p
}

// calls returns the calls among the actions.
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

func TestStagesRunBehindEachOtherWithWholeInputs(t *testing.T) {
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

func TestWithdrawnJobFreesWhatItHasAndWhatComesLate(t *testing.T) {
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

func TestCrashedTargetHasItsResultsMadeAgainFromTheStart(t *testing.T) {
	p := planner(0, target("f1", "first", "a"), target("s", "second", "a"))
	first := calls(p.Submit(begin, chain("j")))
	second := calls(succeed(p, begin, first[0]))
	// The first target is gone with both inputs while the second stage runs; its call fails.
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

func TestNewStartOfATargetHasLostItsResults(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	first := calls(p.Submit(begin, chain("j")))
	second := calls(succeed(p, begin, first[0]))
	p.CallFailed(begin, second[0].Call, dispatch.Full)
	reborn := target("f", "first", "a")
	reborn.Incarnation = 7
	got := calls(p.SetTargets(begin, []dispatch.Target{reborn, target("s", "second", "a")}))
	if len(got) != 1 || got[0].Target.ID != "f" || len(got[0].Pieces) != 2 {
		t.Fatalf("calls after the new start: %+v", got)
	}
}

func TestMissingInputIsMadeAgain(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	first := calls(p.Submit(begin, chain("j")))
	second := calls(succeed(p, begin, first[0]))
	actions := p.CallEnded(begin, second[0].Call, []dispatch.Result{{Failure: dispatch.InputGone}})
	if got := calls(actions); len(got) != 1 || got[0].Target.ID != "f" || len(got[0].Pieces) != 2 {
		t.Fatalf("calls after the missing input: %+v", got)
	}
}

func TestRedoMakesTheInputsOfAFinishedJobAnew(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	second := calls(succeed(p, begin, calls(p.Submit(begin, chain("j")))[0]))
	succeed(p, begin, second[0])
	p.InputsConsumed(begin, "j")
	if got := calls(p.RecomputeInputs(begin, "j")); len(got) != 1 || got[0].Target.ID != "f" {
		t.Fatalf("calls of the second run: %+v", got)
	}
}

func TestResultsOfAFormerPlannerAreUsed(t *testing.T) {
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

func TestOldResultsOfAFormerPlannerAreMadeAgain(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	j := chain("j")
	j.Completed = []dispatch.CompletedPiece{{Stage: 0, Index: 0, Handle: "h0", Target: "f", CompletedAt: begin.Add(-3500 * time.Millisecond)}}
	if got := calls(p.Submit(begin, j)); len(got) != 1 || len(got[0].Pieces) != 2 {
		t.Fatalf("calls: %+v", got)
	}
}

func TestLaterStageOfAFormerPlannerNeedsNoEarlierOne(t *testing.T) {
	p := planner(0, target("f", "first", "a"), target("s", "second", "a"))
	j := chain("j")
	j.Completed = []dispatch.CompletedPiece{{Stage: 1, Index: 0, Handle: "h", Target: "s", CompletedAt: begin}}
	actions := p.Submit(begin, j)
	if f, ok := finished(actions); !ok || !slices.Equal(f.Inputs, []string{"h"}) || len(calls(actions)) > 0 {
		t.Fatalf("actions: %+v", actions)
	}
}

func TestOverdueCallIsGivenToAnotherTarget(t *testing.T) {
	p := planner(0, target("f1", "first", "a"), target("f2", "first", "a"))
	j := chain("j")
	j.Stages = j.Stages[:1]
	first := calls(p.Submit(begin, j))
	if len(first) != 1 {
		t.Fatalf("calls: %+v", first)
	}
	if got := calls(p.Tick(begin.Add(300 * time.Millisecond))); len(got) != 0 {
		t.Fatalf("given away too early: %+v", got)
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

func TestRoomBoundsTheCalls(t *testing.T) {
	p := planner(30, target("f", "first", "a"))
	j := chain("j")
	j.Stages = []dispatch.Stage{{Service: "first", Pieces: 4, ResultBytes: 10}}
	first := calls(p.Submit(begin, j))
	if len(first) != 1 || len(first[0].Pieces) != 3 {
		t.Fatalf("calls: %+v", first)
	}
	if got := calls(succeed(p, begin, first[0])); len(got) != 0 {
		t.Fatalf("a call without room: %+v", got)
	}
}

func TestLostCallHoldsItsTargetAndItsRoom(t *testing.T) {
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
		t.Fatalf("a call to a target that still works at a lost one: %+v", got)
	}
	if got := calls(p.Tick(ends.Add(time.Second))); len(got) != 0 {
		t.Fatalf("a call without room, which the results of the lost one take: %+v", got)
	}
	if got := calls(p.Tick(ends.Add(4*time.Second + 50*time.Millisecond))); len(got) != 1 || len(got[0].Pieces) != 4 {
		t.Fatalf("calls after the lost results have vanished: %+v", got)
	}
}

func TestCallThatReachedNobodyTakesNoRoom(t *testing.T) {
	p := planner(40, target("f", "first", "a"))
	j := chain("j")
	j.Stages = []dispatch.Stage{{Service: "first", Pieces: 4, ResultBytes: 10}}
	first := calls(p.Submit(begin, j))
	p.CallFailed(begin.Add(50*time.Millisecond), first[0].Call, dispatch.Unreached)
	if got := calls(p.Tick(begin.Add(600 * time.Millisecond))); len(got) != 1 || len(got[0].Pieces) != 4 {
		t.Fatalf("calls after the pause: %+v", got)
	}
}

func TestJobWithoutTimeIsRejected(t *testing.T) {
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

func TestOmittedStageIsLeftOut(t *testing.T) {
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

// model checks every action of a planner against what was asked of it.
type model struct {
	t       *testing.T
	seed    uint64
	p       *dispatch.Planner
	now     time.Time
	random  *rand.Rand
	jobs    map[string]dispatch.Job
	open    map[uint64]dispatch.StartCall
	results map[string]dispatch.Piece
	targets []dispatch.Target
	ended   int
}

func (m *model) fail(format string, args ...any) {
	m.t.Helper()
	m.t.Fatalf("seed %d: %s", m.seed, fmt.Sprintf(format, args...))
}

// inputs fails unless the handles are every result of the stages before, each once, of
// the job itself.
func (m *model) inputs(job dispatch.Job, after []int, handles []string) {
	want := 0
	for _, before := range after {
		want += job.Stages[before].Pieces
	}
	seen := map[[2]int]bool{}
	for _, h := range handles {
		piece := m.results[h]
		key := [2]int{piece.Stage, piece.Index}
		if piece.Job != job.ID || !slices.Contains(after, piece.Stage) || seen[key] {
			m.fail("job %s after %v is given %s, the result of %+v", job.ID, after, h, key)
		}
		seen[key] = true
	}
	if len(handles) != want {
		m.fail("job %s after %v is given %d of %d inputs", job.ID, after, len(handles), want)
	}
}

func (m *model) check(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.StartCall:
			for _, piece := range a.Pieces {
				job, ok := m.jobs[piece.Job]
				if !ok {
					m.fail("a call for the unknown job %s", piece.Job)
				}
				stage := job.Stages[piece.Stage]
				if stage.Service != a.Target.Service || piece.Index >= stage.Pieces {
					m.fail("piece %+v goes to %s", piece, a.Target.ID)
				}
				if (len(stage.After) == 0) != (piece.Key == job.Key && len(piece.Inputs) == 0) {
					m.fail("piece %+v has the wrong key or inputs", piece)
				}
				m.inputs(job, stage.After, piece.Inputs)
			}
			m.open[a.Call] = a
		case dispatch.FreeResults:
			for _, h := range a.Handles {
				if _, ok := m.results[h]; !ok {
					m.fail("%s is freed, which was never made or is freed twice", h)
				}
				delete(m.results, h)
			}
		case dispatch.Finish:
			job := m.jobs[a.Job]
			m.inputs(job, finals(job), a.Inputs)
			m.ended++
		case dispatch.Reject:
			delete(m.jobs, a.Job)
		}
	}
}

// finals are the stages that no other one follows.
func finals(job dispatch.Job) []int {
	var list []int
	for i := range job.Stages {
		followed := false
		for _, other := range job.Stages {
			followed = followed || slices.Contains(other.After, i) && other.Pieces > 0
		}
		if !followed {
			list = append(list, i)
		}
	}
	return list
}

func (m *model) submit(n int) {
	job := chain(fmt.Sprintf("j%d", n))
	job.SoftDeadline = m.now.Add(time.Duration(500+m.random.IntN(2000)) * time.Millisecond)
	job.Deadline = m.now.Add(6 * time.Second)
	job.Stages[0].Pieces = 1 + m.random.IntN(6)
	job.Stages[1].Pieces = 1 + m.random.IntN(6)
	if m.random.IntN(3) == 0 {
		job.Stages = append(job.Stages, dispatch.Stage{Service: "first", Pieces: m.random.IntN(3), ResultBytes: 10})
	}
	m.jobs[job.ID] = job
	m.check(m.p.Submit(m.now, job))
}

// answer ends one open call in any way.
func (m *model) answer() {
	ids := make([]uint64, 0, len(m.open))
	for id := range m.open {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	c := m.open[ids[m.random.IntN(len(ids))]]
	delete(m.open, c.Call)
	if m.random.IntN(10) == 0 {
		m.check(m.p.CallFailed(m.now, c.Call, []dispatch.CallFailure{dispatch.Full, dispatch.Lost}[m.random.IntN(2)]))
		return
	}
	results := make([]dispatch.Result, len(c.Pieces))
	for i, piece := range c.Pieces {
		switch m.random.IntN(20) {
		case 0:
			results[i].Failure = dispatch.NoRoom
		case 1:
			results[i].Failure = dispatch.Broken
		case 2:
			if len(piece.Inputs) > 0 {
				results[i].Failure = dispatch.InputGone
				break
			}
			fallthrough
		default:
			handle := fmt.Sprintf("%s/%d/%d", c.Target.ID, c.Call, i)
			results[i].Handle = handle
			m.results[handle] = piece
		}
	}
	m.check(m.p.CallEnded(m.now, c.Call, results))
}

// crash restarts a target, which loses its results.
func (m *model) crash() {
	t := &m.targets[m.random.IntN(len(m.targets))]
	t.Incarnation++
	for h := range m.results {
		if len(h) > len(t.ID) && h[:len(t.ID)+1] == t.ID+"/" {
			delete(m.results, h)
		}
	}
	m.check(m.p.SetTargets(m.now, m.targets))
}

// TestEveryPieceHasItsOwnWholeInputs drives planners through failures of every kind and
// checks each action: no piece and no request is given inputs of another request or
// stage, one twice, or only some, and nothing is freed twice.
func TestEveryPieceHasItsOwnWholeInputs(t *testing.T) {
	for seed := range uint64(300) {
		m := &model{
			t:       t,
			seed:    seed,
			random:  rand.New(rand.NewPCG(seed, 3)),
			now:     begin,
			jobs:    map[string]dispatch.Job{},
			open:    map[uint64]dispatch.StartCall{},
			results: map[string]dispatch.Piece{},
			targets: []dispatch.Target{target("f1", "first", "a"), target("f2", "first", "b"), target("s1", "second", "a"), target("s2", "second", "b")},
		}
		m.p = planner(200, m.targets...)
		for step := range 400 {
			m.now = m.now.Add(time.Duration(m.random.IntN(60)) * time.Millisecond)
			switch m.random.IntN(12) {
			case 0, 1:
				m.submit(step)
			case 2:
				m.check(m.p.Withdraw(m.now, fmt.Sprintf("j%d", m.random.IntN(step+1))))
			case 3:
				if m.random.IntN(8) == 0 {
					m.crash()
				}
			case 4:
				id := fmt.Sprintf("j%d", m.random.IntN(step+1))
				m.check(m.p.RecomputeInputs(m.now, id))
			case 5:
				m.check(m.p.InputsConsumed(m.now, fmt.Sprintf("j%d", m.random.IntN(step+1))))
			case 6, 7:
				m.check(m.p.Tick(m.now))
			default:
				m.answer()
			}
		}
		if m.ended == 0 {
			m.fail("no job finished")
		}
	}
}
