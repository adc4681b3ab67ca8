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

const (
	// operatorWait is how long a read of the operators' table waits for a change. A daemon
	// that reads in place of a silent one must still have a version in force within 2 s.
	operatorWait = 400 * time.Millisecond
	// operatorPatience is the age at which a daemon that doesn't lead reads.
	operatorPatience = 950 * time.Millisecond
	// targetsInterval is the time between two reads of the targets' entries; a leaving
	// target must be left within 2 s.
	targetsInterval = 400 * time.Millisecond
	targetsPatience = 900 * time.Millisecond
	// membersWait and membersPatience suit a table that changes with starts and stops only.
	membersWait     = 2 * time.Second
	membersPatience = 4 * time.Second
)

// makeReaders prepares the copies of the store's tables.
func (h *Daemon) makeReaders() {
	reader := func(table string, wait, interval, patience time.Duration, apply func([]platform.Row, bool)) *tableReader {
		return &tableReader{
			host:       h,
			table:      table,
			wait:       wait,
			interval:   interval,
			patience:   patience,
			lapseAfter: 2 * h.settings.Heartbeat,
			apply:      apply,
			wake:       make(chan struct{}, 1),
		}
	}
	h.readers = map[string]*tableReader{
		platform.TableOperator: reader(platform.TableOperator, operatorWait, 0, operatorPatience, h.applyOperators),
		platform.TableTargets:  reader(platform.TableTargets, 0, targetsInterval, targetsPatience, h.applyTargets),
		platform.TableMembers:  reader(platform.TableMembers, membersWait, 0, membersPatience, h.members.apply),
	}
}

// applyOperators takes the configuration and the data centres that are taken out.
func (h *Daemon) applyOperators(changes []platform.Row, _ bool) {
	for _, row := range changes {
		decoded, err := platform.DecodeOperatorRow(row)
		if err != nil {
			h.log.Emit(event.ConfigurationStale, "Row", row.Key, "Reason", err.Error())
			continue
		}
		switch d := decoded.(type) {
		case platform.Configuration:
			h.raise(d)
		case platform.Evacuation:
			h.inventory.SetDataCentreOut(d.DataCentre, d.Out)
			e := event.DataCentreIn
			if d.Out {
				e = event.DataCentreOut
			}
			h.log.Emit(e, "DataCentre", d.DataCentre, "Version", row.Version)
		}
	}
}

// raise puts a configuration in force unless a newer one is.
func (h *Daemon) raise(c platform.Configuration) {
	if old := h.table.Load(); old != nil && c.Table.Version <= old.Version {
		return
	}
	h.table.Store(c.Table)
	h.log.Emit(event.ConfigurationRaised, "Version", c.Table.Version, "Routes", len(c.Table.Routes))
}

// applyTargets takes what targets report.
func (h *Daemon) applyTargets(changes []platform.Row, lapsed bool) {
	for _, row := range changes {
		if row.Deleted {
			h.inventory.Remove(row.Key, lapsed)
			continue
		}
		report, err := platform.DecodeTarget(row)
		if err != nil {
			h.log.Emit(event.TargetMalformed, "Target", row.Key, "Reason", err.Error())
			h.inventory.Remove(row.Key, false)
			continue
		}
		h.inventory.ApplyReport(report)
	}
}

// members knows the other daemons by their rows and by what links tell.
type members struct {
	host *Daemon

	mu    sync.Mutex
	known map[string]cluster.Member
	left  bool
}

// apply takes the rows of daemons.
func (m *members) apply(changes []platform.Row, _ bool) {
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
			m.host.log.Emit(event.TargetMalformed, "Member", row.Key)
			continue
		}
		m.known[row.Key] = member
	}
	list := make([]cluster.Member, 0, len(m.known))
	for _, member := range m.known {
		list = append(list, member)
	}
	m.mu.Unlock()
	m.host.mesh.SetMembers(list)
}

// register writes this daemon's row, and tries until it succeeds.
func (m *members) register(ctx context.Context) error {
	h := m.host
	value, err := json.Marshal(h.mesh.Self)
	if err != nil {
		return problem.New(problem.Internal, "encode member: %v", err)
	}
	var wait backoff
	for ctx.Err() == nil {
		_, err = h.store.Commit(ctx, platform.Transaction{Puts: []platform.Row{{
			Table: platform.TableMembers, Key: h.settings.Host, Value: value,
		}}})
		if err == nil {
			return nil
		}
		h.log.Emit(event.LoopFailed, "Task", "register", "Reason", err.Error())
		h.sleep(ctx, wait.next())
	}
	return nil
}

// leaveTimeout bounds the removal of this daemon's row at a stop.
const leaveTimeout = time.Second

// leave removes this daemon's row.
func (m *members) leave() {
	m.mu.Lock()
	left := m.left
	m.left = true
	m.mu.Unlock()
	if left {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	go func() {
		defer cancel()
		_, err := m.host.store.Commit(ctx, platform.Transaction{Removals: []platform.Row{{
			Table: platform.TableMembers, Key: m.host.settings.Host,
		}}})
		if err != nil {
			m.host.log.Emit(event.LoopFailed, "Task", "leave", "Reason", err.Error())
		}
	}()
}
