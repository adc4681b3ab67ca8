// Package forward answers the requests of clients: it finds the route and the account,
// has the stages run, sends the request to a target and passes the answer on.
//
// A request that isn't idempotent is sent at most once: after its first byte may have
// left it is never sent again, and a refusal that says "not run" is made only from the
// record of its sends.
//
// # Usage
//
//	f := &forward.Forwarder{Tables: tables, Inventory: inv, Scheduler: s, Pool: pool, Clock: clock}
//	server := &ingress.Server{Handler: f}
package forward

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/exchange"
	"github.com/sequoiapick/sequoiapick/internal/ingress"
	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/internal/metric"
	"github.com/sequoiapick/sequoiapick/internal/scheduler"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/pkg/route"
	"github.com/sequoiapick/sequoiapick/platform"
)

// Forwarder answers requests.
type Forwarder struct {
	// Table returns the configuration in force, nil if there is none yet.
	Table     func() *route.Table
	Inventory *inventory.Inventory
	Scheduler *scheduler.Scheduler
	Pool      *exchange.Pool
	Clock     clockwork.Clock
	Log       event.Log
	// Metrics may be nil.
	Metrics    *metric.EntryInstruments
	DataCentre string
	// RetryBudget bounds the sends beyond the first.
	RetryBudget *RetryBudget

	load  loads
	sizes sizes
}

// run is one request that is being answered.
type run struct {
	f       *Forwarder
	request *ingress.Request
	w       *ingress.Responder
	call    platform.ClientRequest
	table   *route.Table
	route   *route.Route
	account string
	service string
	// deadline is when the client stops waiting or the route's timeout passes.
	deadline time.Time
	// sends counts the targets that the request may have reached, notRun those of them that
	// rejected it; ran says that one may have run it.
	sends  int
	notRun int
	ran    bool
	tried  map[string]bool
	// assigned is when the stages were done and an engine was chosen; began when the target
	// began to answer.
	assigned time.Time
	began    time.Time
}

// Outcomes of requests in the metrics, besides the kinds of errors.
const (
	outcomeAnswered  = "Answered"
	outcomeAbandoned = "Abandoned"
	outcomeBroken    = "Broken"
)

// end writes the one line about how the request ended, with what decided it.
func (q *run) end(e event.Event, outcome string, keysAndValues ...any) {
	f := q.f
	now := f.Clock.Now()
	fields := []any{"Request", q.call.AttemptID, "Outcome", outcome, "Millis", now.Sub(q.request.Arrived).Milliseconds(), "Sends", q.sends}
	name := ""
	if q.route != nil {
		name = q.route.Name
		fields = append(fields, "Route", name, "Account", q.account, "Version", q.table.Version, "Service", q.service,
			"AimMillis", q.route.LatencyObjective.Milliseconds(), "LeftMillis", q.deadline.Sub(now).Milliseconds(),
			"AssignedMillis", q.since(q.assigned).Milliseconds(), "BeganMillis", q.since(q.began).Milliseconds())
	}
	f.Log.Emit(e, append(fields, keysAndValues...)...)
	f.Metrics.RecordRequest(name, outcome, q.since(q.assigned), q.since(q.began))
}

// since is the time from the arrival of the request; 0 if it didn't happen.
func (q *run) since(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(q.request.Arrived)
}

// RejectMalformed implements ingress.Handler.
func (f *Forwarder) RejectMalformed(w *ingress.Responder, status int, reason string) {
	f.Log.Emit(event.EntryRefused, "Status", status, "Reason", reason)
	_ = w.Answer(status, platform.AppendRejectionFields(nil, "", 0), []byte(reason+"\n"))
}

// Handle implements ingress.Handler.
func (f *Forwarder) Handle(ctx context.Context, r *ingress.Request, w *ingress.Responder) {
	q := &run{f: f, request: r, w: w, tried: map[string]bool{}}
	if err := q.admit(); err != nil {
		q.refuse(err, 0)
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, q.deadline, errTimeout)
	defer cancel()
	if q.route.Kind == route.Streaming || len(q.route.Stages) > 0 {
		q.generate(ctx)
		return
	}
	q.plain(ctx)
}

var errTimeout = problem.New(problem.Late, "the time of the request is over")

// admit finds the route, the account and the deadline.
func (q *run) admit() error {
	call, err := platform.DecodeClientRequest(q.request.Header)
	if err != nil {
		return err
	}
	q.call = call
	q.table = q.f.Table()
	if q.table == nil {
		return problem.New(problem.Stopping, "no configuration yet")
	}
	path, _, _ := strings.Cut(string(q.request.Header.RequestURI()), "?")
	r, ok := q.table.Match(string(q.request.Header.Peek("Host")), path)
	if !ok {
		return problem.New(problem.NotFound, "no route for %s", path)
	}
	q.route = r
	if q.table.NeedsKey(r) {
		a, ok := q.table.AccountByKey(call.Key)
		if !ok {
			return problem.New(problem.Unauthenticated, "no account has this key")
		}
		q.account = a.Name
	}
	if call.AttemptID == "" {
		return problem.New(problem.Invalid, "the request has no attempt ID")
	}
	wait := r.Timeout
	if call.Timeout > 0 && (call.Timeout < wait || wait == 0) {
		wait = call.Timeout
	}
	if wait == 0 {
		wait = defaultWait
	}
	q.deadline = q.request.Arrived.Add(wait)
	q.service = pick(r.Backends)
	return nil
}

// defaultWait bounds requests for which neither client nor route names a time.
const defaultWait = 30 * time.Second

// pick draws a service by weight.
func pick(backends []route.Backend) string {
	total := 0
	for _, b := range backends {
		total += b.Weight
	}
	if total == 0 {
		return ""
	}
	n := rand.IntN(total)
	for _, b := range backends {
		if n -= b.Weight; n < 0 {
			return b.Service
		}
	}
	return ""
}

// refuse answers with the status of the error's kind.
func (q *run) refuse(err error, retryAfter time.Duration) {
	kind := problem.Of(err)
	status := kind.Answer().HTTPStatus
	q.end(event.EntryRefused, string(kind), "Status", status, "Reason", problem.Detail(err), "RetryAfterMillis", retryAfter.Milliseconds())
	_ = q.w.Answer(status, platform.AppendRejectionFields(nil, q.call.AttemptID, retryAfter), []byte(problem.Detail(err)+"\n"))
}

// giveUp ends a request that no target answered. A status that says "not run" is used
// only if no send can have run it.
func (q *run) giveUp(ctx context.Context, err error, retryAfter time.Duration) {
	if context.Cause(ctx) == ingress.ErrClientDisconnected {
		q.end(event.EntryAbandoned, outcomeAbandoned)
		q.w.Abort()
		return
	}
	if q.ran {
		kind := problem.TargetFailed
		if ctx.Err() != nil {
			kind = problem.Late
		}
		q.refuse(problem.New(kind, "%s", problem.Detail(err)), 0)
		return
	}
	if kind := problem.Of(err); kind.Answer().HTTPStatus != fasthttp.StatusServiceUnavailable {
		err = problem.New(problem.Overloaded, "%s", problem.Detail(err))
	}
	q.refuse(err, retryAfter)
}

// left is the time until the deadline.
func (q *run) left() time.Duration {
	return q.deadline.Sub(q.f.Clock.Now())
}

// forwardTo builds the request for a target.
func (q *run) forwardTo(target string, extra extras) exchange.Request {
	length := -1
	if q.request.HasBody {
		length = len(q.request.Body)
	}
	head := platform.AppendForwardedHead(make([]byte, 0, 1024), q.request.Header, platform.ForwardedRequest{
		Target:      target,
		Account:     q.account,
		Remaining:   q.left(),
		Inputs:      extra.inputs,
		Urgency:     extra.urgency,
		LastEventID: extra.lastEvent,
		BodyLength:  length,
	})
	return exchange.Request{
		Head:             head,
		Body:             q.request.Body,
		AttemptID:        q.call.AttemptID,
		FirstByteTimeout: extra.firstByte,
		StallTimeout:     extra.stall,
		NoBody:           q.request.Header.IsHead(),
	}
}

// reuse says which connections may carry the request.
func (q *run) reuse() exchange.Reuse {
	if q.route.Idempotent() {
		return exchange.Pooled
	}
	return exchange.Fresh
}

// maxSends bounds the sends of a request, those included that targets rejected: beyond a
// few, the next target is as full as those before.
const maxSends = 4

// rejected notes that a target didn't run the request and never will.
func (q *run) rejected(target string, answer *exchange.Answer) {
	q.notRun++
	if answer.Head.Misdirected {
		q.f.Inventory.MarkReplaced(target)
	}
	q.failed(target, "NotRun", "Status", answer.Head.Status)
}

// maySend reports whether the request may be sent to one more target.
func (q *run) maySend() bool {
	if q.sends-q.notRun >= q.route.MaxAttempts || q.sends >= maxSends || q.ran && !q.route.Idempotent() {
		return false
	}
	if q.sends == 0 {
		q.f.RetryBudget.CountFirst(q.service)
		return true
	}
	return q.f.RetryBudget.TryRepeat(q.service)
}
