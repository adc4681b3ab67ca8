package forward

import (
	"context"
	"io"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/exchange"
	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/platform"
)

const (
	// bufferedBytes is the size up to which an answer is read whole before the client gets
	// any of it, so that a broken one can be replaced.
	bufferedBytes = 256 << 10
	// busyRetryAfter is when a request that found all targets full may come again.
	busyRetryAfter = 200 * time.Millisecond
	// coldWait is the time between two looks at whether a cold target bears one more request.
	coldWait = 20 * time.Millisecond
	// noUrgency leaves the urgency out.
	noUrgency = -1
)

// plain answers a request that one target answers at once.
func (q *run) plain(ctx context.Context) {
	last := problem.New(problem.Unavailable, "no usable target")
	for ctx.Err() == nil {
		target, ok, paced := q.choose()
		if paced && !ok {
			q.f.sleep(ctx, coldWait)
			continue
		}
		if !ok || !q.maySend() {
			break
		}
		q.tried[target.ID] = true
		done, err := q.plainOnce(ctx, target)
		if done {
			return
		}
		last = err
	}
	if ctx.Err() != nil {
		last = problem.New(problem.Late, "%v", context.Cause(ctx))
	}
	q.giveUp(ctx, last, busyRetryAfter)
}

// choose returns the target for the next send, see loads.choose.
func (q *run) choose() (target inventory.Target, found, paced bool) {
	return q.f.load.choose(q.f.Clock.Now(), choice{
		targets:    q.f.Inventory.Targets(q.service),
		dataCentre: q.f.DataCentre,
		tried:      q.tried,
		coldShare:  q.table.Services[q.service].ColdPerSecond / float64(max(q.f.RetryBudget.Daemons(), 1)),
	})
}

// sleep waits, but not beyond the end of the context.
func (f *Forwarder) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.Clock.After(d):
	}
}

// plainOnce sends the request to one target and reports whether the client was answered.
func (q *run) plainOnce(ctx context.Context, target inventory.Target) (done bool, err error) {
	f := q.f
	f.load.begin(target.ID)
	var load *platform.Load
	defer func() { f.load.end(target.ID, f.Clock.Now(), load) }()
	answer, conn, err := q.send(ctx, target, extras{urgency: noUrgency, firstByte: q.patience()})
	if err != nil {
		return false, err
	}
	load = answer.Head.Load
	if answer.Head.NotExecuted {
		f.Pool.Release(conn)
		q.rejected(target.ID, answer)
		return false, problem.New(problem.Overloaded, "target %s didn't run the request", target.ID)
	}
	q.ran = true
	if answer.Head.Status >= 500 && !answer.Head.Signed {
		f.Pool.Discard(conn)
		f.Inventory.RecordFailure(target.ID)
		return false, problem.New(problem.TargetFailed, "target %s answered with status %d", target.ID, answer.Head.Status)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, bufferedBytes))
	if err == nil && len(body) == bufferedBytes {
		return true, q.passOn(ctx, answer, body, conn)
	}
	if err != nil {
		f.Pool.Discard(conn)
		f.Inventory.RecordFailure(target.ID)
		q.failed(target.ID, "Truncated", "Reason", err.Error())
		return false, problem.New(problem.TargetFailed, "answer of target %s: %v", target.ID, err)
	}
	f.Pool.Release(conn)
	if q.retryError(answer) {
		return false, problem.New(problem.TargetFailed, "target %s answered with status %d", target.ID, answer.Head.Status)
	}
	f.Inventory.RecordSuccess(target.ID)
	_ = q.w.Answer(answer.Head.Status, platform.AppendAnswerFields(nil, &answer.Header), body)
	q.end(event.EntryAnswered, outcomeAnswered, "Target", target.ID, "Status", answer.Head.Status)
	return true, nil
}

// retryError reports whether an error that a target answered with is worth another try.
func (q *run) retryError(answer *exchange.Answer) bool {
	return answer.Head.Status >= 500 && q.route.Idempotent() && q.sends-q.notRun < q.route.MaxAttempts && q.f.RetryBudget.AllowsRepeat(q.service)
}

// passOn passes a large answer on as it arrives.
func (q *run) passOn(ctx context.Context, answer *exchange.Answer, begin []byte, conn *exchange.Conn) error {
	length := int64(answer.Length)
	if answer.Length < 0 {
		length = -1
	}
	if err := q.w.Start(answer.Head.Status, platform.AppendAnswerFields(nil, &answer.Header), length); err != nil {
		q.f.Pool.Discard(conn)
		return err
	}
	_, err := q.w.Write(begin)
	if err == nil {
		_, err = io.Copy(q.w, answer.Body)
	}
	if err != nil || ctx.Err() != nil {
		q.w.Abort()
		q.f.Pool.Discard(conn)
		return err
	}
	q.f.Pool.Release(conn)
	return q.w.End()
}

// shareMargin is the part of a target's connections that the daemons share out; the rest
// is for connections that a target has not yet seen closed.
const shareMargin = 0.8

// share is the number of connections to one target of the service that this daemon should
// have at a time.
func (q *run) share() int {
	most := q.table.Services[q.service].MaxConnections
	if most <= 0 {
		return 0
	}
	return max(int(shareMargin*float64(most)/float64(max(q.f.RetryBudget.Daemons(), 1))), 1)
}

// slowRatio is the time over the aim after which a request that may be repeated is tried
// at another target.
const slowRatio = 1.5

// patience is the time for which a target may let a request wait that can be sent to
// another one; 0 means without bound.
func (q *run) patience() time.Duration {
	if !q.route.Idempotent() || q.sends-q.notRun+1 >= q.route.MaxAttempts {
		return 0
	}
	return time.Duration(float64(q.route.LatencyObjective) * slowRatio)
}

// extras is what a request carries besides what its client sent.
type extras struct {
	inputs    []string
	urgency   int
	lastEvent string
	// firstByte and stall bound the waits for the answer; 0 means no bound.
	firstByte time.Duration
	stall     time.Duration
}

// failed logs and counts a send that didn't bring an answer to use.
func (q *run) failed(target, outcome string, keysAndValues ...any) {
	fields := []any{"Request", q.call.AttemptID, "Target", target, "Outcome", outcome, "Send", q.sends, "Millis", q.f.Clock.Since(q.request.Arrived).Milliseconds()}
	q.f.Log.Emit(event.AttemptFailed, append(fields, keysAndValues...)...)
	q.f.Metrics.RecordAttempt(q.service, outcome)
}

// send sends the request to a target and returns the head of the answer. The caller must
// release or discard the connection if there is no error.
func (q *run) send(ctx context.Context, target inventory.Target, extra extras) (*exchange.Answer, *exchange.Conn, error) {
	f := q.f
	reuse := q.reuse()
	for {
		conn, err := f.Pool.Open(ctx, target.Address, exchange.OpenOptions{Reuse: reuse, Share: q.share()})
		if err != nil {
			f.Inventory.RecordFailure(target.ID)
			q.failed(target.ID, "NotSent", "Reason", err.Error())
			return nil, nil, err
		}
		answer, err := conn.Do(ctx, q.forwardTo(target.ID, extra))
		if err == nil {
			q.sends++
			q.began = f.Clock.Now()
			f.Metrics.RecordAttempt(q.service, outcomeAnswered)
			return answer, conn, nil
		}
		f.Pool.Discard(conn)
		if exchange.NotSent(err) {
			return nil, nil, err
		}
		if reuse == exchange.Pooled && exchange.Reused(err) && ctx.Err() == nil && q.route.Idempotent() {
			reuse = exchange.Fresh // the target may just have closed the idle connection
			continue
		}
		q.sends++
		q.ran = true
		if ctx.Err() == nil {
			f.Inventory.RecordFailure(target.ID)
		}
		q.failed(target.ID, "Lost", "Reason", err.Error(), "Reused", exchange.Reused(err))
		return nil, nil, err
	}
}
