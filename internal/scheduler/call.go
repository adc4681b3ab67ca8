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
	// callRatio and callSlack bound a call to a stage target by its expected duration; by
	// then its pieces have long been given to another target.
	callRatio = 3
	callSlack = 1500 * time.Millisecond
	// staleLimit is the time in which a connection that the target had closed fails: a round
	// trip and some slack. Calls take hundreds of milliseconds.
	staleLimit = 30 * time.Millisecond
	// maxCallBytes bounds the answer to a call.
	maxCallBytes = 1 << 20
	// freeTimeout bounds a call that gives results up; they vanish by themselves later.
	freeTimeout = time.Second
)

// freeing gathers the results that are given up at a target.
type freeing struct {
	target  dispatch.Target
	handles []string
	since   time.Time
}

// startCall sends a call to a stage target; its outcome comes back to the loop.
func (s *Scheduler) startCall(a dispatch.StartCall) {
	// Results that are given up go first, since the call needs their room.
	given := s.freeing[a.Target.ID]
	delete(s.freeing, a.Target.ID)
	pieces := make([]platform.Piece, 0, len(a.Pieces))
	for _, p := range a.Pieces {
		pieces = append(pieces, platform.Piece{AttemptID: p.Job, Stage: p.Stage, Index: p.Index, Remaining: p.Remaining, Key: p.Key, Inputs: p.Inputs})
	}
	ctx, cancel := context.WithTimeout(s.ctx, callRatio*a.Expected+callSlack)
	go func() {
		defer cancel()
		if given != nil {
			s.runFree(ctx, given)
		}
		results, failure, err := s.runCall(ctx, a.Target, pieces)
		s.post(func() { s.callEnded(a, results, failure, err) })
	}()
}

func (s *Scheduler) callEnded(a dispatch.StartCall, results []dispatch.Result, failure dispatch.CallFailure, err error) {
	now := s.Clock.Now()
	s.noteEnded(a.Call)
	if failure == "" {
		s.Metrics.RecordStageCall(a.Target.Service, "Answered", now.Sub(a.Started))
		s.Log.Emit(event.StageCallEnded, "Call", a.Call, "Target", a.Target.ID, "Service", a.Target.Service, "DataCentre", a.Target.DataCentre,
			"Pieces", len(a.Pieces), "ExpectedMillis", a.Expected.Milliseconds(), "Millis", now.Sub(a.Started).Milliseconds(), "Failed", countFailures(results))
		s.perform(s.planner.CallEnded(now, a.Call, results))
		return
	}
	s.Metrics.RecordStageCall(a.Target.Service, string(failure), now.Sub(a.Started))
	s.Log.Emit(event.StageCallFailed, "Call", a.Call, "Target", a.Target.ID, "Service", a.Target.Service, "Pieces", len(a.Pieces), "Failure", string(failure), "Reason", reason(err))
	s.perform(s.planner.CallFailed(now, a.Call, failure))
}

// countFailures counts the pieces without a result by their failure.
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

func reason(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// runCall runs one call and returns its results, or why there are none.
func (s *Scheduler) runCall(ctx context.Context, target dispatch.Target, pieces []platform.Piece) ([]dispatch.Result, dispatch.CallFailure, error) {
	head, body, err := platform.AppendStageRun(nil, target.ID, target.Address, pieces)
	if err != nil {
		return nil, dispatch.Lost, err
	}
	status, answer, err := s.call(ctx, target.Address, head, body)
	switch {
	case exchange.NotSent(err):
		return nil, dispatch.Unreached, err
	case err != nil:
		return nil, dispatch.Lost, err
	}
	switch status {
	case fasthttp.StatusOK:
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return nil, dispatch.Full, nil
	case fasthttp.StatusMisdirectedRequest:
		return nil, dispatch.Unreached, problem.New(problem.Unavailable, "another target answers at %s", target.Address)
	default:
		return nil, dispatch.Lost, problem.New(problem.TargetFailed, "status %d", status)
	}
	decoded, err := platform.DecodeStageRun(answer, len(pieces))
	if err != nil {
		return nil, dispatch.Lost, err
	}
	results := make([]dispatch.Result, 0, len(decoded))
	for _, d := range decoded {
		results = append(results, dispatch.Result{Handle: d.Handle, Failure: failures[d.Failure]})
	}
	return results, "", nil
}

// failures maps the failures of a piece to those of the planner.
var failures = map[platform.PieceFailure]dispatch.PieceFailure{
	platform.PieceLate:      dispatch.Late,
	platform.PieceInputGone: dispatch.InputGone,
	platform.PieceNoMemory:  dispatch.NoRoom,
	platform.PieceError:     dispatch.Broken,
}

// call sends one call and reads its whole answer. A call that failed at once on a
// connection that had been idle is sent once more, since stage targets may run a piece
// again. One that failed later was being worked on: its inputs may be given up by now, and
// what it was for may no longer be wanted.
func (s *Scheduler) call(ctx context.Context, address string, head, body []byte) (int, []byte, error) {
	began := s.Clock.Now()
	status, answer, err := s.exchange(ctx, address, head, body, exchange.Pooled)
	if err != nil && exchange.Reused(err) && ctx.Err() == nil && s.Clock.Since(began) < staleLimit {
		return s.exchange(ctx, address, head, body, exchange.Fresh)
	}
	return status, answer, err
}

func (s *Scheduler) exchange(ctx context.Context, address string, head, body []byte, reuse exchange.Reuse) (int, []byte, error) {
	conn, err := s.Pool.Open(ctx, address, exchange.OpenOptions{Reuse: reuse})
	if err != nil {
		return 0, nil, err
	}
	answer, err := conn.Do(ctx, exchange.Request{Head: head, Body: body})
	if err != nil {
		s.Pool.Discard(conn)
		return 0, nil, err
	}
	read, err := io.ReadAll(io.LimitReader(answer.Body, maxCallBytes))
	if err != nil {
		s.Pool.Discard(conn)
		return 0, nil, problem.New(problem.Unavailable, "answer of %s: %v", address, err)
	}
	s.Pool.Release(conn)
	return answer.Head.Status, read, nil
}

// free gives results up, gathered for a moment.
func (s *Scheduler) free(a dispatch.FreeResults) {
	f := s.freeing[a.Target.ID]
	if f == nil {
		f = &freeing{target: a.Target, since: s.Clock.Now()}
		s.freeing[a.Target.ID] = f
	}
	f.handles = append(f.handles, a.Handles...)
}

func (s *Scheduler) flushFrees(now time.Time) {
	for _, f := range s.freeing {
		if now.Sub(f.since) >= freeDelay {
			s.sendFree(f)
		}
	}
}

func (s *Scheduler) sendFree(f *freeing) {
	delete(s.freeing, f.target.ID)
	ctx, cancel := context.WithTimeout(s.ctx, freeTimeout)
	go func() {
		defer cancel()
		s.runFree(ctx, f)
	}()
}

func (s *Scheduler) runFree(ctx context.Context, f *freeing) {
	head, body, err := platform.AppendStageFree(nil, f.target.ID, f.target.Address, f.handles)
	if err == nil {
		_, _, err = s.call(ctx, f.target.Address, head, body)
	}
	if err != nil {
		s.Log.Emit(event.StageCallFailed, "Target", f.target.ID, "Results", len(f.handles), "Reason", err.Error())
	}
}
