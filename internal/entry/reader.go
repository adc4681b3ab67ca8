package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/mirror"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/platform"
)

const (
	// retryPause and retryPauseMost bound the wait after a failed call to the store, which
	// doubles with each failure.
	retryPause     = 100 * time.Millisecond
	retryPauseMost = 800 * time.Millisecond
	// staggerStep is how much longer each further daemon waits before it reads in place of
	// one that has fallen silent, so that usually one does.
	staggerStep = 60 * time.Millisecond
	// staggerMost bounds that wait.
	staggerMost = 300 * time.Millisecond
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

// tableReader keeps a copy of a table of the store. The daemon that leads reads and
// passes on what it read; the others read when they haven't heard for longer than their
// patience, and then pass it on as well, so that a daemon that the store turns away
// learns from one that it serves.
type tableReader struct {
	host  *Daemon
	table string
	// wait is how long a read waits for a change.
	wait time.Duration
	// interval is the time between two reads of the daemon that leads.
	interval time.Duration
	// patience is the age of the copy at which other daemons read.
	patience time.Duration
	// lapseAfter is the time without a reading after which entries may have lapsed with
	// the store.
	lapseAfter time.Duration
	// apply takes the rows that changed.
	apply func(changes []platform.Row, lapsed bool)

	mu       sync.Mutex
	mirror   mirror.Mirror
	relay    relay
	whole    bool
	returned time.Time
	wake     chan struct{}
}

// run reads until the context ends.
func (r *tableReader) run(ctx context.Context) error {
	h := r.host
	var wait backoff
	for ctx.Err() == nil {
		if pause := r.pause(); pause > 0 {
			r.sleep(ctx, pause)
			continue
		}
		err := r.read(ctx)
		switch {
		case err == nil:
			wait.reset()
		case problem.Of(err) == problem.Gone:
			r.setWhole()
		default:
			h.log.Emit(event.LoopFailed, "Task", r.table, "Reason", err.Error())
			r.sleep(ctx, wait.next())
		}
	}
	return nil
}

// sleep waits, but not beyond a change of the leader.
func (r *tableReader) sleep(ctx context.Context, d time.Duration) {
	timer := r.host.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.wake:
	case <-timer.Chan():
	}
}

// wakeUp makes the reader look again whether it has to read.
func (r *tableReader) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// pause is the time until this daemon has to read.
func (r *tableReader) pause() time.Duration {
	h := r.host
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.mirror.Loaded() || r.whole {
		return 0
	}
	patience := r.interval
	if h.mesh.Leader() != h.settings.Host {
		patience = r.patience + min(time.Duration(h.mesh.LiveRank())*staggerStep, staggerMost)
	}
	return patience - r.mirror.Age(h.Clock.Now())
}

func (r *tableReader) setWhole() {
	r.mu.Lock()
	r.whole = true
	r.mu.Unlock()
}

// read reads once, takes what it read and passes it on.
func (r *tableReader) read(ctx context.Context) error {
	h := r.host
	r.mu.Lock()
	o := mirror.Update{Full: r.whole || !r.mirror.Loaded(), FromVersion: r.mirror.Version(), ReadAt: h.Clock.Now()}
	r.mu.Unlock()
	var rows platform.Rows
	var err error
	if o.Full {
		rows, err = h.store.Read(ctx, r.table)
	} else {
		rows, err = h.store.Feed(ctx, r.table, o.FromVersion, r.wait)
	}
	if err != nil {
		return err
	}
	if waited := o.ReadAt.Add(r.wait); !o.Full && len(rows.Rows) == 0 && h.Clock.Now().After(waited) {
		o.ReadAt = waited // the store can't have answered before the wait was over
	}
	o.ToVersion, o.Rows = rows.Version, rows.Rows
	r.mu.Lock()
	r.whole = false
	r.mu.Unlock()
	if news, _ := r.take(o); news != nil {
		h.mesh.Broadcast(r.encode(*news))
	}
	return nil
}

// take applies an observation and reports whether it joined the copy. It returns what
// other daemons with a copy of the same version need, nil if this one had none: those
// without a copy ask for the whole when they hear of news.
func (r *tableReader) take(o mirror.Update) (news *mirror.Update, joined bool) {
	now := r.host.Clock.Now()
	r.mu.Lock()
	if r.mirror.Loaded() && o.ReadAt.Sub(now.Add(-r.mirror.Age(now))) > r.lapseAfter {
		r.returned = now
	}
	lapsed := !r.returned.IsZero() && now.Sub(r.returned) < lapseWindow
	from, loaded := r.mirror.Version(), r.mirror.Loaded()
	changes, joined := r.mirror.Apply(o)
	if joined && len(changes) > 0 {
		r.apply(changes, lapsed)
	}
	if joined && loaded {
		news = &mirror.Update{FromVersion: from, ToVersion: r.mirror.Version(), Rows: changes, ReadAt: o.ReadAt}
	}
	if r.table == platform.TableTargets {
		changes = r.relay.news(changes)
		if news != nil {
			news.Rows = changes
		}
	}
	r.mu.Unlock()
	return news, joined
}

// state returns the version and the age of the copy.
func (r *tableReader) state() (version int64, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mirror.Version(), r.mirror.Age(r.host.Clock.Now())
}

// loaded reports whether the copy was ever complete.
func (r *tableReader) loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mirror.Loaded()
}

func (r *tableReader) encode(o mirror.Update) *clusterpb.Envelope {
	m := &clusterpb.Observed{
		Table:     r.table,
		Whole:     o.Full,
		From:      o.FromVersion,
		To:        o.ToVersion,
		AgeMillis: r.host.Clock.Since(o.ReadAt).Milliseconds(),
	}
	for _, row := range o.Rows {
		m.Rows = append(m.Rows, &clusterpb.Row{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
	}
	return &clusterpb.Envelope{Kind: &clusterpb.Envelope_Observed{Observed: m}}
}

// receive takes what another daemon read.
func (r *tableReader) receive(from string, m *clusterpb.Observed) {
	o := mirror.Update{
		Full:        m.GetWhole(),
		FromVersion: m.GetFrom(),
		ToVersion:   m.GetTo(),
		ReadAt:      r.host.Clock.Now().Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond),
	}
	for _, row := range m.GetRows() {
		o.Rows = append(o.Rows, platform.Row{Table: r.table, Key: row.GetKey(), Value: row.GetValue(), Version: row.GetVersion(), Deleted: row.GetDeleted()})
	}
	if _, joined := r.take(o); !joined {
		r.want(from)
	}
}

// want asks another daemon for the whole table.
func (r *tableReader) want(from string) {
	r.host.mesh.Send(from, &clusterpb.Envelope{Kind: &clusterpb.Envelope_Wanted{Wanted: &clusterpb.Wanted{Table: r.table}}})
}

// reply sends the whole table to another daemon.
func (r *tableReader) reply(to string) {
	r.mu.Lock()
	if !r.mirror.Loaded() {
		r.mu.Unlock()
		return
	}
	now := r.host.Clock.Now()
	o := mirror.Update{Full: true, ToVersion: r.mirror.Version(), Rows: r.mirror.Rows(), ReadAt: now.Add(-r.mirror.Age(now))}
	r.mu.Unlock()
	r.host.mesh.Send(to, r.encode(o))
}
