package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/platform"
)

// memberTable holds the members of the platform's members table, and registers this daemon there.
type memberTable struct {
	daemon *Daemon

	mu           sync.Mutex
	known        map[string]cluster.Member
	unregistered bool
}

// applyRows handles rows of the members table, each of which holds one daemon.
func (m *memberTable) applyRows(changes []platform.Row, _ updateSource) {
	m.mu.Lock()
	if m.known == nil {
		m.known = map[string]cluster.Member{}
	}
	for _, row := range changes {
		if row.Deleted {
			delete(m.known, row.Key)
			continue
		}
		var member cluster.Member
		if err := json.Unmarshal(row.Value, &member); err != nil || member.Host != row.Key {
			m.daemon.log.Emit(event.TargetMalformed, "Member", row.Key)
			continue
		}
		m.known[row.Key] = member
	}
	list := make([]cluster.Member, 0, len(m.known))
	for _, member := range m.known {
		list = append(list, member)
	}
	m.mu.Unlock()
	m.daemon.mesh.SetMembers(list)
}

// register writes this daemon's row; it retries until that succeeds or the context ends.
func (m *memberTable) register(ctx context.Context) error {
	d := m.daemon
	value, err := json.Marshal(d.mesh.Self)
	if err != nil {
		return problem.New(problem.Internal, "encode member: %v", err)
	}
	var retry backoff
	for ctx.Err() == nil {
		_, err = d.store.Commit(ctx, platform.Transaction{Puts: []platform.Row{{
			Table: platform.TableMembers, Key: d.settings.Host, Value: value,
		}}})
		if err == nil {
			return nil
		}
		d.log.Emit(event.LoopFailed, "Task", "register", "Reason", err.Error())
		d.sleep(ctx, retry.next())
	}
	return nil
}

// unregisterTimeout limits the time to remove this daemon's row when it stops.
const unregisterTimeout = time.Second

// unregister removes this daemon's row in the background, once.
func (m *memberTable) unregister() {
	m.mu.Lock()
	done := m.unregistered
	m.unregistered = true
	m.mu.Unlock()
	if done {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	go func() {
		defer cancel()
		_, err := m.daemon.store.Commit(ctx, platform.Transaction{Removals: []platform.Row{{
			Table: platform.TableMembers, Key: m.daemon.settings.Host,
		}}})
		if err != nil {
			m.daemon.log.Emit(event.LoopFailed, "Task", "leave", "Reason", err.Error())
		}
	}()
}
