package claim_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/claim"
	"github.com/sequoiapick/sequoiapick/internal/idempotency"
	standin "github.com/sequoiapick/sequoiapick/internal/standin/platform"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/platform"
)

// restoreWait is the Deduplicator's RestoreWait of the tests.
const restoreWait = 12 * time.Second

// daemons forwards requests between deduplicators, by incarnation.
type daemons map[string]*claim.Deduplicator

func (ds daemons) Forward(ctx context.Context, incarnation string, s claim.Submission) (idempotency.Outcome, bool, error) {
	d, ok := ds[incarnation]
	if !ok {
		return idempotency.Outcome{}, false, nil
	}
	return d.SubmitForwarded(ctx, s), true, nil
}

// cluster is a store with two daemons, and the count of the runs of a request.
type cluster struct {
	store *standin.Server
	first *claim.Deduplicator
	other *claim.Deduplicator
	clock *clockwork.FakeClock
	runs  atomic.Int32
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{store: &standin.Server{}, clock: clockwork.NewFakeClock()}
	address, stop, err := c.store.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	ds := daemons{}
	for _, incarnation := range []string{"first", "other"} {
		d := &claim.Deduplicator{
			Incarnation: incarnation,
			Table:       &platform.ProductStore{Store: &platform.Store{Address: address}},
			Forwarder:   ds,
			Clock:       c.clock,
			RestoreWait: restoreWait,
		}
		d.Open()
		ds[incarnation] = d
	}
	c.first, c.other = ds["first"], ds["other"]
	return c
}

// submit submits a request under a key to a daemon.
func (c *cluster) submit(t *testing.T, d *claim.Deduplicator, key string) idempotency.Outcome {
	return d.Submit(t.Context(), claim.Submission{
		ID: idempotency.ID{Account: "a", Key: key}, Fingerprint: 1,
		Run: func(context.Context) idempotency.Outcome {
			c.runs.Add(1)
			return idempotency.Outcome{Body: []byte("answer")}
		},
	})
}

// TestKeyRunsOnceAfterRestoreOfTable restores the table from a copy that lacks the claim of a key, and
// submits the key to another daemon before and after the owner has written its claim again.
func TestKeyRunsOnceAfterRestoreOfTable(t *testing.T) {
	c := newCluster(t)
	c.submit(t, c.other, "before") // both daemons have seen the first era
	saved := c.store.Snapshot()
	if outcome := c.submit(t, c.first, "k"); outcome.Failure != "" {
		t.Fatalf("got %+v", outcome)
	}
	c.first.Close()
	c.store.Restore(saved)
	if outcome := c.submit(t, c.other, "k"); outcome.Failure != problem.KeyUnverified || !outcome.SentNothing {
		t.Errorf("before the owner has written its claim again: got %+v, want %s", outcome, problem.KeyUnverified)
	}
	c.submit(t, c.first, "another") // the owner learns of the restore by any call
	if err := c.first.RewriteClaims(t.Context()); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if outcome := c.submit(t, c.other, "k"); outcome.Failure != "" || string(outcome.Body) != "answer" {
			t.Errorf("after the owner has written its claim again: got %+v", outcome)
		}
		c.clock.Advance(restoreWait)
	}
	if runs := c.runs.Load(); runs != 2 { // before, k
		t.Errorf("%d requests ran, want 2", runs)
	}
	if outcome := c.submit(t, c.other, "new"); outcome.Failure != "" {
		t.Errorf("a new key after the wait: got %+v", outcome)
	}
}

// TestUnclaimedKeyIsNotRewritten lets a daemon that was refused a key write its claims again: the claim of
// the owner must stay.
func TestUnclaimedKeyIsNotRewritten(t *testing.T) {
	c := newCluster(t)
	c.submit(t, c.other, "before")
	saved := c.store.Snapshot()
	c.submit(t, c.first, "k")
	c.first.Close()
	c.store.Restore(saved)
	c.submit(t, c.first, "another")
	for _, d := range []*claim.Deduplicator{c.first, c.other, c.other} {
		c.submit(t, c.other, "k")
		if err := d.RewriteClaims(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	c.clock.Advance(restoreWait)
	if outcome := c.submit(t, c.other, "k"); string(outcome.Body) != "answer" || c.runs.Load() != 2 {
		t.Errorf("got %+v after %d runs", outcome, c.runs.Load())
	}
}
