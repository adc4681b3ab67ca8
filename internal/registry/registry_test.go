package registry_test

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/catalog"
	"github.com/sequoiapick/sequoiapick/internal/platform"
	"github.com/sequoiapick/sequoiapick/internal/registry"
	"github.com/sequoiapick/sequoiapick/pkg/tier"
)

// risingTable is a table whose head version increments with every read.
type risingTable struct {
	version atomic.Uint64
	// emptyScans counts the scans with a limit below 1.
	emptyScans atomic.Int64
}

func (t *risingTable) Get(context.Context, string) (platform.Row, bool, error) {
	value, err := json.Marshal(struct{ Version uint64 }{t.version.Add(1)})
	return platform.Row{Revision: 1, Value: value}, true, err
}

func (t *risingTable) Scan(_ context.Context, _, _ string, limit int) ([]platform.Row, error) {
	if limit < 1 {
		t.emptyScans.Add(1)
	}
	return nil, nil
}

func (t *risingTable) Era() (uint64, bool) { return 0, true }

func (t *risingTable) Commit(context.Context, platform.Transaction) (uint64, error) {
	return 0, nil
}

func change(version uint64) catalog.Change {
	return catalog.Change{Version: version, Tiers: []tier.Tier{{Name: "now", Deadline: time.Second}}}
}

// TestSyncDuringConcurrentApplyScansAtLeastOneRow guards against a scan with a limit below
// 1, which occurs if the version rises between its comparison with the head and the
// computation of the limit.
func TestSyncDuringConcurrentApplyScansAtLeastOneRow(t *testing.T) {
	table := &risingTable{}
	r := &registry.Registry{Table: table}
	applyErr := make(chan error, 1)
	const versions = 20000
	go func() {
		for version := uint64(1); version <= versions; version++ {
			if err := r.Apply([]catalog.Change{change(version)}, "peer"); err != nil {
				applyErr <- err
				return
			}
		}
		applyErr <- nil
	}()
	for r.Document().Version < versions {
		table.version.Store(r.Document().Version)
		if err := r.Sync(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if err := <-applyErr; err != nil {
		t.Fatal(err)
	}
	if n := table.emptyScans.Load(); n > 0 {
		t.Errorf("%d scans had a limit below 1 row", n)
	}
}

func TestApplyIgnoresLowerVersionAndRejectsGap(t *testing.T) {
	r := &registry.Registry{}
	if err := r.Apply([]catalog.Change{change(1), change(2)}, "peer"); err != nil {
		t.Fatal(err)
	}
	older, err := catalog.Encode(catalog.Document{Version: 1})
	if err != nil {
		t.Fatal(err)
	}
	if err := r.ApplySnapshot(older); err != nil {
		t.Fatal(err)
	}
	if err := r.Apply([]catalog.Change{change(1)}, "peer"); err != nil || r.Document().Version != 2 {
		t.Errorf("version %d, error %v, want version 2", r.Document().Version, err)
	}
	if err := r.Apply([]catalog.Change{change(4)}, "peer"); err == nil {
		t.Error("a gap between versions was accepted")
	}
}

// storedTable is a table and an object store with version 6 and a snapshot of version 2.
type storedTable struct{}

func (s storedTable) Get(context.Context, string) (platform.Row, bool, error) {
	value, err := json.Marshal(map[string]any{"Version": 6, "Snapshot": "s", "SnapshotVersion": 2})
	return platform.Row{Revision: 1, Value: value}, true, err
}

func (s storedTable) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	var rows []platform.Row
	for version := uint64(3); version <= 6; version++ {
		value, err := json.Marshal(change(version))
		if err != nil {
			return nil, err
		}
		rows = append(rows, platform.Row{Value: value})
	}
	return rows, nil
}

func (s storedTable) Era() (uint64, bool) { return 0, true }

func (s storedTable) Commit(context.Context, platform.Transaction) (uint64, error) { return 0, nil }

func (s storedTable) GetObject(context.Context, string) ([]byte, bool, error) {
	body, err := catalog.Encode(catalog.Document{Version: 2})
	return body, true, err
}

func (s storedTable) PutObject(context.Context, string, []byte) error { return nil }

// TestSyncAfterStartAppliesOnlyNewestVersion guards against a restarted daemon that acts on
// a version older than the one that its previous run acted on.
func TestSyncAfterStartAppliesOnlyNewestVersion(t *testing.T) {
	store := storedTable{}
	r := &registry.Registry{Table: store, Objects: store}
	var applied []uint64
	r.OnChange = func() { applied = append(applied, r.Document().Version) }
	if err := r.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	if slices.ContainsFunc(applied, func(v uint64) bool { return v != 6 }) || r.Document().Version != 6 {
		t.Errorf("versions %v were in force, want only 6", applied)
	}
}
