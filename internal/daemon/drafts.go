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

// Timings of drafts. A draft is an asynchronous request that is stored in the platform
// before it runs, so that another daemon can take it over.
const (
	// recoveryInterval is the time between two scans for drafts whose owner no longer runs.
	recoveryInterval = 2 * time.Second
	// draftRetryDelay is the time between a failed run of a draft and the next run.
	draftRetryDelay = 500 * time.Millisecond
	// finishRetryDelay is the time between two attempts to store an outcome.
	finishRetryDelay = time.Second
	// draftStoreTimeout is the maximum time for storing a new draft or an outcome.
	draftStoreTimeout = 5 * time.Second
)

// Accept implements caller.Service. A failure proves that nothing was run only if the call has
// no key and no draft can have been stored.
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

// accept stores the draft in the platform and starts it. For a call that repeats an accepted
// one it returns the ID of the accepted draft. If it returns an error together with an ID,
// the draft may have been accepted. The limits of the account and of the daemon are checked
// only here: a draft doesn't count as in flight while it runs.
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
	ctx, cancel := context.WithTimeout(ctx, draftStoreTimeout)
	defer cancel()
	keyClaim, err := keyTransaction(call, record)
	if err != nil {
		return "", err
	}
	accepted, err := d.drafts.Accept(ctx, record, []byte(call.Body.Input), keyClaim)
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
	d.pendingWork.start(func() { d.runDraft(accepted, []byte(call.Body.Input)) })
	return record.ID, nil
}

// keyTransaction returns the conditions and writes that claim the caller's key for the
// draft, so that no other request can use it.
func keyTransaction(call caller.Call, record draft.Record) (platform.Transaction, error) {
	if call.Key == "" {
		return platform.Transaction{}, nil
	}
	if _, ticket := idempotency.TicketOwner(call.Key); ticket {
		return platform.Transaction{}, problem.New(problem.Invalid, "a ticket can't be used for an asynchronous request")
	}
	condition, write, err := claim.ClaimForDraft(idempotency.ID{Account: record.Account, Key: call.Key}, record.ID, record.Fingerprint)
	return platform.Transaction{Conditions: []platform.Condition{condition}, Writes: []platform.Write{write}}, err
}

// draftID returns the ID of a draft. With a key the ID depends only on the account and the
// key, so that a repeated call leads to the same draft.
func draftID(call caller.Call) string {
	if call.Key == "" {
		return draft.IDPrefix + uuid.NewString()
	}
	return draft.IDPrefix + uuid.NewSHA1(uuid.NameSpaceOID, fmt.Appendf(nil, "%s/%s", call.Account.Name, call.Key)).String()
}

// runDraft runs a draft, repeatedly if it fails, until it has an answer or can't succeed
// before its deadline, and stores the outcome. It stores none after a Conflict, which means
// that the draft's row was changed elsewhere, such as by a daemon that took the draft over.
func (d *Daemon) runDraft(record draft.Record, input []byte) {
	checkpoints := &draft.Checkpoints{Store: d.drafts, Record: &record}
	var outcome idempotency.Outcome
	for {
		outcome = d.runDraftOnce(record, input, checkpoints)
		if outcome.Failure == "" || !d.shouldRetry(outcome, record) {
			break
		}
		d.Clock.Sleep(draftRetryDelay)
	}
	if outcome.Failure == problem.Conflict {
		return
	}
	d.storeOutcome(record, outcome)
}

// shouldRetry reports whether this daemon should run a failed draft again, since it may still
// succeed before its deadline.
func (d *Daemon) shouldRetry(outcome idempotency.Outcome, record draft.Record) bool {
	if outcome.Failure == problem.Conflict || outcome.Failure == problem.OutcomeUnknown {
		return false
	}
	if d.stopping.Load() {
		return false
	}
	return outcome.Failure.Answer().Retriable && d.Clock.Now().Before(record.Deadline)
}

// runDraftOnce runs the draft, resuming after its last checkpoint, and returns the outcome.
func (d *Daemon) runDraftOnce(record draft.Record, input []byte, checkpoints *draft.Checkpoints) idempotency.Outcome {
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
	return d.finishRun(job, answer, err)
}

// storeOutcome stores the outcome and retries for as long as the platform is unreachable.
// During a planned stop it stores no failure before the deadline, unless the outcome is
// unknown, so that another daemon takes the draft over and runs it. It ends at a Conflict:
// another daemon has taken the draft over, or an earlier attempt has stored the outcome.
func (d *Daemon) storeOutcome(record draft.Record, outcome idempotency.Outcome) {
	for {
		if outcome.Failure != "" && d.stopping.Load() && d.Clock.Now().Before(record.Deadline) && outcome.Failure != problem.OutcomeUnknown {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), draftStoreTimeout)
		err := d.drafts.Finish(ctx, record, outcome)
		cancel()
		if err == nil {
			d.log.Emit(event.DraftFinished, "Request", record.ID, "Failure", outcome.Failure, "Takeovers", record.Takeovers)
			return
		}
		if problem.Of(err) == problem.Conflict {
			return
		}
		d.Clock.Sleep(finishRetryDelay)
	}
}

// recoverDrafts takes over drafts that their owners no longer run. After a restore of the table it waits
// until the owners have written their drafts again: the rows of older owners may be back. The polling daemons of a
// data centre check the drafts of every data centre, since all daemons of one may fail.
func (d *Daemon) recoverDrafts(ctx context.Context) error {
	if !d.isPoller() || !d.ready.Load() || d.deduplicator.AwaitsOwners() {
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
			if d.isAbandoned(ctx, record) {
				d.takeOverDraft(ctx, record)
			}
		}
	}
}

// isAbandoned reports whether the owner of a draft no longer runs it: the owner isn't a
// member any more, or it doesn't answer a probe after a quarter of the draft's time. A
// missing member proves nothing if the view isn't known (epoch 0), or if the draft is so new
// that its owner may have joined after the view that is known here.
func (d *Daemon) isAbandoned(ctx context.Context, record draft.Record) bool {
	if record.Owner == d.incarnation {
		return false
	}
	view := d.View(record.OwnerDataCentre)
	m, member := view.Member(record.Owner)
	if !member {
		return view.Epoch > 0 && d.Clock.Since(record.Accepted) > recoveryInterval
	}
	probeAfter := record.Accepted.Add(record.Deadline.Sub(record.Accepted) / 4)
	if d.Clock.Now().Before(probeAfter) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, backgroundTimeout)
	defer cancel()
	_, err := d.peers.Call(ctx, m.PeerAddress, &peerpb.Call{Kind: &peerpb.Call_Probe{Probe: &peerpb.Probe{}}})
	return err != nil
}

// takeOverDraft makes this daemon the owner of the draft and runs it. It does
// nothing if the input can't be read or another daemon was first.
func (d *Daemon) takeOverDraft(ctx context.Context, record draft.Record) {
	input, err := d.drafts.Input(ctx, record.ID)
	if err != nil {
		return
	}
	former := record.Owner
	taken, err := d.drafts.TakeOver(ctx, record, input)
	if err != nil {
		return
	}
	d.log.Emit(event.DraftTakenOver, "Request", record.ID, "Former", former, "Takeovers", taken.Takeovers)
	d.pendingWork.start(func() { d.runDraft(taken, input) })
}
