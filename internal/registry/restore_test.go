package registry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/catalog"
	"github.com/sequoiapick/sequoiapick/internal/registry"
	standin "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	"github.com/sequoiapick/sequoiapick/pkg/tier"
	"github.com/sequoiapick/sequoiapick/platform"
)

// startTable serves a stand-in of the store until the test ends. It returns it with a function that
// returns registries on it, one for each daemon.
func startTable(t *testing.T) (*standin.Server, func() *registry.Registry) {
	t.Helper()
	server := &standin.Server{}
	address, stop, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return server, func() *registry.Registry {
		store := &platform.ProductStore{Store: &platform.Store{Address: address}}
		return &registry.Registry{Table: store, Objects: store}
	}
}

// submit commits a change that adds a tier with the name, which is also the ID of the change.
func submit(t *testing.T, r *registry.Registry, name string) uint64 {
	t.Helper()
	version, err := r.Submit(t.Context(), 0, catalog.Change{ID: name, Tiers: []tier.Tier{{Name: name, Deadline: time.Second}}})
	if err != nil {
		t.Fatalf("change %s: %v", name, err)
	}
	return version
}

// expectTiers syncs a registry and fails unless it has the tiers.
func expectTiers(t *testing.T, who string, r *registry.Registry, names ...string) {
	t.Helper()
	if err := r.Sync(t.Context()); err != nil {
		t.Errorf("%s: %v", who, err)
	}
	tiers := r.Document().Tiers
	for _, name := range names {
		if _, ok := tiers[name]; !ok {
			t.Errorf("%s lacks tier %s at version %d", who, name, r.Document().Version)
		}
	}
	if len(tiers) != len(names) {
		t.Errorf("%s has %d tiers, want %d", who, len(tiers), len(names))
	}
}

// TestChangesSurviveRestoreOfTable restores the table from a copy that lacks changes that were confirmed.
// Daemons that know them, that know some of them and that start later must agree on all.
func TestChangesSurviveRestoreOfTable(t *testing.T) {
	for _, lost := range []int{0, 1, 5, 70} {
		server, newRegistry := startTable(t)
		all, behind := newRegistry(), newRegistry()
		names := []string{"first"}
		submit(t, all, "first")
		expectTiers(t, "the daemon that misses the lost changes", behind, "first")
		saved := server.Snapshot()
		for n := range lost {
			names = append(names, fmt.Sprintf("lost-%d", n))
			submit(t, all, names[len(names)-1])
		}
		server.Restore(saved)
		expectTiers(t, "the daemon that knows the lost changes", all, names...)
		before := all.Document().Version
		if lost > 0 {
			if version := submit(t, all, "lost-0"); version != 2 {
				t.Errorf("the lost change has version %d when it is submitted again, want 2", version)
			}
		}
		if version := submit(t, behind, "next"); version != before+1 {
			t.Errorf("the next change has version %d after version %d", version, before)
		}
		names = append(names, "next")
		expectTiers(t, "the daemon that knows the lost changes", all, names...)
		expectTiers(t, "the daemon that missed them", behind, names...)
		expectTiers(t, "a daemon that starts later", newRegistry(), names...)
	}
}

// TestChangesAfterRestoreAreKept commits changes through a daemon that doesn't know the lost ones, before
// the daemons that know them have noticed the restore.
func TestChangesAfterRestoreAreKept(t *testing.T) {
	for _, c := range []struct{ lost, since int }{{1, 1}, {3, 1}, {1, 3}, {2, 2}} {
		server, newRegistry := startTable(t)
		all := newRegistry()
		names := []string{"first"}
		submit(t, all, "first")
		saved := server.Snapshot()
		for n := range c.lost {
			names = append(names, fmt.Sprintf("lost-%d", n))
			submit(t, all, names[len(names)-1])
		}
		server.Restore(saved)
		late := newRegistry()
		for n := range c.since {
			names = append(names, fmt.Sprintf("since-%d", n))
			submit(t, late, names[len(names)-1])
		}
		for _, d := range []struct {
			who string
			r   *registry.Registry
		}{{"the daemon that knows the lost changes", all}, {"the daemon that started since", late}, {"a third daemon", newRegistry()}} {
			expectTiers(t, d.who, d.r, names...)
		}
	}
}

// TestChangeThatIsSubmittedAgainDoesNotUndoLaterOne submits lost changes again, in another order, through a
// daemon that doesn't know them. The daemon that knows them must not apply them after later ones.
func TestChangeThatIsSubmittedAgainDoesNotUndoLaterOne(t *testing.T) {
	setDeadline := func(id string, deadline time.Duration) catalog.Change {
		return catalog.Change{ID: id, Tiers: []tier.Tier{{Name: "now", Deadline: deadline}}}
	}
	earlier, later := setDeadline("earlier", time.Second), setDeadline("later", 2*time.Second)
	for _, again := range [][]catalog.Change{{earlier}, {later, earlier}} {
		server, newRegistry := startTable(t)
		all := newRegistry()
		submit(t, all, "first")
		saved := server.Snapshot()
		for _, c := range []catalog.Change{setDeadline("unrelated", time.Minute), earlier, later} {
			if _, err := all.Submit(t.Context(), 0, c); err != nil {
				t.Fatal(err)
			}
		}
		server.Restore(saved)
		late := newRegistry()
		for _, c := range again {
			if _, err := late.Submit(t.Context(), 0, c); err != nil {
				t.Fatal(err)
			}
		}
		for _, r := range []*registry.Registry{all, late, newRegistry()} {
			if err := r.Sync(t.Context()); err != nil {
				t.Fatal(err)
			}
			if got := r.Document().Tiers["now"].Deadline; got != 2*time.Second {
				t.Errorf("%d changes again: the deadline is %v, want that of the latest change", len(again), got)
			}
		}
	}
}

// TestSnapshotSurvivesRestoreOfTable restores the table while the only daemon that knows the lost changes
// knows them as a snapshot.
func TestSnapshotSurvivesRestoreOfTable(t *testing.T) {
	server, newRegistry := startTable(t)
	writer, known := newRegistry(), newRegistry()
	submit(t, writer, "first")
	saved := server.Snapshot()
	submit(t, writer, "lost")
	if err := known.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	body, err := catalog.Encode(writer.Document())
	if err != nil {
		t.Fatal(err)
	}
	if err := known.ApplySnapshot(body); err != nil {
		t.Fatal(err)
	}
	server.Restore(saved)
	expectTiers(t, "the daemon with the snapshot", known, "first", "lost")
	expectTiers(t, "a daemon that starts later", newRegistry(), "first", "lost")
}

// TestChangeIsCommittedBeforeOthersRewriteTable submits a change through a daemon that started after the
// restore and has the lost change from another daemon.
func TestChangeIsCommittedBeforeOthersRewriteTable(t *testing.T) {
	server, newRegistry := startTable(t)
	all, late := newRegistry(), newRegistry()
	submit(t, all, "first")
	saved := server.Snapshot()
	submit(t, all, "lost")
	server.Restore(saved)
	expectTiers(t, "the daemon that started after the restore", late, "first")
	_, changes, err := all.ChangesSince(1)
	if err != nil {
		t.Fatal(err)
	}
	if err := late.Apply(changes, "peer"); err != nil {
		t.Fatal(err)
	}
	submit(t, late, "next")
	for _, r := range []*registry.Registry{all, late, newRegistry()} {
		expectTiers(t, "a daemon", r, "first", "lost", "next")
	}
}

// TestOrdersSurviveRestoreOfTable restores the table from a copy from before one order was given and
// another one cancelled. A daemon that starts later must follow both.
func TestOrdersSurviveRestoreOfTable(t *testing.T) {
	server, newRegistry := startTable(t)
	r := newRegistry()
	submit(t, r, "first")
	r.TakeOut(t.Context(), "back")
	saved := server.Snapshot()
	if err := r.BringIn(t.Context(), "back"); err != nil {
		t.Fatal(err)
	}
	r.TakeOut(t.Context(), "out")
	server.Restore(saved)
	for _, who := range []*registry.Registry{r, newRegistry()} {
		if err := who.Sync(t.Context()); err != nil {
			t.Fatal(err)
		}
		if who.DataCentreOut("back") || !who.DataCentreOut("out") {
			t.Errorf("out of service are back: %v and out: %v, want only the latter", who.DataCentreOut("back"), who.DataCentreOut("out"))
		}
	}
}
