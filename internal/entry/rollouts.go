package entry

import (
	"bytes"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/canary"
	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/rollout"
	"github.com/sequoiapick/sequoiapick/internal/rollout/gate"
	"github.com/sequoiapick/sequoiapick/platform"
)

// rolloutTable holds the rollouts that operators have ordered. On each daemon it passes them and their
// phases to the gate; on the leader it runs their deciders, see rollout_leader.go. It is used only if the
// settings list the contract.
type rolloutTable struct {
	daemon *Daemon
	sides  *canary.Sides
	// writes receives the results of calls to the store.
	writes chan rolloutWrite

	mu     sync.Mutex
	orders map[string]*rolloutOrder
	// stored holds the rows of the rollouts table by service.
	stored map[string]storedRollout
	// lost holds states by service that were stored in an earlier era of the store.
	lost map[string]rollout.State
	// deciders holds the deciders of this daemon by service; it is empty unless this daemon leads.
	deciders map[string]*runningDecider
	// refusals counts by service how often no daemon was granted a request.
	refusals map[string]int64
	// generation rises with every change that affects the choice of targets. It isn't guarded by mu, since the
	// leader uses its own grants while it holds mu.
	generation atomic.Uint64
}

// rolloutOrder is an order that is in force.
type rolloutOrder struct {
	platform.RolloutOrder
	row platform.Row
	// receivedAt is when this daemon learned of the row.
	receivedAt time.Time
	// withheld are the versions of earlier orders that haven't succeeded.
	withheld []string
	// lapsesAt is when the order ends or is replaced by next, because the store was restored without it; zero
	// if it doesn't. Operators write such orders again.
	lapsesAt time.Time
	next     *platform.Row
	// phase is the least phase of the rollout, see putOrder.
	phase rollout.Phase
	// loggedPhase is the phase that was logged last.
	loggedPhase rollout.Phase
}

// storedRollout is a row of the rollouts table.
type storedRollout struct {
	state   rollout.State
	version int64
	era     int64
}

// createRollouts sets rollouts and versions. Without the contract the daemon knows no rollouts.
func (d *Daemon) createRollouts() {
	d.rollouts = rolloutTable{daemon: d, writes: make(chan rolloutWrite, rolloutWritesLength)}
	d.versions = versionTable{daemon: d}
	if d.settings.Contracts.Rollout {
		d.rollouts.sides = &canary.Sides{Inventory: d.inventory, Clock: d.Clock}
	}
	d.scheduler.Rollouts = d.rollouts.sides
}

// orderedVersion returns the version to which operators have ordered a rollout of the service, empty if
// there is no order.
func (t *rolloutTable) orderedVersion(service string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.orders[service]; o != nil {
		return o.To
	}
	return ""
}

// applyOrders handles rows of the operators' table; those that are no orders of rollouts are ignored. An
// order that is missing or replaced after the store was restored stays in force for a grace period.
func (t *rolloutTable) applyOrders(changes []platform.Row, source updateSource) {
	if source.restored {
		// Rows that were written again with the same value aren't among the changes.
		changes = slices.Concat(changes, source.table.Rows())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range changes {
		service, ok := platform.RolloutService(row)
		if !ok {
			continue
		}
		known := t.orders[service]
		if known != nil && row.Version == known.row.Version && bytes.Equal(row.Value, known.row.Value) {
			known.lapsesAt = time.Time{}
			continue
		}
		if known != nil && source.restored && (row.Deleted || row.Version <= known.row.Version) {
			known.lapsesAt, known.next = t.daemon.Clock.Now().Add(rolloutOrderGrace), nil
			if !row.Deleted {
				known.next = &row
			}
			t.daemon.log.Emit(event.RolloutLapsed, "Service", service, "Version", known.To, "Order", known.row.Version)
			continue
		}
		t.putOrder(service, row, rollout.Canary)
	}
	t.passToGate()
}

// rolloutOrderGrace is how long an order stays in force that is missing since the store was restored from
// an older copy. Operators write it again.
const rolloutOrderGrace = 10 * time.Second

// putOrder replaces or ends the order of a service by a row. A malformed row is skipped, so that the order
// before it stays in force. If the order is to the same version, its rollout has at least the phase. The
// caller holds mu.
func (t *rolloutTable) putOrder(service string, row platform.Row, phase rollout.Phase) {
	known := t.orders[service]
	if row.Deleted {
		if known != nil {
			delete(t.orders, service)
			t.daemon.log.Emit(event.RolloutEnded, "Service", service, "Version", known.To, "Order", known.row.Version)
		}
		return
	}
	order, err := platform.DecodeRolloutOrder(row)
	if err != nil {
		t.daemon.log.Emit(event.RolloutMalformed, "Row", row.Key, "Reason", err.Error())
		return
	}
	o := &rolloutOrder{RolloutOrder: order, row: row, receivedAt: t.daemon.Clock.Now()}
	if known != nil {
		if known.To == o.To {
			o.phase = phase
		}
		o.withheld = append(o.withheld, known.withheld...)
		if r, ok := t.sides.Rollout(service); known.To != o.To && (!ok || r.Phase != rollout.Succeeded) {
			o.withheld = append(o.withheld, known.To)
		}
		if row.Version < known.row.Version {
			// The version went back with a restore of the store. The gate takes rows as newer by their version.
			delete(t.orders, service)
			t.passToGate()
		}
	}
	o.withheld = slices.DeleteFunc(o.withheld, func(version string) bool { return version == o.To })
	if t.orders == nil {
		t.orders = map[string]*rolloutOrder{}
	}
	t.orders[service] = o
	t.daemon.log.Emit(event.RolloutStarted, "Service", service, "Version", o.To, "Order", row.Version, "Millis", o.Within.Milliseconds())
}

// endLapsed ends the orders whose grace period is over. The caller holds mu.
func (t *rolloutTable) endLapsed(now time.Time) {
	for service, o := range t.orders {
		if o.lapsesAt.IsZero() || now.Before(o.lapsesAt) {
			continue
		}
		next := platform.Row{Key: o.row.Key, Deleted: true}
		if o.next != nil {
			next = *o.next
		}
		// An older row of the same order must not undo a roll-back.
		r, _ := t.sides.Rollout(service)
		o.lapsesAt = time.Time{}
		t.putOrder(service, next, r.Phase)
		t.passToGate()
	}
}

// passToGate passes the orders to the gate, with the phases that the store has for them. The caller holds
// mu.
func (t *rolloutTable) passToGate() {
	list := make([]gate.Rollout, 0, len(t.orders))
	for service, o := range t.orders {
		r := gate.Rollout{Service: service, To: o.To, RowVersion: o.row.Version, Phase: o.phase, Withheld: o.withheld}
		if s, ok := t.stored[service]; ok && s.state.To == o.To {
			if s.state.RowVersion == o.row.Version {
				r.Phase = s.state.Phase.Raise(o.phase)
			}
			r.Withheld = mergeVersions(r.Withheld, s.state.Withheld, o.To)
		}
		list = append(list, r)
	}
	t.sides.Gate.SetRollouts(list)
	t.phasesChanged("Store")
}

// mergeVersions returns the versions of both lists, without the version to.
func mergeVersions(a, b []string, to string) []string {
	merged := slices.Concat(a, b)
	slices.Sort(merged)
	return slices.DeleteFunc(slices.Compact(merged), func(v string) bool { return v == to })
}

// phasesChanged logs the phases that the gate has entered, with their source, and makes the scheduler learn
// of them. The caller holds mu.
func (t *rolloutTable) phasesChanged(source string) {
	t.generation.Add(1)
	for service, o := range t.orders {
		r, ok := t.sides.Rollout(service)
		if ok && r.Phase != o.loggedPhase {
			o.loggedPhase = r.Phase
			t.daemon.log.Emit(event.RolloutPhaseChanged, "Service", service, "Version", r.To, "Order", r.RowVersion, "Phase", r.Phase.String(), "Source", source)
		}
	}
}

// applyRows handles rows of the rollouts table. Rows of a restored store are older than what is known; the
// leader writes them again.
func (t *rolloutTable) applyRows(changes []platform.Row, source updateSource) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range changes {
		if row.Deleted {
			delete(t.stored, row.Key)
			continue
		}
		t.putStored(row, source.era)
	}
	t.passToGate()
}

// putStored stores a row of the rollouts table unless a newer one is known. The caller holds mu.
func (t *rolloutTable) putStored(row platform.Row, era int64) {
	if known, ok := t.stored[row.Key]; ok && (known.era > era || known.era == era && known.version >= row.Version) {
		return
	}
	var s rollout.State
	if err := json.Unmarshal(row.Value, &s); err != nil || s.Service != row.Key {
		t.daemon.log.Emit(event.RolloutMalformed, "Table", platform.TableRollouts, "Row", row.Key)
		return
	}
	if t.stored == nil {
		t.stored = map[string]storedRollout{}
	}
	t.stored[row.Key] = storedRollout{state: s, version: row.Version, era: era}
}

// leaderChanged handles the loss of the leader; step handles a new one.
func (t *rolloutTable) leaderChanged(leader string) {
	if leader == "" {
		t.sides.Gate.SetLeader(false)
	}
}

// receive handles a message about a rollout.
func (t *rolloutTable) receive(from string, e *clusterpb.Envelope) {
	switch k := e.GetKind().(type) {
	case *clusterpb.Envelope_RolloutReport:
		t.receiveReport(from, k.RolloutReport)
	case *clusterpb.Envelope_RolloutGrant:
		t.receiveGrant(from, k.RolloutGrant)
	case *clusterpb.Envelope_RolloutPhase:
		t.receivePhase(from, k.RolloutPhase)
	}
}

// receivePhase handles a phase that another daemon has announced. An order that is no longer in the copy
// of the operators' table has ended.
func (t *rolloutTable) receivePhase(from string, m *clusterpb.RolloutPhase) {
	_, version, _ := t.daemon.tableReaders[platform.TableOperator].position()
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.orders[m.GetService()]
	listed := o != nil && o.row.Version >= m.GetOrder()
	if !listed && version >= m.GetOrder() || m.GetPhase() < 0 || m.GetPhase() > int32(rollout.RolledBack) {
		return
	}
	r := gate.Rollout{Service: m.GetService(), To: m.GetVersion(), RowVersion: m.GetOrder(), Phase: rollout.Phase(m.GetPhase()), Withheld: m.GetWithheld()}
	before, _ := t.sides.Rollout(r.Service)
	t.sides.Gate.Announce(r)
	if after, _ := t.sides.Rollout(r.Service); after.Phase != before.Phase || after.RowVersion != before.RowVersion {
		t.phasesChanged(from)
	}
}

// receiveGrant handles a grant of the leader; those of other daemons are ignored.
func (t *rolloutTable) receiveGrant(from string, m *clusterpb.RolloutGrant) {
	if from != t.daemon.mesh.Leader() {
		return
	}
	t.useGrant(m.GetService(), m.GetOrder(), rollout.Grant{
		Requests: int(m.GetRequests()),
		ValidFor: min(time.Duration(m.GetValidForMillis())*time.Millisecond, maxGrantTime),
		Targets:  int(m.GetTargets()),
	})
}

// maxGrantTime is the longest time for which a grant is valid. A daemon that is cut off from the leader
// stops sending to the new version within it.
const maxGrantTime = 1500 * time.Millisecond

// useGrant passes a grant to the gate.
func (t *rolloutTable) useGrant(service string, order int64, grant rollout.Grant) {
	before := t.sides.Gate.Targets(service)
	t.sides.Gate.SetGrant(service, order, grant, t.daemon.Clock.Now())
	if t.sides.Gate.Targets(service) != before {
		t.generation.Add(1)
	}
}

// announce sends the final phases that this daemon knows to another one, which may have missed them.
func (t *rolloutTable) announce(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service := range t.orders {
		if r, ok := t.sides.Rollout(service); ok && r.Phase.Final() {
			t.daemon.mesh.Send(host, encodePhase(r))
		}
	}
}

// version returns a number that rises with every change that affects the choice of targets; 0 without the
// contract.
func (t *rolloutTable) version() uint64 {
	return t.generation.Load()
}
