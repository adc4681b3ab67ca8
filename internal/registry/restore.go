package registry

import (
	"context"
	"fmt"

	"github.com/sequoiapick/sequoiapick/internal/catalog"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/platform"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// maxRewrittenIDs is the largest number of changes whose IDs are written again, the newest ones. They are
// written in one transaction, of which the table accepts 100 entries.
const maxRewrittenIDs = 90

// followEra handles a restore of the table from an older copy, of which the head that was read in the
// given row is the first sign. The table may lack changes that are in force here, and may hold others
// that were committed since, under versions that are in use here. It returns the head and the revision
// of its row after the table holds all of them.
//
// A head below the configuration in force may also be a stale read. If a change is about to be committed,
// the lacking ones are committed in any case, which fails with kind Conflict after a stale read.
func (r *Registry) followEra(ctx context.Context, h head, row platform.Row, committing bool) (head, uint64, error) {
	r.mu.Lock()
	restored := r.loaded && (row.Era > r.era || committing && h.Version < r.document.Version)
	own, known := r.document, append([]catalog.Change(nil), r.changes...)
	if !r.loaded {
		r.era = row.Era
	}
	r.mu.Unlock()
	if !restored {
		return h, row.Revision, nil
	}
	foreign, diverged, err := r.foreignChanges(ctx, h, own.Version, known)
	if err != nil {
		return h, 0, err
	}
	revision := row.Revision
	if diverged || h.Version < own.Version {
		r.Log.Emit(event.ConfigurationRewritten, "Version", own.Version, "Head", h.Version, "Foreign", len(foreign), "Era", row.Era)
		if h, revision, err = r.rewrite(ctx, h, row.Revision, own, known, foreign); err != nil {
			return h, 0, err
		}
	}
	r.mu.Lock()
	r.era = max(r.era, row.Era)
	r.mu.Unlock()
	return h, revision, nil
}

// foreignChanges reports whether a change of the table, up to the version, differs from the known change
// of the same version. It returns the changes from the first such one that aren't known; a known change
// that was submitted again is in force already, and would undo later ones.
func (r *Registry) foreignChanges(ctx context.Context, h head, version uint64, known []catalog.Change) (foreign []catalog.Change, diverged bool, err error) {
	if len(known) == 0 || h.Version < known[0].Version {
		return nil, false, nil
	}
	knownIDs := make(map[string]bool, len(known))
	for _, c := range known {
		knownIDs[c.ID] = true
	}
	first := known[0].Version
	rows, err := r.Table.Scan(ctx, changePrefix, changeKey(first-1), int(h.Version-first+1))
	if err != nil {
		return nil, false, err
	}
	for _, row := range rows {
		c, err := catalog.DecodeChange(row.Value)
		if err != nil {
			return nil, false, err
		}
		if c.Version >= first && c.Version <= version && c.ID != known[c.Version-first].ID {
			diverged = true
		}
		if diverged && !knownIDs[c.ID] {
			foreign = append(foreign, c)
		}
	}
	return foreign, diverged, nil
}

// rewrite commits the own configuration, with the foreign changes applied after it under new versions, as
// a snapshot with its head. It also writes the IDs of the known changes, so that a change that is
// submitted again isn't applied twice.
func (r *Registry) rewrite(ctx context.Context, h head, revision uint64, own catalog.Document, known, foreign []catalog.Change) (head, uint64, error) {
	document, renumbered := own, make([]catalog.Change, 0, len(foreign))
	for _, c := range foreign {
		c.Version = document.Version + 1
		next, err := document.Apply(c)
		if err != nil {
			return h, 0, err
		}
		document, renumbered = next, append(renumbered, c)
	}
	accepted := append(known, renumbered...)
	next := head{
		Version:         document.Version,
		Snapshot:        fmt.Sprintf("%s%016d-%d", snapshotPrefix, document.Version, revision),
		SnapshotVersion: document.Version,
	}
	if len(accepted) > 0 {
		next.ChangeID = accepted[len(accepted)-1].ID
	}
	body, err := catalog.Encode(document)
	if err != nil {
		return h, 0, problem.New(problem.Internal, "snapshot: %v", err)
	}
	if err := r.Objects.PutObject(ctx, next.Snapshot, body); err != nil {
		return h, 0, err
	}
	tx := platform.Transaction{Conditions: []platform.Condition{{Key: headKey, Revision: revision}}}
	if tx.Writes, err = appendWrite(tx.Writes, headKey, next); err != nil {
		return h, 0, err
	}
	for _, c := range accepted[max(len(accepted)-maxRewrittenIDs, 0):] {
		if tx.Writes, err = appendWrite(tx.Writes, changeIDPrefix+c.ID, c.Version); err != nil {
			return h, 0, err
		}
	}
	committed, err := r.Table.Commit(ctx, tx)
	if err != nil {
		return h, 0, err
	}
	return next, committed, r.applyFrom(nil, renumbered, "restored table")
}
