package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/platform"
)

const (
	// feedWait is how long a feed call waits for a change; the store allows 30 s.
	feedWait = 20 * time.Second
	// retryPause and retryPauseMost bound the wait after a failed call to the store, which
	// doubles with each failure.
	retryPause     = 100 * time.Millisecond
	retryPauseMost = 800 * time.Millisecond
	// targetsInterval is the time between two reads of the targets' entries; a leaving
	// target must be left within 2 s.
	targetsInterval = 500 * time.Millisecond
	// awayAfter is the time without an answer after which the store counts as away.
	awayAfter = time.Second
	// lapseWindow is the time after the store's return in which missing entries may come
	// back.
	lapseWindow = 2 * time.Second
)

// backoff is the wait after failed calls.
type backoff struct {
	pause time.Duration
}

func (b *backoff) reset() { b.pause = 0 }

func (b *backoff) next() time.Duration {
	b.pause = min(max(b.pause*2, retryPause), retryPauseMost)
	return b.pause/2 + rand.N(b.pause/2+1)
}

func (h *Host) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-h.Clock.After(d):
	}
}

// operatorReader learns the configuration and the data centres that are taken out.
type operatorReader struct {
	host    *Host
	version int64
	out     map[string]bool
}

func (r *operatorReader) run(ctx context.Context) error {
	var wait backoff
	fresh := true
	for ctx.Err() == nil {
		var err error
		if fresh {
			err = r.readAll(ctx)
		} else {
			err = r.follow(ctx)
		}
		switch {
		case err == nil:
			fresh = false
			wait.reset()
		case problem.Of(err) == problem.Gone:
			fresh = true
		default:
			fresh = true // changes may have been missed
			r.host.sleep(ctx, wait.next())
		}
	}
	return nil
}

func (r *operatorReader) readAll(ctx context.Context) error {
	rows, err := r.host.store.Read(ctx, platform.TableOperator)
	if err != nil {
		return err
	}
	r.version = rows.Version
	out := map[string]bool{}
	for _, row := range rows.Rows {
		r.apply(row, out)
	}
	r.out = out
	r.host.inventory.SetAllOut(out)
	return nil
}

func (r *operatorReader) follow(ctx context.Context) error {
	rows, err := r.host.store.Feed(ctx, platform.TableOperator, r.version, feedWait)
	if err != nil {
		return err
	}
	r.version = max(r.version, rows.Version)
	for _, row := range rows.Rows {
		r.apply(row, r.out)
	}
	r.host.inventory.SetAllOut(r.out)
	return nil
}

// apply takes one row of the operators.
func (r *operatorReader) apply(row platform.Row, out map[string]bool) {
	h := r.host
	decoded, err := platform.DecodeOperatorRow(row)
	if err != nil {
		h.log.Emit(event.ConfigurationStale, "Row", row.Key, "Reason", err.Error())
		return
	}
	switch d := decoded.(type) {
	case platform.Configuration:
		old := h.table.Load()
		if old != nil && d.Table.Version <= old.Version {
			return
		}
		h.table.Store(d.Table)
		h.log.Emit(event.ConfigurationRaised, "Version", d.Table.Version, "Routes", len(d.Table.Routes))
	case platform.Evacuation:
		if out[d.DataCentre] != d.Out {
			out[d.DataCentre] = d.Out
			e := event.DataCentreIn
			if d.Out {
				e = event.DataCentreOut
			}
			h.log.Emit(e, "DataCentre", d.DataCentre)
		}
	}
}

// targetReader learns what targets report in the store.
type targetReader struct {
	host     *Host
	loaded   atomic.Bool
	version  int64
	answered time.Time
	returned time.Time
}

func (r *targetReader) run(ctx context.Context) error {
	var wait backoff
	fresh := true
	r.answered = r.host.Clock.Now()
	for ctx.Err() == nil {
		err := r.read(ctx, fresh)
		switch {
		case err == nil:
			fresh = false
			wait.reset()
			r.loaded.Store(true)
			r.host.sleep(ctx, targetsInterval)
		case problem.Of(err) == problem.Gone:
			fresh = true
		default:
			r.host.sleep(ctx, wait.next())
		}
	}
	return nil
}

func (r *targetReader) read(ctx context.Context, fresh bool) error {
	h := r.host
	var rows platform.Rows
	var err error
	if fresh {
		rows, err = h.store.Read(ctx, platform.TableTargets)
	} else {
		rows, err = h.store.Feed(ctx, platform.TableTargets, r.version, 0)
	}
	if err != nil {
		return err
	}
	now := h.Clock.Now()
	if now.Sub(r.answered) > awayAfter {
		r.returned = now
	}
	r.answered = now
	lapsed := now.Sub(r.returned) < lapseWindow
	r.version = max(r.version, rows.Version)
	listed := map[string]bool{}
	for _, row := range rows.Rows {
		if row.Deleted {
			h.inventory.Removed(row.Key, lapsed)
			continue
		}
		report, err := platform.DecodeTarget(row)
		if err != nil {
			h.log.Emit(event.TargetMalformed, "Target", row.Key, "Reason", err.Error())
			h.inventory.Removed(row.Key, false)
			continue
		}
		listed[row.Key] = true
		h.inventory.Report(report)
	}
	if fresh {
		h.inventory.RemovedOthers(listed, lapsed)
	}
	return nil
}

// memberReader learns the other daemons and registers this one.
type memberReader struct {
	host *Host
	left atomic.Bool

	mu    sync.Mutex
	seeds []string
}

func (r *memberReader) setSeeds(seeds []string) {
	r.mu.Lock()
	r.seeds = seeds
	r.mu.Unlock()
}

// run registers this daemon and follows the members' table.
func (r *memberReader) run(ctx context.Context) error {
	h := r.host
	var wait backoff
	registered := false
	known := map[string]cluster.Member{}
	version := int64(0)
	fresh := true
	for ctx.Err() == nil {
		var err error
		if !registered {
			err = r.register(ctx)
			registered = err == nil
		}
		if err == nil {
			version, err = r.read(ctx, fresh, version, known)
		}
		switch {
		case err == nil:
			fresh = false
			wait.reset()
		case problem.Of(err) == problem.Gone:
			fresh = true
		default:
			fresh = true
			h.sleep(ctx, wait.next())
		}
	}
	return nil
}

func (r *memberReader) register(ctx context.Context) error {
	value, err := json.Marshal(r.host.mesh.Self)
	if err != nil {
		return problem.New(problem.Internal, "encode member: %v", err)
	}
	_, err = r.host.store.Commit(ctx, platform.Transaction{Puts: []platform.Row{{
		Table: platform.TableMembers, Key: r.host.settings.Host, Value: value,
	}}})
	return err
}

func (r *memberReader) read(ctx context.Context, fresh bool, version int64, known map[string]cluster.Member) (int64, error) {
	h := r.host
	var rows platform.Rows
	var err error
	if fresh {
		rows, err = h.store.Read(ctx, platform.TableMembers)
		clear(known)
	} else {
		rows, err = h.store.Feed(ctx, platform.TableMembers, version, feedWait)
	}
	if err != nil {
		return version, err
	}
	for _, row := range rows.Rows {
		var member cluster.Member
		if row.Deleted {
			delete(known, row.Key)
			continue
		}
		if err := json.Unmarshal(row.Value, &member); err != nil || member.Host != row.Key {
			h.log.Emit(event.TargetMalformed, "Member", row.Key)
			continue
		}
		known[row.Key] = member
	}
	members := make([]cluster.Member, 0, len(known))
	for _, member := range known {
		members = append(members, member)
	}
	h.mesh.SetMembers(members)
	return max(version, rows.Version), nil
}

// leaveTimeout bounds the removal of this daemon's row at a stop.
const leaveTimeout = time.Second

// leave removes this daemon's row.
func (r *memberReader) leave() {
	if r.left.Swap(true) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	go func() {
		defer cancel()
		_, err := r.host.store.Commit(ctx, platform.Transaction{Removals: []platform.Row{{
			Table: platform.TableMembers, Key: r.host.settings.Host,
		}}})
		if err != nil {
			r.host.log.Emit(event.LoopFailed, "Task", "leave", "Reason", err.Error())
		}
	}()
}
