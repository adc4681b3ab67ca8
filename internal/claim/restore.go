package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/idempotency"
	"github.com/sequoiapick/sequoiapick/internal/platform"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// restores is what a daemon knows of restores of the platform's table from older copies. Such a copy
// lacks the newest claims, so that another daemon could claim their keys and run the requests again.
type restores struct {
	// era is the highest era of the table that was seen, known is set once there was one.
	era   uint64
	known bool
	// seenAt is when the last restore was seen, zero if none was.
	seenAt time.Time
	// rewritten is the era in which this daemon has written its claims again.
	rewritten uint64
}

// observe records the era of the table; the caller holds mu.
func (d *Deduplicator) observe() {
	era, known := d.Table.Era()
	switch r := &d.restores; {
	case !known:
	case !r.known:
		r.era, r.rewritten, r.known = era, era, true
	case era > r.era:
		r.era, r.seenAt = era, d.Clock.Now()
	}
}

// ObserveRestore records what another daemon knows: the era of the table, and the time since it has seen a
// restore, 0 if it has seen none.
func (d *Deduplicator) ObserveRestore(era uint64, ago time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe()
	if r := &d.restores; r.known && era > r.era {
		r.era, r.seenAt = era, d.Clock.Now()
	}
	if seenAt := d.Clock.Now().Add(-ago); ago > 0 && seenAt.After(d.restores.seenAt) {
		d.restores.seenAt = seenAt
	}
}

// Restore returns the era of the table, 0 if it isn't known, and the time since a restore was seen, 0 if
// none was.
func (d *Deduplicator) Restore() (era uint64, ago time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe()
	if !d.restores.seenAt.IsZero() {
		ago = max(d.Clock.Since(d.restores.seenAt), time.Millisecond)
	}
	return d.restores.era, ago
}

// AwaitsOwners reports whether the table was restored less than RestoreWait ago.
func (d *Deduplicator) AwaitsOwners() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe()
	return !d.restores.seenAt.IsZero() && d.Clock.Since(d.restores.seenAt) < d.RestoreWait
}

// RewriteClaims writes the claims of this daemon again if the table was restored since they were written.
// It replaces claims of daemons that haven't run the request: they wait for the owner.
func (d *Deduplicator) RewriteClaims(ctx context.Context) error {
	d.mu.Lock()
	d.observe()
	era, due := d.restores.era, d.restores.era > d.restores.rewritten
	var claimed []idempotency.Entry
	if due {
		claimed = d.keys.Claimed()
	}
	d.mu.Unlock()
	if !due {
		return nil
	}
	for len(claimed) > 0 {
		batch := claimed[:min(len(claimed), maxClaimsPerCommit)]
		claimed = claimed[len(batch):]
		if err := d.rewriteBatch(ctx, batch); err != nil {
			return err
		}
		d.Log.Emit(event.ClaimsRewritten, "Claims", len(batch), "Era", era)
	}
	d.mu.Lock()
	d.restores.rewritten = max(d.restores.rewritten, era)
	d.mu.Unlock()
	return nil
}

// maxClaimsPerCommit is the largest number of claims in one transaction, whose size is limited; claims
// hold answers of up to maxRowBodyBytes.
const maxClaimsPerCommit = 8

// rewriteBatch writes the rows of claimed keys in one transaction.
func (d *Deduplicator) rewriteBatch(ctx context.Context, batch []idempotency.Entry) error {
	var tx platform.Transaction
	for _, e := range batch {
		claim := row{Owner: d.Incarnation, Nonce: e.Nonce, Fingerprint: e.Fingerprint}
		if e.Outcome.Failure != problem.OutcomeUnknown && len(e.Outcome.Body) <= maxRowBodyBytes {
			claim.Outcome = &e.Outcome
		}
		value, err := json.Marshal(claim)
		if err != nil {
			return problem.New(problem.Internal, "encode claim row: %v", err)
		}
		tx.Writes = append(tx.Writes, platform.Write{Key: rowKey(e.ID), Value: value})
	}
	_, err := d.Table.Commit(ctx, tx)
	return err
}
