// Package router chooses the target of one stage attempt.
//
// It is a pure decision over a few candidates. The price policy takes the cheapest
// target that can be expected to answer within the stage's share of the remaining
// time. When only dear targets are free and there is time to spare, it waits. The
// other policies are baselines to measure against.
//
// # Usage
//
//	switch d := router.Choose(router.Question{...}).(type) {
//	case router.Send:
//		send(d.Candidate)
//	case router.Wait:
//		waitForCapacity(d.Until)
//	case router.Refuse:
//		return problem.New(d.Kind, d.Reason)
//	}
package router

import (
	"time"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

// Policy names a way to choose.
type Policy string

// The policies.
const (
	// Price takes the cheapest target that meets the deadline.
	Price Policy = "Price"
	// RoundRobin takes the targets in turn.
	RoundRobin Policy = "RoundRobin"
	// LeastReported takes the target that reports the least load.
	LeastReported Policy = "LeastReported"
)

// Policies lists the policies.
func Policies() []Policy {
	return []Policy{Price, RoundRobin, LeastReported}
}

// Settings of the price policy.
const (
	// safety multiplies the expected duration when it is held against the time left.
	safety = 1.5
	// remoteDelay is added to the expected duration of a target in another data centre.
	remoteDelay = 2 * time.Millisecond
	// coldFactor multiplies the expected duration of a target in a cold start.
	coldFactor = 3
	// unknownDuration is expected where nothing has been measured.
	unknownDuration = 50 * time.Millisecond
	// RecheckInterval bounds the wait for a cheaper target before the choice is made again.
	RecheckInterval = 50 * time.Millisecond
)

// Candidate is one target as this daemon sees it.
type Candidate struct {
	Target target.Target
	// Warm says that recent evidence shows the target warm.
	Warm bool
	// Leaving says that the target takes no new work.
	Leaving bool
	// DataCentreOut says that the data centre of the target takes no new work.
	DataCentreOut bool
	// Suspect says that an attempt failed on the target a short time ago.
	Suspect bool
	// Local says that the target is in this daemon's data centre.
	Local bool
	// InFlight counts this daemon's requests to the target.
	InFlight int
	// ReportedLoad is the load in the newest report.
	ReportedLoad int
	// HasCapacity says that a request can go there now, directly or through the guardian.
	HasCapacity bool
	// TypicalDuration is the smoothed duration of the target; 0 means unknown.
	TypicalDuration time.Duration
	// Tried says that this request has failed there already.
	Tried bool
}

// Query is one choice to make.
type Query struct {
	Policy     Policy
	Candidates []Candidate
	// TimeBudget is the part of the remaining time that belongs to this stage.
	TimeBudget time.Duration
	// Turn rises with every choice and drives the round robin.
	Turn int
}

// Decision is the answer to a question: Send, Wait or Refuse.
type Decision interface{ decision() }

// Send names the target.
type Send struct {
	Candidate Candidate
	Reason    string
}

// Wait says that no target should be used now.
type Wait struct {
	// For is the time after which to choose again even if nothing has changed.
	For    time.Duration
	Reason string
}

// Reject says that no target can take the stage.
type Reject struct {
	Kind   problem.Kind
	Reason string
}

func (Send) decision()   {}
func (Wait) decision()   {}
func (Reject) decision() {}

// Choose answers the question.
func Choose(q Query) Decision {
	open := usable(q.Candidates)
	if len(open) == 0 {
		return Reject{Kind: problem.Unavailable, Reason: "no target takes new work"}
	}
	free := available(open)
	if len(free) == 0 {
		return Wait{For: RecheckInterval, Reason: "every target is at its limit"}
	}
	switch q.Policy {
	case RoundRobin:
		return Send{Candidate: free[q.Turn%len(free)], Reason: "next in turn"}
	case LeastReported:
		return Send{Candidate: leastReported(free, q.Turn), Reason: "least reported load"}
	default:
		return byPrice(q, open, free)
	}
}

// usable drops targets that take no new work, and those that failed this request or
// are suspect if others remain.
func usable(candidates []Candidate) []Candidate {
	var open, better []Candidate
	for _, c := range candidates {
		if c.Leaving || c.DataCentreOut {
			continue
		}
		open = append(open, c)
		if !c.Tried && !c.Suspect {
			better = append(better, c)
		}
	}
	if len(better) > 0 {
		return better
	}
	return open
}

func available(candidates []Candidate) []Candidate {
	var free []Candidate
	for _, c := range candidates {
		if c.HasCapacity {
			free = append(free, c)
		}
	}
	return free
}

func leastReported(candidates []Candidate, turn int) Candidate {
	best := candidates[turn%len(candidates)]
	for _, c := range candidates {
		if c.ReportedLoad < best.ReportedLoad {
			best = c
		}
	}
	return best
}

func byPrice(q Query, open, free []Candidate) Decision {
	best, fits := cheapest(free, q.TimeBudget)
	if !fits {
		return Send{Candidate: best, Reason: "none fits the time left, fastest expected"}
	}
	for _, c := range open {
		if c.HasCapacity || c.Target.CostMicros >= best.Target.CostMicros {
			continue
		}
		if patient(c, q.TimeBudget) {
			return Wait{For: RecheckInterval, Reason: "held for the cheaper target " + c.Target.Name}
		}
	}
	return Send{Candidate: best, Reason: "cheapest that fits the time left"}
}

// patient reports whether there is time to wait for the target and then to use it twice.
func patient(c Candidate, share time.Duration) bool {
	return c.Warm && 3*scaled(ExpectedDuration(c), safety) < share
}

// cheapest returns the cheapest candidate that fits the share, or else the fastest.
func cheapest(candidates []Candidate, share time.Duration) (Candidate, bool) {
	var best Candidate
	found := false
	for _, c := range candidates {
		if scaled(ExpectedDuration(c), safety) > share {
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

// cheaper orders candidates that fit: by price, then the own data centre, so that its
// cold targets get the work that warms them, then by the expected duration.
func cheaper(a, b Candidate) bool {
	if a.Target.CostMicros != b.Target.CostMicros {
		return a.Target.CostMicros < b.Target.CostMicros
	}
	if a.Local != b.Local {
		return a.Local
	}
	return ExpectedDuration(a) < ExpectedDuration(b)
}

// ExpectedDuration returns the duration to expect of the candidate, with the work that this
// daemon has sent to it and the load that it reports.
func ExpectedDuration(c Candidate) time.Duration {
	typical := c.TypicalDuration
	if typical == 0 {
		typical = unknownDuration
	}
	load := max(c.InFlight, c.ReportedLoad)
	expected := scaled(typical, 1+float64(load)/float64(max(c.Target.WarmLimit(), 1)))
	if !c.Warm {
		expected *= coldFactor
	}
	if !c.Local {
		expected += remoteDelay
	}
	return expected
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
