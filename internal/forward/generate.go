package forward

import (
	"context"
	"errors"
	"io"
	"strconv"
	"syscall"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/exchange"
	"github.com/sequoiapick/sequoiapick/internal/ingress"
	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/internal/scheduler"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/pkg/route"
	"github.com/sequoiapick/sequoiapick/platform"
)

const (
	// streamStallTimeout is the pause in a resumable stream after which it is resumed at
	// another engine.
	streamStallTimeout = 1500 * time.Millisecond
)

// generate has the scheduler run the stages of the request and assign an engine, and sends
// the request there. After each failed send it asks for another engine, as long as the request
// may be sent again.
func (q *requestState) generate(ctx context.Context) {
	job, err := q.job()
	if err == nil {
		err = q.checkQuarantine()
	}
	if err == nil && q.rejectedByStop() {
		err = errStopping
	}
	if err != nil {
		q.reject(err, retryAfterStop(err))
		return
	}
	ticket := q.f.Scheduler.Submit(job)
	defer ticket.Close()
	s := &stream{request: q}
	defer q.endStream(s)
	for {
		update, err := q.awaitUpdate(ctx, s, ticket)
		if err != nil {
			q.failGeneration(ctx, s, err, retryAfterStop(err))
			return
		}
		assigned, ok := update.(scheduler.Assigned)
		if !ok {
			rejected := update.(scheduler.Rejected)
			kind := problem.Overloaded
			if rejected.Reason == string(dispatch.Quarantined) {
				kind = problem.Quarantined
			}
			q.failGeneration(ctx, s, problem.New(kind, "%s", rejected.Reason), rejected.RetryAfter)
			return
		}
		if err := q.checkQuarantine(); err != nil {
			q.failGeneration(ctx, s, err, 0)
			return
		}
		if q.rejectedByStop() {
			q.failGeneration(ctx, s, errStopping, stopRetryAfter)
			return
		}
		q.assignedAt = q.f.Clock.Now()
		target, known := q.f.Inventory.Target(assigned.Target)
		if !known || !target.Usable() || !target.HeldUntil.IsZero() {
			// The daemon that assigns the engines may have older information than this one, for
			// example while the metadata store rejects its calls.
			q.f.Log.Emit(event.TargetDeclined, "Request", q.headers.AttemptID, "Target", assigned.Target, "Known", known, "Draining", target.Draining, "Leaving", target.Leaving, "Out", target.DataCentreOut,
				"HeldUntil", target.HeldUntil)
			q.f.reportNotice(assigned.Target)
			ticket.Reassign(scheduler.EngineFailure{Target: assigned.Target})
			continue
		}
		attempt := q.beginAttempt(target)
		if q.declinesVersion(target) {
			attempt.abandon()
			ticket.Reassign(scheduler.EngineFailure{Target: target.ID})
			continue
		}
		if !q.acquireSend() {
			attempt.abandon()
			q.failGeneration(ctx, s, problem.New(problem.Overloaded, "the request must not be sent to another target"), busyRetryAfter)
			return
		}
		s.firstEventAt = time.Time{}
		outcome := q.sendToEngine(ctx, s, ticket, target, assigned.Inputs)
		attempt.end(ctx, outcome.err, s.firstEventAt)
		if outcome.done {
			return
		}
		if ctx.Err() != nil || s.started() && !s.isResumable() || q.mayHaveRun && !q.route.Idempotent() {
			if outcome.crashedAtStart {
				ticket.EngineCrashedAtStart()
			}
			q.failGeneration(ctx, s, outcome.err, busyRetryAfter)
			return
		}
		// The answer may have been cut off since the client doesn't read; another one would be too.
		if err := s.awaitClient(); err != nil {
			q.failGeneration(ctx, s, err, 0)
			return
		}
		ticket.Reassign(scheduler.EngineFailure{Target: target.ID, InputsGone: outcome.inputsGone, Faulty: outcome.faulty, CrashedAtStart: outcome.crashedAtStart})
	}
}

// job returns the scheduler's job for the request; its error has kind Invalid.
func (q *requestState) job() (scheduler.Job, error) {
	headers, r := q.headers, q.route
	if len(r.Stages) > 0 && len(headers.PieceCounts) != len(r.Stages) {
		return scheduler.Job{}, problem.New(problem.Invalid, "the request names %d stages, the route has %d", len(headers.PieceCounts), len(r.Stages))
	}
	softDeadline, _ := Deadlines(q.request.Arrived, r)
	job := scheduler.Job{
		ID:           headers.AttemptID,
		DataCentre:   q.f.DataCentre,
		Key:          headers.PieceKey,
		SoftDeadline: softDeadline,
		Deadline:     q.scheduledDeadline(),
		Priority:     q.priority(),
		Value:        q.value(),
		Account:      q.account,
		Route:        r.Name,
		Generation: placement.Request{
			ID:           headers.AttemptID,
			Service:      q.service,
			Model:        headers.Model,
			PromptTokens: headers.PromptTokens,
			OutputTokens: headers.OutputTokens,
			DataCentre:   q.f.DataCentre,
		},
	}
	for i, st := range r.Stages {
		job.Stages = append(job.Stages, dispatch.Stage{Service: st.Service, Kind: StageKind(r.Name, i), After: st.After, Pieces: headers.PieceCounts[i], ResultBytes: st.ResultBytes})
	}
	if dispatch.PieceCount(job.Stages) > dispatch.MaxPieces {
		return scheduler.Job{}, problem.New(problem.Invalid, "the request has more than %d pieces", dispatch.MaxPieces)
	}
	for _, part := range headers.Parts {
		job.Generation.Parts = append(job.Generation.Parts, placement.Part{ID: part.ID, Tokens: part.Tokens})
	}
	return job, nil
}

// Deadlines returns the time by which the stages of a request of the route must be done for its full
// value, and the deadline of a request whose client sets none.
func Deadlines(arrived time.Time, r *route.Route) (soft, deadline time.Time) {
	timeout := r.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return arrived.Add(r.LatencyObjective - scheduler.FirstEventLatency), arrived.Add(timeout)
}

// A client abandons a stream if it has waited for an event for minPatience, objectivePatience times the latency
// objective or gapPatience times the longest pause between events, whichever is longest.
const (
	minPatience       = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
)

// scheduledDeadline returns the deadline for the schedule. While capacity is scarce, time after which the client
// abandons its stream isn't left for waiting: the request would fail after its stages were run, or keep other
// requests back until then.
func (q *requestState) scheduledDeadline() time.Time {
	r := q.route
	if r.Kind != route.Streaming || !q.f.Scheduler.IsScarcePolicy() {
		return q.deadline
	}
	abandoned := q.request.Arrived.Add(max(minPatience, objectivePatience*r.LatencyObjective, gapPatience*r.MaxGap))
	if abandoned.Before(q.deadline) {
		return abandoned
	}
	return q.deadline
}

// value returns the value of the request relative to others, by which the scheduler prefers
// requests. It depends on the priority and on the size relative to other requests of the route.
func (q *requestState) value() float64 {
	size := float64(q.headers.PromptTokens + outputTokenWeight*q.headers.OutputTokens)
	return dispatch.RequestValue(q.priority(), q.f.sizes.relative(q.route.Name, size))
}

// outputTokenWeight is the size of one output token in prompt tokens.
const outputTokenWeight = 10

// StageKind returns the key under which the scheduler measures the run times of a stage's
// pieces; the pieces of one stage of one route take similar times.
func StageKind(routeName string, index int) string {
	return routeName + "/" + strconv.Itoa(index)
}

// priority returns the priority of the account if it has one, or that of the route; 0 is
// the highest.
func (q *requestState) priority() int {
	if a, ok := q.table.AccountByKey(q.headers.Key); ok && a.HasPriority {
		return a.Priority
	}
	return q.route.Priority
}

// awaitUpdate returns the next update of the ticket. Its error has kind Late when the context ends, and
// kind Stopping when the daemon stops and no engine can have run the request.
func (q *requestState) awaitUpdate(ctx context.Context, s *stream, ticket *scheduler.Ticket) (scheduler.Update, error) {
	announced, rejecting := q.f.stop.signals()
	if q.mayHaveRun || s.started() {
		announced, rejecting = nil, nil // what has begun may still be resumed
	}
	for {
		select {
		case u := <-ticket.Updates:
			return u, nil
		case <-ctx.Done():
			return nil, problem.New(problem.Late, "%v", context.Cause(ctx))
		case <-rejecting:
			return nil, errStopping
		case <-announced:
			if q.rejectedByStop() {
				return nil, errStopping
			}
			announced = nil
		}
	}
}

// engineOutcome is the result of one send to an engine.
type engineOutcome struct {
	// done is set if the request has ended.
	done bool
	// inputsGone is set if the results of the stages must be computed again.
	inputsGone bool
	// faulty is set if the engine itself failed, rather than rejecting the request.
	faulty bool
	// crashedAtStart is set if the engine broke off its answer before the first event.
	crashedAtStart bool
	err            error
}

// sendToEngine sends the request to one engine and relays its stream to the client.
func (q *requestState) sendToEngine(ctx context.Context, s *stream, ticket *scheduler.Ticket, target inventory.Target, inputs []string) engineOutcome {
	f := q.f
	options := sendOptions{inputs: inputs, urgency: q.urgency(), lastEventID: s.lastEventID}
	if q.route.Resumable {
		options.stallTimeout = streamStallTimeout
	}
	s.times = eventTimes{clock: f.Clock, sentAt: f.Clock.Now()}
	answer, conn, err := q.send(ctx, target, options)
	if err != nil {
		return engineOutcome{err: err, faulty: ctx.Err() == nil}
	}
	if answer.Head.Leaving || answer.Head.RetryAfter > 0 {
		f.reportNotice(target.ID)
	}
	switch {
	case answer.Head.NotExecuted:
		f.Pool.Release(conn)
		q.recordRejection(target.ID, answer)
		return engineOutcome{
			inputsGone: answer.Head.Status == statusConflict,
			err:        problem.New(problem.Overloaded, "target %s did not run the request", target.ID),
		}
	case answer.Head.Status != 200:
		return q.handleErrorAnswer(ctx, s, answer, conn, target)
	}
	q.mayHaveRun = true
	q.reportLoad(ticket, target, answer.Head.Load)
	ticket.AnswerStarted()
	eventsBefore := s.events
	read := false
	s.answerRead = func() {
		read = true
		f.Pool.Release(conn)
		f.Inventory.RecordSuccess(target.ID)
		q.recordAnswered()
		ticket.AnswerCompleted()
		ticket.EngineTimes(s.times.firstEvent, s.times.typicalGap())
	}
	err = s.relay(ctx, answer)
	if err == nil {
		if !read {
			s.answerRead()
		}
		q.recordEnd(event.EntryAnswered, outcomeAnswered, "Target", target.ID, "Status", answer.Head.Status, "Framing", answer.Framing, "LastEvent", s.lastEventID)
		return engineOutcome{done: true}
	}
	if read {
		q.failGeneration(ctx, s, err, 0)
		return engineOutcome{done: true}
	}
	f.Pool.Discard(conn)
	if errors.Is(err, errClientWrite) || ctx.Err() != nil {
		return engineOutcome{err: err, inputsGone: true}
	}
	if s.throttled() {
		q.recordFailure(target.ID, outcomeBroken, "Reason", err.Error(), "Framing", answer.Framing, "LastEvent", s.lastEventID, "WaitedMillis", s.ahead.longestWait.Milliseconds())
		return engineOutcome{err: err, inputsGone: true}
	}
	f.Inventory.RecordFailure(target.ID)
	q.recordFailure(target.ID, outcomeBroken, "Reason", err.Error(), "Framing", answer.Framing, "LastEvent", s.lastEventID, "UnfinishedBytes", len(s.pending))
	if isCut(err) {
		q.attemptBroken(ctx, target)
	}
	return engineOutcome{err: err, inputsGone: true, faulty: true, crashedAtStart: s.events == eventsBefore && isCut(err)}
}

// isCut reports whether an error of reading an answer is the end of its connection.
func isCut(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// statusConflict is the status of an engine whose inputs no longer exist.
const statusConflict = 409

// handleErrorAnswer relays an answer with a status other than 200, unless the stream has
// started or the request may be sent to another engine.
func (q *requestState) handleErrorAnswer(ctx context.Context, s *stream, answer *exchange.Answer, conn *exchange.Conn, target inventory.Target) engineOutcome {
	q.mayHaveRun = true
	q.f.Inventory.RecordFailure(target.ID)
	body, whole, err := q.readBuffered(answer)
	if err == nil && !whole {
		err = problem.New(problem.TargetFailed, "target %s answered with status %d and at least %d bytes", target.ID, answer.Head.Status, len(body))
	}
	if err != nil {
		q.f.Pool.Discard(conn)
		return engineOutcome{err: err, inputsGone: true, faulty: true}
	}
	q.f.Pool.Release(conn)
	q.recordAnswered()
	if s.started() || q.retryError(answer) {
		return engineOutcome{err: problem.New(problem.TargetFailed, "target %s answered with status %d", target.ID, answer.Head.Status), inputsGone: true, faulty: true}
	}
	_ = q.w.Answer(answer.Head.Status, platform.AppendAnswerFields(nil, &answer.Header), body)
	q.recordEnd(event.EntryAnswered, outcomeAnswered, "Target", target.ID, "Status", answer.Head.Status)
	return engineOutcome{done: true}
}

// urgency maps the priority of the request to the scale of the engines, 0 (first) to 9.
func (q *requestState) urgency() int {
	return min(max(q.priority(), 0)+highestPriorityUrgency, 9)
}

// highestPriorityUrgency is the urgency of requests with priority 0.
const highestPriorityUrgency = 2

// failGeneration ends a request that no engine completed. A stream that has started is
// aborted, since its status can't change any more.
func (q *requestState) failGeneration(ctx context.Context, s *stream, err error, retryAfter time.Duration) {
	if !s.started() {
		q.failUnanswered(ctx, err, retryAfter)
		return
	}
	// What was read is forwarded; ctx bounds the wait.
	if closeErr := s.closeAhead(); closeErr != nil {
		err = closeErr
		q.logSlowClient(ctx, s.ahead, err)
	}
	q.recordEnd(event.StreamBroken, outcomeBroken, "LastEvent", s.lastEventID, "Reason", err.Error())
	q.w.Abort()
}

// logSlowClient logs what a client lost that didn't read its answer in time.
func (q *requestState) logSlowClient(ctx context.Context, ahead *readAhead, err error) {
	if ahead.lost > 0 && context.Cause(ctx) != ingress.ErrClientDisconnected {
		q.f.Log.Emit(event.ClientSlow, "Request", q.headers.AttemptID, "Service", q.service, "UnreadBytes", ahead.lost, "Reason", err.Error())
	}
}

// endStream ends the writing to the client, which has ended already unless the handler panics.
func (q *requestState) endStream(s *stream) {
	if err := s.closeAhead(); err != nil {
		q.w.Abort()
	}
}
