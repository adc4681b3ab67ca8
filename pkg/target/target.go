// Package target describes targets, the back ends that run the stages of pipelines: their
// contracts, which operators configure, and the state that they report.
//
// # Usage
//
//	c := target.Target{Name: "llm-1", DataCentre: "atl-a", Kind: "llm", Address: "10.0.0.7:8000", ColdLimit: 1}
//	if err := c.Check(); err != nil { ... }
package target

import (
	"net"
	"time"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// Limits of contracts.
const (
	// DefaultMaxInFlight applies if Target.MaxInFlight is 0.
	DefaultMaxInFlight = 16
	// DefaultMaxRun applies if Target.MaxRun is 0.
	DefaultMaxRun = 10 * time.Second
	// LongestRun is the maximum of Target.MaxRun.
	LongestRun = time.Hour
)

// Target is the contract of one back end: its address and what daemons may send to it.
type Target struct {
	Name       string
	DataCentre string
	// Kind is the kind of stages that the target runs, such as "llm" or "reranker".
	Kind string
	// Address is the IP address and port of the target's HTTP interface.
	Address string
	// Host is the name of the target's machine in the platform's host list.
	Host string
	// ColdLimit bounds the concurrent requests to the target during a cold start.
	ColdLimit int
	// MaxInFlight bounds the concurrent requests of one daemon to the warm target; 0 means
	// DefaultMaxInFlight.
	MaxInFlight int
	// CostMicros is the cost of one attempt in millionths of the currency unit.
	CostMicros int64
	// MaxRun is the longest time for which the target works on one request; 0 means
	// DefaultMaxRun.
	MaxRun time.Duration
	// ChecksFencing is set if the target rejects orders, the commands of operators to it, with an
	// outdated fencing number. Later orders have higher fencing numbers.
	ChecksFencing bool
	// EchoesAttempt is set if the target returns the ID of the attempt with its answer.
	EchoesAttempt bool
	// Leaving is set if operators want no new work on the target.
	Leaving bool
}

// Check returns an error of kind Invalid if a field of the contract has a value that is not
// allowed.
func (t Target) Check() error {
	if t.Name == "" || t.Kind == "" || t.DataCentre == "" {
		return problem.New(problem.Invalid, "target %q lacks a name, kind or data centre", t.Name)
	}
	host, _, err := net.SplitHostPort(t.Address)
	if err != nil || net.ParseIP(host) == nil {
		return problem.New(problem.Invalid, "target %q has the address %q, allowed is IP:port", t.Name, t.Address)
	}
	if t.MaxRun > LongestRun {
		return problem.New(problem.Invalid, "target %q has the maximum run time %v, allowed is up to %v", t.Name, t.MaxRun, LongestRun)
	}
	if t.ColdLimit < 0 || t.MaxInFlight < 0 || t.CostMicros < 0 || t.MaxRun < 0 {
		return problem.New(problem.Invalid, "target %q has a negative limit: cold limit %d, in flight %d, cost %d, maximum run time %v; allowed is 0 or more", t.Name, t.ColdLimit, t.MaxInFlight, t.CostMicros, t.MaxRun)
	}
	return nil
}

// WarmLimit returns the bound on concurrent requests of one daemon to the warm target.
func (t Target) WarmLimit() int {
	if t.MaxInFlight == 0 {
		return DefaultMaxInFlight
	}
	return t.MaxInFlight
}

// RunLimit returns the longest time for which the target works on one request.
func (t Target) RunLimit() time.Duration {
	if t.MaxRun == 0 {
		return DefaultMaxRun
	}
	return t.MaxRun
}

// Report is the state that a target reports.
type Report struct {
	// Incarnation identifies one start of the target; it differs after each restart.
	Incarnation string
	// Cold is set while the target is starting and runs few requests at a time.
	Cold bool
	// Leaving is set if the target accepts no new work.
	Leaving bool
	// Running and Queued count requests; they may be outdated.
	Running int
	Queued  int
}
