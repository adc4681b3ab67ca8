// Package tier describes price tiers: each sets the deadline and the price of a request.
//
// # Usage
//
//	t := tier.Tier{Name: "overnight", Deadline: time.Hour, PriceMicros: 400}
//	if err := t.Check(); err != nil { ... }
package tier

import (
	"time"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// MaxDeadline is the longest deadline of a tier.
const MaxDeadline = 24 * time.Hour

// Tier is the deadline of a request and the price of its answer.
type Tier struct {
	Name string
	// Deadline is the time for an answer from the admission of the request.
	Deadline time.Duration
	// PriceMicros is the price of one answer in millionths of the currency unit.
	PriceMicros int64
}

// Check returns an error of kind Invalid if a field of the tier has a value that is not allowed.
func (t Tier) Check() error {
	if t.Name == "" {
		return problem.New(problem.Invalid, "tier without a name")
	}
	if t.Deadline <= 0 || t.Deadline > MaxDeadline {
		return problem.New(problem.Invalid, "tier %q has the deadline %v, allowed is more than 0 up to %v", t.Name, t.Deadline, MaxDeadline)
	}
	if t.PriceMicros < 0 {
		return problem.New(problem.Invalid, "tier %q has the price %d, allowed is 0 or more", t.Name, t.PriceMicros)
	}
	return nil
}
