// Package registry holds the configuration that is in force on this daemon, and the
// orders that take data centres out of service.
//
// The configuration version never decreases. Changes are rows of the platform's table,
// each appended by a transaction that is conditional on the head row, which holds the
// newest version. A daemon receives changes from the table or from other daemons, and
// ignores a lower version from either. If the table was restored from an older copy, the daemons that
// know later changes commit them again. Orders are those of package datacentre, not the
// administrative commands to targets in package link.
//
// # Usage
//
//	reg := &registry.Registry{Table: client, Objects: client, Log: log}
//	err := reg.Sync(ctx)
//	version, err := reg.Submit(ctx, expected, change)
//	document := reg.Document()
package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/sequoiapick/sequoiapick/internal/catalog"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/platform"
	"github.com/sequoiapick/sequoiapick/pkg/datacentre"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// Keys of the platform's table and object store.
const (
	headKey        = "config/head"
	changePrefix   = "config/change/"
	changeIDPrefix = "config/id/"
	snapshotPrefix = "config/snapshot/"
	orderPrefix    = "order/"
)

// Sizes of the registry, in versions, changes, orders and attempts.
const (
	// VersionsPerSnapshot is the number of versions from one snapshot to the next.
	VersionsPerSnapshot = 64
	// RetainedChanges is the number of changes kept in memory for other daemons. A daemon
	// that lacks more than these receives a snapshot.
	RetainedChanges = 32 * VersionsPerSnapshot
	// maxOrders is the maximum number of orders read by one scan.
	maxOrders = 1000
	// maxSubmitAttempts is the maximum number of attempts to commit a change that names no
	// expected version.
	maxSubmitAttempts = 8
)

// head is the row that every change is conditional on.
type head struct {
	Version uint64
	// ChangeID is the ID of the change that led to Version.
	ChangeID string
	// Snapshot is the key of the newest snapshot in the object store.
	Snapshot        string
	SnapshotVersion uint64
}

// Registry holds the configuration in force and the orders. It is safe for concurrent use.
type Registry struct {
	Table platform.Table
	// Objects stores the snapshots.
	Objects platform.Objects
	Log     event.Log
	// OnChange is called after the version or the orders have changed. It must not block.
	OnChange func()

	mu       sync.Mutex
	document catalog.Document
	// changes holds the latest changes, consecutive up to the version of document.
	changes []catalog.Change
	orders  datacentre.Orders
	// unsavedOrders holds the orders given here that aren't in the table yet, by ID.
	unsavedOrders map[string]datacentre.Order
	loaded        bool
	// era is that of the table of which the configuration is known to be part, ordersEra that of the
	// table which the known orders were last written to.
	era       uint64
	ordersEra uint64
}

// Document returns the configuration in force.
func (r *Registry) Document() catalog.Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.document
}

// Loaded reports whether the configuration was received from the table or another daemon.
func (r *Registry) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// Sync applies the newer configuration and the orders of the table, and saves the orders
// that the table lacks.
func (r *Registry) Sync(ctx context.Context) error {
	if _, _, err := r.syncHead(ctx, false); err != nil {
		return err
	}
	return r.syncOrders(ctx)
}

// syncHead applies the changes up to the table's head and returns the head and the revision
// of its row. A head that is older than the configuration in force is logged and ignored, unless the
// table was restored, see followEra.
func (r *Registry) syncHead(ctx context.Context, committing bool) (head, uint64, error) {
	row, found, err := r.Table.Get(ctx, headKey)
	if err != nil {
		return head{}, 0, err
	}
	var h head
	if found {
		if err := json.Unmarshal(row.Value, &h); err != nil {
			return h, 0, problem.New(problem.Internal, "head row: %v", err)
		}
	}
	h, row.Revision, err = r.followEra(ctx, h, row, committing)
	if err != nil {
		return h, 0, err
	}
	version := r.Document().Version
	if h.Version < version {
		r.Log.Emit(event.ConfigurationStale, "Version", h.Version, "InForce", version, "Source", "table")
		return h, row.Revision, nil
	}
	if err := r.resynchronize(ctx, h, version); err != nil {
		return h, row.Revision, err
	}
	r.markLoaded()
	return h, row.Revision, nil
}

func (r *Registry) markLoaded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded = true
}

// resynchronize reads the changes from the version up to the head, and first the snapshot
// if it is newer than the version. It applies them in one step, since this daemon, or its
// previous run, may already have acted on a version newer than the ones in between. The
// version is the one that was compared with the head; the configuration in force may have
// become newer since.
func (r *Registry) resynchronize(ctx context.Context, h head, version uint64) error {
	if version == h.Version {
		return nil
	}
	var snapshot *catalog.Document
	if version < h.SnapshotVersion {
		body, found, err := r.Objects.GetObject(ctx, h.Snapshot)
		if err != nil {
			return err
		}
		if !found {
			return problem.New(problem.Unavailable, "snapshot %q is missing", h.Snapshot)
		}
		document, err := catalog.DecodeDocument(body)
		if err != nil {
			return err
		}
		snapshot, version = &document, h.SnapshotVersion
	}
	rows, err := r.Table.Scan(ctx, changePrefix, changeKey(version), int(h.Version-version))
	if err != nil {
		return err
	}
	changes := make([]catalog.Change, 0, len(rows))
	for _, row := range rows {
		c, err := catalog.DecodeChange(row.Value)
		if err != nil {
			return err
		}
		changes = append(changes, c)
	}
	return r.applyFrom(snapshot, changes, "table")
}

// Apply applies consecutive changes and skips those already in force. Source names their
// origin for the log. At a gap between versions it returns a Conflict error; the changes
// before the gap stay applied.
func (r *Registry) Apply(changes []catalog.Change, source string) error {
	return r.applyFrom(nil, changes, source)
}

// applyFrom replaces the configuration by the snapshot, if it isn't nil and its version is
// higher, and applies the changes after it, in one step.
func (r *Registry) applyFrom(snapshot *catalog.Document, changes []catalog.Change, source string) error {
	r.mu.Lock()
	before := r.document.Version
	if snapshot != nil && snapshot.Version > before {
		r.document, r.changes, r.loaded = *snapshot, nil, true
	}
	err := r.applyLocked(changes)
	after := r.document.Version
	r.mu.Unlock()
	if after > before {
		r.Log.Emit(event.ConfigurationRaised, "Version", after, "Before", before, "Source", source)
		r.notifyChange()
	}
	return err
}

// applyLocked applies the changes that are newer than the configuration; the caller holds mu.
func (r *Registry) applyLocked(changes []catalog.Change) error {
	for _, c := range changes {
		if c.Version <= r.document.Version {
			continue
		}
		next, err := r.document.Apply(c)
		if err != nil {
			return err
		}
		r.document = next
		r.loaded = true
		r.changes = append(r.changes, c)
		if len(r.changes) > RetainedChanges {
			r.changes = r.changes[len(r.changes)-RetainedChanges:]
		}
	}
	return nil
}

// ApplySnapshot replaces the configuration by an encoded document if its version is higher.
func (r *Registry) ApplySnapshot(body []byte) error {
	document, err := catalog.DecodeDocument(body)
	if err != nil {
		return err
	}
	return r.applyFrom(&document, nil, "snapshot")
}

func (r *Registry) notifyChange() {
	if r.OnChange != nil {
		r.OnChange()
	}
}

// ChangesSince returns the changes after the version, or the encoded configuration as a
// snapshot if they are no longer retained. Both are nil if no version is newer.
func (r *Registry) ChangesSince(version uint64) (snapshot []byte, changes []catalog.Change, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version >= r.document.Version {
		return nil, nil, nil
	}
	if len(r.changes) > 0 && r.changes[0].Version <= version+1 {
		return nil, append(changes, r.changes[version+1-r.changes[0].Version:]...), nil
	}
	snapshot, err = catalog.Encode(r.document)
	return snapshot, nil, err
}

// Submit commits a change to the platform's table and applies it here. It returns the
// version that the change led to, or a Conflict error if the newest version isn't the
// expected one; 0 accepts any. For a change ID that was committed before it returns the
// version of that commit. After an Unavailable error the change may have been committed;
// submitting it again with the same ID is safe.
func (r *Registry) Submit(ctx context.Context, expected uint64, change catalog.Change) (uint64, error) {
	if err := change.Check(); err != nil {
		return 0, err
	}
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	for range maxSubmitAttempts {
		version, err := r.submitOnce(ctx, expected, change)
		if err == nil {
			return version, nil
		}
		if problem.Of(err) != problem.Conflict || expected != 0 {
			return 0, err
		}
	}
	return 0, problem.New(problem.Conflict, "other changes were committed first in every attempt; try again")
}

// submitOnce makes one attempt to commit the change. It returns a Conflict error if another
// change was committed first.
func (r *Registry) submitOnce(ctx context.Context, expected uint64, change catalog.Change) (uint64, error) {
	if version, done, err := r.acceptedVersion(ctx, change.ID); done || err != nil {
		return version, err
	}
	h, revision, err := r.syncHead(ctx, true)
	if err != nil {
		return 0, err
	}
	if expected != 0 && expected != h.Version {
		return 0, problem.New(problem.Conflict, "expected version %d, change %s has led to version %d", expected, h.ChangeID, h.Version)
	}
	change.Version = h.Version + 1
	tx, err := r.buildTransaction(ctx, h, revision, change)
	if err != nil {
		return 0, err
	}
	_, err = r.Table.Commit(ctx, tx)
	if err != nil && problem.Of(err) != problem.Conflict {
		return r.resolveUnknownCommit(ctx, change)
	}
	if err != nil {
		return 0, r.conflictError(ctx, change)
	}
	return change.Version, r.Apply([]catalog.Change{change}, "operator")
}

// acceptedVersion returns the version that the change with the ID led to, and whether it
// was committed.
func (r *Registry) acceptedVersion(ctx context.Context, id string) (uint64, bool, error) {
	row, found, err := r.Table.Get(ctx, changeIDPrefix+id)
	if err != nil || !found {
		return 0, false, err
	}
	var version uint64
	if err := json.Unmarshal(row.Value, &version); err != nil {
		return 0, false, problem.New(problem.Internal, "change ID row: %v", err)
	}
	_, _, err = r.syncHead(ctx, false)
	return version, true, err
}

// resolveUnknownCommit checks whether a commit whose response was lost took effect.
func (r *Registry) resolveUnknownCommit(ctx context.Context, change catalog.Change) (uint64, error) {
	version, done, err := r.acceptedVersion(ctx, change.ID)
	if err != nil {
		return 0, problem.New(problem.Unavailable, "whether change %s was accepted is unknown; submit it again with the same ID: %v", change.ID, err)
	}
	if done {
		return version, nil
	}
	return 0, problem.New(problem.Unavailable, "the commit of change %s failed and may still take effect; submit it again with the same ID", change.ID)
}

// conflictError returns a Conflict error that names the newest change, which was committed
// before the given one.
func (r *Registry) conflictError(ctx context.Context, change catalog.Change) error {
	h, _, err := r.syncHead(ctx, false)
	if err != nil {
		return err
	}
	return problem.New(problem.Conflict, "change %s has led to version %d", h.ChangeID, h.Version)
}

// buildTransaction returns the commit of the change. At every VersionsPerSnapshot versions
// it also stores a snapshot and deletes the rows that the previous snapshot replaces.
func (r *Registry) buildTransaction(ctx context.Context, h head, revision uint64, change catalog.Change) (platform.Transaction, error) {
	document, err := r.Document().Apply(change)
	if err != nil {
		return platform.Transaction{}, err
	}
	var tx platform.Transaction
	next := head{Version: change.Version, ChangeID: change.ID, Snapshot: h.Snapshot, SnapshotVersion: h.SnapshotVersion}
	if change.Version%VersionsPerSnapshot == 0 {
		next.Snapshot = fmt.Sprintf("%s%016d-%s", snapshotPrefix, change.Version, change.ID)
		next.SnapshotVersion = change.Version
		body, err := catalog.Encode(document)
		if err != nil {
			return tx, problem.New(problem.Internal, "snapshot: %v", err)
		}
		if err := r.Objects.PutObject(ctx, next.Snapshot, body); err != nil {
			return tx, err
		}
		tx.Writes = append(tx.Writes, r.obsoleteRowDeletes(change.Version)...)
	}
	tx.Conditions = []platform.Condition{{Key: headKey, Revision: revision}, {Key: changeIDPrefix + change.ID}}
	for _, w := range []struct {
		key   string
		value any
	}{{headKey, next}, {changeKey(change.Version), change}, {changeIDPrefix + change.ID, change.Version}} {
		if tx.Writes, err = appendWrite(tx.Writes, w.key, w.value); err != nil {
			return tx, err
		}
	}
	return tx, nil
}

// appendWrite appends the write of a value as JSON; its error has kind Internal.
func appendWrite(writes []platform.Write, key string, value any) ([]platform.Write, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return writes, problem.New(problem.Internal, "encode %s: %v", key, err)
	}
	return append(writes, platform.Write{Key: key, Value: encoded}), nil
}

// obsoleteRowDeletes returns the writes that delete the rows replaced by the snapshot before
// the one of this version. Older rows were deleted together with that snapshot.
func (r *Registry) obsoleteRowDeletes(version uint64) []platform.Write {
	r.mu.Lock()
	defer r.mu.Unlock()
	var writes []platform.Write
	for _, c := range r.changes {
		if c.Version+VersionsPerSnapshot > version {
			break
		}
		if c.Version+2*VersionsPerSnapshot <= version {
			continue
		}
		writes = append(writes,
			platform.Write{Key: changeKey(c.Version), Delete: true},
			platform.Write{Key: changeIDPrefix + c.ID, Delete: true})
	}
	return writes
}

// changeKey returns the key of a change's row; the keys sort by version.
func changeKey(version uint64) string {
	return fmt.Sprintf("%s%016d", changePrefix, version)
}

// OrdersHash returns a hash of the known orders. Daemons compare it to detect that their
// orders differ.
func (r *Registry) OrdersHash() uint64 {
	digest := xxhash.New()
	for _, o := range r.Orders() {
		_, _ = fmt.Fprintf(digest, "%s %t\n", o.ID, o.Cancelled)
	}
	return digest.Sum64()
}
