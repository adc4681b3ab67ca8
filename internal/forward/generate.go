package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/exchange"
	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/internal/scheduler"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/platform"
)

const (
	// firstEventTime is what an engine typically takes up to the first event; the stages
	// must be done that long before the aim.
	firstEventTime = 250 * time.Millisecond
	// stallTime is the pause in a stream after which a resumable one goes on elsewhere.
	stallTime = 1500 * time.Millisecond
)

// generate runs the stages of a request and then the request itself at an engine.
func (q *run) generate(ctx context.Context) {
	job, err := q.job()
	if err != nil {
		q.refuse(err, 0)
		return
	}
	ticket := q.f.Scheduler.Submit(job)
	defer ticket.Close()
	s := &stream{run: q}
	for {
		update, err := await(ctx, ticket)
		if err != nil {
			q.endStream(ctx, s, err, 0)
			return
		}
		assigned, ok := update.(scheduler.Assigned)
		if !ok {
			refused := update.(scheduler.Rejected)
			q.endStream(ctx, s, problem.New(problem.Overloaded, "%s", refused.Reason), refused.RetryAfter)
			return
		}
		q.assigned = q.f.Clock.Now()
		target, known := q.f.Inventory.Target(assigned.Target)
		if !known || !target.Usable() {
			// The daemon that leads may know less than this one, for example when the store
			// turns it away.
			q.f.Log.Emit(event.TargetDeclined, "Request", q.call.AttemptID, "Target", assigned.Target, "Known", known, "Draining", target.Draining, "Out", target.DataCentreOut)
			ticket.Reassign(scheduler.EngineFailure{Target: assigned.Target})
			continue
		}
		if !q.maySend() {
			q.endStream(ctx, s, problem.New(problem.Overloaded, "no more attempts"), busyRetryAfter)
			return
		}
		outcome := q.engineOnce(ctx, s, ticket, target, assigned.Inputs)
		if outcome.done {
			return
		}
		if ctx.Err() != nil || s.started() && !q.route.Resumable || q.ran && !q.route.Idempotent() {
			q.endStream(ctx, s, outcome.err, busyRetryAfter)
			return
		}
		ticket.Reassign(scheduler.EngineFailure{Target: target.ID, InputsGone: outcome.inputsGone, Faulty: outcome.faulty})
	}
}

// job describes the request to the scheduler.
func (q *run) job() (scheduler.Job, error) {
	call, r := q.call, q.route
	if len(r.Stages) > 0 && len(call.PieceCounts) != len(r.Stages) {
		return scheduler.Job{}, problem.New(problem.Invalid, "the request names %d stages, the route has %d", len(call.PieceCounts), len(r.Stages))
	}
	aim := q.request.Arrived.Add(r.LatencyObjective - firstEventTime)
	job := scheduler.Job{
		ID:           call.AttemptID,
		DataCentre:   q.f.DataCentre,
		Key:          call.PieceKey,
		SoftDeadline: aim,
		Deadline:     q.deadline,
		Priority:     q.priority(),
		Value:        q.worth(),
		Generation: placement.Request{
			ID:           call.AttemptID,
			Service:      q.service,
			Model:        call.Model,
			PromptTokens: call.PromptTokens,
			OutputTokens: call.OutputTokens,
			DataCentre:   q.f.DataCentre,
		},
	}
	for i, st := range r.Stages {
		job.Stages = append(job.Stages, dispatch.Stage{Service: st.Service, Kind: stageKind(r.Name, i), After: st.After, Pieces: call.PieceCounts[i], ResultBytes: st.ResultBytes})
	}
	for _, part := range call.Parts {
		job.Generation.Parts = append(job.Generation.Parts, placement.Part{ID: part.ID, Tokens: part.Tokens})
	}
	return job, nil
}

// worth weighs the request against others by its rank and its size.
func (q *run) worth() float64 {
	size := float64(q.call.PromptTokens + outputWeight*q.call.OutputTokens)
	return dispatch.RequestValue(q.priority(), q.f.sizes.relative(q.route.Name, size))
}

// outputWeight is the size of an output token in prompt tokens.
const outputWeight = 10

// stageKind names the stages of a route whose pieces take the same time.
func stageKind(routeName string, index int) string {
	return routeName + "/" + strconv.Itoa(index)
}

// priority is the rank of the account if it has one, and else that of the route.
func (q *run) priority() int {
	if a, ok := q.table.AccountByKey(q.call.Key); ok && a.HasPriority {
		return a.Priority
	}
	return q.route.Priority
}

func await(ctx context.Context, ticket *scheduler.Ticket) (scheduler.Update, error) {
	select {
	case u := <-ticket.Updates:
		return u, nil
	case <-ctx.Done():
		return nil, problem.New(problem.Late, "%v", context.Cause(ctx))
	}
}

// outcome is the end of one send to an engine.
type outcome struct {
	done       bool
	inputsGone bool
	// faulty says that the engine failed in a way that speaks against it.
	faulty bool
	err    error
}

// engineOnce sends the request to one engine and passes its stream on.
func (q *run) engineOnce(ctx context.Context, s *stream, ticket *scheduler.Ticket, target inventory.Target, inputs []string) outcome {
	f := q.f
	extra := extras{inputs: inputs, urgency: q.urgency(), lastEvent: s.lastEvent}
	if q.route.Resumable {
		extra.stall = stallTime
	}
	answer, conn, err := q.send(ctx, target, extra)
	if err != nil {
		return outcome{err: err, faulty: ctx.Err() == nil}
	}
	switch {
	case answer.Head.NotExecuted:
		f.Pool.Release(conn)
		q.rejected(target.ID, answer)
		return outcome{
			inputsGone: answer.Head.Status == statusConflict,
			err:        problem.New(problem.Overloaded, "target %s didn't run the request", target.ID),
		}
	case answer.Head.Status != 200:
		return q.failedStream(ctx, s, answer, conn, target)
	}
	q.ran = true
	ticket.AnswerStarted()
	err = s.relay(ctx, answer)
	if err == nil {
		f.Pool.Release(conn)
		f.Inventory.RecordSuccess(target.ID)
		ticket.AnswerCompleted()
		q.end(event.EntryAnswered, outcomeAnswered, "Target", target.ID, "Status", answer.Head.Status, "LastEvent", s.lastEvent)
		return outcome{done: true}
	}
	f.Pool.Discard(conn)
	if errors.Is(err, errClientWrite) || ctx.Err() != nil {
		return outcome{err: err, inputsGone: true}
	}
	f.Inventory.RecordFailure(target.ID)
	q.failed(target.ID, outcomeBroken, "Reason", err.Error(), "LastEvent", s.lastEvent)
	return outcome{err: err, inputsGone: true, faulty: true}
}

const statusConflict = 409

// failedStream takes an answer that isn't a stream.
func (q *run) failedStream(ctx context.Context, s *stream, answer *exchange.Answer, conn *exchange.Conn, target inventory.Target) outcome {
	q.ran = true
	q.f.Inventory.RecordFailure(target.ID)
	body, err := io.ReadAll(io.LimitReader(answer.Body, bufferedBytes))
	if err != nil {
		q.f.Pool.Discard(conn)
		return outcome{err: err, inputsGone: true, faulty: true}
	}
	q.f.Pool.Release(conn)
	if s.started() || q.retryError(answer) {
		return outcome{err: problem.New(problem.TargetFailed, "target %s answered with status %d", target.ID, answer.Head.Status), inputsGone: true, faulty: true}
	}
	_ = q.w.Answer(answer.Head.Status, platform.AppendAnswerFields(nil, &answer.Header), body)
	q.end(event.EntryAnswered, outcomeAnswered, "Target", target.ID, "Status", answer.Head.Status)
	return outcome{done: true}
}

// urgency maps the rank of the request to the engines' order.
func (q *run) urgency() int {
	return min(max(q.priority(), 0)+urgencyBase, 9)
}

// urgencyBase is the urgency of the highest rank.
const urgencyBase = 2

// endStream ends a request that no engine finished.
func (q *run) endStream(ctx context.Context, s *stream, err error, retryAfter time.Duration) {
	if !s.started() {
		q.giveUp(ctx, err, retryAfter)
		return
	}
	q.end(event.StreamBroken, outcomeBroken, "LastEvent", s.lastEvent, "Reason", err.Error())
	q.w.Abort()
}

// stream passes the events of one answer on, over any number of engines.
type stream struct {
	run       *run
	lastEvent string
	// pending is the part of an event that isn't complete yet.
	pending []byte
}

var errClientWrite = errors.New("the client takes no more")

func (s *stream) started() bool { return s.run.w.Started() }

// relay passes the events of an answer on as they arrive; an event that breaks off isn't
// passed on.
func (s *stream) relay(ctx context.Context, answer *exchange.Answer) error {
	s.pending = s.pending[:0]
	if !s.started() {
		length := int64(answer.Length)
		if answer.Length < 0 || s.run.route.Resumable {
			length = -1
		}
		if err := s.run.w.Start(answer.Head.Status, platform.AppendAnswerFields(nil, &answer.Header), length); err != nil {
			return errClientWrite
		}
	}
	buffer := make([]byte, 4096)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if s.passOn(buffer[:n]) != nil {
				return errClientWrite
			}
		}
		if err == io.EOF {
			return s.finish()
		}
		if err != nil {
			return err
		}
	}
}

// eventEnd separates events.
var eventEnd = []byte("\n\n")

// passOn passes the whole events among the bytes on.
func (s *stream) passOn(p []byte) error {
	s.pending = append(s.pending, p...)
	end := bytes.LastIndex(s.pending, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	whole := s.pending[:end]
	if _, err := s.run.w.Write(whole); err != nil {
		return err
	}
	if id := lastID(whole); id != "" {
		s.lastEvent = id
	}
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return nil
}

// finish ends a whole stream with what isn't an event.
func (s *stream) finish() error {
	if len(s.pending) > 0 {
		if _, err := s.run.w.Write(s.pending); err != nil {
			return errClientWrite
		}
	}
	if s.run.w.End() != nil {
		return errClientWrite
	}
	return nil
}

// lastID returns the ID of the last event that has one.
func lastID(events []byte) string {
	lines := bytes.Split(events, []byte("\n"))
	for i := len(lines) - 1; i >= 0; i-- {
		if id, ok := bytes.CutPrefix(lines[i], []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
