package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/mirror"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/platform"
)

// memberTable holds the members of the platform's members table, and registers this daemon there.
type memberTable struct {
	daemon *Daemon

	// lost is signalled when the store has lost this daemon's row.
	lost chan struct{}

	// departed receives the rows of daemons that have unregistered and are listed again.
	departed chan departedRow

	mu    sync.Mutex
	known map[string]cluster.Member
	// left holds the incarnations of the daemons that have unregistered, by host.
	left         map[string]string
	unregistered bool
	// written is the version of the store and its era at which this daemon last wrote its row; zero before.
	written platform.Rows
}

// departedRow is a row of the members table as listed in an era of the store.
type departedRow struct {
	row platform.Row
	era int64
}

// departedQueueLength limits the rows that wait to be removed.
const departedQueueLength = 64

// applyRows handles rows of the members table, each of which holds one daemon.
func (m *memberTable) applyRows(changes []platform.Row, source updateSource) {
	if source.restored && !m.isListed(source.table) {
		m.reregister()
	}
	m.mu.Lock()
	if m.known == nil {
		m.known, m.left = map[string]cluster.Member{}, map[string]string{}
	}
	for _, row := range changes {
		if source.restored && m.isOutdated(row, source.era) {
			continue
		}
		if row.Deleted {
			if member, ok := m.known[row.Key]; ok {
				m.left[row.Key] = member.Incarnation
			}
			delete(m.known, row.Key)
			continue
		}
		var member cluster.Member
		if err := json.Unmarshal(row.Value, &member); err != nil || member.Host != row.Key {
			m.daemon.log.Emit(event.TargetMalformed, "Member", row.Key)
			continue
		}
		m.known[row.Key] = member
		delete(m.left, row.Key)
	}
	list := make([]cluster.Member, 0, len(m.known))
	for _, member := range m.known {
		list = append(list, member)
	}
	m.mu.Unlock()
	m.daemon.mesh.SetMembers(list)
}

// isOutdated reports whether a row with which the store was restored is older than what is known: a
// known daemon's row is missing or names another incarnation, or the daemon has unregistered since.
// Daemons that run register again; the rows of those that have unregistered are removed again. The
// caller holds mu.
func (m *memberTable) isOutdated(row platform.Row, era int64) bool {
	if _, known := m.known[row.Key]; known || m.daemon.mesh.Incarnation(row.Key) != "" {
		return true
	}
	var member cluster.Member
	if row.Deleted || json.Unmarshal(row.Value, &member) != nil || m.left[row.Key] != member.Incarnation {
		return false
	}
	select {
	case m.departed <- departedRow{row, era}:
	default:
		m.daemon.log.Emit(event.LoopFailed, "Task", "register", "Reason", "too many members to remove", "Member", row.Key)
	}
	return true
}

// isListed reports whether a table of members has the row of this incarnation.
func (m *memberTable) isListed(table *mirror.Mirror) bool {
	row, ok := table.Row(m.daemon.settings.Host)
	if !ok {
		return false
	}
	var member cluster.Member
	err := json.Unmarshal(row.Value, &member)
	return err == nil && member.Incarnation == m.daemon.incarnation
}

// reregister makes register write this daemon's row again.
func (m *memberTable) reregister() {
	select {
	case m.lost <- struct{}{}:
	default:
	}
}

// register writes this daemon's row, and again whenever the store has lost it, and removes the rows of
// daemons that have unregistered, until the context ends.
func (m *memberTable) register(ctx context.Context) error {
	value, err := json.Marshal(m.daemon.mesh.Self)
	if err != nil {
		return problem.New(problem.Internal, "encode member: %v", err)
	}
	for ctx.Err() == nil {
		m.writeRow(ctx, value)
		m.awaitLoss(ctx)
	}
	return nil
}

// awaitLoss waits until the store has lost this daemon's row or the context ends.
func (m *memberTable) awaitLoss(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.lost:
			return
		case departed := <-m.departed:
			m.removeRow(ctx, departed.row, departed.era)
		}
	}
}

// removeRow removes the row of another daemon, unless that has registered since. The leader does it;
// without one, all daemons do.
func (m *memberTable) removeRow(ctx context.Context, row platform.Row, era int64) {
	d := m.daemon
	if leader := d.mesh.Leader(); leader != "" && leader != d.settings.Host {
		return
	}
	_, err := d.store.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Table: row.Table, Key: row.Key, Version: row.Version}},
		Removals:   []platform.Row{row},
		Bound:      true,
		Era:        era,
	})
	if err != nil && problem.Of(err) != problem.Conflict {
		d.log.Emit(event.LoopFailed, "Task", "register", "Reason", err.Error(), "Member", row.Key)
	}
}

// writeRow writes this daemon's row; it retries until that succeeds, the daemon has unregistered or
// the context ends.
func (m *memberTable) writeRow(ctx context.Context, value []byte) {
	d := m.daemon
	var retry backoff
	for ctx.Err() == nil && !m.isUnregistered() {
		written, err := d.store.Commit(ctx, platform.Transaction{Puts: []platform.Row{{
			Table: platform.TableMembers, Key: d.settings.Host, Value: value,
		}}})
		if err == nil {
			m.mu.Lock()
			m.written = written
			m.mu.Unlock()
			return
		}
		d.log.Emit(event.LoopFailed, "Task", "register", "Reason", err.Error())
		d.sleep(ctx, retry.next())
	}
}

func (m *memberTable) isUnregistered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unregistered
}

// unregisterTimeout limits the time to remove this daemon's row when it stops.
const unregisterTimeout = time.Second

// unregister removes this daemon's row in the background, once. The store may apply the call seconds later,
// when the next start of the daemon has written its row, so the removal holds for the row of this start only.
// A row whose version isn't known stays: the links tell that the daemon has ended.
func (m *memberTable) unregister() {
	m.mu.Lock()
	done, written := m.unregistered, m.written
	m.unregistered = true
	m.mu.Unlock()
	if done || written.Version == 0 {
		return
	}
	row := platform.Row{Table: platform.TableMembers, Key: m.daemon.settings.Host}
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	go func() {
		defer cancel()
		_, err := m.daemon.store.Commit(ctx, platform.Transaction{
			Conditions: []platform.Condition{{Table: row.Table, Key: row.Key, Version: written.Version}},
			Removals:   []platform.Row{row},
			Bound:      true,
			Era:        written.Era,
		})
		if err != nil && problem.Of(err) != problem.Conflict {
			m.daemon.log.Emit(event.LoopFailed, "Task", "leave", "Reason", err.Error())
		}
	}()
}
