// Package tier describes price tiers, each of which pairs a deadline with a price.
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

// MaxDeadline bounds the deadline of a tier.
const MaxDeadline = 24 * time.Hour

// Tier pairs a deadline with the price of one answer.
type Tier struct {
	Name string
	// Deadline is counted from the admission of the request.
	Deadline time.Duration
	// PriceMicros is the price of one answer in millionths of the currency unit.
	PriceMicros int64
}

// Check returns an error of kind Invalid if the tier is not well formed.
func (t Tier) Check() error {
	if t.Name == "" {
		return problem.New(problem.Invalid, "tier without a name")
	}
	if t.Deadline <= 0 || t.Deadline > MaxDeadline {
		return problem.New(problem.Invalid, "tier %q has the deadline %v, allowed is more than 0 up to %v", t.Name, t.Deadline, MaxDeadline)
	}
	if t.PriceMicros < 0 {
		return problem.New(problem.Invalid, "tier %q has a negative price", t.Name)
	}
	return nil
}
