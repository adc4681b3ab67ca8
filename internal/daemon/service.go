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

// Ready implements caller.Service.
func (d *Daemon) Ready() bool {
	return d.ready.Load() && d.registry.Loaded() && !d.registry.DataCentreOut(d.Settings.DataCentre)
}

// Ticket implements caller.Service.
func (d *Daemon) Ticket() (string, error) {
	if !d.ready.Load() {
		return "", problem.New(problem.Stopping, "the daemon is not ready")
	}
	return d.claims.NewTicket(), nil
}

// Run implements caller.Service.
func (d *Daemon) Run(ctx context.Context, call caller.Call, sink func([]byte) error) ([]byte, *caller.Failure) {
	d.work.add()
	defer d.work.done()
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	started := d.Clock.Now()
	outcome := d.serve(ctx, call, sink)
	d.metrics.RecordRequest(call.Body.Tier, string(outcome.Failure), d.Clock.Since(started))
	if outcome.Failure == "" {
		return outcome.Body, nil
	}
	return nil, &caller.Failure{Kind: outcome.Failure, Detail: outcome.Detail, NotRun: outcome.NotRun, RequestID: call.ID}
}

// serve checks the call against the configuration in force and runs it, under its key
// if it has one.
func (d *Daemon) serve(ctx context.Context, call caller.Call, sink func([]byte) error) idempotency.Outcome {
	document := d.registry.Document()
	p, t, err := run.LookupPipeline(document, call.Pipeline, call.Body.Tier)
	if err == nil && !p.Idempotent() && call.Key == "" {
		err = problem.New(problem.KeyMissing, "pipeline %q has a non-idempotent stage: header %s is needed", p.Name, caller.KeyHeader)
	}
	if err != nil {
		return d.refuse(call, err)
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
	return d.submit(ctx, call, job, t.Deadline)
}

// submit runs a keyed request, which goes on when its caller has gone.
func (d *Daemon) submit(ctx context.Context, call caller.Call, job run.Job, deadline time.Duration) idempotency.Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deadline)
	defer cancel()
	r := job.Request
	return d.claims.Submit(ctx, claim.Submission{
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

// refuse answers a call that can't be run. With a key, nothing is said about its
// earlier use.
func (d *Daemon) refuse(call caller.Call, err error) idempotency.Outcome {
	outcome := idempotency.Outcome{Failure: problem.Of(err), Detail: problem.Detail(err), Rerunnable: true, SentNothing: true}
	if call.Key == "" {
		var sends request.SendRecord
		outcome.NotRun = sends.Seal()
	}
	d.log.Emit(event.RequestRefused, "Request", call.ID, "Account", call.Account.Name, "Kind", outcome.Failure, "Reason", outcome.Detail, "NotRun", outcome.NotRun.Proven())
	return outcome
}

// admit runs a job within the limits of its account, if its deadline can be met.
func (d *Daemon) admit(ctx context.Context, owner account.Account, job run.Job) idempotency.Outcome {
	err := d.admissible(owner, job)
	if err != nil {
		return d.ended(job, request.Answer{}, err)
	}
	defer d.admission.Release(owner.Name)
	d.history.Begin(job.Request.ID, owner.Name)
	d.log.Emit(event.RequestAdmitted, "Request", job.Request.ID, "Account", owner.Name, "Pipeline", job.Request.Pipeline, "Tier", job.Request.Tier, "Version", job.Document.Version)
	answer, err := d.runner.Run(ctx, job)
	if job.Sink != nil {
		answer.Text = ""
	}
	return d.ended(job, answer, err)
}

func (d *Daemon) admissible(owner account.Account, job run.Job) error {
	if d.stopping.Load() {
		return problem.New(problem.Stopping, "the daemon is stopping")
	}
	if !d.registry.Loaded() {
		return problem.New(problem.Stopping, "the daemon has no configuration yet")
	}
	if d.outForLong(d.Settings.DataCentre) {
		return problem.New(problem.DataCentreOut, "data centre %q takes no new work", d.Settings.DataCentre)
	}
	if err := d.feasible(job); err != nil {
		return err
	}
	return d.admission.Admit(owner)
}

// feasible refuses a request whose stages, on the fastest targets and behind the more
// urgent stages that wait, can't end in time.
func (d *Daemon) feasible(job run.Job) error {
	if d.runner.Policy != router.Price {
		return nil
	}
	p := job.Document.Pipelines[job.Request.Pipeline]
	var typical []time.Duration
	total := time.Duration(0)
	for _, s := range p.Stages {
		best, ok := d.runner.TypicalDuration(job.Document, s.Kind)
		if !ok {
			return nil
		}
		typical = append(typical, best)
		total += best
	}
	startBy := job.Request.Deadline.Add(-total)
	for _, s := range p.Stages {
		typical = append(typical, d.runner.QueueDelay(job.Document, s.Kind, startBy))
	}
	return d.admission.CheckDeadline(job.Request.Deadline, typical)
}

// ended turns the end of a run into its outcome and seals the record of its sends.
func (d *Daemon) ended(job run.Job, answer request.Answer, err error) idempotency.Outcome {
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

// requestState is the answer to a question about one request.
type requestState struct {
	RequestID string
	// State is one of Running, Answered and Failed.
	State   string
	Failure problem.Kind    `json:",omitempty"`
	Detail  string          `json:",omitempty"`
	Answer  json.RawMessage `json:",omitempty"`
}

// Lookup implements caller.Service.
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
