// Package claim runs keyed requests at most once: it finds the owner of a key, claims
// keys that have none, and hands requests to the owner.
//
// # Usage
//
//	keeper := &claim.Keeper{Ledger: &ledger, Table: table, Owners: owners, Clock: clock}
//	outcome := keeper.Submit(ctx, claim.Submission{ID: id, Fingerprint: fp, Run: run})
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

const keyPrefix = "key/"

// Settings of the keeper.
const (
	// maxRowBody is the size up to which an answer is kept in the table.
	maxRowBody = 64 << 10
	// saveTimeout bounds the time spent on saving one outcome.
	saveTimeout = 30 * time.Second
	savePause   = time.Second
	// saveWait is the time for which an answer waits until its outcome is saved.
	saveWait = 250 * time.Millisecond
)

// Forwarder reaches the daemons that own keys.
type Forwarder interface {
	// Forward submits the request to the daemon that answers for the incarnation. Found
	// is false if no such daemon is known.
	Forward(ctx context.Context, incarnation string, s Submission) (outcome idempotency.Outcome, found bool, err error)
}

// Submission is one keyed request.
type Submission struct {
	ID          idempotency.ID
	Fingerprint uint64
	RequestID   string
	Pipeline    string
	Tier        string
	Input       []byte
	Deadline    time.Time
	// Run runs the request; it is called at most once.
	Run func(ctx context.Context) idempotency.Outcome
}

// row is a claim in the platform's table.
type row struct {
	Owner       string
	Nonce       string
	Fingerprint uint64
	// Outcome is set once the run has ended.
	Outcome *idempotency.Outcome
	// Draft is the ID of the asynchronous request that the key was used for.
	Draft string `json:",omitempty"`
}

// ClaimForDraft returns what a transaction needs in order to use the key for an asynchronous
// request, which no synchronous one can then use.
func ClaimForDraft(id idempotency.ID, draft string, fingerprint uint64) (platform.Condition, platform.Write, error) {
	value, err := json.Marshal(row{Draft: draft, Fingerprint: fingerprint})
	if err != nil {
		return platform.Condition{}, platform.Write{}, problem.New(problem.Internal, "encode key: %v", err)
	}
	return platform.Condition{Key: key(id)}, platform.Write{Key: key(id), Value: value}, nil
}

// Deduplicator is safe for concurrent use.
type Deduplicator struct {
	Incarnation string
	Table       platform.Table
	Forwarder   Forwarder
	Clock       clockwork.Clock
	Log         event.Log

	mu     sync.Mutex
	ledger idempotency.DedupTable
	saves  sync.WaitGroup
}

// Open starts the ledger of the incarnation.
func (k *Deduplicator) Open() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.Incarnation = k.Incarnation
	k.ledger.Started = k.Clock.Now()
}

// NewTicket issues a ticket.
func (k *Deduplicator) NewTicket() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.NewTicket(k.Clock.Now())
}

// Submit runs the request, waits for its run, or returns its kept outcome.
func (k *Deduplicator) Submit(ctx context.Context, s Submission) idempotency.Outcome {
	ticketOwner, ticket := idempotency.TicketOwner(s.ID.Key)
	if ticket && !k.answers(ticketOwner) {
		return k.forward(ctx, ticketOwner, s)
	}
	for {
		switch d := k.begin(s).(type) {
		case idempotency.Run:
			if !ticket {
				if outcome, done := k.claim(ctx, s, d.Nonce); done {
					return outcome
				}
			}
			return k.run(ctx, s, !ticket, d)
		case idempotency.Wait:
			select {
			case <-d.Done:
			case <-ctx.Done():
				return failure(problem.Late, "the request with this key is still being run")
			}
		default:
			return settled(d)
		}
	}
}

// SubmitForwarded answers a request that another daemon handed over because this one owns its key.
func (k *Deduplicator) SubmitForwarded(ctx context.Context, s Submission) idempotency.Outcome {
	if _, ticket := idempotency.TicketOwner(s.ID.Key); ticket {
		return k.Submit(ctx, s)
	}
	k.mu.Lock()
	owns := k.ledger.Owns(s.ID)
	k.mu.Unlock()
	if !owns {
		return failure(problem.OutcomeUnknown, "the outcome under this key is no longer kept")
	}
	return k.Submit(ctx, s)
}

// settled returns the outcome of a decision that runs nothing.
func settled(d idempotency.Decision) idempotency.Outcome {
	switch d := d.(type) {
	case idempotency.Replay:
		return d.Outcome
	case idempotency.Reused:
		return failure(problem.KeyReused, "the key was used for another request")
	case idempotency.Expired:
		return failure(problem.OutcomeUnknown, "the ticket has expired or was not issued here")
	default:
		return failure(problem.Stopping, "the daemon has handed its keys over")
	}
}

func failure(kind problem.Kind, detail string) idempotency.Outcome {
	return idempotency.Outcome{Failure: kind, Detail: detail}
}

func (k *Deduplicator) answers(incarnation string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.OwnsKeysOf(incarnation)
}

func (k *Deduplicator) begin(s Submission) idempotency.Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Begin(k.Clock.Now(), s.ID, s.Fingerprint)
}

func (k *Deduplicator) finish(id idempotency.ID, outcome idempotency.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.Finish(k.Clock.Now(), id, outcome)
}

func (k *Deduplicator) forget(id idempotency.ID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.Forget(id)
}

func (k *Deduplicator) run(ctx context.Context, s Submission, claimed bool, d idempotency.Run) idempotency.Outcome {
	outcome := s.Run(ctx)
	if !d.Clean {
		outcome.NotRun = request.NotRun{}
	}
	k.finish(s.ID, outcome)
	if claimed && !(outcome.Failure != "" && outcome.Rerunnable) {
		k.saveSoon(s, d.Nonce, outcome)
	}
	return outcome
}

// saveSoon saves the outcome before the caller hears of it, so that a repeat is answered
// even if this daemon dies next; while the platform is slow or down it goes on later.
func (k *Deduplicator) saveSoon(s Submission, nonce string, outcome idempotency.Outcome) {
	saved := make(chan struct{})
	k.saves.Go(func() {
		defer close(saved)
		k.save(s, nonce, outcome)
	})
	select {
	case <-saved:
	case <-k.Clock.After(saveWait):
	}
}

// claim makes this daemon the owner of the key. Done says that the outcome is final.
func (k *Deduplicator) claim(ctx context.Context, s Submission, nonce string) (outcome idempotency.Outcome, done bool) {
	value, err := json.Marshal(row{Owner: k.Incarnation, Nonce: nonce, Fingerprint: s.Fingerprint})
	if err != nil {
		k.forget(s.ID)
		return failure(problem.Internal, err.Error()), true
	}
	_, err = k.Table.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: key(s.ID)}},
		Writes:     []platform.Write{{Key: key(s.ID), Value: value}},
	})
	if err == nil {
		k.Log.Emit(event.KeyClaimed, "Request", s.RequestID, "Account", s.ID.Account)
		return outcome, false
	}
	return k.readBack(ctx, s, nonce)
}

// readBack finds the owner of a key whose claim failed or whose answer was lost.
func (k *Deduplicator) readBack(ctx context.Context, s Submission, nonce string) (idempotency.Outcome, bool) {
	found, known, err := k.read(ctx, s.ID)
	if err != nil || !known {
		outcome := failure(problem.KeyUnverified, "this submission sent nothing; whether an earlier one with this key ran can't be looked up now")
		outcome.Rerunnable = true
		outcome.SentNothing = true
		k.finish(s.ID, outcome)
		k.Log.Emit(event.KeyUnverified, "Request", s.RequestID, "Account", s.ID.Account)
		return outcome, true
	}
	if found.Nonce == nonce {
		return idempotency.Outcome{}, false
	}
	k.forget(s.ID)
	return k.elsewhere(ctx, s, found), true
}

// elsewhere answers a request whose key another incarnation owns.
func (k *Deduplicator) elsewhere(ctx context.Context, s Submission, found row) idempotency.Outcome {
	if found.Draft != "" {
		return failure(problem.KeyReused, "the key was used for the asynchronous request "+found.Draft)
	}
	if found.Fingerprint != s.Fingerprint {
		return failure(problem.KeyReused, "the key was used for another request")
	}
	if found.Outcome != nil {
		return *found.Outcome
	}
	if found.Owner == k.Incarnation {
		return failure(problem.OutcomeUnknown, "the outcome under this key is no longer kept")
	}
	return k.forward(ctx, found.Owner, s)
}

func (k *Deduplicator) forward(ctx context.Context, owner string, s Submission) idempotency.Outcome {
	k.Log.Emit(event.KeyForwarded, "Request", s.RequestID, "Account", s.ID.Account, "Owner", owner)
	outcome, found, err := k.Forwarder.Forward(ctx, owner, s)
	if !found {
		return failure(problem.OutcomeUnknown, "the daemon that owns the key is gone")
	}
	if err != nil {
		return failure(problem.OutcomeUnknown, "the daemon that owns the key can't be reached: "+problem.Detail(err))
	}
	return outcome
}

func (k *Deduplicator) read(ctx context.Context, id idempotency.ID) (row, bool, error) {
	var r row
	stored, found, err := k.Table.Get(ctx, key(id))
	if err != nil || !found {
		return r, false, err
	}
	if err := json.Unmarshal(stored.Value, &r); err != nil {
		return r, false, problem.New(problem.Internal, "key row: %v", err)
	}
	return r, true, nil
}

// save keeps the outcome in the table, so that it outlives this daemon.
func (k *Deduplicator) save(s Submission, nonce string, outcome idempotency.Outcome) {
	if len(outcome.Body) > maxRowBody {
		return
	}
	value, err := json.Marshal(row{Owner: k.Incarnation, Nonce: nonce, Fingerprint: s.Fingerprint, Outcome: &outcome})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	for ctx.Err() == nil {
		_, err := k.Table.Commit(ctx, platform.Transaction{Writes: []platform.Write{{Key: key(s.ID), Value: value}}})
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-k.Clock.After(savePause):
		}
	}
}

// Handover is what a stopping daemon gives to its successor.
type Handover struct {
	Incarnations []string
	Entries      []idempotency.Entry
}

// Seal forbids later runs and returns what the successor needs.
func (k *Deduplicator) Seal() Handover {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Handover{
		Incarnations: k.ledger.Incarnations(k.Clock.Now()),
		Entries:      k.ledger.Seal(),
	}
}

// Inherit takes over the keys of a stopped daemon.
func (k *Deduplicator) Inherit(h Handover) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.Inherit(k.Clock.Now(), h.Incarnations, h.Entries)
	k.Log.Emit(event.KeysInherited, "Incarnations", h.Incarnations, "Entries", len(h.Entries))
}

// Sweep forgets outcomes past their retention.
func (k *Deduplicator) Sweep() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.Sweep(k.Clock.Now())
}

// Close waits until the outcomes that are being saved are saved or given up.
func (k *Deduplicator) Close() {
	k.saves.Wait()
}

func key(id idempotency.ID) string {
	return keyPrefix + id.Account + "/" + id.Key
}
