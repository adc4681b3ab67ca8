package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/sequoiapick/sequoiapick/internal/caller"
	"github.com/sequoiapick/sequoiapick/internal/claim"
	"github.com/sequoiapick/sequoiapick/internal/draft"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/idempotency"
	"github.com/sequoiapick/sequoiapick/internal/peer/peerpb"
	"github.com/sequoiapick/sequoiapick/internal/platform"
	"github.com/sequoiapick/sequoiapick/internal/request"
	"github.com/sequoiapick/sequoiapick/internal/run"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// Timings of drafts.
const (
	// recoveryInterval is the time between searches for drafts whose owner is gone.
	recoveryInterval = 2 * time.Second
	// draftPause is the time between two runs of a draft that failed.
	draftPause = 500 * time.Millisecond
	// finishPause is the time between tries to store an outcome.
	finishPause = time.Second
	acceptLimit = 5 * time.Second
)

// Accept implements caller.Service.
func (d *Daemon) Accept(ctx context.Context, call caller.Call) (string, *caller.Failure) {
	id, err := d.accept(ctx, call)
	if err == nil {
		return id, nil
	}
	failure := &caller.Failure{Kind: problem.Of(err), Detail: problem.Detail(err), RequestID: id}
	if call.Key == "" && id == "" {
		var sends request.SendRecord
		failure.NotRun = sends.Seal()
	}
	return id, failure
}

// accept makes the draft durable and starts it. An error with an ID leaves it open
// whether the draft was accepted.
func (d *Daemon) accept(ctx context.Context, call caller.Call) (string, error) {
	p, t, err := run.LookupPipeline(d.registry.Document(), call.Pipeline, call.Body.Tier)
	if err != nil {
		return "", err
	}
	if !p.Idempotent() && call.Key == "" {
		return "", problem.New(problem.KeyMissing, "pipeline %q has a non-idempotent stage: header %s is needed", p.Name, caller.KeyHeader)
	}
	if d.stopping.Load() || !d.ready.Load() {
		return "", problem.New(problem.Stopping, "the daemon is not ready")
	}
	if err := d.admission.Admit(call.Account); err != nil {
		return "", err
	}
	d.admission.Release(call.Account.Name)
	now := d.Clock.Now()
	record := draft.Record{
		ID:          draftID(call),
		Account:     call.Account.Name,
		Pipeline:    call.Pipeline,
		Tier:        call.Body.Tier,
		Fingerprint: request.Fingerprint(call.Pipeline, call.Body.Tier, []byte(call.Body.Input)),
		Accepted:    now.UTC(),
		Deadline:    now.Add(t.Deadline).UTC(),
	}
	ctx, cancel := context.WithTimeout(ctx, acceptLimit)
	defer cancel()
	with, err := withKey(call, record)
	if err != nil {
		return "", err
	}
	accepted, err := d.drafts.Accept(ctx, record, []byte(call.Body.Input), with)
	if problem.Of(err) == problem.Conflict && accepted.Fingerprint == record.Fingerprint && accepted.Account == record.Account {
		return record.ID, nil
	}
	if problem.Of(err) == problem.Conflict {
		return record.ID, problem.New(problem.KeyReused, "the key was used for another request")
	}
	if err != nil {
		return record.ID, err
	}
	d.log.Emit(event.DraftAccepted, "Request", record.ID, "Account", record.Account, "Deadline", record.Deadline)
	d.work.start(func() { d.runDraft(accepted, []byte(call.Body.Input)) })
	return record.ID, nil
}

// withKey ties the draft to its caller's key, so that no other request can use it.
func withKey(call caller.Call, record draft.Record) (platform.Transaction, error) {
	if call.Key == "" {
		return platform.Transaction{}, nil
	}
	if _, ticket := idempotency.TicketOwner(call.Key); ticket {
		return platform.Transaction{}, problem.New(problem.Invalid, "a ticket can't be used for an asynchronous request")
	}
	condition, write, err := claim.ClaimForDraft(idempotency.ID{Account: record.Account, Key: call.Key}, record.ID, record.Fingerprint)
	return platform.Transaction{Conditions: []platform.Condition{condition}, Writes: []platform.Write{write}}, err
}

// draftID returns the ID of a draft; the same key of an account always gives the same.
func draftID(call caller.Call) string {
	if call.Key == "" {
		return draft.IDPrefix + uuid.NewString()
	}
	return draft.IDPrefix + uuid.NewSHA1(uuid.NameSpaceOID, fmt.Appendf(nil, "%s/%s", call.Account.Name, call.Key)).String()
}

// runDraft runs a draft until it has its answer or its deadline has passed, and stores
// the outcome.
func (d *Daemon) runDraft(record draft.Record, input []byte) {
	checkpoints := &draft.Checkpoints{Store: d.drafts, Record: &record}
	var outcome idempotency.Outcome
	for {
		outcome = d.tryDraft(record, input, checkpoints)
		if outcome.Failure == "" || !d.worthRepeating(outcome, record) {
			break
		}
		d.Clock.Sleep(draftPause)
	}
	if outcome.Failure == problem.Conflict {
		return
	}
	d.storeOutcome(record, outcome)
}

// worthRepeating reports whether a failed draft may still have an answer in time.
func (d *Daemon) worthRepeating(outcome idempotency.Outcome, record draft.Record) bool {
	if outcome.Failure == problem.Conflict || outcome.Failure == problem.OutcomeUnknown {
		return false
	}
	if d.stopping.Load() {
		return false
	}
	return outcome.Failure.Answer().Retriable && d.Clock.Now().Before(record.Deadline)
}

func (d *Daemon) tryDraft(record draft.Record, input []byte, checkpoints *draft.Checkpoints) idempotency.Outcome {
	job := run.Job{
		Request: request.Request{
			ID:       record.ID,
			Account:  record.Account,
			Pipeline: record.Pipeline,
			Tier:     record.Tier,
			Input:    input,
			Deadline: record.Deadline,
		},
		Document:    d.registry.Document(),
		SendRecord:  &request.SendRecord{},
		Checkpoints: checkpoints,
	}
	d.history.Begin(record.ID, record.Account)
	answer, err := d.runner.Run(context.Background(), job)
	return d.ended(job, answer, err)
}

// storeOutcome stores the outcome, however long the platform is out of reach. A planned
// stop leaves an unfinished draft to a daemon that takes it over.
func (d *Daemon) storeOutcome(record draft.Record, outcome idempotency.Outcome) {
	for {
		if outcome.Failure != "" && d.stopping.Load() && d.Clock.Now().Before(record.Deadline) && outcome.Failure != problem.OutcomeUnknown {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), acceptLimit)
		err := d.drafts.Finish(ctx, record, outcome)
		cancel()
		if err == nil {
			d.log.Emit(event.DraftFinished, "Request", record.ID, "Failure", outcome.Failure, "Takeovers", record.Takeovers)
			return
		}
		if problem.Of(err) == problem.Conflict {
			return
		}
		d.Clock.Sleep(finishPause)
	}
}

// recoverDrafts takes over drafts whose owner is gone. The daemons that poll for a data
// centre look after the drafts of every data centre, since one may be lost whole.
func (d *Daemon) recoverDrafts(ctx context.Context) error {
	if !d.poller() || !d.ready.Load() {
		return nil
	}
	after := ""
	for {
		records, err := d.drafts.ListOpen(ctx, after)
		if err != nil || len(records) == 0 {
			return err
		}
		for _, record := range records {
			after = record.ID
			if d.abandoned(ctx, record) {
				d.takeOver(ctx, record)
			}
		}
	}
}

// abandoned reports whether the owner of a draft no longer runs it: it isn't a member
// any more, or it doesn't answer and the draft's time is running out.
func (d *Daemon) abandoned(ctx context.Context, record draft.Record) bool {
	if record.Owner == d.incarnation {
		return false
	}
	view := d.View(record.OwnerDataCentre)
	m, member := view.Member(record.Owner)
	if !member {
		return view.Epoch > 0 && d.Clock.Since(record.Accepted) > recoveryInterval
	}
	late := record.Accepted.Add(record.Deadline.Sub(record.Accepted) / 4)
	if d.Clock.Now().Before(late) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, backgroundLimit)
	defer cancel()
	_, err := d.peers.Call(ctx, m.PeerAddress, &peerpb.Call{Kind: &peerpb.Call_Probe{Probe: &peerpb.Probe{}}})
	return err != nil
}

func (d *Daemon) takeOver(ctx context.Context, record draft.Record) {
	input, err := d.drafts.Input(ctx, record.ID)
	if err != nil {
		return
	}
	former := record.Owner
	taken, err := d.drafts.TakeOver(ctx, record)
	if err != nil {
		return
	}
	d.log.Emit(event.DraftTakenOver, "Request", record.ID, "Former", former, "Takeovers", taken.Takeovers)
	d.work.start(func() { d.runDraft(taken, input) })
}
