package scheduler

import (
	"context"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/exchange"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/platform"
)

const (
	// A call to a stage target is cancelled after callTimeoutRatio times its expected duration
	// plus callTimeoutMargin; by then its pieces were sent to another target long ago.
	callTimeoutRatio  = 3
	callTimeoutMargin = 1500 * time.Millisecond
	// staleConnTimeout is the time within which a request fails on a pooled connection that the
	// target had closed: a round trip and a margin. Calls take hundreds of milliseconds, so a
	// later failure isn't due to such a connection.
	staleConnTimeout = 30 * time.Millisecond
	// maxAnswerBytes bounds the answer to a call.
	maxAnswerBytes = 1 << 20
	// freeTimeout bounds a call that frees results, which expire later anyway.
	freeTimeout = time.Second
)

// pendingFree collects the results to free at a target.
type pendingFree struct {
	target  dispatch.Target
	handles []string
	// since is when the first result was added.
	since time.Time
}

// startCall sends a call to a stage target in the background and posts its outcome to the
// loop.
func (s *Scheduler) startCall(a dispatch.StartCall) {
	// Pending frees go first, since the call needs their memory.
	frees := s.pendingFrees[a.Target.ID]
	delete(s.pendingFrees, a.Target.ID)
	pieces := make([]platform.Piece, 0, len(a.Pieces))
	for _, p := range a.Pieces {
		pieces = append(pieces, platform.Piece{AttemptID: p.Job, Stage: p.Stage, Index: p.Index, Remaining: p.Remaining, Key: p.Key, Inputs: p.Inputs})
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeoutRatio*a.Expected+callTimeoutMargin)
	go func() {
		defer cancel()
		if frees != nil {
			s.runFree(ctx, frees)
		}
		results, failure, err := s.runCall(ctx, a.Target, pieces)
		s.post(func() { s.callEnded(a, results, failure, err) })
	}()
}

// callEnded handles the outcome of a call in the loop.
func (s *Scheduler) callEnded(a dispatch.StartCall, results []dispatch.Result, failure dispatch.CallFailure, err error) {
	now := s.Clock.Now()
	s.recordCallEnded(a.Call)
	if failure == "" {
		s.Metrics.RecordStageCall(a.Target.Service, "Answered", now.Sub(a.Started))
		s.Log.Emit(event.StageCallEnded, "Call", a.Call, "Target", a.Target.ID, "Service", a.Target.Service, "DataCentre", a.Target.DataCentre,
			"Pieces", len(a.Pieces), "ExpectedMillis", a.Expected.Milliseconds(), "Millis", now.Sub(a.Started).Milliseconds(), "Failed", countFailures(results))
		s.perform(s.planner.CallEnded(now, a.Call, results))
		return
	}
	s.Metrics.RecordStageCall(a.Target.Service, string(failure), now.Sub(a.Started))
	s.Log.Emit(event.StageCallFailed, "Call", a.Call, "Target", a.Target.ID, "Service", a.Target.Service, "Pieces", len(a.Pieces), "Failure", string(failure), "Reason", errorText(err))
	s.perform(s.planner.CallFailed(now, a.Call, failure))
}

// countFailures counts the pieces without a result by their failure; nil if there are none.
func countFailures(results []dispatch.Result) map[string]int {
	var counts map[string]int
	for _, r := range results {
		if r.Failure == "" {
			continue
		}
		if counts == nil {
			counts = map[string]int{}
		}
		counts[string(r.Failure)]++
	}
	return counts
}

// errorText returns the message of an error, or an empty string for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// runCall sends one call and returns one result for each piece, in their order. Otherwise it
// returns the failure of the call and its error, which is nil if the target rejected the call.
func (s *Scheduler) runCall(ctx context.Context, target dispatch.Target, pieces []platform.Piece) ([]dispatch.Result, dispatch.CallFailure, error) {
	head, body, err := platform.AppendStageRun(nil, target.ID, target.Address, pieces)
	if err != nil {
		return nil, dispatch.Lost, err
	}
	answerHead, answer, err := s.callTarget(ctx, target, runCalls, head, body)
	switch {
	case exchange.NotSent(err):
		return nil, dispatch.Unreached, err
	case err != nil:
		return nil, dispatch.Lost, err
	}
	switch answerHead.Status {
	case fasthttp.StatusOK:
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return nil, dispatch.Full, nil
	case fasthttp.StatusMisdirectedRequest:
		return nil, dispatch.Unreached, problem.New(problem.Unavailable, "another target answers at %s", target.Address)
	default:
		return nil, dispatch.Lost, problem.New(problem.TargetFailed, "the target answered with status %d", answerHead.Status)
	}
	decoded, err := platform.DecodeStageRun(answer, len(pieces))
	if err != nil {
		return nil, dispatch.Lost, err
	}
	results := make([]dispatch.Result, 0, len(decoded))
	for _, d := range decoded {
		results = append(results, dispatch.Result{Handle: d.Handle, Failure: pieceFailures[d.Failure]})
	}
	return results, "", nil
}

// pieceFailures maps the failures that targets report to those of the planner.
var pieceFailures = map[platform.PieceFailure]dispatch.PieceFailure{
	platform.PieceLate:      dispatch.Late,
	platform.PieceInputGone: dispatch.InputGone,
	platform.PieceNoMemory:  dispatch.NoRoom,
	platform.PieceError:     dispatch.Broken,
}

// callTarget sends one request to a target and returns the head and the body of its answer. A
// request that fails within staleConnTimeout on a pooled connection is sent once more on a new
// one, since stage targets may run a piece twice, unless the target names a rate limit, which counts both. A
// request that fails later was being worked on and isn't repeated: its inputs may be freed by now, and its job may no
// longer be wanted.
func (s *Scheduler) callTarget(ctx context.Context, target dispatch.Target, class callClass, head, body []byte) (platform.AnswerHead, []byte, error) {
	start := s.Clock.Now()
	answerHead, answer, err := s.exchangeOnce(ctx, target.Address, class, head, body, exchange.Pooled)
	_, limited := s.Limits.Limit(target.ID, target.Incarnation)
	if err != nil && exchange.Reused(err) && ctx.Err() == nil && s.Clock.Since(start) < staleConnTimeout && !limited {
		answerHead, answer, err = s.exchangeOnce(ctx, target.Address, class, head, body, exchange.Fresh)
	}
	if err == nil {
		s.recordStageNotices(target, start, answerHead)
	}
	return answerHead, answer, err
}

// callClass is the kind of a call to a stage target. A connection carries calls of one kind only.
//
// Answers carry no ID of their call, and a faulty target may send one a second time when the next call
// arrives. The next answer would then be taken for that of the call after it, and so on, so that pieces get
// the results of other requests. An answer that names results can be told from all others of its connection.
// After any other answer to a call that runs pieces, the connection is closed. Answers to calls that free
// results hold nothing that is used.
type callClass string

const (
	runCalls  callClass = "run"
	freeCalls callClass = "free"
)

// exchangeOnce sends one request over one connection and returns the head and the body of the answer.
func (s *Scheduler) exchangeOnce(ctx context.Context, address string, class callClass, head, body []byte, reuse exchange.Reuse) (platform.AnswerHead, []byte, error) {
	conn, err := s.Pool.Open(ctx, address, exchange.OpenOptions{Reuse: reuse, Class: string(class)})
	if err != nil {
		return platform.AnswerHead{}, nil, err
	}
	answer, err := conn.Do(ctx, exchange.Request{Head: head, Body: body, SelfDelimiting: true})
	if err != nil {
		s.Pool.Discard(conn)
		return platform.AnswerHead{}, nil, err
	}
	answerBody, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		s.Pool.Discard(conn)
		return platform.AnswerHead{}, nil, problem.New(problem.Unavailable, "reading the answer of %s: %v", address, err)
	}
	namesResults := platform.NamesResults(answerBody)
	if class == runCalls && namesResults && conn.RepeatsBody(answerBody) {
		s.Pool.Discard(conn)
		return platform.AnswerHead{}, nil, problem.New(problem.TargetFailed, "%s has sent the answer to an earlier call again", address)
	}
	if answer.Head.Status != fasthttp.StatusOK || class == runCalls && !namesResults {
		s.Pool.Discard(conn) // a copy of this answer can't be told from the answer to the next call
		return answer.Head, answerBody, nil
	}
	s.Pool.Release(conn)
	return answer.Head, answerBody, nil
}

// queueFree adds results to the pending frees of their target, which are sent after freeDelay
// or before the next call.
func (s *Scheduler) queueFree(a dispatch.FreeResults) {
	f := s.pendingFrees[a.Target.ID]
	if f == nil {
		f = &pendingFree{target: a.Target, since: s.Clock.Now()}
		s.pendingFrees[a.Target.ID] = f
	}
	f.handles = append(f.handles, a.Handles...)
}

// flushFrees sends the pending frees that are older than freeDelay, unless their target wants no requests
// yet.
func (s *Scheduler) flushFrees(now time.Time) {
	for _, f := range s.pendingFrees {
		if now.Sub(f.since) >= freeDelay && !s.planner.Held(now, f.target.ID) && s.Limits.Allows(now, f.target.ID, f.target.Incarnation) {
			s.sendFree(f)
		}
	}
}

// sendFree sends the pending frees of one target in the background.
func (s *Scheduler) sendFree(f *pendingFree) {
	delete(s.pendingFrees, f.target.ID)
	ctx, cancel := context.WithTimeout(s.ctx, freeTimeout)
	go func() {
		defer cancel()
		s.runFree(ctx, f)
	}()
}

// runFree sends one call that frees results, and logs its failure.
func (s *Scheduler) runFree(ctx context.Context, f *pendingFree) {
	head, body, err := platform.AppendStageFree(nil, f.target.ID, f.target.Address, f.handles)
	if err == nil {
		s.Limits.RecordSend(s.Clock.Now(), f.target.ID, f.target.Incarnation)
		_, _, err = s.callTarget(ctx, f.target, freeCalls, head, body)
	}
	if err != nil {
		s.Log.Emit(event.StageCallFailed, "Target", f.target.ID, "Results", len(f.handles), "Reason", err.Error())
	}
}
