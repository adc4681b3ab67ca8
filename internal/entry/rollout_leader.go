package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/rollout"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/platform"
)

const (
	// rolloutStepInterval is the time between two steps of the deciders.
	rolloutStepInterval = 100 * time.Millisecond
	// rolloutReportInterval is the time between two reports of a daemon to the leader.
	rolloutReportInterval = 250 * time.Millisecond
	// engineGrantInterval is the time for which the leader collects the grants of all daemons, since it
	// chooses the engines of all requests; a grant replaces the one before.
	engineGrantInterval = 500 * time.Millisecond
	// deciderRetryDelay is the time after a refused write until a new decider is made, so that the copies of
	// the tables have caught up.
	deciderRetryDelay = 300 * time.Millisecond
	// leastBound replaces bounds of 0, which rollout.Limits takes for its defaults.
	leastBound = 1e-9
	// rolloutWritesLength limits the writes whose results wait for run.
	rolloutWritesLength = 16
)

// runningDecider is the decider of one rollout with what its writes are conditioned on.
type runningDecider struct {
	*rollout.Decider
	order rollout.Order
	// rowVersion and era are those of the row of the rollouts table, 0 if there is none.
	rowVersion int64
	era        int64
	// engineGrant collects the grants of an engine service since engineGrantAt.
	engineGrant   rollout.Grant
	engineGrantAt time.Time
	// odd is set if the larger half of the last odd grant was for engines.
	odd bool
	// refused is set while the allowance is used up.
	refused bool
	// discardedAt is when the decider was discarded, because the store has refused a write; zero before.
	discardedAt time.Time
}

// rolloutWrite is one write of a decider's state and its result.
type rolloutWrite struct {
	decider *runningDecider
	state   rollout.State
	// status is empty unless the status is written too.
	status platform.RolloutStatus
	// version and era are those of the written row.
	version int64
	era     int64
	// present is the row in the store after a conflict, if read is set; nil if there is none.
	present *platform.Row
	read    bool
	err     error
}

// run reports to the leader and, on the leader, runs the deciders until the context ends.
func (t *rolloutTable) run(ctx context.Context) error {
	ticker := t.daemon.Clock.NewTicker(rolloutStepInterval)
	defer ticker.Stop()
	var reportedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case w := <-t.writes:
			t.written(w)
		case <-ticker.Chan():
			t.daemon.versions.update()
			now := t.daemon.Clock.Now()
			due := now.Sub(reportedAt) >= rolloutReportInterval
			if due {
				reportedAt = now
			}
			t.step(ctx, now, due)
		}
	}
}

// step reports if that is due, and steps the deciders if this daemon leads.
func (t *rolloutTable) step(ctx context.Context, now time.Time, report bool) {
	d := t.daemon
	leader, hosts := d.mesh.Leader(), t.liveHosts()
	if leader == d.settings.Host && len(hosts) == 1 && t.cutOff() {
		leader = ""
	}
	leads := leader == d.settings.Host
	// Readers of tables call this type while they hold their locks, so that theirs come before mu.
	loaded := d.tableReaders[platform.TableRollouts].loaded()
	t.sides.Gate.SetLeader(leader != "")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endLapsed(now)
	if !leads {
		t.deciders = nil
	}
	for service := range t.deciders {
		if t.orders[service] == nil {
			delete(t.deciders, service)
		}
	}
	for service, o := range t.orders {
		if leads && loaded {
			t.prepareDecider(now, service, o)
		}
		if report {
			t.report(now, service, leader)
		}
		if r := t.deciders[service]; leads && r != nil && r.discardedAt.IsZero() {
			t.stepDecider(ctx, now, r, hosts)
		}
	}
}

// cutOff reports whether another daemon may run that this one can't reach. A daemon that is cut off from
// all others elects itself, but decides no rollout: it would judge by its own few requests.
func (t *rolloutTable) cutOff() bool {
	for _, m := range t.daemon.mesh.State() {
		if !t.daemon.mesh.Ended(m.Host) {
			return true
		}
	}
	return false
}

// liveHosts returns the daemons that are alive, this one included.
func (t *rolloutTable) liveHosts() []rollout.Host {
	hosts := []rollout.Host{{Name: t.daemon.settings.Host, DataCentre: t.daemon.settings.DataCentre}}
	for _, m := range t.daemon.mesh.State() {
		if m.Alive {
			hosts = append(hosts, rollout.Host{Name: m.Host, DataCentre: m.DataCentre})
		}
	}
	return hosts
}

// prepareDecider makes the decider of an order if there is none, or renews it. The caller holds mu.
func (t *rolloutTable) prepareDecider(now time.Time, service string, o *rolloutOrder) {
	saved := t.savedState(service, o)
	order := rollout.Order{Service: service, To: o.To, RowVersion: o.row.Version, ReceivedAt: o.receivedAt, Deadline: o.receivedAt.Add(o.Within)}
	if saved.RowVersion == o.row.Version && !saved.Deadline.IsZero() && saved.Deadline.Before(order.Deadline) {
		order.Deadline = saved.Deadline // this daemon may have learned of the order late
	}
	r := t.deciders[service]
	switch {
	case r == nil:
	case !r.discardedAt.IsZero():
		if now.Sub(r.discardedAt) < deciderRetryDelay {
			return
		}
	case r.order.RowVersion == order.RowVersion:
		return
	case r.Renew(order):
		r.order = order
		return
	}
	if t.deciders == nil {
		t.deciders = map[string]*runningDecider{}
	}
	b := t.daemon.settings.Bounds
	limits := rollout.Limits{Share: max(b.ExposeShare, leastBound), Slack: max(b.ExposeSlack, leastBound), RollbackDelay: b.RollbackDelay}
	stored := t.stored[service]
	t.deciders[service] = &runningDecider{Decider: rollout.New(order, limits, saved, now), order: order, rowVersion: stored.version, era: stored.era}
}

// savedState returns the stored state of a service, ahead of which the phase that the gate knows and the
// budget of an earlier era of the store may be. The caller holds mu.
func (t *rolloutTable) savedState(service string, o *rolloutOrder) rollout.State {
	saved := t.stored[service].state
	if lost, ok := t.lost[service]; ok && lost.To == o.To && lost.RowVersion == o.row.Version {
		if saved.RowVersion != lost.RowVersion {
			saved = lost
		}
		saved.Granted, saved.Phase = max(saved.Granted, lost.Granted), saved.Phase.Raise(lost.Phase)
	}
	r, ok := t.sides.Rollout(service)
	if !ok || r.RowVersion != o.row.Version || r.Phase == rollout.Canary {
		return saved
	}
	if saved.To != o.To || saved.RowVersion != o.row.Version {
		saved = rollout.State{
			Service: service, To: o.To, RowVersion: o.row.Version, Granted: saved.Granted, StartedAt: o.receivedAt,
			Deadline: o.receivedAt.Add(o.Within), Withheld: r.Withheld, Reason: "announced by a former leader",
		}
	}
	saved.Phase = saved.Phase.Raise(r.Phase)
	return saved
}

// report sends this daemon's report on a service to the leader. The caller holds mu.
func (t *rolloutTable) report(now time.Time, service, leader string) {
	d := t.daemon
	report := t.sides.Report(now, service)
	report.Host, report.Incarnation = d.settings.Host, d.incarnation
	switch {
	case leader == "":
	case leader != d.settings.Host:
		d.mesh.Send(leader, encodeReport(service, report))
	case t.deciders[service] != nil:
		t.deciders[service].Receive(now, report)
	}
}

// receiveReport handles a report of another daemon. If the daemon doesn't know the phase yet, it is sent
// again.
func (t *rolloutTable) receiveReport(from string, m *clusterpb.RolloutReport) {
	now := t.daemon.Clock.Now()
	report := decodeReport(from, m)
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.deciders[m.GetService()]; r != nil {
		r.Receive(now, report)
	}
	if r, ok := t.sides.Rollout(m.GetService()); ok && r.RowVersion == report.RowVersion && r.Phase > report.Phase && t.deciders != nil {
		t.daemon.mesh.Send(from, encodePhase(r))
	}
}

// stepDecider steps one decider and hands out its grants. The caller holds mu.
func (t *rolloutTable) stepDecider(ctx context.Context, now time.Time, r *runningDecider, hosts []rollout.Host) {
	service := r.order.Service
	view := rollout.View{Leads: true, Hosts: hosts}
	if split, ok := t.sides.Split(service); ok {
		view.OldRegistered = len(split.Old) > 0
		for _, target := range split.Old {
			if target.Usable() {
				view.OldTargets++
			}
		}
		for _, target := range split.New {
			if target.Usable() && (!target.Cold || split.Rollout.Phase != rollout.Canary) {
				view.NewTargets++
			}
		}
	}
	for _, action := range r.Step(now, view) {
		switch a := action.(type) {
		case rollout.SaveState:
			t.startWrite(ctx, rolloutWrite{decider: r, state: a.State})
		case rollout.WriteStatus:
			t.startWrite(ctx, rolloutWrite{decider: r, state: a.State, status: platform.RolloutStatus(a.Status)})
		case rollout.EnterPhase:
			t.enterPhase(r, a)
		}
	}
	t.handOutGrants(now, r, hosts)
	s := r.Summary()
	refused := s.Phase == rollout.Canary && s.Allowed-float64(s.Granted) < 1
	if refused && !r.refused {
		if t.refusals == nil {
			t.refusals = map[string]int64{}
		}
		t.refusals[service]++
		t.daemon.log.Emit(event.RolloutGrantRefused, "Service", service, "Version", s.To, "Granted", s.Granted, "Allowed", s.Allowed, "Reached", s.Reached)
	}
	r.refused = refused
}

// enterPhase announces a phase to this and the other daemons. The caller holds mu.
func (t *rolloutTable) enterPhase(r *runningDecider, a rollout.EnterPhase) {
	s := r.Summary()
	t.daemon.log.Emit(event.RolloutVerdict, "Service", s.Service, "Version", s.To, "Order", s.RowVersion, "Phase", a.Phase.String(), "Reason", a.Reason,
		"Verdict", s.Verdict.String(), "Reached", s.Reached, "Granted", s.Granted, "Routes", s.Routes)
	t.sides.Gate.SetPhase(s.Service, r.order.RowVersion, a.Phase)
	t.phasesChanged("Self")
	if known, ok := t.sides.Rollout(s.Service); ok {
		t.daemon.mesh.Broadcast(encodePhase(known))
	}
}

// handOutGrants gives each daemon its grant. The leader uses the part for engines itself, since it chooses
// the engines of all requests. The caller holds mu.
func (t *rolloutTable) handOutGrants(now time.Time, r *runningDecider, hosts []rollout.Host) {
	for _, h := range hosts {
		grant := r.Grant(now, h.Name)
		if grant.Requests == 0 {
			continue
		}
		if engines := t.enginePart(r, grant.Requests); engines > 0 {
			if r.engineGrant.Requests == 0 {
				r.engineGrantAt, r.engineGrant.ValidFor = now, grant.ValidFor
			}
			r.engineGrant.Requests += engines
			r.engineGrant.Targets = grant.Targets
			grant.Requests -= engines
		}
		t.sendGrant(h.Name, r, grant)
	}
	if r.engineGrant.Requests > 0 && now.Sub(r.engineGrantAt) >= engineGrantInterval {
		t.useGrant(r.order.Service, r.order.RowVersion, r.engineGrant)
		r.engineGrant = rollout.Grant{}
	}
}

// sendGrant gives a daemon a grant. The leader's own one is added to that for engines if there is one, since
// each grant replaces the one before. The caller holds mu.
func (t *rolloutTable) sendGrant(host string, r *runningDecider, grant rollout.Grant) {
	switch {
	case grant.Requests == 0:
	case host != t.daemon.settings.Host:
		t.daemon.mesh.Send(host, &clusterpb.Envelope{Kind: &clusterpb.Envelope_RolloutGrant{RolloutGrant: &clusterpb.RolloutGrant{
			Service: r.order.Service, Order: r.order.RowVersion, Requests: int64(grant.Requests), ValidForMillis: grant.ValidFor.Milliseconds(), Targets: int64(grant.Targets),
		}}})
	case r.engineGrant.Requests > 0:
		r.engineGrant.Requests += grant.Requests
	default:
		t.useGrant(r.order.Service, r.order.RowVersion, grant)
	}
}

// enginePart returns the part of a grant that is for requests whose targets the leader chooses: all, none, or
// half if the service has routes of both kinds.
func (t *rolloutTable) enginePart(r *runningDecider, requests int) int {
	table := t.daemon.routeTable.Load()
	if table == nil {
		return 0
	}
	plain, generating := table.Kinds(r.order.Service)
	switch {
	case !generating:
		return 0
	case !plain:
		return requests
	default:
		r.odd = !r.odd && requests%2 == 1
		if r.odd {
			return requests/2 + 1
		}
		return requests / 2
	}
}

// startWrite writes a state in the background; run handles the result. The caller holds mu.
func (t *rolloutTable) startWrite(ctx context.Context, w rolloutWrite) {
	conditions := []platform.Condition{{Table: platform.TableRollouts, Key: w.state.Service, Version: w.decider.rowVersion}}
	if w.status != "" {
		conditions = append(conditions, platform.RolloutOrderCondition(w.state.Service, w.decider.order.RowVersion))
	}
	era, bound := w.decider.era, w.decider.rowVersion != 0
	go func() {
		w = t.commit(ctx, w, platform.Transaction{Conditions: conditions, Era: era, Bound: bound})
		select {
		case t.writes <- w:
		case <-ctx.Done():
		}
	}()
}

// commit writes a state, and its status if there is one, under the conditions of the transaction. After a
// conflict it reads the present row, and also if it isn't known whether Succeeded was written: until then the
// rollout must not be rolled back.
func (t *rolloutTable) commit(ctx context.Context, w rolloutWrite, tx platform.Transaction) rolloutWrite {
	store := t.daemon.store
	value, err := json.Marshal(w.state)
	if err != nil {
		w.err = problem.New(problem.Internal, "encode rollout: %v", err)
		return w
	}
	tx.Puts = append(tx.Puts, platform.Row{Table: platform.TableRollouts, Key: w.state.Service, Value: value})
	if w.status != "" {
		row, err := platform.EncodeRolloutStatus(w.state.Service, w.state.To, w.status)
		if err != nil {
			w.err = err
			return w
		}
		tx.Puts = append(tx.Puts, row)
	}
	rows, err := store.Commit(ctx, tx)
	w.version, w.era, w.err = rows.Version, rows.Era, err
	succeeds := w.state.Phase == rollout.Succeeded
	if err == nil || problem.Of(err) != problem.Conflict && !succeeds {
		return w
	}
	var present platform.Rows
	var retry backoff
	for {
		if present, err = store.Read(ctx, platform.TableRollouts); err == nil {
			break
		}
		t.daemon.log.Emit(event.LoopFailed, "Task", "rollouts", "Reason", err.Error())
		if !succeeds || ctx.Err() != nil {
			return w
		}
		t.daemon.sleep(ctx, retry.next())
	}
	w.era, w.read = present.Era, true
	for _, row := range present.Rows {
		if row.Key != w.state.Service {
			continue
		}
		w.present = &row
		// The answer to an earlier attempt of this write was lost.
		if (w.status == "" || succeeds) && row.Version != tx.Conditions[0].Version && bytes.Equal(row.Value, value) {
			w.version, w.err = row.Version, nil
		}
	}
	return w
}

// written handles the result of a write.
func (t *rolloutTable) written(w rolloutWrite) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, service := t.daemon.Clock.Now(), w.state.Service
	if w.err == nil {
		if t.stored == nil {
			t.stored = map[string]storedRollout{}
		}
		t.stored[service] = storedRollout{state: w.state, version: w.version, era: w.era}
		w.decider.rowVersion, w.decider.era = w.version, w.era
		w.decider.Saved(now, w.state)
		if w.status != "" {
			t.daemon.log.Emit(event.RolloutStatusWritten, "Service", service, "Version", w.state.To, "Order", w.state.RowVersion, "Status", string(w.status), "Reason", w.state.Reason)
		}
		t.passToGate()
		return
	}
	conflict := problem.Of(w.err) == problem.Conflict || w.read
	t.daemon.log.Emit(event.RolloutStateRefused, "Service", service, "Version", w.state.To, "Order", w.state.RowVersion, "Conflict", conflict, "Reason", w.err.Error())
	w.decider.SaveFailed(now)
	if !conflict {
		return
	}
	w.decider.discardedAt = now
	if !w.read {
		return
	}
	before := t.stored[service]
	if w.era > before.era {
		// What was written since the store's copy was made is lost there, but still holds.
		if t.lost == nil {
			t.lost = map[string]rollout.State{}
		}
		t.lost[service] = before.state
	}
	delete(t.stored, service)
	if w.present != nil {
		t.putStored(*w.present, w.era)
	}
	t.passToGate()
}
