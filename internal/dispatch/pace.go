package dispatch

import (
	"time"
)

// expectPaces updates what is expected of the next calls to all targets that report their pace.
func (p *Planner) expectPaces(now time.Time) {
	for _, pl := range p.pools {
		if !p.Loads.Paced(now, pl.name) {
			continue
		}
		for _, t := range pl.targets {
			p.expectPace(now, t)
		}
	}
}

// expectPace sets the slowness of a target that reports its pace to what is expected of the next call: the steady
// ratio of its calls times the present pace. An overdue call tells more than the report with the last answer. Once
// reports are too old, the slowness is the steady ratio and is learned from calls again.
func (p *Planner) expectPace(now time.Time, t *targetState) {
	pace, ok := p.Loads.Pace(now, t.ID, t.Incarnation)
	if !ok {
		if t.paced {
			t.slowness, t.paced = t.steady, false
		}
		return
	}
	t.paced = true
	t.slowness = t.steady * pace
	for _, c := range t.running {
		if c.hedged {
			t.slowness = max(t.slowness, overdueRatio)
		}
	}
}

// paceOfCall returns the mean of the paces that were known at the start and at the end of a call, and false if one of
// them isn't known.
func (p *Planner) paceOfCall(now time.Time, c *call) (float64, bool) {
	end, ok := p.Loads.Pace(now, c.target.ID, c.target.Incarnation)
	if !ok || c.pace <= 0 {
		return 0, false
	}
	return (c.pace + end) / 2, true
}
