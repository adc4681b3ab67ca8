package dispatch

import (
	"math"
	"time"
)

const (
	// retryTimeShare is the share of its remaining time that a client waits at most before it returns.
	retryTimeShare = 1.0 / 3
	// maxDrainTime bounds the time over which returning clients are spread.
	maxDrainTime = 10 * time.Second
	// minRetrySpread is the least time over which clients that can still be served on time are spread.
	minRetrySpread = 300 * time.Millisecond
	// rankShift is the part of the drain time by which the clients of a rank return later than those of
	// the next higher one, up to the third.
	rankShift = 0.2
	// goldenRatio spreads the multiples of a counter evenly over 0 to 1, whatever their number.
	goldenRatio = 0.6180339887498949
)

// drainTime returns the time that the targets need for the work of the admitted jobs.
func (f *capacityForecast) drainTime() time.Duration {
	capacity := f.capacity[forecastSteps-1]
	if capacity <= 0 {
		return maxDrainTime
	}
	drain := float64(f.reserved[forecastSteps-1]+f.waiting) / float64(capacity) * float64(forecastHorizon)
	return min(time.Duration(drain), maxDrainTime)
}

// spreadRetryAfter returns the time after which the client of a rejected job may retry. The times of the
// rejected jobs are spread over the time in which the demand drains, urgent ones first, so that the
// clients don't return together. A client that would have to wait longer than it does is told the
// longest time that it waits, less a part of the spread.
func (p *Planner) spreadRetryAfter(now time.Time, j *job, f *capacityForecast) time.Duration {
	first := max(f.heldFor, minRetryAfter)
	longest := time.Duration(float64(j.Deadline.Sub(now)) * retryTimeShare)
	if longest <= first {
		return first
	}
	// A client that returns while it can still be served on time keeps its full value.
	if onTime := j.SoftDeadline.Sub(now) - p.shortestTime(j); onTime >= first+minRetrySpread {
		longest = min(longest, onTime)
	}
	p.scarcity.rejections++
	_, position := math.Modf(float64(p.scarcity.rejections) * goldenRatio)
	shift := rankShift * float64(min(max(j.Priority, 0), 3))
	width := float64(min(f.drainTime(), longest-first))
	return first + time.Duration(width*(shift+(1-shift)*position))
}
