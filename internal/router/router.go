// Package router chooses the target of one stage attempt.
//
// The decision is a pure function of the candidates. The price policy chooses the cheapest
// target that is expected to answer within the stage's time budget. If a cheaper target is
// at its limit and the time budget is long enough, the stage waits for that one. The other
// policies are baselines for comparison.
//
// # Usage
//
//	switch d := router.Choose(router.Query{...}).(type) {
//	case router.Send:
//		send(d.Candidate)
//	case router.Wait:
//		waitForCapacity(d.For)
//	case router.Reject:
//		return problem.New(d.Kind, "%s", d.Reason)
//	}
package router

import (
	"time"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

// Policy is the name of a routing policy.
type Policy string

// The routing policies.
const (
	// Price chooses the cheapest target that is expected to meet the deadline.
	Price Policy = "Price"
	// RoundRobin chooses the targets in turn.
	RoundRobin Policy = "RoundRobin"
	// LeastReported chooses the target that reports the least load.
	LeastReported Policy = "LeastReported"
)

// Policies returns all routing policies.
func Policies() []Policy {
	return []Policy{Price, RoundRobin, LeastReported}
}

const (
	// safetyFactor multiplies the expected duration when it is compared with the time budget,
	// as a safety margin.
	safetyFactor = 1.5
	// remoteDelay is added to the expected duration of a target in another data centre.
	remoteDelay = 2 * time.Millisecond
	// coldStartFactor multiplies the expected duration of a target in a cold start.
	coldStartFactor = 3
	// defaultDuration is assumed as the typical duration of a target while that is unknown.
	defaultDuration = 50 * time.Millisecond
	// RecheckInterval is the time after which a waiting stage is routed again, even if no
	// request has ended meanwhile.
	RecheckInterval = 50 * time.Millisecond
)

// Candidate is one target with its state as known to this daemon.
type Candidate struct {
	Target target.Target
	// Warm is true if a recent report or answer shows that the target has completed its cold
	// start.
	Warm bool
	// Leaving is true if the target accepts no new work.
	Leaving bool
	// DataCentreOut is true if the data centre of the target accepts no new work.
	DataCentreOut bool
	// Suspect is true for a short time after a failed attempt on the target; see
	// fleet.SuspectBackoff.
	Suspect bool
	// Local is true if the target is in this daemon's data centre.
	Local bool
	// InFlight is the number of requests that this daemon has in flight to the target.
	InFlight int
	// ReportedLoad is the number of running and queued requests in the target's newest report.
	ReportedLoad int
	// HasCapacity is true if a request can be sent now, directly or through the guardian.
	HasCapacity bool
	// TypicalDuration is the moving average of the recent durations of attempts on the
	// target; 0 means unknown.
	TypicalDuration time.Duration
	// Tried is true if an attempt of this stage has failed on the target.
	Tried bool
}

// Query is the input of one routing decision.
type Query struct {
	Policy     Policy
	Candidates []Candidate
	// TimeBudget is the part of the time left that the stage may use.
	TimeBudget time.Duration
	// Turn increases with every decision. RoundRobin uses it to choose the next target, and
	// LeastReported to choose among targets with the same load.
	Turn int
}

// Decision is the result of Choose: Send, Wait or Reject.
type Decision interface{ decision() }

// Send means that the stage is to be sent to the candidate. Reason states why, for the log and
// for operators, as in the other decisions.
type Send struct {
	Candidate Candidate
	Reason    string
}

// Wait means that the stage isn't to be sent now: every target is at its limit, or it is
// cheaper to wait for one that is.
type Wait struct {
	// For is the time after which the stage is routed again even if nothing has changed.
	For    time.Duration
	Reason string
}

// Reject means that no target can run the stage. Kind is the kind of the error to return.
type Reject struct {
	Kind   problem.Kind
	Reason string
}

func (Send) decision()   {}
func (Wait) decision()   {}
func (Reject) decision() {}

// Choose returns the routing decision for the query.
func Choose(q Query) Decision {
	candidates := usable(q.Candidates)
	if len(candidates) == 0 {
		return Reject{Kind: problem.Unavailable, Reason: "no target accepts new work"}
	}
	available := withCapacity(candidates)
	if len(available) == 0 {
		return Wait{For: RecheckInterval, Reason: "every target is at its limit"}
	}
	switch q.Policy {
	case RoundRobin:
		return Send{Candidate: available[q.Turn%len(available)], Reason: "next in turn"}
	case LeastReported:
		return Send{Candidate: leastReported(available, q.Turn), Reason: "least reported load"}
	default:
		return chooseByPrice(q, candidates, available)
	}
}

// usable returns the targets that accept new work. It leaves out those on which this stage
// has failed and those that are suspect, unless no others remain.
func usable(candidates []Candidate) []Candidate {
	var accepting, preferred []Candidate
	for _, c := range candidates {
		if c.Leaving || c.DataCentreOut {
			continue
		}
		accepting = append(accepting, c)
		if !c.Tried && !c.Suspect {
			preferred = append(preferred, c)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return accepting
}

// withCapacity returns the candidates to which a request can be sent now.
func withCapacity(candidates []Candidate) []Candidate {
	var available []Candidate
	for _, c := range candidates {
		if c.HasCapacity {
			available = append(available, c)
		}
	}
	return available
}

// leastReported returns the candidate that reports the least load. Of those with the same load,
// the turn determines which one is preferred.
func leastReported(candidates []Candidate, turn int) Candidate {
	best := candidates[turn%len(candidates)]
	for _, c := range candidates {
		if c.ReportedLoad < best.ReportedLoad {
			best = c
		}
	}
	return best
}

// chooseByPrice applies the price policy to the usable candidates, of which some have capacity.
func chooseByPrice(q Query, candidates, available []Candidate) Decision {
	best, inTime := cheapestWithin(available, q.TimeBudget)
	if !inTime {
		return Send{Candidate: best, Reason: "no target is expected to answer in time; this one is the fastest"}
	}
	for _, c := range candidates {
		if c.HasCapacity || c.Target.CostMicros >= best.Target.CostMicros {
			continue
		}
		if canWaitFor(c, q.TimeBudget) {
			return Wait{For: RecheckInterval, Reason: "waits for the cheaper target " + c.Target.Name}
		}
	}
	return Send{Candidate: best, Reason: "the cheapest target that is expected to answer in time"}
}

// canWaitFor reports whether the target is warm and the budget covers three requests to it, one
// after the other, with the safety margin: the one to wait for, the attempt itself, and one more
// attempt.
func canWaitFor(c Candidate, budget time.Duration) bool {
	return c.Warm && 3*scale(ExpectedDuration(c), safetyFactor) < budget
}

// cheapestWithin returns the cheapest candidate that is expected to answer within the budget
// and true, or the fastest candidate and false if there is none.
func cheapestWithin(candidates []Candidate, budget time.Duration) (Candidate, bool) {
	var best Candidate
	found := false
	for _, c := range candidates {
		if scale(ExpectedDuration(c), safetyFactor) > budget {
			continue
		}
		if !found || cheaper(c, best) {
			best = c
			found = true
		}
	}
	if found {
		return best, true
	}
	best = candidates[0]
	for _, c := range candidates[1:] {
		if ExpectedDuration(c) < ExpectedDuration(best) {
			best = c
		}
	}
	return best, false
}

// cheaper reports whether a is preferred to b: for its lower cost, then because it is in the
// same data centre, so that the cold targets there receive the work that warms them, then
// for its shorter expected duration.
func cheaper(a, b Candidate) bool {
	if a.Target.CostMicros != b.Target.CostMicros {
		return a.Target.CostMicros < b.Target.CostMicros
	}
	if a.Local != b.Local {
		return a.Local
	}
	return ExpectedDuration(a) < ExpectedDuration(b)
}

// ExpectedDuration returns the duration that an attempt on the candidate is expected to take:
// its typical duration, increased with the load (this daemon's requests in flight there or the
// reported load, whichever is larger), and for a cold start and another data centre.
func ExpectedDuration(c Candidate) time.Duration {
	typical := c.TypicalDuration
	if typical == 0 {
		typical = defaultDuration
	}
	load := max(c.InFlight, c.ReportedLoad)
	expected := scale(typical, 1+float64(load)/float64(max(c.Target.WarmLimit(), 1)))
	if !c.Warm {
		expected *= coldStartFactor
	}
	if !c.Local {
		expected += remoteDelay
	}
	return expected
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
