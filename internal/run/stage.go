package run

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/history"
	"github.com/sequoiapick/sequoiapick/internal/link"
	"github.com/sequoiapick/sequoiapick/internal/request"
	"github.com/sequoiapick/sequoiapick/pkg/pipeline"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

// retryPause is the time between an attempt that was not sent and the next choice.
const retryPause = 10 * time.Millisecond

// stageRun is one stage of one request.
type stageRun struct {
	runner *Runner
	job    Job
	// pipeline and index say which stages remain.
	pipeline pipeline.Pipeline
	index    int
	stage    pipeline.Stage
	input    []byte
	sink     func([]byte) error
	tried    map[string]bool
	cost     request.StageCost
	sent     int
	number   int
	held     bool
	// streamed says that the caller has some of the answer, so that no other attempt
	// may go on from there.
	streamed atomic.Bool
}

func (s *stageRun) run(ctx context.Context) ([]byte, error) {
	for {
		if ctx.Err() != nil {
			return nil, ended(ctx)
		}
		place := s.obtain(ctx)
		if place.err != nil {
			return nil, place.err
		}
		output, err := s.race(ctx, place)
		if err == nil {
			return output, nil
		}
		if final := s.classify(ctx, err); final != nil {
			return nil, final
		}
	}
}

// ended names why the context is over.
func ended(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return problem.New(problem.Late, "the deadline passed")
	}
	return problem.New(problem.Cancelled, "the caller gave up")
}

func (s *stageRun) note(e event.Event, action, targetName, reason string, candidates []string) {
	s.runner.Log.Emit(e, "Request", s.job.Request.ID, "Stage", s.stage.Name, "Candidates", candidates, "Choice", targetName, "Reason", reason)
	s.runner.History.Add(s.job.Request.ID, history.Decision{
		At:         s.runner.Clock.Now(),
		Stage:      s.stage.Name,
		Action:     action,
		Target:     targetName,
		Reason:     reason,
		Candidates: candidates,
	})
}

// pause waits before the next try.
func (s *stageRun) pause(ctx context.Context) {
	timer := s.runner.Clock.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// classify returns the error that ends the stage, or nil if it is to be tried again.
func (s *stageRun) classify(ctx context.Context, err error) error {
	if link.NotSent(err) {
		s.pause(ctx)
		return nil
	}
	if !s.stage.Idempotent {
		return problem.New(problem.OutcomeUnknown, "stage %q was sent, its outcome is unknown: %s", s.stage.Name, problem.Detail(err))
	}
	if ctx.Err() != nil {
		return ended(ctx)
	}
	if problem.Of(err) == problem.Cancelled {
		return err
	}
	if s.streamed.Load() {
		return problem.New(problem.TargetFailed, "stage %q broke off after its answer had begun: %s", s.stage.Name, problem.Detail(err))
	}
	if link.GuardianUnreachable(err) {
		s.pause(ctx)
		return nil
	}
	s.sent++
	if s.sent >= MaxAttempts {
		return problem.New(problem.TargetFailed, "stage %q failed %d times, at last: %s", s.stage.Name, s.sent, problem.Detail(err))
	}
	if !s.runner.RetryBudget.TryWithdraw() {
		return problem.New(problem.Overloaded, "stage %q failed and the retry budget is spent: %s", s.stage.Name, problem.Detail(err))
	}
	return nil
}

// attemptID names one attempt of the stage.
func (s *stageRun) attemptID() string {
	s.number++
	return s.job.Request.ID + "/" + s.stage.Name + "/" + strconv.Itoa(s.number)
}

// charge books the cost of an attempt that may have reached the target.
func (s *stageRun) charge(contract target.Target) {
	s.cost.Attempts++
	s.cost.CostMicros += contract.CostMicros
	if s.cost.Target == "" {
		s.cost.Target = contract.Name
	}
	s.runner.Metrics.RecordStageCost(s.stage.Name, contract.CostMicros)
}
