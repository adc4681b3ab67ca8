package forward

import (
	"context"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/exchange"
	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/platform"
)

const (
	// maxBufferedBytes is the size up to which an answer is buffered before it is sent to the
	// client, so that a truncated one can be replaced by that of another target.
	maxBufferedBytes = 256 << 10
	// busyRetryAfter is the delay that a client is asked to wait if all targets were full.
	busyRetryAfter = 200 * time.Millisecond
	// coldPollInterval is the time between two checks whether the rate limit of a cold target
	// allows one more request.
	coldPollInterval = 20 * time.Millisecond
	// noUrgency omits the urgency from the forwarded request.
	noUrgency = -1
)

// answerPlain handles a request without stages and without a stream: it sends the request
// to one target after the other until one answers.
func (q *requestState) answerPlain(ctx context.Context) {
	last, retryAfter := problem.New(problem.Unavailable, "no usable target"), busyRetryAfter
	limited := limitedChoice{request: q}
	defer limited.close()
	for !q.isOver(ctx) {
		if q.rejectedByStop() {
			last, retryAfter = errStopping, stopRetryAfter
			break
		}
		if err := q.checkQuarantine(); err != nil {
			q.failUnanswered(ctx, err, 0)
			return
		}
		var target inventory.Target
		var ok, rateLimited bool
		if limited.applies() {
			target, ok = limited.next(ctx)
		}
		if limited.rejection != nil {
			break
		}
		if q.isOver(ctx) {
			continue
		}
		if !ok {
			target, ok, rateLimited = q.choose()
		}
		if rateLimited && !ok {
			q.f.sleep(ctx, coldPollInterval)
			continue
		}
		if !ok && q.full {
			last = problem.New(problem.Overloaded, "the targets hold as much as their memory allows")
			q.f.Log.Emit(event.TargetsFull, "Request", q.headers.AttemptID, "Service", q.service, "Bytes", q.heldBytes())
		}
		if !ok {
			break
		}
		attempt := q.beginAttempt(target)
		if q.declinesVersion(target) {
			attempt.abandon()
			q.f.TargetMemory.Remove(target.ID, q.heldBytes())
			continue
		}
		if !q.acquireSend() {
			attempt.abandon()
			q.f.TargetMemory.Remove(target.ID, q.heldBytes())
			break
		}
		q.tried[target.ID] = true
		done, err := q.sendPlain(ctx, target)
		attempt.end(ctx, err, time.Time{})
		if done {
			limited.answered()
			return
		}
		last = err
	}
	if q.isOver(ctx) {
		last = errTimeout
		if ctx.Err() != nil {
			last = problem.New(problem.Late, "%v", context.Cause(ctx))
		}
	}
	if wait, allHeld := firstRelease(q.f.Clock.Now(), q.f.Inventory.Targets(q.service)); allHeld {
		retryAfter = wait
	}
	if wait, allLimited := q.limitWait(); allLimited {
		retryAfter = max(wait, busyRetryAfter)
	}
	if limited.rejection != nil {
		last, retryAfter = limited.rejection, limited.retryAfter
	}
	q.failUnanswered(ctx, last, retryAfter)
}

// choose returns the target for the next send, see targetLoads.choose, and counts what it will hold.
func (q *requestState) choose() (target inventory.Target, found, rateLimited bool) {
	for {
		target, found, rateLimited = q.chooseOnce()
		if !found || q.f.TargetMemory.TryAdd(q.f.Clock.Now(), q.service, target.ID, q.heldBytes()) {
			return target, found, rateLimited
		}
		// Other requests have filled the target since.
	}
}

func (q *requestState) chooseOnce() (target inventory.Target, found, rateLimited bool) {
	q.full = false
	now, s := q.f.Clock.Now(), q.selection()
	if split, ok := q.f.Rollouts.Split(q.service); ok {
		return q.chooseSide(now, s, split)
	}
	s.targets = q.f.Inventory.Targets(q.service)
	return q.f.loads().choose(now, s)
}

// selection returns the conditions for the choice of a target, without candidates.
func (q *requestState) selection() selection {
	return selection{
		fits:       q.fits,
		deadline:   q.deadline,
		dataCentre: q.f.DataCentre,
		tried:      q.tried,
		coldShare:  q.table.Services[q.service].ColdPerSecond / float64(max(q.f.RetryBudget.Daemons(), 1)),
	}
}

// sleep waits for d or until the context ends.
func (f *Forwarder) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.Clock.After(d):
	}
}

// sendPlain sends the request to the target that choose has returned and reports whether an answer to the
// client was started.
func (q *requestState) sendPlain(ctx context.Context, target inventory.Target) (done bool, err error) {
	f := q.f
	defer f.TargetMemory.Remove(target.ID, q.heldBytes())
	f.loads().requestStarted(target.ID, f.Clock.Now())
	var load *platform.Load
	defer func() {
		report, ok := f.loads().requestEnded(target, f.Clock.Now(), load)
		if ok && f.LoadReported != nil {
			f.LoadReported(report)
		}
	}()
	answer, conn, err := q.send(ctx, target, sendOptions{urgency: noUrgency, firstByteTimeout: q.firstByteTimeout()})
	if err != nil {
		if ctx.Err() == nil {
			f.TargetMemory.RecordFailure(f.Clock.Now(), target.ID)
		}
		return false, err
	}
	load = answer.Head.Load
	if answer.Head.NotExecuted {
		f.Pool.Release(conn)
		q.recordRejection(target.ID, answer)
		return false, problem.New(problem.Overloaded, "target %s did not run the request", target.ID)
	}
	q.mayHaveRun = true
	// An unsigned error is not the result of running the request and isn't forwarded.
	if answer.Head.Status >= 500 && !answer.Head.Signed {
		f.Pool.Discard(conn)
		f.Inventory.RecordFailure(target.ID)
		return false, problem.New(problem.TargetFailed, "target %s answered with status %d", target.ID, answer.Head.Status)
	}
	body, whole, err := q.readBuffered(answer)
	if err == nil && !whole {
		err := q.relayLarge(ctx, answer, body, conn)
		switch {
		case err == nil:
			q.recordAnswered()
		case isCut(err):
			q.attemptBroken(ctx, target)
		}
		return true, err
	}
	if err != nil {
		f.Pool.Discard(conn)
		f.Inventory.RecordFailure(target.ID)
		f.TargetMemory.RecordFailure(f.Clock.Now(), target.ID)
		q.recordFailure(target.ID, "Truncated", "Reason", err.Error(), "Framing", answer.Framing)
		if isCut(err) {
			q.attemptBroken(ctx, target)
		}
		return false, problem.New(problem.TargetFailed, "answer of target %s: %v", target.ID, err)
	}
	f.Pool.Release(conn)
	q.recordAnswered()
	if q.retryError(answer) {
		return false, problem.New(problem.TargetFailed, "target %s answered with status %d", target.ID, answer.Head.Status)
	}
	f.Inventory.RecordSuccess(target.ID)
	f.TargetMemory.RecordAnswer(f.Clock.Now(), q.service, target.ID)
	_ = q.w.Answer(answer.Head.Status, platform.AppendAnswerFields(nil, &answer.Header), body)
	q.recordEnd(event.EntryAnswered, outcomeAnswered, "Target", target.ID, "Status", answer.Head.Status, "Framing", answer.Framing)
	return true, nil
}

// retryError reports whether an answer with an error status may be replaced by that of
// another target.
func (q *requestState) retryError(answer *exchange.Answer) bool {
	return answer.Head.Status >= 500 && q.route.Idempotent() && q.sends-q.rejections < q.route.MaxAttempts && q.f.RetryBudget.AllowsRepeat(q.service)
}

// connectionShareFactor is the fraction of a target's connection limit that the daemons
// divide among themselves; the rest covers connections whose close the target hasn't seen yet.
const connectionShareFactor = 0.8

// connectionShare returns the number of connections that this daemon should have to one
// target of the service; 0 means no bound.
func (q *requestState) connectionShare() int {
	limit := q.table.Services[q.service].MaxConnections
	if limit <= 0 {
		return 0
	}
	return max(int(connectionShareFactor*float64(limit)/float64(max(q.f.RetryBudget.Daemons(), 1))), 1)
}

// firstByteTimeoutRatio is the wait for the first byte, as a multiple of the route's latency
// objective, after which a repeatable request is sent to another target.
const firstByteTimeoutRatio = 1.5

// firstByteTimeout returns the bound on the wait for the first byte of the next answer; 0
// means no bound, since the request can't be sent to another target afterwards.
func (q *requestState) firstByteTimeout() time.Duration {
	if !q.route.Idempotent() || q.sends-q.rejections+1 >= q.route.MaxAttempts {
		return 0
	}
	return time.Duration(float64(q.route.LatencyObjective) * firstByteTimeoutRatio)
}

// sendOptions holds the values of one send that don't come from the client.
type sendOptions struct {
	// inputs are the handles of the stage results that the request needs.
	inputs []string
	// urgency is 0 (first) to 9, or noUrgency.
	urgency int
	// lastEventID is the event to resume a stream after, empty at its start.
	lastEventID string
	// firstByteTimeout bounds the wait for the head of the answer, stallTimeout the wait for
	// each event of its body; 0 means no bound.
	firstByteTimeout time.Duration
	stallTimeout     time.Duration
}

// recordFailure logs and counts a send without a usable answer. Its outcome is NotSent if no
// connection could be opened, Lost if no answer was received, NotRun if the target rejected the
// request, Truncated if a plain answer was incomplete, and Broken if a stream was.
func (q *requestState) recordFailure(target, outcome string, keysAndValues ...any) {
	fields := []any{"Request", q.headers.AttemptID, "Target", target, "Outcome", outcome, "Send", q.sends, "Millis", q.f.Clock.Since(q.request.Arrived).Milliseconds(),
		"Fingerprint", q.fingerprint().String()}
	q.f.Log.Emit(event.AttemptFailed, append(fields, keysAndValues...)...)
	q.f.Metrics.RecordAttempt(q.service, outcome)
}

// staleConnTimeout is the time within which a request fails on a pooled connection that the target had
// closed: a round trip and a margin. A later failure isn't due to such a connection.
const staleConnTimeout = 30 * time.Millisecond

// send sends the request to a target and returns the answer with its body unread. If there
// is no error, the caller must release or discard the connection.
//
// A request that fails at once on a pooled connection is sent once more on a new one, since the target may
// have closed the idle connection. Whether it had arrived is unknown, so both sends count for the attempts
// of the route and for the retry budget.
func (q *requestState) send(ctx context.Context, target inventory.Target, options sendOptions) (*exchange.Answer, *exchange.Conn, error) {
	f := q.f
	defer func() { q.resendFresh = false }()
	for {
		started := f.Clock.Now()
		conn, err := f.Pool.Open(ctx, target.Address, q.openOptions())
		if err != nil {
			f.Inventory.RecordFailure(target.ID)
			q.recordFailure(target.ID, "NotSent", "Reason", err.Error())
			return nil, nil, err
		}
		q.openWitness(ctx, target)
		sentAt := f.Clock.Now()
		answer, err := conn.Do(ctx, q.buildRequest(target, options))
		if err == nil {
			q.sends++
			q.answerStartedAt, q.lastHead = f.Clock.Now(), answer.Head
			if answer.Framing == exchange.Connection {
				f.unframed.record(target.ID, q.answerStartedAt)
			}
			q.recordNotices(target, sentAt, answer.Head)
			f.Metrics.RecordAttempt(q.service, outcomeAnswered)
			return answer, conn, nil
		}
		f.Pool.Discard(conn)
		if exchange.NotSent(err) {
			return nil, nil, err
		}
		q.sends++
		q.mayHaveRun = true
		q.recordFailure(target.ID, "Lost", "Reason", err.Error(), "Reused", exchange.Reused(err))
		q.attemptBroken(ctx, target)
		if exchange.Reused(err) && ctx.Err() == nil && f.Clock.Since(started) < staleConnTimeout && q.mayResend(target) && q.acquireSend() {
			q.resendFresh = true
			continue
		}
		if ctx.Err() == nil {
			f.Inventory.RecordFailure(target.ID)
		}
		return nil, nil, err
	}
}
