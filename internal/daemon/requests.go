package daemon

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/caller"
	"github.com/sequoiapick/sequoiapick/internal/catalog"
	"github.com/sequoiapick/sequoiapick/internal/claim"
	"github.com/sequoiapick/sequoiapick/internal/draft"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/idempotency"
	"github.com/sequoiapick/sequoiapick/internal/request"
	"github.com/sequoiapick/sequoiapick/internal/router"
	"github.com/sequoiapick/sequoiapick/internal/run"
	"github.com/sequoiapick/sequoiapick/pkg/account"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

var _ caller.Service = (*Daemon)(nil)

// Authenticate implements caller.Service.
func (d *Daemon) Authenticate(token, header string) (account.Account, error) {
	if !d.registry.Loaded() {
		return account.Account{}, problem.New(problem.Stopping, "the daemon has no configuration yet")
	}
	document := d.registry.Document()
	if token != "" {
		if a, ok := document.AccountByToken(token); ok {
			return a, nil
		}
		return account.Account{}, problem.New(problem.Unauthenticated, "no account has this token")
	}
	if d.Settings.Security.TrustAccountHeader {
		if a, ok := document.Accounts[header]; ok {
			return a, nil
		}
	}
	return account.Account{}, problem.New(problem.Unauthenticated, "a bearer token is needed")
}

// NewRequestID implements caller.Service.
func (d *Daemon) NewRequestID() string {
	return request.NewID(d.incarnation)
}

// Ready implements caller.Service. A daemon isn't ready while its data centre is out.
func (d *Daemon) Ready() bool {
	return d.ready.Load() && d.registry.Loaded() && !d.registry.DataCentreOut(d.Settings.DataCentre)
}

// Ticket implements caller.Service. A ticket is an idempotency key that this daemon owns.
func (d *Daemon) Ticket() (string, error) {
	if !d.ready.Load() {
		return "", problem.New(problem.Stopping, "the daemon is not ready")
	}
	return d.deduplicator.NewTicket(), nil
}

// Run implements caller.Service. It runs a synchronous request.
func (d *Daemon) Run(ctx context.Context, call caller.Call, sink func([]byte) error) ([]byte, *caller.Failure) {
	d.pendingWork.add()
	defer d.pendingWork.done()
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	started := d.Clock.Now()
	outcome := d.serveRequest(ctx, call, sink)
	d.metrics.RecordRequest(call.Body.Tier, string(outcome.Failure), d.Clock.Since(started))
	if outcome.Failure == "" {
		return outcome.Body, nil
	}
	return nil, &caller.Failure{Kind: outcome.Failure, Detail: outcome.Detail, NotRun: outcome.NotRun, RequestID: call.ID}
}

// serveRequest checks the call against the configuration in force and runs it, deduplicated
// by its key if it has one.
func (d *Daemon) serveRequest(ctx context.Context, call caller.Call, sink func([]byte) error) idempotency.Outcome {
	document := d.registry.Document()
	p, t, err := run.LookupPipeline(document, call.Pipeline, call.Body.Tier)
	if err == nil && !p.Idempotent() && call.Key == "" {
		err = problem.New(problem.KeyMissing, "pipeline %q has a non-idempotent stage: header %s is needed", p.Name, caller.KeyHeader)
	}
	if err != nil {
		return d.reject(call, err)
	}
	job := run.Job{
		Request: request.Request{
			ID:       call.ID,
			Account:  call.Account.Name,
			Key:      call.Key,
			Pipeline: call.Pipeline,
			Tier:     call.Body.Tier,
			Input:    []byte(call.Body.Input),
			Deadline: d.Clock.Now().Add(t.Deadline),
		},
		Document:   document,
		SendRecord: &request.SendRecord{},
		Sink:       sink,
	}
	if call.Key == "" {
		return d.admit(ctx, call.Account, job)
	}
	return d.submitKeyed(ctx, call, job, t.Deadline)
}

// submitKeyed runs a keyed request at most once and returns its outcome. The run continues
// if the caller disconnects.
func (d *Daemon) submitKeyed(ctx context.Context, call caller.Call, job run.Job, deadline time.Duration) idempotency.Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deadline)
	defer cancel()
	r := job.Request
	return d.deduplicator.Submit(ctx, claim.Submission{
		ID:          idempotency.ID{Account: r.Account, Key: r.Key},
		Fingerprint: request.Fingerprint(r.Pipeline, r.Tier, r.Input),
		RequestID:   r.ID,
		Pipeline:    r.Pipeline,
		Tier:        r.Tier,
		Input:       r.Input,
		Deadline:    r.Deadline,
		Run: func(ctx context.Context) idempotency.Outcome {
			return d.admit(ctx, call.Account, job)
		},
	})
}

// reject returns the outcome of a call that can't be run. For a call with a key the outcome
// doesn't prove that nothing ran, since an earlier call may have used the key.
func (d *Daemon) reject(call caller.Call, err error) idempotency.Outcome {
	outcome := idempotency.Outcome{Failure: problem.Of(err), Detail: problem.Detail(err), Rerunnable: true, SentNothing: true}
	if call.Key == "" {
		var sends request.SendRecord
		outcome.NotRun = sends.Seal()
	}
	d.log.Emit(event.RequestRefused, "Request", call.ID, "Account", call.Account.Name, "Kind", outcome.Failure, "Reason", outcome.Detail, "NotRun", outcome.NotRun.Proven())
	return outcome
}

// admit runs a job if the limits of its account permit it and its deadline can be met. The
// answer in the outcome contains no text if the job has a sink, which receives the text.
func (d *Daemon) admit(ctx context.Context, acct account.Account, job run.Job) idempotency.Outcome {
	err := d.checkAdmission(acct, job)
	if err != nil {
		return d.finishRun(job, request.Answer{}, err)
	}
	defer d.admission.Release(acct.Name)
	d.history.Begin(job.Request.ID, acct.Name)
	d.log.Emit(event.RequestAdmitted, "Request", job.Request.ID, "Account", acct.Name, "Pipeline", job.Request.Pipeline, "Tier", job.Request.Tier, "Version", job.Document.Version)
	answer, err := d.runner.Run(ctx, job)
	if job.Sink != nil {
		answer.Text = ""
	}
	return d.finishRun(job, answer, err)
}

// checkAdmission returns an error if the job can't be run now. Otherwise the job counts
// against the limits of its account until admission.Release.
func (d *Daemon) checkAdmission(acct account.Account, job run.Job) error {
	if d.stopping.Load() {
		return problem.New(problem.Stopping, "the daemon is stopping")
	}
	if !d.registry.Loaded() {
		return problem.New(problem.Stopping, "the daemon has no configuration yet")
	}
	if d.outBeyondGrace(d.Settings.DataCentre) {
		return problem.New(problem.DataCentreOut, "data centre %q takes no new work", d.Settings.DataCentre)
	}
	if err := d.checkDeadline(job); err != nil {
		return err
	}
	return d.admission.Admit(acct)
}

// checkDeadline returns an error if the stages of the job can't end before its deadline,
// given the typical durations on the fastest targets and the stages in the queues that are
// more urgent. It checks only under the price policy, and only if durations are known.
func (d *Daemon) checkDeadline(job run.Job) error {
	if d.runner.Policy != router.Price {
		return nil
	}
	p := job.Document.Pipelines[job.Request.Pipeline]
	var durations []time.Duration
	total := time.Duration(0)
	for _, s := range p.Stages {
		best, ok := d.runner.TypicalDuration(job.Document, s.Kind)
		if !ok {
			return nil
		}
		durations = append(durations, best)
		total += best
	}
	startBy := job.Request.Deadline.Add(-total)
	for _, s := range p.Stages {
		durations = append(durations, d.runner.QueueDelay(job.Document, s.Kind, startBy))
	}
	return d.admission.CheckDeadline(job.Request.Deadline, durations)
}

// finishRun seals the send record of the job, writes the end of the run to the log and the
// history, and returns its outcome.
func (d *Daemon) finishRun(job run.Job, answer request.Answer, err error) idempotency.Outcome {
	notRun := job.SendRecord.Seal()
	r := job.Request
	if err == nil {
		body, encodeErr := json.Marshal(answer)
		if encodeErr == nil {
			d.log.Emit(event.RequestAnswered, "Request", r.ID, "Bytes", answer.Bytes, "PriceMicros", answer.PriceMicros)
			d.history.End(r.ID, r.Account, body, "")
			return idempotency.Outcome{Body: body}
		}
		err = problem.New(problem.Internal, "encode answer: %v", encodeErr)
	}
	kind := problem.Of(err)
	d.log.Emit(event.RequestFailed, "Request", r.ID, "Kind", kind, "Reason", err.Error(), "NotRun", notRun.Proven())
	d.history.End(r.ID, r.Account, nil, string(kind))
	return idempotency.Outcome{
		Failure:     kind,
		Detail:      problem.Detail(err),
		NotRun:      notRun,
		SentNothing: notRun.Proven(),
		Rerunnable:  !job.SendRecord.MayHaveRun(),
	}
}

// requestState is the JSON body that callers receive when they look up a request.
type requestState struct {
	RequestID string
	// State is one of Running, Answered and Failed.
	State   string
	Failure problem.Kind    `json:",omitempty"`
	Detail  string          `json:",omitempty"`
	Answer  json.RawMessage `json:",omitempty"`
}

// Lookup implements caller.Service. It returns a requestState as JSON, or a NotFound error if
// the request belongs to another account.
func (d *Daemon) Lookup(ctx context.Context, owner, id string) ([]byte, error) {
	if strings.HasPrefix(id, draft.IDPrefix) {
		return d.lookupDraft(ctx, owner, id)
	}
	entry, err := d.findHistory(ctx, id)
	if err != nil {
		return nil, err
	}
	if entry.Account != owner {
		return nil, problem.New(problem.NotFound, "request %q", id)
	}
	state := requestState{RequestID: id, State: "Running", Answer: entry.Answer, Failure: problem.Kind(entry.Failure)}
	switch {
	case entry.Failure != "":
		state.State = "Failed"
	case entry.Answer != nil:
		state.State = "Answered"
	}
	return json.Marshal(state)
}

// lookupDraft returns the state of a draft as JSON.
func (d *Daemon) lookupDraft(ctx context.Context, owner, id string) ([]byte, error) {
	r, done, found, err := d.drafts.Read(ctx, id)
	if err != nil {
		return nil, err
	}
	if !found || r.Account != owner {
		return nil, problem.New(problem.NotFound, "request %q", id)
	}
	state := requestState{RequestID: id, State: "Running", Failure: r.Failure, Detail: r.Detail}
	switch {
	case r.Failure != "":
		state.State = "Failed"
	case done:
		state.State = "Answered"
		if state.Answer, err = d.drafts.Answer(ctx, r); err != nil {
			return nil, err
		}
	}
	return json.Marshal(state)
}

// Document implements operator.System.
func (d *Daemon) Document() catalog.Document {
	return d.registry.Document()
}
