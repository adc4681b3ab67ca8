// Package forward answers the requests of clients: it matches the route and the account,
// has the scheduler run the stages of the route, sends the request to a target and relays
// the answer to the client.
//
// A request is plain if its route has no stages and isn't streaming; any usable target of the
// service can run it. All other requests are generations: first the stages of the route, if any,
// run at stage targets, then the request itself runs at an engine. An engine is a target that the
// scheduler assigns and that receives the results of the stages as inputs.
//
// A request that isn't idempotent is sent at most once: it is never sent again after its first
// byte may have been sent. The status 503, which tells the client that the request was not run,
// is sent only if the record of sends proves that no target can have run it.
//
// # Usage
//
//	f := &forward.Forwarder{Table: table, Inventory: inv, Scheduler: s, Pool: pool, Clock: clock, RetryBudget: budget}
//	server := &ingress.Server{Handler: f, Limits: limits, Now: clock.Now}
package forward

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/canary"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/exchange"
	"github.com/sequoiapick/sequoiapick/internal/ingress"
	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/internal/metric"
	"github.com/sequoiapick/sequoiapick/internal/quarantine"
	"github.com/sequoiapick/sequoiapick/internal/scheduler"
	"github.com/sequoiapick/sequoiapick/internal/targetlimit"
	"github.com/sequoiapick/sequoiapick/internal/targetload"
	"github.com/sequoiapick/sequoiapick/internal/targetmemory"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/pkg/route"
	"github.com/sequoiapick/sequoiapick/platform"
)

// Forwarder answers the requests of clients; it implements ingress.Handler.
type Forwarder struct {
	// Table returns the current configuration, nil if none was received yet.
	Table     func() *route.Table
	Inventory *inventory.Inventory
	Scheduler *scheduler.Scheduler
	Pool      *exchange.Pool
	Clock     clockwork.Clock
	Log       event.Log
	// Metrics may be nil.
	Metrics *metric.EntryInstruments
	// DataCentre is that of this daemon.
	DataCentre string
	// RetryBudget bounds the repeated sends of requests.
	RetryBudget *RetryBudget
	// Quarantine tells which parts of prompts and which requests crash targets; nil quarantines none. AttemptBroken is
	// called with each attempt that its target may have broken off, RequestAnswered with each request that a target
	// has answered; they must not block, and are needed with Quarantine only.
	Quarantine      *quarantine.Tracker
	AttemptBroken   func(BrokenAttempt)
	RequestAnswered func(quarantine.Fingerprint)
	// Loads holds what targets report; nil uses a table of its own.
	Loads *targetload.Table
	// LoadReported is called with each report that comes with an answer to a plain request. It must not
	// block, and may be nil.
	LoadReported func(targetload.Report)
	// Limits holds the rate limits that targets name, nil if none are heeded. LimitNoticed is called with what each
	// answer says of them; it must not block, and is needed with Limits only.
	Limits       *targetlimit.Table
	LimitNoticed func(targetlimit.Notice)
	// TargetMemory counts the bytes of plain requests that targets hold; nil counts none.
	TargetMemory *targetmemory.Tracker
	// Rollouts tells which versions of targets requests must go to; nil knows no rollouts.
	Rollouts *canary.Sides

	load     targetLoads
	loadOnce sync.Once
	sizes    meanSizes
	unframed unframedTargets

	stop stop
}

// loads returns the load of the targets that run plain requests.
func (f *Forwarder) loads() *targetLoads {
	f.loadOnce.Do(func() { f.load.reports, f.load.limits = f.Loads, f.Limits })
	return &f.load
}

// requestState is the state of one request while it is handled.
type requestState struct {
	f       *Forwarder
	request *ingress.Request
	w       *ingress.Responder
	headers platform.ClientRequest
	// table is the version of the configuration that applies to the request.
	table *route.Table
	route *route.Route
	// account is the name of the client's account, empty if the route needs no key.
	account string
	// service is the name of the service that runs the request, one of the route's backends.
	service string
	// deadline is the arrival of the request plus the client's timeout or the route's,
	// whichever is shorter.
	deadline time.Time
	// sends counts the sends that may have reached a target, rejections those of them that
	// the target answered without running the request.
	sends      int
	rejections int
	// resendFresh is set while the request is sent again on a new connection after a pooled one failed.
	resendFresh bool
	// witness is the connection of openWitness, nil if there is none.
	witness *exchange.Conn
	// readAt is when the request was read completely.
	readAt time.Time
	// mayHaveRun is set as soon as a target may have run the request.
	mayHaveRun bool
	// reached is set once the request was sent to its service. lastHead is the head of the last answer,
	// zero if the last attempt got none.
	reached  bool
	lastHead platform.AnswerHead
	// resendRefused is set if the last attempt lost a pooled connection and there was no grant for another
	// send.
	resendRefused bool
	// requestFingerprint is set once fingerprint has computed it.
	requestFingerprint *quarantine.Fingerprint
	// tried holds the IDs of the targets that a plain request was sent to.
	tried map[string]bool
	// full is set if the last choice has left out a target for lack of its memory.
	full bool
	// assignedAt is when the stages were done and an engine was assigned; answerStartedAt is
	// when the head of the last answer was received.
	assignedAt      time.Time
	answerStartedAt time.Time
}

// Outcomes of requests in logs and metrics, besides the kinds of errors.
const (
	outcomeAnswered  = "Answered"
	outcomeAbandoned = "Abandoned"
	outcomeBroken    = "Broken"
)

// recordEnd logs the final event of the request with its outcome and counts it in the
// metrics. Each request has one such log line.
func (q *requestState) recordEnd(e event.Event, outcome string, keysAndValues ...any) {
	f := q.f
	now := f.Clock.Now()
	fields := []any{"Request", q.headers.AttemptID, "Outcome", outcome, "Millis", now.Sub(q.request.Arrived).Milliseconds(), "Sends", q.sends}
	name := ""
	if q.route != nil {
		name = q.route.Name
		fields = append(fields, "Route", name, "Account", q.account, "Version", q.table.Version, "Service", q.service,
			"AimMillis", q.route.LatencyObjective.Milliseconds(), "LeftMillis", q.deadline.Sub(now).Milliseconds(),
			"AssignedMillis", q.elapsed(q.assignedAt).Milliseconds(), "BeganMillis", q.elapsed(q.answerStartedAt).Milliseconds())
	}
	f.Log.Emit(e, append(fields, keysAndValues...)...)
	f.Metrics.RecordRequest(name, outcome, q.elapsed(q.assignedAt), q.elapsed(q.answerStartedAt))
}

// elapsed returns the time from the arrival of the request to t, or 0 if t is zero.
func (q *requestState) elapsed(t time.Time) time.Duration {
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
	q := &requestState{f: f, request: r, w: w, readAt: f.Clock.Now(), tried: map[string]bool{}}
	if err := q.admit(); err != nil {
		q.reject(err, 0)
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, q.deadline, errTimeout)
	defer cancel()
	defer q.closeWitness()
	if q.route.Generates() {
		q.generate(ctx)
		return
	}
	q.answerPlain(ctx)
}

// AccountOf returns the account of a request, empty if it has none or isn't known. It may be called before
// Handle; it doesn't check whether the route needs an account.
func (f *Forwarder) AccountOf(h *fasthttp.RequestHeader) string {
	table := f.Table()
	if table == nil {
		return ""
	}
	a, ok := table.AccountByKey(platform.DecodeKey(h))
	if !ok {
		return ""
	}
	return a.Name
}

// errTimeout is the cause of a request's context after its deadline has passed.
var errTimeout = problem.New(problem.Late, "the deadline of the request has passed")

// admit sets the configuration, route, account, deadline and service of the request. Its
// errors have the kinds Invalid, Stopping, NotFound, Unauthenticated and Unavailable.
func (q *requestState) admit() error {
	headers, err := platform.DecodeClientRequest(q.request.Header)
	if err != nil {
		return err
	}
	q.headers = headers
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
		a, ok := q.table.AccountByKey(headers.Key)
		if !ok {
			return problem.New(problem.Unauthenticated, "no account has this key")
		}
		q.account = a.Name
	}
	if headers.AttemptID == "" {
		return problem.New(problem.Invalid, "the request has no attempt ID")
	}
	timeout := r.Timeout
	if headers.Timeout > 0 && (headers.Timeout < timeout || timeout == 0) {
		timeout = headers.Timeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	q.deadline = q.request.Arrived.Add(timeout)
	if q.service = pickService(r.Backends); q.service == "" {
		return problem.New(problem.Unavailable, "no service of route %s has a weight", r.Name)
	}
	return nil
}

// defaultTimeout applies if neither the client nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// pickService picks a random service with a probability proportional to its weight, or ""
// if there is none.
func pickService(backends []route.Backend) string {
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

// reject ends the request with the status of the error's kind. The retryAfter, if above 0, asks
// the client to wait that long before it retries.
func (q *requestState) reject(err error, retryAfter time.Duration) {
	kind := problem.Of(err)
	status := kind.Answer().HTTPStatus
	q.recordEnd(event.EntryRefused, string(kind), "Status", status, "Reason", problem.Detail(err), "RetryAfterMillis", retryAfter.Milliseconds())
	_ = q.w.Answer(status, platform.AppendRejectionFields(nil, q.headers.AttemptID, retryAfter), []byte(problem.Detail(err)+"\n"))
}

// failUnanswered ends a request that no target answered. The status 503, which means "not
// run", is used only if no target can have run the request.
func (q *requestState) failUnanswered(ctx context.Context, err error, retryAfter time.Duration) {
	if context.Cause(ctx) == ingress.ErrClientDisconnected {
		q.recordEnd(event.EntryAbandoned, outcomeAbandoned)
		q.w.Abort()
		return
	}
	if q.mayHaveRun {
		kind := problem.TargetFailed
		if q.isOver(ctx) {
			kind = problem.Late
		}
		q.reject(problem.New(kind, "%s", problem.Detail(err)), 0)
		return
	}
	if kind := problem.Of(err); kind.Answer().HTTPStatus != fasthttp.StatusServiceUnavailable {
		err = problem.New(problem.Overloaded, "%s", problem.Detail(err))
	}
	q.reject(err, retryAfter)
}

// isOver reports whether the request has been cancelled or its deadline has passed. Calls to targets may
// fail at the deadline before the context ends.
func (q *requestState) isOver(ctx context.Context) bool {
	return ctx.Err() != nil || q.remaining() <= 0
}

// remaining returns the time until the deadline.
func (q *requestState) remaining() time.Duration {
	return q.deadline.Sub(q.f.Clock.Now())
}

// buildRequest returns the request as it is sent to the target.
func (q *requestState) buildRequest(target inventory.Target, options sendOptions) exchange.Request {
	length := -1
	if q.request.HasBody {
		length = len(q.request.Body)
	}
	head := platform.AppendForwardedHead(make([]byte, 0, 1024), q.request.Header, platform.ForwardedRequest{
		Target:      target.ID,
		Account:     q.account,
		Remaining:   q.remaining(),
		Inputs:      options.inputs,
		Urgency:     options.urgency,
		LastEventID: options.lastEventID,
		BodyLength:  length,
	})
	sentAt := q.f.Clock.Now()
	return exchange.Request{
		Head:             head,
		Body:             q.request.Body,
		AttemptID:        q.headers.AttemptID,
		FirstByteTimeout: options.firstByteTimeout,
		StallTimeout:     options.stallTimeout,
		ConfirmStart:     func(ctx context.Context) error { return q.confirmStart(ctx, target, sentAt) },
		NoBody:           q.request.Header.IsHead(),
	}
}

// provenIdleTime is the longest idle time of a connection for a send that can't be repeated. Targets and
// devices on the way may close connections that were idle for some 300 ms.
const provenIdleTime = 200 * time.Millisecond

// openOptions returns which connections may carry the next send, see exchange.Fresh. If the send can't be
// repeated after a failure, a connection that was idle for long isn't used.
func (q *requestState) openOptions() exchange.OpenOptions {
	options := exchange.OpenOptions{Reuse: exchange.Fresh, Share: q.connectionShare()}
	if !q.route.Idempotent() || q.resendFresh {
		return options
	}
	options.Reuse = exchange.Pooled
	if q.sends-q.rejections+1 >= q.route.MaxAttempts || q.sends+1 >= maxSends || !q.f.RetryBudget.AllowsRepeat(q.service) {
		options.MaxIdle = provenIdleTime
	}
	return options
}

// maxSends bounds the sends of a request, including rejected ones: after several
// rejections for lack of capacity, another target is unlikely to have any.
const maxSends = 4

// recordRejection records that a target has not run the request and will not run it. If the
// target's address now belongs to another target, it marks the target as replaced.
func (q *requestState) recordRejection(target string, answer *exchange.Answer) {
	q.rejections++
	if answer.Head.Misdirected {
		q.f.Inventory.MarkReplaced(target)
	}
	q.recordFailure(target, "NotRun", "Status", answer.Head.Status)
}

// acquireSend reports whether the request may be sent to one more target, and if so counts the
// send in the retry budget.
func (q *requestState) acquireSend() bool {
	if q.sends-q.rejections >= q.route.MaxAttempts || q.sends >= maxSends || q.mayHaveRun && !q.route.Idempotent() {
		return false
	}
	if q.sends == 0 {
		q.f.RetryBudget.CountFirst(q.service)
		return true
	}
	return q.f.RetryBudget.TryRepeat(q.service)
}
