// Package target describes the back ends that run stages: their contracts, which
// operators configure, and the reports that they send about themselves.
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

// Limits that apply where a contract names none.
const (
	DefaultMaxInFlight = 16
	DefaultMaxRun      = 10 * time.Second
	// LongestRun bounds the longest run that a contract may name.
	LongestRun = time.Hour
)

// Target is the contract of one back end.
type Target struct {
	Name       string
	DataCentre string
	// Kind names what the target can run, such as "llm" or "reranker".
	Kind string
	// Address is the IP address and port of the target's HTTP interface.
	Address string
	// Host names the machine in the platform's host list.
	Host string
	// ColdLimit is the number of requests that the target bears at once during a cold start.
	ColdLimit int
	// MaxInFlight is the number of requests that one daemon sends at once to the warm target.
	MaxInFlight int
	// CostMicros is the cost of one attempt in millionths of the currency unit.
	CostMicros int64
	// MaxRun is the longest time for which the target works on one request.
	MaxRun time.Duration
	// ChecksFencing says that the target refuses orders with an old fencing number.
	ChecksFencing bool
	// EchoesAttempt says that the target returns the ID of the attempt with its answer.
	EchoesAttempt bool
	// Leaving says that the operators want no new work on the target.
	Leaving bool
}

// Check returns an error of kind Invalid if the contract is not well formed.
func (t Target) Check() error {
	if t.Name == "" || t.Kind == "" || t.DataCentre == "" {
		return problem.New(problem.Invalid, "target %q lacks a name, kind or data centre", t.Name)
	}
	host, _, err := net.SplitHostPort(t.Address)
	if err != nil || net.ParseIP(host) == nil {
		return problem.New(problem.Invalid, "target %q has the address %q, allowed is IP:port", t.Name, t.Address)
	}
	if t.MaxRun > LongestRun {
		return problem.New(problem.Invalid, "target %q has the longest run %v, allowed is up to %v", t.Name, t.MaxRun, LongestRun)
	}
	if t.ColdLimit < 0 || t.MaxInFlight < 0 || t.CostMicros < 0 || t.MaxRun < 0 {
		return problem.New(problem.Invalid, "target %q has a negative limit", t.Name)
	}
	return nil
}

// WarmLimit returns the number of requests that one daemon sends at once to the warm target.
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

// Report is what a target says about itself.
type Report struct {
	// Incarnation changes whenever the target starts anew.
	Incarnation string
	Cold        bool
	Leaving     bool
	// Running and Queued count requests; they may be out of date.
	Running int
	Queued  int
}
