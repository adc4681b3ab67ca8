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

// retryDelay is the time between an attempt that wasn't sent, or whose guardian was unreachable,
// and the next routing decision.
const retryDelay = 10 * time.Millisecond

// stageRun is the run of one stage of one request, with all its attempts.
type stageRun struct {
	runner *Runner
	job    Job
	// index is the index of stage in pipeline; the stages after it remain to be run.
	pipeline pipeline.Pipeline
	index    int
	stage    pipeline.Stage
	input    []byte
	// sink receives the texts of the answer as they arrive; nil if the stage isn't streamed.
	sink func([]byte) error
	// tried holds the names of the targets on which an attempt failed.
	tried map[string]bool
	cost  request.StageCost
	// failedAttempts counts the failed attempts that may have reached a target.
	failedAttempts int
	// lastAttempt is the number of the newest attempt; the first one has number 1.
	lastAttempt int
	// waitReported is set when the wait of the stage has been logged.
	waitReported bool
	// streamed is set when the caller has received some of the answer. No other attempt
	// can then continue the stage, as its texts may differ.
	streamed atomic.Bool
}

// run makes attempts until one has ended with the whole output, or returns the final error.
func (s *stageRun) run(ctx context.Context) ([]byte, error) {
	for {
		if ctx.Err() != nil {
			return nil, contextError(ctx)
		}
		sl := s.waitForSlot(ctx)
		if sl.err != nil {
			return nil, sl.err
		}
		output, err := s.sendHedged(ctx, sl)
		if err == nil {
			return output, nil
		}
		if final := s.finalError(ctx, err); final != nil {
			return nil, final
		}
	}
}

// contextError returns an error that states why ctx has ended, of kind Late or Cancelled.
func contextError(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return problem.New(problem.Late, "the deadline passed")
	}
	return problem.New(problem.Cancelled, "the request was cancelled")
}

// recordDecision adds a decision to the log and to the history of the request.
func (s *stageRun) recordDecision(e event.Event, action, targetName, reason string, candidates []string) {
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

// waitBeforeRetry waits for retryDelay or until ctx ends.
func (s *stageRun) waitBeforeRetry(ctx context.Context) {
	timer := s.runner.Clock.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// finalError returns the error that ends the stage after err, or nil if the stage is to be
// tried again. Attempts that weren't sent or whose guardian was unreachable neither count
// towards MaxAttempts nor take from the retry budget; after those it waits for retryDelay.
func (s *stageRun) finalError(ctx context.Context, err error) error {
	if link.NotSent(err) {
		s.waitBeforeRetry(ctx)
		return nil
	}
	if !s.stage.Idempotent {
		return problem.New(problem.OutcomeUnknown, "stage %q was sent, its outcome is unknown: %s", s.stage.Name, problem.Detail(err))
	}
	if ctx.Err() != nil {
		return contextError(ctx)
	}
	if problem.Of(err) == problem.Cancelled {
		return err
	}
	if s.streamed.Load() {
		return problem.New(problem.TargetFailed, "stage %q failed after part of its answer was streamed: %s", s.stage.Name, problem.Detail(err))
	}
	if link.GuardianUnreachable(err) {
		s.waitBeforeRetry(ctx)
		return nil
	}
	s.failedAttempts++
	if s.failedAttempts >= MaxAttempts {
		return problem.New(problem.TargetFailed, "stage %q failed %d times, last error: %s", s.stage.Name, s.failedAttempts, problem.Detail(err))
	}
	if !s.runner.RetryBudget.TryWithdraw() {
		return problem.New(problem.Overloaded, "stage %q failed and the retry budget is exhausted: %s", s.stage.Name, problem.Detail(err))
	}
	return nil
}

// newAttemptID returns the ID of the next attempt: request ID, stage name and number.
func (s *stageRun) newAttemptID() string {
	s.lastAttempt++
	return s.job.Request.ID + "/" + s.stage.Name + "/" + strconv.Itoa(s.lastAttempt)
}

// addCost adds the cost of an attempt that may have reached the target.
func (s *stageRun) addCost(t target.Target) {
	s.cost.Attempts++
	s.cost.CostMicros += t.CostMicros
	if s.cost.Target == "" {
		s.cost.Target = t.Name
	}
	s.runner.Metrics.RecordStageCost(s.stage.Name, t.CostMicros)
}
