package rollout

import "time"

// write is the state of the writes to the store. There is one at a time, each under the condition that the
// row has not changed, so that the decider of an earlier leader can neither reserve budget nor enter Switching
// or Succeeded.
type write struct {
	// proposed is the phase that holds once it is saved, in this Step only.
	proposed       Phase
	proposedReason string
	// inProgress is the state that is being written, nil if none, withStatus the status written with it.
	inProgress *State
	withStatus string
	// retryAt is when the next write may begin.
	retryAt time.Time
	// saved is set once this decider has written the present order's state: it isn't a stale one.
	saved bool
	// phase and status are those in the store, as far as this decider has written them.
	phase  Phase
	status string
}

// propose asks for a phase that must be saved before it holds.
func (w *write) propose(p Phase, reason string) { w.proposed, w.proposedReason = p, reason }

// finishes reports whether the outcome of a write of Succeeded is still open.
func (w *write) finishes() bool { return w.inProgress != nil && w.inProgress.Phase == Succeeded }

// actions returns the announcement and the write that the present state requires.
func (d *Decider) actions(now time.Time) []Action {
	var list []Action
	if d.announced != d.state.Phase {
		d.announced = d.state.Phase
		list = append(list, EnterPhase{d.state.Phase, d.state.Reason})
	}
	w := &d.write
	if w.inProgress != nil || now.Before(w.retryAt) {
		return list
	}
	next := d.state
	next.Granted = d.budget.reserved
	if w.proposed > next.Phase && !next.Phase.Final() {
		next.Phase, next.Reason = w.proposed, w.proposedReason
	}
	block := int64(0)
	if next.Phase == Canary {
		block = d.budget.block(d.available())
	}
	if block > 0 {
		next.Granted = block
	}
	status := next.Phase.Status()
	writeStatus := status != w.status && (next.Phase != RolledBack || d.rollbackInForce(now))
	if !writeStatus && w.saved && block == 0 && next.Phase == w.phase {
		return list
	}
	w.inProgress = &next
	if !writeStatus {
		return append(list, SaveState{next})
	}
	w.withStatus = status
	return append(list, WriteStatus{next, status})
}

// rollbackInForce reports whether no daemon with a link to this one sends requests to the new version any more.
func (d *Decider) rollbackInForce(now time.Time) bool {
	return d.ledger.applied(d.view.Hosts, RolledBack) || now.Sub(d.rolledBackAt) > grantTime+announceTime
}

// Saved tells that the state of a SaveState or WriteStatus was written.
func (d *Decider) Saved(now time.Time, s State) {
	w := &d.write
	if w.withStatus != "" {
		w.status = w.withStatus
	}
	w.inProgress, w.withStatus, w.retryAt = nil, "", time.Time{}
	w.phase = s.Phase
	d.budget.reserved = max(d.budget.reserved, s.Granted)
	d.state.Granted = d.budget.reserved
	w.saved = s.RowVersion == d.state.RowVersion && s.Deadline.Equal(d.state.Deadline)
	d.raise(now, s.Phase, s.Reason)
}

// SaveFailed tells that a write was not done since the store couldn't be reached; Step asks again later. If the
// outcome is unknown, or the write was refused because a row has changed, the caller discards the decider and
// makes a new one from the present rows.
func (d *Decider) SaveFailed(now time.Time) {
	w := &d.write
	w.inProgress, w.withStatus = nil, ""
	w.retryAt = now.Add(retryInterval)
}
