package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/forward"
	"github.com/sequoiapick/sequoiapick/internal/quarantine"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/platform"
)

const (
	// quarantineExpiryInterval is the time between two checks for quarantines that are over.
	quarantineExpiryInterval = 10 * time.Second
	// quarantineQueueLength limits the changes that wait to be written to the store.
	quarantineQueueLength = 256
)

// quarantineTable shares the quarantined parts of prompts and requests among the daemons: over the links at once,
// and through a table of the store, which reaches daemons without a link to the finder and those
// that start later.
type quarantineTable struct {
	daemon  *Daemon
	tracker *quarantine.Tracker
	changes chan quarantineChange
	// restored is signalled when the store was restored from an older copy.
	restored chan struct{}
	// broken are the attempts to check, see watchCrashes.
	broken chan forward.BrokenAttempt

	// mu guards released, the times at which quarantines ended, by the key of the row.
	mu       sync.Mutex
	released map[string]time.Time
}

// releaseRetention is how long the end of a quarantine is remembered. The store may come back from a
// copy that is some seconds old, in which the part is listed.
const releaseRetention = time.Minute

// quarantineChange is the begin or the end of a quarantine.
type quarantineChange struct {
	cause    quarantine.Cause
	released bool
}

// hold shares a part that this daemon has quarantined.
func (q *quarantineTable) hold(p quarantine.Cause) { q.share(quarantineChange{cause: p}) }

// release shares the end of a quarantine that this daemon has ended.
func (q *quarantineTable) release(p quarantine.Cause) {
	q.share(quarantineChange{cause: p, released: true})
}

func (q *quarantineTable) share(c quarantineChange) {
	q.record(c)
	q.log(c, "Self")
	q.daemon.mesh.Broadcast(&clusterpb.Envelope{Kind: &clusterpb.Envelope_Quarantine{Quarantine: &clusterpb.Quarantine{
		Service: c.cause.Service, Part: c.cause.ID, Request: c.cause.Request, Released: c.released,
	}}})
	select {
	case q.changes <- c:
	default:
		q.daemon.log.Emit(event.LoopFailed, "Task", "quarantine", "Reason", "too many changes wait for the store", "Part", c.cause.ID)
	}
}

// receive applies a change of another daemon.
func (q *quarantineTable) receive(from string, m *clusterpb.Quarantine) {
	q.apply(quarantineChange{cause: quarantine.Cause{Service: m.GetService(), ID: m.GetPart(), Request: m.GetRequest()}, released: m.GetReleased()}, from)
}

// applyRows handles rows of the table, each of which holds one quarantined part or request. After the store was
// restored, what this daemon knows is newer than the rows; run writes it again.
func (q *quarantineTable) applyRows(changes []platform.Row, source updateSource) {
	if source.restored {
		select {
		case q.restored <- struct{}{}:
		default:
		}
	}
	for _, row := range changes {
		if source.restored && (row.Deleted || q.wasReleased(row.Key)) {
			continue
		}
		if row.Deleted {
			for _, p := range q.tracker.Held() {
				if quarantineKey(p) == row.Key {
					q.apply(quarantineChange{cause: p, released: true}, "Store")
				}
			}
			continue
		}
		var p quarantine.Cause
		if err := json.Unmarshal(row.Value, &p); err != nil || quarantineKey(p) != row.Key {
			q.daemon.log.Emit(event.LoopFailed, "Task", "read "+platform.TableQuarantine, "Reason", "malformed row", "Key", row.Key)
			continue
		}
		q.apply(quarantineChange{cause: p}, "Store")
	}
}

// apply applies a change of the source, which is a host or the store.
func (q *quarantineTable) apply(c quarantineChange, source string) {
	changed := false
	q.record(c)
	if c.released {
		changed = q.tracker.Release(c.cause)
	} else {
		changed = q.tracker.Hold(c.cause)
	}
	if changed {
		q.log(c, source)
	}
}

// record records whether the quarantine of a part has ended.
func (q *quarantineTable) record(c quarantineChange) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.daemon.Clock.Now()
	if q.released == nil {
		q.released = map[string]time.Time{}
	}
	for key, at := range q.released {
		if now.Sub(at) > releaseRetention {
			delete(q.released, key)
		}
	}
	key := quarantineKey(c.cause)
	delete(q.released, key)
	if c.released {
		q.released[key] = now
	}
}

// wasReleased reports whether the quarantine with the key has ended recently.
func (q *quarantineTable) wasReleased(key string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, released := q.released[key]
	return released
}

func (q *quarantineTable) log(c quarantineChange, source string) {
	switch {
	case c.cause.Request && c.released:
		q.daemon.log.Emit(event.RequestReleased, "Fingerprint", c.cause.ID, "Source", source)
	case c.cause.Request:
		q.daemon.log.Emit(event.RequestQuarantined, "Fingerprint", c.cause.ID, "Source", source)
	case c.released:
		q.daemon.log.Emit(event.PartReleased, "Service", c.cause.Service, "Part", c.cause.ID, "Source", source)
	default:
		q.daemon.log.Emit(event.PartQuarantined, "Service", c.cause.Service, "Part", c.cause.ID, "Source", source)
	}
}

// run writes the changes of this daemon to the store and ends quarantines that are over, until the
// context ends.
func (q *quarantineTable) run(ctx context.Context) error {
	ticker := q.daemon.Clock.NewTicker(quarantineExpiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-q.changes:
			q.write(ctx, c)
		case <-q.restored:
			// Usually the daemon of the lowest rank writes, and the others see its rows.
			q.daemon.sleep(ctx, min(time.Duration(q.daemon.mesh.LiveRank())*staggerDelay, maxStaggerDelay))
			q.writeLost(ctx)
		case <-ticker.Chan():
			q.removeExpired()
		}
	}
}

// removeExpired ends the quarantines that are over; the leader removes their rows.
func (q *quarantineTable) removeExpired() {
	for _, p := range q.tracker.RemoveExpired() {
		if q.daemon.mesh.Leader() == q.daemon.settings.Host {
			q.release(p)
			continue
		}
		q.log(quarantineChange{cause: p, released: true}, "Self")
	}
}

// write writes a change to the store; it retries until that succeeds or the context ends.
func (q *quarantineTable) write(ctx context.Context, c quarantineChange) {
	row := platform.Row{Table: platform.TableQuarantine, Key: quarantineKey(c.cause)}
	tx := platform.Transaction{Removals: []platform.Row{row}}
	if !c.released {
		value, err := json.Marshal(c.cause)
		if err != nil {
			q.daemon.log.Emit(event.LoopFailed, "Task", "quarantine", "Reason", problem.New(problem.Internal, "encode part: %v", err).Error())
			return
		}
		row.Value = value
		tx = platform.Transaction{Puts: []platform.Row{row}}
	}
	var retry backoff
	for ctx.Err() == nil {
		_, err := q.daemon.store.Commit(ctx, tx)
		if err == nil {
			return
		}
		q.daemon.log.Emit(event.LoopFailed, "Task", "quarantine", "Reason", err.Error())
		q.daemon.sleep(ctx, retry.next())
	}
}

// writeLost writes the quarantines that are missing in the table, and removes those that have ended.
func (q *quarantineTable) writeLost(ctx context.Context) {
	listed := map[string]bool{}
	for _, row := range q.daemon.tableReaders[platform.TableQuarantine].rows() {
		listed[row.Key] = true
		var p quarantine.Cause
		if q.wasReleased(row.Key) && json.Unmarshal(row.Value, &p) == nil {
			q.write(ctx, quarantineChange{cause: p, released: true})
		}
	}
	for _, p := range q.tracker.Held() {
		if !listed[quarantineKey(p)] {
			q.write(ctx, quarantineChange{cause: p})
		}
	}
}

// quarantineKey returns the key of the row of a part. Clients choose the IDs of parts, which may be
// longer than a key.
func quarantineKey(p quarantine.Cause) string {
	text := p.Service + "\x00" + p.ID
	if p.Request {
		text += "\x00request"
	}
	return fmt.Sprintf("%016x", xxhash.Sum64String(text))
}
