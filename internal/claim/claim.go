// Package claim runs each request with an idempotency key at most once. If the key has no owner,
// it claims the key for this daemon with a row in the platform's table and runs the request.
// If another daemon owns the key, it forwards the request to that one. Package idempotency
// defines the terms owner, claim, ticket and incarnation.
//
// # Usage
//
//	dedup := &claim.Deduplicator{Incarnation: incarnation, Table: table, Forwarder: forwarder, Clock: clock, Log: log}
//	dedup.Open()
//	outcome := dedup.Submit(ctx, claim.Submission{ID: id, Fingerprint: fp, Run: run})
package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/idempotency"
	"github.com/sequoiapick/sequoiapick/internal/platform"
	"github.com/sequoiapick/sequoiapick/internal/request"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// keyPrefix starts the table key of every claim.
const keyPrefix = "key/"

const (
	// maxRowBodyBytes is the size up to which an answer is stored in the table. The outcome
	// of a request with a longer one is held in memory only.
	maxRowBodyBytes = 64 << 10
	// saveTimeout limits the time spent on saving one outcome.
	saveTimeout = 30 * time.Second
	// saveRetryDelay is the time between a failed attempt to save an outcome and the next.
	saveRetryDelay = time.Second
	// maxSaveWait limits the time for which an answer is delayed until its outcome is saved.
	maxSaveWait = 250 * time.Millisecond
)

// Forwarder forwards requests to the daemons that own their keys.
type Forwarder interface {
	// Forward submits the request to the daemon that owns the keys of the incarnation. It
	// returns found false if no such daemon is known, and an error if the daemon couldn't be
	// reached or sent no valid reply.
	Forward(ctx context.Context, incarnation string, s Submission) (outcome idempotency.Outcome, found bool, err error)
}

// Submission is one request with an idempotency key.
type Submission struct {
	ID idempotency.ID
	// Fingerprint identifies the pipeline, tier and input; see request.Fingerprint.
	Fingerprint uint64
	RequestID   string
	Pipeline    string
	Tier        string
	Input       []byte
	Deadline    time.Time
	// Run runs the request. Submit calls it at most once.
	Run func(ctx context.Context) idempotency.Outcome
}

// row is the value of a claim in the platform's table. Its JSON form is stored.
type row struct {
	// Owner is the incarnation that runs the request; it is empty for a Draft.
	Owner string
	// Nonce identifies the claim, so that a daemon recognizes its own after a lost reply.
	Nonce       string
	Fingerprint uint64
	// Outcome is set once the run has ended.
	Outcome *idempotency.Outcome
	// Draft is the ID of the Draft, an asynchronous request, that the key was used for.
	Draft string `json:",omitempty"`
}

// ClaimForDraft returns the condition and the write that claim the key for an asynchronous
// request in a transaction. Synchronous requests are then rejected with kind KeyReused.
func ClaimForDraft(id idempotency.ID, draft string, fingerprint uint64) (platform.Condition, platform.Write, error) {
	value, err := json.Marshal(row{Draft: draft, Fingerprint: fingerprint})
	if err != nil {
		return platform.Condition{}, platform.Write{}, problem.New(problem.Internal, "encode claim row: %v", err)
	}
	return platform.Condition{Key: rowKey(id)}, platform.Write{Key: rowKey(id), Value: value}, nil
}

// Deduplicator runs each request with a key at most once. Call Open before the first request.
// It is safe for concurrent use.
type Deduplicator struct {
	// Incarnation is the incarnation of this daemon.
	Incarnation string
	Table       platform.Table
	Forwarder   Forwarder
	Clock       clockwork.Clock
	Log         event.Log
	// RestoreWait is the time after a restore of the table for which no key is claimed, within which
	// the owners of lost claims have written them again.
	RestoreWait time.Duration

	mu sync.Mutex
	// keys is guarded by mu.
	keys idempotency.DedupTable
	// saves counts the outcomes that are being saved.
	saves sync.WaitGroup
	// restores is guarded by mu.
	restores restores
}

// Open sets the incarnation and the start time of the deduplication table.
func (d *Deduplicator) Open() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys.Incarnation = d.Incarnation
	d.keys.Started = d.Clock.Now()
}

// NewTicket issues a ticket, which is a key that this daemon owns without a claim.
func (d *Deduplicator) NewTicket() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keys.NewTicket(d.Clock.Now())
}

// Submit returns the outcome of the request. If this daemon owns or can claim the key, it runs
// the request, waits for a run that has started, or returns the stored outcome. Otherwise it
// forwards the request to the owner of the key.
func (d *Deduplicator) Submit(ctx context.Context, s Submission) idempotency.Outcome {
	ticketOwner, ticket := idempotency.TicketOwner(s.ID.Key)
	if ticket && !d.ownsKeysOf(ticketOwner) {
		return d.forward(ctx, ticketOwner, s)
	}
	for {
		switch decision := d.begin(s).(type) {
		case idempotency.Run:
			if !ticket {
				if outcome, done := d.claim(ctx, s, decision.Nonce); done {
					return outcome
				}
			}
			return d.run(ctx, s, !ticket, decision)
		case idempotency.Wait:
			select {
			case <-decision.Done:
			case <-ctx.Done():
				return failed(problem.Late, "the request with this key is still running")
			}
		default:
			return outcomeOf(decision)
		}
	}
}

// SubmitForwarded handles a request that another daemon forwarded because this one owns its
// key. It doesn't claim a key: if a key that is no ticket is unknown here, the outcome has
// the kind OutcomeUnknown.
func (d *Deduplicator) SubmitForwarded(ctx context.Context, s Submission) idempotency.Outcome {
	if _, ticket := idempotency.TicketOwner(s.ID.Key); ticket {
		return d.Submit(ctx, s)
	}
	d.mu.Lock()
	owned := d.keys.Owns(s.ID)
	d.mu.Unlock()
	if !owned {
		return failed(problem.OutcomeUnknown, "the outcome under this key is no longer stored")
	}
	return d.Submit(ctx, s)
}

// outcomeOf returns the outcome of a decision that is neither Run nor Wait.
func outcomeOf(d idempotency.Decision) idempotency.Outcome {
	switch d := d.(type) {
	case idempotency.Replay:
		return d.Outcome
	case idempotency.Reused:
		return failed(problem.KeyReused, "the key was used for another request")
	case idempotency.Expired:
		return failed(problem.OutcomeUnknown, "the ticket has expired or was not issued here")
	default:
		return failed(problem.Stopping, "the daemon is stopping and has handed its keys over")
	}
}

// failed returns the outcome of a request that ended with an error.
func failed(kind problem.Kind, detail string) idempotency.Outcome {
	return idempotency.Outcome{Failure: kind, Detail: detail}
}

func (d *Deduplicator) ownsKeysOf(incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keys.OwnsKeysOf(incarnation)
}

func (d *Deduplicator) begin(s Submission) idempotency.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keys.Begin(d.Clock.Now(), s.ID, s.Fingerprint)
}

func (d *Deduplicator) finish(id idempotency.ID, outcome idempotency.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys.Finish(d.Clock.Now(), id, outcome)
}

func (d *Deduplicator) forget(id idempotency.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys.Forget(id)
}

// run runs the request and records its outcome. An outcome of a claimed key is saved in the table
// unless the request may run again.
func (d *Deduplicator) run(ctx context.Context, s Submission, claimed bool, decision idempotency.Run) idempotency.Outcome {
	outcome := s.Run(ctx)
	if !decision.Clean {
		outcome.NotRun = request.NotRun{} // an earlier run may have sent something
	}
	d.finish(s.ID, outcome)
	if claimed && !(outcome.Failure != "" && outcome.Rerunnable) {
		d.saveBeforeAnswer(s, decision.Nonce, outcome)
	}
	return outcome
}

// saveBeforeAnswer saves the outcome before the caller receives it, so that a repeated request
// is answered even if this daemon fails next. If the platform is slow or down, it returns
// after maxSaveWait and the outcome is saved in the background.
func (d *Deduplicator) saveBeforeAnswer(s Submission, nonce string, outcome idempotency.Outcome) {
	saved := make(chan struct{})
	d.saves.Go(func() {
		defer close(saved)
		d.save(s, nonce, outcome)
	})
	select {
	case <-saved:
	case <-d.Clock.After(maxSaveWait):
	}
}

// claim makes this daemon the owner of the key. It returns done true with a final outcome if
// the request isn't to be run here.
func (d *Deduplicator) claim(ctx context.Context, s Submission, nonce string) (outcome idempotency.Outcome, done bool) {
	value, err := json.Marshal(row{Owner: d.Incarnation, Nonce: nonce, Fingerprint: s.Fingerprint})
	if err != nil {
		d.forget(s.ID)
		return failed(problem.Internal, err.Error()), true
	}
	_, err = d.Table.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: rowKey(s.ID)}},
		Writes:     []platform.Write{{Key: rowKey(s.ID), Value: value}},
	})
	if err != nil {
		if outcome, done := d.resolveClaim(ctx, s, nonce); done {
			return outcome, true
		}
	}
	if d.AwaitsOwners() {
		return d.failUnverified(s), true
	}
	d.mu.Lock()
	d.keys.MarkClaimed(s.ID)
	d.mu.Unlock()
	d.Log.Emit(event.KeyClaimed, "Request", s.RequestID, "Account", s.ID.Account)
	return outcome, false
}

// failUnverified ends a request that sent nothing, since whether its key was used can't be looked up.
func (d *Deduplicator) failUnverified(s Submission) idempotency.Outcome {
	outcome := failed(problem.KeyUnverified, "this request sent nothing; whether an earlier one with this key ran can't be looked up now")
	outcome.Rerunnable = true
	outcome.SentNothing = true
	d.finish(s.ID, outcome)
	d.Log.Emit(event.KeyUnverified, "Request", s.RequestID, "Account", s.ID.Account)
	return outcome
}

// resolveClaim reads the claim back after a commit that failed or whose reply was lost. If it is
// the claim with the nonce, the commit took effect and the request is to be run here. If it is
// another one, the owner handles the request. If no claim can be read, the request fails with
// kind KeyUnverified. The results are those of claim.
func (d *Deduplicator) resolveClaim(ctx context.Context, s Submission, nonce string) (idempotency.Outcome, bool) {
	found, known, err := d.read(ctx, s.ID)
	if err != nil || !known {
		return d.failUnverified(s), true
	}
	if found.Nonce == nonce {
		return idempotency.Outcome{}, false
	}
	d.forget(s.ID)
	return d.submitToOwner(ctx, s, found), true
}

// submitToOwner returns the outcome of a request whose key is claimed already: the stored
// outcome, or the reply of the owner.
func (d *Deduplicator) submitToOwner(ctx context.Context, s Submission, found row) idempotency.Outcome {
	if found.Draft != "" {
		return failed(problem.KeyReused, "the key was used for the asynchronous request "+found.Draft)
	}
	if found.Fingerprint != s.Fingerprint {
		return failed(problem.KeyReused, "the key was used for another request")
	}
	if found.Outcome != nil {
		return *found.Outcome
	}
	if found.Owner == d.Incarnation {
		return failed(problem.OutcomeUnknown, "the outcome under this key is no longer stored")
	}
	return d.forward(ctx, found.Owner, s)
}

// forward forwards the request to the incarnation that owns its key.
func (d *Deduplicator) forward(ctx context.Context, owner string, s Submission) idempotency.Outcome {
	d.Log.Emit(event.KeyForwarded, "Request", s.RequestID, "Account", s.ID.Account, "Owner", owner)
	outcome, found, err := d.Forwarder.Forward(ctx, owner, s)
	if !found {
		return failed(problem.OutcomeUnknown, "the daemon that owns the key is no longer known")
	}
	if err != nil {
		return failed(problem.OutcomeUnknown, "the daemon that owns the key can't be reached: "+problem.Detail(err))
	}
	return outcome
}

// read returns the claim of the key and whether there is one.
func (d *Deduplicator) read(ctx context.Context, id idempotency.ID) (row, bool, error) {
	var r row
	stored, found, err := d.Table.Get(ctx, rowKey(id))
	if err != nil || !found {
		return r, false, err
	}
	if err := json.Unmarshal(stored.Value, &r); err != nil {
		return r, false, problem.New(problem.Internal, "decode claim row: %v", err)
	}
	return r, true, nil
}

// save stores the outcome in the table, so that it survives this daemon. It retries until
// saveTimeout. Outcomes with a body over maxRowBodyBytes aren't stored.
func (d *Deduplicator) save(s Submission, nonce string, outcome idempotency.Outcome) {
	if len(outcome.Body) > maxRowBodyBytes {
		return
	}
	value, err := json.Marshal(row{Owner: d.Incarnation, Nonce: nonce, Fingerprint: s.Fingerprint, Outcome: &outcome})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	for ctx.Err() == nil {
		_, err := d.Table.Commit(ctx, platform.Transaction{Writes: []platform.Write{{Key: rowKey(s.ID), Value: value}}})
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-d.Clock.After(saveRetryDelay):
		}
	}
}

// Handover holds the keys that a stopping daemon transfers to its successor. It is sent as JSON.
type Handover struct {
	// Incarnations lists the incarnations whose tickets may still be valid.
	Incarnations []string
	Entries      []idempotency.Entry
}

// Seal prevents later runs and returns the keys for the successor, which is the daemon that
// takes them over.
func (d *Deduplicator) Seal() Handover {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Handover{
		Incarnations: d.keys.Incarnations(d.Clock.Now()),
		Entries:      d.keys.Seal(),
	}
}

// Inherit adds the keys of a stopped daemon, which this daemon then owns.
func (d *Deduplicator) Inherit(h Handover) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys.Inherit(d.Clock.Now(), h.Incarnations, h.Entries)
	d.Log.Emit(event.KeysInherited, "Incarnations", h.Incarnations, "Entries", len(h.Entries))
}

// Sweep removes outcomes that are older than idempotency.Retention.
func (d *Deduplicator) Sweep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys.Sweep(d.Clock.Now())
}

// Close waits until all outcomes are saved or their saving has timed out.
func (d *Deduplicator) Close() {
	d.saves.Wait()
}

func rowKey(id idempotency.ID) string {
	return keyPrefix + id.Account + "/" + id.Key
}
