// Package rollout decides how much of a service's traffic a new version of its targets gets, and whether
// the rollout succeeds or is rolled back. It does no I/O, starts no goroutines and reads no clock.
//
// The decider of a rollout runs on the leader. Daemons report what they have seen of both versions; the
// decider grants them requests to the new version, within a budget that follows from the reports, compares
// the versions by route with a sequential test, and raises the phase. See docs/design/rollout.md.
//
// # Usage
//
//	d := rollout.New(order, limits, saved, now) // saved is the zero State if there is none
//	d.Receive(now, report)                      // for each report of a daemon
//	for _, a := range d.Step(now, view) {       // each 100 ms or so
//		switch a := a.(type) {
//		case rollout.SaveState:   // write a.State if the row is unchanged, then d.Saved(now, a.State) or d.SaveFailed(now)
//		case rollout.EnterPhase:  // send the phase to all daemons
//		case rollout.WriteStatus: // one transaction over order, state and status, then d.Saved or d.SaveFailed
//		}
//	}
//	grant := d.Grant(now, host) // after Step, for each live host; send it if grant.Requests > 0
//
// If a write is refused because the row has changed, another decider is at work or the order was replaced:
// the caller discards the decider and makes a new one from the present rows.
package rollout

import "time"

// Order is an operator's order to move the traffic of Service to targets of version To until Deadline.
type Order struct {
	Service, To string
	// RowVersion is the version of the order's row in the store. It identifies the order.
	RowVersion int64
	// ReceivedAt is when this process learned of the order. It may be later than the order itself, by which
	// the canary analysis becomes shorter.
	ReceivedAt, Deadline time.Time
}

// Limits bound the requests that a bad version may get. Zero fields have the default.
type Limits struct {
	// Share is the share of all requests of the service between order and deadline, default 0.1; Slack is a
	// number of requests in addition, default 50.
	Share, Slack float64
	// RollbackDelay is the time after the 50th bad answer after which no request may be sent to a bad
	// version, default 5 s.
	RollbackDelay time.Duration
}

// The defaults of Limits.
const (
	DefaultShare         = 0.1
	DefaultSlack         = 50
	DefaultRollbackDelay = 5 * time.Second
)

func (l Limits) withDefaults() Limits {
	if l.Share <= 0 {
		l.Share = DefaultShare
	}
	if l.Slack <= 0 {
		l.Slack = DefaultSlack
	}
	if l.RollbackDelay <= 0 {
		l.RollbackDelay = DefaultRollbackDelay
	}
	return l
}

// Phase is the phase of a rollout. Phases only rise; Succeeded and RolledBack are final.
type Phase int

// The phases. In Canary, requests go to the new version within grants; in Switching, new work goes to the
// new version only, after RampTime; from RolledBack on, none does.
const (
	Canary Phase = iota
	Switching
	Succeeded
	RolledBack
)

// RampTime is the time at the beginning of Switching in which each daemon sends one of RampPart requests to the new
// version and the others to the old one. If the version fails under the larger load or just then, the roll-back
// begins before it has had all requests for a second.
const (
	RampTime = time.Second
	RampPart = 4
)

// Final reports whether no other phase can follow.
func (p Phase) Final() bool { return p == Succeeded || p == RolledBack }

// Raise returns the phase after p if next is announced: next if it is higher and p isn't final, else p.
func (p Phase) Raise(next Phase) Phase {
	if p.Final() || next <= p || next > RolledBack {
		return p
	}
	return next
}

// String returns the phase as it is shown to operators.
func (p Phase) String() string {
	switch p {
	case Canary:
		return "canary"
	case Switching:
		return "switching"
	case Succeeded:
		return StatusSucceeded
	case RolledBack:
		return StatusRolledBack
	}
	return "unknown"
}

// The states of a rollout, as operators see them.
const (
	StatusRunning    = "running"
	StatusSucceeded  = "succeeded"
	StatusRolledBack = "rolled_back"
)

// Status returns the state that operators see in this phase.
func (p Phase) Status() string {
	if p.Final() {
		return p.String()
	}
	return StatusRunning
}

// RouteCounts are the answers of both versions to requests of one route, as one daemon has seen them.
type RouteCounts struct {
	Route    string
	Old, New Sample
}

// Report is what one daemon has seen of a rollout. All counts are cumulative since the order, for one
// incarnation of the daemon.
type Report struct {
	Host, Incarnation string
	// RowVersion is that of the order. Reports on other orders are ignored.
	RowVersion int64
	// Reached is the number of requests of the service that the daemon has handled; further attempts of a
	// request aren't counted.
	Reached int64
	Routes  []RouteCounts
	// Phase is the phase that the daemon applies.
	Phase Phase
	// OldInProgress is the number of its requests in progress at targets of the old version.
	OldInProgress int
	// ExpiredUnused is the number of granted requests that can no longer be sent.
	ExpiredUnused int64
}

// State is the durable part of a rollout. It is written to the store under the condition that the row has
// not changed since it was read or written by this decider.
type State struct {
	Service, To string
	RowVersion  int64
	Phase       Phase
	// Granted is the number of requests that may have been granted, unused ones included. It is saved before
	// they are granted, in blocks.
	Granted int64
	// StartedAt is when the order was first received, Deadline is the order's.
	StartedAt, Deadline time.Time
	// Withheld are the versions of earlier orders that were replaced or rolled back. Their targets count
	// neither as old nor as new.
	Withheld []string
	// Reason says why the rollout is in its phase.
	Reason string
}

// Grant allows a daemon to send Requests requests to the new version within ValidFor of its receipt. It
// replaces an earlier grant. The zero value allows none.
type Grant struct {
	Requests int
	ValidFor time.Duration
	// Targets is the number of new targets among which the daemons divide these requests: all use the same
	// ones, the first in a common order that alternates between data centres. It is at least 1.
	Targets int
}

// Host is a live daemon.
type Host struct{ Name, DataCentre string }

// View is what the decider can't know by itself.
type View struct {
	// Leads is set while this daemon leads. Without it, Step returns no actions and Grant grants nothing.
	Leads bool
	// Hosts are the live daemons, this one included.
	Hosts []Host
	// OldTargets and NewTargets are the numbers of usable targets of both versions; targets that are not
	// healthy, draining or in an evacuated data centre are not usable.
	OldTargets, NewTargets int
	// OldRegistered is set if any target of the old version is registered, usable or not.
	OldRegistered bool
}

// Action is an instruction to the caller: SaveState, EnterPhase or WriteStatus.
type Action interface{ isAction() }

// SaveState asks the caller to write the state if the row has not changed, and to call Saved or SaveFailed.
type SaveState struct{ State State }

// EnterPhase asks the caller to send the phase to all daemons, and to those that join later.
type EnterPhase struct {
	Phase  Phase
	Reason string
}

// WriteStatus asks the caller to write the state and the status row in one transaction, provided that the
// order's row and that of the state have not changed, and to call Saved or SaveFailed.
type WriteStatus struct {
	State State
	// Status is one of StatusRunning, StatusSucceeded and StatusRolledBack.
	Status string
}

func (SaveState) isAction()   {}
func (EnterPhase) isAction()  {}
func (WriteStatus) isAction() {}

// Summary describes a rollout to operators.
type Summary struct {
	Service, To string
	RowVersion  int64
	Phase       Phase
	Reason      string
	Deadline    time.Time
	// SwitchAt is the planned start of Switching.
	SwitchAt time.Time
	// Reached is the number of requests reported, Granted the number granted less those reported unused,
	// Allowed the most that may be granted at present.
	Reached, Granted int64
	Allowed          float64
	// Share is the share of the requests that the decider currently aims to grant.
	Share float64
	// Targets is the number of new targets in use, see Grant.
	Targets int
	Routes  []RouteSummary
	// TooLittleTraffic names the routes without enough answers for a verdict.
	TooLittleTraffic []string
	// Verdict is that on all routes together.
	Verdict Verdict
}

// Verdict is the result of the comparison of both versions.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota
	Good
	Bad
)

// String returns the verdict as it is shown to operators.
func (v Verdict) String() string { return [...]string{"undecided", "good", "bad"}[v] }

// RouteSummary is the evidence on one route.
type RouteSummary struct {
	Route string
	// OldAnswers, OldBad and OldSlow are the numbers of all, bad and slow answers of the old version; the
	// others are those of the new version.
	OldAnswers, OldBad, OldSlow int64
	NewAnswers, NewBad, NewSlow int64
	// SlowFrom is the latency from which an answer counts as slow, 0 if it isn't known yet.
	SlowFrom time.Duration
	// FailureEvidence and SlowEvidence are the natural logarithms of the evidence that the new version is worse;
	// BadFrom is the value from which it is bad.
	FailureEvidence, SlowEvidence, BadFrom float64
	Verdict                                Verdict
}
