package inventory

import (
	"time"
)

// noticeRetention is how long notices of a target are stored that isn't listed any more. Its row may
// be missing for a while and come back, for example after an outage of the store.
const noticeRetention = 10 * time.Minute

// notices hold what targets have told this daemon in their answers. A notice belongs to one start of
// a target. The zero value is empty.
type notices struct {
	// leavingSince holds when each start said that it leaves.
	leavingSince map[startID]time.Time
	// held holds until when each start wants no requests of this daemon.
	held map[startID]time.Time
}

func (n *notices) leaving(s startID) bool {
	_, ok := n.leavingSince[s]
	return ok
}

// heldUntil returns the end of the hold of a start, or the zero time if it has none.
func (n *notices) heldUntil(now time.Time, s startID) time.Time {
	if until := n.held[s]; now.Before(until) {
		return until
	}
	return time.Time{}
}

// forget removes the notices of a start.
func (n *notices) forget(s startID) {
	delete(n.leavingSince, s)
	delete(n.held, s)
}

// removeOld removes holds that have ended, and notices of starts that aren't listed any more.
func (n *notices) removeOld(now time.Time, listed func(startID) bool) {
	for s, until := range n.held {
		if !now.Before(until) {
			delete(n.held, s)
		}
	}
	for s, since := range n.leavingSince {
		if now.Sub(since) > noticeRetention && !listed(s) {
			delete(n.leavingSince, s)
		}
	}
}

// MarkLeaving records that a start of a target has said in an answer that it leaves; it gets no new
// work any more. It reports whether that is news.
func (inv *Inventory) MarkLeaving(id string, startUnixMillis int64) bool {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	s := startID{id, startUnixMillis}
	if inv.notices.leaving(s) {
		return false
	}
	now := inv.Clock.Now()
	inv.notices.removeOld(now, inv.listed)
	if inv.notices.leavingSince == nil {
		inv.notices.leavingSince = map[startID]time.Time{}
	}
	inv.notices.leavingSince[s] = now
	inv.version++
	return true
}

// Hold records that a start of a target wants no requests of this daemon for a time.
func (inv *Inventory) Hold(id string, startUnixMillis int64, wait time.Duration) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	now := inv.Clock.Now()
	inv.notices.removeOld(now, inv.listed)
	if inv.notices.held == nil {
		inv.notices.held = map[startID]time.Time{}
	}
	s := startID{id, startUnixMillis}
	if until := now.Add(wait); until.After(inv.notices.held[s]) {
		inv.notices.held[s] = until
		inv.version++
	}
}

// listed reports whether the start is that of a known target. The caller holds mu.
func (inv *Inventory) listed(s startID) bool {
	t := inv.targets[s.id]
	return t != nil && t.report.StartUnixMillis == s.startUnixMillis
}
