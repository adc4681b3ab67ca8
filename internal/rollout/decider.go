package rollout

import (
	"fmt"
	"slices"
	"time"
)

const (
	// finalMargin is the time before the deadline at which a rollout succeeds even with requests in
	// progress at old targets.
	finalMargin = time.Second
	// announceTime is the time that a phase takes to be saved, to reach all daemons and to be reported.
	announceTime = 750 * time.Millisecond
	// minLead is the least time before the deadline at which Switching is planned to begin. Of long rollouts it is
	// leadPart of the duration, at most maxLead, so that a failover still leaves enough time.
	minLead  = 3800 * time.Millisecond
	leadPart = 0.06
	maxLead  = 8 * time.Second
	// maxLeadPart is the largest part of the duration; the rest is for the evidence.
	maxLeadPart = 0.45
	// drainFactor is the time that work on old targets takes at most, relative to its average.
	drainFactor = 3
	// soakPart is the part of the time from Switching to the deadline in which the new version is observed under
	// all of the load before the rollout succeeds.
	soakPart = 0.6
	// absentTime is the time without usable new targets in Switching after which it is rolled back.
	absentTime = 3 * time.Second
	// resumeTime is the time that a decider has for the first reports when it takes over late.
	resumeTime = 1500 * time.Millisecond
	// retryInterval is the time after which a failed write is tried again.
	retryInterval = 500 * time.Millisecond
)

// Decider decides one rollout. It is not safe for concurrent use.
type Decider struct {
	order  Order
	limits Limits
	// state is the present state, which may be ahead of the saved one.
	state State
	view  View

	ledger   ledger
	evidence evidence
	budget   budget
	judgment judgment
	tooFew   []string

	write write
	// announced is the phase of the last EnterPhase.
	announced Phase

	switchedAt, rolledBackAt time.Time
	// absentSince is since when there is no usable new target.
	absentSince time.Time
	// resumedAt is when this decider took over from another one, the zero time if it didn't.
	resumedAt time.Time
	// drain is the average time of requests at old targets, by Little's law.
	drain time.Duration
}

// New returns a decider for the order. Saved is the state in the store, of this order or an earlier one, and
// the zero State if there is none. If it belongs to an unfinished rollout to the same version, that rollout
// goes on with the order's deadline; otherwise a new one begins.
func New(o Order, l Limits, saved State, now time.Time) *Decider {
	d := &Decider{order: o, limits: l.withDefaults()}
	same := saved.Service == o.Service && saved.To == o.To
	if same && (saved.RowVersion == o.RowVersion || !saved.Phase.Final()) {
		d.state = saved
		d.budget.granted, d.budget.reserved = saved.Granted, saved.Granted
		d.setPhaseTimes(now)
	} else {
		withheld := slices.Clone(saved.Withheld)
		if saved.To != "" && saved.To != o.To && saved.Phase != Succeeded && !slices.Contains(withheld, saved.To) {
			withheld = append(withheld, saved.To)
		}
		withheld = slices.DeleteFunc(withheld, func(version string) bool { return version == o.To })
		d.state = State{Service: o.Service, To: o.To, StartedAt: o.ReceivedAt, Withheld: withheld, Reason: "ordered"}
	}
	d.state.RowVersion, d.state.Deadline = o.RowVersion, o.Deadline
	d.evidence.coldFor = min(coldTime, time.Duration(coldPart*float64(o.Deadline.Sub(d.state.StartedAt))))
	if !d.resumedAt.IsZero() {
		d.evidence.firstNewAt = d.state.StartedAt // the first answers went to the earlier decider
	}
	return d
}

// Renew takes over another row version and deadline of the same order, and reports whether it could: not if
// the rollout has ended or the order has another version; then the caller makes a new decider with New from
// the saved state.
func (d *Decider) Renew(o Order) bool {
	if o.Service != d.state.Service || o.To != d.state.To || d.state.Phase.Final() {
		return false
	}
	d.order = o
	if d.state.RowVersion != o.RowVersion || !d.state.Deadline.Equal(o.Deadline) {
		d.state.RowVersion, d.state.Deadline = o.RowVersion, o.Deadline
		d.write.saved = false
	}
	return true
}

// setPhaseTimes sets when the phase began, as far as it isn't known from an earlier decider.
func (d *Decider) setPhaseTimes(now time.Time) {
	if d.state.Phase == Switching && d.switchedAt.IsZero() {
		d.switchedAt = now
		d.evidence.alone = true
	}
	if d.state.Phase == RolledBack && d.rolledBackAt.IsZero() {
		d.rolledBackAt = now
	}
}

// raise enters a higher phase.
func (d *Decider) raise(now time.Time, p Phase, reason string) {
	if next := d.state.Phase.Raise(p); next != d.state.Phase {
		d.state.Phase, d.state.Reason = next, reason
		d.setPhaseTimes(now)
	}
}

// Receive takes a report of a daemon. Late, repeated and malformed reports and those on other orders are ignored.
func (d *Decider) Receive(now time.Time, r Report) {
	if r.RowVersion != d.state.RowVersion {
		return
	}
	increase, ok := d.ledger.receive(now, r)
	if !ok {
		return
	}
	dataCentre := d.dataCentre(r.Host)
	for _, c := range increase {
		d.evidence.add(now, dataCentre, c.Route, pair{c.Old, c.New})
	}
	// A phase that another decider has announced holds. While the final status is being written, its outcome
	// decides.
	if !d.write.finishes() && r.Phase > d.state.Phase && r.Phase <= RolledBack {
		d.raise(now, r.Phase, "announced by another leader")
	}
}

func (d *Decider) dataCentre(host string) string {
	for _, h := range d.view.Hosts {
		if h.Name == host {
			return h.DataCentre
		}
	}
	return ""
}

// Step decides with the reports so far. It is called every 100 ms or so.
func (d *Decider) Step(now time.Time, v View) []Action {
	d.view = v
	d.budget.plan = nil
	d.write.proposed = Canary
	if !v.Leads {
		return nil
	}
	d.evidence.alone = d.state.Phase == Switching || !v.OldRegistered && d.evidence.pooled.failures.all.oldAll == 0
	d.evidence.advance(now)
	d.learnDrain()
	d.judgment = d.evidence.judgeAll(now, d.limits.RollbackDelay)
	if !d.write.finishes() {
		switch d.state.Phase {
		case Canary:
			d.stepCanary(now)
		case Switching:
			d.stepSwitching(now)
		}
	}
	if d.state.Phase == Canary {
		d.planGrants(now)
	}
	return d.actions(now)
}

// learnDrain estimates how long requests take at old targets: their number divided by the rate of answers.
func (d *Decider) learnDrain() {
	if d.state.Phase != Canary {
		return
	}
	rate := d.ledger.rate(d.view.Hosts)
	if rate <= 0 {
		return
	}
	drain := time.Duration(float64(d.ledger.oldInProgress(d.view.Hosts)) / rate * float64(time.Second))
	d.drain += (drain - d.drain) / 10
}

// switchTimes returns when Switching should begin and when it is too late for it.
func (d *Decider) switchTimes() (planned, last time.Time) {
	duration := d.state.Deadline.Sub(d.state.StartedAt)
	lead := finalMargin + announceTime + RampTime + max(drainFactor*d.drain, 750*time.Millisecond)
	lead = max(lead, minLead, min(time.Duration(leadPart*float64(duration)), maxLead))
	lead = min(lead, time.Duration(maxLeadPart*float64(duration)))
	least := min(lead, finalMargin+announceTime+RampTime+max(d.drain, 250*time.Millisecond))
	planned, last = d.state.Deadline.Add(-lead), d.state.Deadline.Add(-least)
	if resumed := d.resumedAt.Add(resumeTime); !d.resumedAt.IsZero() && last.Before(resumed) {
		last = resumed
		if latest := d.state.Deadline.Add(-finalMargin - announceTime/2); last.After(latest) {
			last = latest
		}
	}
	return planned, last
}

// stepCanary judges the version, and enters Switching or RolledBack.
func (d *Decider) stepCanary(now time.Time) {
	if d.judgment.verdict == Bad {
		d.raise(now, RolledBack, d.judgment.reason)
		return
	}
	planned, last := d.switchTimes()
	if now.Before(planned) {
		return
	}
	good, reason := d.good(now)
	switch {
	case good:
		// Switching holds once it is saved, which proves that this decider isn't a stale one. A store that can't be
		// reached defers it, also beyond the deadline.
		d.write.propose(Switching, "good on all routes with enough traffic")
	case !now.Before(last):
		d.raise(now, RolledBack, reason)
	}
}

// good reports whether the version may get all traffic.
func (d *Decider) good(now time.Time) (ok bool, reason string) {
	ok, reason, d.tooFew = d.evidence.good(now)
	switch {
	case d.view.NewTargets == 0:
		return false, fmt.Sprintf("no usable target of version %q", d.state.To)
	case !d.view.OldRegistered && d.evidence.pooled.failures.all.oldAll == 0:
		// Nothing can be compared, and a roll-back would leave the service without targets.
		return d.evidence.goodAlone()
	case ok && d.judgment.doubtful:
		return false, "some evidence against the new version"
	case !ok && reason == "":
		return false, "not enough evidence: no answers"
	}
	return ok, reason
}

// stepSwitching goes on judging the version, and enters RolledBack or asks for Succeeded.
func (d *Decider) stepSwitching(now time.Time) {
	if d.judgment.verdict == Bad {
		d.raise(now, RolledBack, d.judgment.reason)
		return
	}
	deadline := d.state.Deadline
	if planned, _ := d.switchTimes(); d.switchedAt.After(deadline.Add(-finalMargin - announceTime)) {
		deadline = d.switchedAt.Add(deadline.Sub(planned)) // the store could not be reached before
	}
	late := !now.Before(deadline.Add(-finalMargin))
	if d.view.NewTargets > 0 {
		d.absentSince = time.Time{}
	} else {
		if d.absentSince.IsZero() {
			d.absentSince = now
		}
		if late || d.view.OldRegistered && now.Sub(d.absentSince) >= absentTime {
			d.raise(now, RolledBack, fmt.Sprintf("no usable target of version %q", d.state.To))
		}
		return
	}
	soaked := !now.Before(d.switchedAt.Add(time.Duration(soakPart * float64(deadline.Sub(d.switchedAt)))))
	done := d.ledger.applied(d.view.Hosts, Switching) && d.ledger.oldInProgress(d.view.Hosts) == 0
	if !late && !(soaked && done) {
		return
	}
	worse, reason := d.evidence.worsened(now)
	switch {
	case !worse:
		d.write.propose(Succeeded, "all traffic on the new version")
	case late:
		d.raise(now, RolledBack, "worse under all of the load: "+reason)
	}
}

// Grant returns the requests that the host may send to the new version, 0 if none. It is called for each
// host after each Step; the result is charged to the budget at once.
func (d *Decider) Grant(now time.Time, host string) Grant {
	if !d.view.Leads || d.state.Phase != Canary || !d.write.saved {
		return Grant{}
	}
	return d.budget.take(now, host, &d.ledger, d.limits)
}

// planGrants plans the grants until the next Step.
func (d *Decider) planGrants(now time.Time) {
	e := &d.evidence
	answers := e.pooled.failures.all.newAll
	suspicious := d.judgment.suspicious
	if suspicious {
		// Answers without failures don't reduce the evidence of the sequential test, but may prove the version good.
		good, _, _ := e.good(now)
		suspicious = !good
	}
	planned, _ := d.switchTimes()
	left := planned.Sub(now)
	rate := d.ledger.rate(d.view.Hosts)
	d.budget.raiseLevel(now, left <= shortTime && rate < littleTraffic*float64(len(d.view.Hosts)), answers, suspicious)
	available := d.available()
	d.budget.aim(d.limits, d.view, rate, available, left, answers, d.judgment.maybeCold)
	if d.view.OldTargets == 0 {
		d.budget.share = 0 // nothing can be compared
	}
	d.budget.allot(now, d.view.Hosts, &d.ledger, available)
}

// available returns the number of requests that may be granted now.
func (d *Decider) available() float64 {
	available := d.budget.available(d.limits, d.ledger.reached, d.ledger.unused, d.evidence.badAnswers)
	if d.judgment.maybeCold || d.evidence.pooled.failures.all.newAll < levelAnswers {
		return min(available, cautiousRequests-float64(d.budget.granted-d.ledger.unused))
	}
	return available
}

// State returns the present state, which may be ahead of the saved one.
func (d *Decider) State() State { return d.state }

// Summary describes the rollout.
func (d *Decider) Summary() Summary {
	planned, _ := d.switchTimes()
	s := Summary{
		Service: d.state.Service, To: d.state.To, RowVersion: d.state.RowVersion,
		Phase: d.state.Phase, Reason: d.state.Reason, Deadline: d.state.Deadline, SwitchAt: planned,
		Reached: d.ledger.reached, Granted: d.budget.granted - d.ledger.unused,
		Allowed: d.budget.allowed(d.limits, d.ledger.reached, d.evidence.badAnswers),
		Share:   d.budget.share, Targets: d.budget.targets, Verdict: d.judgment.verdict,
	}
	now := d.evidence.openedAt
	good, _, tooFew := d.evidence.good(now)
	if s.Verdict != Bad && good && !d.judgment.doubtful {
		s.Verdict = Good
	}
	s.TooLittleTraffic = tooFew
	for _, r := range d.evidence.order {
		j := d.evidence.judge(now, r, d.limits.RollbackDelay)
		if j.verdict != Bad && !slices.Contains(tooFew, r.name) && s.Verdict == Good {
			j.verdict = Good
		}
		s.Routes = append(s.Routes, r.summary(j))
	}
	return s
}
